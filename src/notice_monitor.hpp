/// \file notice_monitor.hpp
/// Evaluates what endpoints state of themselves in their responses and in the
/// directory: request limits, pauses, and that they leave.
#ifndef POLLENLOFT_NOTICE_MONITOR_HPP
#define POLLENLOFT_NOTICE_MONITOR_HPP

#include <sigc++/sigc++.h>
#include <string>
#include <vector>

#include "pollenloft/notice.hpp"
#include "pollenloft/route.hpp"
#include "pollenloft/wire.hpp"

namespace pollenloft {

class notice_monitor {
 public:
  notice_monitor(request_limiter& limiter, std::uint64_t seed)
      : limiter_(limiter), notices_(seed) {}
  notice_monitor(const notice_monitor&) = delete;
  auto operator=(const notice_monitor&) -> notice_monitor& = delete;

  /// Takes the head of a response from the first of `stages` to a request that
  /// was sent at `asked`.
  auto observe(const chain& stages, int status, const endpoint_notices& stated,
               instant asked) -> void;
  /// Takes the head of a response to a command, which states no limit.
  auto observe_command(const endpoint_view& endpoint, int status,
                       const endpoint_notices& stated, instant asked) -> void;
  /// Takes an answer that another VM got from an endpoint that leaves.
  auto observe_relayed_leaving(const endpoint_process& endpoint, int status)
      -> void;
  /// Takes a refusal that names an endpoint of `stages` that leaves.
  auto refused_as_leaving(const chain& stages, const std::string& id) -> void;
  /// Takes changed records of the leader's directory.
  auto apply_directory(const std::vector<wire::endpoint_record>& records)
      -> void;
  auto set_vm_count(std::size_t vms) -> void;
  auto endpoints() -> notice_register& { return notices_; }
  auto endpoints() const -> const notice_register& { return notices_; }
  /// The endpoints that pause now, for the leader.
  auto paused(instant now) const -> std::vector<wire::paused_endpoint>;
  /// Pauses that have begun since the process started.
  auto pauses() const -> std::uint64_t { return pauses_; }

  /// Emitted with the id of an endpoint that leaves when it first says so, and
  /// again while the directory lists it as up.
  sigc::signal<void(const std::string&)> leaving;

 private:
  auto observe_limit(const endpoint_view& endpoint, int status,
                     const limit_field& field, instant asked) -> void;
  auto observe_leaving(const endpoint_process& endpoint, int status,
                       const char* source) -> void;
  /// True if the response asks for a pause.
  auto observe_pause(const endpoint_view& endpoint,
                     const endpoint_notices& stated, instant asked) -> bool;
  auto end_pause(const endpoint_view& endpoint, instant asked) -> void;
  auto apply_limit(const wire::endpoint_record& record) -> void;
  auto apply_state(const wire::endpoint_record& record) -> void;

  request_limiter& limiter_;
  notice_register notices_;
  std::uint64_t pauses_ = 0;
};

}  // namespace pollenloft

#endif
