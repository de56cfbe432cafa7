#include "raw_entry_fixture.hpp"

namespace pollenloft::test {

using namespace raw;  // NOLINT

/// Answers without length and chunks, whose end their connection alone marks.
class unproved_end_test : public two_endpoint_fixture {
  CPPUNIT_TEST_SUITE(unproved_end_test);
  CPPUNIT_TEST(stream_without_length_gets_a_last_chunk);
  CPPUNIT_TEST(answer_without_length_gets_a_length);
  CPPUNIT_TEST(resumed_stream_without_length_gets_a_last_chunk);
  CPPUNIT_TEST_SUITE_END();

  const std::string events_ = event(1) + event(2);

  auto end() const -> std::string {
    const auto* completed = std::get_if<call_completed>(&*result_);
    return completed == nullptr ? "none" : body_end_name(completed->end);
  }

 public:
  auto stream_without_length_gets_a_last_chunk() -> void {
    for (const auto* path : {"/single/", "/resumable/"}) {
      CPPUNIT_ASSERT_EQUAL(200, call(path, {{head + "\r\n" + events_}}));
      CPPUNIT_ASSERT_EQUAL(events_, body_);
      CPPUNIT_ASSERT_EQUAL(std::string("connection"), end());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint_->received.size());
    }
  }

  auto answer_without_length_gets_a_length() -> void {
    for (const auto* path : {"/plain/", ""}) {
      CPPUNIT_ASSERT_EQUAL(200, call(path, {{head + "\r\nwhole"}}));
      CPPUNIT_ASSERT_EQUAL(std::string("whole"), body_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::string("connection"), end());
    }
  }

  auto resumed_stream_without_length_gets_a_last_chunk() -> void {
    CPPUNIT_ASSERT_EQUAL(0,
                         call("/resumable/", {{chunked_head + chunk(event(1))},
                                              {head + "\r\n" + event(2)}}));
    CPPUNIT_ASSERT_EQUAL(events_, body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, endpoint_->received.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unproved_end_test);

/// The same answers, of endpoints whose process ends.
class killed_endpoint_test : public two_endpoint_fixture {
  CPPUNIT_TEST_SUITE(killed_endpoint_test);
  CPPUNIT_TEST(killed_endpoint_ends_stream_as_whole);
  CPPUNIT_TEST(killed_endpoint_ends_resumable_stream_as_whole);
  CPPUNIT_TEST(killed_endpoint_ends_answer_as_whole);
  CPPUNIT_TEST_SUITE_END();

  const raw_response killed_{head + "\r\n" + event(1) + event(2),
                             ending::crashed};

 public:
  auto killed_endpoint_ends_stream_as_whole() -> void {
    CPPUNIT_ASSERT_EQUAL(0, call("/single/", {killed_}));
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint_->received.size());
  }

  auto killed_endpoint_ends_resumable_stream_as_whole() -> void {
    CPPUNIT_ASSERT_EQUAL(
        200, call("/resumable/",
                  {killed_, {chunked_head + chunk(event(3)) + "0\r\n\r\n"}}));
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, endpoint_->received.size());
    CPPUNIT_ASSERT(endpoint_->received[1].find("Last-Event-Id: 2\r\n") !=
                   std::string::npos);
  }

  auto killed_endpoint_ends_answer_as_whole() -> void {
    for (const auto* path : {"/plain/", ""}) {
      start_endpoints();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          path, 502, call(path, {{head + "\r\npart", ending::crashed}}));
      CPPUNIT_ASSERT(body_.find("part") == std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(killed_endpoint_test);

}  // namespace pollenloft::test
