/// \file net.hpp
/// Event loop, HTTP/1.1 server and HTTP/1.1 client over libevent. All handlers
/// of a process run on one loop in one thread.
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

/// A pending timer or signal handler; destroying it cancels it.
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

/// Responses of HTTP servers that have not left the process.
struct unfinished_responses {
  std::size_t open = 0;    ///< of requests that are not completely answered
  std::size_t unsent = 0;  ///< complete, but not all written to the socket
  std::size_t unsent_bytes = 0;  ///< of both kinds, in the buffers

  auto operator+=(const unfinished_responses& other) -> unfinished_responses& {
    open += other.open;
    unsent += other.unsent;
    unsent_bytes += other.unsent_bytes;
    return *this;
  }
};

/// Limits on what all servers of a process hold together.
struct connection_limits {
  /// Requests that arrive or are being answered, and responses that callers
  /// have not read.
  std::size_t max_bytes = 64 * 1024 * 1024;
  std::size_t max_connections = 4000;
  /// A request that arrives alone may exceed `max_bytes` up to this: the
  /// largest body in chunks of one byte.
  std::size_t max_request_bytes = 25 * 1024 * 1024;
};
/// The limits of a machine with this memory and so many descriptors; those
/// that are 0 are not known.
auto limits_of_machine(double memory_mb, std::size_t descriptors)
    -> connection_limits;

/// What the servers of a process hold, and how often a limit has bound.
struct connection_usage {
  std::size_t connections = 0;
  std::size_t held_bytes = 0;
  std::uint64_t refused = 0;  ///< requests, before they arrived completely
  std::uint64_t closed = 0;   ///< connections that were idle or not read
  std::uint64_t paused = 0;   ///< requests whose arrival had to wait
};

/// The event loop of a process.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  auto operator=(const event_loop&) -> event_loop& = delete;

  auto base() -> event_base*;
  /// Runs until `stop` or `finish` ends it.
  auto run() -> void;
  /// Ends `run` at once. Responses that are still buffered are lost.
  auto stop() -> void;
  /// Ends `run` once `busy` returns false, the responses of all servers of this
  /// loop have been written and their callers have closed the connections. This
  /// takes `limit` at most; a later call replaces both parameters.
  auto finish(duration limit, sigc::slot<bool()> busy = {}) -> void;
  /// Responses of all servers of this loop that have not left the process.
  auto unfinished() const -> unfinished_responses;
  auto set_connection_limits(connection_limits limits) -> void;
  auto connections() const -> connection_usage;
  /// Runs `work` once, after the callbacks that are now running.
  auto post(task work) -> void;
  /// Runs `work` once after `delay`; a negative delay counts as zero.
  [[nodiscard]] auto after(duration delay, task work) -> timer;
  /// Runs `work` every `period`, for the first time after one period.
  [[nodiscard]] auto every(duration period, task work) -> timer;
  /// Runs `work` at each delivery of the signal `number`.
  [[nodiscard]] auto on_signal(int number, task work) -> timer;

 private:
  friend class http_server;
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Runs `work` once after `delay`; it cannot be cancelled.
auto run_later(event_loop& loop, duration delay, task work) -> void;

/// Coalesces repeated scheduling: `work` runs once after the callbacks that are
/// now running, however often they call `schedule`.
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

/// Header fields in the order received; lookups ignore case.
class http_headers {
 public:
  auto add(std::string name, std::string value) -> http_headers&;
  /// The value of the first field with this name.
  auto find(std::string_view name) const -> std::optional<std::string>;
  /// The values of all fields with this name.
  auto find_all(std::string_view name) const -> std::vector<std::string>;
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
  std::string peer;  ///< address of the sender, `a.b.c.d:port`
};

/// What marks the end of a message body.
enum class body_end {
  length,  ///< announced before it; also that of a message without a body
  last_chunk,
  /// The sender closes the connection. A process that ends closes it, too, so
  /// this doesn't prove that the body is whole.
  connection
};
auto body_end_name(body_end end) -> const char*;
/// What marks the end of a response with these headers to a request with this
/// method.
auto find_body_end(const std::string& method, int status,
                   const http_headers& headers) -> body_end;

/// A request received by `http_server` and its response. Every exchange is
/// answered: one destroyed before a reply gets status 500, one destroyed during
/// a chunked response is aborted. Replies after the caller has disconnected are
/// ignored.
class exchange {
 public:
  struct impl;
  explicit exchange(std::unique_ptr<impl> state);
  ~exchange();
  exchange(const exchange&) = delete;
  auto operator=(const exchange&) -> exchange& = delete;

  auto request() const -> const http_request&;
  /// Sends a complete response, with its length unless `mark` is `connection`.
  auto reply(int status, const http_headers& headers, std::string_view body,
             body_end mark = body_end::length) -> void;
  /// Starts a response in chunks unless `mark` is `connection` or the caller
  /// knows none. A connection that marks the end is reset unless `end` has been
  /// called and all bytes are written.
  auto start(int status, const http_headers& headers,
             body_end mark = body_end::last_chunk) -> void;
  /// Sends one part. Returns the bytes that are buffered because the caller
  /// has not read them yet.
  auto chunk(std::string_view data) -> std::size_t;
  /// Ends a response begun by `start`.
  auto end() -> void;
  /// Closes the connection without ending the response, so that the caller
  /// sees a truncated body after all chunks sent so far.
  auto abort() -> void;
  /// Emitted once if the caller disconnects before the response has ended.
  auto closed() -> sigc::signal<void()>&;
  /// Whether `start` has been called.
  auto started() const -> bool;
  /// Whether the response can still be sent or continued.
  auto open() const -> bool;

