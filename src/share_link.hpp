/// \file share_link.hpp
/// What a control replica still has to tell one peer about its endpoint
/// directory. Changes are held as endpoint ids until the peer has acknowledged
/// them, so that many changes travel in one share and a peer that is cut off
/// costs no more than the ids. The class performs no I/O and reads no clock.
#ifndef POLLENLOFT_SHARE_LINK_HPP
#define POLLENLOFT_SHARE_LINK_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

/// Records in one share; halved after each failure, since a large share may
/// be too slow for a busy link.
constexpr std::size_t max_records_per_share = 64;
constexpr std::size_t heard_per_record = 8;  // a time is far smaller
/// Changes, and as many times of reports, that wait for one peer. What exceeds
/// this reaches the peer after its directory's digest was found to differ.
constexpr std::size_t max_waiting_changes = 20000;
constexpr auto share_retry_pause = milliseconds(100);

/// The endpoints that a share names. Their records and ages are read when it
/// is sent.
struct share_content {
  std::vector<std::string> records;
  std::vector<std::string> heard;
  bool digest = false;  ///< the peer lacks nothing else that is known here
};

/// Collects changes for one peer and sends one share at a time:
///
///     const auto number = link.add_change(id);
///     while (auto content = link.next(now)) ...    // send it
///     link.on_acknowledged();                      // or on_failure(now)
///     if (number && link.is_delivered(id, *number)) ...
class share_link {
 public:
  /// Returns the number of the change, equal to that of an earlier change of
  /// this endpoint that has not been sent; empty if too many changes wait.
  auto add_change(const std::string& id) -> std::optional<std::int64_t>;
  /// Adds a record that is sent after all changes.
  auto add_unchanged(const std::string& id) -> void;
  auto add_heard(const std::string& id) -> void;
  auto add_digest() -> void { digest_ = true; }

  /// The share to send now; empty if there is none, one is in flight or the
  /// pause after a failure is not over.
  auto next(instant now) -> std::optional<share_content>;
  auto on_acknowledged() -> void;
  /// What was in flight waits again.
  auto on_failure(instant now) -> void;

  auto is_delivered(const std::string& id, std::int64_t number) const -> bool;
  auto in_flight() const -> bool { return in_flight_.has_value(); }
  /// Changes that are not acknowledged.
  auto unacknowledged() const -> std::size_t;
  /// Failures since the last acknowledgement.
  auto failures() const -> int { return failures_; }
  /// Changes that needed no share of their own.
  auto coalesced() const -> std::uint64_t { return coalesced_; }
  auto retries() const -> std::uint64_t { return retries_; }

 private:
  struct flight {
    std::map<std::string, std::int64_t> changes;  // numbers by id
    share_content content;
  };

  auto take_changes() -> flight;

  std::map<std::int64_t, std::string> changes_;  // by number
  std::map<std::string, std::int64_t> numbers_;  // of `changes_`, by id
  std::set<std::string> unchanged_;
  std::set<std::string> heard_;
  bool digest_ = false;
  std::optional<flight> in_flight_;
  std::int64_t last_number_ = 0;
  std::size_t max_records_ = max_records_per_share;
  instant retry_at_{};
  int failures_ = 0;
  std::uint64_t coalesced_ = 0;
  std::uint64_t retries_ = 0;
};

}  // namespace pollenloft

#endif
