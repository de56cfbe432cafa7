// Claims of idempotency keys for a caller's request.
#include "caller_request.hpp"

namespace pollenloft {

auto caller_request::send_claim() -> void {
  wire::claim_record record;
  record.account = params_.account;
  record.key = params_.key;
  record.fingerprint = static_cast<std::int64_t>(params_.fingerprint);
  record.holder = host_.vm_incarnation();
  record.dispatch = dispatch_id_;
  host_.control().claim(record, params_.deadline - boottime_clock::now(),
                        [weak_self = weak_from_this()](const auto& reply) {
                          if (auto self = weak_self.lock())
                            self->handle_claim_reply(reply);
                        });
}

auto caller_request::handle_claim_reply(
    const std::optional<wire::claim_reply>& reply) -> void {
  // If no leader replied, the deadline timer ends the request.
  if (!reply) return;
  switch (static_cast<claim_answer>(reply->answer)) {
    case claim_answer::granted:
      return step(request_event::claim_granted);
    case claim_answer::open:
      return step(request_event::claim_held);
    case claim_answer::settled:
      settled_claim_ = reply->record;
      return step(request_event::claim_settled);
    case claim_answer::mismatch:
      failure_reason_ = "the Idempotency-Key was used for another request";
      failure_status_ = 422;
      return step(request_event::claim_refused);
    default:
      failure_reason_ = "too many requests are being claimed";
      return step(request_event::claim_refused);
  }
}

auto caller_request::settle(claim_state state, int status,
                            const std::string& body) -> void {
  if (params_.idempotent || params_.key.empty()) return;
  wire::settle_command command;
  command.account = params_.account;
  command.key = params_.key;
  command.dispatch = dispatch_id_;
  command.state = static_cast<std::int8_t>(state);
  command.status = status;
  command.body = body;
  host_.control().settle(command);
}

/// Answers a repeated request with the recorded response of the first one.
auto caller_request::replay_settled_response() -> void {
  const auto completed =
      settled_claim_->state == static_cast<std::int8_t>(claim_state::completed);
  auto headers =
      reply_headers(completed ? outcome::completed : outcome::unknown);
  headers.add("Pollenloft-Replayed", "yes");
  const auto& body = settled_claim_->body;
  const auto newline = body.find('\n');
  if (completed && newline != std::string::npos) {
    headers.add("Content-Type", body.substr(0, newline));
    exchange_->reply(settled_claim_->status, headers, body.substr(newline + 1));
  } else if (completed) {
    headers.add("Pollenloft-Body", "not-kept");
    exchange_->reply(settled_claim_->status, headers, "");
  } else {
    exchange_->reply(502, headers, "It is unknown whether the request ran.\n");
  }
  host_.request_ended(shared_from_this());
}

}  // namespace pollenloft
