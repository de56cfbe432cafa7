#include "pollenloft/core.hpp"

#include <arpa/inet.h>
#include <time.h>
#include <xxhash.h>

#include <array>
#include <charconv>
#include <cmath>

namespace pollenloft {

namespace {
thread_local error latest_error;
}

auto boottime_clock::now() noexcept -> time_point {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return time_point(std::chrono::seconds(ts.tv_sec) +
                    std::chrono::nanoseconds(ts.tv_nsec));
}

auto wall_clock() -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

auto error::text() const -> std::string {
  return "step=" + step + " peer=" + peer + " reason=\"" + reason + "\"";
}

auto fail(std::string step, std::string peer, std::string reason)
    -> std::nullopt_t {
  latest_error = {std::move(step), std::move(peer), std::move(reason)};
  return std::nullopt;
}

auto last_error() -> const error& {
  return latest_error;
}

auto hash64(std::string_view bytes, std::uint64_t seed) -> std::uint64_t {
  return XXH64(bytes.data(), bytes.size(), seed);
}

auto random_source::next() -> std::uint64_t {
  state_ += 0x9e3779b97f4a7c15U;
  auto z = state_;
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31U);
}

auto random_source::unit() -> double {
  return static_cast<double>(next() >> 11U) * 0x1.0p-53;
}

auto socket_address::text() const -> std::string {
  return host + ":" + std::to_string(port);
}

auto parse_number(std::string_view text) -> std::optional<std::int64_t> {
  std::int64_t value = 0;
  const auto* end = text.data() + text.size();
  auto [next, code] = std::from_chars(text.data(), end, value);
  if (code != std::errc() || next != end || text.empty())
    return fail("parse.number", std::string(text), "not a whole number");
  return value;
}

auto parse_decimal(std::string_view text, std::chars_format format)
    -> std::optional<double> {
  double value = 0;
  const auto* end = text.data() + text.size();
  const auto [next, code] = std::from_chars(text.data(), end, value, format);
  const auto valid = code == std::errc() && next == end && std::isfinite(value);
  return valid ? std::optional(value) : std::nullopt;
}

auto trimmed(std::string_view text) -> std::string_view {
  const auto from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

auto ipv4_number(const std::string& host) -> std::uint32_t {
  in_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) return 0;
  return ntohl(parsed.s_addr);
}

auto ipv4_text(std::uint32_t number) -> std::string {
  in_addr address{};
  address.s_addr = htonl(number);
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address, text.data(), text.size());
  return text.data();
}

auto parse_socket_address(std::string_view text)
    -> std::optional<socket_address> {
  const auto colon = text.rfind(':');
  const auto fail_format = [&] {
    return fail("parse.address", std::string(text), "not of form a.b.c.d:port");
  };
  if (colon == std::string_view::npos) return fail_format();
  const auto port = parse_number(text.substr(colon + 1));
  if (!port || *port < 1 || *port > 65535) return fail_format();
  auto host = std::string(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) return fail_format();
  return socket_address{std::move(host), static_cast<std::uint16_t>(*port)};
}

}  // namespace pollenloft
