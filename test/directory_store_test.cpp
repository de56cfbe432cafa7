#include "directory_store.hpp"

#include <filesystem>
#include <fstream>

#include "property.hpp"

namespace pollenloft::test {
namespace {

namespace fs = std::filesystem;

/// Milliseconds since the Unix epoch.
constexpr milliseconds saved_at{1'700'000'000'000};

auto runner(const std::string& id) -> wire::endpoint_record {
  wire::endpoint_record record;
  record.id = id;
  record.incarnation = "1";
  record.address = "10.0.0.1:80";
  record.kind = "l4";
  record.last_layer = 8;
  record.report = 5;
  return record;
}

}  // namespace

class directory_store_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(directory_store_test);
  CPPUNIT_TEST(endpoints_are_known_after_a_restart);
  CPPUNIT_TEST(old_file_is_ignored);
  CPPUNIT_TEST(damaged_file_is_ignored);
  CPPUNIT_TEST(load_change_is_not_saved);
  CPPUNIT_TEST(change_before_the_end_of_the_process_is_not_saved);
  CPPUNIT_TEST(restored_record_is_replaced_by_a_later_incarnation);
  CPPUNIT_TEST(failed_save_is_not_tried_again);
  CPPUNIT_TEST_SUITE_END();

  fs::path folder_;
  instant now_{std::chrono::hours(1)};

 public:
  auto setUp() -> void override {
    folder_ = fs::temp_directory_path() / "pollenloft-directory-test";
    fs::remove_all(folder_);
  }
  auto tearDown() -> void override { fs::remove_all(folder_); }

  auto save(const endpoint_directory& directory) -> void {
    auto disk = journal::open(folder_);
    auto copy = directory;
    directory_store(*disk, copy).tick(now_, saved_at);
  }

  auto restored(milliseconds wall_time = saved_at) -> endpoint_directory {
    auto disk = journal::open(folder_);
    CPPUNIT_ASSERT(disk.has_value());
    endpoint_directory directory;
    directory_store(*disk, directory).restore(wall_time);
    return directory;
  }

  auto endpoints_are_known_after_a_restart() -> void {
    endpoint_directory directory;
    directory.merge({runner("a"), runner("b")});
    directory.set_layers("a", 3, 9);
    directory.mark_gone("b");
    save(directory);
    const auto known = restored(saved_at + milliseconds(2000)).records();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, known.size());
    CPPUNIT_ASSERT_EQUAL(3, known.at("a").first_layer);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(endpoint_state::gone),
                         known.at("b").state);
  }

  auto old_file_is_ignored() -> void {
    endpoint_directory directory;
    directory.merge({runner("a")});
    save(directory);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         restored(saved_at + std::chrono::hours(1)).size());
  }

  auto damaged_file_is_ignored() -> void {
    endpoint_directory directory;
    directory.merge({runner("a")});
    save(directory);
    std::fstream file(folder_ / "endpoints",
                      std::ios::binary | std::ios::in | std::ios::out);
    file.seekp(30);
    file.put('?');
    file.close();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, restored().size());
  }

  auto load_change_is_not_saved() -> void {
    auto disk = journal::open(folder_);
    endpoint_directory directory;
    directory_store store(*disk, directory);
    directory.merge({runner("a")});
    store.tick(now_, saved_at);
    const auto before = disk->load_auxiliary("endpoints");
    directory.set_load("a", 50, 100);
    store.tick(now_ + std::chrono::seconds(5), saved_at);
    CPPUNIT_ASSERT(before == disk->load_auxiliary("endpoints"));
    directory.set_layers("a", 0, 4);
    store.tick(now_ + std::chrono::seconds(6), saved_at);
    CPPUNIT_ASSERT(before != disk->load_auxiliary("endpoints"));
  }

  auto change_before_the_end_of_the_process_is_not_saved() -> void {
    {
      auto disk = journal::open(folder_);
      endpoint_directory directory;
      directory_store store(*disk, directory);
      directory.merge({runner("a")});
      store.tick(now_, saved_at);
      directory.mark_gone("a");
      store.tick(now_ + milliseconds(20), saved_at);  // within the interval
      store.save_changes(saved_at);
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int8_t>(endpoint_state::gone),
                         restored().records().at("a").state);
  }

  auto restored_record_is_replaced_by_a_later_incarnation() -> void {
    endpoint_directory directory;
    directory.merge({runner("a")});
    save(directory);
    auto known = restored();
    auto restarted = runner("a");
    restarted.incarnation = "2";
    restarted.last_layer = 0;
    restarted.report = 1;
    known.merge({restarted});
    CPPUNIT_ASSERT_EQUAL(0, known.records().at("a").last_layer);
  }

  /// A full disk refuses the write; here a folder has the file's name.
  auto failed_save_is_not_tried_again() -> void {
    auto disk = journal::open(folder_);
    fs::create_directories(folder_ / "endpoints.new");
    endpoint_directory directory;
    directory_store store(*disk, directory);
    directory.merge({runner("a")});
    store.tick(now_, saved_at);
    CPPUNIT_ASSERT(!fs::exists(folder_ / "endpoints"));
    fs::remove(folder_ / "endpoints.new");
    store.tick(now_ + std::chrono::seconds(2), saved_at);
    CPPUNIT_ASSERT(fs::exists(folder_ / "endpoints"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(directory_store_test);

}  // namespace pollenloft::test
