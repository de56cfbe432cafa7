#include "control_gateway.hpp"

#include "pollenloft/delta.hpp"
#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

constexpr http_limits gateway_limits{64 * 1024, 128, max_document_bytes,
                                     std::chrono::seconds(60)};
/// An endpoint's reports are overdue after this many report periods. This
/// tolerates one lost report and one late report.
constexpr int max_missed_reports = 3;
constexpr auto share_interval = std::chrono::seconds(1);
/// Least time between two full directories sent to the same control VM.
constexpr auto full_share_interval = std::chrono::seconds(2);
constexpr auto up = static_cast<std::int8_t>(endpoint_state::up);
constexpr auto gone = static_cast<std::int8_t>(endpoint_state::gone);

auto refuse(const exchange_ptr& call, int status, const std::string& reason)
    -> void {
  http_headers headers;
  headers.add("Content-Type", "text/plain");
  call->reply(status, headers, reason + "\n");
}

auto reply_json(const exchange_ptr& call, std::string_view body) -> void {
  http_headers headers;
  headers.add("Content-Type", "application/json");
  call->reply(200, headers, body);
}

auto age_ms(duration age) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(age).count();
}

}  // namespace

control_gateway::control_gateway(event_loop& loop, control_host& host,
                                 socket_address listen, duration report_period)
    : host_(host),
      listen_(std::move(listen)),
      report_period_(report_period),
      server_(loop, gateway_limits,
              [this](const exchange_ptr& call) { route(call); }) {}

auto control_gateway::start() -> std::optional<bool> {
  return server_.listen(listen_);
}

auto control_gateway::route(const exchange_ptr& call) -> void {
  std::visit(
      overloaded{
          [&](const platform::replace_document&) { replace_document(call); },
          [&](const platform::read_document&) { read_document(call); },
          [&](const platform::endpoint_report& report) {
            handle_report(call, report.id);
          },
          [&](const platform::endpoint_leave& leave) {
            handle_leave(call, leave.id);
          },
          [&](const platform::unknown_call&) {
            refuse(call, 404, "There is no such resource.");
          }},
      platform::decode_control_call(call->request()));
}

auto control_gateway::redirect_to_leader(const exchange_ptr& call) -> void {
  const auto host = host_.leader_host();
  if (host.empty() || host == listen_.host)
    return refuse(call, 503, "There is no leader now.");
  http_headers headers;
  const socket_address leader{host, listen_.port};
  headers.add("Location",
              "http://" + leader.text() + platform::document_path());
  call->reply(307, headers, "");
}

auto control_gateway::replace_document(const exchange_ptr& call) -> void {
  const auto& text = call->request().body;
  const auto decoded = platform::decode_document(text);
  if (const auto* errors =
          std::get_if<std::vector<validation_error>>(&decoded)) {
    log_event(log_level::info, "document.refused",
              {{"bytes", text.size()}, {"reason", describe(*errors)}});
    return refuse(call, 400, describe(*errors));
  }
  if (!host_.is_active_leader()) return redirect_to_leader(call);
  wire::document_command command;
  command.number = std::get<ingress_config>(decoded).number;
  command.packed = encode_delta(text, "");
  command.at_ms = wall_clock().count();
  const auto number = command.number;
  host_.submit_document(
      std::move(command), [this, call, number](bool committed) {
        log_event(log_level::info,
                  committed ? "document.accepted" : "document.unconfirmed",
                  {{"number", number},
                   {"in_force", host_.state().document().number}});
        if (!committed)
          return refuse(call, 503, "It is not known whether it counts.");
        reply_json(call, "{}");
      });
}

auto control_gateway::read_document(const exchange_ptr& call) -> void {
  if (!host_.is_active_leader()) return redirect_to_leader(call);
  const auto& document = host_.state().document();
  if (document.number == 0)
    return refuse(call, 503, "There is no document yet.");
  reply_json(call, document.text);
}

/// Gives the record's address to its endpoint and marks the others there as
/// gone. An address belongs to the process that started last; returns false if
/// that is another one. Without start times an endpoint that is new to the
/// directory takes the address. The others are then only displaced until they
/// report again, since a late report of an older process may have added the new
/// one.
auto control_gateway::take_over_address(const wire::endpoint_record& record)
    -> bool {
  auto& directory = host_.directory();
  const auto is_new = directory.records().count(record.id) == 0;
  std::set<std::string> replaced;
  std::set<std::string> displaced;
  for (const auto& [id, known] : directory.records()) {
    if (id == record.id || known.address != record.address ||
        known.state == gone)
      continue;
    if (known.incarnation > record.incarnation) return false;
    if (known.incarnation < record.incarnation)
      replaced.insert(id);
    else if (is_new)
      displaced.insert(id);
  }
  for (const auto& id : replaced) {
    log_event(log_level::info, "endpoint.replaced",
              {{"endpoint", id}, {"by", record.id}});
    directory.mark_gone(id);
  }
  for (const auto& id : displaced) {
    log_event(log_level::info, "endpoint.displaced",
              {{"endpoint", id}, {"by", record.id}});
    directory.mark_displaced(id);
  }
  replaced.merge(displaced);
  if (!replaced.empty()) publish(replaced);
  return true;
}

