/// \file endpoint_pool.hpp
/// The router's endpoints: which of them can take a request, and at what cost.
/// Used by the router only.
#ifndef POLLENLOFT_ENDPOINT_POOL_HPP
#define POLLENLOFT_ENDPOINT_POOL_HPP

#include <algorithm>
#include <cmath>

#include "pollenloft/route.hpp"

namespace pollenloft {

constexpr auto default_layer_time = std::chrono::microseconds(100);

struct endpoint_entry {
  std::shared_ptr<const endpoint_view> view;
  double outstanding = 0;      // requests of this VM
  double window = 1;           // limit on `outstanding`
  double extra_work = 0;       // of them, beyond that of as many mean requests
  double others_reported = 0;  // other VMs' requests, in the latest report
  instant load_reported_at{};
  duration layer_time{};         // learned; 0 falls back on the kind's
  double unreported_tokens = 0;  // sent, not yet in `view->kv_utilization`
  instant unreported_tokens_at{};
  int poison_suspects = 0;
  int consecutive_failures = 0;
  int consecutive_refusals = 0;
  duration eject_time{};
  instant ejected_until{};
  instant backoff_until{};
  bool removed = false;
};

using range_key = std::pair<std::int32_t, std::int32_t>;
using endpoint_ptr = std::shared_ptr<endpoint_entry>;

/// The endpoints of one pipeline, grouped by the layer range they hold.
using endpoints_by_range = std::map<range_key, std::vector<endpoint_ptr>>;

struct endpoint_pool {
  endpoint_pool(route_options options, std::uint64_t seed)
      : options(std::move(options)), random(seed) {}

  route_options options;
  random_source random;
  std::size_t vms = 1;
  request_limiter* limiter = nullptr;
  notice_register* notices = nullptr;
  std::unordered_map<std::string, endpoint_ptr> by_id;
  std::map<std::string, endpoints_by_range> pipelines;
  std::map<std::string, duration> layer_time_by_kind;
  std::map<std::pair<std::string, std::string>, duration> zone_link_times;
  std::map<std::pair<std::string, std::string>, duration> slow_link_times;
  std::uint64_t round_robin_position = 0;

  auto initial_window(const endpoint_view& view) const -> double {
    return std::max(1.0, std::ceil(static_cast<double>(view.slots) /
                                   static_cast<double>(vms)));
  }

  auto layer_time(const endpoint_entry& entry) const -> duration {
    if (entry.layer_time != duration::zero()) return entry.layer_time;
    if (entry.view->layer_time != duration::zero())
      return entry.view->layer_time;
    const auto found = layer_time_by_kind.find(entry.view->kind);
    return found == layer_time_by_kind.end() ? duration(default_layer_time)
                                             : found->second;
  }

  auto link_time(const endpoint_view& from, const endpoint_view& to) const
      -> duration {
    const auto slow = slow_link_times.find({from.id, to.id});
    if (slow != slow_link_times.end()) return slow->second;
    const auto zone = zone_link_times.find({from.zone, to.zone});
    if (zone != zone_link_times.end()) return zone->second;
    return from.zone == to.zone ? duration::zero() : duration(milliseconds(1));
  }

  auto others_load(const endpoint_entry& entry, instant now) const -> double {
    if (entry.others_reported == 0) return 0;
    const auto age = seconds(now - entry.load_reported_at);
    return entry.others_reported *
           std::exp2(-age / seconds(options.report_half_life));
  }

  auto unreported_tokens(const endpoint_entry& entry, instant now) const
      -> double {
    if (entry.unreported_tokens == 0) return 0;
    const auto age = seconds(now - entry.unreported_tokens_at);
    return entry.unreported_tokens *
           std::exp2(-age / seconds(options.report_half_life));
  }

  /// KV-cache utilization including requests that reports do not show yet.
  /// Reports arrive late, so tokens sent by this VM since then are added, times
  /// the number of VMs, as the others send about as much.
  auto projected_kv_utilization(const endpoint_entry& entry, double tokens,
                                instant now) const -> double {
    const auto& view = *entry.view;
    if (view.kv_capacity_tokens <= 0) return view.kv_utilization;
    const auto sent = unreported_tokens(entry, now) * static_cast<double>(vms);
    return view.kv_utilization + (sent + tokens) / view.kv_capacity_tokens;
  }

