/// \file replica.hpp
/// Replicated log as a deterministic state machine: elections with pre-vote,
/// majority commit, snapshots, single-server membership changes, and recovery
/// of a replica whose disk was lost. The replica performs no I/O and reads no
/// clock; the caller passes in the time and carries out the returned effects.
///
/// The protocol is Raft (Ongaro, Ousterhout 2014) with leader stickiness.
/// Recovery of a lost disk follows Viewstamped Replication Revisited (Liskov,
/// Cowling 2012, section 4.3): the replica learns the highest term from a
/// majority of the other replicas before it acknowledges anything.
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
  std::string data;  ///< command bytes, or member ids as `1,2,3`

  auto operator==(const log_entry&) const -> bool = default;
};

/// State machine contents after the entry at `index` was applied.
struct log_snapshot {
  log_index index = 0;
  log_term term = 0;
  std::vector<replica_id> members;
  std::string data;
};

/// Raft's persistent state. It must be synced to disk before any message that
/// depends on it is sent.
struct hard_state {
  log_term term = 0;
  replica_id vote = 0;  ///< 0 means no vote in this term
  bool voting = false;  ///< false during recovery of a lost disk

  auto operator==(const hard_state&) const -> bool = default;
};

struct vote_request {
  bool pre_vote = false;     ///< true for a pre-vote, which keeps the term
  log_index last_index = 0;  ///< of the last entry in the candidate's log
  log_term last_term = 0;    ///< of the same entry
  bool transfer = false;     ///< the leader transfers leadership to the sender
};
struct vote_reply {
  bool pre_vote = false;
  bool granted = false;
};
struct append_request {
  log_index prev_index = 0;  ///< of the entry before `entries`
  log_term prev_term = 0;    ///< of the same entry
  log_index leader_commit = 0;
  log_index leader_last_index = 0;
  std::uint64_t round = 0;  ///< heartbeat round, echoed in the reply
  std::vector<log_entry> entries;
};
struct append_reply {
  bool matched = false;
  log_index index = 0;  ///< highest match, or a hint for the next attempt
  std::uint64_t round = 0;
};
struct install_snapshot_request {
  log_snapshot snapshot;
  std::uint64_t round = 0;
};
/// Sent to all members by a replica with an empty disk.
struct recover_request {
  std::uint64_t nonce = 0;
};
struct recover_reply {
  std::uint64_t nonce = 0;
  bool fresh = false;  ///< the sender has neither voted nor stored an entry
  std::vector<replica_id> members{};  ///< latest list known to the sender
  log_index commit_index = 0;         ///< of the sender
};
/// Tells a follower to start an election at once; sent by a leader that
/// transfers leadership.
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

/// Work for the caller, in this order: sync `hard`, `install` and `append` to
/// disk, send `messages`, then apply `restore` and `committed`.
struct replica_effects {
  std::optional<hard_state> hard;
  std::optional<log_snapshot> install;  ///< replaces the entire log on disk
  std::vector<log_entry> append;  ///< overwrites the log from its first index
  std::vector<replica_message> messages;
  std::optional<log_snapshot> restore;  ///< replaces the state machine
  std::vector<log_entry> committed;

  auto empty() const -> bool;
};

struct replica_options {
  replica_id id = 0;
  std::vector<replica_id> members;  ///< used until the log contains a list
  /// An entry commits once it is on a majority of disks and on at least this
  /// many, or on all disks if there are fewer members.
  std::size_t min_copies = 1;
  /// Whether replicas with empty disks may form a new cluster. If not, they
  /// wait for members that hold data.
  bool allow_bootstrap = true;
  duration heartbeat = milliseconds(100);     ///< heartbeat interval
  duration election_min = milliseconds(300);  ///< minimum election timeout
  duration election_max = milliseconds(600);  ///< maximum election timeout
  std::size_t max_append_bytes = 256 * 1024;  ///< per append message
  /// Entries and snapshots that are not acknowledged for this time are sent
  /// again.
  duration resend_after = milliseconds(600);
  /// Entries up to this size are as fast as a heartbeat, so they are also sent
  /// again once a peer has replied to a heartbeat two rounds later.
  std::size_t max_small_append_bytes = 16 * 1024;
  std::uint64_t seed = 1;
};

/// State read from disk at start; `hard` is empty for a new or lost disk.
struct persisted_state {
  std::optional<hard_state> hard;
  log_snapshot snapshot;
  std::vector<log_entry> entries;
};

namespace detail {
/// Member ids from the data of an entry of kind `members`.
auto decode_members(const std::string& text) -> std::vector<replica_id>;
}  // namespace detail

enum class replica_role { recovering, follower, candidate, leader };

/// One replica of the log:
///
///     replica node(options, persisted, boottime_clock::now());
///     node.receive(message, boottime_clock::now());
///     carry_out(node.take_effects());
class replica {
 public:
  replica(replica_options options, persisted_state persisted, instant now);

