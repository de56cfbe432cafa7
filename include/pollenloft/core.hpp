/// \file core.hpp
/// Time, errors and hashing shared by every pollenloft library.
#ifndef POLLENLOFT_CORE_HPP
#define POLLENLOFT_CORE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenloft {

using duration = std::chrono::nanoseconds;
using milliseconds = std::chrono::milliseconds;

/// Monotonic clock that also counts time spent suspended, so that a lease
/// which ran out during a suspension is seen as expired afterwards.
struct boottime_clock {
  using duration = pollenloft::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boottime_clock, duration>;
  static constexpr bool is_steady = true;
  static auto now() noexcept -> time_point;
};

using instant = boottime_clock::time_point;

/// Wall-clock time of audit records, milliseconds since the Unix epoch.
auto wall_clock() -> milliseconds;

/// Why an operation failed. `step` names the operation, `peer` the process,
/// file or field it concerned.
struct error {
  std::string step;
  std::string peer;
  std::string reason;

  /// One line: `step=... peer=... reason=...`.
  auto text() const -> std::string;
};

/// Records the reason of a failure and returns an empty optional:
///
///     if (fd < 0) return fail("journal.open", path, strerror(errno));
auto fail(std::string step, std::string peer, std::string reason)
    -> std::nullopt_t;

/// The reason recorded by the latest `fail` on this thread. It is meaningful
/// only right after an operation has returned an empty optional.
auto last_error() -> const error&;

/// 64-bit hash (xxHash), equal on every VM for equal input and seed.
auto hash64(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

/// Small deterministic random source (splitmix64). Pure modules hold one that
/// is seeded by their caller.
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

  auto text() const -> std::string;
  auto operator==(const socket_address&) const -> bool = default;
};

/// The address's four bytes as a number, most significant first; 0 if `host`
/// is not of form a.b.c.d.
auto ipv4_number(const std::string& host) -> std::uint32_t;
/// The reverse: `a.b.c.d`.
auto ipv4_text(std::uint32_t number) -> std::string;

/// Parses `a.b.c.d:port`.
auto parse_socket_address(std::string_view text)
    -> std::optional<socket_address>;

/// Parses a whole decimal number.
auto parse_number(std::string_view text) -> std::optional<std::int64_t>;

/// Calls the alternative of a variant's visitor that fits.
template <class... Visitors>
struct overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

}  // namespace pollenloft

#endif
