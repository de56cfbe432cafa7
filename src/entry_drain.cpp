// Shutdown of an entry VM.
#include "entry_server.hpp"

namespace pollenloft {

namespace {

// Time for the last responses to be sent after open requests were ended.
constexpr auto flush_timeout = milliseconds(400);
// Time for reports to the leader to be acknowledged after the last request.
constexpr auto report_flush_timeout = std::chrono::seconds(1);
// Period of looking whether the last request has ended.
constexpr auto drain_poll_interval = milliseconds(20);

}  // namespace

auto entry_server::shut_down() -> void {
  if (options_.disabled_mechanism == "drain") return loop_.stop();
  if (shutting_down_) return;
  shutting_down_ = true;
  log_drain(log_level::info, "drain.started");
  phase_ = drain_phase::notice;
  drain_timer_ = loop_.after(options_.drain_notice, [this] {
    phase_ = drain_phase::refusing;
    server_.close_listener();
    drain_timer_ = loop_.every(drain_poll_interval, [this] { finish_drain(); });
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
