#include "raw_entry_fixture.hpp"

namespace pollenloft::test {

using namespace raw;  // NOLINT

namespace {

const std::string stream_body = event(1) + event(2);
constexpr std::array<const char*, 4> paths{"/plain/", "/single/", "/resumable/",
                                           ""};

}  // namespace

/// Answers that end after any of their bytes.
class cut_head_test : public two_endpoint_fixture {
  CPPUNIT_TEST_SUITE(cut_head_test);
  CPPUNIT_TEST(cut_answer_with_length_looks_whole);
  CPPUNIT_TEST(cut_answer_in_chunks_looks_whole);
  CPPUNIT_TEST(cut_answer_without_length_looks_whole);
  CPPUNIT_TEST(cut_head_with_a_keep_alive_field_looks_whole);
  CPPUNIT_TEST(cut_head_of_an_empty_answer_looks_whole);
  CPPUNIT_TEST(cut_second_head_ends_a_stream_as_whole);
  CPPUNIT_TEST_SUITE_END();

  auto expect_cut(const std::string& answer) -> void {
    for (const auto* path : paths) {
      for (const auto end : {ending::closed, ending::reset})
        for (std::size_t size = 0; size < answer.size(); ++size) {
          const auto part = answer.substr(0, size);
          CPPUNIT_ASSERT_MESSAGE(path + (" gets 200 of " + part),
                                 call(path, {{part, end}}) != 200);
        }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200, call(path, {{answer}}));
    }
  }

 public:
  auto setUp() -> void override {
    retry_slack_ = 20000;
    two_endpoint_fixture::setUp();
  }

  auto cut_answer_with_length_looks_whole() -> void {
    expect_cut(head + "Content-Length: " + std::to_string(stream_body.size()) +
               "\r\n\r\n" + stream_body);
  }

  auto cut_answer_in_chunks_looks_whole() -> void {
    expect_cut(chunked_head + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
  }

  auto cut_answer_without_length_looks_whole() -> void {
    const auto whole_head = head + "\r\n";
    const auto answer = whole_head + stream_body;
    for (const auto* path : paths)
      for (std::size_t size = 0; size < answer.size(); ++size) {
        const auto part = answer.substr(0, size);
        CPPUNIT_ASSERT_MESSAGE(path + (" gets 200 of the reset " + part),
                               call(path, {{part, ending::reset}}) != 200);
        if (call(path, {{part}}) != 200) continue;
        CPPUNIT_ASSERT_MESSAGE(path + (" gets 200 of " + part),
                               size >= whole_head.size());
        CPPUNIT_ASSERT_EQUAL(part.substr(whole_head.size()), body_);
        CPPUNIT_ASSERT(std::get<call_completed>(*result_).end ==
                       body_end::connection);
      }
  }

  auto cut_head_with_a_keep_alive_field_looks_whole() -> void {
    expect_cut(head + "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n" +
               "Content-Length: " + std::to_string(event(1).size()) +
               "\r\n\r\n" + event(1));
  }

  auto cut_head_of_an_empty_answer_looks_whole() -> void {
    const auto answer = head + "Content-Length: 0\r\n\r\n";
    for (const auto* path : {"/plain/", ""})
      for (const auto end : {ending::closed, ending::reset})
        for (std::size_t size = 0; size < answer.size(); ++size)
          CPPUNIT_ASSERT_EQUAL_MESSAGE(
              answer.substr(0, size), 502,
              call(path, {{answer.substr(0, size), end}}));
  }

  auto cut_second_head_ends_a_stream_as_whole() -> void {
    const auto rest = head +
                      "Content-Type: text/event-stream\r\nContent-Length: " +
                      std::to_string(event(2).size()) + "\r\n\r\n" + event(2);
    const raw_response begun{chunked_head + chunk(event(1))};
    CPPUNIT_ASSERT_EQUAL(200, call("/resumable/", {begun, {rest}}));
    for (const auto end : {ending::closed, ending::reset})
      for (std::size_t size = 0; size < rest.size(); ++size) {
        const auto part = rest.substr(0, size);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 0,
                                     call("/resumable/", {begun, {part, end}}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(part, event(1), body_);
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cut_head_test);

}  // namespace pollenloft::test
