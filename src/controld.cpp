/// pollenloft-controld, the daemon of the control role. It replicates the
/// configuration and the claims over the control replicas, grants
/// configuration leases to entry VMs and keeps the endpoint directory.
#include <signal.h>

#include <array>
#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>

#include "connection_monitor.hpp"
#include "control_gateway.hpp"
#include "control_settings.hpp"
#include "departure_recorder.hpp"
#include "directory_sharer.hpp"
#include "directory_store.hpp"
#include "layer_placer.hpp"
#include "membership.hpp"
#include "operator_views.hpp"
#include "peer_link.hpp"
#include "pollenloft/control.hpp"
#include "pollenloft/journal.hpp"
#include "pollenloft/net.hpp"
#include "pollenloft/poison.hpp"
#include "pollenloft/settings.hpp"
#include "pollenloft/telemetry.hpp"
#include "reply_pacer.hpp"
#include "state_fetcher.hpp"

namespace pollenloft {
namespace {

using json = nlohmann::json;

constexpr auto tick_interval = milliseconds(20);
constexpr auto peer_timeout = milliseconds(400);
constexpr auto hand_over_time = peer_timeout / 2;
/// Time for shares and transfers to be acknowledged at a stop, after the
/// leadership was handed over.
constexpr auto stop_share_timeout = std::chrono::seconds(1);
/// Time for the last replies to leave at a stop.
constexpr auto stop_timeout = std::chrono::seconds(4);
constexpr auto orphan_grace_period = std::chrono::seconds(3);
/// Three heartbeats of the leader at the default interval.
constexpr auto leader_contact_timeout = milliseconds(300);
constexpr auto patch_timeout = std::chrono::seconds(8);
constexpr std::size_t max_in_flight_per_peer = 64;  // requests
constexpr std::size_t max_pending_claims = 20000;   // not committed yet
constexpr std::size_t max_reported_accounts = 16;
constexpr std::uint64_t min_compaction_bytes = 4 * 1024 * 1024;
/// Own configurations up to this size travel in the renewal, others in parts.
constexpr std::size_t max_inline_config_bytes = 16 * 1024;
constexpr std::size_t max_records_per_renewal = 64;
/// VMs that one VM relays requests to while it is cut off from endpoints.
constexpr std::size_t max_relay_peers = 16;
/// Time that a replica waits for a requested version to be committed. Followers
/// learn of a commit with the leader's next message.
constexpr auto state_wait_timeout = milliseconds(150);
/// Least time between two lists of suspects.
constexpr auto suspects_publish_interval = milliseconds(200);
/// Unit of `endpoint_record::request_limit`, per request a second.
constexpr double limit_record_unit = 1000;
/// Changes of a limit by less than 1/8 are not published.
constexpr std::int64_t published_limit_divisor = 8;
/// A tick that starts later than this after the previous one is logged.
constexpr auto max_tick_delay = milliseconds(100);

auto json_reply(const exchange_ptr& call, int status, const json& body)
    -> void {
  http_headers headers;
  headers.add("Content-Type", "application/json");
  call->reply(status, headers, body.dump() + "\n");
}

template <class Message>
auto wire_reply(const exchange_ptr& call, const Message& message) -> void {
  http_headers headers;
  headers.add("Content-Type", "application/x-thrift");
  call->reply(200, headers, encode_wire(message));
}

class control_server : public control_host {
 public:
  control_server(event_loop& loop, const settings& values, journal disk)
      : loop_(loop),
        client_(loop),
        server_(loop, http_limits{},
                [this](const exchange_ptr& call) { route(call); }),
        metrics_server_(
            loop_, http_limits{},
            [this](const exchange_ptr& call) { show_metrics(call); }),
        metrics_address_(parse_socket_address(values.text("metrics-listen"))),
        disk_(std::move(disk)),
        peers_(values.named_addresses("peers")),
        listen_(values.address("listen")),
        id_(own_replica_id(values)),
        leases_(values.millis("lease-ms")),
        lease_wait_disabled_(values.text("switch-off") == "lease-wait"),
        replica_(make_replica_options(values), disk_.take_persisted_state(),
                 boottime_clock::now()),
        group_(replica_, make_membership_options(values)),
        directory_store_(disk_, directory_),
        sharer_(loop_, client_, replica_, directory_, id_, sharing_hooks()),
        departures_(loop_, client_, state_, directory_, recording_hooks()),
        placer_(loop_, client_, directory_, values.millis("report-period-ms")),
        pacer_(loop_, bulk_bytes_per_second(values)) {
    if (!values.text("platform-listen").empty())
      gateway_ = std::make_unique<control_gateway>(
          loop_, *this, values.address("platform-listen"),
          values.millis("report-period-ms"));
    placer_.changed.connect([this](const auto& id) {
      if (gateway_) gateway_->publish({id});
    });
  }

  auto start(const socket_address& listen) -> std::optional<bool> {
    if (!server_.listen(listen)) return std::nullopt;
    if (gateway_ && !gateway_->start()) return std::nullopt;
    directory_.follow(state_.departures());
    if (gateway_) directory_store_.restore(wall_clock());
    if (metrics_address_ && !metrics_server_.listen(*metrics_address_))
      return std::nullopt;
    tick_timer_ = loop_.every(tick_interval, [this] { tick(); });
    flush_task_.schedule();
    return true;
  }

  /// Hands over the leadership, answers what waits here, then ends the loop.
  auto shut_down() -> void {
    if (stopping_) return;
    stopping_ = true;
    log_event(log_level::info, "stopping",
              {{"role", role_name()},
               {"open_responses", loop_.unfinished().open},
               {"unacknowledged_changes", sharer_.unacknowledged()},
               {"queued_replies", pacer_.queued()}});
    replica_.transfer_leadership(boottime_clock::now());
    group_.announce_stop();
    carry_out_membership();
    flush();
    stop_timer_ = loop_.after(hand_over_time, [this] {
      answer_pending();
      finish();
    });
  }

  /// Called once the loop has ended.
  auto save_directory() -> void {
    if (gateway_ && !failed_) directory_store_.save_changes(wall_clock());
  }

  auto failed() const -> bool { return failed_; }

  auto set_seeds(const std::vector<socket_address>& seeds) -> void {
    group_.set_seeds(replica_ids(seeds));
  }

