/// \file limit.hpp
/// Request limits: how many requests a second an endpoint takes from all VMs
/// together, as it states in its responses. The leader issues permits for such
/// endpoints at the stated rate, and a VM sends one request for each permit.
/// Does no I/O and reads no clock.
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
  /// Replaces what is known of the endpoint.
  auto replace(const limit_statement& statement) -> limit_change;
  auto forget(const std::string& endpoint) -> void;
  /// The latest statement; null if the endpoint has named no limit.
  auto find(const std::string& endpoint) const -> const limit_statement*;
  auto statements() const -> const std::map<std::string, limit_statement>& {
    return statements_;
  }

 private:
  std::map<std::string, limit_statement> statements_;
};

/// Time for which a VM may use a permit after it has asked for it.
inline constexpr auto permit_lifetime = milliseconds(1000);

/// A VM's request for permits for one endpoint, with what it knows of its
/// limit.
struct permit_want {
  limit_statement statement;
  int wanted = 0;
  int returned = 0;  ///< permits that it has not used in time
};

/// The leader's reply for one endpoint.
struct permit_grant {
  limit_statement statement;  ///< the latest of all VMs
  int permits = 0;
  milliseconds retry_after{
      0};  ///< until the VM may ask for this endpoint again
};

/// Issues permits at the leader. Over any time span, all VMs together get as
/// many as the limit allows for it and for half a second more, or two more. A
/// new leader starts without permits, since those of the one before it may
/// still be in use.
class permit_issuer {
 public:
  /// Takes the VM's statement and unused permits, and grants others.
  auto handle(const std::string& vm, const permit_want& want, instant now)
      -> permit_grant;
  /// Drops all state; called when this replica is elected.
  auto clear() -> void;
  auto limits() const -> const limit_register& { return limits_; }
  auto granted() const -> std::uint64_t { return granted_; }

 private:
  struct supply {
    std::string incarnation;
    double free = 0;
    instant filled_at{};
    std::map<std::string, instant> unserved;  // VMs and when they last asked
  };

  auto fill(supply& endpoint, double per_second, instant now) const -> void;

  limit_register limits_;
  std::map<std::string, supply> supplies_;  // by endpoint
  std::uint64_t granted_ = 0;
};

/// A VM's permits. While no leader replies, the VM issues itself an even part
/// of the limit, at random times, so that parts below one add up over the VMs.
class request_limiter {
 public:
  explicit request_limiter(std::uint64_t seed = 1) : random_(seed) {}

  /// Takes a statement of a response to this VM.
  auto observe(const limit_statement& statement) -> limit_change;
  /// Takes the limit that the leader's directory names; empty if it names none.
  auto announce(const std::string& endpoint, const std::string& incarnation,
                std::optional<double> per_second) -> limit_change;
  auto forget(const std::string& endpoint) -> void;
  /// Number of VMs that share the limits, including this one.
  auto set_vm_count(std::size_t vms) -> void;

  /// Whether a request may be sent to the endpoint now. If not, this VM asks
  /// for a permit.
  auto admits(const std::string& endpoint, const std::string& incarnation,
              instant now) -> bool;
  /// When this VM may next ask for permits for the endpoint; in the past if it
  /// may now.
  auto next_ask(const std::string& endpoint) const -> instant;
  /// Uses a permit for a request that is sent; no effect without a limit.
  auto take(const std::string& endpoint) -> void;

  /// What to ask the leader for now; empty if there is nothing or a call is
  /// under way. It must be followed by `apply` or `on_failure`.
  auto next_wants(instant now) -> std::vector<permit_want>;
  /// Takes the reply to a call that was sent at `sent`; true if it brings
  /// permits.
  auto apply(const std::vector<permit_grant>& grants, instant sent, instant now)
      -> bool;
  auto on_failure(instant now) -> void;

  auto limits() const -> const limit_register& { return limits_; }
  auto permits(const std::string& endpoint) const -> int;
  auto used() const -> std::uint64_t { return used_; }
  auto denied() const -> std::uint64_t { return denied_; }

 private:
  struct purse {
    int permits = 0;
    instant valid_until{};
    int used = 0;         // since the last call
    bool denied = false;  // since the last call
    int returned = 0;     // not reported yet
    bool report_due = false;
    instant ask_at{};
    instant own_part_at{};  // of the last own permit considered
  };

  auto expire(purse& held, instant now) const -> void;
  auto issue_own_part(purse& held, double per_second, instant now) -> void;

  limit_register limits_;
  std::map<std::string, purse> purses_;  // by endpoint
  random_source random_;
  std::size_t vms_ = 1;
  bool call_in_flight_ = false;
  std::optional<instant> failing_since_;
  std::uint64_t used_ = 0;
  std::uint64_t denied_ = 0;
};

}  // namespace pollenloft

#endif
