#include "pollenloft/net.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <strings.h>

#include <algorithm>
#include <utility>

#include "net_detail.hpp"

namespace pollenloft {

namespace {

/// Part of the machine's memory that connections may hold. The allocator and
/// the copies on the way to endpoints take about as much again.
constexpr double connection_memory_divisor = 5;
/// The limit where the memory is not known.
constexpr std::size_t unknown_machine_bytes = 1024 * 1024 * 1024;
/// The largest body must fit.
constexpr std::size_t min_connection_bytes = 12 * 1024 * 1024;
/// Part of the descriptors for connections of callers; the others are for those
/// to endpoints and for sockets that linger.
constexpr std::size_t connection_descriptor_divisor = 2;

constexpr auto finish_poll_interval = milliseconds(5);

}  // namespace

namespace detail {

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

}  // namespace detail

using detail::to_timeval;

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

event_loop::event_loop() : impl_(std::make_unique<impl>(*this)) {
  signal(SIGPIPE, SIG_IGN);
  auto* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  impl_->base = event_base_new_with_config(config);
  event_config_free(config);
  impl_->posted_event =
      event_new(impl_->base, -1, 0, &impl::run_posted, impl_.get());
}

event_loop::~event_loop() {
  impl_->guard.reset();
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

auto limits_of_machine(double memory_mb, std::size_t descriptors)
    -> connection_limits {
  constexpr double bytes_per_mb = 1024 * 1024;
  connection_limits result;
  result.max_bytes = unknown_machine_bytes;
  if (memory_mb > 0)
    result.max_bytes =
        std::max(min_connection_bytes,
                 static_cast<std::size_t>(memory_mb * bytes_per_mb /
                                          connection_memory_divisor));
  if (descriptors > 0)
    result.max_connections =
        std::max<std::size_t>(1, descriptors / connection_descriptor_divisor);
  return result;
}

auto event_loop::set_connection_limits(connection_limits limits) -> void {
  impl_->guard->set_limits(limits);
}

auto event_loop::connections() const -> connection_usage {
  return impl_->guard->usage();
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

auto body_end_name(body_end end) -> const char* {
  switch (end) {
    case body_end::length:
      return "length";
    case body_end::last_chunk:
      return "last_chunk";
    default:
      return "connection";
  }
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

}  // namespace pollenloft
