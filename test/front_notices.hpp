/// \file front_notices.hpp
/// An entry VM with its front before two endpoints whose answers a test
/// chooses.
#ifndef POLLENLOFT_TEST_FRONT_NOTICES_HPP
#define POLLENLOFT_TEST_FRONT_NOTICES_HPP

#include <nlohmann/json.hpp>

#include "entry_server.hpp"
#include "front_server.hpp"
#include "property.hpp"

namespace pollenloft::test::front_notices {

using json = nlohmann::json;

inline const socket_address front_address{"127.0.9.40", 18191};
inline const socket_address entry_address{"127.0.9.40", 18190};
inline const socket_address relay_address{"127.0.9.40", 18196};
inline const socket_address control_address{"127.0.9.41", 18193};

inline auto address_of(const std::string& id) -> socket_address {
  return {"127.0.9.42", static_cast<std::uint16_t>(id == "a" ? 18194 : 18195)};
}

inline auto make_document() -> std::string {
  json document{{"Version", 1}, {"Services", {{{"Name", "app"}}}}};
  const auto add_route = [&](const std::string& path, const std::string& type) {
    document["Routes"].push_back({{"Name", path},
                                  {"Hostname", "h"},
                                  {"PathPrefix", path},
                                  {"Type", type},
                                  {"Attempts", 3},
                                  {"TimeoutMs", 5000},
                                  {"SloMs", 300},
                                  {"Public", true},
                                  {"Resumable", true},
                                  {"Backend", "app"}});
  };
  add_route("/x/", "idempotent");
  add_route("/once/", "non_idempotent");
  add_route("/stream/", "streaming");
  return document.dump();
}

inline auto make_record(const std::string& id, const std::string& incarnation)
    -> wire::endpoint_record {
  wire::endpoint_record record;
  record.id = id;
  record.incarnation = incarnation;
  record.address = address_of(id).text();
  record.zone = "z";
  record.pipeline = "app";
  record.last_layer = 1;
  record.slots = 100;
  return record;
}

/// The same service on the own interface.
inline constexpr auto own_configuration =
    R"({"services":{"app":{"kind":"plain","idempotent":true,"endpoints":["*"],
    "accounts":["a"]}},"accounts":{"a":{"token":"t"}}})";

/// A leader that lists two endpoints as up, whatever is reported to it.
class fake_leader {
 public:
  explicit fake_leader(event_loop& loop,
                       const socket_address& address = control_address)
      : loop_(loop), server_(loop, http_limits{}, [this](const auto& call) {
          handle(call);
        }) {
    CPPUNIT_ASSERT(server_.listen(address));
  }

  auto list(const wire::endpoint_record& record) -> void {
    records_.push_back(record);
    ++sequence_;
  }

  bool answers = true;
  std::vector<wire::endpoint_record> reports{};
  std::vector<wire::paused_endpoint> paused{};
  std::vector<wire::peer_record> peers{};

 private:
  auto handle(const exchange_ptr& call) -> void {
    if (!answers) return call->abort();
    if (call->request().path == "/control/report") {
      const auto request =
          decode_wire<wire::report_request>(call->request().body);
      reports.insert(reports.end(), request->endpoints.begin(),
                     request->endpoints.end());
      wire::report_reply reply;
      reply.accepted = true;
      return call->reply(200, {}, encode_wire(reply));
    }
    if (call->request().path == "/control/peers") {
      wire::peers_reply reply;
      reply.accepted = true;
      reply.peers = peers;
      return call->reply(200, {}, encode_wire(reply));
    }
    const auto request = decode_wire<wire::renew_request>(call->request().body);
    paused = request->paused;
    wire::renew_reply reply;
    reply.granted = true;
    reply.leader = control_address.text();
    reply.lease_ms = 1000;
    reply.term = 1;
    reply.vm_count = 1;
    reply.document = 1;
    reply.document_text = make_document();
    reply.version = 1;
    wire::version_record version;
    version.version = 1;
    version.body = own_configuration;
    reply.patches = {version};
    reply.endpoints = std::exchange(records_, {});
    reply.directory_sequence = sequence_;
    reply_timer_ = loop_.after(milliseconds(10), [call, reply] {
      call->reply(200, {}, encode_wire(reply));
    });
  }

  event_loop& loop_;
  http_server server_;
  timer reply_timer_;
  std::vector<wire::endpoint_record> records_;
  std::int64_t sequence_ = 0;
};

inline auto answer_to(const exchange_ptr& call) -> http_headers {
  http_headers headers;
  headers.add("Request-Id",
              call->request().headers.find("Request-Id").value_or(""));
  return headers;
}

class fixture : public CppUnit::TestFixture {
 protected:
  using handler = std::function<void(const exchange_ptr&)>;

