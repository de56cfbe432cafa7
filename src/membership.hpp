/// \file membership.hpp
/// Decides which control VMs are members of the replicated log. A replica that
/// is not a member asks to become one; the leader adds it, in the place of a
/// member that has gone if the group has its full size. Performs no I/O and
/// reads no clock.
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

struct membership_message {
  replica_id to = 0;
  join_request body;
};

/// A change of the member list that the leader proposed.
struct member_change {
  replica_id id = 0;
  bool added = false;
};

struct membership_options {
  replica_id id = 0;
  std::vector<replica_id> seeds;  ///< of the initial group, or current members
  std::size_t full_size = 3;      ///< members of a complete group
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

  /// Asks for membership when a request is due.
  auto tick(instant now) -> void;
  auto receive(const join_request& request, instant now) -> void;
  auto set_seeds(std::vector<replica_id> seeds) -> void {
    options_.seeds = std::move(seeds);
  }
  auto take_messages() -> std::vector<membership_message>;
  /// The changes proposed since the last call, for the log.
  auto take_changes() -> std::vector<member_change>;

 private:
  auto is_active_leader(instant now) const -> bool;
  auto needs_membership(instant now) const -> bool;
  auto longest_absent_member(instant now) const -> std::optional<replica_id>;
  auto propose(std::vector<replica_id> members, member_change change,
               instant now) -> void;

  replica& node_;
  membership_options options_;
  log_term known_term_ = 0;
  instant leader_since_{};
  instant join_requested_at_{};
  std::vector<membership_message> messages_;
  std::vector<member_change> changes_;
};

}  // namespace pollenloft

#endif
