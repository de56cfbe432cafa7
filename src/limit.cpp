#include "pollenloft/limit.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenloft {

namespace {

/// Endpoints whose statements are kept.
constexpr std::size_t max_statements = 10000;
/// Higher limits limit nothing.
constexpr double max_limit_per_second = 1e6;
constexpr std::size_t max_quoted_bytes = 40;

/// Depth of the leader's supply, as time at the stated rate.
constexpr double supply_depth_s = 0.5;
constexpr double min_supply_depth = 2;  // permits
/// An endpoint that takes nothing gets a request now and then, since its
/// responses alone tell when it takes more.
constexpr double min_rate_per_second = 0.05;
constexpr auto min_ask_interval = milliseconds(100);
constexpr auto max_ask_interval = milliseconds(2000);
/// VMs that wait for permits ask this many times as often as permits appear.
constexpr double asks_per_permit = 2.5;
/// A call asks for the permits of this time at most.
constexpr double max_wanted_s = 0.25;
/// Time without a reply after which a VM uses its own part.
constexpr auto leaderless_time = milliseconds(1000);
/// Random times keep the sum on average only.
constexpr double leaderless_share = 0.75;

auto issue_rate(double per_second) -> double {
  return std::max(per_second, min_rate_per_second);
}

auto parse_rate(std::string_view text) -> std::optional<double> {
  const auto rate = parse_decimal(text, std::chars_format::fixed);
  const auto valid = rate && *rate >= 0 && *rate <= max_limit_per_second;
  return valid ? rate : std::nullopt;
}

}  // namespace

auto parse_request_limit(const std::vector<std::string>& values)
    -> limit_field {
  if (values.empty()) return no_request_limit{};
  if (values.size() > 1)
    return unreadable_request_limit{std::to_string(values.size()) + " fields"};
  if (const auto rate = parse_rate(trimmed(values.front())))
    return request_limit{*rate};
  return unreadable_request_limit{values.front().substr(0, max_quoted_bytes)};
}

auto limit_change_name(limit_change change) -> const char* {
  switch (change) {
    case limit_change::named:
      return "limit.named";
    case limit_change::altered:
      return "limit.altered";
    case limit_change::lifted:
      return "limit.lifted";
    default:
      return "limit.unchanged";
  }
}

namespace {

auto change_between(const std::optional<double>& before,
                    const std::optional<double>& after) -> limit_change {
  if (!after) return before ? limit_change::lifted : limit_change::none;
  if (!before) return limit_change::named;
  return *before == *after ? limit_change::none : limit_change::altered;
}

}  // namespace

auto limit_register::update(const limit_statement& statement) -> limit_change {
  const auto found = statements_.find(statement.endpoint);
  const auto known = found != statements_.end() &&
                     found->second.incarnation == statement.incarnation;
  if (found != statements_.end() &&
      statement.incarnation < found->second.incarnation)
    return limit_change::none;
  if (!known) {
    const auto limited = found != statements_.end() && found->second.per_second;
    if (found != statements_.end()) statements_.erase(found);
    if (!statement.per_second)
      return limited ? limit_change::lifted : limit_change::none;
    if (statements_.size() >= max_statements) return limit_change::none;
    statements_[statement.endpoint] = statement;
    return limit_change::named;
  }
  auto& latest = found->second;
  const auto before = latest.per_second;
  if (statement.asked >= latest.answered) {
    latest = statement;
  } else if (statement.answered > latest.asked && before &&
             statement.per_second) {
    latest.per_second = std::min(*before, *statement.per_second);
  }
  return change_between(before, latest.per_second);
}

auto limit_register::replace(const limit_statement& statement) -> limit_change {
  const auto found = statements_.find(statement.endpoint);
  if (found == statements_.end()) {
    statements_[statement.endpoint] = statement;
    return change_between(std::nullopt, statement.per_second);
  }
  const auto before = std::exchange(found->second, statement).per_second;
  return change_between(before, statement.per_second);
}

