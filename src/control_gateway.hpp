/// \file control_gateway.hpp
/// HTTP interface of a control VM to the platform: accepts configuration
/// documents and endpoint reports, and shares the endpoint directory with the
/// other control VMs.
#ifndef POLLENLOFT_CONTROL_GATEWAY_HPP
#define POLLENLOFT_CONTROL_GATEWAY_HPP

#include <functional>
#include <map>
#include <set>
#include <string>

#include "platform/platform.hpp"
#include "pollenloft/control.hpp"
#include "pollenloft/net.hpp"
#include "share_link.hpp"

namespace pollenloft {

/// The control replica behind a gateway, as the gateway uses it.
class control_host {
 public:
  using commit_handler = sigc::slot<void(bool)>;
  using confirm_handler = sigc::slot<void(bool)>;

  control_host() = default;
  control_host(const control_host&) = delete;
  auto operator=(const control_host&) -> control_host& = delete;
  virtual ~control_host() = default;
  /// This replica leads, has applied everything committed before its term, and
  /// no other replica can lead yet.
  virtual auto is_active_leader() const -> bool = 0;
  /// Whether the leader gets what `share_changes` sends, as far as this replica
  /// can tell.
  virtual auto leader_reachable() const -> bool = 0;
  /// Host of the leader; empty if unknown.
  virtual auto leader_host() const -> std::string = 0;
  virtual auto state() const -> const control_state& = 0;
  virtual auto directory() -> endpoint_directory& = 0;
  /// Proposes a document and calls `done` with true once it is committed and
  /// applied, or with false if that is not known.
  virtual auto submit_document(wire::document_command command,
                               commit_handler done) -> void = 0;
  /// Sends the records of these endpoints to every other member.
  virtual auto share_changes(const std::set<std::string>& ids) -> void = 0;
  /// Records in the replicated log that an endpoint leaves or has left, as the
  /// directory says; calls `done` with true once it is committed, with false if
  /// that is not known.
  virtual auto record_departure(const std::string& id, confirm_handler done)
      -> void = 0;
  /// Sends the times of these endpoints' reports, and the digest, to every
  /// other member.
  virtual auto share_heard(const std::set<std::string>& ids) -> void = 0;
  /// Sends the full directory, after all changes, to one member or to every
  /// other one.
  virtual auto share_directory(std::optional<std::uint32_t> member) -> void = 0;
  /// Called after the directory has changed, so that waiting entry VMs get the
  /// changes.
  virtual auto on_directory_changed() -> void = 0;
};

/// Serves documents, endpoint reports and leaves:
///
///     control_gateway gateway(loop, host, listen, report_period);
///     if (!gateway.start()) ...  // see `last_error`
///     gateway.tick(now);         // often
class control_gateway {
 public:
  control_gateway(event_loop& loop, control_host& host, socket_address listen,
                  duration report_period);

  /// Listens; empty, see `last_error`, if the address cannot be bound.
  auto start() -> std::optional<bool>;
  /// Merges the records and report times that another control VM has sent. If
  /// the digests of the directories differ, the full directory is sent back.
  auto handle_directory_share(const wire::directory_share& share) -> void;
  /// Marks endpoints whose reports are overdue and shares the times of the
  /// reports received here.
  auto tick(instant now) -> void;
  /// Sends the full directory to the other members, since a replica that has
  /// just started has no records.
  auto broadcast_directory() -> void;
  /// Sends changed records to the other control VMs and the entry VMs.
  auto publish(const std::set<std::string>& ids) -> void;
  /// The records and ages that a share to another member carries now.
  auto make_share(const share_content& content) const -> wire::directory_share;
  /// The document in force, decoded; null before the first one.
  auto config() -> std::shared_ptr<const ingress_config>;

 private:
  auto route(const exchange_ptr& call) -> void;
  auto replace_document(const exchange_ptr& call) -> void;
  auto read_document(const exchange_ptr& call) -> void;
  auto handle_report(const exchange_ptr& call, const std::string& id) -> void;
  auto handle_leave(const exchange_ptr& call, const std::string& id) -> void;
  auto redirect_to_leader(const exchange_ptr& call) -> void;
  /// Merges a report; returns whether the directory changed.
  auto merge(const wire::endpoint_record& record) -> bool;
  auto take_over_address(const wire::endpoint_record& record) -> bool;
  /// Acknowledges a call about an endpoint that stops serving once the change
  /// is in the replicated log.
  auto acknowledge_departure(const exchange_ptr& call, const std::string& id)
      -> void;

  control_host& host_;
  socket_address listen_;
  duration report_period_;
  http_server server_;
  std::map<std::string, instant> last_report_;  // by endpoint, to any member
  std::set<std::string> reported_here_;  // endpoints, since the last share
  instant last_share_{};
  std::map<std::int32_t, instant> last_full_share_;  // by member
  std::shared_ptr<const ingress_config> config_;
};

}  // namespace pollenloft

#endif
