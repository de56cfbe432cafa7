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

/// Identifies a part of prompts over all requests that share it, on any
/// service.
auto part_fingerprint(std::string_view part) -> std::uint64_t;

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

/// A part of prompts whose requests crash endpoints before their first events
/// is charged once for all crashes within this time: endpoints that are lost
/// together are lost by one cause.
constexpr auto part_crash_gap = milliseconds(250);
/// Threshold of a part that endpoints survived before its first crash.
constexpr int trusted_part_threshold =
    poison_threshold + 2 * inferred_points_before_first_event;
/// A run has survived a part once it has sent this many events.
constexpr std::size_t survival_events = 3;

/// What may make a request crash endpoints: all of it, or a part of its prompt.
struct crash_features {
  std::uint64_t fingerprint = 0;
  std::vector<std::uint64_t> parts{};  ///< shared with other requests
};

/// Points from which on requests are held back.
auto hold_threshold(const wire::blame_record& record) -> int;
/// Time from the last crash of a part until a trial.
auto part_hold_time(int points, int threshold) -> duration;
/// Lets one VM at a time admit a request with each part whose hold time is
/// over, another one every few seconds. `vms` are those with a lease.
auto nominate_trials(std::vector<wire::blame_record>& suspects,
                     const std::vector<std::string>& vms, milliseconds now)
    -> void;
/// Hash over what entry VMs learn of suspects; 0 if there are none.
auto suspects_digest(const std::vector<wire::blame_record>& suspects)
    -> std::int64_t;

/// Limits on the recorded crashes. All control replicas must use the same
/// values, or their states diverge.
struct crash_limits {
  milliseconds suspect_retention{std::chrono::minutes(10)};
  milliseconds poison_retention{std::chrono::hours(1)};  ///< at the threshold
  /// Beyond this, the oldest of the records with the fewest points is evicted.
  std::size_t max_records = 4096;
  std::size_t max_endpoints = 8;        ///< the latest ones of each request
  std::size_t max_part_endpoints = 16;  ///< the latest ones of each part
  std::size_t max_suspects = 64;        ///< sent to entry VMs
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
  /// Whether a crash of the endpoint is recorded against the request or part.
  auto has_crash(std::uint64_t fingerprint, const std::string& endpoint) const
      -> bool;
  auto records() const -> std::vector<wire::blame_record>;
  auto load(std::vector<wire::blame_record> records) -> void;
  /// Time of the last crash that counts; 0 if there is none.
  auto last_crash_ms(std::uint64_t fingerprint) const -> std::int64_t;
  /// The records from `suspect_threshold` on, most points first. Requests that
  /// were on the same endpoints as a poison request with more points are not
  /// charged with these crashes.
  auto suspects() const -> const std::vector<wire::blame_record>& {
    return suspects_;
  }
  /// Hash over `suspects`; 0 if there are none.
  auto suspects_digest() const -> std::int64_t { return suspects_digest_; }

 private:
  auto apply_survival(const wire::blame_command& report) -> void;
  auto evict() -> void;
  auto update_suspects() -> void;

  crash_limits limits_;
  std::map<std::int64_t, wire::blame_record> records_;  // by fingerprint
  std::vector<wire::blame_record> suspects_;
  std::int64_t suspects_digest_ = 0;
};

/// Reports that the leader holds in memory until they are worth a log entry.
/// Most requests that are on a crashed endpoint run to the end elsewhere, so a
/// single crash is not committed: a new leader may forget it. Beyond the limit
/// a report displaces the oldest ones of the account that has most.
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
  auto evict() -> void;

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
  explicit crash_guard(std::string vm = {})
      : vm_name_(std::move(vm)), vm_(hash64(vm_name_)) {}

  /// Replaces what the leader has recorded; the ages of each record count back
  /// from `now`. Returns the survivals on this VM that the leader lacks.
  auto update(const std::vector<wire::blame_record>& suspects, instant now)
      -> std::vector<wire::blame_command>;
  /// Records a crash of `endpoint` under the request; false if it was recorded
  /// before.
  auto record_crash(std::uint64_t fingerprint, const std::string& endpoint,
                    int points, instant now) -> bool;
  /// The same for a part of the request's prompt.
  auto record_part_crash(std::uint64_t part, const std::string& endpoint,
                         instant now) -> bool;
  /// Drops what is recorded against a request that an endpoint ran to the end;
  /// false if there was nothing.
  auto record_survival(std::uint64_t fingerprint) -> bool;
  /// The same for a part; it is trusted more from here on.
  auto record_part_survival(std::uint64_t part, instant now) -> bool;
  /// Time until an arriving request may run; zero admits it.
  auto admit(const crash_features& features, instant now) -> duration;
  /// Whether a request that was admitted at `admitted` must not run because of
  /// what became known later.
  auto stopped_since(const crash_features& features, instant admitted) const
      -> bool;
  /// Time until the request may run again, without admitting it.
  auto held_for(const crash_features& features, instant now) const -> duration;
  auto points(std::uint64_t fingerprint) const -> int;
  auto size() const -> std::size_t { return suspects_.size(); }

 private:
  struct suspect {
    bool is_part = false;
    bool trusted = false;  // endpoints survived the part before
    int leader_points = 0;
    std::set<std::string> leader_endpoints;
    std::map<std::string, int> local_crashes;  // points, by endpoint
    instant last_crash{};
    instant held_since{};  // unset below the threshold
    instant trial_until{};
    std::int64_t trial = 0;        // nomination of this VM
    std::int64_t trials_used = 0;  // the last nomination that was used

    /// A crash that the leader has recorded counts once.
    auto points() const -> int;
    auto threshold() const -> int {
      return trusted ? trusted_part_threshold : poison_threshold;
    }
    auto held() const -> bool { return points() >= threshold(); }
  };

  /// Remembers which parts endpoints survived, and when. It keeps between half
  /// of and all of its capacity, without those that are older.
  class survival_memory {
   public:
    auto add(std::uint64_t part, instant now) -> void;
    auto find(std::uint64_t part) const -> std::optional<instant>;

   private:
    std::unordered_map<std::uint64_t, instant> recent_;
    std::unordered_map<std::uint64_t, instant> older_;
  };

  auto find(std::uint64_t fingerprint) const -> const suspect*;
  auto insert(std::uint64_t fingerprint, instant now) -> suspect*;
  auto trial_at(std::uint64_t fingerprint, const suspect& record) const
      -> instant;
  auto request_held_for(std::uint64_t fingerprint, instant now) const
      -> duration;
  static auto part_held_for(const suspect& record, instant now) -> duration;
  auto evict() -> bool;
  auto expire(instant now) -> void;

  std::string vm_name_;
  std::uint64_t vm_;
  std::unordered_map<std::uint64_t, suspect> suspects_;
  survival_memory survivals_;
};

}  // namespace pollenloft

#endif
