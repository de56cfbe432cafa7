/// \file control.hpp
/// Logic of the control role, free of I/O: the replicated state machine
/// (configuration, claims, crash points, audit trail), the configuration
/// leases and the leader's endpoint directory.
#ifndef POLLENLOFT_CONTROL_HPP
#define POLLENLOFT_CONTROL_HPP

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pollenloft/config.hpp"
#include "pollenloft/poison.hpp"
#include "pollenloft/wire.hpp"

namespace pollenloft {

/// State of an idempotency-key claim in `wire::claim_record::state`.
enum class claim_state : std::int8_t { open, completed, unknown };

/// Answer to a claim in `wire::claim_reply::answer`.
enum class claim_answer : std::int8_t {
  granted,     ///< the dispatch in the claim may run, once
  open,        ///< another dispatch holds the claim
  settled,     ///< the outcome is recorded as completed or unknown
  mismatch,    ///< the key was used for a different request
  not_leader,  ///< retry at the leader named in the reply
  refused      ///< too many open claims; nothing was recorded
};

/// The patch was applied and produced this configuration version.
struct patch_accepted {
  std::uint64_t version = 0;
};
/// The patch was rejected; no part of it was applied.
struct patch_refused {
  std::string reason;
};
using patch_reply = std::variant<patch_accepted, patch_refused>;

/// Result of applying one log entry, for its proposer.
using command_reply =
    std::variant<std::monostate, patch_reply, wire::claim_reply>;

/// Largest text of a document.
inline constexpr std::size_t max_document_bytes = 8 * 1024 * 1024;

/// A configuration document that operators replace in full. The text is stored
/// unchanged and decoded by its users.
struct numbered_document {
  std::int64_t number = 0;  ///< 0 before the first document
  std::string text;
};

/// Limits on the size and age of the replicated state. All replicas must use
/// the same values, or their states diverge.
struct control_limits {
  std::size_t max_recent_patches = 512;   ///< kept for VMs to catch up with
  std::size_t max_patch_results = 10000;  ///< kept to answer resent patches
  std::size_t max_audit_records = 10000;
  /// Beyond this, the oldest settled claim is evicted.
  std::size_t max_claims = 200000;
  milliseconds claim_retention{std::chrono::hours(24)};
  crash_limits crashes;
  std::size_t max_claim_body_bytes = 16 * 1024;  ///< of a recorded response
  /// Beyond this, the oldest departure is evicted.
  std::size_t max_departures = 4096;
};

/// The endpoints that have announced to leave, or have left, as the replicated
/// log has them: what a control VM has acknowledged to them lasts as long as
/// the log. At most the latest `max_count` endpoints are kept.
class departure_ledger {
 public:
  explicit departure_ledger(std::size_t max_count) : max_count_(max_count) {}

  /// Records a departure, unless `covers` it.
  auto apply(const wire::departure_command& departure) -> void;
  /// Whether this state of the process, a further one, or the departure of a
  /// later process of the endpoint is recorded.
  auto covers(const wire::departure_command& departure) const -> bool;
  /// The departure of an endpoint; null if there is none.
  auto find(const std::string& id) const -> const wire::departure_command*;
  /// All departures, oldest first.
  auto records() const -> std::vector<wire::departure_command>;
  /// Endpoints whose departure was recorded after change number `sequence`.
  auto changes_after(std::int64_t sequence) const -> std::vector<std::string>;
  /// Number of the last change; each replica counts its own.
  auto sequence() const -> std::int64_t { return sequence_; }
  auto size() const -> std::size_t { return records_.size(); }

 private:
  struct item {
    wire::departure_command departure;
    std::int64_t sequence = 0;
  };

  std::size_t max_count_;
  std::map<std::string, item> records_;              // by endpoint id
  std::map<std::int64_t, std::string> by_sequence_;  // endpoint ids
  std::int64_t sequence_ = 0;
};

/// The replicated state machine. It is deterministic: replicas that apply the
/// same entries have the same state.
class control_state {
 public:
  explicit control_state(control_limits limits = {})
      : limits_(limits),
        crashes_(limits.crashes),
        departures_(limits.max_departures) {}

  /// Applies a committed command (an encoded `wire::command`) and returns the
  /// result for its proposer; empty if the bytes cannot be decoded.
  auto apply(std::string_view bytes) -> command_reply;
  /// Encodes the state as a `wire::control_snapshot`.
  auto save() const -> std::string;
  /// Replaces the state by one that `save` encoded; empty if it is malformed.
  auto load(std::string_view bytes) -> std::optional<bool>;

