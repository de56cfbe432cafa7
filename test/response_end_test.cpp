#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>

#include "pollenloft/net.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

const socket_address server_address{"127.0.9.50", 18501};
constexpr std::size_t large_bytes = 4 << 20;

auto request_text(const std::string& method, const std::string& path = "/x")
    -> std::string {
  return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" +
         (method == "POST" ? "Content-Length: 2\r\n\r\nhi" : "\r\n");
}

/// Reads responses at a limited rate, through a small buffer.
class raw_caller {
 public:
  explicit raw_caller(event_loop& loop, duration pause = milliseconds(5))
      : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const int receive_bytes = 4096;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof receive_bytes);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(server_address.port);
    remote.sin_addr.s_addr = htonl(ipv4_number(server_address.host));
    CPPUNIT_ASSERT_EQUAL(
        0, ::connect(socket_, reinterpret_cast<sockaddr*>(&remote),
                     sizeof remote));
    fcntl(socket_, F_SETFL, O_NONBLOCK);
    timer_ = loop.every(pause, [this] { read_part(); });
  }
  ~raw_caller() { ::close(socket_); }
  raw_caller(const raw_caller&) = delete;
  auto operator=(const raw_caller&) -> raw_caller& = delete;

  auto send(const std::string& text) -> void {
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                         ::send(socket_, text.data(), text.size(), 0));
  }
  /// Notes whether the server has reset the connection.
  auto try_send(const std::string& text) -> void {
    if (::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) < 0)
      reset_ = errno == EPIPE || errno == ECONNRESET;
  }
  auto reset() const -> bool { return reset_; }
  auto half_close() -> void { ::shutdown(socket_, SHUT_WR); }
  auto ended() const -> bool { return ended_; }
  auto received() const -> const std::string& { return received_; }
  auto body_bytes() const -> std::size_t {
    const auto end = received_.find("\r\n\r\n");
    return end == std::string::npos ? 0 : received_.size() - end - 4;
  }

 private:
  auto read_part() -> void {
    std::array<char, 8192> part{};
    const auto size = ::read(socket_, part.data(), part.size());
    if (size > 0) received_.append(part.data(), static_cast<std::size_t>(size));
    if (size == 0 || (size < 0 && errno != EAGAIN)) ended_ = true;
  }

  int socket_;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
  timer timer_;
};

auto open_sockets() -> std::size_t {
  const std::filesystem::directory_iterator files("/proc/self/fd");
  return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

}  // namespace

/// A server and callers on one loop.
class response_fixture : public CppUnit::TestFixture {
 protected:
  std::unique_ptr<event_loop> loop_;
  std::unique_ptr<http_server> server_;
  std::vector<exchange_ptr> exchanges_;
  timer reply_timer_;

  auto serve(http_server::handler handler, http_limits limits = {}) -> void {
    server_ = std::make_unique<http_server>(*loop_, limits, std::move(handler));
    CPPUNIT_ASSERT(server_->listen(server_address));
  }
  auto wait(duration time) -> void {
    const auto end = loop_->after(time, [this] { loop_->stop(); });
    loop_->run();
  }
  auto wait_for_end(const raw_caller& caller, std::size_t bytes,
                    std::chrono::seconds limit) -> void {
    const auto end = boottime_clock::now() + limit;
    while (!caller.ended() && caller.body_bytes() < bytes &&
           boottime_clock::now() < end)
      wait(milliseconds(20));
  }

 public:
  auto setUp() -> void override { loop_ = std::make_unique<event_loop>(); }
  auto tearDown() -> void override {
    reply_timer_ = timer();
    exchanges_.clear();
    server_.reset();
    loop_.reset();
  }
};

