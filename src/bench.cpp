/// pollenloft-bench: memory and processor time per item of the pure modules,
/// one line each: `slope name=... unit=... value=...`. scripts/capacity writes
/// docs/CAPACITY.md from these lines.
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

// The deployment size that the design has to support.
constexpr int account_count = 30000;
constexpr int endpoint_count = 2500;
constexpr int service_count = 3;
constexpr int vm_count = 380;
constexpr int claim_count = 100000;
constexpr std::int32_t layer_count = 32;
constexpr std::int32_t stage_count = 4;

auto heap_bytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

auto report(const std::string& name, const std::string& unit, double value)
    -> void {
  std::cout << "slope name=" << name << " unit=" << unit << " value=" << value
            << "\n";
}

/// Reports the heap bytes that `allocate` retains for each of `count` items.
auto measure_bytes(const std::string& name, int count,
                   const std::function<void()>& allocate) -> void {
  const auto before = heap_bytes();
  allocate();
  report(name, "bytes", (heap_bytes() - before) / count);
}

/// Reports the processor time of one call in microseconds.
auto measure_time(const std::string& name, int calls,
                  const std::function<void(int)>& work) -> void {
  const auto begin = std::clock();
  for (int i = 0; i < calls; ++i)
    work(i);
  const auto ticks = static_cast<double>(std::clock() - begin);
  report(name, "us", ticks * 1e6 / CLOCKS_PER_SEC / calls);
}

/// A patch that adds `count` client accounts, numbered from `from`.
auto account_patch(int from, int count) -> std::string {
  std::string body = R"({"accounts":{)";
  for (int i = from; i < from + count; ++i)
    body += (i == from ? "\"" : ",\"") + std::string("account-") +
            std::to_string(i) + R"(":{"token":"token-of-)" + std::to_string(i) +
            R"("})";
  return body + "}}";
}

auto make_patch_command(std::int64_t base, const std::string& id,
                        const std::string& body) -> std::string {
  wire::command command;
  command.__isset.patch = true;
  command.patch.base = base;
  command.patch.id = id;
  command.patch.who = "bench";
  command.patch.body = body;
  return encode_wire(command);
}

auto make_claim_command(int number) -> std::string {
  wire::command command;
  command.__isset.claim = true;
  command.claim.account = "account-" + std::to_string(number % account_count);
  command.claim.key = "booking-2026-" + std::to_string(number);
  command.claim.holder = "vm-1#1796330000000";
  command.claim.dispatch = "vm-1#1796330000000/" + std::to_string(number);
  command.claim.fingerprint = number;
  return encode_wire(command);
}

auto make_settle_command(int number) -> std::string {
  wire::command command;
  command.__isset.settle = true;
  command.settle.account = "account-" + std::to_string(number % account_count);
  command.settle.key = "booking-2026-" + std::to_string(number);
  command.settle.dispatch = "vm-1#1796330000000/" + std::to_string(number);
  command.settle.state = static_cast<std::int8_t>(claim_state::completed);
  command.settle.body = std::string(200, 'x');
  return encode_wire(command);
}

auto make_endpoint(int number) -> wire::endpoint_record {
  wire::endpoint_record record;
  record.id = "runner-" + std::to_string(number);
  record.incarnation = "00000001796330000000.000001";
  record.address = "10.0." + std::to_string(number / 250) + "." +
                   std::to_string(number % 250) + ":9000";
  record.kind = "kind-" + std::to_string(number % 8);
  record.zone = "zone-" + std::to_string(number % 6);
  record.pipeline = "service-" + std::to_string(number % service_count);
  const auto stage = number / service_count % stage_count;
  record.first_layer = stage * layer_count / stage_count;
  record.last_layer = record.first_layer + layer_count / stage_count;
  record.slots = 16;
  record.owner = "vm-" + std::to_string(number % vm_count);
  return record;
}

