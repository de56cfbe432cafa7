#include "property.hpp"
#include "route_views.hpp"

namespace pollenloft::test {

class route_statement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(route_statement_test);
  CPPUNIT_TEST(limited_endpoint_is_chosen_without_a_permit);
  CPPUNIT_TEST(one_permit_serves_two_chains);
  CPPUNIT_TEST(repaired_chain_uses_no_permit_of_its_new_stage);
  CPPUNIT_TEST(repaired_chain_uses_permits_of_its_kept_stages);
  CPPUNIT_TEST(restarted_endpoint_keeps_its_limit);
  CPPUNIT_TEST(wait_for_a_permit_is_not_known);
  CPPUNIT_TEST(leaving_endpoint_becomes_a_new_stage);
  CPPUNIT_TEST(leaving_endpoint_is_the_last_resort);
  CPPUNIT_TEST(ejected_endpoint_is_not_used_for_one_that_pauses);
  CPPUNIT_TEST(second_trial_is_sent_along_a_chain);
  CPPUNIT_TEST(wait_for_a_pause_is_not_known);
  CPPUNIT_TEST_SUITE_END();

  instant now_{std::chrono::seconds(100)};

 public:
  /// A limiter that knows of a limit of 1 request a second of endpoint `id` and
  /// holds `permits` for it.
  auto make_limiter(const std::string& id, int permits) -> request_limiter {
    request_limiter limiter;
    limiter.observe({id, "1", 1.0, now_, now_});
    CPPUNIT_ASSERT(!limiter.admits(id, "1", now_));
    const auto wants = limiter.next_wants(now_);
    limiter.apply({{wants.front().statement, permits, milliseconds(700)}}, now_,
                  now_);
    return limiter;
  }

  auto limited_endpoint_is_chosen_without_a_permit() -> void {
    router routes({}, 1);
    auto limiter = make_limiter("a", 0);
    routes.set_limiter(limiter);
    routes.upsert(runner("a", 0, 32));
    CPPUNIT_ASSERT(!routes.choose(full_chain_request(), now_));
    CPPUNIT_ASSERT(!routes.choose_with_fallback(full_chain_request(), now_));
    routes.upsert(runner("b", 0, 32));
    for (int i = 0; i < 4; ++i) {
      const auto stages = routes.choose(full_chain_request(), now_);
      CPPUNIT_ASSERT_EQUAL(std::string("b"), stages->front().endpoint->id);
    }
  }

  auto one_permit_serves_two_chains() -> void {
    router routes({}, 1);
    auto limiter = make_limiter("a", 1);
    routes.set_limiter(limiter);
    routes.upsert(runner("a", 0, 32));
    CPPUNIT_ASSERT(routes.choose(full_chain_request(), now_).has_value());
    CPPUNIT_ASSERT(!routes.choose(full_chain_request(), now_));
  }

  auto repaired_chain_uses_no_permit_of_its_new_stage() -> void {
    router routes({}, 1);
    auto limiter = make_limiter("c", 1);
    routes.set_limiter(limiter);
    routes.upsert(runner("a", 0, 16));
    routes.upsert(runner("b", 16, 32));
    const auto stages = *routes.choose(full_chain_request(), now_);
    routes.upsert(runner("c", 16, 32));
    const auto request = full_chain_request();
    CPPUNIT_ASSERT(routes.replace_stage(stages, "b", request, now_));
    CPPUNIT_ASSERT_EQUAL(0, limiter.permits("c"));
    CPPUNIT_ASSERT(!routes.replace_stage(stages, "b", request, now_));
  }

  auto repaired_chain_uses_permits_of_its_kept_stages() -> void {
    router routes({}, 1);
    auto limiter = make_limiter("a", 2);
    routes.set_limiter(limiter);
    routes.upsert(runner("a", 0, 16));
    routes.upsert(runner("b", 16, 32));
    const auto stages = *routes.choose(full_chain_request(), now_);
    routes.upsert(runner("c", 16, 32));
    CPPUNIT_ASSERT(
        routes.replace_stage(stages, "b", full_chain_request(), now_));
    CPPUNIT_ASSERT_EQUAL(1, limiter.permits("a"));
  }

  auto restarted_endpoint_keeps_its_limit() -> void {
    router routes({}, 1);
    auto limiter = make_limiter("a", 0);
    routes.set_limiter(limiter);
    auto restarted = runner("a", 0, 32);
    restarted.incarnation = "2";
    routes.upsert(restarted);
    CPPUNIT_ASSERT(routes.choose(full_chain_request(), now_).has_value());
  }

