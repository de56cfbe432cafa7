#include "response_time.hpp"

#include "property.hpp"

namespace pollenloft::test {

class response_time_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(response_time_test);
  CPPUNIT_TEST(nothing_is_known_before_the_first_response);
  CPPUNIT_TEST(dark_runner_is_found_within_half_the_objective);
  CPPUNIT_TEST(slow_runners_everywhere_raise_the_timeout);
  CPPUNIT_TEST(calm_lowers_it_again);
  CPPUNIT_TEST_SUITE_END();

  const duration half_objective_ = milliseconds(250);
  const duration longest_ = milliseconds(1800);

  static auto record(response_time& times, duration base, int count) -> void {
    for (int i = 0; i < count; ++i)
      times.record(base + milliseconds(i % 5) * 10);
  }

 public:
  auto nothing_is_known_before_the_first_response() -> void {
    CPPUNIT_ASSERT(response_time().timeout(half_objective_, longest_) ==
                   longest_);
  }
  auto dark_runner_is_found_within_half_the_objective() -> void {
    response_time times;
    record(times, milliseconds(80), 30);
    CPPUNIT_ASSERT(times.timeout(half_objective_, longest_) == half_objective_);
  }
  /// Attempts that are abandoned count with the time that they had.
  auto slow_runners_everywhere_raise_the_timeout() -> void {
    response_time times;
    record(times, milliseconds(80), 30);
    constexpr int abandoned = 6;
    for (int i = 0; i < abandoned; ++i)
      times.record(times.timeout(half_objective_, longest_));
    record(times, milliseconds(600), 20);
    CPPUNIT_ASSERT(times.timeout(half_objective_, longest_) >
                   milliseconds(650));
  }
  auto calm_lowers_it_again() -> void {
    response_time times;
    record(times, milliseconds(900), 20);
    record(times, milliseconds(80), 60);
    CPPUNIT_ASSERT(times.timeout(half_objective_, longest_) == half_objective_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_time_test);

}  // namespace pollenloft::test
