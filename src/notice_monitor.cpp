#include "notice_monitor.hpp"

#include "pollenloft/control.hpp"
#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

constexpr int service_unavailable = 503;
constexpr std::size_t max_paused_in_renewal = 16;

auto whole_ms(duration time) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

auto per_second_of(std::int64_t per_1000_seconds) -> std::optional<double> {
  constexpr double record_unit = 1000;
  if (per_1000_seconds <= 0) return std::nullopt;
  return static_cast<double>(per_1000_seconds) / record_unit;
}

auto process_of(const endpoint_view& view) -> endpoint_process {
  return {view.id, view.incarnation, view.slots};
}

}  // namespace

auto notice_monitor::set_vm_count(std::size_t vms) -> void {
  limiter_.set_vm_count(vms);
  notices_.set_vm_count(vms);
}

auto notice_monitor::observe(const chain& stages, int status,
                             const endpoint_notices& stated, instant asked)
    -> void {
  const auto& head = *stages.front().endpoint;
  observe_limit(head, status, stated.limit, asked);
  observe_command(head, status, stated, asked);
  if (status / 100 != 2) return;
  for (std::size_t i = 1; i < stages.size(); ++i)
    end_pause(*stages[i].endpoint, asked);
}

auto notice_monitor::observe_command(const endpoint_view& endpoint, int status,
                                     const endpoint_notices& stated,
                                     instant asked) -> void {
  if (stated.leaving) observe_leaving(process_of(endpoint), status, "endpoint");
  if (!observe_pause(endpoint, stated, asked)) end_pause(endpoint, asked);
}

auto notice_monitor::refused_as_leaving(const chain& stages,
                                        const std::string& id) -> void {
  for (const auto& stage : stages)
    if (stage.endpoint->id == id)
      observe_leaving(process_of(*stage.endpoint), service_unavailable,
                      "chain");
}

auto notice_monitor::observe_relayed_leaving(const endpoint_process& endpoint,
                                             int status) -> void {
  observe_leaving(endpoint, status, "vm");
}

auto notice_monitor::observe_limit(const endpoint_view& endpoint, int status,
                                   const limit_field& field, instant asked)
    -> void {
  if (const auto* unreadable = std::get_if<unreadable_request_limit>(&field))
    return log_event(log_level::warning, "limit.unreadable",
                     {{"endpoint", endpoint.id}, {"value", unreadable->text}});
  const auto* named = std::get_if<request_limit>(&field);
  // A refusal or an error may come from a layer that knows of no limit.
  if (named == nullptr && status / 100 != 2) return;
  const auto now = boottime_clock::now();
  const limit_statement statement{
      endpoint.id, endpoint.incarnation,
      named == nullptr ? std::nullopt : std::optional(named->per_second), asked,
      now};
  const auto change = limiter_.observe(statement);
  if (change == limit_change::none) return;
  log_event(log_level::info, limit_change_name(change),
            {{"endpoint", endpoint.id},
             {"incarnation", endpoint.incarnation},
             {"per_second", statement.per_second.value_or(0)},
             {"status", status},
             {"asked_age_ms", whole_ms(now - asked)}});
}

auto notice_monitor::observe_leaving(const endpoint_process& endpoint,
                                     int status, const char* source) -> void {
  const auto now = boottime_clock::now();
  if (!notices_.add_leaving(endpoint, now)) return;
  log_event(log_level::info, "endpoint.leaving",
            {{"endpoint", endpoint.id},
             {"incarnation", endpoint.incarnation},
             {"status", status},
             {"told_by", source}});
  if (notices_.take_report(endpoint.id, endpoint.incarnation, now))
    leaving.emit(endpoint.id);
}

auto notice_monitor::observe_pause(const endpoint_view& endpoint,
                                   const endpoint_notices& stated,
                                   instant asked) -> bool {
  const auto length = pause_length(stated);
  if (!length) return false;
  if (const auto* unreadable = std::get_if<unreadable_pause>(&stated.pause))
    log_event(log_level::warning, "pause.unreadable",
              {{"endpoint", endpoint.id}, {"value", unreadable->text}});
  const auto now = boottime_clock::now();
  const auto change = notices_.add_pause(process_of(endpoint), *length, now);
  if (change == pause_change::none) return true;
  pauses_ += change == pause_change::began ? 1 : 0;
  const auto resume = notices_.returns_at(endpoint.id, endpoint.incarnation);
  log_event(log_level::info,
            change == pause_change::began ? "endpoint.paused"
                                          : "endpoint.pause_renewed",
            {{"endpoint", endpoint.id},
             {"incarnation", endpoint.incarnation},
             {"length_ms", whole_ms(*length)},
             {"trial_in_ms", whole_ms(resume.value_or(now) - now)},
             {"asked_age_ms", whole_ms(now - asked)}});
  return true;
}

auto notice_monitor::end_pause(const endpoint_view& endpoint, instant asked)
    -> void {
  if (!notices_.add_response(endpoint.id, endpoint.incarnation, asked)) return;
  log_event(log_level::info, "endpoint.resumed",
            {{"endpoint", endpoint.id},
             {"incarnation", endpoint.incarnation},
             {"trial_ms", whole_ms(boottime_clock::now() - asked)}});
}

auto notice_monitor::apply_directory(
    const std::vector<wire::endpoint_record>& records) -> void {
  for (const auto& record : records) {
    apply_limit(record);
    apply_state(record);
  }
}

auto notice_monitor::apply_limit(const wire::endpoint_record& record) -> void {
  if (record.state == static_cast<std::int8_t>(endpoint_state::gone))
    return limiter_.forget(record.id);
  const auto limit = per_second_of(record.request_limit);
  const auto change = limiter_.announce(record.id, record.incarnation, limit);
  if (change == limit_change::none) return;
  log_event(log_level::info, limit_change_name(change),
            {{"endpoint", record.id},
             {"incarnation", record.incarnation},
             {"per_second", limit.value_or(0)},
             {"source", "directory"}});
}

/// A process that leaves stays in the register when the directory no longer
/// lists it, since a new leader may list it as up.
auto notice_monitor::apply_state(const wire::endpoint_record& record) -> void {
  const auto now = boottime_clock::now();
  if (notices_.replace(record.id, record.incarnation, now))
    log_event(log_level::info, "endpoint.started_again",
              {{"endpoint", record.id}, {"incarnation", record.incarnation}});
  if (record.state == static_cast<std::int8_t>(endpoint_state::leaving))
    notices_.add_leaving({record.id, record.incarnation, record.slots}, now);
  const auto up = record.state == static_cast<std::int8_t>(endpoint_state::up);
  if (up && notices_.take_report(record.id, record.incarnation, now))
    leaving.emit(record.id);
}

auto notice_monitor::paused(instant now) const
    -> std::vector<wire::paused_endpoint> {
  std::vector<wire::paused_endpoint> result;
  for (const auto& [id, entry] : notices_.entries()) {
    if (!entry.paused || result.size() >= max_paused_in_renewal) continue;
    wire::paused_endpoint paused;
    paused.endpoint = id;
    paused.left_ms = whole_ms(entry.paused->until - now);
    result.push_back(std::move(paused));
  }
  return result;
}

}  // namespace pollenloft
