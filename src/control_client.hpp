/// \file control_client.hpp
/// Client of the control role, used by entry VMs. Renews the configuration
/// lease, keeps the configuration and endpoint directory received with it, and
/// sends calls to the leader.
#ifndef POLLENLOFT_CONTROL_CLIENT_HPP
#define POLLENLOFT_CONTROL_CLIENT_HPP

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "notice_monitor.hpp"
#include "pollenloft/control.hpp"
#include "pollenloft/limit.hpp"
#include "pollenloft/net.hpp"
#include "pollenloft/route.hpp"
#include "state_fetcher.hpp"

namespace pollenloft {

struct control_client_options {
  std::string vm;
  std::string incarnation;  ///< unique for each start of the process
  std::string zone;
  std::string address;
  std::vector<socket_address> replicas;
  std::string relay_address{};  ///< for requests of other VMs; may be empty
  std::string relay_key{};      ///< that these requests must carry
  /// How long this VM may authenticate client accounts after the leader last
  /// confirmed that its document is the latest.
  duration max_document_age = std::chrono::seconds(4);
};

/// Renewals of the configuration lease since the process started.
struct renewal_counters {
  std::uint64_t completed = 0;
  std::uint64_t interrupted = 0;
  std::uint64_t refused = 0;            ///< not granted, or not applicable
  std::uint64_t received_bytes = 0;     ///< of completed renewals
  std::uint64_t interrupted_bytes = 0;  ///< received in vain
};

class control_client {
 public:
  using claim_handler =
      sigc::slot<void(const std::optional<wire::claim_reply>&)>;
  using usage_source = sigc::slot<std::vector<wire::account_usage>()>;

  control_client(event_loop& loop, http_client& client,
                 control_client_options options);

  auto start() -> void;
  /// The lease starts when its renewal is sent. Callers check it at each
  /// dispatch, so that a process that was frozen does not serve on an expired
  /// lease.
  auto lease_valid() const -> bool;
  auto config() const -> const configuration& { return config_; }
  /// The latest document received; its number never decreases within a process.
  auto document() const -> const numbered_document& { return document_; }
  /// True if the document was confirmed as the latest within the last
  /// `max_document_age`. The clock includes time spent suspended.
  auto document_fresh() const -> bool;
  /// Time since the document was last confirmed as the latest; the maximum
  /// duration if it never was.
  auto document_age() const -> duration;
  /// Whether the leader has announced a newer document, which is being fetched.
  auto document_outdated() const -> bool {
    return newest_document_ > document_.number;
  }
  /// Adds control replicas to try, besides those named by the leader.
  auto add_replicas(const std::vector<socket_address>& replicas) -> void;
  auto term() const -> std::int64_t { return term_; }
  auto renewals() const -> const renewal_counters& { return renewals_; }
  auto vm_count() const -> std::size_t { return vm_count_; }
  /// The client accounts with the highest usage, summed over all VMs.
  auto cluster_usage() const
      -> const std::map<std::string, wire::account_usage>& {
    return usage_;
  }
  /// Decides which requests may run; follows the leader's crash records.
  auto crashes() -> crash_guard& { return crash_guard_; }
  /// The permits of this VM for endpoints that limit their requests.
  auto limiter() -> request_limiter& { return limiter_; }
  /// Asks the leader for permits if some are wanted; called often.
  auto request_permits() -> void;
  /// What endpoints state of themselves, as this VM knows it.
  auto notices() -> notice_monitor& { return notices_; }
  auto set_usage_source(usage_source source) -> void {
    usage_source_ = std::move(source);
  }
  using peers_handler = sigc::slot<void(std::vector<wire::peer_record>)>;
  /// Tells the leader whether this VM is cut off from all endpoints, and gets
  /// VMs that are not. `done` is not called if the leader does not reply.
  auto fetch_peers(bool cut_off, peers_handler done) -> void;
  auto set_draining(bool draining) -> void { draining_ = draining; }

