#include "raw_entry_fixture.hpp"

namespace pollenloft::test {

using namespace raw;  // NOLINT

namespace {

const std::string no_body = "Content-Length: 0\r\n\r\n";
const std::string whole = head + "Content-Length: 5\r\n\r\nwhole";

/// All statuses that promise that a request has not run.
auto refusals(const std::string& id) -> std::vector<std::string> {
  const auto named = id.empty() ? "" : "Request-Id: " + id + "\r\n";
  std::vector<std::string> all{"HTTP/1.1 421 Other\r\n" + named + no_body};
  for (const auto* status : {"503 Full", "429 Many", "421 Other", "408 Late"})
    all.push_back(std::string("HTTP/1.1 ") + status + "\r\n" + named +
                  "Not-Executed: 1\r\n" + no_body);
  return all;
}

class refusal_fixture : public two_endpoint_fixture {
 public:
  auto setUp() -> void override {
    retry_slack_ = 20000;
    two_endpoint_fixture::setUp();
  }

 protected:
  /// Expects that the caller gets no promise, and no second endpoint the
  /// request.
  auto expect_no_refusal(const std::string& path, const raw_response& response)
      -> void {
    const auto status = call(path, {response});
    const auto text = path + " " + std::to_string(status) + " of " +
                      response.bytes + "|" + response.later + "|" +
                      script().greeting;
    for (const int promise : {408, 421, 429, 503})
      CPPUNIT_ASSERT_MESSAGE(text, status != promise);
    CPPUNIT_ASSERT_MESSAGE(text, endpoint_->received.size() <= 1);
  }

  auto expect_refusals_without_effect(const std::string& id) -> void {
    for (const auto& refusal : refusals(id))
      for (const auto* path : {"/plain/", "/single/"})
        for (const auto& response : std::vector<raw_response>{
                 {refusal + whole},
                 {refusal, ending::closed, {}, milliseconds(200), whole},
                 {"", ending::closed, {}, milliseconds(200), refusal + whole}})
          expect_no_refusal(path, response);
  }

  auto expect_greetings_without_effect(const std::string& id) -> void {
    for (const auto& refusal : refusals(id))
      for (const auto* path : {"/plain/", "/single/"}) {
        script().greeting = refusal;
        expect_no_refusal(path, {whole});
        expect_no_refusal(path,
                          {"", ending::closed, {}, milliseconds(200), whole});
      }
  }
};

}  // namespace

/// Refusals that an endpoint writes beside the answer to a request, which has
/// run and must not run twice.
class repeated_refusal_test : public refusal_fixture {
  CPPUNIT_TEST_SUITE(repeated_refusal_test);
  CPPUNIT_TEST(refusal_of_an_earlier_request_refuses_a_request);
  CPPUNIT_TEST(lone_refusal_of_an_earlier_request_refuses_a_request);
  CPPUNIT_TEST(refusal_on_a_new_connection_refuses_a_request);
  CPPUNIT_TEST(refusal_after_a_begun_answer_refuses_the_request);
  CPPUNIT_TEST(refusal_after_a_whole_answer_refuses_the_request);
  CPPUNIT_TEST(second_copy_of_a_refusal_refuses_the_next_attempt);
  CPPUNIT_TEST(second_copy_of_a_refusal_refuses_the_next_request);
  CPPUNIT_TEST(second_copy_of_a_refusal_refuses_a_request_on_own_interface);
  CPPUNIT_TEST(refusal_after_an_answer_refuses_a_request_on_own_interface);
  CPPUNIT_TEST(connection_to_an_endpoint_is_kept);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto refusal_of_an_earlier_request_refuses_a_request() -> void {
    expect_refusals_without_effect("r0");
  }
  auto lone_refusal_of_an_earlier_request_refuses_a_request() -> void {
    for (const auto& refusal : refusals("r0"))
      for (const auto* path : {"/plain/", "/single/"})
        expect_no_refusal(path, {refusal});
  }

  auto refusal_on_a_new_connection_refuses_a_request() -> void {
    expect_greetings_without_effect("r0");
  }

  auto refusal_after_a_begun_answer_refuses_the_request() -> void {
    for (const auto* id : {"r0", "r1", ""})
      for (const auto& refusal : refusals(id))
        for (const auto& begun :
             {std::string("HTTP/1.1 200 OK\r\n"), head,
              head + "Content-Length: 50\r\n\r\nwh", chunked_head,
              chunked_head + chunk(event(1)), chunked_head + "11\r\nid: 1\nd",
              head + "\r\nwh"})
          for (const auto* path : {"/plain/", "/single/"}) {
            expect_no_refusal(path, {begun + refusal});
            expect_no_refusal(
                path, {begun, ending::closed, {}, milliseconds(20), refusal});
          }
  }

  auto refusal_after_a_whole_answer_refuses_the_request() -> void {
    for (const auto* id : {"r0", "r1", ""})
      for (const auto& refusal : refusals(id))
        for (const auto& response : std::vector<raw_response>{
                 {whole + refusal},
                 {whole, ending::closed, {}, milliseconds(200), refusal}}) {
          expect_no_refusal("/plain/", response);
          CPPUNIT_ASSERT_EQUAL(std::string("whole"), body_);
        }
  }

