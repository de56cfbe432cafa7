// Metrics of an entry VM and its client accounts' use.
#include <algorithm>
#include <cmath>

#include "entry_server.hpp"

namespace pollenloft {

namespace {

// Usage reported to the leader: the heaviest accounts of this VM, with rates
// that are exponential moving averages over windows of `usage_window_s`.
constexpr std::size_t max_reported_accounts = 8;
constexpr double usage_window_s = 0.2;
constexpr double usage_smoothing = 0.4;  // weight of the newest window
// Period of adjusting the rate limits of accounts above their fair share.
constexpr auto rate_limit_period = milliseconds(100);

}  // namespace

auto entry_server::show_metrics(const exchange_ptr& call) -> void {
  metrics_.set("pollenloft_requests_open",
               static_cast<double>(requests_.size()));
  const auto responses = loop_.unfinished();
  metrics_.set("pollenloft_unsent_responses",
               static_cast<double>(responses.unsent));
  metrics_.set("pollenloft_unsent_response_bytes",
               static_cast<double>(responses.unsent_bytes));
  metrics_.set("pollenloft_config_version",
               static_cast<double>(control_.config().version));
  metrics_.set("pollenloft_document_number",
               static_cast<double>(control_.document().number));
  const auto& renewals = control_.renewals();
  const auto set_renewals = [this](const std::string& name,
                                   const std::string& result,
                                   std::uint64_t count) {
    metrics_.set(name, static_cast<double>(count), "result=\"" + result + "\"");
  };
  set_renewals("pollenloft_renewals_total", "completed", renewals.completed);
  set_renewals("pollenloft_renewals_total", "interrupted",
               renewals.interrupted);
  set_renewals("pollenloft_renewals_total", "refused", renewals.refused);
  set_renewals("pollenloft_renewal_bytes_total", "completed",
               renewals.received_bytes);
  set_renewals("pollenloft_renewal_bytes_total", "interrupted",
               renewals.interrupted_bytes);
  const auto& limiter = control_.limiter();
  for (const auto& [id, limit] : limiter.limits().statements()) {
    const auto label = "endpoint=\"" + id + "\"";
    metrics_.set("pollenloft_request_limit_per_second",
                 limit.per_second.value_or(NAN), label);
    metrics_.set("pollenloft_request_permits",
                 static_cast<double>(limiter.permits(id)), label);
  }
  metrics_.set("pollenloft_request_permits_used_total",
               static_cast<double>(limiter.used()));
  show_notices();
  metrics_.set("pollenloft_crash_suspects",
               static_cast<double>(crashes_.guard().size()));
  metrics_.set("pollenloft_ready", ready() ? 1 : 0);
  metrics_.set("pollenloft_endpoints_known",
               static_cast<double>(router_.size()));
  for (const auto& [service, queue] : queues_)
    metrics_.set("pollenloft_queue_length", static_cast<double>(queue.size()),
                 "service=\"" + service + "\"");
  call->reply(200, {}, metrics_.text());
}

auto entry_server::show_notices() -> void {
  const auto& entries = control_.notices().endpoints().entries();
  const auto count = [&](auto predicate) {
    return static_cast<double>(
        std::count_if(entries.begin(), entries.end(), predicate));
  };
  metrics_.set("pollenloft_endpoints_leaving",
               count([](const auto& item) { return item.second.leaving; }));
  metrics_.set("pollenloft_endpoints_paused", count([](const auto& item) {
                 return item.second.paused.has_value();
               }));
  metrics_.set("pollenloft_pauses_total",
               static_cast<double>(control_.notices().pauses()));
}

/// Usage of the heaviest accounts on this VM: the moving average of tokens per
/// second and the cost of the queued requests.
auto entry_server::recent_usage() -> std::vector<wire::account_usage> {
  const auto now = boottime_clock::now();
  const auto elapsed =
      std::chrono::duration<double>(now - usage_window_start_).count();
  if (elapsed > usage_window_s) {
    for (auto& [account, rate] : usage_rate_)
      rate *= 1 - usage_smoothing;
    for (const auto& [account, tokens] : tokens_used_)
      usage_rate_[account] += usage_smoothing * tokens / elapsed;
    tokens_used_.clear();
    usage_window_start_ = now;
  }
  std::map<std::string, wire::account_usage> usage_by_account;
  for (const auto& [account, rate] : usage_rate_)
    usage_by_account[account].cost = rate;
  for (const auto& [service, queue] : queues_)
    for (const auto& [account, cost] : queue.queued_cost_by_account())
      usage_by_account[account].waiting += cost;
  std::vector<wire::account_usage> heaviest;
  for (auto& [account, usage] : usage_by_account) {
    usage.account = account;
    heaviest.push_back(std::move(usage));
  }
  std::sort(heaviest.begin(), heaviest.end(), [](const auto& a, const auto& b) {
    return a.cost + a.waiting > b.cost + b.waiting;
  });
  if (heaviest.size() > max_reported_accounts)
    heaviest.resize(max_reported_accounts);
  return heaviest;
}

/// Lowers the rate limits of accounts above their fair share on this VM while
/// an account below its share has requests queued on any VM. All other limits
/// are raised step by step and lifted once the account stays far below them.
auto entry_server::limit_heavy_accounts(instant now) -> void {
  if (now - rate_limits_updated_ < rate_limit_period) return;
  rate_limits_updated_ = now;
  std::vector<account_load> loads;
  for (const auto& [name, usage] : control_.cluster_usage()) {
    const auto* account = control_.config().accounts.find(name);
    if (account == nullptr) continue;
    loads.push_back({name, (*account)->weight, usage.cost, usage.waiting});
  }
  auto above_share = accounts_over_share(loads);
  accounts_above_share_.clear();
  for (const auto& load : above_share)
    accounts_above_share_.insert(load.account);
  if (!any_account_below_share(loads)) above_share.clear();
  const auto vms =
      static_cast<double>(std::max<std::size_t>(1, control_.vm_count()));
  for (auto& [service, queue] : queues_) {
    const auto rates_of = [&, &limits = queue](const account_load& load) {
      return account_rates{limits.rate_limit_of(load.account),
                           usage_rate_[load.account],
                           fair_share_of(loads, load.weight) / vms};
    };
    std::set<std::string> limited;
    for (const auto& load : above_share) {
      limited.insert(load.account);
      queue.set_rate_limit(load.account, lowered_rate_limit(rates_of(load)),
                           now);
    }
    for (const auto& load : loads)
      if (limited.count(load.account) == 0)
        queue.set_rate_limit(load.account, raised_rate_limit(rates_of(load)),
                             now);
  }
}

}  // namespace pollenloft
