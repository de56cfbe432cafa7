/// \file vm_relay.hpp
/// The other entry VMs to which this VM relays its callers' requests while it
/// is cut off from all endpoints. A request is relayed once: the VM that gets
/// it dispatches it to endpoints, or refuses it.
#ifndef POLLENLOFT_VM_RELAY_HPP
#define POLLENLOFT_VM_RELAY_HPP

#include <memory>
#include <string>
#include <vector>

#include "control_client.hpp"
#include "pollenloft/route.hpp"
#include "reach_monitor.hpp"

namespace pollenloft {

/// Header of a relayed request: the key of the VM that gets it, which only VMs
/// learn, from the leader.
inline constexpr auto relay_key_header = "Pollenloft-Relay-Key";
/// Header of a relayed request: attempts at endpoints that are left.
inline constexpr auto relay_attempts_header = "Pollenloft-Relay-Attempts";
/// Header of a response to a relayed request that has not run and will not.
inline constexpr auto relay_refused_header = "Pollenloft-Relay-Refused";
/// Values of that header: whether another VM may take the request.
inline constexpr auto relay_refused_here = "here";
inline constexpr auto relay_refused_anywhere = "anywhere";

/// Header of a relayed answer of an endpoint that leaves: `ID INCARNATION`.
inline constexpr auto relay_leaving_header = "Pollenloft-Relay-Leaving";

/// The headers without those between VMs, which neither callers nor endpoints
/// may set or see.
auto without_relay_headers(const http_headers& headers) -> http_headers;

/// The terms of a relayed request.
struct relay_terms {
  std::size_t attempts = 1;  ///< at endpoints
};
/// Empty if the request does not carry `key`.
auto parse_relay_terms(const http_headers& headers, const std::string& key)
    -> std::optional<relay_terms>;

/// Value of the header that names an endpoint that leaves.
auto format_relay_leaving(const endpoint_view& endpoint) -> std::string;
/// Empty unless the answer names an endpoint that leaves.
auto parse_relay_leaving(const http_headers& headers)
    -> std::optional<endpoint_process>;

/// A random key.
auto make_relay_key() -> std::string;

/// Another VM as the target of a dispatch.
struct relay_peer {
  std::shared_ptr<const endpoint_view> view;
  std::string key;
};

class vm_relay {
 public:
  vm_relay(control_client& control, reach_monitor& reach);
  vm_relay(const vm_relay&) = delete;
  auto operator=(const vm_relay&) -> vm_relay& = delete;

  /// The next peer; empty unless this VM is cut off and knows one.
  auto choose() -> std::optional<relay_peer>;
  /// Drops a peer that refused a request or could not be reached.
  auto drop(const std::string& id) -> void;
  /// Fetches peers while this VM is cut off; called often.
  auto tick() -> void;

  /// Emitted when requests may be relayed or dispatched again.
  sigc::signal<void()> changed;

 private:
  auto fetch() -> void;

  control_client& control_;
  reach_monitor& reach_;
  std::vector<relay_peer> peers_;
  std::size_t next_ = 0;
  instant fetched_at_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pollenloft

#endif
