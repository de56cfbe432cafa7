/// \file caller_crowd.hpp
/// Callers on plain sockets that send what they like and stay connected, and
/// the daemons that must survive them.
#ifndef POLLENLOFT_TEST_CALLER_CROWD_HPP
#define POLLENLOFT_TEST_CALLER_CROWD_HPP

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>

#include "raw_entry_fixture.hpp"

extern char** environ;

namespace pollenloft::test::crowd {

/// Memory and descriptors of the machine that the daemons are told.
inline constexpr std::size_t machine_memory_mb = 64;
inline constexpr std::size_t machine_descriptors = 160;
/// A process stays below this part of either.
inline constexpr double max_used_share = 0.8;

/// What a caller sends: `head`, `unit` as often as `units` says, then `tail`.
/// It stays connected afterwards.
struct caller_plan {
  std::string head;
  std::string unit{};
  std::size_t units = 0;
  std::string tail{};
  bool reads = true;  ///< whether it reads what comes back
  duration pause{};   ///< between two units
};

inline auto connect_to(const socket_address& peer) -> int {
  const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  CPPUNIT_ASSERT(socket >= 0);
  sockaddr_in remote{};
  remote.sin_family = AF_INET;
  remote.sin_port = htons(peer.port);
  remote.sin_addr.s_addr = htonl(ipv4_number(peer.host));
  (void)::connect(socket, reinterpret_cast<sockaddr*>(&remote), sizeof remote);
  return socket;
}

/// Callers that send at the same time.
class caller_crowd {
 public:
  explicit caller_crowd(event_loop& loop)
      : timer_(loop.every(milliseconds(1), [this] { work(); })) {}
  ~caller_crowd() {
    for (auto& each : callers_)
      disconnect(each);
  }
  caller_crowd(const caller_crowd&) = delete;
  auto operator=(const caller_crowd&) -> caller_crowd& = delete;

  auto add(const socket_address& peer, caller_plan plan, std::size_t count)
      -> void {
    const auto shared = std::make_shared<const caller_plan>(std::move(plan));
    for (std::size_t i = 0; i < count; ++i) {
      callers_.push_back({connect_to(peer), shared});
      callers_.back().next = shared->head;
    }
  }
  /// Whether each caller has sent everything, was disconnected, or has sent
  /// nothing for two seconds.
  auto finished() const -> bool {
    const auto now = boottime_clock::now();
    return std::all_of(callers_.begin(), callers_.end(), [&](const auto& each) {
      return each.socket < 0 || each.done ||
             now - each.progress > std::chrono::seconds(2);
    });
  }

 private:
  struct caller {
    int socket = -1;
    std::shared_ptr<const caller_plan> plan;
    std::string next{};
    std::size_t sent = 0;   // of `next`
    std::size_t units = 0;  // sent
    bool tail_sent = false;
    bool done = false;
    instant progress = boottime_clock::now();
    instant due{};
  };

  static auto disconnect(caller& each) -> void {
    if (each.socket >= 0) ::close(each.socket);
    each.socket = -1;
  }

  auto work() -> void {
    for (auto& each : callers_) {
      if (each.socket < 0) continue;
      if (each.plan->reads) read(each);
      if (each.socket >= 0) send(each);
    }
  }
  static auto read(caller& each) -> void {
    std::array<char, 65536> part{};
    const auto size = ::recv(each.socket, part.data(), part.size(), 0);
    if (size == 0 || (size < 0 && errno != EAGAIN && errno != ENOTCONN))
      disconnect(each);
  }
  static auto send(caller& each) -> void {
    constexpr int max_writes = 16;  // before the next caller's turn
    for (int i = 0; i < max_writes && take_next(each); ++i) {
      const auto size = ::send(each.socket, each.next.data() + each.sent,
                               each.next.size() - each.sent, MSG_NOSIGNAL);
      if (size < 0 && (errno == EAGAIN || errno == ENOTCONN)) return;
      if (size < 0) return disconnect(each);
      each.sent += static_cast<std::size_t>(size);
      each.progress = boottime_clock::now();
    }
  }
  /// Whether there is something to send now.
  static auto take_next(caller& each) -> bool {
    if (each.sent < each.next.size()) return true;
    if (boottime_clock::now() < each.due) return false;
    each.sent = 0;
    each.next.clear();
    if (each.units < each.plan->units) {
      ++each.units;
      each.next = each.plan->unit;
      each.due = boottime_clock::now() + each.plan->pause;
    } else if (!std::exchange(each.tail_sent, true)) {
      each.next = each.plan->tail;
    }
    each.done = each.next.empty();
    return !each.done;
  }

