/// \file directory_store.hpp
/// Saves the endpoint directory to disk. After a crash of all control VMs at
/// once they then know the endpoints before these report again.
#ifndef POLLENLOFT_DIRECTORY_STORE_HPP
#define POLLENLOFT_DIRECTORY_STORE_HPP

#include "pollenloft/control.hpp"
#include "pollenloft/journal.hpp"

namespace pollenloft {

/// Restores the directory at start and saves its changes:
///
///     store.restore(wall_clock());
///     store.tick(now, wall_clock());  // on every tick
///     store.save_changes(wall_clock());  // at the end
class directory_store {
 public:
  directory_store(journal& disk, endpoint_directory& directory)
      : disk_(disk), directory_(directory) {}

  /// Merges the saved records into the directory if they were saved shortly
  /// before `wall`, the time of day. Returns the number of saved records, 0 if
  /// there are none, the file is too old or it cannot be read.
  auto restore(milliseconds wall) -> std::size_t;
  /// Saves the directory if it has changed, at intervals that follow the
  /// duration of a save. A failed save is tried again after that interval.
  auto tick(instant now, milliseconds wall) -> void;
  /// Saves what has changed since the last save, at the end of the process.
  auto save_changes(milliseconds wall) -> void;

 private:
  auto signature() const -> std::uint64_t;
  auto save(milliseconds wall) -> bool;

  journal& disk_;
  endpoint_directory& directory_;
  std::int64_t checked_sequence_ = 0;  // of the directory, at the last check
  std::uint64_t saved_signature_ = 0;
  instant saved_at_{};
  duration save_interval_{};
};

}  // namespace pollenloft

#endif
