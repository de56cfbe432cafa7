#include "pollenloft/replica.hpp"

#include <algorithm>
#include <utility>

namespace pollenloft {

namespace {

/// Size assumed for an entry's fields other than its data.
constexpr std::size_t entry_overhead_bytes = 32;
/// Heartbeat rounds whose send times are kept for the leader lease.
constexpr std::size_t max_tracked_rounds = 64;

}  // namespace

auto replica_effects::empty() const -> bool {
  return !hard && !install && append.empty() && messages.empty() && !restore &&
         committed.empty();
}

replica::replica(replica_options options, persisted_state persisted,
                 instant now)
    : options_(std::move(options)),
      random_(hash64(std::to_string(options_.id), options_.seed)) {
  members_ = options_.members;
  // The time of the last heartbeat is not persisted. A restarted replica may
  // have granted a leader lease just before, so it assumes a heartbeat now and
  // withholds its vote for one election timeout.
  last_leader_contact_ = now;
  reset_election_timer(now);
  if (!persisted.hard || !persisted.hard->voting) {
    role_ = replica_role::recovering;
    nonce_ = random_.next();
    return;
  }
  hard_state_ = *persisted.hard;
  snapshot_ = std::move(persisted.snapshot);
  log_.assign(persisted.entries.begin(), persisted.entries.end());
  commit_ = snapshot_.index;
  if (snapshot_.index != 0) effects_.restore = snapshot_;
  recompute_members();
}

auto replica::last_index() const -> log_index {
  return snapshot_.index + log_.size();
}

auto replica::entry_at(log_index index) const -> const log_entry* {
  if (index <= snapshot_.index || index > last_index()) return nullptr;
  return &log_[index - snapshot_.index - 1];
}

auto replica::term_at(log_index index) const -> log_term {
  if (index == snapshot_.index) return snapshot_.term;
  const auto* entry = entry_at(index);
  return entry != nullptr ? entry->term : 0;
}

auto replica::required_copies() const -> std::size_t {
  return std::max(majority(), std::min(options_.min_copies, members_.size()));
}

auto replica::last_heard(replica_id id) const -> std::optional<instant> {
  const auto found = progress_.find(id);
  return found == progress_.end() ? std::nullopt : found->second.last_reply_at;
}

auto replica::has_committed_in_term() const -> bool {
  return role_ == replica_role::leader && term_at(commit_) == hard_state_.term;
}

auto replica::leader_lease_until() const -> instant {
  if (role_ != replica_role::leader) return instant{};
  return quorum_confirmed_at_ + options_.election_min;
}

auto replica::send(replica_id to, decltype(replica_message::body) body)
    -> void {
  effects_.messages.push_back(
      {options_.id, to, hard_state_.term, std::move(body)});
}

auto replica::persist_hard_state() -> void {
  effects_.hard = hard_state_;
}

auto replica::take_effects() -> replica_effects {
  send_new_commit_index();
  return std::exchange(effects_, {});
}

auto replica::append_entry(log_entry entry) -> void {
  const auto is_members = entry.kind == entry_kind::members;
  log_.push_back(entry);
  effects_.append.push_back(std::move(entry));
  if (is_members) recompute_members();
}

auto replica::truncate_from(log_index index) -> void {
  while (last_index() >= index)
    log_.pop_back();
  auto& pending = effects_.append;
  while (!pending.empty() && pending.back().index >= index)
    pending.pop_back();
  recompute_members();
}

auto replica::reset_election_timer(instant now) -> void {
  const auto spread = options_.election_max - options_.election_min;
  const auto jitter =
      duration(random_.below(static_cast<std::uint64_t>(spread.count()) + 1));
  election_due_ = now + options_.election_min + jitter;
}

auto replica::become_follower(log_term term, replica_id leader, instant now)
    -> void {
  if (term > hard_state_.term) {
    hard_state_.term = term;
    hard_state_.vote = 0;
    persist_hard_state();
  }
  role_ = replica_role::follower;
  leader_ = leader;
  votes_.clear();
  progress_.clear();
  reset_election_timer(now);
}

auto replica::become_leader(instant now) -> void {
  role_ = replica_role::leader;
  leader_ = options_.id;
  progress_.clear();
  round_sent_at_.clear();
  quorum_confirmed_at_ = now - options_.election_min;  // no lease yet
  for (auto id : members_)
    if (id != options_.id) progress_[id].next = last_index() + 1;
  append_entry({hard_state_.term, last_index() + 1, entry_kind::noop, {}});
  broadcast(now);
  advance_commit();
}

auto replica::campaign(bool pre, instant now, bool transfer) -> void {
  role_ = replica_role::candidate;
  leader_ = 0;
  pre_vote_ = pre;
  votes_ = {options_.id};
  reset_election_timer(now);
  if (!pre) {
    ++hard_state_.term;
    hard_state_.vote = options_.id;
    persist_hard_state();
  }
  if (votes_.size() >= majority())
    return pre ? campaign(false, now) : become_leader(now);
  for (auto id : members_)
    if (id != options_.id)
      send(id,
           vote_request{pre, last_index(), term_at(last_index()), transfer});
}

auto replica::tick(instant now) -> void {
  if (role_ == replica_role::recovering) return send_recover_requests(now);
  if (role_ != replica_role::leader) {
    if (now >= election_due_ && hard_state_.voting && is_member(options_.id))
      campaign(true, now);
    return;
  }
  quorum_confirmed_at_ = quorum_contact_time(now);
  if (now - quorum_confirmed_at_ >
      options_.election_max + options_.election_min)
    return become_follower(hard_state_.term, 0, now);
  if (now >= heartbeat_due_) broadcast(now);
}

auto replica::propose(std::vector<std::string> commands, instant now)
    -> std::optional<log_index> {
  if (role_ != replica_role::leader)
    return fail("replica.propose", std::to_string(leader_), "not the leader");
  const auto first = last_index() + 1;
  for (auto& command : commands)
    append_entry({hard_state_.term, last_index() + 1, entry_kind::command,
                  std::move(command)});
  for (const auto& [id, peer] : progress_)
    if (peer.in_flight == 0) send_append(id, now);
  advance_commit();
  return first;
}

auto replica::compact(log_index index, std::string data)
    -> const log_snapshot& {
  if (index <= snapshot_.index || index > commit_) return snapshot_;
  auto members =
      snapshot_.members.empty() ? options_.members : snapshot_.members;
  const auto term = term_at(index);
  while (!log_.empty() && log_.front().index <= index) {
    if (log_.front().kind == entry_kind::members)
      members = detail::decode_members(log_.front().data);
    log_.pop_front();
  }
  snapshot_ = {index, term, std::move(members), std::move(data)};
  return snapshot_;
}

auto replica::broadcast(instant now) -> void {
  heartbeat_due_ = now + options_.heartbeat;
  ++round_;
  round_sent_at_[round_] = now;
  while (round_sent_at_.size() > max_tracked_rounds)
    round_sent_at_.erase(round_sent_at_.begin());
  for (const auto& [id, peer] : progress_)
    send_append(id, now);
}

/// Sends what the peer lacks, or only a heartbeat while the peer may still
/// acknowledge what is in flight. Entries may take longer than a heartbeat, so
/// they do not replace one when they are sent again.
auto replica::send_append(replica_id to, instant now) -> void {
  auto& peer = progress_[to];
  if (peer.in_flight != 0) {
    send_heartbeat(to);
    if (now - peer.sent_at < options_.resend_after) return;
  }
  peer.sent_at = now;
  if (peer.next <= snapshot_.index) return send_snapshot(to);
  send_entries(to);
}

auto replica::send_snapshot(replica_id to) -> void {
  progress_[to].in_flight = snapshot_.index;
  send(to, install_snapshot_request{snapshot_, round_});
}

auto replica::send_entries(replica_id to) -> void {
  auto& peer = progress_[to];
  auto request = make_append(peer.next - 1);
  std::size_t bytes = 0;
  for (auto i = peer.next; i <= last_index(); ++i) {
    const auto* entry = entry_at(i);
    bytes += entry->data.size() + entry_overhead_bytes;
    if (!request.entries.empty() && bytes > options_.max_append_bytes) break;
    request.entries.push_back(*entry);
  }
  peer.in_flight = request.entries.empty() ? 0 : request.entries.back().index;
  peer.in_flight_bytes = bytes;
  peer.sent_round = round_;
  send_append_request(to, std::move(request));
}

auto replica::entries_seem_lost(replica_id id) const -> bool {
  constexpr std::uint64_t later_rounds = 2;
  const auto& peer = progress_.at(id);
  return peer.in_flight > snapshot_.index &&
         peer.in_flight_bytes <= options_.max_small_append_bytes &&
         peer.acked_round >= peer.sent_round + later_rounds;
}

/// The previous index is one that the peer holds, so the heartbeat matches even
/// if it arrives before the entries in flight.
auto replica::send_heartbeat(replica_id to) -> void {
  const auto match = progress_[to].match;
  send_append_request(to, make_append(match >= snapshot_.index ? match : 0));
}

/// Peers with entries in flight learn of the commit index after they have
/// acknowledged the entries.
auto replica::send_new_commit_index() -> void {
  for (auto& [id, peer] : progress_) {
    const auto commit = std::min(commit_, peer.match);
    if (peer.in_flight != 0 || peer.sent_commit >= commit) continue;
    send_heartbeat(id);
    peer.sent_commit = commit;
  }
}

auto replica::send_append_request(replica_id to, append_request request)
    -> void {
  auto& sent = progress_[to].sent_commit;
  const auto last = request.prev_index + request.entries.size();
  sent = std::max(sent, std::min(commit_, last));
  send(to, std::move(request));
}

auto replica::make_append(log_index prev_index) const -> append_request {
  append_request request;
  request.prev_index = prev_index;
  request.prev_term = term_at(prev_index);
  request.leader_commit = commit_;
  request.leader_last_index = last_index();
  request.round = round_;
  return request;
}

auto replica::advance_commit() -> void {
  if (role_ != replica_role::leader) return;
  std::vector<log_index> matches;
  for (auto id : members_)
    matches.push_back(id == options_.id ? last_index() : progress_[id].match);
  std::sort(matches.rbegin(), matches.rend());
  const auto index = matches[required_copies() - 1];
  if (index > commit_ && term_at(index) == hard_state_.term) commit_to(index);
}

auto replica::commit_to(log_index index) -> void {
  index = std::min(index, last_index());
  while (commit_ < index)
    effects_.committed.push_back(*entry_at(++commit_));
}

auto replica::quorum_contact_time(instant now) const -> instant {
  std::vector<instant> contact_times;
  for (auto id : members_) {
    if (id == options_.id) {
      contact_times.push_back(now);
      continue;
    }
    const auto peer = progress_.find(id);
    const auto sent = peer == progress_.end()
                          ? round_sent_at_.end()
                          : round_sent_at_.find(peer->second.acked_round);
    contact_times.push_back(sent == round_sent_at_.end() ? instant{}
                                                         : sent->second);
  }
  std::sort(contact_times.rbegin(), contact_times.rend());
  return std::max(quorum_confirmed_at_, contact_times[majority() - 1]);
}

auto replica::receive(const replica_message& message, instant now) -> void {
  std::visit([&](const auto& body) { handle(body, message, now); },
             message.body);
}

auto replica::is_candidate_up_to_date(const vote_request& request) const
    -> bool {
  const auto own_term = term_at(last_index());
  if (request.last_term != own_term) return request.last_term > own_term;
  return request.last_index >= last_index();
}

auto replica::handle(const vote_request& request,
                     const replica_message& message, instant now) -> void {
  if (!hard_state_.voting) return;
  // No vote is granted while the leader may be alive: the configuration leases
  // that the leader grants depend on it (leader stickiness).
  const auto leader_may_be_alive =
      role_ == replica_role::leader
          ? now < leader_lease_until()
          : now - last_leader_contact_ < options_.election_min;
  if (leader_may_be_alive && !request.transfer) return;
  if (request.pre_vote) {
    const auto behind = message.term < hard_state_.term;
    const auto granted = !behind && is_candidate_up_to_date(request);
    // A candidate with an outdated term is told the current one even if its
    // pre-vote is rejected. Otherwise a replica with the longer log but the
    // lower term, and one with the opposite, could never elect a leader.
    if (granted || behind) send(message.from, vote_reply{true, granted});
    return;
  }
  if (message.term > hard_state_.term) become_follower(message.term, 0, now);
  const auto can_vote =
      hard_state_.vote == 0 || hard_state_.vote == message.from;
  const auto granted = message.term == hard_state_.term && can_vote &&
                       role_ == replica_role::follower &&
                       is_candidate_up_to_date(request);
  if (granted) {
    hard_state_.vote = message.from;
    persist_hard_state();
    reset_election_timer(now);
  }
  send(message.from, vote_reply{false, granted});
}

auto replica::handle(const vote_reply& reply, const replica_message& message,
                     instant now) -> void {
  if (message.term > hard_state_.term && !reply.granted)
    return become_follower(message.term, 0, now);
  if (role_ != replica_role::candidate || reply.pre_vote != pre_vote_) return;
  if (!reply.granted || !is_member(message.from)) return;
  if (!reply.pre_vote && message.term != hard_state_.term) return;
  votes_.insert(message.from);
  if (votes_.size() < majority()) return;
  if (reply.pre_vote) return campaign(false, now);
  become_leader(now);
}

auto replica::handle(const append_request& request,
                     const replica_message& message, instant now) -> void {
  if (role_ == replica_role::recovering) return;
  if (message.term < hard_state_.term)
    return send(message.from, append_reply{false, last_index(), 0});
  if (role_ != replica_role::follower || message.term > hard_state_.term)
    become_follower(message.term, message.from, now);
  leader_ = message.from;
  last_leader_contact_ = now;
  reset_election_timer(now);
  const auto has_prev = request.prev_index <= last_index();
  if (request.prev_index > commit_ &&
      (!has_prev || term_at(request.prev_index) != request.prev_term)) {
    const auto hint = std::min(last_index(), request.prev_index - 1);
    return send(message.from, append_reply{false, hint, request.round});
  }
  for (const auto& entry : request.entries) {
    if (entry.index <= commit_) continue;
    if (term_at(entry.index) == entry.term) continue;
    truncate_from(entry.index);
    append_entry(entry);
  }
  const auto match = request.prev_index + request.entries.size();
  commit_to(std::min(request.leader_commit, match));
  finish_recovery(match, request.leader_last_index);
  send(message.from, append_reply{true, match, request.round});
}

auto replica::handle(const append_reply& reply, const replica_message& message,
                     instant now) -> void {
  if (message.term > hard_state_.term)
    return become_follower(message.term, 0, now);
  if (role_ != replica_role::leader || message.term != hard_state_.term) return;
  const auto found = progress_.find(message.from);
  if (found == progress_.end()) return;
  auto& peer = found->second;
  peer.acked_round = std::max(peer.acked_round, reply.round);
  peer.last_reply_at = now;
  quorum_confirmed_at_ = quorum_contact_time(now);
  if (!reply.matched) {
    // A hint that is not below the current attempt answers an earlier one.
    if (reply.index + 1 >= peer.next) return;
    peer.in_flight = 0;
    // A hint below the recorded match means that the follower lost its disk.
    peer.match = std::min(peer.match, reply.index);
    peer.next = std::min(reply.index, last_index()) + 1;
    return send_append(message.from, now);
  }
  peer.match = std::max(peer.match, reply.index);
  peer.next = std::max(peer.next, peer.match + 1);
  if (reply.index >= peer.in_flight || entries_seem_lost(message.from))
    peer.in_flight = 0;
  advance_commit();
  if (peer.in_flight == 0 && peer.next <= last_index())
    send_append(message.from, now);
}

auto replica::handle(const install_snapshot_request& request,
                     const replica_message& message, instant now) -> void {
  if (role_ == replica_role::recovering || message.term < hard_state_.term)
    return;
  if (role_ != replica_role::follower || message.term > hard_state_.term)
    become_follower(message.term, message.from, now);
  leader_ = message.from;
  last_leader_contact_ = now;
  reset_election_timer(now);
  const auto& snapshot = request.snapshot;
  if (snapshot.index > commit_) {
    log_.clear();
    effects_.append.clear();
    effects_.committed.clear();
    snapshot_ = snapshot;
    commit_ = snapshot.index;
    effects_.install = snapshot_;
    effects_.restore = snapshot_;
    recompute_members();
  }
  send(message.from, append_reply{true, snapshot.index, request.round});
}

auto replica::handle(const timeout_now_request& /*request*/,
                     const replica_message& message, instant now) -> void {
  if (message.term != hard_state_.term || !hard_state_.voting) return;
  if (role_ != replica_role::follower || leader_ != message.from) return;
  campaign(false, now, true);
}

}  // namespace pollenloft
