#include "state_transfer.hpp"

#include "property.hpp"

namespace pollenloft::test {
namespace {

/// Text that does not compress well, so that its frame has many parts.
auto random_text(std::size_t bytes, std::uint64_t seed) -> std::string {
  random_source random(seed);
  std::string text;
  while (text.size() < bytes)
    text += std::to_string(random.next());
  return text;
}

auto request_for(std::int64_t version) -> wire::state_request {
  wire::state_request request;
  request.version = version;
  return request;
}

}  // namespace

class state_transfer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(state_transfer_test);
  CPPUNIT_TEST(lost_parts_do_not_restart_a_transfer);
  CPPUNIT_TEST(newer_versions_do_not_restart_a_transfer);
  CPPUNIT_TEST(transfer_continues_at_another_replica);
  CPPUNIT_TEST(changed_text_is_sent_as_a_difference);
  CPPUNIT_TEST(other_base_with_the_same_number_is_not_used);
  CPPUNIT_TEST(corrupt_frame_is_fetched_again_without_a_base);
  CPPUNIT_TEST(version_that_is_not_known_yet_has_no_part);
  CPPUNIT_TEST(kept_versions_are_bounded);
  CPPUNIT_TEST(versions_evicted_during_a_transfer_do_not_restart_it);
  CPPUNIT_TEST(base_evicted_during_a_transfer_does_not_restart_it);
  CPPUNIT_TEST(transfer_of_a_version_no_newer_than_the_held_one_is_dropped);
  CPPUNIT_TEST(fuzz_malformed_parts);
  CPPUNIT_TEST_SUITE_END();

  state_assembly assembly_;
  state_version held_;
  std::size_t calls_ = 0;
  std::int64_t received_bytes_ = 0;

  /// One call for the next part; returns whether a text was completed.
  auto exchange_part(state_catalog& from, std::int64_t wanted) -> bool {
    ++calls_;
    const auto part =
        from.part(assembly_.next_request(state_kind::document, wanted, held_));
    CPPUNIT_ASSERT(part);
    CPPUNIT_ASSERT(part->bytes.size() <= max_state_part_bytes);
    received_bytes_ += static_cast<std::int64_t>(part->bytes.size());
    return add(*part);
  }

  auto add(const wire::state_part& part) -> bool {
    const auto progress = assembly_.add(part, held_);
    const auto* completed = std::get_if<transfer_completed>(&progress);
    if (completed != nullptr) held_ = completed->state;
    return completed != nullptr;
  }

 public:
  auto lost_parts_do_not_restart_a_transfer() -> void {
    check_property("lost parts", [](std::uint16_t seed) {
      state_transfer_test test;
      state_catalog catalog;
      catalog.publish(1, random_text(300000, seed));
      random_source random(seed);
      const auto total = catalog.part(request_for(1))->total;
      std::int64_t arrived = 0;
      while (test.held_.version != 1) {
        const auto part = catalog.part(
            test.assembly_.next_request(state_kind::document, 1, test.held_));
        if (random.below(3) == 0) continue;
        arrived += static_cast<std::int64_t>(part->bytes.size());
        test.add(*part);
      }
      RC_ASSERT(arrived == total);
      RC_ASSERT(test.held_.text == random_text(300000, seed));
    });
  }

  auto newer_versions_do_not_restart_a_transfer() -> void {
    state_catalog catalog;
    catalog.publish(1, random_text(300000, 1));
    std::int64_t newest = 1;
    auto completed = false;
    for (int i = 0; i < 20 && !completed; ++i) {
      completed = exchange_part(catalog, newest);
      ++newest;
      catalog.publish(newest, random_text(300000, 1) + std::to_string(newest));
    }
    CPPUNIT_ASSERT(completed);
  }

  auto transfer_continues_at_another_replica() -> void {
    state_catalog one;
    state_catalog other;
    one.publish(1, random_text(300000, 1));
    other.publish(1, random_text(300000, 1));
    const auto total = one.part(request_for(1))->total;
    while (!exchange_part(calls_ % 2 == 0 ? one : other, 1)) {
    }
    CPPUNIT_ASSERT_EQUAL(total, received_bytes_);
  }

  auto changed_text_is_sent_as_a_difference() -> void {
    state_catalog catalog;
    catalog.publish(1, random_text(300000, 1));
    while (!exchange_part(catalog, 1)) {
    }
    received_bytes_ = 0;
    catalog.publish(2, random_text(300000, 1) + "changed");
    CPPUNIT_ASSERT(exchange_part(catalog, 2));
    CPPUNIT_ASSERT(received_bytes_ < 1000);
    CPPUNIT_ASSERT_EQUAL(random_text(300000, 1) + "changed", held_.text);
  }

