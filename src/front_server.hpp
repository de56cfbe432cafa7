/// \file front_server.hpp
/// The platform's front of an entry VM: accepts callers' requests, chooses
/// their service and endpoints, and queues or refuses them.
#ifndef POLLENLOFT_FRONT_SERVER_HPP
#define POLLENLOFT_FRONT_SERVER_HPP

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "control_client.hpp"
#include "front_request.hpp"
#include "reach_monitor.hpp"

namespace pollenloft {

struct front_options {
  socket_address listen;
  socket_address readiness;
  std::string zone;
  route_options routing;
  std::uint64_t seed = 1;
  double retry_ratio = 0.2;  ///< retries for each request
  double retry_slack = 50;   ///< additional retries, over all entry VMs
  /// Takes requests that other VMs relay; none if it is empty.
  std::optional<socket_address> relay_listen;
  std::string relay_key;
  /// For checks only: replaces the host of each endpoint unless it is empty.
  std::string endpoint_host;
  /// Compares endpoints by the predicted work of their requests.
  bool weighs_work = true;
  std::size_t max_queued = 500;
  std::size_t max_deferred = 500;
  /// Time within which an accepted document must be in force on every entry VM.
  milliseconds document_apply_time{2000};
  /// Time between reporting not ready and refusing new requests.
  milliseconds drain_notice{1000};
};

class front_server : public front_host {
 public:
  front_server(event_loop& loop, front_options options, http_client& client,
               control_client& control, crash_monitor& crashes,
               const chart& request_chart, metrics& registry);

  /// Listens; empty, see `last_error`, if an address cannot be bound.
  auto start() -> std::optional<bool>;
  /// Reports not ready. New requests are still served until the drain notice
  /// has passed.
  auto drain() -> void;
  auto open_requests() const -> std::size_t {
    return requests_.size() + deferred_.size();
  }
  /// Ends all open and deferred requests with a final response and refuses new
  /// ones.
  auto end_open_requests() -> void;

  auto loop() -> event_loop& override { return loop_; }
  auto client() -> http_client& override { return client_; }
  auto control() -> control_client& override { return control_; }
  auto metrics_registry() -> metrics& override { return metrics_; }
  auto routes() -> router& override { return router_; }
  auto crashes() -> crash_monitor& override { return crashes_; }
  auto reach() -> reach_monitor& override { return reach_; }
  auto relay() -> vm_relay& override { return relay_; }
  auto draining() const -> bool override { return draining_; }
  auto fail_over_from(const std::string& id) -> bool override;
  auto weighs_work() const -> bool override { return options_.weighs_work; }
  auto enqueue(const front_request_ptr& request, bool requeued)
      -> void override;
  auto dequeue(const front_request_ptr& request) -> void override;
  auto slot_released(const front_request_ptr& request, double cost)
      -> void override;
  auto request_ended(const front_request_ptr& request) -> void override;

 private:
  auto handle_request(const exchange_ptr& call, instant arrived) -> void;
  /// Handles a request that another VM has relayed.
  auto handle_relayed(const exchange_ptr& call) -> void;
  /// Defers a request until the document changes or is confirmed. It is refused
  /// with `reason` if that takes too long.
  auto defer(const exchange_ptr& call, instant arrived,
             const std::string& reason) -> void;
  auto resume_deferred() -> void;
  auto handle_confirmation() -> void;
  auto newest_document_in_use() const -> bool;
  /// Whether keys may be accepted by the document in use.
  auto document_fresh() const -> bool;
  /// Whether the document is known to be the newest.
  auto document_current() const -> bool;
  /// Age of the document in milliseconds for the log; -1 if there is none.
  auto document_age_ms() const -> std::int64_t;
  auto refuse_as_unknown(const exchange_ptr& call, instant arrived, int status,
                         const std::string& reason) -> void;
  auto refuse_expired_deferred(instant now) -> void;
  auto handle_readiness(const exchange_ptr& call) -> void;
  auto ready() const -> bool;
  auto refuse(const exchange_ptr& call, int status, const std::string& reason,
              milliseconds retry_after = std::chrono::seconds(1)) -> void;
  /// Refuses a request that crashed endpoints; false if it may run.
  auto refuse_poison(const exchange_ptr& call, const front_parameters& params)
      -> bool;
  auto start_request(const exchange_ptr& call, front_parameters params) -> void;
  /// Whether the newest known document still allows the request.
  auto still_authorized(const front_request& request) const -> bool;
  auto apply_document() -> void;
  auto apply_endpoints(const std::vector<wire::endpoint_record>& records)
      -> void;
  auto apply_record(const wire::endpoint_record& record) -> void;
  auto remove_endpoint(const std::string& id) -> void;
  auto dispatch_queued() -> void;
  auto update_cross_zone_rate() -> void;
  auto dispatch_queue(fair_queue& queue, instant now) -> void;
  /// Logs why no chain was found for a request.
  auto log_shortage(const front_request& request, instant now) const -> void;
  auto refuse_overdue(instant now) -> void;
  /// Refuses a queued request that nothing but statements of endpoints holds up
  /// for longer than it may wait; false if it stays.
  auto refuse_held_up(const front_request_ptr& request, instant now) -> bool;
  auto tick() -> void;

  struct deferred_call {
    exchange_ptr call;
    instant arrived;
    instant due;
    std::string reason;
  };

  event_loop& loop_;
  front_options options_;
  http_client& client_;
  control_client& control_;
  crash_monitor& crashes_;
  const chart& chart_;
  metrics& metrics_;
  http_server server_;
  http_server readiness_;
  http_server relay_server_;
  router router_;
  reach_monitor reach_;
  vm_relay relay_;
  random_source random_;
  std::map<std::string, retry_budget> retry_budgets_;  // by service
  std::shared_ptr<const route_table> route_table_;
  std::map<std::string, wire::endpoint_record> directory_;
  service_queues queues_;
  posted_task dispatch_task_;
  posted_task resume_task_;
  std::unordered_map<request_id, front_request_ptr> requests_;
  std::deque<deferred_call> deferred_;  // oldest first
  request_id next_request_ = 0;
  timer tick_timer_;
  bool draining_ = false;
  bool refusing_new_ = false;  // after the drain notice
  timer drain_timer_;
};

}  // namespace pollenloft

#endif
