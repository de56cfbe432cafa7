#include "reach_monitor.hpp"

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

/// Endpoints are a fraction of a millisecond away.
constexpr auto probe_timeout = milliseconds(200);

}  // namespace

auto reach_monitor::add(const std::string& endpoint,
                        const socket_address& address) -> void {
  endpoints_[endpoint] = address;
}

auto reach_monitor::remove(const std::string& endpoint) -> void {
  endpoints_.erase(endpoint);
}

auto reach_monitor::contact_failed(const std::string& endpoint) -> void {
  const auto first = detector_.failures() == 0;
  detector_.contact_failed(endpoint, boottime_clock::now());
  if (first) suspected.emit();
  start_probes();
}

auto reach_monitor::tick() -> void {
  if (detector_.failures() > 0 || detector_.cut_off()) start_probes();
}

auto reach_monitor::start_probes() -> void {
  std::vector<std::string> known;
  for (const auto& [id, address] : endpoints_)
    known.push_back(id);
  for (const auto& id : detector_.next_probes(known, boottime_clock::now()))
    prober_.probe(
        endpoints_.at(id), probe_timeout,
        [this, id](listener_state state) { handle_probe(id, state); });
}

auto reach_monitor::handle_probe(const std::string& endpoint,
                                 listener_state state) -> void {
  const auto now = boottime_clock::now();
  const auto previous_change = detector_.changed_at();
  const auto failures = detector_.failures();
  const auto accepted = state == listener_state::listening;
  if (!detector_.probe_ended(endpoint, accepted, now)) return;
  const auto since =
      std::chrono::duration_cast<milliseconds>(now - previous_change);
  log_event(log_level::warning,
            detector_.cut_off() ? "links.lost" : "links.regained",
            {{"failed_contacts", failures},
             {"endpoints", endpoints_.size()},
             {"previous_change_ms",
              previous_change == instant{} ? -1 : since.count()}});
  changed.emit();
}

}  // namespace pollenloft
