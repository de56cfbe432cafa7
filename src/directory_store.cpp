#include "directory_store.hpp"

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

constexpr const char* file_name = "endpoints";
/// Endpoints report about once a second; what is older than several reports
/// is better learned anew.
constexpr auto file_life = std::chrono::seconds(60);
/// Keeps the file of a calm system within its life.
constexpr auto refresh_period = std::chrono::seconds(20);
constexpr auto least_pause = std::chrono::seconds(1);
/// Saving stops the loop until the disk has synced: at most a fiftieth of it.
constexpr int pause_factor = 50;

}  // namespace

auto directory_store::restore(milliseconds wall) -> std::size_t {
  const auto bytes = disk_.load_beside(file_name);
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
  const auto fresh = std::chrono::abs(age) < file_life;
  log_event(log_level::info, "endpoints.restored",
            {{"count", fresh ? saved->records.size() : 0},
             {"age_ms", age.count()},
             {"used", fresh}});
  if (!fresh) return 0;
  directory_.merge(saved->records);
  return saved->records.size();
}

/// Load and report numbers change all the time and are not worth a write.
auto directory_store::signature() const -> std::uint64_t {
  std::uint64_t sum = 0;
  for (const auto& [id, record] : directory_.records()) {
    auto kept = record;
    kept.sequence = kept.report = kept.noted = 0;
    kept.fill = kept.slowdown = 0;
    kept.silent = false;
    sum = hash64(encode_wire(kept), sum);
  }
  return sum;
}

auto directory_store::tick(instant now, milliseconds wall) -> void {
  if (now - saved_at_ < pause_) return;
  const auto due = now - saved_at_ > refresh_period;
  if (directory_.size() == 0 || (directory_.sequence() == seen_ && !due))
    return;
  seen_ = directory_.sequence();
  const auto present = signature();
  if (present == saved_ && !due) return;
  saved_ = present;
  saved_at_ = now;
  save(wall);
}

auto directory_store::save(milliseconds wall) -> void {
  wire::saved_directory saved;
  saved.at_ms = wall.count();
  for (const auto& [id, record] : directory_.records())
    saved.records.push_back(record);
  const auto begun = boottime_clock::now();
  const auto stored = disk_.store_beside(file_name, encode_wire(saved));
  pause_ = std::max<duration>(least_pause,
                              pause_factor * (boottime_clock::now() - begun));
  if (!stored) log_failure("endpoints.not_saved", last_error());
}

}  // namespace pollenloft
