#include "pollenloft/chart.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace pollenloft {

namespace {

using json = nlohmann::json;

auto read_transition(const json& from) -> chart_transition {
  chart_transition to;
  to.guard = from.value("if", "");
  to.target = from.at("to").get<std::string>();
  if (from.contains("do"))
    to.actions = from["do"].get<std::vector<std::string>>();
  return to;
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
    for (const auto& [name, item] : body.at("states").items()) {
      auto& made = result.states_[name];
      made.final = item.value("final", false);
      if (!item.contains("on")) continue;
      for (const auto& [event, ways] : item["on"].items())
        for (const auto& way : ways)
          made.on[event].push_back(read_transition(way));
    }
  } catch (const json::exception& bad) {
    return fail("chart.parse", path, bad.what());
  }
  if (!result.check(path, names)) return std::nullopt;
  return result;
}

auto chart::check(const std::string& path, const chart_names& names) const
    -> std::optional<bool> {
  const auto refuse = [&](const std::string& state, const std::string& why) {
    return fail("chart.check", path, "state " + state + ": " + why);
  };
  if (states_.count(initial_) == 0) return refuse(initial_, "does not exist");
  for (const auto& [name, item] : states_) {
    for (const auto& [event, ways] : item.on) {
      if (names.events.count(event) == 0)
        return refuse(name, "unknown event " + event);
      for (const auto& way : ways) {
        if (states_.count(way.target) == 0)
          return refuse(name, "leads to unknown state " + way.target);
        if (!way.guard.empty() && names.guards.count(way.guard) == 0)
          return refuse(name, "unknown guard " + way.guard);
        for (const auto& action : way.actions)
          if (names.actions.count(action) == 0)
            return refuse(name, "unknown action " + action);
      }
    }
  }
  const auto reached = reachable_from(initial_);
  for (const auto& [name, item] : states_) {
    if (reached.count(name) == 0) return refuse(name, "cannot be reached");
    if (item.final) continue;
    const auto onward = reachable_from(name);
    const auto ends =
        std::any_of(onward.begin(), onward.end(),
                    [&](const auto& next) { return is_final(next); });
    if (!ends) return refuse(name, "is a dead end");
  }
  return true;
}

auto chart::reachable_from(const std::string& start) const
    -> std::set<std::string> {
  std::set<std::string> seen{start};
  std::vector<std::string> open{start};
  while (!open.empty()) {
    const auto name = open.back();
    open.pop_back();
    for (const auto& [event, ways] : states_.at(name).on)
      for (const auto& way : ways)
        if (seen.insert(way.target).second) open.push_back(way.target);
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
  for (const auto& way : found->second)
    if (way.guard.empty() || guard(way.guard)) return &way;
  return nullptr;
}

}  // namespace pollenloft
