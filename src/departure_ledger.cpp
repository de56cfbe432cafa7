#include "pollenloft/control.hpp"

namespace pollenloft {

auto departure_ledger::find(const std::string& id) const
    -> const wire::departure_command* {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second.departure;
}

auto departure_ledger::covers(const wire::departure_command& departure) const
    -> bool {
  const auto* known = find(departure.id);
  if (known == nullptr || known->incarnation < departure.incarnation)
    return false;
  return known->incarnation > departure.incarnation ||
         known->state >= departure.state;
}

auto departure_ledger::apply(const wire::departure_command& departure) -> void {
  if (covers(departure)) return;
  auto& known = records_[departure.id];
  by_sequence_.erase(known.sequence);
  known = {departure, ++sequence_};
  by_sequence_[sequence_] = departure.id;
  if (records_.size() <= max_count_) return;
  records_.erase(by_sequence_.begin()->second);
  by_sequence_.erase(by_sequence_.begin());
}

auto departure_ledger::records() const -> std::vector<wire::departure_command> {
  std::vector<wire::departure_command> result;
  for (const auto& [sequence, id] : by_sequence_)
    result.push_back(records_.at(id).departure);
  return result;
}

auto departure_ledger::changes_after(std::int64_t sequence) const
    -> std::vector<std::string> {
  std::vector<std::string> ids;
  for (auto it = by_sequence_.upper_bound(sequence); it != by_sequence_.end();
       ++it)
    ids.push_back(it->second);
  return ids;
}

}  // namespace pollenloft
