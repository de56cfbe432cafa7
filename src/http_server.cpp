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

#include "caller_connection.hpp"

namespace pollenloft {

using detail::caller_connection;
using detail::caller_connection_ptr;
using detail::lingering_socket;
using detail::to_timeval;

namespace {

/// Time for callers to close their connections once they have been told to.
/// Closing first would reset connections with unread input, and a reset
/// discards what the caller has not received yet.
constexpr auto linger_time = milliseconds(250);

/// Part of the connections of a process whose sockets stay open after their
/// end, for the callers to read the last response.
constexpr std::size_t lingering_divisor = 4;
/// Time for a caller to read why its request was refused before it arrived.
constexpr auto refusal_linger_time = std::chrono::seconds(2);
/// Lengths of lines as evhttp counts them differ from those of the fields.
constexpr std::size_t header_slack_bytes = 2 * 1024;
/// The request line and the empty line, and one that is above the limit: evhttp
/// reads a head that ends there, and it is refused by name.
constexpr std::size_t head_lines_beside_fields = 3;

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
  std::vector<bufferevent*> accepted;                      // not adopted yet
  posted_task adopt_task;

  impl(event_loop& loop, http_limits limits, handler on_request)
      : loop(loop),
        limits(limits),
        on_request(std::move(on_request)),
        adopt_task(loop, [this] { adopt_accepted(); }) {}

  auto guard() const -> connection_guard& { return *loop.impl_->guard; }

  /// evhttp asks for the stream of a connection that it accepts, and sets it up
  /// afterwards.
  static auto on_accept(event_base* base, void* arg) -> bufferevent* {
    auto* self = static_cast<impl*>(arg);
    auto* stream = bufferevent_socket_new(base, -1, 0);
    self->accepted.push_back(stream);
    self->adopt_task.schedule();
    return stream;
  }

  auto adopt_accepted() -> void {
    for (auto* stream : std::exchange(accepted, {})) {
      void* arg = nullptr;
      bufferevent_getcb(stream, nullptr, nullptr, nullptr, &arg);
      if (arg != nullptr) adopt(static_cast<evhttp_connection*>(arg));
    }
  }

  auto adopt(evhttp_connection* handle) -> void {
    auto record = std::make_shared<caller_connection>();
    record->handle = handle;
    record->guard = &guard();
    record->idle_timeout = limits.idle_timeout;
    record->max_head_lines = limits.header_count + head_lines_beside_fields;
    record->max_header_bytes = limits.header_bytes + header_slack_bytes;
    connections[handle] = record;
    evhttp_connection_set_closecb(handle, &on_close, this);
    record->id = guard().open([this, handle](connection_action action) {
      carry_out(handle, action);
    });
    record->watch_buffers();
  }

  auto carry_out(evhttp_connection* handle, connection_action action) -> void {
    switch (action) {
      case connection_action::pause:
        connections.at(handle)->set_paused(true);
        break;
      case connection_action::resume:
        connections.at(handle)->set_paused(false);
        break;
      case connection_action::refuse:
        refuse(handle);
        break;
      case connection_action::close:
        connections.at(handle)->refused = true;
        evhttp_connection_free(handle);
        break;
    }
  }

  /// Refuses a request that has not arrived completely, so it can't run.
  auto refuse(evhttp_connection* handle) -> void {
    auto* stream = evhttp_connection_get_bufferevent(handle);
    auto* output = bufferevent_get_output(stream);
    auto& record = *connections.at(handle);
    // It may have arrived, or been answered, since the decision.
    if (record.current != nullptr || record.sending) return;
    guard().count_refusal();
    record.refused = true;
    if (evbuffer_get_length(output) == 0) {
      const auto response = record.refusal();
      evbuffer_unfreeze(output, 1);
      evbuffer_add(output, response.data(), response.size());
      evbuffer_write(output, bufferevent_getfd(stream));
    }
    evhttp_connection_free(handle);
  }

