#include "standin_engine.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pollenloft::standin {

namespace {

using json = nlohmann::json;

constexpr auto heartbeat_period = milliseconds(500);
constexpr auto announce_retry = milliseconds(200);
constexpr auto call_timeout = milliseconds(1000);
constexpr auto leave_bound = std::chrono::seconds(2);
constexpr auto poison_mark = "[crash]";
constexpr double bytes_per_token = 4;

auto reply_json(const exchange_ptr& call, int status, const json& body,
                bool began) -> void {
  http_headers headers;
  headers.add("Content-Type", "application/json");
  if (!began) headers.add("Engine-Began", "no");
  call->reply(status, headers, body.dump() + "\n");
}

auto to_us(duration d) -> double {
  return std::chrono::duration<double, std::micro>(d).count();
}

/// Runs `work` once after `delay`; the timer frees itself.
auto run_later(event_loop& loop, duration delay, task work) -> void {
  auto holder = std::make_shared<timer>();
  *holder = loop.after(delay, [&loop, holder, work = std::move(work)] {
    loop.post([holder] { *holder = timer(); });
    work();
  });
}

}  // namespace

engine::engine(engine_world& world, runner_spec spec, socket_address address)
    : world_(world), spec_(std::move(spec)), address_(std::move(address)) {}

engine::engine(engine_world& world, const plain_spec& spec,
               socket_address address)
    : world_(world),
      spec_{spec.id, spec.pipeline, "cpu",      spec.zone, 0,
            1,       spec.slots,    spec.slots, true},
      plain_(true),
      latency_(spec.latency),
      address_(std::move(address)) {}

auto engine::start() -> std::optional<bool> {
  server_ = std::make_unique<http_server>(
      world_.loop, http_limits{},
      [this](const exchange_ptr& call) { serve(call); });
  if (!server_->listen(address_)) return std::nullopt;
  incarnation_ = wall_clock().count();
  up_ = true;
  frozen_ = false;
  left_at_ = {};
  announce();
  heartbeat_ = world_.loop.every(heartbeat_period, [this] { heartbeat(); });
  return true;
}

auto engine::fault(const std::string& what, double factor) -> bool {
  if (what == "crash") {
    crash();
  } else if (what == "restart") {
    restart();
  } else if (what == "freeze") {
    frozen_ = true;
  } else if (what == "thaw") {
    frozen_ = false;
    run_step();
  } else if (what == "slow") {
    slow_ = factor;
  } else if (what == "late") {
    late_ = milliseconds(static_cast<std::int64_t>(factor));
  } else if (what == "cross") {
    cross_ = factor != 0;
  } else if (what == "leave") {
    left_at_ = boottime_clock::now();
    http_call call{owner_.value_or(world_.entries.front()),
                   "POST",
                   "/endpoints/leave",
                   {},
                   identity(),
                   call_timeout};
    world_.client.send(call, {});
  } else {
    return false;
  }
  return true;
}

// --- announcing ------------------------------------------------------------

auto engine::identity() const -> std::string {
  return json{
      {"id", spec_.id}, {"incarnation", incarnation_}, {"session", session_}}
      .dump();
}

auto engine::announce() -> void {
  if (!up_) return;
  ++session_;
  owner_.reset();
  // The balancer sends the announcement to any entry VM.
  const auto& entry =
      world_.entries[world_.random.below(world_.entries.size())];
  const json body{{"id", spec_.id},
                  {"incarnation", incarnation_},
                  {"session", session_},
                  {"address", address_.text()},
                  {"kind", spec_.kind},
                  {"zone", spec_.zone},
                  {"service", spec_.pipeline},
                  {"first_layer", spec_.first_layer},
                  {"last_layer", spec_.last_layer},
                  {"slots", spec_.slots},
                  {"fencing", spec_.fencing}};
  http_call call{entry, "POST",      "/endpoints/announce",
                 {},    body.dump(), call_timeout};
  const auto session = session_;
  world_.client.send(
      call, {{}, {}, [this, session](const auto& result, auto text) {
               if (session != session_) return;
               const auto answer = json::parse(text, nullptr, false);
               const auto* answered = std::get_if<call_answered>(&result);
               if (answered != nullptr && answered->status == 200 &&
                   answer.is_object()) {
                 owner_ = parse_socket_address(answer.value("owner", ""));
                 return;
               }
               run_later(world_.loop, announce_retry, [this] { announce(); });
             }});
}

