#include "control_settings.hpp"

namespace pollenloft {

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

}  // namespace pollenloft