auto bench_config(control_state& state) -> void {
  measure_bytes("control.account", account_count, [&] {
    for (int i = 0; i < account_count / 1000; ++i)
      state.apply(make_patch_command(i, "fill-" + std::to_string(i),
                                     account_patch(i * 1000, 1000)));
  });
  for (int i = 0; i < 500; ++i)
    state.apply(make_patch_command(account_count / 1000 + i,
                                   "one-" + std::to_string(i),
                                   account_patch(account_count + i, 1)));
  measure_time("control.patch_apply", 200, [&](int i) {
    state.apply(
        make_patch_command(static_cast<std::int64_t>(state.config().version),
                           "timed-" + std::to_string(i),
                           account_patch(account_count + 1000 + i, 1)));
  });
  auto config = state.config();
  measure_time("entry.patch_apply", 200, [&](int i) {
    config = std::get<configuration>(
        apply_patch(config, account_patch(2 * account_count + i, 1)));
  });
  measure_bytes("entry.account", account_count,
                [&] { static auto copy = parse_configuration(config.text()); });
}

auto bench_claims(control_state& state) -> void {
  measure_bytes("control.claim_open", claim_count, [&] {
    for (int i = 0; i < claim_count; ++i)
      state.apply(make_claim_command(i));
  });
  measure_time("control.claim_apply", 20000, [&](int i) {
    state.apply(make_claim_command(claim_count + i));
  });
  measure_time("control.settle_apply", 20000, [&](int i) {
    state.apply(make_settle_command(claim_count + i));
  });
  std::string saved;
  measure_time("control.snapshot_save", 1, [&](int) { saved = state.save(); });
  report("control.snapshot", "bytes", static_cast<double>(saved.size()));
}

auto bench_directory() -> void {
  endpoint_directory directory;
  measure_bytes("control.endpoint", endpoint_count, [&] {
    for (int i = 0; i < endpoint_count; ++i)
      directory.merge({make_endpoint(i)});
  });
  lease_table leases(milliseconds(1500));
  const auto renewal = [](int i) {
    wire::renew_request request;
    request.vm = "vm-" + std::to_string(i % vm_count);
    request.incarnation = request.vm + "#1796330000000";
    request.zone = "zone-1";
    request.address = "10.0.0.1:8080";
    return request;
  };
  const instant now(std::chrono::seconds(100));
  measure_bytes("control.vm_lease", vm_count, [&] {
    for (int i = 0; i < vm_count; ++i)
      leases.renew(renewal(i), now);
  });
  const auto request_bytes = encode_wire(renewal(1)).size();
  wire::renew_reply reply;
  reply.granted = true;
  reply.leader = "10.0.0.1:7101";
  reply.usage = leases.heaviest_accounts(16, now);
  report("wire.renew_request", "bytes", static_cast<double>(request_bytes));
  report("wire.renew_reply", "bytes",
         static_cast<double>(encode_wire(reply).size()));
  report("wire.endpoint", "bytes",
         static_cast<double>(encode_wire([] {
                               wire::report_request request;
                               request.endpoints = {make_endpoint(7)};
                               return request;
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
  routes.set_vm_count(vm_count);
  measure_bytes("entry.endpoint", endpoint_count, [&] {
    static std::map<std::string, wire::endpoint_record> directory;
    for (int i = 0; i < endpoint_count; ++i) {
      directory[make_endpoint(i).id] = make_endpoint(i);
      routes.upsert(*to_endpoint_view(make_endpoint(i)));
    }
  });
  const instant now(std::chrono::seconds(100));
  measure_time("entry.choose_chain", 20000, [&](int i) {
    chain_request request;
    request.pipeline = "service-" + std::to_string(i % service_count);
    request.layers = layer_count;
    const auto chosen = routes.choose(request, now);
    if (!chosen) return;
    routes.dispatch_started(*chosen, false, 0, now);
    routes.dispatch_ended(*chosen, false, dispatch_result::served, "", now);
  });
}

auto bench_queue() -> void {
  fair_queue queue({}, 1);
  const instant now(std::chrono::seconds(100));
  request_id next = 0;
  const auto enqueue = [&](int i) {
    queue.offer({++next, "account-" + std::to_string(i % 500), 1, 1, 200,
                 now + std::chrono::seconds(100)},
                now);
  };
  measure_bytes("entry.queued_request", 1000, [&] {
    for (int i = 0; i < 1000; ++i)
      enqueue(i);
  });
  measure_time("entry.queue_turn_500_accounts", 5000, [&](int i) {
    enqueue(i);
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
