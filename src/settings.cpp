#include "pollenloft/settings.hpp"

#include <array>
#include <boost/program_options.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iostream>
#include <sstream>

namespace pollenloft {

namespace {

namespace po = boost::program_options;
constexpr auto version = "pollenloft 0.1.0";
constexpr auto environment_prefix = "POLLENLOFT_";
constexpr auto settings_file_flag = "settings";

auto split(const std::string& text, char separator)
    -> std::vector<std::string> {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, separator);)
    parts.push_back(part);
  return parts;
}

auto parse_named_addresses(const std::string& text)
    -> std::optional<std::map<std::string, socket_address>> {
  std::map<std::string, socket_address> parsed;
  for (const auto& part : split(text, ',')) {
    const auto equals = part.find('=');
    if (equals == std::string::npos) return std::nullopt;
    const auto address = parse_socket_address(part.substr(equals + 1));
    if (!address) return std::nullopt;
    parsed[part.substr(0, equals)] = *address;
  }
  return parsed;
}

auto parse_addresses(const std::string& text)
    -> std::optional<std::vector<socket_address>> {
  std::vector<socket_address> parsed;
  for (const auto& part : split(text, ',')) {
    const auto address = parse_socket_address(part);
    if (!address) return std::nullopt;
    parsed.push_back(*address);
  }
  return parsed;
}

auto format_decimal(double value) -> std::string {
  std::array<char, 64> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value,
                                 std::chars_format::fixed)
                       .ptr;
  return {text.data(), end};
}

/// The values that `domain` allows, or an empty text if `value` is valid.
auto validate(const setting_domain& domain, const std::string& value)
    -> std::string {
  return std::visit(
      overloaded{
          [](const any_text&) { return std::string(); },
          [&](const nonempty_text&) {
            return std::string(value.empty() ? "a text that is not empty" : "");
          },
          [&](const number_range& range) {
            const auto number = parse_number(value);
            if (number && *number >= range.min && *number <= range.max)
              return std::string();
            return "a whole number from " + std::to_string(range.min) + " to " +
                   std::to_string(range.max);
          },
          [&](const decimal_range& range) {
            const auto number = parse_decimal(value);
            if (number && *number >= range.min && *number <= range.max)
              return std::string();
            return "a number from " + format_decimal(range.min) + " to " +
                   format_decimal(range.max);
          },
          [&](const required_address&) {
            return std::string(parse_socket_address(value) ? ""
                                                           : "a.b.c.d:port");
          },
          [&](const optional_address&) {
            const auto valid = value.empty() || parse_socket_address(value);
            return std::string(valid ? "" : "a.b.c.d:port or nothing");
          },
          [&](const socket_address_list&) {
            return std::string(parse_addresses(value) ? ""
                                                      : "a.b.c.d:port,...");
          },
          [&](const named_address_list&) {
            return std::string(
                parse_named_addresses(value) ? "" : "id=a.b.c.d:port,...");
          },
          [&](const one_of& choice) {
            std::string names;
            for (const auto& name : choice.values) {
              if (name == value) return std::string();
              names += (names.empty() ? "" : "|") + name;
            }
            return names;
          }},
      domain);
}

auto variable_name(const std::string& flag) -> std::string {
  auto name = environment_prefix + flag;
  for (auto& c : name)
    c = c == '-' ? '_' : static_cast<char>(std::toupper(c));
  return name;
}

/// Validates all values and prints each that is invalid.
auto validate_all(const std::vector<setting>& known,
                  const std::map<std::string, std::string>& values) -> bool {
  auto valid = true;
  for (const auto& declared : known) {
    const auto& value = values.at(declared.name);
    const auto allowed = validate(declared.domain, value);
    if (allowed.empty()) continue;
    std::cerr << "setting=" << declared.name << " value=\"" << value
              << "\" allowed=\"" << allowed << "\"\n";
    valid = false;
  }
  return valid;
}

}  // namespace

auto settings::text(const std::string& name) const -> const std::string& {
  return values_.at(name);
}

auto settings::number(const std::string& name) const -> std::int64_t {
  return *parse_number(text(name));
}

auto settings::decimal(const std::string& name) const -> double {
  return *parse_decimal(text(name));
}

auto settings::millis(const std::string& name) const -> milliseconds {
  return milliseconds(static_cast<std::int64_t>(std::floor(decimal(name))));
}

auto settings::address(const std::string& name) const -> socket_address {
  return *parse_socket_address(text(name));
}

auto settings::named_addresses(const std::string& name) const
    -> std::map<std::string, socket_address> {
  return *parse_named_addresses(text(name));
}

auto settings::address_list(const std::string& name) const
    -> std::vector<socket_address> {
  return *parse_addresses(text(name));
}

auto settings::flag(const std::string& name) const -> bool {
  return text(name) == "true";
}

auto parse_settings(const std::string& usage, const std::vector<setting>& known,
                    int argc, char** argv) -> std::variant<settings, int> {
  po::options_description options("Settings");
  auto add = options.add_options();
  add("help", "show this text");
  add("version", "show the version");
  add(settings_file_flag, po::value<std::string>(),
      "file of name = value lines");
  for (const auto& declared : known)
    add(declared.name.c_str(), po::value<std::string>(), declared.help.c_str());
  add("argument", po::value<std::vector<std::string>>(), "");
  po::positional_options_description positional;
  positional.add("argument", -1);

  po::variables_map variables;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(positional)
                  .run(),
              variables);
    po::store(
        po::parse_environment(options,
                              [&](const std::string& variable) -> std::string {
                                for (const auto& declared : known)
                                  if (variable == variable_name(declared.name))
                                    return declared.name;
                                return "";
                              }),
        variables);
    if (variables.count(settings_file_flag) != 0) {
      const auto path = variables[settings_file_flag].as<std::string>();
      std::ifstream file(path);
      if (!file) throw po::error("cannot read the settings file " + path);
      po::store(po::parse_config_file(file, options), variables);
    }
  } catch (const po::error& exception) {
    std::cerr << "setting=? value=\"\" allowed=\"" << exception.what()
              << "\"\n";
    return 2;
  }
  if (variables.count("help") != 0) {
    std::cout << "Usage: " << usage << "\n" << options;
    return 0;
  }
  if (variables.count("version") != 0) {
    std::cout << version << "\n";
    return 0;
  }
  settings result;
  for (const auto& declared : known)
    result.values_[declared.name] =
        variables.count(declared.name) != 0
            ? variables[declared.name].as<std::string>()
            : declared.default_value;
  if (variables.count("argument") != 0)
    result.arguments_ = variables["argument"].as<std::vector<std::string>>();
  if (!validate_all(known, result.values_)) return 2;
  return result;
}

settings_reloader::settings_reloader(std::string usage,
                                     std::vector<setting> known, int argc,
                                     char** argv)
    : usage_(std::move(usage)),
      known_(std::move(known)),
      argc_(argc),
      argv_(argv),
      last_(parse_settings(usage_, known_, argc_, argv_)) {}

auto settings_reloader::reload_if_changed() -> std::optional<settings> {
  auto parsed = parse_settings(usage_, known_, argc_, argv_);
  const auto* reread = std::get_if<settings>(&parsed);
  if (reread == nullptr)
    return fail("settings.reload", usage_, "the new settings are invalid");
  const auto* last = std::get_if<settings>(&last_);
  if (last != nullptr && *last == *reread) return std::nullopt;
  last_ = parsed;
  return *reread;
}

}  // namespace pollenloft
