// HTTP/1.1 client over evhttp.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "net_detail.hpp"
#include "response_budget.hpp"
#include "response_scanner.hpp"

namespace pollenloft {

using detail::to_timeval;

namespace {

constexpr int continue_status = 100;

}  // namespace

auto find_body_end(const std::string& method, int status,
                   const http_headers& headers) -> body_end {
  const auto has_body = status != HTTP_NOCONTENT &&
                        status != HTTP_NOTMODIFIED && method != "HEAD";
  if (has_body && headers.find("Transfer-Encoding"))
    return body_end::last_chunk;
  return has_body && !headers.find("Content-Length") ? body_end::connection
                                                     : body_end::length;
}

/// The responses that a client is receiving, and their budget.
struct http_client::receiver : std::enable_shared_from_this<receiver> {
  receiver(event_loop& loop, std::size_t max_bytes)
      : loop(loop), budget(max_bytes) {}

  auto add(std::shared_ptr<pending_call::impl> call) -> std::uint64_t {
    calls[++last_id] = std::move(call);
    return last_id;
  }
  auto remove(std::uint64_t id) -> void {
    budget.remove(id);
    calls.erase(id);
  }
  auto update(std::uint64_t id, const std::string& peer, std::size_t held)
      -> void {
    budget.update(id, peer, held);
    if (!budget.needs_decisions() || std::exchange(posted, true)) return;
    loop.post([self = shared_from_this()] { self->decide(); });
  }
  auto decide() -> void;

  event_loop& loop;
  response_budget budget;
  std::map<std::uint64_t, std::shared_ptr<pending_call::impl>> calls;
  std::uint64_t last_id = 0;
  bool posted = false;
  timer decide_timer;  // while responses wait
};

struct pending_call::impl {
  event_loop& loop;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;  // owned by the connection
  call_handlers handlers;
  std::string peer;
  std::string step;
  timer timeout_timer;
  timer connect_timer;
  evhttp_request_error failure = EVREQ_HTTP_TIMEOUT;
  bool done = false;
  bool reusable = false;
  int status = 0;
  body_end end = body_end::length;  // of the response
  std::string error_body;           // body of a response with another status
  response_limits limits;
  evbuffer_cb_entry* input_watch = nullptr;
  std::optional<response_scanner> scanner;  // of the response that arrives
  const char* rejection = nullptr;          // of the response, by this client
  std::shared_ptr<http_client::receiver> receiver;
  std::uint64_t receiver_id = 0;
  std::shared_ptr<impl> self;  // keeps the state alive until released
  sigc::slot<void(evhttp_connection*)> return_to_pool;

  explicit impl(event_loop& loop) : loop(loop) {}

  /// Returns the connection to the pool or closes it.
  auto release(bool keep_connection) -> void {
    if (!self) return;
    done = true;
    timeout_timer = timer();
    connect_timer = timer();
    evbuffer_remove_cb_entry(input(), input_watch);
    receiver->remove(receiver_id);
    // evhttp still uses the connection while its callback runs.
    loop.post([state = std::move(self), keep_connection] {
      if (keep_connection)
        state->return_to_pool(state->connection);
      else
        evhttp_connection_free(state->connection);
      state->handlers = {};
    });
  }

  auto finish(const call_result& result, std::string_view body,
              bool keep_connection) -> void {
    if (done) return;
    auto on_done = handlers.on_done;
    auto state = self;
    release(keep_connection);
    if (on_done) on_done(result, body);
  }

  /// Nagle's algorithm would hold the end of a body back until the peer has
  /// acknowledged the rest, which takes up to 40 ms.
  auto disable_nagle() const -> void {
    auto* stream = evhttp_connection_get_bufferevent(connection);
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof on);
  }

  auto connected() const -> bool {
    auto* stream = evhttp_connection_get_bufferevent(connection);
    sockaddr_in remote{};
    socklen_t size = sizeof remote;
    return getpeername(bufferevent_getfd(stream),
                       reinterpret_cast<sockaddr*>(&remote),  // NOLINT
                       &size) == 0;
  }

  auto input() const -> evbuffer* {
    return bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
  }

  /// Bytes of the response body that have arrived so far.
  auto received_bytes() const -> std::size_t {
    return evbuffer_get_length(evhttp_request_get_input_buffer(request)) +
           evbuffer_get_length(input());
  }

  auto held_bytes() const -> std::size_t {
    return received_bytes() + error_body.size();
  }

  auto carry_out(budget_action action) -> void {
    auto* stream = evhttp_connection_get_bufferevent(connection);
    if (action == budget_action::pause)
      bufferevent_disable(stream, EV_READ);
    else if (action == budget_action::resume)
      bufferevent_enable(stream, EV_READ);
    else
      interrupt_oversized();
  }

  /// evhttp limits the header and the sum of all chunks, but neither the line
  /// that begins a chunk nor, in a stream of any length, a chunk.
  auto apply_limits() -> void {
    evhttp_connection_set_max_headers_size(
        connection, static_cast<ev_ssize_t>(limits.header_bytes));
    evhttp_connection_set_max_body_size(
        connection,
        handlers.on_data ? -1 : static_cast<ev_ssize_t>(limits.body_bytes));
    input_watch = evbuffer_add_cb(input(), &on_input, this);
  }

