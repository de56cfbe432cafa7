/// pollenloft-load: open-loop load generator for the entry VMs that verifies
/// every answer. It simulates callers behind a load balancer: a call whose
/// connection breaks is retried through another VM with the same
/// Idempotency-Key. SIGUSR1 marks the time of a fault, from which the recovery
/// time is measured.
#include <signal.h>

#include <cmath>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>

#include "pollenloft/net.hpp"
#include "pollenloft/settings.hpp"
#include "standin_model.hpp"

namespace pollenloft::standin {
namespace {

using json = nlohmann::json;

constexpr auto bucket_width = milliseconds(100);
/// A request without an answer this long after its deadline counts as lost.
constexpr auto response_grace = std::chrono::seconds(3);
constexpr auto retry_delay = milliseconds(50);
constexpr int max_sends = 8;
constexpr int account_count = 10;
constexpr std::size_t max_failures_printed = 10;
constexpr double recovered_share = 0.95;  // of the rate before a fault
// Moving averages of the token rate, in buckets.
constexpr std::size_t recovery_window = 5;
constexpr std::size_t peak_window = 30;
constexpr double buckets_per_second = 10;

const std::vector<setting> known_settings{
    {"fleet", "kincsnaplo", one_of{{"kincsnaplo", "juuksuriaeg"}},
     "deployment that is simulated"},
    {"entries", "", named_address_list{}, "entry VMs behind the balancer"},
    {"admin", "127.0.2.1:9000", required_address{},
     "admin address of pollenloft-standin"},
    {"rate", "50", number_range{1, 1000000}, "requests per second"},
    {"requests", "1000", number_range{1, 100000000},
     "total number of requests"},
    {"tokens", "32", number_range{1, 512},
     "mean number of tokens of an answer"},
    {"steady", "false", one_of{{"true", "false"}},
     "constant interarrival times and lengths instead of random ones"},
    {"plain-percent", "20", number_range{0, 100},
     "percentage of calls to the plain service"},
    {"stream-percent", "70", number_range{0, 100},
     "percentage of model calls with a streamed answer"},
    {"heavy-percent", "50", number_range{0, 100},
     "percentage of requests of the largest client account"},
    {"heavy-entry", "-1", number_range{-1, 1000},
     "VM that gets all requests of the largest account; -1 spreads them"},
    {"swing-from-ms", "0", number_range{0, 3600000}, "start of the load peak"},
    {"swing-to-ms", "0", number_range{0, 3600000}, "end of the load peak"},
    {"swing-factor", "1", number_range{1, 100},
     "multiple of the largest account's rate during the peak"},
    {"resend-percent", "0", number_range{0, 100},
     "percentage of plain calls sent twice through different VMs"},
    {"retry-refused", "false", one_of{{"true", "false"}},
     "retry refused requests after the delay that the answer asks for"},
    {"deadline-ms", "10000", number_range{10, 600000}, "deadline of a request"},
    {"seed", "1", number_range{1, INT64_MAX}, "random seed"},
    {"label", "load", nonempty_text{}, "first word of the result line"}};

/// What the caller knows of a request; `lost` if it got no answer.
enum class verdict { open, completed, not_run, unknown, lost };

/// One request of a simulated caller, over all its sends.
struct sent_request {
  std::size_t number = 0;
  bool plain = false;
  bool stream = false;
  bool heavy = false;  ///< of the largest client account
  bool wrong_answer = false;
  bool may_have_run = false;  ///< a send did not end with "not-run"
  int account = 0;
  int duplicates_maybe_run = 0;  ///< duplicates that did not end with "not-run"
  int sends = 0;
  std::int64_t tokens = 1;
  std::string prompt;  ///< of a plain call the Idempotency-Key
  instant started{};
  instant deadline{};
  instant ended{};
  instant first_token{};
  instant last_token{};
  std::size_t entry = 0;
  std::string text;     ///< of the answer so far
  std::string pending;  ///< bytes of an incomplete event
  std::string stream_outcome;
  verdict result = verdict::open;
  timer timeout;
  timer retry;
  pending_call_ptr call;
};
using sent_request_ptr = std::shared_ptr<sent_request>;

auto to_ms(duration d) -> double {
  return std::chrono::duration<double, std::milli>(d).count();
}

auto percentile(std::vector<double> samples, double fraction) -> double {
  if (samples.empty()) return 0;
  std::sort(samples.begin(), samples.end());
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(samples.size() - 1));
  return samples[index];
}

/// One run: sends the requests, collects the answers and prints the result.
class load_run {
 public:
  load_run(event_loop& loop, const settings& values)
      : loop_(loop),
        client_(loop),
        values_(values),
        layout_(*make_fleet(values.text("fleet"))),
        random_(static_cast<std::uint64_t>(values.number("seed"))) {
    for (const auto& [id, address] : values.named_addresses("entries"))
      entries_.push_back(address);
  }

