#include "pollenloft/ingress.hpp"

#include <algorithm>
#include <cctype>

namespace pollenloft {

namespace {

/// Normalizes a host name: lower case, without the port.
auto normalized_host(std::string_view host) -> std::string {
  std::string normalized(host.substr(0, host.find(':')));
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return normalized;
}

}  // namespace

route_table::route_table(std::shared_ptr<const ingress_config> config)
    : config_(std::move(config)) {
  for (std::size_t i = 0; i < config_->routes.size(); ++i) {
    const auto& route = config_->routes[i];
    hosts_[normalized_host(route.host)].emplace(route.prefix, i);
    for (const auto& each : route.weighted_services)
      priorities_[each.service].insert(route.priority);
  }
}

auto route_table::find(std::string_view host, std::string_view path) const
    -> const ingress_route* {
  const auto routes = hosts_.find(normalized_host(host));
  if (routes == hosts_.end()) return nullptr;
  // Prefixes end with a slash, so only slashes of the path can end a match.
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto found =
        routes->second.find(std::string(path.substr(0, slash + 1)));
    if (found != routes->second.end()) return &config_->routes[found->second];
  }
  return nullptr;
}

auto route_table::less_urgent_by(const std::string& service,
                                 std::int32_t priority) const -> int {
  const auto known = priorities_.find(service);
  if (known == priorities_.end()) return 0;
  return static_cast<int>(std::distance(known->second.begin(),
                                        known->second.lower_bound(priority)));
}

auto route_table::account_of(const std::string& key) const
    -> const ingress_account* {
  const auto found = config_->account_by_key.find(key);
  return found == config_->account_by_key.end()
             ? nullptr
             : &config_->accounts[found->second];
}

auto pick_service(const ingress_route& route, double draw)
    -> const std::string& {
  double total_weight = 0;
  for (const auto& candidate : route.weighted_services)
    total_weight += candidate.weight;
  auto remaining = draw * total_weight;
  for (const auto& candidate : route.weighted_services) {
    remaining -= candidate.weight;
    if (remaining < 0 && candidate.weight > 0) return candidate.service;
  }
  // Rounding can leave a remainder, which goes to the last service with a
  // weight above 0.
  const auto last = std::find_if(
      route.weighted_services.rbegin(), route.weighted_services.rend(),
      [](const auto& candidate) { return candidate.weight > 0; });
  return last->service;
}

}  // namespace pollenloft
