#include "pollenloft/poison.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

constexpr std::size_t vm_count = 9;
constexpr std::uint64_t system_part = 1;  // of all requests
constexpr std::uint64_t account_part = 2;
constexpr std::uint64_t harmful_part = 3;
constexpr std::uint64_t first_own_part = 100;

/// VMs, the leader's records, and requests that run on endpoints one after the
/// other. VMs learn of the leader's records `share_delay` after a change.
class simulation {
 public:
  explicit simulation(std::uint64_t seed) : random_(seed) {
    for (std::size_t vm = 0; vm < vm_count; ++vm)
      guards_.emplace_back("vm-" + std::to_string(vm));
  }

  auto wait(milliseconds time) -> void {
    for (auto passed = milliseconds(0); passed < time;
         passed += share_interval) {
      now_ += share_interval;
      share();
    }
  }

  /// Whether a VM admits a request with these parts now.
  auto admitted(const std::vector<std::uint64_t>& parts) -> bool {
    vm_ = random_.below(vm_count);
    return guards_.at(vm_).admit({next_request_++, parts}, time()) ==
           duration::zero();
  }

  /// An endpoint crashes under the requests with these parts, before their
  /// first events, on the VM that was asked last.
  auto crash(const std::vector<std::vector<std::uint64_t>>& requests) -> void {
    const auto endpoint = "e" + std::to_string(++crashes);
    for (const auto& parts : requests) {
      auto& guard = guards_.at(random_.below(vm_count));
      for (const auto part : parts)
        if (guard.record_part_crash(part, endpoint, time()))
          report(part, endpoint);
    }
  }

  auto survive(const std::vector<std::uint64_t>& parts) -> void {
    for (const auto part : parts)
      if (guards_.at(vm_).record_part_survival(part, time())) {
        wire::blame_command report;
        report.fingerprint = static_cast<std::int64_t>(part);
        report.part = report.survived = true;
        submit(report);
      }
  }

  /// A new leader has only what was committed.
  auto lose_leader() -> void { inbox_ = crash_inbox(); }
  auto below(std::uint64_t limit) -> std::uint64_t {
    return random_.below(limit);
  }

  int crashes = 0;

 private:
  static constexpr auto share_interval = milliseconds(100);

  auto time() const -> instant { return instant{} + now_; }

  auto report(std::uint64_t part, const std::string& endpoint) -> void {
    wire::blame_command report;
    report.fingerprint = static_cast<std::int64_t>(part);
    report.part = true;
    report.endpoint = endpoint;
    report.account = "a";
    report.points = inferred_points_before_first_event;
    submit(report);
  }

  auto submit(wire::blame_command report) -> void {
    report.at_ms = now_.count();
    for (const auto& each : inbox_.add(report, ledger_))
      ledger_.apply(each);
  }

  auto share() -> void {
    auto suspects = ledger_.suspects();
    std::vector<std::string> vms;
    for (std::size_t vm = 0; vm < vm_count; ++vm)
      vms.push_back("vm-" + std::to_string(vm));
    nominate_trials(suspects, vms, now_);
    for (auto& each : suspects) {
      each.age_ms = now_.count() - each.at_ms;
      each.first_age_ms = now_.count() - each.first_at_ms;
    }
    for (auto& guard : guards_)
      for (const auto& survival : guard.update(suspects, time()))
        submit(survival);
  }

  random_source random_;
  milliseconds now_{1000000};
  crash_ledger ledger_;
  crash_inbox inbox_;
  std::vector<crash_guard> guards_;
  std::size_t vm_ = 0;
  std::uint64_t next_request_ = 1000000;
};

}  // namespace

