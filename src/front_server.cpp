#include "front_server.hpp"

#include "pollenloft/engine.hpp"
#include "pollenloft/placement.hpp"

namespace pollenloft {

namespace {

constexpr auto tick_period = milliseconds(20);
/// Bounds of what is read; the document's limits lie within them.
constexpr http_limits front_limits{64 * 1024, 256, 8 * 1024 * 1024,
                                   std::chrono::seconds(60)};
constexpr std::size_t most_requests = 4000;  // open at once
constexpr auto refusal_pause = milliseconds(1000);
/// After all processes were killed a leader is elected within half a second;
/// callers give up on a request that nobody reads for a second.
constexpr auto hold_limit = milliseconds(900);
constexpr std::size_t most_held = 500;
/// A request waits for a place at most this part of its objective: past it a
/// caller that returns later is served better.
constexpr double wait_share = 0.5;
constexpr auto least_wait = milliseconds(100);
/// VMs start with their part of the slack unspent, and others take the place
/// of those that fail: half of it stays in reserve.
constexpr double retry_slack_share = 0.5;
/// Part of the links between zones that requests may fill; past it transfers
/// queue up behind each other.
constexpr double link_share = 0.5;
constexpr std::size_t least_vms = 3;
constexpr auto default_deadline = std::chrono::seconds(30);

auto path_of(const std::string& target) -> std::string_view {
  return std::string_view(target).substr(0, target.find('?'));
}

auto wait_limit(const ingress_route& route) -> duration {
  const auto share = std::chrono::duration_cast<duration>(
      wait_share * route.latency_objective);
  return std::max<duration>(least_wait, share);
}

}  // namespace

front_server::front_server(event_loop& loop, front_options options,
                           http_client& client, control_client& control,
                           const chart& request_chart, metrics& numbers)
    : loop_(loop),
      options_(std::move(options)),
      client_(client),
      control_(control),
      chart_(request_chart),
      metrics_(numbers),
      server_(loop_, front_limits,
              [this](const exchange_ptr& call) {
                take(call, boottime_clock::now());
              }),
      readiness_(loop_, http_limits{},
                 [this](const exchange_ptr& call) { show_ready(call); }),
      router_(options_.routing, options_.seed),
      random_(options_.seed),
      queues_(options_.max_queued, options_.seed),
      pumping_(loop_, [this] { pump(); }) {
  control_.document_changed.connect([this] { apply_document(); });
  // Even a whole directory only adds: a new leader may not have heard of all
  // endpoints yet, and what it does not name stays until it ends or fails.
  control_.endpoints_changed.connect(
      [this](const auto& records, bool /*whole*/) {
        apply_endpoints(records);
      });
}

auto front_server::start() -> std::optional<bool> {
  if (!server_.listen(options_.listen)) return std::nullopt;
  if (!readiness_.listen(options_.readiness)) return std::nullopt;
  ticker_ = loop_.every(tick_period, [this] { tick(); });
  return true;
}

auto front_server::ready() const -> bool {
  return !draining_ && table_ && control_.document_fresh();
}

auto front_server::show_ready(const exchange_ptr& call) -> void {
  if (call->request().path != platform::readiness_path())
    return call->reply(404, {}, "There is no such resource.\n");
  call->reply(ready() ? 200 : 503, {}, ready() ? "ready\n" : "not ready\n");
}

auto front_server::drain() -> void {
  draining_ = true;
  drain_timer_ =
      loop_.after(options_.drain_notice, [this] { refusing_ = true; });
}

auto front_server::refuse(const exchange_ptr& call, int status,
                          const std::string& reason) -> void {
  const auto id =
      platform::decode_caller_headers(call->request().headers).request_id;
  log_event(log_level::info, "request.refused",
            {{"id", id},
             {"status", status},
             {"document", table_ ? table_->config().number : 0},
             {"reason", reason}});
  metrics_.add("pollenloft_refused_total",
               "status=\"" + std::to_string(status) + "\"");
  auto headers = platform::local_reply_headers(
      id, status == 503 ? refusal_pause : milliseconds(0));
  if (draining_) headers.add("Connection", "close");
  call->reply(status, headers, reason + "\n");
}

/// A VM that has just started is told the configuration in a moment, and a
/// caller that is refused in between may have no further try.
auto front_server::hold(const exchange_ptr& call, instant arrived) -> void {
  if (held_.size() >= most_held)
    return refuse(call, 503, "This VM knows no configuration yet.");
  held_.push_back({call, arrived});
}

auto front_server::take_held() -> void {
  for (const auto& held : std::exchange(held_, {}))
    if (held.call->open()) take(held.call, held.arrived);
}

auto front_server::refuse_held(instant now) -> void {
  while (!held_.empty() && now - held_.front().arrived > hold_limit) {
    const auto held = std::move(held_.front());
    held_.pop_front();
    if (held.call->open())
      refuse(held.call, 503, "This VM knows no configuration yet.");
  }
}

auto front_server::take(const exchange_ptr& call, instant arrived) -> void {
  if (refusing_) return refuse(call, 503, "This VM is shutting down.");
  if (!table_) return hold(call, arrived);
  const auto& request = call->request();
  front_parameters given;
  given.table = table_;
  given.headers = platform::decode_caller_headers(request.headers);
  given.route = table_->find(given.headers.host, path_of(request.target));
  if (given.route == nullptr) return refuse(call, 404, "There is no route.");
  const auto& config = table_->config();
  given.priority = given.route->priority;
  if (config.has_accounts && !given.route->is_public) {
    if (!control_.document_fresh())
      return refuse(call, 503, "This VM may not know the newest keys.");
    const auto* account = table_->account_of(given.headers.api_key);
    if (account == nullptr) return refuse(call, 401, "The key is not known.");
    given.account = account->name;
    given.priority = account->priority.value_or(given.priority);
  }
  given.service = pick_service(*given.route, random_.unit());
  const auto& service = config.services.at(given.service);
  if (service.engine) given.engine = &*service.engine;
  given.arrived = arrived;
  given.accepted = boottime_clock::now();
  const auto patience = given.headers.deadline.value_or(default_deadline);
  given.deadline = given.arrived + std::min(patience, given.route->timeout);
  begin(call, std::move(given));
}

auto front_server::begin(const exchange_ptr& call, front_parameters given)
    -> void {
  if (requests_.size() >= most_requests)
    return refuse(call, 503, "Too many requests are open on this VM.");
  const auto burst = std::max(
      1.0, retry_slack_share * options_.retry_slack /
               static_cast<double>(std::max(least_vms, control_.vm_count())));
  auto& budget =
      budgets_
          .try_emplace(given.service, retry_budget(options_.retry_ratio, burst))
          .first->second;
  budget.deposit();
  given.id = ++next_request_;
  auto request = std::make_shared<front_request>(*this, call, std::move(given),
                                                 chart_, budget);
  requests_[request->parameters().id] = request;
  request->start();
}

// --- configuration and endpoints ---------------------------------------------

auto front_server::apply_document() -> void {
  const auto& document = control_.document();
  auto decoded = platform::decode_document(document.text);
  if (auto* faults = std::get_if<std::vector<field_fault>>(&decoded)) {
    log_event(log_level::error, "document.unreadable",
              {{"number", document.number}, {"reason", describe(*faults)}});
    return;
  }
  auto config = std::make_shared<const ingress_config>(
      std::get<ingress_config>(std::move(decoded)));
  table_ = std::make_shared<const route_table>(std::move(config));
  for (const auto& [id, record] : directory_)
    apply_record(record);
  pumping_.schedule();
  // The endpoints come in the same message, after the document.
  loop_.post([this] { take_held(); });
}

auto front_server::apply_endpoints(
    const std::vector<wire::endpoint_record>& records) -> void {
  std::vector<std::string> lost;
  for (const auto& record : records) {
    apply_record(record);
    const auto known = directory_.find(record.id);
    if (known != directory_.end() && loses_work(known->second, record))
      lost.push_back(record.id);
    if (record.state == static_cast<std::int8_t>(endpoint_state::gone))
      directory_.erase(record.id);
    else
      directory_[record.id] = record;
  }
  for (const auto& id : lost)
    leave_endpoint(id);
  pumping_.schedule();
}

auto front_server::leave_endpoint(const std::string& id) -> void {
  std::vector<front_request_ptr> open;
  for (const auto& [number, request] : requests_)
    open.push_back(request);
  for (const auto& request : open)
    request->endpoint_lost(id);
}

/// Silence is no reason to stop, since control may be what is cut off.
auto front_server::apply_record(const wire::endpoint_record& record) -> void {
  const auto up = record.state == static_cast<std::int8_t>(endpoint_state::up);
  auto view = to_view(record);
  if (!up || !view || view->last_layer <= view->first_layer || !table_)
    return router_.remove(record.id);
  const auto& services = table_->config().services;
  const auto service = services.find(record.pipeline);
  if (service == services.end() || record.displaced || record.unreachable)
    return router_.remove(record.id);
  if (service->second.engine) {
    const auto& engine = *service->second.engine;
    const auto kind = engine.accelerators.find(record.kind);
    const auto factor =
        kind == engine.accelerators.end() ? 1 : kind->second.step_factor;
    if (kind != engine.accelerators.end())
      view->kv_capacity_tokens = kv_capacity_tokens(
          engine, kind->second, view->last_layer - view->first_layer);
    view->layer_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(engine.step_ms * factor /
                                                  engine.layers));
  }
  router_.upsert(*view);
}

