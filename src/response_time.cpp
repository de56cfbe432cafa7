#include "response_time.hpp"

#include <algorithm>

namespace pollenloft {

namespace {

constexpr int mean_divisor = 8;       // weight of a sample, inverted
constexpr int deviation_divisor = 4;  // likewise
constexpr int timeout_deviations = 4;

}  // namespace

auto response_time::record(duration sample) -> void {
  if (!known_) {
    known_ = true;
    mean_ = sample;
    deviation_ = sample / 2;
    return;
  }
  const auto error = sample - mean_;
  deviation_ += (std::chrono::abs(error) - deviation_) / deviation_divisor;
  mean_ += error / mean_divisor;
}

auto response_time::timeout(duration min, duration max) const -> duration {
  if (!known_) return max;
  return std::clamp(mean_ + timeout_deviations * deviation_, min, max);
}

}  // namespace pollenloft
