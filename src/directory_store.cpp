#include "directory_store.hpp"

#include <utility>

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

constexpr const char* file_name = "endpoints";
/// Endpoints report about once a second. A file that is older than several
/// report periods is ignored, since new reports are more accurate.
constexpr auto max_file_age = std::chrono::seconds(60);
/// Rewrites the file even without changes, so that it does not grow too old.
constexpr auto refresh_interval = std::chrono::seconds(20);
constexpr auto min_save_interval = std::chrono::seconds(1);
/// Saving blocks the event loop until the disk has synced. The interval is at
/// least this many times as long, so that saving takes at most 1/50 of the
/// time.
constexpr int save_interval_factor = 50;
/// Makes the next tick look for changes again.
constexpr std::int64_t unchecked_sequence = -1;

}  // namespace

auto directory_store::restore(milliseconds wall) -> std::size_t {
  const auto bytes = disk_.load_auxiliary(file_name);
  if (!bytes) {
    log_failure("endpoints.unreadable", last_error());
    return 0;
  }
  if (bytes->empty()) return 0;
  const auto saved = decode_wire<wire::saved_directory>(*bytes);
  if (!saved) {
    log_failure("endpoints.unreadable", last_error());
    return 0;
  }
  const auto age = wall - milliseconds(saved->at_ms);
  const auto fresh = std::chrono::abs(age) < max_file_age;
  log_event(log_level::info, "endpoints.restored",
            {{"count", fresh ? saved->records.size() : 0},
             {"saved_age_ms", age.count()},
             {"used", fresh}});
  if (!fresh) return 0;
  directory_.merge(saved->records);
  return saved->records.size();
}

/// Hash of the records without load and report numbers, which change too often
/// to save each change.
auto directory_store::signature() const -> std::uint64_t {
  std::uint64_t sum = 0;
  for (const auto& [id, record] : directory_.records()) {
    auto stable = record;
    stable.sequence = stable.report = stable.noted = 0;
    stable.fill = stable.slowdown = 0;
    stable.silent = false;
    sum = hash64(encode_wire(stable), sum);
  }
  return sum;
}

auto directory_store::tick(instant now, milliseconds wall) -> void {
  if (now - saved_at_ < save_interval_) return;
  const auto due = now - saved_at_ > refresh_interval;
  if (directory_.size() == 0 ||
      (directory_.sequence() == checked_sequence_ && !due))
    return;
  checked_sequence_ = directory_.sequence();
  const auto current = signature();
  if (current == saved_signature_ && !due) return;
  saved_at_ = now;
  if (save(wall))
    saved_signature_ = current;
  else
    checked_sequence_ = unchecked_sequence;
}

auto directory_store::save_changes(milliseconds wall) -> void {
  if (directory_.sequence() == checked_sequence_) return;
  checked_sequence_ = directory_.sequence();
  const auto current = signature();
  if (std::exchange(saved_signature_, current) != current) save(wall);
}

auto directory_store::save(milliseconds wall) -> bool {
  wire::saved_directory saved;
  saved.at_ms = wall.count();
  for (const auto& [id, record] : directory_.records())
    saved.records.push_back(record);
  const auto start = boottime_clock::now();
  const auto stored = disk_.store_auxiliary(file_name, encode_wire(saved));
  save_interval_ = std::max<duration>(
      min_save_interval,
      save_interval_factor * (boottime_clock::now() - start));
  if (!stored) log_failure("endpoints.not_saved", last_error());
  return stored.has_value();
}

}  // namespace pollenloft
