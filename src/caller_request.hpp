/// \file caller_request.hpp
/// A caller's request on an entry VM: executes the actions that its lifecycle
/// decides and exchanges data with the caller and the endpoints.
#ifndef POLLENLOFT_CALLER_REQUEST_HPP
#define POLLENLOFT_CALLER_REQUEST_HPP

#include <memory>
#include <set>
#include <string>

#include "control_client.hpp"
#include "dispatch_host.hpp"
#include "pollenloft/admission.hpp"
#include "pollenloft/engine.hpp"
#include "pollenloft/lifecycle.hpp"
#include "pollenloft/telemetry.hpp"

namespace pollenloft {

class caller_request;
using caller_request_ptr = std::shared_ptr<caller_request>;

/// The part of an entry VM that a request uses.
class request_host : public dispatch_host<caller_request> {
 public:
  virtual auto request_chart() const -> const chart& = 0;
  virtual auto budget() -> retry_budget& = 0;
  /// The mechanism that a check has disabled with `--switch-off`; empty in
  /// production.
  virtual auto disabled_mechanism() const -> const std::string& = 0;
  virtual auto vm_name() const -> const std::string& = 0;
  virtual auto vm_incarnation() const -> const std::string& = 0;
  /// Whether the account uses more than its fair share over all VMs.
  virtual auto above_fair_share(const std::string& account) const -> bool = 0;
};

/// A parsed request, from its headers, its body and the configuration.
struct request_parameters {
  request_id id = 0;
  std::string service_name;
  std::shared_ptr<const service> target;  ///< the service, never null
  std::string account;                    ///< name of the client account
  double weight = 1;                      ///< of the account, for fair queueing
  std::int32_t priority = 1;              ///< lower values run first
  std::string key;                        ///< Idempotency-Key, may be empty
  bool idempotent = true;
  instant arrived{};
  instant deadline{};
  std::uint64_t fingerprint = 0;  ///< hash of account, target and body
  bool stream = false;
  std::string prompt;           ///< of a model request
  std::int64_t max_tokens = 1;  ///< of a model request's response
};

class caller_request : public std::enable_shared_from_this<caller_request> {
 public:
  caller_request(request_host& host, exchange_ptr call,
                 request_parameters parameters);

  auto start() -> void;
  /// Passes an event to the lifecycle and executes the resulting actions.
  auto step(request_event event) -> void;
  /// Ends a queued request. The response asks the caller to retry after
  /// `retry_after`.
  auto refuse(const std::string& reason, milliseconds retry_after) -> void;
  /// Ends a queued request that has crashed endpoints since it arrived; false
  /// if it has not.
  auto stop_if_poison() -> bool;
  /// Sends the request to the first endpoint of the chain `stages`.
  auto dispatch(chain stages) -> void;
  auto parameters() const -> const request_parameters& { return params_; }
  /// What the router must consider for the next dispatch.
  auto make_chain_request() const -> chain_request;
  /// Estimated cost for fair queueing: remaining tokens plus a share for the
  /// prompt; 1 for a plain request.
  auto cost() const -> double;
  auto queued() const -> bool { return lifecycle_.state() == "queued"; }
  auto no_earlier_run() const -> bool { return lifecycle_.no_earlier_run(); }
  auto ended() const -> bool { return lifecycle_.ended(); }

 private:
  auto execute(request_action action) -> void;
  auto enqueue() -> void;
  auto send_claim() -> void;
  auto handle_claim_reply(const std::optional<wire::claim_reply>& reply)
      -> void;
  auto settle(claim_state state, int status, const std::string& body) -> void;
  auto replay_settled_response() -> void;

  auto dispatch_model() -> void;
  auto dispatch_plain() -> void;
  auto observe_notices(std::size_t attempt, int status,
                       const http_headers& headers) -> void;
  auto handle_engine_data(std::size_t attempt, std::string_view bytes) -> void;
  auto handle_token(const token_event& token) -> void;
  auto handle_end(const end_event& end) -> void;
  auto handle_stage_failure(const stage_failure& failure) -> void;
  auto handle_model_result(std::size_t attempt, const call_result& result,
                           std::string_view body) -> void;
  auto handle_plain_result(std::size_t attempt, const call_result& result,
                           std::string_view body) -> void;
  auto handle_call_failure(const call_unsent& unsent) -> void;
  auto handle_call_failure(const call_interrupted& interrupted) -> void;
  auto handle_refusal(std::string_view body) -> void;
  auto fail_attempt(const std::string& endpoint, bool crashed,
                    const error& cause) -> void;
  /// Releases the slots on the chain; repeated calls have no effect.
  auto release_slots(dispatch_result result, const std::string& failed_endpoint)
      -> void;
  auto stall_timeout() const -> duration;
  auto arm_stall_timer() -> void;
  auto handle_stall() -> void;

  auto reply_headers(outcome result) const -> http_headers;
  auto stream_token(const token_event& token) -> void;
  auto end(outcome result) -> void;
  auto log_request_ended(outcome result) const -> void;
  auto reply_failure(outcome result) -> void;
  auto reply_completed() -> void;
  auto reply_plain() -> void;
  auto check_plain_end() -> void;
  /// Tells `next` whether the head has crashed, unless the dispatch has ended
  /// by then.
  auto detect_crash(sigc::slot<void(bool)> next) -> void;

  request_host& host_;
  exchange_ptr exchange_;
  request_parameters params_;
  request_lifecycle lifecycle_;
  std::string dispatch_id_;
  timer deadline_timer_;
  timer stall_timer_;
  timer claim_retry_timer_;
  timer poison_delay_timer_;
  pending_call_ptr pending_call_;
  chain stages_;
  instant dispatched_at_{};
  bool dispatch_active_ = false;
  bool poison_suspect_ = false;
  endpoint_notices notices_;        // of the present response
  bool response_complete_ = false;  // the engine has sent an end event
  event_reader reader_;
  std::set<std::string> avoided_endpoints_;
  std::string response_text_;             // generated text, or a plain body
  std::int64_t tokens_ = 0;               // received, over all attempts
  std::int64_t attempt_first_token_ = 0;  // index at the start of the attempt
  instant last_token_at_{};
  std::string failure_reason_ = "no endpoint could take the request";
  milliseconds retry_after_{1000};
  bool refused_ = false;  // by the current answer, without a run
  int plain_status_ = 200;
  body_end plain_end_ = body_end::length;
  std::optional<int> failure_status_;  // replaces the default 503 or 502
  bool stall_detected_ = false;        // while a stalled attempt is cancelled
  std::string plain_content_type_;
  std::optional<wire::claim_record> settled_claim_;
};

}  // namespace pollenloft

#endif
