/// \file delta.hpp
/// Compression of a text relative to another one that the receiver has.
#ifndef POLLENLOFT_DELTA_HPP
#define POLLENLOFT_DELTA_HPP

#include <optional>
#include <string>
#include <string_view>

namespace pollenloft {

/// A zstd frame of `text` with its size and checksum that refers to `base`.
/// With an empty base it is an ordinary compressed frame. Equal input gives
/// equal output.
auto encode_delta(std::string_view text, std::string_view base) -> std::string;

/// The text of a frame from `encode_delta` with the same base. Empty if the
/// frame is damaged, was made with another base or holds more than `max_size`
/// bytes, see `last_error`.
auto decode_delta(std::string_view bytes, std::string_view base,
                  std::size_t max_size) -> std::optional<std::string>;

}  // namespace pollenloft

#endif
