/// \file caller_request.hpp
/// One caller's request on an entry VM: carries out what its lifecycle
/// decides and talks to the caller and to the endpoints.
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

/// What a request needs of its entry VM.
class request_host : public dispatch_host<caller_request> {
 public:
  virtual auto control() -> control_client& = 0;
  virtual auto request_chart() const -> const chart& = 0;
  virtual auto budget() -> retry_budget& = 0;
  /// Names a mechanism that a check has switched off; empty in production.
  virtual auto switched_off() const -> const std::string& = 0;
  virtual auto vm_name() const -> const std::string& = 0;
  virtual auto vm_incarnation() const -> const std::string& = 0;
  /// The account gets more than its share over all VMs.
  virtual auto over_share(const std::string& account) const -> bool = 0;
};

/// A request as its caller put it.
struct request_parameters {
  request_id id = 0;
  std::string service_name;
  std::shared_ptr<const service> target;
  std::string account;
  double weight = 1;
  std::int32_t priority = 1;
  std::string key;  ///< Idempotency-Key
  bool idempotent = true;
  instant arrived{};
  instant deadline{};
  std::uint64_t fingerprint = 0;
  bool stream = false;
  std::string prompt;
  std::int64_t max_tokens = 1;
};

class caller_request : public std::enable_shared_from_this<caller_request> {
 public:
  caller_request(request_host& host, exchange_ptr call,
                 request_parameters parameters);

  auto start() -> void;
  /// Takes an event from the host.
  auto step(request_event event) -> void;
  /// Refuses a queued request: it ends now, to come back after `retry_after`.
  auto refuse(const std::string& reason, milliseconds retry_after) -> void;
  /// Sends the request along `stages`.
  auto dispatch(chain stages) -> void;
  auto parameters() const -> const request_parameters& { return given_; }
  auto chain_wanted() const -> chain_request;
  /// Tokens still to be made, for fair queueing.
  auto cost() const -> double;
  auto queued() const -> bool { return life_.state() == "queued"; }
  auto ended() const -> bool { return life_.ended(); }

 private:
  auto carry_out(request_action action) -> void;
  auto enqueue() -> void;
  auto make_claim() -> void;
  auto take_claim(const std::optional<wire::claim_reply>& reply) -> void;
  auto settle(claim_state state, int status, const std::string& body) -> void;
  auto replay() -> void;

  auto dispatch_model() -> void;
  auto dispatch_plain() -> void;
  auto take_engine_data(std::size_t attempt, std::string_view bytes) -> void;
  auto take_token(const token_event& token) -> void;
  auto take_end(const end_event& end) -> void;
  auto take_stage_failure(const stage_failure& failure) -> void;
  auto take_model_done(std::size_t attempt, const call_result& result,
                       std::string_view body) -> void;
  auto take_plain_done(std::size_t attempt, const call_result& result,
                       std::string_view body) -> void;
  auto take_unanswered(const call_unsent& unsent) -> void;
  auto take_unanswered(const call_interrupted& broken) -> void;
  auto take_refusal(std::string_view body) -> void;
  auto attempt_failed(const std::string& endpoint, bool crashed,
                      const error& cause) -> void;
  /// Frees the chain's places once.
  auto free_places(dispatch_result result, const std::string& at_fault) -> void;
  auto stall_patience() const -> duration;
  auto arm_stall_timer() -> void;
  auto stalled() -> void;

  auto reply_headers(outcome result) const -> http_headers;
  auto stream_token(const token_event& token) -> void;
  auto end(outcome result) -> void;
  auto log_end(outcome result) const -> void;
  auto reply_failure(outcome result) -> void;
  auto reply_completed() -> void;

  request_host& host_;
  exchange_ptr call_;
  request_parameters given_;
  request_lifecycle life_;
  std::string dispatch_id_;
  timer deadline_;
  timer stall_;
  timer claim_retry_;
  timer suspect_delay_;
  pending_call_ptr conversation_;
  chain stages_;
  bool placed_ = false;
  bool suspect_ = false;
  bool plan_whole_ = false;  // the engine said that the answer is whole
  event_reader reader_;
  std::set<std::string> avoid_;
  std::string answer_;
  std::int64_t tokens_ = 0;
  std::int64_t attempt_first_token_ = 0;
  instant last_token_{};
  std::string reason_ = "no endpoint could take the request";
  milliseconds retry_after_{1000};
  int plain_status_ = 200;
  std::optional<int> failure_status_;  ///< other than 503 or 502
  bool stood_still_ = false;
  std::string plain_type_;
  std::optional<wire::claim_record> settled_;
};

}  // namespace pollenloft

#endif