  static auto has_free_slot(const endpoint_entry& entry,
                            const chain_request& request) -> bool {
    const auto slots = std::floor(entry.window);
    const auto reserved =
        slots > 1 ? std::ceil(slots * request.reserved_slot_share) : 0;
    return entry.outstanding + reserved < slots;
  }

  auto has_free_kv(const endpoint_entry& entry, const chain_request& request,
                   instant now) const -> bool {
    return entry.view->kv_utilization <
               options.max_kv_utilization - request.kv_headroom &&
           projected_kv_utilization(entry, request.tokens, now) <=
               1 - request.kv_headroom;
  }

  auto usable(const endpoint_entry& entry, const chain_request& request,
              instant now) const -> bool {
    if (request.only_zone != nullptr && entry.view->zone != *request.only_zone)
      return false;
    if (!has_free_slot(entry, request)) return false;
    if (now < entry.ejected_until && !request.allow_ejected) return false;
    if (now < entry.backoff_until) return false;
    if (!admitted(entry, now)) return false;
    if (!has_free_kv(entry, request, now)) return false;
    // Poison suspects do not share an endpoint, so that a crash identifies the
    // request that causes it.
    if (request.poison_suspect && entry.poison_suspects > 0) return false;
    if (request.avoid != nullptr && request.avoid->count(entry.view->id) != 0)
      return false;
    return has_permit(entry, now);
  }

  auto load(const endpoint_entry& entry, instant now) const -> double {
    const auto own = std::max(0.0, entry.outstanding + entry.extra_work);
    return own + others_load(entry, now) + 1;
  }

  /// Cost factor that grows as the KV cache fills up.
  auto kv_pressure(const endpoint_entry& entry, instant now) const -> double {
    constexpr double min_kv_free = 0.05;
    return 1 /
           std::max(min_kv_free, 1 - projected_kv_utilization(entry, 0, now));
  }

  auto cost(const endpoint_entry& entry, std::int32_t layers, instant now) const
      -> double {
    return std::visit(overloaded{[&](const policy_predicted&) {
                                   return load(entry, now) *
                                          kv_pressure(entry, now) *
                                          entry.view->slowdown *
                                          seconds(layer_time(entry)) * layers;
                                 },
                                 [&](const policy_least_outstanding&) {
                                   return entry.outstanding + 1;
                                 },
                                 [](const policy_round_robin&) { return 0.0; }},
                      options.policy);
  }

  /// A sequence occupies a slot on every stage for as long as the complete
  /// chain takes, so a fast endpoint in a slow chain is idle between tokens.
  auto mismatch_cost(const endpoint_entry& from, const endpoint_entry& to,
                     std::int32_t layers, instant now) const -> double {
    if (!std::holds_alternative<policy_predicted>(options.policy)) return 0;
    if (!options.penalize_mismatch) return 0;
    const auto difference =
        std::abs(seconds(layer_time(from) - layer_time(to)));
    return load(to, now) * difference * layers;
  }

  auto link_cost(const endpoint_view& from, const endpoint_view& to) const
      -> double {
    if (!std::holds_alternative<policy_predicted>(options.policy)) return 0;
    return seconds(link_time(from, to));
  }

  /// Up to `candidates_per_range` usable endpoints, or the next one under round
  /// robin. The start is random otherwise, so that VMs with the same view of
  /// the load do not all choose the same endpoint.
  auto sample(const std::vector<endpoint_ptr>& endpoints,
              const chain_request& request, instant now)
      -> std::vector<endpoint_entry*> {
    std::vector<endpoint_entry*> candidates;
    if (endpoints.empty()) return candidates;
    const auto round_robin =
        std::holds_alternative<policy_round_robin>(options.policy);
    const auto start = round_robin ? round_robin_position : random.next();
    const auto max_candidates = round_robin ? 1
                                : request.only_zone == nullptr
                                    ? options.candidates_per_range
                                    : options.candidates_per_zone;
    for (std::size_t i = 0;
         i < endpoints.size() && candidates.size() < max_candidates; ++i) {
      auto* entry = endpoints[(start + i) % endpoints.size()].get();
      if (usable(*entry, request, now)) candidates.push_back(entry);
    }
    return candidates;
  }

  auto has_permit(const endpoint_entry& entry, instant now) const -> bool {
    return limiter == nullptr ||
           limiter->admits(entry.view->id, entry.view->incarnation, now);
  }