/// Complete answers that are cut although their callers read on.
class cut_answer_test : public response_fixture {
  CPPUNIT_TEST_SUITE(cut_answer_test);
  CPPUNIT_TEST(answer_is_cut_at_the_idle_timeout_while_its_caller_reads);
  CPPUNIT_TEST(answer_is_cut_while_its_caller_reads_slowly);
  CPPUNIT_TEST(answer_is_cut_when_its_caller_half_closes_while_reading);
  CPPUNIT_TEST(closing_answer_is_cut_by_the_next_request);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto answer_is_cut_at_the_idle_timeout_while_its_caller_reads() -> void {
    http_limits limits;
    limits.idle_timeout = std::chrono::seconds(1);
    serve(
        [](const exchange_ptr& call) {
          call->reply(200, {}, std::string(4 * large_bytes, 'x'));
        },
        limits);
    raw_caller caller(*loop_, milliseconds(1));
    caller.send(request_text("POST"));
    wait_for_end(caller, 4 * large_bytes, std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(4 * large_bytes, caller.body_bytes());
  }

  /// Far fewer bytes within the idle timeout than a socket buffers.
  auto answer_is_cut_while_its_caller_reads_slowly() -> void {
    http_limits limits;
    limits.idle_timeout = std::chrono::seconds(1);
    serve(
        [](const exchange_ptr& call) {
          call->reply(200, {}, std::string(4 * large_bytes, 'x'));
        },
        limits);
    raw_caller caller(*loop_, milliseconds(50));
    caller.send(request_text("POST"));
    wait(std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->unfinished().unsent);
    CPPUNIT_ASSERT(!caller.ended());
  }

  auto answer_is_cut_when_its_caller_half_closes_while_reading() -> void {
    serve([](const exchange_ptr& call) {
      call->reply(200, {}, std::string(4 * large_bytes, 'x'));
    });
    raw_caller caller(*loop_, milliseconds(1));
    caller.send(request_text("POST"));
    wait(milliseconds(200));
    caller.half_close();
    wait_for_end(caller, 4 * large_bytes, std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(4 * large_bytes, caller.body_bytes());
  }

  /// An answer that closes the connection, as all do during a drain.
  auto closing_answer_is_cut_by_the_next_request() -> void {
    serve([](const exchange_ptr& call) {
      call->reply(200, http_headers().add("Connection", "close"),
                  std::string(large_bytes / 8, 'x'));
    });
    raw_caller caller(*loop_);
    caller.send(request_text("POST"));
    wait(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->unfinished().unsent);
    CPPUNIT_ASSERT(caller.body_bytes() < large_bytes / 8);
    caller.send(request_text("POST"));
    wait_for_end(caller, large_bytes / 8, std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(large_bytes / 8, caller.body_bytes());
  }
};

/// Ends of connections and of the loop.
class response_end_test : public response_fixture {
  CPPUNIT_TEST_SUITE(response_end_test);
  CPPUNIT_TEST(pipelined_request_is_not_answered);
  CPPUNIT_TEST(records_of_ended_connections_delay_the_finish);
  CPPUNIT_TEST(open_exchange_is_used_after_its_server_has_ended);
  CPPUNIT_TEST(requests_during_the_linger_break_the_loop);
  CPPUNIT_TEST(request_during_the_linger_cuts_the_answer_before_it);
  CPPUNIT_TEST(answer_stays_unsent_after_its_caller_has_left);
  CPPUNIT_TEST(answer_stays_unsent_while_its_caller_reads_nothing);
  CPPUNIT_TEST(connection_outlives_its_idle_timeout);
  CPPUNIT_TEST(closed_connection_keeps_its_caller_waiting);
  CPPUNIT_TEST(closed_connection_outlives_its_idle_timeout);
  CPPUNIT_TEST(closed_connections_use_up_the_sockets);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto pipelined_request_is_not_answered() -> void {
    serve([this](const exchange_ptr& call) {
      exchanges_.push_back(call);
      if (exchanges_.size() > 1) return call->reply(200, {}, "second");
      reply_timer_ = loop_->after(milliseconds(50),
                                  [call] { call->reply(200, {}, "first"); });
    });
    raw_caller caller(*loop_);
    caller.send(request_text("POST") + request_text("POST"));
    wait(milliseconds(20));
    loop_->finish(std::chrono::seconds(3));
    loop_->run();
    wait(milliseconds(50));
    CPPUNIT_ASSERT(caller.received().find("first") != std::string::npos);
  }

  /// Covers refusals by evhttp, responses without body, aborts and callers
  /// that leave at any time.
  auto records_of_ended_connections_delay_the_finish() -> void {
    serve([this](const exchange_ptr& call) {
      const auto& path = call->request().path;
      if (path == "/abort") return call->abort();
      if (path == "/keep") return exchanges_.push_back(call);
      if (path == "/drop") return;
      if (path == "/204") return call->reply(204, {}, "");
      if (path == "/stream") {
        call->start(200, {});
        call->chunk("part");
        return call->end();
      }
      if (path == "/stream204") {
        call->start(204, {});
        call->chunk("part");
        return call->end();
      }
      call->reply(200, {}, "answer");
    });
    {
      std::vector<std::unique_ptr<raw_caller>> callers;
      const auto send = [&](const std::string& text) {
        callers.push_back(std::make_unique<raw_caller>(*loop_));
        callers.back()->send(text);
      };
      for (const auto* method : {"POST", "GET", "HEAD"})
        for (const auto* path : {"/abort", "/keep", "/drop", "/204", "/stream",
                                 "/stream204", "/x"})
          send(request_text(method, path));
      std::string fields;
      for (int i = 0; i < 80; ++i)
        fields += "F" + std::to_string(i) + ": x\r\n";
      send("GET /x HTTP/1.1\r\n" + fields + "\r\n");
      send("GET /x HTTP/1.0\r\n\r\n");
      send("GET /stream HTTP/1.0\r\n\r\n");
      send("nonsense\r\n\r\n");
      send("POST /x HTTP/1.1\r\nContent-Length: 99\r\n\r\nhi");
      send(request_text("GET") + "GET /x HT");
      wait(milliseconds(200));
      const auto left = server_->unfinished();
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, left.open);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, left.unsent);
    }
    wait(milliseconds(50));
    for (const auto& call : exchanges_)
      CPPUNIT_ASSERT(!call->open());
    const auto start = boottime_clock::now();
    loop_->finish(std::chrono::seconds(3));
    loop_->run();
    CPPUNIT_ASSERT(boottime_clock::now() - start < milliseconds(100));
  }

  auto open_exchange_is_used_after_its_server_has_ended() -> void {
    serve([this](const exchange_ptr& call) { exchanges_.push_back(call); });
    raw_caller first(*loop_);
    raw_caller second(*loop_);
    first.send(request_text("POST"));
    second.send(request_text("POST"));
    wait(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, exchanges_.size());
    exchanges_[0]->start(200, {});
    exchanges_[0]->chunk("part");
    server_.reset();
    for (const auto& call : exchanges_) {
      CPPUNIT_ASSERT(!call->open());
      call->reply(200, {}, "");
    }
  }

  auto requests_during_the_linger_break_the_loop() -> void {
    serve([](const exchange_ptr& call) { call->reply(200, {}, "answer"); });
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int i = 0; i < 20; ++i) {
      callers.push_back(std::make_unique<raw_caller>(*loop_));
      callers.back()->send(request_text("POST"));
    }
    wait(milliseconds(100));
    const auto more = loop_->after(milliseconds(50), [&] {
      for (const auto& caller : callers)
        caller->send(request_text("POST"));
    });
    const auto start = boottime_clock::now();
    loop_->finish(std::chrono::seconds(3));
    loop_->run();
    CPPUNIT_ASSERT(boottime_clock::now() - start < std::chrono::seconds(1));
  }

