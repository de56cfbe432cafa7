#include "caller_request.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pollenloft {

namespace {

using json = nlohmann::json;

constexpr auto claim_pause = milliseconds(50);
constexpr std::size_t most_unread = 1 << 20;  // bytes a slow caller may leave
// A stream is taken for stalled after this many predicted token times, but
// never sooner or later than the bounds.
constexpr int stall_factor = 12;
constexpr auto least_stall = milliseconds(400);
constexpr auto most_stall = std::chrono::seconds(2);
constexpr auto first_token_patience = milliseconds(1500);
constexpr auto patience_per_prompt_byte = std::chrono::microseconds(20);
constexpr int plain_stall_divisor = 3;  // of the whole time to the deadline
constexpr double tokens_per_prompt_byte = 0.25;
// Requests that were on a crashed endpoint come back spread over this time, so
// that the one at fault is alone when it takes down the next.
constexpr auto suspect_spread = milliseconds(150);

auto to_ms(duration d) -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(d);
}

auto sse(const json& body) -> std::string {
  return "data: " + body.dump() + "\n\n";
}

auto choice(const std::string& text, const json& finish) -> json {
  return json::array(
      {{{"index", 0}, {"text", text}, {"finish_reason", finish}}});
}

}  // namespace

caller_request::caller_request(request_host& host, exchange_ptr call,
                               request_parameters parameters)
    : host_(host),
      call_(std::move(call)),
      given_(std::move(parameters)),
      life_(host.request_chart(),
            {!given_.idempotent && !given_.key.empty() &&
                 host.switched_off() != "claims",
             given_.idempotent && host.switched_off() != "resume"},
            host.budget()),
      dispatch_id_(host.vm_incarnation() + "/" + std::to_string(given_.id)) {}

auto caller_request::start() -> void {
  auto self = weak_from_this();
  call_->closed().connect([self] {
    if (auto held = self.lock()) held->step(request_event::caller_gone);
  });
  deadline_ =
      host_.loop().after(given_.deadline - boottime_clock::now(), [self] {
        auto held = self.lock();
        if (!held) return;
        held->reason_ = "the deadline has passed";
        held->step(request_event::deadline);
      });
  step(request_event::start);
}

auto caller_request::step(request_event event) -> void {
  auto held = shared_from_this();
  for (auto action : life_.step(event))
    carry_out(action);
}

auto caller_request::refuse(const std::string& reason, milliseconds retry_after)
    -> void {
  reason_ = reason;
  retry_after_ = retry_after;
  step(request_event::refused);
}

auto caller_request::carry_out(request_action action) -> void {
  switch (action) {
    case request_action::claim:
      return make_claim();
    case request_action::claim_later:
      claim_retry_ = host_.loop().after(claim_pause, [self = weak_from_this()] {
        if (auto held = self.lock()) held->step(request_event::claim_again);
      });
      return;
    case request_action::replay:
      return replay();
    case request_action::release:
      return settle(claim_state::open, 0, "");
    case request_action::enqueue:
      return enqueue();
    case request_action::dequeue:
      suspect_delay_ = timer();
      return host_.dequeue(shared_from_this());
    case request_action::dispatch:
      return;  // done by `dispatch`, which took the slot
    case request_action::cancel:
      if (conversation_) conversation_->cancel();
      return free_places(
          stood_still_ ? dispatch_result::stalled : dispatch_result::abandoned,
          "");
    case request_action::end_completed:
      return end(outcome::completed);
    case request_action::end_not_run:
      return end(outcome::not_run);
    case request_action::end_unknown:
      return end(outcome::unknown);
  }
}

auto caller_request::enqueue() -> void {
  if (!suspect_) return host_.enqueue(shared_from_this(), life_.attempt() > 0);
  const auto delay = duration(static_cast<std::int64_t>(
      hash64(dispatch_id_, life_.attempt()) %
      static_cast<std::uint64_t>(duration(suspect_spread).count())));
  suspect_delay_ = host_.loop().after(delay, [self = weak_from_this()] {
    auto held = self.lock();
    if (held && held->queued()) held->host_.enqueue(held, true);
  });
}

// --- claims ----------------------------------------------------------------