  /// Whether the endpoint neither leaves nor pauses, as far as it has said.
  auto admitted(const endpoint_entry& entry, instant now) const -> bool {
    return notices == nullptr ||
           notices->admits(entry.view->id, entry.view->incarnation, now);
  }

  auto leaves(const endpoint_entry& entry) const -> bool {
    return notices != nullptr &&
           notices->leaves(entry.view->id, entry.view->incarnation);
  }

  /// Time until this VM may send the endpoint a request.
  auto time_to_return(const endpoint_entry& entry, instant now) const
      -> duration {
    const auto at =
        admitted(entry, now)
            ? limiter->next_ask(entry.view->id)
            : notices->returns_at(entry.view->id, entry.view->incarnation)
                  .value_or(now);
    return std::max(duration::zero(), at - now);
  }

  auto any_stated() const -> bool {
    return (notices != nullptr && notices->any_paused()) ||
           (limiter != nullptr && !limiter->limits().statements().empty());
  }

  auto record_use(const chain& stages, instant now) const -> void {
    for (const auto& stage : stages) {
      const auto& endpoint = *stage.endpoint;
      if (limiter != nullptr) limiter->take(endpoint.id);
      if (notices != nullptr)
        notices->take(endpoint.id, endpoint.incarnation, now);
    }
  }

  /// The first layer that usable endpoints of the zone do not cover.
  auto first_uncovered_layer(const endpoints_by_range& ranges,
                             const chain_request& request,
                             const std::string& zone, instant now) const
      -> std::int32_t {
    std::int32_t boundary = 0;
    for (const auto& [held_range, endpoints] : ranges) {
      if (held_range.first > boundary) break;
      const auto covers = std::any_of(
          endpoints.begin(), endpoints.end(), [&](const auto& entry) {
            return entry->view->zone == zone && usable(*entry, request, now);
          });
      if (covers) boundary = std::max(boundary, held_range.second);
    }
    return boundary;
  }

  static auto zones_of(const endpoints_by_range& ranges)
      -> std::set<std::string> {
    std::set<std::string> zones;
    for (const auto& [held_range, endpoints] : ranges)
      for (const auto& entry : endpoints)
        zones.insert(entry->view->zone);
    return zones;
  }

  auto shortage(const endpoints_by_range& ranges, const chain_request& request,
                const std::string& zone, instant now) const -> chain_shortage {
    chain_shortage result;
    result.layer = first_uncovered_layer(ranges, request, zone, now);
    for (const auto& [held_range, endpoints] : ranges)
      if (held_range.first <= result.layer && result.layer < held_range.second)
        for (const auto& entry : endpoints)
          if (entry->view->zone == zone)
            count_holder(*entry, request, now, result);
    return result;
  }

  auto count_holder(const endpoint_entry& entry, const chain_request& request,
                    instant now, chain_shortage& result) const -> void {
    ++result.holders;
    const auto wait_for = [&](int& count) {
      ++count;
      const auto wait = time_to_return(entry, now);
      result.wait = std::min(result.wait.value_or(wait), wait);
    };
    if (leaves(entry))
      ++result.leaving;
    else if (!admitted(entry, now))
      wait_for(result.paused);
    else if (now < entry.ejected_until)
      ++result.ejected;
    else if (!has_free_kv(entry, request, now))
      ++result.kv_full;
    else if (!has_free_slot(entry, request))
      ++result.no_free_slot;
    else if (now < entry.backoff_until)
      ++result.backing_off;
    else if (!has_permit(entry, now))
      wait_for(result.no_permit);
    else if (request.avoid != nullptr &&
             request.avoid->count(entry.view->id) != 0)
      ++result.avoided;
  }

  /// Whether the endpoints that are not ejected cover all layers.
  auto covered_without_ejected(const endpoints_by_range& ranges,
                               std::int32_t layers, instant now) const -> bool {
    std::int32_t boundary = 0;
    for (const auto& [held_range, endpoints] : ranges) {
      if (held_range.first > boundary) break;
      const auto available = std::any_of(
          endpoints.begin(), endpoints.end(), [&](const auto& entry) {
            return now >= entry->ejected_until && admitted(*entry, now);
          });
      if (available) boundary = std::max(boundary, held_range.second);
    }
    return boundary >= layers;
  }
};

}  // namespace pollenloft

#endif
