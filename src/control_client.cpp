#include "control_client.hpp"

#include <algorithm>

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

constexpr auto renew_timeout = milliseconds(700);
constexpr auto call_timeout = milliseconds(700);
constexpr auto retry_pause = milliseconds(30);
constexpr auto report_patience = std::chrono::seconds(10);
constexpr auto settle_patience = std::chrono::seconds(30);
constexpr int drift_divisor = 50;  // lease shortened by 2% for clock drift

}  // namespace

control_client::control_client(event_loop& loop, http_client& client,
                               control_client_options options)
    : loop_(loop), client_(client), options_(std::move(options)) {}

auto control_client::start() -> void {
  renew();
}

auto control_client::lease_valid() const -> bool {
  return has_config_ && boottime_clock::now() < lease_until_;
}

auto control_client::crash_points(std::uint64_t fingerprint) const -> int {
  const auto found = blames_.find(static_cast<std::int64_t>(fingerprint));
  return found == blames_.end() ? 0 : found->second;
}

auto control_client::next_replica() -> void {
  target_ = (target_ + 1) % options_.replicas.size();
}

auto control_client::follow(const std::string& leader) -> void {
  for (std::size_t i = 0; i < options_.replicas.size(); ++i)
    if (options_.replicas[i].text() == leader) {
      target_ = i;
      return;
    }
  if (const auto address = parse_socket_address(leader)) {
    target_ = options_.replicas.size();
    options_.replicas.push_back(*address);
    return;
  }
  next_replica();
}

auto control_client::renew() -> void {
  wire::renew_request request;
  request.vm = options_.vm;
  request.incarnation = options_.incarnation;
  request.zone = options_.zone;
  request.address = options_.address;
  request.in_force =
      has_config_ ? static_cast<std::int64_t>(config_.version) : -1;
  request.term = term_;
  request.directory_sequence = directory_sequence_;
  request.draining = draining_;
  request.document = document_.number;
  request.first = first_renewal_;
  if (usage_source_) request.usage = usage_source_();
  http_call call{options_.replicas[target_],
                 "POST",
                 "/control/renew",
                 {},
                 encode_wire(request),
                 renew_timeout,
                 true};
  const auto sent = boottime_clock::now();
  client_.send(call, {{}, {}, [this, sent](const auto& result, auto body) {
                        if (std::holds_alternative<call_completed>(result))
                          return take_renewal(sent, body);
                        next_replica();
                        retry_ = loop_.after(retry_pause, [this] { renew(); });
                      }});
}

auto control_client::take_renewal(instant sent, std::string_view body) -> void {
  const auto reply = decode_wire<wire::renew_reply>(body);
  const auto granted = reply && reply->granted;
  if (reply) learn_replicas(*reply);
  if (!granted || !take_document(*reply, sent) || !take_config(*reply)) {
    follow(reply ? reply->leader : "");
    retry_ = loop_.after(retry_pause, [this] { renew(); });
    return;
  }
  const auto new_term = reply->term != term_;
  term_ = reply->term;
  const auto lease = milliseconds(reply->lease_ms);
  lease_until_ = sent + lease - lease / drift_divisor;
  vm_count_ = static_cast<std::size_t>(reply->vm_count);
  directory_sequence_ = reply->directory_sequence;
  usage_.clear();
  for (const auto& usage : reply->usage)
    usage_[usage.account] = usage;
  blames_.clear();
  for (const auto& blame : reply->blames)
    blames_[blame.fingerprint] = blame.points;
  first_renewal_ = false;
  if (reply->directory_full || !reply->endpoints.empty())
    endpoints_changed.emit(reply->endpoints, reply->directory_full);
  if (new_term) leader_changed.emit();
  renew();
}

auto control_client::add_replicas(const std::vector<socket_address>& seeds)
    -> void {
  for (const auto& seed : seeds) {
    auto& known = options_.replicas;
    if (std::find(known.begin(), known.end(), seed) == known.end())
      known.push_back(seed);
  }
}

/// The members that the leader names come first; others stay known, since a
/// VM that was cut off for long may know none of the present members.
auto control_client::learn_replicas(const wire::renew_reply& reply) -> void {
  std::vector<socket_address> named;
  for (const auto& text : reply.replicas)
    if (auto address = parse_socket_address(text))
      named.push_back(std::move(*address));
  add_replicas(named);
}

auto control_client::document_age() const -> duration {
  return document_seen_ ? boottime_clock::now() - *document_seen_
                        : duration::max();
}

auto control_client::document_fresh() const -> bool {
  return document_age() < options_.max_document_age;
}