auto caller_request::make_claim() -> void {
  wire::claim_record record;
  record.account = given_.account;
  record.key = given_.key;
  record.fingerprint = static_cast<std::int64_t>(given_.fingerprint);
  record.holder = host_.vm_incarnation();
  record.dispatch = dispatch_id_;
  host_.control().claim(record, given_.deadline - boottime_clock::now(),
                        [self = weak_from_this()](const auto& reply) {
                          if (auto held = self.lock()) held->take_claim(reply);
                        });
}

auto caller_request::take_claim(const std::optional<wire::claim_reply>& reply)
    -> void {
  if (!reply) return;  // the deadline ends the request
  switch (static_cast<claim_answer>(reply->answer)) {
    case claim_answer::granted:
      return step(request_event::claim_granted);
    case claim_answer::open:
      return step(request_event::claim_held);
    case claim_answer::settled:
      settled_ = reply->record;
      return step(request_event::claim_settled);
    case claim_answer::mismatch:
      reason_ = "the Idempotency-Key was used for another request";
      failure_status_ = 422;
      return step(request_event::claim_refused);
    default:
      reason_ = "too many requests are being claimed";
      return step(request_event::claim_refused);
  }
}

auto caller_request::settle(claim_state state, int status,
                            const std::string& body) -> void {
  if (given_.idempotent || given_.key.empty()) return;
  wire::settle_command command;
  command.account = given_.account;
  command.key = given_.key;
  command.dispatch = dispatch_id_;
  command.state = static_cast<std::int8_t>(state);
  command.status = status;
  command.body = body;
  host_.control().settle(command);
}

/// Gives the recorded outcome of the first dispatch to a resend.
auto caller_request::replay() -> void {
  const auto completed =
      settled_->state == static_cast<std::int8_t>(claim_state::completed);
  auto headers =
      reply_headers(completed ? outcome::completed : outcome::unknown);
  headers.add("Pollenloft-Replayed", "yes");
  const auto& body = settled_->body;
  const auto split = body.find('\n');
  if (completed && split != std::string::npos) {
    headers.add("Content-Type", body.substr(0, split));
    call_->reply(settled_->status, headers, body.substr(split + 1));
  } else if (completed) {
    headers.add("Pollenloft-Body", "not-kept");
    call_->reply(settled_->status, headers, "");
  } else {
    call_->reply(502, headers, "It is unknown whether the request ran.\n");
  }
  host_.request_ended(shared_from_this());
}

// --- dispatch --------------------------------------------------------------

auto caller_request::chain_wanted() const -> chain_request {
  chain_request wanted;
  wanted.pipeline = given_.service_name;
  if (const auto* model = std::get_if<model_pipeline>(&given_.target->kind))
    wanted.layers = model->layers;
  wanted.poison_suspect = suspect_;
  wanted.avoid = &avoid_;
  return wanted;
}

auto caller_request::cost() const -> double {
  if (std::holds_alternative<plain_service>(given_.target->kind)) return 1;
  return static_cast<double>(given_.max_tokens - tokens_) +
         tokens_per_prompt_byte * static_cast<double>(given_.prompt.size());
}

auto caller_request::dispatch(chain stages) -> void {
  step(request_event::slot);
  stages_ = std::move(stages);
  host_.routes().dispatch_started(stages_, suspect_, 0, boottime_clock::now());
  placed_ = true;
  plan_whole_ = false;
  attempt_first_token_ = tokens_;
  reader_ = event_reader(host_.switched_off() == "tags"
                             ? ""
                             : event_tag(dispatch_id_, life_.attempt()));
  if (life_.attempt() == 1)
    host_.metrics_registry().observe("pollenloft_queue_seconds",
                                     boottime_clock::now() - given_.arrived);
  if (std::holds_alternative<model_pipeline>(given_.target->kind))
    return dispatch_model();
  dispatch_plain();
}

auto caller_request::dispatch_model() -> void {
  generate_call call;
  call.request = dispatch_id_;
  call.attempt = life_.attempt();
  call.prompt = given_.prompt;
  call.delivered = answer_;
  call.first_token = tokens_;
  call.max_tokens = given_.max_tokens;
  // Within its priority an account above its share comes last at the engines.
  call.priority =
      2 * given_.priority + (host_.over_share(given_.account) ? 1 : 0);
  call.deadline = to_ms(given_.deadline - boottime_clock::now());
  call.stages = stages_;
  auto made = make_generate_call(call);
  made.timeout = given_.deadline - boottime_clock::now() +
                 std::chrono::seconds(1);  // the deadline itself ends it
  const auto attempt = life_.attempt();
  auto self = weak_from_this();
  conversation_ = host_.client().send(
      made, {{},
             [self, attempt](auto bytes) {
               if (auto held = self.lock())
                 held->take_engine_data(attempt, bytes);
             },
             [self, attempt](const auto& result, auto body) {
               if (auto held = self.lock())
                 held->take_model_done(attempt, result, body);
             }});
  arm_stall_timer();
}

