#include "front_request.hpp"

namespace pollenloft {

namespace {

/// Endpoints are a fraction of a millisecond away; a connection that takes
/// this long is not going to be made.
constexpr auto connect_patience = milliseconds(400);
/// A runner cuts off work that depends on a dead one by itself; a stream that
/// pauses this long is resumed sooner.
constexpr auto first_event_patience = milliseconds(1800);
constexpr auto event_patience = milliseconds(1500);
/// An answer of a plain endpoint that may be asked again is waited for this
/// many times its objective.
constexpr int plain_patience_factor = 3;
constexpr auto least_plain_patience = milliseconds(300);
/// Unread bytes of a slow caller after which the stream is given up.
constexpr std::size_t most_unread = 1024 * 1024;
constexpr std::size_t most_event_bytes = 1024 * 1024;
/// Callers leave a stream that pauses for two seconds; the time until a loss is
/// noticed and until new stages have read the tokens comes off that.
constexpr auto mend_patience = milliseconds(900);
constexpr auto mend_pause = milliseconds(100);
/// Other requests earn retries many times a second on a VM in use.
constexpr auto budget_pause = milliseconds(50);
constexpr double bytes_per_mb = 1e6;
constexpr std::int32_t most_urgency = 9;
/// Refusals for want of room come at once.
constexpr auto slow_refusal = milliseconds(500);

auto to_ms(duration d) -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(d);
}

}  // namespace

front_request::front_request(front_host& host, exchange_ptr call,
                             front_parameters given, const chart& plan,
                             retry_budget& budget)
    : host_(host),
      call_(std::move(call)),
      given_(std::move(given)),
      budget_(budget),
      life_(plan,
            request_traits{false, given_.route->may_repeat(),
                           given_.route->max_attempts},
            budget),
      last_event_(given_.headers.last_event_id) {}

auto front_request::start() -> void {
  auto self = weak_from_this();
  call_->closed().connect([self] {
    if (auto held = self.lock()) held->step(request_event::caller_gone);
  });
  deadline_ = host_.loop().after(time_left(), [self] {
    auto held = self.lock();
    if (!held) return;
    held->reason_ = "the time for the request ran out";
    held->step(request_event::deadline);
  });
  step(request_event::start);
}

auto front_request::time_left() const -> duration {
  return given_.deadline - boottime_clock::now();
}

auto front_request::step(request_event event) -> void {
  auto self = shared_from_this();
  for (auto action : life_.step(event))
    carry_out(action);
}

auto front_request::carry_out(request_action action) -> void {
  switch (action) {
    case request_action::enqueue:
      return host_.enqueue(shared_from_this(), life_.attempt() > 0);
    case request_action::dequeue:
      return host_.dequeue(shared_from_this());
    case request_action::cancel:
      if (conversation_) conversation_->cancel();
      return free_places(dispatch_result::abandoned, "");
    case request_action::end_completed:
      return end(outcome::completed);
    case request_action::end_not_run:
      return end(outcome::not_run);
    case request_action::end_unknown:
      return end(outcome::unknown);
    default:  // claims and dispatches are carried out elsewhere
      return;
  }
}

auto front_request::chain_wanted() const -> chain_request {
  chain_request wanted;
  wanted.pipeline = given_.service;
  if (given_.engine != nullptr) {
    wanted.layers = given_.engine->layers;
    wanted.cross_zone_mb =
        cost() * given_.engine->activation_bytes_per_token / bytes_per_mb;
  }
  wanted.tokens = tokens();
  wanted.poison_suspect = suspect_;
  wanted.avoid = &avoid_;
  return wanted;
}

auto front_request::cost() const -> double {
  if (given_.engine == nullptr) return 1;
  const auto& headers = given_.headers;
  const auto output = headers.estimated_output_tokens > 0
                          ? headers.estimated_output_tokens
                          : headers.max_output_tokens;
  return static_cast<double>(headers.prompt_tokens + output + 1);
}

