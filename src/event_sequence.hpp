/// \file event_sequence.hpp
/// The events of a caller's stream, to which several answers may contribute.
#ifndef POLLENLOFT_EVENT_SEQUENCE_HPP
#define POLLENLOFT_EVENT_SEQUENCE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pollenloft {

enum class event_decision {
  forward,
  skip,     ///< the caller has it
  missing,  ///< events before it are missing
  foreign   ///< nothing shows that it belongs to the stream
};

/// One past the blank line that ends the first server-sent event at or after
/// `from`; empty if there is none. Lines end with LF or CRLF.
auto find_event_end(std::string_view text, std::size_t from)
    -> std::optional<std::size_t>;

/// Whether all lines of a server-sent event are comments.
auto is_comment(std::string_view event) -> bool;

/// Decides which events of an answer belong to the stream. A later answer goes
/// on after the last event, so each of its events must have an id.
class event_sequence {
 public:
  /// `last_id` is the last event that the caller got in earlier requests.
  explicit event_sequence(std::optional<std::int64_t> last_id)
      : last_id_(last_id) {}

  /// The events from now on are of another answer; `resumes` if the caller has
  /// a part of the stream.
  auto begin_answer(bool resumes) -> void;
  /// Decides on the next event with this id, and counts it if it is forwarded.
  auto decide(std::optional<std::int64_t> id, bool comment) -> event_decision;

  auto last_id() const -> std::optional<std::int64_t> { return last_id_; }
  /// Events forwarded so far.
  auto size() const -> std::size_t { return size_; }
  /// Events forwarded from this answer.
  auto answer_size() const -> std::size_t { return size_ - first_; }
  auto resumed() const -> bool { return resumed_; }
  /// Whether an answer may go on after the events forwarded so far.
  auto resumable() const -> bool { return !has_event_without_id_; }
  /// Whether this answer has brought an event.
  auto answer_has_events() const -> bool { return answer_has_events_; }
  /// Whether the last event of this answer is that of the stream.
  auto answer_ends_stream() const -> bool {
    return !resumed_ || answer_last_id_ == last_id_;
  }

 private:
  std::optional<std::int64_t> last_id_;
  std::size_t size_ = 0;
  std::size_t first_ = 0;  // `size_` when this answer began
  bool resumed_ = false;   // by this answer
  std::optional<std::int64_t> answer_last_id_;
  bool answer_has_events_ = false;
  bool has_event_without_id_ = false;
};

}  // namespace pollenloft

#endif
