#include "pollenloft/control.hpp"

#include <set>

#include "pollenloft/delta.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

auto patch(std::int64_t base, const std::string& id, const std::string& body)
    -> std::string {
  wire::command command;
  command.__isset.patch = true;
  command.patch.base = base;
  command.patch.id = id;
  command.patch.who = "someone";
  command.patch.body = body;
  return encode_wire(command);
}

auto account(const std::string& name) -> std::string {
  return R"({"accounts":{")" + name + R"(":{"token":")" + name + R"("}}})";
}

auto claim(const std::string& key, const std::string& holder,
           const std::string& dispatch, std::int64_t at_ms = 0,
           std::int64_t fingerprint = 1) -> std::string {
  wire::command command;
  command.__isset.claim = true;
  command.claim.account = "a";
  command.claim.key = key;
  command.claim.holder = holder;
  command.claim.dispatch = dispatch;
  command.claim.at_ms = at_ms;
  command.claim.fingerprint = fingerprint;
  return encode_wire(command);
}

auto settle(const std::string& key, const std::string& dispatch,
            claim_state state) -> std::string {
  wire::command command;
  command.__isset.settle = true;
  command.settle.account = "a";
  command.settle.key = key;
  command.settle.dispatch = dispatch;
  command.settle.state = static_cast<std::int8_t>(state);
  command.settle.status = 200;
  command.settle.body = "answer";
  return encode_wire(command);
}

auto abandon(const std::string& holder) -> std::string {
  wire::command command;
  command.__isset.abandon = true;
  command.abandon.holder = holder;
  return encode_wire(command);
}

auto answer(control_state& state, const std::string& command) -> claim_answer {
  const auto reply = state.apply(command);
  return static_cast<claim_answer>(std::get<wire::claim_reply>(reply).answer);
}

auto accepted(control_state& state, const std::string& command) -> bool {
  const auto reply = state.apply(command);
  return std::holds_alternative<patch_accepted>(std::get<patch_reply>(reply));
}

auto renewal(const std::string& vm, std::int64_t in_force)
    -> wire::renew_request {
  wire::renew_request request;
  request.vm = vm;
  request.incarnation = vm + "#1";
  request.in_force = in_force;
  return request;
}

auto endpoint(const std::string& id, const std::string& incarnation,
              endpoint_state state, const std::string& owner)
    -> wire::endpoint_record {
  wire::endpoint_record record;
  record.id = id;
  record.incarnation = incarnation;
  record.state = static_cast<std::int8_t>(state);
  record.owner = owner;
  return record;
}

}  // namespace

