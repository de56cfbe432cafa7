/// pollenloft: command line for operators.
///
/// Exit codes: 0 success, 1 refused or failed, 2 usage error, 3 no control VM
/// could be reached.
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "pollenloft/net.hpp"
#include "pollenloft/settings.hpp"

namespace pollenloft {
namespace {

using json = nlohmann::json;

constexpr int exit_success = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_unreachable = 3;
constexpr auto retry_delay = milliseconds(100);

const std::vector<setting> known_settings{
    {"control", "", named_address_list{},
     "control replicas, id=a.b.c.d:port,..."},
    {"base", "-1", number_range{-1, INT64_MAX},
     "version that a patch is based on; -1 takes the newest"},
    {"id", "", any_text{},
     "id of a patch; a patch sent again with its id is applied once"},
    {"who", "operator", nonempty_text{},
     "author of the change, recorded in the audit log"},
    {"wait-ms", "10000", number_range{1, 600000},
     "how long to retry until the leader answers"},
    {"json", "false", one_of{{"true", "false"}}, "print JSON"}};

constexpr auto usage =
    "pollenloft [settings] COMMAND\n"
    "  config show            the configuration in force\n"
    "  config apply FILE      apply a patch (--id, --base); - reads stdin\n"
    "  config history         the latest patches\n"
    "  status                 the control role and the VMs\n"
    "  endpoints              the registered endpoints\n"
    "  services               the services\n"
    "  crashes                requests that crashed endpoints\n"
    "  crashes clear FINGERPRINT  let such a request run again\n"
    "  audit                  the changes, their authors and results\n"
    "  drain VM | undrain VM  take a VM out of service, or back into it\n"
    "  members LIST           set the control replicas, such as 1,2,3";

struct api_response {
  int status = 0;
  json body;
};

/// Calls the leader; follows redirects and tries each replica in turn.
class leader_client {
 public:
  explicit leader_client(const settings& values)
      : client_(loop_),
        deadline_(boottime_clock::now() + values.millis("wait-ms")) {
    for (const auto& [id, address] : values.named_addresses("control"))
      replicas_.push_back(address);
  }

  auto call(const std::string& method, const std::string& target,
            const std::string& body = "") -> std::optional<api_response> {
    while (boottime_clock::now() < deadline_) {
      auto response = call_once(method, target, body);
      if (response && response->status != 421) return response;
      if (select_leader(response ? response->body.value("leader", "") : ""))
        continue;
      const auto retry = loop_.after(retry_delay, [this] { loop_.stop(); });
      loop_.run();
    }
    return std::nullopt;
  }

 private:
  auto call_once(const std::string& method, const std::string& target,
                 const std::string& body) -> std::optional<api_response> {
    http_call call{replicas_[current_],
                   method,
                   target,
                   {},
                   body,
                   deadline_ - boottime_clock::now()};
    std::optional<api_response> response;
    client_.send(
        call, {{}, {}, [&](const auto& result, auto text) {
                 const auto* completed = std::get_if<call_completed>(&result);
                 if (completed != nullptr)
                   response = api_response{completed->status,
                                           json::parse(text, nullptr, false)};
                 loop_.stop();
               }});
    loop_.run();
    return response;
  }

  /// Selects the replica for the next call: the leader, or the next in turn if
  /// it is unknown. True if the leader is another replica than the last one
  /// called.
  auto select_leader(const std::string& leader) -> bool {
    for (std::size_t i = 0; i < replicas_.size(); ++i)
      if (replicas_[i].text() == leader) {
        const auto changed = current_ != i;
        current_ = i;
        return changed;
      }
    current_ = (current_ + 1) % replicas_.size();
    return false;
  }

  event_loop loop_;
  http_client client_;
  instant deadline_;
  std::vector<socket_address> replicas_;
  std::size_t current_ = 0;
};

auto cell_text(const json& value) -> std::string {
  if (value.is_string()) return value.get<std::string>();
  return value.dump();
}

/// Prints rows as columns of equal width.
auto print_table(const std::vector<std::string>& columns, const json& rows)
    -> void {
  std::vector<std::size_t> widths;
  for (const auto& column : columns) {
    auto width = column.size();
    for (const auto& row : rows)
      if (row.contains(column))
        width = std::max(width, cell_text(row[column]).size());
    widths.push_back(width);
  }
  const auto print_row = [&](const auto& text_of) {
    for (std::size_t i = 0; i < columns.size(); ++i)
      std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2)
                << text_of(columns[i]);
    std::cout << "\n";
  };
  print_row([](const std::string& column) { return column; });
  for (const auto& row : rows)
    print_row([&](const std::string& column) {
      return row.contains(column) ? cell_text(row[column]) : std::string("-");
    });
}

/// The members of an object as rows with a column `name`.
auto rows_by_name(const json& object) -> json {
  auto rows = json::array();
  for (const auto& [name, item] : object.items()) {
    auto row = item;
    row["name"] = name;
    rows.push_back(std::move(row));
  }
  return rows;
}

class command_line {
 public:
  explicit command_line(const settings& values)
      : values_(values), client_(values) {}

