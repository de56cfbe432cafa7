#include "event_sequence.hpp"
#include "property.hpp"

namespace pollenloft::test {

class event_sequence_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_sequence_test);
  CPPUNIT_TEST(event_ends_at_a_blank_line);
  CPPUNIT_TEST(comments_have_no_other_line);
  CPPUNIT_TEST(first_answer_is_passed_on_as_it_is);
  CPPUNIT_TEST(later_answer_goes_on_after_the_last_event);
  CPPUNIT_TEST(later_answer_must_reach_the_last_event);
  CPPUNIT_TEST_SUITE_END();

  static auto decide(event_sequence& events, std::optional<std::int64_t> id)
      -> event_decision {
    return events.decide(id, false);
  }

 public:
  auto event_ends_at_a_blank_line() -> void {
    CPPUNIT_ASSERT(find_event_end("data: a\n\nid", 0) == 9);
    CPPUNIT_ASSERT(find_event_end("data: a\r\n\r\nid", 0) == 11);
    CPPUNIT_ASSERT(find_event_end("a\nb\n\n", 2) == 5);
    CPPUNIT_ASSERT(!find_event_end("a\nb\n", 0));
    CPPUNIT_ASSERT(!find_event_end("a\r\n\r", 0));
    CPPUNIT_ASSERT(!find_event_end("", 0));
  }

  auto comments_have_no_other_line() -> void {
    CPPUNIT_ASSERT(is_comment(": a\n\n"));
    CPPUNIT_ASSERT(is_comment(":\r\n: b\r\n\r\n"));
    CPPUNIT_ASSERT(!is_comment(": a\ndata: b\n\n"));
    CPPUNIT_ASSERT(!is_comment("text\n\n"));
  }

  auto first_answer_is_passed_on_as_it_is() -> void {
    event_sequence events({});
    events.begin_answer(false);
    CPPUNIT_ASSERT(decide(events, {}) == event_decision::forward);
    CPPUNIT_ASSERT(!events.resumable());
    CPPUNIT_ASSERT(decide(events, 7) == event_decision::forward);
    CPPUNIT_ASSERT(decide(events, 9) == event_decision::missing);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
  }

  auto later_answer_goes_on_after_the_last_event() -> void {
    event_sequence events(4);
    events.begin_answer(false);
    CPPUNIT_ASSERT(decide(events, 4) == event_decision::skip);
    CPPUNIT_ASSERT(decide(events, 5) == event_decision::forward);
    events.begin_answer(true);
    CPPUNIT_ASSERT(decide(events, 7) == event_decision::missing);
    CPPUNIT_ASSERT(decide(events, {}) == event_decision::foreign);
    CPPUNIT_ASSERT(events.decide({}, true) == event_decision::forward);
    CPPUNIT_ASSERT(!events.answer_has_events());
    CPPUNIT_ASSERT(decide(events, 6) == event_decision::forward);
    CPPUNIT_ASSERT(events.last_id() == 6);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.answer_size());
  }

  auto later_answer_must_reach_the_last_event() -> void {
    event_sequence events({});
    events.begin_answer(false);
    decide(events, 1);
    decide(events, 2);
    events.begin_answer(true);
    CPPUNIT_ASSERT(decide(events, 1) == event_decision::skip);
    CPPUNIT_ASSERT(!events.answer_ends_stream());
    CPPUNIT_ASSERT(decide(events, 2) == event_decision::skip);
    CPPUNIT_ASSERT(events.answer_ends_stream());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_sequence_test);

}  // namespace pollenloft::test
