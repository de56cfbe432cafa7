#include "connection_budget.hpp"

#include "property.hpp"

namespace pollenloft::test {
namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

}  // namespace

class connection_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(connection_budget_test);
  CPPUNIT_TEST(large_request_alone_is_not_held_up);
  CPPUNIT_TEST(largest_body_in_chunks_of_one_byte_arrives_alone);
  CPPUNIT_TEST(stalled_requests_are_refused_before_moving_ones);
  CPPUNIT_TEST(small_requests_pass_a_crowd);
  CPPUNIT_TEST(large_requests_arrive_one_after_the_other);
  CPPUNIT_TEST(unread_responses_are_closed);
  CPPUNIT_TEST(idle_connections_end_before_requests);
  CPPUNIT_TEST(new_connection_outlives_slow_requests);
  CPPUNIT_TEST(answered_requests_are_never_ended);
  CPPUNIT_TEST(large_body_being_answered_ends_no_small_request);
  CPPUNIT_TEST(small_bodies_are_not_admitted_without_bound);
  CPPUNIT_TEST(fuzz_bounds);
  CPPUNIT_TEST_SUITE_END();

  instant now_{std::chrono::seconds(100)};
  connection_budget budget_{{8 * megabyte, 100, 25 * megabyte}};

  auto arrive(std::uint64_t id, std::size_t bytes) -> void {
    constexpr std::size_t part = 16 * kilobyte;
    for (std::size_t i = 0; i < bytes / part; ++i)
      budget_.receive(id, part, now_);
  }
  auto count(connection_action action) -> std::size_t {
    const auto decisions = budget_.decide(now_);
    return static_cast<std::size_t>(
        std::count_if(decisions.begin(), decisions.end(),
                      [&](const auto& each) { return each.action == action; }));
  }

 public:
  auto large_request_alone_is_not_held_up() -> void {
    const auto id = budget_.open(now_);
    arrive(id, 4 * megabyte);
    CPPUNIT_ASSERT(!budget_.needs_decisions());
    CPPUNIT_ASSERT(budget_.admits_answer(4 * megabyte));
  }
  auto largest_body_in_chunks_of_one_byte_arrives_alone() -> void {
    const auto id = budget_.open(now_);
    arrive(id, 24 * megabyte);
    CPPUNIT_ASSERT(budget_.decide(now_).empty());
  }
  auto stalled_requests_are_refused_before_moving_ones() -> void {
    const auto moving = budget_.open(now_);
    std::vector<std::uint64_t> stalled;
    for (int i = 0; i < 4; ++i) {
      stalled.push_back(budget_.open(now_));
      arrive(stalled.back(), 2 * megabyte);
    }
    now_ += std::chrono::seconds(1);
    arrive(moving, 2 * megabyte);
    const auto decisions = budget_.decide(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.size());
    CPPUNIT_ASSERT(decisions.front().action == connection_action::refuse);
    CPPUNIT_ASSERT(decisions.front().id != moving);
  }
  auto small_requests_pass_a_crowd() -> void {
    const auto small = budget_.open(now_);
    for (int i = 0; i < 4; ++i)
      arrive(budget_.open(now_), 2 * megabyte + 64 * kilobyte);
    budget_.receive(small, 600, now_);
    for (const auto& decision : budget_.decide(now_))
      CPPUNIT_ASSERT(decision.id != small);
    CPPUNIT_ASSERT(budget_.admits_answer(600));
  }
  auto large_requests_arrive_one_after_the_other() -> void {
    std::vector<std::uint64_t> ids;
    for (int i = 0; i < 5; ++i) {
      ids.push_back(budget_.open(now_));
      arrive(ids.back(), 1700 * kilobyte);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), count(connection_action::pause));
    budget_.close(ids.front());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), count(connection_action::resume));
    CPPUNIT_ASSERT(!budget_.needs_decisions());
  }
  auto unread_responses_are_closed() -> void {
    for (int i = 0; i < 5; ++i) {
      const auto id = budget_.open(now_);
      budget_.begin_answer(id, 0, now_);
      budget_.end_answer(id, now_);
      budget_.set_unsent(id, 2 * megabyte, now_);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(connection_action::close));
    now_ += std::chrono::seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(connection_action::close));
    CPPUNIT_ASSERT(budget_.held_bytes() <= 8 * megabyte);
  }
  auto idle_connections_end_before_requests() -> void {
    const auto arriving = budget_.open(now_);
    budget_.receive(arriving, 100, now_);
    now_ += std::chrono::seconds(1);
    for (int i = 0; i < 102; ++i)
      budget_.open(now_);
    now_ += std::chrono::seconds(1);
    const auto decisions = budget_.decide(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), decisions.size());
    for (const auto& decision : decisions) {
      CPPUNIT_ASSERT(decision.action == connection_action::close);
      CPPUNIT_ASSERT(decision.id != arriving);
    }
  }
  auto new_connection_outlives_slow_requests() -> void {
    for (int i = 0; i < 100; ++i)
      budget_.receive(budget_.open(now_), 100, now_);
    now_ += std::chrono::seconds(1);
    const auto added = budget_.open(now_);
    const auto decisions = budget_.decide(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.size());
    CPPUNIT_ASSERT(decisions.front().id != added);
  }
  auto answered_requests_are_never_ended() -> void {
    for (int i = 0; i < 120; ++i)
      budget_.begin_answer(budget_.open(now_), 2 * megabyte, now_);
    now_ += std::chrono::seconds(60);
    CPPUNIT_ASSERT(budget_.decide(now_).empty());
    CPPUNIT_ASSERT(!budget_.admits_answer(2 * megabyte));
  }
  auto large_body_being_answered_ends_no_small_request() -> void {
    const auto answered = budget_.open(now_);
    budget_.begin_answer(answered, 4 * megabyte, now_);
    const auto unread = budget_.open(now_);
    budget_.set_unsent(unread, megabyte, now_);
    const auto small = budget_.open(now_);
    budget_.receive(small, 600, now_);
    now_ += milliseconds(600);
    CPPUNIT_ASSERT(budget_.decide(now_).empty());
  }
  auto small_bodies_are_not_admitted_without_bound() -> void {
    constexpr std::size_t body = 16 * kilobyte;
    for (int i = 0; i < 1000 && budget_.admits_answer(body); ++i)
      budget_.begin_answer(budget_.open(now_), body, now_);
    CPPUNIT_ASSERT(budget_.held_bytes() <= 10 * megabyte);
  }
  /// Whatever callers do, what arrives stays below the hard limit by more than
  /// one read of each connection.
  auto fuzz_bounds() -> void {
    check_property("bounds", [](std::vector<std::uint16_t> steps) {
      connection_budget budget({megabyte, 20, megabyte});
      instant now{std::chrono::seconds(1)};
      std::set<std::uint64_t> open;
      std::set<std::uint64_t> paused;
      for (const auto step : steps) {
        now += milliseconds(step % 7);
        const auto id = open.empty() || step % 5 == 0
                            ? *open.insert(budget.open(now)).first
                            : *std::next(open.begin(), step % open.size());
        if (paused.count(id) == 0) budget.receive(id, step, now);
        if (step % 11 == 0 && budget.admits_answer(step)) {
          budget.begin_answer(id, step, now);
          paused.erase(id);
        }
        if (step % 13 == 0) {
          budget.end_answer(id, now);
          budget.set_unsent(id, step, now);
          paused.erase(id);
        }
        if (!budget.needs_decisions()) continue;
        for (const auto& decision : budget.decide(now)) {
          if (decision.action == connection_action::pause) {
            paused.insert(decision.id);
            continue;
          }
          paused.erase(decision.id);
          if (decision.action == connection_action::resume) continue;
          budget.close(decision.id);
          open.erase(decision.id);
        }
        RC_ASSERT(open.size() <= 20U);
        RC_ASSERT(budget.held_bytes() <= 4 * megabyte);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_budget_test);

}  // namespace pollenloft::test
