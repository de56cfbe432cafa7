#include "pollenloft/delta.hpp"

#include <zstd.h>

#include <algorithm>
#include <array>

#include "pollenloft/core.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

constexpr std::size_t max_size = 8 * 1024 * 1024;

auto random_name(random_source& random) -> std::string {
  constexpr std::size_t name_length = 10;
  std::string name;
  while (name.size() < name_length)
    name += static_cast<char>('a' + random.below(26));
  return name;
}

auto route(random_source& random) -> std::string {
  const auto name = random_name(random);
  return R"({"Name":")" + name + R"(","Hostname":")" + random_name(random) +
         R"(.example","PathPrefix":"/)" + name +
         R"(/","Type":"idempotent","TimeoutMs":)" +
         std::to_string(500 + random.below(20000)) +
         R"(,"Priority":1,"Attempts":2,"Public":false,"Split":[{"Backend":")" +
         random_name(random) + R"(","Weight":90},{"Backend":")" +
         random_name(random) + R"(","Weight":10}]},)";
}

auto routes(std::size_t count, std::uint64_t seed) -> std::string {
  random_source random(seed);
  std::string text;
  for (std::size_t i = 0; i < count; ++i)
    text += route(random);
  return text;
}

/// A document of `count` routes; its first routes are the same for any count.
auto document(int version, std::size_t count) -> std::string {
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
         routes(count, 1) + R"(null],"Limits":{"MaxHeaderBytes":16384}})";
}

auto changed_once(std::string text) -> std::string {
  const auto at = text.find(R"("Weight":90)", text.size() / 2);
  return text.replace(at, 11, R"("Weight":85)");
}

auto refused(std::string_view bytes, std::string_view base,
             std::size_t limit = max_size) -> bool {
  const auto text = decode_delta(bytes, base, limit);
  if (!text)
    CPPUNIT_ASSERT_EQUAL(std::string("delta.decode"), last_error().step);
  return !text;
}

/// A frame of `text` made with one parameter that `encode_delta` sets
/// otherwise.
auto frame_with(ZSTD_cParameter parameter, int value, const std::string& text)
    -> std::string {
  auto* context = ZSTD_createCCtx();
  ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context, parameter, value);
  std::string frame(ZSTD_compressBound(text.size()), '\0');
  frame.resize(ZSTD_compress2(context, frame.data(), frame.size(), text.data(),
                              text.size()));
  ZSTD_freeCCtx(context);
  return frame;
}

auto to_text(const std::vector<std::uint8_t>& bytes) -> std::string {
  return {bytes.begin(), bytes.end()};
}

}  // namespace