  static auto on_input(evbuffer* buffer, const evbuffer_cb_info* change,
                       void* arg) -> void {
    auto* self = static_cast<impl*>(arg);
    self->receiver->update(self->receiver_id, self->peer, self->held_bytes());
    if (change->n_added == 0) return;
    self->check_input(buffer, change->n_added);
    const auto limit = self->limits.header_bytes + self->limits.body_bytes;
    if (evbuffer_get_length(buffer) <= limit) return;
    // The bufferevent still reads.
    self->loop.post([state = self->self] {
      if (!state->done) state->interrupt_oversized();
    });
  }

  /// Rejects an invalid response before evhttp reads it.
  auto check_input(evbuffer* buffer, std::size_t added) -> void {
    detail::visit_newest_bytes(
        buffer, added, [this](std::string_view part) { scanner->scan(part); });
    // Only a peer that keeps its connection may send ahead.
    const auto has_surplus = scanner->surplus() && !reusable;
    if ((scanner->valid() && !has_surplus) || rejection != nullptr) return;
    rejection = "invalid response";
    // evhttp may wait for more.
    loop.post([state = self] {
      if (!state->done) state->interrupt();
    });
  }

  auto interrupt_oversized() -> void {
    failure = EVREQ_HTTP_DATA_TOO_LONG;
    finish(call_interrupted{{step, peer, failure_text()}, received_bytes()}, {},
           false);
  }

  auto interrupt() -> void {
    finish(call_interrupted{{step, peer, failure_text()}}, {}, false);
  }

  auto on_timeout() -> void {
    finish(call_interrupted{{step, peer, "timed out"}, received_bytes()}, {},
           false);
  }

  auto on_connect_timeout() -> void {
    if (connected()) return;
    finish(call_unsent{{step, peer, "connection timed out"}}, {}, false);
  }

  static auto on_error(evhttp_request_error what, void* arg) -> void {
    static_cast<impl*>(arg)->failure = what;
  }

  static auto on_header(evhttp_request* handle, void* arg) -> int {
    auto* self = static_cast<impl*>(arg);
    if (self->done) return 0;
    return self->handle_header(handle) ? 0 : -1;
  }

  auto handle_header(evhttp_request* handle) -> bool {
    if (rejection != nullptr) return false;
    auto* fields = evhttp_request_get_input_headers(handle);
    status = evhttp_request_get_response_code(handle);
    // evhttp reads the final response into the same fields.
    if (status == continue_status) {
      evhttp_clear_headers(fields);
      return true;
    }
    const auto headers = detail::read_headers(fields);
    end = find_body_end(detail::method_name(evhttp_request_get_command(handle)),
                        status, headers);
    // With any other Connection field, evhttp expects no body.
    if (end == body_end::connection) {
      while (evhttp_remove_header(fields, "Connection") == 0) {
      }
      evhttp_add_header(fields, "Connection", "close");
    }
    if (handlers.on_headers) handlers.on_headers(status, headers);
    return true;
  }

  static auto on_chunk(evhttp_request* handle, void* arg) -> void {
    auto* self = static_cast<impl*>(arg);
    const auto data =
        detail::buffer_text(evhttp_request_get_input_buffer(handle));
    if (self->done || self->rejection != nullptr) return;
    self->status = evhttp_request_get_response_code(handle);
    if (self->status != HTTP_OK) {
      self->error_body += data;
      if (self->error_body.size() > self->limits.body_bytes)
        self->interrupt_oversized();
      return;
    }
    auto state = self->self;
    self->handlers.on_data(data);
  }

  static auto on_complete(evhttp_request* handle, void* arg) -> void {
    auto* self = static_cast<impl*>(arg);
    if (self->done) return;
    if (handle == nullptr || self->rejection != nullptr)
      return self->interrupt();
    if (evhttp_request_get_response_code(handle) == 0)
      return self->finish(
          call_unsent{{self->step, self->peer, "connection not made"}}, {},
          false);
    const auto body =
        self->error_body +
        detail::buffer_text(evhttp_request_get_input_buffer(handle));
    self->status = evhttp_request_get_response_code(handle);
    self->finish(call_completed{self->status, self->end}, body, self->reusable);
  }

  auto failure_text() const -> std::string {
    if (rejection != nullptr) return rejection;
    switch (failure) {
      case EVREQ_HTTP_TIMEOUT:
        return "timed out";
      case EVREQ_HTTP_EOF:
        return "connection closed";
      case EVREQ_HTTP_INVALID_HEADER:
        return "invalid header";
      case EVREQ_HTTP_DATA_TOO_LONG:
        return "response too long";
      default:
        return "connection failed";
    }
  }
};

pending_call::pending_call(std::shared_ptr<impl> state)
    : impl_(std::move(state)) {}
