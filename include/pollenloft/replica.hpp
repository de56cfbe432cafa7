/// \file replica.hpp
/// Replicated log as a pure state machine: terms, elections with pre-vote,
/// commit by majority, snapshots, membership change one replica at a time, and
/// recovery of a replica whose disk was lost. It reads no clock, file or
/// socket; its caller carries out the effects it returns.
///
/// The protocol follows Raft (Ongaro, Ousterhout 2014) with leader stickiness;
/// recovery of a lost disk follows Viewstamped Replication Revisited (Liskov,
/// Cowling 2012, section 4.3): the replica learns the highest term from a
/// majority of others before it acknowledges anything.
#ifndef POLLENLOFT_REPLICA_HPP
#define POLLENLOFT_REPLICA_HPP

#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

using replica_id = std::uint32_t;
using log_index = std::uint64_t;
using log_term = std::uint64_t;

enum class entry_kind : std::uint8_t { noop, command, members };

/// One entry of the replicated log.
struct log_entry {
  log_term term = 0;
  log_index index = 0;
  entry_kind kind = entry_kind::noop;
  std::string data;  ///< command bytes, or members as `1,2,3`

  auto operator==(const log_entry&) const -> bool = default;
};

/// State of the whole system after the entry at `index`.
struct log_snapshot {
  log_index index = 0;
  log_term term = 0;
  std::vector<replica_id> members;
  std::string data;
};

/// What must be synced before any message that depends on it is sent.
struct hard_state {
  log_term term = 0;
  replica_id vote = 0;  ///< 0 is nobody
  bool voting = false;  ///< false while a lost disk is being recovered

  auto operator==(const hard_state&) const -> bool = default;
};

struct vote_request {
  bool pre_vote = false;  ///< asks without raising the term
  log_index last_index = 0;
  log_term last_term = 0;
  bool transfer = false;  ///< the leader has stepped down for the sender
};
struct vote_reply {
  bool pre_vote = false;
  bool granted = false;
};
struct append_request {
  log_index prev_index = 0;
  log_term prev_term = 0;
  log_index leader_commit = 0;
  log_index leader_last_index = 0;
  std::uint64_t round = 0;  ///< echoed, so the leader knows what was heard
  std::vector<log_entry> entries;
};
struct append_reply {
  bool matched = false;
  log_index index = 0;  ///< highest match, or a hint where to try next
  std::uint64_t round = 0;
};
struct install_snapshot_request {
  log_snapshot snapshot;
  std::uint64_t round = 0;
};
/// Sent by a replica with an empty disk.
struct recover_request {
  std::uint64_t nonce = 0;
};
struct recover_reply {
  std::uint64_t nonce = 0;
  bool fresh = false;  ///< the sender has never voted nor stored an entry
  std::vector<replica_id> members{};  ///< as the sender knows them
  log_index commit_index = 0;         ///< how much the sender knows
};
/// Asks a follower to campaign at once, before a leader shuts down.
struct timeout_now_request {};

struct replica_message {
  replica_id from = 0;
  replica_id to = 0;
  log_term term = 0;
  std::variant<vote_request, vote_reply, append_request, append_reply,
               install_snapshot_request, recover_request, recover_reply,
               timeout_now_request>
      body;
};

/// What the caller must do, in this order: sync `hard`, `install` and
/// `append` to disk, send `messages`, apply `restore` and `committed`.
struct replica_effects {
  std::optional<hard_state> hard;
  std::optional<log_snapshot> install;  ///< replaces the whole log on disk
  std::vector<log_entry> append;  ///< replaces the log from the first's index
  std::vector<replica_message> messages;
  std::optional<log_snapshot> restore;  ///< replaces the applied state
  std::vector<log_entry> committed;

  auto empty() const -> bool;
};

struct replica_options {
  replica_id id = 0;
  std::vector<replica_id> members;  ///< used until the log says otherwise
  /// An entry commits on a majority and on at least this many disks, or on
  /// all while there are fewer members.
  std::size_t min_copies = 1;
  /// Empty disks may form a new system; otherwise they wait to be told.
  bool allow_bootstrap = true;
  duration heartbeat = milliseconds(100);
  duration election_min = milliseconds(300);
  duration election_max = milliseconds(600);
  std::size_t max_append_bytes = 256 * 1024;  ///< most data in one append
  std::uint64_t seed = 1;
};

/// What was found on disk; `hard` is empty for a new or lost disk.
struct persisted_state {
  std::optional<hard_state> hard;
  log_snapshot snapshot;
  std::vector<log_entry> entries;
};

enum class replica_role { recovering, follower, candidate, leader };

