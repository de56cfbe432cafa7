#include "pollenloft/wire.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace pollenloft {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using compact_protocol = TCompactProtocolT<TMemoryBuffer>;

template <class To, class From>
auto cast(From value) -> To {
  return static_cast<To>(value);
}

auto to_wire(const log_entry& from) -> wire::entry {
  wire::entry to;
  to.term = cast<std::int64_t>(from.term);
  to.index = cast<std::int64_t>(from.index);
  to.kind = cast<std::int8_t>(from.kind);
  to.data = from.data;
  return to;
}

auto from_wire(wire::entry from) -> log_entry {
  return {cast<log_term>(from.term), cast<log_index>(from.index),
          cast<entry_kind>(from.kind), std::move(from.data)};
}

auto to_wire(const log_snapshot& from) -> wire::snapshot {
  wire::snapshot to;
  to.index = cast<std::int64_t>(from.index);
  to.term = cast<std::int64_t>(from.term);
  to.members.assign(from.members.begin(), from.members.end());
  to.data = from.data;
  return to;
}

auto from_wire(wire::snapshot from) -> log_snapshot {
  log_snapshot to;
  to.index = cast<log_index>(from.index);
  to.term = cast<log_term>(from.term);
  to.members.assign(from.members.begin(), from.members.end());
  to.data = std::move(from.data);
  return to;
}

auto fill_body(const vote_request& from, wire::replica_message& to) -> void {
  to.pre = from.pre_vote;
  to.last_index = cast<std::int64_t>(from.last_index);
  to.last_term = cast<std::int64_t>(from.last_term);
  to.transfer = from.transfer;
}

auto fill_body(const vote_reply& from, wire::replica_message& to) -> void {
  to.pre = from.pre_vote;
  to.granted = from.granted;
}

auto fill_body(const append_request& from, wire::replica_message& to) -> void {
  to.prev_index = cast<std::int64_t>(from.prev_index);
  to.prev_term = cast<std::int64_t>(from.prev_term);
  to.commit = cast<std::int64_t>(from.leader_commit);
  to.leader_last = cast<std::int64_t>(from.leader_last_index);
  to.round = cast<std::int64_t>(from.round);
  for (const auto& entry : from.entries)
    to.entries.push_back(to_wire(entry));
}

auto fill_body(const append_reply& from, wire::replica_message& to) -> void {
  to.matched = from.matched;
  to.index = cast<std::int64_t>(from.index);
  to.round = cast<std::int64_t>(from.round);
}

auto fill_body(const install_snapshot_request& from, wire::replica_message& to)
    -> void {
  to.install = to_wire(from.snapshot);
  to.round = cast<std::int64_t>(from.round);
}

auto fill_body(const recover_request& from, wire::replica_message& to) -> void {
  to.nonce = cast<std::int64_t>(from.nonce);
}

auto fill_body(const recover_reply& from, wire::replica_message& to) -> void {
  to.nonce = cast<std::int64_t>(from.nonce);
  to.fresh = from.fresh;
  for (auto id : from.members)
    to.members.push_back(cast<std::int32_t>(id));
  to.commit = cast<std::int64_t>(from.commit_index);
}

auto fill_body(const timeout_now_request& /*from*/,
               wire::replica_message& /*to*/) -> void {}

auto to_recover_reply(const wire::replica_message& from) -> recover_reply {
  recover_reply to;
  to.nonce = cast<std::uint64_t>(from.nonce);
  to.fresh = from.fresh;
  for (auto id : from.members)
    to.members.push_back(cast<replica_id>(id));
  to.commit_index = cast<log_index>(from.commit);
  return to;
}

auto to_append_request(wire::replica_message& from) -> append_request {
  append_request to;
  to.prev_index = cast<log_index>(from.prev_index);
  to.prev_term = cast<log_term>(from.prev_term);
  to.leader_commit = cast<log_index>(from.commit);
  to.leader_last_index = cast<log_index>(from.leader_last);
  to.round = cast<std::uint64_t>(from.round);
  for (auto& entry : from.entries)
    to.entries.push_back(from_wire(std::move(entry)));
  return to;
}

}  // namespace

auto to_wire(const replica_message& from) -> wire::replica_message {
  wire::replica_message to;
  to.sender = cast<std::int32_t>(from.from);
  to.receiver = cast<std::int32_t>(from.to);
  to.term = cast<std::int64_t>(from.term);
  to.kind = cast<std::int8_t>(from.body.index());
  std::visit([&](const auto& body) { fill_body(body, to); }, from.body);
  return to;
}

