#include "state_transfer.hpp"

#include <algorithm>
#include <utility>

#include "pollenloft/delta.hpp"

namespace pollenloft {

namespace {

auto digest_of(std::string_view bytes) -> std::int64_t {
  return static_cast<std::int64_t>(hash64(bytes));
}

}  // namespace

auto state_catalog::publish(std::int64_t version, const std::string& text)
    -> void {
  if (version <= newest()) return;
  versions_.push_back({version, text});
  std::size_t bytes = 0;
  for (const auto& kept : versions_)
    bytes += kept.text.size();
  while (versions_.size() > 1 && (versions_.size() > limits_.max_versions ||
                                  bytes > limits_.max_bytes)) {
    bytes -= versions_.front().text.size();
    versions_.pop_front();
  }
}

auto state_catalog::newest() const -> std::int64_t {
  return versions_.empty() ? 0 : versions_.back().version;
}

auto state_catalog::find(std::int64_t version) const -> const state_version* {
  const auto found =
      std::find_if(versions_.begin(), versions_.end(),
                   [&](const auto& kept) { return kept.version == version; });
  return found == versions_.end() ? nullptr : &*found;
}

template <class Predicate>
auto state_catalog::use_frame(Predicate matches) -> const frame* {
  const auto found = std::find_if(frames_.begin(), frames_.end(), matches);
  if (found == frames_.end()) return nullptr;
  std::rotate(found, found + 1, frames_.end());
  return &frames_.back();
}

auto state_catalog::frame_of(const state_version& target, std::int64_t base)
    -> const frame& {
  const auto* known = use_frame([&](const auto& frame) {
    return frame.version == target.version && frame.base == base;
  });
  if (known != nullptr) return *known;
  const auto* base_version = find(base);
  auto bytes = encode_delta(target.text,
                            base_version != nullptr ? base_version->text : "");
  const auto digest = hash64(bytes);
  frames_.push_back(
      {target.version, base, std::move(bytes), digest, hash64(target.text)});
  ++encoded_frames_;
  if (frames_.size() > limits_.max_frames) frames_.pop_front();
  return frames_.back();
}

/// A frame that the receiver has begun is continued, whether or not its version
/// and its base are still kept.
auto state_catalog::frame_for(const wire::state_request& request)
    -> const frame& {
  const auto* begun = use_frame([&](const auto& frame) {
    return request.offset > 0 &&
           static_cast<std::int64_t>(frame.digest) == request.digest;
  });
  if (begun != nullptr) return *begun;
  const auto* target = find(request.version);
  if (target == nullptr) target = &versions_.back();
  const auto* base = find(request.base);
  const auto usable = base != nullptr && base->version < target->version &&
                      digest_of(base->text) == request.base_digest;
  return frame_of(*target, usable ? request.base : 0);
}

auto state_catalog::part(const wire::state_request& request)
    -> std::optional<wire::state_part> {
  if (versions_.empty() || request.version > newest())
    return fail("state.part", std::to_string(request.version),
                "the version is not known yet");
  const auto& frame = frame_for(request);
  wire::state_part part;
  part.version = frame.version;
  part.base = frame.base;
  part.digest = static_cast<std::int64_t>(frame.digest);
  part.text_digest = static_cast<std::int64_t>(frame.text_digest);
  part.total = static_cast<std::int64_t>(frame.bytes.size());
  // Another frame than the receiver has begun starts from its first byte.
  const auto continues = request.digest == part.digest && request.offset >= 0 &&
                         request.offset < part.total;
  part.offset = continues ? request.offset : 0;
  part.bytes = frame.bytes.substr(static_cast<std::size_t>(part.offset),
                                  max_state_part_bytes);
  return part;
}

auto state_assembly::next_request(state_kind kind, std::int64_t wanted,
                                  const state_version& held) const
    -> wire::state_request {
  wire::state_request request;
  request.kind = static_cast<std::int8_t>(kind);
  request.version = wanted;
  request.base = base_refused_ ? 0 : held.version;
  request.base_digest = digest_of(held.text);
  if (version_ <= held.version) return request;
  // A transfer that has begun is finished first: a receiver that started over
  // with each newer version might never complete one.
  request.version = version_;
  request.digest = digest_;
  request.offset = static_cast<std::int64_t>(bytes_.size());
  return request;
}

auto state_assembly::start(const wire::state_part& part) -> void {
  version_ = part.version;
  base_ = part.base;
  digest_ = part.digest;
  total_ = static_cast<std::size_t>(part.total);
  bytes_.clear();
}

auto state_assembly::reset() -> void {
  version_ = 0;
  digest_ = 0;
  total_ = 0;
  bytes_.clear();
}

auto state_assembly::add(const wire::state_part& part,
                         const state_version& held) -> transfer_progress {
  if (part.version <= held.version) return transfer_incomplete{};
  if (part.total <= 0 ||
      static_cast<std::size_t>(part.total) > max_state_bytes ||
      part.bytes.size() > static_cast<std::size_t>(part.total)) {
    reset();
    return transfer_corrupt{
        {"state.add", std::to_string(part.version), "sizes do not agree"}};
  }
  if (part.digest != digest_ || part.version != version_) start(part);
  if (static_cast<std::size_t>(part.offset) != bytes_.size())
    return transfer_incomplete{};
  bytes_ += part.bytes;
  if (bytes_.size() < total_) return transfer_incomplete{};
  const auto frame = std::exchange(bytes_, {});
  const auto base = base_;
  reset();
  auto text = decode_delta(frame, base != 0 ? held.text : "", max_state_bytes);
  if (!text || digest_of(*text) != part.text_digest) {
    base_refused_ = true;
    return transfer_corrupt{text ? error{"state.add",
                                         std::to_string(part.version),
                                         "digests do not agree"}
                                 : last_error()};
  }
  base_refused_ = false;
  return transfer_completed{{part.version, std::move(*text)}, frame.size()};
}

}  // namespace pollenloft
