/// \file front_request.hpp
/// A caller's request on the platform's front. The request is forwarded
/// unchanged to an endpoint or a chain of runners, and its response is
/// forwarded to the caller.
#ifndef POLLENLOFT_FRONT_REQUEST_HPP
#define POLLENLOFT_FRONT_REQUEST_HPP

#include <memory>
#include <set>
#include <string>

#include "dispatch_host.hpp"
#include "event_sequence.hpp"
#include "platform/platform.hpp"
#include "pollenloft/admission.hpp"
#include "pollenloft/ingress.hpp"
#include "pollenloft/lifecycle.hpp"
#include "pollenloft/net.hpp"
#include "pollenloft/route.hpp"
#include "pollenloft/telemetry.hpp"
#include "pollenloft/work.hpp"
#include "response_time.hpp"
#include "stream_timing.hpp"
#include "vm_relay.hpp"

namespace pollenloft {

class front_request;
using front_request_ptr = std::shared_ptr<front_request>;

/// Services that the VM provides to its front requests.
class front_host : public dispatch_host<front_request> {
 public:
  virtual auto draining() const -> bool = 0;
  virtual auto reach() -> reach_monitor& = 0;
  virtual auto relay() -> vm_relay& = 0;
  /// Times to the first event, by route.
  auto first_event_times() -> response_times& { return first_event_times_; }
  auto work() -> work_estimator& { return work_; }
  /// Handles the failure of an endpoint in all requests of this VM; false if
  /// the host knows of none.
  virtual auto fail_over_from(const std::string& /*endpoint*/) -> bool {
    return false;
  }
  /// When this VM has last checked an endpoint of a silent stream.
  auto stage_checks() -> std::map<std::string, instant>& {
    return stage_checks_;
  }
  /// Whether endpoints are compared by the work of requests, not their number.
  virtual auto weighs_work() const -> bool { return true; }
  /// Whether refusals of relayed requests concern this VM alone.
  auto relay_refusal_scope() -> const char* {
    return draining() || reach().cut_off() ? relay_refused_here
                                           : relay_refused_anywhere;
  }

 private:
  response_times first_event_times_;
  work_estimator work_;
  std::map<std::string, instant> stage_checks_;
};

/// Parameters of a request that are known before it is queued.
struct front_parameters {
  request_id id = 0;
  std::shared_ptr<const route_table> table;  ///< keeps `route` alive
  const ingress_route* route = nullptr;
  std::string service;
  const engine_profile* engine = nullptr;  ///< null for a plain service
  std::string account;                     ///< empty on public routes
  std::int32_t priority = 1;
  int less_urgent_by = 0;  ///< priorities of the service's routes before it
  std::size_t max_attempts = SIZE_MAX;  ///< besides that of the route
  bool relayed = false;  ///< by another VM, so it is not relayed again
  platform::caller_headers headers;
  std::uint64_t fingerprint = 0;     ///< of account, target and body
  std::vector<std::uint64_t> parts;  ///< fingerprints of shared prompt parts
  instant arrived{};
  instant accepted{};  ///< later than `arrived` if the request was deferred
  instant deadline{};
};

class front_request : public std::enable_shared_from_this<front_request> {
 public:
  front_request(front_host& host, exchange_ptr caller_exchange,
                front_parameters params, const chart& request_chart,
                retry_budget& budget);

  auto start() -> void;
  auto parameters() const -> const front_parameters& { return params_; }
  auto make_chain_request() const -> chain_request;
  /// Cost for fair queueing: tokens, or 1 for a plain request.
  auto cost() const -> double;
  /// KV-cache tokens on each runner of the chain; 0 for a plain request.
  auto tokens() const -> double;
  auto queued() const -> bool { return lifecycle_.state() == "queued"; }
  auto no_earlier_run() const -> bool { return lifecycle_.no_earlier_run(); }
  /// Sends the request along `stages`.
  auto dispatch(chain stages) -> void;
  /// Sends the request to another VM, which dispatches it.
  auto dispatch_relayed(relay_peer peer) -> void;
  /// Ends a queued request with `status`; the caller may retry after
  /// `retry_after`.
  auto refuse(int status, const std::string& reason, milliseconds retry_after)
      -> void;
  /// Ends a queued request that has crashed endpoints since it was admitted;
  /// false if it has not.
  auto stop_if_poison() -> bool;
  /// Applies a lifecycle event and carries out its actions.
  auto step(request_event event) -> void;
  /// Handles the failure of an endpoint: a repeatable request that runs on it
  /// resumes on other endpoints.
  auto handle_endpoint_failure(const std::string& id) -> void;

 private:
  struct buffered_response {
    int status = 0;
    http_headers headers;
    std::string body;
    body_end end = body_end::length;
  };

