/// \file wire.hpp
/// Thrift encoding (compact protocol) of messages between pollenloft processes.
#ifndef POLLENLOFT_WIRE_HPP
#define POLLENLOFT_WIRE_HPP

#include <string>
#include <string_view>
#include <vector>

#include "pollenloft/limit.hpp"
#include "pollenloft/replica.hpp"
#include "pollenloft_types.h"

namespace pollenloft {

/// Encodes a message. The message types, defined in support/pollenloft.thrift,
/// are instantiated in wire.cpp.
template <class Message>
auto encode_wire(const Message& message) -> std::string;

/// Decodes a message. Empty if the bytes are malformed, see `last_error`.
template <class Message>
auto decode_wire(std::string_view bytes) -> std::optional<Message>;

/// Converts a replica's message to its Thrift struct.
auto to_wire(const replica_message& message) -> wire::replica_message;
/// Converts back. Empty for an unknown message kind, see `last_error`.
auto from_wire(wire::replica_message message) -> std::optional<replica_message>;

/// Times travel as ages, which end at `now`.
auto to_wire(const limit_statement& statement, instant now)
    -> wire::limit_record;
auto from_wire(const wire::limit_record& record, instant now)
    -> limit_statement;

}  // namespace pollenloft

#endif
