#include <nlohmann/json.hpp>

#include "entry_server.hpp"
#include "front_server.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

using json = nlohmann::json;

const socket_address front_address{"127.0.9.40", 18191};
const socket_address readiness_address{"127.0.9.40", 18192};
const socket_address entry_address{"127.0.9.40", 18190};
const socket_address control_address{"127.0.9.41", 18193};

auto address_of(const std::string& id) -> socket_address {
  return {"127.0.9.42", static_cast<std::uint16_t>(id == "a" ? 18194 : 18195)};
}

auto make_document() -> std::string {
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
                                  {"Backend", "app"}});
  };
  add_route("/x/", "idempotent");
  add_route("/once/", "non_idempotent");
  add_route("/stream/", "streaming");
  return document.dump();
}

auto make_record(const std::string& id, const std::string& incarnation)
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
constexpr auto own_configuration =
    R"({"services":{"app":{"kind":"plain","idempotent":true,"endpoints":["*"],
    "accounts":["a"]}},"accounts":{"a":{"token":"t"}}})";

/// A leader that lists two endpoints as up, whatever is reported to it.
class fake_leader {
 public:
  explicit fake_leader(event_loop& loop)
      : loop_(loop), server_(loop, http_limits{}, [this](const auto& call) {
          handle(call);
        }) {
    CPPUNIT_ASSERT(server_.listen(control_address));
  }

  auto list(const wire::endpoint_record& record) -> void {
    records_.push_back(record);
    ++sequence_;
  }

  bool answers = true;
  std::vector<wire::endpoint_record> reports{};
  std::vector<wire::paused_endpoint> paused{};

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

auto answer_to(const exchange_ptr& call) -> http_headers {
  http_headers headers;
  headers.add("Request-Id",
              call->request().headers.find("Request-Id").value_or(""));
  return headers;
}

}  // namespace

