/// \file control.hpp
/// What the control role decides, as pure modules: the replicated state
/// (configuration, claims, blames, audit trail), the configuration leases
/// and the endpoint directory of the leader.
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
#include "pollenloft/wire.hpp"

namespace pollenloft {

/// State of a claim in `wire::claim_record::state`.
enum class claim_state : std::int8_t { open, completed, unknown };

/// Answer to a claim in `wire::claim_reply::answer`.
enum class claim_answer : std::int8_t {
  granted,     ///< the caller's dispatch may run, once
  open,        ///< another dispatch holds it
  settled,     ///< its outcome is recorded
  mismatch,    ///< the key was used for another request
  not_leader,  ///< ask the named leader
  refused      ///< too many open claims; nothing was recorded
};

/// A patch became this version.
struct patch_accepted {
  std::uint64_t version = 0;
};
/// A patch was refused in full.
struct patch_refused {
  std::string reason;
};
using patch_reply = std::variant<patch_accepted, patch_refused>;

/// What applying one log entry told its proposer.
using command_reply =
    std::variant<std::monostate, patch_reply, wire::claim_reply>;

/// A configuration document that operators replace as a whole. The text is
/// kept as it came; whoever uses it decodes it.
struct numbered_document {
  std::int64_t number = 0;  ///< 0 before the first
  std::string text;
};

/// Bounds of what the replicated state keeps. They are part of the protocol:
/// every replica must use the same.
struct control_limits {
  std::size_t max_recent_patches = 512;   ///< patches kept for catching up
  std::size_t max_patch_results = 10000;  ///< answers kept for resent patches
  std::size_t max_audit_records = 10000;
  std::size_t max_claims =
      200000;  ///< then the oldest settled ones are forgotten
  milliseconds claim_retention{std::chrono::hours(24)};
  milliseconds crash_points_retention{std::chrono::hours(1)};
  std::size_t max_claim_body_bytes = 16 * 1024;  ///< of a recorded answer
};

/// The replicated state machine. Equal entries give equal state everywhere.
class control_state {
 public:
  explicit control_state(control_limits limits = {}) : limits_(limits) {}

  /// Applies a committed entry's bytes and returns the proposer's answer.
  auto apply(std::string_view bytes) -> command_reply;
  auto save() const -> std::string;
  auto load(std::string_view bytes) -> std::optional<bool>;

  auto config() const -> const configuration& { return config_; }
  auto document() const -> const numbered_document& { return document_; }
  /// Patches after `version` in order; empty if they are no longer kept, then
  /// the whole configuration must be sent.
  auto patches_after(std::uint64_t version) const
      -> std::optional<std::vector<wire::version_record>>;
  /// The latest patches, oldest first.
  auto recent_patches() const -> const std::deque<wire::version_record>& {
    return tail_;
  }
  auto audit() const -> const std::deque<wire::audit_record>& { return audit_; }
  auto claim_count() const -> std::size_t { return claims_.size(); }
  auto find_claim(const std::string& account, const std::string& key) const
      -> const wire::claim_record*;
  /// Holders (VM incarnations) of open claims.
  auto open_claim_holders() const -> std::vector<std::string>;
  /// How strongly a request's fingerprint is suspected of crashing endpoints.
  auto crash_points(std::uint64_t fingerprint) const -> int;
  auto crash_records() const -> std::vector<wire::blame_record>;
  /// The recorded answer of an earlier patch with this id, if still kept.
  auto recorded_patch_reply(const std::string& patch_id) const
      -> std::optional<patch_reply>;

 private:
  auto apply_patch_command(const wire::patch_command& patch) -> patch_reply;
  auto apply_claim(wire::claim_record claim) -> wire::claim_reply;
  auto apply_settle(const wire::settle_command& settle) -> void;
  auto apply_abandon(const wire::abandon_command& abandon) -> void;
  auto apply_blame(const wire::blame_command& blame) -> void;
  auto apply_document(wire::document_command document) -> void;
  auto expire(milliseconds now) -> void;
  auto forget_oldest_settled() -> bool;
  auto remember(const wire::patch_command& patch, const patch_reply& verdict)
      -> void;

  control_limits limits_;
  configuration config_;
  numbered_document document_;
  std::deque<wire::version_record> tail_;
  std::unordered_map<std::string, wire::patch_result> results_;
  std::deque<std::string> result_order_;
  std::deque<wire::audit_record> audit_;
  std::unordered_map<std::string, wire::claim_record> claims_;
  std::deque<std::pair<std::int64_t, std::string>> claim_order_;
  std::map<std::string, std::set<std::string>> open_by_holder_;
  std::map<std::int64_t, wire::blame_record> blames_;
};

/// Configuration leases as the leader sees them. A version is accepted once
/// every VM with a live lease has it in force. A new leader does not know the
/// leases its predecessors granted, so it waits one whole lease first.
class lease_table {
 public:
  struct holder {
    std::string incarnation;
    std::string zone;
    std::string address;
    instant expires{};
    std::uint64_t in_force = 0;
    bool draining = false;
    std::map<std::string, wire::account_usage> usage;  ///< heavy accounts
  };

