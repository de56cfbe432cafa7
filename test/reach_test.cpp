#include "pollenloft/reach.hpp"

#include <utility>

#include "property.hpp"

namespace pollenloft::test {
namespace {

/// A VM with 9 endpoints, of which `up` accept connections.
struct simulated_vm {
  reach_detector detector{1};
  std::set<std::string> up;
  std::vector<std::string> endpoints;
  instant now = instant{} + std::chrono::hours(1);

  simulated_vm() {
    for (int i = 0; i < 9; ++i)
      endpoints.push_back("e" + std::to_string(i));
    up.insert(endpoints.begin(), endpoints.end());
  }

  auto round() -> std::size_t {
    const auto probes = detector.next_probes(endpoints, now);
    now += milliseconds(200);
    for (const auto& id : probes)
      detector.probe_ended(id, up.count(id) != 0, now);
    return probes.size();
  }

  auto run(int rounds) -> void {
    for (int i = 0; i < rounds; ++i) {
      round();
      now += milliseconds(60);
    }
  }
};

}  // namespace

class reach_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(reach_test);
  CPPUNIT_TEST(cut_is_not_found);
  CPPUNIT_TEST(crashed_endpoint_counts_as_a_cut);
  CPPUNIT_TEST(third_of_the_endpoints_counts_as_a_cut);
  CPPUNIT_TEST(only_endpoint_counts_as_a_cut);
  CPPUNIT_TEST(verdict_outlives_the_cut);
  CPPUNIT_TEST(one_way_back_ends_the_verdict);
  CPPUNIT_TEST(endpoints_are_probed_without_a_failure);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto cut_is_not_found() -> void {
    simulated_vm vm;
    vm.up.clear();
    vm.detector.contact_failed("e0", vm.now);
    const auto begun = vm.now;
    vm.round();
    CPPUNIT_ASSERT(vm.detector.cut_off());
    CPPUNIT_ASSERT(vm.now - begun <= milliseconds(500));
  }

  auto crashed_endpoint_counts_as_a_cut() -> void {
    simulated_vm vm;
    vm.up.erase("e0");
    for (int i = 0; i < 100; ++i) {
      vm.detector.contact_failed("e0", vm.now);
      vm.run(1);
      CPPUNIT_ASSERT(!vm.detector.cut_off());
    }
  }

  auto third_of_the_endpoints_counts_as_a_cut() -> void {
    simulated_vm vm;
    for (const auto* id : {"e0", "e1", "e2"})
      vm.up.erase(id);
    for (int i = 0; i < 300; ++i) {
      vm.detector.contact_failed("e" + std::to_string(i % 3), vm.now);
      vm.run(1);
      CPPUNIT_ASSERT(!vm.detector.cut_off());
    }
  }

  auto only_endpoint_counts_as_a_cut() -> void {
    simulated_vm vm;
    vm.endpoints = {"e0"};
    vm.up.clear();
    vm.detector.contact_failed("e0", vm.now);
    vm.run(10);
    CPPUNIT_ASSERT(!vm.detector.cut_off());
  }

  auto verdict_outlives_the_cut() -> void {
    simulated_vm vm;
    const auto all = std::exchange(vm.up, {});
    vm.detector.contact_failed("e0", vm.now);
    vm.run(20);
    CPPUNIT_ASSERT(vm.detector.cut_off());
    vm.up = all;
    vm.run(2);
    CPPUNIT_ASSERT(!vm.detector.cut_off());
  }

  auto one_way_back_ends_the_verdict() -> void {
    simulated_vm vm;
    vm.up.clear();
    vm.detector.contact_failed("e0", vm.now);
    vm.run(2);
    vm.up = {"e5"};
    vm.run(50);
    CPPUNIT_ASSERT(vm.detector.cut_off());
  }

  auto endpoints_are_probed_without_a_failure() -> void {
    simulated_vm vm;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, vm.round());
    vm.detector.contact_failed("e0", vm.now);
    CPPUNIT_ASSERT(vm.round() > 0);
    vm.now += std::chrono::seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, vm.round());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(reach_test);

}  // namespace pollenloft::test
