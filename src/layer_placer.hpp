/// \file layer_placer.hpp
/// Carries out the placement while this control replica leads: probes the
/// runners and sends them layer assignments.
#ifndef POLLENLOFT_LAYER_PLACER_HPP
#define POLLENLOFT_LAYER_PLACER_HPP

#include <map>
#include <string>

#include "platform/platform.hpp"
#include "pollenloft/control.hpp"
#include "pollenloft/placement.hpp"

namespace pollenloft {

/// Probes the runners of all services and assigns layers to them:
///
///     placer.start_term(term);
///     placer.tick(config, now);  // often, while leading
class layer_placer {
 public:
  layer_placer(event_loop& loop, http_client& client,
               endpoint_directory& directory, duration report_period)
      : client_(client),
        listeners_(loop),
        directory_(directory),
        report_period_(report_period),
        started_(boottime_clock::now()) {}

  /// Starts a new term of this replica as leader. The term is the fencing token
  /// of its layer assignments, so runners reject those of earlier leaders.
  auto start_term(std::int64_t term) -> void;
  /// Probes the runners and assigns layers where needed.
  auto tick(const ingress_config& config, instant now) -> void;

  /// Emitted with the endpoint's id after its directory record has changed.
  sigc::signal<void(const std::string&)> changed;

 private:
  struct runner_status {
    std::string incarnation;
    std::optional<platform::runner_state> state;  // from the latest probe
    instant probe_sent{};
    bool probe_in_flight = false;
    bool assignment_in_flight = false;
    int missed_probes = 0;      // consecutive
    instant listener_probed{};  // in a pause
    bool unreachable = false;
    instant suspected_at{};     // a neighbour last reported a stall here
    instant next_assignment{};  // no assignment is sent before
    std::optional<layer_range> wanted;  // assigned, but not yet held
    instant assignment_sent{};
  };

  auto tick_service(const ingress_service& service, instant now) -> void;
  /// The state of one zone, for the log.
  struct zone_summary {
    std::vector<double> layer_kv_tokens;  ///< KV-cache capacity, by layer
    double max_kv_utilization = 0;        ///< of one runner, in [0, 1]
    std::string fullest_runner;           ///< with that utilization
    double max_active_requests = 0;       ///< of one runner
  };
  auto summarize(const engine_profile& engine,
                 const std::vector<placed_runner>& placed) const
      -> std::map<std::string, zone_summary>;
  auto log_summary(const engine_profile& engine,
                   const std::vector<placed_runner>& placed) const -> void;
  auto probe(const wire::endpoint_record& record, instant now) -> void;
  /// Looks for a listener of a runner that pauses, without a call.
  auto probe_listener(const wire::endpoint_record& record, instant now) -> void;
  /// The status of this process; null if the runner has started again or a new
  /// term has begun.
  auto find_status(const endpoint_process& runner) -> runner_status*;
  /// Takes the response to a probe that was sent at `asked`.
  auto handle_probe_response(const endpoint_process& runner, instant asked,
                             const call_result& result, std::string_view body)
      -> void;
  /// Takes what a runner states of itself in the head of a response.
  auto observe_notices(const endpoint_process& runner,
                       const endpoint_notices& stated, instant asked) -> void;
  auto check_assignment(const std::string& id, runner_status& status,
                        layer_range held) -> void;
  auto assign_layers(const wire::endpoint_record& record, layer_range range,
                     instant now) -> void;
  auto handle_assignment_result(const endpoint_process& runner,
                                layer_range range, const call_result& result)
      -> void;
  auto record_layers(const std::string& id, layer_range range) -> void;
  auto record_load(const std::string& id, const platform::runner_state& state)
      -> void;
  auto suspect_address(const std::string& address) -> void;
  auto mark_unreachable(const std::string& id, bool refused) -> void;
  /// `refused` if the runner accepted no connection.
  auto handle_missed_probe(const std::string& id, bool refused) -> void;
  /// Whether the runner, which has been probed, wants no calls now.
  auto pauses(const std::string& id, instant now) const -> bool;
  auto is_usable(const wire::endpoint_record& record) const -> bool;
  auto to_placed_runner(const wire::endpoint_record& record,
                        const engine_profile& engine) const -> placed_runner;

  http_client& client_;
  listener_prober listeners_;
  notice_register pauses_;  // of runners that want no calls of this VM
  endpoint_directory& directory_;
  duration report_period_;
  instant started_;  // of this process, which began with an empty directory
  instant last_summary_{};
  std::int64_t term_ = 0;
  bool fenced_ = false;
  std::map<std::string, runner_status> runners_;
  std::map<std::string, instant> last_discovery_;   // of a runner, by service
  std::map<std::string, std::size_t> known_count_;  // of runners, by service
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pollenloft

#endif
