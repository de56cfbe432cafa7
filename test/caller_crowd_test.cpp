#include "caller_crowd.hpp"

namespace pollenloft::test::crowd {
namespace {

constexpr std::size_t max_body = 4 * 1024 * 1024;  // of the document
constexpr std::size_t part = 64 * 1024;
constexpr std::size_t callers = 40;
constexpr std::size_t endless_units = 1024;

auto head(const std::string& fields, const std::string& path = "/plain/x")
    -> std::string {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n" + fields;
}
auto chunked_head() -> std::string {
  return head("Transfer-Encoding: chunked\r\n\r\n");
}
auto chunk_of(std::size_t size) -> std::string {
  std::array<char, 17> digits{};
  const auto end = std::to_chars(digits.begin(), digits.end(), size, 16).ptr;
  return std::string(digits.begin(), end) + "\r\n" + std::string(size, 'x') +
         "\r\n";
}
auto repeated(const std::string& text, std::size_t count) -> std::string {
  std::string result;
  for (std::size_t i = 0; i < count; ++i)
    result += text;
  return result;
}

auto large_chunks() -> caller_plan {
  return {chunked_head(), chunk_of(part), max_body / part - 1,
          chunk_of(part - 1)};
}
auto small_chunks() -> caller_plan {
  constexpr std::size_t size = 16;
  return {chunked_head(), repeated(chunk_of(size), part / size),
          max_body / part - 1, repeated(chunk_of(size), part / size - 1)};
}
auto length_short() -> caller_plan {
  return {head("Content-Length: " + std::to_string(max_body) + "\r\n\r\n"),
          std::string(part, 'x'), max_body / part - 1,
          std::string(part - 1, 'x')};
}
auto over_the_limit() -> caller_plan {
  return {chunked_head(), chunk_of(part), endless_units};
}
auto over_the_limit_announced() -> caller_plan {
  return {head("Content-Length: 419430400\r\n\r\n"), std::string(part, 'x'),
          endless_units};
}
auto one_huge_chunk() -> caller_plan {
  return {chunked_head() + "19000000\r\n", std::string(part, 'x'),
          endless_units};
}
auto endless_fields() -> caller_plan {
  return {head(""), "A: " + std::string(1000, 'x') + "\r\n", endless_units};
}
auto endless_small_fields() -> caller_plan {
  return {head(""), repeated("a:\r\n", 256), endless_units};
}
auto endless_request_line() -> caller_plan {
  return {"POST /plain/", std::string(part, 'x'), endless_units};
}
auto endless_chunk_size() -> caller_plan {
  return {chunked_head(), std::string(part, '0'), endless_units};
}
auto endless_trailers() -> caller_plan {
  return {chunked_head() + "0\r\n", "A: " + std::string(1000, 'x') + "\r\n",
          endless_units};
}
auto empty_lines() -> caller_plan {
  return {"", repeated("\r\n", part / 2), endless_units};
}
auto slow_bytes() -> caller_plan {
  return {head("Content-Length: 1000\r\n\r\n"),
          "x",
          20,
          "",
          true,
          milliseconds(100)};
}
/// Each part of the body leaves its last byte to the next segment.
auto split_chunks() -> caller_plan {
  return {chunked_head(), "1\r\nx", 1, "\r\n1\r\n"};
}
auto unawaited_continue() -> caller_plan {
  return {head("Expect: 100-continue\r\nContent-Length: 4194304\r\n\r\n")};
}
auto pipelined() -> caller_plan {
  return {"", repeated(head("Content-Length: 5\r\n\r\nhello"), 500),
          endless_units, "", false};
}
auto unread_answers() -> caller_plan {
  return {head("Content-Length: 5\r\n\r\nhello", "/plain/large"), "", 0, "",
          false};
}

}  // namespace

/// Bodies that stop just short of their end, or exceed the limit.
class crowd_body_test : public entry_crowd_fixture {
  CPPUNIT_TEST_SUITE(crowd_body_test);
  CPPUNIT_TEST(large_chunks_short_of_the_end);
  CPPUNIT_TEST(small_chunks_short_of_the_end);
  CPPUNIT_TEST(length_short_of_the_end);
  CPPUNIT_TEST(chunks_over_the_limit);
  CPPUNIT_TEST(announced_over_the_limit);
  CPPUNIT_TEST(one_chunk_over_the_limit);
  CPPUNIT_TEST_SUITE_END();

