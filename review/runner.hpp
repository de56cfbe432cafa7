/// \file runner.hpp
/// A plain endpoint of the platform: reports itself, answers requests and
/// leaves as the platform's pages tell.
#ifndef POLLENLOFT_REVIEW_RUNNER_HPP
#define POLLENLOFT_REVIEW_RUNNER_HPP

#include "harness.hpp"

namespace review {

struct arrival {
  double at = 0;
  string request_id;
  message request;
};

class runner {
 public:
  /// Answers a request that is to run; the default sends a length.
  std::function<void(runner&, int fd, const message& request)> answer;
  double work_s = 0.02;

  runner(string id, string backend, string ip, int port,
         std::vector<machine*> control, int control_port)
      : id_(std::move(id)),
        backend_(std::move(backend)),
        ip_(std::move(ip)),
        port_(port),
        control_(std::move(control)),
        control_port_(control_port),
        born_(unix_ms()) {
    answer = [](runner& self, int fd, const message& request) {
      sleep_s(self.work_s);
      const string body = "done " + request.header("Request-Id") + "\n";
      send_all(fd, self.head(request, "200 OK") + "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
    };
  }
  /// Begins to listen; `reports` as long as it neither leaves nor stops.
  auto start(bool reports = true) -> void {
    listener_ =
        std::make_unique<listener>(ip_, port_, [this](int fd) { serve(fd); });
    if (!reports) return;
    std::thread([this] {
      while (reporting_) {
        report("ready");
        sleep_s(1.2);
      }
    }).detach();
  }
  /// The head of an answer up to the fields that tell its length.
  auto head(const message& request, const string& status) const -> string {
    auto text = "HTTP/1.1 " + status + "\r\n";
    text += "Request-Id: " + request.header("Request-Id") + "\r\n";
    if (status[0] == '2')
      text += "Server-Seal: " + id_ + "." + request.header("Request-Id") +
              "\r\nContent-Type: text/plain\r\n";
    if (leaving_) text += "Server-Leaving: 1\r\n";
    return text;
  }
  /// Reports nothing further and sends `DELETE /instances/ID` until it is
  /// acknowledged. Returns the time of the acknowledgement, below 0 if there
  /// was none.
  auto leave_by_delete() -> double {
    reporting_ = false;
    leaving_ = true;
    for (int i = 0; i < 20; ++i) {
      auto* node = control_[static_cast<std::size_t>(i) % control_.size()];
      const auto response = control_call(node->ip, control_port_, "DELETE",
                                         "/instances/" + id_, "");
      if (response.status() / 100 == 2) {
        const auto at = now_s();
        record.line("%s: DELETE /instances/%s acknowledged by %s", id_.c_str(),
                    id_.c_str(), node->name.c_str());
        return at;
      }
    }
    return -1;
  }
  /// The process ends: no connection is accepted, no report sent.
  auto stop() -> void {
    reporting_ = false;
    listener_->stop();
  }
  /// Sends one report to this machine; returns the status.
  auto send_report(const machine& node, const string& body) -> int {
    const auto response =
        control_call(node.ip, control_port_, "PUT", "/instances/" + id_, body);
    record.line("%s: PUT /instances/%s arrives at %s, answered %d", id_.c_str(),
                id_.c_str(), node.name.c_str(), response.status());
    return response.status();
  }
  auto make_report(const string& state) -> string {
    return "{\"Backend\":\"" + backend_ + "\",\"Address\":\"" + ip_ + ":" +
           std::to_string(port_) +
           "\",\"Zone\":\"zone-1\",\"Version\":\"v1\",\"Slots\":6,"
           "\"State\":\"" +
           state +
           "\",\"ColdLeftMs\":0,\"Seq\":" + std::to_string(++sequence_) +
           ",\"born\":" + std::to_string(born_) + "}";
  }
  auto arrivals() -> std::vector<arrival> {
    std::lock_guard lock(mutex_);
    return arrivals_;
  }
  auto id() const -> const string& { return id_; }

 private:
  auto report(const string& state) -> void {
    const auto body = make_report(state);
    for (std::size_t i = 0; i < control_.size() && reporting_; ++i) {
      const auto* node = control_[(first_ + i) % control_.size()];
      const auto response = control_call(node->ip, control_port_, "PUT",
                                         "/instances/" + id_, body);
      if (response.status() / 100 != 2) continue;
      first_ = (first_ + i) % control_.size();
      return;
    }
  }
  auto serve(int fd) -> void {
    reader input(fd);
    for (;;) {
      const auto request = input.next(false, now_s() + 15);
      if (request.first_line.empty() || !request.whole) break;
      if (request.target() == "/healthz") {
        send_all(fd, "HTTP/1.1 200 OK\r\nInstance: " + id_ +
                         "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const auto expected = request.header("Expect-Instance");
      if (!expected.empty() && expected != id_) {
        send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " +
                         request.header("Request-Id") +
                         "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      {
        std::lock_guard lock(mutex_);
        arrivals_.push_back({now_s(), request.header("Request-Id"), request});
      }
      record.line("%s: runs request %s (%s, %zu bytes of body)%s", id_.c_str(),
                  request.header("Request-Id").c_str(),
                  request.first_line.c_str(), request.body.size(),
                  leaving_ ? ", after it has left" : "");
      if (!input.rest().empty())
        record.line("%s: %zu bytes follow that request on its connection",
                    id_.c_str(), input.rest().size());
      answer(*this, fd, request);
      if (strcasecmp(request.header("Connection").c_str(), "close") == 0) break;
    }
    shutdown(fd, SHUT_WR);
    close(fd);
  }

  string id_;
  string backend_;
  string ip_;
  int port_;
  std::vector<machine*> control_;
  int control_port_;
  long long born_;
  std::atomic<long> sequence_{0};
  std::atomic<bool> reporting_{true};
  std::atomic<bool> leaving_{false};
  std::size_t first_ = 0;
  std::unique_ptr<listener> listener_;
  std::mutex mutex_;
  std::vector<arrival> arrivals_;
};

/// A configuration with one service, `app-1`, behind the path `/app/`.
inline auto plain_config(long version, const string& type,
                         const string& tenants = "") -> string {
  return "{\"Version\":" + std::to_string(version) +
         ",\"Routes\":[{\"Name\":\"r-1\",\"Hostname\":\"app.example\","
         "\"PathPrefix\":\"/app/\",\"Type\":\"" +
         type +
         "\",\"TimeoutMs\":2500,\"SloMs\":150,\"Priority\":1,\"Backend\":"
         "\"app-1\",\"Attempts\":2,\"Public\":false}],\"Services\":[{\"Name\":"
         "\"app-1\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":"
         "\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"
         "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":"
         "15000}" +
         tenants + "}";
}

/// A deployment of five control VMs and `entries` entry VMs.
struct small_deployment : deployment {
  std::vector<machine*> cores;
  std::vector<machine*> fronts;

  explicit small_deployment(int entries) {
    for (int i = 1; i <= 5; ++i)
      cores.push_back(&add("core-" + std::to_string(i), true, i));
    for (int i = 1; i <= entries; ++i)
      fronts.push_back(&add("edge-" + std::to_string(i), false, 10 + i));
    const std::vector<string> seeds{seed("core-1"), seed("core-2"),
                                    seed("core-3")};
    for (auto& [name, each] : machines)
      each.seeds = seeds;
  }
  auto start_all() -> void {
    for (auto* node : cores)
      node->start();
    for (auto* node : fronts)
      node->start();
  }
  auto runner_address(int number) const -> string {
    return prefix + std::to_string(100 + number);
  }
  auto runner_port() const -> int { return internal_port + 5; }
  /// Waits until every entry VM answers that it is ready.
  auto wait_ready(double limit_s) -> void {
    const auto until = now_s() + limit_s;
    for (auto* node : fronts)
      for (;;) {
        const auto response =
            call(node->ip, readiness_port,
                 encode("GET", "/readyz", {{"Host", node->ip}}, ""), 1.0);
        if (response.status() == 200) break;
        if (now_s() > until) cannot_run(node->name + " is not ready");
        sleep_s(0.1);
      }
  }
  std::atomic<int> next_request{0};
  auto new_request_id() -> string {
    char text[24];
    snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(getpid()),
             static_cast<unsigned>(++next_request));
    return text;
  }
  /// Sends a caller's request to an entry VM on a connection of its own.
  auto ask(const machine& front, const string& id, const string& method,
           const string& target, const string& body = "",
           std::vector<std::pair<string, string>> extra = {}) -> message {
    std::vector<std::pair<string, string>> headers{
        {"Host", "app.example"}, {"Request-Id", id}, {"Deadline-Ms", "2500"}};
    for (auto& field : extra)
      headers.push_back(field);
    record.line("client: %s %s, request %s, to %s", method.c_str(),
                target.c_str(), id.c_str(), front.name.c_str());
    const auto response =
        call(front.ip, front_port, encode(method, target, headers, body), 3.5);
    record.line(
        "client: request %s got %s%s%s", id.c_str(),
        response.first_line.empty() ? "no answer" : response.first_line.c_str(),
        response.whole ? "" : ", not whole", response.reset ? ", reset" : "");
    return response;
  }
};

}  // namespace review

#endif
