#include "pollenloft/journal.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace pollenloft {

namespace {

// Record header: u32 payload length, u32 checksum of the length, u64 checksum
// of the payload. Integers are little-endian.
constexpr std::size_t header_bytes = 16;
constexpr std::size_t payload_checksum_offset = 8;
constexpr std::size_t min_entry_bytes = 17;  // term, index, kind

auto append_integer(std::string& out, std::uint64_t value, std::size_t bytes)
    -> void {
  for (std::size_t i = 0; i < bytes; ++i)
    out.push_back(static_cast<char>(value >> (8 * i)));
}

auto read_integer(const char* in, std::size_t bytes) -> std::uint64_t {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[i]))
             << (8 * i);
  return value;
}

/// The length has its own checksum. Otherwise a flipped bit in the length would
/// be mistaken for a torn record.
auto length_checksum(std::uint64_t length) -> std::uint64_t {
  return hash64(std::to_string(length)) & 0xffffffffU;
}

auto encode_record(const std::string& payload) -> std::string {
  std::string out;
  append_integer(out, payload.size(), 4);
  append_integer(out, length_checksum(payload.size()), 4);
  append_integer(out, hash64(payload), 8);
  return out + payload;
}

enum class record_status { valid, torn, corrupt };

/// An interrupted write leaves a record shorter than its length, or zeros. Any
/// other mismatch is corruption.
auto check_record(std::string_view bytes) -> record_status {
  if (bytes.find_first_not_of('\0') == std::string_view::npos)
    return record_status::torn;
  if (bytes.size() < header_bytes) return record_status::torn;
  const auto length = read_integer(bytes.data(), 4);
  if (read_integer(bytes.data() + 4, 4) != length_checksum(length))
    return record_status::corrupt;
  if (bytes.size() - header_bytes < length) return record_status::torn;
  const auto payload = bytes.substr(header_bytes, length);
  return read_integer(bytes.data() + payload_checksum_offset, 8) ==
                 hash64(payload)
             ? record_status::valid
             : record_status::corrupt;
}

auto encode(const log_entry& entry) -> std::string {
  std::string payload;
  append_integer(payload, entry.term, 8);
  append_integer(payload, entry.index, 8);
  append_integer(payload, static_cast<std::uint64_t>(entry.kind), 1);
  return payload + entry.data;
}

auto decode_entry(std::string_view payload) -> log_entry {
  return {read_integer(payload.data(), 8), read_integer(payload.data() + 8, 8),
          static_cast<entry_kind>(payload[16]),
          std::string(payload.substr(17))};
}

auto encode(const log_snapshot& snapshot) -> std::string {
  std::string payload;
  append_integer(payload, snapshot.index, 8);
  append_integer(payload, snapshot.term, 8);
  append_integer(payload, snapshot.members.size(), 4);
  for (auto id : snapshot.members)
    append_integer(payload, id, 4);
  return payload + snapshot.data;
}

auto decode_snapshot(std::string_view payload) -> log_snapshot {
  log_snapshot snapshot;
  snapshot.index = read_integer(payload.data(), 8);
  snapshot.term = read_integer(payload.data() + 8, 8);
  const auto count = read_integer(payload.data() + 16, 4);
  for (std::size_t i = 0; i < count; ++i)
    snapshot.members.push_back(
        static_cast<replica_id>(read_integer(payload.data() + 20 + 4 * i, 4)));
  snapshot.data = payload.substr(20 + 4 * count);
  return snapshot;
}

auto disk_error(const std::string& step, const std::string& path)
    -> std::nullopt_t {
  return fail(step, path, strerror(errno));
}

auto corrupt_record(const std::string& path, std::size_t offset)
    -> std::nullopt_t {
  return fail("journal.read", path,
              "corrupt record at offset " + std::to_string(offset));
}

/// Returns an empty string for a missing file.
auto read_file(const std::string& path) -> std::optional<std::string> {
  const auto fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0 && errno == ENOENT) return std::string();
  if (fd < 0) return disk_error("journal.read", path);
  std::string bytes;
  std::string part(1 << 16, '\0');
  for (;;) {
    const auto n = ::read(fd, part.data(), part.size());
    if (n <= 0) break;
    bytes.append(part, 0, static_cast<std::size_t>(n));
  }
  ::close(fd);
  return bytes;
}

