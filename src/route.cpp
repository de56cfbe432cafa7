#include "pollenloft/route.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenloft {

namespace {

constexpr double ewma_weight = 0.2;  // of the newest sample
constexpr auto default_layer_time = std::chrono::microseconds(100);
constexpr std::size_t max_partial_chains = 4;  // at each layer boundary
constexpr int consecutive_failures_to_eject = 3;
constexpr auto max_eject_time = std::chrono::seconds(30);
constexpr double window_decrease_slots = 0.5;
/// Back-off after a refusal for want of a free slot. Random jitter of up to
/// 100% is added so that the VMs do not retry at the same time.
constexpr auto base_refusal_backoff = milliseconds(5);
constexpr auto max_refusal_backoff = milliseconds(500);
/// Back-off of an endpoint that is down; it is used although it is ejected if a
/// layer has no other holder.
constexpr auto max_down_backoff = milliseconds(100);
/// Token bucket depth for cross-zone transfers, in seconds of the rate.
constexpr double cross_zone_burst_s = 1;
constexpr std::size_t max_slow_links = 20000;

auto seconds(duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

auto ewma(duration old, duration sample) -> duration {
  if (old == duration::zero()) return sample;
  return old +
         std::chrono::duration_cast<duration>((sample - old) * ewma_weight);
}

struct endpoint_entry {
  std::shared_ptr<const endpoint_view> view;
  double outstanding = 0;      // requests of this VM
  double window = 1;           // limit on `outstanding`
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

struct partial_chain {
  double cost = 0;
  std::vector<std::pair<endpoint_entry*, range_key>> stages;
};

}  // namespace

struct router::impl {
  impl(route_options options, std::uint64_t seed)
      : options(std::move(options)), random(seed) {}

  route_options options;
  random_source random;
  std::size_t vms = 1;
  request_limiter* limiter = nullptr;
  std::unordered_map<std::string, endpoint_ptr> by_id;
  std::map<std::string, endpoints_by_range> pipelines;
  std::map<std::string, duration> layer_time_by_kind;
  std::map<std::pair<std::string, std::string>, duration> zone_link_times;
  std::map<std::pair<std::string, std::string>, duration> slow_link_times;
  std::uint64_t round_robin_position = 0;
  double cross_zone_rate = 0;  // MB/s
  double cross_zone_credit_mb = 0;
  instant cross_zone_refilled_at{};

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

  auto usable(const endpoint_entry& entry, const chain_request& request,
              instant now) const -> bool {
    if (!has_free_slot(entry, request)) return false;
    if (now < entry.ejected_until && !request.allow_ejected) return false;
    if (now < entry.backoff_until) return false;
    if (entry.view->kv_utilization >= options.max_kv_utilization) return false;
    if (projected_kv_utilization(entry, request.tokens, now) > 1) return false;
    // Poison suspects do not share an endpoint, so that a crash identifies the
    // request that causes it.
    if (request.poison_suspect && entry.poison_suspects > 0) return false;
    if (request.avoid != nullptr && request.avoid->count(entry.view->id) != 0)
      return false;
    return has_permit(entry, now);
  }

  auto load(const endpoint_entry& entry, instant now) const -> double {
    return entry.outstanding + others_load(entry, now) + 1;
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
    const auto max_candidates = round_robin ? 1 : options.candidates_per_range;
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

  auto use_permits(const chain& stages) const -> void {
    if (limiter == nullptr) return;
    for (const auto& stage : stages)
      limiter->take(stage.endpoint->id);
  }

  auto extend(const partial_chain& head, endpoint_entry* entry,
              range_key layers, instant now) const -> partial_chain {
    auto longer = head;
    longer.cost += cost(*entry, layers.second - layers.first, now);
    if (head.stages.empty() && !options.zone.empty() &&
        entry->view->zone != options.zone)
      longer.cost += seconds(options.remote_zone_penalty);
    if (!head.stages.empty()) {
      const auto& last = *head.stages.back().first;
      longer.cost +=
          link_cost(*last.view, *entry->view) +
          mismatch_cost(last, *entry, layers.second - layers.first, now);
    }
    longer.stages.emplace_back(entry, layers);
    return longer;
  }

  static auto in_same_zone(const partial_chain& head,
                           const endpoint_entry& next) -> bool {
    return head.stages.empty() ||
           head.stages.back().first->view->zone == next.view->zone;
  }

  auto refill_cross_zone_credit(instant now) -> void {
    cross_zone_credit_mb =
        std::min(cross_zone_burst_s * cross_zone_rate,
                 cross_zone_credit_mb +
                     cross_zone_rate * seconds(now - cross_zone_refilled_at));
    cross_zone_refilled_at = now;
  }

  /// Charges the chain's cross-zone transfers to this VM's share of the links;
  /// false if the credit is used up.
  auto spend_cross_zone_credit(const chain& stages, double mb, instant now)
      -> bool {
    double transfers = 0;
    for (std::size_t i = 1; i < stages.size(); ++i)
      if (stages[i].endpoint->zone != stages[i - 1].endpoint->zone) ++transfers;
    if (transfers == 0 || mb == 0) return true;
    refill_cross_zone_credit(now);
    if (cross_zone_credit_mb <= 0) return false;
    cross_zone_credit_mb -=
        transfers * mb;  // may go negative: requests are large
    return true;
  }

  auto to_chain(const partial_chain& partial) const -> chain {
    chain stages;
    for (const auto& [entry, layers] : partial.stages)
      stages.push_back({entry->view, layers.first, layers.second});
    return stages;
  }

  /// A chain within one zone if there is one, else a cross-zone chain while
  /// link credit remains.
  auto choose(const endpoints_by_range& ranges, const chain_request& request,
              instant now) -> std::optional<chain> {
    auto local = request;
    local.single_zone = request.cross_zone_mb > 0;
    auto best = best_chain(ranges, local, now);
    if (best || !local.single_zone)
      return best ? std::optional(to_chain(*best)) : std::nullopt;
    best = best_chain(ranges, request, now);
    if (!best) return std::nullopt;
    auto stages = to_chain(*best);
    if (!spend_cross_zone_credit(stages, request.cross_zone_mb, now))
      return std::nullopt;
    return stages;
  }

  static auto keep_best(std::vector<partial_chain>& chains, partial_chain added)
      -> void {
    const auto position = std::upper_bound(
        chains.begin(), chains.end(), added,
        [](const auto& a, const auto& b) { return a.cost < b.cost; });
    chains.insert(position, std::move(added));
    if (chains.size() > max_partial_chains) chains.pop_back();
  }

  /// The cheapest chain over all layers.
  auto best_chain(const endpoints_by_range& ranges,
                  const chain_request& request, instant now)
      -> std::optional<partial_chain> {
    return best_chain_over(ranges, request, {0, request.layers}, now);
  }

  /// The cheapest chain over `wanted_range`, by dynamic programming over layer
  /// boundaries that keeps the best partial chains at each boundary.
  auto best_chain_over(const endpoints_by_range& ranges,
                       const chain_request& request, range_key wanted_range,
                       instant now) -> std::optional<partial_chain> {
    std::map<std::int32_t, std::vector<partial_chain>> reached;
    reached[wanted_range.first].push_back({});
    for (auto it = reached.begin(); it != reached.end(); ++it) {
      const auto boundary = it->first;
      if (boundary >= wanted_range.second) break;
      for (const auto& [held_range, endpoints] : ranges) {
        if (held_range.first > boundary || held_range.second <= boundary)
          continue;
        const range_key layers{
            boundary, std::min(held_range.second, wanted_range.second)};
        for (auto* entry : sample(endpoints, request, now))
          for (const auto& head : it->second)
            if (!request.single_zone || in_same_zone(head, *entry))
              keep_best(reached[layers.second],
                        extend(head, entry, layers, now));
      }
    }
    const auto complete = reached.find(wanted_range.second);
    if (complete == reached.end() || complete->second.empty())
      return std::nullopt;
    return complete->second.front();
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
    if (now < entry.ejected_until)
      ++result.ejected;
    else if (entry.view->kv_utilization >= options.max_kv_utilization ||
             projected_kv_utilization(entry, request.tokens, now) > 1)
      ++result.kv_full;
    else if (!has_free_slot(entry, request))
      ++result.no_free_slot;
    else if (now < entry.backoff_until)
      ++result.backing_off;
    else if (!has_permit(entry, now))
      ++result.no_permit;
    else if (request.avoid != nullptr &&
             request.avoid->count(entry.view->id) != 0)
      ++result.avoided;
  }

  /// Whether the endpoints that are not ejected cover all layers.
  static auto covered_without_ejected(const endpoints_by_range& ranges,
                                      std::int32_t layers, instant now)
      -> bool {
    std::int32_t boundary = 0;
    for (const auto& [held_range, endpoints] : ranges) {
      if (held_range.first > boundary) break;
      const auto available = std::any_of(
          endpoints.begin(), endpoints.end(),
          [&](const auto& entry) { return now >= entry->ejected_until; });
      if (available) boundary = std::max(boundary, held_range.second);
    }
    return boundary >= layers;
  }

  auto may_eject(const endpoint_entry& entry, instant now) const -> bool {
    std::size_t all = 0;
    std::size_t ejected = 0;
    for (const auto& [held_range, endpoints] :
         pipelines.at(entry.view->pipeline))
      for (const auto& other : endpoints) {
        ++all;
        ejected += now < other->ejected_until ? 1 : 0;
      }
    return static_cast<double>(ejected + 1) <=
           std::max(1.0,
                    options.max_ejected_fraction * static_cast<double>(all));
  }

  /// Doubles with each consecutive refusal, since an endpoint that is about to
  /// leave refuses everything.
  auto refusal_backoff(int refusals) -> duration {
    const auto backoff = std::min<duration>(
        max_refusal_backoff,
        duration(base_refusal_backoff) * (1 << std::min(refusals, 10)));
    const duration jitter(static_cast<std::int64_t>(
        random.below(static_cast<std::uint64_t>(backoff.count()))));
    return backoff + jitter;
  }

  auto eject(endpoint_entry& entry, instant now) -> void {
    if (entry.removed) return;
    entry.eject_time = std::clamp<duration>(
        2 * entry.eject_time, options.base_eject_time, max_eject_time);
    entry.ejected_until = now + entry.eject_time;
    entry.consecutive_failures = 0;
  }

  auto apply_result(endpoint_entry& entry, dispatch_result result,
                    bool is_failed_endpoint, bool is_head, instant now)
      -> void {
    switch (result) {
      case dispatch_result::served:
        entry.consecutive_failures = 0;
        entry.consecutive_refusals = 0;
        entry.eject_time = {};
        // The window grows only while it limits this VM.
        if (entry.outstanding + 2 >= std::floor(entry.window))
          entry.window = std::min(static_cast<double>(entry.view->slots),
                                  entry.window + 1 / entry.window);
        break;
      case dispatch_result::refused:
        if (!is_failed_endpoint) break;
        // The endpoint is full. The window shrinks at least to the outstanding
        // requests, so that the windows of all VMs add up to about the
        // endpoint's slots. Where KV-cache capacity is known, slots limit only
        // the head of a chain.
        if (is_head || entry.view->kv_capacity_tokens <= 0)
          entry.window =
              std::max(1.0, std::min(entry.window - window_decrease_slots,
                                     entry.outstanding));
        entry.backoff_until =
            now + refusal_backoff(entry.consecutive_refusals++);
        break;
      case dispatch_result::failed:
        if (is_failed_endpoint &&
            ++entry.consecutive_failures >= consecutive_failures_to_eject &&
            may_eject(entry, now))
          eject(entry, now);
        break;
      case dispatch_result::stalled:
        if (++entry.consecutive_failures >= consecutive_failures_to_eject &&
            may_eject(entry, now))
          eject(entry, now);
        break;
      case dispatch_result::down:
        if (!is_failed_endpoint) break;
        eject(entry, now);
        entry.backoff_until =
            now +
            std::min<duration>(refusal_backoff(entry.consecutive_refusals++),
                               max_down_backoff);
        break;
      case dispatch_result::abandoned:
        break;
    }
  }
};

auto parse_policy(const std::string& name) -> std::optional<route_policy> {
  if (name == "predicted") return policy_predicted{};
  if (name == "least-outstanding") return policy_least_outstanding{};
  if (name == "round-robin") return policy_round_robin{};
  return fail("route.policy", name, "unknown policy");
}

router::router(route_options options, std::uint64_t seed)
    : impl_(std::make_unique<impl>(std::move(options), seed)) {}
router::~router() = default;

auto router::upsert(const endpoint_view& endpoint) -> void {
  const auto found = impl_->by_id.find(endpoint.id);
  if (found != impl_->by_id.end()) {
    const auto& current_view = *found->second->view;
    const auto unchanged = current_view.incarnation == endpoint.incarnation &&
                           current_view.first_layer == endpoint.first_layer &&
                           current_view.last_layer == endpoint.last_layer &&
                           current_view.pipeline == endpoint.pipeline &&
                           current_view.address == endpoint.address;
    if (unchanged) {
      auto refreshed = std::make_shared<endpoint_view>(current_view);
      refreshed->kv_utilization = endpoint.kv_utilization;
      refreshed->slowdown = endpoint.slowdown;
      refreshed->kv_capacity_tokens = endpoint.kv_capacity_tokens;
      found->second->view = refreshed;
      return;
    }
    remove(endpoint.id);
  }
  auto entry = std::make_shared<endpoint_entry>();
  entry->view = std::make_shared<const endpoint_view>(endpoint);
  entry->window = impl_->initial_window(endpoint);
  impl_
      ->pipelines[endpoint.pipeline]
                 [{endpoint.first_layer, endpoint.last_layer}]
      .push_back(entry);
  impl_->by_id[endpoint.id] = std::move(entry);
}

auto router::remove(const std::string& id) -> void {
  const auto found = impl_->by_id.find(id);
  if (found == impl_->by_id.end()) return;
  const auto entry = found->second;
  entry->removed = true;
  auto& ranges = impl_->pipelines[entry->view->pipeline];
  const range_key held_range{entry->view->first_layer, entry->view->last_layer};
  auto& endpoints = ranges[held_range];
  endpoints.erase(std::find(endpoints.begin(), endpoints.end(), entry));
  if (endpoints.empty()) ranges.erase(held_range);
  impl_->by_id.erase(found);
}

auto router::set_vm_count(std::size_t vms) -> void {
  impl_->vms = std::max<std::size_t>(1, vms);
}

auto router::set_limiter(request_limiter& limiter) -> void {
  impl_->limiter = &limiter;
}

auto router::choose(const chain_request& request, instant now)
    -> std::optional<chain> {
  const auto ranges = impl_->pipelines.find(request.pipeline);
  if (ranges == impl_->pipelines.end())
    return fail("route.choose", request.pipeline, "no endpoints");
  ++impl_->round_robin_position;
  auto stages = impl_->choose(ranges->second, request, now);
  // Ejected endpoints are used if a layer has no other holder.
  if (!stages &&
      !impl::covered_without_ejected(ranges->second, request.layers, now)) {
    auto with_ejected = request;
    with_ejected.allow_ejected = true;
    stages = impl_->choose(ranges->second, with_ejected, now);
  }
  if (!stages)
    return fail("route.choose", request.pipeline,
                "no free chain over all layers");
  impl_->use_permits(*stages);
  return stages;
}

auto router::choose_with_fallback(chain_request request, instant now)
    -> std::optional<chain> {
  auto stages = choose(request, now);
  request.avoid = nullptr;
  if (!stages) stages = choose(request, now);
  return stages;
}

auto router::shortages(const chain_request& request, instant now) const
    -> std::map<std::string, chain_shortage> {
  std::map<std::string, chain_shortage> result;
  const auto ranges = impl_->pipelines.find(request.pipeline);
  if (ranges == impl_->pipelines.end()) return result;
  for (const auto& zone : impl::zones_of(ranges->second))
    result[zone] = impl_->shortage(ranges->second, request, zone, now);
  return result;
}

auto router::permit_wait(const chain_request& request, instant now) const
    -> std::optional<duration> {
  if (impl_->limiter == nullptr ||
      impl_->limiter->limits().statements().empty())
    return std::nullopt;
  const auto found = shortages(request, now);
  const auto by_limits =
      std::all_of(found.begin(), found.end(), [](const auto& zone) {
        const auto& shortage = zone.second;
        return shortage.no_permit + shortage.ejected == shortage.holders;
      });
  const auto limited =
      std::any_of(found.begin(), found.end(),
                  [](const auto& zone) { return zone.second.no_permit > 0; });
  if (!by_limits || !limited) return std::nullopt;
  std::optional<duration> shortest;
  for (const auto& [held_range, endpoints] :
       impl_->pipelines.at(request.pipeline))
    for (const auto& entry : endpoints) {
      if (impl_->has_permit(*entry, now)) continue;
      const auto wait = std::max(
          duration::zero(), impl_->limiter->next_ask(entry->view->id) - now);
      shortest = std::min(shortest.value_or(wait), wait);
    }
  return shortest;
}

auto router::set_cross_zone_rate(double mb_per_s) -> void {
  impl_->cross_zone_rate = mb_per_s;
}

auto router::replace_stage(const chain& stages,
                           const std::string& failed_endpoint,
                           const chain_request& request, instant now)
    -> std::optional<chain> {
  const auto ranges = impl_->pipelines.find(request.pipeline);
  if (ranges == impl_->pipelines.end()) return std::nullopt;
  // An endpoint may serve only one stage of a chain.
  std::set<std::string> used;
  for (const auto& stage : stages)
    used.insert(stage.endpoint->id);
  auto narrowed = request;
  narrowed.avoid = &used;
  chain repaired;
  chain added;
  for (const auto& stage : stages) {
    if (stage.endpoint->id != failed_endpoint) {
      repaired.push_back(stage);
      continue;
    }
    const auto replacement = impl_->best_chain_over(
        ranges->second, narrowed, {stage.from, stage.to}, now);
    if (!replacement) return std::nullopt;
    added = impl_->to_chain(*replacement);
    repaired.insert(repaired.end(), added.begin(), added.end());
  }
  if (!impl_->spend_cross_zone_credit(repaired, request.cross_zone_mb, now))
    return std::nullopt;
  impl_->use_permits(added);
  return repaired;
}

auto router::dispatch_started(const chain& stages, bool poison_suspect,
                              double tokens, instant now) -> void {
  for (const auto& stage : stages) {
    const auto found = impl_->by_id.find(stage.endpoint->id);
    if (found == impl_->by_id.end()) continue;
    auto& entry = *found->second;
    entry.outstanding += 1;
    entry.poison_suspects += poison_suspect ? 1 : 0;
    entry.unreported_tokens = impl_->unreported_tokens(entry, now) + tokens;
    entry.unreported_tokens_at = now;
  }
}

auto router::dispatch_ended(const chain& stages, bool poison_suspect,
                            dispatch_result result,
                            const std::string& failed_endpoint, instant now)
    -> void {
  for (const auto& stage : stages) {
    const auto found = impl_->by_id.find(stage.endpoint->id);
    if (found == impl_->by_id.end()) continue;
    auto& entry = *found->second;
    const auto& view = *entry.view;
    if (view.incarnation != stage.endpoint->incarnation) continue;
    entry.outstanding = std::max(0.0, entry.outstanding - 1);
    entry.poison_suspects -= poison_suspect ? 1 : 0;
    impl_->apply_result(entry, result, failed_endpoint == stage.endpoint->id,
                        &stage == &stages.front(), now);
  }
}

auto router::learn(const std::vector<load_report>& reports, const chain& stages,
                   instant now) -> void {
  for (std::size_t i = 0; i < reports.size(); ++i) {
    const auto& report = reports[i];
    const auto found = impl_->by_id.find(report.endpoint);
    if (found == impl_->by_id.end()) continue;
    auto& entry = *found->second;
    entry.others_reported = std::max(0.0, report.running - entry.outstanding);
    entry.load_reported_at = now;
    if (report.layer_time > duration::zero()) {
      entry.layer_time = ewma(entry.layer_time, report.layer_time);
      auto& kind_layer_time = impl_->layer_time_by_kind[entry.view->kind];
      kind_layer_time = ewma(kind_layer_time, report.layer_time);
    }
    if (i + 1 >= stages.size() || report.link_time <= duration::zero())
      continue;
    const auto& next = *stages[i + 1].endpoint;
    auto& zone_link_time =
        impl_->zone_link_times[{entry.view->zone, next.zone}];
    const auto link = std::make_pair(report.endpoint, next.id);
    const auto is_slow = zone_link_time != duration::zero() &&
                         report.link_time > 4 * zone_link_time;
    if (!is_slow) {
      zone_link_time = ewma(zone_link_time, report.link_time);
      impl_->slow_link_times.erase(link);
    } else if (impl_->slow_link_times.size() < max_slow_links) {
      impl_->slow_link_times[link] = report.link_time;
    }
  }
}

auto router::token_time(const chain& stages) const -> duration {
  duration sum{};
  for (std::size_t i = 0; i < stages.size(); ++i) {
    const auto found = impl_->by_id.find(stages[i].endpoint->id);
    if (found == impl_->by_id.end()) continue;
    sum += impl_->layer_time(*found->second) * (stages[i].to - stages[i].from);
    if (i + 1 < stages.size())
      sum += impl_->link_time(*stages[i].endpoint, *stages[i + 1].endpoint);
  }
  return sum;
}

auto router::size() const -> std::size_t {
  return impl_->by_id.size();
}

auto router::contains(const std::string& id) const -> bool {
  return impl_->by_id.count(id) != 0;
}

}  // namespace pollenloft
