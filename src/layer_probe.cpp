// Probes of runners, and what their responses tell.
#include <cmath>

#include "layer_placer.hpp"
#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

/// One probe costs a runner little, but the probes of 2,500 runners add up.
constexpr auto probe_interval = milliseconds(500);
/// For runners that are suspected or have an assignment under way.
constexpr auto fast_probe_interval = milliseconds(250);
/// Packet loss delays a probe response now and then. Several consecutive missed
/// probes mean that the runner is unreachable; one is enough if a neighbour
/// reports that its work stalls there.
constexpr int max_missed_probes = 4;
constexpr int max_missed_probes_suspected = 1;
/// A live runner answers a probe within milliseconds.
constexpr auto suspicion_timeout = milliseconds(250);
constexpr auto suspicion_lifetime = std::chrono::seconds(2);
/// KV-cache utilization is rounded down to steps of this size, because each
/// change of a step is sent to every entry VM.
constexpr std::int32_t kv_utilization_step_percent = 10;
/// Nothing but its listener tells the leader that a pausing runner has crashed.
constexpr auto listener_probe_interval = std::chrono::seconds(5);
constexpr auto listener_timeout = milliseconds(250);

}  // namespace

auto layer_placer::probe(const wire::endpoint_record& record, instant now)
    -> void {
  auto& status = runners_[record.id];
  if (status.incarnation != record.incarnation) {
    pauses_.replace(record.id, record.incarnation, now);
    status = runner_status{};
    status.incarnation = record.incarnation;
  }
  const auto suspected = now - status.suspected_at < suspicion_lifetime;
  const auto period =
      status.wanted || suspected ? fast_probe_interval : probe_interval;
  if (status.probe_in_flight && suspected &&
      now - status.probe_sent > suspicion_timeout)
    mark_unreachable(record.id, false);
  if (status.probe_in_flight || now - status.probe_sent < period) return;
  if (!pauses_.admits(record.id, record.incarnation, now))
    return probe_listener(record, now);
  const auto address = parse_socket_address(record.address);
  if (!address) return;
  status.probe_in_flight = true;
  status.probe_sent = now;
  pauses_.take(record.id, record.incarnation, now);
  const endpoint_process runner{record.id, record.incarnation, record.slots};
  client_.send(
      platform::encode_state_probe(*address),
      {[this, alive = alive_, runner, now](int code, const auto& headers) {
         if (*alive)
           observe_notices(
               runner, platform::decode_endpoint_notices(code, headers), now);
       },
       {},
       [this, alive = alive_, runner, now](const auto& result, auto body) {
         if (*alive) handle_probe_response(runner, now, result, body);
       }});
}

auto layer_placer::find_status(const endpoint_process& runner)
    -> runner_status* {
  const auto found = runners_.find(runner.id);
  const auto same = found != runners_.end() &&
                    found->second.incarnation == runner.incarnation;
  return same ? &found->second : nullptr;
}

auto layer_placer::probe_listener(const wire::endpoint_record& record,
                                  instant now) -> void {
  auto& status = runners_[record.id];
  const auto address = parse_socket_address(record.address);
  if (!address || now - status.listener_probed < listener_probe_interval)
    return;
  status.listener_probed = now;
  const endpoint_process runner{record.id, record.incarnation, record.slots};
  listeners_.probe(*address, listener_timeout,
                   [this, runner](listener_state state) {
                     auto* current = find_status(runner);
                     if (current == nullptr) return;
                     if (state != listener_state::listening)
                       return handle_missed_probe(
                           runner.id, state == listener_state::refused);
                     current->missed_probes = 0;
                   });
}

auto layer_placer::pauses(const std::string& id, instant now) const -> bool {
  return pauses_.pauses(id, runners_.at(id).incarnation, now);
}

/// A runner that leaves may not have reported it yet, or not at all.
auto layer_placer::observe_notices(const endpoint_process& runner,
                                   const endpoint_notices& stated,
                                   instant asked) -> void {
  if (find_status(runner) == nullptr) return;
  const auto& [id, incarnation, slots] = runner;
  if (const auto length = pause_length(stated)) {
    pauses_.add_pause(runner, *length, boottime_clock::now());
    log_event(log_level::info, "runner.paused",
              {{"endpoint", id},
               {"incarnation", incarnation},
               {"length_ms",
                std::chrono::duration_cast<milliseconds>(*length).count()}});
  } else {
    pauses_.add_response(id, incarnation, asked);
  }
  if (!stated.leaving) return;
  if (!directory_.mark_leaving(id, incarnation)) return;
  log_event(log_level::info, "endpoint.leaving",
            {{"endpoint", id}, {"incarnation", incarnation}});
  changed.emit(id);
}

