#include <numeric>

#include "pollenloft/lifecycle.hpp"
#include "property.hpp"

namespace pollenloft::test {

class refusal_backoff_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(refusal_backoff_test);
  CPPUNIT_TEST(first_refusal_is_followed_by_a_pause);
  CPPUNIT_TEST(delays_stop_growing_too_late);
  CPPUNIT_TEST(streams_that_one_crash_broke_return_together);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto first_refusal_is_followed_by_a_pause() -> void {
    CPPUNIT_ASSERT(refusal_backoff(1, 0.9) == milliseconds(0));
    CPPUNIT_ASSERT(refusal_backoff(2, 0.5) > milliseconds(0));
  }

  auto delays_stop_growing_too_late() -> void {
    for (std::size_t refusals = 2; refusals < 200; ++refusals) {
      const auto delay = refusal_backoff(refusals, 0.999);
      CPPUNIT_ASSERT(delay >= refusal_backoff(refusals - 1, 0.999));
      CPPUNIT_ASSERT(delay <= milliseconds(1250));
    }
  }

  auto streams_that_one_crash_broke_return_together() -> void {
    for (const auto streams : {90, 790, 2950, 3800}) {
      random_source random(1);
      std::vector<int> arrivals(80);  // by 50 ms
      for (int stream = 0; stream < streams; ++stream) {
        auto time = milliseconds(0);
        for (std::size_t refusals = 2; time < milliseconds(4000); ++refusals) {
          ++arrivals[std::size_t(time / milliseconds(50))];
          time += refusal_backoff(refusals, random.unit());
        }
      }
      const auto sum = std::accumulate(arrivals.begin(), arrivals.end(), 0);
      CPPUNIT_ASSERT(sum <= 10 * streams);
      const auto last = std::max_element(arrivals.begin() + 20, arrivals.end());
      CPPUNIT_ASSERT_MESSAGE(std::to_string(*last), *last <= streams / 4);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refusal_backoff_test);

}  // namespace pollenloft::test
