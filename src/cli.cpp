/// pollenloft: the operators' command line.
///
/// Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 no control VM
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

constexpr int exit_done = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_unreachable = 3;
constexpr auto retry_pause = milliseconds(100);

const std::vector<setting> known_settings{
    {"control", "", address_list{}, "control replicas, id=a.b.c.d:port,..."},
    {"base", "-1", number_in{-1, INT64_MAX},
     "version that a patch changes; -1 takes the newest"},
    {"id", "", any_text{}, "name of a patch, the same when it is sent again"},
    {"who", "operator", nonempty_text{}, "who makes the change, for the audit"},
    {"wait-ms", "10000", number_in{1, 600000}, "how long to try"},
    {"json", "false", one_of{{"true", "false"}}, "print JSON"}};

constexpr auto usage =
    "pollenloft [settings] COMMAND\n"
    "  config show            the configuration in force\n"
    "  config apply FILE      apply a patch (--id, --base); - reads stdin\n"
    "  config history         the latest patches\n"
    "  status                 the control role and the VMs\n"
    "  endpoints              the endpoints that announced themselves\n"
    "  services               the services\n"
    "  audit                  who changed what, and with which result\n"
    "  drain VM | undrain VM  take a VM out of service, or back\n"
    "  members LIST           set the control replicas, such as 1,2,3";

struct answer {
  int status = 0;
  json body;
};

/// Calls the leader, trying each replica in turn.
class operator_client {
 public:
  explicit operator_client(const settings& given)
      : client_(loop_),
        until_(boottime_clock::now() + given.millis("wait-ms")) {
    for (const auto& [id, address] : given.addresses("control"))
      replicas_.push_back(address);
  }

  auto call(const std::string& method, const std::string& target,
            const std::string& body = "") -> std::optional<answer> {
    while (boottime_clock::now() < until_) {
      auto got = call_once(method, target, body);
      if (got && got->status != 421) return got;
      if (follow(got ? got->body.value("leader", "") : "")) continue;
      auto pause = loop_.after(retry_pause, [this] { loop_.stop(); });
      loop_.run();
    }
    return std::nullopt;
  }

 private:
  auto call_once(const std::string& method, const std::string& target,
                 const std::string& body) -> std::optional<answer> {
    http_call call{replicas_[target_],
                   method,
                   target,
                   {},
                   body,
                   until_ - boottime_clock::now()};
    std::optional<answer> got;
    client_.send(
        call,
        {{}, {}, [&](const auto& result, auto text) {
           const auto* answered = std::get_if<call_answered>(&result);
           if (answered != nullptr)
             got = answer{answered->status, json::parse(text, nullptr, false)};
           loop_.stop();
         }});
    loop_.run();
    return got;
  }

  /// True if the named leader is another replica than the one just asked.
  auto follow(const std::string& leader) -> bool {
    for (std::size_t i = 0; i < replicas_.size(); ++i)
      if (replicas_[i].text() == leader) {
        const auto moved = target_ != i;
        target_ = i;
        return moved;
      }
    target_ = (target_ + 1) % replicas_.size();
    return false;
  }

  event_loop loop_;
  http_client client_;
  instant until_;
  std::vector<socket_address> replicas_;
  std::size_t target_ = 0;
};

auto cell(const json& value) -> std::string {
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
        width = std::max(width, cell(row[column]).size());
    widths.push_back(width);
  }
  const auto line = [&](const auto& text_of) {
    for (std::size_t i = 0; i < columns.size(); ++i)
      std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2)
                << text_of(columns[i]);
    std::cout << "\n";
  };
  line([](const std::string& column) { return column; });
  for (const auto& row : rows)
    line([&](const std::string& column) {
      return row.contains(column) ? cell(row[column]) : std::string("-");
    });
}

