#include "layer_placer.hpp"

#include <cmath>

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

/// Runners start within moments of each other; a first plan made before most
/// of them are known would have to be undone.
constexpr auto settle_time = milliseconds(1500);
/// A state call costs a runner little, but 2,500 runners add up.
constexpr auto look_period = milliseconds(500);
constexpr auto summary_period = std::chrono::seconds(4);
constexpr auto look_period_busy = milliseconds(250);
/// Lost packets make a state late now and then; several in a row are a dead
/// runner, and one is if its neighbours' work stands still there.
constexpr int misses_to_lose = 4;
constexpr int misses_to_lose_accused = 1;
/// States come within milliseconds from a runner that lives.
constexpr auto accused_patience = milliseconds(250);
constexpr auto accusation_life = std::chrono::seconds(2);
/// Reports that each runner has had time for before a control VM that started
/// empty takes one it has not heard of for missing.
constexpr int reports_to_know_all = 4;
/// How full a runner is matters in steps of this many percent; each step is
/// sent to every entry VM.
constexpr std::int32_t fill_step = 10;
/// After a refused order the runner's state, which lags, is read anew.
constexpr auto refused_pause = milliseconds(700);
/// An order whose effect does not show after this is given again.
constexpr auto order_patience = std::chrono::seconds(8);

}  // namespace

auto layer_placer::start_term(std::int64_t term) -> void {
  term_ = term;
  directory_.start_notes(term);
  fenced_ = false;
  runners_.clear();
  first_seen_.clear();
  seen_count_.clear();
}

auto layer_placer::usable(const wire::endpoint_record& record) const -> bool {
  // Missing reports are no sign of a dead runner: they go to any control VM,
  // which may be cut off. The runner's own answers are.
  const auto found = runners_.find(record.id);
  return found != runners_.end() && found->second.state.has_value() &&
         !found->second.lost;
}

auto layer_placer::tick(const ingress_config& config, instant now) -> void {
  if (fenced_) return;
  for (const auto& [name, service] : config.services)
    if (service.engine) tick_service(service, now);
}

auto layer_placer::to_placed(const wire::endpoint_record& record,
                             const engine_profile& engine) const
    -> placed_runner {
  const auto& book = runners_.at(record.id);
  placed_runner placed;
  placed.id = record.id;
  placed.zone = record.zone;
  const auto kind = engine.accelerators.find(record.kind);
  if (kind != engine.accelerators.end()) placed.kind = kind->second;
  placed.assigned = {book.state->first_layer, book.state->last_layer};
  placed.serving = book.state->active_requests > 0;
  if (book.wanted) placed.assigned = *book.wanted;
  placed.reassigning = book.wanted.has_value() || book.ordering ||
                       book.state->busy ||
                       boottime_clock::now() < book.wait_until;
  return placed;
}

auto layer_placer::tick_service(const ingress_service& service, instant now)
    -> void {
  std::vector<placed_runner> placed;
  std::size_t known = 0;
  std::size_t unread = 0;
  for (const auto& [id, record] : directory_.records()) {
    if (record.pipeline != service.name || record.kind.empty()) continue;
    if (record.state != static_cast<std::int8_t>(endpoint_state::up)) continue;
    if (record.displaced) continue;
    ++known;
    look_at(record, now);
    const auto& book = runners_.at(id);
    if (!book.state && !book.lost) ++unread;
    if (usable(record)) placed.push_back(to_placed(record, *service.engine));
  }
  auto& count = seen_count_[service.name];
  auto& since = first_seen_[service.name];
  if (known > count) since = now;
  count = known;
  if (placed.empty()) return;
  const auto knows_all = now - started_ > reports_to_know_all * report_period_;
  const auto empty =
      std::all_of(placed.begin(), placed.end(),
                  [](const auto& runner) { return runner.assigned.empty(); });
  // Only the first plan waits for runners that are about to appear; a repair
  // waits for the states of those that are known, which a new leader lacks.
  if (empty ? now - since < settle_time : !knows_all || unread > 0) return;
  const auto plan = empty ? plan_initial(*service.engine, placed, {})
                          : plan_repair(*service.engine, placed, {});
  for (const auto& [id, span] : plan)
    order(directory_.records().at(id), span, now);
  if (now - summed_ < summary_period) return;
  summed_ = now;
  log_summary(*service.engine, placed);
}

