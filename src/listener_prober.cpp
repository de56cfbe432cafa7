// Probes whether processes listen.
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "net_detail.hpp"

namespace pollenloft {

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
    // A reset follows an accepted connection.
    const auto refused = code == ECONNREFUSED;
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
