/// \file admission.hpp
/// Admission control and scheduling: weighted fair queueing by cost over client
/// accounts within each priority, bounded queues, and immediate refusal of
/// requests whose deadline cannot be met. Does no I/O and reads no clock.
#ifndef POLLENLOFT_ADMISSION_HPP
#define POLLENLOFT_ADMISSION_HPP

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

using request_id = std::uint64_t;

/// A request that waits for endpoints. `cost` is in tokens.
struct queued_request {
  request_id id = 0;
  std::string account;
  double weight = 1;          ///< of the account
  std::int32_t priority = 1;  ///< 0 goes first
  double cost = 1;
  instant deadline{};  ///< bounds the wait, see `max_wait_fraction`
};

/// The request was queued; `evicted` names a request dropped in favour of it.
struct admitted {
  std::optional<request_id> evicted;
};
/// The request is refused; the caller may retry after `retry_after`.
struct refused {
  std::string reason;
  milliseconds retry_after{0};
};
using admission_result = std::variant<admitted, refused>;

struct admission_options {
  std::size_t max_queued = 2000;  ///< over all accounts and priorities
  /// Accounts with at most this many queued requests lose none to eviction.
  std::size_t min_account_queue = 8;
  /// Largest share of the time to the deadline that the wait may take.
  double max_wait_fraction = 0.9;
};

/// Throughput and backlog of an account over all VMs.
struct account_load {
  std::string account;
  double weight = 1;
  double tokens_per_s = 0;
  double queued_tokens = 0;
};

/// The accounts above their weighted fair share of the total throughput.
auto accounts_over_share(const std::vector<account_load>& loads)
    -> std::vector<account_load>;
/// Whether an account with queued requests is below its weighted fair share.
auto any_account_below_share(const std::vector<account_load>& loads) -> bool;
/// Weighted fair share of an account in the total throughput, in tokens/s.
auto fair_share_of(const std::vector<account_load>& loads, double weight)
    -> double;

/// Rates of an account on one VM, in tokens/s.
struct account_rates {
  double limit = 0;  ///< 0 if it is not limited
  double used = 0;
  double fair_share = 0;
};
/// The limit while accounts below their share wait; never below the share.
auto lowered_rate_limit(const account_rates& rates) -> double;
/// The limit while none waits, 0 once the account stays far below it.
auto raised_rate_limit(const account_rates& rates) -> double;

/// The queue of one service:
///
///     queue.offer(request, now);
///     while (slot_free()) if (auto id = queue.next()) dispatch(*id);
class fair_queue {
 public:
  explicit fair_queue(admission_options options, std::uint64_t seed)
      : options_(options), random_(seed) {}

  /// Queues the request, or refuses it if its deadline cannot be met or the
  /// queue is full.
  auto offer(const queued_request& request, instant now) -> admission_result;
  /// Puts a request that was dispatched before back at the front of its
  /// account's queue.
  auto requeue(const queued_request& request) -> void;
  /// The request to dispatch next, without removing it. Accounts in `skip` are
  /// passed over.
  auto peek(const std::set<std::string>& skip = {}) const
      -> std::optional<request_id>;
  /// Removes a request; `dispatched` charges its cost to the account.
  auto remove(request_id id, bool dispatched) -> void;
  /// Updates the drain rate with a completed request of this cost, in tokens.
  auto record_completion(double cost, instant now) -> void;
  /// Predicted wait of a new request of this account and priority.
  auto expected_wait(const std::string& account, std::int32_t priority,
                     double weight) const -> duration;
  /// Time after which a refused caller may retry, with random jitter.
  auto retry_after(duration wait) -> milliseconds;
  /// Limits an account to `rate` tokens/s on this VM; 0 removes the limit.
  auto set_rate_limit(const std::string& account, double rate, instant now)
      -> void;
  /// The account's limit in tokens/s, or 0.
  auto rate_limit_of(const std::string& account) const -> double;
  /// Total cost of each account's queued requests, in tokens.
  auto queued_cost_by_account() const -> std::map<std::string, double>;
  /// Refills the token buckets of rate-limited accounts.
  auto refill_rate_limits(instant now) -> void;
  auto size() const -> std::size_t { return requests_.size(); }
  /// Completed cost in tokens/s, smoothed.
  auto drain_rate() const -> double { return drain_rate_; }

 private:
  struct account_queue {
    std::deque<request_id> waiting;
    double weight = 1;
    double finish_tag = 0;  // virtual finish time of the latest dispatch
    double queued_cost = 0;
  };
  struct priority_level {
    std::map<std::string, account_queue> accounts;
    double virtual_time = 0;
    double queued_cost = 0;
  };
  struct rate_limit {
    double rate = 0;
    double tokens = 0;
    instant refilled_at{};
  };

  auto start_tag(const priority_level& level, const account_queue& queue) const
      -> double;
  auto longest_queue() -> std::pair<priority_level*, std::string>;
  auto insert(const queued_request& request, bool front) -> void;
  auto throttled(const std::string& account) const -> bool;

  admission_options options_;
  random_source random_;
  std::map<std::int32_t, priority_level> levels_;
  std::unordered_map<request_id, queued_request> requests_;
  std::unordered_map<std::string, rate_limit> limits_;
  double drain_rate_ = 0;  // tokens/s
  double drain_window_cost_ = 0;
  instant drain_window_start_{};
};

/// A VM's queues, one for each service, created on first use.
class service_queues {
 public:
  using queue_map = std::map<std::string, fair_queue>;

  service_queues(std::size_t max_queued, std::uint64_t seed)
      : max_queued_(max_queued), seed_(seed) {}

  auto queue_for(const std::string& service) -> fair_queue&;
  auto begin() -> queue_map::iterator { return queues_.begin(); }
  auto end() -> queue_map::iterator { return queues_.end(); }

 private:
  std::size_t max_queued_;
  std::uint64_t seed_;
  queue_map queues_;
};

}  // namespace pollenloft

#endif