  auto wait_for_a_permit_is_not_known() -> void {
    router routes({}, 1);
    auto limiter = make_limiter("a", 0);
    routes.set_limiter(limiter);
    routes.upsert(runner("a", 0, 32));
    const auto request = full_chain_request();
    const auto wait = routes.wait_for_endpoints(request, now_);
    CPPUNIT_ASSERT(wait && wait->time == milliseconds(700) && !wait->paused);
    routes.upsert(runner("b", 0, 32));
    CPPUNIT_ASSERT(!routes.wait_for_endpoints(request, now_));
  }

  auto leaving(const std::string& id) -> notice_register {
    notice_register notices;
    notices.add_leaving({id, "1", 4}, now_);
    return notices;
  }

  auto pausing(const std::string& id, milliseconds length) -> notice_register {
    notice_register notices;
    notices.add_pause({id, "1", 1000}, length, now_);
    return notices;
  }

  auto leaving_endpoint_becomes_a_new_stage() -> void {
    router routes({}, 1);
    auto notices = leaving("c");
    routes.set_notices(notices);
    routes.upsert(runner("a", 0, 16));
    routes.upsert(runner("b", 16, 32));
    const auto stages = *routes.choose(full_chain_request(), now_);
    routes.upsert(runner("c", 16, 32));
    CPPUNIT_ASSERT(
        !routes.replace_stage(stages, "b", full_chain_request(), now_));
  }

  auto leaving_endpoint_is_the_last_resort() -> void {
    router routes({}, 1);
    auto notices = leaving("a");
    routes.set_notices(notices);
    routes.upsert(runner("a", 0, 32));
    CPPUNIT_ASSERT(!routes.choose_with_fallback(full_chain_request(), now_));
  }

  auto ejected_endpoint_is_not_used_for_one_that_pauses() -> void {
    router routes({}, 1);
    auto notices = pausing("a", milliseconds(1000));
    routes.set_notices(notices);
    routes.upsert(runner("a", 0, 32));
    routes.upsert(runner("b", 0, 32));
    const chain failed{
        {std::make_shared<endpoint_view>(runner("b", 0, 32)), 0, 32}};
    routes.dispatch_started(failed, false, 0, now_);
    routes.dispatch_ended(failed, false, dispatch_result::down, "b", now_);
    const auto later = now_ + milliseconds(300);
    const auto stages = routes.choose(full_chain_request(), later);
    CPPUNIT_ASSERT(stages && stages->front().endpoint->id == "b");
  }

  auto second_trial_is_sent_along_a_chain() -> void {
    router routes({}, 1);
    auto notices = pausing("b", milliseconds(1000));
    routes.set_notices(notices);
    routes.upsert(runner("a", 0, 16));
    routes.upsert(runner("b", 16, 32));
    CPPUNIT_ASSERT(!routes.choose(full_chain_request(), now_));
    const auto back = now_ + milliseconds(1010);
    CPPUNIT_ASSERT(routes.choose(full_chain_request(), back).has_value());
    CPPUNIT_ASSERT(!routes.choose(full_chain_request(), back));
  }

  auto wait_for_a_pause_is_not_known() -> void {
    router routes({}, 1);
    auto notices = pausing("a", milliseconds(2000));
    notices.add_pause({"b", "1", 1000}, milliseconds(1000), now_);
    notices.add_leaving({"c", "1", 4}, now_);
    routes.set_notices(notices);
    for (const auto* id : {"a", "b", "c"})
      routes.upsert(runner(id, 0, 32));
    const auto request = full_chain_request();
    const auto wait = routes.wait_for_endpoints(request, now_);
    CPPUNIT_ASSERT(wait && wait->paused);
    CPPUNIT_ASSERT(wait->time >= milliseconds(1000));
    CPPUNIT_ASSERT(wait->time < milliseconds(1010));
    const auto shortage = routes.shortages(request, now_).at("z1");
    CPPUNIT_ASSERT_EQUAL(2, shortage.paused);
    CPPUNIT_ASSERT_EQUAL(1, shortage.leaving);
    routes.upsert(runner("d", 0, 32));
    CPPUNIT_ASSERT(!routes.wait_for_endpoints(request, now_));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_statement_test);

}  // namespace pollenloft::test
