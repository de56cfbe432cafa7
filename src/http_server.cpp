// HTTP/1.1 server over evhttp.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <list>
#include <utility>

#include "net_detail.hpp"

namespace pollenloft {

using detail::to_timeval;

namespace {

/// Time for callers to close their connections once they have been told to.
/// Closing first would reset connections with unread input, and a reset
/// discards what the caller has not received yet.
constexpr auto linger_time = milliseconds(250);

/// A caller's connection that has sent at least one request. evhttp can free
/// the connection while it takes the end of a response.
struct caller_connection {
  evhttp_connection* handle = nullptr;
  exchange::impl* current = nullptr;  // null once its response is complete
  bool sending = false;  // a complete response is not yet written to the socket
  duration idle_timeout{};
  bool ends_response = false;  // the close of this connection does

  auto stream() const -> bufferevent* {
    return evhttp_connection_get_bufferevent(handle);
  }
  auto unsent_bytes() const -> std::size_t {
    return evbuffer_get_length(bufferevent_get_output(stream()));
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
    if (self->ends_response) self->set_linger({0, 0});
    const auto timeout = to_timeval(self->idle_timeout);
    bufferevent_set_timeouts(self->stream(), &timeout, &timeout);
  }
};
/// Open sockets of connections that have ended, at most.
constexpr std::size_t max_lingering = 1000;

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

using caller_connection_ptr = std::shared_ptr<caller_connection>;

}  // namespace

struct exchange::impl {
  evhttp_request* handle = nullptr;  // null after the response or a close
  caller_connection_ptr connection;
  http_request request;
  sigc::signal<void()> closed;
  bool started = false;

  /// Detects that the caller disconnects before the response has ended. evhttp
  /// stops reading after a request, so it would not notice the close. Bytes
  /// that the caller sends meanwhile stay in the input buffer.
  auto watch_for_close() -> void {
    auto* stream = connection->stream();
    bufferevent_data_cb on_read = nullptr;
    bufferevent_data_cb on_write = nullptr;
    bufferevent_event_cb on_event = nullptr;
    void* arg = nullptr;
    bufferevent_getcb(stream, &on_read, &on_write, &on_event, &arg);
    bufferevent_setcb(stream, nullptr, on_write, on_event, arg);
    bufferevent_set_timeouts(stream, nullptr, nullptr);
    bufferevent_enable(stream, EV_READ);
    connection->current = this;
  }

  auto handle_close() -> void {
    auto* closed_handle = std::exchange(handle, nullptr);
    // evhttp does not free a request that has lost its connection.
    if (evhttp_request_get_connection(closed_handle) == nullptr)
      evhttp_request_free(closed_handle);
    closed.emit();
  }

  auto knows_chunks() const -> bool {
    return handle->major > 1 || (handle->major == 1 && handle->minor >= 1);
  }

  auto has_body(int status) const -> bool {
    return handle->type != EVHTTP_REQ_HEAD && status != HTTP_NOCONTENT &&
           status != HTTP_NOTMODIFIED;
  }

  /// Sends the head of a response that ends with its connection. evhttp
  /// announces no length of its own only for a request without a response body.
  auto start_until_close(int status) -> void {
    auto* fields = evhttp_request_get_input_headers(handle);
    while (evhttp_remove_header(fields, "Connection") == 0) {
    }
    evhttp_add_header(fields, "Connection", "close");
    const auto method = std::exchange(handle->type, EVHTTP_REQ_HEAD);
    evhttp_send_reply_start(handle, status, nullptr);
    handle->type = method;
    connection->reset_on_close();
  }

