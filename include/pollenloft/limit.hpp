/// \file limit.hpp
/// Request limits: how many requests a second an endpoint takes from all VMs
/// together, as it states in its responses. Does no I/O and reads no clock.
#ifndef POLLENLOFT_LIMIT_HPP
#define POLLENLOFT_LIMIT_HPP

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

/// The response names no limit.
struct no_request_limit {};
struct request_limit {
  double per_second = 0;
};
/// The response names a limit that can't be evaluated.
struct unreadable_request_limit {
  std::string text;
};
using limit_field =
    std::variant<no_request_limit, request_limit, unreadable_request_limit>;

/// Evaluates all header fields of one response that name its limit: a single
/// decimal number of at least 0.
auto parse_request_limit(const std::vector<std::string>& values) -> limit_field;

/// What a response says of the limit of its endpoint.
struct limit_statement {
  std::string endpoint;
  std::string incarnation;
  std::optional<double> per_second;  ///< empty if requests are not limited
  instant asked{};                   ///< when the request was sent
  instant answered{};                ///< when the head of its response arrived

  auto operator==(const limit_statement&) const -> bool = default;
};

/// How a statement changed what is known of a limit.
enum class limit_change { none, named, altered, lifted };
auto limit_change_name(limit_change change) -> const char*;

/// The latest statements, one for each endpoint that has named a limit.
/// Responses may overtake each other. A statement is later than another one if
/// its request was sent after the response of the other had arrived.
class limit_register {
 public:
  /// Takes a statement that is later than the known one. Of statements in no
  /// order, the lower limit counts; they neither lift a limit nor bring a
  /// lifted one back.
  auto update(const limit_statement& statement) -> limit_change;
  /// Removes an endpoint that is gone, or what earlier incarnations stated.
  auto forget(const std::string& endpoint) -> void;
  /// The latest statement; null if the endpoint has named no limit.
  auto find(const std::string& endpoint) const -> const limit_statement*;
  auto statements() const -> const std::map<std::string, limit_statement>& {
    return statements_;
  }

 private:
  std::map<std::string, limit_statement> statements_;
};

}  // namespace pollenloft

#endif