  // control_host
  auto is_active_leader() const -> bool override {
    return !serving_ended_ && replica_.has_committed_in_term() &&
           boottime_clock::now() < replica_.leader_lease_until();
  }
  auto leader_reachable() const -> bool override {
    if (replica_.role() == replica_role::leader) return is_active_leader();
    return replica_.leader() != 0 &&
           boottime_clock::now() - replica_.last_leader_contact() <
               leader_contact_timeout;
  }
  auto leader_host() const -> std::string override {
    const auto address = peer_address(replica_.leader());
    return address ? address->host : "";
  }
  auto state() const -> const control_state& override { return state_; }
  auto directory() -> endpoint_directory& override { return directory_; }
  auto submit_document(wire::document_command document, commit_handler done)
      -> void override {
    wire::command command;
    command.__isset.document = true;
    command.document = std::move(document);
    submit(command,
           [done = std::move(done)](const auto& reply) { done(!!reply); });
  }
  auto share_changes(const std::set<std::string>& ids) -> void override {
    sharer_.add_changes(ids);
  }
  auto record_departure(const std::string& id, confirm_handler done)
      -> void override {
    departures_.record(id, std::move(done));
  }
  auto share_heard(const std::set<std::string>& ids) -> void override {
    sharer_.add_heard(ids);
  }
  auto share_directory(std::optional<std::uint32_t> member) -> void override {
    sharer_.add_directory(member);
  }
  auto on_directory_changed() -> void override { reply_task_.schedule(); }

 private:
  using reply_handler = sigc::slot<void(const std::optional<command_reply>&)>;
  struct queued_command {
    std::string bytes;
    reply_handler done;
  };
  struct pending_entry {
    log_term term;
    reply_handler done;
  };
  struct pending_renewal {
    exchange_ptr call;
    wire::renew_request request;
    instant due;
  };
  struct pending_state_request {
    exchange_ptr call;
    wire::state_request request;
    instant due;
  };
  struct pending_patch {
    exchange_ptr call;
    std::uint64_t version;
    instant due;
  };

  auto sharing_hooks() -> sharer_hooks {
    return {[this](replica_id id) {
              return gateway_ ? peer_address(id) : std::nullopt;
            },
            [this](const share_content& content) {
              return gateway_->make_share(content);
            },
            [this] { return leader_reachable(); }};
  }

  auto recording_hooks() -> recorder_hooks {
    return {[this] { return is_active_leader(); },
            [this] {
              return replica_.leader() == id_ ? std::nullopt
                                              : peer_address(replica_.leader());
            },
            [this](const wire::command& command,
                   const recorder_hooks::result_handler& done) {
              submit(command, [done](const auto& reply) { done(!!reply); });
            },
            [this](const std::string& id,
                   const recorder_hooks::result_handler& done) {
              sharer_.confirm(id, done);
            }};
  }

  /// Replicas that are not in --peers are numbered by their IPv4 address.
  auto peer_address(replica_id id) const -> std::optional<socket_address> {
    const auto found = peers_.find(std::to_string(id));
    if (found != peers_.end()) return found->second;
    if (id == 0 || !peers_.empty()) return std::nullopt;
    return socket_address{ipv4_text(id), listen_.port};
  }

  auto leader_address() const -> std::string {
    const auto address = peer_address(replica_.leader());
    return address ? address->text() : "";
  }

  auto post_to(replica_id id, const std::string& path, const std::string& body,
               const std::string& key = {}) -> void {
    const auto address = peer_address(id);
    if (address && body.size() > max_part_bytes)
      return transfer_to(id, {path, body, key});
    auto& in_flight = in_flight_[id];
    if (!address || in_flight >= max_in_flight_per_peer) return;
    ++in_flight;
    control_bytes_ += body.size();
    client_.send(
        http_call{*address, "POST", path, {}, body, peer_timeout, true},
        {{}, {}, [this, id](const auto& /*result*/, auto) {
           --in_flight_[id];
         }});
  }

  auto transfer_to(replica_id id, peer_message message) -> void {
    if (message.bytes.size() > max_transfer_bytes)
      log_event(log_level::error, "transfer.too_large",
                {{"peer", ipv4_text(id)}, {"bytes", message.bytes.size()}});
    const auto first = boottime_clock::now().time_since_epoch().count();
    part_senders_.try_emplace(id, id_, first)
        .first->second.enqueue(std::move(message));
    send_part(id);
  }

  auto send_part(replica_id id) -> void {
    const auto address = peer_address(id);
    const auto part = part_senders_.at(id).next_part();
    if (!address || !part) return;
    const auto body = encode_wire(*part);
    control_bytes_ += body.size();
    client_.send(
        http_call{*address, "POST", "/peer/part", {}, body, peer_timeout, true},
        {{},
         {},
         [this, id, transfer = part->transfer](const auto& result,
                                               auto response) {
           on_part_sent(id, transfer, result, response);
         }});
  }

  auto on_part_sent(replica_id id, std::int64_t transfer,
                    const call_result& result, std::string_view response)
      -> void {
    const auto* completed = std::get_if<call_completed>(&result);
    const auto reply = completed != nullptr && completed->status == 200
                           ? decode_wire<wire::part_reply>(response)
                           : std::nullopt;
    auto& sender = part_senders_.at(id);
    const auto outcome =
        reply ? sender.on_reply(transfer, *reply) : sender.on_failure(transfer);
    if (outcome == part_outcome::continued) send_part(id);
    if (outcome == part_outcome::given_up)
      log_event(log_level::warning, "transfer.given_up",
                {{"peer", ipv4_text(id)}, {"transfer", transfer}});
  }

  auto tick_transfers(instant now) -> void {
    part_assembler_.drop_idle(now);
    for (const auto& [id, sender] : part_senders_)
      send_part(id);
  }

  // --- end of the process ------------------------------------------------

  auto has_unacknowledged() const -> bool {
    return sharer_.unacknowledged() > 0 ||
           std::any_of(part_senders_.begin(), part_senders_.end(),
                       [](const auto& sender) {
                         return sender.second.buffered_bytes() > 0;
                       });
  }

  /// Ends the loop once responses have left and the other members have what was
  /// sent to them.
  auto finish() -> void {
    const auto due = boottime_clock::now() + stop_share_timeout;
    loop_.finish(stop_timeout, [this, due] {
      return boottime_clock::now() < due && has_unacknowledged();
    });
  }

  // --- replication -------------------------------------------------------

  auto tick() -> void {
    if (failed_) return;
    const auto now = boottime_clock::now();
    observe_tick_delay(now);
    replica_.tick(now);
    tick_transfers(now);
    handle_role_change(now);
    if (is_active_leader()) run_leader_tasks(now);
    if (gateway_) {
      gateway_->tick(now);
      directory_store_.tick(now, wall_clock());
      sharer_.tick();
    }
    group_.tick(now);
    carry_out_membership();
    publish_suspects(now);
    reply_to_renewals(now);
    reply_to_state_requests(now);
    reply_to_patches(now);
    flush_task_.schedule();
  }

