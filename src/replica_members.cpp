#include <algorithm>
#include <sstream>

#include "pollenloft/replica.hpp"

namespace pollenloft {

namespace {

auto encode_members(const std::vector<replica_id>& members) -> std::string {
  std::string text;
  for (auto id : members) {
    if (!text.empty()) text += ',';
    text += std::to_string(id);
  }
  return text;
}

auto differ_by_one(std::vector<replica_id> a, std::vector<replica_id> b)
    -> bool {
  std::sort(a.begin(), a.end());
  std::sort(b.begin(), b.end());
  std::vector<replica_id> difference;
  std::set_symmetric_difference(a.begin(), a.end(), b.begin(), b.end(),
                                std::back_inserter(difference));
  return difference.size() == 1;
}

}  // namespace

auto detail::decode_members(const std::string& text)
    -> std::vector<replica_id> {
  std::vector<replica_id> members;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');)
    members.push_back(static_cast<replica_id>(parse_number(part).value_or(0)));
  return members;
}

auto replica::is_member(replica_id id) const -> bool {
  return std::find(members_.begin(), members_.end(), id) != members_.end();
}

auto replica::recompute_members() -> void {
  members_ = snapshot_.members.empty() ? options_.members : snapshot_.members;
  for (const auto& entry : log_)
    if (entry.kind == entry_kind::members)
      members_ = detail::decode_members(entry.data);
  if (role_ != replica_role::leader) return;
  for (auto id : members_)
    if (id != options_.id && progress_.count(id) == 0)
      progress_[id].next = last_index();
}

auto replica::propose_members(const std::vector<replica_id>& members,
                              instant now) -> std::optional<log_index> {
  const auto peer = std::to_string(options_.id);
  if (!has_committed_in_term())
    return fail("replica.members", peer, "not the leader");
  if (!differ_by_one(members, members_))
    return fail("replica.members", peer,
                "the list must differ from the current one by one replica");
  if (changes_members())
    return fail("replica.members", peer, "an earlier change is under way");
  append_entry({hard_state_.term, last_index() + 1, entry_kind::members,
                encode_members(members)});
  broadcast(now);
  advance_commit();
  return last_index();
}

auto replica::changes_members() const -> bool {
  for (auto index = commit_ + 1; index <= last_index(); ++index)
    if (entry_at(index)->kind == entry_kind::members) return true;
  return false;
}

auto replica::match_index(replica_id id) const -> log_index {
  const auto found = progress_.find(id);
  return found == progress_.end() ? 0 : found->second.match;
}

auto replica::add_learner(replica_id id, instant now) -> void {
  if (role_ != replica_role::leader || id == options_.id) return;
  const auto [added, is_new] = progress_.try_emplace(id);
  if (!is_new) return;
  added->second.next = last_index() + 1;
  send_append(id, now);
}

auto replica::drop_learner(replica_id id) -> void {
  if (!is_member(id)) progress_.erase(id);
}

auto replica::learners() const -> std::vector<replica_id> {
  std::vector<replica_id> ids;
  for (const auto& [id, peer] : progress_)
    if (!is_member(id)) ids.push_back(id);
  return ids;
}

auto replica::transfer_leadership(instant now) -> void {
  if (role_ != replica_role::leader) return;
  const auto best = std::max_element(
      members_.begin(), members_.end(),
      [this](auto a, auto b) { return match_index(a) < match_index(b); });
  if (best == members_.end() || match_index(*best) == 0) return;
  send(*best, timeout_now_request{});
  become_follower(hard_state_.term, 0, now);
}

}  // namespace pollenloft
