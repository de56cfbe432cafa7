/// \file fake_group.hpp
/// Control VMs that keep the members of their group, on a simulated network.
/// Counts the machines that are lost in the sense of the platform: a VM counts
/// from its failure until it, or its successor, has had `catch_up`.
#ifndef POLLENLOFT_TEST_FAKE_GROUP_HPP
#define POLLENLOFT_TEST_FAKE_GROUP_HPP

#include <deque>
#include <map>

#include "fake_cluster.hpp"
#include "membership.hpp"

namespace pollenloft::test {

class fake_group {
 public:
  static constexpr auto catch_up = std::chrono::seconds(4);
  static constexpr auto list_lag = std::chrono::seconds(3);
  static constexpr std::size_t spares = 4;

  /// A group that tolerates the loss of `losses` VMs, with three seeds.
  fake_group(std::size_t losses, std::uint64_t seed)
      : random_(seed),
        losses_(losses),
        full_size_(2 * losses + 1),
        cluster(full_size_ + spares, seed, losses, 3, spares),
        groups_(full_size_ + spares),
        gone_(full_size_ + spares, false),
        next_spare_(full_size_) {
    for (std::size_t i = 0; i < full_size_; ++i)
      make_group(i);
    for (auto i = full_size_; i < gone_.size(); ++i)
      gone_[i] = true;
    for (const auto i : present())
      listed_.push_back(static_cast<replica_id>(i + 1));
    run_for(milliseconds(5000));
  }

  auto run_for(milliseconds time) -> void {
    const auto end = cluster.now + time;
    while (cluster.now < end) {
      while (!agenda_.empty() && agenda_.begin()->first <= cluster.now)
        agenda_.extract(agenda_.begin()).mapped()();
      cluster.tick_all(milliseconds(10));
      for (std::size_t i = 0; i < groups_.size(); ++i) {
        if (!runs(i)) continue;
        groups_[i]->tick(cluster.now);
        post(i);
      }
      for (auto count = cluster.network.size();
           count > 0 && !cluster.network.empty(); --count)
        cluster.deliver(0);
      deliver_requests();
    }
  }

  auto at(duration delay, std::function<void()> action) -> void {
    agenda_.emplace(cluster.now + delay, std::move(action));
  }

  // --- faults; each counts its VM as lost ---------------------------------

  auto cut(std::size_t i, duration time) -> void {
    const auto loss = begin_loss();
    cluster.at(i).partitioned = true;
    at(time, [this, i, loss] {
      cluster.at(i).partitioned = false;
      end_loss(loss);
    });
  }
  auto freeze(std::size_t i, duration time) -> void {
    const auto loss = begin_loss();
    cluster.at(i).frozen = true;
    at(time, [this, i, loss] {
      cluster.at(i).frozen = false;
      end_loss(loss);
    });
  }
  auto restart(std::size_t i, duration time, bool wipe = false) -> void {
    const auto loss = begin_loss();
    cluster.crash(i);
    if (wipe) cluster.at(i).disk = {};
    at(time, [this, i, loss] {
      start(i);
      end_loss(loss);
    });
  }
  /// A VM is gone for good; its successor starts after `delay`.
  auto replace(std::size_t i, duration delay) -> void {
    const auto loss = begin_loss();
    const auto successor = next_spare_++;
    lose_for_good(i);
    at(delay, [this, successor, loss] {
      start_spare(successor);
      end_loss(loss);
    });
  }
  /// The successor starts first; after `delay` the VM stops and exits.
  auto replace_planned(std::size_t i, duration delay) -> void {
    const auto loss = begin_loss();
    start_spare(next_spare_++);
    end_loss(loss);
    at(delay, [this, i] {
      stop(i);
      const auto exit_loss = begin_loss();
      at(milliseconds(300), [this, i, exit_loss] {
        lose_for_good(i);
        until_[exit_loss] = cluster.now;
      });
    });
  }
  auto kill_all(duration time) -> void {
    for (std::size_t i = 0; i < groups_.size(); ++i)
      if (!gone_[i]) restart(i, time);
  }

  /// Asks a VM to stop, as a signal does.
  auto stop(std::size_t i) -> void {
    if (!runs(i)) return;
    cluster.at(i).live->transfer_leadership(cluster.now);
    groups_[i]->announce_stop();
    post(i);
    cluster.carry_out(i);
  }

  /// Writes the settings of the next start again, with other seeds from the
  /// operator's list.
  auto exchange_seeds() -> void {
    seeds_ = listed_;
    while (seeds_.size() > 3)
      seeds_.erase(seeds_.begin() +
                   static_cast<std::ptrdiff_t>(random_.below(seeds_.size())));
    cluster.set_seeds(seeds_);
  }

  // --- observations -------------------------------------------------------

