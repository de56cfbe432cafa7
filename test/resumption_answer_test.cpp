#include "raw_entry_fixture.hpp"

namespace pollenloft::test {

using namespace raw;  // NOLINT

namespace {

const std::string event_head =
    head +
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string last_chunk = "0\r\n\r\n";
const raw_response broken_stream{event_head + chunk(event(1))};

}  // namespace

/// Streams that are resumed by an answer that isn't their rest.
class resumption_text_test : public two_endpoint_fixture {
  CPPUNIT_TEST_SUITE(resumption_text_test);
  CPPUNIT_TEST(text_of_a_resumption_reaches_the_caller);
  CPPUNIT_TEST(text_after_events_of_a_resumption_reaches_the_caller);
  CPPUNIT_TEST(resumption_of_another_media_type_reaches_the_caller);
  CPPUNIT_TEST(stream_without_ids_is_resumed);
  CPPUNIT_TEST(comments_of_a_resumption_reach_the_caller);
  CPPUNIT_TEST_SUITE_END();

  auto expect_abort(const raw_response& resumption, const std::string& body)
      -> void {
    CPPUNIT_ASSERT_EQUAL(0, call("/resumable/", {broken_stream, resumption}));
    CPPUNIT_ASSERT_EQUAL(body, body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, endpoint_->received.size());
  }

 public:
  auto text_of_a_resumption_reaches_the_caller() -> void {
    expect_abort({head + "Content-Length: 6\r\n\r\noops\n\n"}, event(1));
    expect_abort({event_head + chunk("oops\n\n") + last_chunk}, event(1));
    expect_abort({event_head + chunk("data: oops\n\n") + last_chunk}, event(1));
    expect_abort(
        {event_head + chunk(head + "\r\n" + event(2) + "\n") + last_chunk},
        event(1));
  }

  auto text_after_events_of_a_resumption_reaches_the_caller() -> void {
    expect_abort({event_head + chunk(event(2) + "oops\n\n") + last_chunk},
                 event(1) + event(2));
  }

  auto resumption_of_another_media_type_reaches_the_caller() -> void {
    expect_abort({head + "Content-Type: text/plain\r\nContent-Length: " +
                  std::to_string(event(2).size()) + "\r\n\r\n" + event(2)},
                 event(1));
  }

  auto stream_without_ids_is_resumed() -> void {
    const std::string first = "data: a\n\n";
    CPPUNIT_ASSERT_EQUAL(
        0, call("/resumable/",
                {{event_head + chunk(first)},
                 {event_head + chunk(first + "data: b\n\n") + last_chunk}}));
    CPPUNIT_ASSERT_EQUAL(first, body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint_->received.size());
  }

  auto comments_of_a_resumption_reach_the_caller() -> void {
    const auto rest = ": waiting\n\n" + event(2);
    CPPUNIT_ASSERT_EQUAL(
        200, call("/resumable/",
                  {broken_stream, {event_head + chunk(rest) + last_chunk}}));
    CPPUNIT_ASSERT_EQUAL(event(1) + rest, body_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resumption_text_test);

/// Streams that are resumed by an answer without any event.
class empty_resumption_test : public two_endpoint_fixture {
  CPPUNIT_TEST_SUITE(empty_resumption_test);
  CPPUNIT_TEST(empty_answer_ends_the_stream_as_whole);
  CPPUNIT_TEST(empty_answer_without_a_proved_end_ends_the_stream_as_whole);
  CPPUNIT_TEST(stream_with_nothing_left_is_broken_off);
  CPPUNIT_TEST_SUITE_END();

  auto resume(const std::string& bytes) -> int {
    return call("/resumable/", {broken_stream, {bytes}});
  }

 public:
  auto empty_answer_ends_the_stream_as_whole() -> void {
    CPPUNIT_ASSERT_EQUAL(0, resume(head + "Content-Length: 0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(0, resume(chunked_head + last_chunk));
  }

  auto empty_answer_without_a_proved_end_ends_the_stream_as_whole() -> void {
    CPPUNIT_ASSERT_EQUAL(
        0, resume(head + "Content-Type: text/event-stream\r\n\r\n"));
  }

  auto stream_with_nothing_left_is_broken_off() -> void {
    CPPUNIT_ASSERT_EQUAL(200, resume(event_head + last_chunk));
    CPPUNIT_ASSERT_EQUAL(event(1), body_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(empty_resumption_test);

}  // namespace pollenloft::test