// --- queues ------------------------------------------------------------------

auto front_server::enqueue(const front_request_ptr& request, bool again)
    -> void {
  const auto& given = request->parameters();
  auto& queue = queues_.queue_for(given.service);
  const queued_request item{given.id,
                            given.account,
                            1,
                            given.priority,
                            request->cost(),
                            given.accepted + wait_limit(*given.route)};
  if (again) {
    queue.requeue(item);
    return pumping_.schedule();
  }
  const auto answer = queue.offer(item, boottime_clock::now());
  if (const auto* no = std::get_if<refused>(&answer))
    return request->refuse(503, no->reason, no->retry_after);
  if (const auto evicted = std::get<admitted>(answer).evicted)
    requests_.at(*evicted)->refuse(503, "the queue is full", refusal_pause);
  pump_queue(queue, boottime_clock::now());
}

auto front_server::dequeue(const front_request_ptr& request) -> void {
  const auto& given = request->parameters();
  queues_.queue_for(given.service).remove(given.id, false);
}

auto front_server::slot_released(const front_request_ptr& request, double cost)
    -> void {
  if (cost > 0)
    queues_.queue_for(request->parameters().service)
        .record_completion(cost, boottime_clock::now());
  pumping_.schedule();
}

auto front_server::request_ended(const front_request_ptr& request) -> void {
  requests_.erase(request->parameters().id);
}

