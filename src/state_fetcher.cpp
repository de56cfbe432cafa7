#include "state_fetcher.hpp"

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

/// A part is small, so a replica that needs longer is cut off or overloaded.
constexpr auto part_timeout = milliseconds(400);
constexpr auto connect_timeout = milliseconds(200);
constexpr auto retry_delay = milliseconds(20);

auto failure_of(const call_result& result) -> error {
  if (const auto* unsent = std::get_if<call_unsent>(&result))
    return unsent->cause;
  if (const auto* interrupted = std::get_if<call_interrupted>(&result))
    return interrupted->cause;
  return {"state.fetch", "", "the reply has another status than 200"};
}

auto completed_with_ok(const call_result& result) -> bool {
  const auto* completed = std::get_if<call_completed>(&result);
  return completed != nullptr && completed->status == 200;
}

}  // namespace

state_fetcher::state_fetcher(event_loop& loop, http_client& client,
                             state_kind kind, std::uint64_t spread)
    : loop_(loop), client_(client), kind_(kind), source_(spread) {}

auto state_fetcher::set_sources(replica_source replicas, held_source held)
    -> void {
  replicas_ = std::move(replicas);
  held_ = std::move(held);
}

auto state_fetcher::fetch(std::int64_t version) -> void {
  wanted_ = std::max(wanted_, version);
  if (active_) return;
  active_ = true;
  started_ = boottime_clock::now();
  failed_calls_ = 0;
  send_next();
}

auto state_fetcher::send_next() -> void {
  const auto held = held_();
  if (held.version >= wanted_) {
    active_ = false;
    return;
  }
  const auto& replicas = replicas_();
  http_call call{replicas[source_ % replicas.size()], "POST",
                 state_transfer_path};
  call.body = encode_wire(assembly_.next_request(kind_, wanted_, held));
  call.timeout = part_timeout;
  call.connect_timeout = connect_timeout;
  call.keep_alive = true;
  client_.send(call, {{}, {}, [this](const auto& result, auto body) {
                        if (!completed_with_ok(result))
                          return retry_elsewhere(failure_of(result));
                        handle_part(body);
                      }});
}

auto state_fetcher::handle_part(std::string_view body) -> void {
  const auto part = decode_wire<wire::state_part>(body);
  if (!part) return retry_elsewhere(last_error());
  if (part->version == 0)
    return retry_elsewhere({"state.fetch", std::to_string(wanted_),
                            "the replica does not know the version"});
  handle_progress(assembly_.add(*part, held_()));
}

auto state_fetcher::handle_progress(const transfer_progress& progress) -> void {
  std::visit(overloaded{[&](const transfer_incomplete&) { send_next(); },
                        [&](const transfer_corrupt& corrupt) {
                          retry_elsewhere(corrupt.cause);
                        },
                        [&](const transfer_completed& complete) {
                          handle_completed(complete);
                        }},
             progress);
}

auto state_fetcher::handle_completed(const transfer_completed& complete)
    -> void {
  const auto now = boottime_clock::now();
  completed_({complete.state, complete.frame_bytes,
              std::exchange(failed_calls_, 0),
              now - std::exchange(started_, now)});
  if (held_().version >= complete.state.version) return send_next();
  retry_elsewhere({"state.fetch", std::to_string(complete.state.version),
                   "the text was not accepted"});
}

auto state_fetcher::retry_elsewhere(const error& cause) -> void {
  ++failed_calls_;
  ++source_;
  log_event(log_level::warning, "state.part_failed",
            {{"kind", static_cast<int>(kind_)},
             {"version", wanted_},
             {"step", cause.step},
             {"peer", cause.peer},
             {"reason", cause.reason}});
  retry_ = loop_.after(retry_delay, [this] { send_next(); });
}

}  // namespace pollenloft
