#include "front_server.hpp"

#include <nlohmann/json.hpp>

#include "property.hpp"

namespace pollenloft::test {
namespace {

using json = nlohmann::json;

const socket_address front_address{"127.0.9.10", 18091};
const socket_address readiness_address{"127.0.9.10", 18092};
const socket_address control_address{"127.0.9.11", 18093};
const socket_address endpoint_address{"127.0.9.12", 18094};

/// A leader that sends one document and one endpoint once `leads` is set.
class fake_leader {
 public:
  explicit fake_leader(event_loop& loop)
      : loop_(loop), server_(loop, http_limits{}, [this](const auto& call) {
          reply_to(call);
        }) {
    CPPUNIT_ASSERT(server_.listen(control_address));
  }

  bool leads = false;

 private:
  auto reply_to(const exchange_ptr& call) -> void {
    if (!leads) return call->reply(200, {}, encode_wire(wire::renew_reply{}));
    wire::renew_reply reply;
    reply.granted = true;
    reply.leader = control_address.text();
    reply.lease_ms = 1000;
    reply.term = 1;
    reply.vm_count = 1;
    reply.document = 1;
    reply.document_text = document();
    if (!endpoint_sent_) reply.endpoints = {endpoint()};
    reply.directory_sequence = 1;
    endpoint_sent_ = true;
    reply_timer_ = loop_.after(milliseconds(10), [call, reply] {
      call->reply(200, {}, encode_wire(reply));
    });
  }

  static auto document() -> std::string {
    return json{{"Version", 1},
                {"Routes",
                 {{{"Name", "r"},
                   {"Hostname", "h"},
                   {"PathPrefix", "/"},
                   {"Type", "idempotent"},
                   {"TimeoutMs", 2000},
                   {"Backend", "app"}}}},
                {"Services", {{{"Name", "app"}}}}}
        .dump();
  }

  static auto endpoint() -> wire::endpoint_record {
    wire::endpoint_record record;
    record.id = "e";
    record.incarnation = "1";
    record.address = endpoint_address.text();
    record.zone = "z";
    record.pipeline = "app";
    record.last_layer = 1;
    record.slots = 4;
    return record;
  }

  event_loop& loop_;
  http_server server_;
  timer reply_timer_;
  bool endpoint_sent_ = false;
};

}  // namespace

class front_server_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(front_server_test);
  CPPUNIT_TEST(request_is_deferred_until_the_configuration_arrives);
  CPPUNIT_TEST(request_is_refused_without_a_configuration);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  std::unique_ptr<fake_leader> leader_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<control_client> control_;
  std::unique_ptr<http_server> endpoint_;
  std::unique_ptr<front_server> front_;
  std::optional<chart> chart_;
  metrics metrics_;

 public:
  auto setUp() -> void override {
    chart_ = chart::load(std::string(POLLENLOFT_ROOT) + "/charts/request.json",
                         request_chart_names());
    leader_ = std::make_unique<fake_leader>(loop_);
    client_ = std::make_unique<http_client>(loop_);
    control_client_options options;
    options.vm = "vm";
    options.incarnation = "1";
    options.replicas = {control_address};
    control_ = std::make_unique<control_client>(loop_, *client_, options);
    front_options front;
    front.listen = front_address;
    front.readiness = readiness_address;
    front_ = std::make_unique<front_server>(loop_, front, *client_, *control_,
                                            *chart_, metrics_);
    endpoint_ = std::make_unique<http_server>(
        loop_, http_limits{}, [](const exchange_ptr& call) {
          call->reply(200, http_headers().add("Request-Id", "q"), "done");
        });
    CPPUNIT_ASSERT(endpoint_->listen(endpoint_address));
    CPPUNIT_ASSERT(front_->start());
    control_->start();
  }
  auto tearDown() -> void override {
    endpoint_.reset();
    front_.reset();
    control_.reset();
    client_.reset();
    leader_.reset();
  }

  /// Sends one request; returns its status and duration.
  auto send_request() -> std::pair<int, duration> {
    http_client caller(loop_);
    http_call call{front_address, "GET", "/x"};
    call.headers.add("Host", "h").add("Request-Id", "q");
    call.timeout = milliseconds(3000);
    int status = 0;
    const auto sent = boottime_clock::now();
    const auto pending =
        caller.send(call, {[&](int code, const auto&) { status = code; },
                           {},
                           [this](const auto&, auto) { loop_.stop(); }});
    loop_.run();
    return {status, boottime_clock::now() - sent};
  }

  /// After all processes are killed at once, a restarted VM receives requests
  /// before a leader is elected.
  auto request_is_deferred_until_the_configuration_arrives() -> void {
    const auto election =
        loop_.after(milliseconds(300), [this] { leader_->leads = true; });
    const auto [status, elapsed] = send_request();
    CPPUNIT_ASSERT_EQUAL(200, status);
    CPPUNIT_ASSERT(elapsed < milliseconds(900));
  }

  auto request_is_refused_without_a_configuration() -> void {
    const auto [status, elapsed] = send_request();
    CPPUNIT_ASSERT_EQUAL(503, status);
    CPPUNIT_ASSERT(elapsed < milliseconds(1500));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_server_test);

}  // namespace pollenloft::test
