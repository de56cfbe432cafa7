/// \file engine.hpp
/// The protocol spoken with endpoints: HTTP with JSON bodies, answers as
/// server-sent events. Nothing else in pollenloft knows these formats.
#ifndef POLLENLOFT_ENGINE_HPP
#define POLLENLOFT_ENGINE_HPP

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pollenloft/net.hpp"
#include "pollenloft/route.hpp"
#include "pollenloft/wire.hpp"

namespace pollenloft {

/// Header by which an endpoint says that no part of a refused call ran.
constexpr auto engine_began_header = "Engine-Began";

/// A dispatch of a model request to the head of a chain.
struct generate_call {
  std::string request;
  std::size_t attempt = 1;
  std::string prompt;
  std::string delivered;  ///< text of the tokens the caller already has
  std::int64_t first_token = 0;
  std::int64_t max_tokens = 1;
  std::int32_t priority = 1;
  milliseconds deadline{0};  ///< left from now
  chain stages;
};

auto make_generate_call(const generate_call& call) -> http_call;

/// One token of an answer.
struct token_event {
  std::int64_t index = 0;
  std::string text;
};
/// The answer is whole.
struct end_event {
  std::int64_t tokens = 0;  ///< of the whole answer, from its first token
  std::vector<load_report> loads;
};
/// A stage of the chain failed; the answer stops here.
struct stage_failure {
  std::string endpoint;
  std::string reason;
  bool crashed = false;
};
using engine_event = std::variant<token_event, end_event, stage_failure>;

/// Cuts a byte stream into engine events:
///
///     event_reader reader(event_tag("r-17", 2));
///     for (auto& event : reader.feed(bytes)) std::visit(visitor, event);
class event_reader {
 public:
  /// Events that do not carry `tag` belong to another answer; they are
  /// dropped.
  explicit event_reader(std::string tag = "") : tag_(std::move(tag)) {}

  /// Events completed by these bytes; malformed ones become stage failures.
  auto feed(std::string_view bytes) -> std::vector<engine_event>;

 private:
  std::string tag_;
  std::string pending_;
};

/// The tag of all events of one dispatch.
auto event_tag(const std::string& request, std::size_t attempt) -> std::string;

/// Why an endpoint refused a call.
struct engine_refusal {
  std::string endpoint;
  std::string reason;
};
auto parse_refusal(std::string_view body) -> engine_refusal;

/// Reads an endpoint's announcement; `owner` is the VM that received it.
auto parse_announcement(std::string_view body, const std::string& owner)
    -> std::optional<wire::endpoint_record>;

/// Identifies an endpoint in heartbeats and leave notices.
struct endpoint_identity {
  std::string id;
  std::string incarnation;
};
auto parse_identity(std::string_view body) -> std::optional<endpoint_identity>;

/// The router's view of a directory record.
auto to_endpoint_view(const wire::endpoint_record& record)
    -> std::optional<endpoint_view>;

}  // namespace pollenloft

#endif
