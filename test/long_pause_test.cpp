#include "pollenloft/notice.hpp"
#include "property.hpp"

namespace pollenloft::test {

class long_pause_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(long_pause_test);
  CPPUNIT_TEST(pause_of_an_hour_gets_more_than_two_trials);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The endpoint refuses each trial and names the rest of the hour.
  auto pause_of_an_hour_gets_more_than_two_trials() -> void {
    notice_register notices;
    const auto start = instant{} + std::chrono::hours(24);
    const endpoint_process endpoint{"a", "1", 8};
    int trials = 0;
    for (int second = 0; second < 3600; ++second) {
      const auto now = start + std::chrono::seconds(second);
      if (!notices.admits("a", "1", now)) continue;
      if (second > 0) ++trials;
      notices.take("a", "1", now);
      const auto stated =
          evaluate_notices(503, {}, false, {std::to_string(3600 - second)});
      notices.add_pause(endpoint, *pause_length(stated), now);
    }
    CPPUNIT_ASSERT(trials <= 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(long_pause_test);

}  // namespace pollenloft::test
