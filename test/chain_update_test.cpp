#include "front_request_fixture.hpp"

namespace pollenloft::test {

using namespace front_requests;

/// A stream whose second stage fails while its first one states something.
class chain_update_test : public fixture {
  CPPUNIT_TEST_SUITE(chain_update_test);
  CPPUNIT_TEST(update_reaches_a_head_that_pauses);
  CPPUNIT_TEST(stream_waits_for_the_end_of_a_long_pause);
  CPPUNIT_TEST(update_waits_for_the_end_of_a_short_pause);
  CPPUNIT_TEST(pause_asked_for_by_the_answer_to_an_update_is_dropped);
  CPPUNIT_TEST(leaving_stated_by_the_answer_to_an_update_is_dropped);
  CPPUNIT_TEST(answer_to_an_update_clears_the_limit_of_its_head);
  CPPUNIT_TEST_SUITE_END();

  int updates_ = 0;
  int update_status_ = 202;
  http_headers update_headers_;
  instant failed_at_{};
  std::vector<exchange_ptr> held_;

 public:
  /// The chain of e1 and e2. When the stream has begun, e2 is lost and e3 holds
  /// its layer; e4 can take the whole request.
  auto run_stream_that_loses_a_stage(duration pause) -> void {
    make_chain_with_crashed_stage();
    updates_ = 0;
    held_.clear();
    endpoint_handler_ = [this, pause](const auto& call, auto) {
      if (call->request().path == "/order") {
        ++updates_;
        return call->reply(update_status_, update_headers_, "");
      }
      call->start(200, endpoint_headers());
      if (call->request().headers.find("Expect-Instance") == "e4") {
        call->chunk(event(2));
        return call->end();
      }
      call->chunk(event(1));
      held_.push_back(call);
      abort_timer_ = loop_.after(milliseconds(50),
                                 [this, pause] { lose_second_stage(pause); });
    };
    route_.timeout = milliseconds(1500);
    send_request();
  }

  auto lose_second_stage(duration pause) -> void {
    failed_at_ = boottime_clock::now();
    if (pause > duration::zero())
      notices().add_pause({"e1", "1", 8}, pause, failed_at_);
    host_->routes().remove("e2");
    add_crashed_stage("e3");
    host_->routes().upsert({"e4", "1", endpoint_address, "", "z", "app", 0, 2});
    host_->request->handle_endpoint_failure("e2");
  }

  auto notices() -> notice_register& {
    return host_->control().notices().endpoints();
  }

  auto update_reaches_a_head_that_pauses() -> void {
    run_stream_that_loses_a_stage(std::chrono::seconds(30));
    CPPUNIT_ASSERT_EQUAL(0, updates_);
  }

  auto stream_waits_for_the_end_of_a_long_pause() -> void {
    run_stream_that_loses_a_stage(std::chrono::seconds(30));
    CPPUNIT_ASSERT(completed());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
    CPPUNIT_ASSERT(boottime_clock::now() - failed_at_ < milliseconds(500));
  }

  auto update_waits_for_the_end_of_a_short_pause() -> void {
    run_stream_that_loses_a_stage(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(1, updates_);
  }

  auto pause_asked_for_by_the_answer_to_an_update_is_dropped() -> void {
    update_status_ = 503;
    update_headers_.add("Retry-After", "30");
    run_stream_that_loses_a_stage({});
    CPPUNIT_ASSERT_EQUAL(1, updates_);
    CPPUNIT_ASSERT(notices().returns_at("e1", "1"));
  }

  auto leaving_stated_by_the_answer_to_an_update_is_dropped() -> void {
    update_headers_.add("Server-Leaving", "1");
    run_stream_that_loses_a_stage({});
    CPPUNIT_ASSERT(notices().leaves("e1", "1"));
  }

  auto answer_to_an_update_clears_the_limit_of_its_head() -> void {
    auto& limiter = host_->control().limiter();
    const auto now = boottime_clock::now();
    limiter.observe({"e1", "1", 1000.0, now, now});
    run_stream_that_loses_a_stage({});
    CPPUNIT_ASSERT_EQUAL(1, updates_);
    CPPUNIT_ASSERT(limiter.limits().find("e1") != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(chain_update_test);

}  // namespace pollenloft::test