class part_verdict_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(part_verdict_test);
  CPPUNIT_TEST(new_requests_with_a_harmful_part_crash_more_than_five);
  CPPUNIT_TEST(harmful_part_is_forgotten_with_the_leader);
  CPPUNIT_TEST(sound_requests_are_held_beside_a_harmful_part);
  CPPUNIT_TEST(sound_requests_are_held_beside_ordinary_crashes);
  CPPUNIT_TEST(parts_lost_at_one_moment_are_held);
  CPPUNIT_TEST(wrong_verdict_lasts);
  CPPUNIT_TEST(trials_crash_endpoints_again_and_again);
  CPPUNIT_TEST(one_account_displaces_the_reports_of_others);
  CPPUNIT_TEST_SUITE_END();

  /// The shared parts of a request: `count` with the harmful one in the middle.
  static auto harmful_prompt(std::size_t count) -> std::vector<std::uint64_t> {
    std::vector<std::uint64_t> parts{harmful_part};
    if (count > 1) parts.insert(parts.begin(), system_part);
    if (count > 2) parts.insert(parts.begin() + 1, account_part);
    for (std::size_t i = parts.size(); i < count; ++i)
      parts.push_back(first_own_part + i);
    return parts;
  }
  static auto sound_prompt(std::uint64_t own) -> std::vector<std::uint64_t> {
    return {system_part, account_part, first_own_part + 50 + own};
  }

  /// Sends harmful requests, each a crash if it is admitted, until none has
  /// been admitted for a while; returns the crashes.
  static auto run_harmful(simulation& world, std::size_t count,
                          bool lose_leader = false) -> int {
    for (int i = 0; i < 40; ++i) {
      if (world.admitted(harmful_prompt(count)))
        world.crash({harmful_prompt(count), sound_prompt(world.below(20))});
      if (lose_leader && world.crashes == 2) world.lose_leader();
      world.wait(milliseconds(100));
      if (world.admitted(sound_prompt(world.below(20))))
        world.survive(sound_prompt(world.below(20)));
    }
    return world.crashes;
  }

 public:
  auto new_requests_with_a_harmful_part_crash_more_than_five() -> void {
    for (std::size_t count = 1; count <= 8; ++count)
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        simulation world(seed);
        world.admitted(sound_prompt(0));
        world.survive(sound_prompt(0));
        // Crashes 100 ms apart count once in 250 ms.
        CPPUNIT_ASSERT(run_harmful(world, count) <= 9);
        const auto before = world.crashes;
        for (int i = 0; i < 20; ++i)
          CPPUNIT_ASSERT(!world.admitted(harmful_prompt(count)) ||
                         world.crashes > before);
      }
  }

  auto harmful_part_is_forgotten_with_the_leader() -> void {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      simulation world(seed);
      CPPUNIT_ASSERT(run_harmful(world, 3, true) <= 14);
    }
  }

  auto sound_requests_are_held_beside_a_harmful_part() -> void {
    auto held = 0;
    auto sent = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      simulation world(seed);
      for (std::uint64_t own = 0; own < 20; ++own) {
        world.admitted(sound_prompt(own));
        world.survive(sound_prompt(own));
      }
      run_harmful(world, 4);
      for (int i = 0; i < 100; ++i) {
        const auto parts = sound_prompt(world.below(40));
        ++sent;
        if (world.admitted(parts))
          world.survive(parts);
        else
          ++held;
        world.wait(milliseconds(100));
      }
    }
    CPPUNIT_ASSERT(sent == 2000);
    CPPUNIT_ASSERT_EQUAL(0, held);
  }

  /// Every second an endpoint crashes under five requests of other sessions; a
  /// hundred others are answered meanwhile.
  auto sound_requests_are_held_beside_ordinary_crashes() -> void {
    auto held = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      simulation world(seed);
      for (int second = 0; second < 100; ++second) {
        std::vector<std::vector<std::uint64_t>> lost;
        for (int i = 0; i < 5; ++i)
          lost.push_back(sound_prompt(world.below(1000)));
        world.crash(lost);
        for (int i = 0; i < 100; ++i) {
          const auto parts = sound_prompt(world.below(1000));
          if (world.admitted(parts))
            world.survive(parts);
          else
            ++held;
        }
        world.wait(milliseconds(1000));
      }
    }
    CPPUNIT_ASSERT_EQUAL(0, held);
  }

  auto parts_lost_at_one_moment_are_held() -> void {
    simulation world(1);
    for (int i = 0; i < 12; ++i)
      world.crash({sound_prompt(0), sound_prompt(1)});
    world.wait(milliseconds(200));
    for (std::size_t i = 0; i < 4 * vm_count; ++i)
      CPPUNIT_ASSERT(world.admitted(sound_prompt(1)));
  }

  auto wrong_verdict_lasts() -> void {
    simulation world(1);
    for (int i = 0; i < 3; ++i) {
      world.crash({sound_prompt(0)});
      world.wait(milliseconds(300));
    }
    CPPUNIT_ASSERT(!world.admitted(sound_prompt(0)));
    // Each VM gets a request a second; the trial survives.
    auto waited = milliseconds(0);
    while (waited < std::chrono::seconds(15)) {
      for (std::size_t i = 0; i < vm_count; ++i)
        if (world.admitted(sound_prompt(0))) world.survive(sound_prompt(0));
      world.wait(milliseconds(1000));
      waited += milliseconds(1000);
    }
    for (std::size_t i = 0; i < 4 * vm_count; ++i)
      CPPUNIT_ASSERT(world.admitted(sound_prompt(0)));
  }

  auto trials_crash_endpoints_again_and_again() -> void {
    simulation world(1);
    for (int i = 0; i < 5; ++i) {
      world.crash({harmful_prompt(3)});
      world.wait(milliseconds(300));
    }
    const auto before = world.crashes;
    for (int i = 0; i < 100 * 10; ++i) {
      if (world.admitted(harmful_prompt(3))) world.crash({harmful_prompt(3)});
      world.wait(milliseconds(100));
    }
    CPPUNIT_ASSERT(world.crashes - before <= 2);
  }

  auto one_account_displaces_the_reports_of_others() -> void {
    crash_limits limits;
    limits.max_records = 64;
    crash_inbox inbox(limits);
    const crash_ledger ledger(limits);
    const auto report = [&](std::int64_t part, const std::string& account,
                            const std::string& endpoint, std::int64_t at_ms) {
      wire::blame_command command;
      command.fingerprint = part;
      command.part = true;
      command.account = account;
      command.endpoint = endpoint;
      command.points = inferred_points_before_first_event;
      command.at_ms = at_ms;
      return inbox.add(command, ledger).size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, report(1, "small", "e1", 1000));
    for (std::int64_t i = 0; i < 1000; ++i)
      report(1000 + i, "large", "e2", 2000 + i);
    CPPUNIT_ASSERT(inbox.size() <= 64);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, report(1, "small", "e3", 4000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(part_verdict_test);

}  // namespace pollenloft::test
