#include "pollenloft/config.hpp"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>

namespace pollenloft {

namespace {

using json = nlohmann::json;

constexpr std::int64_t max_layers = 4096;
constexpr std::int64_t max_response_tokens = 1 << 20;
constexpr std::int64_t max_deadline_ms = 3600 * 1000;
constexpr double max_weight = 1e6;
constexpr std::size_t max_name_bytes = 128;

/// Reads the fields of one JSON object and collects all validation errors.
class object_reader {
 public:
  object_reader(const json& object, std::string path,
                std::vector<validation_error>& errors)
      : object_(object), path_(std::move(path)), errors_(errors) {
    if (!object_.is_object()) add_error("", "must be an object");
  }

  auto add_error(const std::string& field, const std::string& reason) -> void {
    errors_.push_back({field.empty() ? path_ : path_ + "." + field, reason});
  }

  auto number(const std::string& field, std::int64_t default_value,
              std::int64_t min, std::int64_t max) -> std::int64_t {
    const auto* value = find_field(field);
    if (value == nullptr) return default_value;
    const auto in_range = value->is_number_integer() &&
                          value->get<std::int64_t>() >= min &&
                          value->get<std::int64_t>() <= max;
    if (in_range) return value->get<std::int64_t>();
    add_error(field, "must be a whole number from " + std::to_string(min) +
                         " to " + std::to_string(max));
    return default_value;
  }

  auto positive(const std::string& field, double default_value, double max)
      -> double {
    const auto* value = find_field(field);
    if (value == nullptr) return default_value;
    if (value->is_number() && value->get<double>() > 0 &&
        value->get<double>() <= max)
      return value->get<double>();
    add_error(field, "must be above 0 and at most " + std::to_string(max));
    return default_value;
  }

  auto boolean(const std::string& field, bool default_value) -> bool {
    const auto* value = find_field(field);
    if (value == nullptr) return default_value;
    if (value->is_boolean()) return value->get<bool>();
    add_error(field, "must be true or false");
    return default_value;
  }

  auto text(const std::string& field, bool required) -> std::string {
    const auto* value = find_field(field);
    if (value == nullptr) {
      if (required) add_error(field, "is required");
      return {};
    }
    if (value->is_string() && !value->get<std::string>().empty())
      return value->get<std::string>();
    add_error(field, "must be a text that is not empty");
    return {};
  }

  auto names(const std::string& field) -> std::vector<std::string> {
    const auto* value = find_field(field);
    if (value == nullptr) return {"*"};
    std::vector<std::string> result;
    if (value->is_array())
      for (const auto& item : *value)
        if (item.is_string()) result.push_back(item.get<std::string>());
    if (!value->is_array() || result.size() != value->size())
      add_error(field, "must be a list of names");
    return result;
  }

  auto reject_unknown_fields() -> void {
    if (!object_.is_object()) return;
    for (const auto& [key, value] : object_.items())
      if (seen_.count(key) == 0) add_error(key, "is not a known field");
  }

 private:
  auto find_field(const std::string& field) -> const json* {
    seen_.insert(field);
    if (!object_.is_object()) return nullptr;
    const auto found = object_.find(field);
    return found == object_.end() ? nullptr : &*found;
  }