  auto request_during_the_linger_cuts_the_answer_before_it() -> void {
    serve([](const exchange_ptr& call) {
      call->reply(200, {}, std::string(large_bytes / 8, 'x'));
    });
    raw_caller caller(*loop_);
    caller.send(request_text("POST"));
    wait(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->unfinished().unsent);
    CPPUNIT_ASSERT(caller.body_bytes() < large_bytes / 8);
    const auto next = loop_->after(milliseconds(50),
                                   [&] { caller.send(request_text("POST")); });
    loop_->finish(std::chrono::seconds(3));
    loop_->run();
    server_.reset();
    wait_for_end(caller, large_bytes / 8, std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(large_bytes / 8, caller.body_bytes());
  }

  auto wait_until_sent(std::chrono::seconds limit) -> void {
    const auto end = boottime_clock::now() + limit;
    while (server_->unfinished().unsent > 0 && boottime_clock::now() < end)
      wait(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->unfinished().unsent);
  }

  /// Callers that close with and without unread input, at once and later.
  auto answer_stays_unsent_after_its_caller_has_left() -> void {
    serve([](const exchange_ptr& call) {
      call->reply(200, {}, std::string(4 * large_bytes, 'x'));
    });
    for (const auto time : {milliseconds(0), milliseconds(100)})
      for (const auto half_close : {false, true}) {
        {
          raw_caller caller(*loop_);
          caller.send(request_text("POST"));
          wait(time);
          if (half_close) caller.half_close();
          wait(milliseconds(20));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->unfinished().unsent);
        }
        wait_until_sent(std::chrono::seconds(5));
      }
    const auto start = boottime_clock::now();
    loop_->finish(std::chrono::seconds(3));
    loop_->run();
    CPPUNIT_ASSERT(boottime_clock::now() - start < milliseconds(100));
  }

