#include "raw_entry_fixture.hpp"

namespace pollenloft::test {

using namespace raw;  // NOLINT
using namespace std::string_literals;

namespace {

constexpr std::array<const char*, 4> paths{"/plain/", "/single/", "/resumable/",
                                           ""};
const std::string body = event(1) + event(2);
const std::string length = std::to_string(body.size());
const std::string length_field = "Content-Length: " + length + "\r\n";

auto answer(const std::string& fields) -> std::string {
  return head + "Content-Type: text/event-stream\r\n" + fields + "\r\n" + body;
}

}  // namespace

/// Answers whose head or chunks break the grammar of HTTP.
class response_head_test : public two_endpoint_fixture {
  CPPUNIT_TEST_SUITE(response_head_test);
  CPPUNIT_TEST(invalid_length_delivers_another_body);
  CPPUNIT_TEST(length_below_the_body_delivers_a_part);
  CPPUNIT_TEST(line_without_field_is_passed_on);
  CPPUNIT_TEST(invalid_field_name_is_passed_on);
  CPPUNIT_TEST(control_byte_in_a_value_is_passed_on);
  CPPUNIT_TEST(invalid_status_line_is_passed_on);
  CPPUNIT_TEST(invalid_chunk_size_delivers_another_body);
  CPPUNIT_TEST(invalid_trailer_ends_an_answer);
  CPPUNIT_TEST(invalid_head_in_parts_is_passed_on);
  CPPUNIT_TEST(invalid_second_head_is_joined_to_a_stream);
  CPPUNIT_TEST(unusual_head_is_refused);
  CPPUNIT_TEST_SUITE_END();