  /// The delay shows work that blocked the loop.
  auto observe_tick_delay(instant now) -> void {
    const auto previous = std::exchange(last_tick_, now);
    const auto delay = now - previous - tick_interval;
    if (previous != instant{} && delay > max_tick_delay)
      log_event(log_level::warning, "loop.delayed",
                {{"delay_ms",
                  std::chrono::duration_cast<milliseconds>(delay).count()}});
  }

  auto handle_role_change(instant now) -> void {
    if (replica_.role() == known_role_ && replica_.term() == known_term_)
      return;
    const auto leads = replica_.role() == replica_role::leader;
    const auto led = known_role_ == replica_role::leader;
    known_role_ = replica_.role();
    known_term_ = replica_.term();
    log_event(
        log_level::info, "role.changed",
        {{"role", role_name()},
         {"term", replica_.term()},
         {"leader", replica_.leader()},
         {"leader_contact_age_ms", std::chrono::duration_cast<milliseconds>(
                                       now - replica_.last_leader_contact())
                                       .count()},
         {"renewal_state_bytes", renewal_state_bytes_},
         {"peer_bytes", control_bytes_ + sharer_.bytes_sent()}});
    if (leads) {
      leases_.start_term(now);
      if (gateway_) gateway_->broadcast_directory();
      // Entry VMs send their endpoints again to a new leader. The platform's
      // endpoints report to any control VM, which shares them with all others.
      if (!gateway_) directory_.clear();
      permit_issuer_.clear();
      placer_.start_term(static_cast<std::int64_t>(replica_.term()));
    }
    if (led) reject_pending();
  }

  auto role_name() const -> std::string {
    switch (replica_.role()) {
      case replica_role::recovering:
        return "recovering";
      case replica_role::follower:
        return replica_.voting() ? "follower" : "catching-up";
      case replica_role::candidate:
        return "candidate";
      default:
        return "leader";
    }
  }

  auto run_leader_tasks(instant now) -> void {
    for (const auto& vm : leases_.take_expired(now)) {
      log_event(log_level::warning, "lease.expired", {{"vm", vm}});
      directory_.mark_orphaned(vm, now);
    }
    directory_.expire_orphans(now, orphan_grace_period);
    if (gateway_)
      if (const auto config = gateway_->config()) placer_.tick(*config, now);
    if (!leases_.prior_leases_expired(now)) return;
    for (const auto& holder : state_.open_claim_holders()) {
      if (leases_.is_live(holder, now)) continue;
      if (!holders_in_abandonment_.insert(holder).second) continue;
      wire::command command;
      command.__isset.abandon = true;
      command.abandon.holder = holder;
      command.abandon.at_ms = wall_clock().count();
      submit(command, [this, holder](const auto& /*reply*/) {
        holders_in_abandonment_.erase(holder);
      });
    }
  }

  auto submit(const wire::command& command, reply_handler done) -> void {
    if (serving_ended_) return done(std::nullopt);
    queued_commands_.push_back({encode_wire(command), std::move(done)});
    flush_task_.schedule();
  }

  auto flush() -> void {
    if (failed_) return;
    propose_commands();
    while (!failed_) {
      auto effects = replica_.take_effects();
      if (effects.empty()) break;
      if (!disk_.store(effects)) return stop_on_disk_failure();
      send_messages(effects.messages);
      if (effects.restore && !load_state(effects.restore->data))
        return stop_on_disk_failure();
      publish_document();
      for (const auto& entry : effects.committed)
        apply(entry);
    }
    if (failed_) return;
    handle_role_change(boottime_clock::now());
    compact();
  }

  /// Stops the process, since after a failed write the disk may lack data that
  /// was acknowledged. Replies that were given before still leave.
  auto stop_on_disk_failure() -> void {
    log_failure("disk.failed", last_error());
    failed_ = true;
    answer_pending();
    departures_.reject_waiting();
    sharer_.reject_waiting();
    finish();
  }

  auto propose_commands() -> void {
    if (queued_commands_.empty()) return;
    auto batch = std::exchange(queued_commands_, {});
    std::vector<std::string> bytes;
    for (auto& command : batch)
      bytes.push_back(std::move(command.bytes));
    const auto first =
        replica_.propose(std::move(bytes), boottime_clock::now());
    for (std::size_t i = 0; i < batch.size(); ++i) {
      if (first)
        pending_entries_[*first + i] = {replica_.term(),
                                        std::move(batch[i].done)};
      else
        batch[i].done(std::nullopt);
    }
  }

  auto load_state(const std::string& data) -> bool {
    if (!state_.load(data)) return false;
    directory_.follow(state_.departures());
    directory_.apply_departures();
    return true;
  }

  auto apply(const log_entry& entry) -> void {
    command_reply reply;
    if (entry.kind == entry_kind::command) reply = state_.apply(entry.data);
    directory_.apply_departures();
    publish_document();
    publish_suspects(boottime_clock::now());
    const auto found = pending_entries_.find(entry.index);
    if (found != pending_entries_.end()) {
      auto pending = std::move(found->second);
      pending_entries_.erase(found);
      if (pending.term == entry.term)
        pending.done(reply);
      else
        pending.done(std::nullopt);
    }
    reply_task_.schedule();
  }

  auto reject_pending() -> void {
    for (auto& [index, pending] : std::exchange(pending_entries_, {}))
      pending.done(std::nullopt);
    for (auto& pending : std::exchange(pending_patches_, {}))
      reply_not_leader(pending.call);
  }

  /// Replies to all that waits for a commit or a change. From here on this
  /// replica answers as one that does not lead.
  auto answer_pending() -> void {
    serving_ended_ = true;
    for (auto& command : std::exchange(queued_commands_, {}))
      command.done(std::nullopt);
    reject_pending();
    for (auto& pending : std::exchange(pending_renewals_, {}))
      reply_to_renewal(pending.call, pending.request);
    for (auto& pending : std::exchange(pending_state_requests_, {}))
      wire_reply(pending.call, wire::state_part{});
    departures_.reject_waiting();
  }

  auto compact() -> void {
    if (disk_.log_bytes() < std::max(min_compaction_bytes, 2 * snapshot_bytes_))
      return;
    const auto& snapshot =
        replica_.compact(replica_.commit_index(), state_.save());
    std::vector<log_entry> tail;
    for (auto i = replica_.first_index(); i <= replica_.last_index(); ++i)
      tail.push_back(*replica_.entry_at(i));
    if (!disk_.store_snapshot(snapshot, tail)) return stop_on_disk_failure();
    snapshot_bytes_ = snapshot.data.size();
    log_event(log_level::info, "log.compacted",
              {{"index", snapshot.index}, {"bytes", snapshot_bytes_}});
  }

