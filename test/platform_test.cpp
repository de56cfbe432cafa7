#include "platform/platform.hpp"

#include <nlohmann/json.hpp>

#include "pollenloft/control.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

using json = nlohmann::json;

auto document() -> json {
  return json::parse(R"({
    "Version": 7,
    "Routes": [
      {"Name": "chat", "Hostname": "h", "PathPrefix": "/chat/",
       "Type": "streaming", "TimeoutMs": 20000, "SloMs": 500, "Priority": 1,
       "Split": [{"Backend": "llm", "Weight": 90},
                 {"Backend": "app", "Weight": 10}],
       "Attempts": 2, "Public": false, "Resumable": true, "EventGapMs": 200},
      {"Name": "page", "Hostname": "h", "PathPrefix": "/page/",
       "Type": "non_idempotent", "TimeoutMs": 1200, "Backend": "app"}],
    "Services": [
      {"Name": "app", "MaxConns": 50},
      {"Name": "llm", "Engine": {"Layers": 80, "LayerMb": 1750.0,
       "KvBytes": 590000, "Models": [{"Name": "m", "LoadS": 14.0}],
       "Kinds": [{"Name": "l4", "SizeMb": 21600.0, "pace": 16.0,
                  "ReadFactor": 8.2}]}}],
    "Limits": {"MaxHeaderBytes": 16384},
    "Tenants": [{"Name": "salon", "ApiKeys": ["k1", "k2"], "Priority": 0}]})");
}

auto decoded(const json& body)
    -> std::variant<ingress_config, std::vector<validation_error>> {
  return platform::decode_document(body.dump());
}

auto is_valid(const json& body) -> bool {
  return std::holds_alternative<ingress_config>(decoded(body));
}

auto report() -> json {
  return json::parse(R"({
    "Backend": "llm", "Address": "10.0.0.9:8080", "Zone": "z", "Slots": 192,
    "State": "ready", "Seq": 4, "Type": "l4", "born": 1771814125183,
    "Layers": {"From": 3, "To": 9, "Version": 1}})");
}

auto decoded_report(const json& body) -> std::optional<wire::endpoint_record> {
  return platform::decode_report("i-1", body.dump());
}

auto make_request(const std::string& method, const std::string& path)
    -> http_request {
  http_request request;
  request.method = method;
  request.path = path;
  request.target = path;
  return request;
}

}  // namespace

