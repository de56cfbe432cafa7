#include "crash_monitor.hpp"

namespace pollenloft {

namespace {

/// A process that ends may close its connections before its listener.
constexpr auto probe_delay = milliseconds(5);
/// A VM that is gone or cut off does not answer: that is not a crash.
constexpr auto probe_timeout = milliseconds(100);
/// Crashed endpoints stay in the directory for less than this.
constexpr auto crash_memory = std::chrono::minutes(1);
constexpr std::size_t max_known_crashes = 1024;

/// A process that starts again under its id is another endpoint.
auto incarnation_name(const endpoint_view& endpoint) -> std::string {
  return endpoint.id + "/" + endpoint.incarnation;
}

}  // namespace

crash_monitor::crash_monitor(event_loop& loop, crash_guard& guard,
                             metrics& registry, report_sink report)
    : loop_(loop),
      guard_(guard),
      metrics_(registry),
      report_(std::move(report)),
      prober_(loop) {}

auto crash_monitor::probe(const socket_address& endpoint, state_handler done)
    -> void {
  run_later(
      loop_, probe_delay,
      [this, endpoint, alive = std::weak_ptr(alive_), done = std::move(done)] {
        if (!alive.expired()) prober_.probe(endpoint, probe_timeout, done);
      });
}

auto crash_monitor::detect_crash(const socket_address& endpoint,
                                 result_handler done) -> void {
  probe(endpoint, [done = std::move(done)](listener_state state) {
    done(state == listener_state::refused);
  });
}

auto crash_monitor::attribute(const interrupted_request& request,
                              const chain& stages, const state_handler& done)
    -> void {
  const auto remaining = std::make_shared<std::size_t>(stages.size());
  const auto worst =
      std::make_shared<listener_state>(listener_state::listening);
  for (const auto& stage : stages) {
    const auto endpoint = stage.endpoint;
    probe(endpoint->address, [this, request, endpoint, remaining, worst,
                              done](listener_state state) {
      if (state == listener_state::refused) charge(request, *endpoint);
      if (*worst != listener_state::refused &&
          state != listener_state::listening)
        *worst = state;
      if (--*remaining == 0) done(*worst);
    });
  }
}

/// Endpoints that crash together are lost by one cause.
auto crash_monitor::charge(const interrupted_request& request,
                           const endpoint_view& endpoint) -> void {
  const auto& [since, charged] = request.on_endpoints;
  if (*charged || first_seen_crashed(endpoint) < since) return;
  *charged = true;
  record_crash(request, endpoint);
  for (const auto part : request.parts)
    record_part_crash(request, part, endpoint);
}

auto crash_monitor::first_seen_crashed(const endpoint_view& endpoint)
    -> instant {
  const auto now = boottime_clock::now();
  if (crashed_at_.size() >= max_known_crashes)
    std::erase_if(crashed_at_, [&](const auto& item) {
      return now - item.second > crash_memory;
    });
  return crashed_at_.try_emplace(incarnation_name(endpoint), now).first->second;
}

auto crash_monitor::record_crash(const interrupted_request& request,
                                 const endpoint_view& endpoint) -> void {
  if (disabled_) return;
  const auto name = incarnation_name(endpoint);
  if (!guard_.record_crash(request.fingerprint, name, request.points,
                           boottime_clock::now()))
    return;
  log_event(log_level::warning, "crash.reported",
            {{"id", request.id},
             {"fingerprint", fingerprint_text(request.fingerprint)},
             {"account", request.account},
             {"endpoint", name},
             {"points", request.points},
             {"known_points", guard_.points(request.fingerprint)}});
  metrics_.add("pollenloft_crash_reports_total");
  wire::blame_command report;
  report.fingerprint = static_cast<std::int64_t>(request.fingerprint);
  report.endpoint = name;
  report.account = request.account;
  report.points = request.points;
  report_(report);
}

auto crash_monitor::record_part_crash(const interrupted_request& request,
                                      std::uint64_t part,
                                      const endpoint_view& endpoint) -> void {
  if (disabled_) return;
  const auto name = incarnation_name(endpoint);
  if (!guard_.record_part_crash(part, name, boottime_clock::now())) return;
  log_event(log_level::info, "part.reported",
            {{"id", request.id},
             {"part", fingerprint_text(part)},
             {"account", request.account},
             {"endpoint", name},
             {"known_points", guard_.points(part)}});
  wire::blame_command report;
  report.fingerprint = static_cast<std::int64_t>(part);
  report.part = true;
  report.endpoint = name;
  report.account = request.account;
  report.points = inferred_points_before_first_event;
  report_(report);
}

auto crash_monitor::record_part_survivals(
    const std::vector<std::uint64_t>& parts) -> void {
  for (const auto part : parts) {
    const auto points = guard_.points(part);
    if (!guard_.record_part_survival(part, boottime_clock::now())) continue;
    log_event(log_level::info, "part.absolved",
              {{"part", fingerprint_text(part)}, {"points", points}});
    wire::blame_command report;
    report.fingerprint = static_cast<std::int64_t>(part);
    report.part = true;
    report.survived = true;
    report_(report);
  }
}

auto crash_monitor::record_survival(std::uint64_t fingerprint) -> void {
  const auto points = guard_.points(fingerprint);
  if (!guard_.record_survival(fingerprint)) return;
  log_event(
      log_level::info, "crash.absolved",
      {{"fingerprint", fingerprint_text(fingerprint)}, {"points", points}});
  wire::blame_command report;
  report.fingerprint = static_cast<std::int64_t>(fingerprint);
  report.survived = true;
  report_(report);
}

}  // namespace pollenloft
