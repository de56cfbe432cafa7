#include "front_request_fixture.hpp"

namespace pollenloft::test {

using namespace front_requests;

class front_request_test : public fixture {
  CPPUNIT_TEST_SUITE(front_request_test);
  CPPUNIT_TEST(response_is_forwarded_unchanged);
  CPPUNIT_TEST(error_response_is_forwarded_unchanged);
  CPPUNIT_TEST(non_idempotent_request_is_sent_once);
  CPPUNIT_TEST(failed_connection_uses_no_attempt);
  CPPUNIT_TEST(proven_refusal_carries_retry_after);
  CPPUNIT_TEST(response_to_another_request_is_not_forwarded);
  CPPUNIT_TEST(truncated_response_is_not_a_success);
  CPPUNIT_TEST(stream_resumes_after_the_last_complete_event);
  CPPUNIT_TEST(refused_resumption_is_retried);
  CPPUNIT_TEST(refusal_with_events_holds_the_caller_to_the_deadline);
  CPPUNIT_TEST(error_of_a_resumption_ends_the_stream_as_whole);
  CPPUNIT_TEST(error_of_a_resumption_is_not_retried);
  CPPUNIT_TEST(stream_waits_for_the_retry_budget);
  CPPUNIT_TEST(non_resumable_stream_is_aborted);
  CPPUNIT_TEST(missing_event_aborts_the_stream);
  CPPUNIT_TEST(timeout_ends_a_request_immediately);
  CPPUNIT_TEST(caller_disconnect_closes_the_endpoint_call);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto response_is_forwarded_unchanged() -> void {
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      call->reply(203, endpoint_headers(), "bytes");
    };
    CPPUNIT_ASSERT_EQUAL(203, send_request());
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), body_);
    CPPUNIT_ASSERT(headers_.find("Server-Seal") == "s");
    const auto& received = received_.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("/x/1?q=2"), received.target);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), received.body);
    CPPUNIT_ASSERT(received.headers.find("X-Own") == "kept");
    CPPUNIT_ASSERT(received.headers.find("Tenant") == "salon");
    CPPUNIT_ASSERT(received.headers.find("Expect-Instance") == "e1");
    const auto deadline_remaining_ms =
        parse_number(*received.headers.find("Deadline-Ms"));
    CPPUNIT_ASSERT(deadline_remaining_ms && *deadline_remaining_ms <= 2000 &&
                   *deadline_remaining_ms > 1500);
  }

  auto error_response_is_forwarded_unchanged() -> void {
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      call->reply(500, endpoint_headers(), "broken");
    };
    CPPUNIT_ASSERT_EQUAL(500, send_request());
    CPPUNIT_ASSERT_EQUAL(std::string("broken"), body_);
    CPPUNIT_ASSERT(headers_.find("Server-Seal") == "s");
  }

  auto non_idempotent_request_is_sent_once() -> void {
    endpoint_handler_ = [](const exchange_ptr& call, auto) { call->abort(); };
    CPPUNIT_ASSERT_EQUAL(502, send_request());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_.size());
    CPPUNIT_ASSERT(!headers_.find("Retry-After"));
  }

  auto failed_connection_uses_no_attempt() -> void {
    host_->routes().remove("e1");
    add_endpoint("e2", unreachable_address);
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      call->reply(200, endpoint_headers(), "ok");
    };
    route_.max_attempts = 1;
    host_->before_choosing = [this] {
      // The router ejects the unreachable endpoint. Another endpoint exists
      // when it chooses again.
      if (++choices_ == 2) add_endpoint("e1", endpoint_address);
    };
    CPPUNIT_ASSERT_EQUAL(200, send_request());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_.size());
  }

  auto proven_refusal_carries_retry_after() -> void {
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      auto headers = endpoint_headers();
      headers.add("Not-Executed", "1");
      call->reply(503, headers, "full");
    };
    CPPUNIT_ASSERT_EQUAL(503, send_request());
    CPPUNIT_ASSERT(headers_.find("Retry-After").has_value());
    CPPUNIT_ASSERT(!headers_.find("Server-Seal"));
  }

  auto response_to_another_request_is_not_forwarded() -> void {
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      http_headers headers;
      headers.add("Server-Seal", "s").add("Request-Id", "r0");
      call->reply(200, headers, "not yours");
    };
    CPPUNIT_ASSERT_EQUAL(502, send_request());
    CPPUNIT_ASSERT(body_.find("not yours") == std::string::npos);
  }

  auto truncated_response_is_not_a_success() -> void {
    endpoint_handler_ = [this](const exchange_ptr& call, auto) {
      call->start(200, endpoint_headers());
      call->chunk("half");
      abort_soon(call);
    };
    CPPUNIT_ASSERT_EQUAL(502, send_request());
    CPPUNIT_ASSERT(body_.find("half") == std::string::npos);
  }

  auto stream_resumes_after_the_last_complete_event() -> void {
    make_stream(true);
    add_endpoint("e2", endpoint_address);
    endpoint_handler_ = [this](const exchange_ptr& call,
                               std::size_t call_number) {
      call->start(200, endpoint_headers());
      if (call_number == 1) {
        call->chunk(event(1) + event(2) + "id: 3\nda");
        return abort_soon(call);
      }
      call->chunk(event(2) + event(3) + event(4));
      call->end();
    };
    CPPUNIT_ASSERT_EQUAL(200, send_request());
    CPPUNIT_ASSERT(completed());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4), body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received_.size());
    CPPUNIT_ASSERT(received_[1].headers.find("Last-Event-Id") == "2");
  }

  auto refusal_with_events_holds_the_caller_to_the_deadline() -> void {
    make_stream(false);
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      call->start(200, endpoint_headers().add("Not-Executed", "1"));
      call->chunk(event(1));
      call->end();
    };
    const auto start = boottime_clock::now();
    send_request();
    CPPUNIT_ASSERT(!completed());
    CPPUNIT_ASSERT(boottime_clock::now() - start < route_.timeout / 2);
  }

  /// Guards against aborting a stream when the runner that should resume it
  /// refuses.
  auto refused_resumption_is_retried() -> void {
    make_stream(true);
    add_endpoint("e2", endpoint_address);
    add_endpoint("e3", endpoint_address);
    endpoint_handler_ = [this](const exchange_ptr& call,
                               std::size_t call_number) {
      if (call_number == 2) {
        auto refusal = endpoint_headers();
        refusal.add("Not-Executed", "1");
        return call->reply(503, refusal, "full");
      }
      call->start(200, endpoint_headers());
      call->chunk(event(static_cast<int>(call_number == 1 ? 1 : 2)));
      if (call_number == 1) return abort_soon(call);
      call->end();
    };
    CPPUNIT_ASSERT_EQUAL(200, send_request());
    CPPUNIT_ASSERT(completed());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, received_.size());
  }

  /// The first runner breaks off after an event, the second one answers with
  /// `status`, the third one goes on.
  auto resume_after_error(int status, std::size_t attempts) -> void {
    make_stream(true);
    route_.max_attempts = attempts;
    add_endpoint("e2", endpoint_address);
    add_endpoint("e3", endpoint_address);
    received_.clear();
    body_.clear();
    endpoint_handler_ = [this, status](const exchange_ptr& call,
                                       std::size_t call_number) {
      if (call_number == 2)
        return call->reply(status, endpoint_headers(), "error\n\n");
      call->start(200, endpoint_headers());
      call->chunk(event(call_number == 1 ? 1 : 2));
      if (call_number == 1) return abort_soon(call);
      call->end();
    };
    CPPUNIT_ASSERT_EQUAL(200, send_request());
  }

  auto error_of_a_resumption_ends_the_stream_as_whole() -> void {
    for (const int status : {500, 502, 404, 204}) {
      resume_after_error(status, 2);
      CPPUNIT_ASSERT(!completed());
      CPPUNIT_ASSERT_EQUAL(event(1), body_);
    }
  }

  auto error_of_a_resumption_is_not_retried() -> void {
    resume_after_error(500, 3);
    CPPUNIT_ASSERT(completed());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
  }

  /// Guards against aborting streams that cannot be resumed at once because the
  /// replacement of runners has used up the retry budget.
  auto stream_waits_for_the_retry_budget() -> void {
    make_stream(true);
    add_endpoint("e2", endpoint_address);
    budget_ = retry_budget(0.5, 1);
    budget_.try_withdraw();
    endpoint_handler_ = [this](const exchange_ptr& call,
                               std::size_t call_number) {
      call->start(200, endpoint_headers());
      call->chunk(event(static_cast<int>(call_number)));
      if (call_number == 1) return abort_soon(call);
      call->end();
    };
    const auto deposit_timer = loop_.every(milliseconds(100), [this] {
      CPPUNIT_ASSERT(!result_.has_value());
      budget_.deposit();
    });
    CPPUNIT_ASSERT_EQUAL(200, send_request());
    CPPUNIT_ASSERT(completed());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
  }

  auto non_resumable_stream_is_aborted() -> void {
    make_stream(false);
    endpoint_handler_ = [this](const exchange_ptr& call, auto) {
      call->start(200, endpoint_headers());
      call->chunk(event(1));
      abort_soon(call);
    };
    CPPUNIT_ASSERT_EQUAL(200, send_request());
    CPPUNIT_ASSERT(!completed());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_.size());
  }

  auto missing_event_aborts_the_stream() -> void {
    make_stream(false);
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      call->start(200, endpoint_headers());
      call->chunk(event(1) + event(3));
      call->end();
    };
    send_request();
    CPPUNIT_ASSERT(!completed());
    CPPUNIT_ASSERT_EQUAL(event(1), body_);
  }

  auto timeout_ends_a_request_immediately() -> void {
    route_.timeout = milliseconds(200);
    exchange_ptr endpoint_call;
    endpoint_handler_ = [&](const exchange_ptr& call, auto) {
      endpoint_call = call;
    };
    const auto sent = boottime_clock::now();
    CPPUNIT_ASSERT_EQUAL(504, send_request());
    CPPUNIT_ASSERT(boottime_clock::now() - sent < milliseconds(700));
  }

  auto caller_disconnect_closes_the_endpoint_call() -> void {
    exchange_ptr endpoint_call;
    auto closed = false;
    http_client client(loop_);
    pending_call_ptr pending;
    endpoint_handler_ = [&](const exchange_ptr& call, auto) {
      endpoint_call = call;
      endpoint_call->closed().connect([&] {
        closed = true;
        loop_.stop();
      });
      pending->cancel();
    };
    http_call call{front_address, "POST", "/x/1"};
    pending = client.send(call, {});
    const auto stop_timer =
        loop_.after(milliseconds(500), [this] { loop_.stop(); });
    loop_.run();
    CPPUNIT_ASSERT(closed);
    CPPUNIT_ASSERT_EQUAL(1, host_->ended);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_request_test);

}  // namespace pollenloft::test