auto front_server::pump() -> void {
  const auto now = boottime_clock::now();
  for (auto& [service, queue] : queues_)
    pump_queue(queue, now);
}

/// Activations between zones share links with those of all other VMs.
auto front_server::share_links() -> void {
  if (!table_) return;
  double mbps = 0;
  for (const auto& [name, service] : table_->config().services)
    if (service.engine) mbps = std::max(mbps, service.engine->zone_link_mbps);
  constexpr double bits_per_byte = 8;
  router_.set_cross_zone_rate(link_share * mbps / bits_per_byte /
                              static_cast<double>(control_.vm_count()));
}

auto front_server::still_allowed(const front_request& request) const -> bool {
  const auto& given = request.parameters();
  if (given.account.empty()) return true;
  return control_.document_fresh() &&
         table_->account_of(given.headers.api_key) != nullptr;
}

auto front_server::pump_queue(fair_queue& queue, instant now) -> void {
  while (const auto id = queue.peek()) {
    const auto request = requests_.at(*id);
    if (!still_allowed(*request)) {
      queue.remove(*id, false);
      request->refuse(503, "the key may have been taken away", refusal_pause);
      continue;
    }
    auto stages = router_.choose_with_fallback(request->chain_wanted(), now);
    if (!stages) return;
    queue.remove(*id, true);
    request->dispatch(std::move(*stages));
  }
}

auto front_server::log_shortage(const front_request& request, instant now) const
    -> void {
  const auto wanted = request.chain_wanted();
  for (const auto& [zone, found] : router_.shortages(wanted, now))
    log_event(log_level::info, "chain.none_free",
              {{"id", request.parameters().headers.request_id},
               {"service", wanted.pipeline},
               {"zone", zone},
               {"layer", found.layer},
               {"of", wanted.layers},
               {"holders", found.holders},
               {"ejected", found.ejected},
               {"refusing", found.backing_off},
               {"full", found.kv_full},
               {"no_place", found.no_free_slot},
               {"avoided", found.avoided}});
}

auto front_server::refuse_overdue(instant now) -> void {
  std::vector<front_request_ptr> overdue;
  for (const auto& [id, request] : requests_) {
    const auto& given = request->parameters();
    if (request->queued() && request->untouched() &&
        now - given.accepted > wait_limit(*given.route))
      overdue.push_back(request);
  }
  for (const auto& request : overdue) {
    dequeue(request);
    log_shortage(*request, now);
    request->refuse(503, "no endpoint is free", refusal_pause);
  }
}

auto front_server::tick() -> void {
  const auto now = boottime_clock::now();
  share_links();
  refuse_held(now);
  refuse_overdue(now);
  pump();
}

auto front_server::end_open_requests() -> void {
  refuse_held(instant::max());
  std::vector<front_request_ptr> open;
  for (const auto& [id, request] : requests_)
    open.push_back(request);
  for (const auto& request : open)
    request->step(request_event::deadline);
}

}  // namespace pollenloft
