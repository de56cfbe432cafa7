#include "front_request.hpp"

#include <memory>

#include "property.hpp"

namespace pollenloft::test {
namespace {

const socket_address front_address{"127.0.9.2", 18081};
const socket_address endpoint_address{"127.0.9.3", 18082};
const socket_address unreachable_address{"127.0.9.4", 18083};
const socket_address other_unreachable_address{"127.0.9.4", 18084};

/// A VM that dispatches queued requests immediately.
class test_host : public front_host {
 public:
  explicit test_host(event_loop& loop)
      : loop_(loop),
        client_(loop),
        control_(loop, client_, options_of_control()),
        router_({}, 1),
        reach_(loop, 1),
        relay_(control_, reach_),
        crashes_(loop, guard_, metrics_,
                 [this](const auto& report) { reports.push_back(report); }) {}

  auto loop() -> event_loop& override { return loop_; }
  auto client() -> http_client& override { return client_; }
  auto metrics_registry() -> metrics& override { return metrics_; }
  auto control() -> control_client& override { return control_; }
  auto routes() -> router& override { return router_; }
  auto crashes() -> crash_monitor& override { return crashes_; }
  auto draining() const -> bool override { return false; }
  auto reach() -> reach_monitor& override { return reach_; }
  auto relay() -> vm_relay& override { return relay_; }
  auto enqueue(const front_request_ptr& request, bool /*requeued*/)
      -> void override {
    loop_.post([this, request] {
      if (!request->queued()) return;
      if (before_choosing) before_choosing();
      auto stages =
          router_.choose(request->make_chain_request(), boottime_clock::now());
      if (stages) return request->dispatch(std::move(*stages));
      request->refuse(503, "no endpoint is free", milliseconds(1000));
    });
  }
  auto dequeue(const front_request_ptr& /*request*/) -> void override {}
  auto slot_released(const front_request_ptr& /*request*/, double /*cost*/)
      -> void override {}
  auto request_ended(const front_request_ptr& /*request*/) -> void override {
    ++ended;
    request.reset();
  }

  int ended = 0;
  std::vector<wire::blame_command> reports;
  std::function<void()> before_choosing;
  front_request_ptr request;

 private:
  /// No process listens there.
  static auto options_of_control() -> control_client_options {
    control_client_options options;
    options.replicas = {{"127.0.9.1", 1}};
    return options;
  }

  event_loop& loop_;
  http_client client_;
  control_client control_;
  router router_;
  reach_monitor reach_;
  vm_relay relay_;
  metrics metrics_;
  crash_guard guard_{"1"};
  crash_monitor crashes_;
};

}  // namespace

class front_request_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(front_request_test);
  CPPUNIT_TEST(response_is_forwarded_unchanged);
  CPPUNIT_TEST(error_response_is_forwarded_unchanged);
  CPPUNIT_TEST(non_idempotent_request_is_sent_once);
  CPPUNIT_TEST(failed_connection_uses_no_attempt);
  CPPUNIT_TEST(proven_refusal_carries_retry_after);
  CPPUNIT_TEST(response_to_another_request_is_not_forwarded);
  CPPUNIT_TEST(truncated_response_is_not_a_success);
  CPPUNIT_TEST(stream_resumes_after_the_last_complete_event);
  CPPUNIT_TEST(refused_resumption_is_retried);
  CPPUNIT_TEST(stream_waits_for_the_retry_budget);
  CPPUNIT_TEST(non_resumable_stream_is_aborted);
  CPPUNIT_TEST(missing_event_aborts_the_stream);
  CPPUNIT_TEST(timeout_ends_a_request_immediately);
  CPPUNIT_TEST(caller_disconnect_closes_the_endpoint_call);
  CPPUNIT_TEST(lost_connection_is_recorded_as_a_crash);
  CPPUNIT_TEST(crash_of_a_later_stage_is_not_recorded);
  CPPUNIT_TEST(crash_after_the_first_event_counts_in_full);
  CPPUNIT_TEST(chain_repairs_feed_endpoints_to_a_poison_request);
  CPPUNIT_TEST(stall_of_a_crashed_stage_is_not_recorded);
  CPPUNIT_TEST(endpoints_that_crash_together_count_each);
  CPPUNIT_TEST(endpoint_that_had_crashed_before_counts);
  CPPUNIT_TEST(retry_overtakes_the_record_of_a_crash);
  CPPUNIT_TEST(error_response_drops_the_record_of_a_crash);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  std::unique_ptr<test_host> host_;
  std::optional<chart> chart_;
  retry_budget budget_;
  std::unique_ptr<http_server> front_;
  std::unique_ptr<http_server> endpoint_;
  ingress_route route_;
  std::vector<http_request> received_;  // by the endpoint
  std::function<void(const exchange_ptr&, std::size_t)> endpoint_handler_;
  std::optional<call_result> result_;
  std::string body_;
  http_headers headers_;
  int choices_ = 0;
  timer abort_timer_;
  engine_profile engine_;
  bool use_engine_ = false;
  std::uint64_t fingerprint_ = 1;

