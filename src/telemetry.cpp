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
constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

std::string process_name;   // NOLINT: set once before the loop starts
std::uint64_t dropped = 0;  // NOLINT: counted on the loop's thread
log_level lowest_level = log_level::info;  // NOLINT: set with the name

/// Writes whole lines to standard output, or not at all.
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
    ++dropped;
    // The rest of a line cut short would spoil the next one.
    if (written > 0 && ::write(STDOUT_FILENO, "\n", 1) < 0) ++dropped;
  }
};

/// Lines of one event in the present second.
struct event_rate {
  milliseconds second{0};
  int lines = 0;
  int over = 0;
};

auto rates() -> std::map<std::string, event_rate, std::less<>>& {
  static std::map<std::string, event_rate, std::less<>> instance;
  return instance;
}

auto source() -> logger& {
  static logger instance;
  return instance;
}

auto quoted(const std::string& value) -> std::string {
  if (!value.empty() && value.find_first_of(" \"\n=") == std::string::npos)
    return value;
  std::ostringstream out;
  out << std::quoted(value);
  auto text = out.str();
  for (auto& c : text)
    if (c == '\n') c = ' ';
  return text;
}

using summary =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

auto make_summary() -> summary {
  return summary(acc::tag::extended_p_square::probabilities = quantiles);
}

auto line_name(const std::string& name, const std::string& labels)
    -> std::string {
  return labels.empty() ? name : name + "{" + labels + "}";
}

}  // namespace

auto start_logging(const std::string& process, const std::string& lowest)
    -> bool {
  const auto found = std::find(level_names.begin(), level_names.end(), lowest);
  if (found == level_names.end()) return false;
  process_name = process;
  using sink = boost::log::sinks::synchronous_sink<line_writer>;
  auto writer = boost::make_shared<sink>();
  writer->set_formatter(boost::log::expressions::stream
                        << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(writer);
  lowest_level = static_cast<log_level>(found - level_names.begin());
  return true;
}

namespace {

auto write_event(log_level level, std::string_view event,
                 std::initializer_list<log_field> fields) -> void {
  auto record = source().open_record(boost::log::keywords::severity = level);
  if (!record) return;
  boost::log::record_ostream out(record);
  out << "ts=" << wall_clock().count()
      << " level=" << level_names.at(static_cast<std::size_t>(level))
      << " process=" << process_name << " event=" << event;
  for (const auto& field : fields)
    out << ' ' << field.key << '=' << quoted(field.value);
  out.flush();
  source().push_record(std::move(record));
}

/// False if the event has had its lines in this second; tells what was dropped
/// in an earlier one.
auto within_rate(std::string_view event) -> bool {
  constexpr milliseconds second{1000};
  const auto now = wall_clock() / second * second;
  auto found = rates().find(event);
  if (found == rates().end())
    found = rates().emplace(std::string(event), event_rate{now}).first;
  auto& rate = found->second;
  if (rate.second != now) {
    const auto over = rate.over;
    rate = {now};
    if (over > 0)
      write_event(log_level::warning, "log.dropped",
                  {{"of", event}, {"lines", over}});
  }
  if (++rate.lines <= max_lines_per_event_per_second) return true;
  ++rate.over;
  ++dropped;
  return false;
}

}  // namespace

auto dropped_log_lines() -> std::uint64_t {
  return dropped;
}

auto log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields) -> void {
  if (level < lowest_level || !within_rate(event)) return;
  write_event(level, event, fields);
}

auto log_failure(std::string_view event, const error& cause) -> void {
  log_event(
      log_level::warning, event,
      {{"step", cause.step}, {"peer", cause.peer}, {"reason", cause.reason}});
}

/// Upper bounds of the histograms' buckets in seconds: about three to a decade,
/// from half a millisecond to half a minute.
constexpr std::array<double, 15> bucket_bounds{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1,     2,     5,    10,   30};
using histogram = std::array<std::uint64_t, bucket_bounds.size()>;

struct metrics::impl {
  std::map<std::string, histogram> histograms;
  std::map<std::string, std::map<std::string, double>> counters;
  std::map<std::string, std::map<std::string, double>> gauges;
  std::map<std::string, summary> summaries;
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
  auto found = impl_->summaries.find(name);
  if (found == impl_->summaries.end())
    found = impl_->summaries.emplace(name, make_summary()).first;
  const auto seconds = std::chrono::duration<double>(sample).count();
  found->second(seconds);
  auto& buckets = impl_->histograms[name];
  for (std::size_t i = 0; i < buckets.size(); ++i)
    buckets.at(i) += seconds <= bucket_bounds.at(i) ? 1 : 0;
}

auto metrics::quantile(const std::string& name, double q) const -> duration {
  const auto found = impl_->summaries.find(name);
  if (found == impl_->summaries.end()) return {};
  const auto at = std::find(quantiles.begin(), quantiles.end(), q);
  if (at == quantiles.end()) return {};
  const auto values = acc::extended_p_square(found->second);
  const auto seconds = values[at - quantiles.begin()];
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

auto metrics::text() const -> std::string {
  std::ostringstream out;
  for (const auto& [name, rows] : impl_->counters) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, value] : rows)
      out << line_name(name, labels) << ' ' << value << '\n';
  }
  for (const auto& [name, rows] : impl_->gauges) {
    out << "# TYPE " << name << " gauge\n";
    for (const auto& [labels, value] : rows)
      out << line_name(name, labels) << ' ' << value << '\n';
  }
  for (const auto& [name, row] : impl_->summaries) {
    out << "# TYPE " << name << " histogram\n";
    const auto& buckets = impl_->histograms.at(name);
    for (std::size_t i = 0; i < buckets.size(); ++i)
      out << name << "_bucket{le=\"" << bucket_bounds.at(i) << "\"} "
          << buckets.at(i) << '\n';
    out << name << "_bucket{le=\"+Inf\"} " << acc::count(row) << '\n'
        << name << "_sum " << acc::sum(row) << '\n'
        << name << "_count " << acc::count(row) << '\n';
    out << "# TYPE " << name << "_quantile gauge\n";
    const auto values = acc::extended_p_square(row);
    for (std::size_t i = 0; i < quantiles.size(); ++i)
      out << name << "_quantile{quantile=\"" << quantiles.at(i) << "\"} "
          << values[static_cast<std::ptrdiff_t>(i)] << '\n';
  }
  out << "# TYPE pollenloft_log_lines_dropped_total counter\n"
      << "pollenloft_log_lines_dropped_total " << dropped << '\n';
  return out.str();
}

}  // namespace pollenloft