class platform_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(platform_test);
  CPPUNIT_TEST(document_becomes_routes_services_and_accounts);
  CPPUNIT_TEST(invalid_documents_are_rejected);
  CPPUNIT_TEST(all_validation_errors_are_returned);
  CPPUNIT_TEST(account_may_list_a_key_twice);
  CPPUNIT_TEST(report_becomes_a_record);
  CPPUNIT_TEST(invalid_reports_are_rejected);
  CPPUNIT_TEST(incarnations_are_ordered_by_start_time);
  CPPUNIT_TEST(control_calls_are_decoded);
  CPPUNIT_TEST(dispatch_forwards_caller_headers);
  CPPUNIT_TEST(callers_cannot_set_reserved_headers);
  CPPUNIT_TEST(response_loses_only_hop_by_hop_headers);
  CPPUNIT_TEST(not_run_needs_a_guarantee);
  CPPUNIT_TEST(event_ids_are_parsed);
  CPPUNIT_TEST(runner_state_is_decoded);
  CPPUNIT_TEST(fuzz_corrupted_input);
  CPPUNIT_TEST(last_prompt_part_counts_as_shared);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto document_becomes_routes_services_and_accounts() -> void {
    const auto config = std::get<ingress_config>(decoded(document()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, config.number);
    const auto& chat = config.routes.at(0);
    CPPUNIT_ASSERT(chat.kind == request_kind::stream && chat.resumable);
    CPPUNIT_ASSERT(chat.timeout == milliseconds(20000));
    CPPUNIT_ASSERT(chat.latency_objective == milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chat.max_attempts);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chat.weighted_services.size());
    const auto& engine = *config.services.at("llm").engine;
    CPPUNIT_ASSERT_EQUAL(16.0, engine.accelerators.at("l4").step_factor);
    CPPUNIT_ASSERT(engine.load_time == std::chrono::seconds(14));
    CPPUNIT_ASSERT(!config.services.at("app").engine);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, config.account_by_key.at("k2"));
    CPPUNIT_ASSERT_EQUAL(0, *config.accounts.at(0).priority);
  }

  auto invalid_documents_are_rejected() -> void {
    CPPUNIT_ASSERT(is_valid(document()));
    const auto is_rejected = [](auto change) {
      auto body = document();
      change(body);
      return !is_valid(body);
    };
    CPPUNIT_ASSERT(is_rejected([](auto& d) { d.erase("Version"); }));
    CPPUNIT_ASSERT(is_rejected([](auto& d) { d["Version"] = "7"; }));
    CPPUNIT_ASSERT(
        is_rejected([](auto& d) { d["Routes"][1]["Backend"] = "x"; }));
    CPPUNIT_ASSERT(
        is_rejected([](auto& d) { d["Routes"][1]["PathPrefix"] = "/chat/"; }));
    CPPUNIT_ASSERT(is_rejected([](auto& d) {
      for (auto& part : d["Routes"][0]["Split"])
        part["Weight"] = 0;
    }));
    CPPUNIT_ASSERT(
        is_rejected([](auto& d) { d["Routes"][1]["TimeoutMs"] = 0; }));
    CPPUNIT_ASSERT(is_rejected([](auto& d) {
      d["Tenants"].push_back({{"Name", "b"}, {"ApiKeys", {"k2"}}});
    }));
    const auto text = document().dump();
    CPPUNIT_ASSERT(std::holds_alternative<std::vector<validation_error>>(
        platform::decode_document(text.substr(0, text.size() - 9))));
    CPPUNIT_ASSERT(std::holds_alternative<std::vector<validation_error>>(
        platform::decode_document("")));
  }

  auto all_validation_errors_are_returned() -> void {
    auto body = document();
    body["Routes"][0]["TimeoutMs"] = 0;
    body["Routes"][1]["Backend"] = "x";
    const auto faults = std::get<std::vector<validation_error>>(decoded(body));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, faults.size());
  }

  auto account_may_list_a_key_twice() -> void {
    auto body = document();
    body["Tenants"][0]["ApiKeys"].push_back("k1");
    CPPUNIT_ASSERT(is_valid(body));
  }

  auto report_becomes_a_record() -> void {
    const auto record = decoded_report(report());
    CPPUNIT_ASSERT(record.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("llm"), record->pipeline);
    CPPUNIT_ASSERT_EQUAL(3, record->first_layer);
    CPPUNIT_ASSERT_EQUAL(9, record->last_layer);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, record->report);
    auto plain = report();
    plain.erase("Type");
    plain.erase("Layers");
    CPPUNIT_ASSERT_EQUAL(1, decoded_report(plain)->last_layer);
    auto without_start = report();
    without_start.erase("born");
    CPPUNIT_ASSERT(decoded_report(without_start)->incarnation <
                   decoded_report(report())->incarnation);
  }

  auto invalid_reports_are_rejected() -> void {
    for (const auto* name :
         {"Backend", "Address", "Zone", "Slots", "State", "Seq"}) {
      auto body = report();
      body.erase(name);
      CPPUNIT_ASSERT_MESSAGE(name, !decoded_report(body));
      body[name] = json::array();
      CPPUNIT_ASSERT_MESSAGE(name, !decoded_report(body));
    }
    auto body = report();
    body["State"] = "dreaming";
    CPPUNIT_ASSERT(!decoded_report(body));
    body = report();
    body["born"] = 1.5;
    CPPUNIT_ASSERT(!decoded_report(body));
    body = report();
    body["Address"] = "nowhere";
    CPPUNIT_ASSERT(!decoded_report(body));
    body = report();
    body["Layers"] = {{"From", 9}, {"To", 3}};
    CPPUNIT_ASSERT(!decoded_report(body));
    CPPUNIT_ASSERT(!platform::decode_report("i-1", "\xff{"));
  }

  auto incarnations_are_ordered_by_start_time() -> void {
    auto early = report();
    early["born"] = 999;
    CPPUNIT_ASSERT(decoded_report(early)->incarnation <
                   decoded_report(report())->incarnation);
  }

  auto control_calls_are_decoded() -> void {
    using namespace platform;
    const auto read = [](const char* method, const char* path) {
      return decode_control_call(make_request(method, path));
    };
    CPPUNIT_ASSERT(
        std::holds_alternative<replace_document>(read("PUT", "/config")));
    CPPUNIT_ASSERT(
        std::holds_alternative<read_document>(read("GET", "/config")));
    CPPUNIT_ASSERT_EQUAL(
        std::string("i-1"),
        std::get<endpoint_report>(read("PUT", "/instances/i-1")).id);
    CPPUNIT_ASSERT_EQUAL(
        std::string("i-1"),
        std::get<endpoint_leave>(read("DELETE", "/instances/i-1")).id);
    CPPUNIT_ASSERT(
        std::holds_alternative<unknown_call>(read("PUT", "/instances/")));
    CPPUNIT_ASSERT(
        std::holds_alternative<unknown_call>(read("POST", "/config")));
  }

  static auto caller() -> http_headers {
    http_headers headers;
    headers.add("Host", "h").add("Request-Id", "r1").add("Api-Key", "k1");
    headers.add("Token-Usage", "760,160").add("Prefix-Hash", "5c:40");
    headers.add("Deadline-Ms", "20000").add("Connection", "keep-alive, X-Hop");
    headers.add("X-Hop", "1").add("X-Own", "kept").add("Tenant", "forged");
    headers.add("Hops", "forged").add("Expect-Instance", "forged");
    headers.add("Content-Length", "5").add("Transfer-Encoding", "chunked");
    return headers;
  }

  auto dispatch_forwards_caller_headers() -> void {
    const auto read = platform::decode_caller_headers(caller());
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), read.request_id);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{760}, read.prompt_tokens);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{160}, read.max_output_tokens);
    CPPUNIT_ASSERT(read.deadline == milliseconds(20000));
    platform::dispatch_headers own;
    own.deadline = milliseconds(1500);
    own.endpoint_id = "i-1";
    own.account = "salon";
    own.last_event_id = 12;
    const auto sent = platform::encode_dispatch(caller(), own);
    CPPUNIT_ASSERT(sent.find("Host") == "h");
    CPPUNIT_ASSERT(sent.find("Request-Id") == "r1");
    CPPUNIT_ASSERT(sent.find("Prefix-Hash") == "5c:40");
    CPPUNIT_ASSERT(sent.find("X-Own") == "kept");
    CPPUNIT_ASSERT(sent.find("Deadline-Ms") == "1500");
    CPPUNIT_ASSERT(sent.find("Last-Event-Id") == "12");
    CPPUNIT_ASSERT(!sent.find("X-Hop"));
    CPPUNIT_ASSERT(!sent.find("Content-Length"));
    CPPUNIT_ASSERT(!sent.find("Transfer-Encoding"));
  }

  auto callers_cannot_set_reserved_headers() -> void {
    platform::dispatch_headers own;
    own.endpoint_id = "i-1";
    const auto sent = platform::encode_dispatch(caller(), own);
    CPPUNIT_ASSERT(!sent.find("Api-Key"));
    CPPUNIT_ASSERT(!sent.find("Tenant"));
    CPPUNIT_ASSERT(!sent.find("Hops"));
    CPPUNIT_ASSERT(sent.find("Expect-Instance") == "i-1");
  }

  auto response_loses_only_hop_by_hop_headers() -> void {
    http_headers from;
    from.add("Server-Seal", "s").add("Request-Id", "r1");
    from.add("Connection", "close").add("Keep-Alive", "timeout=5");
    from.add("Content-Length", "3").add("Content-Type", "text/plain");
    const auto kept = platform::encode_response_headers(from);
    CPPUNIT_ASSERT(kept.find("Server-Seal") == "s");
    CPPUNIT_ASSERT(kept.find("Content-Type") == "text/plain");
    CPPUNIT_ASSERT(!kept.find("Connection"));
    CPPUNIT_ASSERT(!kept.find("Keep-Alive"));
  }

  auto not_run_needs_a_guarantee() -> void {
    http_headers none;
    http_headers guarantee;
    guarantee.add("Not-Executed", "1").add("At-Server", "10.0.0.9:8080");
    CPPUNIT_ASSERT(!platform::decode_response_head(503, none).not_run);
    CPPUNIT_ASSERT(!platform::decode_response_head(500, none).not_run);
    CPPUNIT_ASSERT(platform::decode_response_head(421, none).not_run);
    const auto head = platform::decode_response_head(503, guarantee);
    CPPUNIT_ASSERT(head.not_run);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:8080"), head.failed_address);
  }

  auto event_ids_are_parsed() -> void {
    CPPUNIT_ASSERT(platform::parse_event_id("id: 7\ndata: x\n\n") == 7);
    CPPUNIT_ASSERT(platform::parse_event_id("weight-versions: 2\nid:8\n\n") ==
                   8);
    CPPUNIT_ASSERT(platform::parse_event_id("id: 9\r\ndata: x\n\n") == 9);
    CPPUNIT_ASSERT(!platform::parse_event_id("data: id: 7\n\n"));
    CPPUNIT_ASSERT(!platform::parse_event_id(""));
  }

  auto runner_state_is_decoded() -> void {
    const auto state = platform::decode_runner_state(
        R"({"Busy":false,"Seq":2,"Active":12,"KvUsed":41,"KvTotal":90,
            "Layers":{"From":1,"To":4},"pace":2.5,
            "Stalled":[{"Id":"r1","Address":"10.0.0.9:8080"}]})");
    CPPUNIT_ASSERT(state.has_value());
    CPPUNIT_ASSERT_EQUAL(4, state->last_layer);
    CPPUNIT_ASSERT_EQUAL(2.5, state->slowdown);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:8080"),
                         state->stalled_peers.at(0));
    CPPUNIT_ASSERT(!platform::decode_runner_state(R"({"Busy":1,"Seq":2})"));
    CPPUNIT_ASSERT(!platform::decode_runner_state("[]"));
  }

  /// Documents and reports with changed, removed or repeated bytes never crash
  /// a decoder, and whatever is accepted satisfies the rules of valid input.
  auto fuzz_corrupted_input() -> void {
    check_property("corrupted input is rejected or valid", [] {
      const auto codes = *step_codes();
      for (std::size_t i = 0; i + 2 < codes.size(); i += 3) {
        auto text = (codes[i] % 2 == 0 ? document() : report()).dump();
        const auto position = codes[i + 1] % text.size();
        switch (codes[i] / 2 % 3) {
          case 0:
            text[position] = static_cast<char>(codes[i + 2]);
            break;
          case 1:
            text.erase(position, codes[i + 2] % 20);
            break;
          default:
            text.insert(position, text.substr(0, codes[i + 2] % 20));
        }
        const auto config = platform::decode_document(text);
        if (const auto* valid = std::get_if<ingress_config>(&config))
          for (const auto& route : valid->routes)
            RC_ASSERT(route.timeout > milliseconds(0) &&
                      !route.weighted_services.empty());
        if (const auto record = platform::decode_report("i", text))
          RC_ASSERT(record->slots > 0 &&
                    record->last_layer >= record->first_layer);
        platform::decode_runner_state(text);
        platform::parse_event_id(text);
      }
    });
  }

  auto last_prompt_part_counts_as_shared() -> void {
    const auto parts_of = [](const std::string& list) {
      http_headers headers;
      headers.add("Prefix-Hash", list);
      return platform::decode_caller_headers(headers).prompt_parts;
    };
    using list = std::vector<std::string>;
    CPPUNIT_ASSERT((list{"5c1e", "91bd"}) ==
                   parts_of("5c1e:800, 91bd:410,e440:250"));
    CPPUNIT_ASSERT(list{} == parts_of("5c1e:800"));
    CPPUNIT_ASSERT(list{} == parts_of(""));
    CPPUNIT_ASSERT((list{"a", "b"}) == parts_of("a,b:x,c"));
    std::string many;
    for (int i = 0; i < 100; ++i)
      many += std::to_string(i) + ":1,";
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, parts_of(many).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_test);

}  // namespace pollenloft::test
