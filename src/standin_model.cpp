#include "standin_model.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>

namespace pollenloft::standin {

namespace {

constexpr std::size_t digest_digits = 16;

auto two_digits(std::size_t n) -> std::string {
  return (n < 10 ? "0" : "") + std::to_string(n);
}

/// How the runners of one kind are laid out.
struct kind_layout {
  std::string kind;
  std::size_t chains;
  std::size_t stages;  ///< of each chain
  std::int32_t batch;
};

/// 4 fast chains of 2, 4 medium ones of 4 and 2 slow ones of 8 make 40
/// runners, ranges sized to what the kinds sustain. A runner holds a quarter
/// more sequences than keep all stages of its chain busy.
auto add_runners(fleet& to, const std::string& prefix) -> void {
  const std::array<kind_layout, 3> layouts{
      {{"fast", 4, 2, 16}, {"medium", 4, 4, 16}, {"slow", 2, 8, 8}}};
  std::size_t number = 0;
  for (std::size_t k = 0; k < layouts.size(); ++k) {
    const auto& layout = layouts.at(k);
    const auto width = to.layers / static_cast<std::int32_t>(layout.stages);
    for (std::size_t i = 0; i < layout.chains * layout.stages; ++i) {
      runner_spec spec;
      spec.id = prefix + two_digits(++number);
      spec.pipeline = to.model_service;
      spec.kind = layout.kind;
      spec.zone = to.zones[(i / layout.stages + k) % to.zones.size()];
      spec.first_layer = static_cast<std::int32_t>(i % layout.stages) * width;
      spec.last_layer = spec.first_layer + width;
      spec.batch = layout.batch;
      spec.slots =
          layout.batch * static_cast<std::int32_t>(layout.stages) * 5 / 4;
      spec.fencing = number % 3 != 0;
      to.runners.push_back(spec);
    }
  }
}

auto make(const std::string& model, const std::string& plain,
          std::vector<std::string> zones) -> fleet {
  fleet made;
  made.model_service = model;
  made.plain_service = plain;
  made.zones = std::move(zones);
  made.kinds = {
      {"fast", {microseconds(100), microseconds(30), microseconds(5)}},
      {"medium", {microseconds(250), microseconds(70), microseconds(10)}},
      {"slow", {microseconds(500), microseconds(150), microseconds(20)}}};
  add_runners(made, "runner-");
  for (std::size_t i = 0; i < 3; ++i)
    made.plains.push_back({plain + "-" + std::to_string(i + 1), plain,
                           made.zones[i % made.zones.size()]});
  return made;
}

}  // namespace

auto make_fleet(const std::string& name) -> std::optional<fleet> {
  if (name == "kincsnaplo")
    return make("pollen-writers", "naplo-app",
                {"csepel-hall", "obuda-hall", "kobanya-hall"});
  if (name == "juuksuriaeg")
    return make("assistant-llm", "calendar-api", {"tln-a", "tln-b", "mrd-c"});
  return fail("fleet.make", name, "unknown fleet");
}

auto fleet_patch(const fleet& of) -> std::string {
  nlohmann::json patch;
  patch["services"][of.model_service] = {{"kind", "model"},
                                         {"model", of.model_service},
                                         {"layers", of.layers},
                                         {"max_tokens", 512},
                                         {"deadline_ms", 20000}};
  patch["services"][of.plain_service] = {
      {"kind", "plain"}, {"idempotent", false}, {"deadline_ms", 10000}};
  for (int i = 0; i < 10; ++i)
    patch["accounts"]["account-" + std::to_string(i)] = {
        {"token", "token-" + std::to_string(i)}, {"weight", i == 0 ? 4 : 1}};
  return patch.dump();
}

auto throughput_bound(const fleet& of) -> double {
  auto least = std::numeric_limits<double>::max();
  for (std::int32_t layer = 0; layer < of.layers; ++layer) {
    double sum = 0;
    for (const auto& runner : of.runners) {
      if (runner.first_layer > layer || runner.last_layer <= layer) continue;
      const auto& kind = of.kinds.at(runner.kind);
      const auto layer_time = kind.step + runner.batch * kind.item;
      const auto step_time =
          layer_time * (runner.last_layer - runner.first_layer);
      sum += runner.batch / std::chrono::duration<double>(step_time).count();
    }
    least = std::min(least, sum);
  }
  return least;
}

auto start_digest(std::uint64_t prompt, std::uint64_t previous,
                  std::int64_t index) -> std::uint64_t {
  const std::array<std::uint64_t, 3> parts{prompt, previous,
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

auto expected_answer(const std::string& prompt, std::int64_t tokens,
                     std::int32_t layers) -> std::string {
  const auto seed = hash64(prompt);
  std::uint64_t previous = 0;
  std::string answer;
  for (std::int64_t i = 0; i < tokens; ++i) {
    auto digest = start_digest(seed, previous, i);
    for (std::int32_t layer = 0; layer < layers; ++layer)
      digest = fold_layer(digest, layer);
    answer += token_text(digest);
    previous = digest;
  }
  return answer;
}

}  // namespace pollenloft::standin
