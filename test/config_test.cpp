#include "pollenloft/config.hpp"

#include "property.hpp"

namespace pollenloft::test {

class config_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_test);
  CPPUNIT_TEST(patch_creates_the_next_version);
  CPPUNIT_TEST(patch_merges_into_existing_items);
  CPPUNIT_TEST(null_removes_an_item);
  CPPUNIT_TEST(all_errors_are_reported_with_their_paths);
  CPPUNIT_TEST(reference_to_a_removed_account_is_refused);
  CPPUNIT_TEST(two_accounts_cannot_share_a_token);
  CPPUNIT_TEST(text_can_be_parsed);
  CPPUNIT_TEST(endpoints_are_allowed_by_id_kind_or_star);
  CPPUNIT_TEST_SUITE_END();

  static auto apply(const configuration& base, const std::string& patch)
      -> configuration {
    auto outcome = apply_patch(base, patch);
    if (auto* errors = std::get_if<std::vector<validation_error>>(&outcome))
      CPPUNIT_FAIL(describe(*errors));
    return std::get<configuration>(outcome);
  }

  static auto patch_errors(const configuration& base, const std::string& patch)
      -> std::string {
    const auto outcome = apply_patch(base, patch);
    const auto* found = std::get_if<std::vector<validation_error>>(&outcome);
    return found == nullptr ? "" : describe(*found);
  }

  static auto sample() -> configuration {
    return apply({}, R"({"services":{"chat":{"kind":"model","model":"m",
      "layers":32,"accounts":["a"]}},"accounts":{"a":{"token":"t"}}})");
  }

 public:
  auto patch_creates_the_next_version() -> void {
    const auto config = sample();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, config.version);
    CPPUNIT_ASSERT_EQUAL(
        32, std::get<model_pipeline>(config.services.at("chat")->kind).layers);
  }

  auto patch_merges_into_existing_items() -> void {
    const auto config =
        apply(sample(), R"({"services":{"chat":{"deadline_ms":500}}})");
    CPPUNIT_ASSERT(milliseconds(500) == config.services.at("chat")->deadline);
    CPPUNIT_ASSERT_EQUAL(
        32, std::get<model_pipeline>(config.services.at("chat")->kind).layers);
  }

  auto null_removes_an_item() -> void {
    const auto config = apply(sample(), R"({"services":{"chat":null}})");
    CPPUNIT_ASSERT(config.services.empty());
    CPPUNIT_ASSERT(
        !patch_errors(config, R"({"services":{"chat":null}})").empty());
  }

  auto all_errors_are_reported_with_their_paths() -> void {
    const auto text = patch_errors({}, R"({"services":{"x":{"kind":"model",
      "layers":0,"colour":1}},"accounts":{"a":{"weight":-1}},"extra":{}})");
    for (const auto* path :
         {"services.x.model", "services.x.layers", "services.x.colour",
          "accounts.a.token", "accounts.a.weight", "extra"})
      CPPUNIT_ASSERT_MESSAGE(path, text.find(path) != std::string::npos);
  }

  auto reference_to_a_removed_account_is_refused() -> void {
    const auto text = patch_errors(sample(), R"({"accounts":{"a":null}})");
    CPPUNIT_ASSERT(text.find("services.chat.accounts") != std::string::npos);
  }

  auto two_accounts_cannot_share_a_token() -> void {
    const auto text =
        patch_errors(sample(), R"({"accounts":{"b":{"token":"t"}}})");
    CPPUNIT_ASSERT(text.find("accounts.b.token") != std::string::npos);
  }

  auto text_can_be_parsed() -> void {
    const auto config = sample();
    const auto copy = parse_configuration(config.text());
    CPPUNIT_ASSERT(copy.has_value());
    CPPUNIT_ASSERT_EQUAL(config.text(), copy->text());
  }

  auto endpoints_are_allowed_by_id_kind_or_star() -> void {
    service chat;
    chat.endpoints = {"r1", "kind:fast"};
    CPPUNIT_ASSERT(chat.allows_endpoint("r1", "slow"));
    CPPUNIT_ASSERT(chat.allows_endpoint("r2", "fast"));
    CPPUNIT_ASSERT(!chat.allows_endpoint("r2", "slow"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_test);

}  // namespace pollenloft::test
