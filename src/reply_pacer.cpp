#include "reply_pacer.hpp"

#include <algorithm>

namespace pollenloft {

namespace {

/// Replies up to this size are sent at once.
constexpr std::size_t max_unpaced_bytes = 4 * 1024;
constexpr double burst_bytes = 128 * 1024;

}  // namespace

auto send_budget::delay(instant now) -> duration {
  const auto elapsed =
      std::chrono::duration<double>(now - std::exchange(refilled_at_, now))
          .count();
  available_ = std::min(burst_, available_ + elapsed * rate_);
  if (available_ >= 0) return duration::zero();
  return std::chrono::ceil<duration>(
      std::chrono::duration<double>(-available_ / rate_));
}

auto send_budget::charge(std::size_t bytes) -> void {
  available_ -= static_cast<double>(bytes);
}

reply_pacer::reply_pacer(event_loop& loop, double bytes_per_second)
    : loop_(loop), budget_(bytes_per_second, burst_bytes) {}

auto reply_pacer::send(const exchange_ptr& call, http_headers headers,
                       std::string body) -> void {
  if (body.size() <= max_unpaced_bytes) return call->reply(200, headers, body);
  queue_.push_back({call, std::move(headers), std::move(body)});
  if (!waiting_) drain();
}

auto reply_pacer::drain() -> void {
  waiting_ = false;
  while (!queue_.empty()) {
    if (!queue_.front().call->open()) {
      queue_.pop_front();
      continue;
    }
    const auto delay = budget_.delay(boottime_clock::now());
    if (delay > duration::zero()) {
      waiting_ = true;
      timer_ = loop_.after(delay, [this] { drain(); });
      return;
    }
    const auto next = std::move(queue_.front());
    queue_.pop_front();
    budget_.charge(next.body.size());
    next.call->reply(200, next.headers, next.body);
  }
}

}  // namespace pollenloft
