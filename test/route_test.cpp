#include "property.hpp"
#include "route_views.hpp"

namespace pollenloft::test {
namespace {

auto covers(const chain& stages, std::int32_t layers) -> bool {
  std::int32_t boundary = 0;
  for (const auto& stage : stages) {
    if (stage.from != boundary || stage.to <= stage.from) return false;
    if (stage.from < stage.endpoint->first_layer) return false;
    if (stage.to > stage.endpoint->last_layer) return false;
    boundary = stage.to;
  }
  return boundary == layers;
}

}  // namespace

class route_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(route_test);
  CPPUNIT_TEST(covers_all_layers_without_gap_or_overlap);
  CPPUNIT_TEST(no_chain_when_a_layer_has_no_holder);
  CPPUNIT_TEST(overlapping_ranges_are_trimmed);
  CPPUNIT_TEST(prefers_idle_and_near_endpoints);
  CPPUNIT_TEST(learns_that_an_endpoint_is_slow);
  CPPUNIT_TEST(window_limits_outstanding_requests);
  CPPUNIT_TEST(window_grows_while_it_is_the_limit);
  CPPUNIT_TEST(crashed_endpoint_is_ejected_immediately);
  CPPUNIT_TEST(failures_eject_a_limited_share);
  CPPUNIT_TEST(ejected_endpoint_is_used_if_a_layer_has_no_other_holder);
  CPPUNIT_TEST(endpoint_without_a_listener_is_tried_again_at_once);
  CPPUNIT_TEST(endpoint_that_stalls_each_chain_is_ejected);
  CPPUNIT_TEST(poison_suspects_do_not_share_an_endpoint);
  CPPUNIT_TEST(removed_endpoint_gets_no_requests);
  CPPUNIT_TEST(late_result_of_an_earlier_incarnation_is_ignored);
  CPPUNIT_TEST(complete_chain_in_another_zone_beats_cross_zone_chain);
  CPPUNIT_TEST(cross_zone_chains_stop_without_link_credit);
  CPPUNIT_TEST(zone_without_a_layer_hides_no_complete_zone);
  CPPUNIT_TEST(full_kv_cache_takes_no_requests);
  CPPUNIT_TEST(kv_cache_is_kept_free_for_urgent_requests);
  CPPUNIT_TEST(endpoint_with_less_work_left_is_preferred);
  CPPUNIT_TEST(prefers_endpoints_with_free_kv_cache);
  CPPUNIT_TEST(slow_runner_is_avoided);
  CPPUNIT_TEST(consecutive_refusals_back_off);
  CPPUNIT_TEST(failed_stage_is_replaced_and_others_are_kept);
  CPPUNIT_TEST(burst_respects_kv_capacity_before_reports_arrive);
  CPPUNIT_TEST(refusal_for_kv_capacity_keeps_the_window);
  CPPUNIT_TEST(shortage_reports_layer_and_reason);
  CPPUNIT_TEST(fuzz_chains);
  CPPUNIT_TEST_SUITE_END();

  instant now_{std::chrono::seconds(100)};

 public:
  static auto in_zone(const endpoint_view& view, const std::string& zone)
      -> endpoint_view {
    auto moved = view;
    moved.zone = zone;
    return moved;
  }

  static auto request_with_activations() -> chain_request {
    auto request = full_chain_request();
    request.cross_zone_mb = 28;
    return request;
  }

  /// Zone z1 lacks half of the layers; z2 holds all of them.
  static auto router_with_incomplete_zone(route_options options)
      -> std::unique_ptr<router> {
    options.zone = "z1";
    auto routes = std::make_unique<router>(options, 1);
    routes->upsert(runner("a", 0, 16));
    routes->upsert(in_zone(runner("b", 0, 16), "z2"));
    routes->upsert(in_zone(runner("c", 16, 32), "z2"));
    return routes;
  }

  /// After a restart the callers of all VMs return together, long before the
  /// runners' reports show the load. The KV cache of one runner fits only a few
  /// of the requests.
  auto burst_respects_kv_capacity_before_reports_arrive() -> void {
    router routes({}, 1);
    routes.set_vm_count(2);
    auto small = runner("a", 0, 32);
    small.slots = 64;
    small.kv_capacity_tokens = 4000;
    routes.upsert(small);
    auto other = runner("b", 0, 32);
    other.slots = 64;
    other.kv_capacity_tokens = 100000;
    routes.upsert(other);
    auto request = full_chain_request();
    request.tokens = 900;
    int on_small = 0;
    for (int i = 0; i < 20; ++i) {
      const auto stages = routes.choose(request, now_);
      CPPUNIT_ASSERT(stages.has_value());
      on_small += stages->front().endpoint->id == "a" ? 1 : 0;
      routes.dispatch_started(*stages, false, request.tokens, now_);
    }
    // The other VM sends as many requests.
    CPPUNIT_ASSERT(on_small <= 2);
    now_ += std::chrono::seconds(5);
    CPPUNIT_ASSERT(routes.choose(request, now_));
  }

