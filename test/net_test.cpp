#include "pollenloft/net.hpp"

#include "pollenloft/engine.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

const socket_address server_address{"127.0.9.1", 18080};

}  // namespace

class net_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(net_test);
  CPPUNIT_TEST(answers_a_call);
  CPPUNIT_TEST(unreachable_peer_is_unsent);
  CPPUNIT_TEST(closed_connection_is_broken_and_not_repeated);
  CPPUNIT_TEST(stale_connection_is_not_used_twice);
  CPPUNIT_TEST(streams_parts_as_they_come);
  CPPUNIT_TEST(refusal_of_a_stream_comes_whole);
  CPPUNIT_TEST(server_learns_that_the_caller_has_gone);
  CPPUNIT_TEST(timed_out_call_is_broken);
  CPPUNIT_TEST(too_many_headers_are_refused);
  CPPUNIT_TEST(events_of_another_answer_are_dropped);
  CPPUNIT_TEST(malformed_announcements_are_refused);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  int served_ = 0;
  std::unique_ptr<http_server> server_;
  exchange_ptr kept_;
  std::string heard_;
  std::optional<call_result> result_;
  std::string body_;

  auto serve(http_server::handler handler) -> void {
    server_ = std::make_unique<http_server>(
        loop_, http_limits{}, [this, handler](const exchange_ptr& call) {
          ++served_;
          handler(call);
        });
    CPPUNIT_ASSERT(server_->listen(server_address));
  }

  auto call(http_client& client, bool keep_alive = false, bool stream = false)
      -> pending_call_ptr {
    http_call made{server_address, "POST", "/x"};
    made.body = "hello";
    made.keep_alive = keep_alive;
    made.timeout = milliseconds(300);
    call_handlers handlers;
    if (stream) handlers.on_data = [this](auto part) { heard_ += part; };
    handlers.on_done = [this](const auto& result, auto body) {
      result_ = result;
      body_ = body;
      loop_.stop();
    };
    return client.send(made, handlers);
  }

  auto run() -> void {
    auto guard = loop_.after(std::chrono::seconds(5), [this] { loop_.stop(); });
    loop_.run();
  }

 public:
  /// All fixtures live until the last case has run, so each frees its port.
  auto tearDown() -> void override {
    kept_.reset();
    server_.reset();
  }

  auto answers_a_call() -> void {
    serve([](const exchange_ptr& got) {
      got->reply(201, {}, got->request().body + "!");
    });
    http_client client(loop_);
    call(client);
    run();
    CPPUNIT_ASSERT_EQUAL(201, std::get<call_completed>(*result_).status);
    CPPUNIT_ASSERT_EQUAL(std::string("hello!"), body_);
  }

  auto unreachable_peer_is_unsent() -> void {
    http_client client(loop_);
    call(client);
    run();
    CPPUNIT_ASSERT(std::holds_alternative<call_unsent>(*result_));
  }

  auto closed_connection_is_broken_and_not_repeated() -> void {
    serve([](const exchange_ptr& got) { got->abort(); });
    http_client client(loop_);
    call(client);
    run();
    CPPUNIT_ASSERT(std::holds_alternative<call_interrupted>(*result_));
    CPPUNIT_ASSERT_EQUAL(1, served_);
  }

  /// A kept connection that the peer closed must not make a call run twice.
  auto stale_connection_is_not_used_twice() -> void {
    serve([](const exchange_ptr& got) {
      got->reply(200, http_headers().add("Connection", "close"), "");
    });
    http_client client(loop_);
    for (int i = 1; i <= 3; ++i) {
      result_.reset();
      call(client, true);
      run();
      CPPUNIT_ASSERT(result_.has_value());
      CPPUNIT_ASSERT(served_ <= i);
    }
  }

  auto streams_parts_as_they_come() -> void {
    serve([](const exchange_ptr& got) {
      got->start(200, {});
      got->chunk("one ");
      got->chunk("two");
      got->end();
    });
    http_client client(loop_);
    call(client, false, true);
    run();
    CPPUNIT_ASSERT_EQUAL(std::string("one two"), heard_);
  }

  auto refusal_of_a_stream_comes_whole() -> void {
    serve([](const exchange_ptr& got) { got->reply(503, {}, "full"); });
    http_client client(loop_);
    call(client, false, true);
    run();
    CPPUNIT_ASSERT_EQUAL(std::string(), heard_);
    CPPUNIT_ASSERT_EQUAL(std::string("full"), body_);
  }

  auto server_learns_that_the_caller_has_gone() -> void {
    auto gone = false;
    http_client client(loop_);
    pending_call_ptr made;
    serve([&](const exchange_ptr& got) {
      kept_ = got;
      got->closed().connect([&] {
        gone = true;
        loop_.stop();
      });
      made->cancel();
    });
    made = call(client);
    run();
    CPPUNIT_ASSERT(gone);
    CPPUNIT_ASSERT(!kept_->open());
    CPPUNIT_ASSERT(!result_.has_value());
  }

  auto timed_out_call_is_broken() -> void {
    serve([this](const exchange_ptr& got) { kept_ = got; });
    http_client client(loop_);
    call(client);
    run();
    CPPUNIT_ASSERT_EQUAL(std::string("timed out"),
                         std::get<call_interrupted>(*result_).cause.reason);
    kept_.reset();
  }

  auto too_many_headers_are_refused() -> void {
    serve([](const exchange_ptr& got) { got->reply(200, {}, ""); });
    http_client client(loop_);
    http_call made{server_address, "GET", "/x"};
    for (int i = 0; i < 80; ++i)
      made.headers.add("Header-" + std::to_string(i), "x");
    client.send(made, {{}, {}, [this](const auto& result, auto) {
                         result_ = result;
                         loop_.stop();
                       }});
    run();
    CPPUNIT_ASSERT_EQUAL(431, std::get<call_completed>(*result_).status);
    CPPUNIT_ASSERT_EQUAL(0, served_);
  }

  auto events_of_another_answer_are_dropped() -> void {
    event_reader reader(event_tag("r", 2));
    const auto events = reader.feed(
        "data: {\"i\":0,\"t\":\"a\",\"r\":\"r/1\"}\n\n"
        "data: {\"i\":0,\"t\":\"b\",\"r\":\"r/2\"}\n\ndata: {\"i\"");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         std::get<token_event>(events[0]).text);
  }

  auto malformed_announcements_are_refused() -> void {
    for (const auto* text :
         {"", "[]", "{}", R"({"id":"a","incarnation":1,"address":"x",
           "service":"s"})",
          R"({"id":"a","incarnation":1,"address":"127.0.0.1:1","service":"s",
           "first_layer":4,"last_layer":4})"})
      CPPUNIT_ASSERT(!parse_announcement(text, "vm").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(net_test);

}  // namespace pollenloft::test