  auto answer_stays_unsent_while_its_caller_reads_nothing() -> void {
    http_limits limits;
    limits.idle_timeout = std::chrono::seconds(1);
    serve(
        [](const exchange_ptr& call) {
          call->reply(200, {}, std::string(4 * large_bytes, 'x'));
        },
        limits);
    raw_caller caller(*loop_, std::chrono::hours(1));
    caller.send(request_text("POST"));
    wait(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->unfinished().unsent);
    wait_until_sent(std::chrono::seconds(10));
  }

  auto connection_outlives_its_idle_timeout() -> void {
    http_limits limits;
    limits.idle_timeout = std::chrono::seconds(1);
    serve([](const exchange_ptr& call) { call->reply(200, {}, "answer"); },
          limits);
    raw_caller caller(*loop_);
    caller.send(request_text("POST"));
    wait(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, caller.body_bytes());
    CPPUNIT_ASSERT(!caller.ended());
    const auto end = boottime_clock::now() + std::chrono::seconds(10);
    while (!caller.ended() && boottime_clock::now() < end)
      wait(milliseconds(20));
    CPPUNIT_ASSERT(caller.ended());
  }

  /// Answers a caller that keeps its side of the connection open.
  auto serve_closing(http_limits limits = {}) -> void {
    serve(
        [](const exchange_ptr& call) {
          call->reply(200, http_headers().add("Connection", "close"), "answer");
        },
        limits);
  }
  auto finish_time() -> duration {
    const auto start = boottime_clock::now();
    loop_->finish(std::chrono::seconds(10));
    loop_->run();
    return boottime_clock::now() - start;
  }

  auto closed_connection_keeps_its_caller_waiting() -> void {
    serve_closing();
    raw_caller caller(*loop_);
    caller.send(request_text("POST"));
    wait_for_end(caller, large_bytes, std::chrono::seconds(5));
    CPPUNIT_ASSERT(caller.ended());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, caller.body_bytes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->unfinished().unsent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->unfinished().open);
    const auto time = finish_time();
    CPPUNIT_ASSERT(time >= milliseconds(200));
    CPPUNIT_ASSERT(time < std::chrono::seconds(5));
  }

  /// Also under steady input.
  auto closed_connection_outlives_its_idle_timeout() -> void {
    http_limits limits;
    limits.idle_timeout = std::chrono::seconds(1);
    serve_closing(limits);
    raw_caller silent(*loop_);
    raw_caller talking(*loop_);
    silent.send(request_text("POST"));
    talking.send(request_text("POST"));
    const auto end = boottime_clock::now() + std::chrono::seconds(10);
    while (!talking.reset() && boottime_clock::now() < end) {
      wait(milliseconds(20));
      talking.try_send("x");
    }
    CPPUNIT_ASSERT(talking.reset());
    wait(milliseconds(50));
    CPPUNIT_ASSERT(finish_time() < milliseconds(200));
  }

  auto closed_connections_use_up_the_sockets() -> void {
    serve_closing();
    const auto before = open_sockets();
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int i = 0; i < 1200; ++i) {
      callers.push_back(
          std::make_unique<raw_caller>(*loop_, std::chrono::hours(1)));
      callers.back()->send(request_text("POST"));
      if (i % 50 == 0) wait(milliseconds(10));
    }
    wait(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(before + callers.size() + 1000, open_sockets());
    callers.clear();
    wait(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(before, open_sockets());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cut_answer_test);
CPPUNIT_TEST_SUITE_REGISTRATION(response_end_test);

}  // namespace pollenloft::test
