#include "pollenloft/engine.hpp"
#include "raw_endpoint.hpp"

namespace pollenloft::test {

using namespace raw;  // NOLINT

namespace {

const socket_address endpoint_address{"127.0.9.50", 18501};
constexpr std::size_t mebibyte = 1024 * 1024;
constexpr auto call_timeout = std::chrono::seconds(4);

constexpr response_limits limits{64 * 1024, 8 * mebibyte};

}  // namespace

/// Responses that end with their connection, and bytes that are no response.
class response_framing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(response_framing_test);
  CPPUNIT_TEST(response_without_length_is_interrupted);
  CPPUNIT_TEST(response_without_length_that_keeps_alive_is_interrupted);
  CPPUNIT_TEST(old_response_without_length_is_interrupted);
  CPPUNIT_TEST(reset_response_without_length_looks_whole);
  CPPUNIT_TEST(short_response_looks_whole);
  CPPUNIT_TEST(cut_chunk_reaches_the_data_callback);
  CPPUNIT_TEST(garbage_is_taken_for_a_response);
  CPPUNIT_TEST(invalid_status_is_taken_for_a_response);
  CPPUNIT_TEST(interim_response_is_taken_for_the_response);
  CPPUNIT_TEST(unknown_transfer_coding_is_taken_for_the_body);
  CPPUNIT_TEST(conflicting_lengths_are_accepted);
  CPPUNIT_TEST(bytes_after_a_response_answer_the_next_call);
  CPPUNIT_TEST(endless_status_line_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_header_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_body_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_chunk_size_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_trailer_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_error_body_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_chunk_is_read_to_the_timeout);
  CPPUNIT_TEST(long_stream_exceeds_the_limit);
  CPPUNIT_TEST(large_response_exceeds_the_limit);
  CPPUNIT_TEST(event_in_small_parts_blocks_the_loop);
  CPPUNIT_TEST_SUITE_END();

 protected:
  event_loop loop_;
  std::unique_ptr<raw_endpoint> endpoint_;
  std::optional<call_result> result_;
  std::vector<int> statuses_;
  std::string body_;
  std::string streamed_;

  auto send(http_client& client, bool stream, bool keep_alive = false) -> void {
    http_call request{endpoint_address, "POST", "/x"};
    request.body = "hello";
    request.keep_alive = keep_alive;
    request.timeout = call_timeout;
    request.limits = limits;
    result_.reset();
    statuses_.clear();
    body_.clear();
    streamed_.clear();
    call_handlers handlers;
    handlers.on_headers = [this](int status, const auto&) {
      statuses_.push_back(status);
    };
    if (stream) handlers.on_data = [this](auto data) { streamed_ += data; };
    handlers.on_done = [this](const auto& result, auto body) {
      result_ = result;
      body_ = body;
      loop_.stop();
    };
    client.send(request, handlers);
    loop_.run();
  }

  auto call(const raw_response& response, bool stream) -> void {
    http_client client(loop_);
    endpoint_->responses = {response};
    send(client, stream);
  }

  auto status() const -> int {
    const auto* completed = std::get_if<call_completed>(&*result_);
    return completed == nullptr ? 0 : completed->status;
  }

  auto expect_body(const raw_response& response, const std::string& body)
      -> void {
    for (const auto stream : {false, true}) {
      call(response, stream);
      CPPUNIT_ASSERT_EQUAL(200, status());
      CPPUNIT_ASSERT_EQUAL(body, stream ? streamed_ : body_);
    }
  }

