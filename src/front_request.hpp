/// \file front_request.hpp
/// One caller's request on the platform's front: passed on unchanged to an
/// endpoint or a chain of runners, its answer passed back.
#ifndef POLLENLOFT_FRONT_REQUEST_HPP
#define POLLENLOFT_FRONT_REQUEST_HPP

#include <memory>
#include <set>
#include <string>

#include "dispatch_host.hpp"
#include "platform/platform.hpp"
#include "pollenloft/admission.hpp"
#include "pollenloft/ingress.hpp"
#include "pollenloft/lifecycle.hpp"
#include "pollenloft/net.hpp"
#include "pollenloft/route.hpp"
#include "pollenloft/telemetry.hpp"

namespace pollenloft {

class front_request;
using front_request_ptr = std::shared_ptr<front_request>;

/// What a front request needs of the VM that runs it.
class front_host : public dispatch_host<front_request> {
 public:
  virtual auto draining() const -> bool = 0;
};

/// What was read and decided before a request is queued.
struct front_parameters {
  request_id id = 0;
  std::shared_ptr<const route_table> table;  ///< keeps `route` alive
  const ingress_route* route = nullptr;
  std::string service;
  const engine_profile* engine = nullptr;  ///< null for a plain service
  std::string account;                     ///< empty on open routes
  std::int32_t priority = 1;
  platform::caller_headers headers;
  instant arrived{};
  instant accepted{};  ///< later than `arrived` if it was held at the start
  instant deadline{};
};

class front_request : public std::enable_shared_from_this<front_request> {
 public:
  front_request(front_host& host, exchange_ptr call, front_parameters given,
                const chart& plan, retry_budget& budget);

  auto start() -> void;
  auto parameters() const -> const front_parameters& { return given_; }
  auto chain_wanted() const -> chain_request;
  /// Tokens, or 1 for a plain request.
  auto cost() const -> double;
  /// Memory that it takes on each runner of its chain, 0 for a plain request.
  auto tokens() const -> double;
  auto queued() const -> bool { return life_.state() == "queued"; }
  auto untouched() const -> bool { return life_.untouched(); }
  auto dispatch(chain stages) -> void;
  /// Ends a queued request.
  auto refuse(int status, const std::string& reason, milliseconds retry_after)
      -> void;
  auto step(request_event event) -> void;
  /// An endpoint was lost: a request on it that may be repeated goes on
  /// elsewhere now.
  auto endpoint_lost(const std::string& id) -> void;

 private:
  struct kept_answer {
    int status = 0;
    http_headers headers;
    std::string body;
  };

  auto carry_out(request_action action) -> void;
  auto ended() const -> bool { return life_.ended(); }
  auto streams() const -> bool {
    return given_.route->kind == request_kind::stream;
  }
  auto time_left() const -> duration;
  auto make_call() const -> http_call;
  auto take_head(std::size_t attempt, int status, const http_headers& headers)
      -> void;
  auto take_data(std::size_t attempt, std::string_view bytes) -> void;
  auto take_events() -> void;
  auto pass_on(const std::string& events) -> void;
  auto take_done(std::size_t attempt, const call_result& result,
                 std::string_view body) -> void;
  auto take_answer(std::string_view body) -> void;
  auto take_refusal() -> void;
  auto take_unsent(const error& cause) -> void;
  auto attempt_failed(const error& cause) -> void;
  /// Takes the next step after an attempt that failed or was refused, once a
  /// stream that its caller is reading may be resumed.
  auto go_on(request_event event) -> void;
  auto free_places(dispatch_result result, const std::string& at_fault) -> void;
  auto endpoint_at(const std::string& address) const -> std::string;
  auto stall_patience() const -> duration;
  auto arm_stall_timer() -> void;
  auto stalled() -> void;
  /// Replaces one stage of a stream under way; false if nobody can take it.
  auto mend_chain(const std::string& lost) -> bool;
  /// Mends the chain now, soon, or not at all.
  auto mend_or_leave(const std::string& lost, instant until) -> void;
  auto take_chain_order(std::size_t attempt, const call_result& result) -> void;
  auto reply_kept(const kept_answer& answer) -> void;
  auto reply_own(int status) -> void;
  auto end(outcome result) -> void;
  auto log_end(const char* result, int status) -> void;

  front_host& host_;
  exchange_ptr call_;
  front_parameters given_;
  retry_budget& budget_;
  request_lifecycle life_;
  chain stages_;
  conversation_ptr conversation_;
  timer deadline_;
  timer stall_;
  timer mend_;
  timer budget_wait_;
  std::set<std::string> avoid_;  // endpoints that failed this request
  instant dispatched_{};
  bool placed_ = false;
  bool suspect_ = false;
  kept_answer answer_;  // of the present attempt
  platform::response_head head_;
  std::optional<kept_answer> failure_;  // an endpoint's, if all else fails
  std::string pending_;                 // bytes of an event not yet whole
  std::optional<std::int64_t> last_event_;
  std::size_t events_ = 0;
  std::string reason_;
  std::optional<int> own_status_;
  milliseconds retry_after_{1000};
};

}  // namespace pollenloft

#endif
