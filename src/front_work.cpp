// Work of a front request: predicted, told to the router, and learned from.
#include "front_request.hpp"

namespace pollenloft {

namespace {

/// Events after which the rest of a stream is predicted anew.
constexpr std::size_t events_per_prediction = 8;

}  // namespace

auto front_request::stated_output() const -> stated_size {
  const auto& headers = params_.headers;
  return {static_cast<double>(headers.prompt_tokens),
          static_cast<double>(headers.estimated_output_tokens),
          static_cast<double>(headers.max_output_tokens)};
}

auto front_request::predict_work() const -> double {
  const auto& route = params_.route->name;
  if (params_.engine == nullptr)
    return host_.work().predict(params_.service, route);
  return host_.work().predict(*params_.engine, route, params_.account,
                              stated_output());
}

auto front_request::work_left() const -> double {
  const auto all = predict_work();
  const auto written = static_cast<double>(events_.size()) *
                       host_.work().tokens_per_event(params_.route->name);
  const auto output = host_.work().predict_output(
      params_.route->name, params_.account, stated_output());
  if (output <= 0 || written <= 0) return all;
  return all * work_estimator::output_left(output, written) / output;
}

auto front_request::set_work(double left) -> void {
  if (!host_.weighs_work() || peer_) return;
  host_.routes().change_work(stages_, left - work_);
  work_ = left;
  work_events_ = events_.size() + events_per_prediction;
}

auto front_request::learn_work() -> void {
  if (params_.engine != nullptr)
    return host_.work().record_output(params_.route->name, params_.account,
                                      stated_output(), events_.size());
  host_.work().record_time(params_.service, params_.route->name,
                           boottime_clock::now() - dispatched_at_);
}

}  // namespace pollenloft
