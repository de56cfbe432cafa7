/// \file telemetry.hpp
/// Structured logs (one line of key=value per event) and metrics in the
/// Prometheus text format.
#ifndef POLLENLOFT_TELEMETRY_HPP
#define POLLENLOFT_TELEMETRY_HPP

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>

#include "pollenloft/core.hpp"

namespace pollenloft {

enum class log_level { debug, info, warning, error };

/// One key=value pair of a log line. A value that is empty or contains a
/// space, quote, newline or equals sign is quoted.
struct log_field {
  log_field(std::string_view key, std::string_view value)
      : key(key), value(value) {}
  log_field(std::string_view key, const char* value) : key(key), value(value) {}
  template <class Number>
  requires std::is_arithmetic_v<Number> log_field(std::string_view key,
                                                  Number value)
      : key(key), value(std::to_string(value)) {}

  std::string key;
  std::string value;
};

/// Writes log lines of level `min_level` and above to standard output, each
/// with a timestamp and the name of the process. Returns false for an unknown
/// level. Writing never blocks: a line that does not fit into a full pipe is
/// dropped, and so are lines beyond `max_lines_per_event_per_second`.
/// `dropped_log_lines` counts both; `log.dropped` lines report only those
/// dropped by the rate limit.
auto start_logging(const std::string& process, const std::string& min_level)
    -> bool;

/// Rate limit of each event. A `log.dropped` line reports the lines that the
/// limit dropped when the event is next logged in a later second.
constexpr int max_lines_per_event_per_second = 200;

/// Lines dropped since the process started.
auto dropped_log_lines() -> std::uint64_t;

/// Writes one line `ts=... level=... process=... event=... key=value ...`:
///
///     log_event(log_level::info, "lease.granted", {{"vm", id}});
auto log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields) -> void;

/// Logs a failure with its step, peer and reason.
auto log_failure(std::string_view event, const error& cause) -> void;

/// Counters, gauges and latency histograms of one process.
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  auto operator=(const metrics&) -> metrics& = delete;

  /// Adds to a counter; `labels` is empty or `key="value",...`.
  auto add(const std::string& name, const std::string& labels = "",
           double amount = 1) -> void;
  /// Sets a gauge.
  auto set(const std::string& name, double value,
           const std::string& labels = "") -> void;
  /// Adds one sample to the histogram `name` and to the gauge `NAME_quantile`,
  /// which estimates the quantiles 0.5, 0.95 and 0.99.
  auto observe(const std::string& name, duration sample) -> void;
  /// The estimated quantile `q` (0.5, 0.95 or 0.99) of the samples of `name`; 0
  /// without samples or for another `q`.
  auto quantile(const std::string& name, double q) const -> duration;
  /// All metrics in the Prometheus text exposition format, times in seconds.
  auto text() const -> std::string;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pollenloft

#endif
