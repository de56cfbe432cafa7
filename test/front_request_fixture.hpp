/// \file front_request_fixture.hpp
/// A VM that dispatches front requests immediately, before one endpoint whose
/// answers a test chooses.
#ifndef POLLENLOFT_TEST_FRONT_REQUEST_FIXTURE_HPP
#define POLLENLOFT_TEST_FRONT_REQUEST_FIXTURE_HPP

#include <memory>

#include "front_request.hpp"
#include "property.hpp"

namespace pollenloft::test::front_requests {

inline const socket_address front_address{"127.0.9.2", 18081};
inline const socket_address endpoint_address{"127.0.9.3", 18082};
inline const socket_address unreachable_address{"127.0.9.4", 18083};
inline const socket_address other_unreachable_address{"127.0.9.4", 18084};

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
                 [this](const auto& report) { reports.push_back(report); }) {
    router_.set_notices(control_.notices().endpoints());
  }

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

class fixture : public CppUnit::TestFixture {
 protected:
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
};

}  // namespace pollenloft::test::front_requests

#endif
