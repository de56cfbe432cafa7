#include "caller_request.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "pollenloft/poison.hpp"

namespace pollenloft {

namespace {

using json = nlohmann::json;

constexpr auto claim_retry_delay = milliseconds(50);
// A stream is aborted when its caller leaves more than this unread.
constexpr std::size_t max_unread_bytes = 1 << 20;
// A stream counts as stalled after this multiple of the predicted time per
// token, within the two bounds.
constexpr int stall_token_times = 12;
constexpr auto min_stall_timeout = milliseconds(400);
constexpr auto max_stall_timeout = std::chrono::seconds(2);
constexpr auto first_token_timeout = milliseconds(1500);
constexpr auto first_token_timeout_per_prompt_byte =
    std::chrono::microseconds(20);
// A plain request counts as stalled after the time from its arrival to its
// deadline divided by this.
constexpr int plain_stall_divisor = 3;
// Estimated prompt cost for fair queueing.
constexpr double tokens_per_prompt_byte = 0.25;
// Requests that were on a crashed endpoint are requeued after delays spread
// over this time, so that a poison request is alone on the next endpoint that
// it crashes.
constexpr auto max_poison_suspect_delay = milliseconds(150);

auto to_ms(duration d) -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(d);
}

auto sse_event(const json& body) -> std::string {
  return "data: " + body.dump() + "\n\n";
}

auto completion_choice(const std::string& text, const json& finish) -> json {
  return json::array(
      {{{"index", 0}, {"text", text}, {"finish_reason", finish}}});
}

}  // namespace

caller_request::caller_request(request_host& host, exchange_ptr call,
                               request_parameters parameters)
    : host_(host),
      exchange_(std::move(call)),
      params_(std::move(parameters)),
      lifecycle_(host.request_chart(),
                 {!params_.idempotent && !params_.key.empty() &&
                      host.disabled_mechanism() != "claims",
                  params_.idempotent && host.disabled_mechanism() != "resume"},
                 host.budget()),
      dispatch_id_(host.vm_incarnation() + "/" + std::to_string(params_.id)) {}

auto caller_request::start() -> void {
  auto weak_self = weak_from_this();
  exchange_->closed().connect([weak_self] {
    if (auto self = weak_self.lock()) self->step(request_event::caller_gone);
  });
  deadline_timer_ =
      host_.loop().after(params_.deadline - boottime_clock::now(), [weak_self] {
        auto self = weak_self.lock();
        if (!self) return;
        self->failure_reason_ = "the deadline has passed";
        self->step(request_event::deadline);
      });
  step(request_event::start);
}

auto caller_request::step(request_event event) -> void {
  auto self = shared_from_this();
  for (auto action : lifecycle_.step(event))
    execute(action);
}

auto caller_request::refuse(const std::string& reason, milliseconds retry_after)
    -> void {
  failure_reason_ = reason;
  retry_after_ = retry_after;
  step(request_event::refused);
}

auto caller_request::stop_if_poison() -> bool {
  auto& guard = host_.crashes().guard();
  if (!guard.stopped_since({params_.fingerprint}, params_.arrived))
    return false;
  const auto wait =
      guard.held_for({params_.fingerprint}, boottime_clock::now());
  refuse("this request crashed endpoints and is not run again",
         std::max(to_ms(wait), retry_after_));
  return true;
}

