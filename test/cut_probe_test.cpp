#include "fake_runner.hpp"
#include "raw_endpoint.hpp"

namespace pollenloft::test {

using raw::chunk;
using raw::ending;
using raw::raw_endpoint;
using raw::raw_response;

namespace {

using json = nlohmann::json;

auto report(layer_range held) -> std::string {
  return json{{"Busy", false},
              {"Seq", 0},
              {"Layers", {{"From", held.from}, {"To", held.to}}}}
      .dump();
}

auto with_length(const std::string& status, const std::string& body)
    -> std::string {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

auto is_probe(const std::string& request) -> bool {
  return request.rfind("GET /report", 0) == 0;
}

}  // namespace

/// A leader before runners that stop within their answers.
class cut_probe_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(cut_probe_test);
  CPPUNIT_TEST(cut_answer_to_a_probe_counts);
  CPPUNIT_TEST(cut_head_with_a_pause_counts);
  CPPUNIT_TEST(cut_answer_to_an_assignment_fences_the_leader);
  CPPUNIT_TEST(answer_to_an_earlier_assignment_fences_the_leader);
  CPPUNIT_TEST(connection_to_a_runner_is_kept);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<endpoint_directory> directory_;
  std::unique_ptr<layer_placer> placer_;
  std::shared_ptr<raw::raw_script> script_;
  std::vector<std::unique_ptr<raw_endpoint>> runners_;

 public:
  auto setUp() -> void override { start({}); }
  auto tearDown() -> void override {
    runners_.clear();
    placer_.reset();
    directory_.reset();
    client_.reset();
  }

  static auto name(std::size_t number) -> std::string {
    return "r" + std::to_string(number);
  }

  /// Starts a leader, and a runner for each response.
  auto start(std::vector<raw_response> responses) -> void {
    tearDown();
    client_ = std::make_unique<http_client>(loop_);
    directory_ = std::make_unique<endpoint_directory>();
    placer_ = std::make_unique<layer_placer>(loop_, *client_, *directory_,
                                             milliseconds(20));
    placer_->start_term(3);
    script_ = std::make_shared<raw::raw_script>();
    script_->request_end = "\r\n\r\n";
    for (std::size_t i = 0; i < responses.size(); ++i) {
      const socket_address address{"127.0.9.80",
                                   static_cast<std::uint16_t>(18610 + i)};
      runners_.push_back(
          std::make_unique<raw_endpoint>(loop_, address, script_));
      wire::endpoint_record record;
      record.id = name(i);
      record.incarnation = "1";
      record.address = address.text();
      record.kind = "k";
      record.zone = "z";
      record.pipeline = "llm";
      record.first_layer = 1;
      record.last_layer = 2;
      record.slots = 8;
      directory_->merge({record});
    }
    script_->responses = std::move(responses);
  }

  auto wait(duration time) -> void {
    const auto end = loop_.after(time, [this] { loop_.stop(); });
    loop_.run();
  }

  /// Lets the leader decide as it will after `ahead`.
  auto tick_at(duration ahead, duration time = milliseconds(30)) -> void {
    placer_->tick(config(), boottime_clock::now() + ahead);
    wait(time);
  }

  auto count_probes() const -> std::ptrdiff_t {
    return std::count_if(script_->received.begin(), script_->received.end(),
                         is_probe);
  }

  static auto parts_of(const std::string& answer) -> std::vector<raw_response> {
    std::vector<raw_response> parts;
    for (std::size_t size = 0; size < answer.size(); ++size)
      for (const auto end : {ending::closed, ending::reset})
        parts.push_back({answer.substr(0, size), end});
    return parts;
  }

  auto expect_layers(std::int32_t first, std::int32_t last) -> void {
    for (std::size_t i = 0; i < runners_.size(); ++i) {
      const auto& record = directory_->records().at(name(i));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name(i), first, record.first_layer);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name(i), last, record.last_layer);
    }
  }

  auto cut_answer_to_a_probe_counts() -> void {
    const auto body = report({0, 4});
    for (const auto& answer :
         {with_length("200 OK", body),
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              chunk(body) + "0\r\n\r\n",
          "HTTP/1.1 200 OK\r\n\r\n" + body}) {
      start(parts_of(answer));
      tick_at({}, milliseconds(200));
      CPPUNIT_ASSERT_EQUAL(runners_.size(), script_->received.size());
      expect_layers(1, 2);
      start({{answer}});
      tick_at({}, milliseconds(100));
      expect_layers(0, 4);
    }
  }

  auto cut_head_with_a_pause_counts() -> void {
    start(parts_of(
        "HTTP/1.1 503 Full\r\nRetry-After: 300\r\nServer-Leaving: 1\r\n\r\n"));
    tick_at({}, milliseconds(200));
    const auto first = script_->received.size();
    CPPUNIT_ASSERT_EQUAL(runners_.size(), first);
    tick_at(std::chrono::seconds(1), milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(2 * runners_.size(), script_->received.size());
    for (const auto& [id, record] : directory_->records())
      CPPUNIT_ASSERT(record.state ==
                     static_cast<std::int8_t>(endpoint_state::up));
  }

  /// Returns how often the runner is probed after its answer to an assignment.
  auto probes_after_assignment(const raw_response& answer) -> std::ptrdiff_t {
    std::vector<raw_response> one{
        {"", ending::closed, {}, {}, {}, [answer](const auto& request) {
           return is_probe(request) ? with_length("200 OK", report({}))
                                    : answer.bytes;
         }}};
    start(std::move(one));
    tick_at({});
    tick_at(std::chrono::seconds(3));
    const auto before = count_probes();
    CPPUNIT_ASSERT(static_cast<std::size_t>(before) < script_->received.size());
    tick_at(std::chrono::seconds(5));
    return count_probes() - before;
  }

  auto cut_answer_to_an_assignment_fences_the_leader() -> void {
    for (const auto& answer :
         {with_length("412 Fenced", ""),
          std::string(
              "HTTP/1.1 412 Fenced\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\n\r\n")}) {
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0},
                           probes_after_assignment({answer}));
      for (std::size_t size = 0; size < answer.size(); ++size)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            answer.substr(0, size), std::ptrdiff_t{1},
            probes_after_assignment({answer.substr(0, size)}));
    }
  }

  auto answer_to_an_earlier_assignment_fences_the_leader() -> void {
    const auto fenced = with_length("412 Fenced", "");
    const auto accepted = with_length("202 Accepted", "");
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                         probes_after_assignment({accepted + fenced}));
  }

  auto connection_to_a_runner_is_kept() -> void {
    const auto accepted = with_length("202 Accepted", "");
    probes_after_assignment({accepted});
    for (const auto& request : script_->received)
      CPPUNIT_ASSERT_MESSAGE(
          request, request.find("Connection: close\r\n") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cut_probe_test);

}  // namespace pollenloft::test
