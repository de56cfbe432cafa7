#include "layer_placer.hpp"

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

/// Runners start shortly after each other. An initial plan made before most of
/// them are known would have to be undone.
constexpr auto startup_settle_time = milliseconds(1500);
constexpr auto summary_interval = std::chrono::seconds(4);
/// A control VM starts with an empty directory. It takes a runner for missing
/// only after every runner has had time for this many reports.
constexpr int report_periods_after_start = 4;
/// The runner state that a probe returns lags. After a refused assignment this
/// pause lets a new probe read it before the next assignment.
constexpr auto refused_assignment_pause = milliseconds(700);
/// An assignment without a visible effect after this time may be sent again.
constexpr auto assignment_timeout = std::chrono::seconds(8);

}  // namespace

auto layer_placer::start_term(std::int64_t term) -> void {
  term_ = term;
  directory_.start_status_term(term);
  fenced_ = false;
  runners_.clear();
  last_discovery_.clear();
  known_count_.clear();
}

auto layer_placer::is_usable(const wire::endpoint_record& record) const
    -> bool {
  // Overdue reports do not show that a runner is down, because they go to any
  // control VM, which may be partitioned. Missed probes do.
  const auto found = runners_.find(record.id);
  return found != runners_.end() && found->second.state.has_value() &&
         !found->second.unreachable;
}

auto layer_placer::tick(const ingress_config& config, instant now) -> void {
  if (fenced_) return;
  for (const auto& [name, service] : config.services)
    if (service.engine) tick_service(service, now);
}

auto layer_placer::to_placed_runner(const wire::endpoint_record& record,
                                    const engine_profile& engine) const
    -> placed_runner {
  const auto& status = runners_.at(record.id);
  placed_runner placed;
  placed.id = record.id;
  placed.zone = record.zone;
  const auto kind = engine.accelerators.find(record.kind);
  if (kind != engine.accelerators.end()) placed.kind = kind->second;
  placed.assigned = {status.state->first_layer, status.state->last_layer};
  placed.serving = status.state->active_requests > 0;
  if (status.wanted) placed.assigned = *status.wanted;
  placed.reassigning = status.wanted.has_value() ||
                       status.assignment_in_flight || status.state->busy ||
                       boottime_clock::now() < status.next_assignment ||
                       pauses(record.id, boottime_clock::now());
  return placed;
}

auto layer_placer::tick_service(const ingress_service& service, instant now)
    -> void {
  std::vector<placed_runner> placed;
  std::size_t known = 0;
  std::size_t unprobed = 0;
  for (const auto& [id, record] : directory_.records()) {
    if (record.pipeline != service.name || record.kind.empty()) continue;
    if (record.state != static_cast<std::int8_t>(endpoint_state::up)) continue;
    if (record.displaced) continue;
    ++known;
    probe(record, now);
    const auto& status = runners_.at(id);
    if (!status.state && !status.unreachable && !pauses(id, now)) ++unprobed;
    if (is_usable(record))
      placed.push_back(to_placed_runner(record, *service.engine));
  }
  auto& count = known_count_[service.name];
  auto& since = last_discovery_[service.name];
  if (known > count) since = now;
  count = known;
  if (placed.empty()) return;
  const auto reports_complete =
      now - started_ > report_periods_after_start * report_period_;
  const auto empty =
      std::all_of(placed.begin(), placed.end(),
                  [](const auto& runner) { return runner.assigned.empty(); });
  // Only the initial plan waits for runners that are about to appear. A repair
  // waits for the states of the known runners, which a new leader has not
  // probed yet.
  if (empty ? now - since < startup_settle_time
            : !reports_complete || unprobed > 0)
    return;
  const auto plan = empty ? plan_initial(*service.engine, placed, {})
                          : plan_repair(*service.engine, placed, {});
  for (const auto& [id, range] : plan)
    assign_layers(directory_.records().at(id), range, now);
  if (now - last_summary_ < summary_interval) return;
  last_summary_ = now;
  log_summary(*service.engine, placed);
}

auto layer_placer::summarize(const engine_profile& engine,
                             const std::vector<placed_runner>& placed) const
    -> std::map<std::string, zone_summary> {
  std::map<std::string, zone_summary> zones;
  for (const auto& runner : placed) {
    auto& zone = zones[runner.zone];
    zone.layer_kv_tokens.resize(static_cast<std::size_t>(engine.layers));
    for (auto layer = runner.assigned.from; layer < runner.assigned.to; ++layer)
      zone.layer_kv_tokens[static_cast<std::size_t>(layer)] +=
          kv_capacity_tokens(engine, runner.kind, runner.assigned.size());
    const auto& state = *runners_.at(runner.id).state;
    zone.max_active_requests =
        std::max(zone.max_active_requests, state.active_requests);
    const auto kv_utilization =
        state.kv_used / std::max(1.0, state.kv_capacity);
    if (kv_utilization <= zone.max_kv_utilization) continue;
    zone.max_kv_utilization = kv_utilization;
    zone.fullest_runner = runner.id;
  }
  return zones;
}

