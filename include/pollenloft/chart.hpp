/// \file chart.hpp
/// State charts (finite state machines) read from JSON files. A chart refers to
/// events, guards and actions by name; the code implements them.
///
///     {"initial": "idle",
///      "states": {
///        "idle": {"on": {"start": [{"if": "ready", "do": ["run"],
///                                   "to": "running"}]}},
///        "running": {"on": {"stop": [{"to": "ended"}]}},
///        "ended": {"final": true}}}
#ifndef POLLENLOFT_CHART_HPP
#define POLLENLOFT_CHART_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

/// A transition out of a state. Of the transitions for an event, the first
/// whose guard holds is taken.
struct chart_transition {
  std::string guard;  ///< an empty guard always holds
  std::vector<std::string> actions;
  std::string target;
};

/// The names of the events, guards and actions that the code implements.
struct chart_names {
  std::set<std::string> events;
  std::set<std::string> guards;
  std::set<std::string> actions;
};

class chart {
 public:
  /// Reads and validates a chart. Empty if the file is unreadable or malformed,
  /// or if the chart has unknown events, guards, actions or states, an
  /// unreachable state, or a state that leads to no final state; `last_error`
  /// then names file, state and reason.
  static auto load(const std::string& path, const chart_names& names)
      -> std::optional<chart>;
  /// The same for JSON text; `path` appears in errors only.
  static auto parse(const std::string& text, const std::string& path,
                    const chart_names& names) -> std::optional<chart>;

  auto initial() const -> const std::string& { return initial_; }
  auto is_final(const std::string& state) const -> bool;
  /// The transition that `event` triggers in `state`, or null if the state
  /// ignores the event or no guard holds.
  auto find(const std::string& state, const std::string& event,
            const std::function<bool(const std::string&)>& guard) const
      -> const chart_transition*;

 private:
  struct state {
    bool final = false;
    std::map<std::string, std::vector<chart_transition>> on;
  };

  auto validate(const std::string& path, const chart_names& names) const
      -> std::optional<bool>;
  auto reachable_from(const std::string& start) const -> std::set<std::string>;

  std::string initial_;
  std::map<std::string, state> states_;
};

}  // namespace pollenloft

#endif
