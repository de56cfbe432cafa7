#include "front_notices.hpp"

namespace pollenloft::test {

using namespace front_notices;

class restart_pause_test : public fixture {
  CPPUNIT_TEST_SUITE(restart_pause_test);
  CPPUNIT_TEST(late_announcement_of_the_process_ends_its_pause);
  CPPUNIT_TEST(process_that_asked_for_no_pause_stays_excluded);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Sends 20 requests at once and waits until they have been answered.
  auto send_together() -> void {
    http_client callers(loop_);
    for (int i = 0; i < 20; ++i) {
      http_call call{front_address, "POST", "/x/" + std::to_string(i)};
      call.headers.add("Host", "h").add("Request-Id", std::to_string(i));
      callers.send(call, {});
    }
    wait(milliseconds(100));
  }

  auto announce_process(const std::string& incarnation) -> void {
    leader_->list(make_record("a", incarnation));
    wait(milliseconds(100));
  }

  /// The endpoint has started again, and its refusal arrives before its record.
  auto late_announcement_of_the_process_ends_its_pause() -> void {
    timer answer_timer;
    std::vector<exchange_ptr> held;
    handlers_["a"] = [&](const exchange_ptr& call) {
      held.push_back(call);
      answer_timer = loop_.after(milliseconds(10), [&held] {
        for (const auto& each : std::exchange(held, {}))
          each->reply(
              503,
              answer_to(each).add("Retry-After", "30").add("Not-Executed", "1"),
              "");
      });
    };
    send_until_at("a");
    arrivals_["a"] = 0;
    announce_process("2");
    send_together();
    CPPUNIT_ASSERT(arrivals_["a"] <= 1);
  }

  auto process_that_asked_for_no_pause_stays_excluded() -> void {
    handlers_["a"] = [](const exchange_ptr& call) {
      call->reply(
          503,
          answer_to(call).add("Retry-After", "30").add("Not-Executed", "1"),
          "");
    };
    send_until_at("a");
    handlers_.erase("a");
    announce_process("2");
    arrivals_["a"] = 0;
    send_until_at("a");
    send_together();
    CPPUNIT_ASSERT(arrivals_["a"] > 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restart_pause_test);

}  // namespace pollenloft::test
