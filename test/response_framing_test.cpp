#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "entry_server.hpp"
#include "front_server.hpp"
#include "pollenloft/engine.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

const socket_address endpoint_address{"127.0.9.50", 18501};
constexpr std::size_t mebibyte = 1024 * 1024;
/// An endless response stops here, which takes longer than the bounds allow.
constexpr std::size_t endless_bytes = 24 * mebibyte;
constexpr auto call_timeout = std::chrono::seconds(4);

constexpr response_limits limits{64 * 1024, 8 * mebibyte};

enum class ending { none, closed, reset };

/// What an endpoint sends for one request: `bytes`, then `repeated` without
/// end.
struct raw_response {
  std::string bytes;
  ending end = ending::closed;
  std::string repeated{};
};

/// An endpoint that sends bytes as they are. The responses are sent in turn,
/// the last one again for each further request.
class raw_endpoint {
 public:
  raw_endpoint(event_loop& loop, const socket_address& address)
      : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    local.sin_addr.s_addr = htonl(ipv4_number(address.host));
    CPPUNIT_ASSERT_EQUAL(
        0,
        ::bind(listener_, reinterpret_cast<sockaddr*>(&local), sizeof local));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(listener_, 16));
    timer_ = loop.every(milliseconds(1), [this] { work(); });
  }
  ~raw_endpoint() {
    for (const auto& each : connections_)
      if (each.socket >= 0) ::close(each.socket);
    ::close(listener_);
  }
  raw_endpoint(const raw_endpoint&) = delete;
  auto operator=(const raw_endpoint&) -> raw_endpoint& = delete;

  auto open_connections() const -> std::ptrdiff_t {
    return std::count_if(connections_.begin(), connections_.end(),
                         [](const auto& each) { return each.socket >= 0; });
  }

  std::vector<raw_response> responses;
  std::vector<std::string> received;  ///< requests

 private:
  struct connection {
    int socket = -1;
    std::string input{};
    std::string output{};
    std::string repeated{};
    std::size_t sent = 0;
    ending end = ending::none;
  };

  auto work() -> void {
    for (int socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
         socket >= 0;
         socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK))
      connections_.push_back({socket});
    for (auto& each : connections_)
      if (each.socket >= 0) serve(each);
  }

  auto serve(connection& each) -> void {
    std::array<char, 8192> part{};
    const auto size = ::read(each.socket, part.data(), part.size());
    if (size == 0) return close(each, ending::closed);
    if (size < 0 && errno != EAGAIN) return close(each, ending::closed);
    if (size > 0) each.input.append(part.data(), std::size_t(size));
    // All requests of these tests have this body.
    if (each.input.find("hello") != std::string::npos) answer(each);
    write(each);
  }

  auto answer(connection& each) -> void {
    received.push_back(std::exchange(each.input, {}));
    const auto& response =
        responses.at(std::min(received.size(), responses.size()) - 1);
    each.output = response.bytes;
    each.repeated = response.repeated;
    each.end = response.end;
  }

  static auto write(connection& each) -> void {
    for (;;) {
      while (!each.repeated.empty() && each.output.size() < 65536 &&
             each.sent < endless_bytes)
        each.output += each.repeated;
      if (each.output.empty()) break;
      const auto size =
          ::write(each.socket, each.output.data(), each.output.size());
      if (size < 0) return;
      each.sent += std::size_t(size);
      each.output.erase(0, std::size_t(size));
    }
    if (each.end != ending::none && each.repeated.empty())
      close(each, each.end);
  }

  static auto close(connection& each, ending how) -> void {
    const linger at_once{1, 0};
    if (how == ending::reset)
      setsockopt(each.socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(each.socket);
    each.socket = -1;
  }

  int listener_;
  std::vector<connection> connections_;
  timer timer_;
};

auto chunk(const std::string& data) -> std::string {
  std::ostringstream text;
  text << std::hex << data.size() << "\r\n" << data << "\r\n";
  return text.str();
}

const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string error_head = "HTTP/1.1 500 Failed\r\n";

}  // namespace

