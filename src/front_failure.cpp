// Failed and refused attempts of a front request, and how it goes on.
#include "front_request.hpp"

namespace pollenloft {

namespace {

/// On a VM in use, other requests deposit retries many times a second.
constexpr auto budget_poll_interval = milliseconds(50);

}  // namespace

/// A stream in flight waits while the retry budget is used up. Aborting here
/// would end the stream at once, whereas a caller that finds the pause too long
/// cancels by itself.
auto front_request::continue_after(request_event event) -> void {
  if (exchange_->started() && !budget_.available()) {
    log_event(log_level::debug, "retry.waits",
              {{"id", params_.headers.request_id},
               {"attempt", lifecycle_.attempt()},
               {"events", events_.size()}});
    budget_timer_ = host_.loop().after(budget_poll_interval,
                                       [self = weak_from_this(), event] {
                                         if (auto request = self.lock())
                                           request->continue_after(event);
                                       });
    return;
  }
  // A stream to be resumed is aborted when it has no attempt left, so a refusal
  // without execution uses up retry budget but no attempt.
  const auto resumes_refused_stream =
      event == request_event::not_run && !lifecycle_.no_earlier_run();
  if (resumes_refused_stream && budget_.try_withdraw())
    return exchange_->started() ? requeue_refused() : step(request_event::busy);
  refusals_ = 0;
  step(event);
}

auto front_request::requeue_refused() -> void {
  ++refusals_;
  random_source random(std::hash<std::string>()(params_.headers.request_id) +
                       refusals_);
  const auto delay = refusal_backoff(refusals_, random.unit());
  if (delay == milliseconds(0)) return step(request_event::busy);
  log_event(log_level::debug, "retry.backs_off",
            {{"id", params_.headers.request_id},
             {"attempt", lifecycle_.attempt()},
             {"refusals", refusals_},
             {"delay_ms", delay.count()}});
  backoff_timer_ = host_.loop().after(delay, [self = weak_from_this()] {
    if (auto request = self.lock()) request->step(request_event::busy);
  });
}

/// Handles a VM's refusal of a relayed request, which has not run.
auto front_request::handle_relay_refusal(const std::string& where) -> void {
  const auto peer = peer_->view->id;
  log_event(log_level::info, "relay.refused",
            {{"id", params_.headers.request_id},
             {"peer", peer},
             {"where", where},
             {"status", response_.status}});
  release_slots(dispatch_result::refused, peer);
  const auto final_response = std::exchange(response_, {});
  if (where == relay_refused_here) {
    host_.relay().drop(peer);
    return step(request_event::busy);
  }
  // The refusal is true of this attempt alone, and others would refuse, too.
  if (!no_earlier_run()) return continue_after(request_event::not_run);
  step(request_event::busy);
  host_.dequeue(shared_from_this());
  relayed_refusal_ = final_response;
  refuse(final_response.status, "another VM refused the request", retry_after_);
}

/// Handles a connection that was never established. It uses up no attempt.
auto front_request::handle_unsent(const error& cause) -> void {
  const auto endpoint = stages_.front().endpoint->id;
  log_failure("endpoint.unreachable", cause);
  if (peer_)
    host_.relay().drop(endpoint);
  else
    host_.reach().contact_failed(endpoint);
  end_reason_ = "the endpoints are not reached";
  avoided_endpoints_.insert(endpoint);
  release_slots(dispatch_result::down, endpoint);
  step(request_event::busy);
}

/// The connection broke off. Any stage may have crashed: the head breaks off
/// when a later one does.
auto front_request::handle_interruption(const error& cause) -> void {
  if (peer_) {
    host_.relay().drop(peer_->view->id);
    return fail_attempt(cause);
  }
  const auto stages = stages_;
  host_.reach().contact_failed(stages.front().endpoint->id);
  end_failed_dispatch(cause);
  attribute_crash(stages, [this](auto /*state*/) {
    continue_after(request_event::broken);
  });
}

auto front_request::attribute_crash(const chain& stages,
                                    crash_monitor::state_handler next) -> void {
  const auto points = events_.answer_size() > 0
                          ? inferred_points_after_first_event
                          : inferred_points_before_first_event;
  const auto attempt = lifecycle_.attempt();
  const auto dispatch_active = dispatch_active_;
  host_.crashes().attribute(
      {params_.headers.request_id, params_.account, params_.fingerprint, points,
       exposure_,
       parts_survived_ ? std::vector<std::uint64_t>{} : params_.parts},
      stages,
      [self = weak_from_this(), attempt, dispatch_active,
       next = std::move(next)](listener_state state) {
        auto request = self.lock();
        if (!request || request->ended() ||
            request->lifecycle_.attempt() != attempt ||
            request->dispatch_active_ != dispatch_active)
          return;
        // Slots are released as they were taken.
        if (!dispatch_active)
          request->poison_suspect_ |= *request->exposure_.charged;
        next(state);
      });
}

/// Handles an interrupted dispatch, which may have run.
auto front_request::fail_attempt(const error& cause) -> void {
  end_failed_dispatch(cause);
  continue_after(request_event::broken);
}

auto front_request::end_failed_dispatch(const error& cause) -> void {
  if (pending_call_) pending_call_->cancel();
  const auto endpoint = stages_.front().endpoint->id;
  log_event(log_level::warning, "attempt.failed",
            {{"id", params_.headers.request_id},
             {"fingerprint", fingerprint_text(params_.fingerprint)},
             {"prompt_parts", fingerprints_text(params_.parts)},
             {"attempt", lifecycle_.attempt()},
             {"endpoint", endpoint},
             {"events", events_.size()},
             {"step", cause.step},
             {"reason", cause.reason}});
  host_.metrics_registry().add("pollenloft_attempts_failed_total");
  end_reason_ = "an endpoint failed while running the request";
  // Any stage of a chain may have failed; the head only reports the failure.
  if (stages_.size() == 1) avoided_endpoints_.insert(endpoint);
  // An endpoint that asks for a pause is alive.
  release_slots(asks_for_pause(response_head_.notices)
                    ? dispatch_result::refused
                    : dispatch_result::failed,
                endpoint);
}

}  // namespace pollenloft
