#include "front_request.hpp"

#include "pollenloft/engine.hpp"
#include "pollenloft/poison.hpp"

namespace pollenloft {

namespace {

/// Endpoints are a fraction of a millisecond away, so a connection that takes
/// this long will not be established.
constexpr auto connect_timeout = milliseconds(400);
/// Runners abort work that depends on an unreachable runner by themselves. A
/// stream that pauses this long is resumed before they do.
constexpr auto first_event_timeout = milliseconds(1800);
constexpr auto event_timeout = milliseconds(1500);
/// Timeout for the response to a repeatable plain request, as a multiple of the
/// route's latency objective.
constexpr int response_timeout_factor = 3;
constexpr auto min_response_timeout = milliseconds(300);
/// A stream is aborted when its caller leaves more bytes than this unread.
constexpr std::size_t max_unread_bytes = 1024 * 1024;
/// Callers abandon a stream that pauses for 2 s. Detecting the failure and
/// prefilling the tokens on the new stages use up the rest of that time.
constexpr auto repair_timeout = milliseconds(900);
constexpr auto repair_retry_interval = milliseconds(100);
/// On a VM in use, other requests deposit retries many times a second.
constexpr auto budget_poll_interval = milliseconds(50);
constexpr double bytes_per_mb = 1e6;
constexpr std::int32_t max_priority = 9;
/// Refusals for want of capacity arrive sooner than this.
constexpr auto slow_refusal_threshold = milliseconds(500);

auto to_ms(duration d) -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(d);
}

}  // namespace

front_request::front_request(front_host& host, exchange_ptr caller_exchange,
                             front_parameters params,
                             const chart& request_chart, retry_budget& budget)
    : host_(host),
      exchange_(std::move(caller_exchange)),
      params_(std::move(params)),
      budget_(budget),
      lifecycle_(request_chart,
                 request_traits{false, params_.route->may_repeat(),
                                std::min(params_.route->max_attempts,
                                         params_.max_attempts)},
                 budget),
      last_event_id_(params_.headers.last_event_id) {}

auto front_request::start() -> void {
  auto self = weak_from_this();
  exchange_->closed().connect([self] {
    if (auto request = self.lock()) request->step(request_event::caller_gone);
  });
  deadline_timer_ = host_.loop().after(time_left(), [self] {
    auto request = self.lock();
    if (!request) return;
    request->end_reason_ = "the time for the request ran out";
    request->step(request_event::deadline);
  });
  step(request_event::start);
}

auto front_request::time_left() const -> duration {
  return params_.deadline - boottime_clock::now();
}

auto front_request::step(request_event event) -> void {
  auto self = shared_from_this();
  for (auto action : lifecycle_.step(event))
    execute(action);
}

auto front_request::execute(request_action action) -> void {
  switch (action) {
    case request_action::enqueue:
      return host_.enqueue(shared_from_this(), lifecycle_.attempt() > 0);
    case request_action::dequeue:
      return host_.dequeue(shared_from_this());
    case request_action::cancel:
      if (pending_call_) pending_call_->cancel();
      return release_slots(dispatch_result::abandoned, "");
    case request_action::end_completed:
      return end(outcome::completed);
    case request_action::end_not_run:
      return end(outcome::not_run);
    case request_action::end_unknown:
      return end(outcome::unknown);
    default:  // claims and dispatches are handled elsewhere
      return;
  }
}

auto front_request::make_chain_request() const -> chain_request {
  chain_request result;
  result.pipeline = params_.service;
  if (params_.engine != nullptr) {
    result.layers = params_.engine->layers;
    result.cross_zone_mb =
        cost() * params_.engine->activation_bytes_per_token / bytes_per_mb;
  }
  result.tokens = tokens();
  result.poison_suspect = poison_suspect_;
  result.avoid = &avoided_endpoints_;
  return result;
}

auto front_request::cost() const -> double {
  if (params_.engine == nullptr) return 1;
  const auto& headers = params_.headers;
  const auto output = headers.estimated_output_tokens > 0
                          ? headers.estimated_output_tokens
                          : headers.max_output_tokens;
  return static_cast<double>(headers.prompt_tokens + output + 1);
}

