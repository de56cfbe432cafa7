/// \file journal.hpp
/// The replicated log on disk. Every record carries its length and checksum;
/// nothing counts before it is synced. A torn tail is cut off, damage
/// elsewhere is refused with file and offset.
///
/// Files in the folder: `state` (hard state), `snapshot`, `log`, and those
/// that are kept beside. Whole files are written aside, synced, renamed, and
/// the folder is synced.
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

  /// Opens or creates the folder and reads what is there.
  static auto open(const std::string& folder) -> std::optional<journal>;
  /// What `open` found; moves it out.
  auto take_persisted_state() -> persisted_state;

  /// Makes the disk part of the effects durable; empty on a disk error, after
  /// which the process must not go on.
  auto store(const replica_effects& effects) -> std::optional<bool>;
  /// Replaces the log up to the snapshot's index by the snapshot, keeping
  /// `tail`.
  auto store_snapshot(const log_snapshot& snapshot,
                      const std::vector<log_entry>& tail)
      -> std::optional<bool>;
  /// Replaces a file beside the log as a whole, synced. It is no part of the
  /// replicated state, so that an error is no reason to stop.
  auto store_auxiliary(const std::string& name, const std::string& bytes)
      -> std::optional<bool>;
  /// What `store_auxiliary` stored last; empty text if nothing was.
  auto load_auxiliary(const std::string& name) const
      -> std::optional<std::string>;
  /// Bytes in the log file.
  auto log_bytes() const -> std::uint64_t { return log_size_; }

 private:
  explicit journal(std::string folder) : folder_(std::move(folder)) {}
  auto read_all() -> std::optional<bool>;
  auto read_log() -> std::optional<bool>;
  auto write_whole(const std::string& name, const std::string& bytes)
      -> std::optional<bool>;
  auto rewrite_log(const std::vector<log_entry>& entries)
      -> std::optional<bool>;
  auto append_entries(const std::vector<log_entry>& entries)
      -> std::optional<bool>;
  auto open_log() -> std::optional<bool>;

  std::string folder_;
  persisted_state found_;
  int log_fd_ = -1;
  std::uint64_t log_size_ = 0;
  std::uint64_t first_index_ = 1;       // of the log file
  std::vector<std::uint64_t> offsets_;  // of each entry in the log file
};

}  // namespace pollenloft

#endif