  auto survives(const caller_plan& plan) -> void {
    caller_crowd crowd(*loop_);
    crowd.add(front_address, plan, callers);
    assert_survives(crowd, ordinary());
  }

 public:
  auto large_chunks_short_of_the_end() -> void { survives(large_chunks()); }
  auto small_chunks_short_of_the_end() -> void { survives(small_chunks()); }
  auto length_short_of_the_end() -> void { survives(length_short()); }
  auto chunks_over_the_limit() -> void { survives(over_the_limit()); }
  auto announced_over_the_limit() -> void {
    survives(over_the_limit_announced());
  }
  auto one_chunk_over_the_limit() -> void { survives(one_huge_chunk()); }
};

/// Heads, lines and trailers without an end.
class crowd_head_test : public entry_crowd_fixture {
  CPPUNIT_TEST_SUITE(crowd_head_test);
  CPPUNIT_TEST(fields_without_end);
  CPPUNIT_TEST(small_fields_without_end);
  CPPUNIT_TEST(request_line_without_end);
  CPPUNIT_TEST(chunk_size_without_end);
  CPPUNIT_TEST(trailers_without_end);
  CPPUNIT_TEST(empty_lines_without_end);
  CPPUNIT_TEST_SUITE_END();

  auto survives(const caller_plan& plan) -> void {
    caller_crowd crowd(*loop_);
    crowd.add(front_address, plan, callers);
    assert_survives(crowd, ordinary());
  }

 public:
  auto fields_without_end() -> void { survives(endless_fields()); }
  auto small_fields_without_end() -> void { survives(endless_small_fields()); }
  auto request_line_without_end() -> void { survives(endless_request_line()); }
  auto chunk_size_without_end() -> void { survives(endless_chunk_size()); }
  auto trailers_without_end() -> void { survives(endless_trailers()); }
  auto empty_lines_without_end() -> void { survives(empty_lines()); }
};

/// Connections that stay open and take nothing.
class crowd_idle_test : public entry_crowd_fixture {
  CPPUNIT_TEST_SUITE(crowd_idle_test);
  CPPUNIT_TEST(more_connections_than_descriptors);
  CPPUNIT_TEST(a_byte_now_and_then);
  CPPUNIT_TEST(a_continue_that_nobody_awaits);
  CPPUNIT_TEST(requests_without_end_on_one_connection);
  CPPUNIT_TEST(answers_that_nobody_reads);
  CPPUNIT_TEST_SUITE_END();

  auto survives(const caller_plan& plan, std::size_t count) -> void {
    caller_crowd crowd(*loop_);
    crowd.add(front_address, plan, count);
    assert_survives(crowd, ordinary());
  }

 public:
  auto more_connections_than_descriptors() -> void {
    survives({""}, 2 * machine_descriptors);
  }
  auto a_byte_now_and_then() -> void {
    survives(slow_bytes(), 2 * machine_descriptors);
  }
  auto a_continue_that_nobody_awaits() -> void {
    survives(unawaited_continue(), callers);
  }
  auto requests_without_end_on_one_connection() -> void {
    survives(pipelined(), 2);
  }
  auto answers_that_nobody_reads() -> void {
    const std::string large(max_body, 'x');
    endpoint_->responses = {
        {"", raw::ending::closed, "", {}, "", [large](const auto& request) {
           const auto body =
               request.find("/large") == std::string::npos ? "ok" : large;
           return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body;
         }}};
    survives(unread_answers(), callers);
  }
};

/// All forms at once, on each listener of an entry VM.
class crowd_mixed_test : public entry_crowd_fixture {
  CPPUNIT_TEST_SUITE(crowd_mixed_test);
  CPPUNIT_TEST(all_forms_on_the_front);
  CPPUNIT_TEST(all_forms_on_the_relay);
  CPPUNIT_TEST(all_forms_on_the_own_interface);
  CPPUNIT_TEST(all_forms_on_the_readiness_address);
  CPPUNIT_TEST(all_forms_on_the_metrics_address);
  CPPUNIT_TEST_SUITE_END();