  auto other_base_with_the_same_number_is_not_used() -> void {
    state_catalog catalog;
    catalog.publish(1, "one");
    catalog.publish(2, "two");
    held_ = {1, "another text"};
    CPPUNIT_ASSERT(exchange_part(catalog, 2));
    CPPUNIT_ASSERT_EQUAL(std::string("two"), held_.text);
  }

  auto corrupt_frame_is_fetched_again_without_a_base() -> void {
    state_catalog catalog;
    catalog.publish(1, "one");
    held_ = {1, "one"};
    catalog.publish(2, "two");
    auto part =
        *catalog.part(assembly_.next_request(state_kind::document, 2, held_));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, part.base);
    part.bytes.back() = static_cast<char>(part.bytes.back() ^ 1);
    CPPUNIT_ASSERT(!add(part));
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t{0},
        assembly_.next_request(state_kind::document, 2, held_).base);
    CPPUNIT_ASSERT(exchange_part(catalog, 2));
    CPPUNIT_ASSERT_EQUAL(std::string("two"), held_.text);
  }

  auto version_that_is_not_known_yet_has_no_part() -> void {
    state_catalog catalog;
    CPPUNIT_ASSERT(!catalog.part(request_for(1)));
    catalog.publish(1, "one");
    CPPUNIT_ASSERT(!catalog.part(request_for(2)));
    catalog.publish(3, "three");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3},
                         catalog.part(request_for(2))->version);
  }

  auto kept_versions_are_bounded() -> void {
    state_catalog catalog(catalog_limits{4, 1000, 4});
    for (std::int64_t version = 1; version <= 9; ++version)
      catalog.publish(version, std::string(400, 'x') + std::to_string(version));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{9},
                         catalog.part(request_for(7))->version);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8},
                         catalog.part(request_for(8))->version);
    catalog.publish(10, std::string(2000, 'x'));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{10},
                         catalog.part(request_for(9))->version);
  }

  /// Two parts arrive between two changes.
  auto versions_evicted_during_a_transfer_do_not_restart_it() -> void {
    const auto text = random_text(3000000, 1);
    state_catalog catalog;
    catalog.publish(1, text);
    const auto frame_bytes = catalog.part(request_for(1))->total;
    auto completed = false;
    for (std::int64_t newest = 1; newest < 100 && !completed; ++newest) {
      catalog.publish(newest, text + std::to_string(newest));
      for (int i = 0; i < 2 && !completed; ++i)
        completed = exchange_part(catalog, newest);
    }
    const auto message = "frame_bytes=" + std::to_string(frame_bytes) +
                         " received_bytes=" + std::to_string(received_bytes_);
    CPPUNIT_ASSERT_MESSAGE(message, completed);
  }

  /// The frame relative to version 1 is still cached when version 1 is evicted.
  auto base_evicted_during_a_transfer_does_not_restart_it() -> void {
    state_catalog catalog;
    catalog.publish(1, random_text(300000, 1));
    while (!exchange_part(catalog, 1)) {
    }
    catalog.publish(2, random_text(300000, 1) + random_text(300000, 2));
    CPPUNIT_ASSERT(!exchange_part(catalog, 2));
    const auto begun = assembly_.next_request(state_kind::document, 2, held_);
    for (std::int64_t version = 3; version <= 9; ++version)
      catalog.publish(version, random_text(300000, 1));
    const auto part = catalog.part(begun);
    CPPUNIT_ASSERT_EQUAL(begun.offset, part->offset);
    CPPUNIT_ASSERT_EQUAL(begun.digest, part->digest);
  }

  /// The held version advances by a reply that carries the text whole.
  auto transfer_of_a_version_no_newer_than_the_held_one_is_dropped() -> void {
    state_catalog catalog;
    catalog.publish(2, random_text(300000, 2));
    CPPUNIT_ASSERT(!exchange_part(catalog, 2));
    catalog.publish(3, "three");
    held_ = {3, "three"};
    catalog.publish(4, "four");
    for (int i = 0; i < 100 && held_.version != 4; ++i)
      exchange_part(catalog, 4);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, held_.version);
  }

  auto fuzz_malformed_parts() -> void {
    check_property("malformed parts", [](std::vector<std::uint32_t> codes) {
      state_transfer_test test;
      for (const auto code : codes) {
        random_source random(code);
        wire::state_part part;
        part.version = static_cast<std::int64_t>(random.below(4)) - 1;
        part.base = static_cast<std::int64_t>(random.below(3));
        part.digest = static_cast<std::int64_t>(random.below(2));
        part.offset = static_cast<std::int64_t>(random.below(9)) - 2;
        part.total = static_cast<std::int64_t>(random.below(9)) - 2;
        part.bytes = std::string(random.below(6), 'x');
        RC_ASSERT(!test.add(part));
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_transfer_test);

}  // namespace pollenloft::test
