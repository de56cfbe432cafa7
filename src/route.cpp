#include "pollenloft/route.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenloft {

namespace {

constexpr double learn_gain = 0.2;
constexpr auto default_layer_time = std::chrono::microseconds(100);
constexpr std::size_t partial_chains = 4;  // kept for each layer boundary
constexpr int failures_to_eject = 3;
constexpr auto most_eject_time = std::chrono::seconds(30);
constexpr double window_cut = 0.5;  // places
// An endpoint that had no place is left alone for this long, and up to as
// long again by chance, so that the VMs do not return together.
constexpr auto busy_pause = milliseconds(5);
/// Seconds of the rate that may be saved up for crossings.
constexpr double crossing_burst_s = 1;
constexpr auto most_busy_pause = milliseconds(500);
constexpr std::size_t most_links = 20000;

auto seconds(duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

auto blend(duration old, duration sample) -> duration {
  if (old == duration::zero()) return sample;
  return old +
         std::chrono::duration_cast<duration>((sample - old) * learn_gain);
}

struct endpoint_entry {
  std::shared_ptr<const endpoint_view> view;
  double outstanding = 0;
  double window = 1;
  double reported = 0;  // others' requests, when the report came
  instant reported_at{};
  duration layer_time{};  // learned; 0 falls back on the kind's
  double new_tokens = 0;  // of own requests, not yet in `fill`
  instant new_tokens_at{};
  int suspects = 0;
  int failures = 0;  // in a row
  int refusals = 0;  // in a row
  duration eject_for{};
  instant ejected_until{};
  instant busy_until{};
  bool removed = false;
};

using range = std::pair<std::int32_t, std::int32_t>;
using entry_ptr = std::shared_ptr<endpoint_entry>;

/// The endpoints of one pipeline by the layers they hold.
using range_groups = std::map<range, std::vector<entry_ptr>>;

struct partial_chain {
  double cost = 0;
  std::vector<std::pair<endpoint_entry*, range>> stages;
};

}  // namespace

struct router::impl {
  impl(route_options options, std::uint64_t seed)
      : options(std::move(options)), random(seed) {}

  route_options options;
  random_source random;
  std::size_t vms = 1;
  std::unordered_map<std::string, entry_ptr> by_id;
  std::map<std::string, range_groups> pipelines;
  std::map<std::string, duration> kind_time;
  std::map<std::pair<std::string, std::string>, duration> zone_links;
  std::map<std::pair<std::string, std::string>, duration> slow_links;
  std::uint64_t turn = 0;
  double crossing_rate = 0;  // MB a second
  double crossing_mb = 0;    // saved up
  instant crossing_at{};

  auto first_window(const endpoint_view& view) const -> double {
    return std::max(1.0, std::ceil(static_cast<double>(view.slots) /
                                   static_cast<double>(vms)));
  }

  auto layer_time(const endpoint_entry& entry) const -> duration {
    if (entry.layer_time != duration::zero()) return entry.layer_time;
    if (entry.view->layer_time != duration::zero())
      return entry.view->layer_time;
    const auto found = kind_time.find(entry.view->kind);
    return found == kind_time.end() ? duration(default_layer_time)
                                    : found->second;
  }

  auto link_time(const endpoint_view& from, const endpoint_view& to) const
      -> duration {
    const auto slow = slow_links.find({from.id, to.id});
    if (slow != slow_links.end()) return slow->second;
    const auto zone = zone_links.find({from.zone, to.zone});
    if (zone != zone_links.end()) return zone->second;
    return from.zone == to.zone ? duration::zero() : duration(milliseconds(1));
  }

  auto others(const endpoint_entry& entry, instant now) const -> double {
    if (entry.reported == 0) return 0;
    const auto age = seconds(now - entry.reported_at);
    return entry.reported * std::exp2(-age / seconds(options.report_half_life));
  }

  auto new_tokens(const endpoint_entry& entry, instant now) const -> double {
    if (entry.new_tokens == 0) return 0;
    const auto age = seconds(now - entry.new_tokens_at);
    return entry.new_tokens *
           std::exp2(-age / seconds(options.report_half_life));
  }

