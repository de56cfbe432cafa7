/// \file journal.hpp
/// Durable storage of the replicated log. Every record carries its length and
/// checksums, and nothing counts as stored before it is synced. A torn record
/// at the end of the log is truncated; corruption anywhere else is an error
/// that names file and offset.
///
/// Files in the directory: `state` (hard state), `snapshot`, `log`, and
/// auxiliary files. A file is replaced atomically: the new content is written
/// to a temporary file, synced and renamed, then the directory is synced.
#ifndef POLLENLOFT_JOURNAL_HPP
#define POLLENLOFT_JOURNAL_HPP

#include <string>

#include "pollenloft/replica.hpp"

namespace pollenloft {

class journal {
 public:
  ~journal();
  journal(journal&& other) noexcept;
  journal(const journal&) = delete;
  auto operator=(const journal&) -> journal& = delete;
  auto operator=(journal&&) -> journal& = delete;

  /// Opens or creates the directory and reads the stored state. Empty on an
  /// I/O error or if a file is corrupt, see `last_error`.
  static auto open(const std::string& directory) -> std::optional<journal>;
  /// Moves out the state read by `open`.
  auto take_persisted_state() -> persisted_state;

  /// Stores the hard state, snapshot and entries of the effects durably. Empty
  /// on a disk error, see `last_error`, after which the process must stop.
  auto store(const replica_effects& effects) -> std::optional<bool>;
  /// Stores a snapshot and reduces the log to `tail`, the entries after the
  /// snapshot's index. Empty on a disk error, after which the process must
  /// stop.
  auto store_snapshot(const log_snapshot& snapshot,
                      const std::vector<log_entry>& tail)
      -> std::optional<bool>;
  /// Atomically replaces an auxiliary file in the directory and syncs it. The
  /// file is not part of the replicated state, so the process may continue
  /// after an error.
  auto store_auxiliary(const std::string& name, const std::string& bytes)
      -> std::optional<bool>;
  /// The content last stored by `store_auxiliary`; an empty string if there is
  /// none. Empty if the file cannot be read or is corrupt, see `last_error`.
  auto load_auxiliary(const std::string& name) const
      -> std::optional<std::string>;
  /// Size of the log file in bytes.
  auto log_bytes() const -> std::uint64_t { return log_bytes_; }

 private:
  explicit journal(std::string directory) : directory_(std::move(directory)) {}
  auto load() -> std::optional<bool>;
  auto read_log() -> std::optional<bool>;
  auto replace_file(const std::string& name, const std::string& bytes)
      -> std::optional<bool>;
  auto rewrite_log(const std::vector<log_entry>& entries)
      -> std::optional<bool>;
  auto append_entries(const std::vector<log_entry>& entries)
      -> std::optional<bool>;
  auto open_log() -> std::optional<bool>;

  std::string directory_;
  persisted_state persisted_;
  int log_fd_ = -1;
  std::uint64_t log_bytes_ = 0;
  std::uint64_t first_log_index_ = 1;         // first entry in the log file
  std::vector<std::uint64_t> entry_offsets_;  // in the log file, bytes
};

}  // namespace pollenloft

#endif