/// Writes one line for each zone, with the layers that no runner holds and the
/// layer with the least KV-cache capacity.
auto layer_placer::log_summary(const engine_profile& engine,
                               const std::vector<placed_runner>& placed) const
    -> void {
  for (const auto& [name, zone] : summarize(engine, placed)) {
    const auto weakest = std::min_element(zone.layer_kv_tokens.begin(),
                                          zone.layer_kv_tokens.end());
    log_event(log_level::info, "layers.summary",
              {{"zone", name},
               {"missing", std::count(zone.layer_kv_tokens.begin(),
                                      zone.layer_kv_tokens.end(), 0.0)},
               {"min_kv_capacity_tokens", static_cast<std::int64_t>(*weakest)},
               {"weakest_layer", weakest - zone.layer_kv_tokens.begin()},
               {"fullest_runner", zone.fullest_runner},
               {"max_kv_utilization", zone.max_kv_utilization},
               {"max_active_requests", zone.max_active_requests}});
  }
}

/// Ends an assignment once the runner holds the wanted layers, or after the
/// assignment timeout.
auto layer_placer::check_assignment(const std::string& id,
                                    runner_status& status, layer_range held)
    -> void {
  const auto waited = boottime_clock::now() - status.assignment_sent;
  const auto done = held == *status.wanted && !status.state->busy;
  if (!done && waited <= assignment_timeout) return;
  log_event(
      done ? log_level::info : log_level::warning,
      done ? "layers.held" : "layers.overdue",
      {{"endpoint", id},
       {"held_from", held.from},
       {"held_to", held.to},
       {"wanted_from", status.wanted->from},
       {"wanted_to", status.wanted->to},
       {"busy", status.state->busy},
       {"active_requests", status.state->active_requests},
       {"took_ms", std::chrono::duration_cast<milliseconds>(waited).count()}});
  status.wanted.reset();
}

/// Records only the layers that the runner holds and will keep, so that routing
/// does not use layers that it is about to drop.
auto layer_placer::record_layers(const std::string& id, layer_range range)
    -> void {
  const auto found = directory_.records().find(id);
  if (found == directory_.records().end()) return;
  const auto& status = runners_[id];
  if (status.wanted) {
    range.from = std::max(range.from, status.wanted->from);
    range.to = std::max(range.from, std::min(range.to, status.wanted->to));
  }
  if (directory_.set_layers(id, range.from, range.to)) changed.emit(id);
}

auto layer_placer::assign_layers(const wire::endpoint_record& record,
                                 layer_range range, instant now) -> void {
  auto& status = runners_[record.id];
  const auto address = parse_socket_address(record.address);
  if (!address || status.assignment_in_flight) return;
  status.assignment_in_flight = true;
  status.assignment_sent = now;
  status.wanted = range;
  const endpoint_process runner{record.id, record.incarnation, record.slots};
  const auto& id = runner.id;
  record_layers(id, {status.state->first_layer, status.state->last_layer});
  log_event(log_level::info, "layers.ordered",
            {{"endpoint", id},
             {"from", range.from},
             {"to", range.to},
             {"held_from", status.state->first_layer},
             {"held_to", status.state->last_layer},
             {"sequence", status.state->sequence},
             {"term", term_}});
  const platform::layer_assignment wanted{range.from, range.to, term_,
                                          status.state->sequence};
  client_.send(
      platform::encode_layer_assignment(*address, wanted),
      {[this, alive = alive_, runner, now](int code, const auto& headers) {
         if (*alive)
           observe_notices(
               runner, platform::decode_endpoint_notices(code, headers), now);
       },
       {},
       [this, alive = alive_, runner, range](const auto& result,
                                             auto /*body*/) {
         if (*alive) handle_assignment_result(runner, range, result);
       }});
}

auto layer_placer::handle_assignment_result(const endpoint_process& runner,
                                            layer_range range,
                                            const call_result& result) -> void {
  auto* current = find_status(runner);
  if (current == nullptr) return;
  const auto& id = runner.id;
  auto& status = *current;
  status.assignment_in_flight = false;
  status.probe_sent = {};
  const auto* response = std::get_if<call_completed>(&result);
  // Without an answer the runner may still carry out the assignment. The next
  // probes show whether it does.
  if (response == nullptr) {
    log_event(log_level::warning, "layers.order_unanswered",
              {{"endpoint", id}});
    return;
  }
  switch (platform::decode_command_result(response->status)) {
    case platform::command_result::accepted:
    case platform::command_result::already_applied:
      return;
    case platform::command_result::fenced:
      fenced_ = true;
      log_event(log_level::warning, "layers.fenced",
                {{"endpoint", id}, {"term", term_}});
      return;
    default:
      status.wanted.reset();
      status.next_assignment = boottime_clock::now() + refused_assignment_pause;
      log_event(log_level::warning, "layers.order_refused",
                {{"endpoint", id},
                 {"status", response->status},
                 {"from", range.from},
                 {"to", range.to}});
  }
}

}  // namespace pollenloft
