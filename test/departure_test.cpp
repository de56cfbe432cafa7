#include "departure_recorder.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

constexpr auto up = endpoint_state::up;
constexpr auto leaving = endpoint_state::leaving;
constexpr auto gone = endpoint_state::gone;
const socket_address leader{"127.0.9.6", 18147};

auto departure(const std::string& id, const std::string& incarnation,
               endpoint_state state) -> wire::departure_command {
  wire::departure_command result;
  result.id = id;
  result.incarnation = incarnation;
  result.state = static_cast<std::int8_t>(state);
  return result;
}

auto record(const std::string& id, const std::string& incarnation,
            endpoint_state state = up) -> wire::endpoint_record {
  wire::endpoint_record result;
  result.id = id;
  result.incarnation = incarnation;
  result.address = "10.0.0.1:80";
  result.state = static_cast<std::int8_t>(state);
  return result;
}

auto encode(const wire::departure_command& departure) -> std::string {
  wire::command command;
  command.__isset.departure = true;
  command.departure = departure;
  return encode_wire(command);
}

}  // namespace

/// What a control VM has acknowledged to endpoints that leave.
class departure_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(departure_test);
  CPPUNIT_TEST(departure_only_advances);
  CPPUNIT_TEST(oldest_departures_are_evicted);
  CPPUNIT_TEST(departures_are_lost_with_a_snapshot);
  CPPUNIT_TEST(report_revives_a_departed_process);
  CPPUNIT_TEST(later_process_is_taken_for_the_departed_one);
  CPPUNIT_TEST(departure_reaches_no_known_record);
  CPPUNIT_TEST(leader_commits_the_latest_process);
  CPPUNIT_TEST(drain_of_an_earlier_process_reaches_the_later_one);
  CPPUNIT_TEST(recorded_departure_is_proposed_again);
  CPPUNIT_TEST(uncommitted_departure_is_acknowledged);
  CPPUNIT_TEST(departures_reach_the_leader);
  CPPUNIT_TEST(departure_is_refused_beside_an_older_leader);
  CPPUNIT_TEST(departure_without_a_leader_is_acknowledged);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  http_client client_{loop_};
  control_state state_;
  endpoint_directory directory_;
  bool leads_ = true;
  bool commits_ = true;
  std::optional<socket_address> leader_;
  std::vector<wire::departure_command> proposed_;
  std::vector<std::string> confirmed_in_memory_;
  departure_recorder recorder_{loop_, client_, state_, directory_, hooks()};

 public:
  auto setUp() -> void override { directory_.follow(state_.departures()); }

  auto hooks() -> recorder_hooks {
    return {[this] { return leads_; }, [this] { return leader_; },
            [this](const wire::command& command,
                   const recorder_hooks::result_handler& done) {
              proposed_.push_back(command.departure);
              if (commits_) state_.apply(encode_wire(command));
              done(commits_);
            },
            [this](const std::string& id,
                   const recorder_hooks::result_handler& done) {
              confirmed_in_memory_.push_back(id);
              done(true);
            }};
  }

  auto state_of(const std::string& id) -> endpoint_state {
    return static_cast<endpoint_state>(directory_.records().at(id).state);
  }
  auto apply(const wire::departure_command& departure) -> void {
    state_.apply(encode(departure));
    directory_.apply_departures();
  }

  auto departure_only_advances() -> void {
    departure_ledger ledger(10);
    ledger.apply(departure("a", "5", gone));
    ledger.apply(departure("a", "5", leaving));
    ledger.apply(departure("a", "4", gone));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, ledger.sequence());
    CPPUNIT_ASSERT(ledger.covers(departure("a", "5", leaving)));
    CPPUNIT_ASSERT(!ledger.covers(departure("a", "6", leaving)));
    ledger.apply(departure("a", "6", leaving));
    CPPUNIT_ASSERT(!ledger.covers(departure("a", "6", gone)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.size());
  }

  auto oldest_departures_are_evicted() -> void {
    departure_ledger ledger(2);
    for (const auto* id : {"a", "b", "a", "c"})
      ledger.apply(departure(id, std::to_string(ledger.sequence()), gone));
    CPPUNIT_ASSERT(ledger.find("b") == nullptr);
    CPPUNIT_ASSERT(ledger.find("a") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ledger.changes_after(0).size());
  }

  auto departures_are_lost_with_a_snapshot() -> void {
    state_.apply(encode(departure("a", "5", leaving)));
    state_.apply(encode(departure("b", "6", gone)));
    control_state loaded;
    CPPUNIT_ASSERT(loaded.load(state_.save()).has_value());
    CPPUNIT_ASSERT(loaded.departures().covers(departure("a", "5", leaving)));
    CPPUNIT_ASSERT(loaded.departures().covers(departure("b", "6", gone)));
  }

  auto report_revives_a_departed_process() -> void {
    directory_.merge({record("a", "5")});
    apply(departure("a", "5", gone));
    CPPUNIT_ASSERT(state_of("a") == gone);
    directory_.merge({record("a", "5")});
    CPPUNIT_ASSERT(state_of("a") == gone);
    endpoint_directory restored;  // without the record
    restored.follow(state_.departures());
    restored.merge({record("a", "5")});
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(gone),
                         restored.records().at("a").state);
  }

  auto later_process_is_taken_for_the_departed_one() -> void {
    apply(departure("a", "5", gone));
    directory_.merge({record("a", "6")});
    CPPUNIT_ASSERT(state_of("a") == up);
  }

  auto departure_reaches_no_known_record() -> void {
    directory_.merge({record("a", "5"), record("b", "5")});
    const auto before = directory_.sequence();
    apply(departure("a", "5", leaving));
    CPPUNIT_ASSERT(state_of("a") == leaving);
    CPPUNIT_ASSERT(state_of("b") == up);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         directory_.changes_after(before).size());
  }

  auto leader_commits_the_latest_process() -> void {
    directory_.merge({record("a", "6")});
    bool recorded = false;
    recorder_.commit({departure("a", "5", gone), departure("b", "", gone)},
                     [&](bool result) { recorded = result; });
    CPPUNIT_ASSERT(recorded);
    CPPUNIT_ASSERT_EQUAL(std::string("6"), proposed_.at(0).incarnation);
    directory_.apply_departures();
    CPPUNIT_ASSERT(state_of("a") == gone);
  }

  auto drain_of_an_earlier_process_reaches_the_later_one() -> void {
    directory_.merge({record("a", "6")});
    recorder_.commit({departure("a", "5", leaving)}, [](bool) {});
    directory_.apply_departures();
    CPPUNIT_ASSERT(state_of("a") == up);
  }

  auto recorded_departure_is_proposed_again() -> void {
    directory_.merge({record("a", "5", leaving)});
    int recorded = 0;
    for (int i = 0; i < 3; ++i)
      recorder_.record("a", [&](bool result) { recorded += result ? 1 : 0; });
    CPPUNIT_ASSERT_EQUAL(3, recorded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proposed_.size());
  }

  auto uncommitted_departure_is_acknowledged() -> void {
    commits_ = false;
    directory_.merge({record("a", "5", gone)});
    bool recorded = true;
    recorder_.record("a", [&](bool result) { recorded = result; });
    CPPUNIT_ASSERT(!recorded);
  }

  /// Records the departure of two endpoints at a VM that does not lead, beside
  /// a leader that answers so; returns how many are acknowledged.
  auto record_at_follower(const http_server::handler& answer) -> int {
    http_server server(loop_, http_limits{}, answer);
    CPPUNIT_ASSERT(server.listen(leader).has_value());
    leads_ = false;
    leader_ = leader;
    directory_.merge({record("a", "5", gone), record("b", "7", leaving)});
    int answered = 0;
    int recorded = 0;
    for (const auto* id : {"a", "b"})
      recorder_.record(id, [&](bool result) {
        recorded += result ? 1 : 0;
        if (++answered == 2) loop_.stop();
      });
    loop_.run();
    return recorded;
  }

  auto departures_reach_the_leader() -> void {
    std::vector<wire::departure_command> received;
    int calls = 0;
    const auto recorded = record_at_follower([&](const exchange_ptr& call) {
      const auto& sent = call->request().body;
      received = decode_wire<wire::departure_request>(sent)->departures;
      wire::departure_reply reply;
      reply.accepted = true;
      ++calls;
      call->reply(200, {}, encode_wire(reply));
    });
    CPPUNIT_ASSERT_EQUAL(2, recorded);
    CPPUNIT_ASSERT_EQUAL(1, calls);
    CPPUNIT_ASSERT_EQUAL(std::string("7"), received.at(1).incarnation);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(leaving),
                         received.at(1).state);
  }

  auto departure_is_refused_beside_an_older_leader() -> void {
    const auto recorded = record_at_follower(
        [](const exchange_ptr& call) { call->reply(404, {}, ""); });
    CPPUNIT_ASSERT_EQUAL(2, recorded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, confirmed_in_memory_.size());
  }

  auto departure_without_a_leader_is_acknowledged() -> void {
    const auto recorded = record_at_follower(
        [](const exchange_ptr& call) { call->reply(421, {}, ""); });
    CPPUNIT_ASSERT_EQUAL(0, recorded);
    CPPUNIT_ASSERT(confirmed_in_memory_.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(departure_test);

}  // namespace pollenloft::test
