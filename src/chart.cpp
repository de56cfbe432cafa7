#include "pollenloft/chart.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace pollenloft {

namespace {

using json = nlohmann::json;

auto read_transition(const json& body) -> chart_transition {
  chart_transition transition;
  transition.guard = body.value("if", "");
  transition.target = body.at("to").get<std::string>();
  if (body.contains("do"))
    transition.actions = body["do"].get<std::vector<std::string>>();
  return transition;
}

}  // namespace

auto chart::load(const std::string& path, const chart_names& names)
    -> std::optional<chart> {
  std::ifstream in(path);
  if (!in) return fail("chart.load", path, "cannot be read");
  std::ostringstream text;
  text << in.rdbuf();
  return parse(text.str(), path, names);
}

auto chart::parse(const std::string& text, const std::string& path,
                  const chart_names& names) -> std::optional<chart> {
  chart result;
  try {
    const auto body = json::parse(text);
    result.initial_ = body.at("initial").get<std::string>();
    for (const auto& [name, state_body] : body.at("states").items()) {
      auto& state = result.states_[name];
      state.final = state_body.value("final", false);
      if (!state_body.contains("on")) continue;
      for (const auto& [event, transitions] : state_body["on"].items())
        for (const auto& transition : transitions)
          state.on[event].push_back(read_transition(transition));
    }
  } catch (const json::exception& exception) {
    return fail("chart.parse", path, exception.what());
  }
  if (!result.validate(path, names)) return std::nullopt;
  return result;
}

auto chart::validate(const std::string& path, const chart_names& names) const
    -> std::optional<bool> {
  const auto reject = [&](const std::string& name, const std::string& reason) {
    return fail("chart.check", path, "state " + name + ": " + reason);
  };
  if (states_.count(initial_) == 0) return reject(initial_, "does not exist");
  for (const auto& [name, state] : states_) {
    for (const auto& [event, transitions] : state.on) {
      if (names.events.count(event) == 0)
        return reject(name, "unknown event " + event);
      for (const auto& transition : transitions) {
        if (states_.count(transition.target) == 0)
          return reject(name,
                        "transition to unknown state " + transition.target);
        if (!transition.guard.empty() &&
            names.guards.count(transition.guard) == 0)
          return reject(name, "unknown guard " + transition.guard);
        for (const auto& action : transition.actions)
          if (names.actions.count(action) == 0)
            return reject(name, "unknown action " + action);
      }
    }
  }
  const auto reachable = reachable_from(initial_);
  for (const auto& [name, state] : states_) {
    if (reachable.count(name) == 0) return reject(name, "is unreachable");
    if (state.final) continue;
    const auto successors = reachable_from(name);
    const auto can_end =
        std::any_of(successors.begin(), successors.end(),
                    [&](const auto& next) { return is_final(next); });
    if (!can_end) return reject(name, "cannot reach a final state");
  }
  return true;
}

auto chart::reachable_from(const std::string& start) const
    -> std::set<std::string> {
  std::set<std::string> seen{start};
  std::vector<std::string> pending{start};
  while (!pending.empty()) {
    const auto name = pending.back();
    pending.pop_back();
    for (const auto& [event, transitions] : states_.at(name).on)
      for (const auto& transition : transitions)
        if (seen.insert(transition.target).second)
          pending.push_back(transition.target);
  }
  return seen;
}

auto chart::is_final(const std::string& state) const -> bool {
  return states_.at(state).final;
}

auto chart::find(const std::string& state, const std::string& event,
                 const std::function<bool(const std::string&)>& guard) const
    -> const chart_transition* {
  const auto& on = states_.at(state).on;
  const auto found = on.find(event);
  if (found == on.end()) return nullptr;
  for (const auto& transition : found->second)
    if (transition.guard.empty() || guard(transition.guard)) return &transition;
  return nullptr;
}

}  // namespace pollenloft
