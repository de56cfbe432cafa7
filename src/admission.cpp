#include "pollenloft/admission.hpp"

#include <algorithm>
#include <cmath>

namespace pollenloft {

namespace {

constexpr auto drain_rate_window = milliseconds(250);
constexpr double drain_rate_weight = 0.3;  // of the newest window
constexpr auto min_retry_after = milliseconds(50);
constexpr auto max_retry_after = std::chrono::seconds(30);
constexpr double rate_limit_burst_s = 0.5;
// Factors by which rate limits are adjusted.
constexpr double rate_limit_decrease = 0.9;
constexpr double rate_limit_increase = 1.05;
constexpr double min_rate_limit = 50;    // tokens per second
constexpr double share_tolerance = 1.1;  // measured throughput fluctuates

/// Fair share of one unit of weight, in tokens/s.
auto fair_share_of_unit_weight(const std::vector<account_load>& loads)
    -> double {
  double total_tokens_per_s = 0;
  double total_weight = 0;
  for (const auto& load : loads) {
    total_tokens_per_s += load.tokens_per_s;
    total_weight += load.weight;
  }
  return total_weight <= 0 ? 0 : total_tokens_per_s / total_weight;
}

}  // namespace

auto accounts_over_share(const std::vector<account_load>& loads)
    -> std::vector<account_load> {
  const auto share = fair_share_of_unit_weight(loads);
  std::vector<account_load> over;
  for (const auto& load : loads)
    if (load.tokens_per_s > share_tolerance * share * load.weight)
      over.push_back(load);
  return over;
}

auto any_account_below_share(const std::vector<account_load>& loads) -> bool {
  const auto share = fair_share_of_unit_weight(loads);
  return std::any_of(loads.begin(), loads.end(), [&](const auto& load) {
    return load.queued_tokens > 0 && load.tokens_per_s < share * load.weight;
  });
}

auto fair_share_of(const std::vector<account_load>& loads, double weight)
    -> double {
  return fair_share_of_unit_weight(loads) * weight;
}

auto lowered_rate_limit(const account_rates& rates) -> double {
  const auto rate =
      rates.limit > 0 ? std::min(rates.limit, rates.used) : rates.used;
  return std::max(
      {rate * rate_limit_decrease, rates.fair_share, min_rate_limit});
}

auto raised_rate_limit(const account_rates& rates) -> double {
  if (rates.limit <= 0) return 0;
  const auto limit =
      std::max(rates.limit * rate_limit_increase, rates.fair_share);
  return limit > 4 * rates.used + min_rate_limit ? 0 : limit;
}

auto fair_queue::rate_limit_of(const std::string& account) const -> double {
  const auto found = limits_.find(account);
  return found == limits_.end() ? 0 : found->second.rate;
}

auto fair_queue::queued_cost_by_account() const
    -> std::map<std::string, double> {
  std::map<std::string, double> costs;
  for (const auto& [priority, level] : levels_)
    for (const auto& [account, queue] : level.accounts)
      if (!queue.waiting.empty()) costs[account] += queue.queued_cost;
  return costs;
}

auto fair_queue::start_tag(const priority_level& level,
                           const account_queue& queue) const -> double {
  return std::max(level.virtual_time, queue.finish_tag);
}

auto fair_queue::throttled(const std::string& account) const -> bool {
  const auto found = limits_.find(account);
  return found != limits_.end() && found->second.tokens <= 0;
}

auto fair_queue::insert(const queued_request& request, bool front) -> void {
  auto& level = levels_[request.priority];
  auto& queue = level.accounts[request.account];
  queue.weight = request.weight;
  if (front)
    queue.waiting.push_front(request.id);
  else
    queue.waiting.push_back(request.id);
  queue.queued_cost += request.cost;
  level.queued_cost += request.cost;
  requests_[request.id] = request;
}

auto fair_queue::longest_queue() -> std::pair<priority_level*, std::string> {
  std::pair<priority_level*, std::string> longest{nullptr, {}};
  double max_weighted_cost = 0;
  for (auto& [priority, level] : levels_)
    for (auto& [account, queue] : level.accounts) {
      const auto weighted_cost = queue.queued_cost / queue.weight;
      if (queue.waiting.size() <= options_.min_account_queue) continue;
      if (weighted_cost <= max_weighted_cost) continue;
      max_weighted_cost = weighted_cost;
      longest = {&level, account};
    }
  return longest;
}

auto fair_queue::expected_wait(const std::string& account,
                               std::int32_t priority, double weight) const
    -> duration {
  if (drain_rate_ <= 0) return {};
  double ahead = 0;
  for (const auto& [other_priority, level] : levels_) {
    if (other_priority < priority) ahead += level.queued_cost;
    if (other_priority != priority) continue;
    const auto own = level.accounts.find(account);
    const auto own_cost =
        own == level.accounts.end() ? 0 : own->second.queued_cost;
    // While this account's backlog drains, fair queueing serves the other
    // accounts only in proportion to their weights.
    const auto own_virtual_time = own_cost / weight;
    ahead += own_cost;
    for (const auto& [name, queue] : level.accounts)
      if (name != account)
        ahead += std::min(queue.queued_cost,
                          std::max(own_virtual_time * queue.weight, 0.0));
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(ahead / drain_rate_));
}

auto fair_queue::retry_after(duration wait) -> milliseconds {
  // Random between one and two times the wait, so that refused callers do not
  // all retry at the same time.
  const auto base =
      std::clamp<duration>(wait, min_retry_after, max_retry_after);
  const auto jittered =
      std::chrono::duration<double>(base) * (1 + random_.unit());
  return std::chrono::duration_cast<milliseconds>(jittered);
}

auto fair_queue::offer(const queued_request& request, instant now)
    -> admission_result {
  const auto wait =
      expected_wait(request.account, request.priority, request.weight);
  const auto max_wait =
      seconds(request.deadline - now) * options_.max_wait_fraction;
  if (seconds(wait) > max_wait)
    return refused{"the deadline cannot be met", retry_after(wait)};
  admitted result;
  if (requests_.size() >= options_.max_queued) {
    auto [level, account] = longest_queue();
    if (level == nullptr || account == request.account)
      return refused{"the queue is full", retry_after(wait)};
    result.evicted = level->accounts[account].waiting.back();
    remove(*result.evicted, false);
  }
  insert(request, false);
  return result;
}

auto fair_queue::requeue(const queued_request& request) -> void {
  insert(request, true);
}

auto fair_queue::peek(const std::set<std::string>& skip) const
    -> std::optional<request_id> {
  for (const auto& [priority, level] : levels_) {
    const account_queue* best = nullptr;
    for (const auto& [account, queue] : level.accounts) {
      if (queue.waiting.empty() || throttled(account)) continue;
      if (skip.count(account) != 0) continue;
      if (best == nullptr || start_tag(level, queue) < start_tag(level, *best))
        best = &queue;
    }
    if (best != nullptr) return best->waiting.front();
  }
  return std::nullopt;
}

auto fair_queue::remove(request_id id, bool dispatched) -> void {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const auto& request = found->second;
  auto& level = levels_[request.priority];
  auto& queue = level.accounts[request.account];
  queue.waiting.erase(
      std::find(queue.waiting.begin(), queue.waiting.end(), id));
  queue.queued_cost = std::max(0.0, queue.queued_cost - request.cost);
  level.queued_cost = std::max(0.0, level.queued_cost - request.cost);
  if (dispatched) {
    level.virtual_time = start_tag(level, queue);
    queue.finish_tag = level.virtual_time + request.cost / request.weight;
    const auto limit = limits_.find(request.account);
    if (limit != limits_.end()) limit->second.tokens -= request.cost;
  }
  // An account without queued requests needs no state once virtual time has
  // reached its finish tag.
  if (queue.waiting.empty() && queue.finish_tag <= level.virtual_time)
    level.accounts.erase(request.account);
  requests_.erase(found);
}

auto fair_queue::record_completion(double cost, instant now) -> void {
  if (drain_window_start_ == instant{}) drain_window_start_ = now;
  drain_window_cost_ += cost;
  const auto elapsed = now - drain_window_start_;
  if (elapsed < drain_rate_window) return;
  const auto rate = drain_window_cost_ / seconds(elapsed);
  drain_rate_ = drain_rate_ == 0
                    ? rate
                    : drain_rate_ + drain_rate_weight * (rate - drain_rate_);
  drain_window_cost_ = 0;
  drain_window_start_ = now;
}

auto fair_queue::set_rate_limit(const std::string& account, double rate,
                                instant now) -> void {
  if (rate <= 0) {
    limits_.erase(account);
    return;
  }
  auto [found, is_new] = limits_.try_emplace(account);
  found->second.rate = rate;
  if (is_new) found->second.refilled_at = now;
}

auto fair_queue::refill_rate_limits(instant now) -> void {
  for (auto& [account, limit] : limits_) {
    const auto refill = limit.rate * seconds(now - limit.refilled_at);
    limit.tokens =
        std::min(limit.rate * rate_limit_burst_s, limit.tokens + refill);
    limit.refilled_at = now;
  }
}

auto service_queues::queue_for(const std::string& service) -> fair_queue& {
  const auto found = queues_.find(service);
  if (found != queues_.end()) return found->second;
  admission_options options;
  options.max_queued = max_queued_;
  return queues_.emplace(service, fair_queue(options, hash64(service, seed_)))
      .first->second;
}

}  // namespace pollenloft