/// Responses that end with their connection, and bytes that are no response.
class response_framing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(response_framing_test);
  CPPUNIT_TEST(response_without_length_is_interrupted);
  CPPUNIT_TEST(response_without_length_that_keeps_alive_is_interrupted);
  CPPUNIT_TEST(old_response_without_length_is_interrupted);
  CPPUNIT_TEST(reset_response_without_length_looks_whole);
  CPPUNIT_TEST(short_response_looks_whole);
  CPPUNIT_TEST(cut_chunk_reaches_the_data_callback);
  CPPUNIT_TEST(garbage_is_taken_for_a_response);
  CPPUNIT_TEST(invalid_status_is_taken_for_a_response);
  CPPUNIT_TEST(interim_response_is_taken_for_the_response);
  CPPUNIT_TEST(unknown_transfer_coding_is_taken_for_the_body);
  CPPUNIT_TEST(conflicting_lengths_are_accepted);
  CPPUNIT_TEST(bytes_after_a_response_answer_the_next_call);
  CPPUNIT_TEST(endless_status_line_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_header_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_body_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_chunk_size_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_trailer_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_error_body_is_read_to_the_timeout);
  CPPUNIT_TEST(endless_chunk_is_read_to_the_timeout);
  CPPUNIT_TEST(long_stream_exceeds_the_limit);
  CPPUNIT_TEST(large_response_exceeds_the_limit);
  CPPUNIT_TEST(event_in_small_parts_blocks_the_loop);
  CPPUNIT_TEST_SUITE_END();

 protected:
  event_loop loop_;
  std::unique_ptr<raw_endpoint> endpoint_;
  std::optional<call_result> result_;
  std::vector<int> statuses_;
  std::string body_;
  std::string streamed_;

  auto send(http_client& client, bool stream, bool keep_alive = false) -> void {
    http_call request{endpoint_address, "POST", "/x"};
    request.body = "hello";
    request.keep_alive = keep_alive;
    request.timeout = call_timeout;
    request.limits = limits;
    result_.reset();
    statuses_.clear();
    body_.clear();
    streamed_.clear();
    call_handlers handlers;
    handlers.on_headers = [this](int status, const auto&) {
      statuses_.push_back(status);
    };
    if (stream) handlers.on_data = [this](auto data) { streamed_ += data; };
    handlers.on_done = [this](const auto& result, auto body) {
      result_ = result;
      body_ = body;
      loop_.stop();
    };
    client.send(request, handlers);
    loop_.run();
  }

  auto call(const raw_response& response, bool stream) -> void {
    http_client client(loop_);
    endpoint_->responses = {response};
    send(client, stream);
  }

  auto status() const -> int {
    const auto* completed = std::get_if<call_completed>(&*result_);
    return completed == nullptr ? 0 : completed->status;
  }

  auto expect_body(const raw_response& response, const std::string& body)
      -> void {
    for (const auto stream : {false, true}) {
      call(response, stream);
      CPPUNIT_ASSERT_EQUAL(200, status());
      CPPUNIT_ASSERT_EQUAL(body, stream ? streamed_ : body_);
    }
  }

  auto expect_interruption(const raw_response& response) -> void {
    for (const auto stream : {false, true}) {
      call(response, stream);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response.bytes, 0, status());
      CPPUNIT_ASSERT(std::holds_alternative<call_interrupted>(*result_));
      CPPUNIT_ASSERT_EQUAL(std::string(), body_);
    }
  }

 public:
  auto setUp() -> void override {
    endpoint_ = std::make_unique<raw_endpoint>(loop_, endpoint_address);
  }
  auto tearDown() -> void override { endpoint_.reset(); }

  auto response_without_length_is_interrupted() -> void {
    expect_body({head + "\r\nwhole"}, "whole");
    expect_body({head + "Connection: close\r\n\r\nwhole"}, "whole");
  }

  auto response_without_length_that_keeps_alive_is_interrupted() -> void {
    expect_body({head + "Connection: keep-alive\r\n\r\nwhole"}, "whole");
    expect_body({head + "Connection: close, X\r\n\r\nwhole"}, "whole");
  }

  auto old_response_without_length_is_interrupted() -> void {
    expect_body({"HTTP/1.0 200 OK\r\n\r\nwhole"}, "whole");
  }

  auto reset_response_without_length_looks_whole() -> void {
    expect_interruption({head + "\r\nwhole", ending::reset});
    expect_interruption({head + "\r\n", ending::reset});
    expect_interruption({"HTTP/1.0 200 OK\r\n\r\nwhole", ending::reset});
  }

  auto short_response_looks_whole() -> void {
    for (const auto end : {ending::closed, ending::reset}) {
      expect_interruption({head + "Content-Length: 9\r\n\r\nhalf", end});
      expect_interruption({chunked_head + chunk("half"), end});
      expect_interruption({chunked_head + chunk("half") + "0\r\n", end});
      expect_interruption({head + "X: 1\r\n", end});
    }
  }

  auto cut_chunk_reaches_the_data_callback() -> void {
    expect_interruption({chunked_head + chunk("whole") + "9\r\nhalf"});
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), streamed_);
  }

  auto garbage_is_taken_for_a_response() -> void {
    for (const auto* bytes :
         {"garbage\r\n\r\n", "\x01\x02\x03\r\n", "HTTP/2.0 200 OK\r\n\r\nx",
          "200 OK\r\n\r\n", "HTTP/1.1 OK\r\n\r\n", ""})
      expect_interruption({bytes});
  }

  auto invalid_status_is_taken_for_a_response() -> void {
    for (const auto* status : {"999", "-5", "20", "20x", "99999", "600"})
      expect_interruption({"HTTP/1.1 " + std::string(status) +
                           " X\r\nContent-Length: 1\r\n\r\nx"});
  }

  auto interim_response_is_taken_for_the_response() -> void {
    expect_body({"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n" + head +
                     "Content-Length: 5\r\n\r\nwhole",
                 ending::none},
                "whole");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, statuses_.size());
    expect_interruption({"HTTP/1.1 103 Hints\r\n\r\n", ending::none});
  }

  auto unknown_transfer_coding_is_taken_for_the_body() -> void {
    expect_interruption(
        {head + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n"});
  }

  auto conflicting_lengths_are_accepted() -> void {
    expect_interruption(
        {head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nwhole"});
  }

  auto bytes_after_a_response_answer_the_next_call() -> void {
    http_client client(loop_);
    const auto whole = head + "Content-Length: 5\r\n\r\nfirst";
    endpoint_->responses = {
        {whole + head + "Content-Length: 5\r\n\r\nextra", ending::none},
        {head + "Content-Length: 6\r\n\r\nsecond", ending::none}};
    send(client, false, true);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), body_);
    send(client, false, true);
    CPPUNIT_ASSERT_EQUAL(std::string("second"), body_);
  }

  /// Expects an interruption well before the call times out, and no more than
  /// the rest of the buffers to be sent after it.
  auto expect_bound(const raw_response& response, bool stream) -> void {
    const auto start = boottime_clock::now();
    call(response, stream);
    const auto took = boottime_clock::now() - start;
    CPPUNIT_ASSERT(std::holds_alternative<call_interrupted>(*result_));
    const auto reason = std::get<call_interrupted>(*result_).cause.reason;
    CPPUNIT_ASSERT_MESSAGE(
        reason, reason == "response too long" || reason == "invalid header");
    CPPUNIT_ASSERT(took < call_timeout / 2);
    CPPUNIT_ASSERT_EQUAL(std::string(), body_);
    const auto end = loop_.after(milliseconds(50), [this] { loop_.stop(); });
    loop_.run();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, endpoint_->open_connections());
  }

  static auto endless(const std::string& bytes, const std::string& repeated)
      -> raw_response {
    return {bytes, ending::none, repeated};
  }

  auto endless_status_line_is_read_to_the_timeout() -> void {
    for (const auto stream : {false, true}) {
      expect_bound(endless("HTTP/1.1 200 ", "x"), stream);
      expect_bound(endless("", "x"), stream);
    }
  }

  auto endless_header_is_read_to_the_timeout() -> void {
    for (const auto stream : {false, true}) {
      expect_bound(endless(head + "X: ", "x"), stream);
      expect_bound(endless(head, "X: some value\r\n"), stream);
    }
  }

  auto endless_body_is_read_to_the_timeout() -> void {
    expect_bound(endless(head + "\r\n", std::string(1000, 'x')), false);
    expect_bound(endless(chunked_head, chunk(std::string(1000, 'x'))), false);
    expect_bound(endless(head + "Content-Length: 99999999999\r\n\r\n",
                         std::string(1000, 'x')),
                 false);
  }

  auto endless_chunk_size_is_read_to_the_timeout() -> void {
    for (const auto stream : {false, true})
      expect_bound(endless(chunked_head, "0"), stream);
  }

  auto endless_trailer_is_read_to_the_timeout() -> void {
    for (const auto stream : {false, true})
      expect_bound(endless(chunked_head + "0\r\n", "X: some value\r\n"),
                   stream);
  }

  auto endless_error_body_is_read_to_the_timeout() -> void {
    const auto part = std::string(1000, 'x');
    expect_bound(endless(error_head + "\r\n", part), true);
    expect_bound(
        endless(error_head + "Content-Length: 99999999999\r\n\r\n", part),
        true);
    expect_bound(
        endless(error_head + "Transfer-Encoding: chunked\r\n\r\n", chunk(part)),
        true);
  }

  auto endless_chunk_is_read_to_the_timeout() -> void {
    expect_bound(endless(chunked_head + "ffffffff\r\n", "x"), true);
  }

  auto long_stream_exceeds_the_limit() -> void {
    const std::string part(mebibyte, 'x');
    std::string body;
    for (int i = 0; i < 12; ++i)
      body += chunk(part);
    call({chunked_head + body + "0\r\n\r\n"}, true);
    CPPUNIT_ASSERT_EQUAL(200, status());
    CPPUNIT_ASSERT_EQUAL(12 * part.size(), streamed_.size());
  }

  auto large_response_exceeds_the_limit() -> void {
    const std::string body(6 * mebibyte, 'x');
    call({head + "\r\n" + body}, false);
    CPPUNIT_ASSERT_EQUAL(200, status());
    CPPUNIT_ASSERT_EQUAL(body.size(), body_.size());
  }

  auto event_in_small_parts_blocks_the_loop() -> void {
    event_reader reader;
    const auto start = boottime_clock::now();
    for (std::size_t size = 0; size < mebibyte; size += 4)
      CPPUNIT_ASSERT(reader.feed("data").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reader.feed("data").size());
    CPPUNIT_ASSERT(boottime_clock::now() - start < std::chrono::seconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_framing_test);

namespace {

using json = nlohmann::json;

const socket_address own_address{"127.0.9.51", 18502};
const socket_address front_address{"127.0.9.51", 18503};
const socket_address readiness_address{"127.0.9.51", 18504};
const socket_address control_address{"127.0.9.52", 18505};

auto route_document() -> std::string {
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

auto lease() -> wire::renew_reply {
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
  for (const auto* id : {"e1", "e2"}) {
    wire::endpoint_record endpoint;
    endpoint.id = id;
    endpoint.incarnation = "1";
    endpoint.address = endpoint_address.text();
    endpoint.zone = "z";
    endpoint.pipeline = "app";
    endpoint.last_layer = 1;
    endpoint.slots = 10;
    reply.endpoints.push_back(endpoint);
  }
  return reply;
}

auto event(int id) -> std::string {
  const auto text = std::to_string(id);
  return "id: " + text + "\ndata: t" + text + "\n\n";
}

}  // namespace

/// The same responses at the interfaces of an entry VM.
class entry_framing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(entry_framing_test);
  CPPUNIT_TEST(response_without_length_does_not_reach_the_caller);
  CPPUNIT_TEST(cut_response_looks_whole_to_the_caller);
  CPPUNIT_TEST(garbage_reaches_the_caller);
  CPPUNIT_TEST(large_response_does_not_reach_the_caller);
  CPPUNIT_TEST(endless_response_holds_the_caller_to_the_timeout);
  CPPUNIT_TEST(whole_stream_without_length_is_broken_off);
  CPPUNIT_TEST(cut_stream_looks_whole);
  CPPUNIT_TEST(cut_stream_is_not_resumed);
  CPPUNIT_TEST(endless_event_holds_the_caller_to_the_timeout);
  CPPUNIT_TEST(endless_error_of_a_stream_holds_the_caller_to_the_timeout);
  CPPUNIT_TEST(events_of_another_request_reach_the_caller);
  CPPUNIT_TEST(tiny_events_block_the_loop);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<event_loop> loop_;
  std::unique_ptr<raw_endpoint> endpoint_;
  std::unique_ptr<http_server> leader_;
  std::unique_ptr<entry_server> entry_;
  std::unique_ptr<front_server> front_;
  std::optional<call_result> result_;
  std::string body_;

 public:
  auto setUp() -> void override {
    loop_ = std::make_unique<event_loop>();
    endpoint_ = std::make_unique<raw_endpoint>(*loop_, endpoint_address);
    leader_ = std::make_unique<http_server>(
        *loop_, http_limits{}, [this](const exchange_ptr& call) {
          run_later(*loop_, milliseconds(10),
                    [call] { call->reply(200, {}, encode_wire(lease())); });
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
    endpoint_->responses = std::move(responses);
    endpoint_->received.clear();
    http_client client(*loop_);
    http_call request{path.empty() ? own_address : front_address, "POST",
                      path.empty() ? "/services/app/x" : path + "x"};
    request.headers.add("Host", "h").add("Request-Id", "r1");
    request.headers.add("Authorization", "Bearer t");
    request.body = "hello";
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

  auto expect_whole(const raw_response& response, const std::string& body)
      -> void {
    for (const auto* path : {"/plain/", ""}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200, call(path, {response}));
      CPPUNIT_ASSERT(body == body_);
    }
  }

  auto expect_failure(const raw_response& response) -> void {
    for (const auto* path : {"/plain/", ""}) {
      const auto start = boottime_clock::now();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path + response.bytes, 502,
                                   call(path, {response}));
      CPPUNIT_ASSERT(body_.find("part") == std::string::npos);
      CPPUNIT_ASSERT(boottime_clock::now() - start < call_timeout / 2);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint_->received.size());
      wait(milliseconds(50));
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, endpoint_->open_connections());
    }
  }

  /// Expects a stream that is cut off after this body.
  auto expect_cut(const raw_response& response, const std::string& body)
      -> void {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.bytes, 0,
                                 call("/single/", {response}));
    CPPUNIT_ASSERT_EQUAL(body, body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint_->received.size());
  }

  auto response_without_length_does_not_reach_the_caller() -> void {
    expect_whole({head + "\r\nwhole"}, "whole");
    expect_whole({head + "Connection: keep-alive\r\n\r\nwhole"}, "whole");
    expect_whole({"HTTP/1.0 200 OK\r\nRequest-Id: r1\r\n\r\nwhole"}, "whole");
  }

  auto cut_response_looks_whole_to_the_caller() -> void {
    expect_failure({head + "\r\npart", ending::reset});
    expect_failure(
        {head + "Connection: keep-alive\r\n\r\npart", ending::reset});
    expect_failure({head + "Content-Length: 5\r\n\r\npart"});
    expect_failure({chunked_head + chunk("part")});
    expect_failure({head});
  }

  auto garbage_reaches_the_caller() -> void {
    expect_failure({"part of garbage\r\n\r\n"});
    expect_failure({"HTTP/1.1 999 X\r\nContent-Length: 4\r\n\r\npart"});
    expect_failure({"HTTP/1.1 103 X\r\n\r\n"});
  }

  auto large_response_does_not_reach_the_caller() -> void {
    expect_whole({head + "\r\n" + std::string(6 * mebibyte, 'x')},
                 std::string(6 * mebibyte, 'x'));
  }

  auto endless_response_holds_the_caller_to_the_timeout() -> void {
    const auto part = std::string(1000, 'x');
    for (const auto& response :
         std::vector<raw_response>{{"", ending::none, "x"},
                                   {head, ending::none, "X: some value\r\n"},
                                   {head + "\r\n", ending::none, part},
                                   {chunked_head, ending::none, chunk(part)},
                                   {chunked_head, ending::none, "0"}})
      expect_failure(response);
  }

  auto whole_stream_without_length_is_broken_off() -> void {
    for (const auto* path : {"/single/", "/resumable/"})
      for (const auto* field : {"", "Connection: keep-alive\r\n"}) {
        const auto body = event(1) + event(2);
        CPPUNIT_ASSERT_EQUAL(200, call(path, {{head + field + "\r\n" + body}}));
        CPPUNIT_ASSERT_EQUAL(body, body_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint_->received.size());
      }
  }

  auto cut_stream_looks_whole() -> void {
    const auto cut = event(1) + "id: 2\nda";
    expect_cut({head + "\r\n" + cut}, event(1));
    expect_cut({head + "\r\n" + event(1), ending::reset}, event(1));
    expect_cut({head + "\r\n" + cut, ending::reset}, event(1));
    expect_cut({chunked_head + chunk(event(1)) + "9\r\nid: 2"}, event(1));
    expect_cut({chunked_head + chunk(event(1))}, event(1));
    expect_cut({chunked_head + chunk(cut) + "0\r\n\r\n"}, event(1));
    expect_cut({"HTTP/1.0 200 OK\r\nRequest-Id: r1\r\n\r\n" + cut}, event(1));
  }

  auto cut_stream_is_not_resumed() -> void {
    const auto cut = event(1) + "id: 2\nda";
    for (const auto& first : std::vector<raw_response>{
             {head + "\r\n" + cut},
             {head + "\r\n" + event(1), ending::reset},
             {chunked_head + chunk(event(1)) + "9\r\nid: 2"},
             {chunked_head + chunk(cut) + "0\r\n\r\n"}}) {
      CPPUNIT_ASSERT_EQUAL(
          200,
          call("/resumable/", {first, {head + "\r\n" + event(2) + event(3)}}));
      CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), body_);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, endpoint_->received.size());
      CPPUNIT_ASSERT(endpoint_->received[1].find("Last-Event-Id: 1\r\n") !=
                     std::string::npos);
    }
  }

  auto endless_event_holds_the_caller_to_the_timeout() -> void {
    for (const auto& response : std::vector<raw_response>{
             {head + "\r\n" + event(1), ending::none, "data: x"},
             {chunked_head + chunk(event(1)), ending::none, chunk("data: x")},
             {chunked_head + chunk(event(1)) + "ffffffff\r\n", ending::none,
              "data: x"}}) {
      const auto start = boottime_clock::now();
      expect_cut(response, event(1));
      CPPUNIT_ASSERT(boottime_clock::now() - start < call_timeout / 2);
    }
  }

  auto endless_error_of_a_stream_holds_the_caller_to_the_timeout() -> void {
    const auto part = std::string(1000, 'x');
    for (const auto& response : std::vector<raw_response>{
             {error_head + "\r\n", ending::none, part},
             {error_head + "Transfer-Encoding: chunked\r\n\r\n", ending::none,
              chunk(part)}}) {
      const auto start = boottime_clock::now();
      CPPUNIT_ASSERT_EQUAL(502, call("/single/", {response}));
      CPPUNIT_ASSERT(boottime_clock::now() - start < call_timeout / 2);
    }
  }

  auto events_of_another_request_reach_the_caller() -> void {
    const auto other =
        "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n" + event(1) + event(2);
    CPPUNIT_ASSERT_EQUAL(502, call("/single/", {{other}}));
    CPPUNIT_ASSERT(body_.find("data") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(
        200, call("/resumable/", {{other}, {head + "\r\n" + event(1)}}));
    CPPUNIT_ASSERT_EQUAL(event(1), body_);
  }

  auto tiny_events_block_the_loop() -> void {
    std::string body;
    while (body.size() < mebibyte * 9 / 10)
      body += ":\n\n";
    const auto start = boottime_clock::now();
    CPPUNIT_ASSERT_EQUAL(
        200, call("/single/", {{chunked_head + chunk(body) + "0\r\n\r\n"}}));
    CPPUNIT_ASSERT_EQUAL(body.size(), body_.size());
    CPPUNIT_ASSERT(boottime_clock::now() - start < std::chrono::seconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_framing_test);

}  // namespace pollenloft::test
