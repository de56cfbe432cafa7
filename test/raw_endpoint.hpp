/// \file raw_endpoint.hpp
/// An endpoint on a plain socket, which sends any bytes and ends its
/// connections in any way.
#ifndef POLLENLOFT_TEST_RAW_ENDPOINT_HPP
#define POLLENLOFT_TEST_RAW_ENDPOINT_HPP

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sstream>

#include "pollenloft/net.hpp"
#include "property.hpp"

namespace pollenloft::test::raw {

/// `crashed` closes the listener and all connections, as the end of a process
/// does.
enum class ending { none, closed, reset, crashed };

/// An endless response stops here, which takes longer than the bounds allow.
inline constexpr std::size_t endless_bytes = 24 * 1024 * 1024;

/// What an endpoint sends for one request: `bytes`, then `repeated` without
/// end. After `pause` it sends `later`, and ends its connection.
struct raw_response {
  std::string bytes;
  ending end = ending::closed;
  std::string repeated{};
  duration pause{};
  std::string later{};
  /// Makes the bytes from the request, if set.
  std::function<std::string(const std::string&)> compose{};
};

/// The responses that endpoints send in turn, the last one again for each
/// further request, and the requests that they got.
struct raw_script {
  std::vector<raw_response> responses;
  std::vector<std::string> received;
  std::string greeting{};  ///< sent on each new connection
  /// All requests contain this, not before their end.
  std::string request_end = "hello";
};

/// An endpoint that sends bytes as they are.
class raw_endpoint {
 public:
  raw_endpoint(
      event_loop& loop, const socket_address& address,
      std::shared_ptr<raw_script> script = std::make_shared<raw_script>())
      : responses(script->responses),
        received(script->received),
        script_(std::move(script)),
        listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
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
  ~raw_endpoint() { crash(); }
  raw_endpoint(const raw_endpoint&) = delete;
  auto operator=(const raw_endpoint&) -> raw_endpoint& = delete;

  auto open_connections() const -> std::ptrdiff_t {
    return std::count_if(connections_.begin(), connections_.end(),
                         [](const auto& each) { return each.socket >= 0; });
  }

  std::vector<raw_response>& responses;
  std::vector<std::string>& received;

 private:
  struct connection {
    int socket = -1;
    std::string input{};
    std::string output{};
    std::string repeated{};
    std::size_t sent = 0;
    ending end = ending::none;
    std::string later{};
    instant later_at{};
  };

  auto crash() -> void {
    if (listener_ >= 0) ::close(listener_);
    listener_ = -1;
    for (auto& each : connections_)
      if (each.socket >= 0) close(each, ending::closed);
  }

  auto work() -> void {
    if (listener_ < 0) return;
    for (int socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
         socket >= 0;
         socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK))
      connections_.push_back({socket, {}, script_->greeting});
    for (auto& each : connections_)
      if (each.socket >= 0) serve(each);
  }

  auto serve(connection& each) -> void {
    std::array<char, 8192> part{};
    const auto size = ::read(each.socket, part.data(), part.size());
    if (size == 0) return close(each, ending::closed);
    if (size < 0 && errno != EAGAIN) return close(each, ending::closed);
    if (size > 0) each.input.append(part.data(), std::size_t(size));
    if (each.input.find(script_->request_end) != std::string::npos)
      answer(each);
    if (!write(each) || boottime_clock::now() < each.later_at) return;
    each.output += std::exchange(each.later, {});
    if (!write(each) || each.end == ending::none) return;
    if (each.end == ending::crashed) return crash();
    close(each, each.end);
  }

  auto answer(connection& each) -> void {
    received.push_back(std::exchange(each.input, {}));
    const auto& response =
        responses.at(std::min(received.size(), responses.size()) - 1);
    each.output +=
        response.compose ? response.compose(received.back()) : response.bytes;
    each.repeated = response.repeated;
    each.later = response.later;
    each.later_at = boottime_clock::now() + response.pause;
    each.end = response.end;
  }

  /// Whether all of the response is sent.
  static auto write(connection& each) -> bool {
    for (;;) {
      while (!each.repeated.empty() && each.output.size() < 65536 &&
             each.sent < endless_bytes)
        each.output += each.repeated;
      if (each.output.empty()) break;
      const auto size =
          ::write(each.socket, each.output.data(), each.output.size());
      if (size < 0) return false;
      each.sent += std::size_t(size);
      each.output.erase(0, std::size_t(size));
    }
    return each.repeated.empty();
  }

  static auto close(connection& each, ending how) -> void {
    const linger at_once{1, 0};
    if (how == ending::reset)
      setsockopt(each.socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(each.socket);
    each.socket = -1;
  }

  std::shared_ptr<raw_script> script_;
  int listener_;
  std::vector<connection> connections_;
  timer timer_;
};

inline auto chunk(const std::string& data) -> std::string {
  std::ostringstream text;
  text << std::hex << data.size() << "\r\n" << data << "\r\n";
  return text.str();
}

inline const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
inline const std::string chunked_head =
    head + "Transfer-Encoding: chunked\r\n\r\n";
inline const std::string error_head = "HTTP/1.1 500 Failed\r\n";

}  // namespace pollenloft::test::raw

#endif
