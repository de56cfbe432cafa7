#include "pollenloft/poison.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

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

/// Time from a crash at the threshold to the first trial of a part.
constexpr auto base_part_hold_time = std::chrono::seconds(5);
/// After these no trial follows until the record is too old.
constexpr int max_failed_trials = 2;
/// A part is held once this many endpoints crashed under it at two moments.
constexpr std::size_t max_part_endpoints = 5;
/// Time for a nominated VM to get a request with the part.
constexpr auto nomination_time = milliseconds(3000);
constexpr auto min_retry_after = std::chrono::seconds(1);
constexpr std::size_t max_known_survivals = 8192;

constexpr int hex_digits = 16;  // of a fingerprint

auto hold_time(duration base, int points, int threshold) -> duration {
  auto time = base;
  const auto further_crashes =
      (points - threshold) / inferred_points_before_first_event;
  for (int i = 0; i < std::min(further_crashes, max_hold_steps); ++i)
    time *= hold_time_factor;
  return std::min<duration>(time, max_hold_time);
}

/// Whether a crash adds to what is recorded until `last_ms`.
auto counts(const wire::blame_command& report, std::int64_t last_ms) -> bool {
  // The time of day may step back.
  return !report.part ||
         std::abs(report.at_ms - last_ms) >= part_crash_gap.count();
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

auto part_fingerprint(std::string_view part) -> std::uint64_t {
  return hash64(part, hash64("part/"));
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
  if (report.survived) return apply_survival(report);
  auto& record = records_[report.fingerprint];
  if (record.endpoints.empty()) record.first_at_ms = report.at_ms;
  record.fingerprint = report.fingerprint;
  record.part = report.part;
  auto& endpoints = record.endpoints;
  if (contains(endpoints, report.endpoint)) return;
  if (endpoints.size() >=
      (report.part ? limits_.max_part_endpoints : limits_.max_endpoints))
    endpoints.erase(endpoints.begin());
  endpoints.push_back(report.endpoint);
  record.account = report.account;
  if (counts(report, record.at_ms)) {
    record.points += report.points;
    record.at_ms = report.at_ms;
  }
  if (record.part && endpoints.size() >= max_part_endpoints &&
      record.points >= suspect_threshold)
    record.points = std::max(record.points, hold_threshold(record));
  evict();
  update_suspects();
}

/// A survival before the first crash proves that the part did no harm then.
auto crash_ledger::apply_survival(const wire::blame_command& report) -> void {
  const auto found = records_.find(report.fingerprint);
  if (found == records_.end()) return;
  const auto survived_at_ms = report.at_ms - report.survived_ago_ms;
  if (report.part && survived_at_ms < found->second.first_at_ms)
    found->second.trusted = true;
  else
    records_.erase(found);
  update_suspects();
}

auto crash_ledger::expire(milliseconds now) -> void {
  const auto expired = std::erase_if(records_, [&](const auto& item) {
    const auto& record = item.second;
    const auto retention = record.points >= hold_threshold(record)
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

auto crash_ledger::last_crash_ms(std::uint64_t fingerprint) const
    -> std::int64_t {
  const auto found = records_.find(static_cast<std::int64_t>(fingerprint));
  return found == records_.end() ? 0 : found->second.at_ms;
}

auto crash_ledger::has_crash(std::uint64_t fingerprint,
                             const std::string& endpoint) const -> bool {
  const auto found = records_.find(static_cast<std::int64_t>(fingerprint));
  return found != records_.end() && contains(found->second.endpoints, endpoint);
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
    // A part that no endpoint has survived is not explained by one that all
    // requests share.
    const auto unexplained =
        record->points - record->points * static_cast<int>(explained) / crashes;
    const auto points =
        record->part && !record->trusted ? record->points : unexplained;
    if (points >= hold_threshold(*record)) poison.push_back(record);
    if (points < suspect_threshold || suspects_.size() >= limits_.max_suspects)
      continue;
    suspects_.push_back(*record);
    suspects_.back().points = points;
  }
  suspects_digest_ = pollenloft::suspects_digest(suspects_);
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
  if (committed.has_crash(fingerprint, report.endpoint)) return {};
  if (held_.size() >= limits_.max_records) expire(milliseconds(report.at_ms));
  if (held_.size() >= limits_.max_records) evict();
  auto& reports = held_[report.fingerprint];
  const auto repeated = std::any_of(
      reports.begin(), reports.end(),
      [&](const auto& earlier) { return earlier.endpoint == report.endpoint; });
  if (!repeated) reports.push_back(report);
  auto points = committed_points;
  auto last_ms = committed.last_crash_ms(fingerprint);
  for (const auto& each : reports) {
    if (!counts(each, last_ms)) continue;
    points += each.points;
    last_ms = each.at_ms;
  }
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

auto crash_inbox::evict() -> void {
  std::map<std::string, std::size_t> held_by_account;
  for (const auto& [fingerprint, reports] : held_)
    ++held_by_account[reports.back().account];
  const auto largest = std::max_element(
      held_by_account.begin(), held_by_account.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  std::vector<std::pair<std::int64_t, std::int64_t>> oldest;  // time, key
  for (const auto& [fingerprint, reports] : held_)
    if (reports.back().account == largest->first)
      oldest.emplace_back(reports.back().at_ms, fingerprint);
  // Several at once, so that not each report looks through all.
  constexpr std::size_t evicted_share = 8;
  const auto count = 1 + oldest.size() / evicted_share;
  std::partial_sort(oldest.begin(),
                    oldest.begin() + static_cast<std::ptrdiff_t>(count),
                    oldest.end());
  for (std::size_t i = 0; i < count; ++i)
    held_.erase(oldest[i].second);
}

// --- trials of parts ---------------------------------------------------------

auto hold_threshold(const wire::blame_record& record) -> int {
  return record.part && record.trusted ? trusted_part_threshold
                                       : poison_threshold;
}

auto part_hold_time(int points, int threshold) -> duration {
  const auto failed_trials =
      (points - threshold) / inferred_points_before_first_event;
  if (failed_trials >= max_failed_trials) return max_hold_time;
  return hold_time(base_part_hold_time, points, threshold);
}

auto nominate_trials(std::vector<wire::blame_record>& suspects,
                     const std::vector<std::string>& vms, milliseconds now)
    -> void {
  if (vms.empty()) return;
  // All parts that are due are tried at the same VM, since a request may have
  // several of them.
  const std::int64_t slot = now / nomination_time;
  const auto& vm = vms[hash64(std::to_string(slot)) % vms.size()];
  for (auto& record : suspects) {
    const auto threshold = hold_threshold(record);
    if (!record.part || record.points < threshold) continue;
    const auto hold = part_hold_time(record.points, threshold);
    if (now < milliseconds(record.at_ms) + hold) continue;
    record.trial = slot;
    record.trial_vm = vm;
  }
}

auto suspects_digest(const std::vector<wire::blame_record>& suspects)
    -> std::int64_t {
  std::uint64_t digest = 0;
  for (const auto& suspect : suspects)
    for (const auto number :
         {suspect.fingerprint, std::int64_t{suspect.points}, suspect.at_ms,
          std::int64_t{suspect.trusted}, suspect.trial})
      digest = hash64(std::to_string(number) + "/", digest);
  return static_cast<std::int64_t>(digest);
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

auto crash_guard::survival_memory::add(std::uint64_t part, instant now)
    -> void {
  recent_[part] = now;
  if (recent_.size() < max_known_survivals / 2) return;
  older_ = std::exchange(recent_, {});
}

auto crash_guard::survival_memory::find(std::uint64_t part) const
    -> std::optional<instant> {
  for (const auto* each : {&recent_, &older_}) {
    const auto found = each->find(part);
    if (found != each->end()) return found->second;
  }
  return std::nullopt;
}

auto crash_guard::update(const std::vector<wire::blame_record>& suspects,
                         instant now) -> std::vector<wire::blame_command> {
  std::set<std::uint64_t> listed;
  std::vector<wire::blame_command> survivals;
  for (const auto& record : suspects) {
    const auto fingerprint = static_cast<std::uint64_t>(record.fingerprint);
    const auto survived =
        record.part ? survivals_.find(fingerprint) : std::nullopt;
    const auto survived_crashes =
        survived && *survived >= now - milliseconds(record.first_age_ms);
    if (survived && (survived_crashes || !record.trusted)) {
      survivals.emplace_back();
      auto& survival = survivals.back();
      survival.fingerprint = record.fingerprint;
      survival.part = true;
      survival.survived = true;
      survival.survived_ago_ms =
          std::chrono::floor<milliseconds>(now - *survived).count();
    }
    if (survived_crashes) continue;
    listed.insert(fingerprint);
    auto& suspect = suspects_[fingerprint];
    suspect.is_part = record.part;
    suspect.trusted = record.trusted || survived;
    suspect.leader_points = record.points;
    suspect.leader_endpoints = {record.endpoints.begin(),
                                record.endpoints.end()};
    suspect.last_crash = std::max<instant>(suspect.last_crash,
                                           now - milliseconds(record.age_ms));
    suspect.trial = record.trial_vm == vm_name_ ? record.trial : 0;
    if (!suspect.held())
      suspect.held_since = {};
    else if (suspect.held_since == instant{})
      suspect.held_since = now;
  }
  // The leader has dropped records that it listed before. Those that it never
  // listed may have too few points there.
  std::erase_if(suspects_, [&](const auto& item) {
    return item.second.leader_points > 0 && listed.count(item.first) == 0;
  });
  expire(now);
  return survivals;
}

auto crash_guard::expire(instant now) -> void {
  std::erase_if(suspects_, [&](const auto& item) {
    return item.second.leader_points == 0 &&
           now - item.second.last_crash > local_retention;
  });
}

auto crash_guard::insert(std::uint64_t fingerprint, instant now) -> suspect* {
  if (suspects_.size() >= max_local_suspects) expire(now);
  if (suspects_.size() >= max_local_suspects && find(fingerprint) == nullptr &&
      !evict())
    return nullptr;
  return &suspects_[fingerprint];
}

/// Displaces the oldest record that the leader does not list.
auto crash_guard::evict() -> bool {
  auto oldest = suspects_.end();
  for (auto it = suspects_.begin(); it != suspects_.end(); ++it)
    if (it->second.leader_points == 0 && !it->second.held() &&
        (oldest == suspects_.end() ||
         it->second.last_crash < oldest->second.last_crash))
      oldest = it;
  if (oldest == suspects_.end()) return false;
  suspects_.erase(oldest);
  return true;
}

auto crash_guard::record_crash(std::uint64_t fingerprint,
                               const std::string& endpoint, int points,
                               instant now) -> bool {
  auto* suspect = insert(fingerprint, now);
  if (suspect == nullptr ||
      !suspect->local_crashes.emplace(endpoint, points).second)
    return false;
  suspect->last_crash = now;
  return true;
}

auto crash_guard::record_part_crash(std::uint64_t part,
                                    const std::string& endpoint, instant now)
    -> bool {
  auto* suspect = insert(part, now);
  if (suspect == nullptr) return false;
  suspect->is_part = true;
  suspect->trusted = suspect->trusted || survivals_.find(part);
  const auto counts = now - suspect->last_crash >= part_crash_gap;
  const auto points = counts ? inferred_points_before_first_event : 0;
  if (!suspect->local_crashes.emplace(endpoint, points).second) return false;
  if (counts) suspect->last_crash = now;
  if (suspect->held() && suspect->held_since == instant{})
    suspect->held_since = now;
  return true;
}

auto crash_guard::record_survival(std::uint64_t fingerprint) -> bool {
  return suspects_.erase(fingerprint) > 0;
}

auto crash_guard::record_part_survival(std::uint64_t part, instant now)
    -> bool {
  survivals_.add(part, now);
  return suspects_.erase(part) > 0;
}

auto crash_guard::points(std::uint64_t fingerprint) const -> int {
  const auto* suspect = find(fingerprint);
  return suspect == nullptr ? 0 : suspect->points();
}

/// The VMs admit their trials at different times, so that the result of one is
/// known to the others.
auto crash_guard::trial_at(std::uint64_t fingerprint,
                           const suspect& record) const -> instant {
  const auto hold =
      hold_time(base_hold_time, record.points(), poison_threshold);
  random_source spread(hash64(std::to_string(fingerprint), vm_));
  const duration delay(static_cast<std::int64_t>(
      spread.below(static_cast<std::uint64_t>(hold.count()))));
  return std::max(record.last_crash + hold + delay, record.trial_until);
}

auto crash_guard::request_held_for(std::uint64_t fingerprint, instant now) const
    -> duration {
  const auto* record = find(fingerprint);
  if (record == nullptr || !record->held()) return duration::zero();
  return std::max<duration>(trial_at(fingerprint, *record) - now,
                            duration::zero());
}

auto crash_guard::part_held_for(const suspect& record, instant now)
    -> duration {
  if (record.trial > record.trials_used) return duration::zero();
  const auto hold = part_hold_time(record.points(), record.threshold());
  return std::max<duration>(record.last_crash + hold - now, min_retry_after);
}

auto crash_guard::held_for(const crash_features& features, instant now) const
    -> duration {
  auto wait = request_held_for(features.fingerprint, now);
  auto held_parts = 0;
  for (const auto part : features.parts) {
    const auto* record = find(part);
    if (record == nullptr || !record->held()) continue;
    ++held_parts;
    wait = std::max(wait, part_held_for(*record, now));
    // Every second trial is for requests that tell one part from the others.
    if (held_parts > 1 && record->trial % 2 == 0)
      wait = std::max<duration>(wait, min_retry_after);
  }
  return wait;
}

auto crash_guard::admit(const crash_features& features, instant now)
    -> duration {
  const auto wait = held_for(features, now);
  if (wait > duration::zero()) return wait;
  const auto found = suspects_.find(features.fingerprint);
  if (found != suspects_.end() && found->second.held())
    found->second.trial_until = now + trial_time;
  for (const auto part : features.parts) {
    const auto record = suspects_.find(part);
    if (record == suspects_.end()) continue;
    record->second.trials_used = record->second.trial;
  }
  return wait;
}

auto crash_guard::stopped_since(const crash_features& features,
                                instant admitted) const -> bool {
  const auto* record = find(features.fingerprint);
  if (record != nullptr && record->held() && record->last_crash > admitted)
    return true;
  return std::any_of(
      features.parts.begin(), features.parts.end(), [&](const auto part) {
        const auto* suspect = find(part);
        return suspect != nullptr && suspect->held() &&
               std::max(suspect->held_since, suspect->last_crash) > admitted;
      });
}

}  // namespace pollenloft
