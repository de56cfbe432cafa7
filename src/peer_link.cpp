#include "peer_link.hpp"

#include <algorithm>
#include <utility>

namespace pollenloft {

namespace {

auto is_bulk(const wire::replica_message& message) -> bool {
  return !message.entries.empty() || !message.install.data.empty();
}

auto digest_of(const std::string& bytes) -> std::int64_t {
  return static_cast<std::int64_t>(hash64(bytes));
}

auto is_valid(const wire::message_part& part) -> bool {
  const auto size = static_cast<std::int64_t>(part.bytes.size());
  return size > 0 && part.total > 0 &&
         part.total <= static_cast<std::int64_t>(max_transfer_bytes) &&
         part.offset >= 0 && part.offset <= part.total - size;
}

auto make_reply(bool known, std::size_t received = 0, bool refused = false)
    -> wire::part_reply {
  wire::part_reply reply;
  reply.known = known;
  reply.received = static_cast<std::int64_t>(received);
  reply.refused = refused;
  return reply;
}

}  // namespace

auto divide_batch(wire::message_batch batch) -> divided_batch {
  divided_batch divided;
  for (auto& message : batch.messages)
    (is_bulk(message) ? divided.bulk : divided.small)
        .messages.push_back(std::move(message));
  return divided;
}

auto batch_key(const wire::message_batch& batch) -> std::string {
  std::string key;
  for (const auto& message : batch.messages)
    key += std::to_string(message.kind) + ':' + std::to_string(message.term) +
           ':' + std::to_string(message.prev_index) + ':' +
           std::to_string(message.install.index) + ';';
  return key;
}

part_sender::part_sender(std::uint32_t own_id, std::int64_t first_transfer)
    : own_id_(own_id), transfer_(first_transfer) {}

auto part_sender::enqueue(peer_message message) -> bool {
  const auto is_known = [&](const auto& other) {
    return !message.key.empty() && other.key == message.key;
  };
  if (messages_.size() > max_waiting_transfers ||
      buffered_bytes() + message.bytes.size() > max_transfer_bytes ||
      std::any_of(messages_.begin(), messages_.end(), is_known))
    return false;
  messages_.push_back(std::move(message));
  if (messages_.size() == 1) start_next();
  return true;
}

auto part_sender::start_next() -> void {
  ++transfer_;
  offset_ = 0;
  furthest_ = 0;
  failures_ = 0;
  in_flight_ = false;
  if (!messages_.empty()) digest_ = digest_of(messages_.front().bytes);
}

auto part_sender::next_part() -> std::optional<wire::message_part> {
  if (messages_.empty() || in_flight_) return std::nullopt;
  in_flight_ = true;
  const auto& message = messages_.front();
  wire::message_part part;
  part.sender = static_cast<std::int32_t>(own_id_);
  part.transfer = transfer_;
  part.path = message.path;
  part.offset = static_cast<std::int64_t>(offset_);
  part.total = static_cast<std::int64_t>(message.bytes.size());
  part.digest = digest_;
  part.bytes = message.bytes.substr(offset_, max_part_bytes);
  return part;
}

auto part_sender::on_reply(std::int64_t transfer, const wire::part_reply& reply)
    -> part_outcome {
  if (transfer != transfer_ || messages_.empty()) return part_outcome::failed;
  in_flight_ = false;
  const auto total = messages_.front().bytes.size();
  const auto received = static_cast<std::size_t>(reply.received);
  if (reply.refused) failures_ = max_part_failures;
  if (!reply.known) offset_ = 0;
  if (reply.refused || !reply.known || received <= offset_ || received > total)
    return count_failure();
  offset_ = received;
  if (offset_ > furthest_) failures_ = 0;
  furthest_ = std::max(furthest_, offset_);
  if (offset_ < total) return part_outcome::continued;
  messages_.pop_front();
  start_next();
  return part_outcome::continued;
}

auto part_sender::on_failure(std::int64_t transfer) -> part_outcome {
  if (transfer != transfer_ || messages_.empty()) return part_outcome::failed;
  in_flight_ = false;
  return count_failure();
}

auto part_sender::count_failure() -> part_outcome {
  if (++failures_ < max_part_failures) return part_outcome::failed;
  messages_.pop_front();
  start_next();
  return part_outcome::given_up;
}

auto part_sender::buffered_bytes() const -> std::size_t {
  std::size_t bytes = 0;
  for (const auto& message : messages_)
    bytes += message.bytes.size();
  return bytes;
}

auto part_assembler::receive(const wire::message_part& part, instant now)
    -> result {
  if (!is_valid(part)) return {make_reply(false, 0, true), {}};
  drop_idle(now);
  auto* current = find(part);
  if (current == nullptr) current = start(part);
  if (current == nullptr) return {make_reply(false), {}};
  current->last_part_at = now;
  if (current->complete) return {make_reply(true, current->total), {}};
  if (static_cast<std::size_t>(part.offset) == current->bytes.size())
    current->bytes += part.bytes;
  if (current->bytes.size() == current->total)
    return complete(*current, part.sender);
  return {make_reply(true, current->bytes.size()), {}};
}

auto part_assembler::find(const wire::message_part& part) -> transfer* {
  const auto found = transfers_.find(part.sender);
  if (found == transfers_.end()) return nullptr;
  auto& known = found->second;
  const auto same = known.id == part.transfer && known.path == part.path &&
                    known.total == static_cast<std::size_t>(part.total) &&
                    known.digest == part.digest;
  return same ? &known : nullptr;
}

/// Starts the transfer of a first part; null if the part is a later one or
/// there is no room.
auto part_assembler::start(const wire::message_part& part) -> transfer* {
  if (part.offset != 0) return nullptr;
  transfers_.erase(part.sender);
  const auto total = static_cast<std::size_t>(part.total);
  if (transfers_.size() >= max_assembly_senders ||
      reserved_bytes() + total > max_assembly_bytes)
    return nullptr;
  auto& started = transfers_[part.sender];
  started.id = part.transfer;
  started.path = part.path;
  started.total = total;
  started.digest = part.digest;
  return &started;
}

auto part_assembler::complete(transfer& complete, std::int32_t sender)
    -> result {
  if (digest_of(complete.bytes) != complete.digest) {
    transfers_.erase(sender);
    return {make_reply(false), {}};
  }
  complete.complete = true;
  return {make_reply(true, complete.total),
          peer_message{complete.path, std::exchange(complete.bytes, {}), {}}};
}

auto part_assembler::drop_idle(instant now) -> void {
  std::erase_if(transfers_, [&](const auto& transfer) {
    return now - transfer.second.last_part_at > max_assembly_idle_time;
  });
}

auto part_assembler::reserved_bytes() const -> std::size_t {
  std::size_t bytes = 0;
  for (const auto& [sender, transfer] : transfers_)
    if (!transfer.complete) bytes += transfer.total;
  return bytes;
}

}  // namespace pollenloft
