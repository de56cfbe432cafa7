/// \file net.hpp
/// The event loop and HTTP/1.1 over libevent: everything runs on one loop on
/// one thread.
#ifndef POLLENLOFT_NET_HPP
#define POLLENLOFT_NET_HPP

#include <sigc++/sigc++.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pollenloft/core.hpp"

struct event_base;

namespace pollenloft {

using task = sigc::slot<void()>;

/// A pending timer; destroying it cancels it.
class timer {
 public:
  struct impl;
  timer();
  explicit timer(std::unique_ptr<impl> pending);
  ~timer();
  timer(timer&&) noexcept;
  auto operator=(timer&&) noexcept -> timer&;

 private:
  std::unique_ptr<impl> impl_;
};

/// The loop of a process.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  auto operator=(const event_loop&) -> event_loop& = delete;

  auto base() -> event_base*;
  /// Runs until `stop`.
  auto run() -> void;
  auto stop() -> void;
  /// Runs `work` once, after the callbacks that are now running.
  auto post(task work) -> void;
  [[nodiscard]] auto after(duration delay, task work) -> timer;
  [[nodiscard]] auto every(duration period, task work) -> timer;
  [[nodiscard]] auto on_signal(int number, task work) -> timer;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Work that runs once after the callbacks that are now running, however often
/// it was scheduled by them.
class posted_task {
 public:
  posted_task(event_loop& loop, task work)
      : loop_(loop), work_(std::move(work)) {}
  posted_task(const posted_task&) = delete;
  auto operator=(const posted_task&) -> posted_task& = delete;
  auto schedule() -> void;

 private:
  event_loop& loop_;
  task work_;
  bool posted_ = false;
};

/// Header fields; lookups ignore case.
class http_headers {
 public:
  auto add(std::string name, std::string value) -> http_headers&;
  auto find(std::string_view name) const -> std::optional<std::string>;
  auto fields() const
      -> const std::vector<std::pair<std::string, std::string>>& {
    return fields_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

struct http_request {
  std::string method;
  std::string target;  ///< path and query as sent
  std::string path;
  http_headers headers;
  std::string body;
  std::string peer;  ///< address of the sender
};

/// One request being answered. Replies after the caller has gone are ignored.
class exchange {
 public:
  struct impl;
  explicit exchange(std::unique_ptr<impl> state);
  ~exchange();
  exchange(const exchange&) = delete;
  auto operator=(const exchange&) -> exchange& = delete;

  auto request() const -> const http_request&;
  /// Sends a whole reply.
  auto reply(int status, const http_headers& headers, std::string_view body)
      -> void;
  /// Starts a reply of unknown length.
  auto start(int status, const http_headers& headers) -> void;
  /// Sends a part and returns the bytes still waiting for the caller.
  auto chunk(std::string_view part) -> std::size_t;
  /// Ends a reply begun by `start`.
  auto end() -> void;
  /// Closes the connection without ending the reply, so that the caller sees
  /// a truncated answer after all parts sent so far.
  auto abort() -> void;
  /// Emitted once when the caller closes before the reply has ended.
  auto closed() -> sigc::signal<void()>&;
  auto started() const -> bool;
  auto open() const -> bool;

 private:
  std::unique_ptr<impl> impl_;
};
using exchange_ptr = std::shared_ptr<exchange>;

/// Bounds on what a caller may send.
struct http_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t header_count = 64;
  std::size_t body_bytes = 1024 * 1024;
  std::chrono::seconds idle_timeout{60};
};

/// An HTTP/1.1 server.
class http_server {
 public:
  using handler = sigc::slot<void(exchange_ptr)>;

  http_server(event_loop& loop, http_limits limits, handler on_request);
  ~http_server();
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;

  /// Binds the address; empty on failure, see `last_error`.
  auto listen(const socket_address& address) -> std::optional<bool>;
  /// Stops taking connections; open exchanges go on.
  auto close_listener() -> void;
  auto connection_count() const -> std::size_t;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

struct http_call {
  socket_address peer;
  std::string method = "GET";
  std::string target = "/";
  http_headers headers{};
  std::string body{};
  duration timeout = std::chrono::seconds(10);
  /// Keeps the connection for the next call to this peer. Calls that must not
  /// be repeated leave it off: a fresh connection cannot be stale.
  bool keep_alive = false;
  /// How long a new connection may take; then the call was not sent.
  duration connect_timeout = std::chrono::seconds(10);
};

/// How a call ended.
struct call_completed {
  int status = 0;
};
/// The connection was never made: no byte of the call was sent.
struct call_unsent {
  error cause;
};
/// The call may have reached the peer.
struct call_interrupted {
  error cause;
};
using call_result = std::variant<call_completed, call_unsent, call_interrupted>;

/// What to do as an answer arrives. `on_headers` and `on_data` may be empty.
/// The body of an answer with another status than 200, and any body if
/// `on_data` is empty, is passed to `on_done` whole.
struct call_handlers {
  sigc::slot<void(int, const http_headers&)> on_headers;
  sigc::slot<void(std::string_view)> on_data;
  sigc::slot<void(const call_result&, std::string_view)> on_done;
};

/// A call under way.
class pending_call {
 public:
  struct impl;
  explicit pending_call(std::shared_ptr<impl> state);
  ~pending_call();
  pending_call(const pending_call&) = delete;
  auto operator=(const pending_call&) -> pending_call& = delete;
  /// Closes the connection; no handler runs afterwards.
  auto cancel() -> void;

 private:
  std::shared_ptr<impl> impl_;
};
using pending_call_ptr = std::shared_ptr<pending_call>;

/// Makes HTTP calls; it never repeats one by itself.
class http_client {
 public:
  explicit http_client(event_loop& loop);
  ~http_client();
  http_client(const http_client&) = delete;
  auto operator=(const http_client&) -> http_client& = delete;

  /// Starts a call. Dropping the returned pointer does not cancel it.
  auto send(const http_call& call, call_handlers handlers) -> pending_call_ptr;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pollenloft

#endif
