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

/// The outcome that `actions` end the request with, if any.
auto final_outcome(const std::vector<request_action>& actions)
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

/// A simulation of entry VMs, claims and endpoints. It counts a run of a
/// request when the endpoint begins it, whatever the VM or the caller learns.
class simulation {
 public:
  struct sent_request {
    std::string key;
    std::string vm;
    std::string dispatch;
    std::unique_ptr<request_lifecycle> lifecycle;
    std::optional<outcome> reported_outcome;
    bool dispatch_pending = false;
    bool vm_crashed = false;
    std::set<int> runs;
  };

  auto send(const std::string& key, const std::string& vm) -> void {
    auto created = std::make_unique<sent_request>();
    created->key = key;
    created->vm = vm;
    created->dispatch = vm + "/" + std::to_string(requests.size());
    created->lifecycle = std::make_unique<request_lifecycle>(
        request_chart(), request_traits{true, false}, budget);
    auto* added = created.get();
    requests.push_back(std::move(created));
    step(*added, request_event::start);
  }

  auto step(sent_request& request, request_event event) -> void {
    if (request.vm_crashed) return;
    const auto actions = request.lifecycle->step(event);
    if (const auto end_outcome = final_outcome(actions)) {
      RC_ASSERT(!request.reported_outcome.has_value());
      request.reported_outcome = end_outcome;
      // A request may end as "not run" only if no endpoint ran it.
      if (end_outcome == outcome::not_run) RC_ASSERT(request.runs.empty());
    }
    if (contains(actions, request_action::release))
      settle(request, claim_state::open);
    if (contains(actions, request_action::end_completed))
      settle(request, claim_state::completed);
    if (contains(actions, request_action::end_unknown))
      settle(request, claim_state::unknown);
  }

  auto claim(sent_request& request) -> void {
    if (request.vm_crashed) return;
    wire::command command;
    command.__isset.claim = true;
    command.claim.account = "a";
    command.claim.key = request.key;
    command.claim.holder = request.vm;
    command.claim.dispatch = request.dispatch;
    const auto reply = control.apply(encode_wire(command));
    switch (
        static_cast<claim_answer>(std::get<wire::claim_reply>(reply).answer)) {
      case claim_answer::granted:
        return step(request, request_event::claim_granted);
      case claim_answer::open:
        return step(request, request_event::claim_held);
      case claim_answer::settled:
        return step(request, request_event::claim_settled);
      default:
        return step(request, request_event::claim_refused);
    }
  }

  auto settle(sent_request& request, claim_state state) -> void {
    wire::command command;
    command.__isset.settle = true;
    command.settle.account = "a";
    command.settle.key = request.key;
    command.settle.dispatch = request.dispatch;
    command.settle.state = static_cast<std::int8_t>(state);
    control.apply(encode_wire(command));
  }

  auto crash(const std::string& vm) -> void {
    for (auto& request : requests)
      if (request->vm == vm) request->vm_crashed = true;
    wire::command command;
    command.__isset.abandon = true;
    command.abandon.holder = vm;
    control.apply(encode_wire(command));
  }

  auto runs_of(const std::string& key) const -> std::size_t {
    std::size_t runs = 0;
    for (const auto& request : requests)
      if (request->key == key) runs += request->runs.size();
    return runs;
  }

  control_state control;
  retry_budget budget;
  std::vector<std::unique_ptr<sent_request>> requests;
};