  auto execute(request_action action) -> void;
  auto ended() const -> bool { return lifecycle_.ended(); }
  auto is_stream() const -> bool {
    return params_.route->kind == request_kind::stream;
  }
  auto time_left() const -> duration;
  auto begin_attempt(chain stages) -> void;
  auto send_attempt(const http_call& call) -> void;
  auto make_call() const -> http_call;
  auto make_endpoint_call() const -> http_call;
  auto make_relay_call() const -> http_call;
  auto handle_headers(std::size_t attempt, int status,
                      const http_headers& headers) -> void;
  auto handle_data(std::size_t attempt, std::string_view bytes) -> void;
  auto answers_other_request() const -> bool;
  auto forward_complete_events(std::size_t searched) -> void;
  auto forward(const std::string& events) -> void;
  auto has_other_media_type() const -> bool;
  auto find_end_fault() const -> const char*;
  auto handle_done(std::size_t attempt, const call_result& result,
                   std::string_view body) -> void;
  auto record_answer_end(const call_completed& completed) -> void;
  auto handle_response(std::string_view body) -> void;
  /// Completes the request unless a process that ran it has ended.
  auto check_end() -> void;
  auto check_relayed_end() -> void;
  auto fail_end() -> void;
  auto complete() -> void;
  auto find_refusal_fault() const -> const char*;
  auto handle_refusal() -> void;
  auto handle_relay_refusal(const std::string& where) -> void;
  auto handle_unsent(const error& cause) -> void;
  auto handle_interruption(const error& cause) -> void;
  auto fail_attempt(const error& cause) -> void;
  /// Ends the dispatch as failed, without deciding how the request continues.
  auto end_failed_dispatch(const error& cause) -> void;
  /// Records a crash of any of the `stages` against this request, then tells
  /// `next` of it unless the request has ended or gone on by then.
  auto attribute_crash(const chain& stages, crash_monitor::state_handler next)
      -> void;
  /// Whether crashes recorded since its admission forbid to run the request.
  auto stopped_by_crashes() const -> bool;
  auto features() const -> crash_features {
    if (prompt_survived_) return {params_.fingerprint, {}};
    return {params_.fingerprint, params_.parts};
  }
  /// Records once an attempt that its endpoints have survived the prompt.
  auto record_part_survival() -> void;
  /// Applies `event` after a failed or refused attempt. A stream that its
  /// caller already reads waits first until the retry budget allows its
  /// resumption.
  auto continue_after(request_event event) -> void;
  /// Requeues a request that may have run and was refused since.
  auto requeue_refused() -> void;
  auto release_slots(dispatch_result result, const std::string& failed_endpoint)
      -> void;
  auto stated_output() const -> stated_size;
  auto predict_work() const -> double;
  /// Work that is left after the events so far.
  auto work_left() const -> double;
  /// Tells the router what is left to do at the stages of this attempt.
  auto set_work(double left) -> void;
  auto learn_work() -> void;
  auto endpoint_by_address(const std::string& address) const -> std::string;
  auto stall_timeout() const -> duration;
  auto first_event_timeout() const -> duration;
  /// Counts the time of this attempt, up to its first event or its end.
  auto record_first_event_time() -> void;
  auto arm_stall_timer() -> void;
  auto suspicious_silence() const -> duration;
  auto arm_silence_timer() -> void;
  auto check_stages() -> void;
  auto handle_silent_stage(const std::string& endpoint, listener_state state)
      -> void;
  auto handle_stall() -> void;
  auto abandon_stalled_dispatch() -> void;
  /// Replaces one stage of a stream in flight; false if no endpoint can take
  /// over the stage.
  auto repair_chain(const std::string& failed_endpoint) -> bool;
  /// Whether a chain that can't be repaired now may be by `until`.
  auto may_repair_by(const std::string& failed_endpoint, instant until) const
      -> bool;
  /// Repairs the chain now or by `until`; otherwise treats the dispatch as
  /// stalled.
  auto repair_or_abandon(const std::string& failed_endpoint, instant until)
      -> void;
  auto send_chain_update(instant now) -> void;
  auto handle_chain_update(std::size_t attempt, const call_result& result)
      -> void;
  auto reply_buffered(const buffered_response& response) -> void;
  auto reply_local(int status) -> void;
  auto end(outcome result) -> void;
  auto log_outcome(const char* result, int status) -> void;

  front_host& host_;
  exchange_ptr exchange_;
  front_parameters params_;
  retry_budget& budget_;
  request_lifecycle lifecycle_;
  chain stages_;
  pending_call_ptr pending_call_;
  timer deadline_timer_;
  timer stall_timer_;
  timer repair_timer_;
  timer silence_timer_;
  timer budget_timer_;
  timer backoff_timer_;
  std::size_t refusals_ = 0;                 // in a row
  std::set<std::string> avoided_endpoints_;  // by id; they failed this request
  std::optional<relay_peer> peer_;           // of a relayed attempt
  std::optional<std::string> relay_refusal_;
  instant dispatched_at_{};
  exposure exposure_;  // to the present stages
  bool dispatch_active_ = false;
  bool poison_suspect_ = false;
  buffered_response response_;  // of the current attempt
  platform::response_head response_head_;
  /// An endpoint's error response, sent if all attempts fail.
  std::optional<buffered_response> failed_response_;
  /// Another VM's refusal of the relayed request, sent as it is.
  std::optional<buffered_response> relayed_refusal_;
  std::string partial_event_;  // bytes of an incomplete event
  event_sequence events_;
  // Of the stream that has begun.
  body_end caller_end_ = body_end::length;
  std::string caller_media_type_;
  instant data_at_{};  // of the last part of a stream
  stream_timing timing_;
  double work_ = 1;               // left, as the router knows it
  std::size_t work_events_ = 0;   // when that was last predicted
  response_time gaps_;            // between the events of this stream
  std::size_t mended_ = 0;        // times that a stage was replaced
  std::size_t stalled_ = 0;       // attempts that were abandoned
  bool stage_lost_ = false;       // in this attempt
  bool parts_survived_ = false;   // in this attempt
  bool prompt_survived_ = false;  // in any attempt
  std::string end_reason_;
  std::optional<int> refusal_status_;
  milliseconds retry_after_{1000};
};

}  // namespace pollenloft

#endif
