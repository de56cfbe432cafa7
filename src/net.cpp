#include "pollenloft/net.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <list>
#include <set>
#include <utility>

namespace pollenloft {

namespace {

constexpr int continue_status = 100;
constexpr int max_status = 599;

auto to_timeval(duration d) -> timeval {
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(d);
  return {us.count() / 1000000, us.count() % 1000000};
}

auto buffer_text(evbuffer* buffer) -> std::string {
  const auto size = evbuffer_get_length(buffer);
  std::string text(size, '\0');
  evbuffer_remove(buffer, text.data(), size);
  return text;
}

auto read_headers(const evkeyvalq* source) -> http_headers {
  http_headers headers;
  for (const auto* kv = source->tqh_first; kv != nullptr;
       kv = kv->next.tqe_next)
    headers.add(kv->key, kv->value);
  return headers;
}

auto write_headers(evkeyvalq* target, const http_headers& headers) -> void {
  for (const auto& [name, value] : headers.fields())
    evhttp_add_header(target, name.c_str(), value.c_str());
}

auto method_name(evhttp_cmd_type method) -> std::string {
  switch (method) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "OPTIONS";
  }
}

auto method_code(const std::string& name) -> evhttp_cmd_type {
  for (auto code : {EVHTTP_REQ_GET, EVHTTP_REQ_POST, EVHTTP_REQ_PUT,
                    EVHTTP_REQ_DELETE, EVHTTP_REQ_HEAD, EVHTTP_REQ_PATCH})
    if (method_name(code) == name) return code;
  return EVHTTP_REQ_OPTIONS;
}

/// Whether all length fields are the same, and the transfer coding is one that
/// evhttp decodes.
auto framing_is_known(const http_headers& headers) -> bool {
  const auto length = headers.find("Content-Length");
  const auto& fields = headers.fields();
  return std::all_of(fields.begin(), fields.end(), [&](const auto& field) {
    const auto* name = field.first.c_str();
    if (strcasecmp(name, "Content-Length") == 0) return field.second == *length;
    return strcasecmp(name, "Transfer-Encoding") != 0 ||
           strcasecmp(field.second.c_str(), "chunked") == 0;
  });
}

/// Whether the body of this response ends with its connection.
auto ends_with_connection(evhttp_request* response, const http_headers& headers)
    -> bool {
  const auto status = evhttp_request_get_response_code(response);
  return status != HTTP_NOCONTENT && status != HTTP_NOTMODIFIED &&
         evhttp_request_get_command(response) != EVHTTP_REQ_HEAD &&
         !headers.find("Content-Length") && !headers.find("Transfer-Encoding");
}

}  // namespace

struct timer::impl {
  event* handle = nullptr;
  task work;
  bool once = false;

  ~impl() { event_free(handle); }
  static auto fire(int /*fd*/, short /*what*/, void* arg) -> void {
    auto* self = static_cast<impl*>(arg);
    auto work = self->work;  // the callback may destroy this timer
    work();
  }
};

timer::timer() = default;
timer::timer(std::unique_ptr<impl> pending) : impl_(std::move(pending)) {}
timer::~timer() = default;
timer::timer(timer&&) noexcept = default;
auto timer::operator=(timer&&) noexcept -> timer& = default;

namespace {

constexpr auto finish_poll_interval = milliseconds(5);
/// Time for callers to close their connections once they have been told to.
/// Closing first would reset connections with unread input, and a reset
/// discards what the caller has not received yet.
constexpr auto linger_time = milliseconds(250);

}  // namespace

struct event_loop::impl {
  event_base* base = nullptr;
  event* posted_event = nullptr;
  std::deque<task> posted_tasks;
  std::set<http_server::impl*> servers;
  timer finish_timer;
  sigc::slot<bool()> busy;
  instant finish_by{};
  instant linger_until{};  // unset until all responses have been written

  auto unfinished() const -> unfinished_responses;
  /// Whether all responses have left the process, or the limit has passed.
  auto may_stop(instant now) -> bool;

