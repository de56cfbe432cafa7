#include "pollenloft/poison.hpp"

#include "property.hpp"

namespace pollenloft::test {
namespace {

constexpr std::uint64_t killer = 1;
constexpr std::uint64_t bystander = 2;
constexpr auto points = inferred_points_before_first_event;
constexpr std::int64_t start_ms = 1000000;
const instant start{std::chrono::hours(1)};

auto crash(std::uint64_t fingerprint, const std::string& endpoint,
           std::int64_t at_ms = start_ms) -> wire::blame_command {
  wire::blame_command report;
  report.fingerprint = static_cast<std::int64_t>(fingerprint);
  report.endpoint = endpoint;
  report.points = points;
  report.at_ms = at_ms;
  return report;
}

auto survival(std::uint64_t fingerprint) -> wire::blame_command {
  wire::blame_command report;
  report.fingerprint = static_cast<std::int64_t>(fingerprint);
  report.survived = true;
  report.at_ms = start_ms;
  return report;
}

auto listed_points(const crash_ledger& ledger, std::uint64_t fingerprint)
    -> int {
  for (const auto& suspect : ledger.suspects())
    if (static_cast<std::uint64_t>(suspect.fingerprint) == fingerprint)
      return suspect.points;
  return 0;
}

auto crash_three(crash_guard& guard, std::uint64_t fingerprint, instant now)
    -> void {
  for (const auto* endpoint : {"a", "b", "c"})
    guard.record_crash(fingerprint, endpoint, points, now);
}

}  // namespace

class poison_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(poison_test);
  CPPUNIT_TEST(request_runs_after_its_third_crash);
  CPPUNIT_TEST(one_crash_counts_for_each_request_on_the_endpoint);
  CPPUNIT_TEST(crash_known_to_the_leader_counts_again);
  CPPUNIT_TEST(request_that_runs_to_the_end_stays_suspect);
  CPPUNIT_TEST(bystander_of_a_poison_request_is_held_back);
  CPPUNIT_TEST(equal_records_explain_each_other);
  CPPUNIT_TEST(records_grow_without_bound);
  CPPUNIT_TEST(record_of_many_points_is_evicted_first);
  CPPUNIT_TEST(single_crash_is_committed);
  CPPUNIT_TEST(reports_held_back_are_not_committed_with_the_second);
  CPPUNIT_TEST(restored_ledger_forgets_suspects);
  CPPUNIT_TEST(cleared_request_stays_held_back);
  CPPUNIT_TEST(crash_after_admission_does_not_stop_the_request);
  CPPUNIT_TEST(trials_of_all_vms_come_at_once);
  CPPUNIT_TEST(trial_admits_more_than_one);
  CPPUNIT_TEST(crash_in_a_trial_does_not_prolong_the_hold);
  CPPUNIT_TEST(popular_request_is_held_back_beside_random_crashes);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto request_runs_after_its_third_crash() -> void {
    crash_guard guard("1");
    guard.record_crash(killer, "a", points, start);
    guard.record_crash(killer, "b", points, start);
    CPPUNIT_ASSERT(guard.admit({killer}, start) == duration::zero());
    guard.record_crash(killer, "c", points, start);
    CPPUNIT_ASSERT(guard.admit({killer}, start) > std::chrono::seconds(10));
    CPPUNIT_ASSERT(guard.admit({bystander}, start) == duration::zero());
  }

  auto one_crash_counts_for_each_request_on_the_endpoint() -> void {
    crash_guard guard("1");
    crash_ledger ledger;
    for (int i = 0; i < 5; ++i) {
      guard.record_crash(killer, "a", points, start);
      ledger.apply(crash(killer, "a"));
    }
    CPPUNIT_ASSERT_EQUAL(points, guard.points(killer));
    CPPUNIT_ASSERT_EQUAL(points, ledger.points(killer));
  }

  auto crash_known_to_the_leader_counts_again() -> void {
    crash_ledger ledger;
    ledger.apply(crash(bystander, "a"));
    ledger.apply(crash(bystander, "b"));
    crash_guard guard("1");
    guard.update(ledger.suspects(), start);
    guard.record_crash(bystander, "b", points, start);
    CPPUNIT_ASSERT_EQUAL(2 * points, guard.points(bystander));
    guard.record_crash(bystander, "c", points, start);
    CPPUNIT_ASSERT_EQUAL(3 * points, guard.points(bystander));
  }

