// Responses of model engines to a caller's request.
#include "caller_request.hpp"

namespace pollenloft {

auto caller_request::observe_notices(std::size_t attempt, int status,
                                     const http_headers& headers) -> void {
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  refused_ = status == 503 && headers.find(engine_began_header) == "no";
  notices_ = decode_engine_notices(status, headers);
  host_.notices().observe(stages_, status, notices_, dispatched_at_);
}

auto caller_request::handle_engine_data(std::size_t attempt,
                                        std::string_view bytes) -> void {
  // Drops late events of an earlier attempt.
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  for (const auto& event : reader_.feed(bytes)) {
    std::visit(
        overloaded{[this](const token_event& token) { handle_token(token); },
                   [this](const end_event& end) { handle_end(end); },
                   [this](const stage_failure& failure) {
                     handle_stage_failure(failure);
                   }},
        event);
    if (attempt != lifecycle_.attempt() || !dispatch_active_ || ended()) return;
  }
}

auto caller_request::handle_token(const token_event& token) -> void {
  if (token.index < tokens_) return;
  if (token.index > tokens_)
    return handle_stage_failure(
        {stages_.front().endpoint->id, "a token is missing"});
  const auto now = boottime_clock::now();
  if (tokens_ == 0)
    host_.metrics_registry().observe("pollenloft_first_token_seconds",
                                     now - params_.arrived);
  else
    host_.metrics_registry().observe("pollenloft_token_gap_seconds",
                                     now - last_token_at_);
  last_token_at_ = now;
  if (lifecycle_.state() == "dispatched") step(request_event::began);
  ++tokens_;
  response_text_ += token.text;
  if (params_.stream) stream_token(token);
  arm_stall_timer();
}

auto caller_request::handle_end(const end_event& end) -> void {
  if (end.tokens != tokens_)
    return handle_stage_failure(
        {stages_.front().endpoint->id, "tokens are missing at the end"});
  host_.routes().learn(end.loads, stages_, boottime_clock::now());
  response_complete_ = true;
  if (pending_call_) pending_call_->cancel();
  release_slots(dispatch_result::served, "");
  step(request_event::completed);
}

auto caller_request::handle_stage_failure(const stage_failure& failure)
    -> void {
  if (pending_call_) pending_call_->cancel();
  fail_attempt(failure.endpoint, failure.crashed,
               {"engine.stream", failure.endpoint, failure.reason});
}

auto caller_request::handle_model_result(std::size_t attempt,
                                         const call_result& result,
                                         std::string_view body) -> void {
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  const auto& head = stages_.front().endpoint->id;
  std::visit(
      overloaded{
          [&](const call_completed& completed) {
            if (refused_) return handle_refusal(body);
            if (completed.status == 200) handle_engine_data(attempt, body);
            if (response_complete_ || !dispatch_active_ ||
                attempt != lifecycle_.attempt())
              return;
            fail_attempt(head, false,
                         {"engine.call", head,
                          "answer " + std::to_string(completed.status) +
                              " without an end"});
          },
          [this](const call_unsent& unsent) { handle_call_failure(unsent); },
          [this](const call_interrupted& interrupted) {
            handle_call_failure(interrupted);
          }},
      result);
}

/// The connection was not established, so nothing ran.
auto caller_request::handle_call_failure(const call_unsent& unsent) -> void {
  const auto endpoint = stages_.front().endpoint->id;
  log_failure("endpoint.unreachable", unsent.cause);
  avoided_endpoints_.insert(endpoint);
  release_slots(dispatch_result::down, endpoint);
  step(request_event::not_run);
}

/// The call may have reached the endpoint and run.
auto caller_request::handle_call_failure(const call_interrupted& interrupted)
    -> void {
  detect_crash([this, cause = interrupted.cause](bool crashed) {
    fail_attempt(stages_.front().endpoint->id, crashed, cause);
  });
}

auto caller_request::detect_crash(sigc::slot<void(bool)> next) -> void {
  host_.crashes().detect_crash(
      stages_.front().endpoint->address,
      [weak_self = weak_from_this(), attempt = lifecycle_.attempt(),
       active = dispatch_active_, next = std::move(next)](bool crashed) {
        auto self = weak_self.lock();
        if (self && !self->ended() && attempt == self->lifecycle_.attempt() &&
            active == self->dispatch_active_)
          next(crashed);
      });
}

auto caller_request::handle_refusal(std::string_view body) -> void {
  const auto refusal = parse_refusal(body);
  const auto stages = stages_;
  failure_reason_ = "the endpoints are busy";
  const auto no_free_slot =
      refusal.reason == "full" || asks_for_pause(notices_);
  release_slots(no_free_slot ? dispatch_result::refused : dispatch_result::down,
                refusal.endpoint);
  if (no_free_slot) return step(request_event::busy);
  if (refusal.reason == "leaving")
    host_.notices().refused_as_leaving(stages, refusal.endpoint);
  avoided_endpoints_.insert(refusal.endpoint);
  step(request_event::not_run);
}

}  // namespace pollenloft