auto front_request::tokens() const -> double {
  return params_.engine == nullptr ? 0 : cost();
}

// --- dispatch ----------------------------------------------------------------

auto front_request::make_call() const -> http_call {
  const auto& request = exchange_->request();
  http_call call;
  call.peer = stages_.front().endpoint->address;
  call.method = request.method;
  call.target = request.target;
  call.body = request.body;
  call.timeout = time_left() + std::chrono::seconds(1);
  call.connect_timeout = connect_timeout;
  call.limits = is_stream() ? stream_limits : plain_response_limits;
  return call;
}

auto front_request::make_endpoint_call() const -> http_call {
  platform::dispatch_headers headers;
  headers.deadline = to_ms(time_left());
  headers.endpoint_id = stages_.front().endpoint->id;
  headers.account = params_.account;
  headers.last_event_id = last_event_id_;
  headers.priority = std::clamp(params_.priority, 0, max_priority);
  if (params_.engine != nullptr) headers.stages = &stages_;
  auto call = make_call();
  call.headers = platform::encode_dispatch(
      without_relay_headers(exchange_->request().headers), headers);
  return call;
}

auto front_request::make_relay_call() const -> http_call {
  auto call = make_call();
  call.headers = platform::encode_relay(
      without_relay_headers(exchange_->request().headers), to_ms(time_left()),
      last_event_id_);
  call.headers.add(relay_key_header, peer_->key);
  call.headers.add(relay_attempts_header,
                   std::to_string(lifecycle_.attempts_left()));
  return call;
}

auto front_request::dispatch(chain stages) -> void {
  peer_.reset();
  begin_attempt(std::move(stages));
  host_.count_limited_dispatch(*stages_.front().endpoint);
  send_attempt(make_endpoint_call());
  arm_stall_timer();
}

auto front_request::dispatch_relayed(relay_peer peer) -> void {
  peer_ = std::move(peer);
  begin_attempt({{peer_->view, 0, 1}});
  host_.metrics_registry().add("pollenloft_relayed_requests_total");
  send_attempt(make_relay_call());
}

auto front_request::begin_attempt(chain stages) -> void {
  step(request_event::slot);
  stages_ = std::move(stages);
  host_.routes().dispatch_started(stages_, poison_suspect_, tokens(),
                                  boottime_clock::now());
  dispatch_active_ = true;
  response_ = {};
  response_head_ = {};
  relay_refusal_.reset();
  partial_event_.clear();
  attempt_first_event_ = events_forwarded_;
  parts_survived_ = false;
  dispatched_at_ = boottime_clock::now();
  exposure_ = {dispatched_at_};
  if (lifecycle_.attempt() == 1)
    host_.metrics_registry().observe("pollenloft_queue_seconds",
                                     boottime_clock::now() - params_.arrived);
  log_event(log_level::debug, "request.dispatched",
            {{"id", params_.headers.request_id},
             {"attempt", lifecycle_.attempt()},
             {"endpoint", stages_.front().endpoint->id},
             {"stages", stages_.size()},
             {"deadline_remaining_ms", to_ms(time_left()).count()}});
}

auto front_request::send_attempt(const http_call& call) -> void {
  const auto attempt = lifecycle_.attempt();
  auto self = weak_from_this();
  call_handlers handlers;
  handlers.on_headers = [self, attempt](int status, const auto& headers) {
    if (auto request = self.lock())
      request->handle_headers(attempt, status, headers);
  };
  if (is_stream())
    handlers.on_data = [self, attempt](auto bytes) {
      if (auto request = self.lock()) request->handle_data(attempt, bytes);
    };
  handlers.on_done = [self, attempt](const auto& result, auto body) {
    if (auto request = self.lock()) request->handle_done(attempt, result, body);
  };
  pending_call_ = host_.client().send(call, std::move(handlers));
}

