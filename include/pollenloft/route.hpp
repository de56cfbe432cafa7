/// \file route.hpp
/// Chooses the chain of runners for a request: least predicted completion
/// time from own outstanding work, reported load discounted by its age, and
/// costs learned per accelerator kind, endpoint and link. Pure.
#ifndef POLLENLOFT_ROUTE_HPP
#define POLLENLOFT_ROUTE_HPP

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

/// An endpoint as the router sees it. A plain endpoint holds layers [0, 1).
struct endpoint_view {
  std::string id;
  std::string incarnation;
  socket_address address;
  std::string kind;
  std::string zone;
  std::string pipeline;
  std::int32_t first_layer = 0;
  std::int32_t last_layer = 1;  ///< one past the last
  std::int32_t slots = 1;       ///< requests it takes at once
  duration layer_time{};        ///< known for its kind; 0 if it must be learned
  double kv_utilization =
      0;                ///< share of its memory for requests that is taken
  double slowdown = 1;  ///< above 1 it is so many times slower than its kind
  double kv_capacity_tokens =
      0;  ///< tokens of requests that fit; 0 if not known
};

/// One step of a chain: the endpoint runs layers [from, to).
struct chain_stage {
  std::shared_ptr<const endpoint_view> endpoint;
  std::int32_t from = 0;
  std::int32_t to = 1;
};
using chain = std::vector<chain_stage>;

/// What an endpoint said of its load at the end of an answer.
struct load_report {
  std::string endpoint;
  double running = 0;     ///< requests in its batch and queue, all callers
  duration layer_time{};  ///< for one layer of one token, in the batch
  duration link_time{};   ///< to the next stage
};

/// How a dispatch ended for an endpoint.
enum class dispatch_result {
  served,
  refused,   ///< no place; nothing ran
  failed,    ///< broke off; ejected after several in a row
  stalled,   ///< stood still on some stage, unknown which; counts for all
  down,      ///< crashed, unreachable or leaving; ejected at once
  abandoned  ///< given up by this side
};

/// Ways to choose a chain.
struct policy_predicted {};
struct policy_least_outstanding {};
struct policy_round_robin {};
using route_policy = std::variant<policy_predicted, policy_least_outstanding,
                                  policy_round_robin>;

/// Reads `predicted`, `least-outstanding` or `round-robin`.
auto parse_policy(const std::string& name) -> std::optional<route_policy>;

struct route_options {
  route_policy policy = policy_predicted{};
  double max_ejected_fraction =
      0.3;  ///< most endpoints of a range ejected at once
  duration base_eject_time = std::chrono::seconds(1);
  duration report_half_life = milliseconds(500);
  std::size_t candidates_per_range =
      4;             ///< endpoints compared for each layer range
  std::string zone;  ///< of this VM; callers are near
  /// What a chain that starts in another zone counts as: only the answer
  /// crosses.
  duration remote_zone_penalty{};
  /// Runners whose memory is this full get no new requests.
  double max_kv_utilization = 0.9;
  /// Whether chains of unlike endpoints cost extra.
  bool penalize_mismatch = true;
};

struct chain_request {
  std::string pipeline;
  std::int32_t layers = 1;
  bool poison_suspect = false;  ///< was on an endpoint that crashed
  const std::set<std::string>* avoid = nullptr;  ///< endpoint ids
  double reserved_slot_share =
      0;              ///< share of each endpoint's places left to others
  double tokens = 0;  ///< prompt and likely answer
  /// Activations that a crossing between zones carries for this request.
  double cross_zone_mb = 0;
  bool allow_ejected = false;  ///< set by the router itself
  bool single_zone = false;    ///< set by the router itself
};

/// Why a zone has no free chain: the first layer that none reaches and what
/// keeps its holders from taking the request. A holder counts once.
struct chain_shortage {
  std::int32_t layer = 0;
  int holders = 0;
  int ejected = 0;
  int backing_off = 0;   ///< had no place a moment ago
  int kv_full = 0;       ///< memory for requests
  int no_free_slot = 0;  ///< this VM's places are taken
  int avoided = 0;       ///< by this request
};

class router {
 public:
  router(route_options options, std::uint64_t seed);
  ~router();
  router(const router&) = delete;
  auto operator=(const router&) -> router& = delete;

  /// Adds an endpoint or replaces an earlier incarnation.
  auto upsert(const endpoint_view& endpoint) -> void;
  /// No new work goes to this endpoint.
  auto remove(const std::string& id) -> void;
  /// VMs that share the endpoints' slots with this one.
  auto set_vm_count(std::size_t vms) -> void;
  /// This VM's part of the links between zones. All activations share them, so
  /// that chains which cross are for layers that no zone holds whole.
  auto set_cross_zone_rate(double mb_per_s) -> void;

  /// A chain over [0, layers) with a free place on every stage, or empty.
  auto choose(const chain_request& request, instant now)
      -> std::optional<chain>;
  /// The same, but endpoints that the request avoids are better than none.
  auto choose_with_fallback(chain_request request, instant now)
      -> std::optional<chain>;
  /// What kept `choose` from finding a chain, by availability zone.
  auto shortages(const chain_request& request, instant now) const
      -> std::map<std::string, chain_shortage>;
  /// The chain with other endpoints in place of one that is lost; empty if
  /// nobody else can take its part.
  auto replace_stage(const chain& stages, const std::string& lost,
                     const chain_request& request, instant now)
      -> std::optional<chain>;
  /// The request of so many tokens was sent along `stages`.
  auto dispatch_started(const chain& stages, bool suspect, double tokens,
                        instant now) -> void;
  /// The dispatch has ended. `at_fault` names the endpoint that a failure or
  /// refusal came from; the others are not held to it.
  auto dispatch_ended(const chain& stages, bool suspect, dispatch_result result,
                      const std::string& at_fault, instant now) -> void;
  auto learn(const std::vector<load_report>& reports, const chain& stages,
             instant now) -> void;
  /// Predicted time for one token over the chain, all stages and links.
  auto token_time(const chain& stages) const -> duration;
  auto size() const -> std::size_t;
  auto contains(const std::string& id) const -> bool;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pollenloft

#endif