  /// VMs that are lost now.
  auto lost() const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(until_.begin(), until_.end(),
                      [&](auto until) { return until > cluster.now; }));
  }
  auto may_lose_one() const -> bool { return lost() < losses_; }
  auto spare_left() const -> bool { return next_spare_ < groups_.size(); }

  /// VMs that are not gone for good.
  auto present() const -> std::vector<std::size_t> {
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < gone_.size(); ++i)
      if (!gone_[i]) result.push_back(i);
    return result;
  }
  /// VMs that are present, run and are connected.
  auto sound() const -> std::vector<std::size_t> {
    std::vector<std::size_t> result;
    for (const auto i : present())
      if (runs(i) && !cluster.at(i).partitioned) result.push_back(i);
    return result;
  }

  /// Members of the leader's list that are present and vote.
  auto live_members() -> std::size_t {
    const auto leader = cluster.leader();
    if (!leader) return 0;
    std::size_t count = 0;
    for (const auto i : present()) {
      const auto id = static_cast<replica_id>(i + 1);
      count += cluster.at(*leader).live->is_member(id) && runs(i) &&
                       cluster.at(i).live->voting()
                   ? 1
                   : 0;
    }
    return count;
  }
  auto is_full() -> bool { return live_members() >= full_size_; }

  /// Runs until no VM counts as lost.
  auto wait_until_none_is_lost() -> void {
    for (int i = 0; i < 10000 && (lost() > 0 || !agenda_.empty()); ++i)
      run_for(milliseconds(10));
  }

  /// Loses as many disks as may be lost at once, then waits for the recovery;
  /// returns whether all that was committed is there and changes are accepted.
  auto survives_lost_disks() -> bool {
    if (const auto leader = cluster.leader())
      cluster.propose(*leader, "before the loss");
    run_for(milliseconds(20));
    for (std::size_t n = 0; n < losses_; ++n) {
      auto candidates = sound();
      if (!candidates.empty())
        restart(candidates[random_.below(candidates.size())],
                std::chrono::seconds(1), true);
    }
    run_for(std::chrono::seconds(13));
    const auto leader = cluster.leader();
    if (!leader || !cluster.propose(*leader, "after the loss")) return false;
    run_for(milliseconds(500));
    return cluster.committed.back() == "after the loss";
  }

 private:
  auto runs(std::size_t i) const -> bool {
    return cluster.at(i).live && !cluster.at(i).frozen;
  }

  auto begin_loss() -> std::size_t {
    until_.push_back(instant::max());
    return until_.size() - 1;
  }
  auto end_loss(std::size_t loss) -> void {
    until_[loss] = cluster.now + catch_up;
  }

  auto make_group(std::size_t i) -> void {
    membership_options options;
    options.id = static_cast<replica_id>(i + 1);
    options.seeds = seeds_;
    options.full_size = full_size_;
    groups_[i] = std::make_unique<membership>(*cluster.at(i).live, options);
  }
  auto start(std::size_t i) -> void {
    if (gone_[i] || cluster.at(i).live) return;
    if (std::none_of(seeds_.begin(), seeds_.end(),
                     [&](auto id) { return !gone_[id - 1] && id != i + 1; }))
      exchange_seeds();
    cluster.start(i);
    make_group(i);
  }
  auto start_spare(std::size_t i) -> void {
    gone_[i] = false;
    exchange_seeds();
    start(i);
    update_list();
  }
  /// The operator's list of VMs follows later.
  auto update_list() -> void {
    at(list_lag, [this] {
      listed_.clear();
      for (const auto i : present())
        listed_.push_back(static_cast<replica_id>(i + 1));
    });
  }
  auto lose_for_good(std::size_t i) -> void {
    cluster.crash(i);
    gone_[i] = true;
    update_list();
  }

  auto post(std::size_t i) -> void {
    for (const auto& message : groups_[i]->take_messages())
      requests_.push_back(message);
    cluster.carry_out(i);
  }
  auto deliver_requests() -> void {
    for (const auto& message : std::exchange(requests_, {})) {
      const auto to = message.to - 1;
      if (!runs(to) || cluster.at(to).partitioned) continue;
      std::visit(
          [&](const auto& body) { groups_[to]->receive(body, cluster.now); },
          message.body);
      post(to);
    }
  }

  random_source random_;
  std::size_t losses_;
  std::size_t full_size_;

 public:
  fake_cluster cluster;

 private:
  std::vector<std::unique_ptr<membership>> groups_;
  std::vector<bool> gone_;
  std::size_t next_spare_;
  std::vector<replica_id> seeds_{1, 2, 3};
  std::vector<replica_id> listed_;  // VMs, as the operator's list has them
  std::vector<instant> until_;      // ends of the losses
  std::multimap<instant, std::function<void()>> agenda_;
  std::vector<membership_message> requests_;
};

}  // namespace pollenloft::test

#endif