  auto send_messages(const std::vector<replica_message>& messages) -> void {
    std::map<replica_id, wire::message_batch> batches;
    for (const auto& message : messages) {
      batches[message.to].messages.push_back(to_wire(message));
      if (const auto* append = std::get_if<append_request>(&message.body))
        entries_sent_[message.to] += append->entries.size();
    }
    for (const auto& [to, batch] : batches)
      send_batch(to, batch);
  }

  auto send_batch(replica_id to, const wire::message_batch& batch) -> void {
    const auto body = encode_wire(batch);
    if (body.size() <= max_part_bytes) return post_to(to, "/peer", body);
    const auto [bulk, small] = divide_batch(batch);
    if (!small.messages.empty()) post_to(to, "/peer", encode_wire(small));
    if (!bulk.messages.empty())
      post_to(to, "/peer", encode_wire(bulk), batch_key(bulk));
  }

  // --- membership --------------------------------------------------------

  /// The replies to both calls carry nothing: a replica learns of its
  /// membership from the log.
  auto handle_join(const exchange_ptr& call) -> void {
    if (const auto request = decode_body<wire::join_request>(call))
      receive_membership(call,
                         join_request{static_cast<replica_id>(request->id),
                                      request->forwarded});
  }

  auto handle_stop_notice(const exchange_ptr& call) -> void {
    if (const auto notice = decode_body<wire::stop_notice>(call))
      receive_membership(call,
                         stop_notice{static_cast<replica_id>(notice->id)});
  }

  template <class Message>
  auto receive_membership(const exchange_ptr& call, const Message& message)
      -> void {
    call->reply(200, {}, "");
    group_.receive(message, boottime_clock::now());
    carry_out_membership();
  }

  auto carry_out_membership() -> void {
    for (const auto& message : group_.take_messages())
      std::visit([&](const auto& body) { send_membership(message.to, body); },
                 message.body);
    for (const auto& event : group_.take_events())
      log_member_event(event);
  }

  auto send_membership(replica_id to, const join_request& from) -> void {
    wire::join_request request;
    request.id = static_cast<std::int32_t>(from.id);
    request.forwarded = from.forwarded;
    post_to(to, "/peer/join", encode_wire(request));
  }

  auto send_membership(replica_id to, const stop_notice& from) -> void {
    wire::stop_notice notice;
    notice.id = static_cast<std::int32_t>(from.id);
    post_to(to, "/peer/stop", encode_wire(notice));
  }

  static auto log_member_event(const member_event& event) -> void {
    static constexpr std::array<const char*, 3> names{
        "member.added", "member.removed", "member.absent"};
    log_event(
        log_level::info, names.at(static_cast<std::size_t>(event.what)),
        {{"id", event.id},
         {"address", ipv4_text(event.id)},
         {"silence_ms",
          std::chrono::duration_cast<milliseconds>(event.silence).count()},
         {"stopping", event.stopping}});
  }

  auto handle_directory(const exchange_ptr& call) -> void {
    const auto share = decode_body<wire::directory_share>(call);
    if (!share) return;
    call->reply(200, {}, "");
    receive_share(*share);
  }

  auto handle_departures(const exchange_ptr& call) -> void {
    const auto request = decode_body<wire::departure_request>(call);
    if (!request) return;
    departures_.commit(request->departures, [this, call](bool recorded) {
      wire::departure_reply reply;
      reply.accepted = recorded;
      reply.leader = leader_address();
      wire_reply(call, reply);
    });
  }

  auto receive_share(const wire::directory_share& share) -> void {
    if (gateway_) gateway_->handle_directory_share(share);
  }

  // --- requests ----------------------------------------------------------

  auto route(const exchange_ptr& call) -> void {
    const auto& path = call->request().path;
    const auto post = call->request().method == "POST";
    if (post && path == "/peer") return handle_messages(call);
    if (post && path == "/peer/part") return handle_part(call);
    if (post && path == "/peer/join") return handle_join(call);
    if (post && path == "/peer/stop") return handle_stop_notice(call);
    if (post && path == "/peer/directory") return handle_directory(call);
    if (post && path == "/peer/departures") return handle_departures(call);
    if (post && path == "/control/renew") return handle_renewal(call);
    if (post && path == state_transfer_path) return handle_state_request(call);
    if (post && path == "/control/peers") return handle_peers(call);
    if (post && path == "/control/permits") return handle_permits(call);
    if (post && path == "/control/report") return handle_report(call);
    if (post && path == "/control/claim") return handle_claim(call);
    if (post && path == "/control/settle") return handle_settle(call);
    if (post && path == "/control/blames") return handle_crash_reports(call);
    if (post && path == "/control/blame") return handle_crash_report(call);
    if (path == "/healthz") return call->reply(200, {}, "ok\n");
    if (path == "/metrics") return show_metrics(call);
    if (path == "/v1/status/local") return show_status(call);
    if (!is_active_leader()) return reply_not_leader(call);
    if (path == "/v1/status") return show_status(call);
    if (post && path == "/v1/config/patches") return handle_patch(call);
    if (post && path == "/v1/members") return handle_members(call);
    if (path == "/v1/config")
      return json_reply(call, 200, json::parse(state_.config().text()));
    if (path == "/v1/config/history")
      return json_reply(call, 200, history_view(state_));
    if (path == "/v1/audit") return json_reply(call, 200, audit_view(state_));
    if (path == "/v1/crashes")
      return json_reply(call, 200, crashes_view(state_.crashes()));
    if (post && path == "/v1/crashes/clear") return handle_clear(call);
    if (path == "/v1/endpoints")
      return json_reply(
          call, 200,
          endpoints_view(directory_, leases_, boottime_clock::now()));
    json_reply(call, 404, {{"error", "no such resource: " + path}});
  }

  auto reply_not_leader(const exchange_ptr& call) -> void {
    json_reply(
        call, 421,
        {{"error", "this VM does not lead"}, {"leader", leader_address()}});
  }

  template <class Message>
  auto decode_body(const exchange_ptr& call) -> std::optional<Message> {
    auto message = decode_wire<Message>(call->request().body);
    if (!message) json_reply(call, 400, {{"error", last_error().text()}});
    return message;
  }

  auto handle_messages(const exchange_ptr& call) -> void {
    auto batch = decode_body<wire::message_batch>(call);
    if (!batch) return;
    call->reply(200, {}, "");
    receive_batch(std::move(*batch));
  }

  auto handle_part(const exchange_ptr& call) -> void {
    const auto part = decode_body<wire::message_part>(call);
    if (!part) return;
    const auto result = part_assembler_.receive(*part, boottime_clock::now());
    wire_reply(call, result.reply);
    if (result.message) receive_transfer(*result.message);
  }

