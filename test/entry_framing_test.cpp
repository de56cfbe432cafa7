#include "raw_entry_fixture.hpp"

namespace pollenloft::test {

using namespace raw;  // NOLINT

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;

}  // namespace

/// Responses that end with their connection, and bytes that are no response, at
/// the interfaces of an entry VM.
class entry_framing_test : public entry_fixture {
  CPPUNIT_TEST_SUITE(entry_framing_test);
  CPPUNIT_TEST(response_without_length_does_not_reach_the_caller);
  CPPUNIT_TEST(cut_response_looks_whole_to_the_caller);
  CPPUNIT_TEST(garbage_reaches_the_caller);
  CPPUNIT_TEST(large_response_does_not_reach_the_caller);
  CPPUNIT_TEST(endless_response_holds_the_caller_to_the_timeout);
  CPPUNIT_TEST(whole_stream_without_length_is_broken_off);
  CPPUNIT_TEST(cut_stream_looks_whole);
  CPPUNIT_TEST(cut_stream_is_not_resumed);
  CPPUNIT_TEST(endless_event_holds_the_caller_to_the_timeout);
  CPPUNIT_TEST(endless_error_of_a_stream_holds_the_caller_to_the_timeout);
  CPPUNIT_TEST(events_of_another_request_reach_the_caller);
  CPPUNIT_TEST(tiny_events_block_the_loop);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto expect_whole(const raw_response& response, const std::string& body)
      -> void {
    for (const auto* path : {"/plain/", ""}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200, call(path, {response}));
      CPPUNIT_ASSERT(body == body_);
    }
  }

  auto expect_failure(const raw_response& response) -> void {
    for (const auto* path : {"/plain/", ""}) {
      const auto start = boottime_clock::now();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path + response.bytes, 502,
                                   call(path, {response}));
      CPPUNIT_ASSERT(body_.find("part") == std::string::npos);
      CPPUNIT_ASSERT(boottime_clock::now() - start < call_timeout / 2);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint_->received.size());
      wait(milliseconds(50));
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, endpoint_->open_connections());
    }
  }

  /// Expects a stream that is cut off after this body.
  auto expect_cut(const raw_response& response, const std::string& body)
      -> void {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.bytes, 0,
                                 call("/single/", {response}));
    CPPUNIT_ASSERT_EQUAL(body, body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint_->received.size());
  }

  auto response_without_length_does_not_reach_the_caller() -> void {
    expect_whole({head + "\r\nwhole"}, "whole");
    expect_whole({head + "Connection: keep-alive\r\n\r\nwhole"}, "whole");
    expect_whole({"HTTP/1.0 200 OK\r\nRequest-Id: r1\r\n\r\nwhole"}, "whole");
  }

  auto cut_response_looks_whole_to_the_caller() -> void {
    expect_failure({head + "\r\npart", ending::reset});
    expect_failure(
        {head + "Connection: keep-alive\r\n\r\npart", ending::reset});
    expect_failure({head + "Content-Length: 5\r\n\r\npart"});
    expect_failure({chunked_head + chunk("part")});
    expect_failure({head});
  }

  auto garbage_reaches_the_caller() -> void {
    expect_failure({"part of garbage\r\n\r\n"});
    expect_failure({"HTTP/1.1 999 X\r\nContent-Length: 4\r\n\r\npart"});
    expect_failure({"HTTP/1.1 103 X\r\n\r\n"});
  }

  auto large_response_does_not_reach_the_caller() -> void {
    expect_whole({head + "\r\n" + std::string(6 * mebibyte, 'x')},
                 std::string(6 * mebibyte, 'x'));
  }

  auto endless_response_holds_the_caller_to_the_timeout() -> void {
    const auto part = std::string(1000, 'x');
    for (const auto& response :
         std::vector<raw_response>{{"", ending::none, "x"},
                                   {head, ending::none, "X: some value\r\n"},
                                   {head + "\r\n", ending::none, part},
                                   {chunked_head, ending::none, chunk(part)},
                                   {chunked_head, ending::none, "0"}})
      expect_failure(response);
  }

  auto whole_stream_without_length_is_broken_off() -> void {
    for (const auto* path : {"/single/", "/resumable/"})
      for (const auto* field : {"", "Connection: keep-alive\r\n"}) {
        const auto body = event(1) + event(2);
        CPPUNIT_ASSERT_EQUAL(200, call(path, {{head + field + "\r\n" + body}}));
        CPPUNIT_ASSERT_EQUAL(body, body_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint_->received.size());
      }
  }

  auto cut_stream_looks_whole() -> void {
    const auto cut = event(1) + "id: 2\nda";
    expect_cut({head + "\r\n" + cut}, event(1));
    expect_cut({head + "\r\n" + event(1), ending::reset}, event(1));
    expect_cut({head + "\r\n" + cut, ending::reset}, event(1));
    expect_cut({chunked_head + chunk(event(1)) + "9\r\nid: 2"}, event(1));
    expect_cut({chunked_head + chunk(event(1))}, event(1));
    expect_cut({chunked_head + chunk(cut) + "0\r\n\r\n"}, event(1));
    expect_cut({"HTTP/1.0 200 OK\r\nRequest-Id: r1\r\n\r\n" + cut}, event(1));
  }

  auto cut_stream_is_not_resumed() -> void {
    const auto cut = event(1) + "id: 2\nda";
    const auto rest = event(2) + event(3);
    const raw_response unframed_rest{head + "\r\n" + rest};
    const raw_response chunked_rest{chunked_head + chunk(rest) + "0\r\n\r\n"};
    for (const auto& [first, second] :
         std::vector<std::pair<raw_response, raw_response>>{
             {{head + "\r\n" + cut}, unframed_rest},
             {{head + "\r\n" + event(1), ending::reset}, unframed_rest},
             {{head + "\r\n" + cut}, chunked_rest},
             {{chunked_head + chunk(event(1)) + "9\r\nid: 2"}, chunked_rest},
             {{chunked_head + chunk(cut) + "0\r\n\r\n"}, chunked_rest}}) {
      CPPUNIT_ASSERT_EQUAL(200, call("/resumable/", {first, second}));
      CPPUNIT_ASSERT_EQUAL(event(1) + rest, body_);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, endpoint_->received.size());
      CPPUNIT_ASSERT(endpoint_->received[1].find("Last-Event-Id: 1\r\n") !=
                     std::string::npos);
    }
  }

  auto endless_event_holds_the_caller_to_the_timeout() -> void {
    for (const auto& response : std::vector<raw_response>{
             {head + "\r\n" + event(1), ending::none, "data: x"},
             {chunked_head + chunk(event(1)), ending::none, chunk("data: x")},
             {chunked_head + chunk(event(1)) + "ffffffff\r\n", ending::none,
              "data: x"}}) {
      const auto start = boottime_clock::now();
      expect_cut(response, event(1));
      CPPUNIT_ASSERT(boottime_clock::now() - start < call_timeout / 2);
    }
  }

  auto endless_error_of_a_stream_holds_the_caller_to_the_timeout() -> void {
    const auto part = std::string(1000, 'x');
    for (const auto& response : std::vector<raw_response>{
             {error_head + "\r\n", ending::none, part},
             {error_head + "Transfer-Encoding: chunked\r\n\r\n", ending::none,
              chunk(part)}}) {
      const auto start = boottime_clock::now();
      CPPUNIT_ASSERT_EQUAL(502, call("/single/", {response}));
      CPPUNIT_ASSERT(boottime_clock::now() - start < call_timeout / 2);
    }
  }

  auto events_of_another_request_reach_the_caller() -> void {
    const auto other =
        "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n" + event(1) + event(2);
    CPPUNIT_ASSERT_EQUAL(502, call("/single/", {{other}}));
    CPPUNIT_ASSERT(body_.find("data") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(
        200, call("/resumable/", {{other}, {head + "\r\n" + event(1)}}));
    CPPUNIT_ASSERT_EQUAL(event(1), body_);
  }

  auto tiny_events_block_the_loop() -> void {
    std::string body;
    while (body.size() < mebibyte * 9 / 10)
      body += ":\n\n";
    const auto start = boottime_clock::now();
    CPPUNIT_ASSERT_EQUAL(
        200, call("/single/", {{chunked_head + chunk(body) + "0\r\n\r\n"}}));
    CPPUNIT_ASSERT_EQUAL(body.size(), body_.size());
    CPPUNIT_ASSERT(boottime_clock::now() - start < std::chrono::seconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_framing_test);

}  // namespace pollenloft::test
