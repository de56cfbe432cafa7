#include "event_sequence.hpp"

#include <algorithm>

namespace pollenloft {

auto find_event_end(std::string_view text, std::size_t from)
    -> std::optional<std::size_t> {
  for (auto line = text.find('\n', from); line != std::string_view::npos;
       line = text.find('\n', line + 1)) {
    const auto next = text.substr(line + 1, 2);
    if (next.substr(0, 1) == "\n") return line + 2;
    if (next == "\r\n") return line + 3;
  }
  return std::nullopt;
}

auto is_comment(std::string_view event) -> bool {
  while (!event.empty()) {
    const auto end = std::min(event.find('\n'), event.size() - 1);
    if (event.front() != ':' && event.front() != '\n' && event.front() != '\r')
      return false;
    event.remove_prefix(end + 1);
  }
  return true;
}

auto event_sequence::begin_answer(bool resumes) -> void {
  resumed_ = resumes;
  first_ = size_;
  answer_last_id_.reset();
  answer_has_events_ = false;
}

auto event_sequence::decide(std::optional<std::int64_t> id, bool comment)
    -> event_decision {
  if (comment) return event_decision::forward;
  if (!id && resumed_) return event_decision::foreign;
  if (id && last_id_ && *id > *last_id_ + 1) return event_decision::missing;
  answer_has_events_ = true;
  answer_last_id_ = id;
  if (id && last_id_ && *id <= *last_id_) return event_decision::skip;
  if (id)
    last_id_ = id;
  else
    has_event_without_id_ = true;
  ++size_;
  return event_decision::forward;
}

}  // namespace pollenloft
