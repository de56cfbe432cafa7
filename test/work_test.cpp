#include "pollenloft/work.hpp"

#include <cmath>

#include "property.hpp"

namespace pollenloft::test {

class work_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(work_test);
  CPPUNIT_TEST(nothing_seen_makes_all_requests_equal);
  CPPUNIT_TEST(long_outputs_are_more_work);
  CPPUNIT_TEST(accounts_that_underestimate_are_corrected);
  CPPUNIT_TEST(one_wrong_estimate_changes_little);
  CPPUNIT_TEST(slow_routes_of_a_plain_service_are_more_work);
  CPPUNIT_TEST(output_past_its_estimate_goes_on);
  CPPUNIT_TEST(fuzz_work_is_bounded);
  CPPUNIT_TEST_SUITE_END();

  work_estimator estimator_;

  static auto engine() -> engine_profile {
    engine_profile result;
    result.layers = 80;
    result.step_ms = 0.85;
    result.prefill_tokens_per_s = 196000;
    result.typical_prompt_tokens = 800;
    result.typical_output_tokens = 170;
    return result;
  }
  auto work_of(const std::string& account, double output) const -> double {
    return estimator_.predict(engine(), "notes", account, {800, output, 4000});
  }

 public:
  auto nothing_seen_makes_all_requests_equal() -> void {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, estimator_.predict("app", "pages"), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, work_of("a", 170), 0.01);
  }
  auto long_outputs_are_more_work() -> void {
    CPPUNIT_ASSERT(work_of("a", 1700) > 8 * work_of("a", 170));
  }
  /// All accounts get two tokens in an event; one writes four times what it
  /// says.
  auto accounts_that_underestimate_are_corrected() -> void {
    for (int i = 0; i < 40; ++i) {
      for (const auto* account : {"b", "c", "d", "e", "f", "g"})
        estimator_.record_output("notes", account, {800, 170, 4000}, 85);
      estimator_.record_output("notes", "a", {800, 170, 4000}, 340);
    }
    CPPUNIT_ASSERT(work_of("a", 170) > 2 * work_of("b", 170));
  }
  auto one_wrong_estimate_changes_little() -> void {
    for (int i = 0; i < 30; ++i)
      estimator_.record_output("notes", "a", {800, 170, 4000}, 85);
    const auto before = work_of("a", 170);
    estimator_.record_output("notes", "a", {800, 170, 4000}, 850);
    CPPUNIT_ASSERT(work_of("a", 170) < 1.25 * before);
  }
  auto slow_routes_of_a_plain_service_are_more_work() -> void {
    for (int i = 0; i < 30; ++i) {
      estimator_.record_time("app", "pages", milliseconds(10));
      estimator_.record_time("app", "exports", milliseconds(190));
    }
    CPPUNIT_ASSERT(estimator_.predict("app", "exports") > 1.5);
    CPPUNIT_ASSERT(estimator_.predict("app", "pages") < 0.2);
  }
  auto output_past_its_estimate_goes_on() -> void {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(70, work_estimator::output_left(170, 100),
                                 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, work_estimator::output_left(170, 400),
                                 1e-9);
  }
  auto fuzz_work_is_bounded() -> void {
    check_property("bounds", [](std::vector<std::uint16_t> sizes) {
      work_estimator estimator;
      for (const auto size : sizes) {
        const stated_size stated{static_cast<double>(size),
                                 static_cast<double>(size % 977),
                                 static_cast<double>(size % 4096)};
        estimator.record_output("notes", std::to_string(size % 3), stated,
                                size % 511);
        const auto work = estimator.predict(engine(), "notes",
                                            std::to_string(size % 3), stated);
        RC_ASSERT(std::isfinite(work));
        RC_ASSERT(work >= 0.1);
        RC_ASSERT(work <= 10.0);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_test);

}  // namespace pollenloft::test