  auto config() const -> const configuration& { return config_; }
  auto document() const -> const numbered_document& { return document_; }
  /// The patches after `version`, in order. Empty if some of them are no longer
  /// kept; the full configuration must be sent instead.
  auto patches_after(std::uint64_t version) const
      -> std::optional<std::vector<wire::version_record>>;
  /// The patches still kept, oldest first.
  auto recent_patches() const -> const std::deque<wire::version_record>& {
    return recent_patches_;
  }
  auto audit() const -> const std::deque<wire::audit_record>& { return audit_; }
  auto claim_count() const -> std::size_t { return claims_.size(); }
  /// The claim of a key; null if there is none.
  auto find_claim(const std::string& account, const std::string& key) const
      -> const wire::claim_record*;
  /// VM incarnations that hold open claims.
  auto open_claim_holders() const -> std::vector<std::string>;
  auto crashes() const -> const crash_ledger& { return crashes_; }
  auto departures() const -> const departure_ledger& { return departures_; }
  /// The reply to an earlier patch with this id, if still kept.
  auto recorded_patch_reply(const std::string& patch_id) const
      -> std::optional<patch_reply>;

 private:
  auto apply_patch_command(const wire::patch_command& patch) -> patch_reply;
  auto apply_claim(wire::claim_record claim) -> wire::claim_reply;
  auto apply_settle(const wire::settle_command& settle) -> void;
  auto apply_abandon(const wire::abandon_command& abandon) -> void;
  auto apply_crash_report(const wire::blame_command& report) -> void;
  auto apply_document(wire::document_command document) -> void;
  auto add_audit_record(wire::audit_record record) -> void;
  auto expire(milliseconds now) -> void;
  auto evict_oldest_settled_claim() -> bool;
  auto record_patch(const wire::patch_command& patch, const patch_reply& reply)
      -> void;

  control_limits limits_;
  configuration config_;
  numbered_document document_;
  std::deque<wire::version_record> recent_patches_;
  std::unordered_map<std::string, wire::patch_result> patch_results_;
  std::deque<std::string> patch_result_order_;
  std::deque<wire::audit_record> audit_;
  std::unordered_map<std::string, wire::claim_record> claims_;
  // Time of the claim in ms and key of `claims_`, oldest first.
  std::deque<std::pair<std::int64_t, std::string>> claim_order_;
  std::map<std::string, std::set<std::string>> open_by_holder_;  // claim keys
  crash_ledger crashes_;
  departure_ledger departures_;
};

/// The configuration leases granted by the leader. A version is in force
/// everywhere once every VM with a live lease reports it. A new leader does not
/// know the leases granted by earlier leaders, so it waits one full lease
/// duration until all of them have expired.
class lease_table {
 public:
  struct holder {
    std::string incarnation;
    std::string zone;
    std::string address;
    instant expires{};
    std::uint64_t in_force = 0;  ///< configuration version
    bool draining = false;
    bool cut_off = false;  ///< from all endpoints
    std::string relay_address;
    std::string relay_key;
    std::vector<wire::paused_endpoint> paused;  ///< at `renewed`
    instant renewed{};
    std::map<std::string, wire::account_usage> usage;  ///< heavy accounts
  };

  explicit lease_table(duration lease) : lease_(lease) {}

  /// Clears all leases and starts to wait for those of earlier leaders to
  /// expire; called when this replica is elected.
  auto start_term(instant now) -> void;
  /// Grants or extends a VM's lease.
  auto renew(const wire::renew_request& request, instant now) -> void;
  /// Notes whether a VM is cut off from all endpoints.
  auto set_cut_off(const std::string& vm, bool cut_off) -> void;
  /// Live VMs other than `vm` that accept relayed requests.
  auto relay_peers(const std::string& vm, instant now) const
      -> std::vector<wire::peer_record>;
  /// VMs to which an endpoint pauses, and when the last of its pauses ends.
  struct pause_summary {
    std::size_t vms = 0;
    instant until{};
  };
  /// The endpoints that pause, by id.
  auto pauses(instant now) const -> std::map<std::string, pause_summary>;
  /// True if every live lease reports `version` or newer and the leases of
  /// earlier leaders have expired.
  auto in_force_everywhere(std::uint64_t version, instant now) const -> bool;
  /// Removes the expired leases and returns their VM names.
  auto take_expired(instant now) -> std::vector<std::string>;
  /// True once all leases granted by earlier leaders have expired.
  auto prior_leases_expired(instant now) const -> bool {
    return now >= prior_leases_until_;
  }
  auto holders() const -> const std::map<std::string, holder>& {
    return holders_;
  }
  auto live_count(instant now) const -> std::size_t;
  /// Whether a VM incarnation holds a lease.
  auto is_live(const std::string& incarnation, instant now) const -> bool;
  /// Usage of the client accounts with the highest usage, summed over all VMs,
  /// highest first.
  auto heaviest_accounts(std::size_t max_count, instant now) const
      -> std::vector<wire::account_usage>;
  /// Duration of a lease.
  auto lease() const -> duration { return lease_; }