auto limit_register::forget(const std::string& endpoint) -> void {
  statements_.erase(endpoint);
}

auto limit_register::find(const std::string& endpoint) const
    -> const limit_statement* {
  const auto found = statements_.find(endpoint);
  return found == statements_.end() ? nullptr : &found->second;
}

// --- leader ------------------------------------------------------------------

auto permit_issuer::clear() -> void {
  limits_ = {};
  supplies_.clear();
}

auto permit_issuer::fill(supply& endpoint, double per_second, instant now) const
    -> void {
  const auto rate = issue_rate(per_second);
  const auto depth = std::max(min_supply_depth, supply_depth_s * rate);
  endpoint.free =
      std::min(depth, endpoint.free + rate * seconds(now - endpoint.filled_at));
  endpoint.filled_at = now;
}

auto permit_issuer::handle(const std::string& vm, const permit_want& want,
                           instant now) -> permit_grant {
  limits_.update(want.statement);
  const auto* latest = limits_.find(want.statement.endpoint);
  // Without a limit the VM finds out by itself once it sends requests.
  if (latest == nullptr || !latest->per_second)
    return {latest == nullptr ? want.statement : *latest, want.wanted,
            min_ask_interval};
  auto& endpoint = supplies_[latest->endpoint];
  if (endpoint.incarnation != latest->incarnation)
    endpoint = {latest->incarnation, 0, now, {}};
  endpoint.free += std::max(0, want.returned);
  fill(endpoint, *latest->per_second, now);
  const auto granted =
      std::clamp(want.wanted, 0,
                 static_cast<int>(std::max(std::min(endpoint.free, 1.0),
                                           endpoint.free / 2)));
  endpoint.free -= granted;
  granted_ += static_cast<std::uint64_t>(granted);
  endpoint.unserved.erase(vm);
  if (granted < want.wanted) endpoint.unserved[vm] = now;
  std::erase_if(endpoint.unserved, [&](const auto& item) {
    return now - item.second > 2 * max_ask_interval;
  });
  if (granted > 0) return {*latest, granted, min_ask_interval};
  const auto wait =
      std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(
          static_cast<double>(endpoint.unserved.size()) /
          (asks_per_permit * issue_rate(*latest->per_second))));
  return {*latest, 0, std::clamp(wait, min_ask_interval, max_ask_interval)};
}

// --- entry VM ----------------------------------------------------------------

auto request_limiter::observe(const limit_statement& statement)
    -> limit_change {
  const auto change = limits_.update(statement);
  if (change == limit_change::none) return change;
  const auto* latest = limits_.find(statement.endpoint);
  if (latest == nullptr) {
    purses_.erase(statement.endpoint);
    return change;
  }
  purses_[statement.endpoint].report_due = true;
  return change;
}

auto request_limiter::announce(const std::string& endpoint,
                               const std::string& incarnation,
                               std::optional<double> per_second)
    -> limit_change {
  const auto* known = limits_.find(endpoint);
  if (known != nullptr && incarnation < known->incarnation)
    return limit_change::none;
  if (known != nullptr && incarnation > known->incarnation) {
    forget(endpoint);
    known = nullptr;
  }
  if (known == nullptr) {
    if (!per_second) return limit_change::none;
    purses_[endpoint] = {};
    return limits_.update({endpoint, incarnation, per_second, {}, {}});
  }
  if (per_second.has_value() == known->per_second.has_value())
    return limit_change::none;
  if (!per_second && known->answered == instant{}) {
    forget(endpoint);
    return limit_change::lifted;
  }
  // The leader's reply tells which of the two is later.
  purses_[endpoint].report_due = true;
  return limit_change::none;
}

auto request_limiter::forget(const std::string& endpoint) -> void {
  limits_.forget(endpoint);
  purses_.erase(endpoint);
}

auto request_limiter::set_vm_count(std::size_t vms) -> void {
  vms_ = std::max<std::size_t>(1, vms);
}

auto request_limiter::expire(purse& held, instant now) const -> void {
  if (held.permits == 0 || now < held.valid_until) return;
  held.returned += std::exchange(held.permits, 0);
}

