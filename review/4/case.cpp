// An endpoint has left by DELETE and has its acknowledgement. All control VMs
// are killed at once and come back within a second.
#include "../runner.hpp"

using namespace review;

namespace {
constexpr double contact_s = 3;          // ContactMs
constexpr double drain_s = 2;            // DrainMs
constexpr double restart_after_s = 0.5;  // "back within a second"
constexpr int endpoints = 12;
constexpr std::size_t leaving = 2;
}  // namespace

auto main(int argc, char** argv) -> int {
  start_time();
  record.open(argc > 1 ? argv[1] : "record.txt");
  const auto* trouble = getenv("TROUBLE");
  const auto kills = trouble == nullptr || string(trouble) != "0";
  small_deployment site(2);
  site.start_all();
  if (put_config(site.cores, site.control_port, plain_config(7, "idempotent"),
                 20)
          .empty())
    cannot_run("no control VM acknowledged the first configuration");
  std::vector<std::unique_ptr<runner>> runners;
  for (int i = 1; i <= endpoints; ++i) {
    runners.push_back(std::make_unique<runner>(
        "i-" + std::to_string(i), "app-1", site.runner_address(i),
        site.runner_port(), site.cores, site.control_port));
    runners.back()->start();
  }
  site.wait_ready(20);
  sleep_s(9 - std::min(9.0, now_s()));
  int served = 0;
  for (int i = 0; i < 12; ++i)
    served += site.ask(*site.fronts[static_cast<std::size_t>(i) % 2],
                       site.new_request_id(), "GET", "/app/1")
                  .status() == 200;
  if (served < 12) cannot_run("the calm deployment does not serve");
  sleep_s(2);

  // Two of the endpoints leave shortly after each other.
  std::vector<double> left(runners.size(), -1);
  for (std::size_t i = 0; i < leaving; ++i) {
    left[i] = runners[i]->leave_by_delete();
    if (left[i] < 0) cannot_run("a DELETE was not acknowledged");
    sleep_s(0.2);
  }
  auto started = now_s();
  if (kills) {
    for (auto* node : site.cores)
      node->kill_hard();
    sleep_s(restart_after_s);
    for (auto* node : site.cores) {
      node->bootstrap = false;
      node->start();
    }
    started = now_s();
  }
  // No caller asks until all machines are in touch again.
  const auto in_touch = started + contact_s;
  sleep_s(in_touch + 0.7 - now_s());
  int answered = 0;
  const auto asked = now_s();
  for (int i = 0; i < 60; ++i)
    answered += site.ask(*site.fronts[static_cast<std::size_t>(i) % 2],
                         site.new_request_id(), "GET", "/app/2")
                    .status() == 200;
  record.line("%d of 60 requests served", answered);
  int broken = 0;
  for (std::size_t i = 0; i < leaving; ++i)
    for (const auto& each : runners[i]->arrivals())
      if (each.at > left[i] + drain_s && each.at >= asked) {
        ++broken;
        record.line(
            "DRAIN: request %s reached %s %.2f s after the "
            "acknowledgement of its DELETE, %.2f s after the last "
            "start of a control VM",
            each.request_id.c_str(), runners[i]->id().c_str(),
            each.at - left[i], each.at - started);
      }
  if (broken > 0)
    finish(1, "DRAIN is broken: " + std::to_string(broken) +
                  " requests reached endpoints that had left");
  finish(0, "DRAIN held");
}
