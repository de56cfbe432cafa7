#include "response_scanner.hpp"

#include "property.hpp"

namespace pollenloft::test {

using namespace std::string_literals;

namespace {

constexpr std::size_t max_line_bytes = 64;

/// Whether the bytes are valid when they arrive in parts of `part_bytes`.
auto valid(const std::string& bytes, std::size_t part_bytes,
           bool answers_head = false) -> bool {
  response_scanner scanner(max_line_bytes, answers_head);
  for (std::size_t at = 0; at < bytes.size(); at += part_bytes)
    scanner.scan(std::string_view(bytes).substr(at, part_bytes));
  return scanner.valid();
}

const std::string chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n";

}  // namespace

class response_scanner_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(response_scanner_test);
  CPPUNIT_TEST(parts_change_the_verdict);
  CPPUNIT_TEST(final_head_after_an_interim_one_is_not_checked);
  CPPUNIT_TEST(bytes_without_chunks_are_checked_as_chunks);
  CPPUNIT_TEST(long_line_is_kept);
  CPPUNIT_TEST(single_byte_changes_the_length);
  CPPUNIT_TEST(bytes_after_the_body_are_overlooked);
  CPPUNIT_TEST_SUITE_END();

  static auto expect(bool wanted, const std::string& bytes) -> void {
    for (std::size_t size = 1; size <= bytes.size(); ++size)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, wanted, valid(bytes, size));
  }

 public:
  auto parts_change_the_verdict() -> void {
    expect(true, chunked + "\r\n5\r\nwhole\r\n0\r\nX: 1\r\n\r\nrest");
    expect(false, chunked + "\r\n4\r\nwhole\r\n0\r\n\r\n");
    expect(false, chunked + "X : 1\r\n\r\n");
    expect(false, "HTTP/1.1 200 OK\r\nContent-Length: 1\0"s + "2\r\n\r\n");
  }

  auto final_head_after_an_interim_one_is_not_checked() -> void {
    const auto interim = "HTTP/1.1 100 Continue\r\nX: 1\r\n\r\n"s;
    expect(true, interim + chunked + "\r\n0\r\n\r\n");
    expect(false, interim + chunked + "X : 1\r\n\r\n");
    expect(false, interim + "HTTP/1.1 000 OK\r\n\r\n");
    expect(false, "HTTP/1.1 101 Switching\r\n\r\n");
  }

  auto bytes_without_chunks_are_checked_as_chunks() -> void {
    CPPUNIT_ASSERT(valid(chunked + "\r\nno chunk\r\n", 1, true));
    expect(true, "HTTP/1.1 204 None\r\nTransfer-Encoding: chunked\r\n\r\nx\n");
    expect(true, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n no field\n");
    expect(true, "HTTP/1.1 200 OK\r\n\r\n no field\r\n");
  }

  /// The client refuses it by its limit of the head.
  auto long_line_is_kept() -> void {
    const std::string value(2 * max_line_bytes, 'x');
    expect(true, chunked + "X: " + value + "\r\nno field\r\n");
  }

  /// Any byte in place of any other one is noticed, or leaves the numbers that
  /// tell the length of the body as digits of their own fields. Without its
  /// last byte, the head has no end.
  auto single_byte_changes_the_length() -> void {
    const auto fields = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"s;
    const auto value = fields.find("12");
    for (std::size_t at = 0; at + 1 < fields.size(); ++at)
      for (int byte = 0; byte < 256; ++byte) {
        auto damaged = fields;
        damaged[at] = static_cast<char>(byte);
        if (!valid(damaged, damaged.size())) continue;
        const auto is_number = byte >= '0' && byte <= '9';
        CPPUNIT_ASSERT_MESSAGE(
            damaged, byte >= ' ' || byte == '\t' || damaged == fields);
        if (at >= value && at < value + 2)
          CPPUNIT_ASSERT_MESSAGE(damaged,
                                 is_number || byte == ' ' || byte == '\t');
      }
  }

  auto bytes_after_the_body_are_overlooked() -> void {
    const auto surplus = [](const std::string& bytes) {
      response_scanner scanner(max_line_bytes, false);
      for (const auto byte : bytes)
        scanner.scan({&byte, 1});
      CPPUNIT_ASSERT(scanner.valid());
      return scanner.surplus();
    };
    const auto none = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"s;
    const auto five = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"s;
    const auto chunks = chunked + "\r\n5\r\nwhole\r\n0\r\n\r\n";
    for (const auto& whole : {none, five, chunks}) {
      CPPUNIT_ASSERT(!surplus(whole));
      CPPUNIT_ASSERT(surplus(whole + "x"));
      CPPUNIT_ASSERT(surplus(whole + "HTTP/2"));
      CPPUNIT_ASSERT(!surplus(whole + whole));
    }
    CPPUNIT_ASSERT(!surplus("HTTP/1.1 200 OK\r\n\r\nwhole"));
    CPPUNIT_ASSERT(!surplus("HTTP/1.1 304 Same\r\nContent-Length: 5\r\n\r\nx"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_scanner_test);

}  // namespace pollenloft::test
