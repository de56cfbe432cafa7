/// \file dispatch_host.hpp
/// Services that an entry VM provides to its requests, of any kind.
#ifndef POLLENLOFT_DISPATCH_HOST_HPP
#define POLLENLOFT_DISPATCH_HOST_HPP

#include <memory>

#include "control_client.hpp"
#include "crash_monitor.hpp"
#include "pollenloft/net.hpp"
#include "pollenloft/route.hpp"
#include "pollenloft/telemetry.hpp"

namespace pollenloft {

/// Reason of a refusal while all endpoints pause.
inline constexpr auto endpoints_pause = "the endpoints want no requests now";
/// Endpoints are a fraction of a millisecond away, so a connection that takes
/// this long will not be established, or when the endpoint may no longer take
/// requests.
inline constexpr auto endpoint_connect_timeout = milliseconds(400);

/// A complete answer of an endpoint.
struct ended_answer {
  std::string request_id;
  std::size_t attempt = 0;
  std::string endpoint;
  std::size_t stages = 1;
  call_completed result;
  std::size_t events = 0;   ///< forwarded to the caller so far
  milliseconds silence{0};  ///< before the end
};

template <class Request>
class dispatch_host {
 public:
  using request_ptr = std::shared_ptr<Request>;

  dispatch_host() = default;
  dispatch_host(const dispatch_host&) = delete;
  auto operator=(const dispatch_host&) -> dispatch_host& = delete;
  virtual ~dispatch_host() = default;
  virtual auto loop() -> event_loop& = 0;
  virtual auto client() -> http_client& = 0;
  virtual auto metrics_registry() -> metrics& = 0;
  virtual auto control() -> control_client& = 0;
  auto notices() -> notice_monitor& { return control().notices(); }
  virtual auto routes() -> router& = 0;
  virtual auto crashes() -> crash_monitor& = 0;
  /// Queues a request; `requeued` puts one that was dispatched before at the
  /// front.
  virtual auto enqueue(const request_ptr& request, bool requeued) -> void = 0;
  virtual auto dequeue(const request_ptr& request) -> void = 0;
  /// Called when a dispatch has ended and its slots are free. `cost` is the
  /// request's cost for fair queueing, 0 if it was not served.
  virtual auto slot_released(const request_ptr& request, double cost)
      -> void = 0;
  virtual auto request_ended(const request_ptr& request) -> void = 0;
  /// What holds up a queued request for longer than `max_wait`, if nothing but
  /// statements of endpoints does and a refusal can promise that it has not
  /// run; empty if it is to wait.
  auto find_hold_up(const Request& request, duration max_wait, instant now)
      -> std::optional<stated_wait> {
    if (!request.queued() || !request.no_earlier_run()) return std::nullopt;
    const auto wait =
        routes().wait_for_endpoints(request.make_chain_request(), now);
    if (!wait || wait->time <= max_wait) return std::nullopt;
    if (wait->paused)
      metrics_registry().add("pollenloft_paused_refusals_total");
    return wait;
  }
  /// Logs and counts how an endpoint ended an answer. An end that proves
  /// nothing, and that of a repeated request, has a line at any level.
  auto record_answer_end(const ended_answer& answer) -> void {
    const auto* end = body_end_name(answer.result.end);
    const auto plain_case =
        answer.result.end != body_end::connection && answer.attempt == 1;
    log_event(plain_case ? log_level::debug : log_level::info, "answer.ended",
              {{"id", answer.request_id},
               {"attempt", answer.attempt},
               {"endpoint", answer.endpoint},
               {"stages", answer.stages},
               {"status", answer.result.status},
               {"end", end},
               {"events", answer.events},
               {"silence_ms", answer.silence.count()}});
    metrics_registry().add("pollenloft_answers_total",
                           std::string("end=\"") + end + "\"");
  }
  /// Counts a request to an endpoint that has named a limit.
  auto count_limited_dispatch(const endpoint_view& endpoint) -> void {
    if (control().limiter().limits().find(endpoint.id) != nullptr)
      metrics_registry().add("pollenloft_limited_requests_total",
                             "endpoint=\"" + endpoint.id + "\"");
  }
};

}  // namespace pollenloft

#endif