/// The time since the last call counts for one second at most, and is used up
/// whether or not it brings a permit.
auto request_limiter::issue_own_part(purse& held, double per_second,
                                     instant now) -> void {
  const auto elapsed =
      std::min(1.0, seconds(now - std::exchange(held.own_part_at, now)));
  const auto expected = leaderless_share * issue_rate(per_second) * elapsed /
                        static_cast<double>(vms_);
  const auto whole = std::floor(expected);
  const auto extra = random_.unit() < expected - whole ? 1 : 0;
  held.permits = static_cast<int>(whole) + extra;
  held.valid_until = now + permit_lifetime;
}

auto request_limiter::admits(const std::string& endpoint,
                             const std::string& incarnation, instant now)
    -> bool {
  const auto* known = limits_.find(endpoint);
  if (known == nullptr || !known->per_second ||
      known->incarnation < incarnation)
    return true;
  auto& held = purses_[endpoint];
  expire(held, now);
  if (held.permits > 0) return true;
  if (failing_since_ && now - *failing_since_ > leaderless_time) {
    issue_own_part(held, *known->per_second, now);
    if (held.permits > 0) return true;
  } else {
    held.own_part_at = now;
  }
  held.denied = true;
  ++denied_;
  return false;
}

auto request_limiter::next_ask(const std::string& endpoint) const -> instant {
  const auto held = purses_.find(endpoint);
  return held == purses_.end() ? instant{} : held->second.ask_at;
}

auto request_limiter::take(const std::string& endpoint) -> void {
  const auto held = purses_.find(endpoint);
  if (held == purses_.end() || held->second.permits == 0) return;
  --held->second.permits;
  ++held->second.used;
  ++used_;
}

auto request_limiter::next_wants(instant now) -> std::vector<permit_want> {
  std::vector<permit_want> wants;
  if (call_in_flight_) return wants;
  for (auto& [endpoint, held] : purses_) {
    const auto* known = limits_.find(endpoint);
    if (known == nullptr) continue;
    expire(held, now);
    const auto due = held.denied || held.returned > 0 || held.report_due;
    if (!due || now < held.ask_at) continue;
    permit_want want{*known, 0, std::exchange(held.returned, 0)};
    const auto max_wanted =
        std::ceil(max_wanted_s * issue_rate(known->per_second.value_or(0)));
    if (held.denied)
      want.wanted = std::clamp(2 * held.used, 1, static_cast<int>(max_wanted));
    held.used = 0;
    held.denied = false;
    held.report_due = false;
    held.ask_at = now + min_ask_interval;
    wants.push_back(std::move(want));
  }
  call_in_flight_ = !wants.empty();
  return wants;
}

auto request_limiter::apply(const std::vector<permit_grant>& grants,
                            instant sent, instant now) -> bool {
  call_in_flight_ = false;
  failing_since_.reset();
  auto brings_permits = false;
  for (const auto& grant : grants) {
    const auto* known = limits_.find(grant.statement.endpoint);
    if (known == nullptr || known->incarnation != grant.statement.incarnation)
      continue;
    if (grant.statement.answered > known->answered)
      limits_.replace(grant.statement);
    auto& held = purses_[grant.statement.endpoint];
    expire(held, now);
    held.ask_at = now + grant.retry_after;
    if (grant.permits <= 0 || now >= sent + permit_lifetime) continue;
    held.permits += grant.permits;
    held.valid_until = sent + permit_lifetime;
    brings_permits = true;
  }
  return brings_permits;
}

auto request_limiter::on_failure(instant now) -> void {
  call_in_flight_ = false;
  if (!failing_since_) failing_since_ = now;
  for (auto& [endpoint, held] : purses_)
    held.report_due = true;
}

auto request_limiter::permits(const std::string& endpoint) const -> int {
  const auto held = purses_.find(endpoint);
  return held == purses_.end() ? 0 : held->second.permits;
}

}  // namespace pollenloft
