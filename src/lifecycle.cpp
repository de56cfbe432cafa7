#include "pollenloft/lifecycle.hpp"

#include <algorithm>
#include <array>

namespace pollenloft {

namespace {

constexpr std::array<const char*, 16> event_names{
    "start",         "claim_granted", "claim_held", "claim_settled",
    "claim_refused", "claim_again",   "slot",       "refused",
    "began",         "completed",     "busy",       "not_run",
    "broken",        "stalled",       "deadline",   "caller_gone"};
constexpr std::array<const char*, 11> action_names{
    "claim",         "claim_later", "replay",     "release",
    "enqueue",       "dequeue",     "dispatch",   "cancel",
    "end_completed", "end_not_run", "end_unknown"};

constexpr auto min_refusal_backoff = milliseconds(50);
constexpr auto max_refusal_backoff = std::chrono::seconds(1);
constexpr double refusal_spread = 0.25;  // of the delay, both ways

auto event_name(request_event event) -> std::string {
  return event_names.at(static_cast<std::size_t>(event));
}

auto parse_action(const std::string& name) -> request_action {
  const auto found = std::find(action_names.begin(), action_names.end(), name);
  return static_cast<request_action>(found - action_names.begin());
}

}  // namespace

auto outcome_name(outcome value) -> const char* {
  switch (value) {
    case outcome::completed:
      return "completed";
    case outcome::not_run:
      return "not-run";
    default:
      return "unknown";
  }
}

auto refusal_backoff(std::size_t refusals, double jitter) -> milliseconds {
  if (refusals <= 1) return milliseconds(0);
  const auto doublings = std::min<std::size_t>(refusals - 2, 16);
  const auto delay = std::min(min_refusal_backoff * (1 << doublings),
                              milliseconds(max_refusal_backoff));
  const auto spread = refusal_spread * (2 * jitter - 1);
  return std::chrono::duration_cast<milliseconds>(delay * (1 + spread));
}

auto retry_budget::deposit() -> void {
  balance_ = std::min(burst_, balance_ + fraction_);
}

auto retry_budget::try_withdraw() -> bool {
  if (!available()) return false;
  balance_ -= 1;
  return true;
}

auto request_chart_names() -> chart_names {
  chart_names names;
  names.events.insert(event_names.begin(), event_names.end());
  names.actions.insert(action_names.begin(), action_names.end());
  names.guards = {"needs_claim", "untouched", "may_retry", "may_rerun"};
  return names;
}

request_lifecycle::request_lifecycle(const chart& request_chart,
                                     request_traits traits,
                                     retry_budget& budget)
    : chart_(request_chart),
      traits_(traits),
      budget_(budget),
      state_(request_chart.initial()) {}

auto request_lifecycle::evaluate_guard(const std::string& guard) -> bool {
  if (guard == "needs_claim") return traits_.needs_claim;
  if (guard == "untouched") return no_earlier_run_;
  const auto attempt_allowed = attempt_ - refusals_ < traits_.max_attempts &&
                               crash_points_ < poison_threshold;
  // A refusal costs no endpoint work, but its retry still counts against the
  // budget, since refusals are also how an outage shows itself.
  if (guard == "may_retry") return attempt_allowed && budget_.try_withdraw();
  if (guard == "may_rerun")
    return traits_.idempotent && attempt_allowed && budget_.try_withdraw();
  return false;
}

auto request_lifecycle::step(request_event event)
    -> std::vector<request_action> {
  if (ended()) return {};
  // A dispatch may have run until the endpoint proves that it has not.
  const auto proved_not_run =
      event == request_event::not_run || event == request_event::busy;
  if (proved_not_run && !may_have_run_) return {};
  const auto previous_no_earlier_run = no_earlier_run_;
  const auto previous_may_have_run = may_have_run_;
  if (proved_not_run) may_have_run_ = false;
  if (may_have_run_) no_earlier_run_ = false;
  const auto* transition = chart_.find(
      state_, event_name(event),
      [this](const std::string& guard) { return evaluate_guard(guard); });
  if (transition == nullptr) {
    no_earlier_run_ = previous_no_earlier_run;
    may_have_run_ = previous_may_have_run;
    return {};
  }
  if (event == request_event::slot) {
    ++attempt_;
    may_have_run_ = true;
  }
  // A refusal for want of a free slot uses up no attempt.
  if (event == request_event::busy) ++refusals_;
  state_ = transition->target;
  std::vector<request_action> actions;
  for (const auto& name : transition->actions)
    actions.push_back(parse_action(name));
  return actions;
}

}  // namespace pollenloft
