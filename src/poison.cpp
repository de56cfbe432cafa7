#include "pollenloft/poison.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace pollenloft {

namespace {

/// Time from a crash at the threshold to the first trial, on the first VM.
constexpr auto base_hold_time = std::chrono::seconds(20);
constexpr int hold_time_factor = 3;
constexpr int max_hold_steps = 4;
constexpr auto max_hold_time = std::chrono::hours(1);
/// Time for a trial to end before this VM admits the next one.
constexpr auto trial_time = std::chrono::seconds(10);
constexpr auto local_retention = std::chrono::minutes(10);
constexpr std::size_t max_local_suspects = 4096;

constexpr int hex_digits = 16;  // of a fingerprint

auto hold_time(int points) -> duration {
  auto time = duration(base_hold_time);
  const auto further_crashes =
      (points - poison_threshold) / inferred_points_before_first_event;
  for (int i = 0; i < std::min(further_crashes, max_hold_steps); ++i)
    time *= hold_time_factor;
  return std::min<duration>(time, max_hold_time);
}

auto contains(const std::vector<std::string>& endpoints,
              const std::string& endpoint) -> bool {
  return std::find(endpoints.begin(), endpoints.end(), endpoint) !=
         endpoints.end();
}

}  // namespace

auto request_fingerprint(std::string_view account, std::string_view target,
                         std::string_view body) -> std::uint64_t {
  // Stored with claims of idempotency keys, so it must not change.
  return hash64(body, hash64(std::string(account).append(target)));
}

auto part_fingerprint(std::string_view service, std::string_view part)
    -> std::uint64_t {
  return hash64(part, hash64(std::string("part/").append(service)));
}

auto fingerprints_text(const std::vector<std::uint64_t>& fingerprints)
    -> std::string {
  std::string text;
  for (const auto fingerprint : fingerprints)
    text += (text.empty() ? "" : ",") + fingerprint_text(fingerprint);
  return text;
}

auto fingerprint_text(std::uint64_t fingerprint) -> std::string {
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(hex_digits) << fingerprint;
  return text.str();
}

auto parse_fingerprint(const std::string& text)
    -> std::optional<std::uint64_t> {
  const auto valid =
      text.size() == hex_digits &&
      text.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!valid) return fail("fingerprint.parse", text, "not 16 hex digits");
  constexpr int base = 16;
  return std::stoull(text, nullptr, base);
}

// --- records of the control role ---------------------------------------------

auto crash_ledger::apply(const wire::blame_command& report) -> void {
  expire(milliseconds(report.at_ms));
  if (report.survived) {
    records_.erase(report.fingerprint);
    return update_suspects();
  }
  auto& record = records_[report.fingerprint];
  record.fingerprint = report.fingerprint;
  auto& endpoints = record.endpoints;
  if (contains(endpoints, report.endpoint)) return;
  if (endpoints.size() >= limits_.max_endpoints)
    endpoints.erase(endpoints.begin());
  endpoints.push_back(report.endpoint);
  record.account = report.account;
  record.points += report.points;
  record.at_ms = report.at_ms;
  evict();
  update_suspects();
}

auto crash_ledger::expire(milliseconds now) -> void {
  const auto expired = std::erase_if(records_, [&](const auto& item) {
    const auto& record = item.second;
    const auto retention = record.points >= poison_threshold
                               ? limits_.poison_retention
                               : limits_.suspect_retention;
    return milliseconds(record.at_ms) + retention < now;
  });
  if (expired > 0) update_suspects();
}

auto crash_ledger::evict() -> void {
  if (records_.size() <= limits_.max_records) return;
  records_.erase(std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.points, a.second.at_ms) <
               std::pair(b.second.points, b.second.at_ms);
      }));
}

auto crash_ledger::points(std::uint64_t fingerprint) const -> int {
  const auto found = records_.find(static_cast<std::int64_t>(fingerprint));
  return found == records_.end() ? 0 : found->second.points;
}

auto crash_ledger::records() const -> std::vector<wire::blame_record> {
  std::vector<wire::blame_record> records;
  for (const auto& [fingerprint, record] : records_)
    records.push_back(record);
  return records;
}

auto crash_ledger::load(std::vector<wire::blame_record> records) -> void {
  records_.clear();
  for (auto& record : records) {
    const auto fingerprint = record.fingerprint;
    records_[fingerprint] = std::move(record);
  }
  update_suspects();
}

auto crash_ledger::update_suspects() -> void {
  std::vector<const wire::blame_record*> strongest;
  for (const auto& [fingerprint, record] : records_)
    if (record.points >= suspect_threshold) strongest.push_back(&record);
  std::stable_sort(
      strongest.begin(), strongest.end(), [](const auto* a, const auto* b) {
        return std::pair(a->points, a->at_ms) > std::pair(b->points, b->at_ms);
      });
  suspects_.clear();
  std::vector<const wire::blame_record*> poison;
  for (const auto* record : strongest) {
    const auto explained = std::count_if(
        record->endpoints.begin(), record->endpoints.end(),
        [&](const auto& endpoint) {
          return std::any_of(poison.begin(), poison.end(),
                             [&](const auto* other) {
                               return other->points > record->points &&
                                      contains(other->endpoints, endpoint);
                             });
        });
    const auto crashes = static_cast<int>(record->endpoints.size());
    const auto points =
        record->points - record->points * static_cast<int>(explained) / crashes;
    if (points >= poison_threshold) poison.push_back(record);
    if (points < suspect_threshold || suspects_.size() >= limits_.max_suspects)
      continue;
    suspects_.emplace_back();
    suspects_.back().fingerprint = record->fingerprint;
    suspects_.back().points = points;
    suspects_.back().at_ms = record->at_ms;
    suspects_.back().endpoints = record->endpoints;
    suspects_.back().account = record->account;
  }
  std::uint64_t digest = 0;
  for (const auto& suspect : suspects_)
    digest = hash64(std::to_string(suspect.fingerprint) + "/" +
                        std::to_string(suspect.points) + "/" +
                        std::to_string(suspect.at_ms),
                    digest);
  suspects_digest_ = static_cast<std::int64_t>(digest);
}

