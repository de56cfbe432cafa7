#include "front_server.hpp"

#include "pollenloft/engine.hpp"
#include "pollenloft/placement.hpp"
#include "pollenloft/poison.hpp"

namespace pollenloft {

namespace {

constexpr auto tick_interval = milliseconds(20);
/// Hard limits for reading requests; the document's limits lie within them.
constexpr http_limits front_limits{64 * 1024, 256, 8 * 1024 * 1024,
                                   std::chrono::seconds(60)};
constexpr std::size_t max_open_requests = 4000;
/// After all processes were killed a leader is elected within 0.5 s. Callers
/// abandon a request that is not read for 1 s.
constexpr auto max_defer_time = milliseconds(900);
/// Answers that deny a route or a key need a confirmation of the document
/// within 1/2 of the time in which it must be in force.
constexpr int negative_age_divisor = 2;
/// VMs start with their share of the retry slack unspent, and new VMs replace
/// those that fail, so half of the slack stays in reserve.
constexpr double retry_slack_share = 0.5;
constexpr std::size_t min_vm_count = 3;
constexpr auto default_timeout = std::chrono::seconds(30);

auto path_of(const std::string& target) -> std::string_view {
  return std::string_view(target).substr(0, target.find('?'));
}

}  // namespace

front_server::front_server(event_loop& loop, front_options options,
                           http_client& client, control_client& control,
                           crash_monitor& crashes, const chart& request_chart,
                           metrics& registry)
    : loop_(loop),
      options_(std::move(options)),
      client_(client),
      control_(control),
      crashes_(crashes),
      chart_(request_chart),
      metrics_(registry),
      server_(loop_, front_limits,
              [this](const exchange_ptr& call) {
                handle_request(call, boottime_clock::now());
              }),
      readiness_(loop_, http_limits{},
                 [this](const exchange_ptr& call) { handle_readiness(call); }),
      relay_server_(loop_, front_limits,
                    [this](const exchange_ptr& call) { handle_relayed(call); }),
      router_(options_.routing, options_.seed),
      reach_(loop_, options_.seed),
      relay_(control_, reach_),
      random_(options_.seed),
      queues_(options_.max_queued, options_.seed),
      dispatch_task_(loop_, [this] { dispatch_queued(); }),
      resume_task_(loop_, [this] { resume_deferred(); }) {
  router_.set_limiter(control_.limiter());
  router_.set_notices(control_.notices().endpoints());
  reach_.changed.connect(
      [this] { metrics_.set("pollenloft_cut_off", reach_.cut_off() ? 1 : 0); });
  relay_.changed.connect([this] { dispatch_task_.schedule(); });
  control_.permits_granted.connect([this] { dispatch_task_.schedule(); });
  control_.document_changed.connect([this] { apply_document(); });
  control_.document_confirmed.connect([this] { handle_confirmation(); });
  // Even a complete directory only adds endpoints: a new leader may not know
  // all of them yet. Endpoints that it does not list stay until they leave or
  // fail.
  control_.endpoints_changed.connect(
      [this](const auto& records, bool /*complete*/) {
        apply_endpoints(records);
      });
}

auto front_server::start() -> std::optional<bool> {
  if (!server_.listen(options_.listen)) return std::nullopt;
  if (!readiness_.listen(options_.readiness)) return std::nullopt;
  if (options_.relay_listen && !relay_server_.listen(*options_.relay_listen))
    return std::nullopt;
  tick_timer_ = loop_.every(tick_interval, [this] { tick(); });
  return true;
}

auto front_server::ready() const -> bool {
  return !draining_ && document_fresh();
}

auto front_server::handle_readiness(const exchange_ptr& call) -> void {
  if (call->request().path != platform::readiness_path())
    return call->reply(404, {}, "There is no such resource.\n");
  call->reply(ready() ? 200 : 503, {}, ready() ? "ready\n" : "not ready\n");
}

auto front_server::drain() -> void {
  if (draining_) return;
  draining_ = true;
  drain_timer_ = loop_.after(options_.drain_notice, [this] {
    refusing_new_ = true;
    resume_deferred();
  });
}

auto front_server::refuse(const exchange_ptr& call, int status,
                          const std::string& reason, milliseconds retry_after)
    -> void {
  const auto id =
      platform::decode_caller_headers(call->request().headers).request_id;
  log_event(log_level::info, "request.refused",
            {{"id", id},
             {"status", status},
             {"document", route_table_ ? route_table_->config().number : 0},
             {"document_age_ms", document_age_ms()},
             {"reason", reason}});
  metrics_.add("pollenloft_refused_total",
               "status=\"" + std::to_string(status) + "\"");
  auto headers = platform::local_reply_headers(
      id, status == 503 ? retry_after : milliseconds(0));
  if (status == 503 &&
      parse_relay_terms(call->request().headers, options_.relay_key))
    headers.add(relay_refused_header, relay_refusal_scope());
  if (draining_) headers.add("Connection", "close");
  call->reply(status, headers, reason + "\n");
}

auto front_server::document_age_ms() const -> std::int64_t {
  if (!route_table_) return -1;
  return std::chrono::duration_cast<milliseconds>(control_.document_age())
      .count();
}

/// A document that this VM cannot read leaves the one before in use.
auto front_server::newest_document_in_use() const -> bool {
  return route_table_ &&
         route_table_->config().number == control_.document().number;
}

auto front_server::document_fresh() const -> bool {
  return newest_document_in_use() && control_.document_fresh();
}

auto front_server::document_current() const -> bool {
  const auto max_negative_age =
      options_.document_apply_time / negative_age_divisor;
  return newest_document_in_use() && !control_.document_outdated() &&
         control_.document_age() <= max_negative_age;
}

/// A VM that has just started or lags behind receives the newest configuration
/// soon, and a caller that is refused in between may have no retry left.
auto front_server::defer(const exchange_ptr& call, instant arrived,
                         const std::string& reason) -> void {
  const auto headers = platform::decode_caller_headers(call->request().headers);
  const auto timeout = headers.deadline.value_or(default_timeout);
  // Due requests are refused at the next tick.
  const auto due = arrived + std::min(max_defer_time,
                                      std::max(timeout, milliseconds::zero()) -
                                          tick_interval);
  if (deferred_.size() >= options_.max_deferred || due <= boottime_clock::now())
    return refuse(call, 503, reason);
  log_event(log_level::debug, "request.deferred",
            {{"id", headers.request_id},
             {"document", route_table_ ? route_table_->config().number : 0},
             {"document_age_ms", document_age_ms()},
             {"reason", reason}});
  deferred_.push_back({call, arrived, due, reason});
}

/// Callers that get 404 or 401 do not come back, so a VM gives these answers
/// only if its document is the newest.
auto front_server::refuse_as_unknown(const exchange_ptr& call, instant arrived,
                                     int status, const std::string& reason)
    -> void {
  if (document_current()) return refuse(call, status, reason);
  defer(call, arrived, "This VM may not know the newest configuration.");
}

auto front_server::handle_confirmation() -> void {
  if (!deferred_.empty() && document_current()) resume_task_.schedule();
}

auto front_server::resume_deferred() -> void {
  for (const auto& deferred : std::exchange(deferred_, {}))
    if (deferred.call->open()) handle_request(deferred.call, deferred.arrived);
}

auto front_server::refuse_expired_deferred(instant now) -> void {
  if (deferred_.empty()) return;
  for (auto& deferred : std::exchange(deferred_, {})) {
    if (!deferred.call->open()) continue;
    if (now >= deferred.due)
      refuse(deferred.call, 503, deferred.reason);
    else
      deferred_.push_back(std::move(deferred));
  }
}

auto front_server::handle_relayed(const exchange_ptr& call) -> void {
  const auto known =
      parse_relay_terms(call->request().headers, options_.relay_key);
  if (known && !draining_ && !reach_.cut_off() && route_table_) {
    metrics_.add("pollenloft_relayed_requests_received_total");
    return handle_request(call, boottime_clock::now());
  }
  log_event(log_level::info, "relay.not_accepted",
            {{"peer", call->request().peer},
             {"key_known", known ? 1 : 0},
             {"draining", draining_ ? 1 : 0},
             {"cut_off", reach_.cut_off() ? 1 : 0}});
  http_headers headers;
  headers.add(relay_refused_header, relay_refused_here);
  call->reply(503, headers, "This VM takes no relayed requests now.\n");
}

auto front_server::handle_request(const exchange_ptr& call, instant arrived)
    -> void {
  if (refusing_new_) return refuse(call, 503, "This VM is shutting down.");
  if (!route_table_)
    return defer(call, arrived, "This VM knows no configuration yet.");
  const auto& request = call->request();
  front_parameters params;
  params.table = route_table_;
  params.headers = platform::decode_caller_headers(request.headers);
  params.route =
      route_table_->find(params.headers.host, path_of(request.target));
  if (params.route == nullptr)
    return refuse_as_unknown(call, arrived, 404, "There is no route.");
  const auto& config = route_table_->config();
  params.priority = params.route->priority;
  if (const auto terms =
          parse_relay_terms(request.headers, options_.relay_key)) {
    params.relayed = true;
    params.max_attempts = terms->attempts;
  }
  if (config.has_accounts && !params.route->is_public) {
    if (!document_fresh())
      return refuse(call, 503, "This VM may not know the newest keys.");
    const auto* account = route_table_->account_of(params.headers.api_key);
    if (account == nullptr)
      return refuse_as_unknown(call, arrived, 401, "The key is not known.");
    params.account = account->name;
    params.priority = account->priority.value_or(params.priority);
  }
  params.service = pick_service(*params.route, random_.unit());
  params.less_urgent_by =
      route_table_->less_urgent_by(params.service, params.priority);
  const auto& service = config.services.at(params.service);
  if (service.engine) params.engine = &*service.engine;
  params.fingerprint =
      request_fingerprint(params.account, request.target, request.body);
  for (const auto& part : params.headers.prompt_parts)
    params.parts.push_back(part_fingerprint(part));
  params.arrived = arrived;
  params.accepted = boottime_clock::now();
  const auto timeout = params.headers.deadline.value_or(default_timeout);
  params.deadline = params.arrived + std::min(timeout, params.route->timeout);
  start_request(call, std::move(params));
}

auto front_server::refuse_poison(const exchange_ptr& call,
                                 const front_parameters& params) -> bool {
  auto& guard = crashes_.guard();
  const auto wait =
      guard.admit({params.fingerprint, params.parts}, params.accepted);
  if (wait == duration::zero()) return false;
  log_event(log_level::info, "request.held_back",
            {{"id", params.headers.request_id},
             {"fingerprint", fingerprint_text(params.fingerprint)},
             {"prompt_parts", fingerprints_text(params.parts)},
             {"account", params.account},
             {"points", guard.points(params.fingerprint)}});
  metrics_.add("pollenloft_poison_refused_total");
  refuse(call, 503, "This request crashed endpoints and is not run now.",
         std::chrono::ceil<milliseconds>(wait));
  return true;
}

auto front_server::start_request(const exchange_ptr& call,
                                 front_parameters params) -> void {
  if (requests_.size() >= max_open_requests)
    return refuse(call, 503, "Too many requests are open on this VM.");
  if (refuse_poison(call, params)) return;
  const auto burst = std::max(1.0, retry_slack_share * options_.retry_slack /
                                       static_cast<double>(std::max(
                                           min_vm_count, control_.vm_count())));
  auto& budget = retry_budgets_
                     .try_emplace(params.service,
                                  retry_budget(options_.retry_ratio, burst))
                     .first->second;
  budget.deposit();
  params.id = ++next_request_;
  auto request = std::make_shared<front_request>(*this, call, std::move(params),
                                                 chart_, budget);
  requests_[request->parameters().id] = request;
  request->start();
}

// --- configuration and endpoints ---------------------------------------------

auto front_server::apply_document() -> void {
  const auto& document = control_.document();
  auto decoded = platform::decode_document(document.text);
  if (auto* errors = std::get_if<std::vector<validation_error>>(&decoded)) {
    log_event(log_level::error, "document.unreadable",
              {{"number", document.number}, {"reason", describe(*errors)}});
    return;
  }
  auto config = std::make_shared<const ingress_config>(
      std::get<ingress_config>(std::move(decoded)));
  const auto& limits = config->limits;
  for (auto* server : {&server_, &relay_server_})
    server->set_request_limits(
        std::min(limits.header_bytes, front_limits.header_bytes),
        std::min(limits.body_bytes, front_limits.body_bytes));
  route_table_ = std::make_shared<const route_table>(std::move(config));
  for (const auto& [id, record] : directory_)
    apply_record(record);
  dispatch_task_.schedule();
  // The same message carries the endpoints, which are applied after the
  // document. Deferred requests resume after both.
  resume_task_.schedule();
}

auto front_server::apply_endpoints(
    const std::vector<wire::endpoint_record>& records) -> void {
  std::vector<std::string> failed;
  for (const auto& record : records) {
    apply_record(record);
    const auto previous = directory_.find(record.id);
    if (previous != directory_.end() &&
        loses_in_flight_work(previous->second, record))
      failed.push_back(record.id);
    if (record.state == static_cast<std::int8_t>(endpoint_state::gone))
      directory_.erase(record.id);
    else
      directory_[record.id] = record;
  }
  for (const auto& id : failed)
    fail_over_from(id);
  dispatch_task_.schedule();
}

auto front_server::fail_over_from(const std::string& id) -> bool {
  std::vector<front_request_ptr> open;
  for (const auto& [number, request] : requests_)
    open.push_back(request);
  for (const auto& request : open)
    request->handle_endpoint_failure(id);
  return true;
}

/// Overdue heartbeats alone do not remove an endpoint, since the control
/// replica may be the one that is cut off.
auto front_server::apply_record(const wire::endpoint_record& record) -> void {
  const auto up = record.state == static_cast<std::int8_t>(endpoint_state::up);
  auto view = to_endpoint_view(record);
  if (!up || !view || view->last_layer <= view->first_layer || !route_table_)
    return remove_endpoint(record.id);
  const auto& services = route_table_->config().services;
  const auto service = services.find(record.pipeline);
  if (service == services.end() || record.displaced || record.unreachable)
    return remove_endpoint(record.id);
  if (!options_.endpoint_host.empty())
    view->address.host = options_.endpoint_host;
  if (service->second.engine) {
    const auto& engine = *service->second.engine;
    const auto kind = engine.accelerators.find(record.kind);
    const auto step_factor =
        kind == engine.accelerators.end() ? 1 : kind->second.step_factor;
    if (kind != engine.accelerators.end())
      view->kv_capacity_tokens = kv_capacity_tokens(
          engine, kind->second, view->last_layer - view->first_layer);
    view->layer_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(engine.step_ms * step_factor /
                                                  engine.layers));
  }
  reach_.add(view->id, view->address);
  router_.upsert(*view);
}

auto front_server::remove_endpoint(const std::string& id) -> void {
  reach_.remove(id);
  stage_checks().erase(id);
  router_.remove(id);
}

auto front_server::tick() -> void {
  const auto now = boottime_clock::now();
  update_cross_zone_rate();
  router_.set_choosing_vms(control_.vm_count());
  reach_.tick();
  relay_.tick();
  refuse_expired_deferred(now);
  refuse_overdue(now);
  dispatch_queued();
}

auto front_server::end_open_requests() -> void {
  refusing_new_ = true;
  refuse_expired_deferred(instant::max());
  std::vector<front_request_ptr> open;
  for (const auto& [id, request] : requests_)
    open.push_back(request);
  for (const auto& request : open)
    request->step(request_event::deadline);
}

}  // namespace pollenloft