  auto start() -> void {
    started_at_ = boottime_clock::now();
    next_heavy_ = started_at_ + interarrival_time(true);
    next_other_ = started_at_ + interarrival_time(false);
    send_due_requests();
  }

  /// Marks the time of a fault.
  auto mark_fault() -> void { fault_marks_.push_back(boottime_clock::now()); }

  auto exit_code() const -> int {
    return wrong_answers_ + lost_requests_ + duplicate_runs_ + false_not_run_ ==
                   0
               ? 0
               : 1;
  }

 private:
  // --- arrivals ------------------------------------------------------------

  /// Requests per second of the largest account, or of all others.
  auto arrival_rate(bool heavy) const -> double {
    const auto share =
        static_cast<double>(values_.number("heavy-percent")) / 100;
    auto rate = static_cast<double>(values_.number("rate")) *
                (heavy ? share : 1 - share);
    const auto elapsed = boottime_clock::now() - started_at_;
    const auto peak = heavy && elapsed >= values_.millis("swing-from-ms") &&
                      elapsed < values_.millis("swing-to-ms");
    if (peak) rate *= static_cast<double>(values_.number("swing-factor"));
    return rate;
  }

  /// Exponentially distributed, so that arrivals are a Poisson process, or
  /// constant with `steady`.
  auto interarrival_time(bool heavy) -> duration {
    const auto rate = arrival_rate(heavy);
    if (rate <= 0) return std::chrono::hours(24);
    const auto seconds = values_.flag("steady")
                             ? 1 / rate
                             : -std::log(1 - random_.unit()) / rate;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
  }

  auto send_due_requests() -> void {
    const auto now = boottime_clock::now();
    while (!all_sent() && next_heavy_ <= now) {
      send_new_request(true);
      next_heavy_ += interarrival_time(true);
    }
    while (!all_sent() && next_other_ <= now) {
      send_new_request(false);
      next_other_ += interarrival_time(false);
    }
    if (all_sent()) return;
    arrival_timer_ = loop_.after(std::min(next_heavy_, next_other_) - now,
                                 [this] { send_due_requests(); });
  }

  auto all_sent() const -> bool {
    return requests_.size() >=
           static_cast<std::size_t>(values_.number("requests"));
  }

  auto send_new_request(bool heavy) -> void {
    auto request = std::make_shared<sent_request>();
    request->number = requests_.size();
    request->heavy = heavy;
    request->account =
        heavy ? 0 : 1 + static_cast<int>(random_.below(account_count - 1));
    request->plain = draw("plain-percent");
    request->stream = !request->plain && draw("stream-percent");
    const auto mean = static_cast<std::uint64_t>(values_.number("tokens"));
    request->tokens = static_cast<std::int64_t>(
        values_.flag("steady") ? mean : 1 + mean / 2 + random_.below(mean + 1));
    request->prompt = "request-" + values_.text("seed") + "-" +
                      std::to_string(request->number) + " summarise this log";
    request->started = boottime_clock::now();
    request->deadline = request->started + values_.millis("deadline-ms");
    request->entry = choose_entry(heavy);
    requests_.push_back(request);
    ++open_requests_;
    request->timeout = loop_.after(
        values_.millis("deadline-ms") + response_grace, [this, request] {
          if (request->call) request->call->cancel();
          finish(request, verdict::lost);
        });
    send(request);
    if (request->plain && draw("resend-percent")) send_duplicate(request);
  }

