/// \file endpoint_owner.hpp
/// The endpoints whose announcements and heartbeats come to this VM.
#ifndef POLLENLOFT_ENDPOINT_OWNER_HPP
#define POLLENLOFT_ENDPOINT_OWNER_HPP

#include <map>
#include <string>
#include <vector>

#include "pollenloft/engine.hpp"
#include "pollenloft/net.hpp"

namespace pollenloft {

/// Owns endpoint records and tells of every change:
///
///     owner.changed.connect([&](const auto& records) { report(records); });
class endpoint_owner {
 public:
  endpoint_owner(std::string vm, std::string address)
      : vm_(std::move(vm)), address_(std::move(address)) {}

  /// Serves `/endpoints/announce`, `/endpoints/heartbeat`, `/endpoints/leave`.
  auto serve(const exchange_ptr& call) -> void;
  /// Ends endpoints whose heartbeats have stopped.
  auto expire(instant now) -> void;
  /// Everything owned, for a leader that knows nothing yet.
  auto records() const -> std::vector<wire::endpoint_record>;

  sigc::signal<void(const std::vector<wire::endpoint_record>&)> changed;

 private:
  struct entry {
    wire::endpoint_record record;
    instant heard{};
  };

  auto announce(const exchange_ptr& call) -> void;
  auto heartbeat(const exchange_ptr& call) -> void;
  auto leave(const exchange_ptr& call) -> void;
  auto find(const exchange_ptr& call) -> entry*;

  std::string vm_;
  std::string address_;
  std::map<std::string, entry> entries_;
};

}  // namespace pollenloft

#endif