auto named_rows(const json& object) -> json {
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
  explicit command_line(const settings& given)
      : given_(given), client_(given) {}

  auto run() -> int {
    const auto& words = given_.arguments();
    if (words.empty()) return misused();
    const auto& verb = words[0];
    if (verb == "config" && words.size() >= 2) return config(words);
    if (verb == "status") return status();
    if (verb == "endpoints")
      return list("/v1/endpoints", {"id", "service", "kind", "zone", "layers",
                                    "state", "owner"});
    if (verb == "services") return services();
    if (verb == "audit")
      return list("/v1/audit",
                  {"at_ms", "who", "what", "base", "version", "result"});
    if ((verb == "drain" || verb == "undrain") && words.size() == 2)
      return drain(words[1], verb == "drain");
    if (verb == "members" && words.size() == 2)
      return show(client_.call("POST", "/v1/members", "[" + words[1] + "]"));
    return misused();
  }

 private:
  static auto misused() -> int {
    std::cerr << "Usage: " << usage << "\n";
    return exit_usage;
  }

  static auto unreachable() -> int {
    std::cerr << "error: no control VM answered in time\n";
    return exit_unreachable;
  }

  auto show(const std::optional<answer>& got) -> int {
    if (!got) return unreachable();
    if (got->status == 200) {
      std::cout << got->body.dump(given_.flag("json") ? -1 : 2) << "\n";
      return exit_done;
    }
    std::cerr << "error: " << got->body.value("error", "refused") << "\n";
    return exit_refused;
  }

  auto list(const std::string& target, const std::vector<std::string>& columns)
      -> int {
    const auto got = client_.call("GET", target);
    if (!got || got->status != 200 || given_.flag("json")) return show(got);
    print_table(columns, got->body);
    return exit_done;
  }

  auto services() -> int {
    const auto got = client_.call("GET", "/v1/config");
    if (!got || got->status != 200 || given_.flag("json")) return show(got);
    print_table({"name", "kind", "model", "layers", "idempotent", "deadline_ms",
                 "endpoints", "accounts"},
                named_rows(got->body["services"]));
    return exit_done;
  }

  auto status() -> int {
    const auto got = client_.call("GET", "/v1/status");
    if (!got || got->status != 200 || given_.flag("json")) return show(got);
    auto summary = got->body;
    const auto vms = named_rows(summary["vms"]);
    summary.erase("vms");
    for (const auto& [key, value] : summary.items())
      std::cout << key << "=" << cell(value) << " ";
    std::cout << "\n";
    print_table({"name", "zone", "address", "version", "lease_ms", "draining"},
                vms);
    return exit_done;
  }

  auto config(const std::vector<std::string>& words) -> int {
    if (words[1] == "show") return show(client_.call("GET", "/v1/config"));
    if (words[1] == "history")
      return list("/v1/config/history", {"version", "id", "patch"});
    if (words[1] == "apply" && words.size() == 3) return apply(words[2]);
    return misused();
  }

  auto apply(const std::string& file) -> int {
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

  auto drain(const std::string& vm, bool on) -> int {
    return send_patch({{"vms", {{vm, {{"drain", on}}}}}});
  }

  auto send_patch(const json& patch) -> int {
    auto base = given_.number("base");
    if (base < 0) {
      const auto now = client_.call("GET", "/v1/config");
      if (!now) return unreachable();
      base = now->body.value("version", std::int64_t{0});
    }
    auto id = given_.text("id");
    if (id.empty())
      id = given_.text("who") + "-" + std::to_string(wall_clock().count());
    const json body{{"base", base},
                    {"id", id},
                    {"who", given_.text("who")},
                    {"patch", patch}};
    return show(client_.call("POST", "/v1/config/patches", body.dump()));
  }

  const settings& given_;
  operator_client client_;
};

auto run(int argc, char** argv) -> int {
  auto parsed = parse_settings(usage, known_settings, argc, argv);
  if (auto* code = std::get_if<int>(&parsed)) return *code;
  const auto& given = std::get<settings>(parsed);
  if (given.addresses("control").empty()) {
    std::cerr << "setting=control value=\"\" allowed=\"at least one\"\n";
    return exit_usage;
  }
  return command_line(given).run();
}

}  // namespace
}  // namespace pollenloft

auto main(int argc, char** argv) -> int {
  return pollenloft::run(argc, argv);
}
