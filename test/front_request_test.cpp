#include "front_request.hpp"

#include <memory>

#include "property.hpp"

namespace pollenloft::test {
namespace {

const socket_address front_address{"127.0.9.2", 18081};
const socket_address endpoint_address{"127.0.9.3", 18082};
const socket_address dead_address{"127.0.9.4", 18083};

/// A VM with a queue that dispatches at once.
class plain_host : public front_host {
 public:
  explicit plain_host(event_loop& loop)
      : loop_(loop), client_(loop), router_({}, 1) {}

  auto loop() -> event_loop& override { return loop_; }
  auto client() -> http_client& override { return client_; }
  auto metrics_registry() -> metrics& override { return metrics_; }
  auto routes() -> router& override { return router_; }
  auto draining() const -> bool override { return false; }
  auto enqueue(const front_request_ptr& request, bool /*again*/)
      -> void override {
    loop_.post([this, request] {
      if (!request->queued()) return;
      if (before_choosing) before_choosing();
      auto stages =
          router_.choose(request->chain_wanted(), boottime_clock::now());
      if (stages) return request->dispatch(std::move(*stages));
      request->refuse(503, "no endpoint is free", milliseconds(1000));
    });
  }
  auto dequeue(const front_request_ptr& /*request*/) -> void override {}
  auto slot_released(const front_request_ptr& /*request*/, double /*cost*/)
      -> void override {}
  auto request_ended(const front_request_ptr& /*request*/) -> void override {
    ++ended;
    held.reset();
  }

  int ended = 0;
  std::function<void()> before_choosing;
  front_request_ptr held;

 private:
  event_loop& loop_;
  http_client client_;
  router router_;
  metrics metrics_;
};

}  // namespace

class front_request_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(front_request_test);
  CPPUNIT_TEST(answer_passes_unchanged);
  CPPUNIT_TEST(failure_of_the_endpoint_passes_unchanged);
  CPPUNIT_TEST(non_idempotent_request_is_sent_once);
  CPPUNIT_TEST(connection_never_made_uses_no_attempt);
  CPPUNIT_TEST(refusal_with_proof_says_when_to_return);
  CPPUNIT_TEST(answer_to_another_request_is_not_passed_on);
  CPPUNIT_TEST(truncated_answer_is_no_success);
  CPPUNIT_TEST(stream_resumes_after_the_last_whole_event);
  CPPUNIT_TEST(refused_resumption_is_sent_again);
  CPPUNIT_TEST(stream_waits_for_the_retry_budget);
  CPPUNIT_TEST(stream_that_may_not_resume_is_cut);
  CPPUNIT_TEST(missing_event_is_never_skipped);
  CPPUNIT_TEST(time_limit_ends_a_request_at_once);
  CPPUNIT_TEST(caller_that_leaves_frees_the_endpoint);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  std::unique_ptr<plain_host> host_;
  std::optional<chart> chart_;
  retry_budget budget_;
  std::unique_ptr<http_server> front_;
  std::unique_ptr<http_server> endpoint_;
  ingress_route route_;
  std::vector<http_request> arrived_;  // at the endpoint
  std::function<void(const exchange_ptr&, std::size_t)> serve_;
  std::optional<call_result> result_;
  std::string body_;
  http_headers headers_;
  int chosen_ = 0;
  timer aborting_;

