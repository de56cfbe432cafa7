/// \file reach_monitor.hpp
/// Probes endpoints to find out whether this VM has lost its links to them.
#ifndef POLLENLOFT_REACH_MONITOR_HPP
#define POLLENLOFT_REACH_MONITOR_HPP

#include <map>
#include <memory>
#include <string>

#include "pollenloft/net.hpp"
#include "pollenloft/reach.hpp"

namespace pollenloft {

class reach_monitor {
 public:
  reach_monitor(event_loop& loop, std::uint64_t seed)
      : prober_(loop), detector_(seed) {}
  reach_monitor(const reach_monitor&) = delete;
  auto operator=(const reach_monitor&) -> reach_monitor& = delete;

  /// Adds an endpoint or changes its address.
  auto add(const std::string& endpoint, const socket_address& address) -> void;
  auto remove(const std::string& endpoint) -> void;
  /// An endpoint accepted no connection, broke one off or stalled.
  auto contact_failed(const std::string& endpoint) -> void;
  /// Starts the probes that are due; called often.
  auto tick() -> void;
  auto cut_off() const -> bool { return detector_.cut_off(); }

  /// Emitted when the first contact fails, before a verdict.
  sigc::signal<void()> suspected;
  sigc::signal<void()> changed;

 private:
  auto start_probes() -> void;
  auto handle_probe(const std::string& endpoint, listener_state state) -> void;

  listener_prober prober_;
  reach_detector detector_;
  std::map<std::string, socket_address> endpoints_;
};

}  // namespace pollenloft

#endif
