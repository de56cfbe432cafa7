#include "front_server.hpp"

#include <nlohmann/json.hpp>

#include "property.hpp"

namespace pollenloft::test {
namespace {

using json = nlohmann::json;

const socket_address front_address{"127.0.9.10", 18091};
const socket_address readiness_address{"127.0.9.10", 18092};
const socket_address relay_address{"127.0.9.10", 18095};
const socket_address control_address{"127.0.9.11", 18093};
const socket_address endpoint_address{"127.0.9.12", 18094};
constexpr auto max_negative_age = milliseconds(200);

auto make_document(std::int64_t number, const std::string& key) -> std::string {
  json document{
      {"Version", number},
      {"Services", {{{"Name", "app"}}}},
      {"Tenants", {{{"Name", "a"}, {"ApiKeys", json::array({key})}}}}};
  const auto add_route = [&](const std::string& path, bool is_public) {
    document["Routes"].push_back({{"Name", path},
                                  {"Hostname", "h"},
                                  {"PathPrefix", path},
                                  {"Type", "idempotent"},
                                  {"Attempts", 3},
                                  {"TimeoutMs", 2000},
                                  {"Public", is_public},
                                  {"Backend", "app"}});
  };
  add_route("/x/", true);
  add_route("/closed/", false);
  if (number > 1) add_route("/new/", true);
  return document.dump();
}

/// A leader that confirms its document every 10 ms and sends one endpoint.
/// Document 2 adds the route /new/ and replaces the key "old" by "new".
class fake_leader {
 public:
  explicit fake_leader(event_loop& loop)
      : loop_(loop), server_(loop, http_limits{}, [this](const auto& call) {
          if (silent_) return held_.push_back(call);
          if (call->request().path == state_transfer_path)
            return send_part(call);
          reply_to(call);
        }) {
    CPPUNIT_ASSERT(server_.listen(control_address));
  }

  /// Holds all renewals until `resume`.
  auto pause() -> void { silent_ = true; }
  auto resume() -> void {
    silent_ = false;
    for (const auto& call : std::exchange(held_, {}))
      if (call->open()) reply_to(call);
  }

  /// Announces a new incarnation of the endpoint.
  auto restart_endpoint() -> void {
    ++incarnation_;
    endpoint_sent_ = false;
  }

  bool leads = false;
  std::int64_t document = 1;
  bool withholds_text = false;  // names its document without sending it
  std::string text;             // instead of that of its document

 private:
  auto reply_to(const exchange_ptr& call) -> void {
    if (!leads) return call->reply(200, {}, encode_wire(wire::renew_reply{}));
    wire::renew_reply reply;
    reply.granted = true;
    reply.leader = control_address.text();
    reply.lease_ms = 1000;
    reply.term = 1;
    reply.vm_count = 1;
    reply.document = document;
    if (!withholds_text)
      reply.document_text =
          text.empty() ? make_document(document, document > 1 ? "new" : "old")
                       : text;
    if (!endpoint_sent_) reply.endpoints = {endpoint()};
    reply.directory_sequence = incarnation_;
    endpoint_sent_ = true;
    reply_timer_ = loop_.after(milliseconds(10), [call, reply] {
      call->reply(200, {}, encode_wire(reply));
    });
  }

  auto send_part(const exchange_ptr& call) -> void {
    state_catalog documents;
    if (!withholds_text)
      documents.publish(document,
                        make_document(document, document > 1 ? "new" : "old"));
    const auto request = decode_wire<wire::state_request>(call->request().body);
    const auto part = documents.part(*request);
    call->reply(200, {}, encode_wire(part ? *part : wire::state_part{}));
  }