  explicit lease_table(duration lease) : lease_(lease) {}

  /// Forgets all leases: this replica was elected at `now`.
  auto start_term(instant now) -> void;
  auto renew(const wire::renew_request& request, instant now) -> void;
  /// Every live lease has `version` in force and no unknown one can be left.
  auto in_force_everywhere(std::uint64_t version, instant now) const -> bool;
  /// Leases that ran out; each is returned once.
  auto take_expired(instant now) -> std::vector<std::string>;
  /// True once leases of earlier leaders have run out.
  auto prior_leases_expired(instant now) const -> bool {
    return now >= unknown_until_;
  }
  auto holders() const -> const std::map<std::string, holder>& {
    return holders_;
  }
  auto live_count(instant now) const -> std::size_t;
  auto is_live(const std::string& incarnation, instant now) const -> bool;
  /// The summed usage of the heaviest client accounts over all VMs.
  auto heaviest_accounts(std::size_t most, instant now) const
      -> std::vector<wire::account_usage>;
  auto lease() const -> duration { return lease_; }

 private:
  duration lease_;
  instant unknown_until_{};
  std::map<std::string, holder> holders_;  // by VM name
};

/// States of an endpoint in `wire::endpoint_record::state`.
enum class endpoint_state : std::int8_t { up, leaving, gone };

/// Whether an endpoint's change means that work sent to it before is lost. A
/// runner that gives up layers finishes what passes through them, so it is not.
auto loses_in_flight_work(const wire::endpoint_record& before,
                          const wire::endpoint_record& after) -> bool;

/// Which endpoints there are: soft state of the leader, rebuilt from the
/// reports of the VMs that receive the heartbeats.
class endpoint_directory {
 public:
  /// Merges a report. An older incarnation never replaces a newer one.
  auto merge(const std::vector<wire::endpoint_record>& records) -> void;
  /// Marks the endpoints of a VM that is gone as orphans; they are dropped
  /// unless another VM reports them before `grace` has passed.
  auto mark_orphaned(const std::string& vm, instant now) -> void;
  auto expire_orphans(instant now, duration grace) -> void;
  auto clear() -> void;
  /// The notes below are now those of the leader of this term; they replace
  /// those of earlier ones wherever the records are merged.
  auto start_status_term(std::int64_t term) -> void;
  /// Sets the layers that a runner holds; false if that was known.
  auto set_layers(const std::string& id, std::int32_t first, std::int32_t last)
      -> bool;
  /// Sets how full a runner's memory is and how slow it is, in percent; false
  /// if that was known.
  auto set_load(const std::string& id, std::int32_t fill, std::int32_t slowdown)
      -> bool;
  /// Notes whether the leader finds a runner dead; false if known.
  auto set_unreachable(const std::string& id, bool unreachable) -> bool;
  /// Notes whether reports of an endpoint are overdue; false if known.
  auto set_heartbeats_overdue(const std::string& id, bool silent) -> bool;
  /// Notes that another endpoint reports from the same address, until this one
  /// reports again.
  auto mark_displaced(const std::string& id) -> bool;
  /// Equal for directories that agree on which endpoints there are.
  auto digest() const -> std::uint64_t;
  /// Ends an endpoint whatever its incarnation; false if it had ended.
  auto mark_gone(const std::string& id) -> bool;
  /// Records changed after `sequence`.
  auto changes_after(std::int64_t sequence) const
      -> std::vector<wire::endpoint_record>;
  auto sequence() const -> std::int64_t { return sequence_; }
  auto size() const -> std::size_t { return records_.size(); }
  auto records() const -> const std::map<std::string, wire::endpoint_record>& {
    return records_;
  }

 private:
  auto touch(wire::endpoint_record& record) -> void;
  /// Changes a record; false if it is not known or was like that.
  template <class Change>
  auto update(const std::string& id, Change change) -> bool;
  /// The same for what the leader notes.
  template <class Change>
  auto note(const std::string& id, Change change) -> bool;

  std::map<std::string, wire::endpoint_record> records_;
  std::map<std::int64_t, std::string> by_sequence_;
  std::map<std::string, instant> orphans_;
  std::int64_t sequence_ = 0;
  std::int64_t noted_ = 0;
};

}  // namespace pollenloft

#endif
