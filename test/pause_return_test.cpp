#include <algorithm>
#include <utility>

#include "pollenloft/notice.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

constexpr auto tick = milliseconds(5);
constexpr auto pause_length = milliseconds(2000);

/// VMs that all have a request waiting for one endpoint when its pause ends.
struct fleet_load {
  std::size_t vms = 9;
  std::int32_t slots = 6;
  duration service_time = milliseconds(60);
  bool refuses_first_trials = false;
};

struct pause_outcome {
  std::size_t first_second = 0;  ///< arrivals in it after the pause
  std::size_t early = 0;         ///< arrivals during the pause
  duration all_back{};           ///< until each VM has been answered
};

/// Plays the pause: each VM sends as soon as its register admits a request.
auto play(const fleet_load& load) -> pause_outcome {
  struct vm {
    notice_register notices;
    std::optional<instant> answer_due;
    instant asked{};
    bool back = false;
  };
  std::vector<vm> vms;
  const auto start = instant{} + std::chrono::hours(1);
  for (std::size_t i = 0; i < load.vms; ++i) {
    vms.push_back({notice_register(i + 1), std::nullopt, {}, false});
    vms.back().notices.set_vm_count(load.vms);
    vms.back().notices.add_pause({"e", "1", load.slots}, pause_length, start);
  }
  pause_outcome outcome;
  const auto end = start + pause_length;
  for (auto now = start; now < end + std::chrono::seconds(20); now += tick) {
    for (auto& each : vms) {
      if (each.answer_due && now >= *each.answer_due) {
        each.answer_due.reset();
        each.notices.add_response("e", "1", each.asked);
        if (!std::exchange(each.back, true)) outcome.all_back = now - end;
      }
      if (each.back || each.answer_due) continue;
      if (!each.notices.admits("e", "1", now)) continue;
      each.notices.take("e", "1", now);
      each.asked = now;
      each.answer_due = now + load.service_time;
      outcome.early += now < end ? 1 : 0;
      outcome.first_second += now < end + std::chrono::seconds(1) ? 1 : 0;
    }
  }
  CPPUNIT_ASSERT(std::all_of(vms.begin(), vms.end(),
                             [](const auto& each) { return each.back; }));
  return outcome;
}

/// Requests that the endpoint serves in a second.
auto capacity(const fleet_load& load) -> double {
  return load.slots / std::chrono::duration<double>(load.service_time).count();
}

}  // namespace

class pause_return_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pause_return_test);
  CPPUNIT_TEST(plain_endpoint_gets_more_than_it_serves);
  CPPUNIT_TEST(runner_gets_more_than_it_has_slots);
  CPPUNIT_TEST(vms_stay_away_after_the_pause);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto plain_endpoint_gets_more_than_it_serves() -> void {
    for (const std::size_t vms : {9, 79, 295, 380}) {
      const fleet_load load{vms, 6, milliseconds(60)};
      const auto outcome = play(load);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcome.early);
      CPPUNIT_ASSERT(static_cast<double>(outcome.first_second) <=
                     capacity(load));
    }
  }

  auto runner_gets_more_than_it_has_slots() -> void {
    for (const std::size_t vms : {9, 79, 295, 380}) {
      const auto outcome = play({vms, 192, std::chrono::seconds(4)});
      CPPUNIT_ASSERT(outcome.first_second <= 192);
    }
  }

  auto vms_stay_away_after_the_pause() -> void {
    for (const std::size_t vms : {9, 79, 295, 380}) {
      const auto outcome = play({vms, 6, milliseconds(60)});
      CPPUNIT_ASSERT(outcome.all_back <= std::chrono::seconds(6));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pause_return_test);

}  // namespace pollenloft::test
