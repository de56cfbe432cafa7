/// \file layer_placer.hpp
/// The leader's hands on the runners: reads their state, orders layers.
#ifndef POLLENLOFT_LAYER_PLACER_HPP
#define POLLENLOFT_LAYER_PLACER_HPP

#include <map>
#include <string>

#include "platform/platform.hpp"
#include "pollenloft/control.hpp"
#include "pollenloft/placement.hpp"

namespace pollenloft {

class layer_placer {
 public:
  layer_placer(http_client& client, endpoint_directory& directory,
               duration report_period)
      : client_(client),
        directory_(directory),
        report_period_(report_period),
        started_(boottime_clock::now()) {}

  /// This replica leads with a new term, which fences all orders of earlier
  /// leaders.
  auto start_term(std::int64_t term) -> void;
  /// Looks after the runners of all services; called often while leading.
  auto tick(const ingress_config& config, instant now) -> void;

  /// Emitted with the endpoint's id when its record was changed.
  sigc::signal<void(const std::string&)> changed;

 private:
  struct runner_book {
    std::string incarnation;
    std::optional<platform::runner_state> state;
    instant asked{};
    bool asking = false;
    bool ordering = false;
    int misses = 0;  // states that did not come, in a row
    bool lost = false;
    instant accused{};     // a neighbour's work last stood still here
    instant wait_until{};  // no order before
    std::optional<layer_range> wanted;
    instant ordered{};
  };

  auto tick_service(const ingress_service& service, instant now) -> void;
  /// How a zone stands, for the log.
  struct zone_summary {
    std::vector<double> room;  ///< tokens of requests, by layer
    double fullest_share = 0;  ///< of a runner's room that is taken
    std::string fullest;
    double most_active = 0;  ///< requests of one runner
  };
  auto sum_up(const engine_profile& engine,
              const std::vector<placed_runner>& placed) const
      -> std::map<std::string, zone_summary>;
  auto log_summary(const engine_profile& engine,
                   const std::vector<placed_runner>& placed) const -> void;
  auto look_at(const wire::endpoint_record& record, instant now) -> void;
  auto take_state(const std::string& id, const call_result& result,
                  std::string_view body) -> void;
  auto note_progress(const std::string& id, runner_book& book, layer_range held)
      -> void;
  auto order(const wire::endpoint_record& record, layer_range span, instant now)
      -> void;
  auto take_order(const std::string& id, layer_range span,
                  const call_result& result) -> void;
  auto note_layers(const std::string& id, layer_range span) -> void;
  auto note_load(const std::string& id, const platform::runner_state& state)
      -> void;
  auto accuse(const std::string& address) -> void;
  auto note_lost(const std::string& id, bool refused) -> void;
  auto note_miss(const std::string& id, const call_result& result) -> void;
  auto usable(const wire::endpoint_record& record) const -> bool;
  auto to_placed(const wire::endpoint_record& record,
                 const engine_profile& engine) const -> placed_runner;

  http_client& client_;
  endpoint_directory& directory_;
  duration report_period_;
  instant started_;  // of this process, whose directory was empty then
  instant summed_{};
  std::int64_t term_ = 0;
  bool fenced_ = false;
  std::map<std::string, runner_book> runners_;
  std::map<std::string, instant> first_seen_;  // of a service's runners
  std::map<std::string, std::size_t> seen_count_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pollenloft

#endif
