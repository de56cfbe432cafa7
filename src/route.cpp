#include "pollenloft/route.hpp"

#include "chain_search.hpp"

namespace pollenloft {

namespace {

constexpr double ewma_weight = 0.2;  // of the newest sample
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
constexpr std::size_t max_slow_links = 20000;

auto ewma(duration old, duration sample) -> duration {
  if (old == duration::zero()) return sample;
  return old +
         std::chrono::duration_cast<duration>((sample - old) * ewma_weight);
}

}  // namespace

struct router::impl : chain_search {
  using chain_search::chain_search;

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

auto router::set_choosing_vms(std::size_t vms) -> void {
  impl_->choosing_vms = vms;
}

auto router::set_limiter(request_limiter& limiter) -> void {
  impl_->limiter = &limiter;
}

auto router::set_notices(notice_register& notices) -> void {
  impl_->notices = &notices;
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
      !impl_->covered_without_ejected(ranges->second, request.layers, now)) {
    auto with_ejected = request;
    with_ejected.allow_ejected = true;
    stages = impl_->choose(ranges->second, with_ejected, now);
  }
  if (!stages)
    return fail("route.choose", request.pipeline,
                "no free chain over all layers");
  impl_->record_use(*stages, now);
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

auto router::wait_for_endpoints(const chain_request& request, instant now) const
    -> std::optional<stated_wait> {
  if (!impl_->any_stated()) return std::nullopt;
  std::optional<stated_wait> shortest;
  for (const auto& [zone, shortage] : shortages(request, now)) {
    const auto stated = shortage.no_permit + shortage.paused + shortage.leaving;
    if (stated + shortage.ejected != shortage.holders) return std::nullopt;
    if (!shortage.wait || (shortest && shortest->time <= *shortage.wait))
      continue;
    shortest = stated_wait{*shortage.wait, shortage.no_permit == 0};
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
  impl_->record_use(added, now);
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
    // Rounding errors of the differences don't add up.
    if (entry.outstanding == 0) entry.extra_work = 0;
    entry.poison_suspects -= poison_suspect ? 1 : 0;
    impl_->apply_result(entry, result, failed_endpoint == stage.endpoint->id,
                        &stage == &stages.front(), now);
  }
}

auto router::change_work(const chain& stages, double difference) -> void {
  for (const auto& stage : stages) {
    const auto found = impl_->by_id.find(stage.endpoint->id);
    if (found == impl_->by_id.end() ||
        found->second->view->incarnation != stage.endpoint->incarnation)
      continue;
    found->second->extra_work += difference;
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