auto layer_placer::sum_up(const engine_profile& engine,
                          const std::vector<placed_runner>& placed) const
    -> std::map<std::string, zone_summary> {
  std::map<std::string, zone_summary> zones;
  for (const auto& runner : placed) {
    auto& zone = zones[runner.zone];
    zone.room.resize(static_cast<std::size_t>(engine.layers));
    for (auto layer = runner.assigned.from; layer < runner.assigned.to; ++layer)
      zone.room[static_cast<std::size_t>(layer)] +=
          kv_capacity_tokens(engine, runner.kind, runner.assigned.size());
    const auto& state = *runners_.at(runner.id).state;
    zone.most_active = std::max(zone.most_active, state.active_requests);
    const auto fill = state.kv_used / std::max(1.0, state.kv_capacity);
    if (fill <= zone.fullest_share) continue;
    zone.fullest_share = fill;
    zone.fullest = runner.id;
  }
  return zones;
}

/// One line for each zone: whether it holds every layer, and the room for
/// requests of the layer that has least.
auto layer_placer::log_summary(const engine_profile& engine,
                               const std::vector<placed_runner>& placed) const
    -> void {
  for (const auto& [name, zone] : sum_up(engine, placed)) {
    const auto least = std::min_element(zone.room.begin(), zone.room.end());
    log_event(log_level::info, "layers.summary",
              {{"zone", name},
               {"missing", std::count(zone.room.begin(), zone.room.end(), 0.0)},
               {"least_room_tokens", static_cast<std::int64_t>(*least)},
               {"at_layer", least - zone.room.begin()},
               {"fullest", zone.fullest},
               {"fullest_share", zone.fullest_share},
               {"most_active", zone.most_active}});
  }
}

auto layer_placer::look_at(const wire::endpoint_record& record, instant now)
    -> void {
  auto& book = runners_[record.id];
  if (book.incarnation != record.incarnation) {
    book = runner_book{};
    book.incarnation = record.incarnation;
  }
  const auto accused = now - book.accused < accusation_life;
  const auto period = book.wanted || accused ? look_period_busy : look_period;
  if (book.asking && accused && now - book.asked > accused_patience)
    note_lost(record.id, false);
  if (book.asking || now - book.asked < period) return;
  const auto address = parse_socket_address(record.address);
  if (!address) return;
  book.asking = true;
  book.asked = now;
  client_.send(
      platform::encode_state_probe(*address),
      {{},
       {},
       [this, alive = alive_, id = record.id](const auto& result, auto body) {
         if (*alive) take_state(id, result, body);
       }});
}

auto layer_placer::take_state(const std::string& id, const call_result& result,
                              std::string_view body) -> void {
  const auto found = runners_.find(id);
  if (found == runners_.end()) return;
  auto& book = found->second;
  book.asking = false;
  const auto* answered = std::get_if<call_answered>(&result);
  auto state = answered != nullptr && answered->status == 200
                   ? platform::decode_runner_state(body)
                   : std::nullopt;
  if (!state) return note_miss(id, result);
  if (book.lost)
    log_event(log_level::info, "runner.reachable", {{"endpoint", id}});
  // An earlier leader may have found it dead, too.
  if (directory_.set_unreachable(id, false)) changed.emit(id);
  book.lost = false;
  book.misses = 0;
  book.state = state;
  const layer_range held{state->first_layer, state->last_layer};
  if (book.wanted && !book.ordering) note_progress(id, book, held);
  for (const auto& address : state->stalled_peers)
    accuse(address);
  note_layers(id, held);
  note_load(id, *state);
}

/// An order is done once its runner holds what was wanted, and no longer
/// waited for after a while.
auto layer_placer::note_progress(const std::string& id, runner_book& book,
                                 layer_range held) -> void {
  const auto waited = boottime_clock::now() - book.ordered;
  const auto done = held == *book.wanted && !book.state->busy;
  if (!done && waited <= order_patience) return;
  log_event(
      done ? log_level::info : log_level::warning,
      done ? "layers.held" : "layers.overdue",
      {{"endpoint", id},
       {"from", held.from},
       {"to", held.to},
       {"wanted_from", book.wanted->from},
       {"wanted_to", book.wanted->to},
       {"busy", book.state->busy},
       {"active", book.state->active_requests},
       {"took_ms", std::chrono::duration_cast<milliseconds>(waited).count()}});
  book.wanted.reset();
}

/// Work stands still at this address: its runner is asked at once.
auto layer_placer::accuse(const std::string& address) -> void {
  for (const auto& [id, record] : directory_.records()) {
    if (record.address != address) continue;
    const auto found = runners_.find(id);
    if (found == runners_.end() || found->second.lost) continue;
    found->second.accused = boottime_clock::now();
    look_at(record, boottime_clock::now());
  }
}

