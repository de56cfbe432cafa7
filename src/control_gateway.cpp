#include "control_gateway.hpp"

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

constexpr http_limits gateway_limits{64 * 1024, 128, 8 * 1024 * 1024,
                                     std::chrono::seconds(60)};
/// Reports that may be missing before an endpoint counts as silent: one more
/// than a lost report and a late one.
constexpr int missing_reports = 3;
constexpr auto share_period = std::chrono::seconds(1);
/// Between two whole directories sent to one control VM.
constexpr auto tell_pause = std::chrono::seconds(2);
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
            take_report(call, report.id);
          },
          [&](const platform::endpoint_leave& leave) {
            take_leave(call, leave.id);
          },
          [&](const platform::unknown_call&) {
            refuse(call, 404, "There is no such resource.");
          }},
      platform::decode_control_call(call->request()));
}

auto control_gateway::point_to_leader(const exchange_ptr& call) -> void {
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
  if (const auto* faults = std::get_if<std::vector<field_fault>>(&decoded)) {
    log_event(log_level::info, "document.refused",
              {{"bytes", text.size()}, {"reason", describe(*faults)}});
    return refuse(call, 400, describe(*faults));
  }
  if (!host_.is_active_leader()) return point_to_leader(call);
  wire::document_command command;
  command.number = std::get<ingress_config>(decoded).number;
  command.text = text;
  command.at_ms = wall_clock().count();
  const auto number = command.number;
  host_.submit_document(std::move(command), [this, call, number](bool done) {
    log_event(
        log_level::info, done ? "document.accepted" : "document.unsure",
        {{"number", number}, {"in_force", host_.state().document().number}});
    if (!done) return refuse(call, 503, "It is not known whether it counts.");
    reply_json(call, "{}");
  });
}

auto control_gateway::read_document(const exchange_ptr& call) -> void {
  if (!host_.is_active_leader()) return point_to_leader(call);
  const auto& document = host_.state().document();
  if (document.number == 0)
    return refuse(call, 503, "There is no document yet.");
  reply_json(call, document.text);
}

/// An address belongs to the process that started last; false if that is
/// another one. Without times of start the one heard of last is taken for it,
/// and the other only for silent, since a late report may have brought it up.
auto control_gateway::displace_at(const wire::endpoint_record& record) -> bool {
  auto& directory = host_.directory();
  const auto is_new = directory.records().count(record.id) == 0;
  std::set<std::string> ended;
  std::set<std::string> doubtful;
  for (const auto& [id, known] : directory.records()) {
    if (id == record.id || known.address != record.address ||
        known.state == gone)
      continue;
    if (known.incarnation > record.incarnation) return false;
    if (known.incarnation < record.incarnation)
      ended.insert(id);
    else if (is_new)
      doubtful.insert(id);
  }
  for (const auto& id : ended) {
    log_event(log_level::info, "endpoint.replaced",
              {{"endpoint", id}, {"by", record.id}});
    directory.end(id);
  }
  for (const auto& id : doubtful) {
    log_event(log_level::info, "endpoint.displaced",
              {{"endpoint", id}, {"by", record.id}});
    directory.displace(id);
  }
  ended.merge(doubtful);
  if (!ended.empty()) publish(ended);
  return true;
}

auto control_gateway::merge(const wire::endpoint_record& record) -> bool {
  auto& directory = host_.directory();
  const auto before = directory.sequence();
  if (!displace_at(record)) return false;
  directory.merge({record});
  return directory.sequence() != before;
}

auto control_gateway::publish(const std::set<std::string>& ids) -> void {
  wire::directory_share news;
  for (const auto& id : ids) {
    const auto found = host_.directory().records().find(id);
    if (found != host_.directory().records().end())
      news.records.push_back(found->second);
  }
  host_.broadcast(news);
  host_.on_directory_changed();
}

auto control_gateway::take_report(const exchange_ptr& call,
                                  const std::string& id) -> void {
  auto record = platform::decode_report(id, call->request().body);
  if (!record) {
    log_failure("endpoint.report_refused", last_error());
    return refuse(call, 400, last_error().reason);
  }
  // Entry VMs learn of endpoints from the leader; an endpoint that is not
  // acknowledged turns to another control VM.
  if (!host_.leader_reachable())
    return refuse(call, 503, "The leader is not in reach.");
  heard_[id] = boottime_clock::now();
  heard_here_.insert(id);
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
  reply_json(call, "{}");
}

auto control_gateway::take_leave(const exchange_ptr& call,
                                 const std::string& id) -> void {
  if (!host_.leader_reachable())
    return refuse(call, 503, "The leader is not in reach.");
  if (host_.directory().end(id)) {
    log_event(log_level::info, "endpoint.left", {{"endpoint", id}});
    publish({id});
  }
  reply_json(call, "{}");
}

auto control_gateway::handle_directory_share(const wire::directory_share& news)
    -> void {
  const auto now = boottime_clock::now();
  auto changed = false;
  for (const auto& record : news.records) {
    changed = merge(record) || changed;
    heard_.emplace(record.id, now);
  }
  for (const auto& heard : news.heard) {
    auto& at = heard_[heard.id];
    at = std::max(at, now - milliseconds(heard.age_ms));
  }
  if (changed) host_.on_directory_changed();
  const auto differs =
      news.digest != 0 &&
      news.digest != static_cast<std::int64_t>(host_.directory().digest());
  if (!differs || now - told_[news.sender] < tell_pause) return;
  told_[news.sender] = now;
  host_.send_to_member(static_cast<std::uint32_t>(news.sender),
                       whole_directory());
}

auto control_gateway::whole_directory() -> wire::directory_share {
  wire::directory_share news;
  for (const auto& [id, record] : host_.directory().records())
    news.records.push_back(record);
  return news;
}

auto control_gateway::broadcast_directory() -> void {
  if (host_.directory().size() > 0) host_.broadcast(whole_directory());
}

auto control_gateway::tick(instant now) -> void {
  auto changed = false;
  for (const auto& [id, record] : host_.directory().records()) {
    if (record.state != up) continue;
    const auto heard = heard_.emplace(id, now).first->second;
    const auto silent = now - heard > missing_reports * report_period_;
    if (silent == record.silent) continue;
    log_event(log_level::info, silent ? "endpoint.silent" : "endpoint.heard",
              {{"endpoint", id}, {"age_ms", age_ms(now - heard)}});
    host_.directory().set_silent(id, silent);
    changed = true;
  }
  if (changed) host_.on_directory_changed();
  if (now - shared_at_ < share_period) return;
  shared_at_ = now;
  wire::directory_share news;
  for (const auto& id : std::exchange(heard_here_, {})) {
    wire::heard_endpoint heard;
    heard.id = id;
    heard.age_ms = static_cast<std::int32_t>(age_ms(now - heard_[id]));
    news.heard.push_back(std::move(heard));
  }
  news.digest = static_cast<std::int64_t>(host_.directory().digest());
  host_.broadcast(news);
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
