#include "pollenloft/notice.hpp"

#include <algorithm>
#include <cmath>

namespace pollenloft {

namespace {

/// Endpoints whose notices are kept.
constexpr std::size_t max_entries = 10000;
constexpr std::size_t max_quoted_bytes = 40;
/// After this time without a response to the trial, another one may be sent.
constexpr auto trial_timeout = std::chrono::seconds(1);
/// Pause of an endpoint that asks for one of unknown length.
constexpr auto default_pause = std::chrono::seconds(1);
/// In each such time, the VMs send an endpoint as many first requests as it has
/// slots.
constexpr auto slot_turnover = milliseconds(1250);
/// A longer span would keep more VMs away than the endpoint can miss.
constexpr auto max_return_span = std::chrono::seconds(5);

/// Least time between two reports of an endpoint that the directory lists as up
/// although it leaves.
constexpr auto report_interval = std::chrono::seconds(1);
constexpr auto min_retry_after = milliseconds(100);
/// Callers return within this share of the wait after its end.
constexpr double max_return_delay_share = 0.5;

/// An incarnation is that of a process, or `PROCESS.SESSION`: a process starts
/// a session each time it registers.
auto process_part(std::string_view incarnation) -> std::string_view {
  return incarnation.substr(0, incarnation.find('.'));
}

/// Empty unless the text is a decimal number of at least 0.
auto parse_seconds(std::string_view text) -> std::optional<milliseconds> {
  constexpr double ms_per_second = 1000;
  // Neither a longer fraction nor more than the largest pause makes a
  // difference.
  constexpr std::size_t max_digits = 32;
  if (text.find_first_not_of("0123456789.") != std::string_view::npos)
    return std::nullopt;
  const auto seconds =
      parse_decimal(text.substr(0, max_digits), std::chars_format::fixed);
  if (!seconds) return std::nullopt;
  const auto max_ms = static_cast<double>(milliseconds(max_pause).count());
  return milliseconds(static_cast<std::int64_t>(
      std::min(max_ms, std::ceil(*seconds * ms_per_second))));
}

}  // namespace

auto parse_pause(const std::vector<std::string>& values) -> pause_field {
  if (values.empty()) return no_pause{};
  std::optional<milliseconds> longest;
  for (const auto& value : values)
    if (const auto length = parse_seconds(trimmed(value)))
      longest = std::max(longest.value_or(*length), *length);
  if (!longest)
    return unreadable_pause{values.front().substr(0, max_quoted_bytes)};
  if (*longest == milliseconds(0)) return no_pause{};
  return pause_request{*longest};
}

auto evaluate_notices(int status, const std::vector<std::string>& limits,
                      bool leaving, const std::vector<std::string>& pauses)
    -> endpoint_notices {
  constexpr int service_unavailable = 503;
  return {parse_request_limit(limits), leaving,
          status == service_unavailable ? parse_pause(pauses) : no_pause{}};
}

auto asks_for_pause(const endpoint_notices& stated) -> bool {
  return !std::holds_alternative<no_pause>(stated.pause);
}

auto pause_length(const endpoint_notices& stated) -> std::optional<duration> {
  using result = std::optional<duration>;
  return std::visit(
      overloaded{
          [](const no_pause&) { return result(); },
          [](const pause_request& asked) { return result(asked.length); },
          [](const unreadable_pause&) { return result(default_pause); }},
      stated.pause);
}

auto notice_register::set_vm_count(std::size_t vms) -> void {
  vms_ = std::max<std::size_t>(1, vms);
}

template <class Entries>
auto notice_register::find(Entries& entries, const std::string& id,
                           const std::string& incarnation)
    -> decltype(&entries.begin()->second) {
  const auto found = entries.find(id);
  const auto same = found != entries.end() &&
                    found->second.process == process_part(incarnation);
  return same ? &found->second : nullptr;
}

auto notice_register::find_or_add(const endpoint_process& endpoint, instant now)
    -> entry* {
  const auto found = entries_.find(endpoint.id);
  if (found == entries_.end() && entries_.size() >= max_entries) evict_oldest();
  const auto process = process_part(endpoint.incarnation);
  auto& known = entries_[endpoint.id];
  if (process < known.process) return nullptr;
  if (known.process != process) {
    if (known.paused) --paused_;
    known = entry{std::string(process), false, std::nullopt, now, {}};
  }
  known.changed = now;
  return &known;
}

auto notice_register::evict_oldest() -> void {
  const auto oldest = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return a.second.changed < b.second.changed;
      });
  erase(oldest->first);
}

