#include "head_scanner.hpp"

namespace pollenloft {

namespace {

/// A field that frames a body is shorter.
constexpr std::size_t max_kept_bytes = 64;

}  // namespace

auto head_scanner::scan(std::string_view bytes) -> std::size_t {
  const auto before = lines_;
  for (const auto c : bytes) {
    if (complete_) break;
    ++bytes_;
    if (c == '\n')
      end_line();
    else
      add(c);
  }
  return lines_ - before;
}

auto head_scanner::add(char c) -> void {
  if (after_cr_) valid_ = false;
  after_cr_ = c == '\r';
  if (after_cr_) return;
  ++line_bytes_;
  if (beginning_.size() < max_kept_bytes) beginning_ += c;
  if (c == ':' && lines_ > 0)
    has_colon_ = true;
  else if (lines_ > 0 && !has_colon_)
    valid_ = valid_ && is_token(c);
  else
    valid_ = valid_ && is_text(c);
}

auto head_scanner::end_line() -> void {
  const auto is_empty = line_bytes_ == 0;
  if (lines_ > 0 && is_empty) {
    complete_ = true;
    valid_ = valid_ && !(fields_.chunked() && fields_.length());
  } else if (lines_ > 0 && line_bytes_ <= max_kept_bytes) {
    valid_ = valid_ && fields_.read(beginning_);
  } else if (lines_ > 0) {
    valid_ = valid_ && has_colon_ && !frames_body(beginning_);
  }
  ++lines_;
  beginning_.clear();
  line_bytes_ = 0;
  has_colon_ = false;
  after_cr_ = false;
}

}  // namespace pollenloft