  /// Runs the timers: elections, heartbeats and step-down.
  auto tick(instant now) -> void;
  auto receive(const replica_message& message, instant now) -> void;
  /// Appends commands to the log and returns the index of the first one. Empty
  /// if this replica is not the leader, see `last_error`.
  auto propose(std::vector<std::string> commands, instant now)
      -> std::optional<log_index>;
  /// Proposes a member list that adds or removes exactly one replica, and
  /// returns the index of its entry. Empty if this replica does not lead or has
  /// not committed an entry of its term, if the lists differ otherwise, or
  /// while an earlier change is not committed; see `last_error`.
  auto propose_members(const std::vector<replica_id>& members, instant now)
      -> std::optional<log_index>;
  /// Replaces the entries up to `index` by a snapshot with the given state and
  /// returns the latest snapshot. Does nothing if `index` is not committed or
  /// already covered by a snapshot.
  auto compact(log_index index, std::string data) -> const log_snapshot&;
  /// Whether a change of the member list is not committed yet.
  auto changes_members() const -> bool;
  /// Replicates the log to a replica that is not a member as well, so that it
  /// is up to date when it becomes one. Only the leader has learners; a member
  /// that it removes stays one.
  auto add_learner(replica_id id, instant now) -> void;
  auto drop_learner(replica_id id) -> void;
  auto learners() const -> std::vector<replica_id>;
  /// Last index known to be in the log of another replica; 0 if unknown or if
  /// this replica does not lead.
  auto match_index(replica_id id) const -> log_index;
  /// Steps down and tells the most up-to-date member to start an election.
  auto transfer_leadership(instant now) -> void;
  /// Moves out the effects that have accumulated since the last call.
  auto take_effects() -> replica_effects;

  auto role() const -> replica_role { return role_; }
  /// False until the recovery of a lost disk is complete.
  auto voting() const -> bool { return hard_state_.voting; }
  auto term() const -> log_term { return hard_state_.term; }
  /// The leader of the current term, or 0 if it is unknown.
  auto leader() const -> replica_id { return leader_; }
  auto commit_index() const -> log_index { return commit_; }
  auto last_index() const -> log_index;
  auto first_index() const -> log_index { return snapshot_.index + 1; }
  auto members() const -> const std::vector<replica_id>& { return members_; }
  auto is_member(replica_id id) const -> bool;
  /// Time of the last reply from a member or learner; empty if there was none
  /// or this replica is not the leader.
  auto last_heard(replica_id id) const -> std::optional<instant>;
  /// Time of the last message from a leader, or of the start.
  auto last_leader_contact() const -> instant { return last_leader_contact_; }
  /// The entry at `index`; null if it is in the snapshot or does not exist.
  auto entry_at(log_index index) const -> const log_entry*;
  /// True if this replica leads and has committed an entry of its own term, so
  /// that its applied state contains everything committed in earlier terms.
  auto has_committed_in_term() const -> bool;
  /// End of the leader lease. Voters that received a heartbeat grant no vote
  /// for the minimum election timeout, so no other replica can be elected
  /// before. In the past if this replica is not the leader.
  auto leader_lease_until() const -> instant;

 private:
  struct progress {
    log_index next = 1;
    log_index match = 0;
    std::uint64_t acked_round = 0;
    instant sent_at{};  // of the entries or the snapshot in flight
    std::optional<instant> last_reply_at;
    log_index in_flight = 0;       // last index in flight, 0 if there is none
    log_index sent_commit = 0;     // as far as the peer could apply it
    std::uint64_t sent_round = 0;  // of what is in flight
    std::size_t in_flight_bytes = 0;
  };

  auto term_at(log_index index) const -> log_term;
  auto majority() const -> std::size_t { return members_.size() / 2 + 1; }
  auto required_copies() const -> std::size_t;
  auto adopt_reported_members() -> void;
  auto send(replica_id to, decltype(replica_message::body) body) -> void;
  auto persist_hard_state() -> void;
  auto append_entry(log_entry entry) -> void;
  auto truncate_from(log_index index) -> void;
  auto recompute_members() -> void;
  auto reset_election_timer(instant now) -> void;
  auto become_follower(log_term term, replica_id leader, instant now) -> void;
  auto become_leader(instant now) -> void;
  auto campaign(bool pre, instant now, bool transfer = false) -> void;
  auto is_candidate_up_to_date(const vote_request& request) const -> bool;
  auto send_recover_requests(instant now) -> void;
  auto broadcast(instant now) -> void;
  auto send_append(replica_id to, instant now) -> void;
  auto send_snapshot(replica_id to) -> void;
  auto send_entries(replica_id to) -> void;
  auto send_heartbeat(replica_id to) -> void;
  auto entries_seem_lost(replica_id id) const -> bool;
  auto send_new_commit_index() -> void;
  auto send_append_request(replica_id to, append_request request) -> void;
  auto make_append(log_index prev_index) const -> append_request;
  auto advance_commit() -> void;
  auto commit_to(log_index index) -> void;
  auto finish_recovery(log_index match, log_index leader_last_index) -> void;
  auto quorum_contact_time(instant now) const -> instant;

  auto handle(const vote_request&, const replica_message&, instant) -> void;
  auto handle(const vote_reply&, const replica_message&, instant) -> void;
  auto handle(const append_request&, const replica_message&, instant) -> void;
  auto handle(const append_reply&, const replica_message&, instant) -> void;
  auto handle(const install_snapshot_request&, const replica_message&, instant)
      -> void;
  auto handle(const recover_request&, const replica_message&, instant) -> void;
  auto handle(const recover_reply&, const replica_message&, instant) -> void;
  auto handle(const timeout_now_request&, const replica_message&, instant)
      -> void;

  replica_options options_;
  random_source random_;
  hard_state hard_state_;
  log_snapshot snapshot_;
  std::deque<log_entry> log_;
  std::vector<replica_id> members_;
  replica_role role_ = replica_role::follower;
  replica_id leader_ = 0;
  log_index commit_ = 0;
  instant last_leader_contact_{};  // or the start of this replica
  instant election_due_{};
  instant heartbeat_due_{};
  bool pre_vote_ = false;
  std::set<replica_id> votes_;
  std::map<replica_id, progress> progress_;
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, instant> round_sent_at_;
  instant quorum_confirmed_at_{};  // start of the leader lease
  std::uint64_t nonce_ = 0;
  std::map<replica_id, recover_reply> recovery_replies_;
  std::map<replica_id, log_term> recovery_terms_;
  replica_effects effects_;
};

}  // namespace pollenloft

#endif