auto caller_request::take_engine_data(std::size_t attempt,
                                      std::string_view bytes) -> void {
  // A late answer of a fenced attempt is dropped.
  if (attempt != life_.attempt() || !placed_) return;
  for (const auto& event : reader_.feed(bytes)) {
    std::visit(
        overloaded{[this](const token_event& token) { take_token(token); },
                   [this](const end_event& end) { take_end(end); },
                   [this](const stage_failure& failure) {
                     take_stage_failure(failure);
                   }},
        event);
    if (attempt != life_.attempt() || !placed_ || ended()) return;
  }
}

auto caller_request::take_token(const token_event& token) -> void {
  if (token.index < tokens_) return;
  if (token.index > tokens_)
    return take_stage_failure(
        {stages_.front().endpoint->id, "a token is missing"});
  const auto now = boottime_clock::now();
  if (tokens_ == 0)
    host_.metrics_registry().observe("pollenloft_first_token_seconds",
                                     now - given_.arrived);
  else
    host_.metrics_registry().observe("pollenloft_token_gap_seconds",
                                     now - last_token_);
  last_token_ = now;
  if (life_.state() == "dispatched") step(request_event::began);
  ++tokens_;
  answer_ += token.text;
  if (given_.stream) stream_token(token);
  arm_stall_timer();
}

auto caller_request::take_end(const end_event& end) -> void {
  if (end.tokens != tokens_)
    return take_stage_failure(
        {stages_.front().endpoint->id, "tokens are missing at the end"});
  host_.routes().learn(end.loads, stages_, boottime_clock::now());
  plan_whole_ = true;
  if (conversation_) conversation_->cancel();
  free_places(dispatch_result::served, "");
  step(request_event::completed);
}

auto caller_request::take_stage_failure(const stage_failure& failure) -> void {
  if (conversation_) conversation_->cancel();
  attempt_failed(failure.endpoint, failure.crashed,
                 {"engine.stream", failure.endpoint, failure.reason});
}

auto caller_request::take_model_done(std::size_t attempt,
                                     const call_result& result,
                                     std::string_view body) -> void {
  if (attempt != life_.attempt() || !placed_) return;
  const auto& head = stages_.front().endpoint->id;
  std::visit(
      overloaded{
          [&](const call_completed& answered) {
            if (answered.status == 503) return take_refusal(body);
            if (answered.status == 200) take_engine_data(attempt, body);
            if (plan_whole_ || !placed_ || attempt != life_.attempt()) return;
            attempt_failed(head, false,
                           {"engine.call", head,
                            "answer " + std::to_string(answered.status) +
                                " without an end"});
          },
          [this](const call_unsent& unsent) { take_unanswered(unsent); },
          [this](const call_interrupted& broken) { take_unanswered(broken); }},
      result);
}

/// The connection was never made: nothing ran.
auto caller_request::take_unanswered(const call_unsent& unsent) -> void {
  const auto endpoint = stages_.front().endpoint->id;
  log_failure("endpoint.unreachable", unsent.cause);
  avoid_.insert(endpoint);
  free_places(dispatch_result::down, endpoint);
  step(request_event::not_run);
}

/// The call may have reached the endpoint.
auto caller_request::take_unanswered(const call_interrupted& broken) -> void {
  attempt_failed(stages_.front().endpoint->id,
                 broken.cause.reason == "connection closed", broken.cause);
}

auto caller_request::take_refusal(std::string_view body) -> void {
  const auto refusal = parse_refusal(body);
  reason_ = "the endpoints are busy";
  const auto full = refusal.reason == "full";
  free_places(full ? dispatch_result::refused : dispatch_result::down,
              refusal.endpoint);
  if (full) return step(request_event::busy);
  avoid_.insert(refusal.endpoint);
  step(request_event::not_run);
}

