#include "operator_views.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace pollenloft {

using json = nlohmann::json;

auto history_view(const control_state& state) -> json {
  auto rows = json::array();
  for (const auto& patch : state.recent_patches())
    rows.push_back({{"version", patch.version},
                    {"id", patch.id},
                    {"patch", json::parse(patch.body)}});
  return rows;
}

auto audit_view(const control_state& state) -> json {
  auto rows = json::array();
  for (const auto& record : state.audit())
    rows.push_back({{"at_ms", record.at_ms},
                    {"who", record.who},
                    {"what", record.what},
                    {"base", record.base},
                    {"version", record.version},
                    {"result", record.result}});
  return rows;
}

auto crashes_view(const crash_ledger& crashes) -> json {
  auto rows = json::array();
  for (const auto& record : crashes.suspects())
    rows.push_back({{"fingerprint", fingerprint_text(static_cast<std::uint64_t>(
                                        record.fingerprint))},
                    {"account", record.account},
                    {"points", record.points},
                    {"kind", record.part ? "part" : "request"},
                    {"held_back", record.points >= hold_threshold(record)},
                    {"first_crash_ms", record.first_at_ms},
                    {"last_crash_ms", record.at_ms},
                    {"endpoints", record.endpoints}});
  return rows;
}

auto endpoints_view(const endpoint_directory& directory,
                    const lease_table& leases, instant now) -> json {
  const auto pauses = leases.pauses(now);
  constexpr std::array<const char*, 3> states{"up", "leaving", "gone"};
  auto rows = json::array();
  for (const auto& [id, record] : directory.records()) {
    const auto pause = pauses.find(id);
    const auto paused = pause != pauses.end();
    rows.push_back(
        {{"id", id},
         {"paused_by_vms", paused ? pause->second.vms : 0},
         {"paused_ms", paused ? std::chrono::duration_cast<milliseconds>(
                                    pause->second.until - now)
                                    .count()
                              : 0},
         {"service", record.pipeline},
         {"kind", record.kind},
         {"zone", record.zone},
         {"address", record.address},
         {"layers", {record.first_layer, record.last_layer}},
         {"owner", record.owner},
         {"unreachable", record.unreachable},
         {"request_limit", static_cast<double>(record.request_limit) / 1000},
         {"state", states.at(static_cast<std::size_t>(record.state))}});
  }
  return rows;
}

auto vms_view(const lease_table& leases, instant now) -> json {
  auto vms = json::object();
  for (const auto& [vm, holder] : leases.holders())
    vms[vm] = {{"version", holder.in_force},
               {"zone", holder.zone},
               {"address", holder.address},
               {"draining", holder.draining},
               {"lease_ms",
                std::chrono::duration_cast<milliseconds>(holder.expires - now)
                    .count()}};
  return vms;
}

}  // namespace pollenloft
