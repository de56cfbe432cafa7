#include "pollenloft/lifecycle.hpp"

#include <map>
#include <memory>
#include <set>

#include "pollenloft/control.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

auto request_chart() -> const chart& {
  static const auto loaded =
      chart::load(std::string(POLLENLOFT_ROOT) + "/charts/request.json",
                  request_chart_names());
  CPPUNIT_ASSERT_MESSAGE(last_error().text(), loaded.has_value());
  return *loaded;
}

/// How a request ended, if it has.
auto end_of(const std::vector<request_action>& actions)
    -> std::optional<outcome> {
  std::optional<outcome> result;
  for (auto action : actions) {
    std::optional<outcome> end;
    if (action == request_action::end_completed) end = outcome::completed;
    if (action == request_action::end_not_run) end = outcome::not_run;
    if (action == request_action::end_unknown) end = outcome::unknown;
    if (!end) continue;
    RC_ASSERT(!result.has_value());
    result = end;
  }
  return result;
}

auto contains(const std::vector<request_action>& actions, request_action wanted)
    -> bool {
  return std::find(actions.begin(), actions.end(), wanted) != actions.end();
}

/// Entry VMs, claims and endpoints in plain form. Runs of a request are
/// counted by what the endpoint did, not by what anybody was told.
class plain_world {
 public:
  struct caller {
    std::string key;
    std::string vm;
    std::string dispatch;
    std::unique_ptr<request_lifecycle> life;
    std::optional<outcome> told;
    bool running = false;
    bool dead = false;  // its VM has crashed
    std::set<int> runs;
  };

  auto send(const std::string& key, const std::string& vm) -> void {
    auto made = std::make_unique<caller>();
    made->key = key;
    made->vm = vm;
    made->dispatch = vm + "/" + std::to_string(callers.size());
    made->life = std::make_unique<request_lifecycle>(
        request_chart(), request_traits{true, false}, budget);
    auto* raw = made.get();
    callers.push_back(std::move(made));
    step(*raw, request_event::start);
  }

  auto step(caller& at, request_event event) -> void {
    if (at.dead) return;
    const auto actions = at.life->step(event);
    if (const auto end = end_of(actions)) {
      RC_ASSERT(!at.told.has_value());
      at.told = end;
      // "Not run" is only said with proof.
      if (end == outcome::not_run) RC_ASSERT(at.runs.empty());
    }
    if (contains(actions, request_action::release))
      settle(at, claim_state::open);
    if (contains(actions, request_action::end_completed))
      settle(at, claim_state::completed);
    if (contains(actions, request_action::end_unknown))
      settle(at, claim_state::unknown);
  }

  auto claim(caller& at) -> void {
    if (at.dead) return;
    wire::command command;
    command.__isset.claim = true;
    command.claim.account = "a";
    command.claim.key = at.key;
    command.claim.holder = at.vm;
    command.claim.dispatch = at.dispatch;
    const auto reply = control.apply(encode_wire(command));
    switch (
        static_cast<claim_answer>(std::get<wire::claim_reply>(reply).answer)) {
      case claim_answer::granted:
        return step(at, request_event::claim_granted);
      case claim_answer::open:
        return step(at, request_event::claim_held);
      case claim_answer::settled:
        return step(at, request_event::claim_settled);
      default:
        return step(at, request_event::claim_refused);
    }
  }

  auto settle(caller& at, claim_state state) -> void {
    wire::command command;
    command.__isset.settle = true;
    command.settle.account = "a";
    command.settle.key = at.key;
    command.settle.dispatch = at.dispatch;
    command.settle.state = static_cast<std::int8_t>(state);
    control.apply(encode_wire(command));
  }

  auto crash(const std::string& vm) -> void {
    for (auto& at : callers)
      if (at->vm == vm) at->dead = true;
    wire::command command;
    command.__isset.abandon = true;
    command.abandon.holder = vm;
    control.apply(encode_wire(command));
  }

  auto runs_of(const std::string& key) const -> std::size_t {
    std::size_t runs = 0;
    for (const auto& at : callers)
      if (at->key == key) runs += at->runs.size();
    return runs;
  }

  control_state control;
  retry_budget budget;
  std::vector<std::unique_ptr<caller>> callers;
};

auto play(plain_world& world, std::uint32_t code, int number) -> void {
  const auto key = "k" + std::to_string(code % 5);
  const auto vm =
      "vm" + std::to_string(code / 5 % 3) + "#" + std::to_string(number / 100);
  const auto kind = code / 15 % 20;
  if (kind < 3 || world.callers.empty()) return world.send(key, vm);
  auto& at = *world.callers[code / 300 % world.callers.size()];
  const auto& state = at.life->state();
  if (kind < 8) {
    if (state == "claiming" || state == "waiting") world.claim(at);
  } else if (kind < 12) {
    if (state != "queued" || at.dead) return;
    world.step(at, request_event::slot);
    at.running = true;
  } else if (kind < 14) {
    if (at.running) at.runs.insert(number);  // the endpoint begins it
    if (at.running) at.running = false;
  } else if (kind < 15) {
    // A refusal is true only while the endpoint has not begun.
    if (at.running) world.step(at, request_event::not_run);
    at.running = false;
  } else if (kind < 16) {
    if (!at.runs.empty()) world.step(at, request_event::completed);
  } else if (kind < 17) {
    world.step(at, request_event::broken);
  } else if (kind < 18) {
    world.step(at, request_event::deadline);
  } else if (kind < 19) {
    world.step(at, request_event::caller_gone);
  } else if (code % 4 == 0) {
    world.crash(vm);
  }
}

}  // namespace

