/// \file operator_views.hpp
/// JSON views of the control role's state for operators.
#ifndef POLLENLOFT_OPERATOR_VIEWS_HPP
#define POLLENLOFT_OPERATOR_VIEWS_HPP

#include <nlohmann/json_fwd.hpp>

#include "pollenloft/control.hpp"

namespace pollenloft {

/// The patches still kept, oldest first: version, id, patch.
auto history_view(const control_state& state) -> nlohmann::json;

/// The audit trail, oldest first: at_ms, who, what, base, version, result.
auto audit_view(const control_state& state) -> nlohmann::json;

/// The requests with at least two recorded crashes, by fingerprint: account,
/// points, held_back, crashed endpoints, last_crash_ms.
auto crashes_view(const crash_ledger& crashes) -> nlohmann::json;

/// All known endpoints: id, service, kind, zone, address, layers, owner,
/// unreachable, state.
auto endpoints_view(const endpoint_directory& directory,
                    const lease_table& leases, instant now) -> nlohmann::json;

/// The VMs that hold a lease, by name: version, zone, address, draining and the
/// remaining lease in milliseconds.
auto vms_view(const lease_table& leases, instant now) -> nlohmann::json;

}  // namespace pollenloft

#endif