  /// Share of the memory for requests that is taken. Reports of it come late,
  /// so what was sent since counts, too: the other VMs send about as much.
  auto fill(const endpoint_entry& entry, double tokens, instant now) const
      -> double {
    const auto& view = *entry.view;
    if (view.kv_capacity_tokens <= 0) return view.kv_utilization;
    const auto sent = new_tokens(entry, now) * static_cast<double>(vms);
    return view.kv_utilization + (sent + tokens) / view.kv_capacity_tokens;
  }

  static auto has_place(const endpoint_entry& entry,
                        const chain_request& request) -> bool {
    const auto places = std::floor(entry.window);
    const auto kept =
        places > 1 ? std::ceil(places * request.reserved_slot_share) : 0;
    return entry.outstanding + kept < places;
  }

  auto usable(const endpoint_entry& entry, const chain_request& request,
              instant now) const -> bool {
    if (!has_place(entry, request)) return false;
    if (now < entry.ejected_until && !request.allow_ejected) return false;
    if (now < entry.busy_until) return false;
    if (entry.view->kv_utilization >= options.max_kv_utilization) return false;
    if (fill(entry, request.tokens, now) > 1) return false;
    // Suspects do not share an endpoint: a crash then tells which is at fault.
    if (request.poison_suspect && entry.suspects > 0) return false;
    return request.avoid == nullptr ||
           request.avoid->count(entry.view->id) == 0;
  }

  auto load(const endpoint_entry& entry, instant now) const -> double {
    return entry.outstanding + others(entry, now) + 1;
  }

  /// Memory that runs out counts more the less of it is left.
  auto memory_pressure(const endpoint_entry& entry, instant now) const
      -> double {
    constexpr double least_left = 0.05;
    return 1 / std::max(least_left, 1 - fill(entry, 0, now));
  }

  auto cost(const endpoint_entry& entry, std::int32_t layers, instant now) const
      -> double {
    return std::visit(overloaded{[&](const policy_predicted&) {
                                   return load(entry, now) *
                                          memory_pressure(entry, now) *
                                          entry.view->slowdown *
                                          seconds(layer_time(entry)) * layers;
                                 },
                                 [&](const policy_least_outstanding&) {
                                   return entry.outstanding + 1;
                                 },
                                 [](const policy_round_robin&) { return 0.0; }},
                      options.policy);
  }

  /// A sequence holds its place on every stage for as long as the whole chain
  /// takes, so a fast endpoint in a slow chain stands idle between tokens.
  auto mismatch_cost(const endpoint_entry& from, const endpoint_entry& to,
                     std::int32_t layers, instant now) const -> double {
    if (!std::holds_alternative<policy_predicted>(options.policy)) return 0;
    if (!options.penalize_mismatch) return 0;
    const auto apart = std::abs(seconds(layer_time(from) - layer_time(to)));
    return load(to, now) * apart * layers;
  }

  auto link_cost(const endpoint_view& from, const endpoint_view& to) const
      -> double {
    if (!std::holds_alternative<policy_predicted>(options.policy)) return 0;
    return seconds(link_time(from, to));
  }

  /// A few usable endpoints of a range, drawn so that VMs which see the same
  /// loads do not all choose the same one.
  auto sample(const std::vector<entry_ptr>& group, const chain_request& request,
              instant now) -> std::vector<endpoint_entry*> {
    std::vector<endpoint_entry*> drawn;
    if (group.empty()) return drawn;
    const auto round_robin =
        std::holds_alternative<policy_round_robin>(options.policy);
    const auto start = round_robin ? turn : random.next();
    const auto most = round_robin ? 1 : options.candidates_per_range;
    for (std::size_t i = 0; i < group.size() && drawn.size() < most; ++i) {
      auto* entry = group[(start + i) % group.size()].get();
      if (usable(*entry, request, now)) drawn.push_back(entry);
    }
    return drawn;
  }

