#include "front_request_fixture.hpp"
#include "raw_endpoint.hpp"

namespace pollenloft::test {

using namespace front_requests;  // NOLINT

/// A stream that loses its second stage while its first one stops within the
/// answer to the new chain.
class cut_chain_update_test : public fixture {
  CPPUNIT_TEST_SUITE(cut_chain_update_test);
  CPPUNIT_TEST(cut_answer_to_a_chain_update_counts);
  CPPUNIT_TEST(connection_for_a_chain_update_is_kept);
  CPPUNIT_TEST_SUITE_END();

  const std::string accepted_ =
      "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  std::unique_ptr<raw::raw_endpoint> head_;

  auto lose_second_stage() -> void {
    host_->routes().remove("e2");
    add_crashed_stage("e3");
    for (const auto* id : {"e4", "e5"})
      host_->routes().upsert({id, "1", endpoint_address, "", "z", "app", 0, 2});
    host_->request->handle_endpoint_failure("e2");
  }

  /// The head of the chain of e1 and e2 answers the update with these bytes; e4
  /// and e5 can take the whole request.
  auto run(const std::string& update, raw::ending end) -> void {
    tearDown();
    setUp();
    const auto script = std::make_shared<raw::raw_script>();
    script->request_end = "\r\n\r\n";
    head_ =
        std::make_unique<raw::raw_endpoint>(loop_, endpoint_address, script);
    head_->responses = {
        {raw::chunked_head + raw::chunk(event(1)), raw::ending::none},
        {update, end},
        {raw::chunked_head + raw::chunk(event(2)) + "0\r\n\r\n"}};
    make_chain_with_crashed_stage();
    route_.timeout = milliseconds(1000);
    const auto loss =
        loop_.after(milliseconds(50), [this] { lose_second_stage(); });
    send_request();
  }

 public:
  auto setUp() -> void override {
    fixture::setUp();
    endpoint_.reset();
  }
  auto tearDown() -> void override {
    head_.reset();
    fixture::tearDown();
  }

  auto cut_answer_to_a_chain_update_counts() -> void {
    for (const auto end : {raw::ending::closed, raw::ending::reset})
      for (std::size_t size = 0; size < accepted_.size(); ++size) {
        const auto part = accepted_.substr(0, size);
        run(part, end);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(part, std::size_t{3},
                                     head_->received.size());
        CPPUNIT_ASSERT_MESSAGE(part, completed());
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), body_);
      }
    run(accepted_, raw::ending::closed);
    CPPUNIT_ASSERT(head_->received.at(1).rfind("POST /order", 0) == 0);
  }

  auto connection_for_a_chain_update_is_kept() -> void {
    run(accepted_, raw::ending::none);
    CPPUNIT_ASSERT(head_->received.at(1).find("Connection: close\r\n") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cut_chain_update_test);

}  // namespace pollenloft::test
