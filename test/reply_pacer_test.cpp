#include "reply_pacer.hpp"

#include <algorithm>

#include "property.hpp"

namespace pollenloft::test {
namespace {

const socket_address server_address{"127.0.9.31", 18111};

}  // namespace

class reply_pacer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(reply_pacer_test);
  CPPUNIT_TEST(large_replies_do_not_exceed_the_budget);
  CPPUNIT_TEST(small_replies_do_not_wait_behind_large_ones);
  CPPUNIT_TEST(replies_to_disconnected_callers_cost_nothing);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t large_bytes = 200000;

  event_loop loop_;
  reply_pacer pacer_{loop_, 1e6};
  http_client client_{loop_};
  std::unique_ptr<http_server> server_;
  std::vector<std::size_t> received_;

  auto request(std::size_t bytes) -> pending_call_ptr {
    http_call call{server_address, "POST", "/"};
    call.body = std::to_string(bytes);
    return client_.send(call,
                        {{}, {}, [this](const auto& /*result*/, auto body) {
                           received_.push_back(body.size());
                         }});
  }

  auto run_for(duration time) -> void {
    const auto stop = loop_.after(time, [this] { loop_.stop(); });
    loop_.run();
  }

 public:
  auto setUp() -> void override {
    server_ = std::make_unique<http_server>(
        loop_, http_limits{}, [this](const exchange_ptr& call) {
          const auto bytes = std::stoul(call->request().body);
          pacer_.send(call, {}, std::string(bytes, 'x'));
        });
    CPPUNIT_ASSERT(server_->listen(server_address));
  }

  auto tearDown() -> void override { server_.reset(); }

  auto large_replies_do_not_exceed_the_budget() -> void {
    constexpr double rate = 1e6;
    constexpr double burst = 50000;
    constexpr std::size_t reply_bytes = 32000;
    send_budget budget(rate, burst);
    auto now = boottime_clock::now();
    const auto start = now;
    double sent = 0;
    while (now - start < std::chrono::seconds(2)) {
      if (const auto delay = budget.delay(now); delay > duration::zero()) {
        now += delay;
        continue;
      }
      budget.charge(reply_bytes);
      sent += reply_bytes;
      const auto elapsed = std::chrono::duration<double>(now - start).count();
      CPPUNIT_ASSERT(sent <= rate * elapsed + burst + reply_bytes);
    }
    CPPUNIT_ASSERT(sent > 1.9 * rate);
  }

  auto small_replies_do_not_wait_behind_large_ones() -> void {
    for (int i = 0; i < 4; ++i)
      request(large_bytes);
    request(100);
    run_for(milliseconds(100));
    CPPUNIT_ASSERT(std::find(received_.begin(), received_.end(), 100U) !=
                   received_.end());
    CPPUNIT_ASSERT(received_.size() < 4);
    run_for(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, received_.size());
  }

  auto replies_to_disconnected_callers_cost_nothing() -> void {
    request(large_bytes);
    std::vector<pending_call_ptr> abandoned;
    for (int i = 0; i < 20; ++i)
      abandoned.push_back(request(large_bytes));
    run_for(milliseconds(30));
    for (const auto& call : abandoned)
      call->cancel();
    run_for(milliseconds(30));
    request(large_bytes);
    run_for(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pacer_.queued());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reply_pacer_test);

}  // namespace pollenloft::test