 public:
  auto setUp() -> void override {
    chart_ = chart::load(std::string(POLLENLOFT_ROOT) + "/charts/request.json",
                         request_chart_names());
    CPPUNIT_ASSERT(chart_.has_value());
    host_ = std::make_unique<test_host>(loop_);
    front_ = std::make_unique<http_server>(
        loop_, http_limits{},
        [this](const exchange_ptr& call) { start_request(call); });
    endpoint_ = std::make_unique<http_server>(
        loop_, http_limits{}, [this](const exchange_ptr& call) {
          received_.push_back(call->request());
          endpoint_handler_(call, received_.size());
        });
    CPPUNIT_ASSERT(front_->listen(front_address));
    CPPUNIT_ASSERT(endpoint_->listen(endpoint_address));
    add_endpoint("e1", endpoint_address);
    route_ = {};
    route_.name = "r";
    route_.kind = request_kind::non_idempotent;
    route_.timeout = milliseconds(2000);
    route_.latency_objective = milliseconds(200);
    route_.weighted_services = {{"app", 1}};
    budget_ = retry_budget();
    engine_ = {};
    use_engine_ = false;
    fingerprint_ = 1;
    received_.clear();
    result_.reset();
    body_.clear();
  }

  auto tearDown() -> void override {
    endpoint_handler_ = {};
    front_.reset();
    endpoint_.reset();
  }

  /// Aborts after a delay that lets the data sent so far arrive.
  auto abort_soon(const exchange_ptr& call) -> void {
    abort_timer_ = loop_.after(milliseconds(20), [call] { call->abort(); });
  }

  auto add_endpoint(const std::string& id, const socket_address& address)
      -> void {
    host_->routes().upsert({id, "1", address, "", "z", "app", 0, 1, 8});
  }

  auto make_stream(bool resumable) -> void {
    route_.kind = request_kind::stream;
    route_.resumable = resumable;
    route_.max_attempts = 2;
  }

  auto wait_for_reports() -> void {
    const auto end = loop_.after(milliseconds(50), [this] { loop_.stop(); });
    loop_.run();
  }

  auto start_request(const exchange_ptr& call) -> void {
    auto config = std::make_shared<ingress_config>();
    config->routes = {route_};
    front_parameters params;
    params.table = std::make_shared<const route_table>(config);
    params.route = params.table->config().routes.data();
    params.service = "app";
    params.account = "salon";
    if (use_engine_) params.engine = &engine_;
    params.fingerprint = fingerprint_;
    params.headers = platform::decode_caller_headers(call->request().headers);
    params.arrived = boottime_clock::now();
    params.deadline = params.arrived + route_.timeout;
    host_->request = std::make_shared<front_request>(
        *host_, call, std::move(params), *chart_, budget_);
    host_->request->start();
  }

  auto send_request() -> int {
    http_client client(loop_);
    http_call call{front_address, "POST", "/x/1?q=2"};
    call.headers.add("Request-Id", "r1").add("X-Own", "kept");
    call.body = "hello";
    call.timeout = milliseconds(4000);
    call_handlers handlers;
    int status = 0;
    handlers.on_headers = [&](int code, const auto& headers) {
      status = code;
      headers_ = headers;
    };
    handlers.on_data = [&](auto part) { body_ += part; };
    handlers.on_done = [&](const auto& result, auto body) {
      result_ = result;
      body_ += body;
      loop_.stop();
    };
    const auto pending = client.send(call, handlers);
    loop_.run();
    return status;
  }

  auto completed() const -> bool {
    return std::holds_alternative<call_completed>(*result_);
  }

  static auto endpoint_headers() -> http_headers {
    http_headers headers;
    headers.add("Server-Seal", "s").add("Request-Id", "r1");
    return headers;
  }

  static auto event(int id) -> std::string {
    return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
           "\n\n";
  }

