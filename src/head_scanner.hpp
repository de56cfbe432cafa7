/// \file head_scanner.hpp
/// Counts the lines of a request's head as its bytes arrive. Performs no I/O.
#ifndef POLLENLOFT_HEAD_SCANNER_HPP
#define POLLENLOFT_HEAD_SCANNER_HPP

#include <cstddef>
#include <string_view>

namespace pollenloft {

class head_scanner {
 public:
  /// Takes the next bytes of the request. Returns the number of lines that end
  /// in them; bytes behind the empty line that ends the head count no more.
  auto scan(std::string_view bytes) -> std::size_t {
    std::size_t ended = 0;
    for (const auto c : bytes) {
      if (complete_) break;
      ++bytes_;
      if (c == '\n') {
        ++ended;
        ++lines_;
        complete_ = line_is_empty_ && lines_ > 1;
        line_is_empty_ = true;
      } else if (c != '\r') {
        line_is_empty_ = false;
      }
    }
    return ended;
  }
  auto lines() const -> std::size_t { return lines_; }
  /// Bytes of the head so far.
  auto bytes() const -> std::size_t { return bytes_; }
  auto complete() const -> bool { return complete_; }

 private:
  std::size_t lines_ = 0;
  std::size_t bytes_ = 0;
  bool line_is_empty_ = true;
  bool complete_ = false;
};

}  // namespace pollenloft

#endif
