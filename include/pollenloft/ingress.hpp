/// \file ingress.hpp
/// The request side of a configuration document: routes by host and path,
/// services, client accounts and their API keys. Does no I/O.
#ifndef POLLENLOFT_INGRESS_HPP
#define POLLENLOFT_INGRESS_HPP

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

/// Whether a route's requests may be sent more than once.
enum class request_kind {
  idempotent,      ///< may run more than once
  non_idempotent,  ///< runs at most once
  stream           ///< answered by events; repeated only if resumable
};

/// A service and its weight among the services of a route.
struct weighted_service {
  std::string service;
  double weight = 1;
};

struct ingress_route {
  std::string name;
  std::string host;    ///< compared without case and port
  std::string prefix;  ///< of the path
  request_kind kind = request_kind::non_idempotent;
  bool resumable = false;   ///< streams may resume at another endpoint
  bool is_public = false;   ///< needs no API key
  milliseconds timeout{0};  ///< longest time to the deadline, from the arrival
  /// For the first event of a stream, or the complete response otherwise.
  milliseconds latency_objective{0};
  /// Longest pause between the events of a stream that meets its objective.
  milliseconds max_event_gap{0};
  std::int32_t priority = 1;     ///< 0 goes first
  std::size_t max_attempts = 1;  ///< for one request
  std::vector<weighted_service> weighted_services;

  auto may_repeat() const -> bool {
    return kind == request_kind::idempotent ||
           (kind == request_kind::stream && resumable);
  }
};

/// A kind of accelerator and its speed relative to the profile's times.
struct accelerator {
  double memory_mb = 0;
  double step_factor = 1;     ///< multiplies the time of a decode step
  double prefill_factor = 1;  ///< multiplies the prefill time of a token
};

/// Sizes and times of a service's model, for all layers on an accelerator whose
/// factors are 1.
struct engine_profile {
  std::string model;
  std::int32_t layers = 1;
  double layer_mb = 0;
  double kv_bytes_per_token = 0;          ///< over all layers
  double activation_bytes_per_token = 0;  ///< between two consecutive runners
  double zone_link_mbps = 0;  ///< shared by all traffic between two zones
  double step_ms = 0;
  double step_ms_per_sequence = 0;
  double step_ms_per_context_k = 0;  ///< per 1,000 tokens of context
  double prefill_tokens_per_s = 1;
  double typical_prompt_tokens = 0;
  double typical_output_tokens = 0;
  duration load_time{};  ///< of all layers
  std::size_t max_concurrent_loads = 1;
  std::map<std::string, accelerator> accelerators;
};

struct ingress_service {
  std::string name;
  std::optional<engine_profile> engine;  ///< empty for a plain service
};

struct ingress_account {
  std::string name;
  std::optional<std::int32_t> priority;  ///< overrides the route's
};

/// Limits on the size of requests and on how long a caller may be idle.
struct ingress_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
};

/// A decoded configuration document.
struct ingress_config {
  std::int64_t number = 0;  ///< version of the document
  std::vector<ingress_route> routes;
  std::map<std::string, ingress_service> services;  ///< by name
  bool has_accounts = false;                        ///< requests need API keys
  std::vector<ingress_account> accounts;
  /// Index into `accounts`, by API key.
  std::unordered_map<std::string, std::size_t> account_by_key;
  ingress_limits limits;
};

/// Looks up routes and accounts of one document:
///
///     route_table table(config);
///     if (const auto* route = table.find("api.example", "/chat/1")) ...
class route_table {
 public:
  explicit route_table(std::shared_ptr<const ingress_config> config);

  auto config() const -> const ingress_config& { return *config_; }
  /// The route of this host with the longest matching path prefix, or null.
  auto find(std::string_view host, std::string_view path) const
      -> const ingress_route*;
  /// Number of priorities of the service's routes that go before this one.
  auto less_urgent_by(const std::string& service, std::int32_t priority) const
      -> int;
  /// The account of an API key, or null.
  auto account_of(const std::string& key) const -> const ingress_account*;

 private:
  std::shared_ptr<const ingress_config> config_;
  /// Indices of routes, by host and path prefix.
  std::unordered_map<std::string, std::map<std::string, std::size_t>> hosts_;
  std::unordered_map<std::string, std::set<std::int32_t>>
      priorities_;  // of routes, by service
};

/// The service for a request, chosen by weight; `draw` is uniform in [0, 1).
auto pick_service(const ingress_route& route, double draw)
    -> const std::string&;

}  // namespace pollenloft

#endif
