#include "pollenloft/journal.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "property.hpp"

namespace pollenloft::test {
namespace {

namespace fs = std::filesystem;

auto read_bytes(const fs::path& path) -> std::string {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

auto write_bytes(const fs::path& path, const std::string& bytes) -> void {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

auto entry(log_index index, const std::string& data) -> log_entry {
  return {1, index, entry_kind::command, data};
}

}  // namespace

class journal_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(journal_test);
  CPPUNIT_TEST(new_directory_is_empty);
  CPPUNIT_TEST(persists_state_and_entries);
  CPPUNIT_TEST(rewritten_entries_replace_the_tail);
  CPPUNIT_TEST(snapshot_replaces_the_log);
  CPPUNIT_TEST(old_log_with_a_newer_snapshot_is_read);
  CPPUNIT_TEST(torn_tail_is_truncated_at_every_byte);
  CPPUNIT_TEST(flipped_bit_is_reported_with_file_and_offset);
  CPPUNIT_TEST(flipped_bit_in_the_state_is_refused);
  CPPUNIT_TEST(log_without_a_state_is_refused);
  CPPUNIT_TEST(unfinished_recovery_starts_over);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto setUp() -> void override {
    auto name = (fs::temp_directory_path() / "pollenloft-XXXXXX").string();
    CPPUNIT_ASSERT(mkdtemp(name.data()) != nullptr);
    directory_ = name;
  }

  auto tearDown() -> void override { fs::remove_all(directory_); }

  auto store_entries(std::size_t entries) -> void {
    auto disk = journal::open(directory_);
    replica_effects effects;
    effects.hard = hard_state{3, 2, true};
    for (std::size_t i = 1; i <= entries; ++i)
      effects.append.push_back(entry(i, "data-" + std::to_string(i)));
    CPPUNIT_ASSERT(disk->store(effects));
  }

  auto reopen() -> persisted_state {
    auto disk = journal::open(directory_);
    CPPUNIT_ASSERT(disk.has_value());
    return disk->take_persisted_state();
  }

  auto log_path() const -> fs::path { return fs::path(directory_) / "log"; }

  auto new_directory_is_empty() -> void {
    CPPUNIT_ASSERT(!reopen().hard.has_value());
  }

  auto persists_state_and_entries() -> void {
    store_entries(3);
    const auto state = reopen();
    CPPUNIT_ASSERT(state.hard == (hard_state{3, 2, true}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, state.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("data-3"), state.entries[2].data);
  }

  auto rewritten_entries_replace_the_tail() -> void {
    store_entries(4);
    auto disk = journal::open(directory_);
    replica_effects effects;
    effects.append = {entry(3, "other")};
    CPPUNIT_ASSERT(disk->store(effects));
    const auto state = reopen();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, state.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("other"), state.entries[2].data);
  }

  auto snapshot_replaces_the_log() -> void {
    store_entries(5);
    auto disk = journal::open(directory_);
    CPPUNIT_ASSERT(
        disk->store_snapshot({4, 1, {1, 2, 3}, "all"}, {entry(5, "data-5")}));
    const auto state = reopen();
    CPPUNIT_ASSERT_EQUAL(log_index{4}, state.snapshot.index);
    CPPUNIT_ASSERT_EQUAL(std::string("all"), state.snapshot.data);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.entries.size());
    CPPUNIT_ASSERT_EQUAL(log_index{5}, state.entries[0].index);
  }

  /// The state after a crash between the renames of the snapshot and the log.
  auto old_log_with_a_newer_snapshot_is_read() -> void {
    store_entries(5);
    const auto old_log = read_bytes(log_path());
    {
      auto disk = journal::open(directory_);
      CPPUNIT_ASSERT(disk->store_snapshot({4, 1, {1}, "all"}, {}));
    }
    write_bytes(log_path(), old_log);
    const auto state = reopen();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.entries.size());
    auto disk = journal::open(directory_);
    replica_effects effects;
    effects.append = {entry(5, "new-5"), entry(6, "new-6")};
    CPPUNIT_ASSERT(disk->store(effects));
    CPPUNIT_ASSERT_EQUAL(std::string("new-5"), reopen().entries[0].data);
  }

  auto torn_tail_is_truncated_at_every_byte() -> void {
    store_entries(3);
    const auto content = read_bytes(log_path());
    for (std::size_t size = 0; size < content.size(); ++size) {
      write_bytes(log_path(), content.substr(0, size));
      const auto state = reopen();
      CPPUNIT_ASSERT(state.entries.size() < 3);
      for (std::size_t i = 0; i < state.entries.size(); ++i)
        CPPUNIT_ASSERT(state.entries[i] ==
                       entry(i + 1, "data-" + std::to_string(i + 1)));
    }
  }

  auto flipped_bit_is_reported_with_file_and_offset() -> void {
    store_entries(3);
    const auto content = read_bytes(log_path());
    for (std::size_t bit = 0; bit < content.size() * 8; ++bit) {
      auto bytes = content;
      bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
      write_bytes(log_path(), bytes);
      auto disk = journal::open(directory_);
      CPPUNIT_ASSERT(!disk.has_value());
      CPPUNIT_ASSERT_EQUAL(log_path().string(), last_error().peer);
      CPPUNIT_ASSERT(last_error().reason.find("offset") != std::string::npos);
    }
  }

  auto flipped_bit_in_the_state_is_refused() -> void {
    store_entries(1);
    const auto path = fs::path(directory_) / "state";
    const auto content = read_bytes(path);
    for (std::size_t bit = 0; bit < content.size() * 8; ++bit) {
      auto bytes = content;
      bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
      write_bytes(path, bytes);
      CPPUNIT_ASSERT(!journal::open(directory_).has_value());
    }
  }

  auto log_without_a_state_is_refused() -> void {
    store_entries(2);
    fs::remove(fs::path(directory_) / "state");
    CPPUNIT_ASSERT(!journal::open(directory_).has_value());
  }

  auto unfinished_recovery_starts_over() -> void {
    {
      auto disk = journal::open(directory_);
      replica_effects effects;
      effects.hard = hard_state{7, 0, false};
      effects.append = {entry(1, "half")};
      CPPUNIT_ASSERT(disk->store(effects));
    }
    const auto state = reopen();
    CPPUNIT_ASSERT(!state.hard.has_value());
    CPPUNIT_ASSERT(state.entries.empty());
  }

 private:
  std::string directory_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(journal_test);

}  // namespace pollenloft::test
