/// \file response_budget.hpp
/// Bounds the bytes of all responses that a client holds at a moment. Reading
/// waits before a response is rejected: only the oldest ones of the peers that
/// hold most go on, so that they end. Performs no I/O and reads no clock.
#ifndef POLLENLOFT_RESPONSE_BUDGET_HPP
#define POLLENLOFT_RESPONSE_BUDGET_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

/// What to do with a response that is being received.
enum class budget_action { pause, resume, reject };

struct budget_decision {
  std::uint64_t id = 0;
  budget_action action = budget_action::pause;
};

/// Responses are numbered by the caller:
///
///     budget.update(id, peer, held_bytes);   // as bytes arrive
///     if (budget.needs_decisions())
///       for (auto each : budget.decide(now)) ...
///     budget.remove(id);                     // at the end of the response
class response_budget {
 public:
  explicit response_budget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  auto update(std::uint64_t id, const std::string& peer, std::size_t held)
      -> void;
  auto remove(std::uint64_t id) -> void;
  /// While more is held than allowed, pauses the responses of peers that hold
  /// more than an even share, and rejects the largest one of the peer that
  /// holds most if it has waited for long. Resumes all as soon as there is
  /// room.
  auto decide(instant now) -> std::vector<budget_decision>;
  auto needs_decisions() const -> bool {
    return held_ > max_bytes_ || paused_ > 0;
  }
  auto held_bytes() const -> std::size_t { return held_; }

 private:
  struct response {
    std::string peer;
    std::size_t held = 0;
    bool paused = false;
    std::optional<instant> preferred_since;  // it reads while others wait
    duration preferred_for{};                // before that
  };

  auto resume_all(instant now) -> std::vector<budget_decision>;
  auto decide_for(response& entry, std::uint64_t id, bool preferred,
                  instant now, std::vector<budget_decision>& decisions) -> void;
  auto set_paused(response& entry, std::uint64_t id, bool paused,
                  std::vector<budget_decision>& decisions) -> void;

  std::size_t max_bytes_;
  std::map<std::uint64_t, response> responses_;
  std::map<std::string, std::size_t> held_by_peer_;  // peers that hold bytes
  std::size_t held_ = 0;
  std::size_t paused_ = 0;
};

}  // namespace pollenloft

#endif
