/// \file notice.hpp
/// What endpoints state of themselves in their responses: that they leave, or
/// that they want no requests of this VM for a time. Does no I/O and reads no
/// clock.
#ifndef POLLENLOFT_NOTICE_HPP
#define POLLENLOFT_NOTICE_HPP

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pollenloft/core.hpp"
#include "pollenloft/limit.hpp"

namespace pollenloft {

/// The response asks for no pause.
struct no_pause {};
/// The endpoint wants no requests for this time after the response.
struct pause_request {
  milliseconds length{0};
};
/// The response asks for a pause of a length that can't be evaluated.
struct unreadable_pause {
  std::string text;
};
using pause_field = std::variant<no_pause, pause_request, unreadable_pause>;

/// Longer pauses are cut; the endpoint may ask again afterwards.
inline constexpr auto max_pause = std::chrono::minutes(10);

/// Evaluates all Retry-After fields of one refusal: decimal seconds of at least
/// 0. Of several fields the longest counts.
auto parse_pause(const std::vector<std::string>& values) -> pause_field;

/// What the head of one response states of the endpoint that sent it.
struct endpoint_notices {
  limit_field limit;
  bool leaving = false;
  pause_field pause;
};

/// Evaluates one head: the values of the fields that name a limit or a pause,
/// and whether it says that the endpoint leaves. Only refusals with status 503
/// ask for a pause.
auto evaluate_notices(int status, const std::vector<std::string>& limits,
                      bool leaving, const std::vector<std::string>& pauses)
    -> endpoint_notices;
/// Whether the head asks for a pause, however long.
auto asks_for_pause(const endpoint_notices& stated) -> bool;
/// The length of the pause that the head asks for; one of unknown length is
/// taken for a second. Empty if it asks for none.
auto pause_length(const endpoint_notices& stated) -> std::optional<duration>;

/// A process of an endpoint, by which notices are kept: one that starts again
/// under its id has stated nothing yet.
struct endpoint_process {
  std::string id;
  std::string incarnation;
  std::int32_t slots = 1;
};

/// What a refusal changed of the pause of its endpoint.
enum class pause_change { none, began, renewed };

/// The endpoints that leave or pause, as this VM knows them. After a pause the
/// VM sends one request, a trial, at a random time, so that the VMs do not
/// return all at once; other requests follow its response.
class notice_register {
 public:
  explicit notice_register(std::uint64_t seed = 1) : random_(seed) {}

  /// Number of VMs that the endpoints serve, including this one.
  auto set_vm_count(std::size_t vms) -> void;

  /// Records that the process leaves; false if that is known.
  auto add_leaving(const endpoint_process& endpoint, instant now) -> bool;
  /// Whether the leader is to be told that the process leaves; then it is not
  /// again for a while.
  auto take_report(const std::string& id, const std::string& incarnation,
                   instant now) -> bool;
  /// Records a pause that begins now. Never shortens a pause.
  auto add_pause(const endpoint_process& endpoint, duration length, instant now)
      -> pause_change;
  /// Records a response without a pause to a request sent at `asked`; true if
  /// it ends a pause.
  auto add_response(const std::string& id, const std::string& incarnation,
                    instant asked) -> bool;
  /// Notes that a request is sent, which is the trial if the endpoint pauses.
  auto take(const std::string& id, const std::string& incarnation, instant now)
      -> void;
  /// Drops what was known of an earlier process than this one; true if that
  /// left or paused. Of a pause, a trial remains: it may have been asked for by
  /// this process before its record arrived.
  auto replace(const std::string& id, const std::string& incarnation,
               instant now) -> bool;

  /// Whether a request may be sent to the endpoint now.
  auto admits(const std::string& id, const std::string& incarnation,
              instant now) const -> bool;
  auto leaves(const std::string& id, const std::string& incarnation) const
      -> bool;
  /// Whether the endpoint pauses now, whether or not it leaves.
  auto pauses(const std::string& id, const std::string& incarnation,
              instant now) const -> bool;
  /// When the trial may be sent; empty if the endpoint does not pause.
  auto returns_at(const std::string& id, const std::string& incarnation) const
      -> std::optional<instant>;

  /// A pause whose trial has not been answered.
  struct pause {
    instant until{};        ///< the end that the endpoint named
    instant resume{};       ///< of this VM's first request
    instant trial_until{};  ///< no second trial is sent before
  };
  struct entry {
    std::string process;  ///< the part of its incarnation that names it
    bool leaving = false;
    std::optional<pause> paused;
    instant changed{};
    instant reported{};  ///< to the leader, that it leaves
  };
  auto entries() const -> const std::map<std::string, entry>& {
    return entries_;
  }
  auto empty() const -> bool { return entries_.empty(); }
  /// Whether any endpoint pauses.
  auto any_paused() const -> bool { return paused_ > 0; }

 private:
  /// The entry of this process; null if there is none.
  template <class Entries>
  static auto find(Entries& entries, const std::string& id,
                   const std::string& incarnation)
      -> decltype(&entries.begin()->second);
  /// Null if the register knows a later process of the endpoint.
  auto find_or_add(const endpoint_process& endpoint, instant now) -> entry*;
  auto evict_oldest() -> void;
  auto erase(const std::string& id) -> void;
  /// Time over which the VMs send their first requests after a pause.
  auto return_span(std::int32_t slots) const -> duration;

  random_source random_;
  std::size_t vms_ = 1;
  std::size_t paused_ = 0;                // endpoints
  std::map<std::string, entry> entries_;  // by endpoint id
};

/// When a caller that is refused because endpoints pause for `wait` may return.
/// Callers with different fractions, in [0, 1), do not return together.
auto retry_after_pause(duration wait, double fraction) -> milliseconds;

}  // namespace pollenloft

#endif
