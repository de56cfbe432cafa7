/// pollenloft-bench: slopes of memory and processor time of the pure modules,
/// one line each: `slope name=... unit=... value=...`. scripts/capacity turns
/// them into docs/CAPACITY.md.
#include <malloc.h>

#include <fstream>
#include <functional>
#include <iostream>

#include "pollenloft/admission.hpp"
#include "pollenloft/control.hpp"
#include "pollenloft/engine.hpp"
#include "pollenloft/lifecycle.hpp"
#include "pollenloft/settings.hpp"

namespace pollenloft {
namespace {

// The size that decides the design.
constexpr int accounts = 30000;
constexpr int endpoints = 2500;
constexpr int pipelines = 3;
constexpr int vms = 380;
constexpr int claims = 100000;
constexpr std::int32_t layers = 32;
constexpr std::int32_t stages = 4;

auto heap_bytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

auto report(const std::string& name, const std::string& unit, double value)
    -> void {
  std::cout << "slope name=" << name << " unit=" << unit << " value=" << value
            << "\n";
}

/// Heap bytes that `fill` leaves behind, for each of `count` items.
auto measure_bytes(const std::string& name, int count,
                   const std::function<void()>& fill) -> void {
  const auto before = heap_bytes();
  fill();
  report(name, "bytes", (heap_bytes() - before) / count);
}

/// Microseconds of processor time for one call.
auto measure_time(const std::string& name, int rounds,
                  const std::function<void(int)>& work) -> void {
  const auto begin = std::clock();
  for (int i = 0; i < rounds; ++i)
    work(i);
  const auto spent = static_cast<double>(std::clock() - begin);
  report(name, "us", spent * 1e6 / CLOCKS_PER_SEC / rounds);
}

auto account_patch(int from, int count) -> std::string {
  std::string body = R"({"accounts":{)";
  for (int i = from; i < from + count; ++i)
    body += (i == from ? "\"" : ",\"") + std::string("account-") +
            std::to_string(i) + R"(":{"token":"token-of-)" + std::to_string(i) +
            R"("})";
  return body + "}}";
}

auto patch_command(std::int64_t base, const std::string& id,
                   const std::string& body) -> std::string {
  wire::command command;
  command.__isset.patch = true;
  command.patch.base = base;
  command.patch.id = id;
  command.patch.who = "bench";
  command.patch.body = body;
  return encode_wire(command);
}

auto claim_command(int number) -> std::string {
  wire::command command;
  command.__isset.claim = true;
  command.claim.account = "account-" + std::to_string(number % accounts);
  command.claim.key = "booking-2026-" + std::to_string(number);
  command.claim.holder = "vm-1#1796330000000";
  command.claim.dispatch = "vm-1#1796330000000/" + std::to_string(number);
  command.claim.fingerprint = number;
  return encode_wire(command);
}

auto settle_command(int number) -> std::string {
  wire::command command;
  command.__isset.settle = true;
  command.settle.account = "account-" + std::to_string(number % accounts);
  command.settle.key = "booking-2026-" + std::to_string(number);
  command.settle.dispatch = "vm-1#1796330000000/" + std::to_string(number);
  command.settle.state = static_cast<std::int8_t>(claim_state::completed);
  command.settle.body = std::string(200, 'x');
  return encode_wire(command);
}

auto endpoint(int number) -> wire::endpoint_record {
  wire::endpoint_record record;
  record.id = "runner-" + std::to_string(number);
  record.incarnation = "00000001796330000000.000001";
  record.address = "10.0." + std::to_string(number / 250) + "." +
                   std::to_string(number % 250) + ":9000";
  record.kind = "kind-" + std::to_string(number % 8);
  record.zone = "zone-" + std::to_string(number % 6);
  record.pipeline = "service-" + std::to_string(number % pipelines);
  const auto stage = number / pipelines % stages;
  record.first_layer = stage * layers / stages;
  record.last_layer = record.first_layer + layers / stages;
  record.slots = 16;
  record.owner = "vm-" + std::to_string(number % vms);
  return record;
}

auto bench_config(control_state& state) -> void {
  measure_bytes("control.account", accounts, [&] {
    for (int i = 0; i < accounts / 1000; ++i)
      state.apply(patch_command(i, "fill-" + std::to_string(i),
                                account_patch(i * 1000, 1000)));
  });
  for (int i = 0; i < 500; ++i)
    state.apply(patch_command(accounts / 1000 + i, "one-" + std::to_string(i),
                              account_patch(accounts + i, 1)));
  measure_time("control.patch_apply", 200, [&](int i) {
    state.apply(patch_command(static_cast<std::int64_t>(state.config().version),
                              "timed-" + std::to_string(i),
                              account_patch(accounts + 1000 + i, 1)));
  });
  auto config = state.config();
  measure_time("entry.patch_apply", 200, [&](int i) {
    config = std::get<configuration>(
        apply_patch(config, account_patch(2 * accounts + i, 1)));
  });
  measure_bytes("entry.account", accounts,
                [&] { static auto copy = parse_configuration(config.text()); });
}

auto bench_claims(control_state& state) -> void {
  measure_bytes("control.claim_open", claims, [&] {
    for (int i = 0; i < claims; ++i)
      state.apply(claim_command(i));
  });
  measure_time("control.claim_apply", 20000,
               [&](int i) { state.apply(claim_command(claims + i)); });
  measure_time("control.settle_apply", 20000,
               [&](int i) { state.apply(settle_command(claims + i)); });
  std::string saved;
  measure_time("control.snapshot_save", 1, [&](int) { saved = state.save(); });
  report("control.snapshot", "bytes", static_cast<double>(saved.size()));
}

auto bench_directory() -> void {
  endpoint_directory directory;
  measure_bytes("control.endpoint", endpoints, [&] {
    for (int i = 0; i < endpoints; ++i)
      directory.merge({endpoint(i)});
  });
  lease_table leases(milliseconds(1500));
  const auto renewal = [](int i) {
    wire::renew_request request;
    request.vm = "vm-" + std::to_string(i % vms);
    request.incarnation = request.vm + "#1796330000000";
    request.zone = "zone-1";
    request.address = "10.0.0.1:8080";
    return request;
  };
  const instant now(std::chrono::seconds(100));
  measure_bytes("control.vm_lease", vms, [&] {
    for (int i = 0; i < vms; ++i)
      leases.renew(renewal(i), now);
  });
  const auto request_bytes = encode_wire(renewal(1)).size();
  wire::renew_reply reply;
  reply.granted = true;
  reply.leader = "10.0.0.1:7101";
  reply.usage = leases.heaviest(16, now);
  report("wire.renew_request", "bytes", static_cast<double>(request_bytes));
  report("wire.renew_reply", "bytes",
         static_cast<double>(encode_wire(reply).size()));
  report("wire.endpoint", "bytes",
         static_cast<double>(encode_wire([] {
                               wire::report_request one;
                               one.endpoints = {endpoint(7)};
                               return one;
                             }())
                                 .size()));
  measure_time("control.lease_renew", 20000, [&](int i) {
    const auto decoded =
        decode_wire<wire::renew_request>(encode_wire(renewal(i)));
    leases.renew(*decoded, now);
    encode_wire(reply);
  });
  measure_time("control.in_force_check", 2000,
               [&](int) { leases.in_force_everywhere(0, now); });
}

auto bench_router() -> void {
  router routes({}, 1);
  routes.set_vm_count(vms);
  measure_bytes("entry.endpoint", endpoints, [&] {
    static std::map<std::string, wire::endpoint_record> directory;
    for (int i = 0; i < endpoints; ++i) {
      directory[endpoint(i).id] = endpoint(i);
      routes.upsert(*to_view(endpoint(i)));
    }
  });
  const instant now(std::chrono::seconds(100));
  measure_time("entry.choose_chain", 20000, [&](int i) {
    chain_request wanted;
    wanted.pipeline = "service-" + std::to_string(i % pipelines);
    wanted.layers = layers;
    const auto chosen = routes.choose(wanted, now);
    if (!chosen) return;
    routes.started(*chosen, false, 0, now);
    routes.ended(*chosen, false, dispatch_result::served, "", now);
  });
}

auto bench_queue() -> void {
  fair_queue queue({}, 1);
  const instant now(std::chrono::seconds(100));
  request_id next = 0;
  const auto offer = [&](int i) {
    queue.offer({++next, "account-" + std::to_string(i % 500), 1, 1, 200,
                 now + std::chrono::seconds(100)},
                now);
  };
  measure_bytes("entry.queued_request", 1000, [&] {
    for (int i = 0; i < 1000; ++i)
      offer(i);
  });
  measure_time("entry.queue_turn_500_accounts", 5000, [&](int i) {
    offer(i);
    queue.remove(*queue.peek(), true);
  });
}

auto run(int argc, char** argv) -> int {
  auto parsed = parse_settings("pollenloft-bench", {}, argc, argv);
  if (auto* code = std::get_if<int>(&parsed)) return *code;
  control_state state;
  bench_config(state);
  bench_claims(state);
  bench_directory();
  bench_router();
  bench_queue();
  return 0;
}

}  // namespace
}  // namespace pollenloft

auto main(int argc, char** argv) -> int {
  return pollenloft::run(argc, argv);
}