  auto receive_transfer(const peer_message& message) -> void {
    if (message.path == "/peer/directory") {
      if (const auto share = decode_wire<wire::directory_share>(message.bytes))
        return receive_share(*share);
    } else if (message.path == "/peer") {
      if (auto batch = decode_wire<wire::message_batch>(message.bytes))
        return receive_batch(std::move(*batch));
    }
    log_event(log_level::warning, "transfer.refused",
              {{"path", message.path}, {"bytes", message.bytes.size()}});
  }

  auto receive_batch(wire::message_batch batch) -> void {
    for (auto& message : batch.messages) {
      auto decoded = from_wire(std::move(message));
      if (decoded && decoded->to == id_)
        replica_.receive(*decoded, boottime_clock::now());
    }
    flush_task_.schedule();
  }

  auto handle_renewal(const exchange_ptr& call) -> void {
    const auto now = boottime_clock::now();
    auto request = decode_body<wire::renew_request>(call);
    if (!request) return;
    ++renewals_;
    if (!is_active_leader()) return reply_to_renewal(call, *request);
    leases_.renew(*request, now);
    if (request->first || has_updates_for(*request)) {
      reply_to_renewal(call, *request);
      return reply_task_.schedule();
    }
    pending_renewals_.push_back(
        {call, std::move(*request), now + leases_.lease() / 4});
    reply_task_.schedule();
  }

  auto has_updates_for(const wire::renew_request& request) const -> bool {
    return static_cast<std::uint64_t>(request.in_force) !=
               state_.config().version ||
           request.document != state_.document().number ||
           request.term != static_cast<std::int64_t>(replica_.term()) ||
           request.directory_sequence != directory_.sequence() ||
           (request.tracks_suspects &&
            request.suspects_digest != suspects_digest_);
  }

  /// Many crashes at once are sent to the VMs together.
  auto publish_suspects(instant now) -> void {
    if (now < suspects_published_at_ + suspects_publish_interval) return;
    auto suspects = state_.crashes().suspects();
    if (is_active_leader()) {
      std::vector<std::string> vms;
      for (const auto& [vm, holder] : leases_.holders())
        vms.push_back(vm);
      nominate_trials(suspects, vms, wall_clock());
    }
    const auto digest = suspects_digest(suspects);
    if (digest == suspects_digest_) return;
    suspects_ = std::move(suspects);
    suspects_digest_ = digest;
    suspects_published_at_ = now;
    reply_task_.schedule();
  }

  // --- transfer of state texts ---------------------------------------------

  auto publish_document() -> void {
    documents_.publish(state_.document().number, state_.document().text);
  }

  /// The text is only made when an entry VM asks for it.
  auto publish_config() -> void {
    const auto version = static_cast<std::int64_t>(state_.config().version);
    if (version > configurations_.newest())
      configurations_.publish(version, state_.config().text());
  }

  auto handle_state_request(const exchange_ptr& call) -> void {
    const auto request = decode_body<wire::state_request>(call);
    if (!request) return;
    if (reply_with_part(call, *request)) return;
    pending_state_requests_.push_back(
        {call, *request, boottime_clock::now() + state_wait_timeout});
  }

  auto reply_with_part(const exchange_ptr& call,
                       const wire::state_request& request) -> bool {
    const auto is_document =
        request.kind == static_cast<std::int8_t>(state_kind::document);
    if (!is_document) publish_config();
    auto part = (is_document ? documents_ : configurations_).part(request);
    if (!part) return false;
    state_bytes_ += part->bytes.size();
    ++state_parts_;
    send_paced(call, *part);
    return true;
  }

  /// Replies to waiting requests whose version is known now or that have
  /// waited too long.
  auto reply_to_state_requests(instant now) -> void {
    for (auto& pending : std::exchange(pending_state_requests_, {})) {
      if (reply_with_part(pending.call, pending.request)) continue;
      if (now >= pending.due)
        wire_reply(pending.call, wire::state_part{});
      else
        pending_state_requests_.push_back(std::move(pending));
    }
  }

  template <class Message>
  auto send_paced(const exchange_ptr& call, const Message& message) -> void {
    http_headers headers;
    headers.add("Content-Type", "application/x-thrift");
    pacer_.send(call, std::move(headers), encode_wire(message));
  }

  // --- renewals --------------------------------------------------------------

  auto reply_to_pending() -> void {
    const auto now = boottime_clock::now();
    reply_to_renewals(now);
    reply_to_state_requests(now);
    reply_to_patches(now);
  }

  auto reply_to_renewals(instant now) -> void {
    const auto lost_leadership = !is_active_leader();
    std::vector<pending_renewal> remaining;
    for (auto& pending : std::exchange(pending_renewals_, {})) {
      if (lost_leadership || now >= pending.due ||
          has_updates_for(pending.request))
        reply_to_renewal(pending.call, pending.request);
      else
        remaining.push_back(std::move(pending));
    }
    pending_renewals_.insert(pending_renewals_.end(),
                             std::make_move_iterator(remaining.begin()),
                             std::make_move_iterator(remaining.end()));
  }

  auto reply_to_renewal(const exchange_ptr& call,
                        const wire::renew_request& request) -> void {
    wire::renew_reply reply;
    reply.leader = leader_address();
    reply.term = static_cast<std::int64_t>(replica_.term());
    for (auto id : replica_.members())
      if (const auto address = peer_address(id))
        reply.replicas.push_back(address->text());
    if (!is_active_leader()) return wire_reply(call, reply);
    const auto now = boottime_clock::now();
    reply.granted = true;
    reply.lease_ms =
        std::chrono::duration_cast<milliseconds>(leases_.lease()).count();
    reply.version = static_cast<std::int64_t>(state_.config().version);
    add_config(reply, request);
    const auto& document = state_.document();
    reply.document = document.number;
    if (!request.fetches_state && request.document < document.number)
      reply.document_text = document.text;
    add_directory_changes(reply, request);
    reply.vm_count = static_cast<std::int32_t>(leases_.live_count(now));
    reply.usage = leases_.heaviest_accounts(max_reported_accounts, now);
    renewal_state_bytes_ +=
        reply.document_text.size() + reply.configuration.size();
    add_suspects(reply, request);
    send_paced(call, reply);
  }

  /// Adds the patches that the VM lacks, or the whole configuration if they are
  /// no longer kept. Neither is added if it is large: the VM fetches it.
  auto add_config(wire::renew_reply& reply,
                  const wire::renew_request& request) const -> void {
    const auto in_force = static_cast<std::uint64_t>(request.in_force);
    if (auto patches = state_.patches_after(in_force)) {
      std::size_t bytes = 0;
      for (const auto& patch : *patches)
        bytes += patch.body.size();
      if (!request.fetches_state || bytes <= max_inline_config_bytes) {
        reply.patches = std::move(*patches);
        return;
      }
    }
    auto text = state_.config().text();
    if (!request.fetches_state || text.size() <= max_inline_config_bytes)
      reply.configuration = std::move(text);
  }

