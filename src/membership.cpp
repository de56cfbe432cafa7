#include "membership.hpp"

#include <algorithm>
#include <utility>

namespace pollenloft {

namespace {

using std::chrono::seconds;

constexpr auto join_retry_interval = milliseconds(500);
/// A candidate that has not asked for this long is dropped.
constexpr milliseconds candidate_timeout = 4 * join_retry_interval;
/// A replica without contact to a leader may have been removed without learning
/// of it, so it asks as well. Longer than an election.
constexpr auto leader_silence = seconds(1);
/// Silence after which a member gives way to a candidate that is up to date.
/// It must be longer than a lost message and an election.
constexpr auto replaceable_silence = seconds(2);
/// Silence within which a replica counts as answering: three heartbeats.
constexpr auto answering_silence = milliseconds(300);
/// How long a notice holds; longer than a stop may take.
constexpr auto stop_notice_lifetime = seconds(10);
/// A member that is silent for this long, with nobody to take its place, is
/// reported. A removed one gets no more entries.
constexpr auto absent_silence = seconds(10);

}  // namespace

auto membership::take_messages() -> std::vector<membership_message> {
  return std::exchange(messages_, {});
}

auto membership::take_events() -> std::vector<member_event> {
  return std::exchange(events_, {});
}

auto membership::is_active_leader(instant now) const -> bool {
  return node_.has_committed_in_term() && now < node_.leader_lease_until();
}

auto membership::tick(instant now) -> void {
  if (options_.seeds.empty()) return;
  forget_outdated(now);
  observe_leader(now);
  if (is_active_leader(now)) return maintain_group(now);
  request_membership(now);
}

auto membership::forget_outdated(instant now) -> void {
  std::erase_if(candidates_, [&](const auto& entry) {
    return now - entry.second.asked_at > candidate_timeout;
  });
  std::erase_if(stopping_since_, [&](const auto& entry) {
    return now - entry.second > stop_notice_lifetime;
  });
}

/// A new leader knows the silence of the one before it, and counts that of the
/// others from its own election.
auto membership::observe_leader(instant now) -> void {
  if (node_.role() != replica_role::leader) {
    if (node_.leader() == 0) return;
    prior_leader_ = node_.leader();
    prior_contact_ = node_.last_leader_contact();
    return;
  }
  if (std::exchange(known_term_, node_.term()) == node_.term()) return;
  leader_since_ = now;
  absent_.clear();
  for (auto& [id, asking] : candidates_)
    add_candidate(id, asking.asked_at, now);
}

/// The own log may say "member" for good: the removal commits without the
/// removed replica, and the next leader does not know it.
auto membership::needs_membership(instant now) const -> bool {
  if (stopping_) return false;
  if (!node_.is_member(options_.id)) return true;
  return node_.role() != replica_role::leader &&
         now - node_.last_leader_contact() > leader_silence;
}

auto membership::request_membership(instant now) -> void {
  if (now - join_requested_at_ < join_retry_interval || !needs_membership(now))
    return;
  join_requested_at_ = now;
  std::set<replica_id> receivers(options_.seeds.begin(), options_.seeds.end());
  receivers.insert(node_.members().begin(), node_.members().end());
  receivers.erase(options_.id);
  for (const auto id : receivers)
    messages_.push_back({id, join_request{options_.id}});
}

auto membership::announce_stop() -> void {
  stopping_ = true;
  if (options_.seeds.empty()) return;
  for (const auto id : node_.members())
    if (id != options_.id) messages_.push_back({id, stop_notice{options_.id}});
}

auto membership::receive(const join_request& request, instant now) -> void {
  if (options_.seeds.empty() || request.id == options_.id) return;
  // Kept on all replicas, since one of them may lead next.
  if (!node_.is_member(request.id)) add_candidate(request.id, now, now);
  const auto leader = node_.leader();
  if (!request.forwarded && leader != 0 && leader != request.id &&
      leader != options_.id)
    messages_.push_back({leader, join_request{request.id, true}});
}

auto membership::add_candidate(replica_id id, instant asked_at, instant now)
    -> void {
  const auto [asking, is_new] = candidates_.try_emplace(id);
  if (is_new) asking->second.target = node_.commit_index();
  asking->second.asked_at = asked_at;
  node_.add_learner(id, now);
}

auto membership::receive(const stop_notice& notice, instant now) -> void {
  stopping_since_[notice.id] = now;
  candidates_.erase(notice.id);
}

auto membership::silence_of(replica_id id, instant now) const -> duration {
  const auto since = id == prior_leader_
                         ? std::min(prior_contact_, leader_since_)
                         : leader_since_;
  return now - node_.last_heard(id).value_or(since);
}

auto membership::ready_candidate(instant now) const
    -> std::optional<replica_id> {
  for (const auto& [id, asking] : candidates_)
    if (!node_.is_member(id) && node_.match_index(id) >= asking.target &&
        silence_of(id, now) < answering_silence)
      return id;
  return std::nullopt;
}

/// A member that stops goes before one that is silent, which may only be cut
/// off; among the silent ones that of the longest silence.
auto membership::find_departing(instant now) const
    -> std::optional<departing_member> {
  std::optional<departing_member> found;
  for (const auto id : node_.members()) {
    if (id == options_.id) continue;
    const auto silence = silence_of(id, now);
    const auto stopping = stopping_since_.count(id) != 0;
    if (!stopping && silence < replaceable_silence) continue;
    if (found && std::pair(found->stopping, found->silence) >
                     std::pair(stopping, silence))
      continue;
    found = {id, silence, stopping, silence < answering_silence};
  }
  return found;
}

/// One change at a time. A member that still answers leaves after its successor
/// has been added, so that the group is never short. One that does not answer
/// is removed first: added to it, the successor would raise the majority, and
/// be needed for it.
auto membership::maintain_group(instant now) -> void {
  drop_learners(now);
  report_absent(now);
  if (node_.changes_members()) return;
  const auto size = node_.members().size();
  const auto departing = find_departing(now);
  const auto ready = ready_candidate(now);
  if (departing &&
      (size > options_.full_size ||
       (size == options_.full_size && ready && !departing->answers)))
    return remove(*departing, now);
  if (ready &&
      (size < options_.full_size || (size == options_.full_size && departing)))
    add(*ready, now);
}

auto membership::drop_learners(instant now) -> void {
  for (const auto id : node_.learners())
    if (candidates_.count(id) == 0 && silence_of(id, now) > absent_silence)
      node_.drop_learner(id);
}

auto membership::report_absent(instant now) -> void {
  for (const auto id : node_.members()) {
    const auto silence = silence_of(id, now);
    if (id == options_.id || silence < replaceable_silence)
      absent_.erase(id);
    else if (silence > absent_silence && absent_.insert(id).second)
      events_.push_back({member_event::kind::absent, id, silence});
  }
}

auto membership::add(replica_id id, instant now) -> void {
  auto members = node_.members();
  members.push_back(id);
  if (!node_.propose_members(members, now)) return;
  candidates_.erase(id);
  events_.push_back({member_event::kind::added, id});
}

auto membership::remove(const departing_member& member, instant now) -> void {
  auto members = node_.members();
  std::erase(members, member.id);
  if (node_.propose_members(members, now))
    events_.push_back({member_event::kind::removed, member.id, member.silence,
                       member.stopping});
}

}  // namespace pollenloft
