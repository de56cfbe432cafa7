#include "caller_crowd.hpp"

namespace pollenloft::test::crowd {
namespace {

constexpr std::size_t max_body = 4 * 1024 * 1024;  // of the document
constexpr std::size_t part = 64 * 1024;
constexpr std::size_t max_write = 8 * part;  // before the next caller's turn
const std::string body_end = "hello";

auto head(const std::string& fields) -> std::string {
  return "POST /plain/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n" + fields +
         "\r\n";
}
auto with_length() -> std::string {
  return head("Content-Length: " + std::to_string(max_body) + "\r\n") +
         std::string(max_body - body_end.size(), 'x') + body_end;
}
auto in_chunks_of_one_byte() -> std::string {
  auto request = head("Transfer-Encoding: chunked\r\n");
  for (std::size_t i = 0; i < max_body - body_end.size(); ++i)
    request += "1\r\nx\r\n";
  return request + "5\r\n" + body_end + "\r\n0\r\n\r\n";
}

/// Sends a request and keeps the status line of the response.
class sound_caller {
 public:
  explicit sound_caller(const std::string& request)
      : request_(request), socket_(connect_to(front_address)) {}
  ~sound_caller() { ::close(socket_); }
  sound_caller(const sound_caller&) = delete;
  auto operator=(const sound_caller&) -> sound_caller& = delete;

  /// Returns whether the head of a response has come, or none will.
  auto work() -> bool {
    if (ended_) return true;
    const auto left = std::min(max_write, request_.size() - sent_);
    const auto size =
        ::send(socket_, request_.data() + sent_, left, MSG_NOSIGNAL);
    if (size > 0) sent_ += static_cast<std::size_t>(size);
    std::array<char, 4096> response{};
    const auto got = ::recv(socket_, response.data(), response.size(), 0);
    if (got > 0) response_.append(response.data(), static_cast<size_t>(got));
    const auto closed =
        got == 0 || (got < 0 && errno != EAGAIN && errno != ENOTCONN);
    ended_ = closed || response_.find("\r\n\r\n") != std::string::npos;
    return ended_;
  }
  auto status() const -> std::string {
    const auto from = std::string("HTTP/1.1 ").size();
    return response_.size() < from ? "" : response_.substr(from, 3);
  }

 private:
  const std::string& request_;
  int socket_;
  std::size_t sent_ = 0;
  std::string response_;
  bool ended_ = false;
};

}  // namespace

/// Requests inside the limits, on the machine of the crowd.
class sound_caller_test : public entry_crowd_fixture {
  CPPUNIT_TEST_SUITE(sound_caller_test);
  CPPUNIT_TEST(largest_body_is_served);
  CPPUNIT_TEST(largest_body_in_chunks_of_one_byte_is_served);
  CPPUNIT_TEST(forty_largest_bodies_are_served_or_refused);
  CPPUNIT_TEST(memory_goes_back_after_a_crowd);
  CPPUNIT_TEST_SUITE_END();

  static constexpr auto max_wait = std::chrono::seconds(60);

  auto statuses(const std::string& request, std::size_t count)
      -> std::map<std::string, std::size_t> {
    std::vector<std::unique_ptr<sound_caller>> callers;
    for (std::size_t i = 0; i < count; ++i)
      callers.push_back(std::make_unique<sound_caller>(request));
    const auto work = loop_->every(milliseconds(1), [&] {
      std::size_t ended = 0;
      for (const auto& each : callers)
        ended += each->work() ? 1 : 0;
      if (ended == count) loop_->stop();
    });
    wait(max_wait);
    std::map<std::string, std::size_t> result;
    for (const auto& each : callers)
      ++result[each->status()];
    return result;
  }

 public:
  auto largest_body_is_served() -> void {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), statuses(with_length(), 1)["200"]);
  }
  auto largest_body_in_chunks_of_one_byte_is_served() -> void {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         statuses(in_chunks_of_one_byte(), 1)["200"]);
  }
  auto forty_largest_bodies_are_served_or_refused() -> void {
    constexpr std::size_t count = 40;
    auto ended = statuses(with_length(), count);
    CPPUNIT_ASSERT(ended["200"] > 0);
    CPPUNIT_ASSERT_EQUAL(count, ended["200"] + ended["503"]);
    CPPUNIT_ASSERT(daemon_->running());
  }
  auto memory_goes_back_after_a_crowd() -> void {
    const auto calm = daemon_->memory_mb("VmRSS");
    {
      constexpr std::size_t parts = 60;
      caller_crowd crowd(*loop_);
      crowd.add(front_address,
                {head("Transfer-Encoding: chunked\r\n"),
                 "10000\r\n" + std::string(part, 'x') + "\r\n", parts},
                40);
      for (int i = 0; i < 40 && !crowd.finished(); ++i)
        wait(milliseconds(250));
    }
    constexpr int max_tries = 120;
    for (int i = 0; i < max_tries && daemon_->memory_mb("VmRSS") >= 2 * calm;
         ++i)
      wait(milliseconds(250));
    CPPUNIT_ASSERT(daemon_->memory_mb("VmRSS") < 2 * calm);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sound_caller_test);

}  // namespace pollenloft::test::crowd
