#include "pollenloft/notice.hpp"

#include "property.hpp"

namespace pollenloft::test {
namespace {

auto at(int ms) -> instant {
  return instant{} + std::chrono::hours(1) + milliseconds(ms);
}

auto process(const std::string& incarnation = "1") -> endpoint_process {
  return {"e", incarnation, 6};
}

auto pause_of(const std::vector<std::string>& values) -> milliseconds {
  const auto field = parse_pause(values);
  const auto* asked = std::get_if<pause_request>(&field);
  return asked == nullptr ? milliseconds(0) : asked->length;
}

auto is_unreadable(const std::string& value) -> bool {
  return std::holds_alternative<unreadable_pause>(parse_pause({value}));
}

}  // namespace

class notice_register_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(notice_register_test);
  CPPUNIT_TEST(fraction_of_a_second_is_cut_off);
  CPPUNIT_TEST(unreadable_pause_is_taken_for_a_number);
  CPPUNIT_TEST(huge_pause_has_no_bound);
  CPPUNIT_TEST(tiny_pause_is_taken_for_a_huge_one);
  CPPUNIT_TEST(shorter_of_two_pauses_counts);
  CPPUNIT_TEST(endpoint_that_leaves_is_admitted);
  CPPUNIT_TEST(process_that_started_again_stays_excluded);
  CPPUNIT_TEST(late_response_of_an_earlier_process_counts);
  CPPUNIT_TEST(pausing_endpoint_gets_requests);
  CPPUNIT_TEST(several_trials_are_sent_at_once);
  CPPUNIT_TEST(lost_trial_excludes_the_endpoint_for_good);
  CPPUNIT_TEST(response_to_an_earlier_request_ends_the_pause);
  CPPUNIT_TEST(later_refusal_shortens_the_pause);
  CPPUNIT_TEST(refused_trial_ends_the_pause);
  CPPUNIT_TEST(leaving_endpoint_returns_after_a_pause);
  CPPUNIT_TEST(process_that_started_again_gets_all_requests_at_once);
  CPPUNIT_TEST(register_grows_without_bound);
  CPPUNIT_TEST(callers_return_together);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto fraction_of_a_second_is_cut_off() -> void {
    CPPUNIT_ASSERT(pause_of({"1"}) == milliseconds(1000));
    CPPUNIT_ASSERT(pause_of({" 0.25 "}) == milliseconds(250));
    CPPUNIT_ASSERT(pause_of({"0.0001"}) == milliseconds(1));
    for (const auto* zero : {"0", "0.0", "00"})
      CPPUNIT_ASSERT(std::holds_alternative<no_pause>(parse_pause({zero})));
    CPPUNIT_ASSERT(std::holds_alternative<no_pause>(parse_pause({})));
  }

  auto unreadable_pause_is_taken_for_a_number() -> void {
    for (const auto* text :
         {"", "-1", "-0.5", "nan", "inf", "1e3", "0x10", "2 s", "1,5", "soon",
          "Fri, 04 Dec 2026 15:00:00 GMT", ".", "1.2.3", "+1"})
      CPPUNIT_ASSERT_MESSAGE(text, is_unreadable(text));
  }

  auto huge_pause_has_no_bound() -> void {
    CPPUNIT_ASSERT(pause_of({"99999999999"}) == milliseconds(max_pause));
    CPPUNIT_ASSERT(pause_of({std::string(400, '9')}) ==
                   milliseconds(max_pause));
  }

  auto tiny_pause_is_taken_for_a_huge_one() -> void {
    CPPUNIT_ASSERT(pause_of({"0." + std::string(400, '0') + "1"}) <=
                   milliseconds(1));
  }

  auto shorter_of_two_pauses_counts() -> void {
    CPPUNIT_ASSERT(pause_of({"1", "3"}) == milliseconds(3000));
    CPPUNIT_ASSERT(pause_of({"soon", "2"}) == milliseconds(2000));
  }

  auto endpoint_that_leaves_is_admitted() -> void {
    notice_register notices;
    CPPUNIT_ASSERT(notices.admits("e", "1", at(0)));
    CPPUNIT_ASSERT(notices.add_leaving(process(), at(0)));
    CPPUNIT_ASSERT(!notices.add_leaving(process(), at(1)));
    CPPUNIT_ASSERT(!notices.admits("e", "1", at(0)));
    CPPUNIT_ASSERT(!notices.admits("e", "1", at(3600000)));
  }

  auto process_that_started_again_stays_excluded() -> void {
    notice_register notices;
    notices.add_leaving(process("1"), at(0));
    CPPUNIT_ASSERT(notices.admits("e", "2", at(1)));
    CPPUNIT_ASSERT(!notices.admits("e", "1", at(1)));
    CPPUNIT_ASSERT(notices.replace("e", "2", at(2)));
    CPPUNIT_ASSERT(notices.empty());
  }