auto front_request::tokens() const -> double {
  return given_.engine == nullptr ? 0 : cost();
}

// --- dispatch ----------------------------------------------------------------

auto front_request::make_call() const -> http_call {
  const auto& request = call_->request();
  platform::dispatch_headers own;
  own.deadline = to_ms(time_left());
  own.endpoint_id = stages_.front().endpoint->id;
  own.account = given_.account;
  own.last_event_id = last_event_;
  own.priority = std::clamp(given_.priority, 0, most_urgency);
  if (given_.engine != nullptr) own.stages = &stages_;
  http_call made;
  made.peer = stages_.front().endpoint->address;
  made.method = request.method;
  made.target = request.target;
  made.headers = platform::encode_dispatch(request.headers, own);
  made.body = request.body;
  made.timeout = time_left() + std::chrono::seconds(1);
  made.connect_timeout = connect_patience;
  return made;
}

auto front_request::dispatch(chain stages) -> void {
  step(request_event::slot);
  stages_ = std::move(stages);
  host_.routes().dispatch_started(stages_, suspect_, tokens(),
                                  boottime_clock::now());
  placed_ = true;
  answer_ = {};
  head_ = {};
  pending_.clear();
  dispatched_ = boottime_clock::now();
  const auto attempt = life_.attempt();
  if (attempt == 1)
    host_.metrics_registry().observe("pollenloft_queue_seconds",
                                     boottime_clock::now() - given_.arrived);
  log_event(log_level::debug, "request.dispatched",
            {{"id", given_.headers.request_id},
             {"attempt", attempt},
             {"endpoint", stages_.front().endpoint->id},
             {"stages", stages_.size()},
             {"left_ms", to_ms(time_left()).count()}});
  auto self = weak_from_this();
  call_handlers handlers;
  handlers.on_head = [self, attempt](int status, const auto& headers) {
    if (auto held = self.lock()) held->take_head(attempt, status, headers);
  };
  if (streams())
    handlers.on_data = [self, attempt](auto bytes) {
      if (auto held = self.lock()) held->take_data(attempt, bytes);
    };
  handlers.on_done = [self, attempt](const auto& result, auto body) {
    if (auto held = self.lock()) held->take_done(attempt, result, body);
  };
  conversation_ = host_.client().send(make_call(), std::move(handlers));
  arm_stall_timer();
}

auto front_request::take_head(std::size_t attempt, int status,
                              const http_headers& headers) -> void {
  if (attempt != life_.attempt() || !placed_) return;
  answer_.status = status;
  answer_.headers = platform::encode_response_headers(headers);
  head_ = platform::decode_response_head(status, headers);
}

auto front_request::take_data(std::size_t attempt, std::string_view bytes)
    -> void {
  if (attempt != life_.attempt() || !placed_) return;
  pending_ += bytes;
  if (pending_.size() > most_event_bytes)
    return attempt_failed(
        {"answer.event", stages_.front().endpoint->id, "an event is too long"});
  take_events();
}

/// Passes on events that are whole; one that breaks off is made again by
/// whoever resumes the stream.
auto front_request::take_events() -> void {
  std::string whole;
  auto gap = false;
  for (auto end = pending_.find("\n\n"); !gap && end != std::string::npos;
       end = pending_.find("\n\n")) {
    const auto event = pending_.substr(0, end + 2);
    pending_.erase(0, end + 2);
    const auto id = platform::parse_event_id(event);
    if (id && last_event_ && *id <= *last_event_) continue;
    gap = id && last_event_ && *id > *last_event_ + 1;
    if (gap) break;
    if (id) last_event_ = id;
    ++events_;
    whole += event;
  }
  if (!whole.empty()) pass_on(whole);
  if (gap && placed_)
    attempt_failed(
        {"answer.event", stages_.front().endpoint->id, "an event is missing"});
}