class control_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(control_test);
  CPPUNIT_TEST(one_of_two_patches_on_a_base_is_accepted);
  CPPUNIT_TEST(resent_patch_gets_the_first_reply);
  CPPUNIT_TEST(invalid_patch_changes_nothing);
  CPPUNIT_TEST(audit_lists_accepted_and_refused_patches);
  CPPUNIT_TEST(patches_or_full_configuration_for_a_lagging_vm);
  CPPUNIT_TEST(save_and_load_preserve_the_state);
  CPPUNIT_TEST(claimed_key_is_not_granted_again);
  CPPUNIT_TEST(repeated_claim_of_a_dispatch_is_granted);
  CPPUNIT_TEST(settling_as_not_run_releases_the_key);
  CPPUNIT_TEST(abandoned_claim_is_unknown_until_it_is_settled);
  CPPUNIT_TEST(key_of_another_request_is_refused);
  CPPUNIT_TEST(old_claims_expire);
  CPPUNIT_TEST(full_table_evicts_the_oldest_settled_claim);
  CPPUNIT_TEST(crash_points_count_each_endpoint_once);
  CPPUNIT_TEST(version_waits_for_every_live_lease);
  CPPUNIT_TEST(new_leader_waits_for_leases_of_earlier_leaders);
  CPPUNIT_TEST(expired_lease_does_not_delay_a_version);
  CPPUNIT_TEST(directory_keeps_the_newer_incarnation);
  CPPUNIT_TEST(layer_change_loses_no_work);
  CPPUNIT_TEST(leader_status_and_reports_are_ordered_separately);
  CPPUNIT_TEST(leaving_endpoint_stays_leaving);
  CPPUNIT_TEST(orphans_are_dropped_unless_reported_again);
  CPPUNIT_TEST(fuzz_versions);
  CPPUNIT_TEST(fuzz_claims);
  CPPUNIT_TEST(directory_in_bounded_replies_misses_no_change);
  CPPUNIT_TEST(document_with_the_highest_number_wins);
  CPPUNIT_TEST(document_survives_a_snapshot);
  CPPUNIT_TEST(packed_document_counts_like_a_plain_one);
  CPPUNIT_TEST(damaged_packed_document_changes_nothing);
  CPPUNIT_TEST(packed_document_beyond_the_limit_changes_nothing);
  CPPUNIT_TEST(replay_of_plain_and_packed_documents_gives_equal_states);
  CPPUNIT_TEST_SUITE_END();

 public:
  static auto document_command(std::int64_t number, const std::string& text)
      -> std::string {
    wire::command command;
    command.__isset.document = true;
    command.document.number = number;
    command.document.text = text;
    return encode_wire(command);
  }

  auto directory_in_bounded_replies_misses_no_change() -> void {
    endpoint_directory directory;
    for (int i = 0; i < 150; ++i)
      directory.merge(
          {endpoint("e" + std::to_string(i), "1", endpoint_state::up, "vm")});
    std::map<std::string, wire::endpoint_record> received;
    std::int64_t sequence = 0;
    for (int reply = 0; sequence != directory.sequence(); ++reply) {
      const auto changes = directory.changes_after(sequence, 64);
      CPPUNIT_ASSERT(changes.size() <= 64);
      for (const auto& record : changes)
        received[record.id] = record;
      sequence = changes.back().sequence;
      // Changes of sent and of unsent records move them to the end.
      if (reply == 0) {
        directory.set_load("e1", 5, 100);
        directory.set_load("e149", 6, 100);
      }
    }
    CPPUNIT_ASSERT(received == directory.records());
  }

  static auto frame_command(std::int64_t number, const std::string& frame)
      -> std::string {
    wire::command command;
    command.__isset.document = true;
    command.document.number = number;
    command.document.packed = frame;
    return encode_wire(command);
  }

  static auto packed_command(std::int64_t number, const std::string& text)
      -> std::string {
    return frame_command(number, encode_delta(text, ""));
  }

  auto document_with_the_highest_number_wins() -> void {
    control_state state;
    state.apply(document_command(4, "four"));
    state.apply(document_command(9, "nine"));
    state.apply(document_command(6, "six"));
    state.apply(document_command(9, "other"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, state.document().number);
    CPPUNIT_ASSERT_EQUAL(std::string("nine"), state.document().text);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.audit().size());
  }

  auto document_survives_a_snapshot() -> void {
    control_state state;
    state.apply(document_command(4, "four"));
    control_state copy;
    CPPUNIT_ASSERT(copy.load(state.save()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, copy.document().number);
    CPPUNIT_ASSERT_EQUAL(std::string("four"), copy.document().text);
  }

  auto packed_document_counts_like_a_plain_one() -> void {
    const auto text = std::string(400'000, 'r');
    control_state plain;
    plain.apply(document_command(4, text));
    control_state packed;
    packed.apply(packed_command(4, text));
    packed.apply(packed_command(4, "other"));
    packed.apply(packed_command(3, "three"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, packed.document().number);
    CPPUNIT_ASSERT(packed.document().text == text);
    CPPUNIT_ASSERT(packed.save() == plain.save());
    packed.apply(packed_command(5, ""));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, packed.document().number);
    CPPUNIT_ASSERT_EQUAL(std::string(), packed.document().text);
  }

  auto damaged_packed_document_changes_nothing() -> void {
    control_state state;
    state.apply(packed_command(4, "four"));
    const auto before = state.save();
    const auto frame = encode_delta("a text of the fifth document", "");
    for (std::size_t size = 1; size < frame.size(); ++size)
      state.apply(frame_command(5, frame.substr(0, size)));
    auto flipped = frame;
    flipped.back() = static_cast<char>(flipped.back() ^ 1);
    state.apply(frame_command(5, flipped));
    state.apply(frame_command(5, frame + frame));
    const std::string base = "a text of the fourth document";
    state.apply(frame_command(5, encode_delta(base + " changed", base)));
    CPPUNIT_ASSERT(state.save() == before);
    state.apply(frame_command(5, frame));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, state.document().number);
  }

  auto packed_document_beyond_the_limit_changes_nothing() -> void {
    control_state state;
    const auto largest = std::string(max_document_bytes, 'r');
    state.apply(packed_command(1, largest));
    CPPUNIT_ASSERT(state.document().text == largest);
    state.apply(packed_command(2, largest + "r"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, state.document().number);
  }

  auto replay_of_plain_and_packed_documents_gives_equal_states() -> void {
    control_state all;
    control_state restarted;
    for (const auto& command :
         {document_command(4, "four"), packed_command(7, "seven"),
          document_command(6, "six"), packed_command(5, "five"),
          document_command(9, "nine"), packed_command(11, "eleven")}) {
      all.apply(command);
      control_state loaded;
      CPPUNIT_ASSERT(loaded.load(restarted.save()));
      loaded.apply(command);
      restarted = loaded;
      CPPUNIT_ASSERT(restarted.save() == all.save());
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{11}, all.document().number);
    CPPUNIT_ASSERT_EQUAL(std::string("eleven"), all.document().text);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, all.audit().size());
  }

  auto one_of_two_patches_on_a_base_is_accepted() -> void {
    control_state state;
    CPPUNIT_ASSERT(accepted(state, patch(0, "x", account("x"))));
    CPPUNIT_ASSERT(!accepted(state, patch(0, "y", account("y"))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.config().version);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{0},
        std::size_t{state.config().accounts.find("y") != nullptr});
  }

  auto resent_patch_gets_the_first_reply() -> void {
    control_state state;
    state.apply(patch(0, "x", account("x")));
    state.apply(patch(1, "y", account("y")));
    const auto again = state.apply(patch(0, "x", account("x")));
    const auto& reply = std::get<patch_reply>(again);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         std::get<patch_accepted>(reply).version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.config().version);
  }

  auto invalid_patch_changes_nothing() -> void {
    control_state state;
    CPPUNIT_ASSERT(!accepted(
        state,
        patch(0, "x", R"({"accounts":{"a":{"token":"t"}},"vms":{"v":1}})")));
    CPPUNIT_ASSERT(state.config().accounts.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.config().version);
  }

  auto audit_lists_accepted_and_refused_patches() -> void {
    control_state state;
    state.apply(patch(0, "x", account("x")));
    state.apply(patch(0, "y", account("y")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.audit().size());
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), state.audit()[0].result);
    CPPUNIT_ASSERT(state.audit()[1].result.find("beaten by version 1") !=
                   std::string::npos);
  }

  auto patches_or_full_configuration_for_a_lagging_vm() -> void {
    control_limits limits;
    limits.max_recent_patches = 3;
    control_state state(limits);
    for (int i = 0; i < 6; ++i)
      state.apply(patch(i, std::to_string(i), account(std::to_string(i))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.patches_after(4)->size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, state.patches_after(3)->size());
    CPPUNIT_ASSERT(!state.patches_after(2));
    CPPUNIT_ASSERT(state.patches_after(6)->empty());
  }

  auto save_and_load_preserve_the_state() -> void {
    control_state state;
    state.apply(patch(0, "x", account("x")));
    state.apply(patch(0, "y", account("y")));
    state.apply(claim("k", "vm#1", "d"));
    control_state copy;
    CPPUNIT_ASSERT(copy.load(state.save()));
    CPPUNIT_ASSERT_EQUAL(state.save(), copy.save());
    CPPUNIT_ASSERT(!accepted(copy, patch(1, "y", account("y"))));
    CPPUNIT_ASSERT(claim_answer::open == answer(copy, claim("k", "vm#2", "e")));
  }

  auto claimed_key_is_not_granted_again() -> void {
    control_state state;
    CPPUNIT_ASSERT(claim_answer::granted ==
                   answer(state, claim("k", "vm#1", "d")));
    CPPUNIT_ASSERT(claim_answer::open ==
                   answer(state, claim("k", "vm#2", "e")));
    state.apply(settle("k", "d", claim_state::completed));
    CPPUNIT_ASSERT(claim_answer::settled ==
                   answer(state, claim("k", "vm#2", "e")));
  }

  auto repeated_claim_of_a_dispatch_is_granted() -> void {
    control_state state;
    state.apply(claim("k", "vm#1", "d"));
    CPPUNIT_ASSERT(claim_answer::granted ==
                   answer(state, claim("k", "vm#1", "d")));
  }

  auto settling_as_not_run_releases_the_key() -> void {
    control_state state;
    state.apply(claim("k", "vm#1", "d"));
    state.apply(settle("k", "d", claim_state::open));
    CPPUNIT_ASSERT(claim_answer::granted ==
                   answer(state, claim("k", "vm#2", "e")));
  }

  auto abandoned_claim_is_unknown_until_it_is_settled() -> void {
    control_state state;
    state.apply(claim("k", "vm#1", "d"));
    state.apply(abandon("vm#1"));
    CPPUNIT_ASSERT(claim_answer::settled ==
                   answer(state, claim("k", "vm#2", "e")));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(claim_state::unknown),
                         state.find_claim("a", "k")->state);
    state.apply(settle("k", "d", claim_state::completed));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(claim_state::completed),
                         state.find_claim("a", "k")->state);
  }

  auto key_of_another_request_is_refused() -> void {
    control_state state;
    state.apply(claim("k", "vm#1", "d"));
    CPPUNIT_ASSERT(claim_answer::mismatch ==
                   answer(state, claim("k", "vm#2", "e", 0, 2)));
  }

  auto old_claims_expire() -> void {
    control_state state;
    const auto day = milliseconds(std::chrono::hours(24)).count();
    state.apply(claim("k", "vm#1", "d", 1));
    state.apply(claim("other", "vm#1", "f", day));
    CPPUNIT_ASSERT(state.find_claim("a", "k") != nullptr);
    state.apply(claim("third", "vm#1", "g", day + 2));
    CPPUNIT_ASSERT(state.find_claim("a", "k") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.claim_count());
  }

  auto full_table_evicts_the_oldest_settled_claim() -> void {
    control_limits limits;
    limits.max_claims = 2;
    control_state state(limits);
    state.apply(claim("open", "vm#1", "d"));
    state.apply(claim("done", "vm#1", "e"));
    CPPUNIT_ASSERT(claim_answer::refused ==
                   answer(state, claim("new", "vm#1", "f")));
    state.apply(settle("done", "e", claim_state::completed));
    CPPUNIT_ASSERT(claim_answer::granted ==
                   answer(state, claim("new", "vm#1", "f")));
    CPPUNIT_ASSERT(state.find_claim("a", "open") != nullptr);
    CPPUNIT_ASSERT(state.find_claim("a", "done") == nullptr);
  }

  auto crash_points_count_each_endpoint_once() -> void {
    control_state state;
    wire::command command;
    command.__isset.blame = true;
    command.blame.fingerprint = 7;
    command.blame.endpoint = "r1";
    command.blame.points = 2;
    state.apply(encode_wire(command));
    state.apply(encode_wire(command));
    CPPUNIT_ASSERT_EQUAL(2, state.crashes().points(7));
  }

  auto version_waits_for_every_live_lease() -> void {
    lease_table leases(std::chrono::seconds(1));
    const instant start(std::chrono::seconds(10));
    leases.start_term(start - std::chrono::seconds(1));
    leases.renew(renewal("one", 5), start);
    leases.renew(renewal("two", 4), start);
    CPPUNIT_ASSERT(!leases.in_force_everywhere(5, start));
    leases.renew(renewal("two", 5), start);
    CPPUNIT_ASSERT(leases.in_force_everywhere(5, start));
  }

  auto new_leader_waits_for_leases_of_earlier_leaders() -> void {
    lease_table leases(std::chrono::seconds(1));
    const instant start(std::chrono::seconds(10));
    leases.start_term(start);
    CPPUNIT_ASSERT(!leases.in_force_everywhere(1, start + milliseconds(999)));
    CPPUNIT_ASSERT(leases.in_force_everywhere(1, start + milliseconds(1000)));
  }

  auto expired_lease_does_not_delay_a_version() -> void {
    lease_table leases(std::chrono::seconds(1));
    const instant start(std::chrono::seconds(10));
    leases.start_term(start - std::chrono::seconds(1));
    leases.renew(renewal("one", 4), start);
    const auto later = start + std::chrono::seconds(1);
    CPPUNIT_ASSERT(leases.in_force_everywhere(5, later));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leases.take_expired(later).size());
    CPPUNIT_ASSERT(leases.take_expired(later).empty());
  }

  auto directory_keeps_the_newer_incarnation() -> void {
    endpoint_directory directory;
    directory.merge({endpoint("r", "2", endpoint_state::up, "vm")});
    directory.merge({endpoint("r", "1", endpoint_state::gone, "vm")});
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         directory.records().at("r").incarnation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.changes_after(0).size());
    CPPUNIT_ASSERT(directory.changes_after(directory.sequence()).empty());
  }

  /// Guards against cutting off streams on a runner that is assigned another
  /// layer range: runners finish the requests on layers that they release.
  auto layer_change_loses_no_work() -> void {
    const auto before = endpoint("r", "1", endpoint_state::up, "vm");
    auto after = before;
    after.first_layer = after.last_layer = 58;
    CPPUNIT_ASSERT(!loses_in_flight_work(before, after));
    after.state = static_cast<std::int8_t>(endpoint_state::leaving);
    CPPUNIT_ASSERT(!loses_in_flight_work(before, after));
    after.unreachable = true;
    CPPUNIT_ASSERT(loses_in_flight_work(before, after));
    CPPUNIT_ASSERT(!loses_in_flight_work(after, after));
    CPPUNIT_ASSERT(loses_in_flight_work(
        before, endpoint("r", "2", endpoint_state::up, "vm")));
  }

  /// Guards against a follower ignoring the leader's status of a runner because
  /// the follower has a later report of that runner, so that it never learns
  /// that the runner is unreachable.
  auto leader_status_and_reports_are_ordered_separately() -> void {
    endpoint_directory leader;
    endpoint_directory follower;
    auto report = endpoint("r", "1", endpoint_state::up, "");
    report.kind = "l4";
    leader.merge({report});
    report.report = 7;
    follower.merge({report});
    leader.start_status_term(3);
    leader.set_layers("r", 0, 8);
    leader.set_unreachable("r", true);
    const auto changes = leader.changes_after(0);
    follower.merge(changes);
    CPPUNIT_ASSERT_EQUAL(8, follower.records().at("r").last_layer);
    CPPUNIT_ASSERT(follower.records().at("r").unreachable);
    // Neither the next report nor an earlier leader reverts the status.
    report.report = 8;
    follower.merge({report});
    endpoint_directory earlier;
    earlier.merge({report});
    earlier.start_status_term(2);
    earlier.set_layers("r", 0, 2);
    follower.merge(earlier.changes_after(0));
    CPPUNIT_ASSERT_EQUAL(8, follower.records().at("r").last_layer);
    CPPUNIT_ASSERT(follower.records().at("r").unreachable);
    // A new incarnation starts without the status.
    follower.merge({endpoint("r", "2", endpoint_state::up, "")});
    CPPUNIT_ASSERT(!follower.records().at("r").unreachable);
  }

  auto leaving_endpoint_stays_leaving() -> void {
    endpoint_directory directory;
    directory.merge({endpoint("r", "1", endpoint_state::leaving, "vm")});
    directory.merge({endpoint("r", "1", endpoint_state::up, "vm")});
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(endpoint_state::leaving),
                         directory.records().at("r").state);
  }

  auto orphans_are_dropped_unless_reported_again() -> void {
    endpoint_directory directory;
    const instant start(std::chrono::seconds(10));
    directory.merge({endpoint("r", "1", endpoint_state::up, "gone-vm"),
                     endpoint("s", "1", endpoint_state::up, "gone-vm")});
    directory.mark_orphaned("gone-vm", start);
    directory.merge({endpoint("s", "2", endpoint_state::up, "vm")});
    directory.expire_orphans(start + std::chrono::seconds(3),
                             std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(endpoint_state::gone),
                         directory.records().at("r").state);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(endpoint_state::up),
                         directory.records().at("s").state);
  }

  /// The model is the list of accepted patch ids: version N is the Nth id.
  auto fuzz_versions() -> void {
    check_property("patches agree with a list of versions", [] {
      control_state state;
      std::vector<std::string> versions;
      std::map<std::string, std::uint64_t> replies;  // 0 means refused
      for (const auto code : *step_codes()) {
        const auto id = "p" + std::to_string(code % 61);
        const auto base = versions.size() -
                          std::min<std::size_t>(versions.size(), code / 61 % 3);
        const auto bad = code / 183 % 7 == 0;
        const auto reply =
            state.apply(patch(static_cast<std::int64_t>(base), id,
                              bad ? R"({"nothing":1})" : account(id)));
        const auto& patch_result = std::get<patch_reply>(reply);
        const auto* accepted = std::get_if<patch_accepted>(&patch_result);
        const auto version = accepted != nullptr ? accepted->version : 0;
        const auto [first_reply, is_new] = replies.emplace(id, version);
        if (is_new) {
          const auto expected = !bad && base == versions.size();
          RC_ASSERT((accepted != nullptr) == expected);
          if (expected) versions.push_back(id);
          if (expected) RC_ASSERT(version == versions.size());
        } else {
          RC_ASSERT(version == first_reply->second);
        }
        RC_ASSERT(state.config().version == versions.size());
        if (code / 1000 % 50 == 0) {
          control_state copy;
          RC_ASSERT(copy.load(state.save()).has_value());
          state = copy;
        }
      }
    });
  }

  /// The model is the set of dispatches that may have run for each key.
  auto fuzz_claims() -> void {
    check_property("a key runs at most once", [] {
      control_state state;
      std::map<std::string, std::set<std::string>> granted;
      std::map<std::string, std::string> open_claims;  // dispatch -> key
      std::size_t number = 0;
      for (const auto code : *step_codes()) {
        const auto key = "k" + std::to_string(code % 13);
        const auto vm = "vm#" + std::to_string(code / 13 % 4);
        const auto kind = code / 52 % 10;
        if (kind < 5) {
          const auto dispatch = vm + "/" + std::to_string(++number);
          if (answer(state, claim(key, vm, dispatch)) ==
              claim_answer::granted) {
            granted[key].insert(dispatch);
            open_claims[dispatch] = key;
          }
          RC_ASSERT(granted[key].size() <= 1);
        } else if (kind < 9 && !open_claims.empty()) {
          auto it = open_claims.begin();
          std::advance(it, code / 520 % open_claims.size());
          const auto not_run = kind == 5;
          if (not_run) granted[it->second].erase(it->first);
          state.apply(
              settle(it->second, it->first,
                     not_run ? claim_state::open : claim_state::completed));
          open_claims.erase(it);
        } else {
          state.apply(abandon(vm));
        }
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_test);

}  // namespace pollenloft::test