  auto draw(const std::string& percentage) -> bool {
    return static_cast<std::int64_t>(random_.below(100)) <
           values_.number(percentage);
  }

  auto choose_entry(bool heavy) -> std::size_t {
    const auto pinned = values_.number("heavy-entry");
    if (heavy && pinned >= 0)
      return static_cast<std::size_t>(pinned) % entries_.size();
    return random_.below(entries_.size());
  }

  // --- calls ---------------------------------------------------------------

  auto make_call(const sent_request& request) const -> http_call {
    http_call call;
    call.peer = entries_[request.entry];
    call.method = "POST";
    call.headers.add("Authorization",
                     "Bearer token-" + std::to_string(request.account));
    const auto left = request.deadline - boottime_clock::now();
    call.headers.add(
        "Pollenloft-Deadline-Ms",
        std::to_string(std::max<std::int64_t>(
            1, std::chrono::duration_cast<milliseconds>(left).count())));
    call.timeout = left + response_grace;
    if (request.plain) {
      call.target = "/services/" + layout_.plain_service + "/entries";
      call.headers.add("Idempotency-Key", request.prompt);
      call.body = "{\"entry\":\"" + request.prompt + "\"}";
      return call;
    }
    call.target = "/v1/completions";
    call.body = json{{"model", layout_.model_service},
                     {"prompt", request.prompt},
                     {"max_tokens", request.tokens},
                     {"stream", request.stream}}
                    .dump();
    return call;
  }

  auto send(const sent_request_ptr& request) -> void {
    ++request->sends;
    request->text.clear();
    request->pending.clear();
    request->stream_outcome.clear();
    auto outcome = std::make_shared<std::pair<std::string, milliseconds>>();
    call_handlers handlers;
    handlers.on_headers = [outcome](int, const http_headers& headers) {
      outcome->first = headers.find("Pollenloft-Outcome").value_or("");
      const auto ms = headers.find("Pollenloft-Retry-After-Ms");
      if (ms) outcome->second = milliseconds(parse_number(*ms).value_or(0));
    };
    if (request->stream)
      handlers.on_data = [this, request](auto bytes) {
        handle_stream_data(*request, bytes);
      };
    handlers.on_done = [this, request, outcome](const auto& result, auto body) {
      handle_response(request, result, body, outcome->first, outcome->second);
    };
    request->call = client_.send(make_call(*request), std::move(handlers));
  }

  /// Sends the same keyed call at once through another VM. Its answer is not
  /// checked; a second run shows in the ledger.
  auto send_duplicate(const sent_request_ptr& request) -> void {
    ++request->duplicates_maybe_run;
    auto not_run = std::make_shared<bool>(false);
    client_.send(make_call(*make_duplicate(request)),
                 {[not_run](int, const http_headers& headers) {
                    *not_run = headers.find("Pollenloft-Outcome") == "not-run";
                  },
                  {},
                  [request, not_run](const auto& /*result*/, auto) {
                    if (*not_run) --request->duplicates_maybe_run;
                  }});
  }

  auto make_duplicate(const sent_request_ptr& request)
      -> std::unique_ptr<sent_request> {
    auto copy = std::make_unique<sent_request>();
    copy->plain = true;
    copy->account = request->account;
    copy->prompt = request->prompt;
    copy->deadline = request->deadline;
    copy->entry = (request->entry + 1) % entries_.size();
    return copy;
  }

