/// \file reply_pacer.hpp
/// Limits the rate at which large replies leave a process, so that messages
/// that must be on time do not wait behind them on the link.
#ifndef POLLENLOFT_REPLY_PACER_HPP
#define POLLENLOFT_REPLY_PACER_HPP

#include <deque>
#include <string>

#include "pollenloft/net.hpp"

namespace pollenloft {

/// Decides when the next bytes may leave. Does no I/O.
class send_budget {
 public:
  /// `burst` bytes may leave at once after a pause.
  send_budget(double bytes_per_second, double burst)
      : rate_(bytes_per_second), burst_(burst), available_(burst) {}

  /// Time until the next reply may leave; zero if it may leave now.
  auto delay(instant now) -> duration;
  /// Counts bytes that leave now.
  auto charge(std::size_t bytes) -> void;

 private:
  double rate_;
  double burst_;
  double available_;  // bytes; below zero after a large reply
  instant refilled_at_{};
};

/// Sends small replies at once and large ones in order, within a budget.
/// Replies whose caller has disconnected are dropped without cost.
class reply_pacer {
 public:
  reply_pacer(event_loop& loop, double bytes_per_second);

  auto send(const exchange_ptr& call, http_headers headers, std::string body)
      -> void;
  auto queued() const -> std::size_t { return queue_.size(); }

 private:
  struct reply {
    exchange_ptr call;
    http_headers headers;
    std::string body;
  };

  auto drain() -> void;

  event_loop& loop_;
  send_budget budget_;
  std::deque<reply> queue_;
  timer timer_;
  bool waiting_ = false;
};

}  // namespace pollenloft

#endif