  static auto run_posted(int /*fd*/, short /*what*/, void* arg) -> void {
    auto* self = static_cast<impl*>(arg);
    // Tasks posted by these tasks run in the next batch.
    std::deque<task> batch;
    batch.swap(self->posted_tasks);
    for (auto& work : batch)
      work();
  }
};

event_loop::event_loop() : impl_(std::make_unique<impl>()) {
  signal(SIGPIPE, SIG_IGN);
  auto* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  impl_->base = event_base_new_with_config(config);
  event_config_free(config);
  impl_->posted_event =
      event_new(impl_->base, -1, 0, &impl::run_posted, impl_.get());
}

event_loop::~event_loop() {
  impl_->finish_timer = timer();
  impl_->posted_tasks.clear();
  event_free(impl_->posted_event);
  event_base_free(impl_->base);
}

auto event_loop::base() -> event_base* {
  return impl_->base;
}

auto event_loop::run() -> void {
  event_base_loop(impl_->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

auto event_loop::stop() -> void {
  event_base_loopbreak(impl_->base);
}

auto event_loop::finish(duration limit, sigc::slot<bool()> busy) -> void {
  auto& state = *impl_;
  state.busy = std::move(busy);
  state.finish_by = boottime_clock::now() + limit;
  state.finish_timer = every(finish_poll_interval, [this] {
    if (!impl_->may_stop(boottime_clock::now())) return;
    impl_->finish_timer = timer();
    impl_->linger_until = {};
    stop();
  });
}

auto event_loop::post(task work) -> void {
  if (impl_->posted_tasks.empty())
    event_active(impl_->posted_event, EV_TIMEOUT, 0);
  impl_->posted_tasks.push_back(std::move(work));
}

/// The timer keeps itself alive until it has fired, and is freed by a later
/// callback, since its own must not be destroyed while it runs.
auto run_later(event_loop& loop, duration delay, task work) -> void {
  auto pending = std::make_shared<timer>();
  *pending = loop.after(delay, [&loop, pending, work = std::move(work)] {
    loop.post([pending] { *pending = timer(); });
    work();
  });
}

auto posted_task::schedule() -> void {
  if (posted_) return;
  posted_ = true;
  loop_.post([this] {
    posted_ = false;
    work_();
  });
}

auto event_loop::after(duration delay, task work) -> timer {
  auto pending = std::make_unique<timer::impl>();
  pending->work = std::move(work);
  pending->handle =
      event_new(impl_->base, -1, 0, &timer::impl::fire, pending.get());
  const auto tv = to_timeval(std::max(delay, duration::zero()));
  event_add(pending->handle, &tv);
  return timer(std::move(pending));
}

auto event_loop::every(duration period, task work) -> timer {
  auto pending = std::make_unique<timer::impl>();
  pending->work = std::move(work);
  pending->handle =
      event_new(impl_->base, -1, EV_PERSIST, &timer::impl::fire, pending.get());
  const auto tv = to_timeval(period);
  event_add(pending->handle, &tv);
  return timer(std::move(pending));
}

auto event_loop::on_signal(int number, task work) -> timer {
  auto pending = std::make_unique<timer::impl>();
  pending->work = std::move(work);
  pending->handle = event_new(impl_->base, number, EV_SIGNAL | EV_PERSIST,
                              &timer::impl::fire, pending.get());
  event_add(pending->handle, nullptr);
  return timer(std::move(pending));
}

auto http_headers::add(std::string name, std::string value) -> http_headers& {
  fields_.emplace_back(std::move(name), std::move(value));
  return *this;
}

auto http_headers::find(std::string_view name) const
    -> std::optional<std::string> {
  for (const auto& [key, value] : fields_)
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0)
      return value;
  return std::nullopt;
}

auto http_headers::find_all(std::string_view name) const
    -> std::vector<std::string> {
  std::vector<std::string> values;
  for (const auto& [key, value] : fields_)
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0)
      values.push_back(value);
  return values;
}

