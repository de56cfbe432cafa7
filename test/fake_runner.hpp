/// \file fake_runner.hpp
/// A runner before the leader, and a document with its service.
#ifndef POLLENLOFT_TEST_FAKE_RUNNER_HPP
#define POLLENLOFT_TEST_FAKE_RUNNER_HPP

#include <nlohmann/json.hpp>

#include "layer_placer.hpp"
#include "property.hpp"

namespace pollenloft::test {

/// A runner that carries out each assignment at once.
class fake_runner {
 public:
  fake_runner(event_loop& loop, const std::string& host)
      : address_{host, 18090},
        server_(loop, http_limits{},
                [this](const exchange_ptr& call) { serve(call); }) {
    CPPUNIT_ASSERT(server_.listen(address_));
  }

  auto record(const std::string& id) const -> wire::endpoint_record {
    wire::endpoint_record record;
    record.id = id;
    record.incarnation = "1";
    record.address = address_.text();
    record.kind = "k";
    record.zone = "z";
    record.pipeline = "llm";
    record.slots = 8;
    return record;
  }

  layer_range held;
  std::int64_t sequence = 0;
  std::int64_t fenced_below = 0;
  std::vector<nlohmann::json> assignments;
  std::vector<std::string> stalled_peers;
  bool unresponsive = false;
  bool closes = false;  // each connection, without a response
  bool leaving = false;
  std::string pause;  // asked for in each response unless it is empty
  int calls = 0;
  std::vector<exchange_ptr> unanswered;

 private:
  auto serve(const exchange_ptr& call) -> void {
    if (unresponsive) return unanswered.push_back(call);
    ++calls;
    if (closes) return call->abort();
    http_headers headers;
    if (leaving) headers.add("Server-Leaving", "1");
    if (!pause.empty())
      return call->reply(503, headers.add("Retry-After", pause), "");
    if (call->request().path == "/report") {
      nlohmann::json body{{"Busy", false},
                          {"Seq", sequence},
                          {"Layers", {{"From", held.from}, {"To", held.to}}},
                          {"Stalled", nlohmann::json::array()}};
      for (const auto& address : stalled_peers)
        body["Stalled"].push_back({{"Id", "r"}, {"Address", address}});
      return call->reply(200, headers, body.dump());
    }
    const auto assignment = nlohmann::json::parse(call->request().body);
    assignments.push_back(assignment);
    if (assignment["FenceToken"] < fenced_below)
      return call->reply(412, {}, "");
    if (assignment["Expect"] != sequence) return call->reply(409, {}, "");
    held = {assignment["From"], assignment["To"]};
    ++sequence;
    call->reply(202, {}, "");
  }

  socket_address address_;
  http_server server_;
};

/// A document with one service whose model has four layers.
inline auto config() -> ingress_config {
  engine_profile engine;
  engine.layers = 4;
  engine.layer_mb = 100;
  engine.kv_bytes_per_token = 4000;
  engine.accelerators = {{"k", {1200, 1, 1}}};
  ingress_config document;
  document.services["llm"] = {"llm", engine};
  return document;
}

}  // namespace pollenloft::test

#endif
