#include "share_link.hpp"

#include <algorithm>
#include <utility>

namespace pollenloft {

namespace {

/// Moves the first ids of a set, at most `count`, to the end of `taken`.
auto take_ids(std::set<std::string>& ids, std::size_t count,
              std::vector<std::string>& taken) -> void {
  while (count-- > 0 && !ids.empty())
    taken.push_back(std::move(ids.extract(ids.begin()).value()));
}

}  // namespace

auto share_link::add_change(const std::string& id)
    -> std::optional<std::int64_t> {
  const auto waiting = numbers_.find(id);
  if (waiting != numbers_.end()) {
    ++coalesced_;
    return waiting->second;
  }
  if (changes_.size() >= max_waiting_changes) return std::nullopt;
  unchanged_.erase(id);
  changes_[++last_number_] = id;
  numbers_[id] = last_number_;
  return last_number_;
}

auto share_link::add_unchanged(const std::string& id) -> void {
  if (numbers_.count(id) == 0 && unchanged_.size() < max_waiting_changes)
    unchanged_.insert(id);
}

auto share_link::add_heard(const std::string& id) -> void {
  if (heard_.size() < max_waiting_changes) heard_.insert(id);
}

auto share_link::take_changes() -> flight {
  flight taken;
  while (taken.changes.size() < max_records_ && !changes_.empty()) {
    const auto id = std::move(changes_.extract(changes_.begin()).mapped());
    taken.content.records.push_back(id);
    taken.changes.insert(numbers_.extract(id));
  }
  return taken;
}

auto share_link::next(instant now) -> std::optional<share_content> {
  if (in_flight_ || now < retry_at_) return std::nullopt;
  if (changes_.empty() && unchanged_.empty() && heard_.empty() && !digest_)
    return std::nullopt;
  if (failures_ > 0) ++retries_;
  in_flight_ = take_changes();
  auto& content = in_flight_->content;
  if (!content.records.empty()) coalesced_ += content.records.size() - 1;
  take_ids(unchanged_, max_records_ - content.records.size(), content.records);
  take_ids(heard_, heard_per_record * max_records_, content.heard);
  if (changes_.empty() && unchanged_.empty())
    content.digest = std::exchange(digest_, false);
  return content;
}

auto share_link::on_acknowledged() -> void {
  in_flight_.reset();
  failures_ = 0;
  retry_at_ = {};
  max_records_ = std::min(2 * max_records_, max_records_per_share);
}

auto share_link::on_failure(instant now) -> void {
  if (!in_flight_) return;
  auto failed = std::move(*in_flight_);
  in_flight_.reset();
  ++failures_;
  retry_at_ = now + share_retry_pause;
  max_records_ = std::max<std::size_t>(max_records_ / 2, 1);
  digest_ = digest_ || failed.content.digest;
  for (const auto& id : failed.content.heard)
    heard_.insert(id);
  const auto changed = static_cast<std::ptrdiff_t>(failed.changes.size());
  unchanged_.insert(failed.content.records.begin() + changed,
                    failed.content.records.end());
  for (const auto& [id, number] : failed.changes) {
    const auto [waiting, added] = numbers_.try_emplace(id, number);
    if (!added) changes_.erase(waiting->second);
    waiting->second = number;
    changes_[number] = id;
  }
}

auto share_link::is_delivered(const std::string& id, std::int64_t number) const
    -> bool {
  const auto lacks = [&](const auto& numbers) {
    const auto found = numbers.find(id);
    return found != numbers.end() && found->second <= number;
  };
  return !lacks(numbers_) && !(in_flight_ && lacks(in_flight_->changes));
}

auto share_link::unacknowledged() const -> std::size_t {
  return changes_.size() + (in_flight_ ? in_flight_->changes.size() : 0);
}

}  // namespace pollenloft
