#include <fstream>

#include "pollenloft/control.hpp"
#include "pollenloft/wire.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

auto from_hex(const std::string& text) -> std::string {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2)
    bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  return bytes;
}

/// Bytes by message, as the last landing encoded them (scripts/record).
auto recorded() -> std::map<std::string, std::string> {
  std::ifstream file(std::string(POLLENLOFT_ROOT) +
                     "/test/recorded/messages.txt");
  std::map<std::string, std::string> messages;
  for (std::string name, hex; file >> name >> hex;)
    messages[name] = from_hex(hex);
  return messages;
}

auto assert_record(const wire::endpoint_record& record) -> void {
  CPPUNIT_ASSERT_EQUAL(std::string("i-1"), record.id);
  CPPUNIT_ASSERT_EQUAL(std::string("10.1.64.9:8080"), record.address);
  CPPUNIT_ASSERT_EQUAL(20, record.first_layer);
  CPPUNIT_ASSERT_EQUAL(31, record.last_layer);
  CPPUNIT_ASSERT_EQUAL(192, record.slots);
  CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(endpoint_state::leaving),
                       record.state);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{12884901889}, record.noted);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5000}, record.request_limit);
}

}  // namespace

/// A field that is renumbered, or changes its type or meaning, fails here.
class recorded_messages_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(recorded_messages_test);
  CPPUNIT_TEST(messages_of_entry_vms_are_not_understood);
  CPPUNIT_TEST(messages_of_the_leader_are_not_understood);
  CPPUNIT_TEST(messages_between_replicas_are_not_understood);
  CPPUNIT_TEST(stored_state_is_not_understood);
  CPPUNIT_TEST_SUITE_END();

  std::map<std::string, std::string> messages_;

 public:
  auto setUp() -> void override { messages_ = recorded(); }

  template <class Message>
  auto decode(const std::string& name) const -> Message {
    const auto message = decode_wire<Message>(messages_.at(name));
    CPPUNIT_ASSERT_MESSAGE(name, message.has_value());
    return *message;
  }

  auto messages_of_entry_vms_are_not_understood() -> void {
    const auto renewal = decode<wire::renew_request>("renew_request");
    CPPUNIT_ASSERT_EQUAL(std::string("vm-7#1"), renewal.incarnation);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, renewal.in_force);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{12}, renewal.document);
    CPPUNIT_ASSERT(renewal.fetches_state && renewal.tracks_suspects);
    CPPUNIT_ASSERT_EQUAL(std::string("key"), renewal.relay_key);
    CPPUNIT_ASSERT(renewal.paused.empty());  // not known to that landing
    const auto report = decode<wire::report_request>("report_request");
    assert_record(report.endpoints.at(0));
    const auto permits = decode<wire::permit_request>("permit_request");
    CPPUNIT_ASSERT_EQUAL(2, permits.wants.at(0).wanted);
    CPPUNIT_ASSERT_EQUAL(5.0, permits.wants.at(0).limit.per_second);
  }

  auto messages_of_the_leader_are_not_understood() -> void {
    const auto reply = decode<wire::renew_reply>("renew_reply");
    CPPUNIT_ASSERT(reply.granted);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1500}, reply.lease_ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, reply.term);
    assert_record(reply.endpoints.at(0));
    CPPUNIT_ASSERT_EQUAL(12, reply.blames.at(0).points);
  }

  auto messages_between_replicas_are_not_understood() -> void {
    const auto share = decode<wire::directory_share>("directory_share");
    CPPUNIT_ASSERT_EQUAL(2, share.sender);
    assert_record(share.records.at(0));
  }

  auto stored_state_is_not_understood() -> void {
    control_state state;
    CPPUNIT_ASSERT(state.load(messages_.at("control_snapshot")).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.config().version);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{12}, state.document().number);
    CPPUNIT_ASSERT(state.find_claim("a", "k") != nullptr);
    CPPUNIT_ASSERT(state.departures().records().empty());  // not known to it
    const auto saved = decode<wire::saved_directory>("saved_directory");
    assert_record(saved.records.at(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(recorded_messages_test);

}  // namespace pollenloft::test
