#include <algorithm>
#include <memory>
#include <utility>

#include "fake_cluster.hpp"

namespace pollenloft::test {
namespace {

/// Decodes one number into one step of the history. 40% of the steps only run
/// the cluster, so that elections and commits happen between the faults.
auto apply_step(fake_cluster& cluster, std::uint32_t code, std::size_t step)
    -> void {
  const auto kind = code % 100;
  const auto target = (code / 100) % cluster.size();
  const auto message = cluster.network.empty()
                           ? std::size_t{0}
                           : (code / 1000) % cluster.network.size();
  auto& node = cluster.at(target);
  if (kind < 40) {
    cluster.run_for(milliseconds(10 + code / 1000 % 300));
  } else if (kind < 45) {
    for (int i = 0; i < 3 && !cluster.network.empty(); ++i)
      cluster.deliver((message + static_cast<std::size_t>(i)) %
                      cluster.network.size());
  } else if (kind < 50) {
    cluster.tick_all(milliseconds(10 + code / 1000 % 100));
  } else if (kind < 64) {
    for (std::size_t i = 0; i < cluster.size(); ++i)
      cluster.propose(i, "command-" + std::to_string(step));
  } else if (kind < 67) {
    if (!cluster.network.empty())
      cluster.network.erase(cluster.network.begin() +
                            static_cast<std::ptrdiff_t>(message));
  } else if (kind < 70) {
    if (!cluster.network.empty())
      cluster.network.push_back(cluster.network[message]);
  } else if (kind < 72) {
    cluster.crash(target);
  } else if (kind < 73) {
    node.crash_before_sync = true;
  } else if (kind < 84) {
    if (!node.live) cluster.start(target);
  } else if (kind < 85) {
    if (cluster.may_wipe(target)) cluster.wipe(target);
  } else if (kind < 87) {
    node.partitioned = true;
  } else if (kind < 93) {
    node.partitioned = false;
  } else if (kind < 94) {
    node.frozen = true;
  } else if (kind < 98) {
    node.frozen = false;
  } else {
    cluster.compact(target);
  }
}

/// Faults aimed at the current leader: it is partitioned with uncommitted
/// entries, crashes during replication, or a follower loses its disk during
/// replication.
auto apply_leader_step(fake_cluster& cluster, std::uint32_t code,
                       std::size_t step) -> void {
  const auto leader = cluster.leader();
  if (!leader) return cluster.run_for(milliseconds(300));
  const auto name = "leader-" + std::to_string(step) + "-";
  const auto other =
      (*leader + 1 + code / 8 % (cluster.size() - 1)) % cluster.size();
  switch (code % 5) {
    case 0:
      cluster.at(*leader).partitioned = true;
      for (int i = 0; i < 3; ++i)
        cluster.propose(*leader, name + std::to_string(i));
      return cluster.run_for(milliseconds(code / 100 % 1200));
    case 1:
      cluster.propose(*leader, name);
      for (auto count = code / 100 % 4; count > 0 && !cluster.network.empty();
           --count)
        cluster.deliver(code / 1000 % cluster.network.size());
      return cluster.crash(*leader);
    case 2:
      cluster.propose(*leader, name);
      for (auto count = code / 100 % 6; count > 0 && !cluster.network.empty();
           --count)
        cluster.deliver(code / 1000 % cluster.network.size());
      if (cluster.may_wipe(other)) cluster.wipe(other);
      if (code % 3 == 0) cluster.crash(*leader);
      return;
    case 3:
      cluster.at(*leader).live->transfer_leadership(cluster.now);
      return cluster.carry_out(*leader);
    default:
      cluster.at(other).crash_before_sync = true;
      cluster.at(*leader).crash_before_sync = code % 2 == 0;
      cluster.propose(*leader, name);
  }
}

auto run_history(std::size_t size, const std::vector<std::uint32_t>& steps,
                 std::size_t losses = 1) -> void {
  fake_cluster cluster(size, steps.size() + steps.front(), losses);
  cluster.run_for(milliseconds(1500));
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (steps[i] % 16 == 0)
      apply_leader_step(cluster, steps[i] / 16, i);
    else
      apply_step(cluster, steps[i] / 16, i);
  }
  cluster.heal();
  cluster.run_for(milliseconds(8000));
  const auto leader = cluster.leader();
  RC_ASSERT(leader.has_value());
  RC_ASSERT(cluster.propose(*leader, "last"));
  cluster.run_for(milliseconds(2000));
  for (std::size_t i = 0; i < size; ++i) {
    RC_ASSERT(cluster.at(i).applied == cluster.committed);
    RC_ASSERT(cluster.at(i).live->voting());
  }
  RC_ASSERT(cluster.committed.back() == "last");
}

}  // namespace