  const json& object_;
  std::string path_;
  std::vector<validation_error>& errors_;
  std::set<std::string> seen_;
};

auto read_service(const json& object, const std::string& path,
                  std::vector<validation_error>& errors) -> service {
  object_reader in(object, path, errors);
  service result;
  const auto kind = in.text("kind", true);
  if (kind == "model") {
    model_pipeline pipeline;
    pipeline.model = in.text("model", true);
    pipeline.layers =
        static_cast<std::int32_t>(in.number("layers", 1, 1, max_layers));
    pipeline.max_tokens = static_cast<std::int32_t>(
        in.number("max_tokens", 512, 1, max_response_tokens));
    result.kind = pipeline;
  } else {
    if (!kind.empty() && kind != "plain")
      in.add_error("kind", "must be model or plain");
    result.kind = plain_service{};
  }
  result.idempotent = in.boolean("idempotent", true);
  result.deadline =
      milliseconds(in.number("deadline_ms", 30000, 1, max_deadline_ms));
  result.endpoints = in.names("endpoints");
  result.accounts = in.names("accounts");
  in.reject_unknown_fields();
  return result;
}

auto read_account(const json& object, const std::string& path,
                  std::vector<validation_error>& errors) -> client_account {
  object_reader in(object, path, errors);
  client_account result;
  result.token = in.text("token", true);
  result.weight = in.positive("weight", 1, max_weight);
  result.priority = static_cast<std::int32_t>(in.number("priority", 1, 0, 3));
  in.reject_unknown_fields();
  return result;
}

auto read_vm(const json& object, const std::string& path,
             std::vector<validation_error>& errors) -> vm_settings {
  object_reader in(object, path, errors);
  vm_settings result;
  result.drain = in.boolean("drain", false);
  in.reject_unknown_fields();
  return result;
}

auto to_json(const service& service_config) -> json {
  json out{{"idempotent", service_config.idempotent},
           {"deadline_ms", service_config.deadline.count()},
           {"endpoints", service_config.endpoints},
           {"accounts", service_config.accounts}};
  std::visit(overloaded{[&](const model_pipeline& pipeline) {
                          out["kind"] = "model";
                          out["model"] = pipeline.model;
                          out["layers"] = pipeline.layers;
                          out["max_tokens"] = pipeline.max_tokens;
                        },
                        [&](const plain_service&) { out["kind"] = "plain"; }},
             service_config.kind);
  return out;
}

auto to_json(const client_account& account) -> json {
  return {{"token", account.token},
          {"weight", account.weight},
          {"priority", account.priority}};
}

auto to_json(const vm_settings& vm) -> json {
  return {{"drain", vm.drain}};
}

template <class Item>
auto to_json(const std::shared_ptr<const Item>& item) -> json {
  return to_json(*item);
}

template <class Item>
auto section_json(const std::map<std::string, Item>& items) -> json {
  auto out = json::object();
  for (const auto& [name, item] : items)
    out[name] = to_json(item);
  return out;
}

auto section_json(
    const copy_on_write_map<std::shared_ptr<const client_account>>& items)
    -> json {
  auto out = json::object();
  items.for_each(
      [&](const auto& name, const auto& item) { out[name] = to_json(*item); });
  return out;
}

/// The items of one section of a patch as pairs of name and change. Invalid
/// names are added to `errors`.
auto section_changes(const json& patch, const std::string& section,
                     std::vector<validation_error>& errors)
    -> std::vector<std::pair<std::string, json>> {
  std::vector<std::pair<std::string, json>> changes;
  const auto found = patch.find(section);
  if (found == patch.end()) return changes;
  if (!found->is_object()) {
    errors.push_back({section, "must be an object"});
    return changes;
  }
  for (const auto& [name, change] : found->items()) {
    if (name.empty() || name.size() > max_name_bytes)
      errors.push_back(
          {section + "." + name, "names have 1 to 128 characters"});
    else
      changes.emplace_back(name, change);
  }
  return changes;
}

auto not_found_error(const std::string& path) -> validation_error {
  return {path, "cannot be removed: it does not exist"};
}

/// The present item, or an empty object, with the change merged in.
template <class Item>
auto merged(const Item* present, const json& change) -> json {
  auto result = present == nullptr ? json::object() : to_json(*present);
  result.merge_patch(change);
  return result;
}

template <class Item, class Read>
auto merge_section(const json& patch, const std::string& section,
                   std::map<std::string, Item>& items, Read read,
                   std::vector<validation_error>& errors) -> void {
  for (const auto& [name, change] : section_changes(patch, section, errors)) {
    const auto path = section + "." + name;
    const auto present = items.find(name);
    if (change.is_null() && present == items.end())
      errors.push_back(not_found_error(path));
    else if (change.is_null())
      items.erase(present);
    else
      items[name] = read(
          merged(present == items.end() ? nullptr : &present->second, change),
          path, errors);
  }
}

/// Removes the account's token from the index.
auto unindex_token(configuration& config, const std::string& name) -> void {
  const auto* account = config.accounts.find(name);
  if (account == nullptr) return;
  const auto* owner = config.account_by_token.find((*account)->token);
  if (owner != nullptr && *owner == name)
    config.account_by_token.erase((*account)->token);
}

auto merge_accounts(const json& patch, configuration& config,
                    std::vector<validation_error>& errors) -> void {
  const auto changes = section_changes(patch, "accounts", errors);
  // All old tokens are removed first, since a patch may move a token from one
  // account to another.
  for (const auto& [name, change] : changes)
    unindex_token(config, name);
  for (const auto& [name, change] : changes) {
    const auto path = "accounts." + name;
    if (change.is_null()) {
      if (!config.accounts.erase(name)) errors.push_back(not_found_error(path));
      continue;
    }
    auto account = std::make_shared<const client_account>(
        read_account(merged(config.accounts.find(name), change), path, errors));
    const auto* other = config.account_by_token.find(account->token);
    if (other != nullptr)
      errors.push_back({path + ".token", "is also the token of " + *other});
    else
      config.account_by_token.set(account->token, name);
    config.accounts.set(name, std::move(account));
  }
}

auto check_references(const configuration& config,
                      std::vector<validation_error>& errors) -> void {
  for (const auto& [name, service_config] : config.services)
    for (const auto& account : service_config->accounts)
      if (account != "*" && config.accounts.find(account) == nullptr)
        errors.push_back(
            {"services." + name + ".accounts",
             "names the client account " + account + ", which does not exist"});
}

}  // namespace

auto service::allows_endpoint(std::string_view endpoint,
                              std::string_view accelerator) const -> bool {
  return std::any_of(
      endpoints.begin(), endpoints.end(), [&](const std::string& allowed) {
        if (allowed == "*" || allowed == endpoint) return true;
        return allowed.rfind("kind:", 0) == 0 &&
               std::string_view(allowed).substr(5) == accelerator;
      });
}

auto service::allows_account(std::string_view account) const -> bool {
  return std::any_of(accounts.begin(), accounts.end(),
                     [&](const std::string& allowed) {
                       return allowed == "*" || allowed == account;
                     });
}

auto configuration::text() const -> std::string {
  return json{{"version", version},
              {"services", section_json(services)},
              {"accounts", section_json(accounts)},
              {"vms", section_json(vms)}}
      .dump();
}

auto apply_patch(const configuration& base, std::string_view patch)
    -> patch_outcome {
  std::vector<validation_error> errors;
  const auto body = json::parse(patch, nullptr, false);
  if (!body.is_object()) {
    errors.push_back({"", "the patch must be a JSON object"});
    return errors;
  }
  for (const auto& [key, value] : body.items())
    if (key != "services" && key != "accounts" && key != "vms")
      errors.push_back({key, "is not a known field"});
  auto next = base;
  ++next.version;
  merge_section(
      body, "services", next.services,
      [](const auto& object, const auto& path, auto& out) {
        return std::make_shared<const service>(read_service(object, path, out));
      },
      errors);
  merge_accounts(body, next, errors);
  merge_section(body, "vms", next.vms, read_vm, errors);
  check_references(next, errors);
  if (!errors.empty()) return errors;
  return next;
}

auto parse_configuration(std::string_view text)
    -> std::optional<configuration> {
  auto body = json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("version"))
    return fail("config.parse", "text", "not a configuration");
  const auto version = body["version"].get<std::uint64_t>();
  body.erase("version");
  auto outcome = apply_patch({}, body.dump());
  if (auto* errors = std::get_if<std::vector<validation_error>>(&outcome))
    return fail("config.parse", "text", describe(*errors));
  auto result = std::get<configuration>(std::move(outcome));
  result.version = version;
  return result;
}

auto describe(const std::vector<validation_error>& errors) -> std::string {
  std::string text;
  for (const auto& item : errors)
    text += (text.empty() ? "" : "; ") + item.path + ": " + item.reason;
  return text;
}

}  // namespace pollenloft
