#include "pollenloft/work.hpp"

#include <algorithm>

namespace pollenloft {

namespace {

constexpr int max_samples = 32;  // a mean forgets older ones
/// Fewer samples say little of an account.
constexpr int min_account_samples = 5;
constexpr double max_error = 4;
constexpr double min_work = 0.1;
constexpr double max_work = 10;
/// Output beyond its estimate goes on for this part of its length.
constexpr double overrun_share = 0.25;
constexpr std::size_t max_accounts = 20000;

auto bounded(double work) -> double {
  return std::clamp(work, min_work, max_work);
}

/// Time of the layers of a request alone on an accelerator of factor 1.
auto seconds_of(const engine_profile& engine, double prompt, double output)
    -> double {
  constexpr double ms_per_s = 1000;
  const auto context = (prompt + output / 2) / 1000;
  const auto step_ms = engine.step_ms + engine.step_ms_per_sequence +
                       engine.step_ms_per_context_k * context;
  return prompt / std::max(1.0, engine.prefill_tokens_per_s) +
         output * step_ms / ms_per_s;
}

}  // namespace

auto work_estimator::mean::add(double sample) -> void {
  samples = std::min(samples + 1, max_samples);
  value += (sample - value) / samples;
}

auto work_estimator::predict_output(const std::string& route,
                                    const std::string& account,
                                    const stated_size& size) const -> double {
  const auto stated =
      size.output_tokens > 0 ? size.output_tokens : size.max_output_tokens;
  const auto known = output_errors_.find({route, account});
  const auto error =
      known != output_errors_.end() &&
              known->second.samples >= min_account_samples
          ? std::clamp(known->second.value, 1 / max_error, max_error)
          : 1;
  const auto predicted = stated * error;
  return size.max_output_tokens > 0
             ? std::min(predicted, size.max_output_tokens)
             : predicted;
}

auto work_estimator::predict(const engine_profile& engine,
                             const std::string& route,
                             const std::string& account,
                             const stated_size& size) const -> double {
  const auto typical = seconds_of(engine, engine.typical_prompt_tokens,
                                  engine.typical_output_tokens);
  if (typical <= 0) return 1;
  const auto predicted = seconds_of(engine, size.prompt_tokens,
                                    predict_output(route, account, size));
  return predicted > 0 ? bounded(predicted / typical) : 1;
}

auto work_estimator::predict(const std::string& service,
                             const std::string& route) const -> double {
  const auto own = times_.find(route);
  const auto all = service_times_.find(service);
  if (own == times_.end() || all == service_times_.end() ||
      all->second.value <= 0)
    return 1;
  return bounded(own->second.value / all->second.value);
}

auto work_estimator::output_left(double predicted, double written) -> double {
  return std::max(predicted - written, overrun_share * written);
}

auto work_estimator::tokens_per_event(const std::string& route) const
    -> double {
  const auto known = hints_per_event_.find(route);
  return known == hints_per_event_.end() ? 1 : known->second.value;
}

auto work_estimator::record_output(const std::string& route,
                                   const std::string& account,
                                   const stated_size& size, std::size_t events)
    -> void {
  if (events == 0 || size.output_tokens <= 0) return;
  const auto written = static_cast<double>(events);
  auto& per_event = hints_per_event_[route];
  per_event.add(std::min(size.output_tokens / written,
                         per_event.samples == 0 ? size.output_tokens / written
                                                : max_error * per_event.value));
  const auto key = std::pair(route, account);
  if (output_errors_.size() >= max_accounts && output_errors_.count(key) == 0)
    return;
  output_errors_[key].add(
      std::min(max_error, written * per_event.value / size.output_tokens));
}

auto work_estimator::record_time(const std::string& service,
                                 const std::string& route, duration time)
    -> void {
  times_[route].add(seconds(time));
  service_times_[service].add(seconds(time));
}

}  // namespace pollenloft