auto engine::heartbeat() -> void {
  if (!up_ || frozen_ || !owner_) return;
  http_call call{*owner_,      "POST", "/endpoints/heartbeat", {}, identity(),
                 call_timeout, true};
  const auto session = session_;
  world_.client.send(call, {{}, {}, [this, session](const auto& result, auto) {
                              const auto* answered =
                                  std::get_if<call_answered>(&result);
                              const auto known = answered != nullptr &&
                                                 answered->status == 200;
                              if (known || session != session_ || frozen_)
                                return;
                              if (left_at_ == instant{}) announce();
                            }});
}

// --- crash and restart -----------------------------------------------------

auto engine::crash() -> void {
  if (!up_) return;
  up_ = false;
  owner_.reset();
  heartbeat_ = timer();
  stepper_ = timer();
  stepping_ = false;
  queue_.clear();
  plain_timers_.clear();
  plain_running_ = 0;
  for (const auto& work : std::exchange(active_, {})) {
    if (work->over) continue;
    if (work->stages.front().runner == this) {
      work->call->abort();
    } else {
      const json event{{"error", "stage"},
                       {"r", work->request},
                       {"endpoint", spec_.id},
                       {"crashed", true},
                       {"reason", "the stage crashed"}};
      work->call->chunk("data: " + event.dump() + "\n\n");
      work->call->end();
    }
    end_sequence(work);
  }
  // The server may be running one of its callbacks now.
  world_.loop.post([old = std::shared_ptr<http_server>(std::move(server_))] {});
}

auto engine::restart() -> void {
  crash();
  run_later(world_.loop, milliseconds(50), [this] { start(); });
}

// --- serving ---------------------------------------------------------------

auto engine::serve(const exchange_ptr& call) -> void {
  if (plain_) return run_plain(call);
  if (call->request().path == "/v1/generate") return generate(call);
  reply_json(call, 404, {{"error", "no such resource"}}, false);
}

auto engine::refusal_of(const sequence& work) const
    -> std::optional<std::pair<std::string, std::string>> {
  for (const auto& at : work.stages) {
    if (at.runner == nullptr || !at.runner->up_)
      return std::make_pair(at.runner == nullptr ? "" : at.runner->spec_.id,
                            "down");
    const auto& id = at.runner->spec_.id;
    if (at.runner->incarnation_ != at.incarnation)
      return std::make_pair(id, "incarnation");
    if (at.from < at.runner->spec_.first_layer ||
        at.to > at.runner->spec_.last_layer)
      return std::make_pair(id, "layers");
    if (at.runner->left_at_ != instant{}) return std::make_pair(id, "leaving");
    if (static_cast<std::int32_t>(at.runner->active_.size()) >=
        at.runner->spec_.slots)
      return std::make_pair(id, "full");
  }
  return std::nullopt;
}

