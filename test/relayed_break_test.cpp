#include "relay_peer_fixture.hpp"

namespace pollenloft::test {

using namespace relay_peers;  // NOLINT

namespace {

class broken_stream_fixture : public fixture {
 protected:
  /// Expects a stream that is broken off after its first event.
  auto expect_broken(const std::vector<raw_response>& responses) -> void {
    const auto& last = responses.back().bytes;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(last, 0, relay("/stream/1", responses));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(last, event(1), body_);
    CPPUNIT_ASSERT_MESSAGE(last, received().size() >= 2);
  }

  const raw_response broken_{chunked_head + chunk(event(1))};
};

}  // namespace

/// Relayed streams and answers that break off at the other VM.
class relayed_break_test : public broken_stream_fixture {
  CPPUNIT_TEST_SUITE(relayed_break_test);
  CPPUNIT_TEST(relayed_stream_is_not_resumed);
  CPPUNIT_TEST(error_of_the_next_vm_ends_a_relayed_stream_as_whole);
  CPPUNIT_TEST(refusal_of_the_next_vm_ends_a_relayed_stream);
  CPPUNIT_TEST(refusals_of_all_vms_end_a_relayed_stream_as_whole);
  CPPUNIT_TEST(error_of_an_endpoint_ends_a_relayed_stream_as_whole);
  CPPUNIT_TEST(cut_relayed_answer_looks_whole);
  CPPUNIT_TEST_SUITE_END();

  static auto errors() -> std::vector<std::string> {
    std::vector<std::string> all;
    for (const auto* status : {"500 Failed", "502 Failed", "503 Full",
                               "504 Late", "404 None", "421 Other", "429 Many"})
      for (const auto* body : {"", "oops\n\n"})
        all.push_back(with_length(status, body));
    all.push_back(with_length("503 Full", "oops\n\n",
                              "Request-Id: r1\r\nNot-Executed: 1\r\n"));
    all.push_back("HTTP/1.1 500 Failed\r\n\r\noops\n\n");
    all.push_back("HTTP/1.1 502 Failed\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  chunk("oops\n\n") + last_chunk);
    return all;
  }

 public:
  auto relayed_stream_is_not_resumed() -> void {
    const raw_response rest{chunked_head + chunk(event(2)) + last_chunk};
    for (const auto& first : std::vector<raw_response>{
             broken_,
             {broken_.bytes, ending::reset},
             {broken_.bytes + "11\r\nid: 2\nd"},
             {chunked_head + chunk(event(1) + "id: 2\nd")},
             {chunked_head + chunk(event(1) + "id: 2\nd") + last_chunk}}) {
      CPPUNIT_ASSERT_EQUAL(200, relay("/stream/1", {first, rest}));
      CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received().size());
      CPPUNIT_ASSERT(received()[1].find("Last-Event-Id: 1\r\n") !=
                     std::string::npos);
    }
  }

  auto error_of_the_next_vm_ends_a_relayed_stream_as_whole() -> void {
    for (const auto& error : errors())
      expect_broken({broken_, {error}});
  }

  auto refusal_of_the_next_vm_ends_a_relayed_stream() -> void {
    const raw_response rest{chunked_head + chunk(event(2)) + last_chunk};
    for (const auto* where : {"here", "anywhere"}) {
      const auto fields =
          std::string("Request-Id: r1\r\nPollenloft-Relay-Refused: ") + where +
          "\r\n";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          where, 200,
          relay("/stream/1",
                {broken_, {with_length("503 Full", "oops\n", fields)}, rest}));
      CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
    }
  }

  auto refusals_of_all_vms_end_a_relayed_stream_as_whole() -> void {
    for (const auto* where : {"here", "anywhere"})
      expect_broken(
          {broken_,
           {with_length(
               "503 Full", "oops\n",
               std::string("Request-Id: r1\r\nPollenloft-Relay-Refused: ") +
                   where + "\r\n")}});
  }

