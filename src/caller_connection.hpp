/// \file caller_connection.hpp
/// A connection of an HTTP server, and its socket after it has ended. Used by
/// the server only.
#ifndef POLLENLOFT_CALLER_CONNECTION_HPP
#define POLLENLOFT_CALLER_CONNECTION_HPP

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "head_scanner.hpp"
#include "net_detail.hpp"

namespace pollenloft::detail {

/// Bytes that a caller may send ahead of the response to its last request.
constexpr std::size_t max_pipelined_bytes = 8 * 1024;
/// Bytes of trailers; evhttp counts them with the head.
constexpr std::size_t max_trailer_bytes = 1024;

constexpr std::string_view overload_response =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "Connection: close\r\n"
    "Content-Length: 24\r\n"
    "Pollenloft-Outcome: not-run\r\n"
    "Retry-After: 1\r\n\r\n"
    "The server is overloaded";
constexpr std::string_view head_too_large_response =
    "HTTP/1.1 431 Request Header Fields Too Large\r\n"
    "Connection: close\r\n"
    "Content-Length: 23\r\n"
    "Pollenloft-Outcome: not-run\r\n\r\n"
    "Too many header fields.";

/// A request that arrives in more reads of few bytes than this is read less
/// often, so that its bytes share buffers.
constexpr int max_small_reads = 64;
constexpr std::size_t small_read_bytes = 256;
constexpr auto small_read_interval = milliseconds(5);

/// Memory of a header field beside its bytes.
constexpr std::size_t field_cost_bytes = 128;

/// A caller's connection. evhttp can free the connection while it takes the
/// end of a response.
struct caller_connection {
  evhttp_connection* handle = nullptr;
  connection_guard* guard = nullptr;
  std::uint64_t id = 0;               // of the guard
  exchange::impl* current = nullptr;  // null once its response is complete
  bool requested = false;             // evhttp has answered or passed a request
  bool sending = false;  // a complete response is not yet written to the socket
  bool refused = false;  // a request, before it arrived completely
  duration idle_timeout{};
  bool ends_response = false;  // the close of this connection does
  bool paused = false;         // by the guard
  bool slowed_down = false;    // until the timer ends
  timer slowed;
  head_scanner head;               // of the request that is arriving
  std::size_t max_head_lines = 0;  // request line, fields and the empty line
  std::size_t max_header_bytes = 0;
  int small_reads = 0;  // of the request that is arriving

