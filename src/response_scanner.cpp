#include "response_scanner.hpp"

#include <algorithm>
#include <charconv>

namespace pollenloft {

namespace {

constexpr int continue_status = 100;
constexpr int min_final_status = 200;
constexpr int max_status = 599;
constexpr std::size_t status_digits = 3;
constexpr std::string_view protocol = "HTTP/1.";
constexpr std::size_t max_chunk_size_digits = 15;

auto is_digit(char c) -> bool {
  return c >= '0' && c <= '9';
}

/// Whether the text holds a status line, `HTTP/1.1 200`: the head was cut, and
/// another one followed.
auto contains_status_line(std::string_view text) -> bool {
  for (auto at = text.find(protocol); at != text.npos;
       at = text.find(protocol, at + 1)) {
    const auto rest =
        text.substr(at + protocol.size(), status_digits + std::size_t{2});
    if (rest.size() == status_digits + 2 && is_digit(rest[0]) &&
        rest[1] == ' ' && is_number(rest.substr(2)))
      return true;
  }
  return false;
}

}  // namespace

response_scanner::response_scanner(std::size_t max_line_bytes,
                                   bool answers_head)
    : max_line_bytes_(max_line_bytes), answers_head_(answers_head) {}

auto response_scanner::scan(std::string_view bytes) -> void {
  while (!bytes.empty() && valid() && state_ != state::unchecked) {
    if (state_ == state::complete) {
      const auto wanted = protocol.size() - following_.size();
      following_ += bytes.substr(0, wanted);
      return;
    }
    const auto in_body = state_ == state::chunk_data || state_ == state::body;
    bytes.remove_prefix(in_body ? scan_body(bytes) : scan_line(bytes));
  }
}

auto response_scanner::surplus() const -> bool {
  return !following_.empty() && following_ != protocol;
}

auto response_scanner::scan_line(std::string_view bytes) -> std::size_t {
  const auto end = bytes.find('\n');
  const auto part = bytes.substr(0, end);
  line_too_long_ =
      line_too_long_ || line_.size() + part.size() > max_line_bytes_;
  if (line_too_long_)
    line_.clear();
  else
    line_ += part;
  if (end == bytes.npos) return bytes.size();
  // A line feed alone may be a damaged byte, which moves the end of the head.
  const auto ends_with_cr = !line_.empty() && line_.back() == '\r';
  if (ends_with_cr) line_.pop_back();
  if (line_too_long_)
    state_ = state::unchecked;
  else
    state_ = ends_with_cr ? next_state(line_) : state::invalid;
  line_.clear();
  return end + 1;
}

auto response_scanner::scan_body(std::string_view bytes) -> std::size_t {
  const auto size = std::min<std::uint64_t>(bytes.size(), left_);
  left_ -= size;
  if (left_ == 0)
    state_ = state_ == state::body ? state::complete : state::chunk_end;
  return size;
}

auto response_scanner::next_state(std::string_view line) -> state {
  switch (state_) {
    case state::status_line:
      return read_status(line) ? state::field : state::invalid;
    case state::field:
      if (line.empty()) return end_head();
      return read_field(line) ? state::field : state::invalid;
    case state::chunk_size:
      if (!read_chunk_size(line)) return state::invalid;
      return left_ == 0 ? state::trailer : state::chunk_data;
    case state::chunk_end:
      return line.empty() ? state::chunk_size : state::invalid;
    case state::trailer:
      if (line.empty()) return state::complete;
      return read_field(line) ? state::trailer : state::invalid;
    default:
      return state_;
  }
}

auto response_scanner::end_head() -> state {
  if (status_ == continue_status) {
    fields_ = {};
    return state::status_line;
  }
  constexpr int no_content = 204;
  constexpr int not_modified = 304;
  const auto has_body =
      !answers_head_ && status_ != no_content && status_ != not_modified;
  if (has_body && fields_.chunked()) return state::chunk_size;
  const auto& length = fields_.length();
  if (!has_body || !length) return state::unchecked;
  std::from_chars(length->data(), length->data() + length->size(), left_);
  return left_ == 0 ? state::complete : state::body;
}

auto response_scanner::read_status(std::string_view line) -> bool {
  const auto digits_begin = protocol.size() + 2;
  const auto digits_end = digits_begin + status_digits;
  if (line.size() < digits_end || line.substr(0, protocol.size()) != protocol ||
      !is_digit(line[protocol.size()]) || line[digits_begin - 1] != ' ')
    return false;
  const auto digits = line.substr(digits_begin, status_digits);
  if (!is_number(digits)) return false;
  std::from_chars(digits.data(), digits.data() + digits.size(), status_);
  if (status_ != continue_status &&
      (status_ < min_final_status || status_ > max_status))
    return false;
  if (line.size() == digits_end) return true;
  if (line[digits_end] != ' ') return false;
  const auto reason = line.substr(digits_end + 1);
  // The status of a second status line.
  const auto begins_with_status = reason.size() >= status_digits &&
                                  is_number(reason.substr(0, status_digits));
  return is_text(reason) && !begins_with_status &&
         !contains_status_line(reason);
}

auto response_scanner::read_field(std::string_view line) -> bool {
  return !contains_status_line(line) && fields_.read(line);
}

auto response_scanner::read_chunk_size(std::string_view line) -> bool {
  const auto* begin = line.data();
  const auto* end = begin + line.size();
  constexpr int hexadecimal = 16;
  const auto read = std::from_chars(begin, end, left_, hexadecimal);
  const auto digits = static_cast<std::size_t>(read.ptr - begin);
  if (read.ec != std::errc() || digits > max_chunk_size_digits) return false;
  const auto extension = trim(line.substr(digits));
  return is_text(extension) && (extension.empty() || extension[0] == ';');
}

}  // namespace pollenloft
