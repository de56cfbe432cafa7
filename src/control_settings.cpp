#include "control_settings.hpp"

#include <iostream>

namespace pollenloft {

namespace {

/// Share of the link that bulk transfers may use; replication and heartbeats
/// need the rest.
constexpr double bulk_link_share = 0.5;

}  // namespace

auto control_settings() -> const std::vector<setting>& {
  static const std::vector<setting> known_settings{
      {"id", "0", number_range{0, UINT32_MAX},
       "number of this replica, a key of --peers; 0 derives it from the "
       "address"},
      {"listen", "", required_address{}, "address to serve on"},
      {"peers", "", named_address_list{}, "all replicas, id=a.b.c.d:port,..."},
      {"seeds", "", socket_address_list{},
       "instead of --peers: VMs that form the initial group; their replicas "
       "listen on the port of --listen and are numbered by their addresses"},
      {"bootstrap", "true", one_of{{"true", "false"}},
       "whether replicas with empty disks may form a new cluster"},
      {"tolerate-losses", "1", number_range{0, 9},
       "number n of replicas that may be lost at once with their disks; with "
       "--seeds the group grows to 2n + 1 replicas"},
      {"platform-listen", "", optional_address{},
       "address for the platform's operators and endpoints"},
      {"link-mbps", "1000", decimal_range{0.1, 1000000},
       "bandwidth of this VM's link; bulk transfers use up to half of it"},
      {"metrics-listen", "", optional_address{},
       "additional address that serves /metrics"},
      {"memory-mb", "0", decimal_range{0, 1000000},
       "memory of this VM; limits what requests and unread responses may hold, "
       "0 if it is not known"},
      {"max-fds", "0", decimal_range{0, 10000000},
       "file descriptors of this process; callers' connections use up to half "
       "of them, 0 if they are not known"},
      {"report-period-ms", "1200", decimal_range{50, 600000},
       "interval of the platform endpoints' reports"},
      {"data", "", nonempty_text{}, "directory of the replicated log"},
      {"lease-ms", "1500", number_range{300, 60000},
       "duration of a configuration lease"},
      {"heartbeat-ms", "100", number_range{10, 5000},
       "interval of the leader's heartbeats"},
      {"election-ms", "300", number_range{50, 30000},
       "minimum election timeout; at most half the lease"},
      {"switch-off", "none", one_of{{"none", "lease-wait"}},
       "for checks only: disables one mechanism, so that its check must fail"},
      {"log-level", "info", one_of{{"debug", "info", "warning", "error"}},
       "minimum level to log"}};
  return known_settings;
}

auto validate_control_settings(const settings& values) -> bool {
  auto valid = true;
  const auto listed =
      values.named_addresses("peers").count(values.text("id")) != 0;
  if (values.address_list("seeds").empty() && !listed) {
    std::cerr << "setting=id value=\"" << values.text("id")
              << "\" allowed=\"a key of --peers, or --seeds\"\n";
    valid = false;
  }
  if (2 * values.millis("election-ms") > values.millis("lease-ms")) {
    std::cerr << "setting=election-ms value=\"" << values.text("election-ms")
              << "\" allowed=\"at most half of lease-ms\"\n";
    valid = false;
  }
  return valid;
}

auto own_replica_id(const settings& values) -> replica_id {
  const auto id = static_cast<replica_id>(values.number("id"));
  return id != 0 ? id : ipv4_number(values.address("listen").host);
}

auto bulk_bytes_per_second(const settings& values) -> double {
  constexpr double bytes_per_megabit = 1e6 / 8;
  return bulk_link_share * bytes_per_megabit * values.decimal("link-mbps");
}

auto replica_ids(const std::vector<socket_address>& addresses)
    -> std::vector<replica_id> {
  std::vector<replica_id> ids;
  for (const auto& address : addresses)
    ids.push_back(ipv4_number(address.host));
  return ids;
}

auto make_membership_options(const settings& values) -> membership_options {
  membership_options options;
  options.id = own_replica_id(values);
  options.seeds = replica_ids(values.address_list("seeds"));
  options.full_size =
      static_cast<std::size_t>(2 * values.number("tolerate-losses") + 1);
  return options;
}

auto make_replica_options(const settings& values) -> replica_options {
  replica_options options;
  options.id = own_replica_id(values);
  options.members = replica_ids(values.address_list("seeds"));
  options.min_copies =
      static_cast<std::size_t>(values.number("tolerate-losses")) + 1;
  options.allow_bootstrap = values.flag("bootstrap");
  for (const auto& [id, address] : values.named_addresses("peers"))
    options.members.push_back(
        static_cast<replica_id>(parse_number(id).value_or(0)));
  options.heartbeat = values.millis("heartbeat-ms");
  options.election_min = values.millis("election-ms");
  options.election_max = 2 * options.election_min;
  options.resend_after = options.election_max;
  options.seed = static_cast<std::uint64_t>(
      boottime_clock::now().time_since_epoch().count());
  return options;
}

}  // namespace pollenloft