auto engine::generate(const exchange_ptr& call) -> void {
  const auto body = json::parse(call->request().body, nullptr, false);
  if (!body.is_object())
    return reply_json(call, 400, {{"error", "not JSON"}}, false);
  auto work = std::make_shared<sequence>();
  const auto attempt = body.value("attempt", 1);
  work->request = body.value("request", "") + "/" + std::to_string(attempt);
  work->prompt = body.value("prompt", "");
  work->prompt_hash = hash64(work->prompt);
  const auto delivered = body.value("delivered", "");
  work->previous = last_digest(delivered);
  work->index = body.value("first_token", 0);
  work->end = body.value("max_tokens", 1);
  work->priority = body.value("priority", 1);
  work->prefill_tokens = static_cast<std::int64_t>(
      static_cast<double>(work->prompt.size() + delivered.size()) /
      bytes_per_token);
  for (const auto& item : body.at("plan")) {
    const auto found = world_.engines.find(item.value("endpoint", ""));
    work->stages.push_back(
        {found == world_.engines.end() ? nullptr : found->second,
         item.value("incarnation", std::int64_t{0}), item.value("from", 0),
         item.value("to", 0)});
  }
  if (const auto refusal = refusal_of(*work))
    return reply_json(
        call, 503, {{"error", refusal->second}, {"endpoint", refusal->first}},
        false);
  if (left_at_ != instant{} && boottime_clock::now() - left_at_ > leave_bound)
    ++world_.record.after_leave;
  ++world_.record.model_runs[work->prompt];
  work->call = call;
  for (const auto& at : work->stages)
    at.runner->active_.insert(work);
  call->closed().connect([this, weak = std::weak_ptr<sequence>(work)] {
    if (auto gone = weak.lock()) end_sequence(gone);
  });
  http_headers headers;
  headers.add("Content-Type", "text/event-stream");
  call->start(200, headers);
  if (work->index >= work->end) {
    send_event(work, loads(*work));
    call->end();
    return end_sequence(work);
  }
  begin_token(work);
}

auto engine::begin_token(const sequence_ptr& work) -> void {
  work->digest = start_digest(work->prompt_hash, work->previous, work->index);
  work->stages.front().runner->enqueue(work, 0);
}

auto engine::end_sequence(const sequence_ptr& work) -> void {
  work->over = true;
  for (const auto& at : work->stages)
    at.runner->active_.erase(work);
}

auto engine::enqueue(const sequence_ptr& work, std::size_t stage) -> void {
  if (work->over || !up_) return;
  const auto at = std::find_if(queue_.begin(), queue_.end(), [&](auto& other) {
    return other.work->priority > work->priority;
  });
  queue_.insert(at, {work, stage});
  if (!stepping_ && !frozen_) run_step();
}

auto engine::layer_time(std::size_t items) const -> duration {
  const auto& kind = world_.layout.kinds.at(spec_.kind);
  return kind.step + static_cast<std::int64_t>(items) * kind.item;
}

/// One step of the continuous batch: all that waits, up to the slots.
auto engine::run_step() -> void {
  if (stepping_ || frozen_ || !up_) return;
  std::vector<item> batch;
  duration time{};
  const auto& kind = world_.layout.kinds.at(spec_.kind);
  while (!queue_.empty() &&
         batch.size() < static_cast<std::size_t>(spec_.batch)) {
    auto next = std::move(queue_.front());
    queue_.pop_front();
    if (next.work->over) continue;
    const auto& at = next.work->stages[next.stage];
    time = std::max<duration>(time, layer_time(0) * (at.to - at.from));
    time += (kind.item + next.work->prefill_tokens * kind.prefill) *
            (at.to - at.from);
    batch.push_back(std::move(next));
  }
  if (batch.empty()) return;
  stepping_ = true;
  time = std::chrono::duration_cast<duration>(time * slow_);
  stepper_ = world_.loop.after(
      time, [this, batch = std::move(batch)] { finish_step(batch); });
}

auto engine::finish_step(const std::vector<item>& batch) -> void {
  stepping_ = false;
  if (frozen_) {  // the frozen step's work waits for the thaw
    for (const auto& done : batch)
      queue_.push_back(done);
    return;
  }
  for (const auto& done : batch)
    if (!done.work->over &&
        done.work->prompt.find(poison_mark) != std::string::npos)
      return crash();
  for (const auto& done : batch) {
    auto& work = *done.work;
    if (work.over) continue;
    const auto& at = work.stages[done.stage];
    for (auto layer = at.from; layer < at.to; ++layer)
      work.digest = fold_layer(work.digest, layer);
    hand_on(done.work, done.stage);
  }
  run_step();
}