  auto add_suspects(wire::renew_reply& reply,
                    const wire::renew_request& request) const -> void {
    reply.suspects_digest = suspects_digest_;
    if (request.tracks_suspects &&
        request.suspects_digest == reply.suspects_digest)
      return;
    reply.blames = suspects_;
    const auto now_ms = wall_clock().count();
    for (auto& record : reply.blames) {
      record.age_ms = std::max<std::int64_t>(0, now_ms - record.at_ms);
      record.first_age_ms =
          std::max<std::int64_t>(0, now_ms - record.first_at_ms);
    }
  }

  /// Adds the next changed records of the directory. A VM that needs more of
  /// them asks again at once.
  auto add_directory_changes(wire::renew_reply& reply,
                             const wire::renew_request& request) const -> void {
    reply.directory_full = request.term != reply.term;
    const auto max_count =
        request.fetches_state ? max_records_per_renewal : SIZE_MAX;
    reply.endpoints = directory_.changes_after(
        reply.directory_full ? 0 : request.directory_sequence, max_count);
    reply.directory_sequence = reply.endpoints.size() == max_count
                                   ? reply.endpoints.back().sequence
                                   : directory_.sequence();
  }

  auto handle_report(const exchange_ptr& call) -> void {
    auto request = decode_body<wire::report_request>(call);
    if (!request) return;
    wire::report_reply reply;
    reply.leader = leader_address();
    reply.accepted = is_active_leader();
    if (reply.accepted) merge_reported(request->endpoints);
    wire_reply(call, reply);
    reply_task_.schedule();
  }

  /// The other control VMs must know what entry VMs report, since one of them
  /// may lead next.
  auto merge_reported(const std::vector<wire::endpoint_record>& records)
      -> void {
    std::set<std::string> changed;
    for (const auto& record : records) {
      const auto before = directory_.sequence();
      directory_.merge({record});
      // Owners report their endpoints to each new leader.
      const auto owned = !record.owner.empty();
      if (!owned && directory_.sequence() != before) changed.insert(record.id);
    }
    if (gateway_ && !changed.empty()) gateway_->publish(changed);
  }

  /// Each VM gets other peers, so that those of many VMs spread their requests.
  auto handle_peers(const exchange_ptr& call) -> void {
    const auto request = decode_body<wire::peers_request>(call);
    if (!request) return;
    wire::peers_reply reply;
    reply.leader = leader_address();
    reply.accepted = is_active_leader();
    if (reply.accepted) {
      leases_.set_cut_off(request->vm, request->cut_off);
      auto peers = leases_.relay_peers(request->vm, boottime_clock::now());
      const auto count = std::min(max_relay_peers, peers.size());
      for (std::size_t i = 0; i < count; ++i)
        std::swap(peers[i], peers[i + random_.below(peers.size() - i)]);
      peers.resize(count);
      reply.peers = std::move(peers);
    }
    wire_reply(call, reply);
  }

  auto handle_permits(const exchange_ptr& call) -> void {
    const auto request = decode_body<wire::permit_request>(call);
    if (!request) return;
    wire::permit_reply reply;
    reply.leader = leader_address();
    reply.accepted = is_active_leader();
    const auto now = boottime_clock::now();
    for (const auto& record : request->wants) {
      if (!reply.accepted) break;
      const permit_want want{from_wire(record.limit, now), record.wanted,
                             record.returned};
      const auto grant = permit_issuer_.handle(request->vm, want, now);
      wire::permit_grant_record granted;
      granted.limit = to_wire(grant.statement, now);
      granted.permits = grant.permits;
      granted.retry_after_ms = grant.retry_after.count();
      reply.grants.push_back(std::move(granted));
      publish_limit(want.statement.endpoint);
    }
    wire_reply(call, reply);
  }

  /// Tells all VMs of a limit. Small changes concern only the leader, which
  /// issues the permits.
  auto publish_limit(const std::string& id) -> void {
    const auto found = directory_.records().find(id);
    if (found == directory_.records().end()) return;
    const auto* latest = permit_issuer_.limits().find(id);
    const auto limited = latest != nullptr && latest->per_second &&
                         latest->incarnation == found->second.incarnation;
    const auto limit =
        limited ? std::max<std::int64_t>(
                      1, std::llround(*latest->per_second * limit_record_unit))
                : 0;
    const auto published = found->second.request_limit;
    const auto difference = std::abs(limit - published);
    if (limit != 0 && published != 0 &&
        difference <= published / published_limit_divisor)
      return;
    if (!directory_.set_request_limit(id, limit)) return;
    log_event(log_level::info, "limit.published",
              {{"endpoint", id},
               {"per_second", static_cast<double>(limit) / limit_record_unit},
               {"previous", static_cast<double>(published) / limit_record_unit},
               {"vms", leases_.live_count(boottime_clock::now())}});
    if (gateway_) gateway_->publish({id});
    reply_task_.schedule();
  }

  auto handle_claim(const exchange_ptr& call) -> void {
    auto claim = decode_body<wire::claim_record>(call);
    if (!claim) return;
    if (!is_active_leader() || pending_entries_.size() >= max_pending_claims) {
      wire::claim_reply reply;
      reply.answer = static_cast<std::int8_t>(is_active_leader()
                                                  ? claim_answer::refused
                                                  : claim_answer::not_leader);
      reply.leader = leader_address();
      return wire_reply(call, reply);
    }
    wire::command command;
    command.__isset.claim = true;
    command.claim = std::move(*claim);
    command.claim.at_ms = wall_clock().count();
    submit(command, [this, call](const auto& reply) {
      wire::claim_reply response;
      response.answer = static_cast<std::int8_t>(claim_answer::not_leader);
      response.leader = leader_address();
      if (reply)
        if (const auto* result = std::get_if<wire::claim_reply>(&*reply))
          response = *result;
      wire_reply(call, response);
    });
  }

  auto handle_settle(const exchange_ptr& call) -> void {
    auto settle = decode_body<wire::settle_command>(call);
    if (!settle) return;
    wire::command command;
    command.__isset.settle = true;
    command.settle = std::move(*settle);
    command.settle.at_ms = wall_clock().count();
    commit_and_acknowledge(call, command);
  }

  /// A single report, as VMs of earlier versions send it.
  auto handle_crash_report(const exchange_ptr& call) -> void {
    if (auto report = decode_body<wire::blame_command>(call))
      take_crash_reports(call, {std::move(*report)});
  }

  auto handle_crash_reports(const exchange_ptr& call) -> void {
    if (auto batch = decode_body<wire::blame_batch>(call))
      take_crash_reports(call, std::move(batch->reports));
  }