auto caller_request::execute(request_action action) -> void {
  switch (action) {
    case request_action::claim:
      return send_claim();
    case request_action::claim_later:
      claim_retry_timer_ =
          host_.loop().after(claim_retry_delay, [weak_self = weak_from_this()] {
            if (auto self = weak_self.lock())
              self->step(request_event::claim_again);
          });
      return;
    case request_action::replay:
      return replay_settled_response();
    case request_action::release:
      return settle(claim_state::open, 0, "");
    case request_action::enqueue:
      return enqueue();
    case request_action::dequeue:
      poison_delay_timer_ = timer();
      return host_.dequeue(shared_from_this());
    case request_action::dispatch:
      return;  // `dispatch` itself sends the request
    case request_action::cancel:
      if (pending_call_) pending_call_->cancel();
      return release_slots(stall_detected_ ? dispatch_result::stalled
                                           : dispatch_result::abandoned,
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
  if (!poison_suspect_)
    return host_.enqueue(shared_from_this(), lifecycle_.attempt() > 0);
  const auto delay = duration(static_cast<std::int64_t>(
      hash64(dispatch_id_, lifecycle_.attempt()) %
      static_cast<std::uint64_t>(duration(max_poison_suspect_delay).count())));
  poison_delay_timer_ =
      host_.loop().after(delay, [weak_self = weak_from_this()] {
        auto self = weak_self.lock();
        if (self && self->queued()) self->host_.enqueue(self, true);
      });
}

// --- dispatch --------------------------------------------------------------

auto caller_request::make_chain_request() const -> chain_request {
  chain_request result;
  result.pipeline = params_.service_name;
  if (const auto* model = std::get_if<model_pipeline>(&params_.target->kind))
    result.layers = model->layers;
  result.poison_suspect = poison_suspect_;
  result.avoid = &avoided_endpoints_;
  return result;
}

auto caller_request::cost() const -> double {
  if (std::holds_alternative<plain_service>(params_.target->kind)) return 1;
  return static_cast<double>(params_.max_tokens - tokens_) +
         tokens_per_prompt_byte * static_cast<double>(params_.prompt.size());
}

auto caller_request::dispatch(chain stages) -> void {
  step(request_event::slot);
  stages_ = std::move(stages);
  host_.routes().dispatch_started(stages_, poison_suspect_, 0,
                                  boottime_clock::now());
  dispatch_active_ = true;
  refused_ = false;
  dispatched_at_ = boottime_clock::now();
  host_.count_limited_dispatch(*stages_.front().endpoint);
  response_complete_ = false;
  notices_ = {};
  attempt_first_token_ = tokens_;
  reader_ = event_reader(host_.disabled_mechanism() == "tags"
                             ? ""
                             : event_tag(dispatch_id_, lifecycle_.attempt()));
  if (lifecycle_.attempt() == 1)
    host_.metrics_registry().observe("pollenloft_queue_seconds",
                                     boottime_clock::now() - params_.arrived);
  if (std::holds_alternative<model_pipeline>(params_.target->kind))
    return dispatch_model();
  dispatch_plain();
}

auto caller_request::dispatch_model() -> void {
  generate_call call;
  call.request = dispatch_id_;
  call.attempt = lifecycle_.attempt();
  call.prompt = params_.prompt;
  call.delivered = response_text_;
  call.first_token = tokens_;
  call.max_tokens = params_.max_tokens;
  // At the engines, requests of an account above its fair share run after the
  // other requests of the same priority.
  call.priority =
      2 * params_.priority + (host_.above_fair_share(params_.account) ? 1 : 0);
  call.deadline = to_ms(params_.deadline - boottime_clock::now());
  call.stages = stages_;
  auto request = make_generate_call(call);
  request.timeout = params_.deadline - boottime_clock::now() +
                    std::chrono::seconds(1);  // the deadline timer fires first
  request.connect_timeout = endpoint_connect_timeout;
  const auto attempt = lifecycle_.attempt();
  auto weak_self = weak_from_this();
  pending_call_ = host_.client().send(
      request, {[weak_self, attempt](int status, const auto& headers) {
                  if (auto self = weak_self.lock())
                    self->observe_notices(attempt, status, headers);
                },
                [weak_self, attempt](auto bytes) {
                  if (auto self = weak_self.lock())
                    self->handle_engine_data(attempt, bytes);
                },
                [weak_self, attempt](const auto& result, auto body) {
                  if (auto self = weak_self.lock())
                    self->handle_model_result(attempt, result, body);
                }});
  arm_stall_timer();
}

/// Ends an attempt that failed and may have run.
auto caller_request::fail_attempt(const std::string& endpoint, bool crashed,
                                  const error& cause) -> void {
  log_event(log_level::warning, "attempt.failed",
            {{"id", dispatch_id_},
             {"fingerprint", fingerprint_text(params_.fingerprint)},
             {"attempt", lifecycle_.attempt()},
             {"endpoint", endpoint},
             {"crashed", crashed ? 1 : 0},
             {"step", cause.step},
             {"peer", cause.peer},
             {"reason", cause.reason}});
  host_.metrics_registry().add("pollenloft_attempts_failed_total");
  failure_reason_ = "an endpoint failed while running the request";
  avoided_endpoints_.insert(endpoint);
  release_slots(crashed ? dispatch_result::down : dispatch_result::failed,
                endpoint);
  if (crashed) {
    poison_suspect_ = true;
    const auto points = tokens_ > attempt_first_token_
                            ? crash_points_after_first_token
                            : crash_points_before_first_token;
    if (host_.disabled_mechanism() != "blame")
      lifecycle_.add_crash_points(points);
    for (const auto& stage : stages_)
      if (stage.endpoint->id == endpoint)
        host_.crashes().record_crash(
            {dispatch_id_, params_.account, params_.fingerprint, points, {}},
            *stage.endpoint);
  }
  step(request_event::broken);
}

auto caller_request::release_slots(dispatch_result result,
                                   const std::string& failed_endpoint) -> void {
  stall_timer_ = timer();
  if (!dispatch_active_) return;
  dispatch_active_ = false;
  host_.routes().dispatch_ended(stages_, poison_suspect_, result,
                                failed_endpoint, boottime_clock::now());
  const auto completed_cost =
      result == dispatch_result::served
          ? static_cast<double>(std::max<std::int64_t>(tokens_, 1))
          : 0.0;
  host_.slot_released(shared_from_this(), completed_cost);
}

auto caller_request::stall_timeout() const -> duration {
  if (std::holds_alternative<plain_service>(params_.target->kind))
    return (params_.deadline - params_.arrived) / plain_stall_divisor;
  const auto awaits_first_token = lifecycle_.state() == "dispatched";
  if (awaits_first_token)
    return first_token_timeout +
           first_token_timeout_per_prompt_byte *
               static_cast<std::int64_t>(params_.prompt.size());
  return std::clamp<duration>(
      stall_token_times * host_.routes().token_time(stages_), min_stall_timeout,
      max_stall_timeout);
}

auto caller_request::arm_stall_timer() -> void {
  stall_timer_ =
      host_.loop().after(stall_timeout(), [weak_self = weak_from_this()] {
        if (auto self = weak_self.lock()) self->handle_stall();
      });
}

auto caller_request::handle_stall() -> void {
  const auto stages = stages_;
  stall_detected_ = true;
  step(request_event::stalled);
  stall_detected_ = false;
  if (dispatch_active_)
    return;  // the request must not run twice, so its dispatch continues
  log_event(log_level::warning, "attempt.stalled",
            {{"id", dispatch_id_},
             {"attempt", lifecycle_.attempt()},
             {"endpoint", stages.front().endpoint->id},
             {"tokens", tokens_}});
  host_.metrics_registry().add("pollenloft_stalls_total");
  for (const auto& stage : stages)
    avoided_endpoints_.insert(stage.endpoint->id);
}

// --- responses -------------------------------------------------------------

auto caller_request::reply_headers(outcome result) const -> http_headers {
  http_headers headers;
  headers.add("Pollenloft-Outcome", outcome_name(result));
  headers.add("Pollenloft-Request", dispatch_id_);
  headers.add("Pollenloft-VM", host_.vm_name());
  return headers;
}

auto caller_request::stream_token(const token_event& token) -> void {
  if (!exchange_->started()) {
    auto headers = http_headers();
    headers.add("Content-Type", "text/event-stream");
    headers.add("Pollenloft-Request", dispatch_id_);
    headers.add("Pollenloft-VM", host_.vm_name());
    exchange_->start(200, headers);
  }
  const json body{{"id", dispatch_id_},
                  {"object", "text_completion"},
                  {"choices", completion_choice(token.text, nullptr)}};
  if (exchange_->chunk(sse_event(body)) <= max_unread_bytes) return;
  log_event(log_level::warning, "caller.too_slow",
            {{"peer", exchange_->request().peer}});
  exchange_->abort();
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
  log_request_ended(result);
  deadline_timer_ = timer();
  stall_timer_ = timer();
  host_.request_ended(shared_from_this());
}

auto caller_request::log_request_ended(outcome result) const -> void {
  const auto completed = result == outcome::completed;
  const auto now = boottime_clock::now();
  log_event(completed ? log_level::debug : log_level::info, "request.ended",
            {{"id", dispatch_id_},
             {"account", params_.account},
             {"service", params_.service_name},
             {"outcome", outcome_name(result)},
             {"state", lifecycle_.state()},
             {"attempts", lifecycle_.attempt()},
             {"tokens", tokens_},
             {"took_ms", to_ms(now - params_.arrived).count()},
             {"deadline_remaining_ms", to_ms(params_.deadline - now).count()},
             {"reason", completed ? "" : failure_reason_}});
}

auto caller_request::reply_completed() -> void {
  constexpr int first_server_error = 500;
  if (plain_status_ < first_server_error)
    host_.crashes().record_survival(params_.fingerprint);
  if (std::holds_alternative<plain_service>(params_.target->kind))
    return reply_plain();
  const json usage{{"completion_tokens", tokens_}};
  if (exchange_->started()) {
    exchange_->chunk(sse_event({{"id", dispatch_id_},
                                {"object", "text_completion"},
                                {"choices", completion_choice("", "stop")},
                                {"usage", usage},
                                {"pollenloft_outcome", "completed"}}) +
                     "data: [DONE]\n\n");
    exchange_->end();
    return settle(claim_state::completed, 200, "");
  }
  const auto body = json{
      {"id", dispatch_id_},
      {"object", "text_completion"},
      {"model", params_.service_name},
      {"choices", completion_choice(response_text_, "stop")},
      {"usage", usage}}.dump();
  auto headers = reply_headers(outcome::completed);
  headers.add("Content-Type", "application/json");
  exchange_->reply(200, headers, body);
  settle(claim_state::completed, 200, "application/json\n" + body);
}

auto caller_request::reply_failure(outcome result) -> void {
  if (result == outcome::unknown) settle(claim_state::unknown, 502, "");
  const json body{{"error", {{"message", failure_reason_}}},
                  {"pollenloft_outcome", outcome_name(result)}};
  if (exchange_->started()) {
    exchange_->chunk(sse_event(body));
    return exchange_->end();
  }
  auto headers = reply_headers(result);
  headers.add("Content-Type", "application/json");
  if (result == outcome::not_run) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after_);
    headers.add("Retry-After", std::to_string(seconds.count()));
    headers.add("Pollenloft-Retry-After-Ms",
                std::to_string(retry_after_.count()));
  }
  const auto default_status = result == outcome::not_run ? 503 : 502;
  exchange_->reply(failure_status_.value_or(default_status), headers,
                   body.dump() + "\n");
}

}  // namespace pollenloft
