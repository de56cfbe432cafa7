#include "control_client.hpp"

#include "property.hpp"

namespace pollenloft::test {
namespace {

const std::vector<socket_address> replica_addresses{{"127.0.9.21", 18101},
                                                    {"127.0.9.22", 18101}};

auto large_text(std::uint64_t seed) -> std::string {
  random_source random(seed);
  std::string text;
  while (text.size() < 400000)
    text += std::to_string(random.next());
  return text;
}

/// A control replica that announces the newest document of its catalog and
/// serves its parts, each after `part_delay`.
class fake_replica {
 public:
  fake_replica(event_loop& loop, const socket_address& address)
      : loop_(loop),
        address_(address),
        server_(loop, http_limits{},
                [this](const auto& call) { route(call); }) {
    CPPUNIT_ASSERT(server_.listen(address));
  }

  state_catalog documents;
  state_catalog configurations;
  duration part_delay{};
  int ignored_parts = 0;  ///< requests for parts left without a reply
  int renewals = 0;
  int parts = 0;
  std::vector<wire::blame_record> suspects;
  std::int64_t suspects_digest = 0;
  int suspect_lists = 0;  ///< sent

 private:
  auto route(const exchange_ptr& call) -> void {
    if (call->request().path == state_transfer_path) return send_part(call);
    ++renewals;
    const auto request = decode_wire<wire::renew_request>(call->request().body);
    wire::renew_reply reply;
    reply.suspects_digest = suspects_digest;
    if (request->suspects_digest != suspects_digest) {
      reply.blames = suspects;
      ++suspect_lists;
    }
    reply.granted = true;
    reply.leader = address_.text();
    reply.lease_ms = 1500;
    reply.term = 1;
    reply.document = documents.newest();
    reply.version = configurations.newest();
    reply_after(call, milliseconds(20), encode_wire(reply));
  }

  auto send_part(const exchange_ptr& call) -> void {
    if (ignored_parts > 0) {
      --ignored_parts;
      unanswered_.push_back(call);
      return;
    }
    ++parts;
    const auto request = decode_wire<wire::state_request>(call->request().body);
    const auto is_document =
        request->kind == static_cast<std::int8_t>(state_kind::document);
    const auto part = (is_document ? documents : configurations).part(*request);
    reply_after(call, part_delay,
                encode_wire(part ? *part : wire::state_part{}));
  }

  auto reply_after(const exchange_ptr& call, duration delay, std::string body)
      -> void {
    timers_.push_back(loop_.after(
        delay, [call, body = std::move(body)] { call->reply(200, {}, body); }));
  }

  event_loop& loop_;
  socket_address address_;
  http_server server_;
  std::vector<exchange_ptr> unanswered_;
  std::vector<timer> timers_;
};

}  // namespace

class control_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(control_client_test);
  CPPUNIT_TEST(document_that_takes_longer_than_a_renewal_arrives);
  CPPUNIT_TEST(document_arrives_while_newer_ones_are_accepted);
  CPPUNIT_TEST(document_arrives_from_another_replica);
  CPPUNIT_TEST(document_is_outdated_until_the_newer_one_arrives);
  CPPUNIT_TEST(unreadable_configuration_is_not_fetched_without_pause);
  CPPUNIT_TEST(document_stays_fresh_if_changes_outpace_transfers);
  CPPUNIT_TEST(unchanged_suspects_are_sent_with_each_renewal);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  std::vector<std::unique_ptr<fake_replica>> replicas_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<control_client> control_;

  auto run_for(duration time) -> void {
    const auto stop = loop_.after(time, [this] { loop_.stop(); });
    loop_.run();
  }

  auto run_until_document(std::int64_t number, duration limit) -> bool {
    const auto check = loop_.every(milliseconds(5), [this, number] {
      if (control_->document().number >= number) loop_.stop();
    });
    run_for(limit);
    return control_->document().number >= number;
  }

  auto publish(std::int64_t number, const std::string& text) -> void {
    for (const auto& replica : replicas_)
      replica->documents.publish(number, text);
  }

 public:
  auto setUp() -> void override {
    for (const auto& address : replica_addresses)
      replicas_.push_back(std::make_unique<fake_replica>(loop_, address));
    client_ = std::make_unique<http_client>(loop_);
    control_client_options options;
    options.vm = "vm";
    options.incarnation = "1";
    options.replicas = replica_addresses;
    control_ = std::make_unique<control_client>(loop_, *client_, options);
  }

