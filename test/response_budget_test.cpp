#include "response_budget.hpp"

#include "raw_endpoint.hpp"

namespace pollenloft::test {
namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
const socket_address endless_peer{"127.0.9.7", 18148};
const socket_address sound_peer{"127.0.9.8", 18148};

auto count(const std::vector<budget_decision>& decisions, budget_action action)
    -> std::ptrdiff_t {
  return std::count_if(decisions.begin(), decisions.end(),
                       [&](const auto& each) { return each.action == action; });
}

}  // namespace

/// Each response is bounded, but many at once filled the memory of a VM.
class response_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(response_budget_test);
  CPPUNIT_TEST(response_is_paused_although_there_is_room);
  CPPUNIT_TEST(large_peer_pauses_the_others);
  CPPUNIT_TEST(response_is_rejected_before_it_has_time);
  CPPUNIT_TEST(response_past_its_part_goes_on);
  CPPUNIT_TEST(sound_responses_of_one_peer_wait_for_each_other);
  CPPUNIT_TEST(responses_stay_paused_although_there_is_room);
  CPPUNIT_TEST(endless_responses_fill_the_memory);
  CPPUNIT_TEST(sound_response_waits_for_endless_ones);
  CPPUNIT_TEST_SUITE_END();

  instant now_{std::chrono::hours(1)};

 public:
  auto response_is_paused_although_there_is_room() -> void {
    response_budget budget(10);
    budget.update(1, "a", 10);
    CPPUNIT_ASSERT(!budget.needs_decisions());
    CPPUNIT_ASSERT(budget.decide(now_).empty());
  }

  auto large_peer_pauses_the_others() -> void {
    response_budget budget(100);
    for (std::uint64_t id = 1; id <= 4; ++id)
      budget.update(id, "a", 20);
    budget.update(5, "b", 30);
    const auto decisions = budget.decide(now_);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2},
                         count(decisions, budget_action::pause));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, decisions.front().id);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decisions.size());
  }

  auto response_is_rejected_before_it_has_time() -> void {
    response_budget budget(100);
    for (std::uint64_t id = 1; id <= 6; ++id)
      budget.update(id, "a", 20);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{4},
                         count(budget.decide(now_), budget_action::pause));
    CPPUNIT_ASSERT(budget.decide(now_ + milliseconds(900)).empty());
    const auto decisions = budget.decide(now_ + milliseconds(1100));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2},
                         count(decisions, budget_action::reject));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, decisions.front().id);
  }

  auto response_past_its_part_goes_on() -> void {
    response_budget budget(100);
    budget.update(1, "a", 26);
    budget.update(2, "a", 80);
    budget.update(3, "a", 10);
    const auto decisions = budget.decide(now_);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2},
                         count(decisions, budget_action::reject));
  }

  auto responses_stay_paused_although_there_is_room() -> void {
    response_budget budget(100);
    for (std::uint64_t id = 1; id <= 4; ++id)
      budget.update(id, "a", 26);
    budget.decide(now_);
    budget.remove(1);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2},
                         count(budget.decide(now_), budget_action::resume));
    CPPUNIT_ASSERT(!budget.needs_decisions());
    CPPUNIT_ASSERT_EQUAL(std::size_t{78}, budget.held_bytes());
  }

  /// 40 answers of 20 need eight times the budget; with all of them waiting,
  /// none would end.
  auto sound_responses_of_one_peer_wait_for_each_other() -> void {
    response_budget budget(100);
    std::map<std::uint64_t, std::size_t> held;
    std::set<std::uint64_t> paused;
    for (std::uint64_t id = 1; id <= 40; ++id)
      held[id] = 0;
    for (int round = 0; round < 1000 && !held.empty(); ++round) {
      for (auto it = held.begin(); it != held.end();) {
        if (paused.count(it->first) == 0) ++it->second;
        if (it->second < 20) {
          budget.update(it->first, "a", it->second);
          ++it;
        } else {
          budget.remove(it->first);
          it = held.erase(it);
        }
      }
      for (const auto& each : budget.decide(now_ + milliseconds(round))) {
        CPPUNIT_ASSERT(each.action != budget_action::reject);
        if (each.action == budget_action::pause)
          paused.insert(each.id);
        else
          paused.erase(each.id);
      }
    }
    CPPUNIT_ASSERT(held.empty());
  }

  /// Calls an endpoint whose answers don't end 24 times, and a sound one.
  struct outcome {
    std::size_t most_held = 0;
    int endless_interrupted = 0;
    duration sound_after{};
    std::size_t sound_bytes = 0;
  };
  static auto call_endless_and_sound(std::size_t max_bytes) -> outcome {
    constexpr int calls = 24;
    event_loop loop;
    raw::raw_endpoint endless(loop, endless_peer);
    endless.responses = {{"HTTP/1.1 200 OK\r\n\r\n", raw::ending::none,
                          std::string(64 * kilobyte, 'x')}};
    raw::raw_endpoint sound(loop, sound_peer);
    sound.responses = {
        {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(megabyte) +
         "\r\n\r\n" + std::string(megabyte, 'y')}};
    http_client client(loop, max_bytes);
    outcome seen;
    auto open = calls + 1;
    const auto end_one = [&] {
      if (--open == 0) loop.stop();
    };
    for (int i = 0; i < calls; ++i)
      client.send(
          http_call{
              endless_peer, "POST", "/", {}, "hello", std::chrono::seconds(8)},
          {{}, {}, [&](const auto& result, auto) {
             seen.endless_interrupted +=
                 std::holds_alternative<call_interrupted>(result) ? 1 : 0;
             end_one();
           }});
    const auto later = loop.after(milliseconds(500), [&] {
      const auto asked = boottime_clock::now();
      client.send(
          http_call{
              sound_peer, "POST", "/", {}, "hello", std::chrono::seconds(8)},
          {{}, {}, [&, asked](const auto& /*result*/, auto body) {
             seen.sound_after = boottime_clock::now() - asked;
             seen.sound_bytes = body.size();
             end_one();
           }});
    });
    const auto watch = loop.every(milliseconds(5), [&] {
      seen.most_held = std::max(seen.most_held, client.held_response_bytes());
    });
    loop.run();
    return seen;
  }

  auto endless_responses_fill_the_memory() -> void {
    const auto seen = call_endless_and_sound(8 * megabyte);
    CPPUNIT_ASSERT_EQUAL(24, seen.endless_interrupted);
    CPPUNIT_ASSERT(seen.most_held > 8 * megabyte);
    CPPUNIT_ASSERT(seen.most_held < 12 * megabyte);
  }

  auto sound_response_waits_for_endless_ones() -> void {
    const auto seen = call_endless_and_sound(8 * megabyte);
    CPPUNIT_ASSERT_EQUAL(megabyte, seen.sound_bytes);
    CPPUNIT_ASSERT(seen.sound_after < std::chrono::seconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_budget_test);

}  // namespace pollenloft::test