namespace {

/// A caller's connection that has sent at least one request. evhttp can free
/// the connection while it takes the end of a response.
struct caller_connection {
  evhttp_connection* handle = nullptr;
  exchange::impl* current = nullptr;  // null once its response is complete
  bool sending = false;  // a complete response is not yet written to the socket
  duration idle_timeout{};

  auto stream() const -> bufferevent* {
    return evhttp_connection_get_bufferevent(handle);
  }
  auto unsent_bytes() const -> std::size_t {
    return evbuffer_get_length(bufferevent_get_output(stream()));
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
                     std::string_view body) -> void {
  if (impl_->handle == nullptr || impl_->started) return;
  auto* handle = impl_->handle;
  impl_->release();
  write_headers(evhttp_request_get_output_headers(handle), headers);
  auto* buffer = evbuffer_new();
  evbuffer_add(buffer, body.data(), body.size());
  evhttp_send_reply(handle, status, nullptr, buffer);
  evbuffer_free(buffer);
  impl_->connection->stop_reading();
}

auto exchange::start(int status, const http_headers& headers) -> void {
  if (impl_->handle == nullptr || impl_->started) return;
  impl_->started = true;
  write_headers(evhttp_request_get_output_headers(impl_->handle), headers);
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
    request.headers = read_headers(evhttp_request_get_input_headers(handle));
    if (request.headers.fields().size() > limits.header_count)
      return reply_error(handle, 431, "Too many header fields.");
    request.method = method_name(evhttp_request_get_command(handle));
    request.target = evhttp_request_get_uri(handle);
    const auto* path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(handle));
    request.path = path != nullptr && *path != '\0' ? path : "/";
    request.body = buffer_text(evhttp_request_get_input_buffer(handle));
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
  std::string error_body;  // body of a response with another status
  response_limits limits;
  evbuffer_cb_entry* input_watch = nullptr;
  const char* rejection = nullptr;  // of the response, by this client
  std::shared_ptr<impl> self;       // keeps the state alive until released
  sigc::slot<void(evhttp_connection*)> return_to_pool;

  explicit impl(event_loop& loop) : loop(loop) {}

  /// Returns the connection to the pool or closes it.
  auto release(bool keep_connection) -> void {
    if (!self) return;
    done = true;
    timeout_timer = timer();
    connect_timer = timer();
    evbuffer_remove_cb_entry(input(), input_watch);
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
    const auto limit = self->limits.header_bytes + self->limits.body_bytes;
    if (change->n_added == 0 || evbuffer_get_length(buffer) <= limit) return;
    // The bufferevent still reads.
    self->loop.post([state = self->self] {
      if (!state->done) state->interrupt_oversized();
    });
  }

  auto interrupt_oversized() -> void {
    failure = EVREQ_HTTP_DATA_TOO_LONG;
    finish(call_interrupted{{step, peer, failure_text()}, received_bytes()}, {},
           false);
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
    auto* fields = evhttp_request_get_input_headers(handle);
    status = evhttp_request_get_response_code(handle);
    // evhttp reads the final response into the same fields.
    if (status == continue_status) {
      evhttp_clear_headers(fields);
      return true;
    }
    const auto headers = read_headers(fields);
    if (status < HTTP_OK || status > max_status || !framing_is_known(headers)) {
      rejection = "invalid response";
      return false;
    }
    // With any other Connection field, evhttp expects no body.
    if (ends_with_connection(handle, headers)) {
      while (evhttp_remove_header(fields, "Connection") == 0) {
      }
      evhttp_add_header(fields, "Connection", "close");
    }
    if (handlers.on_headers) handlers.on_headers(status, headers);
    return true;
  }

