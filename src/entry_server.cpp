#include "entry_server.hpp"

#include <cmath>

#include <nlohmann/json.hpp>

#include "pollenloft/poison.hpp"

namespace pollenloft {

namespace {

using json = nlohmann::json;

constexpr auto tick_period = milliseconds(20);
// How long endpoints stay in use that the directory of a new leader lacks.
constexpr auto unconfirmed_grace = std::chrono::seconds(3);
constexpr std::size_t max_open_requests = 8000;
// Requests wait no longer than this for endpoints that pause.
constexpr auto max_pause_wait = milliseconds(250);
constexpr std::size_t max_idempotency_key_bytes = 200;
constexpr std::size_t max_prompt_bytes = 256 * 1024;
// Share of the slots of each endpoint that accounts above their fair share
// leave to the others.
constexpr double small_account_slot_share = 0.15;

auto error_body(const std::string& message) -> std::string {
  return json{{"error", {{"message", message}}}}.dump() + "\n";
}

/// The NAME in the path `/services/NAME/rest`.
auto plain_service_name(const std::string& path) -> std::string {
  const auto from = std::string_view("/services/").size();
  return path.substr(from, path.find('/', from) - from);
}

}  // namespace

entry_server::entry_server(event_loop& loop, entry_options options,
                           chart request_chart)
    : loop_(loop),
      options_(std::move(options)),
      chart_(std::move(request_chart)),
      incarnation_(options_.vm + "#" + std::to_string(wall_clock().count())),
      client_(loop_, options_.max_response_bytes),
      server_(loop_, http_limits{},
              [this](const exchange_ptr& call) { handle_request(call); }),
      control_(
          loop_, client_,
          {options_.vm, incarnation_, options_.zone, options_.listen.text(),
           options_.control, options_.relay_address, options_.relay_key,
           options_.max_document_age}),
      crashes_(loop_, control_.crashes(), metrics_,
               [this](const auto& report) { control_.report_crash(report); }),
      endpoint_owner_(options_.vm, options_.listen.text()),
      router_(options_.routing, options_.seed),
      queues_(options_.max_queued, options_.seed),
      random_(options_.seed),
      dispatch_task_(loop_, [this] { dispatch_queued(); }) {
  if (options_.disabled_mechanism == "blame") crashes_.disable();
  control_.config_changed.connect([this] { apply_config(); });
  control_.endpoints_changed.connect(
      [this](const auto& records, bool complete) {
        apply_endpoints(records, complete);
      });
  router_.set_limiter(control_.limiter());
  router_.set_notices(control_.notices().endpoints());
  control_.notices().leaving.connect(
      [this](const auto& id) { report_leaving(id); });
  control_.permits_granted.connect([this] { dispatch_task_.schedule(); });
  control_.leader_changed.connect([this] {
    const auto owned = endpoint_owner_.records();
    if (!owned.empty()) control_.report(owned);
  });
  control_.set_usage_source([this] { return recent_usage(); });
  endpoint_owner_.changed.connect(
      [this](const auto& records) { control_.report(records); });
}

auto entry_server::start() -> std::optional<bool> {
  if (!server_.listen(options_.listen)) return std::nullopt;
  tick_timer_ = loop_.every(tick_period, [this] { tick(); });
  control_.start();
  return true;
}

/// Checked at each dispatch and not by a timer, so that a process that was
/// suspended does not dispatch on an expired lease.
auto entry_server::may_dispatch() const -> bool {
  return control_.lease_valid() || (options_.disabled_mechanism == "lease" &&
                                    control_.config().version > 0);
}

auto entry_server::ready() const -> bool {
  return phase_ == drain_phase::serving && may_dispatch();
}

// --- routes ----------------------------------------------------------------

auto entry_server::handle_request(const exchange_ptr& call) -> void {
  const auto& path = call->request().path;
  if (path == "/v1/completions") return handle_completion(call);
  if (path.rfind("/services/", 0) == 0) return handle_plain_request(call);
  if (path.rfind("/endpoints/", 0) == 0) return endpoint_owner_.serve(call);
  if (path == "/healthz") return call->reply(200, {}, "ok\n");
  if (path == "/readyz")
    return call->reply(ready() ? 200 : 503, {},
                       ready() ? "ready\n" : "not ready\n");
  if (path == "/metrics") return show_metrics(call);
  refuse(call, 404, "There is no resource " + path + ".");
}

auto entry_server::refuse(const exchange_ptr& call, int status,
                          const std::string& reason) -> void {
  http_headers headers;
  headers.add("Content-Type", "application/json");
  headers.add("Pollenloft-Outcome", outcome_name(outcome::not_run));
  if (status == 503) {
    headers.add("Retry-After", "1");
    headers.add("Pollenloft-Retry-After-Ms", "1000");
  }
  metrics_.add("pollenloft_refused_total",
               "status=\"" + std::to_string(status) + "\"");
  call->reply(status, headers, error_body(reason));
}

auto entry_server::find_service(const std::string& name, bool model) const
    -> std::shared_ptr<const service> {
  const auto& services = control_.config().services;
  const auto found = services.find(name);
  if (found == services.end()) return nullptr;
  const auto is_model =
      std::holds_alternative<model_pipeline>(found->second->kind);
  return is_model == model ? found->second : nullptr;
}

auto entry_server::read_common_parameters(const exchange_ptr& call,
                                          request_parameters& parameters)
    -> bool {
  const auto& headers = call->request().headers;
  const auto refuse_with = [&](int status, const std::string& reason) {
    refuse(call, status, reason);
    return false;
  };
  const auto bearer = headers.find("Authorization").value_or("");
  const auto& config = control_.config();
  const auto* name = bearer.rfind("Bearer ", 0) == 0
                         ? config.account_by_token.find(bearer.substr(7))
                         : nullptr;
  if (name == nullptr)
    return refuse_with(401, "The bearer token is not known.");
  parameters.account = *name;
  if (!parameters.target->allows_account(parameters.account))
    return refuse_with(403, "This client account may not use the service.");
  const auto& account = **config.accounts.find(parameters.account);
  parameters.weight = account.weight;
  parameters.priority = account.priority;

  auto deadline = parameters.target->deadline;
  if (const auto header = headers.find("Pollenloft-Deadline-Ms")) {
    const auto ms = parse_number(*header);
    if (!ms || *ms < 1)
      return refuse_with(400,
                         "Pollenloft-Deadline-Ms must be a number above 0.");
    deadline = std::min(deadline, milliseconds(*ms));
  }
  parameters.arrived = boottime_clock::now();
  parameters.deadline = parameters.arrived + deadline;
  parameters.key = headers.find("Idempotency-Key").value_or("");
  if (parameters.key.size() > max_idempotency_key_bytes)
    return refuse_with(400, "Idempotency-Key is longer than 200 bytes.");
  const auto& method = call->request().method;
  parameters.idempotent =
      parameters.target->idempotent || method == "GET" || method == "HEAD";
  if (headers.find("Pollenloft-Idempotent") == "no")
    parameters.idempotent = false;
  parameters.fingerprint = request_fingerprint(
      parameters.account, call->request().target, call->request().body);
  return true;
}

auto entry_server::handle_completion(const exchange_ptr& call) -> void {
  if (call->request().method != "POST") return refuse(call, 405, "Use POST.");
  if (!ready() && phase_ != drain_phase::notice)
    return refuse(call, 503, "This VM takes no new requests now.");
  const auto body = json::parse(call->request().body, nullptr, false);
  const auto valid = body.is_object() && body.contains("model") &&
                     body["model"].is_string() && body.contains("prompt") &&
                     body["prompt"].is_string();
  if (!valid)
    return refuse(call, 400,
                  "The body must be a JSON object with model and prompt.");
  request_parameters parameters;
  parameters.service_name = body["model"].get<std::string>();
  parameters.target = find_service(parameters.service_name, true);
  if (!parameters.target)
    return refuse(call, 404, "There is no such model service.");
  parameters.prompt = body["prompt"].get<std::string>();
  if (parameters.prompt.size() > max_prompt_bytes)
    return refuse(call, 413, "The prompt is longer than 256 KiB.");
  const auto token_limit =
      std::get<model_pipeline>(parameters.target->kind).max_tokens;
  const auto requested =
      body.contains("max_tokens") ? body["max_tokens"] : json(token_limit);
  if (!requested.is_number_integer() || requested.get<std::int64_t>() < 1)
    return refuse(call, 400, "max_tokens must be a whole number above 0.");
  parameters.max_tokens = std::min<std::int64_t>(token_limit, requested);
  const auto stream = body.find("stream");
  parameters.stream =
      stream != body.end() && stream->is_boolean() && stream->get<bool>();
  if (!read_common_parameters(call, parameters)) return;
  start_request(call, std::move(parameters));
}

auto entry_server::handle_plain_request(const exchange_ptr& call) -> void {
  if (!ready() && phase_ != drain_phase::notice)
    return refuse(call, 503, "This VM takes no new requests now.");
  request_parameters parameters;
  parameters.service_name = plain_service_name(call->request().path);
  parameters.target = find_service(parameters.service_name, false);
  if (!parameters.target)
    return refuse(call, 404, "There is no such plain service.");
  if (!read_common_parameters(call, parameters)) return;
  start_request(call, std::move(parameters));
}

auto entry_server::start_request(const exchange_ptr& call,
                                 request_parameters parameters) -> void {
  if (requests_.size() >= max_open_requests)
    return refuse(call, 503, "Too many requests are open on this VM.");
  if (crashes_.guard().admit({parameters.fingerprint}, parameters.arrived) >
      duration::zero())
    return refuse(call, 422,
                  "This request has crashed endpoints and is not run again.");
  retry_budget_.deposit();
  parameters.id = ++next_request_;
  auto request =
      std::make_shared<caller_request>(*this, call, std::move(parameters));
  requests_[request->parameters().id] = request;
  request->start();
}

// --- configuration and endpoints -------------------------------------------

auto entry_server::apply_config() -> void {
  const auto& config = control_.config();
  for (const auto& [id, record] : directory_)
    apply_record(record);
  const auto self = config.vms.find(options_.vm);
  const auto drain = self != config.vms.end() && self->second.drain;
  control_.set_draining(drain);
  if (drain && phase_ == drain_phase::serving) phase_ = drain_phase::notice;
  if (!drain && !shutting_down_ && phase_ == drain_phase::notice)
    phase_ = drain_phase::serving;
  dispatch_task_.schedule();
}

auto entry_server::apply_endpoints(
    const std::vector<wire::endpoint_record>& records, bool complete) -> void {
  const auto now = boottime_clock::now();
  // The directory of a new leader is incomplete until all owners have reported,
  // so endpoints that it lacks are kept for a grace period.
  if (complete)
    for (const auto& [id, record] : directory_)
      unconfirmed_.emplace(id, now);
  for (const auto& record : records) {
    unconfirmed_.erase(record.id);
    apply_record(record);
    if (record.state == static_cast<std::int8_t>(endpoint_state::gone))
      directory_.erase(record.id);
    else
      directory_[record.id] = record;
  }
  dispatch_task_.schedule();
}

auto entry_server::apply_record(const wire::endpoint_record& record) -> void {
  const auto up = record.state == static_cast<std::int8_t>(endpoint_state::up);
  const auto& services = control_.config().services;
  const auto service = services.find(record.pipeline);
  const auto allowed = service != services.end() &&
                       service->second->allows_endpoint(record.id, record.kind);
  auto view = to_endpoint_view(record);
  if (view && !options_.endpoint_host.empty())
    view->address.host = options_.endpoint_host;
  if (up && allowed && view)
    router_.upsert(*view);
  else
    router_.remove(record.id);
}

auto entry_server::report_leaving(const std::string& id) -> void {
  const auto found = directory_.find(id);
  if (found == directory_.end()) return;
  auto record = found->second;
  // An answer of an earlier process tells nothing of the one that is listed.
  if (!control_.notices().endpoints().leaves(id, record.incarnation)) return;
  record.state = static_cast<std::int8_t>(endpoint_state::leaving);
  control_.report({record});
}

auto entry_server::expire_unconfirmed() -> void {
  const auto now = boottime_clock::now();
  for (auto it = unconfirmed_.begin(); it != unconfirmed_.end();) {
    if (now - it->second < unconfirmed_grace) {
      ++it;
      continue;
    }
    directory_.erase(it->first);
    router_.remove(it->first);
    it = unconfirmed_.erase(it);
  }
}

// --- queues ----------------------------------------------------------------

auto entry_server::enqueue(const caller_request_ptr& request, bool requeued)
    -> void {
  const auto& params = request->parameters();
  auto& queue = queues_.queue_for(params.service_name);
  const queued_request item{params.id,       params.account,  params.weight,
                            params.priority, request->cost(), params.deadline};
  if (requeued) {
    queue.requeue(item);
    return dispatch_task_.schedule();
  }
  const auto admission = queue.offer(item, boottime_clock::now());
  if (const auto* refusal = std::get_if<refused>(&admission)) {
    return request->refuse(refusal->reason, refusal->retry_after);
  }
  if (const auto evicted = std::get<admitted>(admission).evicted)
    requests_.at(*evicted)->refuse("the queue is full",
                                   queue.retry_after(milliseconds(500)));
  dispatch_task_.schedule();
}

auto entry_server::dequeue(const caller_request_ptr& request) -> void {
  const auto& params = request->parameters();
  queues_.queue_for(params.service_name).remove(params.id, false);
}

auto entry_server::slot_released(const caller_request_ptr& request, double cost)
    -> void {
  const auto& params = request->parameters();
  if (cost > 0) {
    queues_.queue_for(params.service_name)
        .record_completion(cost, boottime_clock::now());
    tokens_used_[params.account] += cost;
  }
  dispatch_task_.schedule();
}

auto entry_server::request_ended(const caller_request_ptr& request) -> void {
  requests_.erase(request->parameters().id);
}

auto entry_server::dispatch_queued() -> void {
  const auto now = boottime_clock::now();
  if (!may_dispatch()) {
    if (had_lease_) log_event(log_level::warning, "lease.lost", {});
    had_lease_ = false;
    return refuse_queued("This VM has no configuration lease.",
                         milliseconds(1000));
  }
  had_lease_ = true;
  router_.set_vm_count(control_.vm_count());
  for (auto& [service, queue] : queues_)
    dispatch_from_queue(queue, now);
}

auto entry_server::dispatch_from_queue(fair_queue& queue, instant now) -> void {
  std::set<std::string> blocked_accounts;
  while (const auto id = queue.peek(blocked_accounts)) {
    const auto request = requests_.at(*id);
    if (request->stop_if_poison()) {
      queue.remove(*id, false);
      continue;
    }
    const auto& account = request->parameters().account;
    auto criteria = request->make_chain_request();
    if (above_fair_share(account))
      criteria.reserved_slot_share = small_account_slot_share;
    auto stages = router_.choose_with_fallback(criteria, now);
    if (!stages && criteria.reserved_slot_share > 0) {
      // Another account may use the reserved slots.
      blocked_accounts.insert(account);
      continue;
    }
    if (!stages && refuse_held_up(request, now)) continue;
    if (!stages) return;
    queue.remove(*id, true);
    request->dispatch(std::move(*stages));
  }
}

auto entry_server::refuse_held_up(const caller_request_ptr& request,
                                  instant now) -> bool {
  const auto wait = find_hold_up(*request, max_pause_wait, now);
  if (!wait || !wait->paused) return false;
  dequeue(request);
  request->refuse(endpoints_pause,
                  retry_after_pause(wait->time, random_.unit()));
  return true;
}

auto entry_server::refuse_queued(const std::string& reason,
                                 milliseconds retry_after) -> void {
  std::vector<caller_request_ptr> queued;
  for (const auto& [id, request] : requests_)
    if (request->queued()) queued.push_back(request);
  for (const auto& request : queued) {
    dequeue(request);
    request->refuse(reason, retry_after);
  }
}

auto entry_server::tick() -> void {
  const auto now = boottime_clock::now();
  endpoint_owner_.expire(now);
  expire_unconfirmed();
  limit_heavy_accounts(now);
  for (auto& [service, queue] : queues_)
    queue.refill_rate_limits(now);
  dispatch_queued();
  control_.request_permits();
}

}  // namespace pollenloft
