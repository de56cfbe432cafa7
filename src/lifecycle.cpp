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

auto event_name(request_event event) -> std::string {
  return event_names.at(static_cast<std::size_t>(event));
}

auto action_of(const std::string& name) -> request_action {
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

auto retry_budget::deposit() -> void {
  saved_ = std::min(burst_, saved_ + fraction_);
}

auto retry_budget::try_withdraw() -> bool {
  if (!available()) return false;
  saved_ -= 1;
  return true;
}

auto request_chart_names() -> chart_names {
  chart_names names;
  names.events.insert(event_names.begin(), event_names.end());
  names.actions.insert(action_names.begin(), action_names.end());
  names.guards = {"needs_claim", "untouched", "may_retry", "may_rerun"};
  return names;
}

request_lifecycle::request_lifecycle(const chart& plan, request_traits facts,
                                     retry_budget& budget)
    : plan_(plan), facts_(facts), budget_(budget), state_(plan.initial()) {}

auto request_lifecycle::holds(const std::string& guard) -> bool {
  if (guard == "needs_claim") return facts_.needs_claim;
  if (guard == "untouched") return untouched_;
  const auto again = attempt_ - refusals_ < facts_.max_attempts &&
                     crash_points_ < poison_threshold;
  // A refusal that proves nothing ran costs no endpoint work, yet it still
  // counts against the budget: an outage answers with refusals too.
  if (guard == "may_retry") return again && budget_.try_withdraw();
  if (guard == "may_rerun")
    return facts_.idempotent && again && budget_.try_withdraw();
  return false;
}

auto request_lifecycle::step(request_event event)
    -> std::vector<request_action> {
  if (ended()) return {};
  // A dispatch counts as possibly run until it is proved otherwise.
  const auto proved_not_run =
      event == request_event::not_run || event == request_event::busy;
  if (proved_not_run && !in_doubt_) return {};
  const auto was_untouched = untouched_;
  const auto was_in_doubt = in_doubt_;
  if (proved_not_run) in_doubt_ = false;
  if (in_doubt_) untouched_ = false;
  const auto* way =
      plan_.find(state_, event_name(event),
                 [this](const std::string& guard) { return holds(guard); });
  if (way == nullptr) {
    untouched_ = was_untouched;
    in_doubt_ = was_in_doubt;
    return {};
  }
  if (event == request_event::slot) {
    ++attempt_;
    in_doubt_ = true;
  }
  // A refusal for want of a place used up nothing: the request waits on.
  if (event == request_event::busy) ++refusals_;
  state_ = way->target;
  std::vector<request_action> actions;
  for (const auto& name : way->actions)
    actions.push_back(action_of(name));
  return actions;
}

}  // namespace pollenloft
