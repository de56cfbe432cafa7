/// \file raw_entry_fixture.hpp
/// An entry VM whose endpoints are raw endpoints, with both its interfaces.
#ifndef POLLENLOFT_TEST_RAW_ENTRY_FIXTURE_HPP
#define POLLENLOFT_TEST_RAW_ENTRY_FIXTURE_HPP

#include <nlohmann/json.hpp>

#include "entry_server.hpp"
#include "front_server.hpp"
#include "raw_endpoint.hpp"

namespace pollenloft::test::raw {

inline const socket_address endpoint_address{"127.0.9.50", 18501};
inline const socket_address other_endpoint_address{"127.0.9.53", 18501};
inline constexpr auto call_timeout = std::chrono::seconds(4);
using json = nlohmann::json;

inline const socket_address own_address{"127.0.9.51", 18502};
inline const socket_address front_address{"127.0.9.51", 18503};
inline const socket_address readiness_address{"127.0.9.51", 18504};
inline const socket_address control_address{"127.0.9.52", 18505};

inline auto route_document() -> std::string {
  const auto route = [](const std::string& name, const std::string& type) {
    return json{{"Name", name},     {"Hostname", "h"},
                {"Type", type},     {"PathPrefix", "/" + name + "/"},
                {"Attempts", 2},    {"TimeoutMs", 4000},
                {"SloMs", 1000},    {"Public", true},
                {"Backend", "app"}, {"Resumable", name == "resumable"}};
  };
  return json{{"Version", 1},
              {"Services", {{{"Name", "app"}}}},
              {"Routes",
               {route("plain", "non_idempotent"),
                route("resumable", "streaming"), route("single", "streaming")}}}
      .dump();
}

/// Endpoints `e1` and `e2` at these addresses.
inline auto lease(const socket_address& first, const socket_address& second)
    -> wire::renew_reply {
  wire::renew_reply reply;
  reply.granted = true;
  reply.leader = control_address.text();
  reply.lease_ms = 1000;
  reply.term = 1;
  reply.vm_count = 1;
  reply.document = 1;
  reply.document_text = route_document();
  reply.version = 1;
  reply.configuration =
      R"({"version":1,"accounts":{"a":{"token":"t","weight":1}},"services":)"
      R"({"app":{"deadline_ms":4000,"idempotent":false,"kind":"plain"}}})";
  reply.directory_sequence = 1;
  for (const auto& address : {first, second}) {
    wire::endpoint_record endpoint;
    endpoint.id = reply.endpoints.empty() ? "e1" : "e2";
    endpoint.incarnation = "1";
    endpoint.address = address.text();
    endpoint.zone = "z";
    endpoint.pipeline = "app";
    endpoint.last_layer = 1;
    endpoint.slots = 10;
    reply.endpoints.push_back(endpoint);
  }
  return reply;
}

inline auto event(int id) -> std::string {
  const auto text = std::to_string(id);
  return "id: " + text + "\ndata: t" + text + "\n\n";
}

class entry_fixture : public CppUnit::TestFixture {
 public:
  auto setUp() -> void override {
    loop_ = std::make_unique<event_loop>();
    endpoint_ = std::make_unique<raw_endpoint>(*loop_, endpoint_address);
    leader_ = std::make_unique<http_server>(
        *loop_, http_limits{}, [this](const exchange_ptr& call) {
          run_later(*loop_, milliseconds(10), [this, call] {
            auto reply = lease(endpoint_address, other_);
            if (!configuration_.empty()) reply.configuration = configuration_;
            call->reply(200, {}, encode_wire(reply));
          });
        });
    CPPUNIT_ASSERT(leader_->listen(control_address));
    start_vm();
  }
  auto tearDown() -> void override {
    front_.reset();
    entry_.reset();
    leader_.reset();
    endpoint_.reset();
    loop_.reset();
  }

  auto start_vm() -> void {
    entry_options options;
    options.vm = "vm";
    options.zone = "z";
    options.listen = own_address;
    options.control = {control_address};
    entry_ = std::make_unique<entry_server>(
        *loop_, options,
        *chart::load(std::string(POLLENLOFT_ROOT) + "/charts/request.json",
                     request_chart_names()));
    front_options front;
    front.listen = front_address;
    front.readiness = readiness_address;
    front.retry_slack = retry_slack_;
    front_ = std::make_unique<front_server>(
        *loop_, front, entry_->client(), entry_->control(), entry_->crashes(),
        entry_->request_chart(), entry_->metrics_registry());
    CPPUNIT_ASSERT(front_->start());
    CPPUNIT_ASSERT(entry_->start());
    wait(milliseconds(100));
  }

  auto wait(duration time) -> void {
    const auto end = loop_->after(time, [this] { loop_->stop(); });
    loop_->run();
  }

  /// Sends a request to the path of a route, or to the own interface. Returns
  /// the status of a complete response, or 0.
  auto call(const std::string& path, std::vector<raw_response> responses)
      -> int {
    http_call request{path.empty() ? own_address : front_address, "POST",
                      path.empty() ? "/services/app/x" : path + "x"};
    request.headers.add("Host", "h").add("Request-Id", "r1");
    request.headers.add("Authorization", "Bearer t");
    request.body = "hello";
    return send(std::move(request), std::move(responses));
  }

  auto send(http_call request, std::vector<raw_response> responses) -> int {
    endpoint_->responses = std::move(responses);
    endpoint_->received.clear();
    http_client client(*loop_);
    request.timeout = 2 * call_timeout;
    body_.clear();
    call_handlers handlers;
    handlers.on_data = [this](auto data) { body_ += data; };
    handlers.on_done = [this](const auto& result, auto body) {
      result_ = result;
      body_ += body;
      loop_->stop();
    };
    client.send(request, handlers);
    loop_->run();
    const auto* completed = std::get_if<call_completed>(&*result_);
    return completed == nullptr ? 0 : completed->status;
  }

 protected:
  std::unique_ptr<event_loop> loop_;
  std::unique_ptr<raw_endpoint> endpoint_;
  std::unique_ptr<http_server> leader_;
  std::unique_ptr<entry_server> entry_;
  std::unique_ptr<front_server> front_;
  std::optional<call_result> result_;
  std::string body_;
  socket_address other_ = endpoint_address;  // of `e2`
  std::string configuration_;  // of the own interface, unless it is empty
  double retry_slack_ = front_options{}.retry_slack;
};

/// The endpoints have an address each and answer in turn.
class two_endpoint_fixture : public entry_fixture {
 public:
  auto setUp() -> void override {
    other_ = other_endpoint_address;
    entry_fixture::setUp();
    start_endpoints();
  }
  auto tearDown() -> void override {
    other_endpoint_.reset();
    entry_fixture::tearDown();
  }

 protected:
  /// Starts both endpoints anew.
  auto start_endpoints() -> void {
    script_ = std::make_shared<raw_script>();
    endpoint_.reset();
    other_endpoint_.reset();
    endpoint_ =
        std::make_unique<raw_endpoint>(*loop_, endpoint_address, script_);
    other_endpoint_ =
        std::make_unique<raw_endpoint>(*loop_, other_endpoint_address, script_);
  }
  auto script() -> raw_script& { return *script_; }
  auto open_connections() const -> std::ptrdiff_t {
    return endpoint_->open_connections() + other_endpoint_->open_connections();
  }

  std::shared_ptr<raw_script> script_;
  std::unique_ptr<raw_endpoint> other_endpoint_;
};

}  // namespace pollenloft::test::raw

#endif