  /// Expects that no caller gets a status of the endpoint, nor a complete
  /// response with bytes of it.
  auto expect_rejected(const raw_response& response) -> void {
    for (const auto* path : paths) {
      const auto status = call(path, {response});
      const auto message =
          path + (" gets " + std::to_string(status)) + " of " + response.bytes;
      CPPUNIT_ASSERT_MESSAGE(message, status == 0 || status == 502);
      CPPUNIT_ASSERT_MESSAGE(message,
                             status == 0 || body_.find("t1") == body_.npos);
    }
  }
  auto expect_rejected(const std::string& fields) -> void {
    for (const auto end : {ending::closed, ending::none})
      expect_rejected(raw_response{answer(fields), end});
  }
  auto expect_served(const std::string& bytes) -> void {
    for (const auto* path : paths) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path + bytes, 200, call(path, {{bytes}}));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path + bytes, body, body_);
    }
  }

 public:
  auto setUp() -> void override {
    retry_slack_ = 20000;
    two_endpoint_fixture::setUp();
  }

  auto invalid_length_delivers_another_body() -> void {
    for (const auto& field :
         {"Content-Length: 1\0"s + length, "Content-Length: +" + length,
          "Content-Length: 0x" + length, "Content-Length: -" + length,
          "Content-Length: "s, "Content-Length: " + length + ", " + length,
          "Content-Length: " + length + "x", "Content-Length: \v" + length,
          "Content-Length: 1\r" + length, "Content-Length: 1\n 2"s})
      expect_rejected(field + "\r\n");
  }

  auto length_below_the_body_delivers_a_part() -> void {
    expect_rejected("Content-Length: 3\r\n"s);
    expect_rejected("Content-Length: 0\r\n"s);
    expect_rejected("Content-Length: " + std::to_string(body.size() - 1) +
                    "\r\n");
  }

  auto line_without_field_is_passed_on() -> void {
    for (const auto& line :
         {"no field"s, "\0X: 1"s, " X: 1"s, "\tX: 1"s, "\r"s, "\0"s})
      for (const auto& fields :
           {line + "\r\n" + length_field, length_field + line + "\r\n"})
        expect_rejected(fields);
  }

  auto invalid_field_name_is_passed_on() -> void {
    for (const auto& line :
         {"Content Length: " + length, "Content-Length : " + length,
          "Content-Length\t: " + length, "Content-Length\x01: " + length,
          "\x7f"s + "Content-Length: " + length, ": 1"s, "X\xe9: 1"s, "X\v: 1"s,
          "X(y): 1"s, "X@: 1"s})
      for (const auto& fields :
           {line + "\r\n", length_field + line + "\r\n",
            "Transfer-Encoding : chunked\r\n" + line + "\r\n"})
        expect_rejected(fields);
  }

  auto control_byte_in_a_value_is_passed_on() -> void {
    for (const auto byte : {'\0', '\x01', '\b', '\v', '\r', '\x7f'})
      expect_rejected("X: a"s + byte + "b\r\n" + length_field);
  }

  auto invalid_status_line_is_passed_on() -> void {
    for (const auto* line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 200x OK",
          "HTTP/1.1 +200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1  200 OK",
          "HTTP/1.1 200\v OK", "HTTP/1.1 0500 Failed", "HTTP/1.+1 200 OK",
          "HTTP/1.1x 200 OK", "HTTP/-1.1 200 OK", "HTTP/1.11 200 OK",
          "HTTP/0.9 200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 200 O\x01K"})
      for (const auto end : {ending::closed, ending::none})
        expect_rejected(
            raw_response{line + "\r\n"s + length_field + "\r\n" + body, end});
    expect_rejected(
        raw_response{"HTTP/1.1 200 OK\n" + length_field + "\n" + body});
    expect_rejected(
        raw_response{"HTTP/1.1 200 O\0K\r\n"s + length_field + "\r\n" + body});
  }

  auto invalid_chunk_size_delivers_another_body() -> void {
    const auto data = event(1) + event(2);
    std::ostringstream hex;
    hex << std::hex << data.size();
    for (const auto& size :
         {"+" + hex.str(), "0x" + hex.str(), " " + hex.str(),
          hex.str() + "\0x"s, "1\0"s + hex.str(), hex.str() + " x"s,
          "-" + hex.str(), hex.str() + "g"s})
      expect_rejected(
          raw_response{chunked_head + size + "\r\n" + data + "\r\n0\r\n\r\n"});
    expect_rejected(
        raw_response{chunked_head + hex.str() + "\r\n" + data + "0\r\n\r\n"});
    expect_rejected(raw_response{chunked_head + "\r\n" + hex.str() + "\r\n" +
                                 data + "\r\n0\r\n\r\n"});
  }

  auto invalid_trailer_ends_an_answer() -> void {
    for (const auto& line : {"no field"s, "\0"s, " X: 1"s, "X y: 1"s})
      expect_rejected(raw_response{chunked_head + chunk(body) + "0\r\n" + line +
                                   "\r\n\r\n"});
  }

  auto invalid_head_in_parts_is_passed_on() -> void {
    const auto whole = answer("Content-Length : " + length + "\r\n");
    for (std::size_t size = 1; size < whole.size(); size += 7) {
      raw_response response{whole.substr(0, size)};
      response.pause = milliseconds(3);
      response.later = whole.substr(size);
      expect_rejected(response);
    }
  }

  auto invalid_second_head_is_joined_to_a_stream() -> void {
    const raw_response begun{chunked_head + chunk(event(1))};
    const auto rest = event(2);
    const auto field = "Content-Length : " + std::to_string(rest.size());
    const raw_response second{head + "Content-Type: text/event-stream\r\n" +
                              field + "\r\n\r\n" + rest};
    CPPUNIT_ASSERT_EQUAL(0, call("/resumable/", {begun, second}));
    CPPUNIT_ASSERT_EQUAL(event(1), body_);
  }

  /// Heads that the grammar allows.
  auto unusual_head_is_refused() -> void {
    for (const auto& fields : {"content-length:" + length + "\r\n",
                               "Content-Length:\t " + length + " \t\r\n",
                               length_field + "X-!#$%&'*+.^_`|~9:\r\n",
                               length_field + "X: \xe9\t;\r\n",
                               length_field + length_field, "X:\r\n"s})
      expect_served(answer(fields));
    expect_served("HTTP/1.1 200\r\n" + length_field + "\r\n" + body);
    expect_served("HTTP/1.1 200 \r\n" + length_field + "\r\n" + body);
    const auto chunks = [](const std::string& size, const std::string& rest) {
      return chunked_head + size + "\r\n" + event(1) + "\r\n" +
             chunk(event(2)) + rest;
    };
    std::ostringstream hex;
    hex << std::hex << event(1).size();
    expect_served(chunks("000" + hex.str(), "0\r\n\r\n"));
    expect_served(chunks(hex.str() + " ;name=value", "0\r\n\r\n"));
    expect_served(chunks(hex.str() + " ", "000\r\nX: 1\r\n\r\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_head_test);

}  // namespace pollenloft::test
