#include "standin_engine.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pollenloft::standin {

namespace {

using json = nlohmann::json;

constexpr auto heartbeat_interval = milliseconds(500);
constexpr auto announce_retry_delay = milliseconds(200);
constexpr auto call_timeout = milliseconds(1000);
constexpr auto leave_grace_period = std::chrono::seconds(2);
constexpr double ms_per_second = 1000;
constexpr double bytes_per_token = 4;

auto to_us(duration d) -> double {
  return std::chrono::duration<double, std::micro>(d).count();
}

}  // namespace

engine::engine(engine_context& context, runner_spec spec,
               socket_address address)
    : context_(context), spec_(std::move(spec)), address_(std::move(address)) {}

engine::engine(engine_context& context, const plain_endpoint_spec& spec,
               socket_address address)
    : context_(context),
      spec_{spec.id, spec.service, "cpu",      spec.zone, 0,
            1,       spec.slots,   spec.slots, true},
      plain_(true),
      latency_(spec.latency),
      address_(std::move(address)) {}

auto engine::start() -> std::optional<bool> {
  server_ = std::make_unique<http_server>(
      context_.loop, http_limits{},
      [this](const exchange_ptr& call) { handle_request(call); });
  if (!server_->listen(address_)) return std::nullopt;
  incarnation_ = wall_clock().count();
  running_ = true;
  frozen_ = false;
  leave_announced_at_ = {};
  says_leaving_ = false;
  paused_until_ = {};
  announce();
  heartbeat_timer_ =
      context_.loop.every(heartbeat_interval, [this] { heartbeat(); });
  return true;
}

auto engine::inject_fault(const std::string& fault, double factor) -> bool {
  if (fault == "crash") {
    crash();
  } else if (fault == "restart") {
    restart();
  } else if (fault == "freeze") {
    frozen_ = true;
  } else if (fault == "thaw") {
    frozen_ = false;
    start_step();
  } else if (fault == "slow") {
    slowdown_ = factor;
  } else if (fault == "late") {
    response_delay_ = milliseconds(static_cast<std::int64_t>(factor));
  } else if (fault == "limit") {
    request_limit_ = factor;
  } else if (fault == "say-leaving") {
    says_leaving_ = true;
  } else if (fault == "pause") {
    paused_until_ =
        boottime_clock::now() +
        milliseconds(static_cast<std::int64_t>(factor * ms_per_second));
  } else if (fault == "cross") {
    swap_events_ = factor != 0;
  } else if (fault == "leave") {
    leave_announced_at_ = boottime_clock::now();
    http_call call{owner_.value_or(context_.entries.front()),
                   "POST",
                   "/endpoints/leave",
                   {},
                   identity_json(),
                   call_timeout};
    context_.client.send(call, {});
  } else {
    return false;
  }
  return true;
}

// --- registration ----------------------------------------------------------

auto engine::identity_json() const -> std::string {
  return json{
      {"id", spec_.id}, {"incarnation", incarnation_}, {"session", session_}}
      .dump();
}

auto engine::announce() -> void {
  if (!running_) return;
  ++session_;
  owner_.reset();
  // Announcements go through the load balancer, so they reach any entry VM.
  const auto& entry =
      context_.entries[context_.random.below(context_.entries.size())];
  const json body{{"id", spec_.id},
                  {"incarnation", incarnation_},
                  {"session", session_},
                  {"address", address_.text()},
                  {"kind", spec_.kind},
                  {"zone", spec_.zone},
                  {"service", spec_.service},
                  {"first_layer", spec_.first_layer},
                  {"last_layer", spec_.last_layer},
                  {"slots", spec_.slots},
                  {"fencing", spec_.fencing}};
  http_call call{entry, "POST",      "/endpoints/announce",
                 {},    body.dump(), call_timeout};
  const auto session = session_;
  context_.client.send(
      call, {{}, {}, [this, session](const auto& result, auto text) {
               if (session != session_) return;
               const auto answer = json::parse(text, nullptr, false);
               const auto* completed = std::get_if<call_completed>(&result);
               if (completed != nullptr && completed->status == 200 &&
                   answer.is_object()) {
                 owner_ = parse_socket_address(answer.value("owner", ""));
                 return;
               }
               run_later(context_.loop, announce_retry_delay,
                         [this] { announce(); });
             }});
}