  auto take_crash_reports(const exchange_ptr& call,
                          std::vector<wire::blame_command> reports) -> void {
    if (!is_active_leader()) return wire_reply(call, settlement(false));
    std::vector<wire::blame_command> due;
    for (auto& report : reports) {
      report.at_ms = wall_clock().count();
      const auto added = crash_inbox_.add(report, state_.crashes());
      log_crash_report(report, added.size());
      due.insert(due.end(), added.begin(), added.end());
    }
    if (due.empty()) return wire_reply(call, settlement(true));
    for (std::size_t i = 0; i < due.size(); ++i) {
      wire::command command;
      command.__isset.blame = true;
      command.blame = due[i];
      if (i + 1 == due.size())
        commit_and_acknowledge(call, command);
      else
        submit(command, [](const auto& /*reply*/) {});
    }
  }

  static auto log_crash_report(const wire::blame_command& report,
                               std::size_t committing) -> void {
    log_event(
        log_level::info, "crash.received",
        {{"fingerprint",
          fingerprint_text(static_cast<std::uint64_t>(report.fingerprint))},
         {"part", report.part ? 1 : 0},
         {"endpoint", report.endpoint},
         {"points", report.points},
         {"survived", report.survived ? 1 : 0},
         {"survived_ago_ms", report.survived_ago_ms},
         {"committing", committing}});
  }

  /// An operator lets a request run again that crashed endpoints.
  auto handle_clear(const exchange_ptr& call) -> void {
    const auto body = json::parse(call->request().body, nullptr, false);
    const auto named = body.is_object() && body.contains("fingerprint") &&
                       body["fingerprint"].is_string();
    const auto fingerprint =
        named ? parse_fingerprint(body["fingerprint"].get<std::string>())
              : std::nullopt;
    if (!fingerprint)
      return json_reply(
          call, 400, {{"error", "a fingerprint of 16 hex digits is needed"}});
    wire::command command;
    command.__isset.blame = true;
    command.blame.fingerprint = static_cast<std::int64_t>(*fingerprint);
    command.blame.survived = true;
    command.blame.at_ms = wall_clock().count();
    command.blame.who = body.value("who", "operator");
    crash_inbox_.add(command.blame, state_.crashes());
    submit(command, [this, call](const auto& reply) {
      if (!reply) return reply_not_leader(call);
      json_reply(call, 200, {{"cleared", true}});
    });
  }

  /// Commits a command and replies whether it was committed.
  auto commit_and_acknowledge(const exchange_ptr& call,
                              const wire::command& command) -> void {
    auto response = settlement(false);
    if (!is_active_leader()) return wire_reply(call, response);
    submit(command, [call, response](const auto& reply) mutable {
      response.accepted = reply.has_value();
      wire_reply(call, response);
    });
  }

  auto settlement(bool accepted) const -> wire::settle_reply {
    wire::settle_reply response;
    response.accepted = accepted;
    response.leader = leader_address();
    return response;
  }

  auto handle_patch(const exchange_ptr& call) -> void {
    const auto body = json::parse(call->request().body, nullptr, false);
    const auto valid = body.is_object() && body.contains("base") &&
                       body["base"].is_number_unsigned() &&
                       body.contains("id") && body["id"].is_string() &&
                       !body["id"].get<std::string>().empty() &&
                       body.contains("patch") && body["patch"].is_object();
    if (!valid)
      return json_reply(
          call, 400,
          {{"error", "a patch needs base (a number), id and patch"}});
    wire::command command;
    command.__isset.patch = true;
    command.patch.base = body["base"].get<std::int64_t>();
    command.patch.id = body["id"].get<std::string>();
    command.patch.who = body.value("who", "operator");
    command.patch.body = body["patch"].dump();
    command.patch.at_ms = wall_clock().count();
    submit(command, [this, call](const auto& reply) {
      const auto* result = reply ? std::get_if<patch_reply>(&*reply) : nullptr;
      if (result == nullptr) return reply_not_leader(call);
      reply_to_patch(call, *result);
    });
  }

  auto reply_to_patch(const exchange_ptr& call, const patch_reply& result)
      -> void {
    std::visit(overloaded{[&](const patch_accepted& accepted) {
                            pending_patches_.push_back(
                                {call, accepted.version,
                                 boottime_clock::now() + patch_timeout});
                            reply_task_.schedule();
                          },
                          [&](const patch_refused& refused) {
                            json_reply(call, 409,
                                       {{"error", refused.reason},
                                        {"version", state_.config().version}});
                          }},
               result);
  }

  /// Replies to accepted patches that are in force on all VMs or timed out.
  auto reply_to_patches(instant now) -> void {
    std::vector<pending_patch> remaining;
    for (auto& pending : std::exchange(pending_patches_, {})) {
      if (is_active_leader() &&
          (lease_wait_disabled_ ||
           leases_.in_force_everywhere(pending.version, now)))
        json_reply(pending.call, 200, {{"version", pending.version}});
      else if (now >= pending.due)
        json_reply(pending.call, 504,
                   {{"error", "recorded, not yet in force everywhere"},
                    {"version", pending.version}});
      else
        remaining.push_back(std::move(pending));
    }
    pending_patches_ = std::move(remaining);
  }

  auto handle_members(const exchange_ptr& call) -> void {
    const auto body = json::parse(call->request().body, nullptr, false);
    if (!body.is_array())
      return json_reply(call, 400, {{"error", "a list of replica numbers"}});
    const auto index = replica_.propose_members(
        body.get<std::vector<replica_id>>(), boottime_clock::now());
    if (!index) return json_reply(call, 409, {{"error", last_error().reason}});
    pending_entries_[*index] = {
        replica_.term(), [this, call](const auto& reply) {
          if (!reply) return reply_not_leader(call);
          json_reply(call, 200, {{"members", replica_.members()}});
        }};
    flush_task_.schedule();
  }

  // --- views -------------------------------------------------------------

  auto show_status(const exchange_ptr& call) -> void {
    json_reply(call, 200,
               {{"id", id_},
                {"role", role_name()},
                {"in_charge", is_active_leader()},
                {"term", replica_.term()},
                {"leader", leader_address()},
                {"commit", replica_.commit_index()},
                {"version", state_.config().version},
                {"members", replica_.members()},
                {"claims", state_.claim_count()},
                {"endpoints", directory_.size()},
                {"vms", vms_view(leases_, boottime_clock::now())}});
  }

