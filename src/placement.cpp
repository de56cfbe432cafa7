#include "pollenloft/placement.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace pollenloft {

namespace {

constexpr double bytes_per_mb = 1e6;
/// A runner whose KV-cache capacity is below this share of what the zone could
/// have on every layer is worth relieving.
constexpr double low_capacity_share = 0.8;
/// Least factor of growth in KV-cache capacity that justifies another load of
/// layers.
constexpr double min_capacity_gain = 1.15;
/// Layers with up to this factor times the KV-cache capacity of the weakest
/// layer count as weak, too.
constexpr double weak_layer_factor = 1.3;

/// Less KV-cache capacity than this counts as none, since sums of capacities
/// are inexact.
constexpr double min_capacity_tokens = 1;

using runner_list = std::vector<const placed_runner*>;

auto group_by_zone(const std::vector<placed_runner>& runners)
    -> std::map<std::string, runner_list> {
  std::map<std::string, runner_list> zones;
  for (const auto& runner : runners)
    zones[runner.zone].push_back(&runner);
  return zones;
}

/// Sorts the fastest runners first and equal ones by id, so that every leader
/// makes the same plan.
auto sort_by_speed(runner_list& runners) -> void {
  std::sort(runners.begin(), runners.end(), [](const auto* a, const auto* b) {
    if (a->kind.step_factor != b->kind.step_factor)
      return a->kind.step_factor < b->kind.step_factor;
    return a->id < b->id;
  });
}

/// Layers that the runners can hold together beside a KV cache of `tokens`.
auto total_fitting_layers(const engine_profile& engine,
                          const runner_list& runners, double tokens)
    -> std::int32_t {
  std::int32_t sum = 0;
  for (const auto* runner : runners)
    sum += max_fitting_layers(engine, runner->kind, tokens);
  return sum;
}

/// Largest KV-cache capacity, in tokens, with which the runners can still hold
/// every layer together; at most `max_kv_tokens`.
auto feasible_kv_tokens(const engine_profile& engine,
                        const runner_list& runners,
                        const placement_options& options) -> double {
  auto tokens = options.max_kv_tokens;
  while (tokens > 0 &&
         total_fitting_layers(engine, runners, tokens) < engine.layers)
    tokens -= options.search_step_tokens;
  return std::max(tokens, 0.0);
}

/// Counts the holders of each layer.
auto count_holders(const engine_profile& engine, const runner_list& runners)
    -> std::vector<int> {
  std::vector<int> count(static_cast<std::size_t>(engine.layers), 0);
  for (const auto* runner : runners)
    for (auto layer = runner->assigned.from;
         layer < std::min(runner->assigned.to, engine.layers); ++layer)
      ++count[static_cast<std::size_t>(layer)];
  return count;
}

/// The range of layers from the one with the least KV-cache capacity up to the
/// next one that is not weak. Layers without a holder have no capacity.
auto weakest_range(const std::vector<double>& layer_kv_tokens) -> layer_range {
  const auto weakest =
      std::min_element(layer_kv_tokens.begin(), layer_kv_tokens.end());
  const auto enough =
      std::max(min_capacity_tokens, weak_layer_factor * *weakest);
  const auto last =
      std::find_if(weakest, layer_kv_tokens.end(),
                   [&](double tokens) { return tokens > enough; });
  return {static_cast<std::int32_t>(weakest - layer_kv_tokens.begin()),
          static_cast<std::int32_t>(last - layer_kv_tokens.begin())};
}

auto has_missing_layer(const std::vector<int>& holder_counts) -> bool {
  return std::find(holder_counts.begin(), holder_counts.end(), 0) !=
         holder_counts.end();
}

/// Whether another runner of the zone holds each layer of this one, too.
auto is_redundant(const placed_runner& runner,
                  const std::vector<int>& holder_counts) -> bool {
  for (auto layer = runner.assigned.from; layer < runner.assigned.to; ++layer)
    if (holder_counts[static_cast<std::size_t>(layer)] < 2) return false;
  return true;
}

/// Plans the repair of one zone.
class zone_repair_planner {
 public:
  zone_repair_planner(const engine_profile& engine, runner_list runners,
                      const placement_options& options)
      : engine_(engine), options_(options), runners_(std::move(runners)) {
    sort_by_speed(runners_);
    holder_counts_ = count_holders(engine_, runners_);
    auto ready = runners_;
    ready.erase(
        std::remove_if(ready.begin(), ready.end(),
                       [](const auto* runner) { return runner->reassigning; }),
        ready.end());
    ready_holder_counts_ = count_holders(engine_, ready);
    layer_kv_tokens_.resize(static_cast<std::size_t>(engine_.layers));
    for (const auto* runner : runners_)
      add_kv_capacity(*runner, runner->assigned, 1);
    target_kv_tokens_ =
        std::max(options_.min_kv_tokens,
                 feasible_kv_tokens(engine_, runners_, options_));
  }

