#include "notice_monitor.hpp"
#include "pollenloft/control.hpp"
#include "pollenloft/wire.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

constexpr auto up = static_cast<std::int8_t>(endpoint_state::up);
constexpr auto leaving = static_cast<std::int8_t>(endpoint_state::leaving);

auto record(const std::string& incarnation, std::int64_t report)
    -> wire::endpoint_record {
  wire::endpoint_record result;
  result.id = "e";
  result.incarnation = incarnation;
  result.address = "10.0.0.1:80";
  result.report = report;
  return result;
}

}  // namespace

class notice_control_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(notice_control_test);
  CPPUNIT_TEST(later_report_brings_a_leaving_endpoint_back);
  CPPUNIT_TEST(process_that_started_again_stays_leaving);
  CPPUNIT_TEST(earlier_process_marks_the_present_one);
  CPPUNIT_TEST(report_of_an_entry_vm_replaces_a_newer_one);
  CPPUNIT_TEST(pauses_of_a_lost_vm_are_listed);
  CPPUNIT_TEST(pauses_fill_the_renewals);
  CPPUNIT_TEST_SUITE_END();

  endpoint_directory directory_;
  instant now_ = instant{} + std::chrono::hours(1);

  auto state() const -> std::int8_t {
    return directory_.records().at("e").state;
  }

 public:
  auto setUp() -> void override {
    directory_.clear();
    directory_.merge({record("1", 5)});
  }

  auto later_report_brings_a_leaving_endpoint_back() -> void {
    CPPUNIT_ASSERT(directory_.mark_leaving("e", "1"));
    CPPUNIT_ASSERT(!directory_.mark_leaving("e", "1"));
    directory_.merge({record("1", 6)});
    CPPUNIT_ASSERT_EQUAL(leaving, state());
  }

  auto process_that_started_again_stays_leaving() -> void {
    directory_.mark_leaving("e", "1");
    directory_.merge({record("2", 1)});
    CPPUNIT_ASSERT_EQUAL(up, state());
  }

  auto earlier_process_marks_the_present_one() -> void {
    directory_.merge({record("2", 1)});
    CPPUNIT_ASSERT(!directory_.mark_leaving("e", "1"));
    auto late = record("1", 9);
    late.state = leaving;
    directory_.merge({late});
    CPPUNIT_ASSERT_EQUAL(up, state());
  }

  /// Entry VMs send the record that they hold, which may be an old one.
  auto report_of_an_entry_vm_replaces_a_newer_one() -> void {
    directory_.start_status_term(3);
    directory_.set_layers("e", 0, 7);
    auto held = record("1", 2);
    held.state = leaving;
    directory_.merge({held});
    CPPUNIT_ASSERT_EQUAL(leaving, state());
    const auto& known = directory_.records().at("e");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, known.report);
    CPPUNIT_ASSERT_EQUAL(7, known.last_layer);
  }

  auto pauses_of_a_lost_vm_are_listed() -> void {
    lease_table leases(milliseconds(1500));
    leases.start_term(now_);
    wire::paused_endpoint paused;
    paused.endpoint = "e";
    paused.left_ms = 4000;
    for (const auto* vm : {"a", "b"}) {
      wire::renew_request request;
      request.vm = vm;
      request.paused = {paused};
      leases.renew(request, now_);
      paused.left_ms = 1000;
    }
    const auto listed = leases.pauses(now_).at("e");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listed.vms);
    CPPUNIT_ASSERT(listed.until == now_ + milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         leases.pauses(now_ + milliseconds(1200)).at("e").vms);
    CPPUNIT_ASSERT(leases.pauses(now_ + milliseconds(1600)).empty());
  }

  /// A VM may spend 2 KB a second on control, in 2.67 renewals.
  auto pauses_fill_the_renewals() -> void {
    request_limiter limiter;
    notice_monitor notices(limiter, 1);
    for (int i = 0; i < 500; ++i)
      notices.endpoints().add_pause(
          {"i-6b404cc" + std::to_string(100 + i), "00000001768350733578", 6},
          std::chrono::seconds(60), now_);
    wire::renew_request request;
    const auto before = encode_wire(request).size();
    request.paused = notices.paused(now_);
    CPPUNIT_ASSERT(!request.paused.empty());
    CPPUNIT_ASSERT(encode_wire(request).size() - before <= 400);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(notice_control_test);

}  // namespace pollenloft::test
