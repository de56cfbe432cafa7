/// \file front_server.hpp
/// The platform's front of an entry VM: takes callers' requests, chooses
/// service and endpoints, queues and refuses.
#ifndef POLLENLOFT_FRONT_SERVER_HPP
#define POLLENLOFT_FRONT_SERVER_HPP

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "control_client.hpp"
#include "front_request.hpp"

namespace pollenloft {

struct front_options {
  socket_address listen;
  socket_address readiness;
  std::string zone;
  route_options routing;
  std::uint64_t seed = 1;
  double retry_ratio = 0.2;  ///< second sends for each request
  double retry_slack = 50;   ///< and so many more, over all entry VMs
  std::size_t max_queued = 500;
  /// Time between showing not ready and refusing new requests.
  milliseconds drain_notice{1000};
};

class front_server : public front_host {
 public:
  front_server(event_loop& loop, front_options options, http_client& client,
               control_client& control, const chart& request_chart,
               metrics& numbers);

  auto start() -> std::optional<bool>;
  /// Shows not ready; requests are still served.
  auto drain() -> void;
  auto open_requests() const -> std::size_t { return requests_.size(); }
  /// Ends what is still open with a final answer.
  auto end_open_requests() -> void;

  auto loop() -> event_loop& override { return loop_; }
  auto client() -> http_client& override { return client_; }
  auto metrics_registry() -> metrics& override { return metrics_; }
  auto routes() -> router& override { return router_; }
  auto draining() const -> bool override { return draining_; }
  auto enqueue(const front_request_ptr& request, bool again) -> void override;
  auto dequeue(const front_request_ptr& request) -> void override;
  auto slot_released(const front_request_ptr& request, double cost)
      -> void override;
  auto request_ended(const front_request_ptr& request) -> void override;

 private:
  auto take(const exchange_ptr& call, instant arrived) -> void;
  /// Keeps a request until the configuration is known.
  auto hold(const exchange_ptr& call, instant arrived) -> void;
  auto take_held() -> void;
  auto refuse_held(instant now) -> void;
  auto show_ready(const exchange_ptr& call) -> void;
  auto ready() const -> bool;
  auto refuse(const exchange_ptr& call, int status, const std::string& reason)
      -> void;
  auto begin(const exchange_ptr& call, front_parameters given) -> void;
  /// The request may still run under the newest document known here.
  auto still_allowed(const front_request& request) const -> bool;
  auto apply_document() -> void;
  auto apply_endpoints(const std::vector<wire::endpoint_record>& records)
      -> void;
  auto apply_record(const wire::endpoint_record& record) -> void;
  auto leave_endpoint(const std::string& id) -> void;
  auto pump() -> void;
  auto share_links() -> void;
  auto pump_queue(fair_queue& queue, instant now) -> void;
  /// Logs what kept a request from finding a chain.
  auto log_shortage(const front_request& request, instant now) const -> void;
  auto refuse_overdue(instant now) -> void;
  auto tick() -> void;

  struct held_call {
    exchange_ptr call;
    instant arrived;
  };

  event_loop& loop_;
  front_options options_;
  http_client& client_;
  control_client& control_;
  const chart& chart_;
  metrics& metrics_;
  http_server server_;
  http_server readiness_;
  router router_;
  random_source random_;
  std::map<std::string, retry_budget> budgets_;  // by service
  std::shared_ptr<const route_table> table_;
  std::map<std::string, wire::endpoint_record> directory_;
  service_queues queues_;
  posted_task pumping_;
  std::unordered_map<request_id, front_request_ptr> requests_;
  std::deque<held_call> held_;  // oldest first
  request_id next_request_ = 0;
  timer ticker_;
  bool draining_ = false;
  bool refusing_ = false;  // the end of a drain
  timer drain_timer_;
};

}  // namespace pollenloft

#endif