  auto late_response_of_an_earlier_process_counts() -> void {
    notice_register notices;
    notices.add_leaving(process("2"), at(0));
    CPPUNIT_ASSERT(!notices.add_leaving(process("1"), at(1)));
    CPPUNIT_ASSERT(notices.add_pause(process("1"), milliseconds(100), at(1)) ==
                   pause_change::none);
    CPPUNIT_ASSERT(!notices.admits("e", "2", at(2)));
    CPPUNIT_ASSERT(!notices.replace("e", "1", at(2)));
    CPPUNIT_ASSERT(notices.leaves("e", "2"));
  }

  auto pausing_endpoint_gets_requests() -> void {
    notice_register notices;
    CPPUNIT_ASSERT(notices.add_pause(process(), milliseconds(2000), at(0)) ==
                   pause_change::began);
    for (int ms = 0; ms < 2000; ms += 10)
      CPPUNIT_ASSERT(!notices.admits("e", "1", at(ms)));
    const auto back = notices.returns_at("e", "1");
    CPPUNIT_ASSERT(back && *back >= at(2000));
    CPPUNIT_ASSERT(notices.admits("e", "1", *back));
  }

  auto several_trials_are_sent_at_once() -> void {
    notice_register notices;
    notices.add_pause(process(), milliseconds(100), at(0));
    const auto back = *notices.returns_at("e", "1");
    notices.take("e", "1", back);
    CPPUNIT_ASSERT(!notices.admits("e", "1", back + milliseconds(500)));
    CPPUNIT_ASSERT(notices.add_response("e", "1", back));
    CPPUNIT_ASSERT(notices.admits("e", "1", back + milliseconds(500)));
  }

  auto lost_trial_excludes_the_endpoint_for_good() -> void {
    notice_register notices;
    notices.add_pause(process(), milliseconds(100), at(0));
    const auto back = *notices.returns_at("e", "1");
    notices.take("e", "1", back);
    CPPUNIT_ASSERT(notices.admits("e", "1", back + milliseconds(1500)));
  }

  auto response_to_an_earlier_request_ends_the_pause() -> void {
    notice_register notices;
    notices.add_pause(process(), milliseconds(1000), at(100));
    CPPUNIT_ASSERT(!notices.add_response("e", "1", at(50)));
    CPPUNIT_ASSERT(!notices.admits("e", "1", at(500)));
  }

  auto later_refusal_shortens_the_pause() -> void {
    notice_register notices;
    notices.add_pause(process(), milliseconds(5000), at(0));
    CPPUNIT_ASSERT(notices.add_pause(process(), milliseconds(100), at(50)) ==
                   pause_change::none);
    CPPUNIT_ASSERT(!notices.admits("e", "1", at(4900)));
  }

  auto refused_trial_ends_the_pause() -> void {
    notice_register notices;
    notices.add_pause(process(), milliseconds(100), at(0));
    const auto back = *notices.returns_at("e", "1");
    notices.take("e", "1", back);
    CPPUNIT_ASSERT(notices.add_pause(process(), milliseconds(1000),
                                     back + milliseconds(5)) ==
                   pause_change::renewed);
    CPPUNIT_ASSERT(!notices.admits("e", "1", back + milliseconds(1004)));
  }

  auto leaving_endpoint_returns_after_a_pause() -> void {
    notice_register notices;
    notices.add_leaving(process(), at(0));
    notices.add_pause(process(), milliseconds(100), at(0));
    const auto back = *notices.returns_at("e", "1");
    notices.add_response("e", "1", back);
    CPPUNIT_ASSERT(!notices.admits("e", "1", back));
  }

  auto process_that_started_again_gets_all_requests_at_once() -> void {
    notice_register notices;
    notices.add_pause(process("1"), milliseconds(5000), at(0));
    CPPUNIT_ASSERT(notices.replace("e", "2", at(100)));
    CPPUNIT_ASSERT(notices.admits("e", "2", at(100)));
    notices.take("e", "2", at(100));
    CPPUNIT_ASSERT(!notices.admits("e", "2", at(101)));
    CPPUNIT_ASSERT(!notices.add_response("e", "2", at(90)));
    CPPUNIT_ASSERT(notices.add_response("e", "2", at(100)));
    CPPUNIT_ASSERT(notices.admits("e", "2", at(110)) && notices.empty());
  }

  auto register_grows_without_bound() -> void {
    notice_register notices;
    for (int i = 0; i < 10050; ++i)
      notices.add_leaving({std::to_string(i), "1", 1}, at(i));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10000}, notices.entries().size());
    CPPUNIT_ASSERT(!notices.leaves("0", "1"));
    CPPUNIT_ASSERT(notices.leaves("10049", "1"));
  }

  auto callers_return_together() -> void {
    constexpr auto wait = milliseconds(2000);
    CPPUNIT_ASSERT(retry_after_pause(wait, 0) == wait);
    CPPUNIT_ASSERT(retry_after_pause(wait, 0.5) == milliseconds(2500));
    CPPUNIT_ASSERT(retry_after_pause(milliseconds(1), 0) >= milliseconds(100));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(notice_register_test);

}  // namespace pollenloft::test
