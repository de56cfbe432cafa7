#include "pollenloft/chart.hpp"

#include "pollenloft/settings.hpp"
#include "property.hpp"

namespace pollenloft::test {

class chart_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(chart_test);
  CPPUNIT_TEST(first_transition_with_a_true_guard_is_taken);
  CPPUNIT_TEST(event_without_transition_is_ignored);
  CPPUNIT_TEST(unknown_names_are_rejected);
  CPPUNIT_TEST(unreachable_state_is_rejected);
  CPPUNIT_TEST(state_without_path_to_a_final_state_is_rejected);
  CPPUNIT_TEST(invalid_settings_give_exit_code_2);
  CPPUNIT_TEST_SUITE_END();

  const chart_names names_{{"go", "stop"}, {"ready"}, {"run"}};

  auto parse(const std::string& text) const -> std::optional<chart> {
    return chart::parse(text, "test.json", names_);
  }

  /// The reason for which an invalid chart is rejected.
  auto rejection(const std::string& text) const -> std::string {
    CPPUNIT_ASSERT(!parse(text).has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("test.json"), last_error().peer);
    return last_error().reason;
  }

 public:
  auto first_transition_with_a_true_guard_is_taken() -> void {
    const auto parsed = parse(R"({"initial":"a","states":{
      "a":{"on":{"go":[{"if":"ready","do":["run"],"to":"b"},{"to":"c"}]}},
      "b":{"final":true},"c":{"final":true}}})");
    CPPUNIT_ASSERT(parsed.has_value());
    const auto target = [&](bool ready) {
      return parsed->find("a", "go", [&](const auto&) { return ready; })
          ->target;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("b"), target(true));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), target(false));
  }

  auto event_without_transition_is_ignored() -> void {
    const auto parsed = parse(
        R"({"initial":"a","states":{"a":{"on":{"go":[{"to":"b"}]}},
        "b":{"final":true}}})");
    CPPUNIT_ASSERT(
        parsed->find("a", "stop", [](const auto&) { return true; }) == nullptr);
  }

  auto unknown_names_are_rejected() -> void {
    for (const auto* transition :
         {R"({"do":["fly"],"to":"b"})", R"({"if":"odd","to":"b"})",
          R"({"to":"nowhere"})"})
      CPPUNIT_ASSERT(rejection(std::string(R"({"initial":"a","states":{"a":
        {"on":{"go":[)") + transition +
                               R"(]}},"b":{"final":true}}})")
                         .find("state a") != std::string::npos);
  }

  auto unreachable_state_is_rejected() -> void {
    CPPUNIT_ASSERT(rejection(R"({"initial":"a","states":{"a":{"final":true},
      "b":{"final":true}}})")
                       .find("is unreachable") != std::string::npos);
  }

  auto state_without_path_to_a_final_state_is_rejected() -> void {
    CPPUNIT_ASSERT(rejection(R"({"initial":"a","states":{
      "a":{"on":{"go":[{"to":"b"}]}},"b":{"on":{"stop":[{"to":"b"}]}}}})")
                       .find("cannot reach a final state") !=
                   std::string::npos);
  }

  auto invalid_settings_give_exit_code_2() -> void {
    const std::vector<setting> known{
        {"count", "3", number_range{1, 5}, ""},
        {"peer", "127.0.0.1:1", required_address{}, ""},
        {"mode", "a", one_of{{"a", "b"}}, ""}};
    // The exit code, or -1 if all settings are valid.
    const auto exit_code = [&](std::vector<const char*> arguments) {
      arguments.insert(arguments.begin(), "program");
      const auto parsed =
          parse_settings("", known, static_cast<int>(arguments.size()),
                         const_cast<char**>(arguments.data()));  // NOLINT
      const auto* code = std::get_if<int>(&parsed);
      return code == nullptr ? -1 : *code;
    };
    CPPUNIT_ASSERT_EQUAL(-1, exit_code({"--count", "5", "--mode", "b"}));
    CPPUNIT_ASSERT_EQUAL(2, exit_code({"--count", "6", "--peer", "x"}));
    CPPUNIT_ASSERT_EQUAL(2, exit_code({"--unknown", "6"}));
    CPPUNIT_ASSERT_EQUAL(0, exit_code({"--version"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(chart_test);

}  // namespace pollenloft::test
