#include "layer_placer.hpp"

#include <nlohmann/json.hpp>

#include "property.hpp"

namespace pollenloft::test {
namespace {

using json = nlohmann::json;

constexpr auto report_period = milliseconds(20);

/// A runner that carries out each assignment at once.
class fake_runner {
 public:
  fake_runner(event_loop& loop, const std::string& host)
      : address_{host, 18090},
        server_(loop, http_limits{},
                [this](const exchange_ptr& call) { serve(call); }) {
    CPPUNIT_ASSERT(server_.listen(address_));
  }

  auto record(const std::string& id) const -> wire::endpoint_record {
    wire::endpoint_record record;
    record.id = id;
    record.incarnation = "1";
    record.address = address_.text();
    record.kind = "k";
    record.zone = "z";
    record.pipeline = "llm";
    record.slots = 8;
    return record;
  }

  layer_range held;
  std::int64_t sequence = 0;
  std::int64_t fenced_below = 0;
  std::vector<json> assignments;
  std::vector<std::string> stalled_peers;
  bool unresponsive = false;
  bool leaving = false;
  std::string pause;  // asked for in each response unless it is empty
  int calls = 0;

 private:
  auto serve(const exchange_ptr& call) -> void {
    if (unresponsive) return unanswered_.push_back(call);
    ++calls;
    http_headers headers;
    if (leaving) headers.add("Server-Leaving", "1");
    if (!pause.empty())
      return call->reply(503, headers.add("Retry-After", pause), "");
    if (call->request().path == "/report") {
      json body{{"Busy", false},
                {"Seq", sequence},
                {"Layers", {{"From", held.from}, {"To", held.to}}},
                {"Stalled", json::array()}};
      for (const auto& address : stalled_peers)
        body["Stalled"].push_back({{"Id", "r"}, {"Address", address}});
      return call->reply(200, headers, body.dump());
    }
    const auto assignment = json::parse(call->request().body);
    assignments.push_back(assignment);
    if (assignment["FenceToken"] < fenced_below)
      return call->reply(412, {}, "");
    if (assignment["Expect"] != sequence) return call->reply(409, {}, "");
    held = {assignment["From"], assignment["To"]};
    ++sequence;
    call->reply(202, {}, "");
  }

  socket_address address_;
  http_server server_;
  std::vector<exchange_ptr> unanswered_;
};

auto config() -> ingress_config {
  engine_profile engine;
  engine.layers = 4;
  engine.layer_mb = 100;
  engine.kv_bytes_per_token = 4000;
  engine.accelerators = {{"k", {1200, 1, 1}}};
  ingress_config document;
  document.services["llm"] = {"llm", engine};
  return document;
}

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
