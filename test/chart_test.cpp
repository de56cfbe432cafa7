#include "pollenloft/chart.hpp"

#include "pollenloft/settings.hpp"
#include "property.hpp"

namespace pollenloft::test {

class chart_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(chart_test);
  CPPUNIT_TEST(takes_the_first_way_whose_guard_holds);
  CPPUNIT_TEST(ignores_events_without_meaning);
  CPPUNIT_TEST(unknown_names_are_refused);
  CPPUNIT_TEST(unreachable_state_is_refused);
  CPPUNIT_TEST(dead_end_is_refused);
  CPPUNIT_TEST(settings_are_checked_together);
  CPPUNIT_TEST_SUITE_END();

  const chart_names names_{{"go", "stop"}, {"ready"}, {"run"}};

  auto parse(const std::string& text) const -> std::optional<chart> {
    return chart::parse(text, "test.json", names_);
  }

  auto reason(const std::string& text) const -> std::string {
    CPPUNIT_ASSERT(!parse(text).has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("test.json"), last_error().peer);
    return last_error().reason;
  }

 public:
  auto takes_the_first_way_whose_guard_holds() -> void {
    const auto made = parse(R"({"initial":"a","states":{
      "a":{"on":{"go":[{"if":"ready","do":["run"],"to":"b"},{"to":"c"}]}},
      "b":{"final":true},"c":{"final":true}}})");
    CPPUNIT_ASSERT(made.has_value());
    const auto target = [&](bool ready) {
      return made->find("a", "go", [&](const auto&) { return ready; })->target;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("b"), target(true));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), target(false));
  }

  auto ignores_events_without_meaning() -> void {
    const auto made = parse(
        R"({"initial":"a","states":{"a":{"on":{"go":[{"to":"b"}]}},
        "b":{"final":true}}})");
    CPPUNIT_ASSERT(made->find("a", "stop", [](const auto&) { return true; }) ==
                   nullptr);
  }

  auto unknown_names_are_refused() -> void {
    for (const auto* way : {R"({"do":["fly"],"to":"b"})",
                            R"({"if":"odd","to":"b"})", R"({"to":"nowhere"})"})
      CPPUNIT_ASSERT(reason(std::string(R"({"initial":"a","states":{"a":
        {"on":{"go":[)") + way +
                            R"(]}},"b":{"final":true}}})")
                         .find("state a") != std::string::npos);
  }

  auto unreachable_state_is_refused() -> void {
    CPPUNIT_ASSERT(reason(R"({"initial":"a","states":{"a":{"final":true},
      "b":{"final":true}}})")
                       .find("cannot be reached") != std::string::npos);
  }

  auto dead_end_is_refused() -> void {
    CPPUNIT_ASSERT(reason(R"({"initial":"a","states":{
      "a":{"on":{"go":[{"to":"b"}]}},"b":{"on":{"stop":[{"to":"b"}]}}}})")
                       .find("dead end") != std::string::npos);
  }

  auto settings_are_checked_together() -> void {
    const std::vector<setting> known{
        {"count", "3", number_range{1, 5}, ""},
        {"peer", "127.0.0.1:1", required_address{}, ""},
        {"mode", "a", one_of{{"a", "b"}}, ""}};
    const auto code = [&](std::vector<const char*> words) {
      words.insert(words.begin(), "program");
      const auto parsed =
          parse_settings("", known, static_cast<int>(words.size()),
                         const_cast<char**>(words.data()));  // NOLINT
      const auto* end = std::get_if<int>(&parsed);
      return end == nullptr ? -1 : *end;
    };
    CPPUNIT_ASSERT_EQUAL(-1, code({"--count", "5", "--mode", "b"}));
    CPPUNIT_ASSERT_EQUAL(2, code({"--count", "6", "--peer", "x"}));
    CPPUNIT_ASSERT_EQUAL(2, code({"--unknown", "6"}));
    CPPUNIT_ASSERT_EQUAL(0, code({"--version"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(chart_test);

}  // namespace pollenloft::test