auto front_request::pass_on(const std::string& events) -> void {
  if (life_.state() == "dispatched") step(request_event::began);
  if (!call_->started()) {
    host_.metrics_registry().observe("pollenloft_first_event_seconds",
                                     boottime_clock::now() - given_.arrived);
    auto headers = answer_.headers;
    if (host_.draining()) headers.add("Connection", "close");
    call_->start(answer_.status, headers);
  }
  arm_stall_timer();
  if (call_->chunk(events) <= most_unread) return;
  log_event(log_level::warning, "caller.too_slow",
            {{"id", given_.headers.request_id}});
  call_->abort();
  step(request_event::caller_gone);
}

auto front_request::take_done(std::size_t attempt, const call_result& result,
                              std::string_view body) -> void {
  if (attempt != life_.attempt() || !placed_) return;
  std::visit(
      overloaded{
          [&](const call_answered&) { take_answer(body); },
          [this](const call_unsent& unsent) { take_unsent(unsent.cause); },
          [this](const call_broken& broken) { attempt_failed(broken.cause); }},
      result);
}

auto front_request::take_answer(std::string_view body) -> void {
  const auto& own_id = given_.headers.request_id;
  if (!head_.request_id.empty() && head_.request_id != own_id)
    return attempt_failed({"answer.head", stages_.front().endpoint->id,
                           "the answer is for another request"});
  if (head_.not_run) return take_refusal();
  answer_.body = body;
  const auto failed = answer_.status >= 500;
  if (failed && given_.route->may_repeat() && !call_->started()) {
    failure_ = answer_;
    return attempt_failed({"answer.status", stages_.front().endpoint->id,
                           std::to_string(answer_.status)});
  }
  if (streams() && answer_.status == 200 && !pending_.empty())
    return attempt_failed({"answer.event", stages_.front().endpoint->id,
                           "the last event is not whole"});
  free_places(dispatch_result::served, "");
  step(request_event::completed);
}

auto front_request::endpoint_at(const std::string& address) const
    -> std::string {
  for (const auto& stage : stages_)
    if (stage.endpoint->address.text() == address) return stage.endpoint->id;
  return stages_.front().endpoint->id;
}

/// The endpoint proves that nothing ran.
auto front_request::take_refusal() -> void {
  const auto at_fault = endpoint_at(head_.failed_address);
  reason_ = "the endpoints have no place";
  avoid_.insert(at_fault);
  // A runner that does not hold its part, or whose refusal took as long as a
  // dead neighbour's silence, is left alone; one without room comes back soon.
  const auto slow = boottime_clock::now() - dispatched_ > slow_refusal;
  const auto full = (answer_.status == 503 || answer_.status == 429) && !slow;
  log_event(log_level::info, "request.refused_by_endpoint",
            {{"id", given_.headers.request_id},
             {"attempt", life_.attempt()},
             {"endpoint", at_fault},
             {"status", answer_.status}});
  free_places(full ? dispatch_result::refused : dispatch_result::down,
              at_fault);
  go_on(request_event::not_run);
}

/// A stream under way that finds the retry budget used up waits for it: its
/// caller leaves when the pause gets too long, and would lose it at once if
/// the stream were cut here.
auto front_request::go_on(request_event event) -> void {
  if (call_->started() && !budget_.available()) {
    log_event(log_level::debug, "retry.waits",
              {{"id", given_.headers.request_id},
               {"attempt", life_.attempt()},
               {"events", events_}});
    budget_wait_ =
        host_.loop().after(budget_pause, [self = weak_from_this(), event] {
          if (auto held = self.lock()) held->go_on(event);
        });
    return;
  }
  // A stream that is to go on elsewhere is cut if it may not be sent again, so
  // a refusal that ran nothing uses up budget but no attempt.
  const auto resuming = event == request_event::not_run && !life_.untouched();
  if (resuming && budget_.try_withdraw()) return step(request_event::busy);
  step(event);
}

