#include "pollenloft/journal.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace pollenloft {

namespace {

// u32 length, u32 checksum of the length, u64 checksum of the payload
constexpr std::size_t header_bytes = 16;
constexpr std::size_t payload_sum_at = 8;
constexpr std::size_t least_payload = 17;  // term, index, kind

auto put(std::string& out, std::uint64_t value, std::size_t bytes) -> void {
  for (std::size_t i = 0; i < bytes; ++i)
    out.push_back(static_cast<char>(value >> (8 * i)));
}

auto take(const char* in, std::size_t bytes) -> std::uint64_t {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[i]))
             << (8 * i);
  return value;
}

/// The length has a checksum of its own, so that a flipped bit in it is not
/// taken for a torn tail.
auto length_sum(std::uint64_t length) -> std::uint64_t {
  return hash64(std::to_string(length)) & 0xffffffffU;
}

auto frame(const std::string& payload) -> std::string {
  std::string out;
  put(out, payload.size(), 4);
  put(out, length_sum(payload.size()), 4);
  put(out, hash64(payload), 8);
  return out + payload;
}

enum class record_state { sound, torn, damaged };

/// A write cut short leaves a record shorter than it says, or zeros; anything
/// else that does not add up is damage.
auto judge_record(std::string_view bytes) -> record_state {
  if (bytes.find_first_not_of('\0') == std::string_view::npos)
    return record_state::torn;
  if (bytes.size() < header_bytes) return record_state::torn;
  const auto length = take(bytes.data(), 4);
  if (take(bytes.data() + 4, 4) != length_sum(length))
    return record_state::damaged;
  if (bytes.size() - header_bytes < length) return record_state::torn;
  const auto payload = bytes.substr(header_bytes, length);
  return take(bytes.data() + payload_sum_at, 8) == hash64(payload)
             ? record_state::sound
             : record_state::damaged;
}

auto encode(const log_entry& entry) -> std::string {
  std::string payload;
  put(payload, entry.term, 8);
  put(payload, entry.index, 8);
  put(payload, static_cast<std::uint64_t>(entry.kind), 1);
  return payload + entry.data;
}

auto decode_entry(std::string_view payload) -> log_entry {
  return {take(payload.data(), 8), take(payload.data() + 8, 8),
          static_cast<entry_kind>(payload[16]),
          std::string(payload.substr(17))};
}

auto encode(const log_snapshot& snapshot) -> std::string {
  std::string payload;
  put(payload, snapshot.index, 8);
  put(payload, snapshot.term, 8);
  put(payload, snapshot.members.size(), 4);
  for (auto id : snapshot.members)
    put(payload, id, 4);
  return payload + snapshot.data;
}

auto decode_snapshot(std::string_view payload) -> log_snapshot {
  log_snapshot snapshot;
  snapshot.index = take(payload.data(), 8);
  snapshot.term = take(payload.data() + 8, 8);
  const auto count = take(payload.data() + 16, 4);
  for (std::size_t i = 0; i < count; ++i)
    snapshot.members.push_back(
        static_cast<replica_id>(take(payload.data() + 20 + 4 * i, 4)));
  snapshot.data = payload.substr(20 + 4 * count);
  return snapshot;
}

auto disk_error(const std::string& step, const std::string& path)
    -> std::nullopt_t {
  return fail(step, path, strerror(errno));
}

auto damaged(const std::string& path, std::size_t offset) -> std::nullopt_t {
  return fail("journal.read", path,
              "damaged record at offset " + std::to_string(offset));
}

/// Empty text for a file that is not there.
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

auto sync_folder(const std::string& folder) -> bool {
  const auto fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return false;
  const auto result = ::fsync(fd);
  ::close(fd);
  return result == 0;
}

/// The payload of a file that holds one record.
auto read_single(const std::string& path) -> std::optional<std::string> {
  auto bytes = read_file(path);
  if (!bytes || bytes->empty()) return bytes;
  // Whole files are renamed into place, so none of them can be torn.
  if (judge_record(*bytes) != record_state::sound) return damaged(path, 0);
  return bytes->substr(header_bytes);
}

}  // namespace

journal::~journal() {
  if (log_fd_ >= 0) ::close(log_fd_);
}

journal::journal(journal&& other) noexcept
    : folder_(std::move(other.folder_)),
      found_(std::move(other.found_)),
      log_fd_(std::exchange(other.log_fd_, -1)),
      log_size_(other.log_size_),
      first_index_(other.first_index_),
      offsets_(std::move(other.offsets_)) {}

auto journal::open(const std::string& folder) -> std::optional<journal> {
  if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST)
    return disk_error("journal.open", folder);
  journal result(folder);
  if (!result.read_all()) return std::nullopt;
  return result;
}

auto journal::take_persisted_state() -> persisted_state {
  return std::move(found_);
}

