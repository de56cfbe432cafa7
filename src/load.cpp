/// pollenloft-load: open-loop load on the entry VMs with an oracle for every
/// answer. Plays callers behind the balancer: a call whose connection breaks
/// is sent again through another VM, with the same Idempotency-Key. SIGUSR1
/// marks the moment of a fault, from which recovery is timed.
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

constexpr auto bucket = milliseconds(100);
constexpr auto final_grace = std::chrono::seconds(3);
constexpr auto resend_pause = milliseconds(50);
constexpr int most_sends = 8;
constexpr int account_count = 10;
constexpr std::size_t reasons_printed = 10;
constexpr double full_rate = 0.95;       // of the rate before a fault
constexpr std::size_t rate_window = 5;   // buckets smoothed for recovery
constexpr std::size_t peak_window = 30;  // buckets
constexpr double buckets_per_second = 10;

const std::vector<setting> known_settings{
    {"fleet", "kincsnaplo", one_of{{"kincsnaplo", "juuksuriaeg"}},
     "deployment that is played"},
    {"entries", "", address_list{}, "entry VMs behind the balancer"},
    {"admin", "127.0.2.1:9000", one_address{}, "the stand-in's ledger"},
    {"rate", "50", number_in{1, 1000000}, "requests a second"},
    {"requests", "1000", number_in{1, 100000000}, "requests in all"},
    {"tokens", "32", number_in{1, 512}, "mean tokens of an answer"},
    {"steady", "false", one_of{{"true", "false"}},
     "equal gaps and lengths in place of random ones"},
    {"plain-percent", "20", number_in{0, 100}, "share of plain calls"},
    {"stream-percent", "70", number_in{0, 100}, "share of streamed answers"},
    {"heavy-percent", "50", number_in{0, 100},
     "share of the largest client account"},
    {"heavy-entry", "-1", number_in{-1, 1000},
     "VM that gets all of the largest account; -1 spreads it"},
    {"swing-from-ms", "0", number_in{0, 3600000}, "start of the swing"},
    {"swing-to-ms", "0", number_in{0, 3600000}, "end of the swing"},
    {"swing-factor", "1", number_in{1, 100},
     "load of the largest account during the swing, as a multiple"},
    {"resend-percent", "0", number_in{0, 100},
     "share of plain calls sent twice through different VMs"},
    {"retry-refused", "false", one_of{{"true", "false"}},
     "send refused requests again when they were told to come back"},
    {"deadline-ms", "10000", number_in{10, 600000}, "deadline of a request"},
    {"seed", "1", number_in{1, INT64_MAX}, "random seed"},
    {"label", "load", nonempty_text{}, "first word of the result line"}};

enum class verdict { open, completed, not_run, unknown, lost };

struct sent_request {
  std::size_t number = 0;
  bool plain = false;
  bool stream = false;
  bool heavy = false;
  bool wrong = false;
  bool maybe_ran = false;  ///< some send was not answered as not run
  int account = 0;
  int copies_open = 0;  ///< sent through another VM, not yet told "not run"
  int sends = 0;
  std::int64_t tokens = 1;
  std::string prompt;  ///< or the Idempotency-Key of a plain call
  instant started{};
  instant deadline{};
  instant ended{};
  instant first_token{};
  instant last_token{};
  std::size_t entry = 0;
  std::string text;
  std::string pending;
  std::string stream_outcome;
  verdict result = verdict::open;
  timer timeout;
  timer again;
  conversation_ptr call;
};
using sent_request_ptr = std::shared_ptr<sent_request>;

auto to_ms(duration d) -> double {
  return std::chrono::duration<double, std::milli>(d).count();
}

auto percentile(std::vector<double> values, double p) -> double {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto at =
      static_cast<std::size_t>(p * static_cast<double>(values.size() - 1));
  return values[at];
}

class load_run {
 public:
  load_run(event_loop& loop, const settings& given)
      : loop_(loop),
        client_(loop),
        given_(given),
        layout_(*make_fleet(given.text("fleet"))),
        random_(static_cast<std::uint64_t>(given.number("seed"))) {
    for (const auto& [id, address] : given.addresses("entries"))
      entries_.push_back(address);
  }

  auto start() -> void {
    begun_ = boottime_clock::now();
    next_heavy_ = begun_ + pause(true);
    next_small_ = begun_ + pause(false);
    arrive();
  }

  auto mark() -> void { marks_.push_back(boottime_clock::now()); }

  auto exit_code() const -> int {
    return counts_wrong_ + counts_lost_ + counts_doubled_ + counts_lied_ == 0
               ? 0
               : 1;
  }

