#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <algorithm>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "pollenloft/net.hpp"
#include "property.hpp"

extern char** environ;

namespace pollenloft::test {
namespace {

using json = nlohmann::json;

constexpr int replica_count = 3;
constexpr int endpoint_count = 300;
constexpr std::uint16_t peer_port = 18141;
constexpr std::uint16_t platform_port = 18142;
constexpr auto startup_timeout = std::chrono::seconds(15);

auto host(int replica) -> std::string {
  return "127.0.9." + std::to_string(60 + replica);
}

auto endpoint_path(int endpoint) -> std::string {
  return "/instances/e" + std::to_string(endpoint);
}

auto report(int endpoint, int sequence, const std::string& state)
    -> std::string {
  return json{{"Backend", "app"},
              {"Address", "10.0." + std::to_string(endpoint / 250) + "." +
                              std::to_string(endpoint % 250 + 1) + ":80"},
              {"Zone", "z"},
              {"Slots", 6},
              {"State", state},
              {"Seq", sequence}}
      .dump();
}

/// Runs pollenloft-controld, with its data in a directory that is removed.
class control_process {
 public:
  explicit control_process(int replica)
      : data_("/tmp/pollenloft-control-" + std::to_string(getpid()) + "-" +
              std::to_string(replica)),
        replica_(replica) {
    std::filesystem::create_directories(data_);
    start(true);
  }
  ~control_process() {
    kill_hard();
    std::filesystem::remove_all(data_);
  }
  control_process(const control_process&) = delete;
  auto operator=(const control_process&) -> control_process& = delete;

  auto start(bool bootstrap) -> void {
    std::string seeds;
    for (int i = 0; i < replica_count; ++i)
      seeds += (i > 0 ? "," : "") + host(i) + ":" + std::to_string(peer_port);
    std::vector<std::string> arguments{
        POLLENLOFT_CONTROLD,
        "--listen=" + host(replica_) + ":" + std::to_string(peer_port),
        "--platform-listen=" + host(replica_) + ":" +
            std::to_string(platform_port),
        std::string("--bootstrap=") + (bootstrap ? "true" : "false"),
        "--seeds=" + seeds,
        "--data=" + data_,
        "--report-period-ms=600000",
        "--log-level=error"};
    std::vector<char*> argv;
    for (auto& argument : arguments)
      argv.push_back(argument.data());
    argv.push_back(nullptr);
    CPPUNIT_ASSERT_EQUAL(0, posix_spawn(&pid_, POLLENLOFT_CONTROLD, nullptr,
                                        nullptr, argv.data(), environ));
  }
  auto stop() -> void {
    kill(pid_, SIGTERM);
    wait();
  }
  auto kill_hard() -> void {
    if (pid_ != 0) kill(pid_, SIGKILL);
    wait();
  }
  /// Removes the file with the endpoints, as if it had not been saved.
  auto lose_directory() -> void {
    std::filesystem::remove(data_ + "/endpoints");
  }

 private:
  auto wait() -> void {
    if (pid_ != 0) waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }

  std::string data_;
  int replica_;
  pid_t pid_ = 0;
};

}  // namespace

/// Changes that a control VM has acknowledged to endpoints, seen at the leader
/// of the others.
class control_stop_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(control_stop_test);
  CPPUNIT_TEST(acknowledged_leaves_are_unknown_to_the_leader);
  CPPUNIT_TEST(acknowledged_leaves_are_lost_with_a_follower);
  CPPUNIT_TEST(acknowledged_drains_are_lost_with_a_follower);
  CPPUNIT_TEST(acknowledged_leaves_are_lost_with_the_leader);
  CPPUNIT_TEST(acknowledged_leaves_are_lost_with_all);
  CPPUNIT_TEST(acknowledged_drains_are_lost_with_all);
  CPPUNIT_TEST(late_reports_undo_leaves_after_the_directory_is_lost);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  std::vector<std::unique_ptr<control_process>> replicas_;

 public:
  auto setUp() -> void override {
    for (int i = 0; i < replica_count; ++i)
      replicas_.push_back(std::make_unique<control_process>(i));
  }
  auto tearDown() -> void override { replicas_.clear(); }

  struct reply {
    int status = 0;
    std::string body;
  };

  /// Sends all calls at once.
  auto send(const std::vector<http_call>& calls) -> std::vector<reply> {
    http_client client(loop_);
    std::vector<reply> replies(calls.size());
    auto open = calls.size();
    for (std::size_t i = 0; i < calls.size(); ++i)
      client.send(calls[i], {{}, {}, [&, i](const auto& result, auto body) {
                               const auto* done =
                                   std::get_if<call_completed>(&result);
                               if (done != nullptr)
                                 replies[i] = {done->status, std::string(body)};
                               if (--open == 0) loop_.stop();
                             }});
    loop_.run();
    return replies;
  }

  auto all_acknowledge(const std::vector<http_call>& calls) -> bool {
    const auto replies = send(calls);
    return std::all_of(replies.begin(), replies.end(),
                       [](const auto& reply) { return reply.status == 200; });
  }

  /// A call for each endpoint, to one control VM.
  auto calls_to(int replica, const std::string& method,
                const std::string& state) const -> std::vector<http_call> {
    std::vector<http_call> calls;
    for (int i = 0; i < endpoint_count; ++i) {
      http_call call{{host(replica), platform_port}, method, endpoint_path(i)};
      if (!state.empty())
        call.body = report(i, state == "ready" ? 1 : 2, state);
      calls.push_back(std::move(call));
    }
    return calls;
  }

