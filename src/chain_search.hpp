/// \file chain_search.hpp
/// Searches the endpoints of a pipeline for the cheapest chain over its layers.
/// Used by the router only.
#ifndef POLLENLOFT_CHAIN_SEARCH_HPP
#define POLLENLOFT_CHAIN_SEARCH_HPP

#include "endpoint_pool.hpp"

namespace pollenloft {

inline constexpr std::size_t max_partial_chains = 4;  // at each layer boundary
/// More VMs than this make many choices between two reports of an endpoint;
/// each then compares few zones.
inline constexpr std::size_t max_vms_comparing_all = 16;
inline constexpr std::size_t compared_zones = 2;
/// Token bucket depth for cross-zone transfers, in seconds of the rate.
inline constexpr double cross_zone_burst_s = 1;

struct partial_chain {
  double cost = 0;
  std::vector<std::pair<endpoint_entry*, range_key>> stages;
};

struct chain_search : endpoint_pool {
  using endpoint_pool::endpoint_pool;

  std::size_t choosing_vms = 1;
  double cross_zone_rate = 0;  // MB/s
  double cross_zone_credit_mb = 0;
  instant cross_zone_refilled_at{};

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
    if (request.cross_zone_mb > 0)
      if (const auto best = best_chain_in_a_zone(ranges, request, now))
        return to_chain(*best);
    const auto best = best_chain(ranges, request, now);
    if (!best) return std::nullopt;
    if (request.cross_zone_mb == 0) return to_chain(*best);
    auto stages = to_chain(*best);
    if (!spend_cross_zone_credit(stages, request.cross_zone_mb, now))
      return std::nullopt;
    return stages;
  }

  /// The callers' zone, then the others from a random one on.
  auto zones_to_search(const endpoints_by_range& ranges)
      -> std::vector<std::string> {
    const auto known = zones_of(ranges);
    std::vector<std::string> zones(known.begin(), known.end());
    if (zones.empty()) return zones;
    std::rotate(
        zones.begin(),
        zones.begin() + static_cast<std::ptrdiff_t>(random.below(zones.size())),
        zones.end());
    std::stable_partition(zones.begin(), zones.end(), [this](const auto& zone) {
      return zone == options.zone;
    });
    return zones;
  }

  /// The cheapest one of chains within the callers' zone and others. Zones are
  /// searched apart: the partial chains of a zone that lacks a later layer
  /// would displace those of others. Many VMs that compared all zones would
  /// choose alike, as all have the same reports.
  auto best_chain_in_a_zone(const endpoints_by_range& ranges,
                            const chain_request& request, instant now)
      -> std::optional<partial_chain> {
    const auto max_zones =
        choosing_vms <= max_vms_comparing_all ? SIZE_MAX : compared_zones;
    std::optional<partial_chain> best;
    auto local = request;
    std::size_t found_count = 0;
    for (const auto& zone : zones_to_search(ranges)) {
      local.only_zone = &zone;
      auto found = best_chain(ranges, local, now);
      if (!found) continue;
      if (!best || found->cost < best->cost) best = std::move(found);
      if (++found_count == max_zones) break;
    }
    return best;
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
            keep_best(reached[layers.second], extend(head, entry, layers, now));
      }
    }
    const auto complete = reached.find(wanted_range.second);
    if (complete == reached.end() || complete->second.empty())
      return std::nullopt;
    return complete->second.front();
  }
};

}  // namespace pollenloft

#endif
