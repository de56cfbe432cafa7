// Stalls of a front request, and failures of endpoints under it.
#include "front_request.hpp"

namespace pollenloft {

namespace {

/// Runners abort work that depends on an unreachable runner by themselves. A
/// stream that pauses this long is resumed before they do.
constexpr auto max_first_event_timeout = milliseconds(1800);
/// An attempt elsewhere must still meet the objective.
constexpr int first_event_share = 2;
constexpr auto event_timeout = milliseconds(1500);
/// Timeout for the response to a repeatable plain request, as a multiple of the
/// route's latency objective.
constexpr int response_timeout_factor = 3;
constexpr auto min_response_timeout = milliseconds(300);
/// Callers abandon a stream that pauses for 2 s. Detecting the failure and
/// prefilling the tokens on the new stages use up the rest of that time.
constexpr auto repair_timeout = milliseconds(900);
constexpr auto repair_retry_interval = milliseconds(100);

}  // namespace

auto front_request::stall_timeout() const -> duration {
  if (!is_stream())
    return std::max<duration>(
        min_response_timeout,
        response_timeout_factor * params_.route->latency_objective);
  return lifecycle_.state() == "streaming" ? duration(event_timeout)
                                           : first_event_timeout();
}

/// A stage that is dark or slow delays the first event far beyond its usual
/// time; when all are slow, the usual time grows.
auto front_request::first_event_timeout() const -> duration {
  const auto& known = host_.first_event_times();
  const auto found = known.find(params_.route->name);
  if (found == known.end()) return max_first_event_timeout;
  return found->second.timeout(
      params_.route->latency_objective / first_event_share,
      max_first_event_timeout);
}

auto front_request::record_first_event_time() -> void {
  if (!is_stream() || peer_ ||
      params_.route->latency_objective <= milliseconds(0))
    return;
  host_.first_event_times()[params_.route->name].record(boottime_clock::now() -
                                                        dispatched_at_);
}

auto front_request::arm_stall_timer() -> void {
  arm_silence_timer();
  // The VM that has a relayed request watches over its endpoints.
  if (!params_.route->may_repeat() || peer_) return;
  stall_timer_ = host_.loop().after(stall_timeout(), [self = weak_from_this()] {
    if (auto request = self.lock()) request->handle_stall();
  });
}

auto front_request::handle_endpoint_failure(const std::string& id) -> void {
  const auto affected =
      dispatch_active_ &&
      std::any_of(stages_.begin(), stages_.end(),
                  [&](const auto& stage) { return stage.endpoint->id == id; });
  stage_lost_ |= affected;
  if (!affected || !params_.route->may_repeat()) return;
  avoided_endpoints_.insert(id);
  chain failed;
  std::copy_if(stages_.begin(), stages_.end(), std::back_inserter(failed),
               [&](const auto& stage) { return stage.endpoint->id == id; });
  attribute_crash(failed, [this, id](auto /*state*/) {
    repair_or_abandon(id, boottime_clock::now() + repair_timeout);
  });
}

/// The layers of the failed endpoint are being loaded elsewhere in the zone.
/// Waiting for them costs less than prefilling prompt and output on another
/// chain, unless the head pauses for longer.
auto front_request::may_repair_by(const std::string& failed_endpoint,
                                  instant until) const -> bool {
  const auto& head = *stages_.front().endpoint;
  const auto returns =
      host_.notices().endpoints().returns_at(head.id, head.incarnation);
  return params_.engine != nullptr && events_.size() > 0 &&
         head.id != failed_endpoint && (!returns || *returns < until) &&
         boottime_clock::now() < until;
}

auto front_request::repair_or_abandon(const std::string& failed_endpoint,
                                      instant until) -> void {
  if (!dispatch_active_) return;
  if (stopped_by_crashes())
    return fail_attempt(
        {"chain.repair", failed_endpoint, "the request crashed endpoints"});
  if (repair_chain(failed_endpoint)) return;
  if (!may_repair_by(failed_endpoint, until)) return handle_stall();
  const auto attempt = lifecycle_.attempt();
  repair_timer_ = host_.loop().after(
      repair_retry_interval,
      [self = weak_from_this(), failed_endpoint, until, attempt] {
        auto request = self.lock();
        if (request && request->lifecycle_.attempt() == attempt)
          request->repair_or_abandon(failed_endpoint, until);
      });
}

/// The runner at the head keeps the request. The new stages prefill the tokens
/// so far, and the other stages keep their KV cache.
auto front_request::repair_chain(const std::string& failed_endpoint) -> bool {
  const auto now = boottime_clock::now();
  const auto& head = *stages_.front().endpoint;
  if (params_.engine == nullptr || head.id == failed_endpoint ||
      host_.notices().endpoints().pauses(head.id, head.incarnation, now))
    return false;
  auto repaired = host_.routes().replace_stage(stages_, failed_endpoint,
                                               make_chain_request(), now);
  if (!repaired) return false;
  set_work(1);
  host_.routes().dispatch_ended(stages_, poison_suspect_,
                                dispatch_result::abandoned, "", now);
  stages_ = std::move(*repaired);
  exposure_ = {now};
  host_.routes().dispatch_started(stages_, poison_suspect_, tokens(), now);
  set_work(work_left());
  log_event(log_level::info, "chain.mended",
            {{"id", params_.headers.request_id},
             {"lost", failed_endpoint},
             {"stages", stages_.size()},
             {"events", events_.size()}});
  host_.metrics_registry().add("pollenloft_chains_mended_total");
  ++mended_;
  arm_stall_timer();
  send_chain_update(now);
  return true;
}

auto front_request::send_chain_update(instant now) -> void {
  host_.client().send(
      platform::encode_chain_update(params_.headers.request_id, stages_),
      {[self = weak_from_this(), head = stages_.front().endpoint, now](
           int status, const auto& headers) {
         if (auto request = self.lock())
           request->host_.notices().observe_command(
               *head, status,
               platform::decode_endpoint_notices(status, headers), now);
       },
       {},
       [self = weak_from_this(), attempt = lifecycle_.attempt()](
           const auto& result, auto /*body*/) {
         if (auto request = self.lock())
           request->handle_chain_update(attempt, result);
       }});
}

auto front_request::handle_chain_update(std::size_t attempt,
                                        const call_result& result) -> void {
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  const auto* response = std::get_if<call_completed>(&result);
  const auto status = response == nullptr ? 0 : response->status;
  const auto update_result = platform::decode_command_result(status);
  if (update_result == platform::command_result::accepted ||
      update_result == platform::command_result::already_applied)
    return;
  log_event(log_level::info, "chain.not_mended",
            {{"id", params_.headers.request_id}, {"status", status}});
  handle_stall();
}

/// A dispatch stalls when any of its stages has crashed.
auto front_request::handle_stall() -> void {
  host_.reach().contact_failed(stages_.front().endpoint->id);
  attribute_crash(stages_, [this, events = events_.size()](auto /*state*/) {
    if (events == events_.size()) abandon_stalled_dispatch();
  });
}

auto front_request::abandon_stalled_dispatch() -> void {
  const auto stages = stages_;
  if (events_.answer_size() == 0) record_first_event_time();
  step(request_event::stalled);
  // A request that may not run again stays on this dispatch.
  if (dispatch_active_) return;
  for (const auto& stage : stages)
    avoided_endpoints_.insert(stage.endpoint->id);
  host_.metrics_registry().add("pollenloft_stalls_total");
  ++stalled_;
  log_event(log_level::warning, "attempt.stalled",
            {{"id", params_.headers.request_id},
             {"fingerprint", fingerprint_text(params_.fingerprint)},
             {"attempt", lifecycle_.attempt()},
             {"endpoint", stages.front().endpoint->id},
             {"events", events_.size()}});
}

}  // namespace pollenloft
