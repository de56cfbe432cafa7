#include "directory_sharer.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

#include "pollenloft/telemetry.hpp"

namespace pollenloft {

namespace {

constexpr auto share_timeout = milliseconds(400);
/// Bound for the confirmation of a change. An endpoint calls another control VM
/// after 1 s without an answer.
constexpr auto confirm_timeout = milliseconds(600);

}  // namespace

auto directory_sharer::other_members() const -> std::vector<replica_id> {
  auto others = node_.members();
  std::erase(others, id_);
  return others;
}

auto directory_sharer::add_changes(const std::set<std::string>& ids) -> void {
  for (const auto member : other_members())
    for (const auto& id : ids)
      links_[member].add_change(id);
  share_task_.schedule();
}

auto directory_sharer::add_heard(const std::set<std::string>& ids) -> void {
  for (const auto member : other_members()) {
    auto& link = links_[member];
    for (const auto& id : ids)
      link.add_heard(id);
    link.add_digest();
  }
  share_task_.schedule();
}

auto directory_sharer::add_directory(std::optional<replica_id> member) -> void {
  for (const auto other : other_members())
    if (!member || *member == other)
      for (const auto& [id, record] : directory_.records())
        links_[other].add_unchanged(id);
  share_task_.schedule();
}

auto directory_sharer::confirm(const std::string& id, confirm_handler done)
    -> void {
  confirmation added{
      id, {}, std::move(done), boottime_clock::now() + confirm_timeout};
  for (const auto member : other_members())
    if (const auto number = links_[member].add_change(id))
      added.numbers[member] = *number;
  confirmations_.push_back(std::move(added));
  share_task_.schedule();
}

auto directory_sharer::reject_waiting() -> void {
  for (auto& waiting : std::exchange(confirmations_, {}))
    waiting.done(false);
}

/// Drops the links of removed members.
auto directory_sharer::tick() -> void {
  std::erase_if(links_, [this](const auto& link) {
    return !node_.is_member(link.first) && !link.second.in_flight();
  });
  share_task_.schedule();
}

auto directory_sharer::send_shares() -> void {
  for (auto& [id, link] : links_)
    send_share(id, link);
  answer_confirmations();
}

auto directory_sharer::send_share(replica_id id, share_link& link) -> void {
  const auto address = hooks_.peer_address(id);
  if (!address) return;
  const auto content = link.next(boottime_clock::now());
  if (!content) return;
  auto share = hooks_.make_share(*content);
  share.sender = static_cast<std::int32_t>(id_);
  const auto body = encode_wire(share);
  bytes_sent_ += body.size();
  ++shares_sent_;
  client_.send(
      http_call{
          *address, "POST", "/peer/directory", {}, body, share_timeout, true},
      {{}, {}, [this, id](const auto& result, auto) {
         on_share_sent(id, result);
       }});
}

auto directory_sharer::on_share_sent(replica_id id, const call_result& result)
    -> void {
  const auto* completed = std::get_if<call_completed>(&result);
  auto& link = links_.at(id);
  if (completed != nullptr && completed->status == 200) {
    link.on_acknowledged();
  } else {
    link.on_failure(boottime_clock::now());
    if (link.failures() == 1)
      log_event(log_level::info, "share.failed",
                {{"peer", ipv4_text(id)},
                 {"unacknowledged_changes", link.unacknowledged()}});
  }
  share_task_.schedule();
}

/// Answers confirmations that are complete or overdue.
auto directory_sharer::answer_confirmations() -> void {
  const auto now = boottime_clock::now();
  std::vector<confirmation> remaining;
  for (auto& waiting : std::exchange(confirmations_, {})) {
    const auto confirmed = is_confirmed(waiting);
    if (confirmed || now >= waiting.due)
      waiting.done(confirmed);
    else
      remaining.push_back(std::move(waiting));
  }
  confirmations_.insert(confirmations_.end(),
                        std::make_move_iterator(remaining.begin()),
                        std::make_move_iterator(remaining.end()));
}

/// A leader needs another member, since it may stop as soon as the endpoint
/// has its answer.
auto directory_sharer::is_confirmed(const confirmation& waiting) const -> bool {
  if (!hooks_.leader_reachable()) return false;
  const auto others = other_members();
  const auto has = [&](replica_id member) {
    return has_change(member, waiting);
  };
  if (node_.role() != replica_role::leader) return has(node_.leader());
  return others.empty() || std::any_of(others.begin(), others.end(), has);
}

auto directory_sharer::has_change(replica_id member,
                                  const confirmation& waiting) const -> bool {
  const auto number = waiting.numbers.find(member);
  const auto link = links_.find(member);
  return number != waiting.numbers.end() && link != links_.end() &&
         link->second.is_delivered(waiting.endpoint, number->second);
}

auto directory_sharer::unacknowledged() const -> std::size_t {
  return std::accumulate(links_.begin(), links_.end(), std::size_t{0},
                         [](auto sum, const auto& link) {
                           return sum + link.second.unacknowledged();
                         });
}

auto directory_sharer::coalesced() const -> std::uint64_t {
  return std::accumulate(
      links_.begin(), links_.end(), std::uint64_t{0},
      [](auto sum, const auto& link) { return sum + link.second.coalesced(); });
}

auto directory_sharer::retries() const -> std::uint64_t {
  return std::accumulate(
      links_.begin(), links_.end(), std::uint64_t{0},
      [](auto sum, const auto& link) { return sum + link.second.retries(); });
}

}  // namespace pollenloft