auto front_request::handle_headers(std::size_t attempt, int status,
                                   const http_headers& headers) -> void {
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  response_.status = status;
  response_.headers =
      without_relay_headers(platform::encode_response_headers(headers));
  response_head_ = platform::decode_response_head(status, headers);
  if (peer_) {
    relay_refusal_ = headers.find(relay_refused_header);
    return;
  }
  if (!answers_other_request() && !response_head_.misdirected)
    host_.control().observe_limit(*stages_.front().endpoint, status,
                                  response_head_.limit, dispatched_at_);
}

auto front_request::answers_other_request() const -> bool {
  return !response_head_.request_id.empty() &&
         response_head_.request_id != params_.headers.request_id;
}

auto front_request::handle_data(std::size_t attempt, std::string_view bytes)
    -> void {
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  if (answers_other_request())
    return fail_attempt({"answer.head", stages_.front().endpoint->id,
                         "the answer is for another request"});
  const auto searched = partial_event_.size();
  partial_event_ += bytes;
  if (partial_event_.size() > max_event_bytes)
    return fail_attempt(
        {"answer.event", stages_.front().endpoint->id, "an event is too long"});
  forward_complete_events(searched);
}

/// Forwards complete events. An interrupted event is generated again by the
/// endpoint that resumes the stream. The first `searched` bytes contain no end
/// of an event.
auto front_request::forward_complete_events(std::size_t searched) -> void {
  std::string complete_events;
  auto gap = false;
  std::size_t begin = 0;
  const auto from = searched == 0 ? 0 : searched - 1;
  for (auto end = partial_event_.find("\n\n", from);
       !gap && end != std::string::npos;
       end = partial_event_.find("\n\n", begin)) {
    const auto event =
        std::string_view(partial_event_).substr(begin, end + 2 - begin);
    begin = end + 2;
    const auto id = platform::parse_event_id(event);
    if (id && last_event_id_ && *id <= *last_event_id_) continue;
    gap = id && last_event_id_ && *id > *last_event_id_ + 1;
    if (gap) break;
    if (id) last_event_id_ = id;
    ++events_forwarded_;
    complete_events += event;
  }
  partial_event_.erase(0, begin);
  if (events_forwarded_ >= attempt_first_event_ + survival_events)
    record_part_survival();
  if (!complete_events.empty()) forward(complete_events);
  if (gap && dispatch_active_)
    fail_attempt(
        {"answer.event", stages_.front().endpoint->id, "an event is missing"});
}

auto front_request::forward(const std::string& events) -> void {
  if (lifecycle_.state() == "dispatched") step(request_event::began);
  if (!exchange_->started()) {
    host_.metrics_registry().observe("pollenloft_first_event_seconds",
                                     boottime_clock::now() - params_.arrived);
    auto headers = response_.headers;
    if (host_.draining()) headers.add("Connection", "close");
    exchange_->start(response_.status, headers);
  }
  arm_stall_timer();
  if (exchange_->chunk(events) <= max_unread_bytes) return;
  log_event(log_level::warning, "caller.too_slow",
            {{"id", params_.headers.request_id}});
  exchange_->abort();
  step(request_event::caller_gone);
}

auto front_request::handle_done(std::size_t attempt, const call_result& result,
                                std::string_view body) -> void {
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  std::visit(overloaded{[&](const call_completed&) { handle_response(body); },
                        [this](const call_unsent& unsent) {
                          handle_unsent(unsent.cause);
                        },
                        [this](const call_interrupted& interrupted) {
                          handle_interruption(interrupted.cause);
                        }},
             result);
}

