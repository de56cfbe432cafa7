#include "raw_caller.hpp"

namespace pollenloft::test {

using namespace std::string_literals;

namespace {

const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string length = std::to_string(smuggled.size());
const std::string start = "POST /x HTTP/1.1\r\nHost: h\r\n";
const std::string length_field = "Content-Length: " + length + "\r\n";

/// Answers with the target of the request and its body.
auto echo(const exchange_ptr& call) -> void {
  call->reply(200, {}, call->request().target + " " + call->request().body);
}

}  // namespace

/// Requests whose head breaks the grammar of HTTP, on kept connections.
class caller_head_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_head_test);
  CPPUNIT_TEST(invalid_length_hides_a_request_in_a_body);
  CPPUNIT_TEST(two_ends_of_a_body_are_accepted);
  CPPUNIT_TEST(line_without_field_is_passed_on);
  CPPUNIT_TEST(control_byte_is_passed_on);
  CPPUNIT_TEST(second_head_is_not_checked);
  CPPUNIT_TEST(unusual_head_is_refused);
  CPPUNIT_TEST_SUITE_END();

  static auto send(const std::string& request) -> std::string {
    raw_caller caller(request);
    caller.read_to_end();
    return caller.received;
  }
  /// Expects that no request of the connection reaches the handler.
  static auto expect_refused(const std::string& fields) -> void {
    const server_process server(echo);
    const auto received = send(start + fields + "\r\n" + smuggled);
    CPPUNIT_ASSERT_MESSAGE(fields + received,
                           received.find(" 200 ") == received.npos);
    if (received.empty()) return;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(fields + received, std::size_t{0},
                                 received.find("HTTP/1.1 4"));
  }

 public:
  auto invalid_length_hides_a_request_in_a_body() -> void {
    for (const auto& field :
         {"Content-Length : " + length, "Content-Length\t: " + length,
          "Content Length: " + length, " Content-Length: " + length,
          "Content-Length\x01: " + length, "Content-Length: +" + length,
          "Content-Length: 1\0"s + length, "Content-Length: \v" + length,
          "Content-Length: 0x" + length, "Content-Length: 0\0"s,
          "Content-Length: 0, " + length, "Content-Length:"s,
          "Content-Length: " + std::string(64, '0') + length,
          "Transfer-Encoding : chunked"s, "Transfer-Encoding: xchunked"s,
          "Transfer-Encoding: gzip, chunked"s,
          "Content-Length: 0\r\nContent-Length: " + length})
      expect_refused(field + "\r\n");
  }

  auto two_ends_of_a_body_are_accepted() -> void {
    expect_refused(length_field + "Transfer-Encoding: chunked\r\n");
    expect_refused("Transfer-Encoding: chunked\r\n" + length_field);
  }

  auto line_without_field_is_passed_on() -> void {
    for (const auto& line : {"no field"s, "\0X: 1"s, "\tX: 1"s, ": 1"s, "\0"s,
                             "X y: 1"s, "X\xe9: 1"s, "X@: 1"s})
      for (const auto& fields :
           {line + "\r\n" + length_field, length_field + line + "\r\n"})
        expect_refused(fields);
  }

  auto control_byte_is_passed_on() -> void {
    for (const auto byte : {'\0', '\x01', '\v', '\r', '\x7f'}) {
      expect_refused("X: a"s + byte + "b\r\n" + length_field);
      expect_refused("X: " + std::string(200, 'a') + byte + "b\r\n" +
                     length_field);
    }
  }

  auto second_head_is_not_checked() -> void {
    const server_process server(echo);
    const auto received =
        send(start + length_field + "\r\n" + smuggled + start +
             "Content-Length : " + length + "\r\n\r\n" + smuggled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received.find("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(received.find("/x " + smuggled) != received.npos);
    CPPUNIT_ASSERT(received.find("HTTP/1.1 200 ", 1) == received.npos);
    CPPUNIT_ASSERT(received.find("HTTP/1.1 400 ") != received.npos);
  }

  /// Heads that the grammar allows.
  auto unusual_head_is_refused() -> void {
    const server_process server(echo);
    for (const auto& fields :
         {length_field, "content-length:" + length + "\r\n",
          "Content-Length:\t" + length + " \t\r\n", length_field + length_field,
          length_field + "X-!#$%&'*+.^_`|~9:\r\nY: \xe9\t;\r\n",
          length_field + "X: " + std::string(500, 'x') + "\r\n",
          length_field + std::string(100, 'x') + ": 1\r\n",
          length_field + "Y: 1\n"}) {
      const auto received =
          send(start + "Connection: close\r\n" + fields + "\r\n" + smuggled);
      CPPUNIT_ASSERT_MESSAGE(
          fields + received,
          received.find("\r\n\r\n/x " + smuggled) != received.npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_head_test);

}  // namespace pollenloft::test