  auto plan() -> layer_plan {
    while (close_any_gap()) {
    }
    // Runners without layers become second holders of the layers with the
    // least KV-cache capacity.
    if (!has_missing_layer(holder_counts_))
      while (assign_idle_runner(weakest_range(layer_kv_tokens_))) {
      }
    drop_redundant_layers();
    if (changes_.empty() && !has_missing_layer(holder_counts_) &&
        !reinforce_weakest_range())
      offload_one_runner();
    return std::move(changes_);
  }

 private:
  /// Whether this plan may still give the runner another range.
  auto is_changeable(const placed_runner& runner) const -> bool {
    return !runner.reassigning && changes_.count(runner.id) == 0;
  }

  /// Ranges of layers that no runner holds.
  auto find_gaps() const -> std::vector<layer_range> {
    std::vector<layer_range> gaps;
    for (std::int32_t layer = 0; layer < engine_.layers; ++layer) {
      if (holder_counts_[static_cast<std::size_t>(layer)] > 0) continue;
      if (gaps.empty() || gaps.back().to != layer)
        gaps.push_back({layer, layer});
      gaps.back().to = layer + 1;
    }
    return gaps;
  }

  /// Closes a part of the first gap that can be closed. A gap that has to wait
  /// for its neighbours does not delay the others. Returns false if none can.
  auto close_any_gap() -> bool {
    const auto gaps = find_gaps();
    return std::any_of(gaps.begin(), gaps.end(),
                       [this](layer_range gap) { return close_gap(gap); });
  }

  /// Prefers changes without draining, even if they leave little KV-cache
  /// capacity.
  auto close_gap(layer_range gap) -> bool {
    return assign_idle_runner(gap) || assign_redundant_runner(gap, false) ||
           extend_neighbours(gap) || assign_redundant_runner(gap, true) ||
           shift_neighbours(gap, options_.min_kv_tokens) ||
           shift_neighbours(gap, options_.last_resort_kv_tokens);
  }

  /// Gives the runner as many of the first layers of `wanted` as fit.
  auto assign(const placed_runner& runner, layer_range wanted) -> bool {
    const auto max_layers =
        max_fitting_layers(engine_, runner.kind, target_kv_tokens_);
    return set_range(
        runner, {wanted.from, std::min(wanted.to, wanted.from + max_layers)});
  }

  /// Adds (`sign` 1) or subtracts (-1) the capacity that the runner has with
  /// this range.
  auto add_kv_capacity(const placed_runner& runner, layer_range range, int sign)
      -> void {
    const auto tokens = kv_capacity_tokens(engine_, runner.kind, range.size());
    for (auto layer = range.from; layer < range.to; ++layer)
      layer_kv_tokens_[static_cast<std::size_t>(layer)] += sign * tokens;
  }

  /// Records a new range for the runner; false if it is empty or no change.
  auto set_range(const placed_runner& runner, layer_range range) -> bool {
    if (range.empty() || range == runner.assigned) return false;
    add_kv_capacity(runner, runner.assigned, -1);
    add_kv_capacity(runner, range, 1);
    for (auto layer = runner.assigned.from; layer < runner.assigned.to; ++layer)
      --holder_counts_[static_cast<std::size_t>(layer)];
    for (auto layer = range.from; layer < range.to; ++layer)
      ++holder_counts_[static_cast<std::size_t>(layer)];
    changes_[runner.id] = range;
    return true;
  }

  auto assign_idle_runner(layer_range range) -> bool {
    for (const auto* runner : runners_)
      if (runner->assigned.empty() && is_changeable(*runner) &&
          assign(*runner, range))
        return true;
    return false;
  }

  auto assign_redundant_runner(layer_range range, bool serving) -> bool {
    for (const auto* runner : runners_)
      if (!runner->assigned.empty() && runner->serving == serving &&
          is_changeable(*runner) &&
          is_redundant(*runner, ready_holder_counts_) && assign(*runner, range))
        return true;
    return false;
  }

  /// Moves one redundant runner to the layers with the least KV-cache capacity
  /// of the zone, if the gain is large enough.
  auto reinforce_weakest_range() -> bool {
    const auto before =
        *std::min_element(layer_kv_tokens_.begin(), layer_kv_tokens_.end());
    if (before >= low_capacity_share * target_kv_tokens_) return false;
    for (const auto* runner : runners_) {
      if (runner->assigned.empty() || !is_changeable(*runner) ||
          !is_redundant(*runner, ready_holder_counts_))
        continue;
      auto trial = *this;
      const auto range = weakest_range(layer_kv_tokens_);
      if (!trial.assign(*runner, range)) continue;
      const auto after = *std::min_element(trial.layer_kv_tokens_.begin(),
                                           trial.layer_kv_tokens_.end());
      if (after > min_capacity_gain * before) return assign(*runner, range);
    }
    return false;
  }

