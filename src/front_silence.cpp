// Streams that fall silent: their stages are checked long before a stall.
#include "front_request.hpp"

namespace pollenloft {

namespace {

/// Part of the longest pause that the route allows. The rest is for the check,
/// for the order to the head and for the new stage to prefill the tokens.
constexpr double gap_share = 0.6;
/// Part of the objective for the first event.
constexpr double objective_share = 0.25;
constexpr auto max_silence = milliseconds(1500);
/// A VM checks an endpoint once in this time, however many streams are silent.
constexpr auto check_interval = milliseconds(300);

auto part_of(milliseconds time, double share) -> duration {
  return std::chrono::duration_cast<duration>(time * share);
}

}  // namespace

/// The usual pause of this stream, or the usual time of its route until the
/// first event, tells how long a silence is suspicious.
auto front_request::suspicious_silence() const -> duration {
  const auto& route = *params_.route;
  if (lifecycle_.state() == "streaming" && !gaps_.known())
    return route.max_event_gap;
  if (lifecycle_.state() == "streaming")
    return gaps_.timeout(part_of(route.max_event_gap, gap_share), max_silence);
  const auto& known = host_.first_event_times();
  const auto found = known.find(route.name);
  if (found == known.end()) return max_silence;
  return found->second.timeout(
      part_of(route.latency_objective, objective_share), max_silence);
}

auto front_request::arm_silence_timer() -> void {
  if (params_.engine == nullptr || stages_.size() < 2 || peer_ ||
      params_.route->max_event_gap <= milliseconds(0))
    return;
  silence_timer_ =
      host_.loop().after(suspicious_silence(), [self = weak_from_this()] {
        if (auto request = self.lock()) request->check_stages();
      });
}

/// Finds the stage that holds the stream up, if it accepts no connection.
auto front_request::check_stages() -> void {
  if (!dispatch_active_) return;
  host_.metrics_registry().add("pollenloft_silent_streams_total");
  const auto attempt = lifecycle_.attempt();
  const auto events = events_.size();
  const auto now = boottime_clock::now();
  for (const auto& stage : stages_) {
    auto& checked = host_.stage_checks()[stage.endpoint->id];
    if (now - checked < check_interval) continue;
    checked = now;
    host_.crashes().probe(stage.endpoint->address,
                          [self = weak_from_this(), attempt, events,
                           id = stage.endpoint->id](listener_state state) {
                            auto request = self.lock();
                            if (request && !request->ended() &&
                                request->lifecycle_.attempt() == attempt &&
                                request->events_.size() == events &&
                                state != listener_state::listening)
                              request->handle_silent_stage(id, state);
                          });
  }
}

/// Other streams of this VM may be silent for the same reason.
auto front_request::handle_silent_stage(const std::string& endpoint,
                                        listener_state state) -> void {
  log_event(log_level::info, "stage.silent",
            {{"id", params_.headers.request_id},
             {"endpoint", endpoint},
             {"refused", state == listener_state::refused ? 1 : 0},
             {"events", events_.size()}});
  host_.metrics_registry().add("pollenloft_silent_stages_total");
  if (!host_.fail_over_from(endpoint)) handle_endpoint_failure(endpoint);
}

}  // namespace pollenloft
