#include "raw_caller.hpp"

namespace pollenloft::test {
namespace {

const std::string old_request = "GET /x HTTP/1.0\r\n\r\n";
const std::string old_keep_alive_request =
    "GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";

}  // namespace

/// Streams to callers that speak HTTP/1.0 and know no chunks.
class caller_framing_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_framing_test);
  CPPUNIT_TEST(stream_to_an_old_caller_is_empty);
  CPPUNIT_TEST(aborted_stream_to_an_old_caller_looks_whole);
  CPPUNIT_TEST(stream_of_a_killed_process_looks_whole);
  CPPUNIT_TEST(reply_to_an_old_caller_has_no_length);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto stream_to_an_old_caller_is_empty() -> void {
    const server_process server([](const exchange_ptr& call) {
      call->start(200, {});
      call->chunk("part1");
      call->chunk("part2");
      call->end();
    });
    for (const auto& request : {old_request, old_keep_alive_request}) {
      raw_caller caller(request);
      CPPUNIT_ASSERT(caller.read_to_end());
      CPPUNIT_ASSERT(caller.received.find("Content-Length") ==
                     std::string::npos);
      CPPUNIT_ASSERT(caller.received.find("\r\n\r\npart1part2") !=
                     std::string::npos);
    }
  }

  auto aborted_stream_to_an_old_caller_looks_whole() -> void {
    const server_process server([](const exchange_ptr& call) {
      call->start(200, {});
      call->chunk("part");
      call->abort();
    });
    raw_caller caller(old_request);
    CPPUNIT_ASSERT(!caller.read_to_end());
  }

  auto stream_of_a_killed_process_looks_whole() -> void {
    server_process server([](const exchange_ptr& call) {
      call->start(200, {});
      call->chunk("part");
    });
    raw_caller caller(old_request);
    caller.read_until("part");
    server.end();
    CPPUNIT_ASSERT(!caller.read_to_end());
  }

  auto reply_to_an_old_caller_has_no_length() -> void {
    const server_process server(
        [](const exchange_ptr& call) { call->reply(200, {}, "whole"); });
    for (const auto& request : {old_request, old_keep_alive_request}) {
      raw_caller caller(request);
      caller.read_until("whole");
      const auto length = caller.received.find("Content-Length: 5\r\n");
      CPPUNIT_ASSERT(length != std::string::npos);
      CPPUNIT_ASSERT(caller.received.find("Content-Length", length + 1) ==
                     std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_framing_test);

}  // namespace pollenloft::test
