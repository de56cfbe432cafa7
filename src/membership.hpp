/// \file membership.hpp
/// Decides which control VMs are members of the replicated log. A replica that
/// is not a member asks to become one. The leader replicates the log to it, and
/// adds it once it is up to date: to an incomplete group, or in the place of a
/// member that is silent or stops. Performs no I/O and reads no clock.
#ifndef POLLENLOFT_MEMBERSHIP_HPP
#define POLLENLOFT_MEMBERSHIP_HPP

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "pollenloft/replica.hpp"

namespace pollenloft {

/// A replica asks the leader to be added. A replica that does not lead forwards
/// it once, since the sender may know none of today's members.
struct join_request {
  replica_id id = 0;
  bool forwarded = false;
};

/// A replica is about to stop, for a restart or for good.
struct stop_notice {
  replica_id id = 0;
};

struct membership_message {
  replica_id to = 0;
  std::variant<join_request, stop_notice> body;
};

/// What the leader proposed or noticed.
struct member_event {
  enum class kind { added, removed, absent };
  kind what = kind::added;
  replica_id id = 0;
  duration silence{};  ///< since the last reply of a removed or absent member
  bool stopping = false;
};

struct membership_options {
  replica_id id = 0;
  /// Replicas of the initial group, or more recent ones. Without seeds the
  /// members are set by operators, and nothing is changed here.
  std::vector<replica_id> seeds;
  std::size_t full_size = 3;  ///< members of a complete group
};

/// Membership of one replica, and of the whole group while the replica leads:
///
///     membership group(node, options);
///     group.tick(now);                       // often
///     group.receive(join_request{id}, now);  // as they arrive
///     send(group.take_messages());           // after each call
class membership {
 public:
  membership(replica& node, membership_options options)
      : node_(node), options_(std::move(options)) {}

  /// Asks for membership if a request is due; on the leader, proposes the next
  /// change of the member list.
  auto tick(instant now) -> void;
  auto receive(const join_request& request, instant now) -> void;
  auto receive(const stop_notice& notice, instant now) -> void;
  /// Tells the members that this replica stops, and asks for nothing more.
  auto announce_stop() -> void;
  auto set_seeds(std::vector<replica_id> seeds) -> void {
    options_.seeds = std::move(seeds);
  }
  auto take_messages() -> std::vector<membership_message>;
  /// The events since the last call, for the log.
  auto take_events() -> std::vector<member_event>;

 private:
  struct candidate {
    instant asked_at{};
    log_index target = 0;  // commit index when it asked first
  };
  struct departing_member {
    replica_id id = 0;
    duration silence{};
    bool stopping = false;
    bool answers = false;
  };

  auto forget_outdated(instant now) -> void;
  auto observe_leader(instant now) -> void;
  auto is_active_leader(instant now) const -> bool;
  auto needs_membership(instant now) const -> bool;
  auto request_membership(instant now) -> void;
  auto add_candidate(replica_id id, instant asked_at, instant now) -> void;
  auto maintain_group(instant now) -> void;
  auto drop_learners(instant now) -> void;
  auto silence_of(replica_id id, instant now) const -> duration;
  auto ready_candidate(instant now) const -> std::optional<replica_id>;
  auto find_departing(instant now) const -> std::optional<departing_member>;
  auto report_absent(instant now) -> void;
  auto add(replica_id id, instant now) -> void;
  auto remove(const departing_member& member, instant now) -> void;

  replica& node_;
  membership_options options_;
  log_term known_term_ = 0;
  instant leader_since_{};
  replica_id prior_leader_ = 0;
  instant prior_contact_{};  // with that leader
  bool stopping_ = false;
  instant join_requested_at_{};
  std::map<replica_id, candidate> candidates_;
  std::map<replica_id, instant> stopping_since_;
  std::set<replica_id> absent_;  // as reported
  std::vector<membership_message> messages_;
  std::vector<member_event> events_;
};

}  // namespace pollenloft

#endif