  auto expect_interruption(const raw_response& response) -> void {
    for (const auto stream : {false, true}) {
      call(response, stream);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response.bytes, 0, status());
      CPPUNIT_ASSERT(std::holds_alternative<call_interrupted>(*result_));
      CPPUNIT_ASSERT_EQUAL(std::string(), body_);
    }
  }

 public:
  auto setUp() -> void override {
    endpoint_ = std::make_unique<raw_endpoint>(loop_, endpoint_address);
  }
  auto tearDown() -> void override { endpoint_.reset(); }

  auto response_without_length_is_interrupted() -> void {
    expect_body({head + "\r\nwhole"}, "whole");
    expect_body({head + "Connection: close\r\n\r\nwhole"}, "whole");
  }

  auto response_without_length_that_keeps_alive_is_interrupted() -> void {
    expect_body({head + "Connection: keep-alive\r\n\r\nwhole"}, "whole");
    expect_body({head + "Connection: close, X\r\n\r\nwhole"}, "whole");
  }

  auto old_response_without_length_is_interrupted() -> void {
    expect_body({"HTTP/1.0 200 OK\r\n\r\nwhole"}, "whole");
  }

  auto reset_response_without_length_looks_whole() -> void {
    expect_interruption({head + "\r\nwhole", ending::reset});
    expect_interruption({head + "\r\n", ending::reset});
    expect_interruption({"HTTP/1.0 200 OK\r\n\r\nwhole", ending::reset});
  }

  auto short_response_looks_whole() -> void {
    for (const auto end : {ending::closed, ending::reset}) {
      expect_interruption({head + "Content-Length: 9\r\n\r\nhalf", end});
      expect_interruption({chunked_head + chunk("half"), end});
      expect_interruption({chunked_head + chunk("half") + "0\r\n", end});
      expect_interruption({head + "X: 1\r\n", end});
    }
  }

  auto cut_chunk_reaches_the_data_callback() -> void {
    expect_interruption({chunked_head + chunk("whole") + "9\r\nhalf"});
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), streamed_);
  }

  auto garbage_is_taken_for_a_response() -> void {
    for (const auto* bytes :
         {"garbage\r\n\r\n", "\x01\x02\x03\r\n", "HTTP/2.0 200 OK\r\n\r\nx",
          "200 OK\r\n\r\n", "HTTP/1.1 OK\r\n\r\n", ""})
      expect_interruption({bytes});
  }

  auto invalid_status_is_taken_for_a_response() -> void {
    for (const auto* status : {"999", "-5", "20", "20x", "99999", "600"})
      expect_interruption({"HTTP/1.1 " + std::string(status) +
                           " X\r\nContent-Length: 1\r\n\r\nx"});
  }

  auto interim_response_is_taken_for_the_response() -> void {
    expect_body({"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n" + head +
                     "Content-Length: 5\r\n\r\nwhole",
                 ending::none},
                "whole");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, statuses_.size());
    expect_interruption({"HTTP/1.1 103 Hints\r\n\r\n", ending::none});
  }

  auto unknown_transfer_coding_is_taken_for_the_body() -> void {
    expect_interruption(
        {head + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n"});
  }

  auto conflicting_lengths_are_accepted() -> void {
    expect_interruption(
        {head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nwhole"});
  }

  auto bytes_after_a_response_answer_the_next_call() -> void {
    http_client client(loop_);
    const auto whole = head + "Content-Length: 5\r\n\r\nfirst";
    endpoint_->responses = {
        {whole + head + "Content-Length: 5\r\n\r\nextra", ending::none},
        {head + "Content-Length: 6\r\n\r\nsecond", ending::none}};
    send(client, false, true);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), body_);
    send(client, false, true);
    CPPUNIT_ASSERT_EQUAL(std::string("second"), body_);
  }

  /// Expects an interruption well before the call times out, and no more than
  /// the rest of the buffers to be sent after it.
  auto expect_bound(const raw_response& response, bool stream) -> void {
    const auto start = boottime_clock::now();
    call(response, stream);
    const auto took = boottime_clock::now() - start;
    CPPUNIT_ASSERT(std::holds_alternative<call_interrupted>(*result_));
    const auto reason = std::get<call_interrupted>(*result_).cause.reason;
    CPPUNIT_ASSERT_MESSAGE(
        reason, reason == "response too long" || reason == "invalid header");
    CPPUNIT_ASSERT(took < call_timeout / 2);
    CPPUNIT_ASSERT_EQUAL(std::string(), body_);
    const auto end = loop_.after(milliseconds(50), [this] { loop_.stop(); });
    loop_.run();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, endpoint_->open_connections());
  }

  static auto endless(const std::string& bytes, const std::string& repeated)
      -> raw_response {
    return {bytes, ending::none, repeated};
  }

  auto endless_status_line_is_read_to_the_timeout() -> void {
    for (const auto stream : {false, true}) {
      expect_bound(endless("HTTP/1.1 200 ", "x"), stream);
      expect_bound(endless("", "x"), stream);
    }
  }

  auto endless_header_is_read_to_the_timeout() -> void {
    for (const auto stream : {false, true}) {
      expect_bound(endless(head + "X: ", "x"), stream);
      expect_bound(endless(head, "X: some value\r\n"), stream);
    }
  }

  auto endless_body_is_read_to_the_timeout() -> void {
    expect_bound(endless(head + "\r\n", std::string(1000, 'x')), false);
    expect_bound(endless(chunked_head, chunk(std::string(1000, 'x'))), false);
    expect_bound(endless(head + "Content-Length: 99999999999\r\n\r\n",
                         std::string(1000, 'x')),
                 false);
  }

  auto endless_chunk_size_is_read_to_the_timeout() -> void {
    for (const auto stream : {false, true})
      expect_bound(endless(chunked_head, "0"), stream);
  }

  auto endless_trailer_is_read_to_the_timeout() -> void {
    for (const auto stream : {false, true})
      expect_bound(endless(chunked_head + "0\r\n", "X: some value\r\n"),
                   stream);
  }

  auto endless_error_body_is_read_to_the_timeout() -> void {
    const auto part = std::string(1000, 'x');
    expect_bound(endless(error_head + "\r\n", part), true);
    expect_bound(
        endless(error_head + "Content-Length: 99999999999\r\n\r\n", part),
        true);
    expect_bound(
        endless(error_head + "Transfer-Encoding: chunked\r\n\r\n", chunk(part)),
        true);
  }

  auto endless_chunk_is_read_to_the_timeout() -> void {
    expect_bound(endless(chunked_head + "ffffffff\r\n", "x"), true);
  }

  auto long_stream_exceeds_the_limit() -> void {
    const std::string part(mebibyte, 'x');
    std::string body;
    for (int i = 0; i < 12; ++i)
      body += chunk(part);
    call({chunked_head + body + "0\r\n\r\n"}, true);
    CPPUNIT_ASSERT_EQUAL(200, status());
    CPPUNIT_ASSERT_EQUAL(12 * part.size(), streamed_.size());
  }

  auto large_response_exceeds_the_limit() -> void {
    const std::string body(6 * mebibyte, 'x');
    call({head + "\r\n" + body}, false);
    CPPUNIT_ASSERT_EQUAL(200, status());
    CPPUNIT_ASSERT_EQUAL(body.size(), body_.size());
  }

  auto event_in_small_parts_blocks_the_loop() -> void {
    event_reader reader;
    const auto start = boottime_clock::now();
    for (std::size_t size = 0; size < mebibyte; size += 4)
      CPPUNIT_ASSERT(reader.feed("data").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reader.feed("data").size());
    CPPUNIT_ASSERT(boottime_clock::now() - start < std::chrono::seconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_framing_test);

}  // namespace pollenloft::test