  auto handle_stream_data(sent_request& request, std::string_view bytes)
      -> void {
    request.pending += bytes;
    for (auto end = request.pending.find("\n\n"); end != std::string::npos;
         end = request.pending.find("\n\n")) {
      const auto line = request.pending.substr(0, end);
      request.pending.erase(0, end + 2);
      if (line.rfind("data: {", 0) != 0) continue;
      const auto event = json::parse(line.substr(6), nullptr, false);
      if (!event.is_object()) continue;
      if (event.contains("pollenloft_outcome"))
        request.stream_outcome = event["pollenloft_outcome"];
      if (event.contains("choices"))
        handle_token(request, event["choices"][0].value("text", ""));
    }
  }

  auto handle_token(sent_request& request, const std::string& piece) -> void {
    if (piece.empty()) return;
    const auto now = boottime_clock::now();
    if (request.first_token == instant{}) {
      request.first_token = now;
      first_token_ms_[request.heavy].push_back(to_ms(now - request.started));
    } else {
      token_gap_ms_.push_back(to_ms(now - request.last_token));
    }
    request.last_token = now;
    request.text += piece;
    count_tokens(now, 1);
  }

  auto count_tokens(instant now, std::int64_t tokens) -> void {
    const auto index =
        static_cast<std::size_t>((now - started_at_) / bucket_width);
    if (tokens_by_bucket_.size() <= index) tokens_by_bucket_.resize(index + 1);
    tokens_by_bucket_[index] += tokens;
  }

  auto handle_response(const sent_request_ptr& request,
                       const call_result& result, std::string_view body,
                       std::string outcome, milliseconds retry_after) -> void {
    if (request->result != verdict::open) return;
    const auto* completed = std::get_if<call_completed>(&result);
    if (request->stream && outcome.empty()) outcome = request->stream_outcome;
    if (completed == nullptr || outcome.empty())
      return retry(request, std::holds_alternative<call_unsent>(result),
                   retry_delay);
    if (outcome == "not-run") {
      if (values_.flag("retry-refused") && completed->status == 503 &&
          boottime_clock::now() + retry_after < request->deadline)
        return retry(request, true, retry_after);
      print_failure(*request, completed->status, body);
      return finish(request, verdict::not_run);
    }
    request->may_have_run = true;
    if (outcome != "completed") {
      print_failure(*request, completed->status, body);
      return finish(request, verdict::unknown);
    }
    check_answer(*request, body);
    finish(request, verdict::completed);
  }

  /// Prints the answers of the first few requests that did not complete.
  auto print_failure(const sent_request& request, int status,
                     std::string_view body) -> void {
    if (++failures_ > max_failures_printed) return;
    std::cerr << "not completed number=" << request.number
              << " status=" << status << " answer=" << body << "\n";
  }

  auto retry(const sent_request_ptr& request, bool not_run, milliseconds delay)
      -> void {
    if (!not_run) request->may_have_run = true;
    const auto retry_at = boottime_clock::now() + delay;
    if (request->sends >= max_sends || retry_at >= request->deadline)
      return finish(request, not_run ? verdict::not_run : verdict::lost);
    request->entry = (request->entry + 1) % entries_.size();
    request->retry = loop_.after(delay, [this, request] {
      if (request->result == verdict::open) send(request);
    });
  }

  auto check_answer(sent_request& request, std::string_view body) -> void {
    if (request.plain) {
      const auto answer = json::parse(body, nullptr, false);
      request.wrong_answer =
          !answer.is_object() || answer.value("done", "") != request.prompt;
    } else {
      if (!request.stream) {
        const auto answer = json::parse(body, nullptr, false);
        if (answer.is_object() && answer.contains("choices"))
          request.text = answer["choices"][0].value("text", "");
        count_tokens(boottime_clock::now(), request.tokens);
      }
      request.wrong_answer =
          request.text !=
          expected_output(request.prompt, request.tokens, layout_.layers);
    }
    if (request.wrong_answer)
      std::cerr << "wrong answer number=" << request.number
                << " sends=" << request.sends << " stream=" << request.stream
                << " bytes=" << request.text.size() << "\n";
  }

