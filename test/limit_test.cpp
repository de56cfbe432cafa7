#include "pollenloft/limit.hpp"

#include "property.hpp"

namespace pollenloft::test {
namespace {

auto at(int ms) -> instant {
  return instant{} + std::chrono::hours(1) + milliseconds(ms);
}

auto statement(std::optional<double> rate, int asked_ms, int answered_ms,
               const std::string& incarnation = "1") -> limit_statement {
  return {"e", incarnation, rate, at(asked_ms), at(answered_ms)};
}

auto rate_of(const limit_register& limits) -> std::optional<double> {
  const auto* known = limits.find("e");
  return known == nullptr ? std::nullopt : known->per_second;
}

auto is_unreadable(const std::vector<std::string>& values) -> bool {
  return std::holds_alternative<unreadable_request_limit>(
      parse_request_limit(values));
}

}  // namespace

class limit_register_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(limit_register_test);
  CPPUNIT_TEST(unreadable_limit_is_taken_for_a_number);
  CPPUNIT_TEST(older_response_lifts_a_limit);
  CPPUNIT_TEST(older_response_brings_a_limit_back);
  CPPUNIT_TEST(older_response_raises_a_limit);
  CPPUNIT_TEST(later_response_does_not_lift_a_limit);
  CPPUNIT_TEST(limit_outlives_its_incarnation);
  CPPUNIT_TEST(earlier_incarnation_names_a_limit);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto unreadable_limit_is_taken_for_a_number() -> void {
    for (const auto* text : {"", "-1", "nan", "inf", "1e300", "5 a second",
                             "0x10", "5,1", "--", "99999999999"})
      CPPUNIT_ASSERT_MESSAGE(text, is_unreadable({text}));
    CPPUNIT_ASSERT(is_unreadable({"5", "5"}));
    CPPUNIT_ASSERT(
        std::holds_alternative<no_request_limit>(parse_request_limit({})));
    const auto read = parse_request_limit({" 5.1 "});
    CPPUNIT_ASSERT_EQUAL(5.1, std::get<request_limit>(read).per_second);
    const auto zero = parse_request_limit({"0"});
    CPPUNIT_ASSERT_EQUAL(0.0, std::get<request_limit>(zero).per_second);
  }

  auto older_response_lifts_a_limit() -> void {
    limit_register limits;
    limits.update(statement(5, 100, 200));
    limits.update(statement(std::nullopt, 50, 300));
    CPPUNIT_ASSERT(rate_of(limits) == 5);
  }

  auto older_response_brings_a_limit_back() -> void {
    limit_register limits;
    limits.update(statement(5, 100, 200));
    limits.update(statement(std::nullopt, 250, 300));
    limits.update(statement(5, 220, 400));
    CPPUNIT_ASSERT(!rate_of(limits));
  }

  auto older_response_raises_a_limit() -> void {
    limit_register limits;
    limits.update(statement(5, 100, 200));
    limits.update(statement(50, 150, 300));
    CPPUNIT_ASSERT(rate_of(limits) == 5);
    limits.update(statement(2, 150, 300));
    CPPUNIT_ASSERT(rate_of(limits) == 2);
  }

  auto later_response_does_not_lift_a_limit() -> void {
    limit_register limits;
    CPPUNIT_ASSERT(limits.update(statement(5, 100, 200)) ==
                   limit_change::named);
    CPPUNIT_ASSERT(limits.update(statement(7, 200, 300)) ==
                   limit_change::altered);
    CPPUNIT_ASSERT(limits.update(statement(std::nullopt, 300, 400)) ==
                   limit_change::lifted);
    CPPUNIT_ASSERT(limits.update(statement(std::nullopt, 400, 500)) ==
                   limit_change::none);
    CPPUNIT_ASSERT(!rate_of(limits));
  }

  auto limit_outlives_its_incarnation() -> void {
    limit_register limits;
    limits.update(statement(5, 100, 200));
    CPPUNIT_ASSERT(limits.update(statement(std::nullopt, 50, 150, "2")) ==
                   limit_change::lifted);
    CPPUNIT_ASSERT(!rate_of(limits));
  }

  auto earlier_incarnation_names_a_limit() -> void {
    limit_register limits;
    limits.update(statement(5, 100, 200, "2"));
    limits.update(statement(1, 300, 400, "1"));
    CPPUNIT_ASSERT(rate_of(limits) == 5);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(limit_register_test);

}  // namespace pollenloft::test
