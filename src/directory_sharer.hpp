/// \file directory_sharer.hpp
/// Sends changes of a control VM's endpoint directory to the other members.
#ifndef POLLENLOFT_DIRECTORY_SHARER_HPP
#define POLLENLOFT_DIRECTORY_SHARER_HPP

#include <map>
#include <set>
#include <string>
#include <vector>

#include "pollenloft/control.hpp"
#include "pollenloft/net.hpp"
#include "pollenloft/replica.hpp"
#include "share_link.hpp"

namespace pollenloft {

/// What the sharer needs of its control VM.
struct sharer_hooks {
  sigc::slot<std::optional<socket_address>(replica_id)> peer_address;
  sigc::slot<wire::directory_share(const share_content&)> make_share;
  /// Whether the leader gets what is sent, as far as this VM can tell.
  sigc::slot<bool()> leader_reachable;
};

/// Keeps a link to each other member:
///
///     directory_sharer sharer(loop, client, node, directory, id, hooks);
///     sharer.add_changes(ids);  // sent soon, again until acknowledged
///     sharer.tick();            // often
class directory_sharer {
 public:
  using confirm_handler = sigc::slot<void(bool)>;

  directory_sharer(event_loop& loop, http_client& client, const replica& node,
                   const endpoint_directory& directory, replica_id id,
                   sharer_hooks hooks)
      : loop_(loop),
        client_(client),
        node_(node),
        directory_(directory),
        id_(id),
        hooks_(std::move(hooks)) {}

  auto add_changes(const std::set<std::string>& ids) -> void;
  auto add_heard(const std::set<std::string>& ids) -> void;
  /// The full directory, after all changes, to one member or to every other.
  auto add_directory(std::optional<replica_id> member) -> void;
  /// Sends an endpoint's record and calls `done` with true once the leader has
  /// it or, if this replica leads, another member; with false if that takes too
  /// long. Nothing keeps the change if these processes end.
  auto confirm(const std::string& id, confirm_handler done) -> void;
  /// Calls all handlers that wait with false.
  auto reject_waiting() -> void;
  auto tick() -> void;

  /// Changes that are not acknowledged, over all links.
  auto unacknowledged() const -> std::size_t;
  auto coalesced() const -> std::uint64_t;
  auto retries() const -> std::uint64_t;
  auto shares_sent() const -> std::uint64_t { return shares_sent_; }
  auto bytes_sent() const -> std::uint64_t { return bytes_sent_; }

 private:
  struct confirmation {
    std::string endpoint;
    std::map<replica_id, std::int64_t> numbers;  // of the change, by member
    confirm_handler done;
    instant due;
  };

  auto other_members() const -> std::vector<replica_id>;
  auto send_shares() -> void;
  auto send_share(replica_id id, share_link& link) -> void;
  auto on_share_sent(replica_id id, const call_result& result) -> void;
  auto answer_confirmations() -> void;
  auto is_confirmed(const confirmation& waiting) const -> bool;
  auto has_change(replica_id member, const confirmation& waiting) const -> bool;

  event_loop& loop_;
  http_client& client_;
  const replica& node_;
  const endpoint_directory& directory_;
  replica_id id_;
  sharer_hooks hooks_;
  posted_task share_task_{loop_, [this] { send_shares(); }};
  std::map<replica_id, share_link> links_;
  std::vector<confirmation> confirmations_;
  std::uint64_t shares_sent_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace pollenloft

#endif
