#include "pollenloft/ingress.hpp"

#include "property.hpp"

namespace pollenloft::test {
namespace {

auto route(const std::string& host, const std::string& prefix)
    -> ingress_route {
  ingress_route created;
  created.name = host + prefix;
  created.host = host;
  created.prefix = prefix;
  created.weighted_services = {{"s", 1}};
  return created;
}

auto table(std::vector<ingress_route> routes) -> route_table {
  auto config = std::make_shared<ingress_config>();
  config->routes = std::move(routes);
  config->accounts = {{"salon", 1}};
  config->account_by_key = {{"secret", 0}};
  return route_table(config);
}

auto name_of(const ingress_route* match) -> std::string {
  return match == nullptr ? "" : match->name;
}

}  // namespace

class ingress_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ingress_test);
  CPPUNIT_TEST(longest_prefix_wins);
  CPPUNIT_TEST(prefix_ends_at_a_slash);
  CPPUNIT_TEST(host_ignores_case_and_port);
  CPPUNIT_TEST(api_key_identifies_its_account);
  CPPUNIT_TEST(services_are_chosen_by_weight);
  CPPUNIT_TEST(streams_repeat_only_if_resumable);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto longest_prefix_wins() -> void {
    const auto routes = table({route("h", "/"), route("h", "/a/"),
                               route("h", "/a/b/"), route("g", "/a/b/c/")});
    CPPUNIT_ASSERT_EQUAL(std::string("h/a/b/"),
                         name_of(routes.find("h", "/a/b/c/d")));
    CPPUNIT_ASSERT_EQUAL(std::string("h/a/"),
                         name_of(routes.find("h", "/a/x")));
    CPPUNIT_ASSERT_EQUAL(std::string("h/"), name_of(routes.find("h", "/x")));
    CPPUNIT_ASSERT_EQUAL(std::string(), name_of(routes.find("g", "/a/b/")));
    CPPUNIT_ASSERT_EQUAL(std::string(), name_of(routes.find("f", "/a/b/")));
  }

  auto prefix_ends_at_a_slash() -> void {
    const auto routes = table({route("h", "/ab/")});
    CPPUNIT_ASSERT_EQUAL(std::string(), name_of(routes.find("h", "/abc/d")));
    CPPUNIT_ASSERT_EQUAL(std::string(), name_of(routes.find("h", "/ab")));
    CPPUNIT_ASSERT_EQUAL(std::string(), name_of(routes.find("h", "")));
    CPPUNIT_ASSERT_EQUAL(std::string("h/ab/"),
                         name_of(routes.find("h", "/ab/")));
  }

  auto host_ignores_case_and_port() -> void {
    const auto routes = table({route("api.Example", "/a/")});
    CPPUNIT_ASSERT(routes.find("API.example:80", "/a/") != nullptr);
  }

  auto api_key_identifies_its_account() -> void {
    const auto routes = table({});
    CPPUNIT_ASSERT_EQUAL(std::string("salon"),
                         routes.account_of("secret")->name);
    CPPUNIT_ASSERT(routes.account_of("Secret") == nullptr);
    CPPUNIT_ASSERT(routes.account_of("") == nullptr);
  }

  auto services_are_chosen_by_weight() -> void {
    auto split = route("h", "/");
    split.weighted_services = {{"none", 0}, {"most", 90}, {"few", 10}};
    int few = 0;
    constexpr int draws = 1000;
    for (int i = 0; i < draws; ++i) {
      const auto& service = pick_service(split, static_cast<double>(i) / draws);
      CPPUNIT_ASSERT(service != "none");
      few += service == "few" ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(draws / 10, few);
  }

  auto streams_repeat_only_if_resumable() -> void {
    auto stream = route("h", "/");
    stream.kind = request_kind::stream;
    CPPUNIT_ASSERT(!stream.may_repeat());
    stream.resumable = true;
    CPPUNIT_ASSERT(stream.may_repeat());
    stream.kind = request_kind::non_idempotent;
    CPPUNIT_ASSERT(!stream.may_repeat());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ingress_test);

}  // namespace pollenloft::test
