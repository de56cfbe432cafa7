/// \file harness.hpp
/// Starts the daemons of a deployment on loopback addresses and plays the
/// platform, its operators, callers and endpoints. Blocking sockets, a thread
/// for each connection.
#ifndef POLLENLOFT_REVIEW_HARNESS_HPP
#define POLLENLOFT_REVIEW_HARNESS_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using std::string;
using clock_type = std::chrono::steady_clock;

inline auto start_time() -> clock_type::time_point {
  static const auto start = clock_type::now();
  return start;
}
/// Seconds since the start of the case.
inline auto now_s() -> double {
  return std::chrono::duration<double>(clock_type::now() - start_time())
      .count();
}
inline auto unix_ms() -> long long {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline auto sleep_s(double seconds) -> void {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// The record of what was sent, answered and run.
class record_file {
 public:
  auto open(const string& path) -> void { file_ = fopen(path.c_str(), "w"); }
  auto line(const char* format, ...) -> void {
    std::lock_guard lock(mutex_);
    va_list args;
    va_start(args, format);
    fprintf(file_, "%9.3f s  ", now_s());
    vfprintf(file_, format, args);
    fputc('\n', file_);
    fflush(file_);
    va_end(args);
  }

 private:
  FILE* file_ = stderr;
  std::mutex mutex_;
};
inline record_file record;

[[noreturn]] inline auto cannot_run(const string& reason) -> void;

// --- processes ---------------------------------------------------------------

inline std::mutex children_mutex;
inline std::set<pid_t> children;

inline auto stop_all_processes() -> void {
  std::lock_guard lock(children_mutex);
  for (const auto pid : children) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
  }
  for (const auto pid : children)
    waitpid(pid, nullptr, 0);
  children.clear();
}

/// Folder of this run; kept if REVIEW_KEEP is set.
inline string run_folder;

/// Ends all processes that the case started, then the case.
inline auto finish(int code, const string& verdict) -> void {
  record.line("verdict: %s", verdict.c_str());
  printf("%s\n", verdict.c_str());
  fflush(stdout);
  stop_all_processes();
  if (!run_folder.empty() && getenv("REVIEW_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(run_folder, ignored);
  }
  _exit(code);
}
inline auto cannot_run(const string& reason) -> void {
  finish(2, "the case could not run: " + reason);
  _exit(2);
}

inline auto spawn(const std::vector<string>& command, const string& log)
    -> pid_t {
  const auto pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if the case is ended from outside
    const auto fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, 1);
    dup2(fd, 2);
    for (int other = 3; other < 1024; ++other)
      close(other);
    std::vector<char*> argv;
    for (const auto& word : command)
      argv.push_back(const_cast<char*>(word.c_str()));
    argv.push_back(nullptr);
    execv(argv[0], argv.data());
    _exit(127);
  }
  std::lock_guard lock(children_mutex);
  children.insert(pid);
  return pid;
}
inline auto wait_end(pid_t pid) -> void {
  waitpid(pid, nullptr, 0);
  std::lock_guard lock(children_mutex);
  children.erase(pid);
}
inline auto kill_hard(pid_t pid) -> void {
  kill(pid, SIGKILL);
  wait_end(pid);
}

// --- sockets and HTTP --------------------------------------------------------

