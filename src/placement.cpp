#include "pollenloft/placement.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace pollenloft {

namespace {

constexpr double bytes_per_mb = 1e6;
/// A runner with less than this part of the room that the zone could have on
/// every layer is worth relieving.
constexpr double squeezed_share = 0.8;
/// Least gain in room for which layers are loaded once more.
constexpr double ease_gain = 1.15;
/// Layers with up to this much more room than the weakest one are as weak.
constexpr double weak_factor = 1.3;

/// Less room than this, in tokens, is none; sums of room are not exact.
constexpr double least_room = 1;

using runner_list = std::vector<const placed_runner*>;

auto by_zone(const std::vector<placed_runner>& runners)
    -> std::map<std::string, runner_list> {
  std::map<std::string, runner_list> zones;
  for (const auto& runner : runners)
    zones[runner.zone].push_back(&runner);
  return zones;
}

/// Fastest first; equal ones by id, so that every leader decides alike.
auto sort_by_speed(runner_list& runners) -> void {
  std::sort(runners.begin(), runners.end(), [](const auto* a, const auto* b) {
    if (a->kind.step_factor != b->kind.step_factor)
      return a->kind.step_factor < b->kind.step_factor;
    return a->id < b->id;
  });
}

auto capacity(const engine_profile& engine, const runner_list& runners,
              double tokens) -> std::int32_t {
  std::int32_t sum = 0;
  for (const auto* runner : runners)
    sum += max_fitting_layers(engine, runner->kind, tokens);
  return sum;
}

/// Most tokens for which the runners still hold every layer.
auto tokens_for(const engine_profile& engine, const runner_list& runners,
                const placement_options& options) -> double {
  auto tokens = options.max_kv_tokens;
  while (tokens > 0 && capacity(engine, runners, tokens) < engine.layers)
    tokens -= options.search_step_tokens;
  return std::max(tokens, 0.0);
}

/// How many runners of a list hold each layer.
auto holders(const engine_profile& engine, const runner_list& runners)
    -> std::vector<int> {
  std::vector<int> count(static_cast<std::size_t>(engine.layers), 0);
  for (const auto* runner : runners)
    for (auto layer = runner->assigned.from;
         layer < std::min(runner->assigned.to, engine.layers); ++layer)
      ++count[static_cast<std::size_t>(layer)];
  return count;
}

/// The run of layers around the one with the least room for requests; layers
/// that nobody holds have none.
auto weakest_span(const std::vector<double>& room) -> layer_range {
  const auto weakest = std::min_element(room.begin(), room.end());
  const auto enough = std::max(least_room, weak_factor * *weakest);
  const auto last = std::find_if(
      weakest, room.end(), [&](double tokens) { return tokens > enough; });
  return {static_cast<std::int32_t>(weakest - room.begin()),
          static_cast<std::int32_t>(last - room.begin())};
}

auto missing(const std::vector<int>& count) -> bool {
  return std::find(count.begin(), count.end(), 0) != count.end();
}

/// Every layer of the runner is held by another one of the zone, too.
auto redundant(const placed_runner& runner, const std::vector<int>& count)
    -> bool {
  for (auto layer = runner.assigned.from; layer < runner.assigned.to; ++layer)
    if (count[static_cast<std::size_t>(layer)] < 2) return false;
  return true;
}

class zone_repair {
 public:
  zone_repair(const engine_profile& engine, runner_list runners,
              const placement_options& options)
      : engine_(engine), options_(options), runners_(std::move(runners)) {
    sort_by_speed(runners_);
    count_ = holders(engine_, runners_);
    auto settled = runners_;
    settled.erase(
        std::remove_if(settled.begin(), settled.end(),
                       [](const auto* each) { return each->reassigning; }),
        settled.end());
    settled_ = holders(engine_, settled);
    room_.resize(static_cast<std::size_t>(engine_.layers));
    for (const auto* runner : runners_)
      add_room(*runner, runner->assigned, 1);
    tokens_ = std::max(options_.min_kv_tokens,
                       tokens_for(engine_, runners_, options_));
  }