auto engine::heartbeat() -> void {
  if (!running_ || frozen_ || !owner_) return;
  http_call call{*owner_, "POST",          "/endpoints/heartbeat",
                 {},      identity_json(), call_timeout,
                 true};
  const auto session = session_;
  context_.client.send(
      call, {{}, {}, [this, session](const auto& result, auto) {
               const auto* completed = std::get_if<call_completed>(&result);
               const auto known =
                   completed != nullptr && completed->status == 200;
               if (known || session != session_ || frozen_) return;
               if (leave_announced_at_ == instant{}) announce();
             }});
}

// --- crash and restart -----------------------------------------------------

auto engine::crash() -> void {
  if (!running_) return;
  running_ = false;
  owner_.reset();
  heartbeat_timer_ = timer();
  step_timer_ = timer();
  step_in_progress_ = false;
  queue_.clear();
  plain_timers_.clear();
  plain_running_ = 0;
  for (const auto& work : std::exchange(active_, {})) {
    if (work->finished) continue;
    if (work->stages.front().runner == this) {
      work->call->abort();
    } else {
      const json event{{"error", "stage"},
                       {"r", work->attempt_id},
                       {"endpoint", spec_.id},
                       {"crashed", true},
                       {"reason", "the stage crashed"}};
      work->call->chunk("data: " + event.dump() + "\n\n");
      work->call->end();
    }
    finish_sequence(work);
  }
  // A callback of the server may be running now: the server is destroyed after
  // it has returned.
  context_.loop.post(
      [old = std::shared_ptr<http_server>(std::move(server_))] {});
}

auto engine::restart() -> void {
  crash();
  run_later(context_.loop, milliseconds(50), [this] { start(); });
}

// --- model requests ---------------------------------------------------------

auto engine::handle_request(const exchange_ptr& call) -> void {
  ++context_.ledger.arrivals[spec_.id];
  if (plain_) return handle_plain(call);
  if (call->request().path == "/v1/generate") return handle_generate(call);
  reply_json(call, 404, {{"error", "no such resource"}}, false);
}

auto engine::find_refusal(const sequence& work) const
    -> std::optional<std::pair<std::string, std::string>> {
  for (const auto& chain_stage : work.stages) {
    if (chain_stage.runner == nullptr || !chain_stage.runner->running_)
      return std::make_pair(
          chain_stage.runner == nullptr ? "" : chain_stage.runner->spec_.id,
          "down");
    const auto& id = chain_stage.runner->spec_.id;
    if (chain_stage.runner->incarnation_ != chain_stage.incarnation)
      return std::make_pair(id, "incarnation");
    if (chain_stage.from < chain_stage.runner->spec_.first_layer ||
        chain_stage.to > chain_stage.runner->spec_.last_layer)
      return std::make_pair(id, "layers");
    if (chain_stage.runner->leave_announced_at_ != instant{})
      return std::make_pair(id, "leaving");
    if (static_cast<std::int32_t>(chain_stage.runner->active_.size()) >=
        chain_stage.runner->spec_.slots)
      return std::make_pair(id, "full");
  }
  return std::nullopt;
}