auto front_request::handle_response(std::string_view body) -> void {
  if (answers_other_request())
    return fail_attempt({"answer.head", stages_.front().endpoint->id,
                         "the answer is for another request"});
  if (relay_refusal_) return handle_relay_refusal(*relay_refusal_);
  if (response_head_.not_run && !peer_) return handle_refusal();
  response_.body = body;
  const auto failed = response_.status >= 500;
  if (failed && !peer_ && params_.route->may_repeat() &&
      !exchange_->started()) {
    failed_response_ = response_;
    return fail_attempt({"answer.status", stages_.front().endpoint->id,
                         std::to_string(response_.status)});
  }
  if (is_stream() && response_.status == 200 && !partial_event_.empty())
    return fail_attempt({"answer.event", stages_.front().endpoint->id,
                         "the last event is not whole"});
  // An endpoint that answers with an error may not have run the request.
  if (!failed && !peer_) {
    host_.crashes().record_survival(params_.fingerprint);
    const auto wrote = !is_stream() || events_forwarded_ > attempt_first_event_;
    if (response_.status == 200 && wrote) record_part_survival();
  }
  release_slots(dispatch_result::served, "");
  step(request_event::completed);
}

auto front_request::endpoint_by_address(const std::string& address) const
    -> std::string {
  for (const auto& stage : stages_)
    if (stage.endpoint->address.text() == address) return stage.endpoint->id;
  return stages_.front().endpoint->id;
}

/// Handles a response in which the endpoint proves that nothing ran.
auto front_request::handle_refusal() -> void {
  const auto failed_endpoint =
      endpoint_by_address(response_head_.failed_address);
  end_reason_ = "the endpoints have no place";
  avoided_endpoints_.insert(failed_endpoint);
  // A runner that does not hold its layer range, or whose refusal took as long
  // as the timeout of an unreachable neighbour, counts as down. A runner
  // without capacity is retried soon.
  const auto slow =
      boottime_clock::now() - dispatched_at_ > slow_refusal_threshold;
  const auto full =
      (response_.status == 503 || response_.status == 429) && !slow;
  log_event(log_level::info, "request.refused_by_endpoint",
            {{"id", params_.headers.request_id},
             {"fingerprint", fingerprint_text(params_.fingerprint)},
             {"attempt", lifecycle_.attempt()},
             {"endpoint", failed_endpoint},
             {"status", response_.status}});
  release_slots(full ? dispatch_result::refused : dispatch_result::down,
                failed_endpoint);
  continue_after(request_event::not_run);
}

/// A stream in flight waits while the retry budget is used up. Aborting here
/// would end the stream at once, whereas a caller that finds the pause too long
/// cancels by itself.
auto front_request::continue_after(request_event event) -> void {
  if (exchange_->started() && !budget_.available()) {
    log_event(log_level::debug, "retry.waits",
              {{"id", params_.headers.request_id},
               {"attempt", lifecycle_.attempt()},
               {"events", events_forwarded_}});
    budget_timer_ = host_.loop().after(budget_poll_interval,
                                       [self = weak_from_this(), event] {
                                         if (auto request = self.lock())
                                           request->continue_after(event);
                                       });
    return;
  }
  // A stream to be resumed is aborted when it has no attempt left, so a refusal
  // without execution uses up retry budget but no attempt.
  const auto resumes_refused_stream =
      event == request_event::not_run && !lifecycle_.no_earlier_run();
  if (resumes_refused_stream && budget_.try_withdraw())
    return step(request_event::busy);
  step(event);
}

/// Handles a VM's refusal of a relayed request, which has not run.
auto front_request::handle_relay_refusal(const std::string& where) -> void {
  const auto peer = peer_->view->id;
  log_event(log_level::info, "relay.refused",
            {{"id", params_.headers.request_id},
             {"peer", peer},
             {"where", where},
             {"status", response_.status}});
  release_slots(dispatch_result::refused, peer);
  const auto final_response = std::exchange(response_, {});
  if (where == relay_refused_here) {
    host_.relay().drop(peer);
    return step(request_event::busy);
  }
  // The refusal is true of this attempt alone, and others would refuse, too.
  if (!no_earlier_run()) return continue_after(request_event::not_run);
  step(request_event::busy);
  host_.dequeue(shared_from_this());
  relayed_refusal_ = final_response;
  refuse(final_response.status, "another VM refused the request", retry_after_);
}