  auto finish(const sent_request_ptr& request, verdict result) -> void {
    if (request->result != verdict::open) return;
    request->result = result;
    request->ended = boottime_clock::now();
    request->timeout = timer();
    if (result == verdict::lost)
      std::cerr << "lost number=" << request->number
                << " sends=" << request->sends << " entry=" << request->entry
                << "\n";
    if (--open_requests_ == 0 && all_sent())
      ledger_timer_ =
          loop_.after(milliseconds(300), [this] { fetch_ledger(); });
  }

  // --- result --------------------------------------------------------------

  auto fetch_ledger() -> void {
    http_call call{values_.address("admin"), "GET", "/ledger"};
    client_.send(call, {{}, {}, [this](const auto& /*result*/, auto body) {
                          print_result(json::parse(body, nullptr, false));
                          loop_.stop();
                        }});
  }

  /// Compares the answers with the ledger and prints the result line.
  auto print_result(const json& ledger) -> void {
    const auto runs = [&](const sent_request& request) {
      if (!ledger.is_object()) return 0;
      const auto& table = ledger[request.plain ? "plain" : "model"];
      return table.value(request.prompt, 0);
    };
    std::size_t served = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t late = 0;
    double on_time_tokens = 0;
    std::size_t small = 0;
    std::size_t small_on_time = 0;
    for (const auto& request : requests_) {
      served += request->result == verdict::completed ? 1 : 0;
      not_run += request->result == verdict::not_run ? 1 : 0;
      unknown += request->result == verdict::unknown ? 1 : 0;
      lost_requests_ += request->result == verdict::lost ? 1 : 0;
      wrong_answers_ += request->wrong_answer ? 1 : 0;
      const auto on_time = request->ended <= request->deadline;
      late += on_time ? 0 : 1;
      const auto good = request->result == verdict::completed && on_time;
      if (good && !request->plain)
        on_time_tokens += static_cast<double>(request->tokens);
      small += request->heavy ? 0 : 1;
      small_on_time += !request->heavy && good ? 1 : 0;
      if (request->plain && runs(*request) > 1) ++duplicate_runs_;
      // If a duplicate may have run, "not-run" can still be true of this send.
      if (request->result == verdict::not_run && !request->may_have_run &&
          request->duplicates_maybe_run == 0 && request->plain &&
          runs(*request) > 0)
        ++false_not_run_;
    }
    const auto seconds =
        std::chrono::duration<double>(boottime_clock::now() - started_at_)
            .count();
    std::cout << values_.text("label") << " requests=" << requests_.size()
              << " served=" << served << " not_run=" << not_run
              << " unknown=" << unknown << " late=" << late
              << " first_p50_ms=" << percentile(all_first_token_ms(), 0.5)
              << " first_p95_ms=" << percentile(all_first_token_ms(), 0.95)
              << " small_first_p95_ms="
              << percentile(first_token_ms_[false], 0.95)
              << " gap_p95_ms=" << percentile(token_gap_ms_, 0.95)
              << " tokens_per_s=" << on_time_tokens / seconds
              << " peak_tokens_per_s=" << peak_rate()
              << " steady_tokens_per_s=" << steady_rate() << " small_on_time="
              << (small == 0 ? 1.0
                             : static_cast<double>(small_on_time) /
                                   static_cast<double>(small))
              << recovery_text()
              << " after_leave=" << ledger.value("after_leave", 0)
              << " wrong=" << wrong_answers_ << " lost=" << lost_requests_
              << " doubled=" << duplicate_runs_ << " lied=" << false_not_run_
              << "\n";
  }

  /// Highest token rate per second over any three seconds.
  auto peak_rate() const -> double {
    double highest = 0;
    for (std::size_t i = 0; i + peak_window <= tokens_by_bucket_.size(); ++i)
      highest = std::max(highest, mean(i, peak_window));
    return highest * buckets_per_second;
  }