auto control_client::take_document(const wire::renew_reply& reply, instant sent)
    -> bool {
  if (reply.document < document_.number) {
    log_event(log_level::error, "document.older",
              {{"held", document_.number}, {"leader", reply.document}});
    return false;
  }
  const auto changed = reply.document > document_.number;
  if (changed) {
    if (reply.document_text.empty()) return false;
    document_ = {reply.document, reply.document_text};
  }
  document_seen_ = sent;
  if (changed) {
    log_event(log_level::info, "document.in_force",
              {{"number", document_.number}, {"term", reply.term}});
    document_changed.emit();
  }
  return true;
}

/// Brings the newer versions into force; false if they do not fit on ours.
auto control_client::take_config(const wire::renew_reply& reply) -> bool {
  const auto before = config_.version;
  if (!reply.configuration.empty()) {
    auto whole = parse_configuration(reply.configuration);
    if (!whole || whole->version < config_.version) return false;
    config_ = std::move(*whole);
  }
  for (const auto& patch : reply.patches) {
    if (static_cast<std::uint64_t>(patch.version) != config_.version + 1)
      continue;
    auto outcome = apply_patch(config_, patch.body);
    if (!std::holds_alternative<configuration>(outcome)) return false;
    config_ = std::get<configuration>(std::move(outcome));
  }
  if (config_.version != static_cast<std::uint64_t>(reply.version))
    return false;
  const auto changed = !has_config_ || config_.version != before;
  has_config_ = true;
  if (!changed) return true;
  log_event(log_level::info, "config.in_force", {{"version", config_.version}});
  config_changed.emit();
  return true;
}

auto control_client::call_leader(std::string path, std::string body,
                                 instant deadline, accepts redirect,
                                 body_done done) -> void {
  const auto left = deadline - boottime_clock::now();
  if (left <= duration::zero()) return done(std::nullopt);
  http_call call{options_.replicas[target_],
                 "POST",
                 path,
                 {},
                 body,
                 std::min<duration>(left, call_timeout),
                 true};
  client_.send(
      call,
      {{},
       {},
       [this, path = std::move(path), body = std::move(body), deadline,
        redirect = std::move(redirect),
        done = std::move(done)](const auto& result, auto answer) {
         const auto answered = std::holds_alternative<call_completed>(result);
         const auto leader =
             answered ? redirect(answer) : std::optional<std::string>("");
         if (!leader) return done(std::string(answer));
         follow(*leader);
         auto pause = std::make_shared<timer>();
         *pause = loop_.after(
             retry_pause, [this, pause, path, body, deadline, redirect, done] {
               loop_.post([pause] { *pause = timer(); });
               call_leader(path, body, deadline, redirect, done);
             });
       }});
}

auto control_client::report(std::vector<wire::endpoint_record> endpoints)
    -> void {
  wire::report_request request;
  request.vm = options_.vm;
  request.endpoints = std::move(endpoints);
  call_leader(
      "/control/report", encode_wire(request),
      boottime_clock::now() + report_patience,
      [](std::string_view body) -> std::optional<std::string> {
        const auto reply = decode_wire<wire::report_reply>(body);
        if (reply && reply->accepted) return std::nullopt;
        return reply ? reply->leader : "";
      },
      [](const auto& /*body*/) {});
}

auto control_client::claim(const wire::claim_record& record, duration timeout,
                           claim_done done) -> void {
  call_leader(
      "/control/claim", encode_wire(record), boottime_clock::now() + timeout,
      [](std::string_view body) -> std::optional<std::string> {
        const auto reply = decode_wire<wire::claim_reply>(body);
        const auto moved =
            !reply ||
            reply->answer == static_cast<std::int8_t>(claim_answer::not_leader);
        if (!moved) return std::nullopt;
        return reply ? reply->leader : "";
      },
      [done = std::move(done)](const std::optional<std::string>& body) {
        if (!body) return done(std::nullopt);
        done(decode_wire<wire::claim_reply>(*body));
      });
}

namespace {

auto recorded(std::string_view body) -> std::optional<std::string> {
  const auto reply = decode_wire<wire::settle_reply>(body);
  if (reply && reply->accepted) return std::nullopt;
  return reply ? reply->leader : "";
}

}  // namespace

auto control_client::settle(const wire::settle_command& command) -> void {
  ++unsettled_;
  call_leader("/control/settle", encode_wire(command),
              boottime_clock::now() + settle_patience, recorded,
              [this](const auto& /*body*/) { --unsettled_; });
}

auto control_client::report_crash(std::uint64_t fingerprint,
                                  const std::string& endpoint, int points)
    -> void {
  wire::blame_command command;
  command.points = points;
  command.fingerprint = static_cast<std::int64_t>(fingerprint);
  command.endpoint = endpoint;
  call_leader("/control/blame", encode_wire(command),
              boottime_clock::now() + settle_patience, recorded,
              [](const auto& /*body*/) {});
}

}  // namespace pollenloft