/// Handles a connection that was never established. It uses up no attempt.
auto front_request::handle_unsent(const error& cause) -> void {
  const auto endpoint = stages_.front().endpoint->id;
  log_failure("endpoint.unreachable", cause);
  if (peer_)
    host_.relay().drop(endpoint);
  else
    host_.reach().contact_failed(endpoint);
  end_reason_ = "the endpoints are not reached";
  avoided_endpoints_.insert(endpoint);
  release_slots(dispatch_result::down, endpoint);
  step(request_event::busy);
}

/// The connection broke off. Any stage may have crashed: the head breaks off
/// when a later one does.
auto front_request::handle_interruption(const error& cause) -> void {
  if (peer_) {
    host_.relay().drop(peer_->view->id);
    return fail_attempt(cause);
  }
  const auto stages = stages_;
  host_.reach().contact_failed(stages.front().endpoint->id);
  end_failed_dispatch(cause);
  attribute_crash(stages, [this] { continue_after(request_event::broken); });
}

auto front_request::attribute_crash(const chain& stages, task next) -> void {
  const auto points = events_forwarded_ > attempt_first_event_
                          ? inferred_points_after_first_event
                          : inferred_points_before_first_event;
  const auto attempt = lifecycle_.attempt();
  const auto dispatch_active = dispatch_active_;
  host_.crashes().attribute(
      {params_.headers.request_id, params_.account, params_.fingerprint, points,
       exposure_,
       parts_survived_ ? std::vector<std::uint64_t>{} : params_.parts},
      stages,
      [self = weak_from_this(), attempt, dispatch_active,
       next = std::move(next)]() {
        auto request = self.lock();
        if (!request || request->ended() ||
            request->lifecycle_.attempt() != attempt ||
            request->dispatch_active_ != dispatch_active)
          return;
        // Slots are released as they were taken.
        if (!dispatch_active)
          request->poison_suspect_ |= *request->exposure_.charged;
        next();
      });
}

auto front_request::stopped_by_crashes() const -> bool {
  return host_.crashes().guard().stopped_since(features(), params_.accepted);
}

auto front_request::record_part_survival() -> void {
  if (std::exchange(parts_survived_, true)) return;
  prompt_survived_ = true;
  host_.crashes().record_part_survivals(params_.parts);
}

auto front_request::stop_if_poison() -> bool {
  if (!stopped_by_crashes()) return false;
  const auto wait =
      host_.crashes().guard().held_for(features(), boottime_clock::now());
  refuse(503, "this request crashed endpoints and is not run again",
         std::max(to_ms(wait), retry_after_));
  return true;
}

/// Handles an interrupted dispatch, which may have run.
auto front_request::fail_attempt(const error& cause) -> void {
  end_failed_dispatch(cause);
  continue_after(request_event::broken);
}

auto front_request::end_failed_dispatch(const error& cause) -> void {
  if (pending_call_) pending_call_->cancel();
  const auto endpoint = stages_.front().endpoint->id;
  log_event(log_level::warning, "attempt.failed",
            {{"id", params_.headers.request_id},
             {"fingerprint", fingerprint_text(params_.fingerprint)},
             {"prompt_parts", fingerprints_text(params_.parts)},
             {"attempt", lifecycle_.attempt()},
             {"endpoint", endpoint},
             {"events", events_forwarded_},
             {"step", cause.step},
             {"reason", cause.reason}});
  host_.metrics_registry().add("pollenloft_attempts_failed_total");
  end_reason_ = "an endpoint failed while running the request";
  // Any stage of a chain may have failed; the head only reports the failure.
  if (stages_.size() == 1) avoided_endpoints_.insert(endpoint);
  release_slots(dispatch_result::failed, endpoint);
}

auto front_request::release_slots(dispatch_result result,
                                  const std::string& failed_endpoint) -> void {
  stall_timer_ = timer();
  repair_timer_ = timer();
  if (!dispatch_active_) return;
  dispatch_active_ = false;
  host_.routes().dispatch_ended(stages_, poison_suspect_, result,
                                failed_endpoint, boottime_clock::now());
  host_.slot_released(shared_from_this(),
                      result == dispatch_result::served ? cost() : 0);
}

