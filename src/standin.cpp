/// pollenloft-standin: simulates a fleet of model engines and plain services
/// for tests, the demo and benchmarks. The address --admin serves:
/// `POST /fault {"endpoint": "runner-01", "fault": "crash", "factor": 1}`,
/// which injects a fault; `GET /ledger`, which returns the counts of what ran.
#include <signal.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "pollenloft/settings.hpp"
#include "pollenloft/telemetry.hpp"
#include "standin_engine.hpp"

namespace pollenloft::standin {
namespace {

using json = nlohmann::json;

/// Time for open responses to be completed at a stop.
constexpr auto stop_timeout = std::chrono::seconds(5);

const std::vector<setting> known_settings{
    {"fleet", "kincsnaplo", one_of{{"kincsnaplo", "juuksuriaeg"}},
     "deployment to simulate"},
    {"entries", "", named_address_list{}, "entry VMs behind the balancer"},
    {"admin", "127.0.2.1:9000", required_address{},
     "address of /fault and /ledger; engines listen on the ports after it"},
    {"seed", "1", number_range{1, INT64_MAX}, "random seed"},
    {"show", "none", one_of{{"none", "patch", "bound"}},
     "print the fleet's configuration patch or throughput bound and exit"},
    {"log-level", "info", one_of{{"debug", "info", "warning", "error"}},
     "minimum level to log"}};

/// The engines of a fleet and the HTTP server that controls them.
class standin_server {
 public:
  standin_server(event_loop& loop, fleet layout, const settings& values)
      : client_(loop),
        layout_(std::move(layout)),
        context_{
            loop,
            client_,
            {},
            layout_,
            ledger_,
            random_source(static_cast<std::uint64_t>(values.number("seed"))),
            {}},
        admin_(loop, http_limits{},
               [this](const exchange_ptr& call) { handle_request(call); }),
        address_(values.address("admin")) {
    for (const auto& [id, address] : values.named_addresses("entries"))
      context_.entries.push_back(address);
  }

  auto start() -> std::optional<bool> {
    if (!admin_.listen(address_)) return std::nullopt;
    auto engine_address = address_;
    const auto add_engine = [&](const auto& spec) -> bool {
      ++engine_address.port;
      engines_.push_back(
          std::make_unique<engine>(context_, spec, engine_address));
      context_.engines[spec.id] = engines_.back().get();
      return engines_.back()->start().has_value();
    };
    for (const auto& spec : layout_.runners)
      if (!add_engine(spec)) return std::nullopt;
    for (const auto& spec : layout_.plain_endpoints)
      if (!add_engine(spec)) return std::nullopt;
    return true;
  }

 private:
  auto handle_request(const exchange_ptr& call) -> void {
    if (call->request().path == "/ledger") return reply_ledger(call);
    if (call->request().path != "/fault")
      return call->reply(404, {}, "no such resource\n");
    const auto body = json::parse(call->request().body, nullptr, false);
    const auto found = body.is_object()
                           ? context_.engines.find(body.value("endpoint", ""))
                           : context_.engines.end();
    const auto injected =
        found != context_.engines.end() &&
        found->second->inject_fault(body.value("fault", ""),
                                    body.value("factor", 1.0));
    call->reply(injected ? 200 : 400, {}, injected ? "ok\n" : "unknown\n");
  }

  auto reply_ledger(const exchange_ptr& call) -> void {
    const json body{{"plain", ledger_.plain_runs},
                    {"model", ledger_.model_runs},
                    {"arrivals", ledger_.arrivals},
                    {"tokens", ledger_.tokens},
                    {"after_leave", ledger_.after_leave}};
    call->reply(200, {}, body.dump());
  }

  http_client client_;
  fleet layout_;
  run_ledger ledger_;
  engine_context context_;
  http_server admin_;
  socket_address address_;
  std::vector<std::unique_ptr<engine>> engines_;
};

auto run(int argc, char** argv) -> int {
  auto parsed = parse_settings("pollenloft-standin [settings]", known_settings,
                               argc, argv);
  if (auto* code = std::get_if<int>(&parsed)) return *code;
  const auto& values = std::get<settings>(parsed);
  auto layout = make_fleet(values.text("fleet"));
  if (values.text("show") == "patch") {
    std::cout << fleet_patch(*layout) << "\n";
    return 0;
  }
  if (values.text("show") == "bound") {
    std::cout << "tokens_per_second=" << throughput_bound(*layout) << "\n";
    return 0;
  }
  if (values.named_addresses("entries").empty()) {
    std::cerr << "setting=entries value=\"\" allowed=\"at least one entry\"\n";
    return 2;
  }
  start_logging("standin", values.text("log-level"));
  event_loop loop;
  standin_server server(loop, std::move(*layout), values);
  if (!server.start()) {
    log_failure("start.failed", last_error());
    return 1;
  }
  const auto shut_down = [&loop] { loop.finish(stop_timeout); };
  const auto terminate = loop.on_signal(SIGTERM, shut_down);
  const auto interrupt = loop.on_signal(SIGINT, shut_down);
  loop.run();
  return 0;
}

}  // namespace
}  // namespace pollenloft::standin

auto main(int argc, char** argv) -> int {
  return pollenloft::standin::run(argc, argv);
}
