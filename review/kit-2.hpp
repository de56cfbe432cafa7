// Shared by the cases 6 to 10: a small deployment of the project's programs on
// loopback addresses, and stand-ins for callers, runners and the operator.
#ifndef REVIEW_KIT_2_HPP
#define REVIEW_KIT_2_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <spawn.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_could_not_run = 2;

// Ports of the processes, as the platform's settings file names them.
constexpr int first_port = 7340;  // of PortRange
constexpr int last_port = 7355;
constexpr int front_port = 8227;
constexpr int readiness_port = 8220;
constexpr int control_port = 8229;
constexpr int runner_port = 8080;

inline auto now() -> clock_type::time_point { return clock_type::now(); }

/// Text with every byte outside of printable ASCII as \xHH.
inline auto printable(std::string_view text) -> std::string {
  std::string out;
  for (const unsigned char c : text) {
    if (c >= 0x20 && c < 0x7f) {
      out += static_cast<char>(c);
      continue;
    }
    char hex[8];
    std::snprintf(hex, sizeof hex, "\\x%02x", c);
    out += hex;
  }
  return out;
}

/// Writes what was sent, answered and run.
class record {
 public:
  explicit record(const std::string& path) : out_(path), start_(now()) {}
  auto line(const std::string& text) -> void {
    const std::scoped_lock lock(mutex_);
    const auto ms =
        std::chrono::duration_cast<milliseconds>(now() - start_).count();
    char time[32];
    std::snprintf(time, sizeof time, "%7.3f ", static_cast<double>(ms) / 1000);
    out_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  clock_type::time_point start_;
};

// --- HTTP --------------------------------------------------------------------

using headers = std::vector<std::pair<std::string, std::string>>;

struct message {
  std::string first_line;
  headers fields;
  std::string body;
  bool complete = false;  // whole by its framing

  auto field(const std::string& name) const -> std::string {
    for (const auto& [key, value] : fields)
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    return "";
  }
  auto status() const -> int {
    const auto blank = first_line.find(' ');
    return blank == std::string::npos
               ? 0
               : std::atoi(first_line.c_str() + blank + 1);
  }
};

/// A blocking connection that reads with a time-out.
class channel {
 public:
  explicit channel(int socket) : socket_(socket) {}
  channel(const std::string& host, int port, milliseconds timeout) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_timeout(timeout);
    if (::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                  sizeof address) != 0)
      close();
    const int on = 1;
    if (socket_ >= 0)
      setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~channel() { close(); }
  channel(const channel&) = delete;
  auto operator=(const channel&) -> channel& = delete;

  auto open() const -> bool { return socket_ >= 0; }
  auto close() -> void {
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
  }
  auto shut() -> void {
    if (socket_ >= 0) ::shutdown(socket_, SHUT_RDWR);
  }
  auto set_timeout(milliseconds timeout) -> void {
    const timeval value{timeout.count() / 1000, timeout.count() % 1000 * 1000};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
    setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof value);
  }
  auto send(std::string_view bytes) -> bool {
    while (!bytes.empty()) {
      const auto n = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  /// Reads more input; false at the end, at an error or after the time-out.
  auto fill() -> bool {
    char part[65536];
    const auto n = ::recv(socket_, part, sizeof part, 0);
    timed_out_ = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (n <= 0) return false;
    input_.append(part, static_cast<std::size_t>(n));
    return true;
  }
  auto timed_out() const -> bool { return timed_out_; }

  /// The next message; empty if nothing of one arrived. A response of unknown
  /// length ends with the connection.
  auto read(bool response, bool to_head = false) -> std::optional<message> {
    std::size_t end = 0;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos)
      if (!fill()) {
        if (input_.empty()) return std::nullopt;
        message cut;
        cut.first_line = input_.substr(0, input_.find("\r\n"));
        return cut;
      }
    message result;
    std::istringstream head(input_.substr(0, end));
    input_.erase(0, end + 4);
    std::getline(head, result.first_line);
    if (!result.first_line.empty()) result.first_line.pop_back();
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      const auto value = line.find_first_not_of(" \t", colon + 1);
      result.fields.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    if (to_head || result.status() == 204) {
      result.complete = true;
      return result;
    }
    if (!result.field("Transfer-Encoding").empty()) {
      read_chunks(result);
      return result;
    }
    const auto length = result.field("Content-Length");
    if (length.empty() && !response) {
      result.complete = true;
      return result;
    }
    if (length.empty()) {
      while (fill()) {
      }
      result.body = std::exchange(input_, {});
      result.complete = !timed_out_;
      return result;
    }
    const auto size = std::strtoull(length.c_str(), nullptr, 10);
    while (input_.size() < size && fill()) {
    }
    result.complete = input_.size() >= size;
    result.body = input_.substr(0, size);
    input_.erase(0, size);
    return result;
  }

 private:
  auto read_chunks(message& result) -> void {
    for (;;) {
      std::size_t end = 0;
      while ((end = input_.find("\r\n")) == std::string::npos)
        if (!fill()) return;
      const auto size = std::strtoull(input_.c_str(), nullptr, 16);
      while (input_.size() < end + 2 + size + 2)
        if (!fill()) return;
      result.body += input_.substr(end + 2, size);
      input_.erase(0, end + 2 + size + 2);
      if (size > 0) continue;
      result.complete = true;
      return;
    }
  }

  int socket_ = -1;
  bool timed_out_ = false;
  std::string input_;
};

