#include "standin_model.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>

namespace pollenloft::standin {

namespace {

constexpr std::size_t digest_digits = 16;

auto two_digits(std::size_t number) -> std::string {
  return (number < 10 ? "0" : "") + std::to_string(number);
}

/// Chains of the runners of one kind of accelerator.
struct kind_layout {
  std::string kind;
  std::size_t chains;
  std::size_t stages;  ///< of each chain
  std::int32_t max_batch;
};

/// Adds 40 runners: 4 fast chains of 2 stages, 4 medium chains of 4 and 2 slow
/// chains of 8, with layer ranges sized to the speed of the kind. A runner
/// accepts a quarter more sequences than keep all stages of its chain busy.
auto add_runners(fleet& layout, const std::string& prefix) -> void {
  const std::array<kind_layout, 3> groups{
      {{"fast", 4, 2, 16}, {"medium", 4, 4, 16}, {"slow", 2, 8, 8}}};
  std::size_t number = 0;
  for (std::size_t k = 0; k < groups.size(); ++k) {
    const auto& group = groups.at(k);
    const auto width = layout.layers / static_cast<std::int32_t>(group.stages);
    for (std::size_t i = 0; i < group.chains * group.stages; ++i) {
      runner_spec spec;
      spec.id = prefix + two_digits(++number);
      spec.service = layout.model_service;
      spec.kind = group.kind;
      spec.zone = layout.zones[(i / group.stages + k) % layout.zones.size()];
      spec.first_layer = static_cast<std::int32_t>(i % group.stages) * width;
      spec.last_layer = spec.first_layer + width;
      spec.max_batch = group.max_batch;
      spec.slots =
          group.max_batch * static_cast<std::int32_t>(group.stages) * 5 / 4;
      spec.fencing = number % 3 != 0;
      layout.runners.push_back(spec);
    }
  }
}

auto build_fleet(const std::string& model, const std::string& plain,
                 std::vector<std::string> zones) -> fleet {
  fleet layout;
  layout.model_service = model;
  layout.plain_service = plain;
  layout.zones = std::move(zones);
  layout.kinds = {
      {"fast", {microseconds(100), microseconds(30), microseconds(5)}},
      {"medium", {microseconds(250), microseconds(70), microseconds(10)}},
      {"slow", {microseconds(500), microseconds(150), microseconds(20)}}};
  add_runners(layout, "runner-");
  for (std::size_t i = 0; i < 3; ++i)
    layout.plain_endpoints.push_back({plain + "-" + std::to_string(i + 1),
                                      plain,
                                      layout.zones[i % layout.zones.size()]});
  return layout;
}

}  // namespace

auto make_fleet(const std::string& name) -> std::optional<fleet> {
  if (name == "kincsnaplo")
    return build_fleet("pollen-writers", "naplo-app",
                       {"csepel-hall", "obuda-hall", "kobanya-hall"});
  if (name == "juuksuriaeg")
    return build_fleet("assistant-llm", "calendar-api",
                       {"tln-a", "tln-b", "mrd-c"});
  return fail("fleet.make", name, "unknown fleet");
}

auto fleet_patch(const fleet& layout) -> std::string {
  nlohmann::json patch;
  patch["services"][layout.model_service] = {{"kind", "model"},
                                             {"model", layout.model_service},
                                             {"layers", layout.layers},
                                             {"max_tokens", 512},
                                             {"deadline_ms", 20000}};
  patch["services"][layout.plain_service] = {
      {"kind", "plain"}, {"idempotent", false}, {"deadline_ms", 10000}};
  for (int i = 0; i < 10; ++i)
    patch["accounts"]["account-" + std::to_string(i)] = {
        {"token", "token-" + std::to_string(i)}, {"weight", i == 0 ? 4 : 1}};
  return patch.dump();
}

auto throughput_bound(const fleet& layout) -> double {
  auto min_rate = std::numeric_limits<double>::max();
  for (std::int32_t layer = 0; layer < layout.layers; ++layer) {
    double layer_rate = 0;
    for (const auto& runner : layout.runners) {
      if (runner.first_layer > layer || runner.last_layer <= layer) continue;
      const auto& kind = layout.kinds.at(runner.kind);
      const auto layer_time =
          kind.step_overhead + runner.max_batch * kind.per_sequence;
      const auto step_time =
          layer_time * (runner.last_layer - runner.first_layer);
      layer_rate +=
          runner.max_batch / std::chrono::duration<double>(step_time).count();
    }
    min_rate = std::min(min_rate, layer_rate);
  }
  return min_rate;
}

auto initial_digest(std::uint64_t prompt_hash, std::uint64_t previous,
                    std::int64_t index) -> std::uint64_t {
  const std::array<std::uint64_t, 3> parts{prompt_hash, previous,
                                           static_cast<std::uint64_t>(index)};
  return hash64({reinterpret_cast<const char*>(parts.data()),  // NOLINT
                 sizeof(parts)});
}

auto fold_layer(std::uint64_t digest, std::int32_t layer) -> std::uint64_t {
  return hash64({reinterpret_cast<const char*>(&digest),  // NOLINT
                 sizeof(digest)},
                static_cast<std::uint64_t>(layer) + 1);
}

auto token_text(std::uint64_t digest) -> std::string {
  std::array<char, digest_digits + 2> text{};
  std::snprintf(text.data(), text.size(), " %016llx",  // NOLINT
                static_cast<unsigned long long>(digest));
  return text.data();
}

auto last_digest(const std::string& text) -> std::uint64_t {
  if (text.size() < digest_digits) return 0;
  return std::stoull(text.substr(text.size() - digest_digits), nullptr, 16);
}

auto expected_output(const std::string& prompt, std::int64_t tokens,
                     std::int32_t layers) -> std::string {
  const auto prompt_hash = hash64(prompt);
  std::uint64_t previous = 0;
  std::string answer;
  for (std::int64_t i = 0; i < tokens; ++i) {
    auto digest = initial_digest(prompt_hash, previous, i);
    for (std::int32_t layer = 0; layer < layers; ++layer)
      digest = fold_layer(digest, layer);
    answer += token_text(digest);
    previous = digest;
  }
  return answer;
}

}  // namespace pollenloft::standin
