#include <nlohmann/json.hpp>

#include "layer_placer.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

using json = nlohmann::json;

const socket_address runner_address{"127.0.10.40", 18090};

}  // namespace

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
  std::unique_ptr<http_server> runner_;
  std::string pause_;
  int calls_ = 0;
  bool silent_ = false;

 public:
  auto setUp() -> void override {
    client_ = std::make_unique<http_client>(loop_);
    placer_ = std::make_unique<layer_placer>(loop_, *client_, directory_,
                                             milliseconds(20));
    placer_->start_term(3);
    runner_ = std::make_unique<http_server>(
        loop_, http_limits{}, [this](const exchange_ptr& call) {
          ++calls_;
          if (silent_) return call->abort();
          http_headers headers;
          if (!pause_.empty())
            return call->reply(503, headers.add("Retry-After", pause_), "");
          const json body{{"Busy", false},
                          {"Seq", 0},
                          {"Layers", {{"From", 0}, {"To", 4}}},
                          {"Stalled", json::array()}};
          call->reply(200, headers, body.dump());
        });
    CPPUNIT_ASSERT(runner_->listen(runner_address));
    wire::endpoint_record record;
    record.id = "r";
    record.incarnation = "1";
    record.address = runner_address.text();
    record.kind = "k";
    record.zone = "z";
    record.pipeline = "llm";
    record.slots = 8;
    directory_.merge({record});
    calls_ = 0;
    silent_ = false;
    pause_ = "30";
    tick_at({});
  }
  auto tearDown() -> void override {
    runner_.reset();
    placer_.reset();
  }

  /// Lets the leader decide as it will after `ahead`, and waits for responses.
  auto tick_at(duration ahead) -> void {
    engine_profile engine;
    engine.layers = 4;
    engine.layer_mb = 100;
    engine.kv_bytes_per_token = 4000;
    engine.accelerators = {{"k", {1200, 1, 1}}};
    ingress_config document;
    document.services["llm"] = {"llm", engine};
    placer_->tick(document, boottime_clock::now() + ahead);
    const auto end = loop_.after(milliseconds(20), [this] { loop_.stop(); });
    loop_.run();
  }

  auto leader_probes_a_runner_in_a_long_pause() -> void {
    for (const int second : {1, 6, 12, 18, 24, 29})
      tick_at(std::chrono::seconds(second));
    CPPUNIT_ASSERT_EQUAL(1, calls_);
  }

  auto new_term_forgets_the_pause() -> void {
    placer_->start_term(4);
    tick_at(std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(1, calls_);
  }

  auto runner_is_never_probed_again_after_the_pause() -> void {
    pause_ = "";
    tick_at(std::chrono::seconds(32));
    CPPUNIT_ASSERT_EQUAL(2, calls_);
  }

  auto crash_in_a_long_pause_goes_unnoticed() -> void {
    runner_.reset();
    tick_at(std::chrono::seconds(6));
    tick_at(std::chrono::seconds(12));
    CPPUNIT_ASSERT(directory_.records().at("r").unreachable);
  }

  auto runner_without_answers_after_its_pause_counts_as_pausing() -> void {
    silent_ = true;
    for (const int second : {32, 34, 36, 38, 40})
      tick_at(std::chrono::seconds(second));
    CPPUNIT_ASSERT(directory_.records().at("r").unreachable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(probe_pause_test);

}  // namespace pollenloft::test