class replica_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(replica_test);
  CPPUNIT_TEST(elects_one_leader);
  CPPUNIT_TEST(commits_on_a_majority);
  CPPUNIT_TEST(elects_within_a_second_of_a_crash);
  CPPUNIT_TEST(partitioned_leader_steps_down);
  CPPUNIT_TEST(isolated_replica_does_not_raise_the_term);
  CPPUNIT_TEST(sends_a_snapshot_to_a_lagging_replica);
  CPPUNIT_TEST(wiped_replica_does_not_vote_before_it_has_caught_up);
  CPPUNIT_TEST(second_disk_lost_after_the_first_is_repaired);
  CPPUNIT_TEST(members_change_one_at_a_time);
  CPPUNIT_TEST(transfers_leadership);
  CPPUNIT_TEST(replica_with_the_longer_log_but_lower_term_wins);
  CPPUNIT_TEST(vote_survives_a_restart);
  CPPUNIT_TEST(restarted_replica_withholds_its_vote);
  CPPUNIT_TEST(no_vote_for_a_candidate_with_an_outdated_log);
  CPPUNIT_TEST(stale_tail_is_not_committed);
  CPPUNIT_TEST(recovery_needs_a_majority_of_the_others);
  CPPUNIT_TEST(fuzz_three);
  CPPUNIT_TEST(fuzz_five);
  CPPUNIT_TEST(fuzz_five_with_two_disks_lost);
  CPPUNIT_TEST(entry_commits_on_the_required_number_of_disks);
  CPPUNIT_TEST(grows_from_the_seed_members);
  CPPUNIT_TEST(empty_replicas_need_permission_to_form_a_cluster);
  CPPUNIT_TEST(replica_with_a_lost_disk_learns_the_current_members);
  CPPUNIT_TEST(stale_tail_does_not_finish_a_recovery);
  CPPUNIT_TEST(silent_follower_does_not_multiply_entries);
  CPPUNIT_TEST(slow_follower_is_not_sent_entries_twice);
  CPPUNIT_TEST(heartbeat_reply_does_not_end_the_flight_of_entries);
  CPPUNIT_TEST(snapshot_in_flight_does_not_silence_heartbeats);
  CPPUNIT_TEST(lost_entries_are_sent_again);
  CPPUNIT_TEST(resent_entries_do_not_replace_a_heartbeat);
  CPPUNIT_TEST(one_lost_message_does_not_stop_commits);
  CPPUNIT_TEST(mismatch_is_repaired_at_once);
  CPPUNIT_TEST(late_mismatch_does_not_send_entries_again);
  CPPUNIT_TEST(followers_learn_of_a_commit_before_the_next_heartbeat);
  CPPUNIT_TEST(late_acknowledgement_is_answered_with_the_commit_index);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto elects_one_leader() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    CPPUNIT_ASSERT(cluster.leader().has_value());
  }

  auto commits_on_a_majority() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    cluster.crash((leader + 1) % 3);
    cluster.propose(leader, "one");
    cluster.run_for(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.committed.back());
    cluster.crash((leader + 2) % 3);
    cluster.propose(leader, "two");
    cluster.run_for(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.committed.back());
  }

  auto elects_within_a_second_of_a_crash() -> void {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      fake_cluster cluster(3, seed);
      cluster.run_for(milliseconds(1500));
      cluster.crash(*cluster.leader());
      cluster.run_for(milliseconds(1000));
      CPPUNIT_ASSERT(cluster.leader().has_value());
    }
  }

  auto partitioned_leader_steps_down() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto old = *cluster.leader();
    cluster.at(old).partitioned = true;
    cluster.run_for(milliseconds(2000));
    CPPUNIT_ASSERT(cluster.at(old).live->role() != replica_role::leader);
    CPPUNIT_ASSERT(cluster.leader().has_value());
  }

  auto isolated_replica_does_not_raise_the_term() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    const auto term = cluster.at(leader).live->term();
    const auto other = (leader + 1) % 3;
    cluster.at(other).partitioned = true;
    cluster.run_for(milliseconds(3000));
    cluster.at(other).partitioned = false;
    cluster.run_for(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(term, cluster.at(leader).live->term());
    CPPUNIT_ASSERT_EQUAL(leader, *cluster.leader());
  }

  auto sends_a_snapshot_to_a_lagging_replica() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    const auto lagging = (leader + 1) % 3;
    cluster.crash(lagging);
    for (int i = 0; i < 300; ++i)
      cluster.propose(leader, std::to_string(i));
    cluster.run_for(milliseconds(500));
    cluster.compact(leader);
    cluster.start(lagging);
    cluster.run_for(milliseconds(1500));
    CPPUNIT_ASSERT(cluster.at(lagging).applied == cluster.committed);
  }

  auto wiped_replica_does_not_vote_before_it_has_caught_up() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    const auto wiped = (leader + 1) % 3;
    const auto behind = (leader + 2) % 3;
    cluster.crash(behind);
    cluster.propose(leader, "only-on-two");
    cluster.run_for(milliseconds(300));
    // While the leader is down, the wiped replica and the lagging one must not
    // form a majority that lacks the entry.
    cluster.crash(leader);
    cluster.wipe(wiped);
    cluster.start(behind);
    cluster.run_for(milliseconds(4000));
    CPPUNIT_ASSERT(!cluster.leader().has_value());
    CPPUNIT_ASSERT(!cluster.at(wiped).live->voting());
    cluster.start(leader);
    cluster.run_for(milliseconds(4000));
    CPPUNIT_ASSERT(cluster.at(wiped).live->voting());
    CPPUNIT_ASSERT(cluster.at(wiped).applied == cluster.committed);
  }

  auto second_disk_lost_after_the_first_is_repaired() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    for (std::size_t i = 0; i < 3; ++i) {
      cluster.propose(*cluster.leader(), "before-" + std::to_string(i));
      cluster.run_for(milliseconds(200));
      cluster.wipe(i);
      while (!cluster.at(i).live->voting())
        cluster.run_for(milliseconds(10));
    }
    cluster.run_for(milliseconds(3000));
    const auto expected = cluster.committed;
    CPPUNIT_ASSERT(std::find(expected.begin(), expected.end(), "before-0") !=
                   expected.end());
    for (std::size_t i = 0; i < 3; ++i)
      CPPUNIT_ASSERT(cluster.at(i).applied == cluster.committed);
  }

  auto members_change_one_at_a_time() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    auto& node = *cluster.at(leader).live;
    const auto self = static_cast<replica_id>(leader + 1);
    CPPUNIT_ASSERT(!node.propose_members({self}, cluster.now));
    const auto other = static_cast<replica_id>((leader + 1) % 3 + 1);
    CPPUNIT_ASSERT(node.propose_members({self, other}, cluster.now));
    CPPUNIT_ASSERT(!node.propose_members({self}, cluster.now));
    cluster.carry_out(leader);
    cluster.run_for(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, node.members().size());
  }

  auto transfers_leadership() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto old = *cluster.leader();
    cluster.at(old).live->transfer_leadership(cluster.now);
    cluster.carry_out(old);
    cluster.run_for(milliseconds(50));
    CPPUNIT_ASSERT(cluster.leader().has_value());
    CPPUNIT_ASSERT(*cluster.leader() != old);
  }

  auto replica_with_the_longer_log_but_lower_term_wins() -> void {
    persisted_state ahead{hard_state{1, 0, true}, {}, {}};
    ahead.entries = {{1, 1, entry_kind::noop, ""},
                     {1, 2, entry_kind::command, "x"}};
    persisted_state behind{hard_state{5, 0, true}, {}, {}};
    behind.entries = {{1, 1, entry_kind::noop, ""}};
    fake_cluster cluster(3);
    cluster.crash(2);
    cluster.at(0).disk = ahead;
    cluster.at(1).disk = behind;
    cluster.start(0);
    cluster.start(1);
    cluster.run_for(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.leader().value_or(9));
  }

  /// Makes replica 1 of `size`, restarted from `disk` 350 ms ago, which is more
  /// than the minimum election timeout.
  auto make_replica(std::size_t size, const persisted_state& disk) -> void {
    replica_options options;
    options.id = 1;
    for (replica_id id = 1; id <= size; ++id)
      options.members.push_back(id);
    node_ = std::make_unique<replica>(options, disk, now_);
    now_ += milliseconds(350);
  }

  template <class Body>
  auto receive(replica_id from, log_term term, Body body) -> replica_effects {
    node_->receive({from, 1, term, body}, now_);
    return node_->take_effects();
  }

  static auto grants_vote(const replica_effects& effects) -> bool {
    for (const auto& message : effects.messages)
      if (const auto* reply = std::get_if<vote_reply>(&message.body))
        return reply->granted;
    return false;
  }

  static auto disk_with_two_entries() -> persisted_state {
    persisted_state disk{hard_state{1, 0, true}, {}, {}};
    disk.entries = {{1, 1, entry_kind::noop, ""},
                    {1, 2, entry_kind::command, "stale"}};
    return disk;
  }

  auto vote_survives_a_restart() -> void {
    make_replica(3, disk_with_two_entries());
    const auto effects = receive(2, 5, vote_request{false, 2, 1});
    CPPUNIT_ASSERT(grants_vote(effects));
    CPPUNIT_ASSERT(effects.hard.has_value());
    auto disk = disk_with_two_entries();
    disk.hard = effects.hard;
    make_replica(3, disk);
    CPPUNIT_ASSERT(!grants_vote(receive(3, 5, vote_request{false, 2, 1})));
    CPPUNIT_ASSERT(grants_vote(receive(2, 5, vote_request{false, 2, 1})));
  }

  auto restarted_replica_withholds_its_vote() -> void {
    make_replica(3, disk_with_two_entries());
    now_ -= milliseconds(100);  // 250 ms after the restart
    CPPUNIT_ASSERT(!grants_vote(receive(2, 5, vote_request{false, 2, 1})));
    CPPUNIT_ASSERT(!grants_vote(receive(2, 5, vote_request{true, 2, 1})));
  }

  auto no_vote_for_a_candidate_with_an_outdated_log() -> void {
    make_replica(3, disk_with_two_entries());
    CPPUNIT_ASSERT(!grants_vote(receive(2, 5, vote_request{false, 1, 1})));
    CPPUNIT_ASSERT(!grants_vote(receive(2, 5, vote_request{true, 1, 1})));
  }

  /// A heartbeat that matches up to entry 1 does not confirm entry 2, which may
  /// conflict with the leader's log.
  auto stale_tail_is_not_committed() -> void {
    make_replica(3, disk_with_two_entries());
    append_request heartbeat;
    heartbeat.prev_index = 1;
    heartbeat.prev_term = 1;
    heartbeat.leader_commit = 2;
    heartbeat.leader_last_index = 3;
    receive(2, 2, heartbeat);
    CPPUNIT_ASSERT_EQUAL(log_index{1}, node_->commit_index());
  }

  auto recovery_needs_a_majority_of_the_others() -> void {
    make_replica(5, {});
    node_->tick(now_);
    std::uint64_t nonce = 0;
    for (const auto& message : node_->take_effects().messages)
      nonce = std::get<recover_request>(message.body).nonce;
    append_request entries;
    entries.entries = {{4, 1, entry_kind::noop, ""}};
    entries.leader_last_index = 1;
    for (replica_id from = 2; from <= 4; ++from) {
      receive(from, 4, entries);
      CPPUNIT_ASSERT_EQUAL(log_index{0}, node_->last_index());
      receive(from, from, recover_reply{nonce, false});
      receive(from, from, recover_reply{nonce, false});
    }
    CPPUNIT_ASSERT(node_->role() == replica_role::follower);
    CPPUNIT_ASSERT_EQUAL(log_term{4}, node_->term());
    CPPUNIT_ASSERT(!node_->voting());
    entries.leader_last_index = 2;  // the leader has one more entry
    receive(2, 4, entries);
    CPPUNIT_ASSERT(!node_->voting());
    entries.leader_last_index = 1;
    receive(2, 4, entries);
    CPPUNIT_ASSERT(node_->voting());
  }

  std::unique_ptr<replica> node_;
  std::size_t sent_with_heartbeat_ = 0;
  std::uint64_t round_ = 0;
  instant now_{std::chrono::seconds(50)};

  auto fuzz_three() -> void {
    check_property("three replicas agree with the list of commands",
                   [] { run_history(3, *step_codes()); });
  }

  auto fuzz_five_with_two_disks_lost() -> void {
    check_property("five replicas agree while two disks at once are lost",
                   [] { run_history(5, *step_codes(), 2); });
  }

  auto entry_commits_on_the_required_number_of_disks() -> void {
    fake_cluster cluster(3, 1, 2);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    cluster.at((leader + 1) % 3).partitioned = true;
    cluster.propose(leader, "needs three");
    cluster.run_for(milliseconds(300));
    CPPUNIT_ASSERT(cluster.committed.back() != "needs three");
    cluster.heal();
    cluster.run_for(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::string("needs three"), cluster.committed.back());
  }

  static auto grow_to_five(fake_cluster& cluster) -> std::size_t {
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    for (replica_id added = 4; added <= 5; ++added) {
      auto members = cluster.at(leader).live->members();
      members.push_back(added);
      CPPUNIT_ASSERT(
          cluster.at(leader).live->propose_members(members, cluster.now));
      cluster.carry_out(leader);
      cluster.run_for(milliseconds(1000));
    }
    return leader;
  }

  auto grows_from_the_seed_members() -> void {
    fake_cluster cluster(5, 1, 2, 3);
    const auto leader = grow_to_five(cluster);
    cluster.propose(leader, "for all");
    cluster.run_for(milliseconds(500));
    for (std::size_t i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(cluster.at(i).live->voting());
      CPPUNIT_ASSERT(cluster.at(i).live->is_member(4));
      CPPUNIT_ASSERT_EQUAL(std::string("for all"),
                           cluster.at(i).applied.back());
    }
  }

  auto empty_replicas_need_permission_to_form_a_cluster() -> void {
    fake_cluster cluster(3);
    for (std::size_t i = 0; i < 3; ++i)
      cluster.wipe(i);  // a restart, not a first start
    cluster.run_for(milliseconds(3000));
    CPPUNIT_ASSERT(!cluster.leader());
  }

  /// The settings of the wiped replica name the first three members. Of the
  /// five current members, two of these three may not know the newest term.
  auto replica_with_a_lost_disk_learns_the_current_members() -> void {
    fake_cluster cluster(5, 1, 2, 3);
    grow_to_five(cluster);
    cluster.wipe(0);
    cluster.run_for(milliseconds(100));
    CPPUNIT_ASSERT(cluster.at(0).live->is_member(5));
    cluster.run_for(milliseconds(2000));
    CPPUNIT_ASSERT(cluster.at(0).live->voting());
  }

  /// Brings replica 1 of 3, whose disk was lost, to the state in which it only
  /// lacks the entries.
  auto make_recovering_follower() -> void {
    make_replica(3, {});
    node_->tick(now_);
    std::uint64_t nonce = 0;
    for (const auto& message : node_->take_effects().messages)
      nonce = std::get<recover_request>(message.body).nonce;
    for (replica_id from = 2; from <= 3; ++from)
      receive(from, 4, recover_reply{nonce, false});
  }

  auto stale_tail_does_not_finish_a_recovery() -> void {
    make_recovering_follower();
    append_request stale;
    stale.entries = {{4, 1, entry_kind::noop, ""},
                     {4, 2, entry_kind::command, "stale"}};
    stale.leader_last_index = 3;
    receive(2, 4, stale);
    append_request heartbeat;
    heartbeat.leader_last_index = 2;
    receive(3, 5, heartbeat);
    CPPUNIT_ASSERT(!node_->voting());
  }

  auto silent_follower_does_not_multiply_entries() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    const auto silent = (leader + 1) % 3;
    cluster.at(silent).partitioned = true;
    cluster.propose(leader, "entry");
    const auto index = cluster.at(leader).live->last_index();
    cluster.run_for(milliseconds(6000));
    const auto sent =
        cluster.sent_entries[{static_cast<replica_id>(silent + 1), index}];
    CPPUNIT_ASSERT(sent >= 5);
    CPPUNIT_ASSERT_LESSEQUAL(std::size_t{11}, sent);
  }

  auto slow_follower_is_not_sent_entries_twice() -> void {
    const std::string large_entry(replica_options{}.max_small_append_bytes,
                                  'x');
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    const auto slow = static_cast<replica_id>((leader + 1) % 3 + 1);
    cluster.held = [&](const auto& message) {
      const auto* append = std::get_if<append_request>(&message.body);
      return message.to == slow && append && !append->entries.empty();
    };
    for (int i = 0; i < 5; ++i) {
      cluster.propose(leader, large_entry + std::to_string(i));
      cluster.run_for(milliseconds(100));
    }
    cluster.held = {};
    cluster.run_for(milliseconds(200));
    const auto last = cluster.at(leader).live->last_index();
    for (auto index = last - 4; index <= last; ++index)
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           (cluster.sent_entries[{slow, index}]));
    CPPUNIT_ASSERT(cluster.at(slow - 1).applied == cluster.committed);
  }

  /// Makes replica 1 the leader of 3 in term 2; its entry 3 has reached the
  /// other replicas.
  auto make_leader() -> void {
    make_replica(3, disk_with_two_entries());
    now_ += milliseconds(350);
    node_->tick(now_);
    node_->take_effects();
    receive(2, 1, vote_reply{true, true});
    receive(2, 2, vote_reply{false, true});
    receive(2, 2, append_reply{true, 3, 1});
    receive(3, 2, append_reply{true, 3, 1});
    CPPUNIT_ASSERT(node_->has_committed_in_term());
  }

  static auto appends_to(replica_id to, const replica_effects& effects)
      -> std::vector<append_request> {
    std::vector<append_request> appends;
    for (const auto& message : effects.messages)
      if (const auto* append = std::get_if<append_request>(&message.body))
        if (message.to == to) appends.push_back(*append);
    return appends;
  }

  auto heartbeat_to(replica_id to) -> append_request {
    now_ += milliseconds(100);
    node_->tick(now_);
    const auto sent = appends_to(to, node_->take_effects());
    sent_with_heartbeat_ = sent.size() - 1;
    round_ = sent.at(0).round;
    return sent[0];
  }

  auto heartbeat_reply_does_not_end_the_flight_of_entries() -> void {
    make_leader();
    node_->propose({"entry"}, now_);
    node_->take_effects();
    auto heartbeat = heartbeat_to(2);
    CPPUNIT_ASSERT(heartbeat.entries.empty());
    CPPUNIT_ASSERT_EQUAL(log_index{3}, heartbeat.prev_index);
    const auto lease = node_->leader_lease_until();
    receive(2, 2, append_reply{true, 3, heartbeat.round});
    CPPUNIT_ASSERT(node_->leader_lease_until() > lease);
    heartbeat = heartbeat_to(2);
    CPPUNIT_ASSERT(heartbeat.entries.empty());
    receive(2, 2, append_reply{true, 4, 2});
    CPPUNIT_ASSERT_EQUAL(log_index{4}, node_->commit_index());
    heartbeat = heartbeat_to(2);
    CPPUNIT_ASSERT_EQUAL(log_index{4}, heartbeat.prev_index);
    receive(2, 2, append_reply{true, 3, heartbeat.round});  // a late reply
    CPPUNIT_ASSERT_EQUAL(log_index{4}, heartbeat_to(2).prev_index);
  }

  auto snapshot_in_flight_does_not_silence_heartbeats() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    const auto lagging = (leader + 1) % 3;
    cluster.crash(lagging);
    cluster.propose(leader, "entry");
    cluster.run_for(milliseconds(500));
    cluster.compact(leader);
    cluster.held = [&](const auto& message) {
      return std::holds_alternative<install_snapshot_request>(message.body);
    };
    cluster.start(lagging);
    cluster.run_for(milliseconds(1000));
    for (int i = 0; i < 300; ++i) {
      cluster.run_for(milliseconds(10));
      const auto& node = *cluster.at(lagging).live;
      CPPUNIT_ASSERT(node.role() == replica_role::follower);
      CPPUNIT_ASSERT(cluster.now - node.last_leader_contact() <
                     milliseconds(200));
    }
    cluster.held = {};
    cluster.run_for(milliseconds(200));
    CPPUNIT_ASSERT(cluster.at(lagging).applied == cluster.committed);
  }

  auto lost_entries_are_sent_again() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    cluster.propose(leader, "entry");
    cluster.network.clear();
    cluster.run_for(milliseconds(800));
    for (std::size_t i = 0; i < 3; ++i)
      CPPUNIT_ASSERT_EQUAL(std::string("entry"), cluster.at(i).applied.back());
  }

  auto resent_entries_do_not_replace_a_heartbeat() -> void {
    make_leader();
    node_->propose({"entry"}, now_);
    node_->take_effects();
    std::size_t resent = 0;
    for (int i = 0; i < 12; ++i) {
      CPPUNIT_ASSERT(heartbeat_to(2).entries.empty());
      receive(3, 2, append_reply{true, 3, round_});
      resent += sent_with_heartbeat_;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, resent);
  }

  /// One of three replicas is down and one message to the other one is lost.
  auto one_lost_message_does_not_stop_commits() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    cluster.crash((leader + 1) % 3);
    cluster.run_for(milliseconds(1000));
    const auto start = cluster.now;
    cluster.propose(leader, "lost");
    cluster.network.clear();
    const auto& committed = cluster.committed;
    while (std::count(committed.begin(), committed.end(), "lost") == 0 &&
           cluster.now - start < std::chrono::seconds(3))
      cluster.run_for(milliseconds(10));
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(cluster.now - start).count();
    CPPUNIT_ASSERT_MESSAGE(
        "ms until the lost entry commits: " + std::to_string(elapsed),
        elapsed < 300);
  }

  auto mismatch_is_repaired_at_once() -> void {
    make_leader();
    node_->propose({"entry"}, now_);
    node_->take_effects();
    const auto sent =
        appends_to(2, receive(2, 2, append_reply{false, 1, 2})).at(0);
    CPPUNIT_ASSERT_EQUAL(log_index{1}, sent.prev_index);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sent.entries.size());
  }

  auto late_mismatch_does_not_send_entries_again() -> void {
    make_leader();
    receive(2, 2, append_reply{false, 1, 2});
    CPPUNIT_ASSERT(
        appends_to(2, receive(2, 2, append_reply{false, 1, 2})).empty());
  }

  auto followers_learn_of_a_commit_before_the_next_heartbeat() -> void {
    fake_cluster cluster(3);
    cluster.run_for(milliseconds(1500));
    const auto leader = *cluster.leader();
    while (!cluster.network.empty() || !cluster.propose(leader, "entry"))
      cluster.run_for(milliseconds(10));
    for (int i = 0; i < 20 && !cluster.network.empty(); ++i)
      cluster.deliver(0);  // no tick
    CPPUNIT_ASSERT(cluster.network.empty());
    for (std::size_t i = 0; i < 3; ++i)
      CPPUNIT_ASSERT_EQUAL(std::string("entry"), cluster.at(i).applied.back());
  }

  auto late_acknowledgement_is_answered_with_the_commit_index() -> void {
    make_leader();
    node_->propose({"entry"}, now_);
    node_->take_effects();
    receive(2, 2, append_reply{true, 4, 2});
    CPPUNIT_ASSERT_EQUAL(log_index{4}, heartbeat_to(3).leader_commit);
    const auto sent = appends_to(3, receive(3, 2, append_reply{true, 4, 2}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    CPPUNIT_ASSERT_EQUAL(log_index{4}, sent[0].prev_index);
    CPPUNIT_ASSERT_EQUAL(log_index{4}, sent[0].leader_commit);
  }

  auto fuzz_five() -> void {
    check_property("five replicas agree with the list of commands",
                   [] { run_history(5, *step_codes()); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);

}  // namespace pollenloft::test
