/// \file crash_monitor.hpp
/// Finds out which endpoints crashed while they ran a request, and shares that
/// with the other VMs through the control role.
#ifndef POLLENLOFT_CRASH_MONITOR_HPP
#define POLLENLOFT_CRASH_MONITOR_HPP

#include <map>
#include <memory>
#include <string>

#include "pollenloft/net.hpp"
#include "pollenloft/poison.hpp"
#include "pollenloft/route.hpp"
#include "pollenloft/telemetry.hpp"

namespace pollenloft {

/// The time that a request has been on the same endpoints. It is charged with
/// one crash at most, and not with one that was known before.
struct exposure {
  instant since{};
  std::shared_ptr<bool> charged = std::make_shared<bool>(false);
};

/// A request whose dispatch was interrupted.
struct interrupted_request {
  std::string id;       ///< for the log
  std::string account;  ///< may be empty
  std::uint64_t fingerprint = 0;
  int points = 0;  ///< for a crash
  exposure on_endpoints{};
  /// Parts of its prompt that no endpoint has survived in this dispatch.
  std::vector<std::uint64_t> parts{};
};

class crash_monitor {
 public:
  /// Sends a report to the control role.
  using report_sink = sigc::slot<void(const wire::blame_command&)>;
  using result_handler = sigc::slot<void(bool)>;
  using state_handler = sigc::slot<void(listener_state)>;

  crash_monitor(event_loop& loop, crash_guard& guard, metrics& registry,
                report_sink report);
  crash_monitor(const crash_monitor&) = delete;
  auto operator=(const crash_monitor&) -> crash_monitor& = delete;

  auto guard() -> crash_guard& { return guard_; }
  /// For checks only: records nothing from now on.
  auto disable() -> void { disabled_ = true; }
  /// Tells `done` whether a process listens at an endpoint, once connections
  /// that it closed before its listener are closed.
  auto probe(const socket_address& endpoint, state_handler done) -> void;
  /// Tells whether a process still listens at an endpoint: `done` gets true if
  /// the endpoint has crashed, false if it has not or cannot be reached.
  auto detect_crash(const socket_address& endpoint, result_handler done)
      -> void;
  /// Checks the endpoints of an interrupted dispatch, records a crash against
  /// the request and tells `done` the worst state of their listeners: refused
  /// before unknown before listening.
  auto attribute(const interrupted_request& request, const chain& stages,
                 const state_handler& done) -> void;
  /// Records a crash that is known already.
  auto record_crash(const interrupted_request& request,
                    const endpoint_view& endpoint) -> void;
  /// Records that an endpoint ran the request to the end.
  auto record_survival(std::uint64_t fingerprint) -> void;
  /// Records that an endpoint runs requests with these parts of their prompts.
  auto record_part_survivals(const std::vector<std::uint64_t>& parts) -> void;

 private:
  auto charge(const interrupted_request& request, const endpoint_view& endpoint)
      -> void;
  auto record_part_crash(const interrupted_request& request, std::uint64_t part,
                         const endpoint_view& endpoint) -> void;
  /// Notes when the endpoint was first seen to have crashed, and returns that.
  auto first_seen_crashed(const endpoint_view& endpoint) -> instant;

  event_loop& loop_;
  crash_guard& guard_;
  metrics& metrics_;
  report_sink report_;
  listener_prober prober_;
  std::map<std::string, instant> crashed_at_;  // by id and incarnation
  bool disabled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pollenloft

#endif