  auto tearDown() -> void override {
    control_.reset();
    client_.reset();
    replicas_.clear();
  }

  auto document_that_takes_longer_than_a_renewal_arrives() -> void {
    for (const auto& replica : replicas_)
      replica->part_delay = milliseconds(200);
    publish(1, large_text(1));
    control_->start();
    run_for(milliseconds(1000));
    CPPUNIT_ASSERT(control_->lease_valid());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, control_->document().number);
    CPPUNIT_ASSERT(run_until_document(1, std::chrono::seconds(5)));
    CPPUNIT_ASSERT_EQUAL(large_text(1), control_->document().text);
    CPPUNIT_ASSERT(control_->document_fresh());
  }

  auto document_arrives_while_newer_ones_are_accepted() -> void {
    for (const auto& replica : replicas_)
      replica->part_delay = milliseconds(30);
    publish(1, large_text(1));
    std::int64_t newest = 1;
    const auto changes = loop_.every(milliseconds(60), [&] {
      ++newest;
      publish(newest, large_text(1) + std::to_string(newest));
    });
    control_->start();
    CPPUNIT_ASSERT(run_until_document(1, std::chrono::seconds(3)));
    CPPUNIT_ASSERT(run_until_document(newest, std::chrono::seconds(1)));
  }

  auto document_arrives_from_another_replica() -> void {
    for (const auto& replica : replicas_)
      replica->ignored_parts = 1;
    publish(1, large_text(1));
    control_->start();
    CPPUNIT_ASSERT(run_until_document(1, std::chrono::seconds(3)));
    CPPUNIT_ASSERT(replicas_[0]->parts + replicas_[1]->parts < 10);
  }

  auto document_is_outdated_until_the_newer_one_arrives() -> void {
    publish(1, "one");
    control_->start();
    CPPUNIT_ASSERT(run_until_document(1, std::chrono::seconds(2)));
    run_for(milliseconds(100));
    CPPUNIT_ASSERT(!control_->document_outdated());
    for (const auto& replica : replicas_)
      replica->part_delay = milliseconds(300);
    publish(2, "two");
    run_for(milliseconds(150));
    CPPUNIT_ASSERT(control_->document_outdated());
    CPPUNIT_ASSERT(run_until_document(2, std::chrono::seconds(2)));
    CPPUNIT_ASSERT(!control_->document_outdated());
  }

  /// The document held is never older than about 0.3 s.
  auto document_stays_fresh_if_changes_outpace_transfers() -> void {
    for (const auto& replica : replicas_)
      replica->part_delay = milliseconds(150);
    std::int64_t newest = 1;
    publish(newest, "1");
    const auto changes = loop_.every(milliseconds(100), [&] {
      ++newest;
      publish(newest, std::to_string(newest));
    });
    control_->start();
    run_for(std::chrono::seconds(6));
    CPPUNIT_ASSERT_LESS(std::int64_t{8}, newest - control_->document().number);
    CPPUNIT_ASSERT(control_->document_fresh());
  }

  auto unreadable_configuration_is_not_fetched_without_pause() -> void {
    for (const auto& replica : replicas_)
      replica->configurations.publish(1, "unreadable");
    control_->start();
    run_for(milliseconds(1000));
    CPPUNIT_ASSERT_LESS(100, replicas_[0]->parts + replicas_[1]->parts);
  }

  auto unchanged_suspects_are_sent_with_each_renewal() -> void {
    auto& leader = *replicas_[0];
    wire::blame_record record;
    record.fingerprint = 7;
    record.points = poison_threshold;
    record.age_ms = 1000;
    leader.suspects = {record};
    leader.suspects_digest = 1;
    control_->start();
    run_for(milliseconds(200));
    auto& guard = control_->crashes();
    CPPUNIT_ASSERT_EQUAL(poison_threshold, guard.points(7));
    CPPUNIT_ASSERT(guard.held_for({7}, boottime_clock::now()) >
                   std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(1, leader.suspect_lists);
    CPPUNIT_ASSERT(leader.renewals > 3);
    leader.suspects.clear();
    leader.suspects_digest = 0;
    run_for(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(0, guard.points(7));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_client_test);

}  // namespace pollenloft::test