  /// The record of the connection on which `handle` arrived.
  auto connection_of(evhttp_request* handle) -> caller_connection_ptr {
    // A request can't arrive before its connection was adopted.
    const auto& record = connections.at(evhttp_request_get_connection(handle));
    record->begin_request();
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
    const auto max_lingering = std::max<std::size_t>(
        1, guard().limits().max_connections / lingering_divisor);
    if (lingering.size() >= max_lingering) lingering.pop_front();
    const auto place = lingering.emplace(lingering.end());
    const duration limit = connection.refused ? duration(refusal_linger_time)
                                              : duration(limits.idle_timeout);
    *place = std::make_unique<lingering_socket>(
        loop.base(), socket, limit, [this, place] { lingering.erase(place); });
  }

  static auto on_close(evhttp_connection* connection, void* arg) -> void {
    auto* self = static_cast<impl*>(arg);
    const auto closed = self->connections.extract(connection);
    if (closed.empty()) return;
    const auto& record = *closed.mapped();
    self->guard().close(record.id);
    closed.mapped()->slowed = timer();
    evbuffer_remove_cb(bufferevent_get_input(record.stream()),
                       &caller_connection::on_input, closed.mapped().get());
    evbuffer_remove_cb(bufferevent_get_output(record.stream()),
                       &caller_connection::on_output, closed.mapped().get());
    record.reset_unfinished();
    if (record.current != nullptr) return record.current->handle_close();
    if (!record.sending && (record.requested || record.refused))
      self->linger(record);
  }

  auto reply_error(evhttp_request* handle, int status, const char* message)
      -> void {
    const auto connection = connection_of(handle);
    connection->begin_answer(0);
    auto* input = evhttp_request_get_input_buffer(handle);
    evbuffer_drain(input, evbuffer_get_length(input));
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
    const auto& caller = connections.at(evhttp_request_get_connection(handle));
    if (!caller->head.valid()) {
      // The end of the request is not known.
      evhttp_add_header(evhttp_request_get_output_headers(handle), "Connection",
                        "close");
      return reply_error(handle, 400, "The header is invalid.");
    }
    auto state = std::make_unique<exchange::impl>();
    auto& request = state->request;
    request.headers =
        detail::read_headers(evhttp_request_get_input_headers(handle));
    if (request.headers.fields().size() > limits.header_count)
      return reply_error(handle, 431, "Too many header fields.");
    const auto body_bytes =
        evbuffer_get_length(evhttp_request_get_input_buffer(handle));
    if (body_bytes > limits.body_bytes)
      return reply_error(handle, 413, "The body is too large.");
    if (!guard().admits_answer(body_bytes)) {
      guard().count_refusal();
      evhttp_add_header(evhttp_request_get_output_headers(handle),
                        "Retry-After", "1");
      return reply_error(handle, 503, "The server is overloaded.");
    }
    request.method = detail::method_name(evhttp_request_get_command(handle));
    request.target = evhttp_request_get_uri(handle);
    const auto* path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(handle));
    request.path = path != nullptr && *path != '\0' ? path : "/";
    request.body = detail::buffer_text(evhttp_request_get_input_buffer(handle));
    const auto connection = connection_of(handle);
    connection->begin_answer(body_bytes);
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
  evhttp_set_bevcb(impl_->http, &impl::on_accept, impl_.get());
  set_request_limits(limits.header_bytes, limits.body_bytes);
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

auto http_server::set_request_limits(std::size_t header_bytes,
                                     std::size_t body_bytes) -> void {
  const auto head = static_cast<ev_ssize_t>(header_bytes + header_slack_bytes);
  const auto body = static_cast<ev_ssize_t>(body_bytes);
  impl_->limits.header_bytes = header_bytes;
  impl_->limits.body_bytes = body_bytes;
  evhttp_set_max_headers_size(impl_->http, head);
  evhttp_set_max_body_size(impl_->http, body);
  for (const auto& [handle, connection] : impl_->connections) {
    connection->max_header_bytes = static_cast<std::size_t>(head);
    evhttp_connection_set_max_headers_size(handle, head);
    evhttp_connection_set_max_body_size(handle, body);
  }
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
