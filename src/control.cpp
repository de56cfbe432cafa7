#include "pollenloft/control.hpp"

#include <algorithm>

#include "pollenloft/delta.hpp"

namespace pollenloft {

namespace {

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
  if (command->__isset.departure) departures_.apply(command->departure);
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
  snapshot.departures = departures_.records();
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
  for (const auto& departure : snapshot->departures)
    departures_.apply(departure);
  document_ = {snapshot->document, std::move(snapshot->document_text)};
  return true;
}

}  // namespace pollenloft
