/// \file endpoint_owner.hpp
/// Tracks the endpoints that send their announcements and heartbeats to this
/// VM.
#ifndef POLLENLOFT_ENDPOINT_OWNER_HPP
#define POLLENLOFT_ENDPOINT_OWNER_HPP

#include <map>
#include <string>
#include <vector>

#include "pollenloft/engine.hpp"
#include "pollenloft/net.hpp"

namespace pollenloft {

/// Owns the records of these endpoints and emits every change:
///
///     owner.changed.connect([&](const auto& records) { report(records); });
class endpoint_owner {
 public:
  endpoint_owner(std::string vm, std::string address)
      : vm_(std::move(vm)), address_(std::move(address)) {}

  /// Serves `/endpoints/announce`, `/endpoints/heartbeat`, `/endpoints/leave`.
  auto serve(const exchange_ptr& call) -> void;
  /// Drops the endpoints whose heartbeats are overdue and emits them as gone.
  auto expire(instant now) -> void;
  /// All owned records, for a new leader that has none yet.
  auto records() const -> std::vector<wire::endpoint_record>;

  /// Emitted with the records that have changed.
  sigc::signal<void(const std::vector<wire::endpoint_record>&)> changed;

 private:
  struct entry {
    wire::endpoint_record record;
    instant last_heartbeat{};
  };

  auto announce(const exchange_ptr& call) -> void;
  auto heartbeat(const exchange_ptr& call) -> void;
  auto leave(const exchange_ptr& call) -> void;
  /// The entry of the endpoint in the request body. Null if there is none; then
  /// `call` has been answered.
  auto find(const exchange_ptr& call) -> entry*;

  std::string vm_;
  std::string address_;
  std::map<std::string, entry> entries_;
};

}  // namespace pollenloft

#endif
