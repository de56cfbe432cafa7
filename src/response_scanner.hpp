/// \file response_scanner.hpp
/// Checks the bytes of a response against the grammar of HTTP/1.1 as they
/// arrive. evhttp ends text at a NUL byte, converts numbers leniently and takes
/// any bytes before a colon for a field name, so that it reads another length
/// from a damaged response than was sent. Performs no I/O.
#ifndef POLLENLOFT_RESPONSE_SCANNER_HPP
#define POLLENLOFT_RESPONSE_SCANNER_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "field_reader.hpp"

namespace pollenloft {

class response_scanner {
 public:
  /// Lines longer than `max_line_bytes` aren't checked; the client refuses them
  /// by its limits. A response to HEAD has no body.
  response_scanner(std::size_t max_line_bytes, bool answers_head);

  /// Takes the next bytes of the response.
  auto scan(std::string_view bytes) -> void;
  /// Whether the bytes so far begin a valid response.
  auto valid() const -> bool { return state_ != state::invalid; }
  /// Whether bytes follow the body, whose end a length or chunks tell, that
  /// begin no other response. An endpoint may send a response twice.
  auto surplus() const -> bool;

 private:
  enum class state {
    status_line,
    field,
    chunk_size,
    chunk_data,
    chunk_end,
    trailer,
    body,      // of a length
    complete,  // a body of a length or in chunks
    unchecked,
    invalid
  };

  /// Takes bytes up to the end of a line. Returns how many.
  auto scan_line(std::string_view bytes) -> std::size_t;
  /// Takes bytes of a chunk or of a body with a length. Returns how many.
  auto scan_body(std::string_view bytes) -> std::size_t;
  /// Returns the state after a line, without its end.
  auto next_state(std::string_view line) -> state;
  auto end_head() -> state;
  auto read_status(std::string_view line) -> bool;
  auto read_field(std::string_view line) -> bool;
  auto read_chunk_size(std::string_view line) -> bool;

  std::size_t max_line_bytes_;
  bool answers_head_;
  state state_ = state::status_line;
  std::string line_;
  bool line_too_long_ = false;
  int status_ = 0;
  field_reader fields_;
  std::uint64_t left_ = 0;  // bytes of the chunk, or of the body
  std::string following_;   // the first bytes after the body
};

}  // namespace pollenloft

#endif
