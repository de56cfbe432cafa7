#include "entry_server.hpp"

#include "property.hpp"

namespace pollenloft::test {
namespace {

const socket_address entry_address{"127.0.9.20", 18101};
const socket_address control_address{"127.0.9.21", 18102};

}  // namespace

class entry_server_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(entry_server_test);
  CPPUNIT_TEST(second_shutdown_restarts_the_drain_notice);
  CPPUNIT_TEST(repeated_termination_ends_open_requests);
  CPPUNIT_TEST(request_is_accepted_after_a_second_shutdown);
  CPPUNIT_TEST(configuration_makes_a_vm_ready_that_shuts_down);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  std::unique_ptr<entry_server> server_;
  timer reply_timer_;
  int ended_ = 0;

 public:
  auto setUp() -> void override {
    entry_options options;
    options.vm = "vm";
    options.zone = "z";
    options.listen = entry_address;
    options.control = {control_address};
    options.drain_notice = milliseconds(1500);
    auto request_chart =
        chart::load(std::string(POLLENLOFT_ROOT) + "/charts/request.json",
                    request_chart_names());
    server_ = std::make_unique<entry_server>(loop_, options,
                                             std::move(*request_chart));
    server_->ending_open_requests.connect([this] { ++ended_; });
    CPPUNIT_ASSERT(server_->start());
  }
  auto tearDown() -> void override { server_.reset(); }

  auto wait(duration time) -> void {
    const auto end = loop_.after(time, [this] { loop_.stop(); });
    loop_.run();
  }

  auto second_shutdown_restarts_the_drain_notice() -> void {
    server_->shut_down();
    wait(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(0, ended_);
    const auto second = boottime_clock::now();
    server_->shut_down_now();
    CPPUNIT_ASSERT_EQUAL(1, ended_);
    loop_.run();
    CPPUNIT_ASSERT(boottime_clock::now() - second < milliseconds(1000));
  }

  auto repeated_termination_ends_open_requests() -> void {
    const auto first = boottime_clock::now();
    server_->shut_down();
    wait(milliseconds(1000));
    server_->shut_down();
    CPPUNIT_ASSERT_EQUAL(0, ended_);
    loop_.run();
    CPPUNIT_ASSERT_EQUAL(0, ended_);
    const auto elapsed = boottime_clock::now() - first;
    CPPUNIT_ASSERT(elapsed >= milliseconds(1500));
    CPPUNIT_ASSERT(elapsed < milliseconds(2500));
  }

  auto request_is_accepted_after_a_second_shutdown() -> void {
    server_->shut_down();
    server_->shut_down_now();
    http_client caller(loop_);
    std::optional<call_result> outcome;
    caller.send({entry_address, "GET", "/healthz"},
                {{}, {}, [&](const auto& result, auto) { outcome = result; }});
    wait(milliseconds(100));
    CPPUNIT_ASSERT(outcome && std::holds_alternative<call_unsent>(*outcome));
  }

  auto configuration_makes_a_vm_ready_that_shuts_down() -> void {
    http_server leader(loop_, http_limits{}, [this](const auto& call) {
      wire::renew_reply reply;
      reply.granted = true;
      reply.leader = control_address.text();
      reply.lease_ms = 1000;
      reply.term = 1;
      reply_timer_ = loop_.after(milliseconds(10), [call, reply] {
        call->reply(200, {}, encode_wire(reply));
      });
    });
    server_->shut_down();
    CPPUNIT_ASSERT(leader.listen(control_address));
    wait(milliseconds(200));
    CPPUNIT_ASSERT(server_->control().lease_valid());
    http_client caller(loop_);
    int status = 0;
    caller.send({entry_address, "GET", "/readyz"},
                {[&](int code, const auto&) { status = code; }, {}, {}});
    wait(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(503, status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_server_test);

}  // namespace pollenloft::test
