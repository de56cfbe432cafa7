#include "endpoint_owner.hpp"

#include <nlohmann/json.hpp>

#include "pollenloft/control.hpp"
#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

using json = nlohmann::json;

constexpr auto heartbeat_interval = milliseconds(500);
constexpr auto heartbeat_timeout = milliseconds(2000);

auto reply(const exchange_ptr& call, int status, const json& body) -> void {
  http_headers headers;
  headers.add("Content-Type", "application/json");
  call->reply(status, headers, body.dump() + "\n");
}

}  // namespace

auto endpoint_owner::serve(const exchange_ptr& call) -> void {
  const auto& path = call->request().path;
  if (path == "/endpoints/announce") return announce(call);
  if (path == "/endpoints/heartbeat") return heartbeat(call);
  if (path == "/endpoints/leave") return leave(call);
  reply(call, 404, {{"error", "no such resource: " + path}});
}

auto endpoint_owner::announce(const exchange_ptr& call) -> void {
  auto record = parse_announcement(call->request().body, vm_);
  if (!record) return reply(call, 400, {{"error", last_error().text()}});
  log_event(log_level::info, "endpoint.announced",
            {{"endpoint", record->id}, {"incarnation", record->incarnation}});
  const auto id = record->id;
  entries_[id] = {std::move(*record), boottime_clock::now()};
  reply(call, 200,
        {{"owner", address_}, {"heartbeat_ms", heartbeat_interval.count()}});
  changed.emit({entries_[id].record});
}

auto endpoint_owner::find(const exchange_ptr& call) -> entry* {
  const auto identity = parse_identity(call->request().body);
  if (!identity) {
    reply(call, 400, {{"error", last_error().text()}});
    return nullptr;
  }
  const auto found = entries_.find(identity->id);
  if (found != entries_.end() &&
      found->second.record.incarnation == identity->incarnation)
    return &found->second;
  reply(call, 410, {{"error", "not announced here"}});
  return nullptr;
}

auto endpoint_owner::heartbeat(const exchange_ptr& call) -> void {
  auto* owned = find(call);
  if (owned == nullptr) return;
  owned->last_heartbeat = boottime_clock::now();
  reply(call, 200, {{"ok", true}});
}

auto endpoint_owner::leave(const exchange_ptr& call) -> void {
  auto* owned = find(call);
  if (owned == nullptr) return;
  owned->last_heartbeat = boottime_clock::now();
  owned->record.state = static_cast<std::int8_t>(endpoint_state::leaving);
  log_event(log_level::info, "endpoint.leaving",
            {{"endpoint", owned->record.id}});
  reply(call, 200, {{"ok", true}});
  changed.emit({owned->record});
}

auto endpoint_owner::expire(instant now) -> void {
  std::vector<wire::endpoint_record> expired;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (now - it->second.last_heartbeat < heartbeat_timeout) {
      ++it;
      continue;
    }
    auto& record = it->second.record;
    record.state = static_cast<std::int8_t>(endpoint_state::gone);
    log_event(log_level::warning, "endpoint.expired",
              {{"endpoint", record.id}});
    expired.push_back(std::move(record));
    it = entries_.erase(it);
  }
  if (!expired.empty()) changed.emit(expired);
}

auto endpoint_owner::records() const -> std::vector<wire::endpoint_record> {
  std::vector<wire::endpoint_record> records;
  for (const auto& [id, owned] : entries_)
    records.push_back(owned.record);
  return records;
}

}  // namespace pollenloft
