/// \file state_fetcher.hpp
/// Fetches a state text in parts from any control replica.
#ifndef POLLENLOFT_STATE_FETCHER_HPP
#define POLLENLOFT_STATE_FETCHER_HPP

#include <functional>
#include <string>
#include <vector>

#include "pollenloft/net.hpp"
#include "state_transfer.hpp"

namespace pollenloft {

/// Path of the calls, on the address of a control replica.
constexpr auto state_transfer_path = "/control/state";

/// A completed transfer.
struct fetched_state {
  state_version state;
  std::size_t frame_bytes = 0;
  std::size_t failed_calls = 0;
  duration elapsed{};
};

class state_fetcher {
 public:
  using replica_source = std::function<const std::vector<socket_address>&()>;
  using held_source = std::function<state_version()>;
  using completed_handler = std::function<void(fetched_state)>;

  /// `held` returns the version that the process holds. `spread` selects the
  /// replica asked first, so that many receivers spread over all of them.
  state_fetcher(event_loop& loop, http_client& client, state_kind kind,
                std::uint64_t spread);

  auto set_sources(replica_source replicas, held_source held) -> void;
  auto set_completed_handler(completed_handler completed) -> void {
    completed_ = std::move(completed);
  }
  /// Fetches `version` or a newer one; continues a transfer in progress.
  auto fetch(std::int64_t version) -> void;
  auto active() const -> bool { return active_; }

 private:
  auto send_next() -> void;
  auto handle_part(std::string_view body) -> void;
  auto handle_progress(const transfer_progress& progress) -> void;
  auto handle_completed(const transfer_completed& complete) -> void;
  /// Asks the next replica after a pause.
  auto retry_elsewhere(const error& cause) -> void;

  event_loop& loop_;
  http_client& client_;
  state_kind kind_;
  replica_source replicas_;
  held_source held_;
  completed_handler completed_;
  state_assembly assembly_;
  std::uint64_t source_;  // index of the replica asked, modulo their number
  std::int64_t wanted_ = 0;
  bool active_ = false;
  std::size_t failed_calls_ = 0;
  instant started_{};
  timer retry_;
};

}  // namespace pollenloft

#endif
