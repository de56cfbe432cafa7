#include "control_client.hpp"

#include <algorithm>

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

constexpr auto renew_timeout = milliseconds(700);
constexpr auto call_timeout = milliseconds(700);
constexpr auto permit_timeout = milliseconds(500);
constexpr auto peers_timeout = milliseconds(500);
constexpr auto retry_delay = milliseconds(30);
/// Between renewals while the configuration is being fetched.
constexpr auto transfer_poll_delay = milliseconds(100);
/// Documents announced and not yet received whose times are kept.
constexpr std::size_t max_announcements = 64;
constexpr auto report_timeout = std::chrono::seconds(10);
constexpr auto settle_timeout = std::chrono::seconds(30);
/// Shortens the lease by 1/50 (2%) to allow for clock drift.
constexpr int clock_drift_divisor = 50;

auto whole_ms(duration time) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

/// Time since `start`; -1 if there is no start.
auto elapsed_ms(std::optional<instant> start) -> std::int64_t {
  return start ? whole_ms(boottime_clock::now() - *start) : -1;
}

}  // namespace

control_client::control_client(event_loop& loop, http_client& client,
                               control_client_options options)
    : loop_(loop),
      client_(client),
      options_(std::move(options)),
      document_fetcher_(loop, client, state_kind::document,
                        hash64(options_.vm)),
      config_fetcher_(loop, client, state_kind::configuration,
                      hash64(options_.vm)),
      crash_guard_(options_.vm),
      limiter_(hash64(options_.vm, hash64(options_.incarnation))),
      notices_(limiter_, hash64(options_.incarnation)),
      crash_report_task_(loop, [this] { send_crash_reports(); }) {
  const auto replicas = [this]() -> const std::vector<socket_address>& {
    return options_.replicas;
  };
  document_fetcher_.set_sources(replicas, [this] {
    return state_version{document_.number, document_.text};
  });
  document_fetcher_.set_completed_handler(
      [this](auto fetched) { apply_fetched_document(std::move(fetched)); });
  config_fetcher_.set_sources(replicas, [this] {
    return state_version{static_cast<std::int64_t>(config_.version), ""};
  });
  config_fetcher_.set_completed_handler(
      [this](const auto& fetched) { apply_fetched_config(fetched); });
}

auto control_client::start() -> void {
  renew();
}

auto control_client::lease_valid() const -> bool {
  return has_config_ && boottime_clock::now() < lease_until_;
}

auto control_client::select_next_replica() -> void {
  target_ = (target_ + 1) % options_.replicas.size();
}

auto control_client::select_leader(const std::string& leader) -> void {
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
  select_next_replica();
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
  request.document = std::max(document_.number, newest_document_);
  request.fetches_state = true;
  request.tracks_suspects = true;
  request.suspects_digest = suspects_digest_;
  request.first = first_renewal_;
  request.relay_address = options_.relay_address;
  request.relay_key = options_.relay_key;
  request.cut_off = cut_off_;
  request.paused = notices_.paused(boottime_clock::now());
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
                          return handle_renewal(sent, body);
                        handle_failed_renewal(sent, result);
                      }});
}

auto control_client::handle_failed_renewal(instant sent,
                                           const call_result& result) -> void {
  error cause;
  std::size_t bytes = 0;
  if (const auto* unsent = std::get_if<call_unsent>(&result))
    cause = unsent->cause;
  if (const auto* interrupted = std::get_if<call_interrupted>(&result)) {
    cause = interrupted->cause;
    bytes = interrupted->body_bytes;
  }
  ++renewals_.interrupted;
  renewals_.interrupted_bytes += bytes;
  log_event(log_level::warning, "renewal.interrupted",
            {{"step", cause.step},
             {"peer", cause.peer},
             {"reason", cause.reason},
             {"received_bytes", bytes},
             {"elapsed_ms", elapsed_ms(sent)},
             {"document", document_.number},
             {"document_age_ms", elapsed_ms(document_confirmed_at_)}});
  select_next_replica();
  retry_ = loop_.after(retry_delay, [this] { renew(); });
}

