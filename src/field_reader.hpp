/// \file field_reader.hpp
/// Checks the lines of header fields against the grammar of RFC 9110, and reads
/// what they tell of the body. Performs no I/O.
#ifndef POLLENLOFT_FIELD_READER_HPP
#define POLLENLOFT_FIELD_READER_HPP

#include <optional>
#include <string>
#include <string_view>

namespace pollenloft {

/// Whether the character may be part of a field name.
auto is_token(char c) -> bool;
/// Whether the character may be part of a field value.
auto is_text(char c) -> bool;
auto is_text(std::string_view text) -> bool;
/// Whether the text is a decimal number without sign or blanks.
auto is_number(std::string_view text) -> bool;
/// Removes blanks from both ends.
auto trim(std::string_view text) -> std::string_view;

class field_reader {
 public:
  /// Returns whether the line, without its end, is a field that agrees with
  /// those before it.
  auto read(std::string_view line) -> bool;
  /// Digits of the length of the body, if it is announced.
  auto length() const -> const std::optional<std::string>& { return length_; }
  auto chunked() const -> bool { return chunked_; }

 private:
  std::optional<std::string> length_;
  bool chunked_ = false;
};

/// Whether the field tells where the body ends. `line` may lack its end.
auto frames_body(std::string_view line) -> bool;

}  // namespace pollenloft

#endif