auto write_bytes(int fd, std::string_view bytes) -> bool {
  while (!bytes.empty()) {
    const auto n = ::write(fd, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

auto sync_directory(const std::string& directory) -> bool {
  const auto fd = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return false;
  const auto result = ::fsync(fd);
  ::close(fd);
  return result == 0;
}

/// Reads a file that holds a single record and returns its payload.
auto read_record_file(const std::string& path) -> std::optional<std::string> {
  auto bytes = read_file(path);
  if (!bytes || bytes->empty()) return bytes;
  // These files are renamed into place, so they cannot be torn.
  if (check_record(*bytes) != record_status::valid)
    return corrupt_record(path, 0);
  return bytes->substr(header_bytes);
}

}  // namespace

journal::~journal() {
  if (log_fd_ >= 0) ::close(log_fd_);
}

journal::journal(journal&& other) noexcept
    : directory_(std::move(other.directory_)),
      persisted_(std::move(other.persisted_)),
      log_fd_(std::exchange(other.log_fd_, -1)),
      log_bytes_(other.log_bytes_),
      first_log_index_(other.first_log_index_),
      entry_offsets_(std::move(other.entry_offsets_)) {}

auto journal::open(const std::string& directory) -> std::optional<journal> {
  if (::mkdir(directory.c_str(), 0700) != 0 && errno != EEXIST)
    return disk_error("journal.open", directory);
  journal result(directory);
  if (!result.load()) return std::nullopt;
  return result;
}

auto journal::take_persisted_state() -> persisted_state {
  return std::move(persisted_);
}

auto journal::load() -> std::optional<bool> {
  const auto state = read_record_file(directory_ + "/state");
  if (!state) return std::nullopt;
  if (!state->empty()) {
    hard_state hard;
    hard.term = read_integer(state->data(), 8);
    hard.vote = static_cast<replica_id>(read_integer(state->data() + 8, 4));
    hard.voting = read_integer(state->data() + 12, 1) != 0;
    persisted_.hard = hard;
  }
  const auto snapshot = read_record_file(directory_ + "/snapshot");
  if (!snapshot) return std::nullopt;
  if (!snapshot->empty()) persisted_.snapshot = decode_snapshot(*snapshot);
  if (!persisted_.hard) {
    if (!snapshot->empty())
      return fail("journal.read", directory_ + "/state",
                  "missing although a snapshot exists");
    if (!read_file(directory_ + "/log")->empty())
      return fail("journal.read", directory_ + "/state",
                  "missing although a log exists");
  }
  // A replica that had not finished its recovery starts over with an empty
  // disk.
  if (persisted_.hard && !persisted_.hard->voting) {
    persisted_ = {};
    if (!rewrite_log({})) return std::nullopt;
    ::unlink((directory_ + "/snapshot").c_str());
    return true;
  }
  if (!read_log()) return std::nullopt;
  return open_log();
}

auto journal::read_log() -> std::optional<bool> {
  const auto path = directory_ + "/log";
  const auto content = read_file(path);
  if (!content) return std::nullopt;
  const std::string_view bytes = *content;
  first_log_index_ = persisted_.snapshot.index + 1;
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const auto status = check_record(bytes.substr(offset));
    if (status == record_status::torn) break;
    const auto length = read_integer(bytes.data() + offset, 4);
    if (status == record_status::corrupt || length < min_entry_bytes)
      return corrupt_record(path, offset);
    const auto payload = bytes.substr(offset + header_bytes, length);
    auto entry = decode_entry(payload);
    const auto next = first_log_index_ + persisted_.entries.size();
    // A crash between the renames of the snapshot and the log leaves entries in
    // the log that the snapshot already covers; they are skipped.
    if (entry.index > persisted_.snapshot.index) {
      if (entry.index != next) return corrupt_record(path, offset);
      if (entry_offsets_.empty()) first_log_index_ = entry.index;
      entry_offsets_.push_back(offset);
      persisted_.entries.push_back(std::move(entry));
    }
    offset += header_bytes + length;
  }
  log_bytes_ = offset;
  if (offset < bytes.size() &&
      ::truncate(path.c_str(), static_cast<off_t>(offset)) != 0)
    return disk_error("journal.truncate", path);
  return true;
}

auto journal::open_log() -> std::optional<bool> {
  const auto path = directory_ + "/log";
  if (log_fd_ >= 0) ::close(log_fd_);
  log_fd_ =
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log_fd_ < 0 || ::fsync(log_fd_) != 0 || !sync_directory(directory_))
    return disk_error("journal.open", path);
  return true;
}

