#include "share_link.hpp"

#include "property.hpp"

namespace pollenloft::test {

class share_link_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(share_link_test);
  CPPUNIT_TEST(change_beyond_the_calls_in_flight_is_lost);
  CPPUNIT_TEST(change_counts_as_delivered_before_it_was_acknowledged);
  CPPUNIT_TEST(change_during_a_flight_is_lost);
  CPPUNIT_TEST(failed_share_is_lost);
  CPPUNIT_TEST(failed_share_is_repeated_without_a_pause);
  CPPUNIT_TEST(peer_that_is_cut_off_takes_unbounded_memory);
  CPPUNIT_TEST(change_waits_for_a_whole_directory);
  CPPUNIT_TEST(digest_is_sent_ahead_of_changes);
  CPPUNIT_TEST_SUITE_END();

  share_link link_;
  instant now_{std::chrono::seconds(100)};

 public:
  /// Sends and acknowledges all that waits; returns the shares.
  auto deliver_all() -> std::vector<share_content> {
    std::vector<share_content> shares;
    while (auto content = link_.next(now_)) {
      shares.push_back(*content);
      link_.on_acknowledged();
    }
    return shares;
  }

  auto change_beyond_the_calls_in_flight_is_lost() -> void {
    std::set<std::string> added;
    for (int i = 0; i < 300; ++i) {
      added.insert("e" + std::to_string(i));
      link_.add_change("e" + std::to_string(i));
    }
    std::set<std::string> sent;
    const auto shares = deliver_all();
    for (const auto& share : shares)
      sent.insert(share.records.begin(), share.records.end());
    CPPUNIT_ASSERT(sent == added);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, shares.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{295}, link_.coalesced());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, link_.unacknowledged());
  }

  auto change_counts_as_delivered_before_it_was_acknowledged() -> void {
    const auto number = *link_.add_change("a");
    CPPUNIT_ASSERT(!link_.is_delivered("a", number));
    CPPUNIT_ASSERT(link_.next(now_));
    CPPUNIT_ASSERT(!link_.is_delivered("a", number));
    link_.on_acknowledged();
    CPPUNIT_ASSERT(link_.is_delivered("a", number));
  }

  auto change_during_a_flight_is_lost() -> void {
    const auto first = *link_.add_change("a");
    CPPUNIT_ASSERT_EQUAL(first, *link_.add_change("a"));
    CPPUNIT_ASSERT(link_.next(now_));
    const auto second = *link_.add_change("a");
    CPPUNIT_ASSERT(second != first);
    CPPUNIT_ASSERT(!link_.next(now_));  // one in flight
    link_.on_acknowledged();
    CPPUNIT_ASSERT(link_.is_delivered("a", first));
    CPPUNIT_ASSERT(!link_.is_delivered("a", second));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, deliver_all().size());
    CPPUNIT_ASSERT(link_.is_delivered("a", second));
  }

  auto failed_share_is_lost() -> void {
    const auto first = *link_.add_change("a");
    link_.add_unchanged("b");
    link_.add_heard("c");
    link_.add_digest();
    CPPUNIT_ASSERT(link_.next(now_));
    const auto second = *link_.add_change("a");
    link_.on_failure(now_);
    CPPUNIT_ASSERT(!link_.is_delivered("a", first));
    now_ += share_retry_pause;
    std::set<std::string> records;
    std::set<std::string> heard;
    auto digest = false;
    for (const auto& share : deliver_all()) {
      records.insert(share.records.begin(), share.records.end());
      heard.insert(share.heard.begin(), share.heard.end());
      digest = digest || share.digest;
    }
    CPPUNIT_ASSERT((records == std::set<std::string>{"a", "b"}));
    CPPUNIT_ASSERT((heard == std::set<std::string>{"c"}));
    CPPUNIT_ASSERT(digest);
    CPPUNIT_ASSERT(link_.is_delivered("a", first) &&
                   link_.is_delivered("a", second));
  }

  auto failed_share_is_repeated_without_a_pause() -> void {
    link_.add_change("a");
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(link_.next(now_));
      link_.on_failure(now_);
      CPPUNIT_ASSERT(!link_.next(now_));
      now_ += share_retry_pause;
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, link_.retries());
    CPPUNIT_ASSERT_EQUAL(10, link_.failures());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, deliver_all().size());
    CPPUNIT_ASSERT_EQUAL(0, link_.failures());
  }

  auto peer_that_is_cut_off_takes_unbounded_memory() -> void {
    for (std::size_t i = 0; i < max_waiting_changes; ++i)
      CPPUNIT_ASSERT(link_.add_change("e" + std::to_string(i)));
    CPPUNIT_ASSERT(!link_.add_change("one more"));
    CPPUNIT_ASSERT_EQUAL(max_waiting_changes, link_.unacknowledged());
    CPPUNIT_ASSERT(link_.add_change("e0"));  // waits already
    share_link repeated;
    for (int i = 0; i < 1000; ++i) {
      repeated.add_change("a");
      repeated.next(now_);
      repeated.add_change("a");
      repeated.on_failure(now_);
      now_ += share_retry_pause;
    }
    CPPUNIT_ASSERT(repeated.unacknowledged() == 1);
  }

  auto change_waits_for_a_whole_directory() -> void {
    for (int i = 0; i < 1000; ++i)
      link_.add_unchanged("e" + std::to_string(i));
    link_.add_change("z");
    const auto share = link_.next(now_);
    CPPUNIT_ASSERT_EQUAL(std::string("z"), share->records.front());
    CPPUNIT_ASSERT_EQUAL(max_records_per_share, share->records.size());
  }

  auto digest_is_sent_ahead_of_changes() -> void {
    for (int i = 0; i < 100; ++i)
      link_.add_change("e" + std::to_string(i));
    link_.add_digest();
    const auto shares = deliver_all();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, shares.size());
    CPPUNIT_ASSERT(!shares[0].digest && shares[1].digest);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_link_test);

}  // namespace pollenloft::test
