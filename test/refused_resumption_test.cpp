#include "raw_entry_fixture.hpp"

namespace pollenloft::test {

using namespace raw;  // NOLINT

/// Streams whose resumption the endpoints refuse at once.
class refused_resumption_test : public two_endpoint_fixture {
  CPPUNIT_TEST_SUITE(refused_resumption_test);
  CPPUNIT_TEST(refused_resumption_is_sent_without_pauses);
  CPPUNIT_TEST(resumption_after_a_few_refusals_comes_late);
  CPPUNIT_TEST_SUITE_END();

  const raw_response broken_stream_{chunked_head + chunk(event(1))};
  const raw_response refusal_{
      "HTTP/1.1 421 Misdirected\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n"};

 public:
  auto setUp() -> void override {
    retry_slack_ = 20000;  // the back-off alone bounds the requests
    two_endpoint_fixture::setUp();
  }

  auto refused_resumption_is_sent_without_pauses() -> void {
    CPPUNIT_ASSERT_EQUAL(0, call("/resumable/", {broken_stream_, refusal_}));
    CPPUNIT_ASSERT_EQUAL(event(1), body_);
    CPPUNIT_ASSERT_LESSEQUAL(std::size_t{12}, endpoint_->received.size());
    CPPUNIT_ASSERT_GREATEREQUAL(std::size_t{5}, endpoint_->received.size());
  }

  auto resumption_after_a_few_refusals_comes_late() -> void {
    const auto start = boottime_clock::now();
    CPPUNIT_ASSERT_EQUAL(
        200,
        call("/resumable/", {broken_stream_,
                             refusal_,
                             refusal_,
                             refusal_,
                             {chunked_head + chunk(event(2)) + "0\r\n\r\n"}}));
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
    CPPUNIT_ASSERT(boottime_clock::now() - start < milliseconds(500));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refused_resumption_test);

}  // namespace pollenloft::test
