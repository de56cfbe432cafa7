#include "pollenloft/settings.hpp"

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "property.hpp"

namespace pollenloft::test {
namespace {

const std::vector<setting> known{{"name", "fallback", nonempty_text{}, ""},
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

}  // namespace

class settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(settings_test);
  CPPUNIT_TEST(flag_overrides_file_and_file_overrides_default);
  CPPUNIT_TEST(optional_addresses_may_be_empty);
  CPPUNIT_TEST(address_lists_are_parsed);
  CPPUNIT_TEST(changed_file_is_reloaded_if_valid);
  CPPUNIT_TEST(unknown_setting_or_missing_file_gives_exit_code_2);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

}  // namespace pollenloft::test