  std::vector<caller> callers_;
  timer timer_;
};

/// A daemon that is told the machine's limits in its environment.
class daemon_process {
 public:
  explicit daemon_process(std::vector<std::string> arguments) {
    std::vector<std::string> variables{
        "POLLENLOFT_MEMORY_MB=" + std::to_string(machine_memory_mb),
        "POLLENLOFT_MAX_FDS=" + std::to_string(machine_descriptors)};
    for (auto** each = environ; *each != nullptr; ++each)
      variables.emplace_back(*each);
    const auto pointers = [](std::vector<std::string>& texts) {
      std::vector<char*> result;
      for (auto& text : texts)
        result.push_back(text.data());
      result.push_back(nullptr);
      return result;
    };
    CPPUNIT_ASSERT_EQUAL(
        0, posix_spawn(&pid_, arguments.front().c_str(), nullptr, nullptr,
                       pointers(arguments).data(), pointers(variables).data()));
  }
  ~daemon_process() {
    if (running()) kill(pid_, SIGKILL);
    if (pid_ != 0) waitpid(pid_, nullptr, 0);
  }
  daemon_process(const daemon_process&) = delete;
  auto operator=(const daemon_process&) -> daemon_process& = delete;

  auto running() -> bool {
    if (pid_ != 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = 0;
    return pid_ != 0;
  }
  /// `VmRSS` or `VmHWM`, in MB.
  auto memory_mb(const std::string& name) const -> double {
    std::ifstream status(proc() + "/status");
    std::string field;
    double kilobytes = 0;
    while (status >> field)
      if (field == name + ":" && status >> kilobytes) break;
    return kilobytes / 1024;
  }
  auto descriptors() const -> std::size_t {
    std::error_code ignored;
    const std::filesystem::directory_iterator open(proc() + "/fd", ignored);
    return static_cast<std::size_t>(
        std::distance(begin(open), std::filesystem::directory_iterator{}));
  }

 private:
  auto proc() const -> std::string { return "/proc/" + std::to_string(pid_); }

  pid_t pid_ = 0;
};

inline const socket_address endpoint_address{"127.0.9.73", 18521};
inline const socket_address control_address{"127.0.9.74", 18522};
inline const socket_address own_address{"127.0.9.72", 18523};
inline const socket_address front_address{"127.0.9.72", 18524};
inline const socket_address readiness_address{"127.0.9.72", 18525};
inline const socket_address relay_address{"127.0.9.72", 18526};
inline const socket_address metrics_address{"127.0.9.72", 18527};

/// Common to the suites: a daemon, the crowd, and what must hold.
class crowd_fixture : public CppUnit::TestFixture {
 public:
  auto setUp() -> void override { loop_ = std::make_unique<event_loop>(); }
  auto tearDown() -> void override {
    daemon_.reset();
    loop_.reset();
  }