  auto survives(const socket_address& listener) -> void {
    caller_crowd crowd(*loop_);
    for (const auto& plan :
         {large_chunks(), small_chunks(), length_short(), over_the_limit(),
          endless_fields(), endless_small_fields(), endless_chunk_size(),
          endless_trailers(), empty_lines(), slow_bytes(), split_chunks(),
          pipelined()})
      crowd.add(listener, plan, callers / 4);
    assert_survives(crowd, ordinary());
  }

 public:
  auto all_forms_on_the_front() -> void { survives(front_address); }
  auto all_forms_on_the_relay() -> void { survives(relay_address); }
  auto all_forms_on_the_own_interface() -> void { survives(own_address); }
  auto all_forms_on_the_readiness_address() -> void {
    survives(readiness_address);
  }
  auto all_forms_on_the_metrics_address() -> void { survives(metrics_address); }
};

/// The same on the interfaces of a control VM.
class crowd_control_test : public crowd_fixture {
  CPPUNIT_TEST_SUITE(crowd_control_test);
  CPPUNIT_TEST(bodies_on_the_operators_interface);
  CPPUNIT_TEST(bodies_between_processes);
  CPPUNIT_TEST(bodies_on_the_metrics_address);
  CPPUNIT_TEST(more_connections_than_descriptors);
  CPPUNIT_TEST_SUITE_END();

  const socket_address listen_{"127.0.9.71", 18511};
  const socket_address platform_{"127.0.9.71", 18512};
  const socket_address metrics_{"127.0.9.71", 18513};
  std::string data_;

  auto ordinary() const -> http_call { return {metrics_, "GET", "/metrics"}; }
  auto survives(const socket_address& listener, const caller_plan& plan,
                std::size_t count) -> void {
    caller_crowd crowd(*loop_);
    crowd.add(listener, plan, count);
    assert_survives(crowd, ordinary());
  }

 public:
  auto setUp() -> void override {
    crowd_fixture::setUp();
    data_ = "/tmp/pollenloft-crowd-" + std::to_string(getpid());
    std::filesystem::create_directories(data_);
    daemon_ = std::make_unique<daemon_process>(std::vector<std::string>{
        POLLENLOFT_CONTROLD, "--listen=" + listen_.text(),
        "--platform-listen=" + platform_.text(),
        "--metrics-listen=" + metrics_.text(), "--bootstrap=true",
        "--seeds=" + listen_.text(), "--data=" + data_, "--log-level=error"});
    CPPUNIT_ASSERT(served(ordinary(), 200));
  }
  auto tearDown() -> void override {
    crowd_fixture::tearDown();
    std::filesystem::remove_all(data_);
  }

  auto bodies_on_the_operators_interface() -> void {
    survives(platform_, large_chunks(), callers);
  }
  auto bodies_between_processes() -> void {
    survives(listen_, large_chunks(), 4 * callers);
  }
  auto bodies_on_the_metrics_address() -> void {
    survives(metrics_, length_short(), 4 * callers);
  }
  auto more_connections_than_descriptors() -> void {
    survives(platform_, {""}, 2 * machine_descriptors);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crowd_body_test);
CPPUNIT_TEST_SUITE_REGISTRATION(crowd_head_test);
CPPUNIT_TEST_SUITE_REGISTRATION(crowd_idle_test);
CPPUNIT_TEST_SUITE_REGISTRATION(crowd_mixed_test);
CPPUNIT_TEST_SUITE_REGISTRATION(crowd_control_test);

}  // namespace pollenloft::test::crowd
