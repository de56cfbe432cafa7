#include "pollenloft/settings.hpp"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "property.hpp"

namespace pollenloft::test {
namespace {

const std::vector<setting> known{{"name", "fallback", nonempty_text{}, ""},
                                 {"slack", "50", decimal_range{0, 1000000}, ""},
                                 {"period-ms", "9", decimal_range{5, 99}, ""},
                                 {"front", "", optional_address{}, ""},
                                 {"seeds", "", socket_address_list{}, ""}};

/// A settings file that is removed at the end of the test.
class settings_file {
 public:
  explicit settings_file(const std::string& text) {
    std::ofstream(path_) << text;
  }
  ~settings_file() { std::remove(path_.c_str()); }
  settings_file(const settings_file&) = delete;
  auto operator=(const settings_file&) -> settings_file& = delete;
  auto path() const -> const std::string& { return path_; }

 private:
  std::string path_ = "/tmp/pollenloft-settings-" + std::to_string(rand());
};

auto parse(std::vector<std::string> arguments) -> std::variant<settings, int> {
  arguments.insert(arguments.begin(), "program");
  std::vector<char*> argv;
  for (auto& argument : arguments)
    argv.push_back(argument.data());
  return parse_settings("program", known, static_cast<int>(argv.size()),
                        argv.data());
}

/// Parses `arguments` and returns what is printed to standard error.
auto parse_and_capture(const std::vector<std::string>& arguments)
    -> std::string {
  std::ostringstream captured;
  auto* const previous = std::cerr.rdbuf(captured.rdbuf());
  const auto parsed = parse(arguments);
  std::cerr.rdbuf(previous);
  CPPUNIT_ASSERT_EQUAL(2, std::get<int>(parsed));
  return captured.str();
}

using placeholder_values = std::map<std::string, std::string>;

auto platform_values() -> placeholder_values {
  return {{"NodeName", "n"},
          {"Zone", "z"},
          {"Ip", "10.0.0.1"},
          {"PortRange.0", "7000"},
          {"PortRange.1", "7015"},
          {"Listen.Front", "10.0.0.1:80"},
          {"Listen.Readiness", "10.0.0.1:81"},
          {"Listen.Control", "10.0.0.1:82"},
          {"Seeds", "10.0.0.2:7000"},
          {"DataDir", "/tmp"},
          {"Bootstrap", "true"},
          {"Tolerate.Machines", "1"},
          {"HeartbeatMs", "1200"},
          {"Limits.LinkMbps", "1000.0"},
          {"Limits.MemoryMb", "260"},
          {"Limits.MaxFds", "4100"},
          {"Bounds.RetrySlack", "50"},
          {"Bounds.ConfigApplyMs", "2000"}};
}

/// The template deploy/`name` with all placeholders substituted.
auto render(const std::string& name, const placeholder_values& values)
    -> std::string {
  std::ifstream file(std::string(POLLENLOFT_ROOT) + "/deploy/" + name);
  std::ostringstream read;
  read << file.rdbuf();
  auto text = read.str();
  for (const auto& [placeholder, value] : values)
    for (auto at = text.find("{{" + placeholder + "}}");
         at != std::string::npos; at = text.find("{{" + placeholder + "}}"))
      text.replace(at, placeholder.size() + 4, value);
  CPPUNIT_ASSERT_EQUAL(std::string::npos, text.find("{{"));
  return text;
}

/// The settings that `program` refuses in a settings file. One more invalid
/// setting ends the program before it starts.
auto refused_settings(const std::string& program, const std::string& text)
    -> std::string {
  const settings_file file(text);
  const auto command =
      program + " --settings " + file.path() + " --log-level nothing 2>&1";
  auto* const output = popen(command.c_str(), "r");  // NOLINT
  CPPUNIT_ASSERT(output != nullptr);
  std::string printed;
  for (int c = fgetc(output); c != EOF; c = fgetc(output))
    printed += static_cast<char>(c);
  const auto status = pclose(output);
  CPPUNIT_ASSERT(WIFEXITED(status));
  CPPUNIT_ASSERT_EQUAL(2, WEXITSTATUS(status));
  return printed;
}

const std::string refused_log_level =
    "setting=log-level value=\"nothing\" "
    "allowed=\"debug|info|warning|error\"\n";

}  // namespace

class settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(settings_test);
  CPPUNIT_TEST(flag_overrides_file_and_file_overrides_default);
  CPPUNIT_TEST(optional_addresses_may_be_empty);
  CPPUNIT_TEST(address_lists_are_parsed);
  CPPUNIT_TEST(changed_file_is_reloaded_if_valid);
  CPPUNIT_TEST(unknown_setting_or_missing_file_gives_exit_code_2);
  CPPUNIT_TEST(fraction_of_a_decimal_setting_is_refused);
  CPPUNIT_TEST(text_that_is_no_number_is_accepted);
  CPPUNIT_TEST(only_the_first_invalid_number_is_printed);
  CPPUNIT_TEST(fraction_from_the_platform_ends_entryd);
  CPPUNIT_TEST(fraction_from_the_platform_ends_controld);
  CPPUNIT_TEST(daemon_accepts_junk_from_the_platform);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto flag_overrides_file_and_file_overrides_default() -> void {
    const settings_file file("# comment\nname = from-file\n");
    const auto from_file = parse({"--settings", file.path()});
    CPPUNIT_ASSERT_EQUAL(std::string("from-file"),
                         std::get<settings>(from_file).text("name"));
    const auto from_flag = parse({"--settings", file.path(), "--name", "flag"});
    CPPUNIT_ASSERT_EQUAL(std::string("flag"),
                         std::get<settings>(from_flag).text("name"));
    CPPUNIT_ASSERT_EQUAL(std::string("fallback"),
                         std::get<settings>(parse({})).text("name"));
  }