auto journal::replace_file(const std::string& name, const std::string& bytes)
    -> std::optional<bool> {
  const auto path = directory_ + "/" + name;
  const auto temporary = path + ".new";
  const auto fd =
      ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return disk_error("journal.write", temporary);
  const auto written = write_bytes(fd, bytes) && ::fsync(fd) == 0;
  ::close(fd);
  if (!written) {
    const auto failure = disk_error("journal.write", temporary);
    ::unlink(temporary.c_str());  // frees the space if the disk is full
    return failure;
  }
  if (::rename(temporary.c_str(), path.c_str()) != 0 ||
      !sync_directory(directory_))
    return disk_error("journal.rename", path);
  return true;
}

auto journal::store_auxiliary(const std::string& name, const std::string& bytes)
    -> std::optional<bool> {
  return replace_file(name, encode_record(bytes));
}

auto journal::load_auxiliary(const std::string& name) const
    -> std::optional<std::string> {
  return read_record_file(directory_ + "/" + name);
}

auto journal::rewrite_log(const std::vector<log_entry>& entries)
    -> std::optional<bool> {
  std::string bytes;
  entry_offsets_.clear();
  if (!entries.empty()) first_log_index_ = entries.front().index;
  for (const auto& entry : entries) {
    entry_offsets_.push_back(bytes.size());
    bytes += encode_record(encode(entry));
  }
  log_bytes_ = bytes.size();
  if (!replace_file("log", bytes)) return std::nullopt;
  return open_log();
}

auto journal::append_entries(const std::vector<log_entry>& entries)
    -> std::optional<bool> {
  const auto path = directory_ + "/log";
  const auto first = entries.front().index;
  if (entry_offsets_.empty()) first_log_index_ = first;
  if (first < first_log_index_ + entry_offsets_.size()) {
    const auto kept_entries = first - first_log_index_;
    log_bytes_ = entry_offsets_[kept_entries];
    entry_offsets_.resize(kept_entries);
    if (::ftruncate(log_fd_, static_cast<off_t>(log_bytes_)) != 0)
      return disk_error("journal.truncate", path);
  }
  std::string bytes;
  for (const auto& entry : entries) {
    entry_offsets_.push_back(log_bytes_ + bytes.size());
    bytes += encode_record(encode(entry));
  }
  log_bytes_ += bytes.size();
  if (!write_bytes(log_fd_, bytes) || ::fdatasync(log_fd_) != 0)
    return disk_error("journal.append", path);
  return true;
}

auto journal::store(const replica_effects& effects) -> std::optional<bool> {
  // The hard state of a non-voter is written before its log, so that a missing
  // `state` file always means an empty disk.
  if (effects.hard) {
    std::string payload;
    append_integer(payload, effects.hard->term, 8);
    append_integer(payload, effects.hard->vote, 4);
    append_integer(payload, effects.hard->voting ? 1 : 0, 1);
    // A voter's log is written first: a replica that finishes its recovery must
    // have the log on disk before the state that allows it to vote.
    const auto entries_first = effects.hard->voting;
    if (entries_first && effects.install &&
        !store_snapshot(*effects.install, {}))
      return std::nullopt;
    if (entries_first && !effects.append.empty() &&
        !append_entries(effects.append))
      return std::nullopt;
    if (!replace_file("state", encode_record(payload))) return std::nullopt;
    if (entries_first) return true;
  }
  if (effects.install && !store_snapshot(*effects.install, {}))
    return std::nullopt;
  if (!effects.append.empty() && !append_entries(effects.append))
    return std::nullopt;
  return true;
}

auto journal::store_snapshot(const log_snapshot& snapshot,
                             const std::vector<log_entry>& tail)
    -> std::optional<bool> {
  if (!replace_file("snapshot", encode_record(encode(snapshot))))
    return std::nullopt;
  return rewrite_log(tail);
}

}  // namespace pollenloft
