/// \file route.hpp
/// Chooses the chain of runners for a request by least predicted completion
/// time. The prediction combines this VM's outstanding requests, reported load
/// discounted by its age, and costs learned per accelerator kind, endpoint and
/// link. Does no I/O and reads no clock.
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
#include "pollenloft/limit.hpp"
#include "pollenloft/notice.hpp"

namespace pollenloft {

/// An endpoint as the router sees it. A plain endpoint holds layers [0, 1).
struct endpoint_view {
  std::string id;
  std::string incarnation;
  socket_address address;
  std::string kind;  ///< of its accelerator
  std::string zone;
  std::string pipeline;
  std::int32_t first_layer = 0;
  std::int32_t last_layer = 1;  ///< one past the last
  std::int32_t slots = 1;       ///< maximum number of concurrent requests
  duration layer_time{};        ///< for one layer of one token; 0 if unknown
  double kv_utilization = 0;    ///< used share of the KV cache, in [0, 1]
  double slowdown = 1;  ///< step time relative to other runners of `kind`
  double kv_capacity_tokens = 0;  ///< KV-cache capacity; 0 if unknown
};

/// One stage of a chain: the endpoint runs layers [from, to).
struct chain_stage {
  std::shared_ptr<const endpoint_view> endpoint;
  std::int32_t from = 0;
  std::int32_t to = 1;
};
using chain = std::vector<chain_stage>;

/// Load that an endpoint reports at the end of a response.
struct load_report {
  std::string endpoint;
  double running = 0;     ///< requests in its batch and queue, of all callers
  duration layer_time{};  ///< for one layer of one token, in the batch
  duration link_time{};   ///< to the next stage
};

/// How a dispatch ended for an endpoint.
enum class dispatch_result {
  served,
  refused,   ///< no free slot; nothing ran
  failed,    ///< interrupted; consecutive failures eject the endpoint
  stalled,   ///< no progress on an unknown stage; counts as a failure of all
  down,      ///< crashed, unreachable or leaving; ejected immediately
  abandoned  ///< cancelled by this VM
};

/// Policies for choosing a chain.
struct policy_predicted {};
struct policy_least_outstanding {};
struct policy_round_robin {};
using route_policy = std::variant<policy_predicted, policy_least_outstanding,
                                  policy_round_robin>;

/// Parses `predicted`, `least-outstanding` or `round-robin`.
auto parse_policy(const std::string& name) -> std::optional<route_policy>;

struct route_options {
  route_policy policy = policy_predicted{};
  /// Largest share of a pipeline's endpoints that failures and stalls eject at
  /// the same time.
  double max_ejected_fraction = 0.3;
  duration base_eject_time = std::chrono::seconds(1);
  duration report_half_life = milliseconds(500);
  /// Endpoints compared for each layer range.
  std::size_t candidates_per_range = 4;
  /// The same while one zone is searched. All VMs have the same reports, so
  /// more would make them choose alike.
  std::size_t candidates_per_zone = 2;
  std::string zone;  ///< availability zone of this VM; its callers are near
  /// Cost of a chain that starts in another zone. Only the response crosses
  /// zones then.
  duration remote_zone_penalty{};
  /// Runners at or above this KV-cache utilization get no new requests.
  double max_kv_utilization = 0.9;
  /// Whether chains of endpoints with different speeds cost extra.
  bool penalize_mismatch = true;
};

struct chain_request {
  std::string pipeline;
  std::int32_t layers = 1;
  bool poison_suspect = false;  ///< was on an endpoint that crashed
  const std::set<std::string>* avoid = nullptr;  ///< endpoint ids
  /// Share of each endpoint's slots kept free for other requests.
  double reserved_slot_share = 0;
  /// Share of each endpoint's KV cache kept free for more urgent requests.
  double kv_headroom = 0;
  double tokens = 0;  ///< prompt and expected output
  /// Activations that one cross-zone transfer carries for this request, in MB.
  double cross_zone_mb = 0;
  bool allow_ejected = false;              ///< set by the router itself
  const std::string* only_zone = nullptr;  ///< set by the router itself
};

/// Why a zone has no free chain: the first layer that no usable endpoint
/// covers, and what keeps its holders from taking the request. A holder counts
/// under one reason at most.
struct chain_shortage {
  std::int32_t layer = 0;
  int holders = 0;
  int ejected = 0;
  int backing_off = 0;   ///< refused a request recently
  int kv_full = 0;       ///< KV cache is full
  int no_free_slot = 0;  ///< this VM uses all of its slots there
  int no_permit = 0;     ///< limits its requests; this VM has no permit
  int paused = 0;        ///< wants no requests of this VM now
  int leaving = 0;       ///< said that it leaves
  /// Until the first holder without a permit or in a pause may be tried.
  std::optional<duration> wait{};
  int avoided = 0;  ///< excluded by this request
};

/// Nothing but what endpoints state keeps a request from being sent.
struct stated_wait {
  duration time{};      ///< until an endpoint may be tried
  bool paused = false;  ///< by pauses alone, not by request limits
};

class router {
 public:
  router(route_options options, std::uint64_t seed);
  ~router();
  router(const router&) = delete;
  auto operator=(const router&) -> router& = delete;

