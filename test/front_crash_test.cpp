#include "front_request_fixture.hpp"

namespace pollenloft::test {

using namespace front_requests;

class front_crash_test : public fixture {
  CPPUNIT_TEST_SUITE(front_crash_test);
  CPPUNIT_TEST(lost_connection_is_recorded_as_a_crash);
  CPPUNIT_TEST(crash_of_a_later_stage_is_not_recorded);
  CPPUNIT_TEST(crash_after_the_first_event_counts_in_full);
  CPPUNIT_TEST(chain_repairs_feed_endpoints_to_a_poison_request);
  CPPUNIT_TEST(stall_of_a_crashed_stage_is_not_recorded);
  CPPUNIT_TEST(endpoints_that_crash_together_count_each);
  CPPUNIT_TEST(endpoint_that_had_crashed_before_counts);
  CPPUNIT_TEST(retry_overtakes_the_record_of_a_crash);
  CPPUNIT_TEST(error_response_drops_the_record_of_a_crash);
  CPPUNIT_TEST(lost_stage_ends_the_stream_as_whole);
  CPPUNIT_TEST(stream_of_a_whole_chain_is_cut);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Closes connection and listener of the endpoint.
  auto crash_endpoint(const exchange_ptr& call) -> void {
    call->abort();
    loop_.post([this] { endpoint_->close_listener(); });
  }

  /// Sends a stream that only its connection ends.
  auto send_unproved_stream() -> void {
    route_.resumable = false;
    endpoint_handler_ = [](const auto& call, auto) {
      call->start(200, endpoint_headers(), body_end::connection);
      call->chunk(event(1));
      call->end();
    };
    CPPUNIT_ASSERT_EQUAL(200, send_request());
    CPPUNIT_ASSERT_EQUAL(event(1), body_);
  }

  auto lost_stage_ends_the_stream_as_whole() -> void {
    make_chain_with_crashed_stage();
    send_unproved_stream();
    CPPUNIT_ASSERT(!completed());
  }

  auto stream_of_a_whole_chain_is_cut() -> void {
    make_stream(false);
    engine_.layers = 2;
    use_engine_ = true;
    host_->routes().upsert(
        {"e2", "1", endpoint_address, "", "z", "app", 1, 2, 8});
    send_unproved_stream();
    CPPUNIT_ASSERT(completed());
  }

  auto lost_connection_is_recorded_as_a_crash() -> void {
    endpoint_handler_ = [](const auto& call, auto) { call->abort(); };
    CPPUNIT_ASSERT_EQUAL(502, send_request());
    wait_for_reports();
    CPPUNIT_ASSERT(host_->reports.empty());
  }

  auto crash_of_a_later_stage_is_not_recorded() -> void {
    make_chain_with_crashed_stage();
    route_.resumable = false;
    endpoint_handler_ = [](const auto& call, auto) { call->abort(); };
    CPPUNIT_ASSERT_EQUAL(502, send_request());
    wait_for_reports();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
    CPPUNIT_ASSERT_EQUAL(std::string("e2/1"), host_->reports[0].endpoint);
  }

  auto crash_after_the_first_event_counts_in_full() -> void {
    make_stream(false);
    endpoint_handler_ = [this](const auto& call, auto) {
      call->start(200, http_headers().add("Request-Id", "r1"));
      call->chunk("id: 1\ndata: a\n\n");
      abort_timer_ =
          loop_.after(milliseconds(20), [this, call] { crash_endpoint(call); });
    };
    send_request();
    wait_for_reports();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
    CPPUNIT_ASSERT_EQUAL(inferred_points_after_first_event,
                         host_->reports[0].points);
  }

  auto chain_repairs_feed_endpoints_to_a_poison_request() -> void {
    make_chain_with_crashed_stage();
    route_.max_attempts = 1;
    auto repairs = 0;
    std::vector<exchange_ptr> held;
    endpoint_handler_ = [&, this](const auto& call, auto) {
      if (call->request().path == "/order") {
        ++repairs;
        call->reply(202, {}, "");
        return fail_stage_later(repairs + 2);
      }
      held.push_back(call);
      fail_stage_later(2);
    };
    route_.timeout = milliseconds(1000);
    send_request();
    CPPUNIT_ASSERT_EQUAL(2, repairs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, host_->reports.size());
  }
  /// Replaces the stage eN by one that has crashed, too.
  auto fail_stage_later(int number) -> void {
    abort_timer_ = loop_.after(milliseconds(10), [this, number] {
      const auto id = "e" + std::to_string(number);
      host_->routes().remove(id);
      add_crashed_stage("e" + std::to_string(number + 1));
      if (host_->request) host_->request->handle_endpoint_failure(id);
    });
  }

  auto stall_of_a_crashed_stage_is_not_recorded() -> void {
    make_chain_with_crashed_stage();
    std::vector<exchange_ptr> held;
    endpoint_handler_ = [&](const auto& call, auto) { held.push_back(call); };
    send_request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
    CPPUNIT_ASSERT_EQUAL(std::string("e2/1"), host_->reports[0].endpoint);
  }

  /// The first failure is reported before the dispatch stalls.
  auto endpoints_that_crash_together_count_each() -> void {
    make_chain_with_crashed_stage();
    engine_.layers = 3;
    host_->routes().upsert(
        {"e3", "1", other_unreachable_address, "", "z", "app", 2, 3, 8});
    std::vector<exchange_ptr> held;
    endpoint_handler_ = [&, this](const auto& call, auto) {
      held.push_back(call);
      abort_timer_ = loop_.after(milliseconds(10), [this] {
        host_->request->handle_endpoint_failure("e3");
        host_->request->handle_endpoint_failure("e2");
      });
    };
    send_request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
  }

  auto endpoint_that_had_crashed_before_counts() -> void {
    make_chain_with_crashed_stage();
    route_.resumable = false;
    endpoint_handler_ = [](const auto& call, auto) { call->abort(); };
    send_request();
    wait_for_reports();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
    fingerprint_ = 2;
    send_request();
    wait_for_reports();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
  }

  auto retry_overtakes_the_record_of_a_crash() -> void {
    route_.kind = request_kind::idempotent;
    route_.max_attempts = 3;
    endpoint_handler_ = [this](const auto& call, auto) {
      crash_endpoint(call);
    };
    auto recorded = std::vector<std::size_t>();
    host_->before_choosing = [&] { recorded.push_back(host_->reports.size()); };
    send_request();
    CPPUNIT_ASSERT(recorded.size() > 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, recorded[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recorded[1]);
  }

  auto error_response_drops_the_record_of_a_crash() -> void {
    auto& guard = host_->crashes().guard();
    guard.record_crash(fingerprint_, "x", inferred_points_before_first_event,
                       boottime_clock::now());
    auto status = 500;
    endpoint_handler_ = [&](const auto& call, auto) {
      call->reply(status, http_headers().add("Request-Id", "r1"), "");
    };
    send_request();
    CPPUNIT_ASSERT_EQUAL(inferred_points_before_first_event,
                         guard.points(fingerprint_));
    status = 200;
    send_request();
    CPPUNIT_ASSERT_EQUAL(0, guard.points(fingerprint_));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_crash_test);

}  // namespace pollenloft::test
