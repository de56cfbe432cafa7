#include "fake_runner.hpp"

namespace pollenloft::test {

/// A leader before one runner that starts again before it answers a probe.
class probe_restart_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(probe_restart_test);
  CPPUNIT_TEST(late_answer_of_a_process_takes_its_successor_out);
  CPPUNIT_TEST(late_pause_of_a_process_holds_for_its_successor);
  CPPUNIT_TEST(late_answer_of_a_process_lists_layers_of_its_successor);
  CPPUNIT_TEST(late_silence_of_a_process_makes_its_successor_unreachable);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  std::unique_ptr<http_client> client_;
  endpoint_directory directory_;
  std::unique_ptr<layer_placer> placer_;
  std::unique_ptr<fake_runner> runner_;

 public:
  auto setUp() -> void override {
    client_ = std::make_unique<http_client>(loop_);
    directory_ = endpoint_directory();
    placer_ = std::make_unique<layer_placer>(loop_, *client_, directory_,
                                             milliseconds(20));
    placer_->start_term(3);
    runner_ = std::make_unique<fake_runner>(loop_, "127.0.10.41");
    runner_->unresponsive = true;
    auto record = runner_->record("r");
    directory_.merge({record});
    tick_at({});
    record.incarnation = "2";
    directory_.merge({record});
    tick_at(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runner_->unanswered.size());
  }
  auto tearDown() -> void override {
    runner_.reset();
    placer_.reset();
  }

  auto tick_at(duration ahead) -> void {
    placer_->tick(config(), boottime_clock::now() + ahead);
    wait();
  }
  auto wait() -> void {
    const auto end = loop_.after(milliseconds(20), [this] { loop_.stop(); });
    loop_.run();
  }

  /// Answers the probe of the first process.
  auto answer_first(int status, const http_headers& headers) -> void {
    const nlohmann::json body{{"Busy", false},
                              {"Seq", 7},
                              {"Layers", {{"From", 0}, {"To", 4}}},
                              {"Stalled", nlohmann::json::array()}};
    runner_->unanswered[0]->reply(status, headers, body.dump());
    wait();
  }

  auto record() -> const wire::endpoint_record& {
    return directory_.records().at("r");
  }

  auto late_answer_of_a_process_takes_its_successor_out() -> void {
    answer_first(200, http_headers().add("Server-Leaving", "1"));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(endpoint_state::up),
                         record().state);
  }

  auto late_pause_of_a_process_holds_for_its_successor() -> void {
    answer_first(503, http_headers().add("Retry-After", "30"));
    runner_->unanswered[1]->abort();
    wait();
    runner_->unresponsive = false;
    tick_at(std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(1, runner_->calls);
  }

  auto late_answer_of_a_process_lists_layers_of_its_successor() -> void {
    answer_first(200, {});
    CPPUNIT_ASSERT_EQUAL(0, record().last_layer - record().first_layer);
  }

  auto late_silence_of_a_process_makes_its_successor_unreachable() -> void {
    runner_->unanswered[0]->abort();
    wait();
    tick_at(std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runner_->unanswered.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(probe_restart_test);

}  // namespace pollenloft::test