auto control_client::handle_renewal(instant sent, std::string_view body)
    -> void {
  const auto reply = decode_wire<wire::renew_reply>(body);
  const auto granted = reply && reply->granted;
  if (reply) add_reported_replicas(*reply);
  if (granted) apply_suspects(*reply);
  ++renewals_.completed;
  renewals_.received_bytes += body.size();
  if (!granted || !apply_document(*reply, sent) || !apply_config(*reply)) {
    ++renewals_.refused;
    select_leader(reply ? reply->leader : "");
    const auto delay =
        config_fetcher_.active() ? transfer_poll_delay : retry_delay;
    retry_ = loop_.after(delay, [this] { renew(); });
    return;
  }
  const auto is_new_term = reply->term != term_;
  term_ = reply->term;
  const auto lease = milliseconds(reply->lease_ms);
  lease_until_ = sent + lease - lease / clock_drift_divisor;
  vm_count_ = static_cast<std::size_t>(reply->vm_count);
  directory_sequence_ = reply->directory_sequence;
  notices_.set_vm_count(vm_count_);
  notices_.apply_directory(reply->endpoints);
  usage_.clear();
  for (const auto& usage : reply->usage)
    usage_[usage.account] = usage;
  first_renewal_ = false;
  if (reply->directory_full || !reply->endpoints.empty())
    endpoints_changed.emit(reply->endpoints, reply->directory_full);
  if (is_new_term) leader_changed.emit();
  renew();
}

auto control_client::request_permits() -> void {
  const auto now = boottime_clock::now();
  const auto wants = limiter_.next_wants(now);
  if (wants.empty()) return;
  wire::permit_request request;
  request.vm = options_.vm;
  for (const auto& want : wants) {
    wire::permit_want_record record;
    record.limit = to_wire(want.statement, now);
    record.wanted = want.wanted;
    record.returned = want.returned;
    request.wants.push_back(std::move(record));
  }
  client_.send(http_call{options_.replicas[target_],
                         "POST",
                         "/control/permits",
                         {},
                         encode_wire(request),
                         permit_timeout,
                         true},
               {{}, {}, [this, now](const auto& result, auto body) {
                  handle_permit_reply(now, result, body);
                }});
}

auto control_client::handle_permit_reply(instant sent,
                                         const call_result& result,
                                         std::string_view body) -> void {
  const auto now = boottime_clock::now();
  const auto completed = std::holds_alternative<call_completed>(result);
  const auto reply =
      completed ? decode_wire<wire::permit_reply>(body) : std::nullopt;
  if (!reply || !reply->accepted) {
    log_event(log_level::info, "permits.unavailable",
              {{"answered", completed ? 1 : 0},
               {"elapsed_ms", whole_ms(now - sent)},
               {"vm_count", vm_count_}});
    return limiter_.on_failure(now);
  }
  std::vector<permit_grant> grants;
  for (const auto& record : reply->grants)
    grants.push_back({from_wire(record.limit, now), record.permits,
                      milliseconds(record.retry_after_ms)});
  if (limiter_.apply(grants, sent, now)) permits_granted.emit();
}

auto control_client::fetch_peers(bool cut_off, peers_handler done) -> void {
  cut_off_ = cut_off;
  wire::peers_request request;
  request.vm = options_.vm;
  request.cut_off = cut_off;
  client_.send(
      http_call{options_.replicas[target_],
                "POST",
                "/control/peers",
                {},
                encode_wire(request),
                peers_timeout,
                true},
      {{}, {}, [done = std::move(done)](const auto& result, auto body) {
         const auto completed = std::holds_alternative<call_completed>(result);
         auto reply =
             completed ? decode_wire<wire::peers_reply>(body) : std::nullopt;
         if (reply && reply->accepted) return done(std::move(reply->peers));
         log_event(log_level::info, "peers.unavailable",
                   {{"answered", completed ? 1 : 0}});
       }});
}

/// A leader that knows of the digest sends records only if it has changed.
auto control_client::apply_suspects(const wire::renew_reply& reply) -> void {
  if (reply.suspects_digest == suspects_digest_ && reply.blames.empty()) return;
  suspects_digest_ = reply.suspects_digest;
  for (const auto& survival :
       crash_guard_.update(reply.blames, boottime_clock::now()))
    report_crash(survival);
}

