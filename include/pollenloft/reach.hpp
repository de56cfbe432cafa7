/// \file reach.hpp
/// Whether a VM has lost its links to all endpoints. Does no I/O and reads no
/// clock.
#ifndef POLLENLOFT_REACH_HPP
#define POLLENLOFT_REACH_HPP

#include <set>
#include <string>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

/// After an endpoint could not be reached, others are probed at once: a VM is
/// cut off if none of them accepts a connection. While it is cut off, it goes
/// on probing until both of two do. An endpoint that accepts connections and is
/// silent, or that crashed alone, cuts nothing off.
///
///     detector.contact_failed("e", now);
///     for (auto& id : detector.next_probes(endpoints, now)) ...  // probe it
///     detector.probe_ended(id, listening, now);
class reach_detector {
 public:
  explicit reach_detector(std::uint64_t seed) : random_(seed) {}

  /// An endpoint accepted no connection or broke one off.
  auto contact_failed(const std::string& endpoint, instant now) -> void;
  /// The endpoints to probe now, of all that are known; empty if a round of
  /// probes is under way or none is due.
  auto next_probes(const std::vector<std::string>& endpoints, instant now)
      -> std::vector<std::string>;
  /// The result of a probe; true if it changes `cut_off`.
  auto probe_ended(const std::string& endpoint, bool accepted, instant now)
      -> bool;

  auto cut_off() const -> bool { return cut_off_; }
  /// Contacts that failed since a probe was last accepted.
  auto failures() const -> std::size_t { return failures_; }
  /// When the latest change of `cut_off` took place.
  auto changed_at() const -> instant { return changed_at_; }

 private:
  auto end_round(instant now) -> bool;

  random_source random_;
  bool cut_off_ = false;
  bool suspected_ = false;
  std::size_t failures_ = 0;
  std::set<std::string> failed_;   // since the last success
  std::set<std::string> awaited_;  // probes of this round
  std::size_t round_size_ = 0;
  std::size_t accepted_ = 0;  // probes of this round
  instant next_round_{};
  instant changed_at_{};
};

}  // namespace pollenloft

#endif