  auto run() -> int {
    const auto& arguments = values_.arguments();
    if (arguments.empty()) return print_usage();
    const auto& verb = arguments[0];
    if (verb == "config" && arguments.size() >= 2) return run_config(arguments);
    if (verb == "status") return print_status();
    if (verb == "endpoints")
      return print_list(
          "/v1/endpoints",
          {"id", "service", "kind", "zone", "request_limit", "layers", "state",
           "paused_by_vms", "paused_ms", "owner"});
    if (verb == "services") return print_services();
    if (verb == "crashes" && arguments.size() == 1)
      return print_list("/v1/crashes", {"fingerprint", "account", "points",
                                        "kind", "held_back", "endpoints"});
    if (verb == "crashes" && arguments.size() == 3 && arguments[1] == "clear")
      return print_response(client_.call(
          "POST", "/v1/crashes/clear",
          json{{"fingerprint", arguments[2]}, {"who", values_.text("who")}}
              .dump()));
    if (verb == "audit")
      return print_list("/v1/audit",
                        {"at_ms", "who", "what", "base", "version", "result"});
    if ((verb == "drain" || verb == "undrain") && arguments.size() == 2)
      return set_drain(arguments[1], verb == "drain");
    if (verb == "members" && arguments.size() == 2)
      return print_response(
          client_.call("POST", "/v1/members", "[" + arguments[1] + "]"));
    return print_usage();
  }

 private:
  static auto print_usage() -> int {
    std::cerr << "Usage: " << usage << "\n";
    return exit_usage;
  }

  static auto report_unreachable() -> int {
    std::cerr << "error: no control VM answered in time\n";
    return exit_unreachable;
  }

  auto print_response(const std::optional<api_response>& response) -> int {
    if (!response) return report_unreachable();
    if (response->status == 200) {
      std::cout << response->body.dump(values_.flag("json") ? -1 : 2) << "\n";
      return exit_success;
    }
    std::cerr << "error: " << response->body.value("error", "refused") << "\n";
    return exit_refused;
  }

  auto print_list(const std::string& target,
                  const std::vector<std::string>& columns) -> int {
    const auto response = client_.call("GET", target);
    if (!response || response->status != 200 || values_.flag("json"))
      return print_response(response);
    print_table(columns, response->body);
    return exit_success;
  }

  auto print_services() -> int {
    const auto response = client_.call("GET", "/v1/config");
    if (!response || response->status != 200 || values_.flag("json"))
      return print_response(response);
    print_table({"name", "kind", "model", "layers", "idempotent", "deadline_ms",
                 "endpoints", "accounts"},
                rows_by_name(response->body["services"]));
    return exit_success;
  }

  auto print_status() -> int {
    const auto response = client_.call("GET", "/v1/status");
    if (!response || response->status != 200 || values_.flag("json"))
      return print_response(response);
    auto summary = response->body;
    const auto vms = rows_by_name(summary["vms"]);
    summary.erase("vms");
    for (const auto& [key, value] : summary.items())
      std::cout << key << "=" << cell_text(value) << " ";
    std::cout << "\n";
    print_table({"name", "zone", "address", "version", "lease_ms", "draining"},
                vms);
    return exit_success;
  }

  auto run_config(const std::vector<std::string>& arguments) -> int {
    if (arguments[1] == "show")
      return print_response(client_.call("GET", "/v1/config"));
    if (arguments[1] == "history")
      return print_list("/v1/config/history", {"version", "id", "patch"});
    if (arguments[1] == "apply" && arguments.size() == 3)
      return apply_file(arguments[2]);
    return print_usage();
  }

  auto apply_file(const std::string& file) -> int {
    std::ostringstream text;
    if (file == "-") {
      text << std::cin.rdbuf();
    } else {
      std::ifstream in(file);
      if (!in) {
        std::cerr << "error: " << file << " cannot be read\n";
        return exit_usage;
      }
      text << in.rdbuf();
    }
    const auto patch = json::parse(text.str(), nullptr, false);
    if (!patch.is_object()) {
      std::cerr << "error: " << file << " is not a JSON object\n";
      return exit_usage;
    }
    return send_patch(patch);
  }

  auto set_drain(const std::string& vm, bool draining) -> int {
    return send_patch({{"vms", {{vm, {{"drain", draining}}}}}});
  }

  auto send_patch(const json& patch) -> int {
    auto base = values_.number("base");
    if (base < 0) {
      const auto current = client_.call("GET", "/v1/config");
      if (!current) return report_unreachable();
      base = current->body.value("version", std::int64_t{0});
    }
    auto id = values_.text("id");
    if (id.empty())
      id = values_.text("who") + "-" + std::to_string(wall_clock().count());
    const json body{{"base", base},
                    {"id", id},
                    {"who", values_.text("who")},
                    {"patch", patch}};
    return print_response(
        client_.call("POST", "/v1/config/patches", body.dump()));
  }

  const settings& values_;
  leader_client client_;
};

auto run(int argc, char** argv) -> int {
  auto parsed = parse_settings(usage, known_settings, argc, argv);
  if (auto* code = std::get_if<int>(&parsed)) return *code;
  const auto& values = std::get<settings>(parsed);
  if (values.named_addresses("control").empty()) {
    std::cerr << "setting=control value=\"\" allowed=\"at least one\"\n";
    return exit_usage;
  }
  return command_line(values).run();
}

}  // namespace
}  // namespace pollenloft

auto main(int argc, char** argv) -> int {
  return pollenloft::run(argc, argv);
}