/// The connection was never made: this uses up no attempt.
auto front_request::take_unsent(const error& cause) -> void {
  const auto endpoint = stages_.front().endpoint->id;
  log_failure("endpoint.unreachable", cause);
  reason_ = "the endpoints are not reached";
  avoid_.insert(endpoint);
  free_places(dispatch_result::down, endpoint);
  step(request_event::busy);
}

/// The dispatch broke off and may have run.
auto front_request::attempt_failed(const error& cause) -> void {
  if (conversation_) conversation_->cancel();
  const auto endpoint = stages_.front().endpoint->id;
  log_event(log_level::warning, "attempt.failed",
            {{"id", given_.headers.request_id},
             {"attempt", life_.attempt()},
             {"endpoint", endpoint},
             {"events", events_},
             {"step", cause.step},
             {"reason", cause.reason}});
  host_.metrics_registry().add("pollenloft_attempts_failed_total");
  reason_ = "an endpoint failed while running the request";
  // Any stage of a chain may be at fault; the head only passes it on.
  if (stages_.size() == 1) avoid_.insert(endpoint);
  free_places(dispatch_result::failed, endpoint);
  go_on(request_event::broken);
}

auto front_request::free_places(dispatch_result result,
                                const std::string& at_fault) -> void {
  stall_ = timer();
  mend_ = timer();
  if (!placed_) return;
  placed_ = false;
  host_.routes().dispatch_ended(stages_, suspect_, result, at_fault,
                                boottime_clock::now());
  host_.slot_released(shared_from_this(),
                      result == dispatch_result::served ? cost() : 0);
}

auto front_request::stall_patience() const -> duration {
  if (!streams())
    return std::max<duration>(
        least_plain_patience,
        plain_patience_factor * given_.route->latency_objective);
  return life_.state() == "streaming" ? duration(event_patience)
                                      : duration(first_event_patience);
}

auto front_request::arm_stall_timer() -> void {
  if (!given_.route->may_repeat()) return;
  stall_ = host_.loop().after(stall_patience(), [self = weak_from_this()] {
    if (auto held = self.lock()) held->stalled();
  });
}

auto front_request::endpoint_lost(const std::string& id) -> void {
  const auto affected =
      placed_ &&
      std::any_of(stages_.begin(), stages_.end(),
                  [&](const auto& stage) { return stage.endpoint->id == id; });
  if (!affected || !given_.route->may_repeat()) return;
  avoid_.insert(id);
  mend_or_leave(id, boottime_clock::now() + mend_patience);
}

/// The lost layers are being loaded elsewhere in the zone: waiting for them
/// costs less than to read prompt and answer anew on another chain.
auto front_request::mend_or_leave(const std::string& lost, instant until)
    -> void {
  if (!placed_ || mend_chain(lost)) return;
  const auto can_wait = given_.engine != nullptr && events_ > 0 &&
                        stages_.front().endpoint->id != lost &&
                        boottime_clock::now() < until;
  if (!can_wait) return stalled();
  const auto attempt = life_.attempt();
  mend_ = host_.loop().after(mend_pause,
                             [self = weak_from_this(), lost, until, attempt] {
                               auto held = self.lock();
                               if (held && held->life_.attempt() == attempt)
                                 held->mend_or_leave(lost, until);
                             });
}

/// The runner at the head keeps the request; the new stages read the tokens so
/// far, the other ones keep their memory.
auto front_request::mend_chain(const std::string& lost) -> bool {
  if (given_.engine == nullptr || stages_.front().endpoint->id == lost)
    return false;
  auto mended = host_.routes().replace_stage(stages_, lost, chain_wanted(),
                                             boottime_clock::now());
  if (!mended) return false;
  host_.routes().dispatch_ended(stages_, suspect_, dispatch_result::abandoned,
                                "", boottime_clock::now());
  stages_ = std::move(*mended);
  host_.routes().dispatch_started(stages_, suspect_, tokens(),
                                  boottime_clock::now());
  log_event(log_level::info, "chain.mended",
            {{"id", given_.headers.request_id},
             {"lost", lost},
             {"stages", stages_.size()},
             {"events", events_}});
  host_.metrics_registry().add("pollenloft_chains_mended_total");
  arm_stall_timer();
  host_.client().send(
      platform::encode_chain_update(given_.headers.request_id, stages_),
      {{},
       {},
       [self = weak_from_this(), attempt = life_.attempt()](const auto& result,
                                                            auto /*body*/) {
         if (auto held = self.lock()) held->take_chain_order(attempt, result);
       }});
  return true;
}

