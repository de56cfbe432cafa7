/// \file directory_store.hpp
/// Keeps the endpoint directory on disk, so that control VMs which were all
/// killed at once know the endpoints before these report again.
#ifndef POLLENLOFT_DIRECTORY_STORE_HPP
#define POLLENLOFT_DIRECTORY_STORE_HPP

#include "pollenloft/control.hpp"
#include "pollenloft/journal.hpp"

namespace pollenloft {

class directory_store {
 public:
  directory_store(journal& disk, endpoint_directory& directory)
      : disk_(disk), directory_(directory) {}

  /// Adds what was saved a short while before `wall`, the time of day; returns
  /// how many endpoints that were.
  auto restore(milliseconds wall) -> std::size_t;
  /// Saves what has changed, as often as the disk bears. A disk that refuses
  /// is asked again later.
  auto tick(instant now, milliseconds wall) -> void;

 private:
  auto signature() const -> std::uint64_t;
  auto save(milliseconds wall) -> void;

  journal& disk_;
  endpoint_directory& directory_;
  std::int64_t seen_ = 0;  // sequence of the directory
  std::uint64_t saved_ = 0;
  instant saved_at_{};
  duration pause_{};
};

}  // namespace pollenloft

#endif
