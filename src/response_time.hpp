/// \file response_time.hpp
/// Learns how long endpoints take until the first event of a response, by
/// route, and derives from it when an attempt counts as stalled. Performs no
/// I/O and reads no clock.
#ifndef POLLENLOFT_RESPONSE_TIME_HPP
#define POLLENLOFT_RESPONSE_TIME_HPP

#include <map>
#include <string>

#include "pollenloft/core.hpp"

namespace pollenloft {

/// Mean and mean deviation of the samples, the newest ones counting most, as
/// TCP estimates round-trip times (RFC 6298).
class response_time {
 public:
  auto record(duration sample) -> void;
  /// Time after which a response is an outlier; `max` before the first sample.
  auto timeout(duration min, duration max) const -> duration;
  auto known() const -> bool { return known_; }
  auto mean() const -> duration { return mean_; }

 private:
  duration mean_{};
  duration deviation_{};
  bool known_ = false;
};

using response_times = std::map<std::string, response_time>;  // by route

}  // namespace pollenloft

#endif
