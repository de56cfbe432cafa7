#include "head_scanner.hpp"

#include "property.hpp"

namespace pollenloft::test {

class head_scanner_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(head_scanner_test);
  CPPUNIT_TEST(lines_are_counted_up_to_the_empty_one);
  CPPUNIT_TEST(parts_of_any_size_give_the_same_count);
  CPPUNIT_TEST(single_byte_hides_the_length);
  CPPUNIT_TEST_SUITE_END();

  const std::string head_ = "GET / HTTP/1.1\r\nHost: h\r\na:\r\n\r\n";

 public:
  auto lines_are_counted_up_to_the_empty_one() -> void {
    head_scanner scanner;
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), scanner.scan(head_ + "body\n\n\n"));
    CPPUNIT_ASSERT(scanner.complete());
    CPPUNIT_ASSERT_EQUAL(head_.size(), scanner.bytes());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), scanner.scan("\n\n"));
  }
  auto parts_of_any_size_give_the_same_count() -> void {
    check_property("parts", [this](std::uint8_t size) {
      const auto step = 1 + size % head_.size();
      head_scanner scanner;
      std::size_t lines = 0;
      for (std::size_t at = 0; at < head_.size(); at += step)
        lines += scanner.scan(std::string_view(head_).substr(at, step));
      RC_ASSERT(lines == 4U);
      RC_ASSERT(scanner.complete());
    });
  }
  /// Any byte in place of one of the name or of the blank behind it leaves
  /// another valid name, or is noticed; a line feed ends a line without CR too.
  auto single_byte_hides_the_length() -> void {
    const std::string head =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\n";
    const auto name = head.find("Content");
    for (auto at = name; at < head.find("12"); ++at)
      for (int byte = 0; byte < 256; ++byte) {
        auto damaged = head;
        damaged[at] = static_cast<char>(byte);
        head_scanner scanner;
        scanner.scan(damaged);
        if (!scanner.valid() || byte == '\n') continue;
        CPPUNIT_ASSERT_MESSAGE(damaged, scanner.complete());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(damaged, std::size_t{4}, scanner.lines());
        CPPUNIT_ASSERT_MESSAGE(damaged,
                               byte > ' ' || at + 1 == head.find("12"));
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(head_scanner_test);

}  // namespace pollenloft::test
