#include <algorithm>

#include "pollenloft/replica.hpp"

namespace pollenloft {

auto replica::send_recover_requests(instant now) -> void {
  if (now < heartbeat_due_) return;
  heartbeat_due_ = now + options_.heartbeat;
  for (auto id : members_)
    if (id != options_.id) send(id, recover_request{nonce_});
  if (members_.size() > 1 || !options_.allow_bootstrap ||
      !is_member(options_.id))
    return;
  hard_state_.voting = true;
  persist_hard_state();
  role_ = replica_role::follower;
}

auto replica::handle(const recover_request& request,
                     const replica_message& message, instant /*now*/) -> void {
  const auto fresh = hard_state_.term == 0 && last_index() == 0;
  // A replica that is recovering itself knows nothing reliable, except that it
  // has never been used.
  if (!hard_state_.voting && !fresh) return;
  send(message.from, recover_reply{request.nonce, fresh, members_, commit_});
}

auto replica::handle(const recover_reply& reply, const replica_message& message,
                     instant now) -> void {
  if (role_ != replica_role::recovering || reply.nonce != nonce_) return;
  recovery_replies_[message.from] = reply;
  recovery_terms_[message.from] = message.term;
  adopt_reported_members();
  std::size_t with_state = 0;
  std::size_t fresh = 0;
  log_term highest_term = 0;
  for (const auto& [id, answer] : recovery_replies_) {
    if (!is_member(id)) continue;
    fresh += answer.fresh ? 1 : 0;
    with_state += answer.fresh ? 0 : 1;
    highest_term = std::max(highest_term, recovery_terms_[id]);
  }
  if (options_.allow_bootstrap && is_member(options_.id) &&
      fresh + 1 == members_.size()) {
    hard_state_.voting = true;  // all disks are empty: form a new cluster
    persist_hard_state();
    role_ = replica_role::follower;
    return reset_election_timer(now);
  }
  if (with_state < majority()) return;
  hard_state_.term = highest_term;
  persist_hard_state();
  role_ = replica_role::follower;
  reset_election_timer(now);
}

/// The configured member list may be outdated, so the list of the reply with
/// the highest commit index replaces it.
auto replica::adopt_reported_members() -> void {
  const recover_reply* best = nullptr;
  for (const auto& [id, reply] : recovery_replies_)
    if (!reply.fresh &&
        (best == nullptr || reply.commit_index > best->commit_index))
      best = &reply;
  if (best != nullptr && !best->members.empty()) members_ = best->members;
}

/// Entries after `match` may conflict with the leader's log.
auto replica::finish_recovery(log_index match, log_index leader_last_index)
    -> void {
  if (hard_state_.voting || match < leader_last_index) return;
  hard_state_.voting = true;
  persist_hard_state();
}

}  // namespace pollenloft