pending_call::~pending_call() = default;
auto pending_call::cancel() -> void {
  impl_->release(false);
}

auto http_client::receiver::decide() -> void {
  constexpr auto decision_interval = milliseconds(50);
  posted = false;
  for (const auto& each : budget.decide(boottime_clock::now())) {
    const auto found = calls.find(each.id);
    if (found != calls.end())
      std::shared_ptr(found->second)->carry_out(each.action);
  }
  decide_timer = budget.needs_decisions()
                     ? loop.after(decision_interval, [this] { decide(); })
                     : timer();
}

struct http_client::impl {
  impl(event_loop& loop, std::size_t max_response_bytes)
      : loop(loop),
        receiver(std::make_shared<http_client::receiver>(loop,
                                                         max_response_bytes)) {}

  event_loop& loop;
  std::shared_ptr<http_client::receiver> receiver;
  std::map<std::string, std::vector<evhttp_connection*>> idle_by_peer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  ~impl() {
    *alive = false;
    for (auto& [peer, connections] : idle_by_peer)
      for (auto* connection : connections)
        free_idle(connection);
  }

  /// Frees an idle connection without a call of its close callback.
  static auto free_idle(evhttp_connection* connection) -> void {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    evhttp_connection_free(connection);
  }

  /// Removes an idle connection that the peer has closed from the pool.
  static auto on_idle_close(evhttp_connection* connection, void* arg) -> void {
    auto* self = static_cast<impl*>(arg);
    for (auto& [peer, connections] : self->idle_by_peer) {
      const auto found =
          std::find(connections.begin(), connections.end(), connection);
      if (found == connections.end()) continue;
      connections.erase(found);
      self->loop.post([connection] { free_idle(connection); });
      return;
    }
  }

  /// Takes an idle connection from the pool, or opens a new one.
  auto acquire(const http_call& call) -> evhttp_connection* {
    auto& connections = idle_by_peer[call.peer.text()];
    if (call.keep_alive && !connections.empty()) {
      auto* connection = connections.back();
      connections.pop_back();
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
      return connection;
    }
    return evhttp_connection_base_new(loop.base(), nullptr,
                                      call.peer.host.c_str(), call.peer.port);
  }
};

http_client::http_client(event_loop& loop, std::size_t max_response_bytes)
    : impl_(std::make_unique<impl>(loop, max_response_bytes)) {}
http_client::~http_client() = default;

auto http_client::held_response_bytes() const -> std::size_t {
  return impl_->receiver->budget.held_bytes();
}

auto http_client::send(const http_call& call, call_handlers handlers)
    -> pending_call_ptr {
  auto state = std::make_shared<pending_call::impl>(impl_->loop);
  state->self = state;
  state->handlers = std::move(handlers);
  state->peer = call.peer.text();
  state->step = "http.call " + call.target;
  state->reusable = call.keep_alive;
  state->connection = impl_->acquire(call);
  state->return_to_pool = [this, alive = impl_->alive,
                           peer = state->peer](evhttp_connection* connection) {
    if (!*alive) return evhttp_connection_free(connection);
    impl_->idle_by_peer[peer].push_back(connection);
    evhttp_connection_set_closecb(connection, &impl::on_idle_close,
                                  impl_.get());
  };
  evhttp_connection_set_retries(state->connection, 0);
  state->limits = call.limits;
  state->receiver = impl_->receiver;
  state->receiver_id = impl_->receiver->add(state);
  state->scanner.emplace(call.limits.header_bytes, call.method == "HEAD");
  state->apply_limits();

  auto* raw = state.get();
  auto* handle = evhttp_request_new(&pending_call::impl::on_complete, raw);
  state->request = handle;
  evhttp_request_set_error_cb(handle, &pending_call::impl::on_error);
  evhttp_request_set_header_cb(handle, &pending_call::impl::on_header);
  if (state->handlers.on_data)
    evhttp_request_set_chunked_cb(handle, &pending_call::impl::on_chunk);
  auto* output = evhttp_request_get_output_headers(handle);
  if (!call.headers.find("Host"))
    evhttp_add_header(output, "Host", call.peer.host.c_str());
  if (!call.keep_alive) evhttp_add_header(output, "Connection", "close");
  detail::write_headers(output, call.headers);
  // evhttp adds it for POST and PUT only, but sends the body of any method.
  if (!call.body.empty() && !call.headers.find("Content-Length"))
    evhttp_add_header(output, "Content-Length",
                      std::to_string(call.body.size()).c_str());
  evbuffer_add(evhttp_request_get_output_buffer(handle), call.body.data(),
               call.body.size());
  state->timeout_timer =
      impl_->loop.after(call.timeout, [raw] { raw->on_timeout(); });
  if (call.connect_timeout < call.timeout)
    state->connect_timer = impl_->loop.after(
        call.connect_timeout, [raw] { raw->on_connect_timeout(); });
  evhttp_make_request(state->connection, handle,
                      detail::method_code(call.method), call.target.c_str());
  state->disable_nagle();
  return std::make_shared<pending_call>(state);
}

}  // namespace pollenloft