  event_loop loop_;
  std::unique_ptr<fake_leader> leader_;
  std::unique_ptr<entry_server> entry_;
  std::unique_ptr<front_server> front_;
  std::map<std::string, std::unique_ptr<http_server>> endpoints_;
  std::map<std::string, handler> handlers_;
  std::map<std::string, int> arrivals_;
  http_headers last_headers_;
  std::string last_body_;

 public:
  auto setUp() -> void override {
    arrivals_.clear();
    handlers_.clear();
    leader_ = std::make_unique<fake_leader>(loop_);
    entry_ = make_entry("vm", entry_address, control_address);
    front_ = make_front(*entry_, front_address, relay_address);
    for (const std::string id : {"a", "b"}) {
      start_endpoint(id);
      leader_->list(make_record(id, "1"));
    }
    CPPUNIT_ASSERT(front_->start());
    CPPUNIT_ASSERT(entry_->start());
    wait(milliseconds(100));
  }
  auto tearDown() -> void override {
    endpoints_.clear();
    front_.reset();
    entry_.reset();
    leader_.reset();
  }

  auto make_entry(const std::string& vm, const socket_address& address,
                  const socket_address& leader)
      -> std::unique_ptr<entry_server> {
    entry_options options;
    options.vm = vm;
    options.zone = "z";
    options.listen = address;
    options.control = {leader};
    auto request_chart =
        chart::load(std::string(POLLENLOFT_ROOT) + "/charts/request.json",
                    request_chart_names());
    return std::make_unique<entry_server>(loop_, options,
                                          std::move(*request_chart));
  }

  /// Its readiness probe has the port after that of `address`.
  auto make_front(entry_server& entry, const socket_address& address,
                  const socket_address& relay)
      -> std::unique_ptr<front_server> {
    front_options options;
    options.listen = address;
    options.readiness = address;
    ++options.readiness.port;
    options.retry_slack = 1000;
    options.relay_listen = relay;
    options.relay_key = "secret";
    return std::make_unique<front_server>(
        loop_, options, entry.client(), entry.control(), entry.crashes(),
        entry.request_chart(), entry.metrics_registry());
  }

  auto start_endpoint(const std::string& id) -> void {
    endpoints_[id] = make_endpoint(id, address_of(id));
  }

  auto make_endpoint(const std::string& id, const socket_address& address)
      -> std::unique_ptr<http_server> {
    auto server = std::make_unique<http_server>(
        loop_, http_limits{}, [this, id](const exchange_ptr& call) {
          ++arrivals_[id];
          const auto found = handlers_.find(id);
          if (found != handlers_.end()) return found->second(call);
          call->reply(200, answer_to(call), "done");
        });
    CPPUNIT_ASSERT(server->listen(address));
    return server;
  }

  auto wait(duration time) -> void {
    const auto end = loop_.after(time, [this] { loop_.stop(); });
    loop_.run();
  }

  /// Sends one request and returns the status of its answer.
  auto send(const std::string& target = "/x/1",
            const socket_address& server = front_address) -> int {
    http_client caller(loop_);
    http_call call{server, "POST", target};
    call.headers.add("Host", "h").add("Request-Id", "q");
    call.headers.add("Authorization", "Bearer t");
    if (server == relay_address)
      call.headers.add(relay_key_header, "secret")
          .add(relay_attempts_header, "2");
    int status = 0;
    caller.send(call, {[&](int code, const auto& headers) {
                         status = code;
                         last_headers_ = headers;
                       },
                       {},
                       [&](const auto&, auto body) {
                         last_body_ = body;
                         loop_.stop();
                       }});
    loop_.run();
    return status;
  }

  /// Sends requests until `id` has got one.
  auto send_until_at(const std::string& id, const std::string& target = "/x/1")
      -> void {
    for (int i = 0; i < 50 && arrivals_[id] == 0; ++i)
      send(target);
    CPPUNIT_ASSERT(arrivals_[id] > 0);
  }

  auto assert_excluded(const std::string& id) -> void {
    const auto before = arrivals_[id];
    for (int i = 0; i < 30; ++i)
      CPPUNIT_ASSERT_EQUAL(200, send());
    CPPUNIT_ASSERT_EQUAL(before, arrivals_[id]);
  }

  auto say_leaving(const std::string& id, int status, bool not_run) -> void {
    handlers_[id] = [status, not_run](const exchange_ptr& call) {
      auto headers = answer_to(call);
      headers.add("Server-Leaving", "1");
      if (not_run) headers.add("Not-Executed", "1");
      call->reply(status, headers, "answer");
    };
  }
};

}  // namespace pollenloft::test::front_notices

#endif
