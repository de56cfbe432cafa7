/// \file settings.hpp
/// Settings of a program. Each can be given as a flag `--name`, an environment
/// variable `POLLENLOFT_NAME` or a line `name = value` of the file named by
/// `--settings`. Flags take precedence over variables, variables over the file.
/// All settings are validated before the program starts.
#ifndef POLLENLOFT_SETTINGS_HPP
#define POLLENLOFT_SETTINGS_HPP

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

struct any_text {};
struct nonempty_text {};
/// A decimal integer from `min` to `max`, both included.
struct number_range {
  std::int64_t min;
  std::int64_t max;
};
/// A decimal number from `min` to `max`, both included, that may have a
/// fraction.
struct decimal_range {
  double min;
  double max;
};
/// `a.b.c.d:port`
struct required_address {};
/// `a.b.c.d:port` or empty.
struct optional_address {};
/// `a.b.c.d:port,...` or empty.
struct socket_address_list {};
/// `id=a.b.c.d:port,...` or empty.
struct named_address_list {};
/// One of the listed values.
struct one_of {
  std::vector<std::string> values;
};
/// The values that a setting accepts.
using setting_domain =
    std::variant<any_text, nonempty_text, number_range, decimal_range,
                 required_address, optional_address, socket_address_list,
                 named_address_list, one_of>;

/// Declaration of a setting.
struct setting {
  std::string name;
  std::string default_value;
  setting_domain domain;
  std::string help;
};

/// The validated settings of a program and its positional arguments. A getter
/// is valid only for a setting whose domain ensures that type.
class settings {
 public:
  auto text(const std::string& name) const -> const std::string&;
  auto number(const std::string& name) const -> std::int64_t;
  auto decimal(const std::string& name) const -> double;
  /// A number of milliseconds; a fraction is rounded down.
  auto millis(const std::string& name) const -> milliseconds;
  auto address(const std::string& name) const -> socket_address;
  auto named_addresses(const std::string& name) const
      -> std::map<std::string, socket_address>;
  auto address_list(const std::string& name) const
      -> std::vector<socket_address>;
  /// Whether the value is `true`.
  auto flag(const std::string& name) const -> bool;
  auto arguments() const -> const std::vector<std::string>& {
    return arguments_;
  }
  auto operator==(const settings&) const -> bool = default;

 private:
  friend auto parse_settings(const std::string&, const std::vector<setting>&,
                             int, char**) -> std::variant<settings, int>;
  std::map<std::string, std::string> values_;
  std::vector<std::string> arguments_;
};

/// Reads flags, environment and settings file. Returns an exit code if the
/// program should exit: 0 after `--help` or `--version`; 2 for invalid
/// settings, after each is printed to standard error as
/// `setting=... value=... allowed=...`.
auto parse_settings(const std::string& usage, const std::vector<setting>& known,
                    int argc, char** argv) -> std::variant<settings, int>;

/// How often a running process checks its settings file for changes.
constexpr auto settings_poll_interval = std::chrono::seconds(2);

/// Rereads the settings of a running process:
///
///     settings_reloader reloader(usage, known, argc, argv);
///     if (const auto changed = reloader.reload_if_changed()) apply(*changed);
class settings_reloader {
 public:
  settings_reloader(std::string usage, std::vector<setting> known, int argc,
                    char** argv);

  /// Rereads the settings and returns them if they differ from the last valid
  /// ones. Empty if unchanged or invalid; invalid settings are printed to
  /// standard error and the last valid ones stay in force.
  auto reload_if_changed() -> std::optional<settings>;

 private:
  std::string usage_;
  std::vector<setting> known_;
  int argc_;
  char** argv_;
  std::variant<settings, int> last_;
};

}  // namespace pollenloft

#endif
