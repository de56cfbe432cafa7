/// \file fake_cluster.hpp
/// Replicas on a simulated network with simulated disks.
#ifndef POLLENLOFT_TEST_FAKE_CLUSTER_HPP
#define POLLENLOFT_TEST_FAKE_CLUSTER_HPP

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "pollenloft/replica.hpp"
#include "property.hpp"

namespace pollenloft::test {

/// A cluster with a simulated network and disks. The test controls which
/// messages are delivered, dropped or duplicated and which replicas are
/// crashed, frozen, partitioned or wiped.
class fake_cluster {
 public:
  /// The cluster tolerates the simultaneous loss of `losses` disks. Its initial
  /// members are the first `seeds` replicas, or all if that is 0. The last
  /// `spares` replicas are not started.
  explicit fake_cluster(std::size_t size, std::uint64_t seed = 1,
                        std::size_t losses = 1, std::size_t seeds = 0,
                        std::size_t spares = 0)
      : seed_(seed),
        losses_(losses),
        first_starts_(size - spares),
        nodes_(size) {
    for (std::size_t i = 0; i < (seeds == 0 ? size : seeds); ++i)
      seeds_.push_back(static_cast<replica_id>(i + 1));
    for (std::size_t i = 0; i < first_starts_; ++i)
      start(i);
  }

  /// The initial members of replicas that are started later.
  auto set_seeds(std::vector<replica_id> seeds) -> void {
    seeds_ = std::move(seeds);
  }

  struct node {
    std::unique_ptr<replica> live;
    persisted_state disk;
    std::vector<std::string> applied;  // from index 1
    bool frozen = false;
    bool partitioned = false;
    bool crash_before_sync = false;
  };

  auto start(std::size_t i) -> void {
    replica_options options;
    options.id = static_cast<replica_id>(i + 1);
    options.members = seeds_;
    options.min_copies = losses_ + 1;
    options.allow_bootstrap = starts_ < first_starts_;
    options.seed = seed_ + starts_++;
    auto& node = nodes_[i];
    node.applied.clear();
    node.crash_before_sync = false;
    // The journal also discards the disk of an unfinished recovery.
    if (node.disk.hard && !node.disk.hard->voting) node.disk = {};
    node.live = std::make_unique<replica>(options, node.disk, now);
    carry_out(i);
  }

  auto crash(std::size_t i) -> void { nodes_[i].live.reset(); }

  auto wipe(std::size_t i) -> void {
    crash(i);
    nodes_[i].disk = {};
    start(i);
  }

  auto carry_out(std::size_t i) -> void {
    auto& node = nodes_[i];
    while (node.live) {
      auto effects = node.live->take_effects();
      if (effects.empty()) break;
      if (std::exchange(node.crash_before_sync, false)) return crash(i);
      persist(node.disk, effects);
      for (auto& message : effects.messages)
        post(message);
      if (effects.restore) restore(i, *effects.restore);
      for (const auto& entry : effects.committed)
        apply(i, entry);
    }
    check_single_leader();
  }

  auto post(const replica_message& message) -> void {
    if (const auto* append = std::get_if<append_request>(&message.body))
      for (const auto& entry : append->entries)
        ++sent_entries[{message.to, entry.index}];
    network.push_back(message);
  }

  static auto persist(persisted_state& disk, const replica_effects& effects)
      -> void {
    if (effects.hard) disk.hard = effects.hard;
    if (effects.install) {
      disk.snapshot = *effects.install;
      disk.entries.clear();
    }
    for (const auto& entry : effects.append) {
      while (!disk.entries.empty() && disk.entries.back().index >= entry.index)
        disk.entries.pop_back();
      disk.entries.push_back(entry);
    }
  }

  auto apply(std::size_t i, const log_entry& entry) -> void {
    auto& applied = nodes_[i].applied;
    RC_ASSERT(applied.size() + 1 == entry.index);
    applied.push_back(entry.data);
    if (committed.size() < entry.index) committed.push_back(entry.data);
    RC_ASSERT(committed[entry.index - 1] == entry.data);
  }

  auto restore(std::size_t i, const log_snapshot& from) -> void {
    RC_ASSERT(from.index <= committed.size());
    RC_ASSERT(from.data == state_hash(from.index));
    auto& applied = nodes_[i].applied;
    applied.assign(committed.begin(),
                   committed.begin() + static_cast<std::ptrdiff_t>(from.index));
  }

