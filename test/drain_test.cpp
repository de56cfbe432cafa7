#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "entry_server.hpp"
#include "front_server.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

using json = nlohmann::json;

const socket_address own_address{"127.0.9.40", 18401};
const socket_address front_address{"127.0.9.40", 18402};
const socket_address readiness_address{"127.0.9.40", 18403};
const socket_address control_address{"127.0.9.41", 18404};
const socket_address endpoint_address{"127.0.9.42", 18405};
constexpr std::size_t caller_count = 200;
/// Below the backlog of a listener.
constexpr std::size_t connect_batch = 50;
constexpr std::size_t body_bytes = 200 * 1024;

/// Grants leases, with one plain service on both interfaces.
class fake_leader {
 public:
  explicit fake_leader(event_loop& loop)
      : server_(loop, http_limits{}, [this, &loop](const auto& call) {
          if (call->request().path == "/control/blames") {
            report = call;
            return;
          }
          reply_timer_ = loop.after(milliseconds(10), [this, call] {
            call->reply(200, {}, encode_wire(reply()));
          });
        }) {
    CPPUNIT_ASSERT(server_.listen(control_address));
  }

  exchange_ptr report;  ///< of a crash, not acknowledged

 private:
  static auto document() -> std::string {
    json routes;
    for (const auto* kind : {"idempotent", "streaming"})
      routes.push_back({{"Name", kind},
                        {"Hostname", "h"},
                        {"PathPrefix", "/" + std::string(kind) + "/"},
                        {"Type", kind},
                        {"Attempts", 1},
                        {"TimeoutMs", 20000},
                        {"Public", true},
                        {"Backend", "app"}});
    return json{
        {"Version", 1}, {"Services", {{{"Name", "app"}}}}, {"Routes", routes}}
        .dump();
  }

  static auto reply() -> wire::renew_reply {
    wire::renew_reply reply;
    reply.granted = true;
    reply.leader = control_address.text();
    reply.lease_ms = 1000;
    reply.term = 1;
    reply.vm_count = 1;
    reply.document = 1;
    reply.document_text = document();
    reply.version = 1;
    reply.configuration =
        R"({"version":1,"accounts":{"a":{"token":"t","weight":1}},"services":)"
        R"({"app":{"deadline_ms":20000,"idempotent":true,"kind":"plain"}}})";
    reply.directory_sequence = 1;
    wire::endpoint_record endpoint;
    endpoint.id = "e";
    endpoint.incarnation = "1";
    endpoint.address = endpoint_address.text();
    endpoint.zone = "z";
    endpoint.pipeline = "app";
    endpoint.last_layer = 1;
    endpoint.slots = 10 * caller_count;
    reply.endpoints = {endpoint};
    return reply;
  }

  http_server server_;
  timer reply_timer_;
};

/// Sends one request and reads its response slowly, through a small buffer.
class slow_caller {
 public:
  slow_caller(event_loop& loop, const socket_address& address,
              const std::string& path)
      : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const int receive_bytes = 4096;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof receive_bytes);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    remote.sin_addr.s_addr = htonl(ipv4_number(address.host));
    CPPUNIT_ASSERT_EQUAL(
        0, ::connect(socket_, reinterpret_cast<sockaddr*>(&remote),
                     sizeof remote));
    const auto request = "POST " + path +
                         " HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\n"
                         "Authorization: Bearer t\r\nContent-Length: 2\r\n"
                         "\r\nhi";
    CPPUNIT_ASSERT(::write(socket_, request.data(), request.size()) > 0);
    fcntl(socket_, F_SETFL, O_NONBLOCK);
    timer_ = loop.every(milliseconds(5), [this] { read_part(); });
  }
  ~slow_caller() { ::close(socket_); }
  slow_caller(const slow_caller&) = delete;
  auto operator=(const slow_caller&) -> slow_caller& = delete;

  /// Reads what is left until the connection ends.
  auto finish() -> void {
    fcntl(socket_, F_SETFL, 0);
    while (read_part()) {
    }
  }

  auto complete() const -> bool {
    const auto header_end = received_.find("\r\n\r\n");
    if (header_end == std::string::npos) return false;
    if (received_.find("Transfer-Encoding: chunked") < header_end)
      return received_.find("\r\n0\r\n\r\n") != std::string::npos;
    const auto length = received_.find("Content-Length: ");
    if (length > header_end) return false;
    return received_.size() - header_end - 4 ==
           std::stoul(received_.substr(length + 16));
  }
  auto status() const -> std::string {
    return received_.size() < 12 ? "" : received_.substr(9, 3);
  }

 private:
  auto read_part() -> bool {
    std::array<char, 8192> part{};
    const auto size = ::read(socket_, part.data(), part.size());
    if (size > 0) received_.append(part.data(), static_cast<std::size_t>(size));
    return size > 0;
  }

  int socket_;
  std::string received_;
  timer timer_;
};

}  // namespace

