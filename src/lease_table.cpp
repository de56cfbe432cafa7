#include <algorithm>

#include "pollenloft/control.hpp"

namespace pollenloft {

auto lease_table::start_term(instant now) -> void {
  holders_.clear();
  prior_leases_until_ = now + lease_;
}

auto lease_table::renew(const wire::renew_request& request, instant now)
    -> void {
  auto& holder = holders_[request.vm];
  holder.incarnation = request.incarnation;
  holder.zone = request.zone;
  holder.address = request.address;
  holder.expires = now + lease_;
  holder.in_force = static_cast<std::uint64_t>(request.in_force);
  holder.draining = request.draining;
  holder.cut_off = request.cut_off;
  holder.relay_address = request.relay_address;
  holder.relay_key = request.relay_key;
  holder.paused = request.paused;
  holder.renewed = now;
  holder.usage.clear();
  for (const auto& usage : request.usage)
    holder.usage[usage.account] = usage;
}

auto lease_table::pauses(instant now) const
    -> std::map<std::string, pause_summary> {
  std::map<std::string, pause_summary> result;
  for (const auto& [vm, holder] : holders_) {
    if (now >= holder.expires) continue;
    for (const auto& paused : holder.paused) {
      const auto until = holder.renewed + milliseconds(paused.left_ms);
      if (until <= now) continue;
      auto& summary = result[paused.endpoint];
      ++summary.vms;
      summary.until = std::max(summary.until, until);
    }
  }
  return result;
}

auto lease_table::set_cut_off(const std::string& vm, bool cut_off) -> void {
  const auto found = holders_.find(vm);
  if (found != holders_.end()) found->second.cut_off = cut_off;
}

auto lease_table::relay_peers(const std::string& vm, instant now) const
    -> std::vector<wire::peer_record> {
  std::vector<wire::peer_record> peers;
  for (const auto& [name, holder] : holders_) {
    const auto available = name != vm && now < holder.expires &&
                           !holder.draining && !holder.cut_off &&
                           !holder.relay_address.empty();
    if (!available) continue;
    wire::peer_record peer;
    peer.vm = name;
    peer.zone = holder.zone;
    peer.address = holder.relay_address;
    peer.key = holder.relay_key;
    peers.push_back(std::move(peer));
  }
  return peers;
}

auto lease_table::in_force_everywhere(std::uint64_t version, instant now) const
    -> bool {
  if (!prior_leases_expired(now)) return false;
  return std::all_of(
      holders_.begin(), holders_.end(), [&](const auto& named_holder) {
        const auto& holder = named_holder.second;
        return holder.in_force >= version || now >= holder.expires;
      });
}

auto lease_table::take_expired(instant now) -> std::vector<std::string> {
  std::vector<std::string> expired;
  for (auto it = holders_.begin(); it != holders_.end();) {
    if (now < it->second.expires) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    it = holders_.erase(it);
  }
  return expired;
}

auto lease_table::live_count(instant now) const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      holders_.begin(), holders_.end(), [&](const auto& named_holder) {
        return now < named_holder.second.expires;
      }));
}

auto lease_table::is_live(const std::string& incarnation, instant now) const
    -> bool {
  return std::any_of(holders_.begin(), holders_.end(),
                     [&](const auto& named_holder) {
                       return named_holder.second.incarnation == incarnation &&
                              now < named_holder.second.expires;
                     });
}

auto lease_table::heaviest_accounts(std::size_t max_count, instant now) const
    -> std::vector<wire::account_usage> {
  std::map<std::string, wire::account_usage> usage_by_account;
  for (const auto& [vm, holder] : holders_) {
    if (now >= holder.expires) continue;
    for (const auto& [account, usage] : holder.usage) {
      auto& total = usage_by_account[account];
      total.account = account;
      total.cost += usage.cost;
      total.waiting += usage.waiting;
    }
  }
  std::vector<wire::account_usage> result;
  for (auto& [account, total] : usage_by_account)
    result.push_back(std::move(total));
  std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
    return a.cost + a.waiting > b.cost + b.waiting;
  });
  if (result.size() > max_count) result.resize(max_count);
  return result;
}

}  // namespace pollenloft