  auto stream() const -> bufferevent* {
    return evhttp_connection_get_bufferevent(handle);
  }
  auto unsent_bytes() const -> std::size_t {
    return evbuffer_get_length(bufferevent_get_output(stream()));
  }
  /// Reports what arrives and what is sent to the guard.
  auto watch_buffers() -> void {
    evbuffer_add_cb(bufferevent_get_input(stream()), &on_input, this);
    evbuffer_add_cb(bufferevent_get_output(stream()), &on_output, this);
  }
  static auto on_input(evbuffer* buffer, const evbuffer_cb_info* info,
                       void* arg) -> void {
    auto* self = static_cast<caller_connection*>(arg);
    if (info->n_added == 0) return;
    const auto lines = self->scan_head(buffer, info->n_added);
    self->guard->receive(self->id, info->n_added + lines * field_cost_bytes);
    if (info->n_added < small_read_bytes && self->current == nullptr &&
        ++self->small_reads > max_small_reads)
      self->slow_down();
  }
  /// Returns the number of lines of a head that end in the newest bytes.
  auto scan_head(evbuffer* buffer, std::size_t added) -> std::size_t {
    if (head.complete() || current != nullptr) return 0;
    std::size_t lines = 0;
    visit_newest_bytes(buffer, added, [&](std::string_view part) {
      lines += head.scan(part);
    });
    if (head.complete())
      evhttp_connection_set_max_headers_size(
          handle, static_cast<ev_ssize_t>(std::min(
                      max_header_bytes, head.bytes() + max_trailer_bytes)));
    else if (head.lines() > max_head_lines)
      guard->refuse(id);
    return lines;
  }
  /// What a caller gets whose request has not arrived completely.
  auto refusal() const -> std::string_view {
    return head.lines() > max_head_lines ? head_too_large_response
                                         : overload_response;
  }
  auto slow_down() -> void {
    slowed = guard->after(small_read_interval, [this] {
      slowed_down = false;
      allow_reading();
    });
    slowed_down = true;
    allow_reading();
  }
  auto set_paused(bool value) -> void {
    paused = value;
    allow_reading();
  }
  /// Only a request that is arriving is held up.
  auto allow_reading() const -> void {
    if (paused || slowed_down)
      bufferevent_disable(stream(), EV_READ);
    else
      bufferevent_enable(stream(), EV_READ);
  }
  auto begin_request() -> void {
    ends_response = false;
    small_reads = 0;
    slowed = timer();
    slowed_down = false;
    paused = false;
  }
  static auto on_output(evbuffer* buffer, const evbuffer_cb_info* info,
                        void* arg) -> void {
    auto* self = static_cast<caller_connection*>(arg);
    if (info->n_added > 0) self->requested = true;
    self->guard->set_unsent(self->id, evbuffer_get_length(buffer));
  }
  /// A request is complete; what follows it waits for the response.
  auto begin_answer(std::size_t body_bytes) -> void {
    requested = true;
    bufferevent_setwatermark(stream(), EV_READ, 0, max_pipelined_bytes);
    guard->begin_answer(id, body_bytes);
  }
  auto end_answer() -> void {
    head = {};
    evhttp_connection_set_max_headers_size(
        handle, static_cast<ev_ssize_t>(max_header_bytes));
    bufferevent_setwatermark(stream(), EV_READ, 0, 0);
    guard->end_answer(id);
    // The head of the next request may have come already.
    auto* input = bufferevent_get_input(stream());
    const auto pipelined = evbuffer_get_length(input);
    if (pipelined == 0) return;
    const auto lines = scan_head(input, pipelined);
    guard->receive(id, pipelined + lines * field_cost_bytes);
  }
  /// From now on, the kernel resets the connection when it is closed, also by
  /// the end of this process: a close would end the response as whole.
  auto reset_on_close() -> void {
    ends_response = true;
    set_linger({1, 0});
  }
  auto set_linger(linger value) const -> void {
    setsockopt(bufferevent_getfd(stream()), SOL_SOCKET, SO_LINGER, &value,
               sizeof value);
  }
  /// Resets the connection if the response that it ends isn't written, before
  /// evhttp shuts it down.
  auto reset_unfinished() const -> void {
    if (!ends_response || (current == nullptr && !sending)) return;
    const sockaddr none{AF_UNSPEC, {}};
    (void)::connect(bufferevent_getfd(stream()), &none, sizeof none);
  }
  /// Watches a complete response until the socket has accepted its last byte.
  /// Only a caller that takes no data ends it early.
  auto watch_response(evhttp_request* request) -> void {
    sending = true;
    evhttp_request_set_on_complete_cb(request, &on_sent, this);
    const auto timeout = to_timeval(idle_timeout);
    bufferevent_set_timeouts(stream(), nullptr, &timeout);
  }
  /// Keeps an end of the caller's input from ending the response. To be called
  /// after evhttp has got the response, since it enables reading then; it does
  /// so again once the response is written.
  auto stop_reading() const -> void {
    if (sending) bufferevent_disable(stream(), EV_READ);
  }
  static auto on_sent(evhttp_request* /*request*/, void* arg) -> void {
    auto* self = static_cast<caller_connection*>(arg);
    self->sending = false;
    self->end_answer();
    if (self->ends_response) self->set_linger({0, 0});
    const auto timeout = to_timeval(self->idle_timeout);
    bufferevent_set_timeouts(self->stream(), &timeout, &timeout);
  }
};

using caller_connection_ptr = std::shared_ptr<caller_connection>;

/// The socket of an ended connection whose responses have been written. It is
/// closed only after the caller has ended its input: closing it with unread
/// input would reset the connection and discard what the caller has not
/// received yet.
class lingering_socket {
 public:
  /// `ended` destroys this object; it is called after `limit` at the latest.
  lingering_socket(event_base* base, int socket, duration limit, task ended)
      : socket_(socket),
        readable_(event_new(base, socket, EV_READ, &on_event, this)),
        until_(boottime_clock::now() + limit),
        ended_(std::move(ended)) {
    shutdown(socket_, SHUT_WR);
    wait();
  }
  ~lingering_socket() {
    event_free(readable_);
    ::close(socket_);
  }
  lingering_socket(const lingering_socket&) = delete;
  auto operator=(const lingering_socket&) -> lingering_socket& = delete;

 private:
  auto wait() -> void {
    const auto rest = until_ - boottime_clock::now();
    const auto timeout = to_timeval(std::max<duration>(rest, milliseconds(0)));
    event_add(readable_, &timeout);
  }
  /// Returns whether the caller may send more.
  auto discard_input() const -> bool {
    std::array<char, 16384> part{};
    const auto size = ::recv(socket_, part.data(), part.size(), 0);
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR));
  }
  static auto on_event(int /*socket*/, short what, void* arg) -> void {
    auto* self = static_cast<lingering_socket*>(arg);
    if ((what & EV_TIMEOUT) == 0 && self->discard_input()) return self->wait();
    const auto ended = self->ended_;
    ended();
  }

  int socket_;
  event* readable_;
  instant until_;
  task ended_;
};

}  // namespace pollenloft::detail

#endif
