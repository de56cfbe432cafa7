/// \file config.hpp
/// The configuration: services, client accounts and VMs. Each patch (JSON merge
/// patch, RFC 7386) creates the next numbered version.
#ifndef POLLENLOFT_CONFIG_HPP
#define POLLENLOFT_CONFIG_HPP

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pollenloft/core.hpp"

namespace pollenloft {

/// A model served by a pipeline of runners, each holding a layer range.
struct model_pipeline {
  std::string model;
  std::int32_t layers = 1;        ///< number of layers of the model
  std::int32_t max_tokens = 512;  ///< upper limit for one response
};
/// A plain HTTP service.
struct plain_service {};

struct service {
  std::variant<model_pipeline, plain_service> kind;
  bool idempotent = true;
  milliseconds deadline{30000};        ///< callers may set a shorter one
  std::vector<std::string> endpoints;  ///< ids, `kind:NAME` or `*`
  std::vector<std::string> accounts;   ///< names or `*`

  auto allows_endpoint(std::string_view endpoint,
                       std::string_view accelerator) const -> bool;
  auto allows_account(std::string_view account) const -> bool;
};

struct client_account {
  std::string token;          ///< bearer token
  double weight = 1;          ///< share among accounts of equal priority
  std::int32_t priority = 1;  ///< 0 (highest) to 3
};

struct vm_settings {
  bool drain = false;  ///< the VM reports not ready
};

/// A sharded copy-on-write map for many items. Copies share all shards that
/// neither has changed: a copy costs one pointer per shard, and a change copies
/// one shard.
template <class Value>
class copy_on_write_map {
 public:
  auto find(const std::string& name) const -> const Value* {
    const auto& shard = shards_[shard_of(name)];
    if (!shard) return nullptr;
    const auto found = shard->find(name);
    return found == shard->end() ? nullptr : &found->second;
  }

  auto set(const std::string& name, Value value) -> void {
    auto changed = clone(name);
    size_ += changed->insert_or_assign(name, std::move(value)).second ? 1 : 0;
    shards_[shard_of(name)] = std::move(changed);
  }

  auto erase(const std::string& name) -> bool {
    if (find(name) == nullptr) return false;
    auto changed = clone(name);
    changed->erase(name);
    --size_;
    shards_[shard_of(name)] = std::move(changed);
    return true;
  }

  auto size() const -> std::size_t { return size_; }
  auto empty() const -> bool { return size_ == 0; }

  /// Calls `visit(name, value)` for all items, in unspecified order.
  template <class Visitor>
  auto for_each(Visitor visit) const -> void {
    for (const auto& shard : shards_)
      if (shard)
        for (const auto& [name, value] : *shard)
          visit(name, value);
  }

 private:
  using shard = std::map<std::string, Value>;
  static constexpr std::size_t shard_count = 256;

  static auto shard_of(const std::string& name) -> std::size_t {
    return hash64(name) % shard_count;
  }
  auto clone(const std::string& name) const -> std::shared_ptr<shard> {
    const auto& old = shards_[shard_of(name)];
    return old ? std::make_shared<shard>(*old) : std::make_shared<shard>();
  }

  std::vector<std::shared_ptr<const shard>> shards_{shard_count};
  std::size_t size_ = 0;
};

/// One version of the configuration. Copies share services and accounts.
struct configuration {
  std::uint64_t version = 0;
  std::map<std::string, std::shared_ptr<const service>> services;
  copy_on_write_map<std::shared_ptr<const client_account>> accounts;
  copy_on_write_map<std::string> account_by_token;  ///< account names
  std::map<std::string, vm_settings> vms;

  /// The full configuration as JSON text.
  auto text() const -> std::string;
};

/// An invalid field of a patch or document: the path of the field, such as
/// `services.chat.layers`, and the reason.
struct validation_error {
  std::string path;
  std::string reason;
};

/// The next version, or all validation errors of the patch.
using patch_outcome =
    std::variant<configuration, std::vector<validation_error>>;

/// Applies a merge patch: `{"services": {"chat": {...}}, "accounts": {"a":
/// null}}`. Only the items named in the patch are parsed, so the cost depends
/// on the size of the patch, not of the configuration.
auto apply_patch(const configuration& base, std::string_view patch)
    -> patch_outcome;

/// Parses the output of `configuration::text`; empty if it is invalid.
auto parse_configuration(std::string_view text) -> std::optional<configuration>;

/// All errors on one line, `path: reason; path: reason`.
auto describe(const std::vector<validation_error>& errors) -> std::string;

}  // namespace pollenloft

#endif