/// A connection that is refused means a dead process; silence may be a lost
/// packet. Entry VMs learn of a lost runner at once and leave it.
auto layer_placer::note_miss(const std::string& id, const call_result& result)
    -> void {
  auto& book = runners_[id];
  ++book.misses;
  book.asked = {};
  const auto refused = std::holds_alternative<call_unsent>(result);
  const auto accused = boottime_clock::now() - book.accused < accusation_life;
  const auto most = accused ? misses_to_lose_accused : misses_to_lose;
  if (book.misses >= most || refused) note_lost(id, refused);
}

auto layer_placer::note_lost(const std::string& id, bool refused) -> void {
  auto& book = runners_[id];
  if (book.lost) return;
  const auto now = boottime_clock::now();
  book.lost = true;
  log_event(
      log_level::warning, "runner.unreachable",
      {{"endpoint", id},
       {"misses", book.misses},
       {"refused", refused},
       {"accused", now - book.accused < accusation_life},
       {"asked_ms_ago",
        std::chrono::duration_cast<milliseconds>(now - book.asked).count()}});
  if (directory_.set_unreachable(id, true)) changed.emit(id);
}

auto layer_placer::note_load(const std::string& id,
                             const platform::runner_state& state) -> void {
  constexpr double percent = 100;
  const auto share =
      state.kv_capacity > 0 ? state.kv_used / state.kv_capacity : 0;
  const auto steps = static_cast<std::int32_t>(share * percent / fill_step);
  // Small differences are noise of the measurement.
  constexpr double steps_of_slowdown = 2;  // to each whole time
  const auto rounded = std::round(steps_of_slowdown * state.slowdown);
  const auto slowdown = static_cast<std::int32_t>(
      std::max(1.0, rounded / steps_of_slowdown) * percent);
  if (directory_.set_load(id, steps * fill_step, slowdown)) changed.emit(id);
}

/// Routing sees a layer only while the runner has it and is to keep it.
auto layer_placer::note_layers(const std::string& id, layer_range span)
    -> void {
  const auto found = directory_.records().find(id);
  if (found == directory_.records().end()) return;
  const auto& book = runners_[id];
  if (book.wanted) {
    span.from = std::max(span.from, book.wanted->from);
    span.to = std::max(span.from, std::min(span.to, book.wanted->to));
  }
  if (directory_.set_layers(id, span.from, span.to)) changed.emit(id);
}

auto layer_placer::order(const wire::endpoint_record& record, layer_range span,
                         instant now) -> void {
  auto& book = runners_[record.id];
  const auto address = parse_socket_address(record.address);
  if (!address || book.ordering) return;
  book.ordering = true;
  book.ordered = now;
  book.wanted = span;
  const auto id = record.id;
  note_layers(id, {book.state->first_layer, book.state->last_layer});
  log_event(log_level::info, "layers.ordered",
            {{"endpoint", id},
             {"from", span.from},
             {"to", span.to},
             {"held_from", book.state->first_layer},
             {"held_to", book.state->last_layer},
             {"sequence", book.state->sequence},
             {"term", term_}});
  const platform::layer_assignment wanted{span.from, span.to, term_,
                                          book.state->sequence};
  client_.send(
      platform::encode_layer_assignment(*address, wanted),
      {{},
       {},
       [this, alive = alive_, id, span](const auto& result, auto /*body*/) {
         if (*alive) take_order(id, span, result);
       }});
}

auto layer_placer::take_order(const std::string& id, layer_range span,
                              const call_result& result) -> void {
  const auto found = runners_.find(id);
  if (found == runners_.end()) return;
  auto& book = found->second;
  book.ordering = false;
  book.asked = {};
  const auto* answered = std::get_if<call_answered>(&result);
  // Without an answer the order may be carried out later: the state tells.
  if (answered == nullptr) {
    log_event(log_level::warning, "layers.order_unanswered",
              {{"endpoint", id}});
    return;
  }
  switch (platform::decode_command_result(answered->status)) {
    case platform::command_result::accepted:
    case platform::command_result::already_applied:
      return;
    case platform::command_result::fenced:
      fenced_ = true;
      log_event(log_level::warning, "layers.fenced",
                {{"endpoint", id}, {"term", term_}});
      return;
    default:
      book.wanted.reset();
      book.wait_until = boottime_clock::now() + refused_pause;
      log_event(log_level::warning, "layers.order_refused",
                {{"endpoint", id},
                 {"status", answered->status},
                 {"from", span.from},
                 {"to", span.to}});
  }
}

}  // namespace pollenloft