  auto endpoint() const -> wire::endpoint_record {
    wire::endpoint_record record;
    record.id = "e";
    record.incarnation = std::to_string(incarnation_);
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
  std::vector<exchange_ptr> held_;
  bool silent_ = false;
  bool endpoint_sent_ = false;
  int incarnation_ = 1;
};

struct answer {
  int status = 0;
  http_headers headers{};
  duration elapsed{};
};

auto make_call(const std::string& target) -> http_call {
  http_call call{front_address, "GET", target};
  call.headers.add("Host", "h").add("Request-Id", "q");
  call.timeout = milliseconds(3000);
  return call;
}

}  // namespace

class front_server_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(front_server_test);
  CPPUNIT_TEST(request_is_deferred_until_the_configuration_arrives);
  CPPUNIT_TEST(request_is_refused_without_a_configuration);
  CPPUNIT_TEST(unknown_route_waits_although_the_document_is_current);
  CPPUNIT_TEST(unknown_key_waits_although_the_document_is_current);
  CPPUNIT_TEST(known_route_waits_for_a_confirmation);
  CPPUNIT_TEST(route_of_a_newer_document_is_answered_404);
  CPPUNIT_TEST(key_of_a_newer_document_is_answered_401);
  CPPUNIT_TEST(confirmed_absence_is_not_answered_404);
  CPPUNIT_TEST(route_is_answered_404_while_a_newer_document_is_known);
  CPPUNIT_TEST(unknown_route_is_answered_404_without_a_leader);
  CPPUNIT_TEST(unknown_key_is_answered_401_without_a_leader);
  CPPUNIT_TEST(more_requests_are_deferred_than_allowed);
  CPPUNIT_TEST(deferred_request_outlives_its_deadline);
  CPPUNIT_TEST(disconnected_caller_keeps_its_place);
  CPPUNIT_TEST(deferred_request_is_lost_at_shutdown);
  CPPUNIT_TEST(request_is_accepted_after_open_requests_were_ended);
  CPPUNIT_TEST(unreadable_document_does_not_confirm_the_one_before);
  CPPUNIT_TEST(request_that_crashed_three_endpoints_runs_again);
  CPPUNIT_TEST(retry_runs_after_the_third_crash);
  CPPUNIT_TEST_SUITE_END();

 protected:
  event_loop loop_;
  std::unique_ptr<fake_leader> leader_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<control_client> control_;
  std::unique_ptr<crash_monitor> crashes_;
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
    crashes_ = std::make_unique<crash_monitor>(
        loop_, control_->crashes(), metrics_,
        [this](const auto& report) { control_->report_crash(report); });
    front_options front;
    front.listen = front_address;
    front.readiness = readiness_address;
    front.document_apply_time = 2 * max_negative_age;
    front.drain_notice = milliseconds(100);
    front.max_deferred = 2;
    front.relay_listen = relay_address;
    front.relay_key = "secret";
    front_ = std::make_unique<front_server>(loop_, front, *client_, *control_,
                                            *crashes_, *chart_, metrics_);
    endpoint_ = make_endpoint();
    CPPUNIT_ASSERT(front_->start());
    control_->start();
  }
  auto tearDown() -> void override {
    endpoint_.reset();
    front_.reset();
    crashes_.reset();
    control_.reset();
    client_.reset();
    leader_.reset();
  }

  /// Starts an endpoint that crashes when it gets the request `target`, and
  /// counts how often that runs.
  auto crash_on(const std::string& target, int& runs) -> void {
    endpoint_.reset();
    endpoint_ = std::make_unique<http_server>(
        loop_, http_limits{}, [&runs, target, this](const exchange_ptr& call) {
          if (call->request().target != target) return reply_done(call);
          ++runs;
          call->abort();
          loop_.post([this] { endpoint_->close_listener(); });
        });
    CPPUNIT_ASSERT(endpoint_->listen(endpoint_address));
  }
  /// How often the request `target` runs when it is sent once to such an
  /// endpoint.
  auto runs_until_crash(const std::string& target) -> int {
    auto runs = 0;
    crash_on(target, runs);
    send(target);
    restart_endpoint();
    return runs;
  }

  auto restart_endpoint() -> void {
    endpoint_.reset();
    endpoint_ = make_endpoint();
    leader_->restart_endpoint();
    wait(milliseconds(50));
  }