auto control_client::add_replicas(const std::vector<socket_address>& replicas)
    -> void {
  for (const auto& replica : replicas) {
    auto& known = options_.replicas;
    if (std::find(known.begin(), known.end(), replica) == known.end())
      known.push_back(replica);
  }
}

/// Adds the members named by the leader and keeps all known ones: after a long
/// partition, none of the members last named may still be current.
auto control_client::add_reported_replicas(const wire::renew_reply& reply)
    -> void {
  std::vector<socket_address> named;
  for (const auto& text : reply.replicas)
    if (auto address = parse_socket_address(text))
      named.push_back(std::move(*address));
  add_replicas(named);
}

auto control_client::document_age() const -> duration {
  return document_confirmed_at_
             ? boottime_clock::now() - *document_confirmed_at_
             : duration::max();
}

auto control_client::document_fresh() const -> bool {
  return document_age() < options_.max_document_age;
}

auto control_client::apply_document(const wire::renew_reply& reply,
                                    instant sent) -> bool {
  newest_document_ = std::max(newest_document_, reply.document);
  if (reply.document < document_.number) {
    log_event(log_level::error, "document.older",
              {{"local_number", document_.number},
               {"leader_number", reply.document}});
    return false;
  }
  record_announcement(reply.document, sent);
  if (reply.document > document_.number && !reply.document_text.empty())
    replace_document({{reply.document, reply.document_text},
                      reply.document_text.size(),
                      0,
                      boottime_clock::now() - sent});
  if (document_outdated()) document_fetcher_.fetch(newest_document_);
  confirm_document();
  return true;
}

auto control_client::apply_fetched_document(fetched_state fetched) -> void {
  replace_document(std::move(fetched));
  confirm_document();
}

auto control_client::replace_document(fetched_state fetched) -> void {
  document_ = {fetched.state.version, std::move(fetched.state.text)};
  const auto received = boottime_clock::now();
  document_changed.emit();
  log_event(log_level::info, "document.in_force",
            {{"number", document_.number},
             {"bytes", document_.text.size()},
             {"frame_bytes", fetched.frame_bytes},
             {"failed_calls", fetched.failed_calls},
             {"transfer_ms", whole_ms(fetched.elapsed)},
             {"apply_ms", elapsed_ms(received)}});
}

auto control_client::record_announcement(std::int64_t number, instant sent)
    -> void {
  if (!announcements_.empty() && announcements_.back().number == number)
    announcements_.pop_back();
  announcements_.push_back({number, sent});
  if (announcements_.size() > max_announcements) announcements_.pop_front();
}

/// Documents newer than an announced one were accepted after the renewal that
/// announced it was sent.
auto control_client::confirm_document() -> void {
  auto confirmed = false;
  while (!announcements_.empty() &&
         announcements_.front().number <= document_.number) {
    document_confirmed_at_ = announcements_.front().sent;
    announcements_.pop_front();
    confirmed = true;
  }
  if (confirmed) document_confirmed.emit();
}

/// Applies the newer configuration versions; false if they do not follow the
/// current version.
auto control_client::apply_config(const wire::renew_reply& reply) -> bool {
  const auto before = config_.version;
  if (!reply.configuration.empty()) {
    auto full = parse_configuration(reply.configuration);
    if (!full || full->version < config_.version) return false;
    config_ = std::move(*full);
  }
  for (const auto& patch : reply.patches) {
    if (static_cast<std::uint64_t>(patch.version) != config_.version + 1)
      continue;
    auto outcome = apply_patch(config_, patch.body);
    if (!std::holds_alternative<configuration>(outcome)) return false;
    config_ = std::get<configuration>(std::move(outcome));
  }
  if (config_.version != static_cast<std::uint64_t>(reply.version)) {
    config_fetcher_.fetch(reply.version);
    return false;
  }
  const auto changed = !has_config_ || config_.version != before;
  has_config_ = true;
  if (!changed) return true;
  log_event(log_level::info, "config.in_force", {{"version", config_.version}});
  config_changed.emit();
  return true;
}

