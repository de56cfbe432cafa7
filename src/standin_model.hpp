/// \file standin_model.hpp
/// Shared by pollenloft-standin and pollenloft-load: the simulated fleets, the
/// cost model of their accelerators, and the digests from which the load tool
/// verifies which layers ran for each token.
#ifndef POLLENLOFT_STANDIN_MODEL_HPP
#define POLLENLOFT_STANDIN_MODEL_HPP

#include <map>
#include <string>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft::standin {

using std::chrono::microseconds;

/// Cost model of one kind of accelerator. A decode step over one layer takes
/// `step_overhead + sequences * per_sequence`, so larger batches are more
/// efficient.
struct accelerator {
  microseconds step_overhead{20};
  microseconds per_sequence{5};
  microseconds per_prompt_token{1};  ///< prefill of one layer
};

/// A runner: layers [first_layer, last_layer) of a model on one accelerator.
struct runner_spec {
  std::string id;
  std::string service;
  std::string kind;
  std::string zone;
  std::int32_t first_layer = 0;
  std::int32_t last_layer = 1;
  std::int32_t max_batch = 16;  ///< most sequences in one step
  std::int32_t slots = 40;      ///< most sequences in flight
  bool fencing = true;          ///< announces support for fencing tokens
};

/// An endpoint of a plain HTTP service.
struct plain_endpoint_spec {
  std::string id;
  std::string service;
  std::string zone;
  milliseconds latency{2};
  std::int32_t slots = 64;  ///< most requests in flight
};

/// A simulated deployment: one model service, one plain service.
struct fleet {
  std::int32_t layers = 32;
  std::string model_service;
  std::string plain_service;
  std::vector<std::string> zones;
  std::map<std::string, accelerator> kinds;
  microseconds intra_zone_delay{300};  ///< between two stages in one zone
  microseconds cross_zone_delay{800};  ///< between two zones
  std::vector<runner_spec> runners;
  std::vector<plain_endpoint_spec> plain_endpoints;
};

/// The fleet of the deployment `kincsnaplo` or `juuksuriaeg`; empty, see
/// `last_error`, for another name.
auto make_fleet(const std::string& name) -> std::optional<fleet>;

/// The configuration patch for the fleet's services and ten client accounts,
/// whose bearer tokens are `token-0` to `token-9`.
auto fleet_patch(const fleet& layout) -> std::string;

/// Upper bound on the fleet's decode rate in tokens per second: the minimum
/// over all layers of the summed rates of the runners that hold the layer.
auto throughput_bound(const fleet& layout) -> double;

/// Digest of token `index` before its first layer; `previous` is the digest of
/// the token before it, 0 for the first token.
auto initial_digest(std::uint64_t prompt_hash, std::uint64_t previous,
                    std::int64_t index) -> std::uint64_t;
/// Digest after one more layer has run.
auto fold_layer(std::uint64_t digest, std::int32_t layer) -> std::uint64_t;
/// The token's text: a space and the digest as 16 hexadecimal digits.
auto token_text(std::uint64_t digest) -> std::string;
/// The digest of the last token of a text; 0 for an empty text.
auto last_digest(const std::string& text) -> std::uint64_t;
/// The complete answer to a prompt.
auto expected_output(const std::string& prompt, std::int64_t tokens,
                     std::int32_t layers) -> std::string;

}  // namespace pollenloft::standin

#endif