 private:
  // --- arrivals ------------------------------------------------------------

  auto rate(bool heavy) const -> double {
    const auto share =
        static_cast<double>(given_.number("heavy-percent")) / 100;
    auto value = static_cast<double>(given_.number("rate")) *
                 (heavy ? share : 1 - share);
    const auto at = boottime_clock::now() - begun_;
    const auto swings = heavy && at >= given_.millis("swing-from-ms") &&
                        at < given_.millis("swing-to-ms");
    if (swings) value *= static_cast<double>(given_.number("swing-factor"));
    return value;
  }

  auto pause(bool heavy) -> duration {
    const auto r = rate(heavy);
    if (r <= 0) return std::chrono::hours(24);
    const auto gap =
        given_.flag("steady") ? 1 / r : -std::log(1 - random_.unit()) / r;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(gap));
  }

  auto arrive() -> void {
    const auto now = boottime_clock::now();
    while (!all_sent() && next_heavy_ <= now) {
      launch(true);
      next_heavy_ += pause(true);
    }
    while (!all_sent() && next_small_ <= now) {
      launch(false);
      next_small_ += pause(false);
    }
    if (all_sent()) return;
    arrival_ = loop_.after(std::min(next_heavy_, next_small_) - now,
                           [this] { arrive(); });
  }

  auto all_sent() const -> bool {
    return requests_.size() >=
           static_cast<std::size_t>(given_.number("requests"));
  }

  auto launch(bool heavy) -> void {
    auto made = std::make_shared<sent_request>();
    made->number = requests_.size();
    made->heavy = heavy;
    made->account =
        heavy ? 0 : 1 + static_cast<int>(random_.below(account_count - 1));
    made->plain = chance("plain-percent");
    made->stream = !made->plain && chance("stream-percent");
    const auto mean = static_cast<std::uint64_t>(given_.number("tokens"));
    made->tokens = static_cast<std::int64_t>(
        given_.flag("steady") ? mean : 1 + mean / 2 + random_.below(mean + 1));
    made->prompt = "request-" + given_.text("seed") + "-" +
                   std::to_string(made->number) + " summarise this log";
    made->started = boottime_clock::now();
    made->deadline = made->started + given_.millis("deadline-ms");
    made->entry = choose_entry(heavy);
    requests_.push_back(made);
    ++open_;
    made->timeout =
        loop_.after(given_.millis("deadline-ms") + final_grace, [this, made] {
          if (made->call) made->call->cancel();
          finish(made, verdict::lost);
        });
    send(made);
    if (made->plain && chance("resend-percent")) resend_copy(made);
  }

  auto chance(const std::string& percent) -> bool {
    return static_cast<std::int64_t>(random_.below(100)) <
           given_.number(percent);
  }

  auto choose_entry(bool heavy) -> std::size_t {
    const auto pinned = given_.number("heavy-entry");
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
    call.timeout = left + final_grace;
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
    handlers.on_head = [outcome](int, const http_headers& headers) {
      outcome->first = headers.find("Pollenloft-Outcome").value_or("");
      const auto ms = headers.find("Pollenloft-Retry-After-Ms");
      if (ms) outcome->second = milliseconds(parse_number(*ms).value_or(0));
    };
    if (request->stream)
      handlers.on_data = [this, request](auto bytes) {
        take_stream(*request, bytes);
      };
    handlers.on_done = [this, request, outcome](const auto& result, auto body) {
      take_done(request, result, body, outcome->first, outcome->second);
    };
    request->call = client_.send(make_call(*request), std::move(handlers));
  }

  /// The same keyed call at once through another VM; only the ledger judges.
  auto resend_copy(const sent_request_ptr& request) -> void {
    ++request->copies_open;
    auto not_run = std::make_shared<bool>(false);
    client_.send(make_call(*request_copy(request)),
                 {[not_run](int, const http_headers& headers) {
                    *not_run = headers.find("Pollenloft-Outcome") == "not-run";
                  },
                  {},
                  [request, not_run](const auto& /*result*/, auto) {
                    if (*not_run) --request->copies_open;
                  }});
  }

  auto request_copy(const sent_request_ptr& request)
      -> std::unique_ptr<sent_request> {
    auto copy = std::make_unique<sent_request>();
    copy->plain = true;
    copy->account = request->account;
    copy->prompt = request->prompt;
    copy->deadline = request->deadline;
    copy->entry = (request->entry + 1) % entries_.size();
    return copy;
  }

  auto take_stream(sent_request& request, std::string_view bytes) -> void {
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
        take_piece(request, event["choices"][0].value("text", ""));
    }
  }

  auto take_piece(sent_request& request, const std::string& piece) -> void {
    if (piece.empty()) return;
    const auto now = boottime_clock::now();
    if (request.first_token == instant{}) {
      request.first_token = now;
      first_tokens_[request.heavy].push_back(to_ms(now - request.started));
    } else {
      gaps_.push_back(to_ms(now - request.last_token));
    }
    request.last_token = now;
    request.text += piece;
    count_tokens(now, 1);
  }

  auto count_tokens(instant now, std::int64_t tokens) -> void {
    const auto index = static_cast<std::size_t>((now - begun_) / bucket);
    if (buckets_.size() <= index) buckets_.resize(index + 1);
    buckets_[index] += tokens;
  }

  auto take_done(const sent_request_ptr& request, const call_result& result,
                 std::string_view body, std::string outcome,
                 milliseconds retry_after) -> void {
    if (request->result != verdict::open) return;
    const auto* answered = std::get_if<call_answered>(&result);
    if (request->stream && outcome.empty()) outcome = request->stream_outcome;
    if (answered == nullptr || outcome.empty())
      return send_again(request, std::holds_alternative<call_unsent>(result),
                        resend_pause);
    if (outcome == "not-run") {
      if (given_.flag("retry-refused") && answered->status == 503 &&
          boottime_clock::now() + retry_after < request->deadline)
        return send_again(request, true, retry_after);
      note_reason(*request, answered->status, body);
      return finish(request, verdict::not_run);
    }
    request->maybe_ran = true;
    if (outcome != "completed") {
      note_reason(*request, answered->status, body);
      return finish(request, verdict::unknown);
    }
    check_answer(*request, body);
    finish(request, verdict::completed);
  }

  /// Prints why the first few requests were given up.
  auto note_reason(const sent_request& request, int status,
                   std::string_view body) -> void {
    if (++reasons_ > reasons_printed) return;
    std::cerr << "given up number=" << request.number << " status=" << status
              << " answer=" << body << "\n";
  }

  auto send_again(const sent_request_ptr& request, bool not_run,
                  milliseconds delay) -> void {
    if (!not_run) request->maybe_ran = true;
    const auto again = boottime_clock::now() + delay;
    if (request->sends >= most_sends || again >= request->deadline)
      return finish(request, not_run ? verdict::not_run : verdict::lost);
    request->entry = (request->entry + 1) % entries_.size();
    request->again = loop_.after(delay, [this, request] {
      if (request->result == verdict::open) send(request);
    });
  }

  auto check_answer(sent_request& request, std::string_view body) -> void {
    if (request.plain) {
      const auto answer = json::parse(body, nullptr, false);
      request.wrong =
          !answer.is_object() || answer.value("done", "") != request.prompt;
    } else {
      if (!request.stream) {
        const auto answer = json::parse(body, nullptr, false);
        if (answer.is_object() && answer.contains("choices"))
          request.text = answer["choices"][0].value("text", "");
        count_tokens(boottime_clock::now(), request.tokens);
      }
      request.wrong =
          request.text !=
          expected_answer(request.prompt, request.tokens, layout_.layers);
    }
    if (request.wrong)
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
    if (--open_ == 0 && all_sent())
      settle_ = loop_.after(milliseconds(300), [this] { fetch_ledger(); });
  }

  // --- judgement -----------------------------------------------------------

  auto fetch_ledger() -> void {
    http_call call{given_.address("admin"), "GET", "/ledger"};
    client_.send(call, {{}, {}, [this](const auto& /*result*/, auto body) {
                          judge(json::parse(body, nullptr, false));
                          loop_.stop();
                        }});
  }

  auto judge(const json& ledger) -> void {
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
      counts_lost_ += request->result == verdict::lost ? 1 : 0;
      counts_wrong_ += request->wrong ? 1 : 0;
      const auto on_time = request->ended <= request->deadline;
      late += on_time ? 0 : 1;
      const auto good = request->result == verdict::completed && on_time;
      if (good && !request->plain)
        on_time_tokens += static_cast<double>(request->tokens);
      small += request->heavy ? 0 : 1;
      small_on_time += !request->heavy && good ? 1 : 0;
      if (request->plain && runs(*request) > 1) ++counts_doubled_;
      // A copy that may have run makes no lie of what this send was told.
      if (request->result == verdict::not_run && !request->maybe_ran &&
          request->copies_open == 0 && request->plain && runs(*request) > 0)
        ++counts_lied_;
    }
    const auto seconds =
        std::chrono::duration<double>(boottime_clock::now() - begun_).count();
    std::cout << given_.text("label") << " requests=" << requests_.size()
              << " served=" << served << " not_run=" << not_run
              << " unknown=" << unknown << " late=" << late
              << " first_p50_ms=" << percentile(first_all(), 0.5)
              << " first_p95_ms=" << percentile(first_all(), 0.95)
              << " small_first_p95_ms="
              << percentile(first_tokens_[false], 0.95)
              << " gap_p95_ms=" << percentile(gaps_, 0.95)
              << " tokens_per_s=" << on_time_tokens / seconds
              << " peak_tokens_per_s=" << best_rate()
              << " steady_tokens_per_s=" << steady_rate() << " small_on_time="
              << (small == 0 ? 1.0
                             : static_cast<double>(small_on_time) /
                                   static_cast<double>(small))
              << recovery_text()
              << " after_leave=" << ledger.value("after_leave", 0)
              << " wrong=" << counts_wrong_ << " lost=" << counts_lost_
              << " doubled=" << counts_doubled_ << " lied=" << counts_lied_
              << "\n";
  }

  /// Highest token rate over three seconds.
  auto best_rate() const -> double {
    double best = 0;
    for (std::size_t i = 0; i + peak_window <= buckets_.size(); ++i)
      best = std::max(best, mean(i, peak_window));
    return best * buckets_per_second;
  }

  /// Rate of tokens of answers that were whole and on time, from two seconds
  /// after the start to the last arrival.
  auto steady_rate() const -> double {
    const auto from = begun_ + std::chrono::seconds(2);
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

  auto first_all() const -> std::vector<double> {
    std::vector<double> all;
    for (const auto& [heavy, values] : first_tokens_)
      all.insert(all.end(), values.begin(), values.end());
    return all;
  }

  /// For each mark, the time until the smoothed token rate is back at 95% of
  /// the mean over the two seconds before it; -1 if it never was.
  auto recovery_text() const -> std::string {
    std::string text;
    for (const auto mark : marks_) {
      const auto at = static_cast<std::size_t>((mark - begun_) / bucket);
      text += (text.empty() ? " recovery_ms=" : ",") +
              std::to_string(recovery_after(at, mark));
    }
    return text;
  }

  auto recovery_after(std::size_t at, instant mark) const -> std::int64_t {
    const std::size_t before = std::min<std::size_t>(at, 20);
    const auto full = mean(at - before, before);
    auto back = at;
    // The last moment within five seconds at which the rate was too low.
    for (auto i = at; i < at + 50 && i + rate_window < buckets_.size(); ++i)
      if (mean(i, rate_window) < full_rate * full) back = i + 1;
    const auto until = begun_ + bucket * static_cast<std::int64_t>(back);
    return std::max<std::int64_t>(
        0, std::chrono::duration_cast<milliseconds>(until - mark).count());
  }

  auto mean(std::size_t from, std::size_t count) const -> double {
    if (count == 0) return 0;
    double sum = 0;
    for (auto i = from; i < from + count && i < buckets_.size(); ++i)
      sum += static_cast<double>(buckets_[i]);
    return sum / static_cast<double>(count);
  }

  event_loop& loop_;
  http_client client_;
  const settings& given_;
  fleet layout_;
  random_source random_;
  std::vector<socket_address> entries_;
  std::vector<sent_request_ptr> requests_;
  std::size_t open_ = 0;
  instant begun_{};
  instant next_heavy_{};
  instant next_small_{};
  timer arrival_;
  timer settle_;
  std::map<bool, std::vector<double>> first_tokens_;
  std::vector<double> gaps_;
  std::vector<std::int64_t> buckets_;
  std::vector<instant> marks_;
  std::size_t reasons_ = 0;
  std::size_t counts_wrong_ = 0;
  std::size_t counts_lost_ = 0;
  std::size_t counts_doubled_ = 0;
  std::size_t counts_lied_ = 0;
};

auto run(int argc, char** argv) -> int {
  auto parsed =
      parse_settings("pollenloft-load [settings]", known_settings, argc, argv);
  if (auto* code = std::get_if<int>(&parsed)) return *code;
  const auto& given = std::get<settings>(parsed);
  if (given.addresses("entries").empty()) {
    std::cerr << "setting=entries value=\"\" allowed=\"at least one entry\"\n";
    return 2;
  }
  event_loop loop;
  load_run load(loop, given);
  const auto marker = loop.on_signal(SIGUSR1, [&] { load.mark(); });
  load.start();
  loop.run();
  return load.exit_code();
}

}  // namespace
}  // namespace pollenloft::standin

auto main(int argc, char** argv) -> int {
  return pollenloft::standin::run(argc, argv);
}