auto layer_placer::handle_probe_response(const endpoint_process& runner,
                                         instant asked,
                                         const call_result& result,
                                         std::string_view body) -> void {
  auto* current = find_status(runner);
  if (current == nullptr) return;
  const auto& id = runner.id;
  auto& status = *current;
  status.probe_in_flight = false;
  const auto* response = std::get_if<call_completed>(&result);
  auto state = response != nullptr && response->status == 200
                   ? platform::decode_runner_state(body)
                   : std::nullopt;
  // A runner that asks for a pause is alive.
  if (!state && pauses(id, asked)) return;
  if (!state)
    return handle_missed_probe(id, std::holds_alternative<call_unsent>(result));
  if (status.unreachable)
    log_event(log_level::info, "runner.reachable", {{"endpoint", id}});
  // An earlier leader may have marked the runner unreachable.
  if (directory_.set_unreachable(id, false)) changed.emit(id);
  status.unreachable = false;
  status.missed_probes = 0;
  status.state = state;
  const layer_range held{state->first_layer, state->last_layer};
  if (status.wanted && !status.assignment_in_flight)
    check_assignment(id, status, held);
  for (const auto& address : state->stalled_peers)
    suspect_address(address);
  record_layers(id, held);
  record_load(id, *state);
}

/// A neighbour reports that its work stalls at this address. The runner there
/// is suspected and probed at once.
auto layer_placer::suspect_address(const std::string& address) -> void {
  for (const auto& [id, record] : directory_.records()) {
    if (record.address != address) continue;
    const auto found = runners_.find(id);
    if (found == runners_.end() || found->second.unreachable) continue;
    found->second.suspected_at = boottime_clock::now();
    probe(record, boottime_clock::now());
  }
}

/// A refused connection means that the process is down; a missing response may
/// be packet loss. Entry VMs learn of an unreachable runner at once and stop
/// sending requests to it.
auto layer_placer::handle_missed_probe(const std::string& id, bool refused)
    -> void {
  auto& status = runners_[id];
  ++status.missed_probes;
  status.probe_sent = {};
  const auto suspected =
      boottime_clock::now() - status.suspected_at < suspicion_lifetime;
  const auto limit =
      suspected ? max_missed_probes_suspected : max_missed_probes;
  if (status.missed_probes >= limit || refused) mark_unreachable(id, refused);
}

auto layer_placer::mark_unreachable(const std::string& id, bool refused)
    -> void {
  auto& status = runners_[id];
  if (status.unreachable) return;
  const auto now = boottime_clock::now();
  status.unreachable = true;
  log_event(log_level::warning, "runner.unreachable",
            {{"endpoint", id},
             {"missed_probes", status.missed_probes},
             {"refused", refused},
             {"suspected", now - status.suspected_at < suspicion_lifetime},
             {"probe_age_ms",
              std::chrono::duration_cast<milliseconds>(now - status.probe_sent)
                  .count()}});
  if (directory_.set_unreachable(id, true)) changed.emit(id);
}

auto layer_placer::record_load(const std::string& id,
                               const platform::runner_state& state) -> void {
  constexpr double percent = 100;
  const auto kv_utilization =
      state.kv_capacity > 0 ? state.kv_used / state.kv_capacity : 0;
  const auto steps = static_cast<std::int32_t>(kv_utilization * percent /
                                               kv_utilization_step_percent);
  // Rounds the slowdown to halves, since smaller differences are measurement
  // noise.
  constexpr double slowdown_steps_per_unit = 2;
  const auto rounded = std::round(slowdown_steps_per_unit * state.slowdown);
  const auto slowdown = static_cast<std::int32_t>(
      std::max(1.0, rounded / slowdown_steps_per_unit) * percent);
  if (directory_.set_load(id, steps * kv_utilization_step_percent, slowdown))
    changed.emit(id);
}

}  // namespace pollenloft