auto notice_register::erase(const std::string& id) -> void {
  const auto found = entries_.find(id);
  if (found->second.paused) --paused_;
  entries_.erase(found);
}

auto notice_register::return_span(std::int32_t slots) const -> duration {
  const auto turns =
      static_cast<double>(vms_) / static_cast<double>(std::max(1, slots));
  return std::min<duration>(
      max_return_span,
      std::chrono::duration_cast<duration>(turns * duration(slot_turnover)));
}

auto notice_register::add_leaving(const endpoint_process& endpoint, instant now)
    -> bool {
  auto* known = find_or_add(endpoint, now);
  if (known == nullptr || known->leaving) return false;
  known->leaving = true;
  return true;
}

auto notice_register::take_report(const std::string& id,
                                  const std::string& incarnation, instant now)
    -> bool {
  auto* known = find(entries_, id, incarnation);
  if (known == nullptr || !known->leaving) return false;
  if (now - known->reported < report_interval) return false;
  known->reported = now;
  return true;
}

auto notice_register::add_pause(const endpoint_process& endpoint,
                                duration length, instant now) -> pause_change {
  auto* known = find_or_add(endpoint, now);
  if (known == nullptr) return pause_change::none;
  const auto until = now + length;
  if (known->paused && until <= known->paused->until) return pause_change::none;
  const auto begins = !known->paused;
  const auto spread = std::chrono::duration_cast<duration>(
      random_.unit() * return_span(endpoint.slots));
  if (begins) ++paused_;
  known->paused = pause{until, until + spread, {}};
  return begins ? pause_change::began : pause_change::renewed;
}

/// Responses may overtake each other: one to a request that was sent before the
/// trial tells nothing.
auto notice_register::add_response(const std::string& id,
                                   const std::string& incarnation,
                                   instant asked) -> bool {
  auto* known = find(entries_, id, incarnation);
  if (known == nullptr || !known->paused || asked < known->paused->resume)
    return false;
  known->paused.reset();
  --paused_;
  if (!known->leaving) erase(id);
  return true;
}

auto notice_register::take(const std::string& id,
                           const std::string& incarnation, instant now)
    -> void {
  auto* known = find(entries_, id, incarnation);
  if (known != nullptr && known->paused)
    known->paused->trial_until = now + trial_timeout;
}

auto notice_register::replace(const std::string& id,
                              const std::string& incarnation, instant now)
    -> bool {
  const auto found = entries_.find(id);
  const auto process = process_part(incarnation);
  if (found == entries_.end() || process <= found->second.process) return false;
  if (!found->second.paused) {
    erase(id);
    return true;
  }
  found->second =
      entry{std::string(process), false, pause{now, now, {}}, now, {}};
  return true;
}

auto notice_register::admits(const std::string& id,
                             const std::string& incarnation, instant now) const
    -> bool {
  const auto* known = find(entries_, id, incarnation);
  if (known == nullptr) return true;
  if (known->leaving) return false;
  return !known->paused ||
         now >= std::max(known->paused->resume, known->paused->trial_until);
}

auto notice_register::leaves(const std::string& id,
                             const std::string& incarnation) const -> bool {
  const auto* known = find(entries_, id, incarnation);
  return known != nullptr && known->leaving;
}

auto notice_register::pauses(const std::string& id,
                             const std::string& incarnation, instant now) const
    -> bool {
  const auto end = returns_at(id, incarnation);
  return end && now < *end;
}

auto notice_register::returns_at(const std::string& id,
                                 const std::string& incarnation) const
    -> std::optional<instant> {
  const auto* known = find(entries_, id, incarnation);
  if (known == nullptr || !known->paused) return std::nullopt;
  return known->paused->resume;
}

auto retry_after_pause(duration wait, double fraction) -> milliseconds {
  const auto spread = std::chrono::duration_cast<duration>(
      fraction * (max_return_delay_share * wait));
  return std::max(min_retry_after,
                  std::chrono::ceil<milliseconds>(wait + spread));
}

}  // namespace pollenloft