  /// Tokens per second of answers that were complete and on time, from two
  /// seconds after the start to the last arrival.
  auto steady_rate() const -> double {
    const auto from = started_at_ + std::chrono::seconds(2);
    double tokens = 0;
    instant last = from;
    for (const auto& request : requests_) {
      last = std::max(last, request->started);
    }
    for (const auto& request : requests_) {
      const auto good = request->result == verdict::completed &&
                        request->ended <= request->deadline;
      if (good && request->ended >= from && request->ended <= last)
        tokens += static_cast<double>(request->tokens);
    }
    const auto time = std::chrono::duration<double>(last - from).count();
    return time <= 0 ? 0 : tokens / time;
  }

  auto all_first_token_ms() const -> std::vector<double> {
    std::vector<double> all;
    for (const auto& [heavy, delays] : first_token_ms_)
      all.insert(all.end(), delays.begin(), delays.end());
    return all;
  }

  /// For each marked fault, the time until the smoothed token rate is back at
  /// 95% of the mean over the two seconds before the fault.
  auto recovery_text() const -> std::string {
    std::string text;
    for (const auto fault_time : fault_marks_) {
      const auto fault_bucket =
          static_cast<std::size_t>((fault_time - started_at_) / bucket_width);
      text += (text.empty() ? " recovery_ms=" : ",") +
              std::to_string(recovery_ms(fault_bucket, fault_time));
    }
    return text;
  }

  auto recovery_ms(std::size_t fault_bucket, instant fault_time) const
      -> std::int64_t {
    const std::size_t normal_buckets = std::min<std::size_t>(fault_bucket, 20);
    const auto normal_rate =
        mean(fault_bucket - normal_buckets, normal_buckets);
    auto recovered = fault_bucket;
    // Recovery ends after the last bucket of the next five seconds whose rate
    // is too low.
    for (auto i = fault_bucket; i < fault_bucket + 50 &&
                                i + recovery_window < tokens_by_bucket_.size();
         ++i)
      if (mean(i, recovery_window) < recovered_share * normal_rate)
        recovered = i + 1;
    const auto until =
        started_at_ + bucket_width * static_cast<std::int64_t>(recovered);
    return std::max<std::int64_t>(
        0,
        std::chrono::duration_cast<milliseconds>(until - fault_time).count());
  }

  /// Mean number of tokens in a bucket.
  auto mean(std::size_t from, std::size_t count) const -> double {
    if (count == 0) return 0;
    double sum = 0;
    for (auto i = from; i < from + count && i < tokens_by_bucket_.size(); ++i)
      sum += static_cast<double>(tokens_by_bucket_[i]);
    return sum / static_cast<double>(count);
  }

  event_loop& loop_;
  http_client client_;
  const settings& values_;
  fleet layout_;
  random_source random_;
  std::vector<socket_address> entries_;
  std::vector<sent_request_ptr> requests_;
  std::size_t open_requests_ = 0;
  instant started_at_{};
  instant next_heavy_{};
  instant next_other_{};
  timer arrival_timer_;
  timer ledger_timer_;
  std::map<bool, std::vector<double>> first_token_ms_;
  std::vector<double> token_gap_ms_;
  std::vector<std::int64_t> tokens_by_bucket_;
  std::vector<instant> fault_marks_;
  std::size_t failures_ = 0;
  std::size_t wrong_answers_ = 0;
  std::size_t lost_requests_ = 0;
  std::size_t duplicate_runs_ = 0;
  std::size_t false_not_run_ = 0;
};

auto run(int argc, char** argv) -> int {
  auto parsed =
      parse_settings("pollenloft-load [settings]", known_settings, argc, argv);
  if (auto* code = std::get_if<int>(&parsed)) return *code;
  const auto& values = std::get<settings>(parsed);
  if (values.named_addresses("entries").empty()) {
    std::cerr << "setting=entries value=\"\" allowed=\"at least one entry\"\n";
    return 2;
  }
  event_loop loop;
  load_run load(loop, values);
  const auto marker = loop.on_signal(SIGUSR1, [&] { load.mark_fault(); });
  load.start();
  loop.run();
  return load.exit_code();
}

}  // namespace
}  // namespace pollenloft::standin

auto main(int argc, char** argv) -> int {
  return pollenloft::standin::run(argc, argv);
}
