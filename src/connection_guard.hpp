/// \file connection_guard.hpp
/// Carries out the decisions of the connection budget that all servers of a
/// loop share.
#ifndef POLLENLOFT_CONNECTION_GUARD_HPP
#define POLLENLOFT_CONNECTION_GUARD_HPP

#include <unordered_map>

#include "connection_budget.hpp"

namespace pollenloft {

class connection_guard {
 public:
  using handler = sigc::slot<void(connection_action)>;

  explicit connection_guard(event_loop& loop) : loop_(loop) {}

  /// `act` must not be called after `close`, and may call it.
  auto open(handler act) -> std::uint64_t;
  auto close(std::uint64_t id) -> void;
  auto receive(std::uint64_t id, std::size_t bytes) -> void;
  auto begin_answer(std::uint64_t id, std::size_t body_bytes) -> void;
  auto end_answer(std::uint64_t id) -> void;
  auto set_unsent(std::uint64_t id, std::size_t bytes) -> void;
  auto admits_answer(std::size_t body_bytes) const -> bool {
    return budget_.admits_answer(body_bytes);
  }
  /// Refuses the request that is arriving, after the running callbacks.
  auto refuse(std::uint64_t id) -> void;
  auto after(duration delay, task work) const -> timer {
    return loop_.after(delay, std::move(work));
  }
  /// Counts an end that the server itself decided.
  auto count_refusal() -> void { ++ends_.refused; }

  auto set_limits(connection_limits limits) -> void {
    budget_.set_limits(limits);
  }
  auto limits() const -> const connection_limits& { return budget_.limits(); }
  auto usage() const -> connection_usage;

 private:
  auto check() -> void;
  auto trim_when_released() -> void;
  auto decide() -> void;

  event_loop& loop_;
  connection_budget budget_{limits_of_machine(0, 0)};
  std::unordered_map<std::uint64_t, handler> handlers_;
  connection_usage ends_;  // its counts only
  bool posted_ = false;
  std::size_t peak_bytes_ = 0;  // held since memory was returned
  timer timer_;                 // while they are
};

}  // namespace pollenloft

#endif