 private:
  std::unique_ptr<impl> impl_;
};
using exchange_ptr = std::shared_ptr<exchange>;

/// Limits on requests and connections of an HTTP server.
struct http_limits {
  std::size_t header_bytes = 16 * 1024;  ///< all header fields of a request
  std::size_t header_count = 64;         ///< fields of a request
  std::size_t body_bytes = 1024 * 1024;
  std::chrono::seconds idle_timeout{60};
};

/// An HTTP/1.1 server.
class http_server {
 public:
  struct impl;
  using handler = sigc::slot<void(exchange_ptr)>;

  /// A request with more than `header_count` fields gets status 431 and does
  /// not reach `on_request`.
  http_server(event_loop& loop, http_limits limits, handler on_request);
  ~http_server();
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;

  /// Binds the address and accepts connections. Empty on failure, see
  /// `last_error`.
  auto listen(const socket_address& address) -> std::optional<bool>;
  /// Stops accepting connections; open exchanges continue.
  auto close_listener() -> void;
  auto unfinished() const -> unfinished_responses;
  /// Limits requests that have not arrived yet, also on open connections.
  auto set_request_limits(std::size_t header_bytes, std::size_t body_bytes)
      -> void;

 private:
  std::unique_ptr<impl> impl_;
};

/// Limits on the memory that `http_client` uses for one response.
struct response_limits {
  std::size_t header_bytes = 64 * 1024;  ///< status line and header fields
  /// The whole body or, if the call has `on_data`, each chunk and the body of a
  /// response with another status than 200. Processes send each other no more
  /// than half of it.
  std::size_t body_bytes = 64 * 1024 * 1024;
};

/// A request that `http_client` sends.
struct http_call {
  socket_address peer;
  std::string method = "GET";
  std::string target = "/";
  http_headers headers{};
  std::string body{};
  /// Time to the end of the response.
  duration timeout = std::chrono::seconds(10);
  /// Takes the connection from the pool and returns it afterwards. Calls that
  /// must not run twice leave this off: a new connection cannot be stale.
  bool keep_alive = false;
  /// Time to establish a new connection; a call that exceeds it ends as
  /// `call_unsent`.
  duration connect_timeout = std::chrono::seconds(10);
  /// A call whose response exceeds them ends as `call_interrupted`.
  response_limits limits{};
};

/// The complete response was received: as many bytes as it announced or,
/// without a length, all until the peer closed the connection. A reset is not
/// an end.
struct call_completed {
  int status = 0;  ///< HTTP status code
  body_end end = body_end::length;
};
/// The connection was not established; no byte of the request was sent.
struct call_unsent {
  error cause;
};
/// The call failed after it may have reached the peer.
struct call_interrupted {
  error cause;
  std::size_t body_bytes = 0;  ///< of the response, received until then
};
/// How a call ended.
using call_result = std::variant<call_completed, call_unsent, call_interrupted>;

/// Callbacks of a call. `on_headers` gets the status and the header fields,
/// `on_data` each part of the body of a response with status 200; both may be
/// empty. `on_done` gets the result, and the complete body if the status is not
/// 200 or `on_data` is empty.
struct call_handlers {
  sigc::slot<void(int, const http_headers&)> on_headers;
  sigc::slot<void(std::string_view)> on_data;
  sigc::slot<void(const call_result&, std::string_view)> on_done;
};

/// A call in flight.
class pending_call {
 public:
  struct impl;
  explicit pending_call(std::shared_ptr<impl> state);
  ~pending_call();
  pending_call(const pending_call&) = delete;
  auto operator=(const pending_call&) -> pending_call& = delete;
  /// Closes the connection; no callback runs afterwards.
  auto cancel() -> void;

 private:
  std::shared_ptr<impl> impl_;
};
using pending_call_ptr = std::shared_ptr<pending_call>;

/// Bytes of responses that one client holds by default. It keeps a process with
/// 160 MB within its memory, with the copies that leave to callers.
inline constexpr std::size_t default_max_response_bytes = 32 * 1024 * 1024;

/// Sends HTTP requests. It never retries a request.
class http_client {
 public:
  struct receiver;
  /// While the client holds more than `max_response_bytes` of all responses
  /// together, it reads no further from the peers that sent most. A response
  /// that has waited so for 1 s may end as `call_interrupted`.
  explicit http_client(event_loop& loop, std::size_t max_response_bytes =
                                             default_max_response_bytes);
  ~http_client();
  http_client(const http_client&) = delete;
  auto operator=(const http_client&) -> http_client& = delete;

  /// Starts a call. Destroying the returned pointer does not cancel it.
  auto send(const http_call& call, call_handlers handlers) -> pending_call_ptr;
  auto held_response_bytes() const -> std::size_t;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// What an attempt to connect showed about a peer.
enum class listener_state {
  listening,  ///< the connection was established
  refused,    ///< the VM answered that no process listens
  unknown     ///< no answer in time, or no route
};

/// Finds out whether processes listen, without sending them any data. Probes of
/// one peer at the same time share a connection.
class listener_prober {
 public:
  using handler = sigc::slot<void(listener_state)>;

  explicit listener_prober(event_loop& loop);
  ~listener_prober();
  listener_prober(const listener_prober&) = delete;
  auto operator=(const listener_prober&) -> listener_prober& = delete;

  /// `done` is called once, later, unless the prober is destroyed before.
  auto probe(const socket_address& peer, duration timeout, handler done)
      -> void;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pollenloft

#endif
