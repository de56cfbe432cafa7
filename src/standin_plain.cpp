#include "standin_engine.hpp"

namespace pollenloft::standin {

namespace {

using json = nlohmann::json;

/// Names the endpoint in calls of the platform's front.
constexpr auto platform_endpoint_header = "Expect-Instance";
constexpr auto platform_limit_header = "Server-Limit";
constexpr auto own_limit_header = "Engine-Request-Limit";
constexpr auto platform_leaving_header = "Server-Leaving";
constexpr auto own_leaving_header = "Engine-Leaving";
constexpr auto platform_not_run_header = "Not-Executed";
constexpr auto platform_id_header = "Request-Id";

}  // namespace

auto reply_json(const exchange_ptr& call, int status, const json& body,
                bool may_have_run) -> void {
  http_headers headers;
  headers.add("Content-Type", "application/json");
  if (!may_have_run) headers.add("Engine-Began", "no");
  call->reply(status, headers, body.dump() + "\n");
}

auto engine::add_notices(http_headers& headers, bool on_front) const -> void {
  if (request_limit_ >= 0)
    headers.add(on_front ? platform_limit_header : own_limit_header,
                std::to_string(request_limit_));
  if (says_leaving_)
    headers.add(on_front ? platform_leaving_header : own_leaving_header,
                on_front ? "1" : "yes");
}

auto engine::refuse_paused(const exchange_ptr& call, bool on_front) const
    -> void {
  http_headers headers;
  headers.add("Content-Type", "application/json");
  headers.add(on_front ? platform_not_run_header : "Engine-Began",
              on_front ? "1" : "no");
  if (const auto id = call->request().headers.find(platform_id_header))
    headers.add(platform_id_header, *id);
  const auto left = paused_until_ - boottime_clock::now();
  headers.add("Retry-After",
              std::to_string(std::chrono::duration<double>(left).count()));
  call->reply(503, headers,
              json{{"error", "paused"}, {"endpoint", spec_.id}}.dump() + "\n");
}

auto engine::handle_plain(const exchange_ptr& call) -> void {
  const auto& request = call->request();
  const auto refuse = [&](const char* reason) {
    reply_json(call, 503, {{"error", reason}, {"endpoint", spec_.id}}, false);
  };
  auto endpoint = request.headers.find("Pollenloft-Endpoint");
  if (!endpoint) endpoint = request.headers.find(platform_endpoint_header);
  const auto on_front =
      request.headers.find(platform_endpoint_header).has_value();
  if (endpoint != spec_.id) return refuse("incarnation");
  if (pauses()) return refuse_paused(call, on_front);
  if (leave_announced_at_ != instant{}) return refuse("leaving");
  if (plain_running_ >= spec_.slots) return refuse("full");
  const auto key =
      request.headers.find("Idempotency-Key").value_or(request.body);
  ++plain_running_;
  ++context_.ledger.plain_runs[key];
  const auto crashes = request.body.find(crash_marker) != std::string::npos;
  const auto incarnation = incarnation_;
  run_later(
      context_.loop, latency_ + response_delay_,
      [this, call, key, crashes, incarnation, on_front] {
        if (!running_ || incarnation != incarnation_) return call->abort();
        if (frozen_) return;
        if (crashes) {
          call->abort();
          return crash();
        }
        --plain_running_;
        http_headers headers;
        headers.add("Content-Type", "application/json");
        add_notices(headers, on_front);
        call->reply(200, headers, json{{"done", key}, {"by", spec_.id}}.dump());
      });
}

}  // namespace pollenloft::standin
