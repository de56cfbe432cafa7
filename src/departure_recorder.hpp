/// \file departure_recorder.hpp
/// Records that endpoints leave, or have left, in the replicated log before a
/// control VM acknowledges it. In memory alone the promise would end with the
/// processes that made it.
#ifndef POLLENLOFT_DEPARTURE_RECORDER_HPP
#define POLLENLOFT_DEPARTURE_RECORDER_HPP

#include <string>
#include <vector>

#include "pollenloft/control.hpp"
#include "pollenloft/net.hpp"

namespace pollenloft {

/// What the recorder needs of its control VM.
struct recorder_hooks {
  using result_handler = sigc::slot<void(bool)>;

  sigc::slot<bool()> is_active_leader;
  /// Address of the leader; empty if it is unknown or this replica.
  sigc::slot<std::optional<socket_address>()> leader_address;
  /// Proposes a command and calls the handler with true once it is applied, or
  /// with false if that is not known.
  sigc::slot<void(const wire::command&, result_handler)> submit;
  /// Confirms the change by other means; a leader of an earlier version keeps
  /// departures in memory only.
  sigc::slot<void(const std::string&, result_handler)> confirm_in_memory;
};

/// Used by the gateway of each control VM, and by the leader for all of them:
///
///     recorder.record(id, done);           // state as in the directory
///     recorder.commit(departures, done);   // on the leader
class departure_recorder {
 public:
  using result_handler = recorder_hooks::result_handler;

  departure_recorder(event_loop& loop, http_client& client,
                     const control_state& state,
                     const endpoint_directory& directory, recorder_hooks hooks)
      : loop_(loop),
        client_(client),
        state_(state),
        directory_(directory),
        hooks_(std::move(hooks)) {}

  /// Calls `done` with true once the endpoint's present state is in the log,
  /// with false if that is not known. An unknown endpoint has left.
  auto record(const std::string& id, result_handler done) -> void;
  /// The same for departures that another control VM has sent; false if this
  /// replica does not lead.
  auto commit(const std::vector<wire::departure_command>& departures,
              result_handler done) -> void;
  /// Calls all handlers that wait to be sent with false.
  auto reject_waiting() -> void;

 private:
  struct waiting_departure {
    wire::departure_command departure;
    result_handler done;
  };
  using batch = std::vector<waiting_departure>;

  auto departure_of(const std::string& id) const -> wire::departure_command;
  auto with_latest_process(wire::departure_command departure) const
      -> wire::departure_command;
  auto send_waiting() -> void;
  auto on_reply(const batch& sent, const call_result& result,
                std::string_view response) -> void;

  event_loop& loop_;
  http_client& client_;
  const control_state& state_;
  const endpoint_directory& directory_;
  recorder_hooks hooks_;
  batch waiting_;
  posted_task send_task_{loop_, [this] { send_waiting(); }};
};

}  // namespace pollenloft

#endif