inline auto to_sockaddr(const string& ip, int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline auto connect_to(const string& ip, int port, double timeout_s) -> int {
  const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const auto address = to_sockaddr(ip, port);
  auto result =
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result != 0 && errno == EINPROGRESS) {
    pollfd waiting{fd, POLLOUT, 0};
    int error = ETIMEDOUT;
    socklen_t size = sizeof error;
    if (poll(&waiting, 1, static_cast<int>(timeout_s * 1000)) == 1)
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    result = error == 0 ? 0 : -1;
  }
  if (result != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline auto send_all(int fd, const string& bytes) -> bool {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

struct message {
  string first_line;
  std::vector<std::pair<string, string>> headers;
  string body;
  bool whole = false;  ///< its end was seen as the protocol marks it
  bool reset = false;

  auto header(const char* name) const -> string {
    for (const auto& [key, value] : headers)
      if (strcasecmp(key.c_str(), name) == 0) return value;
    return "";
  }
  auto status() const -> int {
    return first_line.size() > 12 ? atoi(first_line.c_str() + 9) : 0;
  }
  auto method() const -> string {
    return first_line.substr(0, first_line.find(' '));
  }
  auto target() const -> string {
    const auto begin = first_line.find(' ');
    if (begin == string::npos) return "";
    return first_line.substr(begin + 1,
                             first_line.find(' ', begin + 1) - begin - 1);
  }
};

/// Reads messages from a connection until a time.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}
  /// Empty `first_line` if nothing came.
  auto next(bool response, double until, bool head_only = false) -> message {
    message result;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == string::npos)
      if (!more(until, result)) return result;
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::getline(head, result.first_line);
    if (!result.first_line.empty() && result.first_line.back() == '\r')
      result.first_line.pop_back();
    for (string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (colon == string::npos) continue;
      const auto value = line.find_first_not_of(' ', colon + 1);
      result.headers.emplace_back(
          line.substr(0, colon),
          value == string::npos ? "" : line.substr(value));
    }
    if (head_only) return result;
    if (result.header("Transfer-Encoding") == "chunked") {
      read_chunks(result, until);
    } else if (!result.header("Content-Length").empty()) {
      const auto length = static_cast<std::size_t>(
          atoll(result.header("Content-Length").c_str()));
      while (buffer_.size() < length)
        if (!more(until, result)) break;
      result.whole = buffer_.size() >= length;
      result.body = buffer_.substr(0, length);
      buffer_.erase(0, result.body.size());
    } else if (!response || result.status() == 204 || result.status() == 304) {
      result.whole = true;
    } else {
      while (more(until, result)) {
      }
      result.whole = ended_;
      result.body = std::exchange(buffer_, "");
    }
    return result;
  }
  auto rest() const -> const string& { return buffer_; }
  auto ended() const -> bool { return ended_; }

 private:
  auto more(double until, message& result) -> bool {
    const auto left = until - now_s();
    pollfd waiting{fd_, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1000) + 1) != 1)
      return false;
    char part[65536];
    const auto n = recv(fd_, part, sizeof part, 0);
    if (n > 0) {
      buffer_.append(part, static_cast<std::size_t>(n));
      return true;
    }
    if (n == 0)
      ended_ = true;
    else
      result.reset = true;
    return false;
  }
  auto read_chunks(message& result, double until) -> void {
    for (;;) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == string::npos)
        if (!more(until, result)) return;
      const auto size = strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2)
        if (!more(until, result)) return;
      result.body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        result.whole = true;
        return;
      }
    }
  }
  int fd_;
  string buffer_;
  bool ended_ = false;
};

/// Sends one request on a connection of its own and reads the response.
inline auto call(const string& ip, int port, const string& request,
                 double timeout_s) -> message {
  const auto until = now_s() + timeout_s;
  const auto fd = connect_to(ip, port, std::min(1.0, timeout_s));
  if (fd < 0) return {};
  send_all(fd, request);
  reader input(fd);
  auto response = input.next(true, until);
  close(fd);
  return response;
}

inline auto encode(const string& method, const string& target,
                   const std::vector<std::pair<string, string>>& headers,
                   const string& body) -> string {
  auto text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST" || method == "PUT")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

/// Accepts connections at an address; `serve` owns each of them.
class listener {
 public:
  listener(const string& ip, int port, std::function<void(int)> serve) {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = to_sockaddr(ip, port);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(fd_, 128) != 0)
      cannot_run("cannot listen on " + ip + ":" + std::to_string(port));
    std::thread([fd = fd_, serve = std::move(serve)] {
      for (;;) {
        const auto connection = accept(fd, nullptr, nullptr);
        if (connection < 0) return;
        std::thread(serve, connection).detach();
      }
    }).detach();
  }
  /// Refuses connections from now on.
  auto stop() -> void {
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
  }

 private:
  int fd_;
};

// --- deployment --------------------------------------------------------------

/// Fills in a template of the deploy file as far as this project uses it.
inline auto fill_template(string text, const std::map<string, string>& values)
    -> string {
  for (const auto& [name, value] : values) {
    const auto placeholder = "{{" + name + "}}";
    for (auto at = text.find(placeholder); at != string::npos;
         at = text.find(placeholder, at))
      text.replace(at, placeholder.size(), value);
  }
  if (text.find("{{") != string::npos)
    cannot_run("a placeholder of the template is not known: " + text);
  return text;
}