  auto extend(const partial_chain& head, endpoint_entry* entry, range layers,
              instant now) const -> partial_chain {
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

  static auto in_zone_of(const partial_chain& head, const endpoint_entry& next)
      -> bool {
    return head.stages.empty() ||
           head.stages.back().first->view->zone == next.view->zone;
  }

  auto refill_crossing(instant now) -> void {
    crossing_mb =
        std::min(crossing_burst_s * crossing_rate,
                 crossing_mb + crossing_rate * seconds(now - crossing_at));
    crossing_at = now;
  }

  /// Takes what the chain's crossings need from this VM's part of the links;
  /// false if it is used up.
  auto pay_crossings(const chain& stages, double mb, instant now) -> bool {
    double crossings = 0;
    for (std::size_t i = 1; i < stages.size(); ++i)
      if (stages[i].endpoint->zone != stages[i - 1].endpoint->zone) ++crossings;
    if (crossings == 0 || mb == 0) return true;
    refill_crossing(now);
    if (crossing_mb <= 0) return false;
    crossing_mb -= crossings * mb;  // may go below 0: requests are large
    return true;
  }

  auto to_chain(const partial_chain& partial) const -> chain {
    chain stages;
    for (const auto& [entry, layers] : partial.stages)
      stages.push_back({entry->view, layers.first, layers.second});
    return stages;
  }

  /// A chain in one zone, or else one that crosses while the links have room.
  auto choose(const range_groups& groups, const chain_request& request,
              instant now) -> std::optional<chain> {
    auto near = request;
    near.single_zone = request.cross_zone_mb > 0;
    auto best = best_chain(groups, near, now);
    if (best || !near.single_zone)
      return best ? std::optional(to_chain(*best)) : std::nullopt;
    best = best_chain(groups, request, now);
    if (!best) return std::nullopt;
    auto stages = to_chain(*best);
    if (!pay_crossings(stages, request.cross_zone_mb, now)) return std::nullopt;
    return stages;
  }

  static auto keep_best(std::vector<partial_chain>& chains, partial_chain added)
      -> void {
    const auto at = std::upper_bound(
        chains.begin(), chains.end(), added,
        [](const auto& a, const auto& b) { return a.cost < b.cost; });
    chains.insert(at, std::move(added));
    if (chains.size() > partial_chains) chains.pop_back();
  }

  /// Dynamic programming over layer boundaries, a few best chains at each.
  auto best_chain(const range_groups& groups, const chain_request& request,
                  instant now) -> std::optional<partial_chain> {
    return best_span(groups, request, {0, request.layers}, now);
  }

  /// The same for the layers of `span` alone.
  auto best_span(const range_groups& groups, const chain_request& request,
                 range span, instant now) -> std::optional<partial_chain> {
    std::map<std::int32_t, std::vector<partial_chain>> reached;
    reached[span.first].push_back({});
    for (auto it = reached.begin(); it != reached.end(); ++it) {
      const auto boundary = it->first;
      if (boundary >= span.second) break;
      for (const auto& [held, group] : groups) {
        if (held.first > boundary || held.second <= boundary) continue;
        const range layers{boundary, std::min(held.second, span.second)};
        for (auto* entry : sample(group, request, now))
          for (const auto& head : it->second)
            if (!request.single_zone || in_zone_of(head, *entry))
              keep_best(reached[layers.second],
                        extend(head, entry, layers, now));
      }
    }
    const auto whole = reached.find(span.second);
    if (whole == reached.end() || whole->second.empty()) return std::nullopt;
    return whole->second.front();
  }

  /// The first layer that usable endpoints of a zone do not reach.
  auto unreached_layer(const range_groups& groups, const chain_request& request,
                       const std::string& zone, instant now) const
      -> std::int32_t {
    std::int32_t boundary = 0;
    for (const auto& [held, group] : groups) {
      if (held.first > boundary) break;
      const auto passes =
          std::any_of(group.begin(), group.end(), [&](const auto& entry) {
            return entry->view->zone == zone && usable(*entry, request, now);
          });
      if (passes) boundary = std::max(boundary, held.second);
    }
    return boundary;
  }

  static auto zones_of(const range_groups& groups) -> std::set<std::string> {
    std::set<std::string> zones;
    for (const auto& [held, group] : groups)
      for (const auto& entry : group)
        zones.insert(entry->view->zone);
    return zones;
  }

  auto shortage(const range_groups& groups, const chain_request& request,
                const std::string& zone, instant now) const -> chain_shortage {
    chain_shortage found;
    found.layer = unreached_layer(groups, request, zone, now);
    for (const auto& [held, group] : groups)
      if (held.first <= found.layer && found.layer < held.second)
        for (const auto& entry : group)
          if (entry->view->zone == zone)
            count_obstacle(*entry, request, now, found);
    return found;
  }

  auto count_obstacle(const endpoint_entry& entry, const chain_request& request,
                      instant now, chain_shortage& found) const -> void {
    ++found.holders;
    if (now < entry.ejected_until)
      ++found.ejected;
    else if (entry.view->kv_utilization >= options.max_kv_utilization ||
             fill(entry, request.tokens, now) > 1)
      ++found.kv_full;
    else if (!has_place(entry, request))
      ++found.no_free_slot;
    else if (now < entry.busy_until)
      ++found.backing_off;
    else if (request.avoid != nullptr &&
             request.avoid->count(entry.view->id) != 0)
      ++found.avoided;
  }

  /// Whether the endpoints that are not ejected hold every layer.
  static auto covered(const range_groups& groups, std::int32_t layers,
                      instant now) -> bool {
    std::int32_t boundary = 0;
    for (const auto& [held, group] : groups) {
      if (held.first > boundary) break;
      const auto alive = std::any_of(
          group.begin(), group.end(),
          [&](const auto& entry) { return now >= entry->ejected_until; });
      if (alive) boundary = std::max(boundary, held.second);
    }
    return boundary >= layers;
  }

  auto may_eject(const endpoint_entry& entry, instant now) const -> bool {
    std::size_t all = 0;
    std::size_t ejected = 0;
    for (const auto& [held, group] : pipelines.at(entry.view->pipeline))
      for (const auto& other : group) {
        ++all;
        ejected += now < other->ejected_until ? 1 : 0;
      }
    return static_cast<double>(ejected + 1) <=
           std::max(1.0,
                    options.max_ejected_fraction * static_cast<double>(all));
  }

  /// Doubles with each refusal in a row: an endpoint that is about to leave
  /// refuses everything.
  auto busy_time(int refusals) -> duration {
    const auto pause = std::min<duration>(
        most_busy_pause, duration(busy_pause) * (1 << std::min(refusals, 10)));
    const duration extra(static_cast<std::int64_t>(
        random.below(static_cast<std::uint64_t>(pause.count()))));
    return pause + extra;
  }

  auto eject(endpoint_entry& entry, instant now) -> void {
    if (entry.removed) return;
    entry.eject_for = std::clamp<duration>(
        2 * entry.eject_for, options.base_eject_time, most_eject_time);
    entry.ejected_until = now + entry.eject_for;
    entry.failures = 0;
  }

  auto settle(endpoint_entry& entry, dispatch_result result, bool at_fault,
              bool is_head, instant now) -> void {
    switch (result) {
      case dispatch_result::served:
        entry.failures = 0;
        entry.refusals = 0;
        entry.eject_for = {};
        // The window grows only while it is what limits this VM.
        if (entry.outstanding + 2 >= std::floor(entry.window))
          entry.window = std::min(static_cast<double>(entry.view->slots),
                                  entry.window + 1 / entry.window);
        break;
      case dispatch_result::refused:
        if (!at_fault) break;
        // The endpoint is full with what it has: the window falls to that, so
        // that the VMs' windows together stay close to the endpoint's places.
        // Where memory is counted, places bind at the head of a chain alone.
        if (is_head || entry.view->kv_capacity_tokens <= 0)
          entry.window = std::max(
              1.0, std::min(entry.window - window_cut, entry.outstanding));
        entry.busy_until = now + busy_time(entry.refusals++);
        break;
      case dispatch_result::failed:
        if (at_fault && ++entry.failures >= failures_to_eject &&
            may_eject(entry, now))
          eject(entry, now);
        break;
      case dispatch_result::stalled:
        if (++entry.failures >= failures_to_eject && may_eject(entry, now))
          eject(entry, now);
        break;
      case dispatch_result::down:
        if (at_fault) eject(entry, now);
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
    const auto& known = *found->second->view;
    const auto same = known.incarnation == endpoint.incarnation &&
                      known.first_layer == endpoint.first_layer &&
                      known.last_layer == endpoint.last_layer &&
                      known.pipeline == endpoint.pipeline &&
                      known.address == endpoint.address;
    if (same) {
      auto refreshed = std::make_shared<endpoint_view>(known);
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
  entry->window = impl_->first_window(endpoint);
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
  auto& groups = impl_->pipelines[entry->view->pipeline];
  const range held{entry->view->first_layer, entry->view->last_layer};
  auto& group = groups[held];
  group.erase(std::find(group.begin(), group.end(), entry));
  if (group.empty()) groups.erase(held);
  impl_->by_id.erase(found);
}

auto router::set_vm_count(std::size_t vms) -> void {
  impl_->vms = std::max<std::size_t>(1, vms);
}

auto router::choose(const chain_request& request, instant now)
    -> std::optional<chain> {
  const auto groups = impl_->pipelines.find(request.pipeline);
  if (groups == impl_->pipelines.end())
    return fail("route.choose", request.pipeline, "no endpoints");
  ++impl_->turn;
  auto stages = impl_->choose(groups->second, request, now);
  // Ejected endpoints are better than a layer that nobody holds.
  if (!stages && !impl::covered(groups->second, request.layers, now)) {
    auto wider = request;
    wider.allow_ejected = true;
    stages = impl_->choose(groups->second, wider, now);
  }
  if (!stages)
    return fail("route.choose", request.pipeline,
                "no free chain over all layers");
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
  std::map<std::string, chain_shortage> found;
  const auto groups = impl_->pipelines.find(request.pipeline);
  if (groups == impl_->pipelines.end()) return found;
  for (const auto& zone : impl::zones_of(groups->second))
    found[zone] = impl_->shortage(groups->second, request, zone, now);
  return found;
}

auto router::set_cross_zone_rate(double mb_per_s) -> void {
  impl_->crossing_rate = mb_per_s;
}

auto router::replace_stage(const chain& stages, const std::string& lost,
                           const chain_request& request, instant now)
    -> std::optional<chain> {
  const auto groups = impl_->pipelines.find(request.pipeline);
  if (groups == impl_->pipelines.end()) return std::nullopt;
  // An endpoint may serve one part of a chain only.
  std::set<std::string> taken;
  for (const auto& stage : stages)
    taken.insert(stage.endpoint->id);
  auto wanted = request;
  wanted.avoid = &taken;
  chain mended;
  for (const auto& stage : stages) {
    if (stage.endpoint->id != lost) {
      mended.push_back(stage);
      continue;
    }
    const auto part =
        impl_->best_span(groups->second, wanted, {stage.from, stage.to}, now);
    if (!part) return std::nullopt;
    for (const auto& [entry, layers] : part->stages)
      mended.push_back({entry->view, layers.first, layers.second});
  }
  if (!impl_->pay_crossings(mended, request.cross_zone_mb, now))
    return std::nullopt;
  return mended;
}

auto router::dispatch_started(const chain& stages, bool suspect, double tokens,
                              instant now) -> void {
  for (const auto& stage : stages) {
    const auto found = impl_->by_id.find(stage.endpoint->id);
    if (found == impl_->by_id.end()) continue;
    auto& entry = *found->second;
    entry.outstanding += 1;
    entry.suspects += suspect ? 1 : 0;
    entry.new_tokens = impl_->new_tokens(entry, now) + tokens;
    entry.new_tokens_at = now;
  }
}

auto router::dispatch_ended(const chain& stages, bool suspect,
                            dispatch_result result, const std::string& at_fault,
                            instant now) -> void {
  for (const auto& stage : stages) {
    const auto found = impl_->by_id.find(stage.endpoint->id);
    if (found == impl_->by_id.end()) continue;
    auto& entry = *found->second;
    const auto& now_known = *entry.view;
    if (now_known.incarnation != stage.endpoint->incarnation) continue;
    entry.outstanding = std::max(0.0, entry.outstanding - 1);
    entry.suspects -= suspect ? 1 : 0;
    impl_->settle(entry, result, at_fault == stage.endpoint->id,
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
    entry.reported = std::max(0.0, report.running - entry.outstanding);
    entry.reported_at = now;
    if (report.layer_time > duration::zero()) {
      entry.layer_time = blend(entry.layer_time, report.layer_time);
      auto& kind = impl_->kind_time[entry.view->kind];
      kind = blend(kind, report.layer_time);
    }
    if (i + 1 >= stages.size() || report.link_time <= duration::zero())
      continue;
    const auto& next = *stages[i + 1].endpoint;
    auto& zone = impl_->zone_links[{entry.view->zone, next.zone}];
    const auto link = std::make_pair(report.endpoint, next.id);
    const auto is_slow =
        zone != duration::zero() && report.link_time > 4 * zone;
    if (!is_slow) {
      zone = blend(zone, report.link_time);
      impl_->slow_links.erase(link);
    } else if (impl_->slow_links.size() < most_links) {
      impl_->slow_links[link] = report.link_time;
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