auto caller_request::dispatch_plain() -> void {
  const auto& request = call_->request();
  http_call made;
  made.peer = stages_.front().endpoint->address;
  made.method = request.method;
  const auto prefix = std::string("/services/") + given_.service_name;
  made.target =
      request.target.substr(std::min(prefix.size(), request.target.size()));
  if (made.target.empty() || made.target[0] != '/')
    made.target = "/" + made.target;
  if (const auto type = request.headers.find("Content-Type"))
    made.headers.add("Content-Type", *type);
  if (!given_.key.empty()) made.headers.add("Idempotency-Key", given_.key);
  made.headers.add("Pollenloft-Request", dispatch_id_);
  made.headers.add("Pollenloft-Endpoint", stages_.front().endpoint->id);
  made.body = request.body;
  made.timeout =
      given_.deadline - boottime_clock::now() + std::chrono::seconds(1);
  const auto attempt = life_.attempt();
  auto self = weak_from_this();
  conversation_ = host_.client().send(
      made, {[self, attempt](int status, const auto& headers) {
               auto held = self.lock();
               if (!held || attempt != held->life_.attempt()) return;
               held->plain_status_ = status;
               held->plain_type_ = headers.find("Content-Type").value_or("");
               if (status == 503 && headers.find(engine_began_header) == "no")
                 held->plain_status_ = 0;
             },
             {},
             [self, attempt](const auto& result, auto body) {
               if (auto held = self.lock())
                 held->take_plain_done(attempt, result, body);
             }});
  if (given_.idempotent) arm_stall_timer();
}

auto caller_request::take_plain_done(std::size_t attempt,
                                     const call_result& result,
                                     std::string_view body) -> void {
  if (attempt != life_.attempt() || !placed_) return;
  std::visit(
      overloaded{
          [&](const call_completed& /*answered*/) {
            if (plain_status_ == 0) return take_refusal(body);
            answer_ = body;
            free_places(dispatch_result::served, "");
            step(request_event::completed);
          },
          [this](const call_unsent& unsent) { take_unanswered(unsent); },
          [this](const call_interrupted& broken) { take_unanswered(broken); }},
      result);
}

/// A dispatch broke off and may have run.
auto caller_request::attempt_failed(const std::string& endpoint, bool crashed,
                                    const error& cause) -> void {
  log_failure("attempt.failed", cause);
  host_.metrics_registry().add("pollenloft_attempts_failed_total");
  reason_ = "an endpoint failed while running the request";
  avoid_.insert(endpoint);
  free_places(crashed ? dispatch_result::down : dispatch_result::failed,
              endpoint);
  if (crashed) {
    suspect_ = true;
    const auto points = tokens_ > attempt_first_token_
                            ? crash_points_after_first_token
                            : crash_points_before_first_token;
    if (host_.switched_off() != "blame") life_.add_crash_points(points);
    host_.control().blame(given_.fingerprint, endpoint, points);
  }
  step(request_event::broken);
}

auto caller_request::free_places(dispatch_result result,
                                 const std::string& at_fault) -> void {
  stall_ = timer();
  if (!placed_) return;
  placed_ = false;
  host_.routes().dispatch_ended(stages_, suspect_, result, at_fault,
                                boottime_clock::now());
  const auto done =
      result == dispatch_result::served
          ? static_cast<double>(std::max<std::int64_t>(tokens_, 1))
          : 0.0;
  host_.slot_released(shared_from_this(), done);
}

auto caller_request::stall_patience() const -> duration {
  if (std::holds_alternative<plain_service>(given_.target->kind))
    return (given_.deadline - given_.arrived) / plain_stall_divisor;
  const auto waits_for_first = life_.state() == "dispatched";
  if (waits_for_first)
    return first_token_patience +
           patience_per_prompt_byte *
               static_cast<std::int64_t>(given_.prompt.size());
  return std::clamp<duration>(stall_factor * host_.routes().token_time(stages_),
                              least_stall, most_stall);
}

auto caller_request::arm_stall_timer() -> void {
  stall_ = host_.loop().after(stall_patience(), [self = weak_from_this()] {
    if (auto held = self.lock()) held->stalled();
  });
}

auto caller_request::stalled() -> void {
  const auto stages = stages_;
  stood_still_ = true;
  step(request_event::stalled);
  stood_still_ = false;
  if (placed_) return;  // it may not run again, so this dispatch goes on
  log_event(log_level::warning, "attempt.stalled",
            {{"id", dispatch_id_},
             {"attempt", life_.attempt()},
             {"endpoint", stages.front().endpoint->id},
             {"tokens", tokens_}});
  host_.metrics_registry().add("pollenloft_stalls_total");
  for (const auto& stage : stages)
    avoid_.insert(stage.endpoint->id);
}

