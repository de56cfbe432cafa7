/// Writes one message of each kind, with all its fields set, as `NAME HEX`
/// lines. scripts/record builds it against the messages of a landing, so that
/// later versions are tested against what that landing sent and stored.
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdio>

#include "pollenloft_types.h"

namespace wire = pollenloft::wire;

namespace {

template <class Message>
auto print(const char* name, const Message& message) -> void {
  const auto buffer =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  message.write(&protocol);
  std::printf("%s ", name);
  for (const unsigned char byte : buffer->getBufferAsString())
    std::printf("%02x", byte);
  std::printf("\n");
}

auto make_record() -> wire::endpoint_record {
  wire::endpoint_record record;
  record.id = "i-1";
  record.incarnation = "00000000001768350733";
  record.address = "10.1.64.9:8080";
  record.kind = "l4";
  record.zone = "z1";
  record.pipeline = "llm";
  record.first_layer = 20;
  record.last_layer = 31;
  record.slots = 192;
  record.state = 1;
  record.sequence = 9;
  record.report = 7;
  record.fill = 40;
  record.slowdown = 150;
  record.noted = 12884901889;
  record.request_limit = 5000;
  return record;
}

auto make_renew_request() -> wire::renew_request {
  wire::renew_request request;
  request.vm = "vm-7";
  request.incarnation = "vm-7#1";
  request.zone = "z1";
  request.address = "10.0.0.7:8080";
  request.in_force = 4;
  request.document = 12;
  request.fetches_state = true;
  request.tracks_suspects = true;
  request.relay_address = "10.0.0.7:8099";
  request.relay_key = "key";
  return request;
}

auto make_renew_reply() -> wire::renew_reply {
  wire::renew_reply reply;
  reply.granted = true;
  reply.leader = "10.0.0.1:7101";
  reply.lease_ms = 1500;
  reply.term = 3;
  reply.vm_count = 9;
  reply.document = 12;
  reply.endpoints.push_back(make_record());
  wire::blame_record blame;
  blame.fingerprint = 77;
  blame.endpoints = {"i-1"};
  blame.points = 12;
  reply.blames.push_back(blame);
  return reply;
}

auto make_snapshot() -> wire::control_snapshot {
  wire::control_snapshot snapshot;
  snapshot.version = 1;
  snapshot.configuration = R"({"accounts":{"a":{"token":"t"}},"version":1})";
  wire::claim_record claim;
  claim.account = "a";
  claim.key = "k";
  claim.holder = "vm-7#1";
  claim.at_ms = 1000;
  snapshot.claims.push_back(claim);
  snapshot.document = 12;
  snapshot.document_text = "{}";
  return snapshot;
}

auto make_share() -> wire::directory_share {
  wire::directory_share share;
  share.records.push_back(make_record());
  share.sender = 2;
  share.digest = 5;
  return share;
}

auto make_permit_request() -> wire::permit_request {
  wire::permit_request request;
  request.vm = "vm-7";
  wire::permit_want_record want;
  want.limit.endpoint = "i-1";
  want.limit.per_second = 5;
  want.wanted = 2;
  request.wants.push_back(want);
  return request;
}

auto make_saved_directory() -> wire::saved_directory {
  wire::saved_directory saved;
  saved.at_ms = 1000;
  saved.records.push_back(make_record());
  return saved;
}

}  // namespace

auto main() -> int {
  print("renew_request", make_renew_request());
  print("renew_reply", make_renew_reply());
  print("control_snapshot", make_snapshot());
  print("directory_share", make_share());
  print("permit_request", make_permit_request());
  print("saved_directory", make_saved_directory());
  wire::report_request report;
  report.vm = "vm-7";
  report.endpoints.push_back(make_record());
  print("report_request", report);
  return 0;
}
