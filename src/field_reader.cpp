#include "field_reader.hpp"

#include <strings.h>

#include <algorithm>

namespace pollenloft {

namespace {

constexpr std::string_view length_name = "Content-Length";
constexpr std::string_view coding_name = "Transfer-Encoding";
constexpr std::string_view blanks = " \t";
/// No body is as long as a number of more digits.
constexpr std::size_t max_length_digits = 18;

auto is_digit(char c) -> bool {
  return c >= '0' && c <= '9';
}

auto equals(std::string_view a, std::string_view b) -> bool {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

auto is_token(char c) -> bool {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         marks.find(c) != marks.npos;
}

auto is_text(char c) -> bool {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char del = 0x7f;
  const auto code = static_cast<unsigned char>(c);
  return c == '\t' || (code >= first_printable && code != del);
}

auto is_text(std::string_view text) -> bool {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return is_text(c); });
}

auto is_number(std::string_view text) -> bool {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

auto trim(std::string_view text) -> std::string_view {
  const auto first = text.find_first_not_of(blanks);
  if (first == text.npos) return {};
  return text.substr(first, text.find_last_not_of(blanks) + 1 - first);
}

auto frames_body(std::string_view line) -> bool {
  const auto name = line.substr(0, line.find(':'));
  return equals(name, length_name) || equals(name, coding_name);
}

auto field_reader::read(std::string_view line) -> bool {
  const auto colon = line.find(':');
  if (colon == line.npos || colon == 0) return false;
  const auto name = line.substr(0, colon);
  const auto value = trim(line.substr(colon + 1));
  if (!std::all_of(name.begin(), name.end(), is_token) || !is_text(value))
    return false;
  if (equals(name, length_name)) {
    if (!is_number(value) || value.size() > max_length_digits) return false;
    if (!length_) length_ = value;
    return *length_ == value;
  }
  if (equals(name, coding_name)) {
    chunked_ = true;
    // evhttp decodes no other coding.
    return equals(value, "chunked");
  }
  return true;
}

}  // namespace pollenloft
