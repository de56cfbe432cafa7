/// \file poison.hpp
/// Requests that crash the endpoints that run them: what is recorded against
/// them, and when they may run. Free of I/O, reads no clock.
#ifndef POLLENLOFT_POISON_HPP
#define POLLENLOFT_POISON_HPP

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pollenloft/wire.hpp"

namespace pollenloft {

/// Identifies a request over all its arrivals, at any VM: two arrivals with the
/// same account, target and body are the same request.
auto request_fingerprint(std::string_view account, std::string_view target,
                         std::string_view body) -> std::uint64_t;

/// Identifies a part of prompts over all requests of a service that share it.
auto part_fingerprint(std::string_view service, std::string_view part)
    -> std::uint64_t;

/// A fingerprint as it appears in logs and in operators' commands.
auto fingerprint_text(std::uint64_t fingerprint) -> std::string;
/// Several fingerprints, separated by commas.
auto fingerprints_text(const std::vector<std::uint64_t>& fingerprints)
    -> std::string;
/// Empty, see `last_error`, if the text is not a fingerprint.
auto parse_fingerprint(const std::string& text) -> std::optional<std::uint64_t>;

/// Points against a request for each endpoint that crashes while running it. A
/// crash before the first token counts twice: a poison request causes one on
/// every attempt, another request on the same endpoint only rarely. With the
/// threshold below, a request that crashes endpoints before its first token is
/// stopped after two crashes, and one that crashes them later after four.
constexpr int crash_points_before_first_token = 6;
constexpr int crash_points_after_first_token = 3;
/// Points for a crash that no other endpoint reports. It is inferred from a
/// connection that was closed and an address that refuses new ones, which every
/// request on the endpoint sees alike: three or four crashes stop a request.
constexpr int inferred_points_before_first_event = 4;
constexpr int inferred_points_after_first_event = 3;
constexpr int poison_threshold = 12;
/// Entry VMs receive the records that have at least these points.
constexpr int suspect_threshold = 8;

/// Limits on the recorded crashes. All control replicas must use the same
/// values, or their states diverge.
struct crash_limits {
  milliseconds suspect_retention{std::chrono::minutes(10)};
  milliseconds poison_retention{std::chrono::hours(1)};  ///< at the threshold
  /// Beyond this, the oldest of the records with the fewest points is evicted.
  std::size_t max_records = 4096;
  std::size_t max_endpoints = 8;  ///< the latest ones of each record
  std::size_t max_suspects = 32;  ///< sent to entry VMs
};

/// The crashes recorded against requests, kept by the control role. It is
/// deterministic: replicas that apply the same reports hold the same records.
class crash_ledger {
 public:
  explicit crash_ledger(crash_limits limits = {}) : limits_(limits) {}

  /// Applies a report of a crash, or of a run that its endpoint survived.
  auto apply(const wire::blame_command& report) -> void;
  auto expire(milliseconds now) -> void;
  /// Points of all crashes recorded against a request.
  auto points(std::uint64_t fingerprint) const -> int;
  auto size() const -> std::size_t { return records_.size(); }
  auto records() const -> std::vector<wire::blame_record>;
  auto load(std::vector<wire::blame_record> records) -> void;
  /// The records from `suspect_threshold` on, most points first. Requests that
  /// were on the same endpoints as a poison request with more points are not
  /// charged with these crashes.
  auto suspects() const -> const std::vector<wire::blame_record>& {
    return suspects_;
  }
  /// Hash over `suspects`; 0 if there are none.
  auto suspects_digest() const -> std::int64_t { return suspects_digest_; }

 private:
  auto evict() -> void;
  auto update_suspects() -> void;

  crash_limits limits_;
  std::map<std::int64_t, wire::blame_record> records_;  // by fingerprint
  std::vector<wire::blame_record> suspects_;
  std::int64_t suspects_digest_ = 0;
};

/// Reports that the leader holds in memory until they are worth a log entry.
/// Most requests that are on a crashed endpoint run to the end elsewhere, so a
/// single crash is not committed: a new leader may forget it.
class crash_inbox {
 public:
  explicit crash_inbox(crash_limits limits = {}) : limits_(limits) {}

  /// Takes a report and returns those to commit now: all reports of a request
  /// from `suspect_threshold` on, or a survival that the committed records
  /// need.
  auto add(const wire::blame_command& report, const crash_ledger& committed)
      -> std::vector<wire::blame_command>;
  auto size() const -> std::size_t { return held_.size(); }

 private:
  auto expire(milliseconds now) -> void;

  crash_limits limits_;
  std::map<std::int64_t, std::vector<wire::blame_command>> held_;
};

/// Decides on an entry VM whether a request may run, by the leader's records
/// and by crashes on this VM that the leader may not have recorded yet.
///
/// A request at the threshold is held back for a time that triples with each
/// further crash. After that each VM, at a time of its own, admits it once as a
/// trial; a run that its endpoint survives drops the record.
class crash_guard {
 public:
  /// `vm` spreads the trials of the VMs over time.
  explicit crash_guard(std::uint64_t vm) : vm_(vm) {}

  /// Replaces what the leader has recorded; `age_ms` of each record counts back
  /// from `now`.
  auto update(const std::vector<wire::blame_record>& suspects, instant now)
      -> void;
  /// Records a crash of `endpoint` under the request; false if it was recorded
  /// before.
  auto record_crash(std::uint64_t fingerprint, const std::string& endpoint,
                    int points, instant now) -> bool;
  /// Drops what is recorded against a request that an endpoint ran to the end;
  /// false if there was nothing.
  auto record_survival(std::uint64_t fingerprint) -> bool;
  /// Time until an arriving request may run; zero admits it.
  auto admit(std::uint64_t fingerprint, instant now) -> duration;
  /// Whether a request that was admitted at `admitted` must not run because of
  /// a later crash.
  auto stopped_since(std::uint64_t fingerprint, instant admitted) const -> bool;
  /// Time until the request may run again, without admitting it.
  auto held_for(std::uint64_t fingerprint, instant now) const -> duration;
  auto points(std::uint64_t fingerprint) const -> int;
  auto size() const -> std::size_t { return suspects_.size(); }

 private:
  struct suspect {
    int leader_points = 0;
    std::set<std::string> leader_endpoints;
    std::map<std::string, int> local_crashes;  // points, by endpoint
    instant last_crash{};
    instant trial_until{};

    /// A crash that the leader has recorded counts once.
    auto points() const -> int;
  };

  auto find(std::uint64_t fingerprint) const -> const suspect*;
  auto trial_at(std::uint64_t fingerprint, const suspect& record) const
      -> instant;
  auto expire(instant now) -> void;

  std::uint64_t vm_;
  std::unordered_map<std::uint64_t, suspect> suspects_;
};

}  // namespace pollenloft

#endif
