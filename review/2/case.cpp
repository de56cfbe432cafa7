// A control VM is gone for good and an empty one takes its place. CatchUpS
// after the successor's start, two others lose their disks right after an
// acknowledgement. TROUBLE=0: no disk is lost. TROUBLE=disks: the disks are
// lost, but nothing was replaced before.
#include "../runner.hpp"

using namespace review;

namespace {
constexpr double catch_up_s = 4;
constexpr double recovery_s = 12;
constexpr double read_back_s = 8;  // longer than ContactMs
}  // namespace

auto main(int argc, char** argv) -> int {
  start_time();
  record.open(argc > 1 ? argv[1] : "record.txt");
  const string trouble = getenv("TROUBLE") != nullptr ? getenv("TROUBLE") : "";
  small_deployment site(0);
  auto& successor = site.add("core-6", true, 6);
  successor.bootstrap = false;
  successor.seeds = {site.seed("core-1"), site.seed("core-2"),
                     site.seed("core-3")};
  site.start_all();
  if (put_config(site.cores, site.control_port, plain_config(7, "idempotent"),
                 20)
          .empty())
    cannot_run("no control VM acknowledged the first configuration");
  sleep_s(9 - std::min(9.0, now_s()));

  auto nodes = site.cores;
  if (trouble != "disks") {
    auto* leader = leader_of(nodes, site.control_port);
    auto* gone = nodes[4] != leader ? nodes[4] : nodes[3];
    record.line("%s is gone for good", gone->name.c_str());
    gone->kill_hard();
    std::erase(nodes, gone);
    sleep_s(1);
    successor.start();
    nodes.push_back(&successor);
    sleep_s(catch_up_s + 0.05);
  }
  const auto old_nodes = std::vector<machine*>(
      nodes.begin(), nodes.begin() + (trouble == "disks" ? 5 : 4));
  if (put_config(old_nodes, site.control_port, plain_config(8, "idempotent"), 4)
          .empty())
    cannot_run("the second configuration was not acknowledged");
  if (trouble != "0") {
    auto* leader = leader_of(old_nodes, site.control_port);
    std::vector<machine*> lost;
    if (leader != nullptr) lost.push_back(leader);
    for (auto* node : old_nodes)
      if (lost.size() < 2 && node != leader) lost.push_back(node);
    for (auto* node : lost)
      node->kill_hard();
    for (auto* node : lost)
      node->lose_disk();
    sleep_s(1);
    for (auto* node : lost) {
      node->bootstrap = false;
      node->start();
    }
    sleep_s(recovery_s);
  }
  const auto until = now_s() + read_back_s;
  long newest = -1;
  int answers = 0;
  std::map<int, int> statuses;
  while (now_s() < until && newest < 8) {
    for (auto* node : nodes) {
      const auto response =
          control_call(node->ip, site.control_port, "GET", "/config", "");
      ++statuses[response.status()];
      record.line("operator: GET /config at %s: %d", node->name.c_str(),
                  response.status());
      if (response.status() != 200 || !response.whole) continue;
      ++answers;
      newest = std::max(newest, version_of(response.body));
    }
    sleep_s(0.2);
  }
  for (const auto& [status, count] : statuses)
    record.line("operator: GET /config: %d answers with status %d", count,
                status);
  if (newest < 8)
    finish(1, answers == 0
                  ? "CONFIG is broken: version 8 was acknowledged, and no "
                    "configuration can be read back"
                  : "CONFIG is broken: an older version is read back");
  record.line("operator: read back version %ld", newest);
  finish(0, "CONFIG held");
}
