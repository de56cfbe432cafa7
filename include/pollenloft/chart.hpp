/// \file chart.hpp
/// State charts read from JSON files. A chart names guards and actions; the
/// code supplies them.
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

/// One way out of a state. The first whose guard holds is taken.
struct chart_transition {
  std::string guard;  ///< empty always holds
  std::vector<std::string> actions;
  std::string target;
};

/// The names that code supplies to a chart.
struct chart_names {
  std::set<std::string> events;
  std::set<std::string> guards;
  std::set<std::string> actions;
};

class chart {
 public:
  /// Reads and checks a chart. Refused with file, state and reason: unknown
  /// events, guards or actions, unreachable states, dead ends.
  static auto load(const std::string& path, const chart_names& names)
      -> std::optional<chart>;
  static auto parse(const std::string& text, const std::string& path,
                    const chart_names& names) -> std::optional<chart>;

  auto initial() const -> const std::string& { return initial_; }
  auto is_final(const std::string& state) const -> bool;
  /// The transition that `event` takes in `state`, or null if the event means
  /// nothing there.
  auto find(const std::string& state, const std::string& event,
            const std::function<bool(const std::string&)>& guard) const
      -> const chart_transition*;

 private:
  struct state {
    bool final = false;
    std::map<std::string, std::vector<chart_transition>> on;
  };

  auto check(const std::string& path, const chart_names& names) const
      -> std::optional<bool>;
  auto reachable_from(const std::string& start) const -> std::set<std::string>;

  std::string initial_;
  std::map<std::string, state> states_;
};

}  // namespace pollenloft

#endif
