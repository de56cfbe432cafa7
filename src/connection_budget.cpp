#include "connection_budget.hpp"

#include <algorithm>

namespace pollenloft {

namespace {

/// A buffer takes at least this much for the bytes of one read.
constexpr std::size_t min_read_cost = 1024;
/// The body of a request in the exchange, in the call to the endpoint and in
/// the buffer of its connection.
constexpr std::size_t body_copies = 3;
/// Requests that have received at most this much are never paused.
constexpr std::size_t small_request_bytes = 16 * 1024;
/// Large requests that go on while the others wait.
constexpr std::size_t max_preferred = 2;
/// Time without progress after which a request or a response may be ended.
constexpr auto max_stall = milliseconds(500);
/// Time for which a request may be paused.
constexpr auto max_pause = std::chrono::seconds(3);
/// A new connection has this time to begin a request.
constexpr auto min_idle_time = std::chrono::seconds(1);
/// Part of the limit that bodies being answered leave for other requests.
constexpr std::size_t arriving_divisor = 4;
/// More than this part of the limit is never held, for want of pauses.
constexpr double hard_limit_factor = 1.25;

}  // namespace

auto connection_budget::find(std::uint64_t id) -> connection* {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : &found->second;
}

auto connection_budget::change(connection& each, std::size_t connection::*part,
                               std::size_t bytes) -> void {
  held_ += bytes - each.*part;
  if (part == &connection::body) answering_bytes_ += bytes - each.body;
  each.*part = bytes;
}

auto connection_budget::allowed() const -> std::size_t {
  return std::max(limits_.max_bytes,
                  answering_bytes_ + limits_.max_bytes / arriving_divisor);
}

auto connection_budget::open(instant now) -> std::uint64_t {
  auto& added = connections_[++last_id_];
  added.begun = now;
  added.progress = now;
  return last_id_;
}

auto connection_budget::close(std::uint64_t id) -> void {
  auto* closed = find(id);
  if (closed == nullptr) return;
  change(*closed, &connection::received, 0);
  change(*closed, &connection::body, 0);
  change(*closed, &connection::unsent, 0);
  if (closed->paused_since) --paused_;
  connections_.erase(id);
}

auto connection_budget::receive(std::uint64_t id, std::size_t bytes,
                                instant now) -> void {
  auto* each = find(id);
  if (each == nullptr || each->answering) return;
  if (each->received == 0) each->begun = now;
  each->progress = now;
  change(*each, &connection::received,
         each->received + std::max(bytes, min_read_cost));
}

auto connection_budget::admits_answer(std::size_t body_bytes) const -> bool {
  const auto small = body_bytes <= small_request_bytes;
  return answering_bytes_ == 0 ||
         answering_bytes_ + body_bytes * body_copies <=
             limits_.max_bytes +
                 (small ? limits_.max_bytes / arriving_divisor : 0);
}

auto connection_budget::end_request(connection& each, instant now) -> void {
  change(each, &connection::received, 0);
  change(each, &connection::body, 0);
  each.begun = now;
  each.progress = now;
  if (!each.paused_since) return;
  each.paused_since.reset();
  --paused_;
}

auto connection_budget::begin_answer(std::uint64_t id, std::size_t body_bytes,
                                     instant now) -> void {
  auto* each = find(id);
  if (each == nullptr) return;
  end_request(*each, now);
  each->answering = true;
  change(*each, &connection::body, body_bytes * body_copies);
}

auto connection_budget::end_answer(std::uint64_t id, instant now) -> void {
  auto* each = find(id);
  if (each == nullptr) return;
  end_request(*each, now);
  each->answering = false;
}

auto connection_budget::set_unsent(std::uint64_t id, std::size_t bytes,
                                   instant now) -> void {
  auto* each = find(id);
  if (each == nullptr) return;
  if (bytes < each->unsent || each->unsent == 0) each->progress = now;
  change(*each, &connection::unsent, bytes);
}

auto connection_budget::end(entry& each,
                            std::vector<connection_decision>& decisions)
    -> void {
  auto& [id, ended] = each;
  const auto refused = !ended.answering && ended.received > 0;
  decisions.push_back(
      {id, refused ? connection_action::refuse : connection_action::close});
  // What it holds is free as soon as the decision is carried out.
  change(ended, &connection::received, 0);
  change(ended, &connection::unsent, 0);
  ended.ending = true;
}

auto connection_budget::set_paused(entry& each, bool paused, instant now,
                                   std::vector<connection_decision>& decisions)
    -> void {
  auto& [id, changed] = each;
  if (changed.paused_since.has_value() == paused) return;
  paused ? ++paused_ : --paused_;
  changed.paused_since = paused ? std::optional(now) : std::nullopt;
  changed.progress = now;
  decisions.push_back(
      {id, paused ? connection_action::pause : connection_action::resume});
}

auto connection_budget::decide(instant now)
    -> std::vector<connection_decision> {
  std::vector<connection_decision> decisions;
  if (connections_.size() > limits_.max_connections)
    end_excess_connections(now, decisions);
  if (held_ > allowed()) end_stalled(now, decisions);
  if (held_ > allowed()) {
    pause_large(now, decisions);
    return decisions;
  }
  for (auto& each : connections_)
    if (!each.second.ending) set_paused(each, false, now, decisions);
  return decisions;
}

/// Idle connections end before those whose request arrives, and the oldest
/// request before a new connection; a request that is being answered ends by
/// itself.
auto connection_budget::end_excess_connections(
    instant now, std::vector<connection_decision>& decisions) -> void {
  std::vector<entry*> candidates;
  std::size_t open = 0;
  for (auto& each : connections_) {
    if (each.second.ending) continue;
    ++open;
    if (!each.second.answering) candidates.push_back(&each);
  }
  if (open <= limits_.max_connections) return;
  const auto excess =
      std::min(open - limits_.max_connections, candidates.size());
  const auto idle = [now](const entry* each) {
    return each->second.idle() && now - each->second.begun >= min_idle_time;
  };
  const auto goes_before = [&](const entry* a, const entry* b) {
    if (idle(a) != idle(b)) return idle(a);
    return a->second.begun < b->second.begun;
  };
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(excess),
                    candidates.end(), goes_before);
  for (std::size_t i = 0; i < excess; ++i)
    end(*candidates[i], decisions);
}