 protected:
  auto wait(duration time) -> void {
    const auto end = loop_->after(time, [this] { loop_->stop(); });
    loop_->run();
  }
  /// The status of the response to an ordinary request; 0 if there is none.
  auto status_of(http_call request) -> int {
    http_client client(*loop_);
    request.timeout = std::chrono::seconds(30);
    std::optional<call_result> result;
    call_handlers handlers;
    handlers.on_done = [&](const auto& ended, auto /*body*/) {
      result = ended;
      loop_->stop();
    };
    client.send(request, handlers);
    loop_->run();
    const auto* completed = std::get_if<call_completed>(&*result);
    return completed == nullptr ? 0 : completed->status;
  }
  /// Repeats the request, as callers do, until it is served.
  auto served(const http_call& request, int wanted) -> bool {
    constexpr int max_tries = 40;
    for (int i = 0; i < max_tries; ++i) {
      if (status_of(request) == wanted) return true;
      wait(milliseconds(250));
    }
    return false;
  }
  /// The process outlives the crowd within its machine, and answers.
  auto assert_survives(caller_crowd& callers, const http_call& ordinary,
                       int wanted = 200) -> void {
    constexpr int max_waits = 120;
    std::size_t descriptors = 0;
    for (int i = 0; i < max_waits && !callers.finished(); ++i) {
      wait(milliseconds(250));
      descriptors = std::max(descriptors, daemon_->descriptors());
    }
    descriptors = std::max(descriptors, daemon_->descriptors());
    CPPUNIT_ASSERT(daemon_->running());
    const auto answered = served(ordinary, wanted);
    const auto peak = daemon_->memory_mb("VmHWM");
    const auto text = "peak_mb=" + std::to_string(peak) +
                      " descriptors=" + std::to_string(descriptors);
    std::cout << "  " << text << "\n";
    CPPUNIT_ASSERT_MESSAGE(text, answered);
    CPPUNIT_ASSERT_MESSAGE(
        text, peak < max_used_share * static_cast<double>(machine_memory_mb));
    CPPUNIT_ASSERT_MESSAGE(
        text, static_cast<double>(descriptors) <
                  max_used_share * static_cast<double>(machine_descriptors));
    CPPUNIT_ASSERT(daemon_->running());
  }

  std::unique_ptr<event_loop> loop_;
  std::unique_ptr<daemon_process> daemon_;
};

/// An entry VM between the crowd and an endpoint of the test.
class entry_crowd_fixture : public crowd_fixture {
 public:
  auto setUp() -> void override {
    crowd_fixture::setUp();
    endpoint_ = std::make_unique<raw::raw_endpoint>(*loop_, endpoint_address);
    endpoint_->responses = {
        {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok"}};
    leader_ = std::make_unique<http_server>(
        *loop_, http_limits{}, [](const exchange_ptr& call) {
          auto reply = raw::lease(endpoint_address, endpoint_address);
          reply.leader = control_address.text();
          call->reply(200, {}, encode_wire(reply));
        });
    CPPUNIT_ASSERT(leader_->listen(control_address));
    daemon_ = std::make_unique<daemon_process>(std::vector<std::string>{
        POLLENLOFT_ENTRYD, "--vm=vm", "--zone=z",
        "--listen=" + own_address.text(), "--front=" + front_address.text(),
        "--readiness=" + readiness_address.text(),
        "--relay-listen=" + relay_address.text(),
        "--metrics-listen=" + metrics_address.text(),
        "--control=1=" + control_address.text(),
        std::string("--charts=") + POLLENLOFT_ROOT + "/charts",
        "--log-level=error"});
    CPPUNIT_ASSERT(served(ordinary(), 200));
  }
  auto tearDown() -> void override {
    leader_.reset();
    endpoint_.reset();
    crowd_fixture::tearDown();
  }

 protected:
  static auto ordinary() -> http_call {
    http_call request{front_address, "POST", "/plain/x"};
    request.headers.add("Host", "h").add("Request-Id", "r1");
    request.body = "hello";
    return request;
  }

  std::unique_ptr<raw::raw_endpoint> endpoint_;
  std::unique_ptr<http_server> leader_;
};

}  // namespace pollenloft::test::crowd

#endif