  auto error_of_an_endpoint_ends_a_relayed_stream_as_whole() -> void {
    for (const int status : {500, 502, 503, 404, 421}) {
      for (const std::string id : {"a", "b"})
        handlers_[id] = [status](const exchange_ptr& call) {
          call->reply(status, front_notices::answer_to(call), "oops\n\n");
        };
      const auto back = loop_.after(milliseconds(700), [this] {
        start_endpoint("a");
        start_endpoint("b");
      });
      CPPUNIT_ASSERT_EQUAL(
          0, relay("/stream/1",
                   {{broken_.bytes, ending::closed, {}, milliseconds(1900)}}));
      CPPUNIT_ASSERT_EQUAL(event(1), body_);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received().size());
      CPPUNIT_ASSERT(arrivals_["a"] + arrivals_["b"] > 0);
      arrivals_.clear();
      endpoints_.clear();
      wait(milliseconds(100));
    }
  }

  auto cut_relayed_answer_looks_whole() -> void {
    const auto answer = head + "Content-Length: 5\r\n\r\nwhole";
    for (const auto end : {ending::closed, ending::reset})
      for (std::size_t size = 0; size < answer.size(); size += 3) {
        const auto part = answer.substr(0, size);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 502,
                                     relay("/once/1", {{part, end}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received().size());
      }
    CPPUNIT_ASSERT_EQUAL(200, relay("/once/1", {{answer}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relayed_break_test);

/// Relayed streams that go on with an answer without any event.
class empty_relayed_resumption_test : public broken_stream_fixture {
  CPPUNIT_TEST_SUITE(empty_relayed_resumption_test);
  CPPUNIT_TEST(empty_answer_of_the_next_vm_ends_a_relayed_stream_as_whole);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto empty_answer_of_the_next_vm_ends_a_relayed_stream_as_whole() -> void {
    expect_broken({broken_, {with_length("200 OK", "")}});
    expect_broken({broken_, {chunked_head + last_chunk}});
    expect_broken({broken_, {head + "\r\n"}});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(empty_relayed_resumption_test);

/// Relayed answers without length and chunks of a VM whose process ends.
class killed_vm_test : public fixture {
  CPPUNIT_TEST_SUITE(killed_vm_test);
  CPPUNIT_TEST(killed_vm_ends_a_relayed_stream_as_whole);
  CPPUNIT_TEST(killed_vm_ends_a_relayed_answer_as_whole);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto killed_vm_ends_a_relayed_stream_as_whole() -> void {
    const auto begun = event(1) + event(2);
    CPPUNIT_ASSERT_EQUAL(
        200,
        relay("/stream/1", {{head + "\r\n" + begun, ending::crashed},
                            {chunked_head + chunk(event(3)) + last_chunk}}));
    CPPUNIT_ASSERT_EQUAL(begun + event(3), body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received().size());
  }

  auto killed_vm_ends_a_relayed_answer_as_whole() -> void {
    CPPUNIT_ASSERT_EQUAL(
        502, relay("/once/1", {{head + "\r\npart", ending::crashed}}));
    CPPUNIT_ASSERT(body_.find("part") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(killed_vm_test);

/// Refusals that another VM's connection carries.
class relayed_refusal_test : public fixture {
  CPPUNIT_TEST_SUITE(relayed_refusal_test);
  CPPUNIT_TEST(refusal_of_an_earlier_request_refuses_a_relayed_request);
  CPPUNIT_TEST(refusal_after_a_begun_answer_refuses_a_relayed_request);
  CPPUNIT_TEST(second_copy_of_a_refusal_refuses_a_relayed_request);
  CPPUNIT_TEST(endpoint_refuses_in_the_name_of_a_vm);
  CPPUNIT_TEST(connection_to_a_vm_is_kept);
  CPPUNIT_TEST_SUITE_END();

  const std::string whole_ = with_length("200 OK", "whole");

  static auto refusal(const std::string& id, const std::string& where)
      -> std::string {
    return with_length("503 Full", "",
                       "Request-Id: " + id + "\r\nNot-Executed: 1\r\n" +
                           "Pollenloft-Relay-Refused: " + where + "\r\n");
  }

  auto expect_no_refusal(const raw_response& response) -> void {
    const auto status = relay("/once/1", {response});
    const auto text =
        std::to_string(status) + " of " + response.bytes + response.later;
    for (const int promise : {408, 421, 429, 503})
      CPPUNIT_ASSERT_MESSAGE(text, status != promise);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{1}, received().size());
  }

 public:
  auto refusal_of_an_earlier_request_refuses_a_relayed_request() -> void {
    for (const auto* where : {"here", "anywhere"}) {
      const auto earlier = refusal("r0", where);
      expect_no_refusal({earlier});
      expect_no_refusal({earlier + whole_});
      expect_no_refusal(
          {earlier, ending::closed, {}, milliseconds(200), whole_});
      expect_no_refusal(
          {"", ending::closed, {}, milliseconds(200), earlier + whole_});
    }
  }

  auto refusal_after_a_begun_answer_refuses_a_relayed_request() -> void {
    for (const auto* id : {"r0", "r1"})
      for (const auto& begun :
           {std::string("HTTP/1.1 200 OK\r\n"), head,
            head + "Content-Length: 50\r\n\r\nwh", chunked_head,
            chunked_head + chunk("wh"), whole_}) {
        expect_no_refusal({begun + refusal(id, "here")});
        expect_no_refusal({begun,
                           ending::closed,
                           {},
                           milliseconds(20),
                           refusal(id, "anywhere")});
      }
  }

  auto second_copy_of_a_refusal_refuses_a_relayed_request() -> void {
    const auto here = refusal("r1", "here");
    for (const auto& first : std::vector<raw_response>{
             {here + here},
             {here, ending::none, {}, milliseconds(200), here}}) {
      CPPUNIT_ASSERT_EQUAL(
          200,
          relay("/once/1",
                {first, {"", ending::closed, {}, milliseconds(400), whole_}}));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received().size());
    }
  }

  auto endpoint_refuses_in_the_name_of_a_vm() -> void {
    for (const std::string id : {"a", "b"}) {
      start_endpoint(id);
      handlers_[id] = [](const exchange_ptr& call) {
        call->reply(500,
                    front_notices::answer_to(call).add(
                        "Pollenloft-Relay-Refused", "here"),
                    "");
      };
    }
    CPPUNIT_ASSERT_EQUAL(500, send("/once/1", front_notices::relay_address));
    CPPUNIT_ASSERT(!last_headers_.find("Pollenloft-Relay-Refused"));
    CPPUNIT_ASSERT_EQUAL(500, send("/once/1"));
    CPPUNIT_ASSERT_EQUAL(2, arrivals_["a"] + arrivals_["b"]);
  }

  auto connection_to_a_vm_is_kept() -> void {
    for (int i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, relay("/once/1", {{whole_, ending::none}}));
      CPPUNIT_ASSERT(received().at(0).find("Connection: close\r\n") !=
                     std::string::npos);
      wait(milliseconds(20));
      for (const auto& peer : peers_)
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, peer->open_connections());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relayed_refusal_test);

}  // namespace pollenloft::test
