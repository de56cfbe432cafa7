#include "vm_relay.hpp"

#include <strings.h>

#include <algorithm>
#include <array>
#include <random>

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

constexpr auto fetch_interval = milliseconds(500);
/// A VM without peers asks more often.
constexpr auto fetch_retry_interval = milliseconds(100);
constexpr int key_words = 4;  // of 32 bits

}  // namespace

auto without_relay_headers(const http_headers& headers) -> http_headers {
  constexpr std::array<const char*, 4> names{
      relay_key_header, relay_attempts_header, relay_refused_header,
      relay_leaving_header};
  http_headers kept;
  for (const auto& field : headers.fields()) {
    const auto internal =
        std::any_of(names.begin(), names.end(), [&](const auto* each) {
          return strcasecmp(field.first.c_str(), each) == 0;
        });
    if (!internal) kept.add(field.first, field.second);
  }
  return kept;
}

auto parse_relay_terms(const http_headers& headers, const std::string& key)
    -> std::optional<relay_terms> {
  if (key.empty() || headers.find(relay_key_header) != key) return std::nullopt;
  const auto attempts =
      parse_number(headers.find(relay_attempts_header).value_or(""));
  return relay_terms{static_cast<std::size_t>(
      std::max<std::int64_t>(1, attempts.value_or(1)))};
}

// An incarnation holds no blank.
auto format_relay_leaving(const endpoint_view& endpoint) -> std::string {
  return endpoint.id + " " + endpoint.incarnation;
}

auto parse_relay_leaving(const http_headers& headers)
    -> std::optional<endpoint_process> {
  const auto value = headers.find(relay_leaving_header);
  const auto blank = value ? value->rfind(' ') : std::string::npos;
  if (blank == std::string::npos || blank == 0 || blank + 1 == value->size())
    return std::nullopt;
  return endpoint_process{value->substr(0, blank), value->substr(blank + 1)};
}

auto make_relay_key() -> std::string {
  std::random_device source;
  std::string key;
  for (int i = 0; i < key_words; ++i)
    key += std::to_string(source()) + (i + 1 < key_words ? "-" : "");
  return key;
}

vm_relay::vm_relay(control_client& control, reach_monitor& reach)
    : control_(control), reach_(reach) {
  reach_.suspected.connect([this] { fetch(); });
  reach_.changed.connect([this] {
    fetch();
    changed.emit();
  });
}

auto vm_relay::fetch() -> void {
  fetched_at_ = boottime_clock::now();
  control_.fetch_peers(reach_.cut_off(), [this, alive = std::weak_ptr(alive_)](
                                             const auto& records) {
    if (alive.expired()) return;
    peers_.clear();
    for (const auto& record : records) {
      const auto address = parse_socket_address(record.address);
      if (!address) continue;
      auto view = std::make_shared<endpoint_view>();
      view->id = "vm " + record.vm;
      view->address = *address;
      view->zone = record.zone;
      peers_.push_back({std::move(view), record.key});
    }
    if (reach_.cut_off()) changed.emit();
  });
}

auto vm_relay::choose() -> std::optional<relay_peer> {
  if (!reach_.cut_off() || peers_.empty()) return std::nullopt;
  return peers_[++next_ % peers_.size()];
}

auto vm_relay::drop(const std::string& id) -> void {
  std::erase_if(peers_, [&](const auto& peer) { return peer.view->id == id; });
}

auto vm_relay::tick() -> void {
  if (!reach_.cut_off()) return;
  const auto interval = peers_.empty() ? fetch_retry_interval : fetch_interval;
  if (boottime_clock::now() - fetched_at_ >= interval) fetch();
}

}  // namespace pollenloft
