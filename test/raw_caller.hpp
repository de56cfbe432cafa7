/// \file raw_caller.hpp
/// A server in a process of its own, and a caller on a plain socket.
#ifndef POLLENLOFT_TEST_RAW_CALLER_HPP
#define POLLENLOFT_TEST_RAW_CALLER_HPP

#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>

#include "pollenloft/net.hpp"
#include "property.hpp"

namespace pollenloft::test {

inline const socket_address server_address{"127.0.9.54", 18506};

/// A process that answers each request by `work`.
class server_process {
 public:
  explicit server_process(const std::function<void(exchange_ptr)>& work)
      : pid_(fork()) {
    if (pid_ != 0) return;
    event_loop loop;
    std::vector<exchange_ptr> open;
    http_server server(loop, {}, [&](const exchange_ptr& call) {
      open.push_back(call);
      work(call);
    });
    if (server.listen(server_address)) loop.run();
    _exit(1);
  }
  ~server_process() { end(); }
  server_process(const server_process&) = delete;
  auto operator=(const server_process&) -> server_process& = delete;

  auto end() -> void {
    if (pid_ == 0) return;
    kill(pid_, SIGKILL);
    waitpid(std::exchange(pid_, 0), nullptr, 0);
  }

 private:
  pid_t pid_;
};

/// A caller on a plain socket.
class raw_caller {
 public:
  explicit raw_caller(const std::string& request) {
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(server_address.port);
    remote.sin_addr.s_addr = htonl(ipv4_number(server_address.host));
    for (int tries = 0; tries < 200; ++tries) {
      socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
      if (::connect(socket_, reinterpret_cast<sockaddr*>(&remote),
                    sizeof remote) == 0)
        break;
      ::close(std::exchange(socket_, -1));
      usleep(10000);
    }
    CPPUNIT_ASSERT(socket_ >= 0);
    const timeval timeout{5, 0};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    CPPUNIT_ASSERT(::write(socket_, request.data(), request.size()) > 0);
  }
  ~raw_caller() { ::close(socket_); }
  raw_caller(const raw_caller&) = delete;
  auto operator=(const raw_caller&) -> raw_caller& = delete;

  auto read_until(const std::string& text) -> void {
    while (received.find(text) == std::string::npos && read_part()) {
    }
  }
  /// Reads to the end; false if that is a reset.
  auto read_to_end() -> bool {
    while (read_part()) {
    }
    return !failed_;
  }

  std::string received;

 private:
  auto read_part() -> bool {
    std::array<char, 4096> part{};
    const auto size = ::read(socket_, part.data(), part.size());
    failed_ = size < 0;
    if (size > 0) received.append(part.data(), std::size_t(size));
    return size > 0;
  }

  int socket_ = -1;
  bool failed_ = false;
};

}  // namespace pollenloft::test

#endif
