#include "front_notices.hpp"

namespace pollenloft::test {

using namespace front_notices;

class front_leaving_test : public fixture {
  CPPUNIT_TEST_SUITE(front_leaving_test);
  CPPUNIT_TEST(endpoint_that_leaves_by_an_answer_gets_requests);
  CPPUNIT_TEST(endpoint_that_leaves_by_a_refusal_gets_requests);
  CPPUNIT_TEST(endpoint_that_leaves_by_an_error_gets_requests);
  CPPUNIT_TEST(endpoint_that_leaves_by_the_head_of_a_stream_gets_requests);
  CPPUNIT_TEST(endpoint_that_leaves_gets_requests_without_a_leader);
  CPPUNIT_TEST(stream_under_way_ends_when_its_endpoint_leaves);
  CPPUNIT_TEST(other_endpoint_at_the_address_counts_as_leaving);
  CPPUNIT_TEST(process_that_started_again_gets_no_requests);
  CPPUNIT_TEST(directory_that_lists_it_as_up_brings_it_back);
  CPPUNIT_TEST(directory_that_forgets_that_it_leaves_brings_it_back);
  CPPUNIT_TEST(relayed_request_reaches_an_endpoint_that_leaves);
  CPPUNIT_TEST(retry_reaches_an_endpoint_that_leaves);
  CPPUNIT_TEST(resumed_stream_reaches_an_endpoint_that_leaves);
  CPPUNIT_TEST(leader_is_not_told_who_leaves);
  CPPUNIT_TEST(late_statement_of_a_process_takes_its_successor_out);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto endpoint_that_leaves_by_an_answer_gets_requests() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    assert_excluded("a");
  }

  auto endpoint_that_leaves_by_a_refusal_gets_requests() -> void {
    say_leaving("a", 503, true);
    send_until_at("a");
    handlers_.erase("a");
    wait(milliseconds(50));  // the back-off after the refusal
    assert_excluded("a");
  }

  auto endpoint_that_leaves_by_an_error_gets_requests() -> void {
    say_leaving("a", 500, false);
    send_until_at("a", "/once/1");
    assert_excluded("a");
  }

  auto endpoint_that_leaves_by_the_head_of_a_stream_gets_requests() -> void {
    handlers_["a"] = [](const exchange_ptr& call) {
      call->start(200, answer_to(call).add("Server-Leaving", "1"));
      call->chunk("id: 1\n\n");
      call->end();
    };
    handlers_["b"] = [](const exchange_ptr& call) {
      call->start(200, answer_to(call));
      call->chunk("id: 1\n\n");
      call->end();
    };
    send_until_at("a", "/stream/1");
    assert_excluded("a");
  }

  auto endpoint_that_leaves_gets_requests_without_a_leader() -> void {
    say_leaving("a", 200, false);
    leader_->answers = false;
    send_until_at("a");
    assert_excluded("a");
  }

  auto stream_under_way_ends_when_its_endpoint_leaves() -> void {
    exchange_ptr open;
    handlers_["a"] = [&open](const exchange_ptr& call) {
      if (call->request().path != "/stream/1")
        return call->reply(200, answer_to(call).add("Server-Leaving", "1"), "");
      open = call;
      call->start(200, answer_to(call));
      call->chunk("id: 1\n\n");
    };
    handlers_["b"] = [](const exchange_ptr& call) {
      call->reply(503, answer_to(call).add("Not-Executed", "1"), "");
    };
    const auto end = loop_.after(milliseconds(300), [&open] {
      open->chunk("id: 2\n\n");
      open->end();
    });
    http_client other(loop_);
    http_call call{front_address, "POST", "/x/1"};
    call.headers.add("Host", "h").add("Request-Id", "r");
    const auto leave =
        loop_.after(milliseconds(100), [&] { other.send(call, {}); });
    CPPUNIT_ASSERT_EQUAL(200, send("/stream/1"));
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\n\nid: 2\n\n"), last_body_);
    CPPUNIT_ASSERT_EQUAL(2, arrivals_["a"]);
  }

