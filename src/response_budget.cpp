#include "response_budget.hpp"

#include <algorithm>
#include <utility>

namespace pollenloft {

namespace {

/// Time that a response may wait in all, for others to end.
constexpr auto max_wait = std::chrono::seconds(1);

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
  if (entry.paused_at) --paused_;
  responses_.erase(found);
}

auto response_budget::decide(instant now) -> std::vector<budget_decision> {
  if (held_ <= max_bytes_) return resume_all(now);
  auto decisions = pause_large_peers(now);
  if (const auto id = find_excessive(now))
    decisions.push_back({*id, budget_action::reject});
  return decisions;
}

auto response_budget::resume_all(instant now) -> std::vector<budget_decision> {
  std::vector<budget_decision> decisions;
  for (auto& [id, entry] : responses_) {
    if (!entry.paused_at) continue;
    entry.waited += now - *entry.paused_at;
    entry.paused_at.reset();
    decisions.push_back({id, budget_action::resume});
  }
  paused_ = 0;
  return decisions;
}

auto response_budget::pause_large_peers(instant now)
    -> std::vector<budget_decision> {
  const auto share =
      max_bytes_ / std::max<std::size_t>(held_by_peer_.size(), 1);
  std::vector<budget_decision> decisions;
  for (auto& [id, entry] : responses_) {
    if (entry.paused_at || held_by_peer_.at(entry.peer) <= share) continue;
    entry.paused_at = now;
    ++paused_;
    decisions.push_back({id, budget_action::pause});
  }
  return decisions;
}

auto response_budget::find_excessive(instant now) const
    -> std::optional<std::uint64_t> {
  std::optional<std::uint64_t> found;
  std::pair<std::size_t, std::size_t> most;
  for (const auto& [id, entry] : responses_) {
    const std::pair size(held_by_peer_.at(entry.peer), entry.held);
    if (size < most) continue;
    most = size;
    const auto waits =
        entry.paused_at && now - *entry.paused_at + entry.waited >= max_wait;
    found = waits ? std::optional(id) : std::nullopt;
  }
  return found;
}

}  // namespace pollenloft
