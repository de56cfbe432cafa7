/// \file control_gateway.hpp
/// The platform's side of a control VM: takes the operator's documents and
/// the endpoints' reports, and tells the other control VMs of endpoints.
#ifndef POLLENLOFT_CONTROL_GATEWAY_HPP
#define POLLENLOFT_CONTROL_GATEWAY_HPP

#include <functional>
#include <map>
#include <set>
#include <string>

#include "platform/platform.hpp"
#include "pollenloft/control.hpp"
#include "pollenloft/net.hpp"

namespace pollenloft {

/// What the gateway needs of the control replica that it belongs to.
class control_host {
 public:
  using commit_handler = sigc::slot<void(bool)>;

  control_host() = default;
  control_host(const control_host&) = delete;
  auto operator=(const control_host&) -> control_host& = delete;
  virtual ~control_host() = default;
  /// This replica leads, its state is complete and nobody else can lead yet.
  virtual auto is_active_leader() const -> bool = 0;
  /// News given here reaches the leader, as far as this replica can tell.
  virtual auto leader_reachable() const -> bool = 0;
  /// The leader's host, or empty.
  virtual auto leader_host() const -> std::string = 0;
  virtual auto state() const -> const control_state& = 0;
  virtual auto directory() -> endpoint_directory& = 0;
  /// Proposes a document; `true` once it is committed and applied.
  virtual auto submit_document(wire::document_command command,
                               commit_handler done) -> void = 0;
  /// Sends to every other member.
  virtual auto broadcast(wire::directory_share news) -> void = 0;
  virtual auto send_to_member(std::uint32_t member, wire::directory_share news)
      -> void = 0;
  virtual auto on_directory_changed() -> void = 0;
};

class control_gateway {
 public:
  control_gateway(event_loop& loop, control_host& host, socket_address listen,
                  duration report_period);

  auto start() -> std::optional<bool>;
  /// Another control VM's news of endpoints.
  auto handle_directory_share(const wire::directory_share& news) -> void;
  /// Marks endpoints whose reports are overdue and shares what was heard.
  auto tick(instant now) -> void;
  /// Sends the whole directory to the others; a replica that has just started
  /// knows no endpoint.
  auto broadcast_directory() -> void;
  /// Tells the other control VMs and the entry VMs of changed records.
  auto publish(const std::set<std::string>& ids) -> void;
  /// The document in force, decoded; null before the first.
  auto config() -> std::shared_ptr<const ingress_config>;

 private:
  auto route(const exchange_ptr& call) -> void;
  auto replace_document(const exchange_ptr& call) -> void;
  auto read_document(const exchange_ptr& call) -> void;
  auto take_report(const exchange_ptr& call, const std::string& id) -> void;
  auto take_leave(const exchange_ptr& call, const std::string& id) -> void;
  auto point_to_leader(const exchange_ptr& call) -> void;
  auto merge(const wire::endpoint_record& record) -> bool;
  auto displace_at(const wire::endpoint_record& record) -> bool;
  auto whole_directory() -> wire::directory_share;

  control_host& host_;
  socket_address listen_;
  duration report_period_;
  http_server server_;
  std::map<std::string, instant> heard_;
  std::set<std::string> heard_here_;  // since the last share
  instant shared_at_{};
  std::map<std::int32_t, instant> told_;  // the whole directory, by member
  std::shared_ptr<const ingress_config> config_;
};

}  // namespace pollenloft

#endif