class delta_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(delta_test);
  CPPUNIT_TEST(text_is_restored_with_and_without_a_base);
  CPPUNIT_TEST(equal_input_gives_equal_frames);
  CPPUNIT_TEST(small_change_of_a_large_document_is_small);
  CPPUNIT_TEST(base_beyond_the_match_tables_is_still_used);
  CPPUNIT_TEST(base_is_in_reach_up_to_the_end_of_the_text);
  CPPUNIT_TEST(every_flipped_bit_is_refused_or_harmless);
  CPPUNIT_TEST(truncated_frame_is_refused);
  CPPUNIT_TEST(bytes_after_the_frame_are_refused);
  CPPUNIT_TEST(wrong_base_is_refused);
  CPPUNIT_TEST(more_than_the_limit_is_refused);
  CPPUNIT_TEST(frame_without_size_or_checksum_is_refused);
  CPPUNIT_TEST(skippable_frame_is_refused);
  CPPUNIT_TEST(any_text_is_restored);
  CPPUNIT_TEST(damaged_frames_never_give_another_text);
  CPPUNIT_TEST(random_bytes_never_crash);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto assert_restored(const std::string& text, const std::string& base)
      -> void {
    const auto frame = encode_delta(text, base);
    const auto restored = decode_delta(frame, base, text.size());
    CPPUNIT_ASSERT(restored.has_value());
    CPPUNIT_ASSERT(text == *restored);
  }

  auto text_is_restored_with_and_without_a_base() -> void {
    const auto small = document(1, 80);
    const auto large = document(2, 1440);
    const std::array<std::string, 5> texts{"", "a", "seven b", small, large};
    for (const auto& text : texts)
      for (const auto& base : texts)
        assert_restored(text, base);
  }

  auto equal_input_gives_equal_frames() -> void {
    const auto base = document(1, 1440);
    const auto text = changed_once(base);
    CPPUNIT_ASSERT(encode_delta(text, base) == encode_delta(text, base));
    CPPUNIT_ASSERT(encode_delta(text, "") == encode_delta(text, ""));
  }

  auto small_change_of_a_large_document_is_small() -> void {
    const auto base = document(1, 1440);
    CPPUNIT_ASSERT(base.size() > 350'000);
    for (const auto& text :
         {changed_once(base), changed_once(document(2, 1440)),
          document(1, 1441), document(1, 1439)}) {
      CPPUNIT_ASSERT(encode_delta(text, base).size() < 1024);
      assert_restored(text, base);
    }
  }

  auto base_beyond_the_match_tables_is_still_used() -> void {
    const auto base = document(1, 12'000);
    CPPUNIT_ASSERT(base.size() > 2'500'000);
    std::string text;
    for (std::size_t from = 0, i = 0; from < base.size(); ++i) {
      const auto to = std::min(base.find("]},", from), base.size() - 3) + 3;
      if (i % 2 == 1) text += base.substr(from, to - from);
      from = to;
    }
    CPPUNIT_ASSERT(encode_delta(text, base).size() < text.size() / 30);
    assert_restored(text, base);
  }

  auto base_is_in_reach_up_to_the_end_of_the_text() -> void {
    const auto base = document(1, 1440);
    const auto before = routes(1440, 2);
    CPPUNIT_ASSERT(encode_delta(before + base, base).size() <
                   encode_delta(before, base).size() + 1024);
    assert_restored(before + base, base);
  }

  auto every_flipped_bit_is_refused_or_harmless() -> void {
    const auto base = document(1, 4);
    const auto text = document(2, 6);
    const auto frame = encode_delta(text, base);
    std::size_t refusals = 0;
    for (std::size_t bit = 0; bit < frame.size() * 8; ++bit) {
      auto damaged = frame;
      damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << bit % 8));
      const auto restored = decode_delta(damaged, base, max_size);
      CPPUNIT_ASSERT(!restored || *restored == text);
      if (!restored) ++refusals;
    }
    // The frame format has few bits without a meaning.
    CPPUNIT_ASSERT(refusals + 16 >= frame.size() * 8);
  }

  auto truncated_frame_is_refused() -> void {
    const auto base = document(1, 4);
    const auto frame = encode_delta(document(2, 6), base);
    for (std::size_t size = 0; size < frame.size(); ++size)
      CPPUNIT_ASSERT(refused(frame.substr(0, size), base));
  }

  auto bytes_after_the_frame_are_refused() -> void {
    const auto frame = encode_delta("text", "");
    CPPUNIT_ASSERT(refused(frame + '\0', ""));
    CPPUNIT_ASSERT(refused(frame + encode_delta("", ""), ""));
    CPPUNIT_ASSERT(refused(frame + frame, ""));
  }

  auto wrong_base_is_refused() -> void {
    const auto base = document(1, 1440);
    const auto frame = encode_delta(document(2, 1450), base);
    CPPUNIT_ASSERT(!refused(frame, base));
    CPPUNIT_ASSERT(refused(frame, ""));
    CPPUNIT_ASSERT(refused(frame, base.substr(1)));
    CPPUNIT_ASSERT(refused(frame, changed_once(base)));
    CPPUNIT_ASSERT(refused(frame, document(1, 80)));
  }

  auto more_than_the_limit_is_refused() -> void {
    const auto text = std::string(100'000, 'a');
    const auto frame = encode_delta(text, "");
    CPPUNIT_ASSERT(!refused(frame, "", text.size()));
    CPPUNIT_ASSERT(refused(frame, "", text.size() - 1));
    CPPUNIT_ASSERT(refused(frame, "", 0));
    // A size in the header of nearly 2^64 bytes.
    const auto header = std::string("\x28\xb5\x2f\xfd\xe4", 5);
    CPPUNIT_ASSERT(refused(
        header + std::string(8, '\xfe') + std::string("\x01\0\0cccc", 7), ""));
    CPPUNIT_ASSERT(last_error().reason.find("more than") != std::string::npos);
  }

  auto frame_without_size_or_checksum_is_refused() -> void {
    CPPUNIT_ASSERT(!refused(frame_with(ZSTD_c_windowLog, 12, "text"), ""));
    CPPUNIT_ASSERT(refused(frame_with(ZSTD_c_contentSizeFlag, 0, "text"), ""));
    CPPUNIT_ASSERT_EQUAL(
        std::string("the frame does not contain the size of the text"),
        last_error().reason);
    CPPUNIT_ASSERT(refused(frame_with(ZSTD_c_checksumFlag, 0, "text"), ""));
  }

  auto skippable_frame_is_refused() -> void {
    CPPUNIT_ASSERT(
        refused(std::string("\x50\x2a\x4d\x18\x04\0\0\0data", 12), ""));
  }

  auto any_text_is_restored() -> void {
    check_property("decode_delta restores what encode_delta was given",
                   [](const std::vector<std::uint8_t>& text,
                      const std::vector<std::uint8_t>& base,
                      const std::vector<std::uint8_t>& common) {
                     const auto shared = to_text(common);
                     const auto from = to_text(base) + shared;
                     const auto to = shared + to_text(text) + shared;
                     const auto frame = encode_delta(to, from);
                     RC_ASSERT(decode_delta(frame, from, to.size()) == to);
                   });
  }

  auto damaged_frames_never_give_another_text() -> void {
    check_property(
        "a damaged frame is refused or gives the same text",
        [](std::uint64_t seed, const std::vector<std::uint32_t>& codes) {
          const auto base = routes(1 + seed % 8, seed);
          const auto text = routes(1 + seed / 8 % 8, seed + seed % 2);
          auto frame = encode_delta(text, base);
          for (const auto code : codes)
            frame[code / 256 % frame.size()] = static_cast<char>(code % 256);
          const auto restored = decode_delta(frame, base, max_size);
          RC_ASSERT(!restored || *restored == text);
        });
  }

  auto random_bytes_never_crash() -> void {
    check_property("random bytes are no frame",
                   [](const std::vector<std::uint8_t>& bytes) {
                     const auto base = routes(2, 1);
                     const auto start = encode_delta(base, "").substr(0, 7);
                     decode_delta(to_text(bytes), base, max_size);
                     decode_delta(start + to_text(bytes), base, max_size);
                   });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(delta_test);

}  // namespace pollenloft::test
