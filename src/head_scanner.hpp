/// \file head_scanner.hpp
/// Counts the lines of a request's head and checks them against the grammar of
/// HTTP/1.1 as their bytes arrive. evhttp reads leniently: what it takes for
/// the end of a head or of a body need not be what the caller sent. Performs no
/// I/O.
#ifndef POLLENLOFT_HEAD_SCANNER_HPP
#define POLLENLOFT_HEAD_SCANNER_HPP

#include <cstddef>
#include <string>
#include <string_view>

#include "field_reader.hpp"

namespace pollenloft {

class head_scanner {
 public:
  /// Takes the next bytes of the request. Returns the number of lines that end
  /// in them; bytes behind the empty line that ends the head count no more.
  auto scan(std::string_view bytes) -> std::size_t;
  auto lines() const -> std::size_t { return lines_; }
  /// Bytes of the head so far.
  auto bytes() const -> std::size_t { return bytes_; }
  auto complete() const -> bool { return complete_; }
  /// Whether the bytes so far begin a valid head. The request line is checked
  /// for control bytes only.
  auto valid() const -> bool { return valid_; }

 private:
  auto add(char c) -> void;
  auto end_line() -> void;

  std::size_t lines_ = 0;
  std::size_t bytes_ = 0;
  bool complete_ = false;
  bool valid_ = true;
  field_reader fields_;
  // Of the current line:
  std::string beginning_;  // long enough for the fields that frame a body
  std::size_t line_bytes_ = 0;
  bool has_colon_ = false;
  bool after_cr_ = false;
};

}  // namespace pollenloft

#endif