  auto plan() -> layer_plan {
    while (close_a_gap()) {
    }
    // Runners that hold nothing double what is held least.
    if (!missing(count_))
      while (use_idle(weakest_span(room_))) {
      }
    relieve();
    if (changes_.empty() && !missing(count_) && !reinforce()) ease();
    return std::move(changes_);
  }

 private:
  auto free(const placed_runner& runner) const -> bool {
    return !runner.reassigning && changes_.count(runner.id) == 0;
  }

  /// Runs of layers that nobody holds.
  auto gaps() const -> std::vector<layer_range> {
    std::vector<layer_range> found;
    for (std::int32_t layer = 0; layer < engine_.layers; ++layer) {
      if (count_[static_cast<std::size_t>(layer)] > 0) continue;
      if (found.empty() || found.back().to != layer)
        found.push_back({layer, layer});
      found.back().to = layer + 1;
    }
    return found;
  }

  /// Closes a part of the first gap that can be; one that has to wait for its
  /// neighbours holds up no other.
  auto close_a_gap() -> bool {
    const auto open = gaps();
    return std::any_of(open.begin(), open.end(),
                       [this](layer_range gap) { return close(gap); });
  }

  /// What needs no draining goes first, however little room it leaves.
  auto close(layer_range gap) -> bool {
    return use_idle(gap) || use_redundant(gap, false) || use_neighbours(gap) ||
           use_redundant(gap, true) || use_shift(gap, options_.min_kv_tokens) ||
           use_shift(gap, options_.last_resort_kv_tokens);
  }

  /// Gives the runner the first layers of a span.
  auto assign(const placed_runner& runner, layer_range span) -> bool {
    const auto most = max_fitting_layers(engine_, runner.kind, tokens_);
    const layer_range given{span.from, std::min(span.to, span.from + most)};
    return change(runner, given);
  }

  auto add_room(const placed_runner& runner, layer_range span, int sign)
      -> void {
    const auto tokens = kv_capacity_tokens(engine_, runner.kind, span.size());
    for (auto layer = span.from; layer < span.to; ++layer)
      room_[static_cast<std::size_t>(layer)] += sign * tokens;
  }

  auto change(const placed_runner& runner, layer_range given) -> bool {
    if (given.empty() || given == runner.assigned) return false;
    add_room(runner, runner.assigned, -1);
    add_room(runner, given, 1);
    for (auto layer = runner.assigned.from; layer < runner.assigned.to; ++layer)
      --count_[static_cast<std::size_t>(layer)];
    for (auto layer = given.from; layer < given.to; ++layer)
      ++count_[static_cast<std::size_t>(layer)];
    changes_[runner.id] = given;
    return true;
  }

  auto use_idle(layer_range span) -> bool {
    for (const auto* runner : runners_)
      if (runner->assigned.empty() && free(*runner) && assign(*runner, span))
        return true;
    return false;
  }

  auto use_redundant(layer_range span, bool serving) -> bool {
    for (const auto* runner : runners_)
      if (!runner->assigned.empty() && runner->serving == serving &&
          free(*runner) && redundant(*runner, settled_) &&
          assign(*runner, span))
        return true;
    return false;
  }

  /// Moves a second holder to where the zone has least room for requests, if
  /// that gains enough.
  auto reinforce() -> bool {
    const auto least = *std::min_element(room_.begin(), room_.end());
    if (least >= squeezed_share * tokens_) return false;
    for (const auto* runner : runners_) {
      if (runner->assigned.empty() || !free(*runner) ||
          !redundant(*runner, settled_))
        continue;
      auto moved = *this;
      const auto span = weakest_span(room_);
      if (!moved.assign(*runner, span)) continue;
      const auto after =
          *std::min_element(moved.room_.begin(), moved.room_.end());
      if (after > ease_gain * least) return assign(*runner, span);
    }
    return false;
  }

  /// Layers that the runner could take in addition.
  auto spare_layers(const placed_runner* runner, double tokens) const
      -> std::int32_t {
    if (runner == nullptr) return 0;
    const auto most = max_fitting_layers(engine_, runner->kind, tokens);
    return std::max(0, most - runner->assigned.size());
  }