  /// Reports endpoints to the leader; retried until it accepts or the report
  /// times out.
  auto report(std::vector<wire::endpoint_record> endpoints) -> void;
  /// Claims an idempotency key; `done` receives an empty reply if no leader
  /// replied within `timeout`.
  auto claim(const wire::claim_record& record, duration timeout,
             claim_handler done) -> void;
  /// Records the outcome of a claimed request.
  auto settle(const wire::settle_command& command) -> void;
  /// Records a crash under a request, or a run that its endpoint survived.
  /// Reports of one turn of the loop are sent together.
  auto report_crash(const wire::blame_command& report) -> void;
  /// Number of settlements that the leader has not acknowledged yet.
  auto pending_settlements() const -> std::size_t {
    return pending_settlements_;
  }

  /// Number of reports of endpoints and crashes that the leader has not
  /// acknowledged yet.
  auto pending_reports() const -> std::size_t { return pending_reports_; }

  sigc::signal<void()> config_changed;
  sigc::signal<void()> leader_changed;
  sigc::signal<void()> permits_granted;
  sigc::signal<void()> document_changed;
  /// Emitted each time the document is confirmed as the latest.
  sigc::signal<void()> document_confirmed;
  /// Changed endpoint records; `true` if they are the full directory.
  sigc::signal<void(const std::vector<wire::endpoint_record>&, bool)>
      endpoints_changed;

 private:
  using response_handler = std::function<void(std::optional<std::string>)>;
  using redirect_parser =
      std::function<std::optional<std::string>(std::string_view)>;

  auto renew() -> void;
  auto handle_renewal(instant sent, std::string_view body) -> void;
  auto handle_failed_renewal(instant sent, const call_result& result) -> void;
  auto apply_config(const wire::renew_reply& reply) -> bool;
  auto apply_document(const wire::renew_reply& reply, instant sent) -> bool;
  auto apply_fetched_document(fetched_state fetched) -> void;
  auto apply_fetched_config(const fetched_state& fetched) -> void;
  auto replace_document(fetched_state fetched) -> void;
  auto record_announcement(std::int64_t number, instant sent) -> void;
  /// Sets when the document held was last known to be the newest.
  auto confirm_document() -> void;
  auto handle_permit_reply(instant sent, const call_result& result,
                           std::string_view body) -> void;
  auto apply_suspects(const wire::renew_reply& reply) -> void;
  auto send_crash_reports() -> void;
  auto add_reported_replicas(const wire::renew_reply& reply) -> void;
  auto select_leader(const std::string& leader) -> void;
  auto select_next_replica() -> void;
  /// Posts to the leader until `redirect` returns empty, which means that the
  /// reply is final, or the deadline passes. Otherwise `redirect` returns the
  /// leader's address, or an empty string if it is unknown.
  auto call_leader(std::string path, std::string body, instant deadline,
                   redirect_parser redirect, response_handler done) -> void;

  event_loop& loop_;
  http_client& client_;
  control_client_options options_;
  std::size_t target_ = 0;
  configuration config_;
  numbered_document document_;
  std::optional<instant> document_confirmed_at_;
  std::int64_t newest_document_ = 0;  // number last announced by a leader
  struct announcement {
    std::int64_t number;  // of the newest document
    instant sent;         // when the renewal was sent
  };
  std::deque<announcement> announcements_;  // oldest first
  state_fetcher document_fetcher_;
  state_fetcher config_fetcher_;
  bool has_config_ = false;
  bool first_renewal_ = true;
  bool draining_ = false;
  bool cut_off_ = false;  // from all endpoints
  instant lease_until_{};
  std::int64_t term_ = 0;
  std::int64_t directory_sequence_ = 0;
  std::size_t vm_count_ = 1;
  std::size_t pending_settlements_ = 0;
  std::size_t pending_reports_ = 0;
  std::vector<wire::blame_command> crash_reports_;
  std::map<std::string, wire::account_usage> usage_;
  crash_guard crash_guard_;
  request_limiter limiter_;
  notice_monitor notices_;
  posted_task crash_report_task_;
  std::int64_t suspects_digest_ = 0;  // of the records last received
  renewal_counters renewals_;
  usage_source usage_source_;
  timer retry_;
};

}  // namespace pollenloft

#endif
