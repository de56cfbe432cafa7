#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "front_notices.hpp"

namespace pollenloft::test {

using namespace front_notices;

/// Accepts nothing, and keeps its queue of connections full.
class full_listener {
 public:
  explicit full_listener(const socket_address& address) {
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &local.sin_addr);
    const auto* name = reinterpret_cast<const sockaddr*>(&local);  // NOLINT
    sockets_.push_back(open_socket());
    const int on = 1;
    setsockopt(sockets_[0], SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    CPPUNIT_ASSERT_EQUAL(0, bind(sockets_[0], name, sizeof local));
    CPPUNIT_ASSERT_EQUAL(0, listen(sockets_[0], 0));
    for (int i = 0; i < 4; ++i) {
      sockets_.push_back(open_socket());
      connect(sockets_.back(), name, sizeof local);
    }
  }
  full_listener(const full_listener&) = delete;
  auto operator=(const full_listener&) -> full_listener& = delete;
  ~full_listener() {
    for (const int each : sockets_)
      close(each);
  }

 private:
  static auto open_socket() -> int {
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  }

  std::vector<int> sockets_;
};

class late_connection_test : public fixture {
  CPPUNIT_TEST_SUITE(late_connection_test);
  CPPUNIT_TEST(request_reaches_its_endpoint_seconds_after_it_was_chosen);
  CPPUNIT_TEST(own_request_reaches_its_endpoint_seconds_after_it_was_chosen);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The kernel repeats the first packet of a connection after a second, so a
  /// connection that takes longer than half of one comes after a pause began.
  auto assert_sent_elsewhere(const std::string& target,
                             const socket_address& server) -> void {
    endpoints_.erase("a");
    const full_listener listener(address_of("a"));
    for (int i = 0; i < 4; ++i) {
      const auto start = boottime_clock::now();
      CPPUNIT_ASSERT_EQUAL(200, send(target, server));
      CPPUNIT_ASSERT(boottime_clock::now() - start < milliseconds(900));
    }
  }

  auto request_reaches_its_endpoint_seconds_after_it_was_chosen() -> void {
    assert_sent_elsewhere("/x/1", front_address);
  }

  auto own_request_reaches_its_endpoint_seconds_after_it_was_chosen() -> void {
    assert_sent_elsewhere("/services/app/1", entry_address);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_connection_test);

}  // namespace pollenloft::test