  /// Ends the exchange; what is left is to write the response.
  auto release() -> void {
    connection->current = nullptr;
    connection->watch_response(handle);
    handle = nullptr;
  }
};

exchange::exchange(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

exchange::~exchange() {
  if (impl_->handle == nullptr) return;
  if (impl_->started) {
    abort();
    return;
  }
  reply(500, {}, "the request was dropped\n");
}

auto exchange::request() const -> const http_request& {
  return impl_->request;
}
auto exchange::closed() -> sigc::signal<void()>& {
  return impl_->closed;
}
auto exchange::started() const -> bool {
  return impl_->started;
}
auto exchange::open() const -> bool {
  return impl_->handle != nullptr;
}

auto exchange::reply(int status, const http_headers& headers,
                     std::string_view body, body_end mark) -> void {
  if (impl_->handle == nullptr || impl_->started) return;
  if (mark == body_end::connection) {
    start(status, headers, mark);
    chunk(body);
    return end();
  }
  auto* handle = impl_->handle;
  auto* fields = evhttp_request_get_output_headers(handle);
  detail::write_headers(fields, headers);
  // evhttp announces no length to a caller of HTTP/1.0.
  if (!impl_->knows_chunks() && impl_->has_body(status))
    evhttp_add_header(fields, "Content-Length",
                      std::to_string(body.size()).c_str());
  impl_->release();
  auto* buffer = evbuffer_new();
  evbuffer_add(buffer, body.data(), body.size());
  evhttp_send_reply(handle, status, nullptr, buffer);
  evbuffer_free(buffer);
  impl_->connection->stop_reading();
}

auto exchange::start(int status, const http_headers& headers, body_end mark)
    -> void {
  if (impl_->handle == nullptr || impl_->started) return;
  impl_->started = true;
  detail::write_headers(evhttp_request_get_output_headers(impl_->handle),
                        headers);
  if (mark == body_end::connection || !impl_->knows_chunks())
    return impl_->start_until_close(status);
  evhttp_send_reply_start(impl_->handle, status, nullptr);
}

auto exchange::chunk(std::string_view data) -> std::size_t {
  if (impl_->handle == nullptr || data.empty()) return 0;
  auto* buffer = evbuffer_new();
  evbuffer_add(buffer, data.data(), data.size());
  evhttp_send_reply_chunk(impl_->handle, buffer);
  evbuffer_free(buffer);
  if (impl_->handle == nullptr) return 0;
  return impl_->connection->unsent_bytes();
}

auto exchange::end() -> void {
  if (impl_->handle == nullptr) return;
  auto* handle = impl_->handle;
  impl_->release();
  evhttp_send_reply_end(handle);
  impl_->connection->stop_reading();
}

auto exchange::abort() -> void {
  if (impl_->handle == nullptr) return;
  auto* connection = impl_->connection->handle;
  impl_->release();
  // Flushes the buffered chunks as far as the socket accepts them.
  auto* stream = evhttp_connection_get_bufferevent(connection);
  auto* output = bufferevent_get_output(stream);
  evbuffer_unfreeze(output, 1);
  evbuffer_write(output, bufferevent_getfd(stream));
  evhttp_connection_free(connection);
}

struct http_server::impl {
  event_loop& loop;
  http_limits limits;
  handler on_request;
  evhttp* http = nullptr;
  evhttp_bound_socket* socket = nullptr;
  std::map<evhttp_connection*, caller_connection_ptr> connections;
  std::list<std::unique_ptr<lingering_socket>> lingering;  // the oldest first

  impl(event_loop& loop, http_limits limits, handler on_request)
      : loop(loop), limits(limits), on_request(std::move(on_request)) {}

  /// The record of the connection on which `handle` arrived.
  auto connection_of(evhttp_request* handle) -> caller_connection_ptr {
    auto* connection = evhttp_request_get_connection(handle);
    auto& record = connections[connection];
    record = std::make_shared<caller_connection>();
    record->handle = connection;
    record->idle_timeout = limits.idle_timeout;
    evhttp_connection_set_closecb(connection, &on_close, this);
    return record;
  }

  auto unfinished() const -> unfinished_responses {
    unfinished_responses result;
    for (const auto& [handle, connection] : connections) {
      if (connection->current == nullptr && !connection->sending) continue;
      ++(connection->sending ? result.unsent : result.open);
      result.unsent_bytes += connection->unsent_bytes();
    }
    return result;
  }

  auto close_listener() -> void {
    if (socket == nullptr) return;
    evhttp_del_accept_socket(http, socket);
    socket = nullptr;
  }

  /// Tells callers that no further response follows.
  auto shut_down_connections() const -> void {
    for (const auto& [handle, connection] : connections)
      shutdown(bufferevent_getfd(connection->stream()), SHUT_WR);
  }

  /// Keeps the socket of a connection that evhttp is about to close.
  auto linger(const caller_connection& connection) -> void {
    const auto socket =
        fcntl(bufferevent_getfd(connection.stream()), F_DUPFD_CLOEXEC, 0);
    if (socket < 0) return;
    if (lingering.size() >= max_lingering) lingering.pop_front();
    const auto place = lingering.emplace(lingering.end());
    *place = std::make_unique<lingering_socket>(
        loop.base(), socket, limits.idle_timeout,
        [this, place] { lingering.erase(place); });
  }

  static auto on_close(evhttp_connection* connection, void* arg) -> void {
    auto* self = static_cast<impl*>(arg);
    const auto closed = self->connections.extract(connection);
    if (closed.empty()) return;
    const auto& record = *closed.mapped();
    record.reset_unfinished();
    if (record.current != nullptr) return record.current->handle_close();
    if (!record.sending) self->linger(record);
  }

  auto reply_error(evhttp_request* handle, int status, const char* message)
      -> void {
    const auto connection = connection_of(handle);
    connection->watch_response(handle);
    auto* buffer = evbuffer_new();
    evbuffer_add_printf(buffer, "%s\n", message);
    evhttp_add_header(evhttp_request_get_output_headers(handle),
                      "Pollenloft-Outcome", "not-run");
    evhttp_send_reply(handle, status, nullptr, buffer);
    evbuffer_free(buffer);
    connection->stop_reading();
  }

  static auto on_evhttp_request(evhttp_request* handle, void* arg) -> void {
    static_cast<impl*>(arg)->handle_request(handle);
  }

  auto handle_request(evhttp_request* handle) -> void {
    auto state = std::make_unique<exchange::impl>();
    auto& request = state->request;
    request.headers =
        detail::read_headers(evhttp_request_get_input_headers(handle));
    if (request.headers.fields().size() > limits.header_count)
      return reply_error(handle, 431, "Too many header fields.");
    request.method = detail::method_name(evhttp_request_get_command(handle));
    request.target = evhttp_request_get_uri(handle);
    const auto* path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(handle));
    request.path = path != nullptr && *path != '\0' ? path : "/";
    request.body = detail::buffer_text(evhttp_request_get_input_buffer(handle));
    const auto connection = connection_of(handle);
    char* host = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(connection->handle, &host, &port);
    request.peer =
        std::string(host != nullptr ? host : "") + ":" + std::to_string(port);
    state->handle = handle;
    state->connection = connection;
    state->watch_for_close();
    on_request(std::make_shared<exchange>(std::move(state)));
  }
};

http_server::http_server(event_loop& loop, http_limits limits,
                         handler on_request)
    : impl_(std::make_unique<impl>(loop, limits, std::move(on_request))) {
  impl_->http = evhttp_new(loop.base());
  loop.impl_->servers.insert(impl_.get());
  evhttp_set_gencb(impl_->http, &impl::on_evhttp_request, impl_.get());
  evhttp_set_max_headers_size(impl_->http,
                              static_cast<ev_ssize_t>(limits.header_bytes));
  evhttp_set_max_body_size(impl_->http,
                           static_cast<ev_ssize_t>(limits.body_bytes));
  evhttp_set_timeout(impl_->http,
                     static_cast<int>(limits.idle_timeout.count()));
  evhttp_set_allowed_methods(
      impl_->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                       EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH);
}

http_server::~http_server() {
  impl_->loop.impl_->servers.erase(impl_.get());
  evhttp_free(impl_->http);
}

auto http_server::listen(const socket_address& address) -> std::optional<bool> {
  impl_->socket = evhttp_bind_socket_with_handle(
      impl_->http, address.host.c_str(), address.port);
  if (impl_->socket == nullptr)
    return fail("http.listen", address.text(), strerror(errno));
  return true;
}

auto http_server::close_listener() -> void {
  impl_->close_listener();
}

auto http_server::unfinished() const -> unfinished_responses {
  return impl_->unfinished();
}

auto event_loop::impl::unfinished() const -> unfinished_responses {
  unfinished_responses result;
  for (const auto* server : servers)
    result += server->unfinished();
  return result;
}

auto event_loop::unfinished() const -> unfinished_responses {
  return impl_->unfinished();
}

auto event_loop::impl::may_stop(instant now) -> bool {
  if (now >= finish_by) return true;
  if (linger_until == instant{}) {
    const auto responses = unfinished();
    if ((busy && busy()) || responses.open + responses.unsent > 0) return false;
    linger_until = now + linger_time;
    for (auto* server : servers) {
      server->close_listener();
      server->shut_down_connections();
    }
  }
  return now >= linger_until ||
         std::all_of(servers.begin(), servers.end(), [](const auto* server) {
           return server->connections.empty() && server->lingering.empty();
         });
}

}  // namespace pollenloft