  /// A runner refuses a few requests while its KV cache is full. Once the cache
  /// has free capacity, the runner gets as many requests as before.
  auto refusal_for_kv_capacity_keeps_the_window() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 16));
    auto second = runner("b", 16, 32);
    second.kv_capacity_tokens = 10000;
    routes.upsert(second);
    for (int i = 0; i < 3; ++i) {
      const auto stages = routes.choose(full_chain_request(), now_);
      CPPUNIT_ASSERT(stages.has_value());
      routes.dispatch_started(*stages, false, 100, now_);
      routes.dispatch_ended(*stages, false, dispatch_result::refused, "b",
                            now_);
      now_ += std::chrono::seconds(2);
    }
    for (int i = 0; i < 4; ++i) {
      const auto stages = routes.choose(full_chain_request(), now_);
      CPPUNIT_ASSERT(stages.has_value());
      routes.dispatch_started(*stages, false, 100, now_);
    }
    CPPUNIT_ASSERT(!routes.choose(full_chain_request(), now_));
  }

  auto shortage_reports_layer_and_reason() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 16));
    auto full = runner("b", 16, 32);
    full.kv_utilization = 1;
    routes.upsert(full);
    routes.upsert(in_zone(runner("c", 0, 8), "z2"));
    CPPUNIT_ASSERT(!routes.choose(full_chain_request(), now_));
    const auto shortages = routes.shortages(full_chain_request(), now_);
    CPPUNIT_ASSERT_EQUAL(16, shortages.at("z1").layer);
    CPPUNIT_ASSERT_EQUAL(1, shortages.at("z1").holders);
    CPPUNIT_ASSERT_EQUAL(1, shortages.at("z1").kv_full);
    CPPUNIT_ASSERT_EQUAL(8, shortages.at("z2").layer);
    CPPUNIT_ASSERT_EQUAL(0, shortages.at("z2").holders);
  }

  auto complete_chain_in_another_zone_beats_cross_zone_chain() -> void {
    const auto routes = router_with_incomplete_zone({});
    routes->set_cross_zone_rate(1000);
    for (int i = 0; i < 3; ++i) {
      const auto stages = routes->choose(request_with_activations(), now_);
      CPPUNIT_ASSERT(stages && stages->front().endpoint->id == "b");
      routes->dispatch_started(*stages, false, 0, now_);
    }
  }

  auto kv_cache_is_kept_free_for_urgent_requests() -> void {
    router routes({}, 1);
    auto view = runner("a", 0, 32);
    view.kv_capacity_tokens = 100000;
    view.kv_utilization = 0.8;
    routes.upsert(view);
    auto request = full_chain_request();
    CPPUNIT_ASSERT(routes.choose(request, now_));
    request.kv_headroom = 0.12;
    CPPUNIT_ASSERT(!routes.choose(request, now_));
  }

  /// One request each; that of "a" is ten times the work.
  auto endpoint_with_less_work_left_is_preferred() -> void {
    router routes({}, 1);
    const chain large{
        {std::make_shared<endpoint_view>(runner("a", 0, 32)), 0, 32}};
    const chain small{
        {std::make_shared<endpoint_view>(runner("b", 0, 32)), 0, 32}};
    routes.upsert(*large.front().endpoint);
    routes.upsert(*small.front().endpoint);
    routes.dispatch_started(large, false, 0, now_);
    routes.change_work(large, 9);
    for (int i = 0; i < 2; ++i) {
      routes.dispatch_started(small, false, 0, now_);
      const auto chosen = routes.choose(full_chain_request(), now_);
      CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen->front().endpoint->id);
    }
    routes.change_work(large, -9);
    CPPUNIT_ASSERT_EQUAL(
        std::string("a"),
        routes.choose(full_chain_request(), now_)->front().endpoint->id);
  }

  /// The callers' zone has many first stages and no last one.
  auto zone_without_a_layer_hides_no_complete_zone() -> void {
    route_options options;
    options.zone = "z1";
    options.remote_zone_penalty = milliseconds(15);
    router routes(options, 1);
    routes.set_cross_zone_rate(0);
    for (int i = 0; i < 8; ++i)
      routes.upsert(runner("near" + std::to_string(i), 0, 16, "z1"));
    for (int i = 0; i < 2; ++i) {
      const auto number = std::to_string(i);
      routes.upsert(runner("first" + number, 0, 16, "z2"));
      routes.upsert(runner("last" + number, 16, 32, "z2"));
    }
    for (int i = 0; i < 20; ++i) {
      const auto stages = routes.choose(request_with_activations(), now_);
      CPPUNIT_ASSERT(stages);
      CPPUNIT_ASSERT_EQUAL(std::string("z2"), stages->front().endpoint->zone);
    }
  }

  auto cross_zone_chains_stop_without_link_credit() -> void {
    const auto routes = router_with_incomplete_zone({});
    routes->remove("b");  // only cross-zone chains are left
    CPPUNIT_ASSERT(!routes->choose(request_with_activations(), now_));
    routes->set_cross_zone_rate(50);
    now_ += std::chrono::seconds(1);
    int chosen_chains = 0;
    for (int i = 0; i < 4; ++i)
      chosen_chains += routes->choose(request_with_activations(), now_) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(2, chosen_chains);
    now_ += std::chrono::seconds(1);
    CPPUNIT_ASSERT(
        routes->choose(request_with_activations(), now_).has_value());
  }

  auto full_kv_cache_takes_no_requests() -> void {
    router routes({}, 1);
    auto full = runner("a", 0, 32);
    full.kv_utilization = 0.95;
    routes.upsert(full);
    CPPUNIT_ASSERT(!routes.choose(full_chain_request(), now_));
    full.kv_utilization = 0.5;
    routes.upsert(full);
    CPPUNIT_ASSERT(routes.choose(full_chain_request(), now_).has_value());
  }

  auto prefers_endpoints_with_free_kv_cache() -> void {
    router routes({}, 1);
    auto filled = runner("a", 0, 32);
    filled.kv_utilization = 0.8;
    routes.upsert(filled);
    routes.upsert(runner("b", 0, 32));
    CPPUNIT_ASSERT_EQUAL(
        std::string("b"),
        routes.choose(full_chain_request(), now_)->front().endpoint->id);
  }

  auto slow_runner_is_avoided() -> void {
    router routes({}, 1);
    auto slow = runner("a", 0, 32);
    slow.slowdown = 5;
    routes.upsert(slow);
    routes.upsert(runner("b", 0, 32));
    for (int i = 0; i < 3; ++i) {
      const auto stages = routes.choose(full_chain_request(), now_);
      CPPUNIT_ASSERT_EQUAL(std::string("b"), stages->front().endpoint->id);
      routes.dispatch_started(*stages, false, 0, now_);
    }
  }

  /// A single refusal is a short lack of capacity, but an endpoint that refuses
  /// every request is about to leave.
  auto consecutive_refusals_back_off() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 32));
    int sent = 0;
    for (int ms = 0; ms < 2000; ++ms) {
      now_ += milliseconds(1);
      const auto stages = routes.choose(full_chain_request(), now_);
      if (!stages) continue;
      ++sent;
      routes.dispatch_started(*stages, false, 0, now_);
      routes.dispatch_ended(*stages, false, dispatch_result::refused, "a",
                            now_);
    }
    CPPUNIT_ASSERT(sent < 15);
  }

  auto failed_stage_is_replaced_and_others_are_kept() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 10));
    routes.upsert(runner("b", 10, 20));
    routes.upsert(runner("c", 20, 32));
    const auto stages = *routes.choose(full_chain_request(), now_);
    routes.remove("b");
    CPPUNIT_ASSERT(
        !routes.replace_stage(stages, "b", full_chain_request(), now_));
    routes.upsert(runner("d", 8, 15));
    routes.upsert(runner("e", 12, 24));
    const auto repaired =
        routes.replace_stage(stages, "b", full_chain_request(), now_);
    CPPUNIT_ASSERT(repaired && covers(*repaired, 32));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), repaired->front().endpoint->id);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), repaired->back().endpoint->id);
    std::set<std::string> ids;
    for (const auto& stage : *repaired)
      CPPUNIT_ASSERT(ids.insert(stage.endpoint->id).second);
  }

  auto covers_all_layers_without_gap_or_overlap() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 16));
    routes.upsert(runner("b", 16, 32));
    const auto stages = routes.choose(full_chain_request(), now_);
    CPPUNIT_ASSERT(stages && covers(*stages, 32));
  }

  auto no_chain_when_a_layer_has_no_holder() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 16));
    routes.upsert(runner("b", 17, 32));
    CPPUNIT_ASSERT(!routes.choose(full_chain_request(), now_));
  }

  auto overlapping_ranges_are_trimmed() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 20));
    routes.upsert(runner("b", 10, 32));
    const auto stages = routes.choose(full_chain_request(), now_);
    CPPUNIT_ASSERT(stages && covers(*stages, 32));
    CPPUNIT_ASSERT_EQUAL(20, (*stages)[1].from);
  }

  auto prefers_idle_and_near_endpoints() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 16, "z1"));
    routes.upsert(runner("far", 16, 32, "z2"));
    routes.upsert(runner("near", 16, 32, "z1"));
    const auto first = routes.choose(full_chain_request(), now_);
    CPPUNIT_ASSERT_EQUAL(std::string("near"), (*first)[1].endpoint->id);
    for (int i = 0; i < 3; ++i)
      routes.dispatch_started({(*first)[1]}, false, 0, now_);
    const auto second = routes.choose(full_chain_request(), now_);
    CPPUNIT_ASSERT_EQUAL(std::string("far"), (*second)[1].endpoint->id);
  }

  auto learns_that_an_endpoint_is_slow() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 32));
    routes.upsert(runner("slow", 0, 32));
    const auto stages = routes.choose(full_chain_request(), now_);
    for (int i = 0; i < 10; ++i) {
      routes.learn({{"slow", 0, milliseconds(10), {}}}, *stages, now_);
      routes.learn({{"a", 0, milliseconds(1), {}}}, *stages, now_);
    }
    for (int i = 0; i < 10; ++i)
      CPPUNIT_ASSERT_EQUAL(
          std::string("a"),
          (*routes.choose(full_chain_request(), now_))[0].endpoint->id);
  }

  auto window_limits_outstanding_requests() -> void {
    router routes({}, 1);
    routes.set_vm_count(2);
    routes.upsert(runner("a", 0, 32));
    for (int i = 0; i < 2; ++i) {
      const auto stages = routes.choose(full_chain_request(), now_);
      CPPUNIT_ASSERT(stages.has_value());
      routes.dispatch_started(*stages, false, 0, now_);
    }
    CPPUNIT_ASSERT(!routes.choose(full_chain_request(), now_));
  }

  auto window_grows_while_it_is_the_limit() -> void {
    router routes({}, 1);
    routes.set_vm_count(4);
    routes.upsert(runner("a", 0, 32));
    std::size_t window = 0;
    for (int i = 0; i < 10; ++i) {
      std::vector<chain> running;
      while (auto stages = routes.choose(full_chain_request(), now_)) {
        routes.dispatch_started(*stages, false, 0, now_);
        running.push_back(*stages);
      }
      window = running.size();
      for (const auto& stages : running)
        routes.dispatch_ended(stages, false, dispatch_result::served, "", now_);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, window);
  }

  auto crashed_endpoint_is_ejected_immediately() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 32));
    routes.upsert(runner("b", 0, 32));
    const chain stages{
        {std::make_shared<endpoint_view>(runner("a", 0, 32)), 0, 32}};
    const auto chosen = routes.choose(full_chain_request(), now_);
    routes.dispatch_started(*chosen, false, 0, now_);
    const auto id = (*chosen)[0].endpoint->id;
    routes.dispatch_ended(*chosen, false, dispatch_result::down, id, now_);
    for (int i = 0; i < 10; ++i)
      CPPUNIT_ASSERT(
          id != (*routes.choose(full_chain_request(), now_))[0].endpoint->id);
    const auto later = now_ + std::chrono::seconds(2);
    std::set<std::string> chosen_ids;
    for (int i = 0; i < 20; ++i)
      chosen_ids.insert(
          (*routes.choose(full_chain_request(), later))[0].endpoint->id);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chosen_ids.size());
  }

  auto fail_all(router& routes, int rounds) -> void {
    for (int i = 0; i < rounds; ++i) {
      const auto stages = routes.choose(full_chain_request(), now_);
      if (!stages) continue;
      routes.dispatch_started(*stages, false, 0, now_);
      routes.dispatch_ended(*stages, false, dispatch_result::failed,
                            (*stages)[0].endpoint->id, now_);
    }
  }

  auto failures_eject_a_limited_share() -> void {
    router routes({}, 1);
    for (int i = 0; i < 10; ++i)
      routes.upsert(runner("r" + std::to_string(i), 0, 32));
    fail_all(routes, 500);
    std::set<std::string> chosen_ids;
    for (int i = 0; i < 300; ++i)
      chosen_ids.insert(
          (*routes.choose(full_chain_request(), now_))[0].endpoint->id);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, chosen_ids.size());
  }

  auto endpoint_without_a_listener_is_tried_again_at_once() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 32));
    auto sent = 0;
    for (int ms = 0; ms < 2000; ++ms) {
      now_ += milliseconds(1);
      const auto stages =
          routes.choose_with_fallback(full_chain_request(), now_);
      if (!stages) continue;
      ++sent;
      routes.dispatch_started(*stages, false, 0, now_);
      routes.dispatch_ended(*stages, false, dispatch_result::down, "a", now_);
    }
    CPPUNIT_ASSERT(sent > 5);
    CPPUNIT_ASSERT(sent < 40);
  }

  auto ejected_endpoint_is_used_if_a_layer_has_no_other_holder() -> void {
    router routes({}, 1);
    routes.upsert(runner("only", 0, 32));
    fail_all(routes, 3);
    CPPUNIT_ASSERT(routes.choose(full_chain_request(), now_).has_value());
  }

  /// A stall does not tell which stage caused it. The endpoint that stalls
  /// every chain is ejected, while the others also serve requests successfully.
  auto endpoint_that_stalls_each_chain_is_ejected() -> void {
    router routes({}, 1);
    for (int i = 0; i < 4; ++i) {
      routes.upsert(runner("head-" + std::to_string(i), 0, 16));
      routes.upsert(runner("tail-" + std::to_string(i), 16, 32));
    }
    const auto is_stalled = [](const chain& stages) {
      return stages[0].endpoint->id == "head-0";
    };
    int stalls = 0;
    for (int i = 0; i < 200; ++i) {
      const auto stages = *routes.choose(full_chain_request(), now_);
      routes.dispatch_started(stages, false, 0, now_);
      stalls += is_stalled(stages) ? 1 : 0;
      routes.dispatch_ended(stages, false,
                            is_stalled(stages) ? dispatch_result::stalled
                                               : dispatch_result::served,
                            "", now_);
    }
    CPPUNIT_ASSERT_EQUAL(3, stalls);
  }

  auto poison_suspects_do_not_share_an_endpoint() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 32));
    auto suspect = full_chain_request();
    suspect.poison_suspect = true;
    const auto stages = routes.choose(suspect, now_);
    routes.dispatch_started(*stages, true, 0, now_);
    CPPUNIT_ASSERT(!routes.choose(suspect, now_));
    CPPUNIT_ASSERT(routes.choose(full_chain_request(), now_).has_value());
  }

  auto removed_endpoint_gets_no_requests() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 32));
    routes.remove("a");
    CPPUNIT_ASSERT(!routes.choose(full_chain_request(), now_));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, routes.size());
  }

  auto late_result_of_an_earlier_incarnation_is_ignored() -> void {
    router routes({}, 1);
    routes.upsert(runner("a", 0, 32));
    const auto stages = *routes.choose(full_chain_request(), now_);
    auto restarted = runner("a", 0, 32);
    restarted.incarnation = "2";
    routes.upsert(restarted);
    routes.dispatch_ended(stages, false, dispatch_result::down, "a", now_);
    CPPUNIT_ASSERT(routes.choose(full_chain_request(), now_).has_value());
  }

  auto fuzz_chains() -> void {
    check_property("a chain covers every layer with known endpoints", [] {
      router routes({}, 7);
      std::set<std::string> known_ids;
      instant now(std::chrono::seconds(1));
      std::vector<chain> running;
      for (const auto code : *step_codes()) {
        now += milliseconds(code % 20);
        const auto id = "r" + std::to_string(code / 20 % 24);
        switch (code / 480 % 6) {
          case 0: {
            const auto first = static_cast<std::int32_t>(code / 3000 % 4) * 8;
            routes.upsert(runner(id, first, first + 8));
            known_ids.insert(id);
            break;
          }
          case 1:
            if (code % 3 != 0) break;
            routes.remove(id);
            known_ids.erase(id);
            break;
          case 2:
            if (running.empty()) break;
            routes.dispatch_ended(running.back(), false,
                                  static_cast<dispatch_result>(code / 3000 % 6),
                                  id, now);
            running.pop_back();
            break;
          default: {
            const auto stages = routes.choose(full_chain_request(), now);
            if (!stages) break;
            RC_ASSERT(covers(*stages, 32));
            for (const auto& stage : *stages)
              RC_ASSERT(known_ids.count(stage.endpoint->id) == 1U);
            routes.dispatch_started(*stages, false, 0, now);
            running.push_back(*stages);
          }
        }
        RC_ASSERT(routes.size() == known_ids.size());
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_test);

}  // namespace pollenloft::test
