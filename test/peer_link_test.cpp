#include "peer_link.hpp"

#include <functional>

#include "property.hpp"

namespace pollenloft::test {
namespace {

auto text_of(std::size_t size, std::uint64_t seed = 1) -> std::string {
  random_source random(seed);
  std::string text;
  while (text.size() < size)
    text += static_cast<char>(random.below(256));
  return text;
}

/// A sender and a receiver whose calls the test may lose or repeat.
struct fake_link {
  part_sender sender{7, 1000};
  part_assembler receiver;
  instant now{std::chrono::seconds(100)};
  std::vector<peer_message> delivered;
  std::vector<wire::message_part> sent;
  /// Selects lost parts and acknowledgements by the number of the part.
  std::function<bool(std::size_t)> loses_part = [](auto) { return false; };
  std::function<bool(std::size_t)> loses_reply = [](auto) { return false; };

  auto deliver(const wire::message_part& part) -> wire::part_reply {
    auto result = receiver.receive(part, now);
    if (result.message) delivered.push_back(*result.message);
    return result.reply;
  }

  /// Sends one part; false if none is due.
  auto step() -> bool {
    const auto part = sender.next_part();
    if (!part) return false;
    const auto number = sent.size();
    sent.push_back(*part);
    if (loses_part(number)) {
      sender.on_failure(part->transfer);
      return true;
    }
    const auto reply = deliver(*part);
    if (loses_reply(number))
      sender.on_failure(part->transfer);
    else
      sender.on_reply(part->transfer, reply);
    return true;
  }