 private:
  duration lease_;
  instant prior_leases_until_{};
  std::map<std::string, holder> holders_;  // by VM name
};

/// States of an endpoint in `wire::endpoint_record::state`.
enum class endpoint_state : std::int8_t { up, leaving, gone };

/// Whether requests in flight on an endpoint are lost by this change of its
/// record. A runner that releases layers first finishes the requests that use
/// them, so a changed layer range loses nothing.
auto loses_in_flight_work(const wire::endpoint_record& before,
                          const wire::endpoint_record& after) -> bool;

/// The known endpoints. This is soft state of the leader, rebuilt from the
/// reports of the VMs that receive the endpoints' heartbeats.
class endpoint_directory {
 public:
  /// Takes the departures in the replicated log into account from now on:
  /// no report, file or other directory puts such a process in use again.
  /// To be called again after the ledger was loaded.
  auto follow(const departure_ledger& departures) -> void {
    departures_ = &departures;
    applied_departures_ = 0;
  }
  /// Applies the departures recorded since the last call; returns whether a
  /// record has changed.
  auto apply_departures() -> bool;
  /// Merges reported records. An older incarnation never replaces a newer one.
  auto merge(const std::vector<wire::endpoint_record>& records) -> void;
  /// Marks the endpoints owned by a VM whose lease expired as orphans.
  auto mark_orphaned(const std::string& vm, instant now) -> void;
  /// Marks as gone each orphan that no VM has reported for `grace`, and evicts
  /// the oldest records of gone endpoints beyond the limit.
  auto expire_orphans(instant now, duration grace) -> void;
  auto clear() -> void;
  /// Starts the leader-reported status of a new term. The status set by the
  /// functions below replaces that of earlier leaders wherever the records are
  /// merged.
  auto start_status_term(std::int64_t term) -> void;
  /// Sets a runner's layer range [first, last); false if the runner is unknown
  /// or the range is unchanged.
  auto set_layers(const std::string& id, std::int32_t first, std::int32_t last)
      -> bool;
  /// Sets a runner's KV-cache utilization and slowdown, both in percent; false
  /// if the runner is unknown or they are unchanged.
  auto set_load(const std::string& id, std::int32_t kv_utilization_percent,
                std::int32_t slowdown_percent) -> bool;
  /// Sets whether the leader considers a runner unreachable; false if the
  /// runner is unknown or that is unchanged.
  auto set_unreachable(const std::string& id, bool unreachable) -> bool;
  /// Sets the number of requests per 1,000 seconds that an endpoint takes from
  /// all VMs together, 0 for no limit; false if the endpoint is unknown or that
  /// is unchanged.
  auto set_request_limit(const std::string& id, std::int64_t per_1000_seconds)
      -> bool;
  /// Sets whether an endpoint's heartbeats are overdue; false if the endpoint
  /// is unknown or that is unchanged.
  auto set_heartbeats_overdue(const std::string& id, bool overdue) -> bool;
  /// Marks an endpoint whose address was taken over by another one; the mark is
  /// cleared by the endpoint's next report. False if the endpoint is unknown or
  /// already marked.
  auto mark_displaced(const std::string& id) -> bool;
  /// Hash over id, incarnation and state of all endpoints, for comparing
  /// directories.
  auto digest() const -> std::uint64_t;
  /// Marks this incarnation of an endpoint as leaving; false if it is not known
  /// as up.
  auto mark_leaving(const std::string& id, const std::string& incarnation)
      -> bool;
  /// Marks an endpoint of any incarnation as gone; false if it is unknown or
  /// already gone.
  auto mark_gone(const std::string& id) -> bool;
  /// The first `max_count` records changed after the change number `sequence`,
  /// in that order. The next ones follow the sequence of the last of them.
  auto changes_after(std::int64_t sequence,
                     std::size_t max_count = SIZE_MAX) const
      -> std::vector<wire::endpoint_record>;
  /// Number of the last change.
  auto sequence() const -> std::int64_t { return sequence_; }
  auto size() const -> std::size_t { return records_.size(); }
  auto records() const -> const std::map<std::string, wire::endpoint_record>& {
    return records_;
  }

 private:
  auto bump_sequence(wire::endpoint_record& record) -> void;
  auto state_after_departure(const wire::endpoint_record& record) const
      -> std::int8_t;
  /// Applies a change to a record; false if the record is unknown or unchanged.
  template <class Change>
  auto update(const std::string& id, Change change) -> bool;
  /// The same for a change of the leader-reported status.
  template <class Change>
  auto update_status(const std::string& id, Change change) -> bool;

  std::map<std::string, wire::endpoint_record> records_;
  std::map<std::int64_t, std::string> by_sequence_;  // endpoint ids
  std::map<std::string, instant> orphaned_at_;       // by endpoint id
  std::int64_t sequence_ = 0;
  std::int64_t status_sequence_ = 0;
  const departure_ledger* departures_ = nullptr;
  std::int64_t applied_departures_ = 0;  // sequence of the last one
};

}  // namespace pollenloft

#endif
