#include "front_notices.hpp"

namespace pollenloft::test {

using namespace front_notices;

class front_pause_test : public fixture {
  CPPUNIT_TEST_SUITE(front_pause_test);
  CPPUNIT_TEST(pausing_endpoint_gets_requests);
  CPPUNIT_TEST(pause_of_a_request_that_may_have_run_is_ignored);
  CPPUNIT_TEST(callers_wait_for_endpoints_that_all_pause);
  CPPUNIT_TEST(pause_ejects_the_endpoint);
  CPPUNIT_TEST(leader_is_not_told_who_pauses);
  CPPUNIT_TEST(request_that_may_have_run_ends_while_all_endpoints_pause);
  CPPUNIT_TEST(own_request_that_may_have_run_ends_while_all_endpoints_pause);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto ask_for_pause(const std::string& id, const std::string& length,
                     bool not_run = true) -> void {
    handlers_[id] = [length, not_run](const exchange_ptr& call) {
      auto headers = answer_to(call);
      headers.add("Retry-After", length);
      if (not_run) headers.add("Not-Executed", "1");
      call->reply(503, headers, "busy");
    };
  }

  auto pausing_endpoint_gets_requests() -> void {
    ask_for_pause("a", "0.8");
    send_until_at("a");
    handlers_.erase("a");
    const auto start = boottime_clock::now();
    while (boottime_clock::now() - start < milliseconds(700)) {
      CPPUNIT_ASSERT_EQUAL(200, send());
      wait(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(1, arrivals_["a"]);
    wait(milliseconds(300));
    arrivals_["a"] = 0;
    send_until_at("a");
  }

  auto pause_of_a_request_that_may_have_run_is_ignored() -> void {
    ask_for_pause("a", "30", false);
    send_until_at("a");
    assert_excluded("a");
  }

  auto callers_wait_for_endpoints_that_all_pause() -> void {
    ask_for_pause("a", "2");
    ask_for_pause("b", "5");
    send();
    const auto start = boottime_clock::now();
    const auto before = arrivals_;
    CPPUNIT_ASSERT_EQUAL(503, send());
    CPPUNIT_ASSERT_EQUAL(503, send("/once/1"));
    CPPUNIT_ASSERT(boottime_clock::now() - start < milliseconds(100));
    CPPUNIT_ASSERT(before == arrivals_);
    const auto retry = std::stod(*last_headers_.find("Retry-After"));
    CPPUNIT_ASSERT(retry > 1.8 && retry < 3.1);
  }

  auto pause_ejects_the_endpoint() -> void {
    ask_for_pause("a", "0.2", false);
    for (int i = 0; i < 4; ++i) {
      arrivals_["a"] = 0;
      send_until_at("a");
      wait(milliseconds(250));
    }
    handlers_.erase("a");
    arrivals_["a"] = 0;
    send_until_at("a");
    CPPUNIT_ASSERT(entry_->control().notices().endpoints().empty());
  }

  auto leader_is_not_told_who_pauses() -> void {
    ask_for_pause("a", "30");
    send_until_at("a");
    wait(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader_->paused.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), leader_->paused.front().endpoint);
    CPPUNIT_ASSERT(leader_->paused.front().left_ms > 20000);
  }

  /// The endpoints refuse all requests but the first one, whose connection they
  /// close once both pause. It must run again after the pauses.
  auto assert_runs_again_after_pauses(const std::string& target,
                                      const socket_address& server) -> void {
    exchange_ptr first;
    const auto end = boottime_clock::now() + milliseconds(1000);
    for (const std::string id : {"a", "b"})
      handlers_[id] = [&first, end](const exchange_ptr& call) {
        if (!first) {
          first = call;
          return;
        }
        if (boottime_clock::now() >= end)
          return call->reply(200, answer_to(call), "done");
        auto headers = answer_to(call);
        headers.add("Retry-After", "0.8").add("Not-Executed", "1");
        headers.add("Engine-Began", "no");
        call->reply(503, headers, "{}");
      };
    http_client others(loop_);
    http_call call{server, "POST", target};
    call.headers.add("Host", "h").add("Request-Id", "r");
    call.headers.add("Authorization", "Bearer t");
    const auto ask = loop_.every(milliseconds(20), [&] {
      call.body += "x";
      if (first && entry_->control().notices().paused(instant{}).size() < 2)
        others.send(call, {});
    });
    const auto close = loop_.after(milliseconds(200), [&] { first->abort(); });
    const auto start = boottime_clock::now();
    CPPUNIT_ASSERT_EQUAL(200, send(target, server));
    CPPUNIT_ASSERT(boottime_clock::now() - start > milliseconds(700));
  }

  auto request_that_may_have_run_ends_while_all_endpoints_pause() -> void {
    assert_runs_again_after_pauses("/x/1", front_address);
  }

  auto own_request_that_may_have_run_ends_while_all_endpoints_pause() -> void {
    assert_runs_again_after_pauses("/services/app/1", entry_address);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_pause_test);

}  // namespace pollenloft::test
