#include "pollenloft/delta.hpp"

#include <zstd.h>
#include <zstd_errors.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <new>
#include <stdexcept>

#include "pollenloft/core.hpp"

namespace pollenloft {

namespace {

constexpr int compression_level = 3;
constexpr int min_window_log = 10;
/// From this size on, the match tables of the level cannot index every
/// position of the base.
constexpr std::size_t long_distance_bytes = 256 * 1024;

constexpr std::string_view frame_magic = "\x28\xb5\x2f\xfd";
/// In the frame header descriptor, the byte after the magic number.
constexpr unsigned checksum_flag = 1U << 2U;

struct context_deleter {
  auto operator()(ZSTD_CCtx* context) const -> void { ZSTD_freeCCtx(context); }
  auto operator()(ZSTD_DCtx* context) const -> void { ZSTD_freeDCtx(context); }
};
using compressor = std::unique_ptr<ZSTD_CCtx, context_deleter>;
using decompressor = std::unique_ptr<ZSTD_DCtx, context_deleter>;

/// Throws if memory is short: this is no property of the frame, and replicas
/// must agree on whether a frame can be decoded.
auto throw_if_out_of_memory(std::size_t result) -> void {
  if (ZSTD_getErrorCode(result) == ZSTD_error_memory_allocation)
    throw std::bad_alloc();
}

auto checked(std::size_t result) -> std::size_t {
  throw_if_out_of_memory(result);
  if (ZSTD_isError(result) != 0)
    throw std::runtime_error(ZSTD_getErrorName(result));
  return result;
}

/// A window that holds base and text, so that all of the base stays in reach up
/// to the end of the text.
auto window_log(std::size_t bytes) -> int {
  return std::clamp(static_cast<int>(std::bit_width(bytes)), min_window_log,
                    ZSTD_cParam_getBounds(ZSTD_c_windowLog).upperBound);
}

auto make_compressor(std::size_t bytes) -> compressor {
  compressor context(ZSTD_createCCtx());
  if (!context) throw std::bad_alloc();
  const auto set = [&](ZSTD_cParameter parameter, int value) {
    checked(ZSTD_CCtx_setParameter(context.get(), parameter, value));
  };
  set(ZSTD_c_compressionLevel, compression_level);
  set(ZSTD_c_windowLog, window_log(bytes));
  set(ZSTD_c_contentSizeFlag, 1);
  set(ZSTD_c_checksumFlag, 1);
  if (bytes >= long_distance_bytes) set(ZSTD_c_enableLongDistanceMatching, 1);
  return context;
}

/// Whether the bytes are exactly one frame with a checksum. Skippable frames
/// and sequences of frames are none.
auto is_one_checked_frame(std::string_view bytes) -> bool {
  return bytes.size() > frame_magic.size() && bytes.starts_with(frame_magic) &&
         (static_cast<unsigned char>(bytes[frame_magic.size()]) &
          checksum_flag) != 0 &&
         ZSTD_findFrameCompressedSize(bytes.data(), bytes.size()) ==
             bytes.size();
}

auto refuse_frame(std::string reason) -> std::nullopt_t {
  return fail("delta.decode", "", std::move(reason));
}

/// The size of the text according to the frame.
auto text_size(std::string_view bytes) -> std::optional<unsigned long long> {
  if (!is_one_checked_frame(bytes))
    return refuse_frame("not one complete frame with a checksum");
  const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
    return refuse_frame("the frame does not contain the size of the text");
  return size;
}

}  // namespace

auto encode_delta(std::string_view text, std::string_view base) -> std::string {
  const auto context = make_compressor(text.size() + base.size());
  checked(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()));
  std::string frame(ZSTD_compressBound(text.size()), '\0');
  frame.resize(checked(ZSTD_compress2(context.get(), frame.data(), frame.size(),
                                      text.data(), text.size())));
  return frame;
}

auto decode_delta(std::string_view bytes, std::string_view base,
                  std::size_t max_size) -> std::optional<std::string> {
  const auto size = text_size(bytes);
  if (!size) return std::nullopt;
  if (*size > max_size)
    return refuse_frame("the text has " + std::to_string(*size) +
                        " bytes, more than " + std::to_string(max_size));
  const decompressor context(ZSTD_createDCtx());
  if (!context) throw std::bad_alloc();
  checked(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size()));
  std::string text(*size, '\0');
  const auto written = ZSTD_decompressDCtx(
      context.get(), text.data(), text.size(), bytes.data(), bytes.size());
  throw_if_out_of_memory(written);
  if (ZSTD_isError(written) != 0)
    return refuse_frame(ZSTD_getErrorName(written));
  if (written != text.size())
    return refuse_frame("the text is shorter than its size in the frame");
  return text;
}

}  // namespace pollenloft