auto front_request::take_chain_order(std::size_t attempt,
                                     const call_result& result) -> void {
  if (attempt != life_.attempt() || !placed_) return;
  const auto* answered = std::get_if<call_answered>(&result);
  const auto status = answered == nullptr ? 0 : answered->status;
  const auto order = platform::decode_command_result(status);
  if (order == platform::command_result::accepted ||
      order == platform::command_result::already_applied)
    return;
  log_event(log_level::info, "chain.not_mended",
            {{"id", given_.headers.request_id}, {"status", status}});
  stalled();
}

auto front_request::stalled() -> void {
  const auto stages = stages_;
  step(request_event::stalled);
  if (placed_) return;  // it may not run again, so this dispatch goes on
  for (const auto& stage : stages)
    avoid_.insert(stage.endpoint->id);
  host_.metrics_registry().add("pollenloft_stalls_total");
  log_event(log_level::warning, "attempt.stalled",
            {{"id", given_.headers.request_id},
             {"attempt", life_.attempt()},
             {"endpoint", stages.front().endpoint->id},
             {"events", events_}});
}

// --- answers -----------------------------------------------------------------

auto front_request::refuse(int status, const std::string& reason,
                           milliseconds retry_after) -> void {
  own_status_ = status;
  reason_ = reason;
  retry_after_ = retry_after;
  step(request_event::refused);
}

auto front_request::reply_kept(const kept_answer& answer) -> void {
  auto headers = answer.headers;
  if (host_.draining()) headers.add("Connection", "close");
  call_->reply(answer.status, headers, answer.body);
}

auto front_request::reply_own(int status) -> void {
  const auto promises_not_run = status == 503;
  auto headers = platform::local_reply_headers(
      given_.headers.request_id,
      promises_not_run ? retry_after_ : milliseconds(0));
  if (host_.draining()) headers.add("Connection", "close");
  call_->reply(status, headers, reason_ + "\n");
}

auto front_request::end(outcome result) -> void {
  host_.metrics_registry().add(
      "pollenloft_requests_total",
      std::string("outcome=\"") + outcome_name(result) + "\"");
  auto status = answer_.status;
  if (result == outcome::completed) {
    if (call_->started())
      call_->end();
    else
      reply_kept(answer_);
  } else if (call_->started()) {
    call_->abort();
  } else if (result == outcome::not_run) {
    status = own_status_.value_or(503);
    reply_own(status);
  } else if (failure_) {
    status = failure_->status;
    reply_kept(*failure_);
  } else {
    status = time_left() <= duration::zero() ? 504 : 502;
    reply_own(status);
  }
  log_end(outcome_name(result), status);
  deadline_ = timer();
  stall_ = timer();
  budget_wait_ = timer();
  host_.request_ended(shared_from_this());
}

auto front_request::log_end(const char* result, int status) -> void {
  const auto usual = status < 400;
  log_event(usual ? log_level::debug : log_level::info, "request.ended",
            {{"id", given_.headers.request_id},
             {"route", given_.route->name},
             {"document", given_.table->config().number},
             {"outcome", result},
             {"status", status},
             {"attempts", life_.attempt()},
             {"events", events_},
             {"took_ms", to_ms(boottime_clock::now() - given_.arrived).count()},
             {"reason", usual ? "" : reason_}});
}

}  // namespace pollenloft
