/// \file work.hpp
/// Predicts how much work a request is for its endpoint, from what the VM has
/// seen of earlier ones. Does no I/O and reads no clock.
#ifndef POLLENLOFT_WORK_HPP
#define POLLENLOFT_WORK_HPP

#include <map>
#include <string>

#include "pollenloft/core.hpp"
#include "pollenloft/ingress.hpp"

namespace pollenloft {

/// What a caller says of a model request; 0 stands for unknown.
struct stated_size {
  double prompt_tokens = 0;
  double output_tokens = 0;      ///< its estimate
  double max_output_tokens = 0;  ///< it asks for no more
};

/// Learns, by route, how long requests occupy their endpoints, and by client
/// account how far estimates of the output are off:
///
///     const auto work = estimator.predict(service, route, account, size);
///     ...
///     estimator.record_output(route, account, size, events);
///     estimator.record_time(service, route, time);
///
/// Work is relative: 1 is that of a mean request of the service.
class work_estimator {
 public:
  /// Work of a model request.
  auto predict(const engine_profile& engine, const std::string& route,
               const std::string& account, const stated_size& size) const
      -> double;
  /// Work of a request of a plain service.
  auto predict(const std::string& service, const std::string& route) const
      -> double;
  /// Tokens that a request will write.
  auto predict_output(const std::string& route, const std::string& account,
                      const stated_size& size) const -> double;
  /// Tokens that are left once `written` have been: an output that has grown
  /// past its estimate is expected to go on for a part of its length.
  static auto output_left(double predicted, double written) -> double;

  /// A response has ended after so many events.
  auto record_output(const std::string& route, const std::string& account,
                     const stated_size& size, std::size_t events) -> void;
  /// A plain request has occupied an endpoint for this time.
  auto record_time(const std::string& service, const std::string& route,
                   duration time) -> void;
  /// Tokens in an event, as learned from responses of this route; 1 before.
  auto tokens_per_event(const std::string& route) const -> double;

 private:
  struct mean {
    double value = 0;
    int samples = 0;

    auto add(double sample) -> void;
  };

  std::map<std::string, mean> times_;            // by route, in seconds
  std::map<std::string, mean> service_times_;    // by service, in seconds
  std::map<std::string, mean> hints_per_event_;  // by route
  std::map<std::pair<std::string, std::string>, mean>
      output_errors_;  // by route and account: actual over estimated
};

}  // namespace pollenloft

#endif
