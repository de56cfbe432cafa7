#include "membership.hpp"

#include <algorithm>
#include <utility>

namespace pollenloft {

namespace {

constexpr auto join_retry_interval = milliseconds(500);
/// A replica without contact to a leader may have been removed without learning
/// of it, so it asks as well. Longer than an election.
constexpr auto leader_silence = std::chrono::seconds(1);
/// A member that has not replied for this long may be replaced by a replica
/// that requests to join.
constexpr auto member_replacement_delay = std::chrono::seconds(5);

}  // namespace

auto membership::take_messages() -> std::vector<membership_message> {
  return std::exchange(messages_, {});
}

auto membership::take_changes() -> std::vector<member_change> {
  return std::exchange(changes_, {});
}

auto membership::is_active_leader(instant now) const -> bool {
  return node_.has_committed_in_term() && now < node_.leader_lease_until();
}

auto membership::tick(instant now) -> void {
  if (node_.role() == replica_role::leader &&
      std::exchange(known_term_, node_.term()) != node_.term())
    leader_since_ = now;
  if (options_.seeds.empty() ||
      now - join_requested_at_ < join_retry_interval || !needs_membership(now))
    return;
  join_requested_at_ = now;
  std::set<replica_id> receivers(options_.seeds.begin(), options_.seeds.end());
  receivers.insert(node_.members().begin(), node_.members().end());
  receivers.erase(options_.id);
  for (const auto id : receivers)
    messages_.push_back({id, join_request{options_.id}});
}

/// The own log may say "member" for good: the removal commits without the
/// removed replica, and the next leader does not know it.
auto membership::needs_membership(instant now) const -> bool {
  if (!node_.is_member(options_.id)) return true;
  return node_.role() != replica_role::leader &&
         now - node_.last_leader_contact() > leader_silence;
}

auto membership::receive(const join_request& request, instant now) -> void {
  if (!is_active_leader(now)) {
    const auto leader = node_.leader();
    if (!request.forwarded && leader != 0 && leader != request.id &&
        leader != options_.id)
      messages_.push_back({leader, join_request{request.id, true}});
    return;
  }
  if (node_.is_member(request.id)) return;
  auto members = node_.members();
  if (members.size() < options_.full_size) {
    members.push_back(request.id);
    return propose(std::move(members), {request.id, true}, now);
  }
  const auto absent = longest_absent_member(now);
  if (!absent) return;
  members.erase(std::find(members.begin(), members.end(), *absent));
  propose(std::move(members), {*absent, false}, now);
}

auto membership::propose(std::vector<replica_id> members, member_change change,
                         instant now) -> void {
  if (node_.propose_members(members, now)) changes_.push_back(change);
}

/// The member that has not replied for the longest time; empty if none is
/// absent for `member_replacement_delay`.
auto membership::longest_absent_member(instant now) const
    -> std::optional<replica_id> {
  std::optional<replica_id> longest;
  auto since = now - member_replacement_delay;
  for (const auto id : node_.members()) {
    if (id == options_.id) continue;
    const auto last_reply = node_.last_heard(id).value_or(leader_since_);
    if (last_reply > since) continue;
    since = last_reply;
    longest = id;
  }
  return longest;
}

}  // namespace pollenloft