  /// Adds an endpoint, refreshes its status or replaces an earlier incarnation.
  auto upsert(const endpoint_view& endpoint) -> void;
  /// Sends no new requests to this endpoint.
  auto remove(const std::string& id) -> void;
  /// Number of VMs that share the endpoints' slots, including this one.
  auto set_vm_count(std::size_t vms) -> void;
  /// Number of VMs that choose chains by the same reports, including this one.
  auto set_choosing_vms(std::size_t vms) -> void;
  /// Permits for endpoints that limit their requests. `limiter` must outlive
  /// the router.
  auto set_limiter(request_limiter& limiter) -> void;
  /// Endpoints that leave or pause. `notices` must outlive the router.
  auto set_notices(notice_register& notices) -> void;
  /// This VM's share of the bandwidth between zones, in MB/s. All activations
  /// share these links, so cross-zone chains are kept for layer ranges that no
  /// zone holds completely.
  auto set_cross_zone_rate(double mb_per_s) -> void;

  /// A chain over layers [0, `request.layers`) with a free slot on every
  /// stage; empty, see `last_error`, if there is none. Uses a permit of each
  /// stage that limits its requests.
  auto choose(const chain_request& request, instant now)
      -> std::optional<chain>;
  /// Like `choose`, but falls back on endpoints that the request avoids.
  auto choose_with_fallback(chain_request request, instant now)
      -> std::optional<chain>;
  /// Why `choose` found no chain, by availability zone.
  auto shortages(const chain_request& request, instant now) const
      -> std::map<std::string, chain_shortage>;
  /// How long nothing but limits and pauses of endpoints keeps `choose` from
  /// finding a chain; empty if there is another reason.
  auto wait_for_endpoints(const chain_request& request, instant now) const
      -> std::optional<stated_wait>;
  /// The chain with other endpoints in place of `failed_endpoint`; empty if
  /// no endpoint can take over its layer range. Uses permits of new stages.
  auto replace_stage(const chain& stages, const std::string& failed_endpoint,
                     const chain_request& request, instant now)
      -> std::optional<chain>;
  /// Records that a request of `tokens` tokens was sent along `stages`.
  auto dispatch_started(const chain& stages, bool poison_suspect, double tokens,
                        instant now) -> void;
  /// Records the end of a dispatch. `failed_endpoint` is the endpoint that
  /// failed or refused; the result is not held against the other stages,
  /// except for a stall.
  auto dispatch_ended(const chain& stages, bool poison_suspect,
                      dispatch_result result,
                      const std::string& failed_endpoint, instant now) -> void;
  /// Changes what is left to do for a request in flight, where 1 is the work of
  /// a mean request, with which each dispatch starts.
  auto change_work(const chain& stages, double difference) -> void;
  /// Updates load and learned costs from reports, one for each stage in order.
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
