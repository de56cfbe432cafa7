/// \file connection_budget.hpp
/// Bounds what the connections of all servers of a process hold: requests that
/// are arriving, bodies of requests that are being answered, and responses that
/// callers have not read. Performs no I/O and reads no clock.
#ifndef POLLENLOFT_CONNECTION_BUDGET_HPP
#define POLLENLOFT_CONNECTION_BUDGET_HPP

#include <map>
#include <optional>
#include <vector>

#include "pollenloft/core.hpp"
#include "pollenloft/net.hpp"

namespace pollenloft {

/// What to do with a connection. A request that is refused has not run, since
/// it has not arrived completely.
enum class connection_action { pause, resume, refuse, close };

struct connection_decision {
  std::uint64_t id = 0;
  connection_action action = connection_action::pause;
};

/// Connections are numbered by the budget:
///
///     const auto id = budget.open(now);
///     budget.receive(id, bytes, now);             // as a request arrives
///     budget.begin_answer(id, body_bytes, now);   // once it is complete
///     budget.set_unsent(id, bytes, now);          // of the response
///     budget.end_answer(id, now);
///     if (budget.needs_decisions())
///       for (auto each : budget.decide(now)) ...
///     budget.close(id);
class connection_budget {
 public:
  explicit connection_budget(connection_limits limits) : limits_(limits) {}

  auto open(instant now) -> std::uint64_t;
  auto close(std::uint64_t id) -> void;
  /// Bytes of a request have arrived in one read.
  auto receive(std::uint64_t id, std::size_t bytes, instant now) -> void;
  /// Whether the body of a complete request fits beside those being answered.
  /// One alone always does.
  auto admits_answer(std::size_t body_bytes) const -> bool;
  auto begin_answer(std::uint64_t id, std::size_t body_bytes, instant now)
      -> void;
  auto end_answer(std::uint64_t id, instant now) -> void;
  /// Bytes of responses that the caller has not taken.
  auto set_unsent(std::uint64_t id, std::size_t bytes, instant now) -> void;

  /// While more is held than allowed, refuses requests and closes responses
  /// that make no progress, the largest first, and pauses large requests but
  /// for the oldest ones. Closes idle connections above the number allowed.
  auto decide(instant now) -> std::vector<connection_decision>;
  auto needs_decisions() const -> bool {
    return held_ > allowed() || paused_ > 0 ||
           connections_.size() > limits_.max_connections;
  }
  auto held_bytes() const -> std::size_t { return held_; }
  auto size() const -> std::size_t { return connections_.size(); }
  auto limits() const -> const connection_limits& { return limits_; }
  auto set_limits(connection_limits limits) -> void { limits_ = limits; }

 private:
  struct connection {
    std::size_t received = 0;  // of a request that is arriving
    std::size_t body = 0;      // of the request that is being answered
    std::size_t unsent = 0;    // of responses
    bool answering = false;
    bool ending = false;  // it was refused or closed
    instant begun{};      // of the request, or of idleness
    instant progress{};   // the latest
    std::optional<instant> paused_since;

    auto held() const -> std::size_t { return received + body + unsent; }
    auto idle() const -> bool { return !answering && held() == 0; }
  };
  using entry = std::pair<const std::uint64_t, connection>;

  auto change(connection& each, std::size_t connection::*part,
              std::size_t bytes) -> void;
  auto find(std::uint64_t id) -> connection*;
  /// Bodies that are being answered leave a part for those that arrive.
  auto allowed() const -> std::size_t;
  auto hard_limit() const -> std::size_t;
  auto end_request(connection& each, instant now) -> void;
  auto set_paused(entry& each, bool paused, instant now,
                  std::vector<connection_decision>& decisions) -> void;
  auto end(entry& each, std::vector<connection_decision>& decisions) -> void;
  auto end_excess_connections(instant now,
                              std::vector<connection_decision>& decisions)
      -> void;
  auto end_stalled(instant now, std::vector<connection_decision>& decisions)
      -> void;
  auto pause_large(instant now, std::vector<connection_decision>& decisions)
      -> void;

  connection_limits limits_;
  std::map<std::uint64_t, connection> connections_;  // the oldest first
  std::uint64_t last_id_ = 0;
  std::size_t held_ = 0;
  std::size_t answering_bytes_ = 0;
  std::size_t paused_ = 0;
};

}  // namespace pollenloft

#endif
