/// \file control_client.hpp
/// An entry VM's side of the control role: its configuration lease, the
/// configuration and directory that come with it, and calls to the leader.
#ifndef POLLENLOFT_CONTROL_CLIENT_HPP
#define POLLENLOFT_CONTROL_CLIENT_HPP

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pollenloft/control.hpp"
#include "pollenloft/net.hpp"

namespace pollenloft {

struct control_client_options {
  std::string vm;
  std::string incarnation;  ///< of this process
  std::string zone;
  std::string address;
  std::vector<socket_address> replicas;
  /// How long this VM may act on client accounts' keys without hearing from
  /// the leader that its document is the newest.
  duration max_document_age = std::chrono::seconds(4);
};

class control_client {
 public:
  using claim_done = sigc::slot<void(const std::optional<wire::claim_reply>&)>;
  using usage_source = sigc::slot<std::vector<wire::account_usage>()>;

  control_client(event_loop& loop, http_client& client,
                 control_client_options options);

  auto start() -> void;
  /// The lease counts from the sending of its renewal and is checked at each
  /// dispatch, so a process that was frozen does not serve on an old one.
  auto lease_valid() const -> bool;
  auto config() const -> const configuration& { return config_; }
  /// The newest document known; its number never falls while this runs.
  auto document() const -> const numbered_document& { return document_; }
  /// The document was the newest at some moment within the last
  /// `max_document_age`, on a clock that counts suspension.
  auto document_fresh() const -> bool;
  /// Since when the document is known to have been the newest.
  auto document_age() const -> duration;
  /// Other control replicas to try, besides those of the last answer.
  auto add_replicas(const std::vector<socket_address>& seeds) -> void;
  auto term() const -> std::int64_t { return term_; }
  auto vm_count() const -> std::size_t { return vm_count_; }
  /// Usage of the heaviest client accounts over all VMs.
  auto cluster_usage() const
      -> const std::map<std::string, wire::account_usage>& {
    return usage_;
  }
  /// How strongly a request with this fingerprint is suspected of crashing
  /// endpoints.
  auto crash_points(std::uint64_t fingerprint) const -> int;
  auto set_usage_source(usage_source source) -> void {
    usage_source_ = std::move(source);
  }
  auto set_draining(bool draining) -> void { draining_ = draining; }

  /// Tells the leader of endpoints; repeated until it has taken them.
  auto report(std::vector<wire::endpoint_record> endpoints) -> void;
  /// Claims a key; empty when no leader answered before the deadline.
  auto claim(const wire::claim_record& record, duration timeout,
             claim_done done) -> void;
  auto settle(const wire::settle_command& command) -> void;
  auto report_crash(std::uint64_t fingerprint, const std::string& endpoint,
                    int points) -> void;
  /// Settlements not yet recorded.
  auto pending_settlements() const -> std::size_t { return unsettled_; }

  sigc::signal<void()> config_changed;
  sigc::signal<void()> leader_changed;
  sigc::signal<void()> document_changed;
  /// Changed endpoint records; `true` if this is the whole directory.
  sigc::signal<void(const std::vector<wire::endpoint_record>&, bool)>
      endpoints_changed;

 private:
  using body_done = std::function<void(std::optional<std::string>)>;
  using accepts = std::function<std::optional<std::string>(std::string_view)>;

  auto renew() -> void;
  auto take_renewal(instant sent, std::string_view body) -> void;
  auto take_config(const wire::renew_reply& reply) -> bool;
  auto take_document(const wire::renew_reply& reply, instant sent) -> bool;
  auto learn_replicas(const wire::renew_reply& reply) -> void;
  auto follow(const std::string& leader) -> void;
  auto next_replica() -> void;
  /// Posts to the leader until `redirect` finds the answer final (empty) or
  /// the deadline passes; a non-empty redirect names the leader.
  auto call_leader(std::string path, std::string body, instant deadline,
                   accepts redirect, body_done done) -> void;

  event_loop& loop_;
  http_client& client_;
  control_client_options options_;
  std::size_t target_ = 0;
  configuration config_;
  numbered_document document_;
  std::optional<instant> document_seen_;
  bool has_config_ = false;
  bool first_renewal_ = true;
  bool draining_ = false;
  instant lease_until_{};
  std::int64_t term_ = 0;
  std::int64_t directory_sequence_ = 0;
  std::size_t vm_count_ = 1;
  std::size_t unsettled_ = 0;
  std::map<std::string, wire::account_usage> usage_;
  std::map<std::int64_t, int> blames_;
  usage_source usage_source_;
  timer retry_;
};

}  // namespace pollenloft

#endif
