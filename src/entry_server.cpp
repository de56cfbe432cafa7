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
// Time for the last responses to be sent after open requests were ended.
constexpr auto flush_timeout = milliseconds(400);
// Time for reports to the leader to be acknowledged after the last request.
constexpr auto report_flush_timeout = std::chrono::seconds(1);
constexpr std::size_t max_open_requests = 8000;
constexpr std::size_t max_idempotency_key_bytes = 200;
constexpr std::size_t max_prompt_bytes = 256 * 1024;
// Usage reported to the leader: the heaviest accounts of this VM, with rates
// that are exponential moving averages over windows of `usage_window_s`.
constexpr std::size_t max_reported_accounts = 8;
constexpr double usage_window_s = 0.2;
constexpr double usage_smoothing = 0.4;  // weight of the newest window
// Period of adjusting the rate limits of accounts above their fair share.
constexpr auto rate_limit_period = milliseconds(100);
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
      client_(loop_),
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
      dispatch_task_(loop_, [this] { dispatch_queued(); }) {
  if (options_.disabled_mechanism == "blame") crashes_.disable();
  control_.config_changed.connect([this] { apply_config(); });
  control_.endpoints_changed.connect(
      [this](const auto& records, bool complete) {
        apply_endpoints(records, complete);
      });
  router_.set_limiter(control_.limiter());
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

auto entry_server::show_metrics(const exchange_ptr& call) -> void {
  metrics_.set("pollenloft_requests_open",
               static_cast<double>(requests_.size()));
  const auto responses = loop_.unfinished();
  metrics_.set("pollenloft_unsent_responses",
               static_cast<double>(responses.unsent));
  metrics_.set("pollenloft_unsent_response_bytes",
               static_cast<double>(responses.unsent_bytes));
  metrics_.set("pollenloft_config_version",
               static_cast<double>(control_.config().version));
  metrics_.set("pollenloft_document_number",
               static_cast<double>(control_.document().number));
  const auto& renewals = control_.renewals();
  const auto set_renewals = [this](const std::string& name,
                                   const std::string& result,
                                   std::uint64_t count) {
    metrics_.set(name, static_cast<double>(count), "result=\"" + result + "\"");
  };
  set_renewals("pollenloft_renewals_total", "completed", renewals.completed);
  set_renewals("pollenloft_renewals_total", "interrupted",
               renewals.interrupted);
  set_renewals("pollenloft_renewals_total", "refused", renewals.refused);
  set_renewals("pollenloft_renewal_bytes_total", "completed",
               renewals.received_bytes);
  set_renewals("pollenloft_renewal_bytes_total", "interrupted",
               renewals.interrupted_bytes);
  const auto& limiter = control_.limiter();
  for (const auto& [id, limit] : limiter.limits().statements()) {
    const auto label = "endpoint=\"" + id + "\"";
    metrics_.set("pollenloft_request_limit_per_second",
                 limit.per_second.value_or(NAN), label);
    metrics_.set("pollenloft_request_permits",
                 static_cast<double>(limiter.permits(id)), label);
  }
  metrics_.set("pollenloft_request_permits_used_total",
               static_cast<double>(limiter.used()));
  metrics_.set("pollenloft_crash_suspects",
               static_cast<double>(crashes_.guard().size()));
  metrics_.set("pollenloft_ready", ready() ? 1 : 0);
  metrics_.set("pollenloft_endpoints_known",
               static_cast<double>(router_.size()));
  for (const auto& [service, queue] : queues_)
    metrics_.set("pollenloft_queue_length", static_cast<double>(queue.size()),
                 "service=\"" + service + "\"");
  call->reply(200, {}, metrics_.text());
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
    if (!stages) return;
    queue.remove(*id, true);
    request->dispatch(std::move(*stages));
  }
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

/// Usage of the heaviest accounts on this VM: the moving average of tokens per
/// second and the cost of the queued requests.
auto entry_server::recent_usage() -> std::vector<wire::account_usage> {
  const auto now = boottime_clock::now();
  const auto elapsed =
      std::chrono::duration<double>(now - usage_window_start_).count();
  if (elapsed > usage_window_s) {
    for (auto& [account, rate] : usage_rate_)
      rate *= 1 - usage_smoothing;
    for (const auto& [account, tokens] : tokens_used_)
      usage_rate_[account] += usage_smoothing * tokens / elapsed;
    tokens_used_.clear();
    usage_window_start_ = now;
  }
  std::map<std::string, wire::account_usage> usage_by_account;
  for (const auto& [account, rate] : usage_rate_)
    usage_by_account[account].cost = rate;
  for (const auto& [service, queue] : queues_)
    for (const auto& [account, cost] : queue.queued_cost_by_account())
      usage_by_account[account].waiting += cost;
  std::vector<wire::account_usage> heaviest;
  for (auto& [account, usage] : usage_by_account) {
    usage.account = account;
    heaviest.push_back(std::move(usage));
  }
  std::sort(heaviest.begin(), heaviest.end(), [](const auto& a, const auto& b) {
    return a.cost + a.waiting > b.cost + b.waiting;
  });
  if (heaviest.size() > max_reported_accounts)
    heaviest.resize(max_reported_accounts);
  return heaviest;
}

/// Lowers the rate limits of accounts above their fair share on this VM while
/// an account below its share has requests queued on any VM. All other limits
/// are raised step by step and lifted once the account stays far below them.
auto entry_server::limit_heavy_accounts(instant now) -> void {
  if (now - rate_limits_updated_ < rate_limit_period) return;
  rate_limits_updated_ = now;
  std::vector<account_load> loads;
  for (const auto& [name, usage] : control_.cluster_usage()) {
    const auto* account = control_.config().accounts.find(name);
    if (account == nullptr) continue;
    loads.push_back({name, (*account)->weight, usage.cost, usage.waiting});
  }
  auto above_share = accounts_over_share(loads);
  accounts_above_share_.clear();
  for (const auto& load : above_share)
    accounts_above_share_.insert(load.account);
  if (!any_account_below_share(loads)) above_share.clear();
  const auto vms =
      static_cast<double>(std::max<std::size_t>(1, control_.vm_count()));
  for (auto& [service, queue] : queues_) {
    const auto rates_of = [&, &limits = queue](const account_load& load) {
      return account_rates{limits.rate_limit_of(load.account),
                           usage_rate_[load.account],
                           fair_share_of(loads, load.weight) / vms};
    };
    std::set<std::string> limited;
    for (const auto& load : above_share) {
      limited.insert(load.account);
      queue.set_rate_limit(load.account, lowered_rate_limit(rates_of(load)),
                           now);
    }
    for (const auto& load : loads)
      if (limited.count(load.account) == 0)
        queue.set_rate_limit(load.account, raised_rate_limit(rates_of(load)),
                             now);
  }
}

// --- shutdown --------------------------------------------------------------

auto entry_server::shut_down() -> void {
  if (options_.disabled_mechanism == "drain") return loop_.stop();
  if (shutting_down_) return;
  shutting_down_ = true;
  log_drain(log_level::info, "drain.started");
  phase_ = drain_phase::notice;
  drain_timer_ = loop_.after(options_.drain_notice, [this] {
    phase_ = drain_phase::refusing;
    server_.close_listener();
    drain_timer_ = loop_.every(tick_period, [this] { finish_drain(); });
  });
  grace_end_ = boottime_clock::now() + options_.grace;
  grace_timer_ = loop_.after(options_.grace, [this] { end_open_requests(); });
}

auto entry_server::finish_drain() -> void {
  if (open_requests() > 0 || control_.pending_settlements() > 0) return;
  log_drain(log_level::info, "drain.finished");
  drain_timer_ = timer();
  const auto now = boottime_clock::now();
  loop_.finish(grace_end_ - now, [this, until = now + report_flush_timeout] {
    return control_.pending_reports() > 0 && boottime_clock::now() < until;
  });
}

auto entry_server::open_requests() const -> std::size_t {
  return requests_.size() + (other_open_requests_ ? other_open_requests_() : 0);
}

auto entry_server::log_drain(log_level level, const char* event) const -> void {
  const auto responses = loop_.unfinished();
  log_event(level, event,
            {{"open_requests", open_requests()},
             {"pending_reports", control_.pending_reports()},
             {"open_responses", responses.open},
             {"unsent_responses", responses.unsent},
             {"unsent_bytes", responses.unsent_bytes}});
}

auto entry_server::shut_down_now() -> void {
  if (options_.disabled_mechanism == "drain" || !shutting_down_)
    return shut_down();
  end_open_requests();
}

auto entry_server::end_open_requests() -> void {
  phase_ = drain_phase::refusing;
  server_.close_listener();
  log_drain(log_level::warning, "drain.requests_ended");
  std::vector<caller_request_ptr> open;
  for (const auto& [id, request] : requests_)
    open.push_back(request);
  for (const auto& request : open)
    request->step(request_event::deadline);
  ending_open_requests.emit();
  drain_timer_ = timer();
  grace_timer_ = timer();
  loop_.finish(flush_timeout, [this] {
    return control_.pending_settlements() + control_.pending_reports() > 0;
  });
}

}  // namespace pollenloft
