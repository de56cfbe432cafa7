/// pollenloft-entryd: the server process of an entry VM, between callers and
/// endpoints. It keeps no durable state.
#include <signal.h>

#include <iostream>

#include "connection_monitor.hpp"
#include "entry_server.hpp"
#include "front_server.hpp"
#include "pollenloft/settings.hpp"

namespace pollenloft {
namespace {

const std::vector<setting> known_settings{
    {"vm", "", nonempty_text{}, "name of this VM"},
    {"zone", "", nonempty_text{}, "availability zone of this VM"},
    {"listen", "", required_address{}, "address to serve on"},
    {"control", "", named_address_list{},
     "control replicas, id=a.b.c.d:port,..."},
    {"seeds", "", socket_address_list{},
     "instead of --control: VMs whose control replicas listen on the port "
     "of --listen"},
    {"front", "", optional_address{}, "address of the platform's front"},
    {"readiness", "", optional_address{},
     "address that the platform's load balancer probes"},
    {"relay-listen", "", optional_address{},
     "address for requests that other entry VMs relay while they reach no "
     "endpoint; needs --front"},
    {"key-freshness-ms", "4000", number_range{100, 600000},
     "how long keys are accepted without contact to the control replicas; "
     "must be below the time within which a revoked key stops working"},
    {"document-apply-ms", "2000", decimal_range{100, 600000},
     "time within which an accepted document must be in force on every entry "
     "VM"},
    {"retry-percent", "20", number_range{0, 1000},
     "retries per hundred requests of a service"},
    {"retry-slack", "50", decimal_range{0, 1000000},
     "retries beyond that, over all VMs"},
    {"metrics-listen", "", optional_address{},
     "additional address that serves /metrics"},
    {"charts", "charts", nonempty_text{}, "directory of the state charts"},
    {"policy", "predicted",
     one_of{{"predicted", "least-outstanding", "round-robin"}},
     "how chains of endpoints are chosen"},
    {"weigh-work", "true", one_of{{"true", "false"}},
     "whether endpoints are compared by the predicted work of their requests, "
     "or by their number"},
    {"drain-notice-ms", "1000", number_range{0, 600000},
     "time between reporting not ready and refusing requests"},
    {"grace-ms", "30000", number_range{0, 3600000},
     "time for open requests to finish at shutdown"},
    {"memory-mb", "0", decimal_range{0, 1000000},
     "memory of this VM; limits what requests and unread responses may hold, "
     "0 if it is not known"},
    {"max-fds", "0", decimal_range{0, 10000000},
     "file descriptors of this process; callers' connections use up to half "
     "of them, 0 if they are not known"},
    {"queue", "2000", number_range{1, 1000000},
     "requests that may be queued for each service"},
    {"seed", "0", number_range{0, INT64_MAX},
     "random seed; 0 derives one from the clock"},
    {"endpoint-host", "", any_text{},
     "for checks only: host of forwarders that stand for the endpoints"},
    {"switch-off", "none",
     one_of{{"none", "lease", "claims", "resume", "tags", "blame", "drain"}},
     "for checks only: disables one mechanism, so that its check must fail"},
    {"log-level", "info", one_of{{"debug", "info", "warning", "error"}},
     "minimum level to log"}};

/// Part of each MB of memory that the responses of endpoints may hold.
constexpr double response_bytes_per_mb = 1024.0 * 1024 / 5;
/// For comparison: a chain of ten loaded stages has a cost of about 100 ms.
constexpr auto remote_zone_penalty = milliseconds(15);

auto control_replicas(const settings& values) -> std::vector<socket_address> {
  std::vector<socket_address> replicas;
  for (const auto& [id, address] : values.named_addresses("control"))
    replicas.push_back(address);
  const auto port = values.address("listen").port;
  for (const auto& seed : values.address_list("seeds"))
    replicas.push_back({seed.host, port});
  return replicas;
}

auto make_front_options(const settings& values, std::uint64_t seed)
    -> front_options {
  front_options options;
  options.listen = values.address("front");
  options.readiness = values.address("readiness");
  options.zone = values.text("zone");
  options.seed = seed;
  options.retry_ratio =
      static_cast<double>(values.number("retry-percent")) / 100;
  options.retry_slack = values.decimal("retry-slack");
  options.document_apply_time = values.millis("document-apply-ms");
  options.drain_notice = values.millis("drain-notice-ms");
  options.weighs_work = values.flag("weigh-work");
  options.relay_listen = parse_socket_address(values.text("relay-listen"));
  options.endpoint_host = values.text("endpoint-host");
  options.routing.zone = options.zone;
  options.routing.penalize_mismatch = false;
  options.routing.remote_zone_penalty = remote_zone_penalty;
  return options;
}

auto make_options(const settings& values) -> entry_options {
  entry_options options;
  options.vm = values.text("vm");
  options.zone = values.text("zone");
  options.listen = values.address("listen");
  options.control = control_replicas(values);
  options.endpoint_host = values.text("endpoint-host");
  options.relay_address = values.text("relay-listen");
  if (!options.relay_address.empty()) options.relay_key = make_relay_key();
  options.max_document_age = values.millis("key-freshness-ms");
  options.routing.policy = *parse_policy(values.text("policy"));
  options.drain_notice = values.millis("drain-notice-ms");
  options.grace = values.millis("grace-ms");
  options.max_queued = static_cast<std::size_t>(values.number("queue"));
  if (const auto memory_mb = values.decimal("memory-mb"); memory_mb > 0)
    options.max_response_bytes =
        std::min(options.max_response_bytes,
                 static_cast<std::size_t>(memory_mb * response_bytes_per_mb));
  options.seed = static_cast<std::uint64_t>(values.number("seed"));
  if (values.text("switch-off") != "none")
    options.disabled_mechanism = values.text("switch-off");
  if (options.seed == 0)
    options.seed =
        hash64(options.vm, static_cast<std::uint64_t>(wall_clock().count()));
  return options;
}

auto run(int argc, char** argv) -> int {
  auto parsed = parse_settings("pollenloft-entryd [settings]", known_settings,
                               argc, argv);
  if (auto* code = std::get_if<int>(&parsed)) return *code;
  const auto& values = std::get<settings>(parsed);
  if (control_replicas(values).empty()) {
    std::cerr << "setting=control value=\"\" allowed=\"at least one replica, "
                 "or --seeds\"\n";
    return 2;
  }
  if (values.text("front").empty() != values.text("readiness").empty()) {
    std::cerr << "setting=readiness value=\"" << values.text("readiness")
              << "\" allowed=\"an address if and only if --front has one\"\n";
    return 2;
  }
  start_logging("entryd-" + values.text("vm"), values.text("log-level"));
  auto request_chart = chart::load(values.text("charts") + "/request.json",
                                   request_chart_names());
  if (!request_chart) {
    log_failure("chart.invalid", last_error());
    return 1;
  }
  event_loop loop;
  loop.set_connection_limits(
      limits_of_machine(values.decimal("memory-mb"),
                        static_cast<std::size_t>(values.decimal("max-fds"))));
  const auto options = make_options(values);
  entry_server server(loop, options, std::move(*request_chart));
  std::optional<front_server> front;
  if (!values.text("front").empty()) {
    auto front_settings = make_front_options(values, options.seed);
    front_settings.relay_key = options.relay_key;
    front.emplace(loop, std::move(front_settings), server.client(),
                  server.control(), server.crashes(), server.request_chart(),
                  server.metrics_registry());
    server.set_other_open_requests([&front] { return front->open_requests(); });
    server.ending_open_requests.connect(
        [&front] { front->end_open_requests(); });
  }
  const connection_monitor connections(loop, server.metrics_registry());
  const auto metrics_address =
      parse_socket_address(values.text("metrics-listen"));
  http_server metrics_server(
      loop, http_limits{},
      [&server](const exchange_ptr& call) { server.show_metrics(call); });
  const auto listening =
      !metrics_address || metrics_server.listen(*metrics_address);
  if (!listening || (front && !front->start()) || !server.start()) {
    log_failure("start.failed", last_error());
    return 1;
  }
  log_event(log_level::info, "started", {{"listen", values.text("listen")}});
  const auto terminate = loop.on_signal(SIGTERM, [&] {
    if (front) front->drain();
    server.shut_down();
  });
  const auto interrupt = loop.on_signal(SIGINT, [&] {
    if (front) front->drain();
    server.shut_down_now();
  });
  settings_reloader reloader("pollenloft-entryd [settings]", known_settings,
                             argc, argv);
  const auto reload = [&] {
    if (const auto changed = reloader.reload_if_changed())
      server.control().add_replicas(control_replicas(*changed));
  };
  const auto hangup = loop.on_signal(SIGHUP, reload);
  const auto watch = loop.every(settings_poll_interval, reload);
  loop.run();
  const auto responses = loop.unfinished();
  log_event(log_level::info, "stopped",
            {{"open_responses", responses.open},
             {"unsent_responses", responses.unsent},
             {"unsent_bytes", responses.unsent_bytes}});
  return 0;
}

}  // namespace
}  // namespace pollenloft

auto main(int argc, char** argv) -> int {
  return pollenloft::run(argc, argv);
}