class drain_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(drain_test);
  CPPUNIT_TEST(answers_of_the_front_are_cut_off_at_the_end_of_a_drain);
  CPPUNIT_TEST(streams_of_the_front_are_cut_off_at_the_end_of_a_drain);
  CPPUNIT_TEST(own_answers_are_cut_off_at_the_end_of_a_drain);
  CPPUNIT_TEST(crash_report_is_lost_at_the_end_of_a_drain);
  CPPUNIT_TEST(drain_waits_for_an_unreachable_leader);
  CPPUNIT_TEST_SUITE_END();

  // Leader, endpoint and callers run on a loop of their own, as the drain waits
  // for all responses of the loop of the VM.
  std::unique_ptr<event_loop> outside_;
  std::unique_ptr<event_loop> loop_;
  timer outside_timer_;
  std::unique_ptr<fake_leader> leader_;
  std::unique_ptr<http_server> endpoint_;
  std::vector<exchange_ptr> runs_;  // at the endpoint
  std::unique_ptr<entry_server> entry_;
  std::unique_ptr<front_server> front_;
  std::vector<std::unique_ptr<slow_caller>> callers_;

 public:
  auto setUp() -> void override {
    outside_ = std::make_unique<event_loop>();
    loop_ = std::make_unique<event_loop>();
    outside_timer_ = loop_->every(milliseconds(1), [this] { run_outside(); });
    leader_ = std::make_unique<fake_leader>(*outside_);
    endpoint_ = std::make_unique<http_server>(
        *outside_, http_limits{},
        [this](const exchange_ptr& call) { runs_.push_back(call); });
    CPPUNIT_ASSERT(endpoint_->listen(endpoint_address));
    start_vm();
    wait(milliseconds(200));
  }
  auto tearDown() -> void override {
    callers_.clear();
    runs_.clear();
    stop_vm();
    endpoint_.reset();
    leader_.reset();
    outside_timer_ = timer();
    loop_.reset();
    outside_.reset();
  }

  /// Runs what is due on the other loop.
  auto run_outside() -> void {
    outside_->post([this] { outside_->stop(); });
    outside_->run();
  }

  auto start_vm() -> void {
    entry_options options;
    options.vm = "vm";
    options.zone = "z";
    options.listen = own_address;
    options.control = {control_address};
    options.drain_notice = milliseconds(50);
    options.grace = std::chrono::seconds(20);
    entry_ = std::make_unique<entry_server>(
        *loop_, options,
        *chart::load(std::string(POLLENLOFT_ROOT) + "/charts/request.json",
                     request_chart_names()));
    front_options front;
    front.listen = front_address;
    front.readiness = readiness_address;
    front.drain_notice = options.drain_notice;
    front_ = std::make_unique<front_server>(
        *loop_, front, entry_->client(), entry_->control(), entry_->crashes(),
        entry_->request_chart(), entry_->metrics_registry());
    entry_->set_other_open_requests([this] { return front_->open_requests(); });
    CPPUNIT_ASSERT(front_->start());
    CPPUNIT_ASSERT(entry_->start());
  }
  /// Closes all connections, as the end of the process does.
  auto stop_vm() -> void {
    front_.reset();
    entry_.reset();
  }

  auto wait(duration time) -> void {
    const auto end = loop_->after(time, [this] { loop_->stop(); });
    loop_->run();
  }

  auto reply_to_all_runs(bool stream) -> void {
    for (const auto& run : std::exchange(runs_, {})) {
      http_headers headers;
      headers.add("Request-Id", "q");
      if (!stream) {
        run->reply(200, headers, std::string(body_bytes, 'x'));
        continue;
      }
      run->start(200, headers);
      run->chunk("id: 1\ndata: " + std::string(body_bytes, 'x') + "\n\n");
      run->end();
    }
  }

  /// Drains while all callers wait for their answer, and expects each of these
  /// to arrive whole.
  auto drain(const socket_address& address, const std::string& path,
             bool stream) -> void {
    for (std::size_t i = 0; i < caller_count; ++i) {
      callers_.push_back(
          std::make_unique<slow_caller>(*outside_, address, path));
      if (i % connect_batch == 0) wait(milliseconds(10));
    }
    wait(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(caller_count, runs_.size());
    front_->drain();
    entry_->shut_down();
    const auto answer = loop_->after(
        milliseconds(200), [this, stream] { reply_to_all_runs(stream); });
    loop_->run();
    stop_vm();
    std::size_t complete = 0;
    for (const auto& caller : callers_) {
      caller->finish();
      if (caller->complete() && caller->status() == "200") ++complete;
    }
    CPPUNIT_ASSERT_EQUAL(caller_count, complete);
  }

  auto answers_of_the_front_are_cut_off_at_the_end_of_a_drain() -> void {
    drain(front_address, "/idempotent/1", false);
  }

  auto streams_of_the_front_are_cut_off_at_the_end_of_a_drain() -> void {
    drain(front_address, "/streaming/1", true);
  }

  auto own_answers_are_cut_off_at_the_end_of_a_drain() -> void {
    drain(own_address, "/services/app/1", false);
  }

  auto crash_report_is_lost_at_the_end_of_a_drain() -> void {
    entry_->control().report_crash({});
    wait(milliseconds(50));
    CPPUNIT_ASSERT(leader_->report);
    entry_->shut_down();
    const auto reply = loop_->after(milliseconds(300), [this] {
      wire::settle_reply accepted;
      accepted.accepted = true;
      leader_->report->reply(200, {}, encode_wire(accepted));
    });
    loop_->run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, entry_->control().pending_reports());
  }

  auto drain_waits_for_an_unreachable_leader() -> void {
    leader_.reset();
    entry_->control().report_crash({});
    const auto start = boottime_clock::now();
    entry_->shut_down();
    loop_->run();
    CPPUNIT_ASSERT(boottime_clock::now() - start < std::chrono::seconds(5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_test);

}  // namespace pollenloft::test