auto engine::hand_on(const sequence_ptr& work, std::size_t stage) -> void {
  const auto last = stage + 1 == work->stages.size();
  auto* next = work->stages[last ? 0 : stage + 1].runner;
  const auto& layout = world_.layout;
  const auto link =
      next->spec_.zone == spec_.zone ? layout.zone_link : layout.cross_link;
  run_later(world_.loop, link, [work, stage, last, next] {
    if (work->over) return;
    if (last) return next->emit_token(work);
    next->enqueue(work, stage + 1);
  });
}

auto engine::emit_token(const sequence_ptr& work) -> void {
  if (!up_ || frozen_) return;
  ++world_.record.tokens;
  const json event{{"i", work->index},
                   {"t", token_text(work->digest)},
                   {"r", work->request}};
  send_event(work, event.dump());
  work->previous = work->digest;
  work->prefill_tokens = 0;
  ++work->index;
  if (work->index < work->end) return begin_token(work);
  const auto end = loads(*work);
  end_sequence(work);
  if (late_ == milliseconds(0)) {
    send_event(work, end);
    return work->call->end();
  }
  run_later(world_.loop, late_ + milliseconds(1), [work, end] {
    work->call->chunk("data: " + end + "\n\n");
    work->call->end();
  });
}

auto engine::send_event(const sequence_ptr& work, const std::string& event)
    -> void {
  const auto line = "data: " + event + "\n\n";
  if (cross_ && held_for_ && held_for_ != work) {
    // Two answers crossed: each stream gets the other's event.
    held_for_->call->chunk(line);
    work->call->chunk(held_event_);
    held_for_.reset();
    return;
  }
  if (cross_ && !held_for_ && active_.size() > 1) {
    held_for_ = work;
    held_event_ = line;
    return;
  }
  if (late_ == milliseconds(0)) {
    work->call->chunk(line);
    return;
  }
  run_later(world_.loop, late_, [work, line] { work->call->chunk(line); });
}

auto engine::loads(const sequence& work) const -> std::string {
  auto rows = json::array();
  for (std::size_t i = 0; i < work.stages.size(); ++i) {
    const auto& runner = *work.stages[i].runner;
    const auto& next = *work.stages[(i + 1) % work.stages.size()].runner;
    const auto link = next.spec_.zone == runner.spec_.zone
                          ? world_.layout.zone_link
                          : world_.layout.cross_link;
    const auto batch =
        std::clamp<std::size_t>(runner.active_.size() / work.stages.size(), 1,
                                static_cast<std::size_t>(runner.spec_.batch));
    rows.push_back({{"endpoint", runner.spec_.id},
                    {"running", runner.active_.size()},
                    {"layer_us", to_us(runner.layer_time(batch)) *
                                     runner.slow_ / static_cast<double>(batch)},
                    {"link_us", to_us(link)}});
  }
  return json{
      {"end", "stop"}, {"n", work.index}, {"r", work.request}, {"loads", rows}}
      .dump();
}

// --- plain services --------------------------------------------------------

auto engine::run_plain(const exchange_ptr& call) -> void {
  const auto& request = call->request();
  const auto reply_refused = [&](const char* why) {
    reply_json(call, 503, {{"error", why}, {"endpoint", spec_.id}}, false);
  };
  if (request.headers.find("Pollenloft-Endpoint") != spec_.id)
    return reply_refused("incarnation");
  if (left_at_ != instant{}) return reply_refused("leaving");
  if (plain_running_ >= spec_.slots) return reply_refused("full");
  const auto key =
      request.headers.find("Idempotency-Key").value_or(request.body);
  ++plain_running_;
  ++world_.record.plain_runs[key];
  const auto crash_asked = request.body.find(poison_mark) != std::string::npos;
  const auto incarnation = incarnation_;
  run_later(
      world_.loop, latency_ + late_,
      [this, call, key, crash_asked, incarnation] {
        if (!up_ || incarnation != incarnation_) return call->abort();
        if (frozen_) return;
        if (crash_asked) {
          call->abort();
          return crash();
        }
        --plain_running_;
        http_headers headers;
        headers.add("Content-Type", "application/json");
        call->reply(200, headers, json{{"done", key}, {"by", spec_.id}}.dump());
      });
}

}  // namespace pollenloft::standin
