#include "fake_runner.hpp"

namespace pollenloft::test {

/// A leader before one runner that answers calls with 503 and Retry-After.
class probe_pause_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(probe_pause_test);
  CPPUNIT_TEST(leader_probes_a_runner_in_a_long_pause);
  CPPUNIT_TEST(new_term_forgets_the_pause);
  CPPUNIT_TEST(runner_is_never_probed_again_after_the_pause);
  CPPUNIT_TEST(crash_in_a_long_pause_goes_unnoticed);
  CPPUNIT_TEST(runner_without_answers_after_its_pause_counts_as_pausing);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  std::unique_ptr<http_client> client_;
  endpoint_directory directory_;
  std::unique_ptr<layer_placer> placer_;
  std::unique_ptr<fake_runner> runner_;

 public:
  auto setUp() -> void override {
    client_ = std::make_unique<http_client>(loop_);
    placer_ = std::make_unique<layer_placer>(loop_, *client_, directory_,
                                             milliseconds(20));
    placer_->start_term(3);
    runner_ = std::make_unique<fake_runner>(loop_, "127.0.10.40");
    runner_->held = {0, 4};
    runner_->pause = "30";
    directory_.merge({runner_->record("r")});
    tick_at({});
  }
  auto tearDown() -> void override {
    runner_.reset();
    placer_.reset();
  }

  /// Lets the leader decide as it will after `ahead`, and waits for responses.
  auto tick_at(duration ahead) -> void {
    placer_->tick(config(), boottime_clock::now() + ahead);
    const auto end = loop_.after(milliseconds(20), [this] { loop_.stop(); });
    loop_.run();
  }

  auto leader_probes_a_runner_in_a_long_pause() -> void {
    for (const int second : {1, 6, 12, 18, 24, 29})
      tick_at(std::chrono::seconds(second));
    CPPUNIT_ASSERT_EQUAL(1, runner_->calls);
  }

  auto new_term_forgets_the_pause() -> void {
    placer_->start_term(4);
    tick_at(std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(1, runner_->calls);
  }

  auto runner_is_never_probed_again_after_the_pause() -> void {
    runner_->pause = "";
    tick_at(std::chrono::seconds(32));
    CPPUNIT_ASSERT_EQUAL(2, runner_->calls);
  }

  auto crash_in_a_long_pause_goes_unnoticed() -> void {
    runner_.reset();
    tick_at(std::chrono::seconds(6));
    tick_at(std::chrono::seconds(12));
    CPPUNIT_ASSERT(directory_.records().at("r").unreachable);
  }

  auto runner_without_answers_after_its_pause_counts_as_pausing() -> void {
    runner_->closes = true;
    for (const int second : {32, 34, 36, 38, 40})
      tick_at(std::chrono::seconds(second));
    CPPUNIT_ASSERT(directory_.records().at("r").unreachable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(probe_pause_test);

}  // namespace pollenloft::test