  auto other_endpoint_at_the_address_counts_as_leaving() -> void {
    say_leaving("a", 421, true);
    send_until_at("a");
    CPPUNIT_ASSERT(!entry_->control().notices().endpoints().leaves("a", "1"));
  }

  auto process_that_started_again_gets_no_requests() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    handlers_.erase("a");
    leader_->list(make_record("a", "2"));
    wait(milliseconds(100));
    arrivals_["a"] = 0;
    send_until_at("a");
  }

  auto directory_that_lists_it_as_up_brings_it_back() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    auto record = make_record("a", "1");
    record.report = 9;
    leader_->list(record);
    wait(milliseconds(100));
    assert_excluded("a");
  }

  /// Another leader may not know what this one has told.
  auto directory_that_forgets_that_it_leaves_brings_it_back() -> void {
    auto record = make_record("a", "1");
    record.state = static_cast<std::int8_t>(endpoint_state::leaving);
    leader_->list(record);
    wait(milliseconds(100));
    leader_->list(make_record("a", "1"));
    wait(milliseconds(100));
    assert_excluded("a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader_->reports.size());
  }

  auto relayed_request_reaches_an_endpoint_that_leaves() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    const auto before = arrivals_["a"];
    for (int i = 0; i < 30; ++i)
      CPPUNIT_ASSERT_EQUAL(200, send("/x/1", relay_address));
    CPPUNIT_ASSERT_EQUAL(before, arrivals_["a"]);
  }

  auto retry_reaches_an_endpoint_that_leaves() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    int failed = 0;
    handlers_["b"] = [&failed](const exchange_ptr& call) {
      const auto fails = ++failed % 2 == 1;
      call->reply(fails ? 500 : 200, answer_to(call), "");
    };
    assert_excluded("a");
    CPPUNIT_ASSERT_EQUAL(60, failed);
  }

  auto resumed_stream_reaches_an_endpoint_that_leaves() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    const auto before = arrivals_["a"];
    int runs = 0;
    handlers_["b"] = [&runs](const exchange_ptr& call) {
      call->start(200, answer_to(call));
      if (++runs == 1) {
        call->chunk("id: 1\n\n");
        return call->abort();
      }
      call->chunk("id: 2\n\n");
      call->end();
    };
    CPPUNIT_ASSERT_EQUAL(200, send("/stream/1"));
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\n\nid: 2\n\n"), last_body_);
    CPPUNIT_ASSERT_EQUAL(before, arrivals_["a"]);
  }

  auto leader_is_not_told_who_leaves() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    wait(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader_->reports.size());
    const auto& report = leader_->reports.front();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), report.id);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), report.incarnation);
    CPPUNIT_ASSERT_EQUAL(address_of("a").text(), report.address);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(endpoint_state::leaving),
                         report.state);
  }

  auto late_statement_of_a_process_takes_its_successor_out() -> void {
    exchange_ptr held;
    handlers_["a"] = [&held](const exchange_ptr& call) { held = call; };
    http_client other(loop_);
    for (int i = 0; i < 50 && !held; ++i) {
      http_call call{front_address, "POST", "/once/1"};
      call.headers.add("Host", "h").add("Request-Id", "r");
      other.send(call, {});
      wait(milliseconds(10));
    }
    CPPUNIT_ASSERT(held);
    handlers_.erase("a");
    leader_->list(make_record("a", "2"));
    wait(milliseconds(100));
    held->reply(
        200, http_headers().add("Request-Id", "r").add("Server-Leaving", "1"),
        "");
    wait(milliseconds(100));
    for (const auto& report : leader_->reports)
      CPPUNIT_ASSERT(report.incarnation != "2");
    arrivals_["a"] = 0;
    send_until_at("a");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_leaving_test);

}  // namespace pollenloft::test
