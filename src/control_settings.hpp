/// \file control_settings.hpp
/// The settings of a control VM, and the options that follow from them.
#ifndef POLLENLOFT_CONTROL_SETTINGS_HPP
#define POLLENLOFT_CONTROL_SETTINGS_HPP

#include <vector>

#include "membership.hpp"
#include "pollenloft/replica.hpp"
#include "pollenloft/settings.hpp"

namespace pollenloft {

auto control_settings() -> const std::vector<setting>&;
/// Checks settings that depend on each other; names the wrong ones on the
/// standard error stream.
auto validate_control_settings(const settings& values) -> bool;

auto own_replica_id(const settings& values) -> replica_id;
/// Replicas that are not in --peers are numbered by their IPv4 address.
auto replica_ids(const std::vector<socket_address>& addresses)
    -> std::vector<replica_id>;
auto make_replica_options(const settings& values) -> replica_options;
auto make_membership_options(const settings& values) -> membership_options;
auto bulk_bytes_per_second(const settings& values) -> double;

}  // namespace pollenloft

#endif
