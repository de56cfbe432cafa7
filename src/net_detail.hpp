/// \file net_detail.hpp
/// What the sources of the net library share.
#ifndef POLLENLOFT_NET_DETAIL_HPP
#define POLLENLOFT_NET_DETAIL_HPP

#include <event2/buffer.h>
#include <event2/http.h>
#include <sys/time.h>

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "connection_guard.hpp"
#include "pollenloft/net.hpp"

namespace pollenloft {

namespace detail {

auto to_timeval(duration d) -> timeval;
/// Takes all bytes out of the buffer.
auto buffer_text(evbuffer* buffer) -> std::string;
/// Calls `visit` with the parts of the last `count` bytes of the buffer.
template <typename Visitor>
auto visit_newest_bytes(evbuffer* buffer, std::size_t count, Visitor visit)
    -> void {
  const auto length = evbuffer_get_length(buffer);
  evbuffer_ptr begin{};
  if (evbuffer_ptr_set(buffer, &begin, length - std::min(count, length),
                       EVBUFFER_PTR_SET) != 0)
    return;
  std::vector<evbuffer_iovec> parts(static_cast<std::size_t>(
      std::max(0, evbuffer_peek(buffer, -1, &begin, nullptr, 0))));
  evbuffer_peek(buffer, -1, &begin, parts.data(),
                static_cast<int>(parts.size()));
  for (const auto& part : parts)
    visit(std::string_view(static_cast<const char*>(part.iov_base),
                           part.iov_len));
}
auto read_headers(const evkeyvalq* source) -> http_headers;
auto write_headers(evkeyvalq* target, const http_headers& headers) -> void;
auto method_name(evhttp_cmd_type method) -> std::string;
auto method_code(const std::string& name) -> evhttp_cmd_type;

}  // namespace detail

struct event_loop::impl {
  explicit impl(event_loop& loop)
      : guard(std::make_unique<connection_guard>(loop)) {}

  event_base* base = nullptr;
  event* posted_event = nullptr;
  std::deque<task> posted_tasks;
  std::set<http_server::impl*> servers;
  timer finish_timer;
  sigc::slot<bool()> busy;
  instant finish_by{};
  instant linger_until{};  // unset until all responses have been written
  std::unique_ptr<connection_guard> guard;

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

}  // namespace pollenloft

#endif