  /// Extends the holders beside the gap, with as much room for requests left
  /// on both as closes it.
  auto use_neighbours(layer_range gap) -> bool {
    const auto* below = next_to(gap.from, false);
    const auto* above = next_to(gap.to, true);
    auto tokens = options_.min_kv_tokens;
    const auto both = [&] {
      return spare_layers(below, tokens) + spare_layers(above, tokens);
    };
    while (tokens > options_.last_resort_kv_tokens && both() < gap.size())
      tokens -= options_.search_step_tokens;
    if (both() == 0) return false;
    const auto taken = std::min(gap.size(), both());
    const auto lower = taken * spare_layers(below, tokens) / both();
    if (lower > 0)
      change(*below, {below->assigned.from, below->assigned.to + lower});
    if (taken > lower)
      change(*above,
             {above->assigned.from - (taken - lower), above->assigned.to});
    return true;
  }

  /// The runner whose layers begin (or end) at a boundary and may be changed;
  /// of several the one that could take most.
  auto next_to(std::int32_t boundary, bool above) const
      -> const placed_runner* {
    const placed_runner* best = nullptr;
    for (const auto* runner : runners_) {
      const auto beside = (above ? runner->assigned.from : runner->assigned.to);
      if (runner->assigned.empty() || !free(*runner) || beside != boundary)
        continue;
      const auto spare = spare_layers(runner, options_.last_resort_kv_tokens);
      if (best == nullptr ||
          spare > spare_layers(best, options_.last_resort_kv_tokens))
        best = runner;
    }
    return best;
  }

  /// Where the neighbours of a gap have no room, moves their layers towards it
  /// and closes it at the next runner that has some.
  auto use_shift(layer_range gap, double tokens) -> bool {
    return shift_towards(gap, tokens, true) ||
           shift_towards(gap, tokens, false);
  }

  auto shift_towards(layer_range gap, double tokens, bool above) -> bool {
    std::vector<const placed_runner*> moved;
    auto boundary = above ? gap.to : gap.from;
    while (const auto* runner = next_to(boundary, above)) {
      const auto room = max_fitting_layers(engine_, runner->kind, tokens) -
                        runner->assigned.size();
      const auto amount = std::min(room, gap.size());
      if (amount > 0) return shift(moved, *runner, above ? -amount : amount);
      moved.push_back(runner);
      boundary = above ? runner->assigned.to : runner->assigned.from;
    }
    return false;
  }

  auto shift(const std::vector<const placed_runner*>& moved,
             const placed_runner& extended, std::int32_t by) -> bool {
    for (const auto* runner : moved)
      change(*runner, {runner->assigned.from + by, runner->assigned.to + by});
    auto given = extended.assigned;
    (by < 0 ? given.from : given.to) += by;
    return change(extended, given);
  }

  auto room_of(const placed_runner& runner, std::int32_t layers) const
      -> double {
    return kv_capacity_tokens(engine_, runner.kind, layers);
  }

  auto squeezed(const placed_runner& runner, std::int32_t layers) const
      -> bool {
    return layers > 1 && room_of(runner, layers) < squeezed_share * tokens_;
  }

  /// Lets the neighbour of a squeezed runner hold some of its layers, too; once
  /// they are loaded the squeezed one gives them up. No layer is ever missing
  /// meanwhile, unlike with a shift.
  auto ease() -> void {
    for (const auto* runner : runners_) {
      if (!free(*runner) || !squeezed(*runner, runner->assigned.size()))
        continue;
      const auto* below = next_to(runner->assigned.from, false);
      const auto* above = next_to(runner->assigned.to, true);
      if ((below != nullptr && ease_by(*runner, *below, true)) ||
          (above != nullptr && ease_by(*runner, *above, false)))
        return;
    }
  }

