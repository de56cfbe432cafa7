// Requests to plain services on the own interface.
#include "caller_request.hpp"

namespace pollenloft {

auto caller_request::dispatch_plain() -> void {
  const auto& received = exchange_->request();
  http_call outgoing;
  outgoing.peer = stages_.front().endpoint->address;
  outgoing.method = received.method;
  const auto prefix = std::string("/services/") + params_.service_name;
  outgoing.target =
      received.target.substr(std::min(prefix.size(), received.target.size()));
  if (outgoing.target.empty() || outgoing.target[0] != '/')
    outgoing.target = "/" + outgoing.target;
  if (const auto type = received.headers.find("Content-Type"))
    outgoing.headers.add("Content-Type", *type);
  if (!params_.key.empty())
    outgoing.headers.add("Idempotency-Key", params_.key);
  outgoing.headers.add("Pollenloft-Request", dispatch_id_);
  outgoing.headers.add("Pollenloft-Endpoint", stages_.front().endpoint->id);
  outgoing.body = received.body;
  outgoing.limits = plain_response_limits;
  outgoing.timeout =
      params_.deadline - boottime_clock::now() + std::chrono::seconds(1);
  outgoing.connect_timeout = endpoint_connect_timeout;
  const auto attempt = lifecycle_.attempt();
  auto weak_self = weak_from_this();
  pending_call_ = host_.client().send(
      outgoing, {[weak_self, attempt](int status, const auto& headers) {
                   auto self = weak_self.lock();
                   if (!self || attempt != self->lifecycle_.attempt()) return;
                   self->observe_notices(attempt, status, headers);
                   self->plain_status_ = status;
                   self->plain_content_type_ =
                       headers.find("Content-Type").value_or("");
                 },
                 {},
                 [weak_self, attempt](const auto& result, auto body) {
                   if (auto self = weak_self.lock())
                     self->handle_plain_result(attempt, result, body);
                 }});
  if (params_.idempotent) arm_stall_timer();
}

auto caller_request::handle_plain_result(std::size_t attempt,
                                         const call_result& result,
                                         std::string_view body) -> void {
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  std::visit(overloaded{[&](const call_completed& completed) {
                          host_.record_answer_end(
                              {dispatch_id_, lifecycle_.attempt(),
                               stages_.front().endpoint->id, 1, completed});
                          if (refused_) return handle_refusal(body);
                          response_text_ = body;
                          plain_end_ = completed.end;
                          release_slots(dispatch_result::served, "");
                          if (plain_end_ == body_end::connection)
                            return check_plain_end();
                          step(request_event::completed);
                        },
                        [this](const call_unsent& unsent) {
                          handle_call_failure(unsent);
                        },
                        [this](const call_interrupted& interrupted) {
                          handle_call_failure(interrupted);
                        }},
             result);
}

/// The end of a process closes its connections, too.
auto caller_request::check_plain_end() -> void {
  detect_crash([this](bool crashed) {
    if (!crashed) return step(request_event::completed);
    const auto endpoint = stages_.front().endpoint->id;
    response_text_.clear();
    fail_attempt(endpoint, true,
                 {"answer.end", endpoint, "the process has ended"});
  });
}

auto caller_request::reply_plain() -> void {
  auto headers = reply_headers(outcome::completed);
  const auto type =
      plain_content_type_.empty() ? "text/plain" : plain_content_type_;
  headers.add("Content-Type", type);
  exchange_->reply(plain_status_, headers, response_text_, plain_end_);
  // A replay would state that the body is whole.
  const auto kept = plain_end_ != body_end::connection;
  settle(claim_state::completed, plain_status_,
         kept ? type + "\n" + response_text_ : "");
}

}  // namespace pollenloft
