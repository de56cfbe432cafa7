#include "pollenloft/reach.hpp"

#include <algorithm>

namespace pollenloft {

namespace {

constexpr auto round_interval = milliseconds(250);
/// Endpoints in a round that may find the VM cut off. A third of the endpoints
/// may be down without that.
constexpr std::size_t probes_to_cut_off = 4;
/// The least number of endpoints that must have failed.
constexpr std::size_t min_failed = 2;
constexpr std::size_t probes_to_return = 2;

}  // namespace

auto reach_detector::contact_failed(const std::string& endpoint, instant now)
    -> void {
  ++failures_;
  failed_.insert(endpoint);
  if (cut_off_ || suspected_) return;
  suspected_ = true;
  next_round_ = std::max(next_round_, now);
}

auto reach_detector::next_probes(const std::vector<std::string>& endpoints,
                                 instant now) -> std::vector<std::string> {
  if ((!suspected_ && !cut_off_) || !awaited_.empty() || now < next_round_)
    return {};
  next_round_ = now + round_interval;
  auto chosen = endpoints;
  // While the VM is not known to be cut off, other endpoints tell more.
  if (!cut_off_ && endpoints.size() > failed_.size())
    std::erase_if(chosen,
                  [this](const auto& id) { return failed_.count(id) != 0; });
  const auto count =
      std::min(cut_off_ ? probes_to_return : probes_to_cut_off, chosen.size());
  for (std::size_t i = 0; i < count; ++i)
    std::swap(chosen[i], chosen[i + random_.below(chosen.size() - i)]);
  chosen.resize(count);
  awaited_.insert(chosen.begin(), chosen.end());
  round_size_ = count;
  accepted_ = 0;
  if (chosen.empty()) suspected_ = false;
  return chosen;
}

auto reach_detector::probe_ended(const std::string& endpoint, bool accepted,
                                 instant now) -> bool {
  if (awaited_.erase(endpoint) == 0) return false;
  if (accepted)
    ++accepted_;
  else
    failed_.insert(endpoint);
  return awaited_.empty() && end_round(now);
}

auto reach_detector::end_round(instant now) -> bool {
  suspected_ = false;
  const auto before = cut_off_;
  cut_off_ = cut_off_ ? accepted_ < round_size_
                      : accepted_ == 0 && failed_.size() >= min_failed;
  if (!cut_off_) {
    failures_ = 0;
    failed_.clear();
  }
  if (cut_off_ == before) return false;
  changed_at_ = now;
  return true;
}

}  // namespace pollenloft
