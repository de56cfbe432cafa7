/// \file entry_server.hpp
/// An entry VM: takes callers' requests and endpoints' announcements.
#ifndef POLLENLOFT_ENTRY_SERVER_HPP
#define POLLENLOFT_ENTRY_SERVER_HPP

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "caller_request.hpp"
#include "endpoint_owner.hpp"

namespace pollenloft {

struct entry_options {
  std::string vm;
  std::string zone;
  socket_address listen;
  std::vector<socket_address> control;
  duration document_freshness = std::chrono::seconds(4);
  route_options routing;
  milliseconds drain_notice{1000};  ///< not ready, but still serving
  milliseconds grace{30000};        ///< then open requests are ended
  std::size_t most_queued = 2000;   ///< requests waiting for each service
  std::uint64_t seed = 1;
  std::string switched_off;  ///< by a check: lease, claims, resume, ...
};

class entry_server : public request_host {
 public:
  entry_server(event_loop& loop, entry_options options, chart request_chart);

  auto start() -> std::optional<bool>;
  /// Drains and stops the loop; a second call ends open requests at once.
  auto shut_down() -> void;
  /// Answers with all counters and histograms of this VM.
  auto show_metrics(const exchange_ptr& call) -> void;
  auto request_plan() const -> const chart& { return chart_; }
  /// Requests open on another front of this VM, which shutdown waits for.
  auto set_other_requests(sigc::slot<std::size_t()> count) -> void {
    other_requests_ = std::move(count);
  }
  /// Shutdown ends open requests now.
  sigc::signal<void()> ending;

  auto loop() -> event_loop& override { return loop_; }
  auto client() -> http_client& override { return client_; }
  auto control() -> control_client& override { return control_; }
  auto routes() -> router& override { return router_; }
  auto metrics_registry() -> metrics& override { return metrics_; }
  auto request_chart() const -> const chart& override { return chart_; }
  auto budget() -> retry_budget& override { return budget_; }
  auto switched_off() const -> const std::string& override {
    return options_.switched_off;
  }
  auto vm_name() const -> const std::string& override { return options_.vm; }
  auto vm_incarnation() const -> const std::string& override {
    return incarnation_;
  }
  auto over_share(const std::string& account) const -> bool override {
    return over_share_.count(account) != 0;
  }
  auto enqueue(const caller_request_ptr& request, bool again) -> void override;
  auto dequeue(const caller_request_ptr& request) -> void override;
  auto slot_released(const caller_request_ptr& request, double cost)
      -> void override;
  auto request_ended(const caller_request_ptr& request) -> void override;

 private:
  enum class drain_phase { serving, notice, refusing };

  auto route(const exchange_ptr& call) -> void;
  auto may_serve() const -> bool;
  auto ready() const -> bool;
  auto take_completion(const exchange_ptr& call) -> void;
  auto take_plain(const exchange_ptr& call) -> void;
  auto refuse(const exchange_ptr& call, int status, const std::string& reason)
      -> void;
  /// Fills in account, deadline, key; replies and returns false on a fault.
  auto read_common(const exchange_ptr& call, request_parameters& parameters)
      -> bool;
  auto find_service(const std::string& name, bool model) const
      -> std::shared_ptr<const service>;
  auto begin(const exchange_ptr& call, request_parameters parameters) -> void;

  auto apply_config() -> void;
  auto apply_endpoints(const std::vector<wire::endpoint_record>& records,
                       bool whole) -> void;
  auto apply_record(const wire::endpoint_record& record) -> void;
  auto drop_unconfirmed() -> void;
  auto pump() -> void;
  auto pump_queue(fair_queue& queue, instant now) -> void;
  auto refuse_queued(const std::string& reason, milliseconds retry_after)
      -> void;
  auto tick() -> void;
  auto share_heavy_accounts(instant now) -> void;
  auto recent_usage() -> std::vector<wire::account_usage>;
  auto end_open_requests() -> void;

  event_loop& loop_;
  entry_options options_;
  chart chart_;
  std::string incarnation_;
  http_client client_;
  http_server server_;
  control_client control_;
  endpoint_owner owner_;
  router router_;
  retry_budget budget_;
  metrics metrics_;
  timer ticker_;
  timer drain_timer_;
  timer grace_timer_;
  drain_phase phase_ = drain_phase::serving;
  bool had_lease_ = false;
  request_id next_request_ = 0;
  service_queues queues_;
  posted_task pumping_;
  std::unordered_map<request_id, caller_request_ptr> requests_;
  std::map<std::string, wire::endpoint_record> directory_;
  std::map<std::string, instant> unconfirmed_;
  std::map<std::string, double> used_;  // tokens since usage_from_
  instant usage_from_{};
  std::map<std::string, double> usage_rate_;  // tokens a second
  instant shared_at_{};
  std::set<std::string> over_share_;
  sigc::slot<std::size_t()> other_requests_;
};

}  // namespace pollenloft

#endif