  auto ease_by(const placed_runner& runner, const placed_runner& neighbour,
               bool below) -> bool {
    std::int32_t best = 0;
    auto best_room = ease_gain * room_of(runner, runner.assigned.size());
    for (std::int32_t layers = 1; layers < runner.assigned.size(); ++layers) {
      const auto room =
          std::min(room_of(neighbour, neighbour.assigned.size() + layers),
                   room_of(runner, runner.assigned.size() - layers));
      if (room <= best_room) continue;
      best_room = room;
      best = layers;
    }
    if (best == 0) return false;
    auto given = neighbour.assigned;
    if (below)
      given.to += best;
    else
      given.from -= best;
    return change(neighbour, given);
  }

  /// Of two that hold a layer only the one with less room gives it up.
  auto held_with_more_room(const placed_runner& runner,
                           std::int32_t layer) const -> bool {
    const auto own = room_of(runner, runner.assigned.size());
    return std::any_of(runners_.begin(), runners_.end(),
                       [&](const auto* other) {
                         return other != &runner && !other->reassigning &&
                                other->assigned.covers(layer) &&
                                room_of(*other, other->assigned.size()) > own;
                       });
  }

  /// Squeezed runners give up what others hold, too.
  auto relieve() -> void {
    for (const auto* runner : runners_) {
      if (!free(*runner)) continue;
      auto kept = runner->assigned;
      const auto spare = [&](std::int32_t layer) {
        return squeezed(*runner, kept.size()) &&
               settled_[static_cast<std::size_t>(layer)] > 1 &&
               held_with_more_room(*runner, layer);
      };
      while (spare(kept.from))
        --settled_[static_cast<std::size_t>(kept.from++)];
      while (spare(kept.to - 1))
        --settled_[static_cast<std::size_t>(--kept.to)];
      change(*runner, kept);
    }
  }

  const engine_profile& engine_;
  const placement_options& options_;
  runner_list runners_;
  std::vector<int> count_;    // holders of each layer
  std::vector<int> settled_;  // those that are not loading
  std::vector<double> room_;  // tokens of requests, by layer
  double tokens_ = 0;
  layer_plan changes_;
};

/// One copy over the fastest runners, then second copies from layer 0 on.
auto plan_zone(const engine_profile& engine, runner_list runners,
               const placement_options& options, layer_plan& plan) -> void {
  sort_by_speed(runners);
  const auto tokens =
      std::max(options.min_kv_tokens, tokens_for(engine, runners, options));
  std::int32_t next = 0;
  for (const auto* runner : runners) {
    const auto most = max_fitting_layers(engine, runner->kind, tokens);
    if (most == 0) continue;
    if (next >= engine.layers) next = 0;
    const layer_range span{next, std::min(next + most, engine.layers)};
    plan[runner->id] = span;
    next = span.to;
  }
}

}  // namespace

auto max_fitting_layers(const engine_profile& engine, const accelerator& kind,
                        double tokens) -> std::int32_t {
  const auto cache_mb =
      tokens * engine.cache_bytes / engine.layers / bytes_per_mb;
  const auto most = std::floor(kind.memory_mb / (engine.layer_mb + cache_mb));
  return std::min(engine.layers, static_cast<std::int32_t>(most));
}

auto kv_capacity_tokens(const engine_profile& engine, const accelerator& kind,
                        std::int32_t layers) -> double {
  if (layers <= 0 || engine.cache_bytes <= 0) return 0;
  const auto room_mb = kind.memory_mb - engine.layer_mb * layers;
  return std::max(0.0, room_mb * bytes_per_mb * engine.layers /
                           (engine.cache_bytes * layers));
}

auto plan_initial(const engine_profile& engine,
                  const std::vector<placed_runner>& runners,
                  const placement_options& options) -> layer_plan {
  layer_plan plan;
  for (auto& [zone, list] : by_zone(runners))
    plan_zone(engine, list, options, plan);
  return plan;
}

auto plan_repair(const engine_profile& engine,
                 const std::vector<placed_runner>& runners,
                 const placement_options& options) -> layer_plan {
  layer_plan plan;
  for (auto& [zone, list] : by_zone(runners))
    plan.merge(zone_repair(engine, list, options).plan());
  return plan;
}

}  // namespace pollenloft