auto apply_step(simulation& simulated, std::uint32_t code, int step_number)
    -> void {
  const auto key = "k" + std::to_string(code % 5);
  const auto vm = "vm" + std::to_string(code / 5 % 3) + "#" +
                  std::to_string(step_number / 100);
  const auto kind = code / 15 % 20;
  if (kind < 3 || simulated.requests.empty()) return simulated.send(key, vm);
  auto& request = *simulated.requests[code / 300 % simulated.requests.size()];
  const auto& state = request.lifecycle->state();
  if (kind < 8) {
    if (state == "claiming" || state == "waiting") simulated.claim(request);
  } else if (kind < 12) {
    if (state != "queued" || request.vm_crashed) return;
    simulated.step(request, request_event::slot);
    request.dispatch_pending = true;
  } else if (kind < 14) {
    if (request.dispatch_pending)
      request.runs.insert(step_number);  // the endpoint begins it
    if (request.dispatch_pending) request.dispatch_pending = false;
  } else if (kind < 15) {
    // An endpoint may refuse only a dispatch that it has not begun.
    if (request.dispatch_pending)
      simulated.step(request, request_event::not_run);
    request.dispatch_pending = false;
  } else if (kind < 16) {
    if (!request.runs.empty())
      simulated.step(request, request_event::completed);
  } else if (kind < 17) {
    simulated.step(request, request_event::broken);
  } else if (kind < 18) {
    simulated.step(request, request_event::deadline);
  } else if (kind < 19) {
    simulated.step(request, request_event::caller_gone);
  } else if (code % 4 == 0) {
    simulated.crash(vm);
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
  CPPUNIT_TEST(refusal_after_an_interrupted_run_ends_unknown);
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
    auto lifecycle = make(false, true);
    CPPUNIT_ASSERT(contains(lifecycle.step(request_event::start),
                            request_action::enqueue));
    CPPUNIT_ASSERT(contains(lifecycle.step(request_event::slot),
                            request_action::dispatch));
    lifecycle.step(request_event::began);
    CPPUNIT_ASSERT(final_outcome(lifecycle.step(request_event::completed)) ==
                   outcome::completed);
  }

  auto non_idempotent_request_claims_first() -> void {
    auto lifecycle = make(true, false);
    CPPUNIT_ASSERT(
        contains(lifecycle.step(request_event::start), request_action::claim));
    CPPUNIT_ASSERT(lifecycle.step(request_event::slot).empty());
  }

  auto broken_non_idempotent_request_is_unknown() -> void {
    auto lifecycle = make(false, false);
    lifecycle.step(request_event::start);
    lifecycle.step(request_event::slot);
    CPPUNIT_ASSERT(final_outcome(lifecycle.step(request_event::broken)) ==
                   outcome::unknown);
  }

  auto refused_request_is_queued_again() -> void {
    auto lifecycle = make(false, false);
    lifecycle.step(request_event::start);
    lifecycle.step(request_event::slot);
    CPPUNIT_ASSERT(contains(lifecycle.step(request_event::not_run),
                            request_action::enqueue));
    CPPUNIT_ASSERT(final_outcome(lifecycle.step(request_event::deadline)) ==
                   outcome::not_run);
  }

  auto broken_idempotent_request_is_rerun() -> void {
    auto lifecycle = make(false, true);
    lifecycle.step(request_event::start);
    lifecycle.step(request_event::slot);
    lifecycle.step(request_event::began);
    CPPUNIT_ASSERT(contains(lifecycle.step(request_event::broken),
                            request_action::enqueue));
    lifecycle.step(request_event::slot);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lifecycle.attempt());
  }

  auto refusal_after_an_interrupted_run_ends_unknown() -> void {
    auto lifecycle = make(false, true);
    lifecycle.step(request_event::start);
    lifecycle.step(request_event::slot);
    lifecycle.step(request_event::broken);
    lifecycle.step(request_event::slot);
    lifecycle.step(request_event::not_run);
    CPPUNIT_ASSERT(final_outcome(lifecycle.step(request_event::deadline)) ==
                   outcome::unknown);
  }

  auto deadline_in_the_queue_is_not_run() -> void {
    auto lifecycle = make(false, true);
    lifecycle.step(request_event::start);
    CPPUNIT_ASSERT(final_outcome(lifecycle.step(request_event::deadline)) ==
                   outcome::not_run);
  }

  auto request_that_crashes_endpoints_is_stopped() -> void {
    auto lifecycle = make(false, true);
    lifecycle.step(request_event::start);
    for (int crashes = 1; crashes <= 2; ++crashes) {
      lifecycle.step(request_event::slot);
      lifecycle.add_crash_points(crash_points_before_first_token);
      const auto actions = lifecycle.step(request_event::broken);
      CPPUNIT_ASSERT_EQUAL(crashes == 2, final_outcome(actions).has_value());
    }
  }

  auto busy_endpoints_use_up_no_attempts() -> void {
    auto lifecycle = make(false, true);
    lifecycle.step(request_event::start);
    for (int i = 0; i < 20; ++i) {
      lifecycle.step(request_event::slot);
      CPPUNIT_ASSERT(contains(lifecycle.step(request_event::busy),
                              request_action::enqueue));
    }
    CPPUNIT_ASSERT(lifecycle.no_earlier_run());
  }

  auto retries_stop_when_the_budget_is_spent() -> void {
    retry_budget small_budget(0.1, 1);
    request_lifecycle lifecycle(request_chart(), {false, true}, small_budget);
    lifecycle.step(request_event::start);
    lifecycle.step(request_event::slot);
    CPPUNIT_ASSERT(!final_outcome(lifecycle.step(request_event::broken)));
    lifecycle.step(request_event::slot);
    CPPUNIT_ASSERT(final_outcome(lifecycle.step(request_event::broken)) ==
                   outcome::unknown);
  }

  auto ends_once() -> void {
    auto lifecycle = make(false, true);
    lifecycle.step(request_event::start);
    lifecycle.step(request_event::deadline);
    CPPUNIT_ASSERT(lifecycle.ended());
    CPPUNIT_ASSERT(lifecycle.step(request_event::completed).empty());
    CPPUNIT_ASSERT(lifecycle.step(request_event::caller_gone).empty());
  }

  auto fuzz_at_most_once() -> void {
    check_property("a non-idempotent key runs at most once over all VMs", [] {
      simulation simulated;
      int step_number = 0;
      for (const auto code : *step_codes()) {
        apply_step(simulated, code, ++step_number);
        for (int k = 0; k < 5; ++k)
          RC_ASSERT(simulated.runs_of("k" + std::to_string(k)) <= 1);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lifecycle_test);

}  // namespace pollenloft::test
