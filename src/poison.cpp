#include "pollenloft/poison.hpp"

#include <iomanip>
#include <sstream>

#include "pollenloft/core.hpp"

namespace pollenloft {

auto request_fingerprint(std::string_view account, std::string_view target,
                         std::string_view body) -> std::uint64_t {
  // Stored with claims of idempotency keys, so it must not change.
  return hash64(body, hash64(std::string(account).append(target)));
}

auto fingerprint_text(std::uint64_t fingerprint) -> std::string {
  constexpr int hex_digits = 16;
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(hex_digits) << fingerprint;
  return text.str();
}

}  // namespace pollenloft
