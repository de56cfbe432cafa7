#include "front_request.hpp"

#include "pollenloft/engine.hpp"
#include "pollenloft/poison.hpp"

namespace pollenloft {

namespace {

constexpr double bytes_per_mb = 1e6;
constexpr std::int32_t max_priority = 9;
/// Share of the KV cache that each more urgent priority keeps free.
constexpr double kv_headroom = 0.12;
constexpr double max_kv_headroom = 0.4;

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
      events_(params_.headers.last_event_id) {}

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
  // A stream that has begun, or has run, is not held up again.
  if (events_.size() == 0 && no_earlier_run())
    result.kv_headroom =
        std::min(max_kv_headroom, kv_headroom * params_.less_urgent_by);
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
  call.connect_timeout = endpoint_connect_timeout;
  call.limits = is_stream() ? stream_limits : plain_response_limits;
  return call;
}

auto front_request::make_endpoint_call() const -> http_call {
  platform::dispatch_headers headers;
  headers.deadline = to_ms(time_left());
  headers.endpoint_id = stages_.front().endpoint->id;
  headers.account = params_.account;
  headers.last_event_id = events_.last_id();
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
      events_.last_id());
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
  work_ = 1;
  set_work(work_left());
  response_ = {};
  response_head_ = {};
  relay_refusal_.reset();
  partial_event_.clear();
  events_.begin_answer(exchange_->started());
  parts_survived_ = false;
  stage_lost_ = false;
  dispatched_at_ = boottime_clock::now();
  timing_.dispatched(dispatched_at_);
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

auto front_request::release_slots(dispatch_result result,
                                  const std::string& failed_endpoint) -> void {
  stall_timer_ = timer();
  repair_timer_ = timer();
  silence_timer_ = timer();
  if (!dispatch_active_) return;
  set_work(1);
  dispatch_active_ = false;
  host_.routes().dispatch_ended(stages_, poison_suspect_, result,
                                failed_endpoint, boottime_clock::now());
  host_.slot_released(shared_from_this(),
                      result == dispatch_result::served ? cost() : 0);
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
  exchange_->reply(response.status, headers, response.body, response.end);
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
  backoff_timer_ = timer();
  host_.request_ended(shared_from_this());
}

auto front_request::log_outcome(const char* result, int status) -> void {
  const auto succeeded = status < 400;
  const auto late = timing_.late(*params_.route, params_.arrived);
  if (late) host_.metrics_registry().add("pollenloft_late_streams_total");
  log_event(
      succeeded && !late ? log_level::debug : log_level::info, "request.ended",
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
       {"events", events_.size()},
       {"late", late ? 1 : 0},
       {"queued_ms", to_ms(timing_.queued(params_.arrived)).count()},
       {"first_event_ms",
        to_ms(timing_.to_first_event(params_.arrived)).count()},
       {"max_gap_ms", to_ms(timing_.max_gap()).count()},
       {"mended", mended_},
       {"stalled", stalled_},
       {"took_ms", to_ms(boottime_clock::now() - params_.arrived).count()},
       {"reason", succeeded ? "" : end_reason_}});
}

}  // namespace pollenloft
