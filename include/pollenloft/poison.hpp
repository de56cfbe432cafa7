/// \file poison.hpp
/// Requests that crash the endpoints that run them.
#ifndef POLLENLOFT_POISON_HPP
#define POLLENLOFT_POISON_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenloft {

/// Identifies a request over all its arrivals, at any VM: two arrivals with the
/// same account, target and body are the same request.
auto request_fingerprint(std::string_view account, std::string_view target,
                         std::string_view body) -> std::uint64_t;

/// A fingerprint as it appears in logs and in operators' commands.
auto fingerprint_text(std::uint64_t fingerprint) -> std::string;

}  // namespace pollenloft

#endif