  /// Additional layers that fit beside a KV cache of `tokens`; 0 for a null
  /// runner.
  auto spare_layers(const placed_runner* runner, double tokens) const
      -> std::int32_t {
    if (runner == nullptr) return 0;
    const auto max_layers = max_fitting_layers(engine_, runner->kind, tokens);
    return std::max(0, max_layers - runner->assigned.size());
  }

  /// Extends the ranges of the neighbours into the gap. Searches for the
  /// largest KV cache, down to the last resort, with which they close the gap.
  auto extend_neighbours(layer_range gap) -> bool {
    const auto* below = find_neighbour(gap.from, false);
    const auto* above = find_neighbour(gap.to, true);
    auto tokens = options_.min_kv_tokens;
    const auto spare = [&] {
      return spare_layers(below, tokens) + spare_layers(above, tokens);
    };
    while (tokens > options_.last_resort_kv_tokens && spare() < gap.size())
      tokens -= options_.search_step_tokens;
    if (spare() == 0) return false;
    const auto taken_layers = std::min(gap.size(), spare());
    const auto layers_below =
        taken_layers * spare_layers(below, tokens) / spare();
    if (layers_below > 0)
      set_range(*below,
                {below->assigned.from, below->assigned.to + layers_below});
    if (taken_layers > layers_below)
      set_range(*above, {above->assigned.from - (taken_layers - layers_below),
                         above->assigned.to});
    return true;
  }

  /// The changeable runner whose range begins (`above`) or ends at the
  /// boundary; of several, the one with the most spare layers. Null if there
  /// is none.
  auto find_neighbour(std::int32_t boundary, bool above) const
      -> const placed_runner* {
    const placed_runner* best = nullptr;
    for (const auto* runner : runners_) {
      const auto edge = (above ? runner->assigned.from : runner->assigned.to);
      if (runner->assigned.empty() || !is_changeable(*runner) ||
          edge != boundary)
        continue;
      const auto spare = spare_layers(runner, options_.last_resort_kv_tokens);
      if (best == nullptr ||
          spare > spare_layers(best, options_.last_resort_kv_tokens))
        best = runner;
    }
    return best;
  }

  /// If the neighbours of a gap have no spare layers, shifts their ranges
  /// towards the gap and extends the next runner that has some.
  auto shift_neighbours(layer_range gap, double tokens) -> bool {
    return shift_from_side(gap, tokens, true) ||
           shift_from_side(gap, tokens, false);
  }

  auto shift_from_side(layer_range gap, double tokens, bool above) -> bool {
    std::vector<const placed_runner*> moved;
    auto boundary = above ? gap.to : gap.from;
    while (const auto* runner = find_neighbour(boundary, above)) {
      const auto spare = max_fitting_layers(engine_, runner->kind, tokens) -
                         runner->assigned.size();
      const auto amount = std::min(spare, gap.size());
      if (amount > 0)
        return shift_ranges(moved, *runner, above ? -amount : amount);
      moved.push_back(runner);
      boundary = above ? runner->assigned.to : runner->assigned.from;
    }
    return false;
  }

  auto shift_ranges(const std::vector<const placed_runner*>& moved,
                    const placed_runner& extended, std::int32_t by) -> bool {
    for (const auto* runner : moved)
      set_range(*runner,
                {runner->assigned.from + by, runner->assigned.to + by});
    auto range = extended.assigned;
    (by < 0 ? range.from : range.to) += by;
    return set_range(extended, range);
  }

  auto kv_capacity(const placed_runner& runner, std::int32_t layers) const
      -> double {
    return kv_capacity_tokens(engine_, runner.kind, layers);
  }

  auto is_low_on_capacity(const placed_runner& runner,
                          std::int32_t layers) const -> bool {
    return layers > 1 &&
           kv_capacity(runner, layers) < low_capacity_share * target_kv_tokens_;
  }

  /// Lets a neighbour of a runner with low KV-cache capacity load some of its
  /// layers, too. Once they are loaded, a later plan drops them from the
  /// runner. Unlike a shift, this leaves no layer without a holder meanwhile.
  auto offload_one_runner() -> void {
    for (const auto* runner : runners_) {
      if (!is_changeable(*runner) ||
          !is_low_on_capacity(*runner, runner->assigned.size()))
        continue;
      const auto* below = find_neighbour(runner->assigned.from, false);
      const auto* above = find_neighbour(runner->assigned.to, true);
      if ((below != nullptr && offload_to_neighbour(*runner, *below, true)) ||
          (above != nullptr && offload_to_neighbour(*runner, *above, false)))
        return;
    }
  }