auto engine::handle_generate(const exchange_ptr& call) -> void {
  const auto body = json::parse(call->request().body, nullptr, false);
  if (!body.is_object())
    return reply_json(call, 400, {{"error", "not JSON"}}, false);
  if (pauses()) return refuse_paused(call, false);
  auto work = std::make_shared<sequence>();
  const auto attempt = body.value("attempt", 1);
  work->attempt_id = body.value("request", "") + "/" + std::to_string(attempt);
  work->prompt = body.value("prompt", "");
  work->prompt_hash = hash64(work->prompt);
  const auto delivered = body.value("delivered", "");
  work->previous_digest = last_digest(delivered);
  work->next_token = body.value("first_token", 0);
  work->max_tokens = body.value("max_tokens", 1);
  work->priority = body.value("priority", 1);
  work->prefill_tokens = static_cast<std::int64_t>(
      static_cast<double>(work->prompt.size() + delivered.size()) /
      bytes_per_token);
  for (const auto& item : body.at("plan")) {
    const auto found = context_.engines.find(item.value("endpoint", ""));
    work->stages.push_back(
        {found == context_.engines.end() ? nullptr : found->second,
         item.value("incarnation", std::int64_t{0}), item.value("from", 0),
         item.value("to", 0)});
  }
  if (const auto refusal = find_refusal(*work))
    return reply_json(
        call, 503, {{"error", refusal->second}, {"endpoint", refusal->first}},
        false);
  if (leave_announced_at_ != instant{} &&
      boottime_clock::now() - leave_announced_at_ > leave_grace_period)
    ++context_.ledger.after_leave;
  ++context_.ledger.model_runs[work->prompt];
  work->call = call;
  for (const auto& chain_stage : work->stages)
    chain_stage.runner->active_.insert(work);
  call->closed().connect([this, weak = std::weak_ptr<sequence>(work)] {
    if (auto cancelled = weak.lock()) finish_sequence(cancelled);
  });
  http_headers headers;
  headers.add("Content-Type", "text/event-stream");
  add_notices(headers, false);
  call->start(200, headers);
  if (work->next_token >= work->max_tokens) {
    send_event(work, end_event(*work));
    call->end();
    return finish_sequence(work);
  }
  start_token(work);
}

auto engine::start_token(const sequence_ptr& work) -> void {
  work->digest = initial_digest(work->prompt_hash, work->previous_digest,
                                work->next_token);
  work->stages.front().runner->enqueue(work, 0);
}

auto engine::finish_sequence(const sequence_ptr& work) -> void {
  work->finished = true;
  for (const auto& chain_stage : work->stages)
    chain_stage.runner->active_.erase(work);
}

auto engine::enqueue(const sequence_ptr& work, std::size_t stage) -> void {
  if (work->finished || !running_) return;
  const auto position = std::find_if(
      queue_.begin(), queue_.end(),
      [&](auto& queued) { return queued.work->priority > work->priority; });
  queue_.insert(position, {work, stage});
  if (!step_in_progress_ && !frozen_) start_step();
}

auto engine::layer_time(std::size_t batch_size) const -> duration {
  const auto& kind = context_.layout.kinds.at(spec_.kind);
  return kind.step_overhead +
         static_cast<std::int64_t>(batch_size) * kind.per_sequence;
}

/// Starts one step of continuous batching with the waiting sequences, up to
/// `max_batch`.
auto engine::start_step() -> void {
  if (step_in_progress_ || frozen_ || !running_) return;
  std::vector<batch_item> batch;
  duration time{};
  const auto& kind = context_.layout.kinds.at(spec_.kind);
  while (!queue_.empty() &&
         batch.size() < static_cast<std::size_t>(spec_.max_batch)) {
    auto next = std::move(queue_.front());
    queue_.pop_front();
    if (next.work->finished) continue;
    const auto& chain_stage = next.work->stages[next.stage];
    time = std::max<duration>(
        time, layer_time(0) * (chain_stage.to - chain_stage.from));
    time += (kind.per_sequence +
             next.work->prefill_tokens * kind.per_prompt_token) *
            (chain_stage.to - chain_stage.from);
    batch.push_back(std::move(next));
  }
  if (batch.empty()) return;
  step_in_progress_ = true;
  time = std::chrono::duration_cast<duration>(time * slowdown_);
  step_timer_ = context_.loop.after(
      time, [this, batch = std::move(batch)] { finish_step(batch); });
}

