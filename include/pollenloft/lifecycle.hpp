/// \file lifecycle.hpp
/// The life of one request as a pure module driven by charts/request.json:
/// every request ends once, as completed, not run or unknown.
#ifndef POLLENLOFT_LIFECYCLE_HPP
#define POLLENLOFT_LIFECYCLE_HPP

#include <string>
#include <vector>

#include "pollenloft/chart.hpp"
#include "pollenloft/core.hpp"

namespace pollenloft {

enum class outcome { completed, not_run, unknown };

/// `completed`, `not-run` or `unknown`, as in the Pollenloft-Outcome header.
auto outcome_name(outcome value) -> const char*;

/// What happens to a request.
enum class request_event {
  start,
  claim_granted,
  claim_held,
  claim_settled,
  claim_refused,
  claim_again,
  slot,
  refused,
  began,
  completed,
  busy,  ///< refused for want of a place; nothing ran
  not_run,
  broken,
  stalled,
  deadline,
  caller_gone
};

/// What its owner must do.
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

/// Limits retries to a fraction of the live traffic, so that they cannot
/// multiply an outage.
class retry_budget {
 public:
  /// Each request earns `fraction` of a retry, up to `burst` saved.
  explicit retry_budget(double fraction = 0.2, double burst = 50)
      : fraction_(fraction), burst_(burst), saved_(burst) {}
  auto deposit() -> void;
  auto try_withdraw() -> bool;
  auto available() const -> bool { return saved_ >= 1; }

 private:
  double fraction_;
  double burst_;
  double saved_;
};

/// What the lifecycle needs to know of a request.
struct request_traits {
  bool needs_claim = false;  ///< non-idempotent with a key
  bool idempotent = true;
  std::size_t max_attempts = 4;
};

/// Points against a request for each endpoint that crashes while running it.
/// One that crashed before the request had made a token is twice as telling:
/// a request at fault does so each time, one beside it seldom. With these,
/// a request that crashes every endpoint is stopped after two, one that does
/// so only after some tokens after four.
constexpr int crash_points_before_first_token = 2;
constexpr int crash_points_after_first_token = 1;
constexpr int poison_threshold = 4;

/// The names a request chart may use.
auto request_chart_names() -> chart_names;

/// One request:
///
///     request_lifecycle life(chart, facts, budget);
///     for (auto action : life.step(request_event::start)) carry_out(action);
class request_lifecycle {
 public:
  request_lifecycle(const chart& plan, request_traits facts,
                    retry_budget& budget);

  /// Takes an event and returns what must be done, in order. Events that mean
  /// nothing in the present state are ignored.
  auto step(request_event event) -> std::vector<request_action>;
  /// An endpoint crashed while it ran this request.
  auto add_crash_points(int points) -> void { crash_points_ += points; }
  auto ended() const -> bool { return plan_.is_final(state_); }
  auto state() const -> const std::string& { return state_; }
  /// Dispatches so far; also the number that fences earlier ones.
  auto attempt() const -> std::size_t { return attempt_; }
  /// No dispatch has been made that might have run.
  auto untouched() const -> bool { return untouched_; }

 private:
  auto holds(const std::string& guard) -> bool;

  const chart& plan_;
  request_traits facts_;
  retry_budget& budget_;
  std::string state_;
  std::size_t attempt_ = 0;
  int crash_points_ = 0;
  std::size_t refusals_ = 0;
  bool untouched_ = true;
  bool in_doubt_ = false;  // the latest dispatch may have run
};

}  // namespace pollenloft

#endif