 public:
  auto setUp() -> void override {
    chart_ = chart::load(std::string(POLLENLOFT_ROOT) + "/charts/request.json",
                         request_chart_names());
    CPPUNIT_ASSERT(chart_.has_value());
    host_ = std::make_unique<plain_host>(loop_);
    front_ = std::make_unique<http_server>(
        loop_, http_limits{}, [this](const exchange_ptr& call) { take(call); });
    endpoint_ = std::make_unique<http_server>(
        loop_, http_limits{}, [this](const exchange_ptr& call) {
          arrived_.push_back(call->request());
          serve_(call, arrived_.size());
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
    arrived_.clear();
    result_.reset();
    body_.clear();
  }

  auto tearDown() -> void override {
    serve_ = {};
    front_.reset();
    endpoint_.reset();
  }

  /// Closes once what was sent is on its way.
  auto abort_soon(const exchange_ptr& call) -> void {
    aborting_ = loop_.after(milliseconds(20), [call] { call->abort(); });
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

  auto take(const exchange_ptr& call) -> void {
    auto config = std::make_shared<ingress_config>();
    config->routes = {route_};
    front_parameters given;
    given.table = std::make_shared<const route_table>(config);
    given.route = given.table->config().routes.data();
    given.service = "app";
    given.account = "salon";
    given.headers = platform::decode_caller_headers(call->request().headers);
    given.arrived = boottime_clock::now();
    given.deadline = given.arrived + route_.timeout;
    host_->held = std::make_shared<front_request>(
        *host_, call, std::move(given), *chart_, budget_);
    host_->held->start();
  }

  auto ask() -> int {
    http_client client(loop_);
    http_call made{front_address, "POST", "/x/1?q=2"};
    made.headers.add("Request-Id", "r1").add("X-Own", "kept");
    made.body = "hello";
    made.timeout = milliseconds(4000);
    call_handlers handlers;
    int status = 0;
    handlers.on_head = [&](int code, const auto& headers) {
      status = code;
      headers_ = headers;
    };
    handlers.on_data = [&](auto part) { body_ += part; };
    handlers.on_done = [&](const auto& result, auto body) {
      result_ = result;
      body_ += body;
      loop_.stop();
    };
    const auto kept = client.send(made, handlers);
    loop_.run();
    return status;
  }

  auto whole() const -> bool {
    return std::holds_alternative<call_answered>(*result_);
  }

  static auto sealed() -> http_headers {
    http_headers headers;
    headers.add("Server-Seal", "s").add("Request-Id", "r1");
    return headers;
  }

  static auto event(int id) -> std::string {
    return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
           "\n\n";
  }

  auto answer_passes_unchanged() -> void {
    serve_ = [](const exchange_ptr& call, auto) {
      call->reply(203, sealed(), "bytes");
    };
    CPPUNIT_ASSERT_EQUAL(203, ask());
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), body_);
    CPPUNIT_ASSERT(headers_.find("Server-Seal") == "s");
    const auto& seen = arrived_.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("/x/1?q=2"), seen.target);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), seen.body);
    CPPUNIT_ASSERT(seen.headers.find("X-Own") == "kept");
    CPPUNIT_ASSERT(seen.headers.find("Tenant") == "salon");
    CPPUNIT_ASSERT(seen.headers.find("Expect-Instance") == "e1");
    const auto left = parse_number(*seen.headers.find("Deadline-Ms"));
    CPPUNIT_ASSERT(left && *left <= 2000 && *left > 1500);
  }

  auto failure_of_the_endpoint_passes_unchanged() -> void {
    serve_ = [](const exchange_ptr& call, auto) {
      call->reply(500, sealed(), "broken");
    };
    CPPUNIT_ASSERT_EQUAL(500, ask());
    CPPUNIT_ASSERT_EQUAL(std::string("broken"), body_);
    CPPUNIT_ASSERT(headers_.find("Server-Seal") == "s");
  }

  auto non_idempotent_request_is_sent_once() -> void {
    serve_ = [](const exchange_ptr& call, auto) { call->abort(); };
    CPPUNIT_ASSERT_EQUAL(502, ask());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrived_.size());
    CPPUNIT_ASSERT(!headers_.find("Retry-After"));
  }

  auto connection_never_made_uses_no_attempt() -> void {
    host_->routes().remove("e1");
    add_endpoint("e2", dead_address);
    serve_ = [](const exchange_ptr& call, auto) {
      call->reply(200, sealed(), "ok");
    };
    route_.max_attempts = 1;
    host_->before_choosing = [this] {
      // The router leaves the dead one; by then another one is there.
      if (++chosen_ == 2) add_endpoint("e1", endpoint_address);
    };
    CPPUNIT_ASSERT_EQUAL(200, ask());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrived_.size());
  }

  auto refusal_with_proof_says_when_to_return() -> void {
    serve_ = [](const exchange_ptr& call, auto) {
      auto headers = sealed();
      headers.add("Not-Executed", "1");
      call->reply(503, headers, "full");
    };
    CPPUNIT_ASSERT_EQUAL(503, ask());
    CPPUNIT_ASSERT(headers_.find("Retry-After").has_value());
    CPPUNIT_ASSERT(!headers_.find("Server-Seal"));
  }

  auto answer_to_another_request_is_not_passed_on() -> void {
    serve_ = [](const exchange_ptr& call, auto) {
      http_headers headers;
      headers.add("Server-Seal", "s").add("Request-Id", "r0");
      call->reply(200, headers, "not yours");
    };
    CPPUNIT_ASSERT_EQUAL(502, ask());
    CPPUNIT_ASSERT(body_.find("not yours") == std::string::npos);
  }

  auto truncated_answer_is_no_success() -> void {
    serve_ = [this](const exchange_ptr& call, auto) {
      call->start(200, sealed());
      call->chunk("half");
      abort_soon(call);
    };
    CPPUNIT_ASSERT_EQUAL(502, ask());
    CPPUNIT_ASSERT(body_.find("half") == std::string::npos);
  }

  auto stream_resumes_after_the_last_whole_event() -> void {
    make_stream(true);
    add_endpoint("e2", endpoint_address);
    serve_ = [this](const exchange_ptr& call, std::size_t n) {
      call->start(200, sealed());
      if (n == 1) {
        call->chunk(event(1) + event(2) + "id: 3\nda");
        return abort_soon(call);
      }
      call->chunk(event(2) + event(3) + event(4));
      call->end();
    };
    CPPUNIT_ASSERT_EQUAL(200, ask());
    CPPUNIT_ASSERT(whole());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4), body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, arrived_.size());
    CPPUNIT_ASSERT(arrived_[1].headers.find("Last-Event-Id") == "2");
  }

  /// Found by a hunt: a stream whose second runner refused it was cut.
  auto refused_resumption_is_sent_again() -> void {
    make_stream(true);
    add_endpoint("e2", endpoint_address);
    add_endpoint("e3", endpoint_address);
    serve_ = [this](const exchange_ptr& call, std::size_t n) {
      if (n == 2) {
        auto refusal = sealed();
        refusal.add("Not-Executed", "1");
        return call->reply(503, refusal, "full");
      }
      call->start(200, sealed());
      call->chunk(event(static_cast<int>(n == 1 ? 1 : 2)));
      if (n == 1) return abort_soon(call);
      call->end();
    };
    CPPUNIT_ASSERT_EQUAL(200, ask());
    CPPUNIT_ASSERT(whole());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, arrived_.size());
  }

  /// Found by a hunt: runners that were being replaced used up the retry
  /// budget, and streams that could not be resumed at once were cut.
  auto stream_waits_for_the_retry_budget() -> void {
    make_stream(true);
    add_endpoint("e2", endpoint_address);
    budget_ = retry_budget(0.5, 1);
    budget_.try_withdraw();
    serve_ = [this](const exchange_ptr& call, std::size_t n) {
      call->start(200, sealed());
      call->chunk(event(static_cast<int>(n)));
      if (n == 1) return abort_soon(call);
      call->end();
    };
    const auto others = loop_.every(milliseconds(100), [this] {
      CPPUNIT_ASSERT(!result_.has_value());
      budget_.deposit();
    });
    CPPUNIT_ASSERT_EQUAL(200, ask());
    CPPUNIT_ASSERT(whole());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
  }

  auto stream_that_may_not_resume_is_cut() -> void {
    make_stream(false);
    serve_ = [this](const exchange_ptr& call, auto) {
      call->start(200, sealed());
      call->chunk(event(1));
      abort_soon(call);
    };
    CPPUNIT_ASSERT_EQUAL(200, ask());
    CPPUNIT_ASSERT(!whole());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrived_.size());
  }

  auto missing_event_is_never_skipped() -> void {
    make_stream(false);
    serve_ = [](const exchange_ptr& call, auto) {
      call->start(200, sealed());
      call->chunk(event(1) + event(3));
      call->end();
    };
    ask();
    CPPUNIT_ASSERT(!whole());
    CPPUNIT_ASSERT_EQUAL(event(1), body_);
  }

  auto time_limit_ends_a_request_at_once() -> void {
    route_.timeout = milliseconds(200);
    exchange_ptr kept;
    serve_ = [&](const exchange_ptr& call, auto) { kept = call; };
    const auto sent = boottime_clock::now();
    CPPUNIT_ASSERT_EQUAL(504, ask());
    CPPUNIT_ASSERT(boottime_clock::now() - sent < milliseconds(700));
  }

  auto caller_that_leaves_frees_the_endpoint() -> void {
    exchange_ptr kept;
    auto freed = false;
    http_client client(loop_);
    conversation_ptr asking;
    serve_ = [&](const exchange_ptr& call, auto) {
      kept = call;
      kept->closed().connect([&] {
        freed = true;
        loop_.stop();
      });
      asking->cancel();
    };
    http_call made{front_address, "POST", "/x/1"};
    asking = client.send(made, {});
    const auto limit = loop_.after(milliseconds(500), [this] { loop_.stop(); });
    loop_.run();
    CPPUNIT_ASSERT(freed);
    CPPUNIT_ASSERT_EQUAL(1, host_->ended);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_request_test);

}  // namespace pollenloft::test
