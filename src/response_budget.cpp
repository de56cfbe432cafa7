#include "response_budget.hpp"

#include <algorithm>
#include <utility>

namespace pollenloft {

namespace {

/// Responses of large peers that go on while the others wait.
constexpr std::size_t max_preferred = 2;
/// Time in which such a response must end.
constexpr auto max_preferred_time = std::chrono::seconds(1);
/// Part of the budget that such a response may hold.
constexpr std::size_t preferred_divisor = 4;

}  // namespace

auto response_budget::update(std::uint64_t id, const std::string& peer,
                             std::size_t held) -> void {
  if (held == 0) return remove(id);
  auto& entry = responses_[id];
  entry.peer = peer;
  auto& of_peer = held_by_peer_[peer];
  of_peer += held - entry.held;
  held_ += held - entry.held;
  entry.held = held;
}

auto response_budget::remove(std::uint64_t id) -> void {
  const auto found = responses_.find(id);
  if (found == responses_.end()) return;
  const auto& entry = found->second;
  const auto of_peer = held_by_peer_.find(entry.peer);
  of_peer->second -= entry.held;
  if (of_peer->second == 0) held_by_peer_.erase(of_peer);
  held_ -= entry.held;
  if (entry.paused) --paused_;
  responses_.erase(found);
}

auto response_budget::decide(instant now) -> std::vector<budget_decision> {
  if (held_ <= max_bytes_) return resume_all(now);
  const auto share =
      max_bytes_ / std::max<std::size_t>(held_by_peer_.size(), 1);
  std::vector<budget_decision> decisions;
  std::size_t preferred = 0;
  for (auto& [id, entry] : responses_)
    if (held_by_peer_.at(entry.peer) > share)
      decide_for(entry, id, preferred++ < max_preferred, now, decisions);
  return decisions;
}

auto response_budget::decide_for(response& entry, std::uint64_t id,
                                 bool preferred, instant now,
                                 std::vector<budget_decision>& decisions)
    -> void {
  set_paused(entry, id, !preferred, decisions);
  if (!preferred) return;
  if (!entry.preferred_since) entry.preferred_since = now;
  const auto preferred_for =
      entry.preferred_for + (now - *entry.preferred_since);
  if (preferred_for >= max_preferred_time ||
      entry.held > max_bytes_ / preferred_divisor)
    decisions.push_back({id, budget_action::reject});
}

auto response_budget::set_paused(response& entry, std::uint64_t id, bool paused,
                                 std::vector<budget_decision>& decisions)
    -> void {
  if (std::exchange(entry.paused, paused) == paused) return;
  paused ? ++paused_ : --paused_;
  decisions.push_back(
      {id, paused ? budget_action::pause : budget_action::resume});
}

auto response_budget::resume_all(instant now) -> std::vector<budget_decision> {
  std::vector<budget_decision> decisions;
  for (auto& [id, entry] : responses_) {
    set_paused(entry, id, false, decisions);
    if (!entry.preferred_since) continue;
    entry.preferred_for += now - *entry.preferred_since;
    entry.preferred_since.reset();
  }
  return decisions;
}

}  // namespace pollenloft