/// One replica:
///
///     replica node(options, journal_content, boottime_clock::now());
///     node.receive(message, boottime_clock::now());
///     carry_out(node.take_effects());
class replica {
 public:
  replica(replica_options options, persisted_state found, instant now);

  /// Lets time pass: elections, heartbeats, step-down.
  auto tick(instant now) -> void;
  auto receive(const replica_message& message, instant now) -> void;
  /// Appends commands if this replica leads; returns the first one's index.
  auto propose(std::vector<std::string> commands, instant now)
      -> std::optional<log_index>;
  /// Proposes a member list that differs by one replica from the current one.
  auto propose_members(const std::vector<replica_id>& members, instant now)
      -> std::optional<log_index>;
  /// Drops entries up to `index`, replaced by the state after it.
  auto compact(log_index index, std::string data) -> const log_snapshot&;
  /// Steps down and lets the most caught-up follower campaign at once.
  auto transfer_leadership(instant now) -> void;
  auto take_effects() -> replica_effects;

  auto role() const -> replica_role { return role_; }
  auto voting() const -> bool { return hard_.voting; }
  auto term() const -> log_term { return hard_.term; }
  auto leader() const -> replica_id { return leader_; }
  auto commit_index() const -> log_index { return commit_; }
  auto last_index() const -> log_index;
  auto first_index() const -> log_index { return snapshot_.index + 1; }
  auto members() const -> const std::vector<replica_id>& { return members_; }
  auto is_member(replica_id id) const -> bool;
  /// When a member was last heard by this leader; empty if never, or if this
  /// replica does not lead.
  auto last_heard(replica_id id) const -> std::optional<instant>;
  /// When this replica last heard a leader.
  auto last_leader_contact() const -> instant { return heard_; }
  auto entry_at(log_index index) const -> const log_entry*;
  /// True once the leader has committed an entry of its own term, so that its
  /// applied state holds everything committed before.
  auto has_committed_in_term() const -> bool;
  /// Until when no other replica can have been elected, by the promise that
  /// each voter makes on hearing a heartbeat. Past means not leading.
  auto leader_lease_until() const -> instant;

 private:
  struct progress {
    log_index next = 1;
    log_index match = 0;
    std::uint64_t acked_round = 0;
    instant sent_at{};
    std::optional<instant> heard;
    bool in_flight = false;
  };

  auto term_at(log_index index) const -> log_term;
  auto majority() const -> std::size_t { return members_.size() / 2 + 1; }
  auto copies_needed() const -> std::size_t;
  auto adopt_known_members() -> void;
  auto send(replica_id to, decltype(replica_message::body) body) -> void;
  auto mark_hard() -> void;
  auto append_entry(log_entry entry) -> void;
  auto truncate_from(log_index index) -> void;
  auto refresh_members() -> void;
  auto reset_election(instant now) -> void;
  auto become_follower(log_term term, replica_id leader, instant now) -> void;
  auto become_leader(instant now) -> void;
  auto campaign(bool pre, instant now, bool transfer = false) -> void;
  auto candidate_up_to_date(const vote_request& request) const -> bool;
  auto ask_recovery(instant now) -> void;
  auto broadcast(instant now) -> void;
  auto send_append(replica_id to, instant now) -> void;
  auto advance_commit() -> void;
  auto commit_to(log_index index) -> void;
  auto finish_recovery(log_index leader_last_index) -> void;
  auto quorum_heard_at(instant now) const -> instant;

  auto on(const vote_request&, const replica_message&, instant) -> void;
  auto on(const vote_reply&, const replica_message&, instant) -> void;
  auto on(const append_request&, const replica_message&, instant) -> void;
  auto on(const append_reply&, const replica_message&, instant) -> void;
  auto on(const install_snapshot_request&, const replica_message&, instant)
      -> void;
  auto on(const recover_request&, const replica_message&, instant) -> void;
  auto on(const recover_reply&, const replica_message&, instant) -> void;
  auto on(const timeout_now_request&, const replica_message&, instant) -> void;

  replica_options options_;
  random_source random_;
  hard_state hard_;
  log_snapshot snapshot_;
  std::deque<log_entry> log_;
  std::vector<replica_id> members_;
  replica_role role_ = replica_role::follower;
  replica_id leader_ = 0;
  log_index commit_ = 0;
  instant heard_{};         // last contact with a leader, or start
  instant election_due_{};  // when to campaign
  instant heartbeat_due_{};
  bool pre_vote_ = false;
  std::set<replica_id> votes_;
  std::map<replica_id, progress> progress_;
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, instant> round_sent_;
  instant confirmed_{};
  std::uint64_t nonce_ = 0;
  std::map<replica_id, recover_reply> recovery_replies_;
  std::map<replica_id, log_term> recovery_terms_;
  replica_effects effects_;
};

}  // namespace pollenloft

#endif