  static auto on_chunk(evhttp_request* handle, void* arg) -> void {
    auto* self = static_cast<impl*>(arg);
    const auto data = buffer_text(evhttp_request_get_input_buffer(handle));
    if (self->done) return;
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
    if (handle == nullptr)
      return self->finish(
          call_interrupted{{self->step, self->peer, self->failure_text()}}, {},
          false);
    if (evhttp_request_get_response_code(handle) == 0)
      return self->finish(
          call_unsent{{self->step, self->peer, "connection not made"}}, {},
          false);
    const auto body =
        self->error_body + buffer_text(evhttp_request_get_input_buffer(handle));
    self->status = evhttp_request_get_response_code(handle);
    self->finish(call_completed{self->status}, body, self->reusable);
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

struct http_client::impl {
  explicit impl(event_loop& loop) : loop(loop) {}

  event_loop& loop;
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

http_client::http_client(event_loop& loop)
    : impl_(std::make_unique<impl>(loop)) {}
http_client::~http_client() = default;

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
  write_headers(output, call.headers);
  evbuffer_add(evhttp_request_get_output_buffer(handle), call.body.data(),
               call.body.size());
  state->timeout_timer =
      impl_->loop.after(call.timeout, [raw] { raw->on_timeout(); });
  if (call.connect_timeout < call.timeout)
    state->connect_timer = impl_->loop.after(
        call.connect_timeout, [raw] { raw->on_connect_timeout(); });
  evhttp_make_request(state->connection, handle, method_code(call.method),
                      call.target.c_str());
  state->disable_nagle();
  return std::make_shared<pending_call>(state);
}

struct listener_prober::impl {
  struct attempt {
    impl* owner = nullptr;
    std::string peer;
    bufferevent* stream = nullptr;
    std::vector<handler> handlers;
    timer timeout;

    attempt() = default;
    attempt(const attempt&) = delete;
    auto operator=(const attempt&) -> attempt& = delete;
    ~attempt() {
      if (stream != nullptr) bufferevent_free(stream);
    }
  };

  explicit impl(event_loop& loop) : loop(loop) {}

  auto finish(const std::string& peer, listener_state state) -> void {
    const auto found = attempts.find(peer);
    if (found == attempts.end()) return;
    // libevent and the timer still use the attempt while their callback runs.
    auto ended = std::shared_ptr<attempt>(std::move(found->second));
    attempts.erase(found);
    loop.post([ended] {});
    for (const auto& done : std::exchange(ended->handlers, {}))
      done(state);
  }

  static auto on_event(bufferevent* /*stream*/, short what, void* arg) -> void {
    const auto* self = static_cast<attempt*>(arg);
    const auto code = EVUTIL_SOCKET_ERROR();
    const auto refused = code == ECONNREFUSED || code == ECONNRESET;
    const auto state =
        (what & BEV_EVENT_CONNECTED) != 0
            ? listener_state::listening
            : (refused ? listener_state::refused : listener_state::unknown);
    self->owner->finish(self->peer, state);
  }

  auto connect(attempt& started, const socket_address& peer) -> bool {
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(peer.port);
    remote.sin_addr.s_addr = htonl(ipv4_number(peer.host));
    started.stream =
        bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(started.stream, nullptr, nullptr, &on_event, &started);
    return bufferevent_socket_connect(
               started.stream,
               reinterpret_cast<sockaddr*>(&remote),  // NOLINT
               sizeof remote) == 0;
  }

  event_loop& loop;
  std::map<std::string, std::unique_ptr<attempt>> attempts;  // by peer
};

listener_prober::listener_prober(event_loop& loop)
    : impl_(std::make_unique<impl>(loop)) {}
listener_prober::~listener_prober() = default;

auto listener_prober::probe(const socket_address& peer, duration timeout,
                            handler done) -> void {
  const auto name = peer.text();
  auto& current = impl_->attempts[name];
  const auto is_new = !current;
  if (is_new) current = std::make_unique<impl::attempt>();
  current->handlers.push_back(std::move(done));
  if (!is_new) return;
  current->owner = impl_.get();
  current->peer = name;
  auto* state = impl_.get();
  current->timeout = impl_->loop.after(
      timeout, [state, name] { state->finish(name, listener_state::unknown); });
  if (!impl_->connect(*current, peer))
    impl_->finish(name, listener_state::unknown);
}

}  // namespace pollenloft
