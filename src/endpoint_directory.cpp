#include <algorithm>
#include <utility>

#include "pollenloft/control.hpp"

namespace pollenloft {

namespace {

constexpr std::size_t max_gone_records = 4096;

}  // namespace

auto endpoint_directory::bump_sequence(wire::endpoint_record& record) -> void {
  by_sequence_.erase(record.sequence);
  record.sequence = ++sequence_;
  by_sequence_[sequence_] = record.id;
}

auto loses_in_flight_work(const wire::endpoint_record& before,
                          const wire::endpoint_record& after) -> bool {
  return before.incarnation != after.incarnation ||
         (after.unreachable && !before.unreachable);
}

namespace {

/// Only leaders set this status. Within one incarnation, the status with the
/// highest sequence wins, whichever VM passes it on.
auto copy_leader_status(wire::endpoint_record& known,
                        const wire::endpoint_record& report) -> void {
  known.first_layer = report.first_layer;
  known.last_layer = report.last_layer;
  known.fill = report.fill;
  known.slowdown = report.slowdown;
  known.unreachable = report.unreachable;
  known.request_limit = report.request_limit;
  known.noted = report.noted;
}

}  // namespace

/// The state that the record's process has at least, by the replicated log.
auto endpoint_directory::state_after_departure(
    const wire::endpoint_record& record) const -> std::int8_t {
  const auto* departure =
      departures_ == nullptr ? nullptr : departures_->find(record.id);
  if (departure == nullptr || record.incarnation > departure->incarnation)
    return record.state;
  return std::max(record.state, departure->state);
}

auto endpoint_directory::apply_departures() -> bool {
  if (departures_ == nullptr) return false;
  const auto before = sequence_;
  for (const auto& id : departures_->changes_after(
           std::exchange(applied_departures_, departures_->sequence())))
    update(id,
           [&](auto& record) { record.state = state_after_departure(record); });
  return sequence_ != before;
}

auto endpoint_directory::merge(
    const std::vector<wire::endpoint_record>& records) -> void {
  for (auto report : records) {
    report.state = state_after_departure(report);
    const auto found = records_.find(report.id);
    if (found != records_.end()) {
      auto& known = found->second;
      if (report.incarnation < known.incarnation) continue;
      const auto same_incarnation = report.incarnation == known.incarnation;
      if (same_incarnation && report.noted > known.noted) {
        copy_leader_status(known, report);
        bump_sequence(known);
      }
      // Within one incarnation the state only advances towards `gone`.
      if (same_incarnation && report.state < known.state) continue;
      // Reports are numbered because they may arrive out of order.
      if (same_incarnation && report.state == known.state &&
          report.report < known.report)
        continue;
      // A VM that no longer owns the endpoint cannot mark it as gone.
      const auto gone =
          report.state == static_cast<std::int8_t>(endpoint_state::gone);
      if (gone && report.owner != known.owner) continue;
      orphaned_at_.erase(report.id);
      auto next = report;
      if (same_incarnation && known.noted > report.noted)
        copy_leader_status(next, known);
      next.sequence = known.sequence;
      // A newer report with the same content is not a change.
      known.report = std::max(known.report, report.report);
      next.report = known.report;
      if (next == known) continue;
      known = std::move(next);
      bump_sequence(known);
      continue;
    }
    auto& added = records_[report.id];
    added = report;
    added.sequence = 0;
    bump_sequence(added);
  }
}

auto endpoint_directory::mark_orphaned(const std::string& vm, instant now)
    -> void {
  for (const auto& [id, record] : records_)
    if (record.owner == vm) orphaned_at_.emplace(id, now);
}

auto endpoint_directory::expire_orphans(instant now, duration grace) -> void {
  for (auto it = orphaned_at_.begin(); it != orphaned_at_.end();) {
    if (now - it->second < grace) {
      ++it;
      continue;
    }
    auto& record = records_[it->first];
    record.state = static_cast<std::int8_t>(endpoint_state::gone);
    bump_sequence(record);
    it = orphaned_at_.erase(it);
  }
  // Evict the oldest records of gone endpoints.
  for (auto it = by_sequence_.begin();
       records_.size() > max_gone_records && it != by_sequence_.end();) {
    const auto found = records_.find(it->second);
    if (found->second.state != static_cast<std::int8_t>(endpoint_state::gone)) {
      ++it;
      continue;
    }
    records_.erase(found);
    it = by_sequence_.erase(it);
  }
}

auto endpoint_directory::clear() -> void {
  records_.clear();
  by_sequence_.clear();
  orphaned_at_.clear();
}

auto endpoint_directory::start_status_term(std::int64_t term) -> void {
  constexpr int term_shift_bits = 32;
  status_sequence_ = term << term_shift_bits;
}

template <class Change>
auto endpoint_directory::update(const std::string& id, Change change) -> bool {
  const auto found = records_.find(id);
  if (found == records_.end()) return false;
  auto next = found->second;
  change(next);
  if (next == found->second) return false;
  found->second = std::move(next);
  bump_sequence(found->second);
  return true;
}

template <class Change>
auto endpoint_directory::update_status(const std::string& id, Change change)
    -> bool {
  if (!update(id, change)) return false;
  records_.at(id).noted = ++status_sequence_;
  return true;
}

auto endpoint_directory::set_layers(const std::string& id, std::int32_t first,
                                    std::int32_t last) -> bool {
  return update_status(id, [&](auto& record) {
    record.first_layer = first;
    record.last_layer = last;
  });
}

auto endpoint_directory::set_load(const std::string& id,
                                  std::int32_t kv_utilization_percent,
                                  std::int32_t slowdown_percent) -> bool {
  return update_status(id, [&](auto& record) {
    record.fill = kv_utilization_percent;
    record.slowdown = slowdown_percent;
  });
}

auto endpoint_directory::set_unreachable(const std::string& id,
                                         bool unreachable) -> bool {
  return update_status(id,
                       [&](auto& record) { record.unreachable = unreachable; });
}

auto endpoint_directory::set_request_limit(const std::string& id,
                                           std::int64_t per_1000_seconds)
    -> bool {
  return update_status(
      id, [&](auto& record) { record.request_limit = per_1000_seconds; });
}

auto endpoint_directory::set_heartbeats_overdue(const std::string& id,
                                                bool overdue) -> bool {
  return update(id, [&](auto& record) { record.silent = overdue; });
}

auto endpoint_directory::mark_displaced(const std::string& id) -> bool {
  return update(id, [](auto& record) { record.displaced = true; });
}

auto endpoint_directory::digest() const -> std::uint64_t {
  std::uint64_t hash = 0;
  for (const auto& [id, record] : records_)
    hash = hash64(id + record.incarnation +
                      std::to_string(static_cast<int>(record.state)),
                  hash);
  return hash;
}

auto endpoint_directory::mark_leaving(const std::string& id,
                                      const std::string& incarnation) -> bool {
  return update(id, [&](auto& record) {
    const auto up =
        record.state == static_cast<std::int8_t>(endpoint_state::up);
    if (up && record.incarnation == incarnation)
      record.state = static_cast<std::int8_t>(endpoint_state::leaving);
  });
}

auto endpoint_directory::mark_gone(const std::string& id) -> bool {
  return update(id, [](auto& record) {
    record.state = static_cast<std::int8_t>(endpoint_state::gone);
  });
}

auto endpoint_directory::changes_after(std::int64_t sequence,
                                       std::size_t max_count) const
    -> std::vector<wire::endpoint_record> {
  std::vector<wire::endpoint_record> changes;
  for (auto it = by_sequence_.upper_bound(sequence);
       it != by_sequence_.end() && changes.size() < max_count; ++it)
    changes.push_back(records_.at(it->second));
  return changes;
}

}  // namespace pollenloft