  auto pause(duration time) -> void {
    const auto wait = loop_.after(time, [this] { loop_.stop(); });
    loop_.run();
  }

  auto endpoints_at(int replica) -> std::optional<json> {
    const auto reply =
        send({{{host(replica), peer_port}, "GET", "/v1/endpoints"}}).front();
    if (reply.status != 200) return std::nullopt;
    return json::parse(reply.body);
  }

  auto wait_for_leader() -> int {
    const auto end = boottime_clock::now() + startup_timeout;
    while (boottime_clock::now() < end) {
      for (int i = 0; i < replica_count; ++i)
        if (endpoints_at(i)) return i;
      pause(milliseconds(20));
    }
    CPPUNIT_FAIL("no leader");
    return 0;
  }

  auto count_up() -> int {
    const auto endpoints = *endpoints_at(wait_for_leader());
    CPPUNIT_ASSERT_EQUAL(std::size_t{endpoint_count}, endpoints.size());
    return static_cast<int>(std::count_if(
        endpoints.begin(), endpoints.end(),
        [](const auto& endpoint) { return endpoint["state"] == "up"; }));
  }

  /// Registers the endpoints at a control VM and waits until the leader has
  /// them.
  auto register_at(int replica) -> void {
    const auto end = boottime_clock::now() + startup_timeout;
    while (!all_acknowledge(calls_to(replica, "PUT", "ready")))
      CPPUNIT_ASSERT(boottime_clock::now() < end);
    for (int i = 0; i < replica_count; ++i)
      while (endpoints_known_at(i) != endpoint_count) {
        CPPUNIT_ASSERT(boottime_clock::now() < end);
        pause(milliseconds(20));
      }
  }

  auto endpoints_known_at(int replica) -> int {
    const auto reply =
        send({{{host(replica), peer_port}, "GET", "/v1/status/local"}}).front();
    return reply.status == 200 ? json::parse(reply.body)["endpoints"].get<int>()
                               : 0;
  }

  auto acknowledged_leaves_are_unknown_to_the_leader() -> void {
    const auto follower = (wait_for_leader() + 1) % replica_count;
    register_at(follower);
    CPPUNIT_ASSERT(all_acknowledge(calls_to(follower, "DELETE", "")));
    CPPUNIT_ASSERT_EQUAL(0, count_up());
  }

  auto acknowledged_leaves_are_lost_with_a_follower() -> void {
    const auto follower = (wait_for_leader() + 1) % replica_count;
    register_at(follower);
    CPPUNIT_ASSERT(all_acknowledge(calls_to(follower, "DELETE", "")));
    replicas_[follower]->stop();
    CPPUNIT_ASSERT_EQUAL(0, count_up());
  }

  auto acknowledged_drains_are_lost_with_a_follower() -> void {
    const auto follower = (wait_for_leader() + 1) % replica_count;
    register_at(follower);
    CPPUNIT_ASSERT(all_acknowledge(calls_to(follower, "PUT", "draining")));
    replicas_[follower]->stop();
    CPPUNIT_ASSERT_EQUAL(0, count_up());
  }

  auto acknowledged_leaves_are_lost_with_the_leader() -> void {
    const auto leader = wait_for_leader();
    register_at(leader);
    CPPUNIT_ASSERT(all_acknowledge(calls_to(leader, "DELETE", "")));
    replicas_[leader]->stop();
    CPPUNIT_ASSERT_EQUAL(0, count_up());
  }

  /// review-4: all processes are killed before the directory is saved.
  auto restart_all(bool lose_directory) -> void {
    for (auto& replica : replicas_)
      replica->kill_hard();
    for (auto& replica : replicas_) {
      if (lose_directory) replica->lose_directory();
      replica->start(false);
    }
  }

  auto acknowledged_leaves_are_lost_with_all() -> void {
    const auto follower = (wait_for_leader() + 1) % replica_count;
    register_at(follower);
    pause(milliseconds(1500));
    // The directory is saved after the first change, and not soon again.
    CPPUNIT_ASSERT(all_acknowledge({calls_to(follower, "DELETE", "").front()}));
    pause(milliseconds(300));
    CPPUNIT_ASSERT(all_acknowledge(calls_to(follower, "DELETE", "")));
    restart_all(false);
    CPPUNIT_ASSERT_EQUAL(0, count_up());
  }

  auto acknowledged_drains_are_lost_with_all() -> void {
    const auto leader = wait_for_leader();
    register_at(leader);
    pause(milliseconds(1500));
    CPPUNIT_ASSERT(all_acknowledge(calls_to(leader, "PUT", "draining")));
    restart_all(false);
    CPPUNIT_ASSERT_EQUAL(0, count_up());
  }

  auto late_reports_undo_leaves_after_the_directory_is_lost() -> void {
    const auto leader = wait_for_leader();
    register_at(leader);
    CPPUNIT_ASSERT(all_acknowledge(calls_to(leader, "DELETE", "")));
    restart_all(true);
    register_at(wait_for_leader());
    CPPUNIT_ASSERT_EQUAL(0, count_up());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_stop_test);

}  // namespace pollenloft::test