auto crash_inbox::add(const wire::blame_command& report,
                      const crash_ledger& committed)
    -> std::vector<wire::blame_command> {
  const auto fingerprint = static_cast<std::uint64_t>(report.fingerprint);
  const auto committed_points = committed.points(fingerprint);
  if (report.survived) {
    held_.erase(report.fingerprint);
    if (committed_points == 0) return {};
    return {report};
  }
  if (held_.size() >= limits_.max_records) expire(milliseconds(report.at_ms));
  if (held_.size() >= limits_.max_records) return {};
  auto& reports = held_[report.fingerprint];
  const auto repeated = std::any_of(
      reports.begin(), reports.end(),
      [&](const auto& earlier) { return earlier.endpoint == report.endpoint; });
  if (!repeated) reports.push_back(report);
  auto points = committed_points;
  for (const auto& each : reports)
    points += each.points;
  if (points < suspect_threshold) return {};
  auto due = std::move(reports);
  held_.erase(report.fingerprint);
  return due;
}

auto crash_inbox::expire(milliseconds now) -> void {
  std::erase_if(held_, [&](const auto& item) {
    return milliseconds(item.second.back().at_ms) + limits_.suspect_retention <
           now;
  });
}

// --- decisions of an entry VM ------------------------------------------------

auto crash_guard::suspect::points() const -> int {
  auto sum = leader_points;
  for (const auto& [endpoint, points] : local_crashes)
    if (leader_endpoints.count(endpoint) == 0) sum += points;
  return sum;
}

auto crash_guard::find(std::uint64_t fingerprint) const -> const suspect* {
  const auto found = suspects_.find(fingerprint);
  return found == suspects_.end() ? nullptr : &found->second;
}

auto crash_guard::update(const std::vector<wire::blame_record>& suspects,
                         instant now) -> void {
  std::set<std::uint64_t> listed;
  for (const auto& record : suspects) {
    const auto fingerprint = static_cast<std::uint64_t>(record.fingerprint);
    listed.insert(fingerprint);
    auto& suspect = suspects_[fingerprint];
    suspect.leader_points = record.points;
    suspect.leader_endpoints = {record.endpoints.begin(),
                                record.endpoints.end()};
    suspect.last_crash = std::max<instant>(suspect.last_crash,
                                           now - milliseconds(record.age_ms));
  }
  // The leader has dropped records that it listed before. Those that it never
  // listed may have too few points there.
  std::erase_if(suspects_, [&](const auto& item) {
    return item.second.leader_points > 0 && listed.count(item.first) == 0;
  });
  expire(now);
}

auto crash_guard::expire(instant now) -> void {
  std::erase_if(suspects_, [&](const auto& item) {
    return item.second.leader_points == 0 &&
           now - item.second.last_crash > local_retention;
  });
}

auto crash_guard::record_crash(std::uint64_t fingerprint,
                               const std::string& endpoint, int points,
                               instant now) -> bool {
  if (suspects_.size() >= max_local_suspects) expire(now);
  if (suspects_.size() >= max_local_suspects && find(fingerprint) == nullptr)
    return false;
  auto& suspect = suspects_[fingerprint];
  if (!suspect.local_crashes.emplace(endpoint, points).second) return false;
  suspect.last_crash = now;
  return true;
}

auto crash_guard::record_survival(std::uint64_t fingerprint) -> bool {
  return suspects_.erase(fingerprint) > 0;
}

auto crash_guard::points(std::uint64_t fingerprint) const -> int {
  const auto* suspect = find(fingerprint);
  return suspect == nullptr ? 0 : suspect->points();
}

/// The VMs admit their trials at different times, so that the result of one is
/// known to the others.
auto crash_guard::trial_at(std::uint64_t fingerprint,
                           const suspect& record) const -> instant {
  const auto hold = hold_time(record.points());
  random_source spread(hash64(std::to_string(fingerprint), vm_));
  const duration delay(static_cast<std::int64_t>(
      spread.below(static_cast<std::uint64_t>(hold.count()))));
  return std::max(record.last_crash + hold + delay, record.trial_until);
}

auto crash_guard::held_for(std::uint64_t fingerprint, instant now) const
    -> duration {
  const auto* record = find(fingerprint);
  if (record == nullptr || record->points() < poison_threshold)
    return duration::zero();
  return std::max<duration>(trial_at(fingerprint, *record) - now,
                            duration::zero());
}

auto crash_guard::admit(std::uint64_t fingerprint, instant now) -> duration {
  const auto wait = held_for(fingerprint, now);
  const auto found = suspects_.find(fingerprint);
  if (wait == duration::zero() && found != suspects_.end() &&
      found->second.points() >= poison_threshold)
    found->second.trial_until = now + trial_time;
  return wait;
}

auto crash_guard::stopped_since(std::uint64_t fingerprint,
                                instant admitted) const -> bool {
  const auto* record = find(fingerprint);
  return record != nullptr && record->points() >= poison_threshold &&
         record->last_crash > admitted;
}

}  // namespace pollenloft
