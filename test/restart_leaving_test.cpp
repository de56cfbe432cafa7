#include "front_notices.hpp"

namespace pollenloft::test {

using namespace front_notices;

class restart_leaving_test : public fixture {
  CPPUNIT_TEST_SUITE(restart_leaving_test);
  CPPUNIT_TEST(late_announcement_of_the_process_forgets_that_it_leaves);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The endpoint has started again, and its answer arrives before its record.
  auto late_announcement_of_the_process_forgets_that_it_leaves() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    leader_->list(make_record("a", "2"));
    wait(milliseconds(100));
    assert_excluded("a");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restart_leaving_test);

}  // namespace pollenloft::test
