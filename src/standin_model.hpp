/// \file standin_model.hpp
/// What the stand-in and the load tool share: the fleets they play, the cost
/// model of their accelerators, and the digest that proves which layers ran
/// for each token.
#ifndef POLLENLOFT_STANDIN_MODEL_HPP
#define POLLENLOFT_STANDIN_MODEL_HPP

#include <map>
#include <string>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft::standin {

using std::chrono::microseconds;

/// Speed of one kind of accelerator: a step over one layer takes
/// `step + items * item`, so larger batches are more efficient.
struct accelerator {
  microseconds step{20};
  microseconds item{5};
  microseconds prefill{1};  ///< for one prompt token in one layer
};

struct runner_spec {
  std::string id;
  std::string pipeline;
  std::string kind;
  std::string zone;
  std::int32_t first_layer = 0;
  std::int32_t last_layer = 1;
  std::int32_t batch = 16;  ///< sequences in one step
  std::int32_t slots = 40;  ///< sequences held at once
  bool fencing = true;
};

struct plain_spec {
  std::string id;
  std::string pipeline;
  std::string zone;
  milliseconds latency{2};
  std::int32_t slots = 64;
};

struct fleet {
  std::int32_t layers = 32;
  std::string model_service;
  std::string plain_service;
  std::vector<std::string> zones;
  std::map<std::string, accelerator> kinds;
  microseconds zone_link{300};
  microseconds cross_link{800};
  std::vector<runner_spec> runners;
  std::vector<plain_spec> plains;
};

/// One of `kincsnaplo`, `juuksuriaeg` (today's deployments).
auto make_fleet(const std::string& name) -> std::optional<fleet>;

/// The configuration patch that serves the fleet with ten client accounts,
/// whose tokens are `token-0` to `token-9`.
auto fleet_patch(const fleet& of) -> std::string;

/// Tokens a second that the fleet can make at most: the least, over the
/// layers, of the summed rates of the runners that hold the layer.
auto throughput_bound(const fleet& of) -> double;

/// Digest before the first layer of the token after `previous` (0 for the
/// first token).
auto start_digest(std::uint64_t prompt, std::uint64_t previous,
                  std::int64_t index) -> std::uint64_t;
/// Digest after one more layer.
auto fold_layer(std::uint64_t digest, std::int32_t layer) -> std::uint64_t;
/// The token's text: a blank and the digest as 16 hexadecimal digits.
auto token_text(std::uint64_t digest) -> std::string;
/// The digest in the last token of a text; 0 for an empty text.
auto last_digest(const std::string& text) -> std::uint64_t;
/// The whole answer to a prompt.
auto expected_answer(const std::string& prompt, std::int64_t tokens,
                     std::int32_t layers) -> std::string;

}  // namespace pollenloft::standin

#endif
