/// \file placement.hpp
/// Decides which layer range each runner holds. Pure functions.
///
/// The placement is built for this load: requests stay in their availability
/// zone, so that activations do not use the links between zones, and KV-cache
/// memory is the first resource to run out. Each zone holds one copy of the
/// model, split over its runners so that the KV-cache capacity in tokens is as
/// large as possible; runners that are left over hold second copies. The layers
/// of an unreachable runner go to its neighbours, at a smaller KV-cache
/// capacity, until another runner relieves them.
#ifndef POLLENLOFT_PLACEMENT_HPP
#define POLLENLOFT_PLACEMENT_HPP

#include <map>
#include <string>
#include <vector>

#include "pollenloft/ingress.hpp"

namespace pollenloft {

/// The layers [from, to); empty if both are equal.
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

/// One runner as input to the placement.
struct placed_runner {
  std::string id;
  std::string zone;
  accelerator kind;
  layer_range assigned;      ///< layers that are held or being loaded
  bool reassigning = false;  ///< a layer assignment is under way
  /// Requests are active on the runner. It drains the layers that it drops
  /// before it loads others, which takes seconds.
  bool serving = false;
};

struct placement_options {
  /// KV-cache capacity, in tokens, that each zone's copy should have. Beyond
  /// this a shorter chain is worth more than a larger KV cache.
  double max_kv_tokens = 250000;
  double min_kv_tokens = 50000;          ///< least capacity to aim for
  double last_resort_kv_tokens = 25000;  ///< when nothing else closes a gap
  double search_step_tokens = 1000;      ///< step of the search between them
};

/// New layer ranges by runner id.
using layer_plan = std::map<std::string, layer_range>;

/// Largest number of layers that fit into the accelerator's memory beside a KV
/// cache of `tokens` tokens; at most all layers of the model.
auto max_fitting_layers(const engine_profile& engine, const accelerator& kind,
                        double tokens) -> std::int32_t;

/// KV-cache capacity, in tokens, beside the weights of `layers` layers; 0 if
/// nothing is left.
auto kv_capacity_tokens(const engine_profile& engine, const accelerator& kind,
                        std::int32_t layers) -> double;

/// The first placement, for runners that hold no layers yet.
auto plan_initial(const engine_profile& engine,
                  const std::vector<placed_runner>& runners,
                  const placement_options& options) -> layer_plan;

/// Changes that repair the placement. Layers that no reachable runner of a zone
/// holds go first, then runners that hold no layers get some. Empty if nothing
/// needs to change.
auto plan_repair(const engine_profile& engine,
                 const std::vector<placed_runner>& runners,
                 const placement_options& options) -> layer_plan;

}  // namespace pollenloft

#endif