  auto response_is_forwarded_unchanged() -> void {
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      call->reply(203, endpoint_headers(), "bytes");
    };
    CPPUNIT_ASSERT_EQUAL(203, send_request());
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), body_);
    CPPUNIT_ASSERT(headers_.find("Server-Seal") == "s");
    const auto& received = received_.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("/x/1?q=2"), received.target);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), received.body);
    CPPUNIT_ASSERT(received.headers.find("X-Own") == "kept");
    CPPUNIT_ASSERT(received.headers.find("Tenant") == "salon");
    CPPUNIT_ASSERT(received.headers.find("Expect-Instance") == "e1");
    const auto deadline_remaining_ms =
        parse_number(*received.headers.find("Deadline-Ms"));
    CPPUNIT_ASSERT(deadline_remaining_ms && *deadline_remaining_ms <= 2000 &&
                   *deadline_remaining_ms > 1500);
  }

  auto error_response_is_forwarded_unchanged() -> void {
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      call->reply(500, endpoint_headers(), "broken");
    };
    CPPUNIT_ASSERT_EQUAL(500, send_request());
    CPPUNIT_ASSERT_EQUAL(std::string("broken"), body_);
    CPPUNIT_ASSERT(headers_.find("Server-Seal") == "s");
  }

  auto non_idempotent_request_is_sent_once() -> void {
    endpoint_handler_ = [](const exchange_ptr& call, auto) { call->abort(); };
    CPPUNIT_ASSERT_EQUAL(502, send_request());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_.size());
    CPPUNIT_ASSERT(!headers_.find("Retry-After"));
  }

  auto failed_connection_uses_no_attempt() -> void {
    host_->routes().remove("e1");
    add_endpoint("e2", unreachable_address);
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      call->reply(200, endpoint_headers(), "ok");
    };
    route_.max_attempts = 1;
    host_->before_choosing = [this] {
      // The router ejects the unreachable endpoint. Another endpoint exists
      // when it chooses again.
      if (++choices_ == 2) add_endpoint("e1", endpoint_address);
    };
    CPPUNIT_ASSERT_EQUAL(200, send_request());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_.size());
  }

  auto proven_refusal_carries_retry_after() -> void {
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      auto headers = endpoint_headers();
      headers.add("Not-Executed", "1");
      call->reply(503, headers, "full");
    };
    CPPUNIT_ASSERT_EQUAL(503, send_request());
    CPPUNIT_ASSERT(headers_.find("Retry-After").has_value());
    CPPUNIT_ASSERT(!headers_.find("Server-Seal"));
  }

  auto response_to_another_request_is_not_forwarded() -> void {
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      http_headers headers;
      headers.add("Server-Seal", "s").add("Request-Id", "r0");
      call->reply(200, headers, "not yours");
    };
    CPPUNIT_ASSERT_EQUAL(502, send_request());
    CPPUNIT_ASSERT(body_.find("not yours") == std::string::npos);
  }

  auto truncated_response_is_not_a_success() -> void {
    endpoint_handler_ = [this](const exchange_ptr& call, auto) {
      call->start(200, endpoint_headers());
      call->chunk("half");
      abort_soon(call);
    };
    CPPUNIT_ASSERT_EQUAL(502, send_request());
    CPPUNIT_ASSERT(body_.find("half") == std::string::npos);
  }

  auto stream_resumes_after_the_last_complete_event() -> void {
    make_stream(true);
    add_endpoint("e2", endpoint_address);
    endpoint_handler_ = [this](const exchange_ptr& call,
                               std::size_t call_number) {
      call->start(200, endpoint_headers());
      if (call_number == 1) {
        call->chunk(event(1) + event(2) + "id: 3\nda");
        return abort_soon(call);
      }
      call->chunk(event(2) + event(3) + event(4));
      call->end();
    };
    CPPUNIT_ASSERT_EQUAL(200, send_request());
    CPPUNIT_ASSERT(completed());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4), body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received_.size());
    CPPUNIT_ASSERT(received_[1].headers.find("Last-Event-Id") == "2");
  }

  /// Guards against aborting a stream when the runner that should resume it
  /// refuses.
  auto refused_resumption_is_retried() -> void {
    make_stream(true);
    add_endpoint("e2", endpoint_address);
    add_endpoint("e3", endpoint_address);
    endpoint_handler_ = [this](const exchange_ptr& call,
                               std::size_t call_number) {
      if (call_number == 2) {
        auto refusal = endpoint_headers();
        refusal.add("Not-Executed", "1");
        return call->reply(503, refusal, "full");
      }
      call->start(200, endpoint_headers());
      call->chunk(event(static_cast<int>(call_number == 1 ? 1 : 2)));
      if (call_number == 1) return abort_soon(call);
      call->end();
    };
    CPPUNIT_ASSERT_EQUAL(200, send_request());
    CPPUNIT_ASSERT(completed());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, received_.size());
  }

  /// Guards against aborting streams that cannot be resumed at once because the
  /// replacement of runners has used up the retry budget.
  auto stream_waits_for_the_retry_budget() -> void {
    make_stream(true);
    add_endpoint("e2", endpoint_address);
    budget_ = retry_budget(0.5, 1);
    budget_.try_withdraw();
    endpoint_handler_ = [this](const exchange_ptr& call,
                               std::size_t call_number) {
      call->start(200, endpoint_headers());
      call->chunk(event(static_cast<int>(call_number)));
      if (call_number == 1) return abort_soon(call);
      call->end();
    };
    const auto deposit_timer = loop_.every(milliseconds(100), [this] {
      CPPUNIT_ASSERT(!result_.has_value());
      budget_.deposit();
    });
    CPPUNIT_ASSERT_EQUAL(200, send_request());
    CPPUNIT_ASSERT(completed());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
  }

  auto non_resumable_stream_is_aborted() -> void {
    make_stream(false);
    endpoint_handler_ = [this](const exchange_ptr& call, auto) {
      call->start(200, endpoint_headers());
      call->chunk(event(1));
      abort_soon(call);
    };
    CPPUNIT_ASSERT_EQUAL(200, send_request());
    CPPUNIT_ASSERT(!completed());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_.size());
  }

  auto missing_event_aborts_the_stream() -> void {
    make_stream(false);
    endpoint_handler_ = [](const exchange_ptr& call, auto) {
      call->start(200, endpoint_headers());
      call->chunk(event(1) + event(3));
      call->end();
    };
    send_request();
    CPPUNIT_ASSERT(!completed());
    CPPUNIT_ASSERT_EQUAL(event(1), body_);
  }

  auto timeout_ends_a_request_immediately() -> void {
    route_.timeout = milliseconds(200);
    exchange_ptr endpoint_call;
    endpoint_handler_ = [&](const exchange_ptr& call, auto) {
      endpoint_call = call;
    };
    const auto sent = boottime_clock::now();
    CPPUNIT_ASSERT_EQUAL(504, send_request());
    CPPUNIT_ASSERT(boottime_clock::now() - sent < milliseconds(700));
  }

  auto caller_disconnect_closes_the_endpoint_call() -> void {
    exchange_ptr endpoint_call;
    auto closed = false;
    http_client client(loop_);
    pending_call_ptr pending;
    endpoint_handler_ = [&](const exchange_ptr& call, auto) {
      endpoint_call = call;
      endpoint_call->closed().connect([&] {
        closed = true;
        loop_.stop();
      });
      pending->cancel();
    };
    http_call call{front_address, "POST", "/x/1"};
    pending = client.send(call, {});
    const auto stop_timer =
        loop_.after(milliseconds(500), [this] { loop_.stop(); });
    loop_.run();
    CPPUNIT_ASSERT(closed);
    CPPUNIT_ASSERT_EQUAL(1, host_->ended);
  }

  /// Closes connection and listener of the endpoint.
  auto crash_endpoint(const exchange_ptr& call) -> void {
    call->abort();
    loop_.post([this] { endpoint_->close_listener(); });
  }

  auto lost_connection_is_recorded_as_a_crash() -> void {
    endpoint_handler_ = [](const auto& call, auto) { call->abort(); };
    CPPUNIT_ASSERT_EQUAL(502, send_request());
    wait_for_reports();
    CPPUNIT_ASSERT(host_->reports.empty());
  }

  auto crash_of_a_later_stage_is_not_recorded() -> void {
    make_chain_with_crashed_stage();
    route_.resumable = false;
    endpoint_handler_ = [](const auto& call, auto) { call->abort(); };
    CPPUNIT_ASSERT_EQUAL(502, send_request());
    wait_for_reports();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
    CPPUNIT_ASSERT_EQUAL(std::string("e2/1"), host_->reports[0].endpoint);
  }

  auto crash_after_the_first_event_counts_in_full() -> void {
    make_stream(false);
    endpoint_handler_ = [this](const auto& call, auto) {
      call->start(200, http_headers().add("Request-Id", "r1"));
      call->chunk("id: 1\ndata: a\n\n");
      abort_timer_ =
          loop_.after(milliseconds(20), [this, call] { crash_endpoint(call); });
    };
    send_request();
    wait_for_reports();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
    CPPUNIT_ASSERT_EQUAL(inferred_points_after_first_event,
                         host_->reports[0].points);
  }

  /// A chain of e1, which listens, and e2, which does not.
  auto make_chain_with_crashed_stage() -> void {
    make_stream(true);
    engine_.layers = 2;
    use_engine_ = true;
    add_crashed_stage("e2");
  }
  auto add_crashed_stage(const std::string& id) -> void {
    host_->routes().upsert(
        {id, "1", unreachable_address, "", "z", "app", 1, 2, 8});
  }

  auto chain_repairs_feed_endpoints_to_a_poison_request() -> void {
    make_chain_with_crashed_stage();
    route_.max_attempts = 1;
    auto repairs = 0;
    std::vector<exchange_ptr> held;
    endpoint_handler_ = [&, this](const auto& call, auto) {
      if (call->request().path == "/order") {
        ++repairs;
        call->reply(202, {}, "");
        return fail_stage_later(repairs + 2);
      }
      held.push_back(call);
      fail_stage_later(2);
    };
    route_.timeout = milliseconds(1000);
    send_request();
    CPPUNIT_ASSERT_EQUAL(2, repairs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, host_->reports.size());
  }
  /// Replaces the stage eN by one that has crashed, too.
  auto fail_stage_later(int number) -> void {
    abort_timer_ = loop_.after(milliseconds(10), [this, number] {
      const auto id = "e" + std::to_string(number);
      host_->routes().remove(id);
      add_crashed_stage("e" + std::to_string(number + 1));
      if (host_->request) host_->request->handle_endpoint_failure(id);
    });
  }

  auto stall_of_a_crashed_stage_is_not_recorded() -> void {
    make_chain_with_crashed_stage();
    std::vector<exchange_ptr> held;
    endpoint_handler_ = [&](const auto& call, auto) { held.push_back(call); };
    send_request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
    CPPUNIT_ASSERT_EQUAL(std::string("e2/1"), host_->reports[0].endpoint);
  }

  /// The first failure is reported before the dispatch stalls.
  auto endpoints_that_crash_together_count_each() -> void {
    make_chain_with_crashed_stage();
    engine_.layers = 3;
    host_->routes().upsert(
        {"e3", "1", other_unreachable_address, "", "z", "app", 2, 3, 8});
    std::vector<exchange_ptr> held;
    endpoint_handler_ = [&, this](const auto& call, auto) {
      held.push_back(call);
      abort_timer_ = loop_.after(milliseconds(10), [this] {
        host_->request->handle_endpoint_failure("e3");
        host_->request->handle_endpoint_failure("e2");
      });
    };
    send_request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
  }

  auto endpoint_that_had_crashed_before_counts() -> void {
    make_chain_with_crashed_stage();
    route_.resumable = false;
    endpoint_handler_ = [](const auto& call, auto) { call->abort(); };
    send_request();
    wait_for_reports();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
    fingerprint_ = 2;
    send_request();
    wait_for_reports();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->reports.size());
  }

  auto retry_overtakes_the_record_of_a_crash() -> void {
    route_.kind = request_kind::idempotent;
    route_.max_attempts = 3;
    endpoint_handler_ = [this](const auto& call, auto) {
      crash_endpoint(call);
    };
    auto recorded = std::vector<std::size_t>();
    host_->before_choosing = [&] { recorded.push_back(host_->reports.size()); };
    send_request();
    CPPUNIT_ASSERT(recorded.size() > 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, recorded[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recorded[1]);
  }

  auto error_response_drops_the_record_of_a_crash() -> void {
    auto& guard = host_->crashes().guard();
    guard.record_crash(fingerprint_, "x", inferred_points_before_first_event,
                       boottime_clock::now());
    auto status = 500;
    endpoint_handler_ = [&](const auto& call, auto) {
      call->reply(status, http_headers().add("Request-Id", "r1"), "");
    };
    send_request();
    CPPUNIT_ASSERT_EQUAL(inferred_points_before_first_event,
                         guard.points(fingerprint_));
    status = 200;
    send_request();
    CPPUNIT_ASSERT_EQUAL(0, guard.points(fingerprint_));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_request_test);

}  // namespace pollenloft::test
