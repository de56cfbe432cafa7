#include "pollenloft/control.hpp"

#include <algorithm>

#include "pollenloft/delta.hpp"

namespace pollenloft {

namespace {

constexpr std::size_t max_gone_records = 4096;

auto claim_map_key(const std::string& account, const std::string& key)
    -> std::string {
  return std::to_string(account.size()) + ":" + account + key;
}

auto version_of(const configuration& config) -> std::int64_t {
  return static_cast<std::int64_t>(config.version);
}

auto to_patch_reply(const wire::patch_result& result) -> patch_reply {
  if (!result.refusal.empty()) return patch_refused{result.refusal};
  return patch_accepted{static_cast<std::uint64_t>(result.version)};
}

auto take_text(wire::document_command& document) -> std::optional<std::string> {
  if (document.packed.empty()) return std::move(document.text);
  return decode_delta(document.packed, "", max_document_bytes);
}

}  // namespace

auto control_state::apply(std::string_view bytes) -> command_reply {
  auto command = decode_wire<wire::command>(bytes);
  if (!command) return {};
  if (command->__isset.patch) return apply_patch_command(command->patch);
  if (command->__isset.claim) return apply_claim(std::move(command->claim));
  if (command->__isset.settle) apply_settle(command->settle);
  if (command->__isset.abandon) apply_abandon(command->abandon);
  if (command->__isset.blame) apply_crash_report(command->blame);
  if (command->__isset.document) apply_document(std::move(command->document));
  return {};
}

auto control_state::recorded_patch_reply(const std::string& patch_id) const
    -> std::optional<patch_reply> {
  const auto found = patch_results_.find(patch_id);
  if (found == patch_results_.end()) return std::nullopt;
  return to_patch_reply(found->second);
}

auto control_state::apply_patch_command(const wire::patch_command& patch)
    -> patch_reply {
  if (auto earlier = recorded_patch_reply(patch.id)) return *earlier;
  auto reply = [&]() -> patch_reply {
    if (patch.base != version_of(config_))
      return patch_refused{
          "base " + std::to_string(patch.base) + " was beaten by version " +
          std::to_string(config_.version) +
          (recent_patches_.empty()
               ? ""
               : " (patch " + recent_patches_.back().id + ")")};
    auto outcome = apply_patch(config_, patch.body);
    if (auto* errors = std::get_if<std::vector<validation_error>>(&outcome))
      return patch_refused{describe(*errors)};
    config_ = std::get<configuration>(std::move(outcome));
    return patch_accepted{config_.version};
  }();
  record_patch(patch, reply);
  return reply;
}

auto control_state::record_patch(const wire::patch_command& patch,
                                 const patch_reply& reply) -> void {
  wire::patch_result result;
  result.id = patch.id;
  result.version = version_of(config_);
  wire::audit_record record;
  record.at_ms = patch.at_ms;
  record.who = patch.who;
  record.what = "patch " + patch.id;
  record.base = patch.base;
  record.version = version_of(config_);
  record.result = "accepted";
  if (const auto* refused = std::get_if<patch_refused>(&reply)) {
    result.refusal = refused->reason;
    record.result = "refused: " + refused->reason;
  } else {
    wire::version_record version;
    version.version = version_of(config_);
    version.id = patch.id;
    version.body = patch.body;
    recent_patches_.push_back(std::move(version));
    if (recent_patches_.size() > limits_.max_recent_patches)
      recent_patches_.pop_front();
  }
  patch_results_[patch.id] = std::move(result);
  patch_result_order_.push_back(patch.id);
  if (patch_result_order_.size() > limits_.max_patch_results) {
    patch_results_.erase(patch_result_order_.front());
    patch_result_order_.pop_front();
  }
  add_audit_record(std::move(record));
}

auto control_state::patches_after(std::uint64_t version) const
    -> std::optional<std::vector<wire::version_record>> {
  if (version == config_.version) return std::vector<wire::version_record>();
  if (version > config_.version || recent_patches_.empty() ||
      static_cast<std::uint64_t>(recent_patches_.front().version) > version + 1)
    return std::nullopt;
  const auto skip =
      version + 1 - static_cast<std::uint64_t>(recent_patches_.front().version);
  return std::vector<wire::version_record>(
      recent_patches_.begin() + static_cast<std::ptrdiff_t>(skip),
      recent_patches_.end());
}

auto control_state::find_claim(const std::string& account,
                               const std::string& key) const
    -> const wire::claim_record* {
  const auto found = claims_.find(claim_map_key(account, key));
  return found == claims_.end() ? nullptr : &found->second;
}

auto control_state::open_claim_holders() const -> std::vector<std::string> {
  std::vector<std::string> holders;
  for (const auto& [holder, ids] : open_by_holder_)
    holders.push_back(holder);
  return holders;
}

auto control_state::apply_claim(wire::claim_record claim) -> wire::claim_reply {
  expire(milliseconds(claim.at_ms));
  wire::claim_reply reply;
  const auto id = claim_map_key(claim.account, claim.key);
  const auto found = claims_.find(id);
  if (found == claims_.end()) {
    if (claims_.size() >= limits_.max_claims && !evict_oldest_settled_claim()) {
      reply.answer = static_cast<std::int8_t>(claim_answer::refused);
      return reply;
    }
    claim.state = static_cast<std::int8_t>(claim_state::open);
    open_by_holder_[claim.holder].insert(id);
    claim_order_.emplace_back(claim.at_ms, id);
    reply.answer = static_cast<std::int8_t>(claim_answer::granted);
    reply.record = claim;
    claims_[id] = std::move(claim);
    return reply;
  }
  reply.record = found->second;
  const auto open =
      found->second.state == static_cast<std::int8_t>(claim_state::open);
  auto answer = open ? claim_answer::open : claim_answer::settled;
  // The same dispatch repeats its claim if the reply was lost.
  if (open && found->second.dispatch == claim.dispatch)
    answer = claim_answer::granted;
  if (found->second.fingerprint != claim.fingerprint)
    answer = claim_answer::mismatch;
  reply.answer = static_cast<std::int8_t>(answer);
  return reply;
}

/// Open claims are not evicted, whatever their age; there are few of them.
auto control_state::evict_oldest_settled_claim() -> bool {
  for (auto it = claim_order_.begin(); it != claim_order_.end();) {
    const auto found = claims_.find(it->second);
    if (found == claims_.end() || found->second.at_ms != it->first) {
      it = claim_order_.erase(it);
      continue;
    }
    if (found->second.state != static_cast<std::int8_t>(claim_state::open)) {
      claims_.erase(found);
      claim_order_.erase(it);
      return true;
    }
    ++it;
  }
  return false;
}

auto control_state::apply_settle(const wire::settle_command& settle) -> void {
  expire(milliseconds(settle.at_ms));
  const auto id = claim_map_key(settle.account, settle.key);
  const auto found = claims_.find(id);
  if (found == claims_.end() || found->second.dispatch != settle.dispatch)
    return;
  auto& claim = found->second;
  if (claim.state == static_cast<std::int8_t>(claim_state::completed)) return;
  const auto holder = open_by_holder_.find(claim.holder);
  if (holder != open_by_holder_.end()) {
    holder->second.erase(id);
    if (holder->second.empty()) open_by_holder_.erase(holder);
  }
  // Settling as `open` means that the request provably did not run; the key
  // becomes available again.
  if (settle.state == static_cast<std::int8_t>(claim_state::open)) {
    claims_.erase(found);
    return;
  }
  claim.state = settle.state;
  claim.status = settle.status;
  if (settle.body.size() <= limits_.max_claim_body_bytes)
    claim.body = settle.body;
}

auto control_state::apply_abandon(const wire::abandon_command& abandon)
    -> void {
  const auto holder = open_by_holder_.find(abandon.holder);
  if (holder == open_by_holder_.end()) return;
  for (const auto& id : holder->second)
    claims_[id].state = static_cast<std::int8_t>(claim_state::unknown);
  open_by_holder_.erase(holder);
}

auto control_state::apply_crash_report(const wire::blame_command& report)
    -> void {
  crashes_.apply(report);
  if (report.who.empty()) return;
  wire::audit_record record;
  record.at_ms = report.at_ms;
  record.who = report.who;
  record.what =
      "crashes cleared " +
      fingerprint_text(static_cast<std::uint64_t>(report.fingerprint));
  record.base = version_of(config_);
  record.version = record.base;
  record.result = "accepted";
  add_audit_record(std::move(record));
}

auto control_state::add_audit_record(wire::audit_record record) -> void {
  audit_.push_back(std::move(record));
  if (audit_.size() > limits_.max_audit_records) audit_.pop_front();
}

/// The highest number wins, whatever the order of the commands. A frame that
/// cannot be decoded is ignored, as by every other replica.
auto control_state::apply_document(wire::document_command document) -> void {
  if (document.number <= document_.number) return;
  auto text = take_text(document);
  if (!text) return;
  wire::audit_record record;
  record.at_ms = document.at_ms;
  record.who = "operator";
  record.what = "document " + std::to_string(document.number);
  record.base = document_.number;
  record.version = document.number;
  record.result = "accepted";
  add_audit_record(std::move(record));
  document_ = {document.number, std::move(*text)};
}

/// `now` is the time recorded in an entry, so that expiry is the same on all
/// replicas.
auto control_state::expire(milliseconds now) -> void {
  while (!claim_order_.empty() &&
         milliseconds(claim_order_.front().first) + limits_.claim_retention <
             now) {
    const auto found = claims_.find(claim_order_.front().second);
    // A key that was released and claimed again has a second, later item in
    // this order.
    if (found != claims_.end() &&
        found->second.at_ms == claim_order_.front().first) {
      const auto holder = open_by_holder_.find(found->second.holder);
      if (holder != open_by_holder_.end()) {
        holder->second.erase(found->first);
        if (holder->second.empty()) open_by_holder_.erase(holder);
      }
      claims_.erase(found);
    }
    claim_order_.pop_front();
  }
  crashes_.expire(now);
}

auto control_state::save() const -> std::string {
  wire::control_snapshot snapshot;
  snapshot.version = version_of(config_);
  snapshot.configuration = config_.text();
  snapshot.tail.assign(recent_patches_.begin(), recent_patches_.end());
  for (const auto& id : patch_result_order_)
    snapshot.results.push_back(patch_results_.at(id));
  snapshot.audit.assign(audit_.begin(), audit_.end());
  std::set<std::string> saved_claims;
  for (const auto& [claimed_at_ms, id] : claim_order_) {
    const auto found = claims_.find(id);
    if (found != claims_.end() && found->second.at_ms == claimed_at_ms &&
        saved_claims.insert(id).second)
      snapshot.claims.push_back(found->second);
  }
  snapshot.blames = crashes_.records();
  snapshot.document = document_.number;
  snapshot.document_text = document_.text;
  return encode_wire(snapshot);
}

auto control_state::load(std::string_view bytes) -> std::optional<bool> {
  auto snapshot = decode_wire<wire::control_snapshot>(bytes);
  if (!snapshot) return std::nullopt;
  auto config = parse_configuration(snapshot->configuration);
  if (!config) return std::nullopt;
  *this = control_state(limits_);
  config_ = std::move(*config);
  recent_patches_.assign(snapshot->tail.begin(), snapshot->tail.end());
  for (auto& result : snapshot->results) {
    patch_result_order_.push_back(result.id);
    patch_results_[result.id] = result;
  }
  audit_.assign(snapshot->audit.begin(), snapshot->audit.end());
  for (auto& claim : snapshot->claims) {
    const auto id = claim_map_key(claim.account, claim.key);
    claim_order_.emplace_back(claim.at_ms, id);
    if (claim.state == static_cast<std::int8_t>(claim_state::open))
      open_by_holder_[claim.holder].insert(id);
    claims_[id] = std::move(claim);
  }
  crashes_.load(std::move(snapshot->blames));
  document_ = {snapshot->document, std::move(snapshot->document_text)};
  return true;
}

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
  holder.usage.clear();
  for (const auto& usage : request.usage)
    holder.usage[usage.account] = usage;
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

auto endpoint_directory::bump_sequence(wire::endpoint_record& record) -> void {
  by_sequence_.erase(record.sequence);
  record.sequence = ++sequence_;
  by_sequence_[sequence_] = record.id;
}

auto loses_in_flight_work(const wire::endpoint_record& before,
                          const wire::endpoint_record& after) -> bool {
  return before.incarnation != after.incarnation ||
         (after.unreachable && !before.unreachable);
}

namespace {

/// Only leaders set this status. Within one incarnation, the status with the
/// highest sequence wins, whichever VM passes it on.
auto copy_leader_status(wire::endpoint_record& known,
                        const wire::endpoint_record& report) -> void {
  known.first_layer = report.first_layer;
  known.last_layer = report.last_layer;
  known.fill = report.fill;
  known.slowdown = report.slowdown;
  known.unreachable = report.unreachable;
  known.request_limit = report.request_limit;
  known.noted = report.noted;
}

}  // namespace

auto endpoint_directory::merge(
    const std::vector<wire::endpoint_record>& records) -> void {
  for (const auto& report : records) {
    const auto found = records_.find(report.id);
    if (found != records_.end()) {
      auto& known = found->second;
      if (report.incarnation < known.incarnation) continue;
      const auto same_incarnation = report.incarnation == known.incarnation;
      if (same_incarnation && report.noted > known.noted) {
        copy_leader_status(known, report);
        bump_sequence(known);
      }
      // Within one incarnation the state only advances towards `gone`.
      if (same_incarnation && report.state < known.state) continue;
      // Reports are numbered because they may arrive out of order.
      if (same_incarnation && report.state == known.state &&
          report.report < known.report)
        continue;
      // A VM that no longer owns the endpoint cannot mark it as gone.
      const auto gone =
          report.state == static_cast<std::int8_t>(endpoint_state::gone);
      if (gone && report.owner != known.owner) continue;
      orphaned_at_.erase(report.id);
      auto next = report;
      if (same_incarnation && known.noted > report.noted)
        copy_leader_status(next, known);
      next.sequence = known.sequence;
      // A newer report with the same content is not a change.
      known.report = std::max(known.report, report.report);
      next.report = known.report;
      if (next == known) continue;
      known = std::move(next);
      bump_sequence(known);
      continue;
    }
    auto& added = records_[report.id];
    added = report;
    added.sequence = 0;
    bump_sequence(added);
  }
}

auto endpoint_directory::mark_orphaned(const std::string& vm, instant now)
    -> void {
  for (const auto& [id, record] : records_)
    if (record.owner == vm) orphaned_at_.emplace(id, now);
}

auto endpoint_directory::expire_orphans(instant now, duration grace) -> void {
  for (auto it = orphaned_at_.begin(); it != orphaned_at_.end();) {
    if (now - it->second < grace) {
      ++it;
      continue;
    }
    auto& record = records_[it->first];
    record.state = static_cast<std::int8_t>(endpoint_state::gone);
    bump_sequence(record);
    it = orphaned_at_.erase(it);
  }
  // Evict the oldest records of gone endpoints.
  for (auto it = by_sequence_.begin();
       records_.size() > max_gone_records && it != by_sequence_.end();) {
    const auto found = records_.find(it->second);
    if (found->second.state != static_cast<std::int8_t>(endpoint_state::gone)) {
      ++it;
      continue;
    }
    records_.erase(found);
    it = by_sequence_.erase(it);
  }
}

auto endpoint_directory::clear() -> void {
  records_.clear();
  by_sequence_.clear();
  orphaned_at_.clear();
}

auto endpoint_directory::start_status_term(std::int64_t term) -> void {
  constexpr int term_shift_bits = 32;
  status_sequence_ = term << term_shift_bits;
}

template <class Change>
auto endpoint_directory::update(const std::string& id, Change change) -> bool {
  const auto found = records_.find(id);
  if (found == records_.end()) return false;
  auto next = found->second;
  change(next);
  if (next == found->second) return false;
  found->second = std::move(next);
  bump_sequence(found->second);
  return true;
}

template <class Change>
auto endpoint_directory::update_status(const std::string& id, Change change)
    -> bool {
  if (!update(id, change)) return false;
  records_.at(id).noted = ++status_sequence_;
  return true;
}

auto endpoint_directory::set_layers(const std::string& id, std::int32_t first,
                                    std::int32_t last) -> bool {
  return update_status(id, [&](auto& record) {
    record.first_layer = first;
    record.last_layer = last;
  });
}

auto endpoint_directory::set_load(const std::string& id,
                                  std::int32_t kv_utilization_percent,
                                  std::int32_t slowdown_percent) -> bool {
  return update_status(id, [&](auto& record) {
    record.fill = kv_utilization_percent;
    record.slowdown = slowdown_percent;
  });
}

auto endpoint_directory::set_unreachable(const std::string& id,
                                         bool unreachable) -> bool {
  return update_status(id,
                       [&](auto& record) { record.unreachable = unreachable; });
}

auto endpoint_directory::set_request_limit(const std::string& id,
                                           std::int64_t per_1000_seconds)
    -> bool {
  return update_status(
      id, [&](auto& record) { record.request_limit = per_1000_seconds; });
}

auto endpoint_directory::set_heartbeats_overdue(const std::string& id,
                                                bool overdue) -> bool {
  return update(id, [&](auto& record) { record.silent = overdue; });
}

auto endpoint_directory::mark_displaced(const std::string& id) -> bool {
  return update(id, [](auto& record) { record.displaced = true; });
}

auto endpoint_directory::digest() const -> std::uint64_t {
  std::uint64_t hash = 0;
  for (const auto& [id, record] : records_)
    hash = hash64(id + record.incarnation +
                      std::to_string(static_cast<int>(record.state)),
                  hash);
  return hash;
}

auto endpoint_directory::mark_gone(const std::string& id) -> bool {
  return update(id, [](auto& record) {
    record.state = static_cast<std::int8_t>(endpoint_state::gone);
  });
}

auto endpoint_directory::changes_after(std::int64_t sequence,
                                       std::size_t max_count) const
    -> std::vector<wire::endpoint_record> {
  std::vector<wire::endpoint_record> changes;
  for (auto it = by_sequence_.upper_bound(sequence);
       it != by_sequence_.end() && changes.size() < max_count; ++it)
    changes.push_back(records_.at(it->second));
  return changes;
}

}  // namespace pollenloft