auto journal::read_all() -> std::optional<bool> {
  const auto state = read_single(folder_ + "/state");
  if (!state) return std::nullopt;
  if (!state->empty()) {
    hard_state hard;
    hard.term = take(state->data(), 8);
    hard.vote = static_cast<replica_id>(take(state->data() + 8, 4));
    hard.voting = take(state->data() + 12, 1) != 0;
    found_.hard = hard;
  }
  const auto snapshot = read_single(folder_ + "/snapshot");
  if (!snapshot) return std::nullopt;
  if (!snapshot->empty()) found_.snapshot = decode_snapshot(*snapshot);
  if (!found_.hard) {
    if (!snapshot->empty())
      return fail("journal.read", folder_ + "/state",
                  "missing although a snapshot is there");
    if (!read_file(folder_ + "/log")->empty())
      return fail("journal.read", folder_ + "/state",
                  "missing although a log is there");
  }
  // A replica that had not finished recovering starts over with nothing.
  if (found_.hard && !found_.hard->voting) {
    found_ = {};
    if (!rewrite_log({})) return std::nullopt;
    ::unlink((folder_ + "/snapshot").c_str());
    return true;
  }
  if (!read_log()) return std::nullopt;
  return open_log();
}

auto journal::read_log() -> std::optional<bool> {
  const auto path = folder_ + "/log";
  const auto content = read_file(path);
  if (!content) return std::nullopt;
  const std::string_view bytes = *content;
  first_index_ = found_.snapshot.index + 1;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto record = judge_record(bytes.substr(at));
    if (record == record_state::torn) break;
    const auto length = take(bytes.data() + at, 4);
    if (record == record_state::damaged || length < least_payload)
      return damaged(path, at);
    const auto payload = bytes.substr(at + header_bytes, length);
    auto entry = decode_entry(payload);
    const auto next = first_index_ + found_.entries.size();
    // Entries that the snapshot covers stay behind when a crash came between
    // the snapshot's rename and the log's.
    if (entry.index > found_.snapshot.index) {
      if (entry.index != next) return damaged(path, at);
      if (offsets_.empty()) first_index_ = entry.index;
      offsets_.push_back(at);
      found_.entries.push_back(std::move(entry));
    }
    at += header_bytes + length;
  }
  log_size_ = at;
  if (at < bytes.size() &&
      ::truncate(path.c_str(), static_cast<off_t>(at)) != 0)
    return disk_error("journal.truncate", path);
  return true;
}

auto journal::open_log() -> std::optional<bool> {
  const auto path = folder_ + "/log";
  if (log_fd_ >= 0) ::close(log_fd_);
  log_fd_ =
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log_fd_ < 0 || ::fsync(log_fd_) != 0 || !sync_folder(folder_))
    return disk_error("journal.open", path);
  return true;
}

auto journal::write_whole(const std::string& name, const std::string& bytes)
    -> std::optional<bool> {
  const auto path = folder_ + "/" + name;
  const auto aside = path + ".new";
  const auto fd =
      ::open(aside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return disk_error("journal.write", aside);
  const auto written = write_bytes(fd, bytes) && ::fsync(fd) == 0;
  ::close(fd);
  if (!written) {
    const auto failure = disk_error("journal.write", aside);
    ::unlink(aside.c_str());  // on a full disk the part takes up room
    return failure;
  }
  if (::rename(aside.c_str(), path.c_str()) != 0 || !sync_folder(folder_))
    return disk_error("journal.rename", path);
  return true;
}

auto journal::store_auxiliary(const std::string& name, const std::string& bytes)
    -> std::optional<bool> {
  return write_whole(name, frame(bytes));
}

auto journal::load_auxiliary(const std::string& name) const
    -> std::optional<std::string> {
  return read_single(folder_ + "/" + name);
}

auto journal::rewrite_log(const std::vector<log_entry>& entries)
    -> std::optional<bool> {
  std::string bytes;
  offsets_.clear();
  if (!entries.empty()) first_index_ = entries.front().index;
  for (const auto& entry : entries) {
    offsets_.push_back(bytes.size());
    bytes += frame(encode(entry));
  }
  log_size_ = bytes.size();
  if (!write_whole("log", bytes)) return std::nullopt;
  return open_log();
}

auto journal::append_entries(const std::vector<log_entry>& entries)
    -> std::optional<bool> {
  const auto path = folder_ + "/log";
  const auto first = entries.front().index;
  if (offsets_.empty()) first_index_ = first;
  if (first < first_index_ + offsets_.size()) {
    const auto keep = first - first_index_;
    log_size_ = offsets_[keep];
    offsets_.resize(keep);
    if (::ftruncate(log_fd_, static_cast<off_t>(log_size_)) != 0)
      return disk_error("journal.truncate", path);
  }
  std::string bytes;
  for (const auto& entry : entries) {
    offsets_.push_back(log_size_ + bytes.size());
    bytes += frame(encode(entry));
  }
  log_size_ += bytes.size();
  if (!write_bytes(log_fd_, bytes) || ::fdatasync(log_fd_) != 0)
    return disk_error("journal.append", path);
  return true;
}

auto journal::store(const replica_effects& effects) -> std::optional<bool> {
  // The state goes first: its absence then always means an empty disk.
  if (effects.hard) {
    std::string payload;
    put(payload, effects.hard->term, 8);
    put(payload, effects.hard->vote, 4);
    put(payload, effects.hard->voting ? 1 : 0, 1);
    // While recovering, the log must be stored before the vote comes back.
    const auto entries_first = effects.hard->voting;
    if (entries_first && effects.install &&
        !store_snapshot(*effects.install, {}))
      return std::nullopt;
    if (entries_first && !effects.append.empty() &&
        !append_entries(effects.append))
      return std::nullopt;
    if (!write_whole("state", frame(payload))) return std::nullopt;
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
  if (!write_whole("snapshot", frame(encode(snapshot)))) return std::nullopt;
  return rewrite_log(tail);
}

}  // namespace pollenloft
