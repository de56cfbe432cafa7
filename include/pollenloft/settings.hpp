/// \file settings.hpp
/// Settings of a program, each a flag `--name`, an environment variable
/// `POLLENLOFT_NAME` and a line `name = value` of the file named by
/// `--settings`; a flag goes before the variable, the variable before the file.
/// All are checked before the program starts anything.
#ifndef POLLENLOFT_SETTINGS_HPP
#define POLLENLOFT_SETTINGS_HPP

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

/// What a setting's value may be.
struct any_text {};
struct nonempty_text {};
struct number_range {
  std::int64_t min;
  std::int64_t max;
};
struct required_address {};
/// `a.b.c.d:port` or nothing.
struct optional_address {};
/// `a.b.c.d:port,...` or nothing.
struct socket_address_list {};
/// `id=a.b.c.d:port,...`
struct named_address_list {};
struct one_of {
  std::vector<std::string> values;
};
using setting_domain =
    std::variant<any_text, nonempty_text, number_range, required_address,
                 optional_address, socket_address_list, named_address_list,
                 one_of>;

/// One setting: its name, default, what is allowed and its help line.
struct setting {
  std::string name;
  std::string default_value;
  setting_domain domain;
  std::string help;
};

/// The checked settings of a program and its positional arguments.
class settings {
 public:
  auto text(const std::string& name) const -> const std::string&;
  auto number(const std::string& name) const -> std::int64_t;
  auto millis(const std::string& name) const -> milliseconds;
  auto address(const std::string& name) const -> socket_address;
  auto named_addresses(const std::string& name) const
      -> std::map<std::string, socket_address>;
  auto address_list(const std::string& name) const
      -> std::vector<socket_address>;
  auto flag(const std::string& name) const -> bool;
  auto arguments() const -> const std::vector<std::string>& { return rest_; }
  auto operator==(const settings&) const -> bool = default;

 private:
  friend auto parse_settings(const std::string&, const std::vector<setting>&,
                             int, char**) -> std::variant<settings, int>;
  std::map<std::string, std::string> values_;
  std::vector<std::string> rest_;
};

/// Reads flags, environment and settings file. Holds an exit code instead when
/// the program should end: 0 after `--help` or `--version`, 2 after printing
/// each fault as `setting=... value=... allowed=...`.
auto parse_settings(const std::string& usage, const std::vector<setting>& known,
                    int argc, char** argv) -> std::variant<settings, int>;

/// How often a running process looks whether its settings file has changed.
constexpr auto settings_poll_interval = std::chrono::seconds(2);

/// Reads the settings of a running process again:
///
///     settings_reloader now(usage, known, argc, argv);
///     if (const auto changed = now.reload_if_changed()) apply(*changed);
class settings_reloader {
 public:
  settings_reloader(std::string usage, std::vector<setting> known, int argc,
                    char** argv);

  /// The settings if they differ from those read last; faults are printed and
  /// leave the old ones in force.
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
