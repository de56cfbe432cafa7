/// \file lifecycle.hpp
/// The lifecycle of one request as a state machine defined by
/// charts/request.json. Every request ends exactly once, as completed, not run
/// or unknown. Does no I/O and reads no clock.
#ifndef POLLENLOFT_LIFECYCLE_HPP
#define POLLENLOFT_LIFECYCLE_HPP

#include <string>
#include <vector>

#include "pollenloft/chart.hpp"
#include "pollenloft/core.hpp"
#include "pollenloft/poison.hpp"

namespace pollenloft {

enum class outcome { completed, not_run, unknown };

/// `completed`, `not-run` or `unknown`, as in the Pollenloft-Outcome header.
auto outcome_name(outcome value) -> const char*;

/// Events of a request, in the order of their names in the chart.
enum class request_event {
  start,
  claim_granted,
  claim_held,
  claim_settled,
  claim_refused,
  claim_again,
  slot,     ///< a chain with free slots was chosen
  refused,  ///< this VM refuses the queued request
  began,    ///< the first event of the response arrived
  completed,
  busy,     ///< nothing ran; uses up no attempt
  not_run,  ///< the endpoint proved that nothing ran; uses up an attempt
  broken,   ///< the dispatch was interrupted and may have run
  stalled,  ///< the dispatch makes no progress or cannot be repaired
  deadline,
  caller_gone
};

/// Actions that the owner of the request carries out, in the order of their
/// names in the chart.
enum class request_action {
  claim,
  claim_later,
  replay,
  release,
  enqueue,
  dequeue,
  dispatch,
  cancel,
  end_completed,
  end_not_run,
  end_unknown
};

/// Limits retries to a fraction of the live traffic, so that retries cannot
/// amplify an outage.
class retry_budget {
 public:
  /// Each request deposits `fraction` of a retry, up to a balance of `burst`.
  explicit retry_budget(double fraction = 0.2, double burst = 50)
      : fraction_(fraction), burst_(burst), balance_(burst) {}
  auto deposit() -> void;
  /// Takes one retry from the balance; false if there is none.
  auto try_withdraw() -> bool;
  auto available() const -> bool { return balance_ >= 1; }

 private:
  double fraction_;
  double burst_;
  double balance_;
};

/// Delay before a request that may have run is sent again after `refusals`
/// refusals in a row, 1 or more: none after the first, then twice as long each
/// time. `jitter` in [0, 1) spreads requests that are refused together.
auto refusal_backoff(std::size_t refusals, double jitter) -> milliseconds;

/// Properties of a request that its lifecycle depends on.
struct request_traits {
  bool needs_claim = false;  ///< non-idempotent, with an idempotency key
  bool idempotent = true;
  std::size_t max_attempts = 4;
};

/// The event, action and guard names that a request chart may use.
auto request_chart_names() -> chart_names;

/// The lifecycle of one request:
///
///     request_lifecycle lifecycle(chart, traits, budget);
///     for (auto action : lifecycle.step(request_event::start)) run(action);
class request_lifecycle {
 public:
  request_lifecycle(const chart& request_chart, request_traits traits,
                    retry_budget& budget);

  /// Applies an event and returns the actions to carry out, in order. Events
  /// without a transition from the current state are ignored.
  auto step(request_event event) -> std::vector<request_action>;
  /// Records that an endpoint crashed while it ran this request.
  auto add_crash_points(int points) -> void { crash_points_ += points; }
  /// No further dispatch may run the request, as none could go on after what
  /// its caller has got.
  auto forbid_rerun() -> void { traits_.idempotent = false; }
  auto ended() const -> bool { return chart_.is_final(state_); }
  auto state() const -> const std::string& { return state_; }
  /// Number of dispatches so far. Callers compare it to ignore events of
  /// earlier dispatches.
  auto attempt() const -> std::size_t { return attempt_; }
  /// Attempts that may still run, including the current dispatch; at least 1.
  auto attempts_left() const -> std::size_t {
    const auto used = attempt_ - refusals_;
    return traits_.max_attempts > used ? traits_.max_attempts - used + 1 : 1;
  }
  /// Whether no dispatch before the current one may have run; the chart's guard
  /// `untouched`.
  auto no_earlier_run() const -> bool { return no_earlier_run_; }

 private:
  auto evaluate_guard(const std::string& guard) -> bool;

  const chart& chart_;
  request_traits traits_;
  retry_budget& budget_;
  std::string state_;
  std::size_t attempt_ = 0;
  int crash_points_ = 0;
  std::size_t refusals_ = 0;
  bool no_earlier_run_ = true;
  bool may_have_run_ = false;  // the latest dispatch
};

}  // namespace pollenloft

#endif