auto control_client::apply_fetched_config(const fetched_state& fetched)
    -> void {
  auto config = parse_configuration(fetched.state.text);
  if (!config) return log_failure("config.unreadable", last_error());
  config_ = std::move(*config);
  has_config_ = true;
  log_event(log_level::info, "config.in_force",
            {{"version", config_.version},
             {"frame_bytes", fetched.frame_bytes},
             {"failed_calls", fetched.failed_calls},
             {"transfer_ms", whole_ms(fetched.elapsed)}});
  config_changed.emit();
}

auto control_client::call_leader(std::string path, std::string body,
                                 instant deadline, redirect_parser redirect,
                                 response_handler done) -> void {
  const auto remaining = deadline - boottime_clock::now();
  if (remaining <= duration::zero()) return done(std::nullopt);
  http_call call{options_.replicas[target_],
                 "POST",
                 path,
                 {},
                 body,
                 std::min<duration>(remaining, call_timeout),
                 true};
  client_.send(
      call, {{},
             {},
             [this, path = std::move(path), body = std::move(body), deadline,
              redirect = std::move(redirect),
              done = std::move(done)](const auto& result, auto response) {
               const auto completed =
                   std::holds_alternative<call_completed>(result);
               const auto leader = completed ? redirect(response)
                                             : std::optional<std::string>("");
               if (!leader) return done(std::string(response));
               select_leader(*leader);
               run_later(loop_, retry_delay,
                         [this, path, body, deadline, redirect, done] {
                           call_leader(path, body, deadline, redirect, done);
                         });
             }});
}

auto control_client::report(std::vector<wire::endpoint_record> endpoints)
    -> void {
  wire::report_request request;
  request.vm = options_.vm;
  request.endpoints = std::move(endpoints);
  ++pending_reports_;
  call_leader(
      "/control/report", encode_wire(request),
      boottime_clock::now() + report_timeout,
      [](std::string_view body) -> std::optional<std::string> {
        const auto reply = decode_wire<wire::report_reply>(body);
        if (reply && reply->accepted) return std::nullopt;
        return reply ? reply->leader : "";
      },
      [this](const auto& /*body*/) { --pending_reports_; });
}

auto control_client::claim(const wire::claim_record& record, duration timeout,
                           claim_handler done) -> void {
  call_leader(
      "/control/claim", encode_wire(record), boottime_clock::now() + timeout,
      [](std::string_view body) -> std::optional<std::string> {
        const auto reply = decode_wire<wire::claim_reply>(body);
        const auto redirected =
            !reply ||
            reply->answer == static_cast<std::int8_t>(claim_answer::not_leader);
        if (!redirected) return std::nullopt;
        return reply ? reply->leader : "";
      },
      [done = std::move(done)](const std::optional<std::string>& body) {
        if (!body) return done(std::nullopt);
        done(decode_wire<wire::claim_reply>(*body));
      });
}

namespace {

auto parse_settle_reply(std::string_view body) -> std::optional<std::string> {
  const auto reply = decode_wire<wire::settle_reply>(body);
  if (reply && reply->accepted) return std::nullopt;
  return reply ? reply->leader : "";
}

}  // namespace

auto control_client::settle(const wire::settle_command& command) -> void {
  ++pending_settlements_;
  call_leader("/control/settle", encode_wire(command),
              boottime_clock::now() + settle_timeout, parse_settle_reply,
              [this](const auto& /*body*/) { --pending_settlements_; });
}

auto control_client::report_crash(const wire::blame_command& report) -> void {
  if (crash_reports_.empty()) ++pending_reports_;
  crash_reports_.push_back(report);
  crash_report_task_.schedule();
}

auto control_client::send_crash_reports() -> void {
  wire::blame_batch batch;
  batch.reports = std::exchange(crash_reports_, {});
  call_leader("/control/blames", encode_wire(batch),
              boottime_clock::now() + settle_timeout, parse_settle_reply,
              [this](const auto& /*body*/) { --pending_reports_; });
}

}  // namespace pollenloft