auto front_request::stall_timeout() const -> duration {
  if (!is_stream())
    return std::max<duration>(
        min_response_timeout,
        response_timeout_factor * params_.route->latency_objective);
  return lifecycle_.state() == "streaming" ? duration(event_timeout)
                                           : duration(first_event_timeout);
}

auto front_request::arm_stall_timer() -> void {
  // The VM that has a relayed request watches over its endpoints.
  if (!params_.route->may_repeat() || peer_) return;
  stall_timer_ = host_.loop().after(stall_timeout(), [self = weak_from_this()] {
    if (auto request = self.lock()) request->handle_stall();
  });
}

auto front_request::handle_endpoint_failure(const std::string& id) -> void {
  const auto affected =
      dispatch_active_ &&
      std::any_of(stages_.begin(), stages_.end(),
                  [&](const auto& stage) { return stage.endpoint->id == id; });
  if (!affected || !params_.route->may_repeat()) return;
  avoided_endpoints_.insert(id);
  chain failed;
  std::copy_if(stages_.begin(), stages_.end(), std::back_inserter(failed),
               [&](const auto& stage) { return stage.endpoint->id == id; });
  attribute_crash(failed, [this, id] {
    repair_or_abandon(id, boottime_clock::now() + repair_timeout);
  });
}

/// The layers of the failed endpoint are being loaded elsewhere in the zone.
/// Waiting for them costs less than prefilling prompt and output on another
/// chain.
auto front_request::repair_or_abandon(const std::string& failed_endpoint,
                                      instant until) -> void {
  if (!dispatch_active_) return;
  if (stopped_by_crashes())
    return fail_attempt(
        {"chain.repair", failed_endpoint, "the request crashed endpoints"});
  if (repair_chain(failed_endpoint)) return;
  const auto can_wait = params_.engine != nullptr && events_forwarded_ > 0 &&
                        stages_.front().endpoint->id != failed_endpoint &&
                        boottime_clock::now() < until;
  if (!can_wait) return handle_stall();
  const auto attempt = lifecycle_.attempt();
  repair_timer_ = host_.loop().after(
      repair_retry_interval,
      [self = weak_from_this(), failed_endpoint, until, attempt] {
        auto request = self.lock();
        if (request && request->lifecycle_.attempt() == attempt)
          request->repair_or_abandon(failed_endpoint, until);
      });
}

/// The runner at the head keeps the request. The new stages prefill the tokens
/// so far, and the other stages keep their KV cache.
auto front_request::repair_chain(const std::string& failed_endpoint) -> bool {
  if (params_.engine == nullptr ||
      stages_.front().endpoint->id == failed_endpoint)
    return false;
  auto repaired = host_.routes().replace_stage(
      stages_, failed_endpoint, make_chain_request(), boottime_clock::now());
  if (!repaired) return false;
  host_.routes().dispatch_ended(stages_, poison_suspect_,
                                dispatch_result::abandoned, "",
                                boottime_clock::now());
  stages_ = std::move(*repaired);
  exposure_ = {boottime_clock::now()};
  host_.routes().dispatch_started(stages_, poison_suspect_, tokens(),
                                  boottime_clock::now());
  log_event(log_level::info, "chain.mended",
            {{"id", params_.headers.request_id},
             {"lost", failed_endpoint},
             {"stages", stages_.size()},
             {"events", events_forwarded_}});
  host_.metrics_registry().add("pollenloft_chains_mended_total");
  arm_stall_timer();
  host_.client().send(
      platform::encode_chain_update(params_.headers.request_id, stages_),
      {{},
       {},
       [self = weak_from_this(), attempt = lifecycle_.attempt()](
           const auto& result, auto /*body*/) {
         if (auto request = self.lock())
           request->handle_chain_update(attempt, result);
       }});
  return true;
}

auto front_request::handle_chain_update(std::size_t attempt,
                                        const call_result& result) -> void {
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  const auto* response = std::get_if<call_completed>(&result);
  const auto status = response == nullptr ? 0 : response->status;
  const auto update_result = platform::decode_command_result(status);
  if (update_result == platform::command_result::accepted ||
      update_result == platform::command_result::already_applied)
    return;
  log_event(log_level::info, "chain.not_mended",
            {{"id", params_.headers.request_id}, {"status", status}});
  handle_stall();
}

