#include "fake_runner.hpp"

namespace pollenloft::test {
namespace {

constexpr auto report_period = milliseconds(20);

}  // namespace

class layer_placer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(layer_placer_test);
  CPPUNIT_TEST(initial_placement_covers_the_model);
  CPPUNIT_TEST(repair_does_not_wait_for_new_runners);
  CPPUNIT_TEST(new_leader_probes_all_runners_before_a_repair);
  CPPUNIT_TEST(suspected_runner_is_unreachable_after_one_missed_probe);
  CPPUNIT_TEST(runner_that_says_that_it_leaves_keeps_its_layers);
  CPPUNIT_TEST(pausing_runner_is_unreachable);
  CPPUNIT_TEST(pausing_runner_holds_up_the_placement);
  CPPUNIT_TEST(fenced_leader_stops_assigning_layers);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  std::unique_ptr<http_client> client_;
  endpoint_directory directory_;
  std::unique_ptr<layer_placer> placer_;
  std::map<std::string, std::unique_ptr<fake_runner>> runners_;
  int added_ = 0;

 public:
  auto setUp() -> void override {
    client_ = std::make_unique<http_client>(loop_);
    placer_ = std::make_unique<layer_placer>(loop_, *client_, directory_,
                                             report_period);
    placer_->start_term(3);
  }
  auto tearDown() -> void override {
    runners_.clear();
    placer_.reset();
  }

  auto add(layer_range held = {}) -> fake_runner& {
    const auto id = "r" + std::to_string(++added_);
    auto runner = std::make_unique<fake_runner>(
        loop_, "127.0.10." + std::to_string(added_));
    runner->held = held;
    directory_.merge({runner->record(id)});
    return *(runners_[id] = std::move(runner));
  }

  auto run_ticks(milliseconds time,
                 const std::function<void()>& before_tick = {}) -> void {
    const auto document = config();
    const auto ticker = loop_.every(milliseconds(20), [&] {
      if (before_tick) before_tick();
      placer_->tick(document, boottime_clock::now());
    });
    const auto end = loop_.after(time, [this] { loop_.stop(); });
    loop_.run();
  }

  auto covered() const -> bool {
    for (std::int32_t layer = 0; layer < 4; ++layer)
      if (std::none_of(runners_.begin(), runners_.end(),
                       [&](const auto& entry) {
                         return !entry.second->unresponsive &&
                                entry.second->held.covers(layer);
                       }))
        return false;
    return true;
  }

  auto initial_placement_covers_the_model() -> void {
    add();
    add();
    run_ticks(milliseconds(2500));
    CPPUNIT_ASSERT(covered());
    for (const auto& [id, runner] : runners_)
      for (const auto& assignment : runner->assignments)
        CPPUNIT_ASSERT_EQUAL(3, assignment["FenceToken"].get<int>());
  }

  /// During a rolling replacement new runners keep appearing. Missing layers
  /// must still be assigned and loaded.
  auto repair_does_not_wait_for_new_runners() -> void {
    add({0, 2});
    add({2, 4});
    run_ticks(milliseconds(700));
    directory_.mark_gone("r2");
    runners_.erase("r2");
    int ticks = 0;
    run_ticks(milliseconds(1200), [&] {
      if (++ticks % 10 == 0 && added_ < 6) add();
    });
    CPPUNIT_ASSERT(covered());
  }

  /// Layers of runners that the new leader has not probed yet are not missing.
  auto new_leader_probes_all_runners_before_a_repair() -> void {
    auto& slow = add({2, 4});
    auto& other = add({0, 2});
    run_ticks(milliseconds(700));
    slow.unresponsive = true;  // its probe response is late
    placer_->start_term(4);
    run_ticks(milliseconds(300));
    CPPUNIT_ASSERT(other.assignments.empty());
  }

  auto suspected_runner_is_unreachable_after_one_missed_probe() -> void {
    auto& head = add({0, 2});
    auto& neighbour = add({2, 4});
    run_ticks(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(4, directory_.records().at("r2").last_layer);
    neighbour.unresponsive = true;
    head.stalled_peers = {directory_.records().at("r2").address};
    run_ticks(milliseconds(1500));
    CPPUNIT_ASSERT(directory_.records().at("r2").unreachable);
  }

  auto runner_that_says_that_it_leaves_keeps_its_layers() -> void {
    auto& other = add({0, 2});
    auto& leaver = add({2, 4});
    run_ticks(milliseconds(700));
    leaver.leaving = true;
    run_ticks(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(endpoint_state::leaving),
                         directory_.records().at("r2").state);
    CPPUNIT_ASSERT(other.held.covers(2) && other.held.covers(3));
    CPPUNIT_ASSERT(leaver.assignments.empty());
  }

  auto pausing_runner_is_unreachable() -> void {
    add({0, 2});
    auto& pausing = add({2, 4});
    run_ticks(milliseconds(700));
    pausing.pause = "1.5";
    run_ticks(milliseconds(700));
    const auto before = pausing.calls;
    run_ticks(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(before, pausing.calls);
    pausing.pause = "";
    run_ticks(milliseconds(1500));
    CPPUNIT_ASSERT(pausing.calls > before);
    CPPUNIT_ASSERT(!directory_.records().at("r2").unreachable);
    CPPUNIT_ASSERT(pausing.assignments.empty());
  }

  auto pausing_runner_holds_up_the_placement() -> void {
    add({0, 2});
    auto& other = add();
    auto& pausing = add();
    pausing.pause = "5";
    run_ticks(milliseconds(2500));
    CPPUNIT_ASSERT(other.held.covers(2) && other.held.covers(3));
    CPPUNIT_ASSERT(pausing.assignments.empty());
  }

  auto fenced_leader_stops_assigning_layers() -> void {
    auto& runner = add();
    runner.fenced_below = 4;
    run_ticks(milliseconds(3500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner.assignments.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(layer_placer_test);

}  // namespace pollenloft::test
