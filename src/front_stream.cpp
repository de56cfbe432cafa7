// Events that endpoints send for a front request.
#include "front_request.hpp"
#include "pollenloft/engine.hpp"

namespace pollenloft {

namespace {

/// A stream is aborted when its caller leaves more bytes than this unread.
constexpr std::size_t max_unread_bytes = 1024 * 1024;
constexpr auto event_media_type = "text/event-stream";

auto media_type(const http_headers& headers) -> std::string {
  auto type = headers.find("Content-Type").value_or("");
  type.erase(std::min(type.find(';'), type.size()));
  while (!type.empty() && type.back() == ' ')
    type.pop_back();
  std::transform(type.begin(), type.end(), type.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return type;
}

}  // namespace

auto front_request::handle_data(std::size_t attempt, std::string_view bytes)
    -> void {
  if (attempt != lifecycle_.attempt() || !dispatch_active_) return;
  const auto fail = [this](const char* step, const char* reason) {
    fail_attempt({step, stages_.front().endpoint->id, reason});
  };
  if (answers_other_request())
    return fail("answer.head", "the answer is for another request");
  if (has_other_media_type())
    return fail("answer.head", "the rest of the stream has another media type");
  data_at_ = boottime_clock::now();
  const auto searched = partial_event_.size();
  partial_event_ += bytes;
  if (partial_event_.size() > max_event_bytes)
    return fail("answer.event", "an event is too long");
  forward_complete_events(searched);
}

auto front_request::has_other_media_type() const -> bool {
  const auto type = media_type(response_.headers);
  const auto names_events =
      caller_media_type_.empty() && type == event_media_type;
  return events_.resumed() && type != caller_media_type_ && !names_events;
}

/// Forwards complete events. An interrupted event is generated again by the
/// endpoint that resumes the stream. The first `searched` bytes contain no end
/// of an event.
auto front_request::forward_complete_events(std::size_t searched) -> void {
  std::string complete_events;
  auto decision = event_decision::forward;
  std::size_t begin = 0;
  // An end may begin two bytes before the new ones.
  auto end = find_event_end(partial_event_, searched < 2 ? 0 : searched - 2);
  for (; end; end = find_event_end(partial_event_, begin)) {
    const auto event =
        std::string_view(partial_event_).substr(begin, *end - begin);
    begin = *end;
    decision =
        events_.decide(platform::parse_event_id(event), is_comment(event));
    if (decision == event_decision::forward) complete_events += event;
    if (decision == event_decision::missing ||
        decision == event_decision::foreign)
      break;
  }
  partial_event_.erase(0, begin);
  if (!events_.resumable()) lifecycle_.forbid_rerun();
  if (events_.answer_size() >= survival_events) record_part_survival();
  if (!complete_events.empty()) forward(complete_events);
  if (!dispatch_active_) return;
  const auto& endpoint = stages_.front().endpoint->id;
  if (decision == event_decision::missing)
    fail_attempt({"answer.event", endpoint, "an event is missing"});
  if (decision == event_decision::foreign)
    fail_attempt({"answer.event", endpoint, "an event has no id"});
}

auto front_request::forward(const std::string& events) -> void {
  if (lifecycle_.state() == "dispatched") {
    record_first_event_time();
    step(request_event::began);
  }
  if (!exchange_->started()) {
    host_.metrics_registry().observe("pollenloft_first_event_seconds",
                                     boottime_clock::now() - params_.arrived);
    auto headers = response_.headers;
    if (host_.draining()) headers.add("Connection", "close");
    exchange_->start(response_.status, headers, response_.end);
    caller_end_ = response_.end;
    caller_media_type_ = media_type(response_.headers);
  }
  const auto now = boottime_clock::now();
  if (const auto pause = timing_.pause(now)) gaps_.record(*pause);
  timing_.forwarded(now);
  if (events_.size() >= work_events_) set_work(work_left());
  arm_stall_timer();
  if (exchange_->chunk(events) <= max_unread_bytes) return;
  log_event(log_level::warning, "caller.too_slow",
            {{"id", params_.headers.request_id}});
  exchange_->abort();
  step(request_event::caller_gone);
}

/// Why a complete answer doesn't end its stream; null if it does.
auto front_request::find_end_fault() const -> const char* {
  if (!is_stream() || response_.status != 200) return nullptr;
  if (!partial_event_.empty()) return "the last event is not whole";
  if (!events_.resumed()) return nullptr;
  if (has_other_media_type())
    return "the rest of the stream has another media type";
  const auto proved = response_.end != body_end::connection;
  // An endpoint with nothing left sends an empty stream.
  if (!events_.answer_has_events() &&
      (!proved || media_type(response_.headers) != event_media_type))
    return "the rest of the stream is empty";
  if (events_.answer_has_events() && !events_.answer_ends_stream())
    return "the rest of the stream ends before its beginning";
  // The caller would take the end of its stream for proved.
  if (!proved && caller_end_ != body_end::connection)
    return "only the connection ended the rest of the stream";
  return nullptr;
}

}  // namespace pollenloft
