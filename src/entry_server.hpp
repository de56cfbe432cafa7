/// \file entry_server.hpp
/// The server of an entry VM: accepts callers' requests and endpoints'
/// announcements, queues the requests and dispatches them to endpoints.
#ifndef POLLENLOFT_ENTRY_SERVER_HPP
#define POLLENLOFT_ENTRY_SERVER_HPP

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "caller_request.hpp"
#include "endpoint_owner.hpp"

namespace pollenloft {

/// Options of an entry VM.
struct entry_options {
  std::string vm;
  std::string zone;
  socket_address listen;
  std::vector<socket_address> control;  ///< addresses of control replicas
  /// How long this VM may authenticate client accounts after the leader last
  /// confirmed that its document is the latest.
  duration max_document_age = std::chrono::seconds(4);
  std::string relay_address{};  ///< for requests of other VMs; may be empty
  std::string relay_key{};      ///< that these requests must carry
  route_options routing;
  /// Time in which a draining VM reports not ready but still accepts requests.
  milliseconds drain_notice{1000};
  /// Time from the start of the shutdown until open requests are ended.
  milliseconds grace{30000};
  std::size_t max_queued = 2000;  ///< queued requests per service
  std::size_t max_response_bytes = default_max_response_bytes;
  std::uint64_t seed = 1;
  /// For checks only: replaces the host of each endpoint unless it is empty.
  std::string endpoint_host{};
  /// A mechanism that a check has disabled (lease, claims, resume, ...); empty
  /// in production.
  std::string disabled_mechanism;
};

class entry_server : public request_host {
 public:
  entry_server(event_loop& loop, entry_options options, chart request_chart);

  /// Listens and starts to renew the configuration lease. Empty if the address
  /// cannot be bound, see `last_error`.
  auto start() -> std::optional<bool>;
  /// Drains, then stops the loop. Further calls change nothing.
  auto shut_down() -> void;
  /// As `shut_down`, but ends open requests at once if the VM drains already.
  auto shut_down_now() -> void;
  /// Replies with all metrics of this VM in the Prometheus text format.
  auto show_metrics(const exchange_ptr& call) -> void;
  /// Sets the count of open requests on another server of this VM; shutdown
  /// waits until it is 0. It waits for the responses of all servers of the loop
  /// in any case.
  auto set_other_open_requests(sigc::slot<std::size_t()> count) -> void {
    other_open_requests_ = std::move(count);
  }
  /// Emitted when shutdown ends the requests that are still open.
  sigc::signal<void()> ending_open_requests;

  auto loop() -> event_loop& override { return loop_; }
  auto client() -> http_client& override { return client_; }
  auto control() -> control_client& override { return control_; }
  auto routes() -> router& override { return router_; }
  auto crashes() -> crash_monitor& override { return crashes_; }
  auto metrics_registry() -> metrics& override { return metrics_; }
  auto request_chart() const -> const chart& override { return chart_; }
  auto budget() -> retry_budget& override { return retry_budget_; }
  auto disabled_mechanism() const -> const std::string& override {
    return options_.disabled_mechanism;
  }
  auto vm_name() const -> const std::string& override { return options_.vm; }
  auto vm_incarnation() const -> const std::string& override {
    return incarnation_;
  }
  auto above_fair_share(const std::string& account) const -> bool override {
    return accounts_above_share_.count(account) != 0;
  }
  auto enqueue(const caller_request_ptr& request, bool requeued)
      -> void override;
  auto dequeue(const caller_request_ptr& request) -> void override;
  auto slot_released(const caller_request_ptr& request, double cost)
      -> void override;
  auto request_ended(const caller_request_ptr& request) -> void override;

 private:
  /// In `notice` the VM reports not ready but still accepts requests.
  enum class drain_phase { serving, notice, refusing };

  auto handle_request(const exchange_ptr& call) -> void;
  auto may_dispatch() const -> bool;
  auto ready() const -> bool;
  auto handle_completion(const exchange_ptr& call) -> void;
  auto handle_plain_request(const exchange_ptr& call) -> void;
  auto refuse(const exchange_ptr& call, int status, const std::string& reason)
      -> void;
  /// Reads the parameters that all kinds of requests share (account, deadline,
  /// key, ...). Refuses the request and returns false if one is invalid.
  auto read_common_parameters(const exchange_ptr& call,
                              request_parameters& parameters) -> bool;
  auto find_service(const std::string& name, bool model) const
      -> std::shared_ptr<const service>;
  auto start_request(const exchange_ptr& call, request_parameters parameters)
      -> void;

  auto show_notices() -> void;
  auto apply_config() -> void;
  auto apply_endpoints(const std::vector<wire::endpoint_record>& records,
                       bool complete) -> void;
  auto apply_record(const wire::endpoint_record& record) -> void;
  auto expire_unconfirmed() -> void;
  auto dispatch_queued() -> void;
  auto dispatch_from_queue(fair_queue& queue, instant now) -> void;
  /// Tells the leader that an endpoint leaves.
  auto report_leaving(const std::string& id) -> void;
  /// As `front_server::refuse_held_up`.
  auto refuse_held_up(const caller_request_ptr& request, instant now) -> bool;
  auto refuse_queued(const std::string& reason, milliseconds retry_after)
      -> void;
  auto tick() -> void;
  auto limit_heavy_accounts(instant now) -> void;
  auto recent_usage() -> std::vector<wire::account_usage>;
  auto end_open_requests() -> void;
  auto finish_drain() -> void;
  /// Requests in progress, of all interfaces of this VM.
  auto open_requests() const -> std::size_t;
  auto log_drain(log_level level, const char* event) const -> void;

  event_loop& loop_;
  entry_options options_;
  chart chart_;
  std::string incarnation_;
  http_client client_;
  http_server server_;
  control_client control_;
  metrics metrics_;
  crash_monitor crashes_;
  endpoint_owner endpoint_owner_;
  router router_;
  retry_budget retry_budget_;
  timer tick_timer_;
  timer drain_timer_;
  timer grace_timer_;
  instant grace_end_{};
  drain_phase phase_ = drain_phase::serving;
  bool shutting_down_ = false;
  bool had_lease_ = false;
  request_id next_request_ = 0;
  service_queues queues_;
  random_source random_;
  posted_task dispatch_task_;
  std::unordered_map<request_id, caller_request_ptr> requests_;
  std::map<std::string, wire::endpoint_record> directory_;
  std::map<std::string, instant> unconfirmed_;
  std::map<std::string, double> tokens_used_;  // since usage_window_start_
  instant usage_window_start_{};
  std::map<std::string, double> usage_rate_;  // tokens per second
  instant rate_limits_updated_{};
  std::set<std::string> accounts_above_share_;
  sigc::slot<std::size_t()> other_open_requests_;
};

}  // namespace pollenloft

#endif
