#include <vector>

#include "pollenloft/notice.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

constexpr auto tick = milliseconds(5);
/// From a VM's report to the directory of all others.
constexpr auto directory_delay = milliseconds(200);
/// Half of the time after which no request may reach a leaving endpoint.
constexpr auto obey_time = milliseconds(1000);

struct leaving_outcome {
  std::size_t reports = 0;  ///< to the leader, for one endpoint
  std::size_t late = 0;     ///< requests that reach it after `obey_time`
};

/// An endpoint that gets 40 requests a second of all VMs says from the start
/// that it leaves, in answers after 30 ms.
auto play(std::size_t vm_count, bool has_leader) -> leaving_outcome {
  constexpr double requests_per_s = 40;
  constexpr auto answer_time = milliseconds(30);
  constexpr auto length = std::chrono::seconds(30);
  struct vm {
    notice_register notices;
    std::optional<instant> answer_due;
    std::optional<instant> told;  // first answer that says so
  };
  std::vector<vm> vms(vm_count);
  random_source random(vm_count);
  std::optional<instant> all_know;
  leaving_outcome outcome;
  const auto start = instant{} + std::chrono::hours(1);
  const auto per_tick =
      requests_per_s * seconds(tick) / static_cast<double>(vm_count);
  for (auto now = start; now < start + length; now += tick)
    for (auto& each : vms) {
      if (all_know && now >= *all_know)
        each.notices.add_leaving({"e", "1", 6}, now);
      if (each.answer_due && now >= *each.answer_due) {
        each.answer_due.reset();
        if (!each.told) each.told = now;
        if (each.notices.add_leaving({"e", "1", 6}, now)) {
          outcome.reports += each.notices.take_report("e", "1", now) ? 1 : 0;
          if (has_leader && !all_know) all_know = now + directory_delay;
        }
      }
      if (random.unit() >= per_tick || !each.notices.admits("e", "1", now))
        continue;
      each.answer_due = now + answer_time;
      outcome.late += each.told && now >= *each.told + obey_time ? 1 : 0;
    }
  return outcome;
}

}  // namespace

class leaving_spread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(leaving_spread_test);
  CPPUNIT_TEST(each_vm_reports_a_leaving_endpoint);
  CPPUNIT_TEST(vm_that_was_told_sends_more_without_a_leader);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// At most the requests of the time until all VMs know, whatever their
  /// number.
  auto each_vm_reports_a_leaving_endpoint() -> void {
    for (const std::size_t vms : {9, 79, 295, 380}) {
      const auto outcome = play(vms, true);
      CPPUNIT_ASSERT(outcome.reports >= 1 && outcome.reports <= 20);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcome.late);
    }
  }

  auto vm_that_was_told_sends_more_without_a_leader() -> void {
    for (const std::size_t vms : {9, 79, 295, 380}) {
      const auto outcome = play(vms, false);
      CPPUNIT_ASSERT(outcome.reports <= vms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcome.late);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_spread_test);

}  // namespace pollenloft::test
