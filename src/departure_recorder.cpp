#include "departure_recorder.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

/// An endpoint calls another control VM after 1 s without an answer.
constexpr auto record_timeout = milliseconds(600);
constexpr auto gone = static_cast<std::int8_t>(endpoint_state::gone);
constexpr int status_unknown_path = 404;

}  // namespace

auto departure_recorder::departure_of(const std::string& id) const
    -> wire::departure_command {
  wire::departure_command departure;
  departure.id = id;
  departure.state = gone;
  const auto known = directory_.records().find(id);
  if (known != directory_.records().end()) {
    departure.incarnation = known->second.incarnation;
    departure.state = known->second.state;
  }
  return departure;
}

/// An endpoint that has left names no process, so its latest one is meant. The
/// directory of another control VM may not know that one yet.
auto departure_recorder::with_latest_process(
    wire::departure_command departure) const -> wire::departure_command {
  if (departure.state != gone) return departure;
  const auto known = directory_.records().find(departure.id);
  if (known != directory_.records().end())
    departure.incarnation =
        std::max(departure.incarnation, known->second.incarnation);
  if (const auto* recorded = state_.departures().find(departure.id))
    departure.incarnation =
        std::max(departure.incarnation, recorded->incarnation);
  return departure;
}

auto departure_recorder::record(const std::string& id, result_handler done)
    -> void {
  auto departure = with_latest_process(departure_of(id));
  if (state_.departures().covers(departure)) return done(true);
  if (hooks_.is_active_leader())
    return commit({std::move(departure)}, std::move(done));
  waiting_.push_back({std::move(departure), std::move(done)});
  send_task_.schedule();
}

auto departure_recorder::commit(
    const std::vector<wire::departure_command>& departures, result_handler done)
    -> void {
  if (!hooks_.is_active_leader()) return done(false);
  struct progress {
    std::size_t open = 1;
    bool recorded = true;
    result_handler done;
  };
  const auto shared = std::make_shared<progress>();
  shared->done = std::move(done);
  const auto finish_one = [shared](bool recorded) {
    shared->recorded = shared->recorded && recorded;
    if (--shared->open == 0) shared->done(shared->recorded);
  };
  for (const auto& announced : departures) {
    wire::command command;
    command.__isset.departure = true;
    command.departure = with_latest_process(announced);
    if (state_.departures().covers(command.departure)) continue;
    command.departure.at_ms = wall_clock().count();
    log_event(log_level::info, "departure.recording",
              {{"endpoint", announced.id},
               {"incarnation", command.departure.incarnation},
               {"state", static_cast<int>(announced.state)}});
    ++shared->open;
    hooks_.submit(command, finish_one);
  }
  finish_one(true);
}

auto departure_recorder::reject_waiting() -> void {
  for (auto& waiting : std::exchange(waiting_, {}))
    waiting.done(false);
}

auto departure_recorder::send_waiting() -> void {
  const auto address = hooks_.leader_address();
  if (!address) return reject_waiting();
  auto sent = std::exchange(waiting_, {});
  if (sent.empty()) return;
  wire::departure_request request;
  for (const auto& waiting : sent)
    request.departures.push_back(waiting.departure);
  client_.send(http_call{*address,
                         "POST",
                         "/peer/departures",
                         {},
                         encode_wire(request),
                         record_timeout,
                         true},
               {{}, {}, [this, sent](const auto& result, auto response) {
                  on_reply(sent, result, response);
                }});
}

auto departure_recorder::on_reply(const batch& sent, const call_result& result,
                                  std::string_view response) -> void {
  const auto* completed = std::get_if<call_completed>(&result);
  const auto status = completed == nullptr ? 0 : completed->status;
  const auto reply = status == 200
                         ? decode_wire<wire::departure_reply>(response)
                         : std::nullopt;
  for (const auto& [departure, done] : sent) {
    if (status == status_unknown_path)
      hooks_.confirm_in_memory(departure.id, done);
    else
      done(reply && reply->accepted);
  }
}

}  // namespace pollenloft
