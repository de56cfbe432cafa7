/// \file state_transfer.hpp
/// Transfer of large state texts, such as configuration documents, from control
/// replicas to entry VMs. A text travels as a compressed frame, relative to the
/// text that the receiver already holds, in parts of bounded size. Each part is
/// a call of its own, so a transfer continues where a lost call stopped. These
/// classes do no I/O.
#ifndef POLLENLOFT_STATE_TRANSFER_HPP
#define POLLENLOFT_STATE_TRANSFER_HPP

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "pollenloft/wire.hpp"

namespace pollenloft {

/// Kinds of state in `wire::state_request::kind`.
enum class state_kind : std::int8_t { document, configuration };

/// Most bytes of a frame in one part.
constexpr std::size_t max_state_part_bytes = 32 * 1024;
/// Most bytes of a state text.
constexpr std::size_t max_state_bytes = 64 * 1024 * 1024;

/// A version of a state text.
struct state_version {
  std::int64_t version = 0;
  std::string text;
};

/// Limits on the memory of a `state_catalog`.
struct catalog_limits {
  std::size_t max_versions = 8;
  std::size_t max_bytes = 16 * 1024 * 1024;  ///< of texts; one is always kept
  std::size_t max_frames = 16;
};

/// The latest versions of one kind of state at a control replica, and their
/// frames.
class state_catalog {
 public:
  explicit state_catalog(catalog_limits limits = {}) : limits_(limits) {}

  /// Adds a version; ignored unless it is newer than the newest one.
  auto publish(std::int64_t version, const std::string& text) -> void;
  /// The newest version; 0 if there is none.
  auto newest() const -> std::int64_t;
  /// The requested part of the requested version, or of the newest one if that
  /// is no longer kept. Empty if the requested version is newer than all known.
  auto part(const wire::state_request& request)
      -> std::optional<wire::state_part>;
  /// Number of frames encoded since the catalog was created.
  auto encoded_frames() const -> std::uint64_t { return encoded_frames_; }

 private:
  struct frame {
    std::int64_t version;
    std::int64_t base;
    std::string bytes;
    std::uint64_t digest;
    std::uint64_t text_digest;
  };

  auto find(std::int64_t version) const -> const state_version*;
  /// Marks the frame that fulfils `matches` as used last; null if there is
  /// none.
  template <class Predicate>
  auto use_frame(Predicate matches) -> const frame*;
  auto frame_for(const wire::state_request& request) -> const frame&;
  auto frame_of(const state_version& target, std::int64_t base) -> const frame&;

  catalog_limits limits_;
  std::deque<state_version> versions_;  // oldest first
  std::deque<frame> frames_;            // least recently used first
  std::uint64_t encoded_frames_ = 0;
};

/// More parts are needed.
struct transfer_incomplete {};
/// A complete text.
struct transfer_completed {
  state_version state;
  std::size_t frame_bytes = 0;
};
/// The parts do not form a text; the transfer starts over without a base.
struct transfer_corrupt {
  error cause;
};
using transfer_progress =
    std::variant<transfer_incomplete, transfer_completed, transfer_corrupt>;

/// Receives one kind of state at an entry VM, part by part.
class state_assembly {
 public:
  /// The request for the next part of `wanted` or a newer version. `held` is
  /// the version that the receiver holds.
  auto next_request(state_kind kind, std::int64_t wanted,
                    const state_version& held) const -> wire::state_request;
  /// Adds a part; parts of another frame or offset than expected start a new
  /// frame or are ignored.
  auto add(const wire::state_part& part, const state_version& held)
      -> transfer_progress;

 private:
  auto start(const wire::state_part& part) -> void;
  auto reset() -> void;

  std::int64_t version_ = 0;  // of the frame being received; 0 if none
  std::int64_t base_ = 0;
  std::int64_t digest_ = 0;  // of the frame
  std::size_t total_ = 0;
  std::string bytes_;
  bool base_refused_ = false;  // the last frame with a base was corrupt
};

}  // namespace pollenloft

#endif