// --- answers ---------------------------------------------------------------

auto caller_request::reply_headers(outcome result) const -> http_headers {
  http_headers headers;
  headers.add("Pollenloft-Outcome", outcome_name(result));
  headers.add("Pollenloft-Request", dispatch_id_);
  headers.add("Pollenloft-VM", host_.vm_name());
  return headers;
}

auto caller_request::stream_token(const token_event& token) -> void {
  if (!call_->started()) {
    auto headers = http_headers();
    headers.add("Content-Type", "text/event-stream");
    headers.add("Pollenloft-Request", dispatch_id_);
    headers.add("Pollenloft-VM", host_.vm_name());
    call_->start(200, headers);
  }
  const json body{{"id", dispatch_id_},
                  {"object", "text_completion"},
                  {"choices", choice(token.text, nullptr)}};
  if (call_->chunk(sse(body)) <= most_unread) return;
  log_event(log_level::warning, "caller.too_slow",
            {{"peer", call_->request().peer}});
  call_->abort();
  step(request_event::caller_gone);
}

auto caller_request::end(outcome result) -> void {
  host_.metrics_registry().add(
      "pollenloft_requests_total",
      std::string("outcome=\"") + outcome_name(result) + "\"");
  if (result == outcome::completed)
    reply_completed();
  else
    reply_failure(result);
  log_end(result);
  deadline_ = timer();
  stall_ = timer();
  host_.request_ended(shared_from_this());
}

auto caller_request::log_end(outcome result) const -> void {
  const auto usual = result == outcome::completed;
  const auto now = boottime_clock::now();
  log_event(usual ? log_level::debug : log_level::info, "request.ended",
            {{"id", dispatch_id_},
             {"account", given_.account},
             {"service", given_.service_name},
             {"outcome", outcome_name(result)},
             {"state", life_.state()},
             {"attempts", life_.attempt()},
             {"tokens", tokens_},
             {"took_ms", to_ms(now - given_.arrived).count()},
             {"left_ms", to_ms(given_.deadline - now).count()},
             {"reason", usual ? "" : reason_}});
}

auto caller_request::reply_completed() -> void {
  if (std::holds_alternative<plain_service>(given_.target->kind)) {
    auto headers = reply_headers(outcome::completed);
    const auto type = plain_type_.empty() ? "text/plain" : plain_type_;
    headers.add("Content-Type", type);
    call_->reply(plain_status_, headers, answer_);
    return settle(claim_state::completed, plain_status_, type + "\n" + answer_);
  }
  const json usage{{"completion_tokens", tokens_}};
  if (call_->started()) {
    call_->chunk(sse({{"id", dispatch_id_},
                      {"object", "text_completion"},
                      {"choices", choice("", "stop")},
                      {"usage", usage},
                      {"pollenloft_outcome", "completed"}}) +
                 "data: [DONE]\n\n");
    call_->end();
    return settle(claim_state::completed, 200, "");
  }
  const auto body = json{
      {"id", dispatch_id_},
      {"object", "text_completion"},
      {"model", given_.service_name},
      {"choices", choice(answer_, "stop")},
      {"usage", usage}}.dump();
  auto headers = reply_headers(outcome::completed);
  headers.add("Content-Type", "application/json");
  call_->reply(200, headers, body);
  settle(claim_state::completed, 200, "application/json\n" + body);
}

auto caller_request::reply_failure(outcome result) -> void {
  if (result == outcome::unknown) settle(claim_state::unknown, 502, "");
  const json body{{"error", {{"message", reason_}}},
                  {"pollenloft_outcome", outcome_name(result)}};
  if (call_->started()) {
    call_->chunk(sse(body));
    return call_->end();
  }
  auto headers = reply_headers(result);
  headers.add("Content-Type", "application/json");
  if (result == outcome::not_run) {
    const auto whole = std::chrono::ceil<std::chrono::seconds>(retry_after_);
    headers.add("Retry-After", std::to_string(whole.count()));
    headers.add("Pollenloft-Retry-After-Ms",
                std::to_string(retry_after_.count()));
  }
  const auto usual = result == outcome::not_run ? 503 : 502;
  call_->reply(failure_status_.value_or(usual), headers, body.dump() + "\n");
}

}  // namespace pollenloft
