/// pollenloft-link: forwards TCP connections with the bandwidth and the delay
/// of a VM's network link. All connections to one forwarded address share the
/// bandwidth of its link, in each direction.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <unistd.h>

#include <cstring>
#include <deque>
#include <iostream>
#include <map>
#include <memory>

#include "pollenloft/net.hpp"
#include "pollenloft/settings.hpp"

namespace pollenloft {
namespace {

constexpr std::size_t max_buffered_bytes = 64 * 1024;
constexpr auto rate_tick = milliseconds(10);
constexpr auto delivery_period = milliseconds(1);
constexpr double bytes_per_second_per_mbps = 1e6 / 8;

const std::vector<setting> known_settings{
    {"forward", "", named_address_list{},
     "forwarded addresses, a.b.c.d:port=a.b.c.d:port,..., each with its own "
     "link to the address after `=`"},
    {"mbps", "1000", number_range{1, 100000},
     "bandwidth of each link in each direction"},
    {"delay-ms", "0", number_range{0, 10000}, "one-way delay of each link"}};

struct stream_deleter {
  auto operator()(bufferevent* stream) const -> void {
    // libevent frees a stream later, possibly after its group.
    bufferevent_remove_from_rate_limit_group(stream);
    bufferevent_free(stream);
  }
};
using stream_ptr = std::unique_ptr<bufferevent, stream_deleter>;

template <auto Free>
struct deleter {
  template <class Handle>
  auto operator()(Handle* handle) const -> void {
    Free(handle);
  }
};
using buffer_ptr = std::unique_ptr<evbuffer, deleter<evbuffer_free>>;
using listener_ptr =
    std::unique_ptr<evconnlistener, deleter<evconnlistener_free>>;
using rate_ptr =
    std::unique_ptr<ev_token_bucket_cfg, deleter<ev_token_bucket_cfg_free>>;
using rate_group_ptr =
    std::unique_ptr<bufferevent_rate_limit_group,
                    deleter<bufferevent_rate_limit_group_free>>;

auto to_sockaddr(const socket_address& address) -> sockaddr_in {
  sockaddr_in converted{};
  converted.sin_family = AF_INET;
  converted.sin_port = htons(address.port);
  converted.sin_addr.s_addr = htonl(ipv4_number(address.host));
  return converted;
}

/// Limits the kernel's buffer, which would otherwise hold more than the link.
auto configure_socket(evutil_socket_t fd) -> void {
  const int bytes = max_buffered_bytes;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// One forwarded connection. It ends when both sides have ended or one fails.
class link_connection {
 public:
  /// Takes over `accepted`, the socket of the caller. `on_end` runs once, after
  /// which the owner should destroy the connection.
  link_connection(event_loop& loop, evutil_socket_t accepted,
                  const socket_address& target,
                  bufferevent_rate_limit_group* rate, duration delay,
                  task on_end)
      : loop_(loop), delay_(delay), on_end_(std::move(on_end)) {
    open(caller_, target_, accepted);
    // All bytes pass the caller's side once, so it alone is limited.
    bufferevent_add_to_rate_limit_group(caller_.stream.get(), rate);
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    open(target_, caller_, fd);
    const auto address = to_sockaddr(target);
    if (bufferevent_socket_connect(
            target_.stream.get(),
            reinterpret_cast<const sockaddr*>(&address),  // NOLINT
            sizeof address) != 0)
      end();
    if (delay_ == duration::zero()) return;
    delivery_ = loop_.every(delivery_period, [this] {
      deliver(caller_);
      deliver(target_);
    });
  }
  link_connection(const link_connection&) = delete;
  auto operator=(const link_connection&) -> link_connection& = delete;

 private:
  struct delayed_bytes {
    instant due;
    buffer_ptr bytes;
  };
  struct side {
    link_connection* owner = nullptr;
    side* other = nullptr;
    stream_ptr stream;
    std::deque<delayed_bytes> in_transit{};  // from here to the other side
    bool read_ended = false;
    bool write_ended = false;
  };

  auto open(side& self, side& other, evutil_socket_t fd) -> void {
    configure_socket(fd);
    self.owner = this;
    self.other = &other;
    self.stream.reset(
        bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(self.stream.get(), &on_read, &on_write, &on_event, &self);
    bufferevent_setwatermark(self.stream.get(), EV_WRITE,
                             max_buffered_bytes / 2, 0);
    bufferevent_enable(self.stream.get(), EV_READ | EV_WRITE);
  }

  static auto on_read(bufferevent* /*stream*/, void* arg) -> void {
    auto* from = static_cast<side*>(arg);
    from->owner->forward(*from);
  }

  static auto on_write(bufferevent* /*stream*/, void* arg) -> void {
    auto* to = static_cast<side*>(arg);
    to->owner->update(*to->other);
  }

  static auto on_event(bufferevent* /*stream*/, short what, void* arg) -> void {
    auto* from = static_cast<side*>(arg);
    if ((what & BEV_EVENT_ERROR) != 0) return from->owner->end();
    if ((what & BEV_EVENT_EOF) == 0) return;
    from->read_ended = true;
    from->owner->forward(*from);
  }

  auto forward(side& from) -> void {
    auto* input = bufferevent_get_input(from.stream.get());
    if (delay_ == duration::zero()) {
      bufferevent_write_buffer(from.other->stream.get(), input);
    } else if (evbuffer_get_length(input) > 0) {
      buffer_ptr bytes(evbuffer_new());
      evbuffer_add_buffer(bytes.get(), input);
      from.in_transit.push_back(
          {boottime_clock::now() + delay_, std::move(bytes)});
    }
    update(from);
  }

  auto deliver(side& from) -> void {
    if (ended_) return;
    const auto now = boottime_clock::now();
    while (!from.in_transit.empty() && from.in_transit.front().due <= now) {
      bufferevent_write_buffer(from.other->stream.get(),
                               from.in_transit.front().bytes.get());
      from.in_transit.pop_front();
    }
    update(from);
  }

  /// Reads from `from` only while the other side keeps up, and passes its end
  /// on after its last byte.
  auto update(side& from) -> void {
    auto& to = *from.other;
    const auto buffered =
        evbuffer_get_length(bufferevent_get_output(to.stream.get()));
    if (buffered > max_buffered_bytes)
      bufferevent_disable(from.stream.get(), EV_READ);
    else if (!from.read_ended)
      bufferevent_enable(from.stream.get(), EV_READ);
    if (!from.read_ended || buffered > 0 || !from.in_transit.empty() ||
        to.write_ended)
      return;
    to.write_ended = true;
    shutdown(bufferevent_getfd(to.stream.get()), SHUT_WR);
    if (from.write_ended) end();
  }

  auto end() -> void {
    if (ended_) return;
    ended_ = true;
    for (const auto* side : {&caller_, &target_}) {
      bufferevent_setcb(side->stream.get(), nullptr, nullptr, nullptr, nullptr);
      bufferevent_disable(side->stream.get(), EV_READ | EV_WRITE);
    }
    loop_.post(on_end_);
  }

  event_loop& loop_;
  duration delay_;
  task on_end_;
  side caller_;
  side target_;
  bool ended_ = false;
  timer delivery_;
};

/// Properties of the link of a forwarded address.
struct link_properties {
  double bytes_per_second = 0;  ///< in each direction
  duration delay{};             ///< one way
};

/// Accepts connections at one address and forwards them to another one over
/// one link.
class link_forwarder {
 public:
  link_forwarder(event_loop& loop, socket_address listen, socket_address target,
                 const link_properties& link)
      : loop_(loop),
        listen_(std::move(listen)),
        target_(std::move(target)),
        delay_(link.delay) {
    const auto ticks_per_second =
        std::chrono::seconds(1) / std::chrono::duration<double>(rate_tick);
    const auto bytes =
        static_cast<std::size_t>(link.bytes_per_second / ticks_per_second);
    const timeval tick{0, std::chrono::microseconds(rate_tick).count()};
    rate_.reset(ev_token_bucket_cfg_new(bytes, bytes, bytes, bytes, &tick));
    rate_group_.reset(
        bufferevent_rate_limit_group_new(loop.base(), rate_.get()));
  }

  /// Accepts connections. Empty on failure, see `last_error`.
  auto start() -> std::optional<bool> {
    const auto address = to_sockaddr(listen_);
    listener_.reset(evconnlistener_new_bind(
        loop_.base(), &on_accept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, SOMAXCONN,
        reinterpret_cast<const sockaddr*>(&address),  // NOLINT
        sizeof address));
    if (listener_) return true;
    return fail("link.listen", listen_.text(), strerror(errno));
  }

 private:
  static auto on_accept(evconnlistener* /*listener*/, evutil_socket_t fd,
                        sockaddr* /*peer*/, int /*size*/, void* arg) -> void {
    auto* self = static_cast<link_forwarder*>(arg);
    const auto number = self->next_connection_++;
    self->connections_[number] = std::make_unique<link_connection>(
        self->loop_, fd, self->target_, self->rate_group_.get(), self->delay_,
        [self, number] { self->connections_.erase(number); });
  }

  event_loop& loop_;
  socket_address listen_;
  socket_address target_;
  duration delay_;
  rate_ptr rate_;
  rate_group_ptr rate_group_;
  std::map<std::uint64_t, std::unique_ptr<link_connection>> connections_;
  std::uint64_t next_connection_ = 0;
  listener_ptr listener_;
};

auto run(int argc, char** argv) -> int {
  auto parsed =
      parse_settings("pollenloft-link [settings]", known_settings, argc, argv);
  if (auto* code = std::get_if<int>(&parsed)) return *code;
  const auto& values = std::get<settings>(parsed);
  const link_properties link{
      static_cast<double>(values.number("mbps")) * bytes_per_second_per_mbps,
      values.millis("delay-ms")};
  event_loop loop;
  std::vector<std::unique_ptr<link_forwarder>> forwarders;
  for (const auto& [name, target] : values.named_addresses("forward")) {
    const auto listen = parse_socket_address(name);
    if (listen)
      forwarders.push_back(
          std::make_unique<link_forwarder>(loop, *listen, target, link));
    if (listen && forwarders.back()->start()) continue;
    std::cerr << "setting=forward value=\"" << name << "\" reason=\""
              << last_error().reason << "\"\n";
    return 2;
  }
  const auto terminate = loop.on_signal(SIGTERM, [&] { loop.stop(); });
  const auto interrupt = loop.on_signal(SIGINT, [&] { loop.stop(); });
  loop.run();
  return 0;
}

}  // namespace
}  // namespace pollenloft

auto main(int argc, char** argv) -> int {
  return pollenloft::run(argc, argv);
}