  static auto reply_done(const exchange_ptr& call) -> void {
    call->reply(200, http_headers().add("Request-Id", "q"), "done");
  }
  auto make_endpoint() -> std::unique_ptr<http_server> {
    auto server =
        std::make_unique<http_server>(loop_, http_limits{}, &reply_done);
    CPPUNIT_ASSERT(server->listen(endpoint_address));
    return server;
  }

  /// Sends one request and waits for its answer.
  auto send(const http_call& call) -> answer {
    http_client caller(loop_);
    answer result;
    const auto sent = boottime_clock::now();
    caller.send(call, {[&](int code, const auto& headers) {
                         result.status = code;
                         result.headers = headers;
                       },
                       {},
                       [this](const auto&, auto) { loop_.stop(); }});
    loop_.run();
    result.elapsed = boottime_clock::now() - sent;
    return result;
  }
  auto send(const std::string& target) -> answer {
    return send(make_call(target));
  }
  auto send_with_key(const std::string& key) -> answer {
    auto call = make_call("/closed/1");
    call.headers.add("Api-Key", key);
    return send(call);
  }

  auto wait(duration time) -> void {
    const auto end = loop_.after(time, [this] { loop_.stop(); });
    loop_.run();
  }
  auto receive_document() -> void {
    leader_->leads = true;
    wait(milliseconds(150));
  }
  auto lose_leader() -> void {
    leader_->pause();
    wait(max_negative_age + milliseconds(50));
  }
  auto receive_document_and_lose_leader() -> void {
    receive_document();
    lose_leader();
  }
  /// Returns after `time` to a leader that has document `number`.
  [[nodiscard]] auto recover_leader(duration time, std::int64_t number)
      -> timer {
    return loop_.after(time, [this, number] {
      leader_->document = number;
      leader_->resume();
    });
  }
  static auto check_refused_to_come_back(const answer& result) -> void {
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT(result.headers.find("Retry-After"));
    CPPUNIT_ASSERT(result.elapsed > milliseconds(600));
    CPPUNIT_ASSERT(result.elapsed < milliseconds(1500));
  }

  /// After all processes are killed at once, a restarted VM receives requests
  /// before a leader is elected.
  auto request_is_deferred_until_the_configuration_arrives() -> void {
    const auto election =
        loop_.after(milliseconds(300), [this] { leader_->leads = true; });
    const auto result = send("/x/1");
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    CPPUNIT_ASSERT(result.elapsed < milliseconds(900));
  }

  auto request_is_refused_without_a_configuration() -> void {
    const auto result = send("/x/1");
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT(result.elapsed < milliseconds(1500));
  }

  auto unknown_route_waits_although_the_document_is_current() -> void {
    receive_document();
    leader_->pause();
    const auto result = send("/absent");
    CPPUNIT_ASSERT_EQUAL(404, result.status);
    CPPUNIT_ASSERT(result.elapsed < milliseconds(200));
  }

  auto unknown_key_waits_although_the_document_is_current() -> void {
    receive_document();
    leader_->pause();
    const auto result = send_with_key("absent");
    CPPUNIT_ASSERT_EQUAL(401, result.status);
    CPPUNIT_ASSERT(result.elapsed < milliseconds(200));
  }

  auto known_route_waits_for_a_confirmation() -> void {
    receive_document_and_lose_leader();
    for (const auto& result : {send("/x/1"), send_with_key("old")}) {
      CPPUNIT_ASSERT_EQUAL(200, result.status);
      CPPUNIT_ASSERT(result.elapsed < milliseconds(200));
    }
  }

  auto route_of_a_newer_document_is_answered_404() -> void {
    receive_document_and_lose_leader();
    const auto recovery = recover_leader(milliseconds(300), 2);
    const auto result = send("/new/1");
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    CPPUNIT_ASSERT(result.elapsed < milliseconds(600));
  }

  auto key_of_a_newer_document_is_answered_401() -> void {
    receive_document_and_lose_leader();
    const auto recovery = recover_leader(milliseconds(300), 2);
    const auto result = send_with_key("new");
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    CPPUNIT_ASSERT(result.elapsed < milliseconds(600));
  }

