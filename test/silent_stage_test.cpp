#include "front_request_fixture.hpp"

namespace pollenloft::test {

using namespace front_requests;

/// A stream falls silent, and nobody has told the VM that a stage is lost.
class silent_stage_test : public fixture {
  CPPUNIT_TEST_SUITE(silent_stage_test);
  CPPUNIT_TEST(lost_stage_is_replaced_before_the_stream_stalls);
  CPPUNIT_TEST(slow_stages_that_listen_are_kept);
  CPPUNIT_TEST(routes_without_a_longest_pause_wait_for_the_stall);
  CPPUNIT_TEST_SUITE_END();

  int updates_ = 0;
  std::vector<exchange_ptr> held_;
  std::vector<timer> timers_;

  /// Chain of e1 and e2; e3 holds the layer of e2 as well. After three events
  /// the stream is silent until a chain update or, if there is none, 600 ms.
  auto run_silent_stream() -> void {
    updates_ = 0;
    endpoint_handler_ = [this](const auto& call, auto) {
      if (call->request().path == "/order") {
        ++updates_;
        call->reply(202, {}, "");
        return finish_stream();
      }
      call->start(200, endpoint_headers());
      held_.push_back(call);
      for (int i = 1; i <= 3; ++i)
        timers_.push_back(loop_.after(milliseconds(10 * i),
                                      [call, i] { call->chunk(event(i)); }));
      timers_.push_back(
          loop_.after(milliseconds(600), [this] { finish_stream(); }));
      host_->routes().upsert(
          {"e3", "1", endpoint_address, "", "z", "app", 1, 2, 8});
    };
    send_request();
    held_.clear();
    timers_.clear();
  }
  auto finish_stream() -> void {
    for (const auto& call : held_) {
      call->chunk(event(4));
      call->end();
    }
    held_.clear();
  }

 public:
  auto setUp() -> void override {
    fixture::setUp();
    make_chain_with_crashed_stage();
    route_.max_event_gap = milliseconds(200);
  }

  auto lost_stage_is_replaced_before_the_stream_stalls() -> void {
    run_silent_stream();
    CPPUNIT_ASSERT_EQUAL(1, updates_);
    CPPUNIT_ASSERT(completed());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4), body_);
  }
  auto slow_stages_that_listen_are_kept() -> void {
    host_->routes().remove("e2");
    host_->routes().upsert(
        {"e2", "1", endpoint_address, "", "z", "app", 1, 2, 8});
    run_silent_stream();
    CPPUNIT_ASSERT_EQUAL(0, updates_);
    CPPUNIT_ASSERT(completed());
  }
  auto routes_without_a_longest_pause_wait_for_the_stall() -> void {
    route_.max_event_gap = milliseconds(0);
    run_silent_stream();
    CPPUNIT_ASSERT_EQUAL(0, updates_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_stage_test);

}  // namespace pollenloft::test