/// A dispatch stalls when any of its stages has crashed.
auto front_request::handle_stall() -> void {
  host_.reach().contact_failed(stages_.front().endpoint->id);
  attribute_crash(stages_, [this, events = events_forwarded_] {
    if (events == events_forwarded_) abandon_stalled_dispatch();
  });
}

auto front_request::abandon_stalled_dispatch() -> void {
  const auto stages = stages_;
  step(request_event::stalled);
  // A request that may not run again stays on this dispatch.
  if (dispatch_active_) return;
  for (const auto& stage : stages)
    avoided_endpoints_.insert(stage.endpoint->id);
  host_.metrics_registry().add("pollenloft_stalls_total");
  log_event(log_level::warning, "attempt.stalled",
            {{"id", params_.headers.request_id},
             {"fingerprint", fingerprint_text(params_.fingerprint)},
             {"attempt", lifecycle_.attempt()},
             {"endpoint", stages.front().endpoint->id},
             {"events", events_forwarded_}});
}

// --- responses ---------------------------------------------------------------

auto front_request::refuse(int status, const std::string& reason,
                           milliseconds retry_after) -> void {
  refusal_status_ = status;
  end_reason_ = reason;
  retry_after_ = retry_after;
  step(request_event::refused);
}

auto front_request::reply_buffered(const buffered_response& response) -> void {
  auto headers = response.headers;
  if (host_.draining()) headers.add("Connection", "close");
  exchange_->reply(response.status, headers, response.body);
}

auto front_request::reply_local(int status) -> void {
  const auto not_run = status == 503;
  auto headers = platform::local_reply_headers(
      params_.headers.request_id, not_run ? retry_after_ : milliseconds(0));
  if (params_.relayed && not_run)
    headers.add(relay_refused_header, host_.relay_refusal_scope());
  if (host_.draining()) headers.add("Connection", "close");
  exchange_->reply(status, headers, end_reason_ + "\n");
}

auto front_request::end(outcome result) -> void {
  host_.metrics_registry().add(
      "pollenloft_requests_total",
      std::string("outcome=\"") + outcome_name(result) + "\"");
  auto status = response_.status;
  if (result == outcome::completed) {
    if (exchange_->started())
      exchange_->end();
    else
      reply_buffered(response_);
  } else if (exchange_->started()) {
    exchange_->abort();
  } else if (result == outcome::not_run && relayed_refusal_) {
    status = relayed_refusal_->status;
    reply_buffered(*relayed_refusal_);
  } else if (result == outcome::not_run) {
    status = refusal_status_.value_or(503);
    reply_local(status);
  } else if (failed_response_) {
    status = failed_response_->status;
    reply_buffered(*failed_response_);
  } else {
    status = time_left() <= duration::zero() ? 504 : 502;
    reply_local(status);
  }
  log_outcome(outcome_name(result), status);
  deadline_timer_ = timer();
  stall_timer_ = timer();
  budget_timer_ = timer();
  host_.request_ended(shared_from_this());
}

auto front_request::log_outcome(const char* result, int status) -> void {
  const auto succeeded = status < 400;
  log_event(
      succeeded ? log_level::debug : log_level::info, "request.ended",
      {{"id", params_.headers.request_id},
       {"fingerprint", fingerprint_text(params_.fingerprint)},
       {"prompt_parts", fingerprints_text(params_.parts)},
       {"account", params_.account},
       {"route", params_.route->name},
       {"document", params_.table->config().number},
       {"outcome", result},
       {"status", status},
       {"attempts", lifecycle_.attempt()},
       {"relayed", params_.relayed ? 1 : 0},
       {"events", events_forwarded_},
       {"took_ms", to_ms(boottime_clock::now() - params_.arrived).count()},
       {"reason", succeeded ? "" : end_reason_}});
}

}  // namespace pollenloft
