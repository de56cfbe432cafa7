#include "pollenloft/telemetry.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <iomanip>
#include <map>
#include <sstream>

namespace pollenloft {

namespace {

namespace acc = boost::accumulators;
using logger = boost::log::sources::severity_logger<log_level>;

constexpr std::array<const char*, 4> level_names{"debug", "info", "warning",
                                                 "error"};
constexpr std::array<double, 3> estimated_quantiles{0.5, 0.95, 0.99};

std::string process_name;         // NOLINT: set once before the loop starts
std::uint64_t dropped_lines = 0;  // NOLINT: used by the loop's thread only
log_level min_log_level = log_level::info;  // NOLINT: set with process_name

/// Writes complete lines to standard output without blocking, or drops them.
class line_writer : public boost::log::sinks::basic_formatted_sink_backend<
                        char, boost::log::sinks::synchronized_feeding> {
 public:
  line_writer() {
    const auto flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

  auto consume(const boost::log::record_view& /*record*/,
               const std::string& message) -> void {
    auto line = message + "\n";
    const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
    if (written == static_cast<ssize_t>(line.size())) return;
    ++dropped_lines;
    // The newline keeps a truncated line apart from the next one.
    if (written > 0 && ::write(STDOUT_FILENO, "\n", 1) < 0) ++dropped_lines;
  }
};

/// Lines of one event in the current second.
struct event_rate {
  milliseconds second{0};  // start of the second, since the Unix epoch
  int lines = 0;
  int dropped = 0;
};

auto event_rates() -> std::map<std::string, event_rate, std::less<>>& {
  static std::map<std::string, event_rate, std::less<>> instance;
  return instance;
}

auto log_source() -> logger& {
  static logger instance;
  return instance;
}

auto quote_if_needed(const std::string& value) -> std::string {
  if (!value.empty() && value.find_first_of(" \"\n=") == std::string::npos)
    return value;
  std::ostringstream out;
  out << std::quoted(value);
  auto text = out.str();
  for (auto& c : text)
    if (c == '\n') c = ' ';
  return text;
}

using quantile_estimator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

auto make_estimator() -> quantile_estimator {
  return quantile_estimator(acc::tag::extended_p_square::probabilities =
                                estimated_quantiles);
}

auto series_name(const std::string& name, const std::string& labels)
    -> std::string {
  return labels.empty() ? name : name + "{" + labels + "}";
}

}  // namespace

auto start_logging(const std::string& process, const std::string& min_level)
    -> bool {
  const auto found =
      std::find(level_names.begin(), level_names.end(), min_level);
  if (found == level_names.end()) return false;
  process_name = process;
  using sink = boost::log::sinks::synchronous_sink<line_writer>;
  auto writer = boost::make_shared<sink>();
  writer->set_formatter(boost::log::expressions::stream
                        << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(writer);
  min_log_level = static_cast<log_level>(found - level_names.begin());
  return true;
}

namespace {

auto write_event(log_level level, std::string_view event,
                 std::initializer_list<log_field> fields) -> void {
  auto record =
      log_source().open_record(boost::log::keywords::severity = level);
  if (!record) return;
  boost::log::record_ostream out(record);
  out << "ts=" << wall_clock().count()
      << " level=" << level_names.at(static_cast<std::size_t>(level))
      << " process=" << process_name << " event=" << event;
  for (const auto& field : fields)
    out << ' ' << field.key << '=' << quote_if_needed(field.value);
  out.flush();
  log_source().push_record(std::move(record));
}

/// Counts a line of the event and returns whether it is within the rate limit.
/// The first line in a new second reports the lines dropped before.
auto within_rate_limit(std::string_view event) -> bool {
  constexpr milliseconds one_second{1000};
  const auto current_second = wall_clock() / one_second * one_second;
  auto& rates = event_rates();
  auto found = rates.find(event);
  if (found == rates.end())
    found = rates.emplace(std::string(event), event_rate{current_second}).first;
  auto& rate = found->second;
  if (rate.second != current_second) {
    const auto dropped = rate.dropped;
    rate = {current_second};
    if (dropped > 0)
      write_event(log_level::warning, "log.dropped",
                  {{"of", event}, {"lines", dropped}});
  }
  if (++rate.lines <= max_lines_per_event_per_second) return true;
  ++rate.dropped;
  ++dropped_lines;
  return false;
}

}  // namespace

auto dropped_log_lines() -> std::uint64_t {
  return dropped_lines;
}

auto log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields) -> void {
  if (level < min_log_level || !within_rate_limit(event)) return;
  write_event(level, event, fields);
}

auto log_failure(std::string_view event, const error& cause) -> void {
  log_event(
      log_level::warning, event,
      {{"step", cause.step}, {"peer", cause.peer}, {"reason", cause.reason}});
}

/// Upper bounds of the histogram buckets in seconds: about three per decade,
/// from 0.5 ms to 30 s. Bucket counts are cumulative.
constexpr std::array<double, 15> bucket_bounds{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1,     2,     5,    10,   30};
using histogram = std::array<std::uint64_t, bucket_bounds.size()>;

struct metrics::impl {
  std::map<std::string, histogram> histograms;
  std::map<std::string, std::map<std::string, double>> counters;
  std::map<std::string, std::map<std::string, double>> gauges;
  std::map<std::string, quantile_estimator> estimators;
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}
metrics::~metrics() = default;

auto metrics::add(const std::string& name, const std::string& labels,
                  double amount) -> void {
  impl_->counters[name][labels] += amount;
}

auto metrics::set(const std::string& name, double value,
                  const std::string& labels) -> void {
  impl_->gauges[name][labels] = value;
}

auto metrics::observe(const std::string& name, duration sample) -> void {
  auto found = impl_->estimators.find(name);
  if (found == impl_->estimators.end())
    found = impl_->estimators.emplace(name, make_estimator()).first;
  const auto seconds = std::chrono::duration<double>(sample).count();
  found->second(seconds);
  auto& buckets = impl_->histograms[name];
  for (std::size_t i = 0; i < buckets.size(); ++i)
    buckets.at(i) += seconds <= bucket_bounds.at(i) ? 1 : 0;
}

auto metrics::quantile(const std::string& name, double q) const -> duration {
  const auto found = impl_->estimators.find(name);
  if (found == impl_->estimators.end()) return {};
  const auto estimated =
      std::find(estimated_quantiles.begin(), estimated_quantiles.end(), q);
  if (estimated == estimated_quantiles.end()) return {};
  const auto values = acc::extended_p_square(found->second);
  const auto seconds = values[estimated - estimated_quantiles.begin()];
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

auto metrics::text() const -> std::string {
  std::ostringstream out;
  for (const auto& [name, series] : impl_->counters) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, value] : series)
      out << series_name(name, labels) << ' ' << value << '\n';
  }
  for (const auto& [name, series] : impl_->gauges) {
    out << "# TYPE " << name << " gauge\n";
    for (const auto& [labels, value] : series)
      out << series_name(name, labels) << ' ' << value << '\n';
  }
  for (const auto& [name, estimator] : impl_->estimators) {
    out << "# TYPE " << name << " histogram\n";
    const auto& buckets = impl_->histograms.at(name);
    for (std::size_t i = 0; i < buckets.size(); ++i)
      out << name << "_bucket{le=\"" << bucket_bounds.at(i) << "\"} "
          << buckets.at(i) << '\n';
    out << name << "_bucket{le=\"+Inf\"} " << acc::count(estimator) << '\n'
        << name << "_sum " << acc::sum(estimator) << '\n'
        << name << "_count " << acc::count(estimator) << '\n';
    out << "# TYPE " << name << "_quantile gauge\n";
    const auto values = acc::extended_p_square(estimator);
    for (std::size_t i = 0; i < estimated_quantiles.size(); ++i)
      out << name << "_quantile{quantile=\"" << estimated_quantiles.at(i)
          << "\"} " << values[static_cast<std::ptrdiff_t>(i)] << '\n';
  }
  out << "# TYPE pollenloft_log_lines_dropped_total counter\n"
      << "pollenloft_log_lines_dropped_total " << dropped_lines << '\n';
  return out.str();
}

}  // namespace pollenloft