  auto show_metrics(const exchange_ptr& call) -> void {
    metrics_.set("pollenloft_control_term",
                 static_cast<double>(replica_.term()));
    metrics_.set("pollenloft_control_leads", is_active_leader() ? 1 : 0);
    metrics_.set("pollenloft_config_version",
                 static_cast<double>(state_.config().version));
    metrics_.set("pollenloft_claims",
                 static_cast<double>(state_.claim_count()));
    metrics_.set("pollenloft_crash_records",
                 static_cast<double>(state_.crashes().size()));
    metrics_.set("pollenloft_request_permits_granted_total",
                 static_cast<double>(permit_issuer_.granted()));
    metrics_.set("pollenloft_renewals_total", static_cast<double>(renewals_));
    metrics_.set("pollenloft_document_number",
                 static_cast<double>(state_.document().number));
    metrics_.set("pollenloft_renewal_state_bytes_total",
                 static_cast<double>(renewal_state_bytes_));
    metrics_.set("pollenloft_state_parts_total",
                 static_cast<double>(state_parts_));
    metrics_.set("pollenloft_state_part_bytes_total",
                 static_cast<double>(state_bytes_));
    metrics_.set("pollenloft_state_frames_encoded_total",
                 static_cast<double>(documents_.encoded_frames() +
                                     configurations_.encoded_frames()));
    metrics_.set("pollenloft_paced_replies_queued",
                 static_cast<double>(pacer_.queued()));
    for (const auto& [id, entries] : entries_sent_)
      metrics_.set("pollenloft_log_entries_sent_total",
                   static_cast<double>(entries),
                   "peer=\"" + ipv4_text(id) + "\"");
    metrics_.set("pollenloft_log_entries_total",
                 static_cast<double>(replica_.last_index()));
    metrics_.set("pollenloft_control_bytes_total",
                 static_cast<double>(control_bytes_ + sharer_.bytes_sent()));
    show_share_metrics();
    metrics_.set("pollenloft_endpoints",
                 static_cast<double>(directory_.size()));
    call->reply(200, {}, metrics_.text());
  }

  auto show_share_metrics() -> void {
    metrics_.set("pollenloft_directory_shares_total",
                 static_cast<double>(sharer_.shares_sent()));
    metrics_.set("pollenloft_directory_changes_coalesced_total",
                 static_cast<double>(sharer_.coalesced()));
    metrics_.set("pollenloft_directory_share_retries_total",
                 static_cast<double>(sharer_.retries()));
    metrics_.set("pollenloft_directory_changes_unacknowledged",
                 static_cast<double>(sharer_.unacknowledged()));
    metrics_.set("pollenloft_departures_recorded",
                 static_cast<double>(state_.departures().size()));
  }

  event_loop& loop_;
  http_client client_;
  http_server server_;
  http_server metrics_server_;
  std::optional<socket_address> metrics_address_;
  journal disk_;
  std::map<std::string, socket_address> peers_;
  socket_address listen_;
  replica_id id_;
  lease_table leases_;
  bool lease_wait_disabled_;
  replica replica_;
  membership group_;
  control_state state_;
  crash_inbox crash_inbox_;
  permit_issuer permit_issuer_;
  random_source random_{static_cast<std::uint64_t>(
      boottime_clock::now().time_since_epoch().count())};
  std::vector<wire::blame_record> suspects_;  // as published
  std::int64_t suspects_digest_ = 0;
  instant suspects_published_at_{};
  endpoint_directory directory_;
  directory_store directory_store_;
  directory_sharer sharer_;
  departure_recorder departures_;
  layer_placer placer_;
  reply_pacer pacer_;
  std::unique_ptr<control_gateway> gateway_;
  metrics metrics_;
  connection_monitor connections_{loop_, metrics_};
  timer tick_timer_;
  timer stop_timer_;
  replica_role known_role_ = replica_role::follower;
  log_term known_term_ = 0;
  posted_task flush_task_{loop_, [this] { flush(); }};
  posted_task reply_task_{loop_, [this] { reply_to_pending(); }};
  bool failed_ = false;
  bool stopping_ = false;
  bool serving_ended_ = false;  // pending requests have been answered
  std::vector<queued_command> queued_commands_;
  std::map<log_index, pending_entry> pending_entries_;
  std::vector<pending_renewal> pending_renewals_;
  std::vector<pending_patch> pending_patches_;
  std::set<std::string> holders_in_abandonment_;
  std::map<replica_id, std::size_t> in_flight_;
  std::map<replica_id, part_sender> part_senders_;
  part_assembler part_assembler_;
  std::uint64_t snapshot_bytes_ = 0;
  std::uint64_t renewals_ = 0;
  std::uint64_t control_bytes_ = 0;
  std::uint64_t renewal_state_bytes_ = 0;
  state_catalog documents_;
  state_catalog configurations_;
  std::vector<pending_state_request> pending_state_requests_;
  std::uint64_t state_parts_ = 0;
  std::uint64_t state_bytes_ = 0;
  std::map<replica_id, std::uint64_t> entries_sent_;
  instant last_tick_{};
};

auto run(int argc, char** argv) -> int {
  auto parsed = parse_settings("pollenloft-controld [settings]",
                               control_settings(), argc, argv);
  if (auto* code = std::get_if<int>(&parsed)) return *code;
  const auto& values = std::get<settings>(parsed);
  if (!validate_control_settings(values)) return 2;
  start_logging("controld-" + values.text("id"), values.text("log-level"));
  auto disk = journal::open(values.text("data"));
  if (!disk) {
    log_failure("disk.refused", last_error());
    return 1;
  }
  event_loop loop;
  loop.set_connection_limits(
      limits_of_machine(values.decimal("memory-mb"),
                        static_cast<std::size_t>(values.decimal("max-fds"))));
  control_server server(loop, values, std::move(*disk));
  if (!server.start(values.address("listen"))) {
    log_failure("start.failed", last_error());
    return 1;
  }
  log_event(log_level::info, "started", {{"listen", values.text("listen")}});
  const auto terminate = loop.on_signal(SIGTERM, [&] { server.shut_down(); });
  const auto interrupt = loop.on_signal(SIGINT, [&] { server.shut_down(); });
  settings_reloader reloader("pollenloft-controld [settings]",
                             control_settings(), argc, argv);
  const auto reload = [&] {
    if (const auto changed = reloader.reload_if_changed())
      server.set_seeds(changed->address_list("seeds"));
  };
  const auto hangup = loop.on_signal(SIGHUP, reload);
  const auto watch = loop.every(settings_poll_interval, reload);
  loop.run();
  server.save_directory();
  const auto responses = loop.unfinished();
  log_event(log_level::info, "stopped",
            {{"open_responses", responses.open},
             {"unsent_responses", responses.unsent},
             {"unsent_bytes", responses.unsent_bytes}});
  return server.failed() ? 1 : 0;
}

}  // namespace
}  // namespace pollenloft

auto main(int argc, char** argv) -> int {
  return pollenloft::run(argc, argv);
}