  auto optional_addresses_may_be_empty() -> void {
    const settings_file file("front =\nseeds =\n");
    const auto parsed = parse({"--settings", file.path()});
    CPPUNIT_ASSERT(std::get<settings>(parsed).text("front").empty());
    CPPUNIT_ASSERT(std::get<settings>(parsed).address_list("seeds").empty());
    CPPUNIT_ASSERT_EQUAL(2, std::get<int>(parse({"--front", "nowhere"})));
  }

  auto address_lists_are_parsed() -> void {
    const auto parsed = parse({"--seeds", "10.0.0.1:7,10.0.0.2:8"});
    const auto seeds = std::get<settings>(parsed).address_list("seeds");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seeds.size());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:8"), seeds[1].text());
    CPPUNIT_ASSERT_EQUAL(2, std::get<int>(parse({"--seeds", "10.0.0.1"})));
  }

  auto changed_file_is_reloaded_if_valid() -> void {
    const settings_file file("name = first\n");
    std::vector<std::string> arguments{"program", "--settings", file.path()};
    std::vector<char*> argv;
    for (auto& argument : arguments)
      argv.push_back(argument.data());
    settings_reloader reloader("program", known, 3, argv.data());
    CPPUNIT_ASSERT(!reloader.reload_if_changed());
    std::ofstream(file.path()) << "name = second\n";
    const auto changed = reloader.reload_if_changed();
    CPPUNIT_ASSERT(changed && changed->text("name") == "second");
    CPPUNIT_ASSERT(!reloader.reload_if_changed());
    std::ofstream(file.path()) << "name =\n";  // invalid: the text is empty
    CPPUNIT_ASSERT(!reloader.reload_if_changed());
  }

  auto unknown_setting_or_missing_file_gives_exit_code_2() -> void {
    const settings_file file("colour = red\n");
    CPPUNIT_ASSERT_EQUAL(2, std::get<int>(parse({"--settings", file.path()})));
    CPPUNIT_ASSERT_EQUAL(2, std::get<int>(parse({"--settings", "/nowhere"})));
  }

  auto fraction_of_a_decimal_setting_is_refused() -> void {
    const auto parsed =
        parse({"--slack", "61.724137931034484", "--period-ms", "5.99"});
    const auto& values = std::get<settings>(parsed);
    CPPUNIT_ASSERT_EQUAL(61.724137931034484, values.decimal("slack"));
    CPPUNIT_ASSERT(values.millis("period-ms") == milliseconds(5));
    for (const auto* whole : {"0", "1000000", "1e3", "7.0"})
      CPPUNIT_ASSERT(
          std::holds_alternative<settings>(parse({"--slack", whole})));
  }

  auto text_that_is_no_number_is_accepted() -> void {
    for (const auto* junk :
         {"", "x", "0x10", "nan", "inf", "-inf", "1e400", "1.5x", "1.5 ", " 1",
          "+1", "1,5", "1.5.5", "true", "-0.1", "1000000.1"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          junk, 2, std::get<int>(parse({"--slack=" + std::string(junk)})));
    for (const auto* outside : {"4.99", "99.01"})
      CPPUNIT_ASSERT_EQUAL(2, std::get<int>(parse({"--period-ms", outside})));
  }

  auto only_the_first_invalid_number_is_printed() -> void {
    CPPUNIT_ASSERT_EQUAL(
        std::string("setting=slack value=\"nan\" "
                    "allowed=\"a number from 0 to 1000000\"\n"
                    "setting=period-ms value=\"1.5x\" "
                    "allowed=\"a number from 5 to 99\"\n"),
        parse_and_capture({"--slack", "nan", "--period-ms", "1.5x"}));
  }

  auto fraction_from_the_platform_ends_entryd() -> void {
    auto values = platform_values();
    values["Bounds.RetrySlack"] = "61.724137931034484";
    values["Bounds.ConfigApplyMs"] = "1999.5";
    values["Limits.MemoryMb"] = "160.5";
    values["Limits.MaxFds"] = "4100.0";
    CPPUNIT_ASSERT_EQUAL(
        refused_log_level,
        refused_settings(POLLENLOFT_ENTRYD, render("entry.conf", values)));
  }

  auto fraction_from_the_platform_ends_controld() -> void {
    auto values = platform_values();
    values["HeartbeatMs"] = "1200.25";
    values["Limits.LinkMbps"] = "170.5";
    values["Limits.MemoryMb"] = "256.25";
    values["Limits.MaxFds"] = "4096.0";
    CPPUNIT_ASSERT_EQUAL(
        refused_log_level,
        refused_settings(POLLENLOFT_CONTROLD, render("control.conf", values)));
  }

  auto daemon_accepts_junk_from_the_platform() -> void {
    auto values = platform_values();
    values["Bounds.RetrySlack"] = "nan";
    values["Bounds.ConfigApplyMs"] = "0x7d0";
    values["HeartbeatMs"] = "1200ms";
    values["Limits.LinkMbps"] = "inf";
    const auto from_entryd =
        refused_settings(POLLENLOFT_ENTRYD, render("entry.conf", values));
    for (const auto* name : {"retry-slack", "document-apply-ms", "log-level"})
      CPPUNIT_ASSERT(from_entryd.find("setting=" + std::string(name)) !=
                     std::string::npos);
    const auto from_controld =
        refused_settings(POLLENLOFT_CONTROLD, render("control.conf", values));
    for (const auto* name : {"report-period-ms", "link-mbps", "log-level"})
      CPPUNIT_ASSERT(from_controld.find("setting=" + std::string(name)) !=
                     std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

}  // namespace pollenloft::test