  auto state_hash(log_index index) const -> std::string {
    std::uint64_t hash = 0;
    for (log_index k = 0; k < index; ++k)
      hash = hash64(committed[k], hash);
    return std::to_string(hash);
  }

  auto tick_all(milliseconds step) -> void {
    now += step;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].live || nodes_[i].frozen) continue;
      nodes_[i].live->tick(now);
      carry_out(i);
    }
  }

  auto deliver(std::size_t k) -> void {
    const auto message = network[k];
    network.erase(network.begin() + static_cast<std::ptrdiff_t>(k));
    const auto to = message.to - 1;
    auto& node = nodes_[to];
    if (!node.live || node.partitioned || nodes_[message.from - 1].partitioned)
      return;
    if (node.frozen || (held && held(message))) {
      network.push_back(
          message);  // stays in the socket buffer of the frozen process
      return;
    }
    node.live->receive(message, now);
    carry_out(to);
  }

  auto propose(std::size_t i, const std::string& command) -> bool {
    auto& node = nodes_[i];
    if (!node.live || node.frozen) return false;
    const auto index = node.live->propose({command}, now);
    carry_out(i);
    return index.has_value();
  }

  auto compact(std::size_t i) -> void {
    auto& node = nodes_[i];
    if (!node.live || node.live->commit_index() == 0) return;
    const auto index = node.live->commit_index();
    const auto& snapshot = node.live->compact(index, state_hash(index));
    node.disk.snapshot = snapshot;
    auto& entries = node.disk.entries;
    entries.erase(std::remove_if(entries.begin(), entries.end(),
                                 [&](const auto& entry) {
                                   return entry.index <= snapshot.index;
                                 }),
                  entries.end());
  }

  /// There is at most one leader per term, and no leader may be elected during
  /// the lease of an earlier one.
  auto check_single_leader() -> void {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const auto* live = nodes_[i].live.get();
      if (live == nullptr || live->role() != replica_role::leader) continue;
      const auto [found, is_new] = leaders_.emplace(live->term(), i);
      RC_ASSERT(found->second == i);
      for (const auto& other : nodes_)
        if (other.live && other.live->role() == replica_role::leader &&
            other.live->term() < live->term())
          RC_ASSERT(other.live->leader_lease_until() <= now);
    }
  }

  /// Ticks all replicas and delivers all messages in order for `time`.
  auto run_for(milliseconds time) -> void {
    for (milliseconds spent{0}; spent < time; spent += milliseconds(10)) {
      tick_all(milliseconds(10));
      for (auto count = network.size(); count > 0 && !network.empty(); --count)
        deliver(0);
    }
  }

  auto leader() const -> std::optional<std::size_t> {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].live && nodes_[i].live->has_committed_in_term()) return i;
    return std::nullopt;
  }

  auto heal() -> void {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].partitioned = false;
      nodes_[i].frozen = false;
      nodes_[i].crash_before_sync = false;
      if (!nodes_[i].live) start(i);
    }
  }

  /// True if the number of other lost disks is below the tolerated one.
  auto may_wipe(std::size_t i) const -> bool {
    std::size_t lost = 0;
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
      const auto& hard = nodes_[k].disk.hard;
      if (k != i && (!hard || !hard->voting)) ++lost;
    }
    return lost < losses_;
  }

  auto at(std::size_t i) -> node& { return nodes_[i]; }
  auto at(std::size_t i) const -> const node& { return nodes_[i]; }
  auto size() const -> std::size_t { return nodes_.size(); }

  instant now{std::chrono::seconds(100)};
  std::vector<replica_message> network;
  /// Selects messages that stay in the network.
  std::function<bool(const replica_message&)> held;
  /// How often each entry was sent, by receiver and index.
  std::map<std::pair<replica_id, log_index>, std::size_t> sent_entries;
  std::vector<std::string> committed;

 private:
  std::uint64_t seed_;
  std::size_t losses_;
  std::size_t first_starts_;
  std::vector<replica_id> seeds_;
  std::uint64_t starts_ = 0;
  std::vector<node> nodes_;
  std::map<log_term, std::size_t> leaders_;
};

}  // namespace pollenloft::test

#endif