  auto request_that_runs_to_the_end_stays_suspect() -> void {
    crash_ledger ledger;
    for (const auto* endpoint : {"a", "b", "c"})
      ledger.apply(crash(bystander, endpoint));
    CPPUNIT_ASSERT_EQUAL(3 * points, listed_points(ledger, bystander));
    ledger.apply(survival(bystander));
    CPPUNIT_ASSERT(ledger.suspects().empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, ledger.suspects_digest());

    crash_guard guard("1");
    crash_three(guard, bystander, start);
    CPPUNIT_ASSERT(guard.record_survival(bystander));
    CPPUNIT_ASSERT(!guard.record_survival(bystander));
    CPPUNIT_ASSERT(guard.admit({bystander}, start) == duration::zero());
  }

  auto bystander_of_a_poison_request_is_held_back() -> void {
    crash_ledger ledger;
    for (const auto* endpoint : {"a", "b", "c", "d", "e", "f"})
      ledger.apply(crash(killer, endpoint));
    for (const auto* endpoint : {"a", "c", "d"})
      ledger.apply(crash(bystander, endpoint));
    CPPUNIT_ASSERT_EQUAL(6 * points, listed_points(ledger, killer));
    CPPUNIT_ASSERT_EQUAL(0, listed_points(ledger, bystander));
    for (const auto* endpoint : {"x", "y"})
      ledger.apply(crash(bystander, endpoint));
    CPPUNIT_ASSERT_EQUAL(2 * points, listed_points(ledger, bystander));
  }

  /// Two requests that were on the same endpoints can't be told apart.
  auto equal_records_explain_each_other() -> void {
    crash_ledger ledger;
    for (const auto* endpoint : {"a", "b", "c"}) {
      ledger.apply(crash(killer, endpoint));
      ledger.apply(crash(bystander, endpoint));
    }
    CPPUNIT_ASSERT_EQUAL(3 * points, listed_points(ledger, killer));
    CPPUNIT_ASSERT_EQUAL(3 * points, listed_points(ledger, bystander));
  }

