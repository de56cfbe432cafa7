#include "pollenloft/admission.hpp"

#include "property.hpp"

namespace pollenloft::test {

class admission_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admission_test);
  CPPUNIT_TEST(serves_in_order_within_an_account);
  CPPUNIT_TEST(shares_by_weight_and_cost);
  CPPUNIT_TEST(heavy_backlog_does_not_delay_a_small_account);
  CPPUNIT_TEST(lower_priority_number_goes_first);
  CPPUNIT_TEST(refuses_requests_that_cannot_meet_their_deadline);
  CPPUNIT_TEST(full_queue_evicts_from_the_longest);
  CPPUNIT_TEST(retry_times_are_jittered);
  CPPUNIT_TEST(rate_limit_throttles_an_account);
  CPPUNIT_TEST(rate_limit_starves_a_heavy_account_below_its_share);
  CPPUNIT_TEST(rate_limit_stays_below_the_share_after_others_are_served);
  CPPUNIT_TEST(removing_twice_has_no_effect);
  CPPUNIT_TEST(fuzz_conserves_requests);
  CPPUNIT_TEST_SUITE_END();

  instant now_{std::chrono::seconds(100)};
  request_id last_id_ = 0;

  auto request(const std::string& account, double cost = 10, double weight = 1,
               std::int32_t priority = 1) -> queued_request {
    return {++last_id_, account, weight,
            priority,   cost,    now_ + std::chrono::seconds(10)};
  }

  static auto dispatch_next(fair_queue& queue) -> request_id {
    const auto id = *queue.peek();
    queue.remove(id, true);
    return id;
  }

  /// Lets the queue measure a drain rate of `rate` tokens/s.
  auto train_drain_rate(fair_queue& queue, double rate) -> void {
    for (int i = 0; i < 20; ++i) {
      queue.record_completion(rate / 2, now_);
      now_ += milliseconds(500);
    }
  }

 public:
  auto serves_in_order_within_an_account() -> void {
    fair_queue queue({}, 1);
    for (int i = 0; i < 3; ++i)
      queue.offer(request("a"), now_);
    CPPUNIT_ASSERT_EQUAL(request_id{1}, dispatch_next(queue));
    CPPUNIT_ASSERT_EQUAL(request_id{2}, dispatch_next(queue));
    CPPUNIT_ASSERT_EQUAL(request_id{3}, dispatch_next(queue));
    CPPUNIT_ASSERT(!queue.peek());
  }

  auto shares_by_weight_and_cost() -> void {
    fair_queue queue({}, 1);
    std::map<request_id, std::string> account_by_id;
    for (int i = 0; i < 200; ++i)
      for (const auto& [name, cost, weight] :
           {std::tuple("a", 10.0, 3.0), std::tuple("b", 20.0, 1.0)}) {
        const auto queued = request(name, cost, weight);
        account_by_id[queued.id] = name;
        queue.offer(queued, now_);
      }
    std::map<std::string, double> served;
    for (int i = 0; i < 140; ++i) {
      const auto id = dispatch_next(queue);
      served[account_by_id[id]] += account_by_id[id] == "a" ? 10 : 20;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, served["a"] / served["b"], 0.3);
  }

  auto heavy_backlog_does_not_delay_a_small_account() -> void {
    fair_queue queue({}, 1);
    for (int i = 0; i < 500; ++i)
      queue.offer(request("heavy"), now_);
    dispatch_next(queue);
    const auto small = request("small");
    queue.offer(small, now_);
    auto turns = 1;
    while (dispatch_next(queue) != small.id)
      ++turns;
    CPPUNIT_ASSERT(turns <= 2);
  }

  auto lower_priority_number_goes_first() -> void {
    fair_queue queue({}, 1);
    queue.offer(request("a", 10, 1, 2), now_);
    const auto urgent = request("b", 10, 1, 0);
    queue.offer(urgent, now_);
    CPPUNIT_ASSERT_EQUAL(urgent.id, dispatch_next(queue));
  }

  auto refuses_requests_that_cannot_meet_their_deadline() -> void {
    fair_queue queue({}, 1);
    train_drain_rate(queue, 100);
    int refusals = 0;
    for (int i = 0; i < 200; ++i)
      refusals +=
          std::holds_alternative<refused>(queue.offer(request("a"), now_)) ? 1
                                                                           : 0;
    // The deadline is 10 s away and a wait may take 9 s of it. 100 tokens/s
    // serve 90 requests of 10 tokens in that time.
    CPPUNIT_ASSERT(refusals >= 105 && refusals <= 115);
    // Another account does not queue behind that backlog.
    CPPUNIT_ASSERT(
        std::holds_alternative<admitted>(queue.offer(request("b"), now_)));
  }

  auto full_queue_evicts_from_the_longest() -> void {
    admission_options options;
    options.max_queued = 20;
    fair_queue queue(options, 1);
    for (int i = 0; i < 20; ++i)
      queue.offer(request("heavy"), now_);
    CPPUNIT_ASSERT(
        std::holds_alternative<refused>(queue.offer(request("heavy"), now_)));
    const auto result = queue.offer(request("small"), now_);
    CPPUNIT_ASSERT_EQUAL(request_id{20}, *std::get<admitted>(result).evicted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, queue.size());
  }

  auto retry_times_are_jittered() -> void {
    fair_queue queue({}, 1);
    milliseconds min_delay = std::chrono::hours(1);
    milliseconds max_delay{0};
    for (int i = 0; i < 100; ++i) {
      const auto delay = queue.retry_after(std::chrono::seconds(1));
      min_delay = std::min(min_delay, delay);
      max_delay = std::max(max_delay, delay);
    }
    CPPUNIT_ASSERT(min_delay >= milliseconds(1000) &&
                   min_delay < milliseconds(1200));
    CPPUNIT_ASSERT(max_delay > milliseconds(1800) &&
                   max_delay <= milliseconds(2000));
  }

  auto rate_limit_throttles_an_account() -> void {
    fair_queue queue({}, 1);
    queue.set_rate_limit("heavy", 100, now_);
    for (int i = 0; i < 10; ++i)
      queue.offer(request("heavy", 50), now_);
    CPPUNIT_ASSERT(!queue.peek());
    now_ += milliseconds(100);
    queue.refill_rate_limits(now_);
    dispatch_next(queue);
    CPPUNIT_ASSERT(!queue.peek());
    queue.set_rate_limit("heavy", 0, now_);
    CPPUNIT_ASSERT(queue.peek());
  }

  auto rate_limit_starves_a_heavy_account_below_its_share() -> void {
    const std::vector<account_load> loads{{"heavy", 4, 5600, 10000},
                                          {"small", 9, 4800, 50}};
    const auto share = fair_share_of(loads, 4);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3200, share, 1);
    // Completions that come late make the used rate fall.
    auto limit = 0.0;
    for (const auto used : {5600.0, 700.0, 0.0, 0.0, 900.0, 300.0, 0.0})
      limit = lowered_rate_limit({limit, used, share});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(share, limit, 1);
  }

  auto rate_limit_stays_below_the_share_after_others_are_served() -> void {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, raised_rate_limit({50, 40, 200}), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(315, raised_rate_limit({300, 200, 200}), 1e-9);
    CPPUNIT_ASSERT_EQUAL(0.0, raised_rate_limit({0, 40, 200}));
    CPPUNIT_ASSERT_EQUAL(0.0, raised_rate_limit({1000, 40, 200}));
  }

  auto removing_twice_has_no_effect() -> void {
    fair_queue queue({}, 1);
    queue.offer(request("a"), now_);
    queue.remove(1, false);
    queue.remove(1, false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
  }

  /// The oracle is the set of queued requests.
  auto fuzz_conserves_requests() -> void {
    check_property("every request is queued, dispatched or evicted", [] {
      admission_options options;
      options.max_queued = 12;
      fair_queue queue(options, 1);
      std::set<request_id> queued;
      instant now(std::chrono::seconds(1));
      request_id last_id = 0;
      for (const auto code : *step_codes()) {
        now += milliseconds(code % 50);
        if (code % 3 != 0) {
          const queued_request offered{++last_id,
                                       "a" + std::to_string(code / 3 % 5),
                                       1.0 + code / 15 % 3,
                                       static_cast<std::int32_t>(code / 45 % 2),
                                       1.0 + code / 90 % 40,
                                       now + milliseconds(code / 100 % 3000)};
          const auto result = queue.offer(offered, now);
          if (const auto* accepted = std::get_if<admitted>(&result)) {
            queued.insert(offered.id);
            if (accepted->evicted)
              RC_ASSERT(queued.erase(*accepted->evicted) == 1U);
          }
        } else if (const auto id = queue.peek()) {
          RC_ASSERT(queued.erase(*id) == 1U);
          queue.remove(*id, true);
          queue.record_completion(10, now);
        }
        RC_ASSERT(queue.size() == queued.size());
        RC_ASSERT(queue.size() <= options.max_queued);
        RC_ASSERT(queue.peek().has_value() == !queued.empty());
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

}  // namespace pollenloft::test
