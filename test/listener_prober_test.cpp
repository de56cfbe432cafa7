#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "pollenloft/net.hpp"
#include "property.hpp"

namespace pollenloft::test {

class listener_prober_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(listener_prober_test);
  CPPUNIT_TEST(reset_by_a_full_endpoint_counts_as_a_crash);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto reset_by_a_full_endpoint_counts_as_a_crash() -> void {
    const socket_address address{"127.0.9.91", 18598};
    const auto listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    local.sin_addr.s_addr = htonl(ipv4_number(address.host));
    CPPUNIT_ASSERT_EQUAL(
        0, ::bind(listener, reinterpret_cast<sockaddr*>(&local), sizeof local));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(listener, 16));
    std::thread endpoint([listener] {
      const auto connection = ::accept(listener, nullptr, nullptr);
      const linger at_once{1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      ::close(connection);
    });
    event_loop loop;
    listener_prober prober(loop);
    auto state = listener_state::unknown;
    prober.probe(address, milliseconds(500), [&](listener_state found) {
      state = found;
      loop.stop();
    });
    endpoint.join();  // the reset is there before the loop runs
    usleep(5000);
    loop.run();
    ::close(listener);
    CPPUNIT_ASSERT(state != listener_state::refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(listener_prober_test);

}  // namespace pollenloft::test
