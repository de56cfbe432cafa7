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

auto parse(std::vector<std::string> words) -> std::variant<settings, int> {
  words.insert(words.begin(), "program");
  std::vector<char*> argv;
  for (auto& word : words)
    argv.push_back(word.data());
  return parse_settings("program", known, static_cast<int>(argv.size()),
                        argv.data());
}

}  // namespace

class settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(settings_test);
  CPPUNIT_TEST(file_goes_before_the_fallback_and_behind_the_flag);
  CPPUNIT_TEST(empty_values_are_allowed_where_the_domain_says_so);
  CPPUNIT_TEST(lists_of_addresses_are_read);
  CPPUNIT_TEST(changed_file_is_noticed);
  CPPUNIT_TEST(unknown_names_and_missing_files_are_faults);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto file_goes_before_the_fallback_and_behind_the_flag() -> void {
    const settings_file file("# comment\nname = from-file\n");
    const auto read = parse({"--settings", file.path()});
    CPPUNIT_ASSERT_EQUAL(std::string("from-file"),
                         std::get<settings>(read).text("name"));
    const auto flag = parse({"--settings", file.path(), "--name", "flag"});
    CPPUNIT_ASSERT_EQUAL(std::string("flag"),
                         std::get<settings>(flag).text("name"));
    CPPUNIT_ASSERT_EQUAL(std::string("fallback"),
                         std::get<settings>(parse({})).text("name"));
  }

  auto empty_values_are_allowed_where_the_domain_says_so() -> void {
    const settings_file file("front =\nseeds =\n");
    const auto read = parse({"--settings", file.path()});
    CPPUNIT_ASSERT(std::get<settings>(read).text("front").empty());
    CPPUNIT_ASSERT(std::get<settings>(read).address_list("seeds").empty());
    CPPUNIT_ASSERT_EQUAL(2, std::get<int>(parse({"--front", "nowhere"})));
  }

  auto lists_of_addresses_are_read() -> void {
    const auto read = parse({"--seeds", "10.0.0.1:7,10.0.0.2:8"});
    const auto seeds = std::get<settings>(read).address_list("seeds");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seeds.size());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:8"), seeds[1].text());
    CPPUNIT_ASSERT_EQUAL(2, std::get<int>(parse({"--seeds", "10.0.0.1"})));
  }

  auto changed_file_is_noticed() -> void {
    const settings_file file("name = first\n");
    std::vector<std::string> words{"program", "--settings", file.path()};
    std::vector<char*> argv;
    for (auto& word : words)
      argv.push_back(word.data());
    settings_reloader now("program", known, 3, argv.data());
    CPPUNIT_ASSERT(!now.reload_if_changed());
    std::ofstream(file.path()) << "name = second\n";
    const auto changed = now.reload_if_changed();
    CPPUNIT_ASSERT(changed && changed->text("name") == "second");
    CPPUNIT_ASSERT(!now.reload_if_changed());
    std::ofstream(file.path()) << "name =\n";  // not allowed
    CPPUNIT_ASSERT(!now.reload_if_changed());
  }

  auto unknown_names_and_missing_files_are_faults() -> void {
    const settings_file file("colour = red\n");
    CPPUNIT_ASSERT_EQUAL(2, std::get<int>(parse({"--settings", file.path()})));
    CPPUNIT_ASSERT_EQUAL(2, std::get<int>(parse({"--settings", "/nowhere"})));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

}  // namespace pollenloft::test
