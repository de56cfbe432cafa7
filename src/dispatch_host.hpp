/// \file dispatch_host.hpp
/// What any kind of request needs of the entry VM that runs it.
#ifndef POLLENLOFT_DISPATCH_HOST_HPP
#define POLLENLOFT_DISPATCH_HOST_HPP

#include <memory>

#include "pollenloft/net.hpp"
#include "pollenloft/route.hpp"
#include "pollenloft/telemetry.hpp"

namespace pollenloft {

template <class Request>
class dispatch_host {
 public:
  using request_ptr = std::shared_ptr<Request>;

  dispatch_host() = default;
  dispatch_host(const dispatch_host&) = delete;
  auto operator=(const dispatch_host&) -> dispatch_host& = delete;
  virtual ~dispatch_host() = default;
  virtual auto loop() -> event_loop& = 0;
  virtual auto client() -> http_client& = 0;
  virtual auto metrics_registry() -> metrics& = 0;
  virtual auto routes() -> router& = 0;
  /// Queues a request, at the front if it was dispatched before.
  virtual auto enqueue(const request_ptr& request, bool again) -> void = 0;
  virtual auto dequeue(const request_ptr& request) -> void = 0;
  /// A dispatch has ended: its endpoints' places are free, work of `cost` was
  /// done.
  virtual auto slot_released(const request_ptr& request, double cost)
      -> void = 0;
  virtual auto request_ended(const request_ptr& request) -> void = 0;
};

}  // namespace pollenloft

#endif