  auto run() -> void {
    for (int i = 0; i < 10000 && step(); ++i) {
    }
  }
};

auto make_part(std::int32_t sender, std::int64_t transfer, std::int64_t total,
               const std::string& bytes) -> wire::message_part {
  wire::message_part part;
  part.sender = sender;
  part.transfer = transfer;
  part.path = "/peer";
  part.total = total;
  part.bytes = bytes;
  return part;
}

}  // namespace

class peer_link_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_link_test);
  CPPUNIT_TEST(lost_part_or_reply_costs_one_part);
  CPPUNIT_TEST(restarted_receiver_gets_the_complete_message);
  CPPUNIT_TEST(duplicates_neither_corrupt_nor_repeat_a_message);
  CPPUNIT_TEST(any_faults_leave_the_messages_intact);
  CPPUNIT_TEST(silent_peer_frees_memory);
  CPPUNIT_TEST(forgetful_peer_frees_memory);
  CPPUNIT_TEST(refused_transfer_ends_at_once);
  CPPUNIT_TEST(large_batch_does_not_delay_small_messages);
  CPPUNIT_TEST(batch_under_way_is_not_queued_again);
  CPPUNIT_TEST(sender_memory_is_bounded);
  CPPUNIT_TEST(receiver_refuses_oversized_and_malformed_parts);
  CPPUNIT_TEST(receiver_memory_is_bounded);
  CPPUNIT_TEST(idle_and_superseded_transfers_are_dropped);
  CPPUNIT_TEST(corrupt_message_is_not_delivered);
  CPPUNIT_TEST_SUITE_END();

 public:
  static constexpr std::size_t parts = 5;
  const std::string text = text_of(4 * max_part_bytes + 1000);

  auto expect_one_message(const fake_link& link) const -> void {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, link.delivered.size());
    CPPUNIT_ASSERT(link.delivered[0].bytes == text);
    CPPUNIT_ASSERT_EQUAL(std::string("/peer"), link.delivered[0].path);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, link.sender.buffered_bytes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, link.receiver.reserved_bytes());
  }

  auto lost_part_or_reply_costs_one_part() -> void {
    for (std::size_t lost = 0; lost < parts; ++lost)
      for (const auto reply : {false, true}) {
        fake_link link;
        (reply ? link.loses_reply : link.loses_part) =
            [lost](std::size_t number) { return number == lost; };
        link.sender.enqueue({"/peer", text, ""});
        link.run();
        expect_one_message(link);
        CPPUNIT_ASSERT_EQUAL(parts + 1, link.sent.size());
      }
  }

  auto restarted_receiver_gets_the_complete_message() -> void {
    for (std::size_t before = 0; before < parts; ++before) {
      fake_link link;
      link.sender.enqueue({"/peer", text, ""});
      for (std::size_t i = 0; i < before; ++i)
        link.step();
      link.receiver = {};
      link.run();
      expect_one_message(link);
    }
  }

  auto duplicates_neither_corrupt_nor_repeat_a_message() -> void {
    fake_link link;
    link.sender.enqueue({"/peer", text, ""});
    while (link.step())
      for (auto i = link.sent.size(); i > 0; --i)
        link.deliver(link.sent[i - 1]);
    expect_one_message(link);
  }

  static auto run_with_faults(const std::vector<std::uint32_t>& codes) -> void {
    fake_link link;
    std::size_t accepted = 0;
    for (const auto code : codes) {
      const auto size = max_part_bytes + code % 100000;
      if (code % 11 == 0 &&
          link.sender.enqueue({"/peer", text_of(size, size), ""}))
        ++accepted;
      link.loses_part = [&](auto) { return code / 11 % 5 == 0; };
      link.loses_reply = [&](auto) { return code / 55 % 5 == 0; };
      if (code / 275 % 29 == 0) link.receiver = {};
      if (code / 275 % 7 == 0 && !link.sent.empty())
        link.deliver(link.sent[code / 1925 % link.sent.size()]);
      link.step();
    }
    link.loses_part = [](auto) { return false; };
    link.loses_reply = link.loses_part;
    link.run();
    RC_ASSERT(link.sender.buffered_bytes() == 0U);
    for (const auto& message : link.delivered)
      RC_ASSERT(message.bytes ==
                text_of(message.bytes.size(), message.bytes.size()));
    RC_ASSERT(accepted == 0 || !link.delivered.empty());
  }

  auto any_faults_leave_the_messages_intact() -> void {
    check_property("delivered messages equal sent ones",
                   [] { run_with_faults(*step_codes()); });
  }

  auto silent_peer_frees_memory() -> void {
    fake_link link;
    link.loses_part = [](auto) { return true; };
    link.sender.enqueue({"/peer", text, ""});
    link.run();
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(max_part_failures),
                         link.sent.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, link.sender.buffered_bytes());
  }

  auto forgetful_peer_frees_memory() -> void {
    fake_link link;
    link.sender.enqueue({"/peer", text, ""});
    for (int i = 0; i < 1000 && link.step(); ++i)
      if (link.sent.size() % 3 == 0) link.receiver = {};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, link.sender.buffered_bytes());
    CPPUNIT_ASSERT(link.sent.size() < 100);
  }

  auto refused_transfer_ends_at_once() -> void {
    part_sender sender(7, 1000);
    sender.enqueue({"/peer", text, ""});
    wire::part_reply refusal;
    refusal.refused = true;
    CPPUNIT_ASSERT(sender.on_reply(sender.next_part()->transfer, refusal) ==
                   part_outcome::given_up);
    CPPUNIT_ASSERT(!sender.next_part());
  }

  static auto make_append(log_index prev_index, std::size_t size)
      -> wire::replica_message {
    append_request append;
    append.prev_index = prev_index;
    if (size > 0)
      append.entries = {
          {3, prev_index + 1, entry_kind::command, text_of(size)}};
    return to_wire(replica_message{1, 2, 3, append});
  }

  auto large_batch_does_not_delay_small_messages() -> void {
    wire::message_batch batch;
    batch.messages = {make_append(5, 100000), make_append(5, 0)};
    const auto divided = divide_batch(batch);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, divided.small.messages.size());
    CPPUNIT_ASSERT(divided.small.messages[0].entries.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, divided.bulk.messages.size());
  }

  static auto message_at(log_index prev_index, std::size_t size)
      -> peer_message {
    wire::message_batch batch;
    batch.messages = {make_append(prev_index, size)};
    return {"/peer", encode_wire(batch), batch_key(batch)};
  }

  auto batch_under_way_is_not_queued_again() -> void {
    part_sender sender(7, 1000);
    CPPUNIT_ASSERT(sender.enqueue(message_at(5, 100000)));
    CPPUNIT_ASSERT(!sender.enqueue(message_at(5, 200000)));
    CPPUNIT_ASSERT(sender.enqueue(message_at(6, 100000)));
    CPPUNIT_ASSERT(!sender.enqueue(message_at(6, 100000)));
  }

  auto sender_memory_is_bounded() -> void {
    part_sender sender(7, 1000);
    CPPUNIT_ASSERT(!sender.enqueue(
        {"/peer", std::string(max_transfer_bytes + 1, 'x'), ""}));
    for (int i = 0; i < 100; ++i)
      sender.enqueue({"/peer", text, ""});
    CPPUNIT_ASSERT_EQUAL((max_waiting_transfers + 1) * text.size(),
                         sender.buffered_bytes());
    part_sender other(7, 1000);
    for (int i = 0; i < 3; ++i)
      other.enqueue({"/peer", std::string(max_transfer_bytes / 2, 'x'), ""});
    CPPUNIT_ASSERT_EQUAL(max_transfer_bytes, other.buffered_bytes());
  }

  auto receiver_refuses_oversized_and_malformed_parts() -> void {
    const auto largest = static_cast<std::int64_t>(max_transfer_bytes);
    part_assembler receiver;
    std::vector<wire::message_part> wrong{make_part(1, 1, largest + 1, "x"),
                                          make_part(1, 1, 2, "xxx"),
                                          make_part(1, 1, 2, ""),
                                          make_part(1, 1, -1, "x"),
                                          make_part(1, 1, 2, "xx"),
                                          make_part(1, 1, 2, "x")};
    wrong[4].offset = 1;
    wrong[5].offset = -1;
    for (const auto& part : wrong)
      CPPUNIT_ASSERT(receiver.receive(part, {}).reply.refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, receiver.reserved_bytes());
  }

  auto receiver_memory_is_bounded() -> void {
    const auto largest = static_cast<std::int64_t>(max_transfer_bytes);
    part_assembler receiver;
    for (std::int32_t sender = 1; sender <= 100; ++sender)
      receiver.receive(make_part(sender, 1, largest, "x"), {});
    CPPUNIT_ASSERT_EQUAL(max_assembly_bytes, receiver.reserved_bytes());
    receiver = {};
    for (std::int32_t sender = 1; sender <= 100; ++sender)
      receiver.receive(make_part(sender, 1, 2, "x"), {});
    CPPUNIT_ASSERT_EQUAL(2 * max_assembly_senders, receiver.reserved_bytes());
  }

  auto idle_and_superseded_transfers_are_dropped() -> void {
    part_assembler receiver;
    const instant now{std::chrono::seconds(100)};
    receiver.receive(make_part(1, 1, 1000, "x"), now);
    receiver.receive(make_part(1, 2, 300, "x"), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{300}, receiver.reserved_bytes());
    auto late = make_part(1, 1, 1000, "x");
    late.offset = 1;
    CPPUNIT_ASSERT(!receiver.receive(late, now).reply.known);
    receiver.drop_idle(now + max_assembly_idle_time + milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, receiver.reserved_bytes());
  }

  auto corrupt_message_is_not_delivered() -> void {
    part_assembler receiver;
    const auto result = receiver.receive(make_part(1, 1, 1, "x"), {});
    CPPUNIT_ASSERT(!result.reply.known);
    CPPUNIT_ASSERT(!result.message);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_link_test);

}  // namespace pollenloft::test
