/// \file peer_link.hpp
/// Transfer of large messages between control replicas in parts, each sent in
/// a call of its own and acknowledged, so that a lost call costs one part and
/// small messages never wait for a large one. The classes perform no I/O and
/// read no clock.
#ifndef POLLENLOFT_PEER_LINK_HPP
#define POLLENLOFT_PEER_LINK_HPP

#include <deque>
#include <map>
#include <string>

#include "pollenloft/wire.hpp"

namespace pollenloft {

/// Messages up to this size are sent in one call.
constexpr std::size_t max_part_bytes = 32 * 1024;
constexpr std::size_t max_transfer_bytes = 32 * 1024 * 1024;
/// Messages to one peer that wait for the transfer under way.
constexpr std::size_t max_waiting_transfers = 2;
/// Failures without progress after which a transfer is given up.
constexpr int max_part_failures = 8;
/// Declared sizes of all incomplete transfers to one replica.
constexpr std::size_t max_assembly_bytes = 64 * 1024 * 1024;
constexpr std::size_t max_assembly_senders = 32;
constexpr auto max_assembly_idle_time = std::chrono::seconds(10);

/// A message for the resource `path` of a peer. Of two messages with equal keys
/// the later one brings nothing new while the earlier one is under way; an
/// empty key equals no other.
struct peer_message {
  std::string path;
  std::string bytes;
  std::string key;
};

/// The messages of a batch that carry entries or a snapshot, and the others.
struct divided_batch {
  wire::message_batch bulk;
  wire::message_batch small;
};
auto divide_batch(wire::message_batch batch) -> divided_batch;
/// Key of a batch for `peer_message`: the positions in the log from which its
/// messages continue.
auto batch_key(const wire::message_batch& batch) -> std::string;

enum class part_outcome {
  continued,  ///< the next part can be sent at once
  failed,     ///< the same part, or the first one, is due after a pause
  given_up    ///< the message was dropped
};

/// Sends large messages to one peer, one part at a time:
///
///     sender.enqueue({path, bytes, key});
///     while (auto part = sender.next_part()) ...  // send it
///     sender.on_reply(transfer, reply);           // or on_failure(transfer)
class part_sender {
 public:
  /// Transfers are numbered from `first_transfer`, which differs between runs
  /// of the process.
  part_sender(std::uint32_t own_id, std::int64_t first_transfer);

  /// Returns false if the message was dropped: it is too large, too many
  /// messages wait, or one with its key has not been sent completely.
  auto enqueue(peer_message message) -> bool;
  /// The part to send now; empty if there is none or one is in flight.
  auto next_part() -> std::optional<wire::message_part>;
  auto on_reply(std::int64_t transfer, const wire::part_reply& reply)
      -> part_outcome;
  auto on_failure(std::int64_t transfer) -> part_outcome;
  auto buffered_bytes() const -> std::size_t;

 private:
  auto count_failure() -> part_outcome;
  auto start_next() -> void;

  std::uint32_t own_id_;
  std::int64_t transfer_;
  std::deque<peer_message> messages_;  // the first one is under way
  std::int64_t digest_ = 0;
  std::size_t offset_ = 0;
  std::size_t furthest_ = 0;  // highest offset reached in this transfer
  int failures_ = 0;          // since `furthest_` was reached
  bool in_flight_ = false;
};

/// Reassembles the messages of all peers, at most one of each at a time.
class part_assembler {
 public:
  struct result {
    wire::part_reply reply;
    std::optional<peer_message> message;  ///< set by its last part, once
  };

  auto receive(const wire::message_part& part, instant now) -> result;
  /// Drops transfers without a part for `max_assembly_idle_time`.
  auto drop_idle(instant now) -> void;
  /// Declared sizes of all incomplete transfers.
  auto reserved_bytes() const -> std::size_t;

 private:
  struct transfer {
    std::int64_t id = 0;
    std::string path;
    std::size_t total = 0;
    std::int64_t digest = 0;
    std::string bytes;
    bool complete = false;
    instant last_part_at{};
  };

  auto start(const wire::message_part& part) -> transfer*;
  auto find(const wire::message_part& part) -> transfer*;
  auto complete(transfer& complete, std::int32_t sender) -> result;

  std::map<std::int32_t, transfer> transfers_;  // by sender
};

}  // namespace pollenloft

#endif
