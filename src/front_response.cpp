// Responses of endpoints to a front request.
#include "front_request.hpp"
#include "pollenloft/engine.hpp"

namespace pollenloft {

namespace {

/// Refusals for want of capacity arrive sooner than this.
constexpr auto slow_refusal_threshold = milliseconds(500);

}  // namespace

auto front_request::handle_headers(std::size_t attempt, int status,
                                   const http_headers& headers) -> void {
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  response_.status = status;
  response_.end = find_body_end(exchange_->request().method, status, headers);
  response_.headers =
      without_relay_headers(platform::encode_response_headers(headers));
  response_head_ = platform::decode_response_head(status, headers);
  if (peer_) {
    relay_refusal_ = headers.find(relay_refused_header);
    if (const auto endpoint = parse_relay_leaving(headers))
      host_.notices().observe_relayed_leaving(*endpoint, status);
    return;
  }
  if (answers_other_request() || response_head_.misdirected) return;
  host_.notices().observe(stages_, status, response_head_.notices,
                          dispatched_at_);
  if (params_.relayed && response_head_.notices.leaving)
    response_.headers.add(relay_leaving_header,
                          format_relay_leaving(*stages_.front().endpoint));
}

auto front_request::answers_other_request() const -> bool {
  return !response_head_.request_id.empty() &&
         response_head_.request_id != params_.headers.request_id;
}

auto front_request::handle_done(std::size_t attempt, const call_result& result,
                                std::string_view body) -> void {
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  std::visit(overloaded{[&](const call_completed& completed) {
                          record_answer_end(completed);
                          handle_response(body);
                        },
                        [this](const call_unsent& unsent) {
                          handle_unsent(unsent.cause);
                        },
                        [this](const call_interrupted& interrupted) {
                          handle_interruption(interrupted.cause);
                        }},
             result);
}

auto front_request::record_answer_end(const call_completed& completed) -> void {
  const auto now = boottime_clock::now();
  const auto silence = data_at_ < dispatched_at_ ? duration(0) : now - data_at_;
  host_.record_answer_end({params_.headers.request_id, lifecycle_.attempt(),
                           stages_.front().endpoint->id, stages_.size(),
                           completed, events_.size(),
                           std::chrono::duration_cast<milliseconds>(silence)});
}

auto front_request::handle_response(std::string_view body) -> void {
  if (answers_other_request())
    return fail_attempt({"answer.head", stages_.front().endpoint->id,
                         "the answer is for another request"});
  if (relay_refusal_) return handle_relay_refusal(*relay_refusal_);
  if (response_head_.not_run && !peer_) {
    const auto* fault = find_refusal_fault();
    if (fault == nullptr) return handle_refusal();
    return fail_attempt({"answer.head", stages_.front().endpoint->id, fault});
  }
  response_.body = body;
  const auto failed = response_.status >= 500;
  const auto started = exchange_->started();
  const auto repeatable = failed && !peer_ && params_.route->may_repeat();
  if (repeatable && !started) failed_response_ = response_;
  // An error in place of the rest of a stream must not end it as whole.
  if (started ? response_.status != 200 : repeatable)
    return fail_attempt({"answer.status", stages_.front().endpoint->id,
                         std::to_string(response_.status)});
  if (const auto* fault = find_end_fault())
    return fail_attempt({"answer.end", stages_.front().endpoint->id, fault});
  release_slots(dispatch_result::served, "");
  if (response_.end == body_end::connection) return check_end();
  complete();
}

/// The end of a process closes its connections, too, and the head of a chain
/// ends its answer when it loses a later stage.
auto front_request::check_end() -> void {
  if (peer_) return check_relayed_end();
  if (stage_lost_) return fail_end();
  const auto& head = *stages_.front().endpoint;
  const auto leaves =
      response_head_.notices.leaving ||
      host_.notices().endpoints().leaves(head.id, head.incarnation);
  // It may end after its last answer.
  if (leaves && stages_.size() == 1 && !params_.route->may_repeat())
    return complete();
  attribute_crash(stages_, [this](listener_state state) {
    const auto gone = state == listener_state::refused ||
                      (state == listener_state::unknown && stages_.size() > 1);
    gone ? fail_end() : complete();
  });
}

auto front_request::check_relayed_end() -> void {
  host_.crashes().detect_crash(
      peer_->view->address,
      [self = weak_from_this(), attempt = lifecycle_.attempt()](bool crashed) {
        auto request = self.lock();
        if (!request || request->ended() ||
            request->lifecycle_.attempt() != attempt)
          return;
        if (!crashed) return request->complete();
        request->host_.relay().drop(request->peer_->view->id);
        request->fail_end();
      });
}

auto front_request::fail_end() -> void {
  fail_attempt({"answer.end", stages_.front().endpoint->id,
                "a process that ran the request has ended"});
}

auto front_request::complete() -> void {
  // An endpoint that answers with an error may not have run the request.
  if (response_.status < 500 && !peer_) {
    host_.crashes().record_survival(params_.fingerprint);
    const auto wrote = !is_stream() || events_.answer_size() > 0;
    if (response_.status == 200 && wrote) record_part_survival();
  }
  if (response_.status == 200 && !peer_) learn_work();
  step(request_event::completed);
}

/// Why an answer that says that nothing ran isn't believed; null if it is.
auto front_request::find_refusal_fault() const -> const char* {
  if (events_.answer_size() > 0) return "a refusal has events";
  const auto unnamed =
      response_head_.request_id.empty() && !params_.headers.request_id.empty();
  if (unnamed && !params_.route->may_repeat())
    return "a refusal names no request";
  return nullptr;
}

auto front_request::endpoint_by_address(const std::string& address) const
    -> std::string {
  for (const auto& stage : stages_)
    if (stage.endpoint->address.text() == address) return stage.endpoint->id;
  return stages_.front().endpoint->id;
}

/// Handles a response in which the endpoint proves that nothing ran.
auto front_request::handle_refusal() -> void {
  const auto failed_endpoint =
      endpoint_by_address(response_head_.failed_address);
  end_reason_ = "the endpoints have no place";
  avoided_endpoints_.insert(failed_endpoint);
  // A runner that does not hold its layer range, or whose refusal took as long
  // as the timeout of an unreachable neighbour, counts as down. A runner
  // without capacity is retried soon.
  const auto slow =
      boottime_clock::now() - dispatched_at_ > slow_refusal_threshold;
  const auto full =
      asks_for_pause(response_head_.notices) ||
      ((response_.status == 503 || response_.status == 429) && !slow);
  log_event(log_level::info, "request.refused_by_endpoint",
            {{"id", params_.headers.request_id},
             {"fingerprint", fingerprint_text(params_.fingerprint)},
             {"attempt", lifecycle_.attempt()},
             {"endpoint", failed_endpoint},
             {"status", response_.status}});
  release_slots(full ? dispatch_result::refused : dispatch_result::down,
                failed_endpoint);
  continue_after(request_event::not_run);
}

}  // namespace pollenloft