inline auto read_text(const string& path) -> string {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

struct deployment;

struct machine {
  deployment* owner = nullptr;
  string name;
  string ip;
  bool core = false;
  bool bootstrap = true;
  std::vector<string> seeds;
  pid_t pid = 0;

  auto start() -> void;
  auto kill_hard() -> void {
    record.line("%s: SIGKILL", name.c_str());
    review::kill_hard(pid);
    pid = 0;
  }
  auto terminate() -> void {
    record.line("%s: SIGTERM", name.c_str());
    kill(pid, SIGTERM);
  }
  auto data() const -> string;
  auto lose_disk() -> void {
    record.line("%s: its disk is lost", name.c_str());
    std::filesystem::remove_all(data());
    std::filesystem::create_directory(data());
  }
};

/// A small deployment with the bounds of the small sites.
struct deployment {
  string root;    // of the repository
  string folder;  // of this run
  string prefix;  // of the addresses
  int internal_port = 0;
  int relay_port = 0;
  int front_port = 0;
  int readiness_port = 0;
  int control_port = 0;
  std::map<string, machine> machines;

  deployment() {
    const auto* from = getenv("REVIEW_ROOT");
    root = from != nullptr ? from : ".";
    char name[] = "/tmp/pollenloft-review-XXXXXX";
    folder = mkdtemp(name);
    run_folder = folder;
    const auto number = static_cast<unsigned>(getpid());
    prefix = "127." + std::to_string(20 + number % 200) + "." +
             std::to_string(number / 200 % 250) + ".";
    internal_port = 20000 + static_cast<int>(number % 1000) * 8;
    relay_port = internal_port + 1;
    front_port = internal_port + 2;
    readiness_port = internal_port + 3;
    control_port = internal_port + 4;
  }
  auto add(const string& name, bool core, int host) -> machine& {
    auto& added = machines[name];
    added.owner = this;
    added.name = name;
    added.core = core;
    added.ip = prefix + std::to_string(host);
    return added;
  }
  auto seed(const string& name) const -> string {
    return machines.at(name).ip + ":" + std::to_string(control_port);
  }
};

inline auto machine::data() const -> string {
  return owner->folder + "/data-" + name;
}

inline auto machine::start() -> void {
  string seed_list;
  for (const auto& seed : seeds)
    seed_list += (seed_list.empty() ? "" : ",") + seed;
  const auto port = [&](int number) { return std::to_string(number); };
  const std::map<string, string> values{
      {"Ip", ip},
      {"NodeName", name},
      {"Zone", "zone-1"},
      {"PortRange.0", port(owner->internal_port)},
      {"PortRange.1", port(owner->relay_port)},
      {"Listen.Control", ip + ":" + port(owner->control_port)},
      {"Listen.Front", ip + ":" + port(owner->front_port)},
      {"Listen.Readiness", ip + ":" + port(owner->readiness_port)},
      {"Seeds", seed_list},
      {"DataDir", data()},
      {"Bootstrap", bootstrap ? "true" : "false"},
      {"Tolerate.Machines", "2"},
      {"Limits.LinkMbps", "1000.0"},
      {"HeartbeatMs", "1200"},
      {"Bounds.ConfigApplyMs", "2000"},
      {"Bounds.RetrySlack", "202"}};
  const string role = core ? "control" : "entry";
  const auto settings = owner->folder + "/" + name + ".conf";
  std::ofstream(settings) << fill_template(
      read_text(owner->root + "/deploy/" + role + ".conf"), values);
  if (core) std::filesystem::create_directories(data());
  pid = spawn(
      {owner->root + "/target/pollenloft-" + (core ? "controld" : "entryd"),
       "--settings", settings},
      owner->folder + "/" + name + ".log");
  record.line("%s: started (bootstrap=%s)", name.c_str(),
              bootstrap ? "true" : "false");
}

// --- the operator ------------------------------------------------------------

/// Follows a redirect twice, as the pages allow.
inline auto control_call(const string& ip, int port, const string& method,
                         const string& target, const string& body,
                         double timeout_s = 1.0) -> message {
  auto host = ip;
  message response;
  for (int hop = 0; hop < 3; ++hop) {
    response = call(host, port,
                    encode(method, target,
                           {{"Host", host + ":" + std::to_string(port)},
                            {"Content-Type", "application/json"},
                            {"Connection", "close"}},
                           body),
                    timeout_s);
    if (response.status() != 307) return response;
    const auto location = response.header("Location");
    const auto begin = location.find("//") + 2;
    host = location.substr(begin, location.find(':', begin) - begin);
  }
  return response;
}

inline auto version_of(const string& document) -> long {
  const auto at = document.find("\"Version\":");
  return at == string::npos ? -1 : atol(document.c_str() + at + 10);
}

/// Sends a configuration to these machines in turn until one acknowledges it;
/// returns the name of that machine's address, or "" after `limit_s`.
inline auto put_config(const std::vector<machine*>& nodes, int port,
                       const string& document, double limit_s) -> string {
  const auto until = now_s() + limit_s;
  record.line("operator: PUT /config version %ld", version_of(document));
  for (std::size_t i = 0; now_s() < until; ++i) {
    const auto* node = nodes[i % nodes.size()];
    const auto response =
        control_call(node->ip, port, "PUT", "/config", document);
    if (response.status() == 200 && response.whole) {
      record.line("operator: version %ld acknowledged through %s",
                  version_of(document), node->name.c_str());
      return node->name;
    }
    if (response.status() >= 400 && response.status() < 500)
      cannot_run("the configuration was refused: " + response.body);
    sleep_s(0.05);
  }
  return "";
}

/// The `machine` that leads, by the redirects of the others; null if unknown.
inline auto leader_of(const std::vector<machine*>& nodes, int port)
    -> machine* {
  for (auto* node : nodes) {
    const auto response =
        call(node->ip, port,
             encode("GET", "/config",
                    {{"Host", node->ip}, {"Connection", "close"}}, ""),
             1.0);
    if (response.status() == 200) return node;
  }
  return nullptr;
}

}  // namespace review

#endif
