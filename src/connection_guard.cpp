#include "connection_guard.hpp"

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace pollenloft {

namespace {

constexpr auto decide_interval = milliseconds(50);
/// Freed buffers of fewer bytes stay with the allocator.
constexpr std::size_t min_trim_bytes = 4 * 1024 * 1024;
constexpr std::size_t trim_divisor = 4;

}  // namespace

auto connection_guard::open(handler act) -> std::uint64_t {
  const auto id = budget_.open(boottime_clock::now());
  handlers_[id] = std::move(act);
  check();
  return id;
}

auto connection_guard::close(std::uint64_t id) -> void {
  budget_.close(id);
  handlers_.erase(id);
  trim_when_released();
}

/// The buffers of a connection are freed after its close.
auto connection_guard::trim_when_released() -> void {
  const auto held = budget_.held_bytes();
  peak_bytes_ = std::max(peak_bytes_, held);
  if (peak_bytes_ < min_trim_bytes || held > peak_bytes_ / trim_divisor) return;
  peak_bytes_ = held;
  loop_.post([] { malloc_trim(0); });
}

auto connection_guard::receive(std::uint64_t id, std::size_t bytes) -> void {
  budget_.receive(id, bytes, boottime_clock::now());
  peak_bytes_ = std::max(peak_bytes_, budget_.held_bytes());
  check();
}

auto connection_guard::begin_answer(std::uint64_t id, std::size_t body_bytes)
    -> void {
  budget_.begin_answer(id, body_bytes, boottime_clock::now());
}

auto connection_guard::end_answer(std::uint64_t id) -> void {
  budget_.end_answer(id, boottime_clock::now());
  trim_when_released();
}

auto connection_guard::set_unsent(std::uint64_t id, std::size_t bytes) -> void {
  budget_.set_unsent(id, bytes, boottime_clock::now());
  check();
}

auto connection_guard::refuse(std::uint64_t id) -> void {
  loop_.post([this, id] {
    const auto found = handlers_.find(id);
    if (found == handlers_.end()) return;
    const auto act = found->second;
    act(connection_action::refuse);
  });
}

auto connection_guard::usage() const -> connection_usage {
  auto result = ends_;
  result.connections = budget_.size();
  result.held_bytes = budget_.held_bytes();
  return result;
}

auto connection_guard::check() -> void {
  if (!budget_.needs_decisions() || std::exchange(posted_, true)) return;
  loop_.post([this] {
    posted_ = false;
    decide();
  });
}

auto connection_guard::decide() -> void {
  for (const auto& decision : budget_.decide(boottime_clock::now())) {
    const auto found = handlers_.find(decision.id);
    if (found == handlers_.end()) continue;
    if (decision.action == connection_action::close) ++ends_.closed;
    if (decision.action == connection_action::pause) ++ends_.paused;
    const auto act = found->second;
    act(decision.action);
  }
  timer_ = budget_.needs_decisions()
               ? loop_.after(decide_interval, [this] { decide(); })
               : timer();
}

}  // namespace pollenloft