/// The most that may be held although all callers make progress.
auto connection_budget::hard_limit() const -> std::size_t {
  const auto limit = static_cast<std::size_t>(hard_limit_factor *
                                              static_cast<double>(allowed()));
  const auto large = std::count_if(
      connections_.begin(), connections_.end(), [](const auto& each) {
        const auto& state = each.second;
        return !state.ending && state.held() > small_request_bytes;
      });
  return large > 1 ? limit : std::max(limit, limits_.max_request_bytes);
}

auto connection_budget::end_stalled(instant now,
                                    std::vector<connection_decision>& decisions)
    -> void {
  const auto over_hard_limit = held_ > hard_limit();
  std::vector<entry*> candidates;
  for (auto& each : connections_) {
    const auto& state = each.second;
    const auto endable = state.received + state.unsent;
    if (state.ending || endable == 0 ||
        (endable <= small_request_bytes && !over_hard_limit))
      continue;
    const auto waited =
        state.paused_since && now - *state.paused_since >= max_pause;
    const auto stalled =
        !state.paused_since && now - state.progress >= max_stall;
    if (waited || stalled || over_hard_limit) candidates.push_back(&each);
  }
  const auto goes_before = [](const entry* a, const entry* b) {
    return a->second.received + a->second.unsent >
           b->second.received + b->second.unsent;
  };
  std::sort(candidates.begin(), candidates.end(), goes_before);
  for (auto* each : candidates) {
    if (held_ <= allowed()) return;
    end(*each, decisions);
  }
}

auto connection_budget::pause_large(instant now,
                                    std::vector<connection_decision>& decisions)
    -> void {
  std::vector<entry*> large;
  for (auto& each : connections_)
    if (!each.second.ending && each.second.received > small_request_bytes)
      large.push_back(&each);
  std::stable_sort(large.begin(), large.end(),
                   [](const entry* a, const entry* b) {
                     return a->second.begun < b->second.begun;
                   });
  for (std::size_t i = 0; i < large.size(); ++i)
    set_paused(*large[i], i >= max_preferred, now, decisions);
}

}  // namespace pollenloft
