#include "raw_entry_fixture.hpp"

namespace pollenloft::test {

using namespace raw;  // NOLINT

namespace {

constexpr auto model_configuration =
    R"({"version":1,"accounts":{"a":{"token":"t","weight":1}},"services":)"
    R"({"app":{"deadline_ms":3000,"kind":"model","model":"m","layers":1}}})";
const std::string last_chunk = "0\r\n\r\n";
const std::string text_error = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n";

/// Text of an answer, with `@` for the tag of the dispatch that it answers.
struct tagged {
  std::string head = chunked_head;
  std::vector<std::string> chunks{};
  std::string tail{};

  auto compose(const std::string& request) const -> std::string {
    const auto body = json::parse(request.substr(request.find("\r\n\r\n") + 4));
    const auto tag = body["request"].get<std::string>() + "/" +
                     std::to_string(body["attempt"].get<int>());
    auto text = head;
    for (auto each : chunks) {
      for (auto at = each.find('@'); at != std::string::npos;
           at = each.find('@'))
        each.replace(at, 1, tag);
      text += head == chunked_head ? chunk(each) : each;
    }
    return text + tail;
  }
};

auto answer(tagged text, ending end = ending::closed) -> raw_response {
  return {"", end, {}, {}, {}, [text = std::move(text)](const auto& request) {
            return text.compose(request);
          }};
}

/// The answer without its last `missing` bytes.
auto cut(tagged text, std::size_t missing, ending end) -> raw_response {
  return {"",
          end,
          {},
          {},
          {},
          [text = std::move(text), missing](const auto& request) {
            const auto bytes = text.compose(request);
            return bytes.substr(0,
                                bytes.size() - std::min(missing, bytes.size()));
          }};
}

const std::string token_0 = R"(data: {"r":"@","i":0,"t":"aa"})"
                            "\n\n";
const std::string token_1 = R"(data: {"r":"@","i":1,"t":"bb"})"
                            "\n\n";
const std::string end_of_two = R"(data: {"r":"@","n":2})"
                               "\n\n";

class model_fixture : public two_endpoint_fixture {
 public:
  auto setUp() -> void override {
    configuration_ = model_configuration;
    retry_slack_ = 20000;
    two_endpoint_fixture::setUp();
  }
};

}  // namespace

/// Answers of a model engine that are no stream, or one without its end.
class engine_stream_end_test : public model_fixture {
  CPPUNIT_TEST_SUITE(engine_stream_end_test);
  CPPUNIT_TEST(whole_stream_is_not_complete);
  CPPUNIT_TEST(error_after_a_broken_stream_completes_it);
  CPPUNIT_TEST(refusal_after_a_broken_stream_completes_it);
  CPPUNIT_TEST(text_after_a_broken_stream_reaches_the_caller);
  CPPUNIT_TEST(events_without_an_end_complete_the_stream);
  CPPUNIT_TEST(cut_answer_completes_the_stream);
  CPPUNIT_TEST(answer_without_length_completes_the_stream);
  CPPUNIT_TEST(error_event_ends_the_stream_as_complete);
  CPPUNIT_TEST_SUITE_END();

  auto complete(bool stream, std::vector<raw_response> responses) -> int {
    http_call request{own_address, "POST", "/v1/completions"};
    request.headers.add("Authorization", "Bearer t");
    request.body =
        json{{"model", "app"}, {"prompt", "hello"}, {"stream", stream}}.dump();
    return send(std::move(request), std::move(responses));
  }

  auto says_complete() const -> bool {
    for (const auto* mark : {"[DONE]", "stop", R"("completed")"})
      if (body_.find(mark) != std::string::npos) return true;
    return false;
  }

  static auto begun() -> raw_response {
    return answer({chunked_head, {token_0}});
  }

  /// Expects that these responses complete neither kind of request, and that
  /// no text of theirs reaches the caller.
  auto expect_failure(const std::string& what,
                      const std::vector<raw_response>& responses) -> void {
    complete(true, responses);
    CPPUNIT_ASSERT_MESSAGE(what + ": " + body_, !says_complete());
    CPPUNIT_ASSERT_MESSAGE(what + ": " + body_,
                           body_.find("oops") == std::string::npos);
    const auto status = complete(false, responses);
    CPPUNIT_ASSERT_MESSAGE(what + ": " + body_, status != 200);
    CPPUNIT_ASSERT_MESSAGE(what + ": " + body_, !says_complete());
    CPPUNIT_ASSERT_MESSAGE(what + ": " + body_,
                           body_.find("oops") == std::string::npos);
  }

  auto expect_failures(const std::vector<std::string>& answers) -> void {
    for (const auto& bytes : answers)
      for (const auto end : {ending::closed, ending::reset}) {
        expect_failure(bytes, {{bytes, end}});
        expect_failure("resumed by " + bytes, {begun(), {bytes, end}});
      }
  }

