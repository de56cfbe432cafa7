/// \file placement.hpp
/// Decides which layers each runner holds. Pure.
///
/// Load it answers: requests stay in their availability zone, so that
/// activations do not cross the links between zones, and memory for requests
/// is what binds first. Each zone holds one copy of the model, spread over its
/// runners so that there is room for as many tokens as possible; runners left
/// over hold second copies. A lost runner's layers go to its neighbours, in
/// less room, until another one relieves them.
#ifndef POLLENLOFT_PLACEMENT_HPP
#define POLLENLOFT_PLACEMENT_HPP

#include <map>
#include <string>
#include <vector>

#include "pollenloft/ingress.hpp"

namespace pollenloft {

/// Layers [from, to); empty if both are equal.
struct layer_range {
  std::int32_t from = 0;
  std::int32_t to = 0;

  auto size() const -> std::int32_t { return to - from; }
  auto empty() const -> bool { return to <= from; }
  auto covers(std::int32_t layer) const -> bool {
    return from <= layer && layer < to;
  }
  auto operator==(const layer_range&) const -> bool = default;
};

/// A runner as the placement sees it.
struct placed_runner {
  std::string id;
  std::string zone;
  accelerator kind;
  layer_range assigned;      ///< or being loaded
  bool reassigning = false;  ///< an order is under way
  /// Requests pass through it. Layers that it gives up are drained before it
  /// loads others, which takes seconds.
  bool serving = false;
};

struct placement_options {
  /// Tokens of requests that each zone's copy should have room for.
  /// Past this, room is worth less than a shorter chain.
  double max_kv_tokens = 250000;
  double min_kv_tokens = 50000;          ///< when a repair has to squeeze
  double last_resort_kv_tokens = 25000;  ///< when nothing else closes a gap
  double search_step_tokens = 1000;  ///< precision of the search between them
};

using layer_plan = std::map<std::string, layer_range>;

/// Most layers a runner may hold so that `tokens` tokens of requests fit
/// beside their weights.
auto max_fitting_layers(const engine_profile& engine, const accelerator& kind,
                        double tokens) -> std::int32_t;

/// Tokens of requests that fit beside the weights of `layers` layers.
auto kv_capacity_tokens(const engine_profile& engine, const accelerator& kind,
                        std::int32_t layers) -> double;

/// Spans for runners that hold nothing yet: the first placement.
auto plan_initial(const engine_profile& engine,
                  const std::vector<placed_runner>& runners,
                  const placement_options& options) -> layer_plan;

/// Changes that mend what is missing: layers that no live runner of a zone
/// holds, then work for runners that hold nothing. Empty when all is well.
auto plan_repair(const engine_profile& engine,
                 const std::vector<placed_runner>& runners,
                 const placement_options& options) -> layer_plan;

}  // namespace pollenloft

#endif
