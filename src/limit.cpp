#include "pollenloft/limit.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pollenloft {

namespace {

/// Endpoints whose statements are kept.
constexpr std::size_t max_statements = 10000;
/// Higher limits limit nothing.
constexpr double max_limit_per_second = 1e6;
constexpr std::size_t max_quoted_bytes = 40;

auto parse_rate(std::string_view text) -> std::optional<double> {
  double value = 0;
  const auto* end = text.data() + text.size();
  const auto [next, code] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const auto valid = code == std::errc() && next == end &&
                     std::isfinite(value) && value >= 0 &&
                     value <= max_limit_per_second;
  return valid ? std::optional(value) : std::nullopt;
}

auto trimmed(std::string_view text) -> std::string_view {
  const auto from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
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
  if (latest.per_second == before) return limit_change::none;
  if (!latest.per_second) return limit_change::lifted;
  return before ? limit_change::altered : limit_change::named;
}

auto limit_register::forget(const std::string& endpoint) -> void {
  statements_.erase(endpoint);
}

auto limit_register::find(const std::string& endpoint) const
    -> const limit_statement* {
  const auto found = statements_.find(endpoint);
  return found == statements_.end() ? nullptr : &found->second;
}

}  // namespace pollenloft
