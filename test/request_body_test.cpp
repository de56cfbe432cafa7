#include "raw_entry_fixture.hpp"

namespace pollenloft::test {

using namespace raw;  // NOLINT

/// Bodies of requests on their way to an endpoint.
class request_body_test : public entry_fixture {
  CPPUNIT_TEST_SUITE(request_body_test);
  CPPUNIT_TEST(body_of_any_method_loses_its_length);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto body_of_any_method_loses_its_length() -> void {
    for (const auto* path : {"/plain/", "/single/", "/resumable/", ""})
      for (const auto* method : {"POST", "PUT", "PATCH", "DELETE", "GET"}) {
        http_call request{*path == '\0' ? own_address : front_address, method,
                          *path == '\0' ? std::string("/services/app/x")
                                        : path + std::string("x")};
        request.headers.add("Host", "h").add("Request-Id", "r1");
        request.headers.add("Authorization", "Bearer t");
        request.body = "hello";
        request.headers.add("Content-Length",
                            std::to_string(request.body.size()));
        const auto message = method + std::string(" ") + path;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            message, 200,
            send(request, {{head + "Content-Length: 0\r\n\r\n"}}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{1},
                                     endpoint_->received.size());
        const auto& received = endpoint_->received.front();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{0},
                                     received.find(method));
        const auto field = received.find("\r\nContent-Length: 5\r\n");
        CPPUNIT_ASSERT_MESSAGE(message, field != received.npos);
        CPPUNIT_ASSERT_MESSAGE(
            message,
            received.find("Content-Length", field + 4) == received.npos);
        CPPUNIT_ASSERT_MESSAGE(
            message, received.find("\r\n\r\nhello") == received.size() - 9);
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_body_test);

}  // namespace pollenloft::test