  auto records_grow_without_bound() -> void {
    crash_limits limits;
    limits.max_records = 100;
    limits.max_suspects = 10;
    crash_ledger ledger(limits);
    for (std::uint64_t i = 0; i < 1000; ++i)
      for (const auto* endpoint : {"a", "b"})
        ledger.apply(crash(1000 + i, endpoint + std::to_string(i)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, ledger.records().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, ledger.suspects().size());
    const auto later = milliseconds(start_ms) + std::chrono::hours(2);
    ledger.expire(later);
    CPPUNIT_ASSERT(ledger.records().empty());
    for (int i = 0; i < 1000; ++i)
      ledger.apply(crash(killer, std::to_string(i)));
    CPPUNIT_ASSERT_EQUAL(1000 * points, ledger.points(killer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8},
                         ledger.suspects().front().endpoints.size());
  }

  auto record_of_many_points_is_evicted_first() -> void {
    crash_limits limits;
    limits.max_records = 10;
    crash_ledger ledger(limits);
    for (const auto* endpoint : {"a", "b", "c"})
      ledger.apply(crash(killer, endpoint));
    for (std::uint64_t i = 100; i < 200; ++i)
      ledger.apply(crash(i, "d", start_ms + 1));
    CPPUNIT_ASSERT_EQUAL(3 * points, ledger.points(killer));
  }

  auto single_crash_is_committed() -> void {
    crash_inbox inbox;
    crash_ledger committed;
    for (std::uint64_t i = 0; i < 100; ++i)
      CPPUNIT_ASSERT(inbox.add(crash(i, "a"), committed).empty());
    CPPUNIT_ASSERT(inbox.add(crash(1, "a"), committed).empty());
    for (std::uint64_t i = 0; i < 100; ++i)
      CPPUNIT_ASSERT(inbox.add(survival(i), committed).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, inbox.size());
  }

  auto reports_held_back_are_not_committed_with_the_second() -> void {
    crash_inbox inbox;
    crash_ledger committed;
    inbox.add(crash(killer, "a"), committed);
    auto due = inbox.add(crash(killer, "b"), committed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, due.size());
    for (const auto& report : due)
      committed.apply(report);
    due = inbox.add(crash(killer, "c"), committed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         inbox.add(survival(killer), committed).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, inbox.size());
  }

  auto restored_ledger_forgets_suspects() -> void {
    crash_ledger ledger;
    for (const auto* endpoint : {"a", "b", "c"})
      ledger.apply(crash(killer, endpoint));
    crash_ledger restored;
    restored.load(ledger.records());
    CPPUNIT_ASSERT_EQUAL(ledger.suspects_digest(), restored.suspects_digest());
    CPPUNIT_ASSERT_EQUAL(3 * points, listed_points(restored, killer));
  }

  auto cleared_request_stays_held_back() -> void {
    crash_ledger ledger;
    for (const auto* endpoint : {"a", "b", "c"})
      ledger.apply(crash(bystander, endpoint));
    crash_guard guard("1");
    guard.update(ledger.suspects(), start);
    CPPUNIT_ASSERT(guard.admit({bystander}, start) > duration::zero());
    ledger.apply(survival(bystander));
    guard.update(ledger.suspects(), start);
    CPPUNIT_ASSERT(guard.admit({bystander}, start) == duration::zero());
  }

  auto crash_after_admission_does_not_stop_the_request() -> void {
    crash_guard guard("1");
    crash_three(guard, killer, start + milliseconds(10));
    CPPUNIT_ASSERT(guard.stopped_since({killer}, start));
    CPPUNIT_ASSERT(!guard.stopped_since({killer}, start + milliseconds(20)));
  }

  auto trials_of_all_vms_come_at_once() -> void {
    constexpr int vms = 380;
    int open_after_a_tenth = 0;
    for (int vm = 0; vm < vms; ++vm) {
      crash_guard guard(std::to_string(vm));
      crash_three(guard, killer, start);
      const auto wait = guard.held_for({killer}, start);
      CPPUNIT_ASSERT(wait >= std::chrono::seconds(20));
      CPPUNIT_ASSERT(wait <= std::chrono::seconds(40));
      open_after_a_tenth += wait < std::chrono::seconds(22) ? 1 : 0;
    }
    CPPUNIT_ASSERT(open_after_a_tenth > 0);
    CPPUNIT_ASSERT(open_after_a_tenth < vms / 5);
  }

  auto trial_admits_more_than_one() -> void {
    crash_guard guard("1");
    crash_three(guard, killer, start);
    const auto trial = start + std::chrono::seconds(41);
    CPPUNIT_ASSERT(guard.admit({killer}, trial) == duration::zero());
    CPPUNIT_ASSERT(guard.admit({killer}, trial) > duration::zero());
    CPPUNIT_ASSERT(!guard.stopped_since({killer}, trial));
  }

  auto crash_in_a_trial_does_not_prolong_the_hold() -> void {
    crash_guard guard("1");
    crash_three(guard, killer, start);
    const auto trial = start + std::chrono::seconds(41);
    guard.admit({killer}, trial);
    guard.record_crash(killer, "d", points, trial);
    CPPUNIT_ASSERT(guard.stopped_since({killer}, trial - milliseconds(1)));
    CPPUNIT_ASSERT(guard.held_for({killer}, trial) >= std::chrono::seconds(60));
  }

  /// Nine VMs send one request 50 times a second to 3 endpoints, each of which
  /// crashes every 2 s; a run lasts 60 ms.
  auto popular_request_is_held_back_beside_random_crashes() -> void {
    constexpr int requests = 20000;
    constexpr std::int64_t run_ms = 60;
    constexpr std::int64_t crash_period_ms = 2000;
    constexpr std::int64_t request_period_ms = 20;
    crash_ledger ledger;
    std::vector<crash_guard> guards;
    for (std::uint64_t vm = 0; vm < 9; ++vm)
      guards.emplace_back(std::to_string(vm));
    random_source random(7);
    auto held_back = 0;
    auto crashes = 0;
    for (int i = 0; i < requests; ++i) {
      const auto ms = i * request_period_ms;
      const auto now = start + milliseconds(ms);
      auto& guard = guards.at(random.below(guards.size()));
      if (guard.admit({bystander}, now) > duration::zero()) {
        ++held_back;
        continue;
      }
      const auto endpoint = static_cast<std::int64_t>(random.below(3));
      const auto phase =
          (ms + endpoint * crash_period_ms / 3) % crash_period_ms;
      const auto crashed = phase + run_ms >= crash_period_ms;
      const auto name =
          std::to_string(endpoint) + "/" + std::to_string(ms / crash_period_ms);
      if (crashed && guard.record_crash(bystander, name, points, now)) {
        ++crashes;
        ledger.apply(crash(bystander, name, start_ms + ms));
      }
      if (!crashed && guard.record_survival(bystander))
        ledger.apply(survival(bystander));
      for (auto& each : guards)
        each.update(ledger.suspects(), now);
    }
    CPPUNIT_ASSERT(crashes > 300);
    CPPUNIT_ASSERT_EQUAL(0, held_back);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poison_test);

}  // namespace pollenloft::test