class lifecycle_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(lifecycle_test);
  CPPUNIT_TEST(idempotent_request_completes);
  CPPUNIT_TEST(non_idempotent_request_claims_first);
  CPPUNIT_TEST(broken_non_idempotent_request_is_unknown);
  CPPUNIT_TEST(refused_request_is_queued_again);
  CPPUNIT_TEST(broken_idempotent_request_is_rerun);
  CPPUNIT_TEST(refusal_after_a_broken_run_is_not_not_run);
  CPPUNIT_TEST(deadline_in_the_queue_is_not_run);
  CPPUNIT_TEST(request_that_crashes_endpoints_is_stopped);
  CPPUNIT_TEST(busy_endpoints_use_up_no_attempts);
  CPPUNIT_TEST(retries_stop_when_the_budget_is_spent);
  CPPUNIT_TEST(ends_once);
  CPPUNIT_TEST(fuzz_at_most_once);
  CPPUNIT_TEST_SUITE_END();

  retry_budget budget_;

  auto make(bool needs_claim, bool idempotent) -> request_lifecycle {
    return {request_chart(), {needs_claim, idempotent}, budget_};
  }

 public:
  auto idempotent_request_completes() -> void {
    auto life = make(false, true);
    CPPUNIT_ASSERT(
        contains(life.step(request_event::start), request_action::enqueue));
    CPPUNIT_ASSERT(
        contains(life.step(request_event::slot), request_action::dispatch));
    life.step(request_event::began);
    CPPUNIT_ASSERT(end_of(life.step(request_event::completed)) ==
                   outcome::completed);
  }

  auto non_idempotent_request_claims_first() -> void {
    auto life = make(true, false);
    CPPUNIT_ASSERT(
        contains(life.step(request_event::start), request_action::claim));
    CPPUNIT_ASSERT(life.step(request_event::slot).empty());
  }

  auto broken_non_idempotent_request_is_unknown() -> void {
    auto life = make(false, false);
    life.step(request_event::start);
    life.step(request_event::slot);
    CPPUNIT_ASSERT(end_of(life.step(request_event::broken)) ==
                   outcome::unknown);
  }

  auto refused_request_is_queued_again() -> void {
    auto life = make(false, false);
    life.step(request_event::start);
    life.step(request_event::slot);
    CPPUNIT_ASSERT(
        contains(life.step(request_event::not_run), request_action::enqueue));
    CPPUNIT_ASSERT(end_of(life.step(request_event::deadline)) ==
                   outcome::not_run);
  }

  auto broken_idempotent_request_is_rerun() -> void {
    auto life = make(false, true);
    life.step(request_event::start);
    life.step(request_event::slot);
    life.step(request_event::began);
    CPPUNIT_ASSERT(
        contains(life.step(request_event::broken), request_action::enqueue));
    life.step(request_event::slot);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, life.attempt());
  }

  auto refusal_after_a_broken_run_is_not_not_run() -> void {
    auto life = make(false, true);
    life.step(request_event::start);
    life.step(request_event::slot);
    life.step(request_event::broken);
    life.step(request_event::slot);
    life.step(request_event::not_run);
    CPPUNIT_ASSERT(end_of(life.step(request_event::deadline)) ==
                   outcome::unknown);
  }

  auto deadline_in_the_queue_is_not_run() -> void {
    auto life = make(false, true);
    life.step(request_event::start);
    CPPUNIT_ASSERT(end_of(life.step(request_event::deadline)) ==
                   outcome::not_run);
  }

  auto request_that_crashes_endpoints_is_stopped() -> void {
    auto life = make(false, true);
    life.step(request_event::start);
    for (int crashes = 1; crashes <= 2; ++crashes) {
      life.step(request_event::slot);
      life.add_crash_points(crash_points_before_first_token);
      const auto actions = life.step(request_event::broken);
      CPPUNIT_ASSERT_EQUAL(crashes == 2, end_of(actions).has_value());
    }
  }

  auto busy_endpoints_use_up_no_attempts() -> void {
    auto life = make(false, true);
    life.step(request_event::start);
    for (int i = 0; i < 20; ++i) {
      life.step(request_event::slot);
      CPPUNIT_ASSERT(
          contains(life.step(request_event::busy), request_action::enqueue));
    }
    CPPUNIT_ASSERT(life.untouched());
  }

  auto retries_stop_when_the_budget_is_spent() -> void {
    retry_budget small(0.1, 1);
    request_lifecycle first(request_chart(), {false, true}, small);
    first.step(request_event::start);
    first.step(request_event::slot);
    CPPUNIT_ASSERT(!end_of(first.step(request_event::broken)));
    first.step(request_event::slot);
    CPPUNIT_ASSERT(end_of(first.step(request_event::broken)) ==
                   outcome::unknown);
  }

  auto ends_once() -> void {
    auto life = make(false, true);
    life.step(request_event::start);
    life.step(request_event::deadline);
    CPPUNIT_ASSERT(life.ended());
    CPPUNIT_ASSERT(life.step(request_event::completed).empty());
    CPPUNIT_ASSERT(life.step(request_event::caller_gone).empty());
  }

  auto fuzz_at_most_once() -> void {
    check_property("a non-idempotent key runs at most once over all VMs", [] {
      plain_world world;
      int number = 0;
      for (const auto code : *step_codes()) {
        play(world, code, ++number);
        for (int k = 0; k < 5; ++k)
          RC_ASSERT(world.runs_of("k" + std::to_string(k)) <= 1);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lifecycle_test);

}  // namespace pollenloft::test
