/// \file core.hpp
/// Time, errors and hashing shared by every pollenloft library.
#ifndef POLLENLOFT_CORE_HPP
#define POLLENLOFT_CORE_HPP

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenloft {

using duration = std::chrono::nanoseconds;
using milliseconds = std::chrono::milliseconds;

/// Monotonic clock that includes the time the machine is suspended
/// (CLOCK_BOOTTIME), so that a lease that ends during a suspension counts as
/// expired on resume.
struct boottime_clock {
  using duration = pollenloft::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boottime_clock, duration>;
  static constexpr bool is_steady = true;
  static auto now() noexcept -> time_point;
};

using instant = boottime_clock::time_point;

/// Wall-clock time in milliseconds since the Unix epoch. Timeouts and leases
/// use `boottime_clock` instead.
auto wall_clock() -> milliseconds;

/// Why an operation failed. `step` names the operation, such as
/// `journal.open`; `peer` names the process, file or field concerned.
struct error {
  std::string step;
  std::string peer;
  std::string reason;

  /// One line: `step=... peer=... reason=...`.
  auto text() const -> std::string;
};

/// Records an error for `last_error` and returns an empty optional:
///
///     if (fd < 0) return fail("journal.open", path, strerror(errno));
auto fail(std::string step, std::string peer, std::string reason)
    -> std::nullopt_t;

/// The error recorded by the latest `fail` on this thread. It is valid only
/// directly after an operation has returned an empty optional.
auto last_error() -> const error&;

/// 64-bit xxHash (XXH64). Equal input and seed give the same value on every VM.
auto hash64(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

/// Deterministic pseudorandom number generator (SplitMix64). Modules without
/// I/O get their seed from the code that uses them, so their runs can be
/// reproduced.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : state_(seed) {}

  /// Uniform over all 64-bit values.
  auto next() -> std::uint64_t;
  /// Uniform in [0, bound); `bound` must not be 0.
  auto below(std::uint64_t bound) -> std::uint64_t { return next() % bound; }
  /// Uniform in [0, 1).
  auto unit() -> double;

 private:
  std::uint64_t state_;
};

/// An IPv4 address and a TCP port.
struct socket_address {
  std::string host;
  std::uint16_t port = 0;

  /// `host:port`.
  auto text() const -> std::string;
  auto operator==(const socket_address&) const -> bool = default;
};

/// Converts `a.b.c.d` to a number in host byte order; 0 if `host` is not an
/// IPv4 address.
auto ipv4_number(const std::string& host) -> std::uint32_t;
/// Converts a number in host byte order to `a.b.c.d`.
auto ipv4_text(std::uint32_t number) -> std::string;

/// Parses `a.b.c.d:port` with a port from 1 to 65535. Empty on failure, see
/// `last_error`.
auto parse_socket_address(std::string_view text)
    -> std::optional<socket_address>;

/// Parses a decimal integer that takes up the complete text. Empty on failure,
/// see `last_error`.
auto parse_number(std::string_view text) -> std::optional<std::int64_t>;

/// Parses a finite decimal number that takes up the complete text, in any
/// locale; empty if it is none. `fixed` allows no exponent.
auto parse_decimal(std::string_view text,
                   std::chars_format format = std::chars_format::general)
    -> std::optional<double>;

/// The text without spaces and tabs at its ends.
auto trimmed(std::string_view text) -> std::string_view;

inline auto seconds(duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

/// Visitor for `std::visit`, combined from one lambda for each alternative.
template <class... Visitors>
struct overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

}  // namespace pollenloft

#endif
