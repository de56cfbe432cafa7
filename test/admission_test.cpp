#include "pollenloft/admission.hpp"

#include "property.hpp"

namespace pollenloft::test {

class admission_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admission_test);
  CPPUNIT_TEST(serves_in_order_within_an_account);
  CPPUNIT_TEST(shares_by_weight_and_cost);
  CPPUNIT_TEST(heavy_backlog_does_not_delay_a_small_account);
  CPPUNIT_TEST(priority_goes_first);
  CPPUNIT_TEST(refuses_what_cannot_meet_its_deadline);
  CPPUNIT_TEST(full_queue_gives_up_the_longest);
  CPPUNIT_TEST(retry_times_are_spread);
  CPPUNIT_TEST(rate_limit_holds_an_account_back);
  CPPUNIT_TEST(removing_twice_is_harmless);
  CPPUNIT_TEST(fuzz_conserves_requests);
  CPPUNIT_TEST_SUITE_END();

  instant now_{std::chrono::seconds(100)};
  request_id next_ = 0;

  auto request(const std::string& account, double cost = 10, double weight = 1,
               std::int32_t priority = 1) -> queued_request {
    return {++next_,  account, weight,
            priority, cost,    now_ + std::chrono::seconds(10)};
  }

  static auto take(fair_queue& queue) -> request_id {
    const auto id = *queue.peek();
    queue.remove(id, true);
    return id;
  }

  /// Makes the queue learn a drain rate in tokens a second.
  auto learn_rate(fair_queue& queue, double rate) -> void {
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
    CPPUNIT_ASSERT_EQUAL(request_id{1}, take(queue));
    CPPUNIT_ASSERT_EQUAL(request_id{2}, take(queue));
    CPPUNIT_ASSERT_EQUAL(request_id{3}, take(queue));
    CPPUNIT_ASSERT(!queue.peek());
  }

  auto shares_by_weight_and_cost() -> void {
    fair_queue queue({}, 1);
    std::map<request_id, std::string> owner;
    for (int i = 0; i < 200; ++i)
      for (const auto& [name, cost, weight] :
           {std::tuple("a", 10.0, 3.0), std::tuple("b", 20.0, 1.0)}) {
        const auto item = request(name, cost, weight);
        owner[item.id] = name;
        queue.offer(item, now_);
      }
    std::map<std::string, double> served;
    for (int i = 0; i < 140; ++i) {
      const auto id = take(queue);
      served[owner[id]] += owner[id] == "a" ? 10 : 20;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, served["a"] / served["b"], 0.3);
  }

  auto heavy_backlog_does_not_delay_a_small_account() -> void {
    fair_queue queue({}, 1);
    for (int i = 0; i < 500; ++i)
      queue.offer(request("heavy"), now_);
    take(queue);
    const auto small = request("small");
    queue.offer(small, now_);
    auto turns = 1;
    while (take(queue) != small.id)
      ++turns;
    CPPUNIT_ASSERT(turns <= 2);
  }

  auto priority_goes_first() -> void {
    fair_queue queue({}, 1);
    queue.offer(request("a", 10, 1, 2), now_);
    const auto urgent = request("b", 10, 1, 0);
    queue.offer(urgent, now_);
    CPPUNIT_ASSERT_EQUAL(urgent.id, take(queue));
  }

  auto refuses_what_cannot_meet_its_deadline() -> void {
    fair_queue queue({}, 1);
    learn_rate(queue, 100);
    int refusals = 0;
    for (int i = 0; i < 200; ++i)
      refusals +=
          std::holds_alternative<refused>(queue.offer(request("a"), now_)) ? 1
                                                                           : 0;
    // 100 tokens a second for 9 of 10 seconds are 90 requests of 10 tokens.
    CPPUNIT_ASSERT(refusals >= 105 && refusals <= 115);
    // Another account does not wait behind that backlog.
    CPPUNIT_ASSERT(
        std::holds_alternative<admitted>(queue.offer(request("b"), now_)));
  }

  auto full_queue_gives_up_the_longest() -> void {
    admission_options options;
    options.max_queued = 20;
    fair_queue queue(options, 1);
    for (int i = 0; i < 20; ++i)
      queue.offer(request("heavy"), now_);
    CPPUNIT_ASSERT(
        std::holds_alternative<refused>(queue.offer(request("heavy"), now_)));
    const auto answer = queue.offer(request("small"), now_);
    CPPUNIT_ASSERT_EQUAL(request_id{20}, *std::get<admitted>(answer).evicted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, queue.size());
  }

  auto retry_times_are_spread() -> void {
    fair_queue queue({}, 1);
    milliseconds least = std::chrono::hours(1);
    milliseconds most{0};
    for (int i = 0; i < 100; ++i) {
      const auto after = queue.retry_after(std::chrono::seconds(1));
      least = std::min(least, after);
      most = std::max(most, after);
    }
    CPPUNIT_ASSERT(least >= milliseconds(1000) && least < milliseconds(1200));
    CPPUNIT_ASSERT(most > milliseconds(1800) && most <= milliseconds(2000));
  }

  auto rate_limit_holds_an_account_back() -> void {
    fair_queue queue({}, 1);
    queue.set_rate_limit("heavy", 100, now_);
    for (int i = 0; i < 10; ++i)
      queue.offer(request("heavy", 50), now_);
    CPPUNIT_ASSERT(!queue.peek());
    now_ += milliseconds(100);
    queue.refill_rate_limits(now_);
    take(queue);
    CPPUNIT_ASSERT(!queue.peek());
    queue.set_rate_limit("heavy", 0, now_);
    CPPUNIT_ASSERT(queue.peek());
  }

  auto removing_twice_is_harmless() -> void {
    fair_queue queue({}, 1);
    queue.offer(request("a"), now_);
    queue.remove(1, false);
    queue.remove(1, false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
  }

  /// The oracle is the plain set of waiting requests.
  auto fuzz_conserves_requests() -> void {
    check_property("every request is queued, dispatched or given up", [] {
      admission_options options;
      options.max_queued = 12;
      fair_queue queue(options, 1);
      std::set<request_id> waiting;
      instant now(std::chrono::seconds(1));
      request_id next = 0;
      for (const auto code : *step_codes()) {
        now += milliseconds(code % 50);
        if (code % 3 != 0) {
          const queued_request item{++next,
                                    "a" + std::to_string(code / 3 % 5),
                                    1.0 + code / 15 % 3,
                                    static_cast<std::int32_t>(code / 45 % 2),
                                    1.0 + code / 90 % 40,
                                    now + milliseconds(code / 100 % 3000)};
          const auto answer = queue.offer(item, now);
          if (const auto* yes = std::get_if<admitted>(&answer)) {
            waiting.insert(item.id);
            if (yes->evicted) RC_ASSERT(waiting.erase(*yes->evicted) == 1U);
          }
        } else if (const auto id = queue.peek()) {
          RC_ASSERT(waiting.erase(*id) == 1U);
          queue.remove(*id, true);
          queue.record_completion(10, now);
        }
        RC_ASSERT(queue.size() == waiting.size());
        RC_ASSERT(queue.size() <= options.max_queued);
        RC_ASSERT(queue.peek().has_value() == !waiting.empty());
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

}  // namespace pollenloft::test
