/// \file connection_monitor.hpp
/// Shows in metrics and logs what a process's connections hold and how often
/// their limits have bound.
#ifndef POLLENLOFT_CONNECTION_MONITOR_HPP
#define POLLENLOFT_CONNECTION_MONITOR_HPP

#include "pollenloft/net.hpp"
#include "pollenloft/telemetry.hpp"

namespace pollenloft {

class connection_monitor {
 public:
  connection_monitor(event_loop& loop, metrics& registry)
      : loop_(loop),
        metrics_(registry),
        timer_(loop.every(std::chrono::seconds(1), [this] { report(); })) {}
  connection_monitor(const connection_monitor&) = delete;
  auto operator=(const connection_monitor&) -> connection_monitor& = delete;

 private:
  auto report() -> void {
    const auto usage = loop_.connections();
    metrics_.set("pollenloft_connections",
                 static_cast<double>(usage.connections));
    metrics_.set("pollenloft_connection_bytes",
                 static_cast<double>(usage.held_bytes));
    metrics_.set("pollenloft_connections_refused",
                 static_cast<double>(usage.refused));
    metrics_.set("pollenloft_connections_closed",
                 static_cast<double>(usage.closed));
    metrics_.set("pollenloft_connections_paused",
                 static_cast<double>(usage.paused));
    if (usage.refused + usage.closed > last_.refused + last_.closed)
      log_event(log_level::warning, "connections.limited",
                {{"connections", usage.connections},
                 {"held_bytes", usage.held_bytes},
                 {"refused", usage.refused - last_.refused},
                 {"closed", usage.closed - last_.closed}});
    last_ = usage;
  }

  event_loop& loop_;
  metrics& metrics_;
  connection_usage last_;
  timer timer_;
};

}  // namespace pollenloft

#endif