auto control_gateway::merge(const wire::endpoint_record& record) -> bool {
  auto& directory = host_.directory();
  const auto before = directory.sequence();
  if (!take_over_address(record)) return false;
  directory.merge({record});
  return directory.sequence() != before;
}

auto control_gateway::publish(const std::set<std::string>& ids) -> void {
  host_.share_changes(ids);
  host_.on_directory_changed();
}

auto control_gateway::acknowledge_departure(const exchange_ptr& call,
                                            const std::string& id) -> void {
  host_.record_departure(id, [call, id](bool recorded) {
    if (recorded) return reply_json(call, "{}");
    log_event(log_level::warning, "endpoint.change_unconfirmed",
              {{"endpoint", id}});
    refuse(call, 503, "The change is not known to be recorded.");
  });
}

auto control_gateway::handle_report(const exchange_ptr& call,
                                    const std::string& id) -> void {
  auto record = platform::decode_report(id, call->request().body);
  if (!record) {
    log_failure("endpoint.report_refused", last_error());
    return refuse(call, 400, last_error().reason);
  }
  // Entry VMs learn of endpoints from the leader. An endpoint whose report is
  // not acknowledged sends it to another control VM.
  if (!host_.leader_reachable())
    return refuse(call, 503, "The leader is not in reach.");
  last_report_[id] = boottime_clock::now();
  reported_here_.insert(id);
  if (merge(*record)) {
    log_event(log_level::info, "endpoint.changed",
              {{"endpoint", id},
               {"incarnation", record->incarnation},
               {"report", record->report},
               {"address", record->address},
               {"state", static_cast<int>(record->state)},
               {"first_layer", record->first_layer},
               {"last_layer", record->last_layer}});
    publish({id});
  }
  // Repeated as well: the report before may not have left this process.
  if (record->state != up) return acknowledge_departure(call, id);
  reply_json(call, "{}");
}

auto control_gateway::handle_leave(const exchange_ptr& call,
                                   const std::string& id) -> void {
  if (!host_.leader_reachable())
    return refuse(call, 503, "The leader is not in reach.");
  if (host_.directory().mark_gone(id)) {
    log_event(log_level::info, "endpoint.left", {{"endpoint", id}});
    publish({id});
  }
  acknowledge_departure(call, id);
}

auto control_gateway::handle_directory_share(const wire::directory_share& share)
    -> void {
  const auto now = boottime_clock::now();
  auto changed = false;
  for (const auto& record : share.records) {
    changed = merge(record) || changed;
    last_report_.emplace(record.id, now);
  }
  for (const auto& heard : share.heard) {
    auto& last_report = last_report_[heard.id];
    last_report = std::max(last_report, now - milliseconds(heard.age_ms));
  }
  if (changed) host_.on_directory_changed();
  const auto differs =
      share.digest != 0 &&
      share.digest != static_cast<std::int64_t>(host_.directory().digest());
  if (!differs || now - last_full_share_[share.sender] < full_share_interval)
    return;
  last_full_share_[share.sender] = now;
  host_.share_directory(static_cast<std::uint32_t>(share.sender));
}

auto control_gateway::make_share(const share_content& content) const
    -> wire::directory_share {
  wire::directory_share share;
  const auto& records = host_.directory().records();
  for (const auto& id : content.records) {
    const auto found = records.find(id);
    if (found != records.end()) share.records.push_back(found->second);
  }
  const auto now = boottime_clock::now();
  for (const auto& id : content.heard) {
    const auto report = last_report_.find(id);
    if (report == last_report_.end()) continue;
    wire::heard_endpoint heard;
    heard.id = id;
    heard.age_ms = static_cast<std::int32_t>(age_ms(now - report->second));
    share.heard.push_back(std::move(heard));
  }
  if (content.digest)
    share.digest = static_cast<std::int64_t>(host_.directory().digest());
  return share;
}

auto control_gateway::broadcast_directory() -> void {
  host_.share_directory(std::nullopt);
}

auto control_gateway::tick(instant now) -> void {
  auto changed = false;
  for (const auto& [id, record] : host_.directory().records()) {
    if (record.state != up) continue;
    const auto report_age = now - last_report_.emplace(id, now).first->second;
    const auto overdue = report_age > max_missed_reports * report_period_;
    if (overdue == record.silent) continue;
    log_event(log_level::info,
              overdue ? "endpoint.reports_overdue" : "endpoint.reports_resumed",
              {{"endpoint", id}, {"report_age_ms", age_ms(report_age)}});
    host_.directory().set_heartbeats_overdue(id, overdue);
    changed = true;
  }
  if (changed) host_.on_directory_changed();
  if (now - last_share_ < share_interval) return;
  last_share_ = now;
  host_.share_heard(std::exchange(reported_here_, {}));
}

auto control_gateway::config() -> std::shared_ptr<const ingress_config> {
  const auto& document = host_.state().document();
  if (document.number == 0) return nullptr;
  if (config_ && config_->number == document.number) return config_;
  auto decoded = platform::decode_document(document.text);
  if (auto* config = std::get_if<ingress_config>(&decoded))
    config_ = std::make_shared<const ingress_config>(std::move(*config));
  return config_;
}

}  // namespace pollenloft