  auto offload_to_neighbour(const placed_runner& runner,
                            const placed_runner& neighbour, bool below)
      -> bool {
    std::int32_t best_layers = 0;
    auto best_capacity =
        min_capacity_gain * kv_capacity(runner, runner.assigned.size());
    for (std::int32_t layers = 1; layers < runner.assigned.size(); ++layers) {
      const auto capacity =
          std::min(kv_capacity(neighbour, neighbour.assigned.size() + layers),
                   kv_capacity(runner, runner.assigned.size() - layers));
      if (capacity <= best_capacity) continue;
      best_capacity = capacity;
      best_layers = layers;
    }
    if (best_layers == 0) return false;
    auto range = neighbour.assigned;
    if (below)
      range.to += best_layers;
    else
      range.from -= best_layers;
    return set_range(neighbour, range);
  }

  /// Whether a ready runner with more KV-cache capacity holds the layer, too.
  /// Of two holders of a layer only the one with less capacity drops it.
  auto is_held_with_more_capacity(const placed_runner& runner,
                                  std::int32_t layer) const -> bool {
    const auto own = kv_capacity(runner, runner.assigned.size());
    return std::any_of(
        runners_.begin(), runners_.end(), [&](const auto* other) {
          return other != &runner && !other->reassigning &&
                 other->assigned.covers(layer) &&
                 kv_capacity(*other, other->assigned.size()) > own;
        });
  }

  /// Runners with low KV-cache capacity drop outer layers that others hold,
  /// too.
  auto drop_redundant_layers() -> void {
    for (const auto* runner : runners_) {
      if (!is_changeable(*runner)) continue;
      auto kept = runner->assigned;
      const auto can_drop = [&](std::int32_t layer) {
        return is_low_on_capacity(*runner, kept.size()) &&
               ready_holder_counts_[static_cast<std::size_t>(layer)] > 1 &&
               is_held_with_more_capacity(*runner, layer);
      };
      while (can_drop(kept.from))
        --ready_holder_counts_[static_cast<std::size_t>(kept.from++)];
      while (can_drop(kept.to - 1))
        --ready_holder_counts_[static_cast<std::size_t>(--kept.to)];
      set_range(*runner, kept);
    }
  }

  const engine_profile& engine_;
  const placement_options& options_;
  runner_list runners_;
  std::vector<int> holder_counts_;        // by layer, with those still loading
  std::vector<int> ready_holder_counts_;  // by layer, without those loading
  std::vector<double> layer_kv_tokens_;   // KV-cache capacity, by layer
  double target_kv_tokens_ = 0;
  layer_plan changes_;
};

/// Places one copy on the fastest runners, then further copies from layer 0 on.
auto plan_initial_zone(const engine_profile& engine, runner_list runners,
                       const placement_options& options, layer_plan& plan)
    -> void {
  sort_by_speed(runners);
  const auto tokens = std::max(options.min_kv_tokens,
                               feasible_kv_tokens(engine, runners, options));
  std::int32_t next = 0;
  for (const auto* runner : runners) {
    const auto max_layers = max_fitting_layers(engine, runner->kind, tokens);
    if (max_layers == 0) continue;
    if (next >= engine.layers) next = 0;
    const layer_range range{next, std::min(next + max_layers, engine.layers)};
    plan[runner->id] = range;
    next = range.to;
  }
}

}  // namespace

auto max_fitting_layers(const engine_profile& engine, const accelerator& kind,
                        double tokens) -> std::int32_t {
  const auto kv_mb_per_layer =
      tokens * engine.kv_bytes_per_token / engine.layers / bytes_per_mb;
  const auto layers =
      std::floor(kind.memory_mb / (engine.layer_mb + kv_mb_per_layer));
  return std::min(engine.layers, static_cast<std::int32_t>(layers));
}

auto kv_capacity_tokens(const engine_profile& engine, const accelerator& kind,
                        std::int32_t layers) -> double {
  if (layers <= 0 || engine.kv_bytes_per_token <= 0) return 0;
  const auto free_mb = kind.memory_mb - engine.layer_mb * layers;
  return std::max(0.0, free_mb * bytes_per_mb * engine.layers /
                           (engine.kv_bytes_per_token * layers));
}

auto plan_initial(const engine_profile& engine,
                  const std::vector<placed_runner>& runners,
                  const placement_options& options) -> layer_plan {
  layer_plan plan;
  for (auto& [zone, list] : group_by_zone(runners))
    plan_initial_zone(engine, list, options, plan);
  return plan;
}

auto plan_repair(const engine_profile& engine,
                 const std::vector<placed_runner>& runners,
                 const placement_options& options) -> layer_plan {
  layer_plan plan;
  for (auto& [zone, list] : group_by_zone(runners))
    plan.merge(zone_repair_planner(engine, list, options).plan());
  return plan;
}

}  // namespace pollenloft
