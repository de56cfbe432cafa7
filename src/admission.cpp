#include "pollenloft/admission.hpp"

#include <algorithm>
#include <cmath>

namespace pollenloft {

namespace {

constexpr auto rate_window = milliseconds(250);
constexpr double rate_gain = 0.3;  // weight of the newest window
constexpr auto least_retry = milliseconds(50);
constexpr auto most_retry = std::chrono::seconds(30);
constexpr double limit_burst_seconds = 0.5;
constexpr double share_slack = 1.1;  // measured use wavers

auto seconds(duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

namespace {

/// Tokens a second that one unit of weight may have.
auto share_of_weight(const std::vector<account_load>& loads) -> double {
  double capacity = 0;
  double weights = 0;
  for (const auto& load : loads) {
    capacity += load.tokens_per_s;
    weights += load.weight;
  }
  return weights <= 0 ? 0 : capacity / weights;
}

}  // namespace

auto accounts_over_share(const std::vector<account_load>& loads)
    -> std::vector<account_load> {
  const auto share = share_of_weight(loads);
  std::vector<account_load> over;
  for (const auto& load : loads)
    if (load.tokens_per_s > share_slack * share * load.weight)
      over.push_back(load);
  return over;
}

auto any_account_below_share(const std::vector<account_load>& loads) -> bool {
  const auto share = share_of_weight(loads);
  return std::any_of(loads.begin(), loads.end(), [&](const auto& load) {
    return load.queued_tokens > 0 && load.tokens_per_s < share * load.weight;
  });
}

auto fair_queue::rate_limit_of(const std::string& account) const -> double {
  const auto found = limits_.find(account);
  return found == limits_.end() ? 0 : found->second.rate;
}

auto fair_queue::queued_cost_by_account() const
    -> std::map<std::string, double> {
  std::map<std::string, double> costs;
  for (const auto& [priority, at] : levels_)
    for (const auto& [account, queue] : at.accounts)
      if (!queue.waiting.empty()) costs[account] += queue.queued_cost;
  return costs;
}

auto fair_queue::start_tag(const level& at, const account_queue& queue) const
    -> double {
  return std::max(at.virtual_time, queue.finish);
}

auto fair_queue::throttled(const std::string& account) const -> bool {
  const auto found = limits_.find(account);
  return found != limits_.end() && found->second.tokens <= 0;
}

auto fair_queue::insert(const queued_request& request, bool front) -> void {
  auto& at = levels_[request.priority];
  auto& queue = at.accounts[request.account];
  queue.weight = request.weight;
  if (front)
    queue.waiting.push_front(request.id);
  else
    queue.waiting.push_back(request.id);
  queue.queued_cost += request.cost;
  at.queued_cost += request.cost;
  requests_[request.id] = request;
}

auto fair_queue::longest_queue() -> std::pair<level*, std::string> {
  std::pair<level*, std::string> longest{nullptr, {}};
  double most = 0;
  for (auto& [priority, at] : levels_)
    for (auto& [account, queue] : at.accounts) {
      const auto share = queue.queued_cost / queue.weight;
      if (queue.waiting.size() <= options_.min_account_queue) continue;
      if (share <= most) continue;
      most = share;
      longest = {&at, account};
    }
  return longest;
}

auto fair_queue::expected_wait(const std::string& account,
                               std::int32_t priority, double weight) const
    -> duration {
  if (drain_rate_ <= 0) return {};
  double ahead = 0;
  for (const auto& [other, at] : levels_) {
    if (other < priority) ahead += at.queued_cost;
    if (other != priority) continue;
    const auto own = at.accounts.find(account);
    const auto own_cost =
        own == at.accounts.end() ? 0 : own->second.queued_cost;
    // Fair queueing serves the others only in proportion while this account's
    // own backlog is worked off.
    const auto turns = own_cost / weight;
    ahead += own_cost;
    for (const auto& [name, queue] : at.accounts)
      if (name != account)
        ahead +=
            std::min(queue.queued_cost, std::max(turns * queue.weight, 0.0));
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(ahead / drain_rate_));
}

auto fair_queue::retry_after(duration wait) -> milliseconds {
  // Spread over one to two waits, so that refused callers do not return
  // together.
  const auto base = std::clamp<duration>(wait, least_retry, most_retry);
  const auto spread =
      std::chrono::duration<double>(base) * (1 + random_.unit());
  return std::chrono::duration_cast<milliseconds>(spread);
}

auto fair_queue::offer(const queued_request& request, instant now)
    -> admission_result {
  const auto wait =
      expected_wait(request.account, request.priority, request.weight);
  const auto left =
      seconds(request.deadline - now) * options_.max_wait_fraction;
  if (seconds(wait) > left)
    return refused{"the deadline cannot be met", retry_after(wait)};
  admitted answer;
  if (requests_.size() >= options_.max_queued) {
    auto [at, account] = longest_queue();
    if (at == nullptr || account == request.account)
      return refused{"the queue is full", retry_after(wait)};
    answer.evicted = at->accounts[account].waiting.back();
    remove(*answer.evicted, false);
  }
  insert(request, false);
  return answer;
}

auto fair_queue::requeue(const queued_request& request) -> void {
  insert(request, true);
}

auto fair_queue::peek(const std::set<std::string>& skip) const
    -> std::optional<request_id> {
  for (const auto& [priority, at] : levels_) {
    const account_queue* best = nullptr;
    for (const auto& [account, queue] : at.accounts) {
      if (queue.waiting.empty() || throttled(account)) continue;
      if (skip.count(account) != 0) continue;
      if (best == nullptr || start_tag(at, queue) < start_tag(at, *best))
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
  auto& at = levels_[request.priority];
  auto& queue = at.accounts[request.account];
  queue.waiting.erase(
      std::find(queue.waiting.begin(), queue.waiting.end(), id));
  queue.queued_cost = std::max(0.0, queue.queued_cost - request.cost);
  at.queued_cost = std::max(0.0, at.queued_cost - request.cost);
  if (dispatched) {
    at.virtual_time = start_tag(at, queue);
    queue.finish = at.virtual_time + request.cost / request.weight;
    const auto limit = limits_.find(request.account);
    if (limit != limits_.end()) limit->second.tokens -= request.cost;
  }
  // An idle account whose last dispatch lies in the past needs no record.
  if (queue.waiting.empty() && queue.finish <= at.virtual_time)
    at.accounts.erase(request.account);
  requests_.erase(found);
}

auto fair_queue::record_completion(double cost, instant now) -> void {
  if (window_start_ == instant{}) window_start_ = now;
  window_cost_ += cost;
  const auto elapsed = now - window_start_;
  if (elapsed < rate_window) return;
  const auto rate = window_cost_ / seconds(elapsed);
  drain_rate_ =
      drain_rate_ == 0 ? rate : drain_rate_ + rate_gain * (rate - drain_rate_);
  window_cost_ = 0;
  window_start_ = now;
}

auto fair_queue::set_rate_limit(const std::string& account, double rate,
                                instant now) -> void {
  if (rate <= 0) {
    limits_.erase(account);
    return;
  }
  auto [found, is_new] = limits_.try_emplace(account);
  found->second.rate = rate;
  if (is_new) found->second.at = now;
}

auto fair_queue::refill_rate_limits(instant now) -> void {
  for (auto& [account, limit] : limits_) {
    const auto earned = limit.rate * seconds(now - limit.at);
    limit.tokens =
        std::min(limit.rate * limit_burst_seconds, limit.tokens + earned);
    limit.at = now;
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