 public:
  auto whole_stream_is_not_complete() -> void {
    const auto rest =
        answer({chunked_head, {token_1 + end_of_two}, last_chunk});
    for (const auto& responses : std::vector<std::vector<raw_response>>{
             {answer(
                 {chunked_head, {token_0, token_1, end_of_two}, last_chunk})},
             {begun(), rest}}) {
      CPPUNIT_ASSERT_EQUAL(200, complete(true, responses));
      CPPUNIT_ASSERT(body_.find("data: [DONE]\n\n") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(200, complete(false, responses));
      CPPUNIT_ASSERT_EQUAL(
          std::string("aabb"),
          json::parse(body_)["choices"][0]["text"].get<std::string>());
    }
  }

  auto error_after_a_broken_stream_completes_it() -> void {
    expect_failures(
        {"HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\noops\n\n",
         "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 502 Failed\r\nTransfer-Encoding: chunked\r\n\r\n" +
             chunk("oops\n\n") + last_chunk,
         "HTTP/1.1 404 None\r\n\r\noops\n\n",
         "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 204 Empty\r\n\r\n", "HTTP/1.1 302 Other\r\n\r\n"});
  }

  auto refusal_after_a_broken_stream_completes_it() -> void {
    for (const auto* body : {R"({"error":"leaving","endpoint":"e1"})",
                             R"({"error":"full"})", "oops"})
      expect_failure(body, {begun(),
                            {"HTTP/1.1 503 Full\r\nEngine-Began: no\r\n"
                             "Content-Length: " +
                             std::to_string(std::string(body).size()) +
                             "\r\n\r\n" + body}});
  }

  auto text_after_a_broken_stream_reaches_the_caller() -> void {
    expect_failures(
        {text_error + "oops\n\n", "HTTP/1.1 200 OK\r\n\r\noops\n\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 200 OK\r\n\r\n", chunked_head + last_chunk,
         chunked_head + chunk("oops\n\n") + last_chunk,
         chunked_head + chunk("data: oops\n\n") + last_chunk,
         chunked_head + chunk("data: [DONE]\n\n") + last_chunk,
         chunked_head + chunk("HTTP/1.1 500 oops\r\n\r\n") + last_chunk,
         chunked_head + chunk(R"({"error":"oops"})") + last_chunk,
         chunked_head +
             chunk(R"(data: {"r":"other/1","n":1})"
                   "\n\n") +
             last_chunk,
         chunked_head +
             chunk(R"(data: {"n":1})"
                   "\n\n") +
             last_chunk});
  }

  auto events_without_an_end_complete_the_stream() -> void {
    for (const auto& chunks : std::vector<std::vector<std::string>>{
             {token_0},
             {token_0, token_1},
             {token_0, token_1, end_of_two.substr(0, end_of_two.size() - 1)},
             {token_0, token_1,
              R"(data: {"r":"@"})"
              "\n\n"},
             {token_0, token_1,
              R"(data: {"r":"@","n":"2"})"
              "\n\n"},
             {token_0, end_of_two},
             {token_1, end_of_two},
             {token_0, R"(data: {"r":"@","error":"oops","n":1})"
                       "\n\n"}})
      expect_failure(chunks.back(),
                     {answer({chunked_head, chunks, last_chunk})});
  }

  auto cut_answer_completes_the_stream() -> void {
    const tagged text{
        chunked_head, {token_0 + token_1 + end_of_two}, last_chunk};
    // The end event is whole without these.
    const auto after_events = last_chunk.size() + 2;
    constexpr std::size_t more_than_all = 300;
    for (auto missing = after_events + 1; missing < more_than_all; ++missing)
      for (const auto end : {ending::closed, ending::reset}) {
        complete(true, {cut(text, missing, end)});
        CPPUNIT_ASSERT_MESSAGE(std::to_string(missing) + body_,
                               !says_complete());
      }
  }

  auto answer_without_length_completes_the_stream() -> void {
    const auto open = "HTTP/1.1 200 OK\r\n\r\n";
    for (const auto end : {ending::closed, ending::reset, ending::crashed}) {
      expect_failure("without end", {answer({open, {token_0, token_1}}, end)});
      start_endpoints();
    }
  }

  /// The caller gets an error event in place of the end.
  auto error_event_ends_the_stream_as_complete() -> void {
    complete(true, {begun(), {"HTTP/1.1 500 Failed\r\n\r\n"}});
    CPPUNIT_ASSERT(body_.find("aa") != std::string::npos);
    CPPUNIT_ASSERT(body_.find(R"("error")") != std::string::npos);
    CPPUNIT_ASSERT(body_.find(R"("pollenloft_outcome":"unknown")") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!says_complete());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_stream_end_test);

/// Answers of a model engine with the status of a refusal that are none.
class unpromised_refusal_test : public model_fixture {
  CPPUNIT_TEST_SUITE(unpromised_refusal_test);
  CPPUNIT_TEST(unavailable_engine_that_promises_nothing_counts_as_refusing);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Without `Engine-Began: no` the request may have run.
  auto unavailable_engine_that_promises_nothing_counts_as_refusing() -> void {
    for (const auto* body : {"oops", R"({"error":"full","endpoint":"e1"})"}) {
      http_call request{own_address, "POST", "/v1/completions"};
      request.headers.add("Authorization", "Bearer t");
      request.headers.add("Pollenloft-Idempotent", "no");
      request.body = json{{"model", "app"}, {"prompt", "hello"}}.dump();
      const auto status = send(
          std::move(request),
          {{"HTTP/1.1 503 Full\r\nContent-Length: " +
            std::to_string(std::string(body).size()) + "\r\n\r\n" + body}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, std::size_t{1},
                                   endpoint_->received.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 502, status);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unpromised_refusal_test);

}  // namespace pollenloft::test