  auto second_copy_of_a_refusal_refuses_the_next_attempt() -> void {
    for (const auto& refusal : refusals("r1"))
      for (const auto& first : std::vector<raw_response>{
               {refusal + refusal},
               {refusal + refusal, ending::none},
               {refusal, ending::closed, {}, milliseconds(200), refusal}}) {
        const raw_response answer{
            "", ending::closed, {}, milliseconds(400), whole};
        CPPUNIT_ASSERT_EQUAL_MESSAGE(refusal, 200,
                                     call("/plain/", {first, answer}));
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), body_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, endpoint_->received.size());
      }
  }

  auto second_copy_of_a_refusal_refuses_the_next_request() -> void {
    for (const auto& refusal : refusals("r1")) {
      CPPUNIT_ASSERT_EQUAL(
          200, call("/plain/",
                    {{refusal, ending::none, {}, milliseconds(200), refusal},
                     {whole}}));
      expect_no_refusal("/plain/",
                        {"", ending::closed, {}, milliseconds(400), whole});
      CPPUNIT_ASSERT_EQUAL(std::string("whole"), body_);
    }
  }

  auto second_copy_of_a_refusal_refuses_a_request_on_own_interface() -> void {
    for (const auto* reason : {"full", "leaving"}) {
      const auto body =
          std::string(R"({"error":")") + reason + R"(","endpoint":"e1"})";
      const auto refusal =
          "HTTP/1.1 503 Full\r\nEngine-Began: no\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
      for (const auto& first : std::vector<raw_response>{
               {refusal + refusal},
               {refusal, ending::none, {}, milliseconds(200), refusal}}) {
        CPPUNIT_ASSERT_EQUAL(200, call("", {first, {whole}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, endpoint_->received.size());
        expect_no_refusal("",
                          {"", ending::closed, {}, milliseconds(400), whole});
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), body_);
      }
    }
  }

  auto refusal_after_an_answer_refuses_a_request_on_own_interface() -> void {
    const auto refusal = "HTTP/1.1 503 Full\r\nEngine-Began: no\r\n" + no_body;
    for (const auto& begun :
         {std::string("HTTP/1.1 200 OK\r\n"), head,
          head + "Content-Length: 50\r\n\r\nwh", chunked_head,
          chunked_head + chunk("wh"), head + "\r\nwh", whole}) {
      expect_no_refusal("", {begun + refusal});
      expect_no_refusal("",
                        {begun, ending::closed, {}, milliseconds(20), refusal});
    }
  }

  auto connection_to_an_endpoint_is_kept() -> void {
    const auto kept = head +
                      "Connection: keep-alive\r\nKeep-Alive: timeout=9\r\n"
                      "Content-Length: " +
                      std::to_string(event(1).size()) + "\r\n\r\n" + event(1);
    for (const auto* path : {"/plain/", "/single/", "/resumable/", ""})
      for (int i = 0; i < 2; ++i) {
        CPPUNIT_ASSERT_EQUAL(200, call(path, {{kept, ending::none}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint_->received.size());
        CPPUNIT_ASSERT(endpoint_->received[0].find("Connection: close\r\n") !=
                       std::string::npos);
        wait(milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, open_connections());
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeated_refusal_test);

/// Refusals that name no request, as the first answer on a connection.
class unnamed_refusal_test : public refusal_fixture {
  CPPUNIT_TEST_SUITE(unnamed_refusal_test);
  CPPUNIT_TEST(lone_refusal_without_an_id_refuses_a_request);
  CPPUNIT_TEST(refusal_without_an_id_refuses_a_request);
  CPPUNIT_TEST(refusal_without_an_id_on_a_new_connection_refuses_a_request);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto lone_refusal_without_an_id_refuses_a_request() -> void {
    for (const auto& refusal : refusals(""))
      for (const auto* path : {"/plain/", "/single/"})
        expect_no_refusal(path, {refusal});
  }

  auto refusal_without_an_id_refuses_a_request() -> void {
    expect_refusals_without_effect("");
  }

  auto refusal_without_an_id_on_a_new_connection_refuses_a_request() -> void {
    expect_greetings_without_effect("");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unnamed_refusal_test);

/// Refusals that end in their head, with the answer to the request after them.
class cut_refusal_test : public refusal_fixture {
  CPPUNIT_TEST_SUITE(cut_refusal_test);
  CPPUNIT_TEST(cut_status_line_before_an_answer_refuses_the_request);
  CPPUNIT_TEST(cut_field_before_an_answer_refuses_the_request);
  CPPUNIT_TEST_SUITE_END();

  /// Expects that none of these parts of a refusal, each with the answer after
  /// it, refuses the request.
  auto expect_parts_without_effect(const std::string& refusal, std::size_t from,
                                   std::size_t to) -> void {
    std::string refused;
    for (auto size = from; size < to; ++size) {
      const auto part = refusal.substr(0, size);
      const auto status = call("/plain/", {{part + whole}});
      if (status == 503 || endpoint_->received.size() > 1)
        refused += std::to_string(status) + " of " +
                   std::to_string(endpoint_->received.size()) +
                   " endpoints after [" + part + "]\n";
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), refused);
  }

 public:
  auto cut_status_line_before_an_answer_refuses_the_request() -> void {
    const auto refusal = refusals("r0").at(1);
    expect_parts_without_effect(refusal, 1, refusal.find('\n') + 1);
  }

  auto cut_field_before_an_answer_refuses_the_request() -> void {
    for (const auto& refusal :
         {refusals("r0").at(1), refusals("").at(1),
          std::string("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                      "Request-Id: r0\r\n") +
              no_body})
      expect_parts_without_effect(refusal, refusal.find('\n') + 1,
                                  refusal.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cut_refusal_test);

}  // namespace pollenloft::test