  auto confirmed_absence_is_not_answered_404() -> void {
    receive_document_and_lose_leader();
    const auto recovery = recover_leader(milliseconds(300), 1);
    const auto result = send("/new/1");
    CPPUNIT_ASSERT_EQUAL(404, result.status);
    CPPUNIT_ASSERT(result.elapsed > milliseconds(250));
    CPPUNIT_ASSERT(result.elapsed < milliseconds(600));
  }

  auto route_is_answered_404_while_a_newer_document_is_known() -> void {
    receive_document();
    leader_->document = 2;
    leader_->withholds_text = true;
    wait(milliseconds(40));
    CPPUNIT_ASSERT(control_->document_age() < max_negative_age);
    const auto arrival = loop_.after(
        milliseconds(100), [this] { leader_->withholds_text = false; });
    CPPUNIT_ASSERT_EQUAL(200, send("/new/1").status);
  }

  /// Of the documents that this VM can read, the newest may contain keys that
  /// were taken away since.
  auto unreadable_document_does_not_confirm_the_one_before() -> void {
    receive_document();
    CPPUNIT_ASSERT_EQUAL(200, send_with_key("old").status);
    leader_->text = "{}";
    leader_->document = 2;
    wait(std::chrono::seconds(6));
    const auto route = send("/new/1").status;
    const auto key = send_with_key("old").status;
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a key of document 1 after 6 s", 503, key);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a route of document 2", 503, route);
  }

  auto unknown_route_is_answered_404_without_a_leader() -> void {
    receive_document_and_lose_leader();
    check_refused_to_come_back(send("/absent"));
  }

  auto unknown_key_is_answered_401_without_a_leader() -> void {
    receive_document_and_lose_leader();
    check_refused_to_come_back(send_with_key("absent"));
  }

  auto more_requests_are_deferred_than_allowed() -> void {
    receive_document_and_lose_leader();
    http_client others(loop_);
    std::vector<int> statuses;
    for (int i = 0; i < 2; ++i)
      others.send(
          make_call("/absent"),
          {[&](int code, const auto&) { statuses.push_back(code); }, {}, {}});
    wait(milliseconds(50));
    const auto result = send("/absent");
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT(result.headers.find("Retry-After"));
    CPPUNIT_ASSERT(result.elapsed < milliseconds(200));
    CPPUNIT_ASSERT(statuses.empty());
    wait(milliseconds(1200));
    CPPUNIT_ASSERT(statuses == (std::vector<int>{503, 503}));
  }

  auto deferred_request_outlives_its_deadline() -> void {
    receive_document_and_lose_leader();
    auto call = make_call("/absent");
    call.headers.add("Deadline-Ms", "300");
    const auto result = send(call);
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT(result.elapsed > milliseconds(200));
    CPPUNIT_ASSERT(result.elapsed < milliseconds(400));
  }

  auto disconnected_caller_keeps_its_place() -> void {
    receive_document_and_lose_leader();
    http_client others(loop_);
    std::vector<pending_call_ptr> calls;
    for (int i = 0; i < 2; ++i)
      calls.push_back(others.send(make_call("/absent"), {}));
    wait(milliseconds(50));
    for (const auto& call : calls)
      call->cancel();
    wait(milliseconds(50));
    check_refused_to_come_back(send("/absent"));
  }

  auto deferred_request_is_lost_at_shutdown() -> void {
    receive_document_and_lose_leader();
    front_->drain();
    const auto result = send("/absent");
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT(result.elapsed > milliseconds(50));
    CPPUNIT_ASSERT(result.elapsed < milliseconds(300));
  }

  auto request_that_crashed_three_endpoints_runs_again() -> void {
    receive_document();
    auto runs = 0;
    for (int arrival = 0; arrival < 4; ++arrival) {
      runs += runs_until_crash("/x/1");
      CPPUNIT_ASSERT_EQUAL(200, send("/x/2").status);
    }
    CPPUNIT_ASSERT_EQUAL(3, runs);
    const auto result = send("/x/1");
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT(result.headers.find("Retry-After"));
    CPPUNIT_ASSERT(result.elapsed < milliseconds(100));
  }

  /// Two crashes on other VMs; the endpoint returns while the retry is queued.
  auto retry_runs_after_the_third_crash() -> void {
    receive_document();
    auto& guard = control_->crashes();
    const auto fingerprint = request_fingerprint("", "/x/1", "");
    for (const auto* endpoint : {"a", "b"})
      guard.record_crash(fingerprint, endpoint,
                         inferred_points_before_first_event,
                         boottime_clock::now());
    auto runs = 0;
    const auto restart = loop_.after(milliseconds(100), [&, this] {
      crash_on("/x/1", runs);
      leader_->restart_endpoint();
    });
    crash_on("/x/1", runs);
    const auto status = send("/x/1").status;
    CPPUNIT_ASSERT_EQUAL(1, runs);
    CPPUNIT_ASSERT_EQUAL(502, status);
  }

  /// The process stops a moment later, also during the drain notice.
  auto request_is_accepted_after_open_requests_were_ended() -> void {
    receive_document();
    front_->drain();
    front_->end_open_requests();
    CPPUNIT_ASSERT_EQUAL(503, send("/x/1").status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_server_test);

class front_prompt_part_test : public front_server_test {
  CPPUNIT_TEST_SUITE(front_prompt_part_test);
  CPPUNIT_TEST(requests_with_a_part_that_crashes_endpoints_run_on);
  CPPUNIT_TEST(sound_requests_are_held_with_the_part_of_others);
  CPPUNIT_TEST_SUITE_END();

  /// A request of its own that shares parts of its prompt with others.
  static auto call_with_parts(const std::string& parts) -> http_call {
    static int count = 0;
    const auto own = std::to_string(++count);
    auto call = make_call("/x/" + own);
    call.headers.add("Prefix-Hash", parts + ",f" + own + ":9");
    return call;
  }

  /// Crashes the endpoint under each request whose prompt has the part "bad".
  auto crash_on_part(int& runs) -> void {
    endpoint_.reset();
    endpoint_ = std::make_unique<http_server>(
        loop_, http_limits{}, [&runs, this](const exchange_ptr& call) {
          const auto parts =
              call->request().headers.find("Prefix-Hash").value_or("");
          if (parts.find("bad:") == std::string::npos) return reply_done(call);
          ++runs;
          call->abort();
          loop_.post([this] { endpoint_->close_listener(); });
        });
    CPPUNIT_ASSERT(endpoint_->listen(endpoint_address));
  }

  /// Sends new requests with the part, each to an endpoint that has just
  /// started, with some time between them.
  auto crash_with_part(int count, int& runs) -> std::vector<int> {
    std::vector<int> statuses;
    for (int i = 0; i < count; ++i) {
      crash_on_part(runs);
      statuses.push_back(send(call_with_parts("all:40,bad:200")).status);
      restart_endpoint();
      wait(milliseconds(300));
    }
    return statuses;
  }

 public:
  auto requests_with_a_part_that_crashes_endpoints_run_on() -> void {
    receive_document();
    auto runs = 0;
    const auto statuses = crash_with_part(8, runs);
    CPPUNIT_ASSERT(runs <= 5);
    CPPUNIT_ASSERT_EQUAL(503, statuses.back());
  }

  auto sound_requests_are_held_with_the_part_of_others() -> void {
    receive_document();
    CPPUNIT_ASSERT_EQUAL(200, send(call_with_parts("all:40,own:9")).status);
    auto runs = 0;
    crash_with_part(6, runs);
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, send(call_with_parts("all:40,own:9")).status);
      CPPUNIT_ASSERT_EQUAL(200, send(call_with_parts("all:40,new:9")).status);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_prompt_part_test);

/// Requests that another VM relays to this one.
class relayed_request_test : public front_server_test {
  CPPUNIT_TEST_SUITE(relayed_request_test);
  CPPUNIT_TEST(relayed_request_is_not_served);
  CPPUNIT_TEST(caller_forges_the_key_of_a_relay);
  CPPUNIT_TEST(caller_names_itself_a_relay);
  CPPUNIT_TEST(relayed_request_skips_the_check_of_its_api_key);
  CPPUNIT_TEST(endpoint_refuses_in_the_name_of_a_vm);
  CPPUNIT_TEST(refusal_of_a_draining_vm_is_final);
  CPPUNIT_TEST(request_exceeds_the_attempts_that_are_left);
  CPPUNIT_TEST_SUITE_END();

  static auto make_relayed_call(const std::string& target,
                                const std::string& key) -> http_call {
    auto call = make_call(target);
    call.peer = relay_address;
    call.headers.add(relay_key_header, key);
    call.headers.add(relay_attempts_header, "1");
    return call;
  }

  /// Starts an endpoint that keeps the headers of its last request.
  auto record_headers(http_headers& received) -> void {
    endpoint_.reset();
    endpoint_ = std::make_unique<http_server>(
        loop_, http_limits{}, [&received](const exchange_ptr& call) {
          received = call->request().headers;
          call->reply(200,
                      http_headers()
                          .add("Request-Id", "q")
                          .add(relay_refused_header, relay_refused_here),
                      "done");
        });
    CPPUNIT_ASSERT(endpoint_->listen(endpoint_address));
  }

 public:
  auto relayed_request_is_not_served() -> void {
    receive_document();
    http_headers received;
    record_headers(received);
    CPPUNIT_ASSERT_EQUAL(200, send(make_relayed_call("/x/1", "secret")).status);
    CPPUNIT_ASSERT(received.find("Deadline-Ms"));
    CPPUNIT_ASSERT(!received.find(relay_key_header));
    CPPUNIT_ASSERT(!received.find(relay_attempts_header));
  }

  auto caller_forges_the_key_of_a_relay() -> void {
    receive_document();
    http_headers received;
    record_headers(received);
    for (const auto* key : {"", "guess", "secrets"}) {
      const auto result = send(make_relayed_call("/x/1", key));
      CPPUNIT_ASSERT_EQUAL(503, result.status);
      CPPUNIT_ASSERT(result.headers.find(relay_refused_header) ==
                     relay_refused_here);
    }
    CPPUNIT_ASSERT(received.fields().empty());
  }

  auto caller_names_itself_a_relay() -> void {
    receive_document();
    http_headers received;
    record_headers(received);
    auto call = make_relayed_call("/x/1", "guess");
    call.peer = front_address;
    CPPUNIT_ASSERT_EQUAL(200, send(call).status);
    CPPUNIT_ASSERT(!received.find(relay_key_header));
  }

  auto relayed_request_skips_the_check_of_its_api_key() -> void {
    receive_document();
    auto call = make_relayed_call("/closed/1", "secret");
    call.headers.add("Api-Key", "unknown");
    CPPUNIT_ASSERT_EQUAL(401, send(call).status);
    call = make_relayed_call("/closed/1", "secret");
    call.headers.add("Api-Key", "old");
    CPPUNIT_ASSERT_EQUAL(200, send(call).status);
  }

  auto endpoint_refuses_in_the_name_of_a_vm() -> void {
    receive_document();
    http_headers received;
    record_headers(received);
    const auto result = send(make_relayed_call("/x/1", "secret"));
    CPPUNIT_ASSERT(!result.headers.find(relay_refused_header));
  }

  auto refusal_of_a_draining_vm_is_final() -> void {
    receive_document();
    front_->drain();
    const auto result = send(make_relayed_call("/x/1", "secret"));
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT(result.headers.find(relay_refused_header) ==
                   relay_refused_here);
  }

  auto request_exceeds_the_attempts_that_are_left() -> void {
    receive_document();
    auto runs = 0;
    endpoint_.reset();
    endpoint_ = std::make_unique<http_server>(
        loop_, http_limits{}, [&runs](const exchange_ptr& call) {
          ++runs;
          call->abort();
        });
    CPPUNIT_ASSERT(endpoint_->listen(endpoint_address));
    CPPUNIT_ASSERT_EQUAL(502, send(make_relayed_call("/x/1", "secret")).status);
    CPPUNIT_ASSERT_EQUAL(1, runs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relayed_request_test);

}  // namespace pollenloft::test
