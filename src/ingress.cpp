#include "pollenloft/ingress.hpp"

#include <algorithm>
#include <cctype>

namespace pollenloft {

namespace {

/// Host names ignore case and the port.
auto host_key(std::string_view host) -> std::string {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return key;
}

}  // namespace

route_table::route_table(std::shared_ptr<const ingress_config> config)
    : config_(std::move(config)) {
  for (std::size_t i = 0; i < config_->routes.size(); ++i) {
    const auto& route = config_->routes[i];
    hosts_[host_key(route.host)].emplace(route.prefix, i);
  }
}

auto route_table::find(std::string_view host, std::string_view path) const
    -> const ingress_route* {
  const auto routes = hosts_.find(host_key(host));
  if (routes == hosts_.end()) return nullptr;
  // Prefixes end with a slash, so each of the path's slashes may end one.
  for (auto at = path.rfind('/'); at != std::string_view::npos;
       at = at == 0 ? std::string_view::npos : path.rfind('/', at - 1)) {
    const auto found = routes->second.find(std::string(path.substr(0, at + 1)));
    if (found != routes->second.end()) return &config_->routes[found->second];
  }
  return nullptr;
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
  double sum = 0;
  for (const auto& share : route.weighted_services)
    sum += share.weight;
  auto left = draw * sum;
  for (const auto& share : route.weighted_services) {
    left -= share.weight;
    if (left < 0 && share.weight > 0) return share.service;
  }
  // Rounding can leave a little: the last share with any weight takes it.
  const auto last = std::find_if(
      route.weighted_services.rbegin(), route.weighted_services.rend(),
      [](const auto& share) { return share.weight > 0; });
  return last->service;
}

}  // namespace pollenloft
