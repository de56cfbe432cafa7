/// \file stream_timing.hpp
/// When the events of a stream reached its caller, against the objectives of
/// its route. Reads no clock.
#ifndef POLLENLOFT_STREAM_TIMING_HPP
#define POLLENLOFT_STREAM_TIMING_HPP

#include <algorithm>

#include "pollenloft/ingress.hpp"

namespace pollenloft {

class stream_timing {
 public:
  auto dispatched(instant now) -> void {
    if (!dispatched_) dispatched_ = now;
  }
  auto forwarded(instant now) -> void {
    if (!first_) first_ = now;
    if (latest_) max_gap_ = std::max(max_gap_, now - *latest_);
    latest_ = now;
  }
  /// Time since the latest event; empty before the first one.
  auto pause(instant now) const -> std::optional<duration> {
    return latest_ ? std::optional<duration>(now - *latest_) : std::nullopt;
  }
  /// Whether the first event, or one after a pause, came later than the route
  /// wants.
  auto late(const ingress_route& route, instant arrived) const -> bool {
    if (!first_) return false;
    return *first_ - arrived > route.latency_objective ||
           (route.max_event_gap > milliseconds(0) &&
            max_gap_ > route.max_event_gap);
  }
  /// Before the first dispatch.
  auto queued(instant arrived) const -> duration {
    return dispatched_ ? *dispatched_ - arrived : duration::zero();
  }
  auto to_first_event(instant arrived) const -> duration {
    return first_ ? *first_ - arrived : duration::zero();
  }
  auto max_gap() const -> duration { return max_gap_; }

 private:
  std::optional<instant> dispatched_;
  std::optional<instant> first_;
  std::optional<instant> latest_;
  duration max_gap_{};
};

}  // namespace pollenloft

#endif