auto engine::finish_step(const std::vector<batch_item>& batch) -> void {
  step_in_progress_ = false;
  if (frozen_) {  // the step is repeated after `thaw`
    for (const auto& item : batch)
      queue_.push_back(item);
    return;
  }
  for (const auto& item : batch)
    if (!item.work->finished &&
        item.work->prompt.find(crash_marker) != std::string::npos)
      return crash();
  for (const auto& item : batch) {
    auto& work = *item.work;
    if (work.finished) continue;
    const auto& chain_stage = work.stages[item.stage];
    for (auto layer = chain_stage.from; layer < chain_stage.to; ++layer)
      work.digest = fold_layer(work.digest, layer);
    forward(item.work, item.stage);
  }
  start_step();
}

auto engine::forward(const sequence_ptr& work, std::size_t stage) -> void {
  const auto last = stage + 1 == work->stages.size();
  auto* next = work->stages[last ? 0 : stage + 1].runner;
  const auto& layout = context_.layout;
  const auto delay = next->spec_.zone == spec_.zone ? layout.intra_zone_delay
                                                    : layout.cross_zone_delay;
  run_later(context_.loop, delay, [work, stage, last, next] {
    if (work->finished) return;
    if (last) return next->emit_token(work);
    next->enqueue(work, stage + 1);
  });
}

auto engine::emit_token(const sequence_ptr& work) -> void {
  if (!running_ || frozen_) return;
  ++context_.ledger.tokens;
  const json event{{"i", work->next_token},
                   {"t", token_text(work->digest)},
                   {"r", work->attempt_id}};
  send_event(work, event.dump());
  work->previous_digest = work->digest;
  work->prefill_tokens = 0;
  ++work->next_token;
  if (work->next_token < work->max_tokens) return start_token(work);
  const auto last_event = end_event(*work);
  finish_sequence(work);
  if (response_delay_ == milliseconds(0)) {
    send_event(work, last_event);
    return work->call->end();
  }
  run_later(context_.loop, response_delay_ + milliseconds(1),
            [work, last_event] {
              work->call->chunk("data: " + last_event + "\n\n");
              work->call->end();
            });
}

auto engine::send_event(const sequence_ptr& work, const std::string& event)
    -> void {
  const auto line = "data: " + event + "\n\n";
  if (swap_events_ && deferred_sequence_ && deferred_sequence_ != work) {
    // Each of the two streams gets the other's event.
    deferred_sequence_->call->chunk(line);
    work->call->chunk(deferred_event_);
    deferred_sequence_.reset();
    return;
  }
  if (swap_events_ && !deferred_sequence_ && active_.size() > 1) {
    deferred_sequence_ = work;
    deferred_event_ = line;
    return;
  }
  if (response_delay_ == milliseconds(0)) {
    work->call->chunk(line);
    return;
  }
  run_later(context_.loop, response_delay_,
            [work, line] { work->call->chunk(line); });
}

auto engine::end_event(const sequence& work) const -> std::string {
  auto loads = json::array();
  for (std::size_t i = 0; i < work.stages.size(); ++i) {
    const auto& runner = *work.stages[i].runner;
    const auto& next = *work.stages[(i + 1) % work.stages.size()].runner;
    const auto link = next.spec_.zone == runner.spec_.zone
                          ? context_.layout.intra_zone_delay
                          : context_.layout.cross_zone_delay;
    const auto batch = std::clamp<std::size_t>(
        runner.active_.size() / work.stages.size(), 1,
        static_cast<std::size_t>(runner.spec_.max_batch));
    loads.push_back(
        {{"endpoint", runner.spec_.id},
         {"running", runner.active_.size()},
         {"layer_us", to_us(runner.layer_time(batch)) * runner.slowdown_ /
                          static_cast<double>(batch)},
         {"link_us", to_us(link)}});
  }
  return json{{"end", "stop"},
              {"n", work.next_token},
              {"r", work.attempt_id},
              {"loads", loads}}
      .dump();
}

}  // namespace pollenloft::standin