auto from_wire(wire::replica_message from) -> std::optional<replica_message> {
  replica_message to;
  to.from = cast<replica_id>(from.sender);
  to.to = cast<replica_id>(from.receiver);
  to.term = cast<log_term>(from.term);
  const auto round = cast<std::uint64_t>(from.round);
  switch (from.kind) {  // the index of the alternative, see `to_wire`
    case 0:
      to.body = vote_request{from.pre, cast<log_index>(from.last_index),
                             cast<log_term>(from.last_term), from.transfer};
      return to;
    case 1:
      to.body = vote_reply{from.pre, from.granted};
      return to;
    case 2:
      to.body = to_append_request(from);
      return to;
    case 3:
      to.body = append_reply{from.matched, cast<log_index>(from.index), round};
      return to;
    case 4:
      to.body =
          install_snapshot_request{from_wire(std::move(from.install)), round};
      return to;
    case 5:
      to.body = recover_request{cast<std::uint64_t>(from.nonce)};
      return to;
    case 6:
      to.body = to_recover_reply(from);
      return to;
    case 7:
      to.body = timeout_now_request{};
      return to;
    default:
      return fail("wire.decode", std::to_string(from.sender),
                  "unknown message kind " + std::to_string(from.kind));
  }
}

template <class Message>
auto encode_wire(const Message& message) -> std::string {
  auto buffer = std::make_shared<TMemoryBuffer>();
  compact_protocol out(buffer);
  message.write(&out);
  return buffer->getBufferAsString();
}

template <class Message>
auto decode_wire(std::string_view bytes) -> std::optional<Message> {
  // In OBSERVE mode Thrift only reads the bytes, but its interface takes a
  // non-const pointer.
  auto* data = reinterpret_cast<std::uint8_t*>(  // NOLINT
      const_cast<char*>(bytes.data()));          // NOLINT
  auto buffer = std::make_shared<TMemoryBuffer>(
      data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
  compact_protocol in(buffer);
  Message message;
  try {
    message.read(&in);
  } catch (const std::exception& exception) {
    return fail("wire.decode", "message", exception.what());
  }
  return message;
}

#define POLLENLOFT_WIRE_MESSAGE(type)                        \
  template auto encode_wire(const wire::type&)->std::string; \
  template auto decode_wire(std::string_view)->std::optional<wire::type>;

POLLENLOFT_WIRE_MESSAGE(message_batch)
POLLENLOFT_WIRE_MESSAGE(command)
POLLENLOFT_WIRE_MESSAGE(control_snapshot)
POLLENLOFT_WIRE_MESSAGE(renew_request)
POLLENLOFT_WIRE_MESSAGE(renew_reply)
POLLENLOFT_WIRE_MESSAGE(state_request)
POLLENLOFT_WIRE_MESSAGE(state_part)
POLLENLOFT_WIRE_MESSAGE(permit_request)
POLLENLOFT_WIRE_MESSAGE(permit_reply)
POLLENLOFT_WIRE_MESSAGE(peers_request)
POLLENLOFT_WIRE_MESSAGE(peers_reply)
POLLENLOFT_WIRE_MESSAGE(report_request)
POLLENLOFT_WIRE_MESSAGE(report_reply)
POLLENLOFT_WIRE_MESSAGE(claim_record)
POLLENLOFT_WIRE_MESSAGE(claim_reply)
POLLENLOFT_WIRE_MESSAGE(settle_command)
POLLENLOFT_WIRE_MESSAGE(settle_reply)
POLLENLOFT_WIRE_MESSAGE(blame_command)
POLLENLOFT_WIRE_MESSAGE(blame_batch)
POLLENLOFT_WIRE_MESSAGE(directory_share)
POLLENLOFT_WIRE_MESSAGE(endpoint_record)
POLLENLOFT_WIRE_MESSAGE(join_request)
POLLENLOFT_WIRE_MESSAGE(stop_notice)
POLLENLOFT_WIRE_MESSAGE(departure_request)
POLLENLOFT_WIRE_MESSAGE(departure_reply)
POLLENLOFT_WIRE_MESSAGE(saved_directory)
POLLENLOFT_WIRE_MESSAGE(message_part)
POLLENLOFT_WIRE_MESSAGE(part_reply)

auto to_wire(const limit_statement& statement, instant now)
    -> wire::limit_record {
  const auto age_us = [&](instant at) {
    return std::chrono::duration_cast<std::chrono::microseconds>(now - at)
        .count();
  };
  wire::limit_record record;
  record.endpoint = statement.endpoint;
  record.incarnation = statement.incarnation;
  record.per_second = statement.per_second.value_or(-1);
  record.asked_ago_us = age_us(statement.asked);
  record.answered_ago_us = age_us(statement.answered);
  return record;
}

auto from_wire(const wire::limit_record& record, instant now)
    -> limit_statement {
  limit_statement statement;
  statement.endpoint = record.endpoint;
  statement.incarnation = record.incarnation;
  if (record.per_second >= 0) statement.per_second = record.per_second;
  statement.asked = now - std::chrono::microseconds(record.asked_ago_us);
  statement.answered = now - std::chrono::microseconds(record.answered_ago_us);
  return statement;
}

}  // namespace pollenloft