inline auto request_text(const std::string& method, const std::string& target,
                         const headers& fields, const std::string& body)
    -> std::string {
  auto text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields)
    text += name + ": " + value + "\r\n";
  if (!body.empty())
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

/// One request on a channel of its own.
inline auto call(const std::string& host, int port, const std::string& method,
                 const std::string& target, const headers& fields,
                 const std::string& body, milliseconds timeout)
    -> std::optional<message> {
  channel connection(host, port, timeout);
  if (!connection.open()) return std::nullopt;
  auto all = fields;
  all.insert(all.begin(), {"Host", host + ":" + std::to_string(port)});
  if (!connection.send(request_text(method, target, all, body)))
    return std::nullopt;
  return connection.read(true, method == "HEAD");
}

// --- processes ---------------------------------------------------------------

class process {
 public:
  process(std::vector<std::string> words, std::string log)
      : words_(std::move(words)), log_(std::move(log)) {}
  ~process() { end(); }
  process(const process&) = delete;
  auto operator=(const process&) -> process& = delete;

  auto start() -> bool {
    std::vector<char*> arguments;
    for (auto& word : words_)
      arguments.push_back(word.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const auto failed = posix_spawn(&pid_, arguments[0], &actions, nullptr,
                                    arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) pid_ = -1;
    return failed == 0;
  }
  /// How it ended, if it did since it was started.
  auto ended() -> std::optional<int> {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
      return std::nullopt;
    pid_ = -1;
    return status;
  }
  auto running() const -> bool { return pid_ > 0; }
  auto pid() const -> pid_t { return pid_; }
  auto signal(int number) -> void {
    if (pid_ > 0) ::kill(pid_, number);
  }
  auto end() -> void {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  auto log_tail(std::size_t bytes) const -> std::string {
    std::ifstream in(log_);
    std::stringstream text;
    text << in.rdbuf();
    const auto all = text.str();
    return all.substr(all.size() - std::min(bytes, all.size()));
  }

 private:
  std::vector<std::string> words_;
  std::string log_;
  pid_t pid_ = -1;
};

inline auto describe_end(int status) -> std::string {
  if (WIFSIGNALED(status))
    return "by signal " + std::to_string(WTERMSIG(status));
  return "with code " + std::to_string(WEXITSTATUS(status));
}

// --- deployment --------------------------------------------------------------

struct plan {
  int controls = 3;
  int entries = 1;
  int tolerate = 1;  // lost machines with a disk
};

/// The programs of the deploy file, with its templates filled in. The working
/// folder is the root of the repository.
class deployment {
 public:
  deployment(plan size, record& log) : size_(size), log_(log) {
    folder_ = (std::filesystem::temp_directory_path() /
               ("review-" + std::to_string(::getpid())))
                  .string();
    std::filesystem::create_directories(folder_);
    const auto pid = static_cast<int>(::getpid());
    block_ = "127." + std::to_string(60 + pid % 120) + "." +
             std::to_string(1 + pid / 120 % 250) + ".";
  }
  ~deployment() {
    entries_.clear();
    controls_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  deployment(const deployment&) = delete;
  auto operator=(const deployment&) -> deployment& = delete;

  auto control_host(int i) const -> std::string {
    return block_ + std::to_string(1 + i);
  }
  auto entry_host(int i) const -> std::string {
    return block_ + std::to_string(20 + i);
  }
  auto runner_host(int i) const -> std::string {
    return block_ + std::to_string(100 + i);
  }
  auto controls() const -> int { return size_.controls; }
  auto control(int i) -> process& { return *controls_[i]; }
  auto entry(int i) -> process& { return *entries_[i]; }
  auto log() -> record& { return log_; }

  /// Starts everything with empty disks.
  auto start() -> bool {
    for (int i = 0; i < size_.controls; ++i) {
      controls_.push_back(make("pollenloft-controld", "control.conf",
                               "core-" + std::to_string(i), control_host(i)));
      if (!controls_.back() || !controls_.back()->start()) return false;
    }
    for (int i = 0; i < size_.entries; ++i) {
      entries_.push_back(make("pollenloft-entryd", "entry.conf",
                              "edge-" + std::to_string(i), entry_host(i)));
      if (!entries_.back() || !entries_.back()->start()) return false;
    }
    return true;
  }

  /// From now on, programs start with the settings of a later start.
  auto end_bootstrap() -> void {
    bootstrap_ = false;
    for (int i = 0; i < size_.controls; ++i)
      write_settings("control.conf", "core-" + std::to_string(i),
                     control_host(i));
  }

  /// Sends a configuration as the operator does; true once acknowledged.
  auto configure(const std::string& text, seconds limit) -> bool {
    const auto until = now() + limit;
    for (int i = 0; now() < until; ++i) {
      auto host = control_host(i % size_.controls);
      for (int hop = 0; hop < 3; ++hop) {
        const auto answer =
            call(host, control_port, "PUT", "/config",
                 {{"Content-Type", "application/json"}}, text, seconds(1));
        if (answer && answer->status() == 200) {
          end_bootstrap();
          return true;
        }
        if (!answer || answer->status() != 307) break;
        const auto location = answer->field("Location").substr(7);
        host = location.substr(0, location.find(':'));
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  /// Records the last lines of all programs, if the case could not run.
  auto record_logs() -> void {
    for (const auto* group : {&controls_, &entries_})
      for (const auto& each : *group)
        log_.line("log: " + printable(each->log_tail(400)));
  }

  auto ready(int i) const -> bool {
    const auto answer = call(entry_host(i), readiness_port, "GET", "/readyz",
                             {}, "", seconds(1));
    return answer && answer->status() == 200;
  }
  auto wait_ready(seconds limit) const -> bool {
    const auto until = now() + limit;
    while (now() < until) {
      auto all = true;
      for (int i = 0; i < size_.entries; ++i)
        all = all && ready(i);
      if (all) return true;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

 private:
  auto make(const std::string& program, const std::string& source,
            const std::string& name, const std::string& host)
      -> std::unique_ptr<process> {
    const auto settings = write_settings(source, name, host);
    return std::make_unique<process>(
        std::vector<std::string>{"target/" + program, "--settings", settings},
        folder_ + "/" + name + ".log");
  }

  /// Fills in the template as the platform does.
  auto write_settings(const std::string& source, const std::string& name,
                      const std::string& host) -> std::string {
    std::string seeds;
    for (int i = 0; i < std::min(3, size_.controls); ++i)
      seeds += (i > 0 ? "," : "") + control_host(i) + ":" +
               std::to_string(control_port);
    const auto at = [&](int port) { return host + ":" + std::to_string(port); };
    const std::map<std::string, std::string> values{
        {"Ip", host},
        {"NodeName", name},
        {"Zone", "hall-a"},
        {"PortRange.0", std::to_string(first_port)},
        {"PortRange.1", std::to_string(last_port)},
        {"Listen.Front", at(front_port)},
        {"Listen.Readiness", at(readiness_port)},
        {"Listen.Control", at(control_port)},
        {"Seeds", seeds},
        {"DataDir", folder_ + "/" + name},
        {"Bootstrap", bootstrap_ ? "true" : "false"},
        {"Tolerate.Machines", std::to_string(size_.tolerate)},
        {"Limits.LinkMbps", "1000.0"},
        {"Limits.MemoryMb", "260"},
        {"Limits.MaxFds", "4096"},
        {"HeartbeatMs", "1200"},
        {"Bounds.ConfigApplyMs", "2000"},
        {"Bounds.RetrySlack", "202"}};
    std::ifstream in("deploy/" + source);
    std::stringstream text;
    text << in.rdbuf();
    auto filled = text.str();
    for (auto begin = filled.find("{{"); begin != std::string::npos;
         begin = filled.find("{{", begin)) {
      const auto end = filled.find("}}", begin);
      const auto value = values.find(filled.substr(begin + 2, end - begin - 2));
      filled.replace(begin, end + 2 - begin,
                     value == values.end() ? "" : value->second);
    }
    const auto path = folder_ + "/" + name + ".conf";
    std::ofstream(path) << filled;
    return path;
  }

  plan size_;
  record& log_;
  std::string folder_;
  std::string block_;
  bool bootstrap_ = true;
  std::vector<std::unique_ptr<process>> controls_;
  std::vector<std::unique_ptr<process>> entries_;
};

// --- runners -----------------------------------------------------------------

/// A request that has reached a runner.
struct arrival {
  message head;
  std::string method;
  std::string target;
  std::string id;  // Request-Id
};

/// A sound runner on a thread of this process. It reports itself as the pages
/// say, answers its status check and refuses requests for another instance.
class runner {
 public:
  using work = std::function<void(runner&, channel&, const arrival&)>;

  runner(deployment& platform, int number, std::string service, int slots,
         work run, std::string extra_report = {})
      : platform_(platform),
        host_(platform.runner_host(number)),
        id_("i-" + std::to_string(4096 + number)),
        service_(std::move(service)),
        slots_(slots),
        run_(std::move(run)),
        extra_report_(std::move(extra_report)) {}
  ~runner() { crash(); }
  runner(const runner&) = delete;
  auto operator=(const runner&) -> runner& = delete;

  auto start() -> bool {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(runner_port);
    inet_pton(AF_INET, host_.c_str(), &address.sin_addr);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener_, 256) != 0)
      return false;
    accepting_ = std::thread([this] { accept_all(); });
    reporting_ = std::thread([this] { report_all(); });
    return true;
  }
  /// Ends like a killed process: the listener and all connections close.
  auto crash() -> void {
    if (ended_.exchange(true)) return;
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    {
      const std::scoped_lock lock(mutex_);
      for (auto* each : open_)
        each->shut();
    }
    if (accepting_.joinable()) accepting_.join();
    if (reporting_.joinable()) reporting_.join();
    for (auto& each : serving_)
      each.join();
    serving_.clear();
  }
  auto ended() const -> bool { return ended_; }
  auto id() const -> const std::string& { return id_; }
  auto host() const -> const std::string& { return host_; }
  auto address() const -> std::string {
    return host_ + ":" + std::to_string(runner_port);
  }
  auto log() -> record& { return platform_.log(); }

  /// Sends a whole answer with a seal.
  auto answer(channel& to, const arrival& request, const std::string& status,
              const headers& fields, const std::string& body) const -> bool {
    auto text = "HTTP/1.1 " + status + "\r\nRequest-Id: " + request.id +
                "\r\nServer-Seal: " + id_ + "." + request.id + "\r\n";
    for (const auto& [name, value] : fields)
      text += name + ": " + value + "\r\n";
    return to.send(text + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + (request.method == "HEAD" ? "" : body));
  }

 private:
  auto accept_all() -> void {
    while (!ended_) {
      const auto socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) return;
      serving_.emplace_back([this, socket] { serve(socket); });
    }
  }

  auto serve(int socket) -> void {
    channel caller(socket);
    {
      const std::scoped_lock lock(mutex_);
      open_.insert(&caller);
    }
    caller.set_timeout(seconds(60));
    while (!ended_) {
      auto head = caller.read(false);
      if (!head || !head->complete) break;
      arrival request;
      std::istringstream line(head->first_line);
      line >> request.method >> request.target;
      request.id = head->field("Request-Id");
      request.head = std::move(*head);
      if (request.target == "/healthz") {
        caller.send("HTTP/1.1 200 OK\r\nInstance: " + id_ +
                    "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const auto wanted = request.head.field("Expect-Instance");
      if (!wanted.empty() && wanted != id_) {
        caller.send("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " +
                    request.id +
                    "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      run_(*this, caller, request);
      if (request.head.field("Connection") == "close") break;
    }
    const std::scoped_lock lock(mutex_);
    open_.erase(&caller);
  }

  /// PUT /instances/ID each 1.2 s, to another machine if one does not answer.
  auto report_all() -> void {
    const auto born = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    for (int sequence = 1; !ended_; ++sequence) {
      std::ostringstream body;
      body << R"({"Backend":")" << service_ << R"(","Address":")" << address()
           << R"(","Zone":"hall-a","Version":"v1","Slots":)" << slots_
           << R"(,"State":"ready","ColdLeftMs":0,"Seq":)" << sequence
           << R"(,"born":)" << born << extra_report_ << "}";
      for (int i = 0; i < platform_.controls(); ++i) {
        const auto answer =
            call(platform_.control_host((sequence + i) % platform_.controls()),
                 control_port, "PUT", "/instances/" + id_,
                 {{"Content-Type", "application/json"}}, body.str(),
                 seconds(1));
        if (answer && answer->status() / 100 == 2) break;
      }
      for (int i = 0; i < 24 && !ended_; ++i)
        std::this_thread::sleep_for(milliseconds(50));
    }
  }

  deployment& platform_;
  std::string host_;
  std::string id_;
  std::string service_;
  int slots_;
  work run_;
  std::string extra_report_;
  int listener_ = -1;
  std::atomic<bool> ended_{false};
  std::thread accepting_;
  std::thread reporting_;
  std::mutex mutex_;
  std::set<channel*> open_;
  std::vector<std::thread> serving_;
};

// --- configuration -----------------------------------------------------------

struct route {
  std::string name;
  std::string type;
  std::string service;
  int timeout_ms = 5000;
  int objective_ms = 500;
  int attempts = 1;
  bool resumable = false;
};

inline auto configuration(int version, const std::vector<route>& routes,
                          const std::vector<std::string>& services)
    -> std::string {
  std::ostringstream out;
  out << R"({"Version":)" << version << R"(,"Routes":[)";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const auto& each = routes[i];
    out << (i > 0 ? "," : "") << R"({"Name":"r-)" << each.name
        << R"(","Hostname":"naplo.example","PathPrefix":"/)" << each.name
        << R"(/","Type":")" << each.type << R"(","TimeoutMs":)"
        << each.timeout_ms << R"(,"SloMs":)" << each.objective_ms
        << R"(,"Priority":1,"Backend":")" << each.service
        << R"(","Attempts":)" << each.attempts << R"(,"Public":false)";
    if (each.type == "streaming")
      out << R"(,"Sticky":true,"Resumable":)"
          << (each.resumable ? "true" : "false") << R"(,"EventGapMs":200)";
    out << "}";
  }
  out << R"(],"Services":[)";
  for (std::size_t i = 0; i < services.size(); ++i)
    out << (i > 0 ? "," : "") << services[i];
  out << R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
      << R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[)"
      << R"({"Name":"tenant-a","ApiKeys":["key-a"],"Priority":1}]})";
  return out.str();
}

inline auto plain_service(const std::string& name) -> std::string {
  return R"({"Name":")" + name +
         R"(","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false})";
}

/// The headers of a caller's request.
inline auto caller_headers(const std::string& id, int deadline_ms) -> headers {
  return {{"Host", "naplo.example"},
          {"Request-Id", id},
          {"Deadline-Ms", std::to_string(deadline_ms)},
          {"Api-Key", "key-a"}};
}

/// TROUBLE=0 leaves the disruption out.
inline auto trouble() -> bool {
  const auto* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline auto finish(record& log, int code, const std::string& verdict) -> int {
  log.line("verdict: " + verdict + " (exit " + std::to_string(code) + ")");
  std::printf("%s (exit %d)\n", verdict.c_str(), code);
  return code;
}

}  // namespace kit

#endif