class front_notice_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(front_notice_test);
  CPPUNIT_TEST(endpoint_that_leaves_by_an_answer_gets_requests);
  CPPUNIT_TEST(endpoint_that_leaves_by_a_refusal_gets_requests);
  CPPUNIT_TEST(endpoint_that_leaves_by_an_error_gets_requests);
  CPPUNIT_TEST(endpoint_that_leaves_by_the_head_of_a_stream_gets_requests);
  CPPUNIT_TEST(endpoint_that_leaves_gets_requests_without_a_leader);
  CPPUNIT_TEST(stream_under_way_ends_when_its_endpoint_leaves);
  CPPUNIT_TEST(other_endpoint_at_the_address_counts_as_leaving);
  CPPUNIT_TEST(process_that_started_again_gets_no_requests);
  CPPUNIT_TEST(directory_that_lists_it_as_up_brings_it_back);
  CPPUNIT_TEST(leader_is_not_told_who_leaves);
  CPPUNIT_TEST(pausing_endpoint_gets_requests);
  CPPUNIT_TEST(pause_of_a_request_that_may_have_run_is_ignored);
  CPPUNIT_TEST(callers_wait_for_endpoints_that_all_pause);
  CPPUNIT_TEST(pause_ejects_the_endpoint);
  CPPUNIT_TEST(leader_is_not_told_who_pauses);
  CPPUNIT_TEST(request_that_may_have_run_ends_while_all_endpoints_pause);
  CPPUNIT_TEST(own_request_that_may_have_run_ends_while_all_endpoints_pause);
  CPPUNIT_TEST_SUITE_END();

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
    entry_options options;
    options.vm = "vm";
    options.zone = "z";
    options.listen = entry_address;
    options.control = {control_address};
    auto request_chart =
        chart::load(std::string(POLLENLOFT_ROOT) + "/charts/request.json",
                    request_chart_names());
    entry_ = std::make_unique<entry_server>(loop_, options,
                                            std::move(*request_chart));
    front_options front;
    front.listen = front_address;
    front.readiness = readiness_address;
    front.retry_slack = 1000;
    front_ = std::make_unique<front_server>(
        loop_, front, entry_->client(), entry_->control(), entry_->crashes(),
        entry_->request_chart(), entry_->metrics_registry());
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

  auto start_endpoint(const std::string& id) -> void {
    endpoints_[id] = std::make_unique<http_server>(
        loop_, http_limits{}, [this, id](const exchange_ptr& call) {
          ++arrivals_[id];
          const auto found = handlers_.find(id);
          if (found != handlers_.end()) return found->second(call);
          call->reply(200, answer_to(call), "done");
        });
    CPPUNIT_ASSERT(endpoints_.at(id)->listen(address_of(id)));
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

  auto endpoint_that_leaves_by_an_answer_gets_requests() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    assert_excluded("a");
  }

  auto endpoint_that_leaves_by_a_refusal_gets_requests() -> void {
    say_leaving("a", 503, true);
    send_until_at("a");
    assert_excluded("a");
  }

  auto endpoint_that_leaves_by_an_error_gets_requests() -> void {
    say_leaving("a", 500, false);
    send_until_at("a", "/once/1");
    assert_excluded("a");
  }

  auto endpoint_that_leaves_by_the_head_of_a_stream_gets_requests() -> void {
    handlers_["a"] = [](const exchange_ptr& call) {
      call->start(200, answer_to(call).add("Server-Leaving", "1"));
      call->chunk("id: 1\n\n");
      call->end();
    };
    handlers_["b"] = [](const exchange_ptr& call) {
      call->start(200, answer_to(call));
      call->chunk("id: 1\n\n");
      call->end();
    };
    send_until_at("a", "/stream/1");
    assert_excluded("a");
  }

  auto endpoint_that_leaves_gets_requests_without_a_leader() -> void {
    say_leaving("a", 200, false);
    leader_->answers = false;
    send_until_at("a");
    assert_excluded("a");
  }

  auto stream_under_way_ends_when_its_endpoint_leaves() -> void {
    exchange_ptr open;
    handlers_["a"] = [&open](const exchange_ptr& call) {
      if (call->request().path != "/stream/1")
        return call->reply(200, answer_to(call).add("Server-Leaving", "1"), "");
      open = call;
      call->start(200, answer_to(call));
      call->chunk("id: 1\n\n");
    };
    handlers_["b"] = [](const exchange_ptr& call) {
      call->reply(503, answer_to(call).add("Not-Executed", "1"), "");
    };
    const auto end = loop_.after(milliseconds(300), [&open] {
      open->chunk("id: 2\n\n");
      open->end();
    });
    http_client other(loop_);
    http_call call{front_address, "POST", "/x/1"};
    call.headers.add("Host", "h").add("Request-Id", "r");
    const auto leave =
        loop_.after(milliseconds(100), [&] { other.send(call, {}); });
    CPPUNIT_ASSERT_EQUAL(200, send("/stream/1"));
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\n\nid: 2\n\n"), last_body_);
    CPPUNIT_ASSERT_EQUAL(2, arrivals_["a"]);
  }

  auto other_endpoint_at_the_address_counts_as_leaving() -> void {
    say_leaving("a", 421, true);
    send_until_at("a");
    CPPUNIT_ASSERT(!entry_->control().notices().endpoints().leaves("a", "1"));
  }

  auto process_that_started_again_gets_no_requests() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    handlers_.erase("a");
    leader_->list(make_record("a", "2"));
    wait(milliseconds(100));
    arrivals_["a"] = 0;
    send_until_at("a");
  }

  auto directory_that_lists_it_as_up_brings_it_back() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    auto record = make_record("a", "1");
    record.report = 9;
    leader_->list(record);
    wait(milliseconds(100));
    assert_excluded("a");
  }

  auto leader_is_not_told_who_leaves() -> void {
    say_leaving("a", 200, false);
    send_until_at("a");
    wait(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader_->reports.size());
    const auto& report = leader_->reports.front();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), report.id);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), report.incarnation);
    CPPUNIT_ASSERT_EQUAL(address_of("a").text(), report.address);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(endpoint_state::leaving),
                         report.state);
  }

  auto ask_for_pause(const std::string& id, const std::string& length,
                     bool not_run = true) -> void {
    handlers_[id] = [length, not_run](const exchange_ptr& call) {
      auto headers = answer_to(call);
      headers.add("Retry-After", length);
      if (not_run) headers.add("Not-Executed", "1");
      call->reply(503, headers, "busy");
    };
  }

  auto pausing_endpoint_gets_requests() -> void {
    ask_for_pause("a", "0.8");
    send_until_at("a");
    handlers_.erase("a");
    const auto start = boottime_clock::now();
    while (boottime_clock::now() - start < milliseconds(700)) {
      CPPUNIT_ASSERT_EQUAL(200, send());
      wait(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(1, arrivals_["a"]);
    wait(milliseconds(300));
    arrivals_["a"] = 0;
    send_until_at("a");
  }

  auto pause_of_a_request_that_may_have_run_is_ignored() -> void {
    ask_for_pause("a", "30", false);
    send_until_at("a");
    assert_excluded("a");
  }

  auto callers_wait_for_endpoints_that_all_pause() -> void {
    ask_for_pause("a", "2");
    ask_for_pause("b", "5");
    send();
    const auto start = boottime_clock::now();
    const auto before = arrivals_;
    CPPUNIT_ASSERT_EQUAL(503, send());
    CPPUNIT_ASSERT_EQUAL(503, send("/once/1"));
    CPPUNIT_ASSERT(boottime_clock::now() - start < milliseconds(100));
    CPPUNIT_ASSERT(before == arrivals_);
    const auto retry = std::stod(*last_headers_.find("Retry-After"));
    CPPUNIT_ASSERT(retry > 1.8 && retry < 3.1);
  }

  auto pause_ejects_the_endpoint() -> void {
    ask_for_pause("a", "0.2", false);
    for (int i = 0; i < 4; ++i) {
      arrivals_["a"] = 0;
      send_until_at("a");
      wait(milliseconds(250));
    }
    handlers_.erase("a");
    arrivals_["a"] = 0;
    send_until_at("a");
    CPPUNIT_ASSERT(entry_->control().notices().endpoints().empty());
  }

  auto leader_is_not_told_who_pauses() -> void {
    ask_for_pause("a", "30");
    send_until_at("a");
    wait(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader_->paused.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), leader_->paused.front().endpoint);
    CPPUNIT_ASSERT(leader_->paused.front().left_ms > 20000);
  }

  /// The endpoints refuse all requests but the first one, whose connection they
  /// close once both pause. It must run again after the pauses.
  auto assert_runs_again_after_pauses(const std::string& target,
                                      const socket_address& server) -> void {
    exchange_ptr first;
    const auto end = boottime_clock::now() + milliseconds(1000);
    for (const std::string id : {"a", "b"})
      handlers_[id] = [&first, end](const exchange_ptr& call) {
        if (!first) {
          first = call;
          return;
        }
        if (boottime_clock::now() >= end)
          return call->reply(200, answer_to(call), "done");
        auto headers = answer_to(call);
        headers.add("Retry-After", "0.8").add("Not-Executed", "1");
        headers.add("Engine-Began", "no");
        call->reply(503, headers, "{}");
      };
    http_client others(loop_);
    http_call call{server, "POST", target};
    call.headers.add("Host", "h").add("Request-Id", "r");
    call.headers.add("Authorization", "Bearer t");
    const auto ask = loop_.every(milliseconds(20), [&] {
      call.body += "x";
      if (first && entry_->control().notices().paused(instant{}).size() < 2)
        others.send(call, {});
    });
    const auto close = loop_.after(milliseconds(200), [&] { first->abort(); });
    const auto start = boottime_clock::now();
    CPPUNIT_ASSERT_EQUAL(200, send(target, server));
    CPPUNIT_ASSERT(boottime_clock::now() - start > milliseconds(700));
  }

  auto request_that_may_have_run_ends_while_all_endpoints_pause() -> void {
    assert_runs_again_after_pauses("/x/1", front_address);
  }

  auto own_request_that_may_have_run_ends_while_all_endpoints_pause() -> void {
    assert_runs_again_after_pauses("/services/app/1", entry_address);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_notice_test);

}  // namespace pollenloft::test
