/// \file admission.hpp
/// Which request goes next, and which is refused at once: weighted fair
/// queueing by cost over client accounts inside each priority, bounded queues
/// and refusal of work whose deadline cannot be met. Pure.
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

/// A request waiting for endpoints. Cost is in tokens.
struct queued_request {
  request_id id = 0;
  std::string account;
  double weight = 1;
  std::int32_t priority = 1;
  double cost = 1;
  instant deadline{};
};

/// The request was queued; `evicted` names one that was given up for it.
struct admitted {
  std::optional<request_id> evicted;
};
/// The request is refused now; the caller may come back after `retry_after`.
struct refused {
  std::string reason;
  milliseconds retry_after{0};
};
using admission_result = std::variant<admitted, refused>;

struct admission_options {
  std::size_t max_queued = 2000;
  std::size_t min_account_queue = 8;  ///< never evicted below this
  double max_wait_fraction =
      0.9;  ///< of the time to the deadline a wait may take
};

/// What an account gets over all VMs, in tokens a second, and has waiting.
struct account_load {
  std::string account;
  double weight = 1;
  double tokens_per_s = 0;
  double queued_tokens = 0;
};

/// The accounts above their weighted share of what all get together.
auto accounts_over_share(const std::vector<account_load>& loads)
    -> std::vector<account_load>;
/// Whether an account waits below its weighted share.
auto any_account_below_share(const std::vector<account_load>& loads) -> bool;

/// One queue of a service:
///
///     queue.offer(request, now);
///     while (slot_free()) if (auto id = queue.next()) dispatch(*id);
class fair_queue {
 public:
  explicit fair_queue(admission_options options, std::uint64_t seed)
      : options_(options), random_(seed) {}

  auto offer(const queued_request& request, instant now) -> admission_result;
  /// Puts a request that was dispatched before back in front of its account.
  auto requeue(const queued_request& request) -> void;
  /// The request to dispatch next, left in the queue; none of the accounts in
  /// `skip`.
  auto peek(const std::set<std::string>& skip = {}) const
      -> std::optional<request_id>;
  /// Takes a request out; `dispatched` charges its account.
  auto remove(request_id id, bool dispatched) -> void;
  /// Work of this cost has finished: the queue learns its drain rate.
  auto record_completion(double cost, instant now) -> void;
  /// How long a new request of this account and priority would wait.
  auto expected_wait(const std::string& account, std::int32_t priority,
                     double weight) const -> duration;
  auto retry_after(duration wait) -> milliseconds;
  /// Limits an account to `rate` tokens a second on this VM; 0 lifts it.
  auto set_rate_limit(const std::string& account, double rate, instant now)
      -> void;
  /// The account's limit, or 0.
  auto rate_limit_of(const std::string& account) const -> double;
  /// Cost that each account has waiting.
  auto queued_cost_by_account() const -> std::map<std::string, double>;
  /// Lets rate-limited accounts earn.
  auto refill_rate_limits(instant now) -> void;
  auto size() const -> std::size_t { return requests_.size(); }
  auto drain_rate() const -> double { return drain_rate_; }

 private:
  struct account_queue {
    std::deque<request_id> waiting;
    double weight = 1;
    double finish = 0;  // virtual time at which the last dispatch ends
    double queued_cost = 0;
  };
  struct level {
    std::map<std::string, account_queue> accounts;
    double virtual_time = 0;
    double queued_cost = 0;
  };
  struct rate_limit {
    double rate = 0;
    double tokens = 0;
    instant at{};
  };

  auto start_tag(const level& at, const account_queue& queue) const -> double;
  auto longest_queue() -> std::pair<level*, std::string>;
  auto insert(const queued_request& request, bool front) -> void;
  auto throttled(const std::string& account) const -> bool;

  admission_options options_;
  random_source random_;
  std::map<std::int32_t, level> levels_;
  std::unordered_map<request_id, queued_request> requests_;
  std::unordered_map<std::string, rate_limit> limits_;
  double drain_rate_ = 0;  // tokens a second
  double window_cost_ = 0;
  instant window_start_{};
};

/// A VM's queues, one for each service, made when first used.
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
