#include "pollenloft/engine.hpp"

#include <nlohmann/json.hpp>

namespace pollenloft {

namespace {

using json = nlohmann::json;

constexpr std::size_t incarnation_digits = 20;
constexpr std::size_t session_digits = 6;

auto pad(std::int64_t number, std::size_t digits) -> std::string {
  auto text = std::to_string(number);
  return std::string(digits - std::min(digits, text.size()), '0') + text;
}

/// The process start, then the announcement number. Both are zero-padded so
/// that incarnations compare as strings.
auto incarnation_text(const json& body) -> std::string {
  return pad(body.at("incarnation").get<std::int64_t>(), incarnation_digits) +
         "." + pad(body.value("session", 0), session_digits);
}

/// The process start part of an incarnation.
auto process_incarnation(const std::string& incarnation) -> std::int64_t {
  return parse_number(incarnation.substr(0, std::min(incarnation.find('.'),
                                                     incarnation.size())))
      .value_or(0);
}

auto parse_loads(const json& body) -> std::vector<load_report> {
  std::vector<load_report> loads;
  if (!body.contains("loads")) return loads;
  for (const auto& item : body["loads"]) {
    load_report load;
    load.endpoint = item.value("endpoint", "");
    load.running = item.value("running", 0.0);
    load.layer_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(item.value("layer_us", 0.0)));
    load.link_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(item.value("link_us", 0.0)));
    loads.push_back(std::move(load));
  }
  return loads;
}

/// Decodes one event. Empty if its tag belongs to another dispatch.
auto parse_event(std::string_view text, const std::string& tag)
    -> std::optional<engine_event> {
  const auto body = json::parse(text, nullptr, false);
  if (!body.is_object())
    return stage_failure{"", "malformed event from the engine"};
  try {
    if (!tag.empty() && body.value("r", "") != tag) return std::nullopt;
    if (body.contains("t"))
      return token_event{body.at("i").get<std::int64_t>(),
                         body.at("t").get<std::string>()};
    if (body.contains("error"))
      return stage_failure{body.value("endpoint", ""), body.value("reason", ""),
                           body.value("crashed", false)};
    return end_event{body.at("n").get<std::int64_t>(), parse_loads(body)};
  } catch (const json::exception& exception) {
    return stage_failure{"", exception.what()};
  }
}

}  // namespace

auto make_generate_call(const generate_call& call) -> http_call {
  auto stages = json::array();
  for (const auto& stage : call.stages)
    stages.push_back(
        {{"endpoint", stage.endpoint->id},
         {"incarnation", process_incarnation(stage.endpoint->incarnation)},
         {"address", stage.endpoint->address.text()},
         {"from", stage.from},
         {"to", stage.to}});
  const json body{
      {"request", call.request},         {"attempt", call.attempt},
      {"prompt", call.prompt},           {"delivered", call.delivered},
      {"first_token", call.first_token}, {"max_tokens", call.max_tokens},
      {"priority", call.priority},       {"deadline_ms", call.deadline.count()},
      {"plan", std::move(stages)}};
  http_call result;
  result.peer = call.stages.front().endpoint->address;
  result.method = "POST";
  result.target = "/v1/generate";
  result.headers.add("Content-Type", "application/json");
  result.body = body.dump();
  result.limits = stream_limits;
  return result;
}

auto event_tag(const std::string& request, std::size_t attempt) -> std::string {
  return request + "/" + std::to_string(attempt);
}

auto event_reader::feed(std::string_view bytes) -> std::vector<engine_event> {
  std::vector<engine_event> events;
  // What was pending contains no end of an event.
  const auto searched = pending_.empty() ? 0 : pending_.size() - 1;
  pending_ += bytes;
  std::size_t start = 0;
  for (auto end = pending_.find("\n\n", searched); end != std::string::npos;
       end = pending_.find("\n\n", start)) {
    const auto line = std::string_view(pending_).substr(start, end - start);
    if (line.substr(0, 6) == "data: ")
      if (auto event = parse_event(line.substr(6), tag_))
        events.push_back(std::move(*event));
    start = end + 2;
  }
  pending_.erase(0, start);
  if (pending_.size() > max_event_bytes)
    events.emplace_back(stage_failure{"", "event too long"});
  return events;
}

auto decode_engine_notices(int status, const http_headers& headers)
    -> endpoint_notices {
  return evaluate_notices(status, headers.find_all(engine_limit_header),
                          headers.find(engine_leaving_header) == "yes",
                          headers.find_all("Retry-After"));
}

auto parse_refusal(std::string_view body) -> engine_refusal {
  const auto parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) return {"", "refused"};
  return {parsed.value("endpoint", ""), parsed.value("error", "refused")};
}

auto parse_announcement(std::string_view text, const std::string& owner)
    -> std::optional<wire::endpoint_record> {
  const auto body = json::parse(text, nullptr, false);
  wire::endpoint_record record;
  try {
    record.id = body.at("id").get<std::string>();
    record.incarnation = incarnation_text(body);
    record.address = body.at("address").get<std::string>();
    record.kind = body.value("kind", "default");
    record.zone = body.value("zone", "");
    record.pipeline = body.at("service").get<std::string>();
    record.first_layer = body.value("first_layer", 0);
    record.last_layer = body.value("last_layer", 1);
    record.slots = body.value("slots", 1);
    record.fencing = body.value("fencing", false);
    record.owner = owner;
  } catch (const json::exception& exception) {
    return fail("endpoint.announce", owner, exception.what());
  }
  if (!parse_socket_address(record.address)) return std::nullopt;
  const auto valid = !record.id.empty() && record.first_layer >= 0 &&
                     record.last_layer > record.first_layer && record.slots > 0;
  if (!valid)
    return fail("endpoint.announce", record.id,
                "needs an id, layers in order and at least one slot");
  return record;
}

auto parse_identity(std::string_view text) -> std::optional<endpoint_identity> {
  const auto body = json::parse(text, nullptr, false);
  try {
    return endpoint_identity{body.at("id").get<std::string>(),
                             incarnation_text(body)};
  } catch (const json::exception& exception) {
    return fail("endpoint.identity", "endpoint", exception.what());
  }
}

auto to_endpoint_view(const wire::endpoint_record& record)
    -> std::optional<endpoint_view> {
  const auto address = parse_socket_address(record.address);
  if (!address) return std::nullopt;
  constexpr double percent = 100;  // unit of `fill` and `slowdown`
  return endpoint_view{
      record.id,
      record.incarnation,
      *address,
      record.kind,
      record.zone,
      record.pipeline,
      record.first_layer,
      record.last_layer,
      record.slots,
      {},
      static_cast<double>(record.fill) / percent,
      std::max(1.0, static_cast<double>(record.slowdown) / percent)};
}

}  // namespace pollenloft
