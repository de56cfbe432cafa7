/// \file standin_engine.hpp
/// Simulated model engines and plain services, many in one process.
#ifndef POLLENLOFT_STANDIN_ENGINE_HPP
#define POLLENLOFT_STANDIN_ENGINE_HPP

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "pollenloft/net.hpp"
#include "standin_model.hpp"

namespace pollenloft::standin {

class engine;

/// Requests with this text crash the engine that runs them.
constexpr auto crash_marker = "[crash]";

/// Replies with a JSON body; `may_have_run` is false for a refusal.
auto reply_json(const exchange_ptr& call, int status,
                const nlohmann::json& body, bool may_have_run) -> void;

/// One stage of a sequence's chain: layers [from, to) on one engine.
struct stage {
  engine* runner = nullptr;  ///< null if the endpoint is unknown
  std::int64_t incarnation = 0;
  std::int32_t from = 0;
  std::int32_t to = 0;
};

/// One generation request in flight on a chain of engines.
struct sequence {
  std::string attempt_id;  ///< `REQUEST/ATTEMPT`, sent in each event
  std::string prompt;
  std::uint64_t prompt_hash = 0;
  std::uint64_t previous_digest = 0;  ///< of the token before it
  std::uint64_t digest = 0;           ///< of the token being computed
  std::int64_t next_token = 0;        ///< index of that token
  std::int64_t max_tokens = 0;        ///< generation ends at this index
  std::int64_t prefill_tokens = 0;    ///< of the current step, 0 in decode
  std::int32_t priority = 1;
  std::vector<stage> stages;
  exchange_ptr call;
  bool finished = false;
};
using sequence_ptr = std::shared_ptr<sequence>;

/// Counts of what the simulation ran; the checks compare them with the answers
/// that callers got.
struct run_ledger {
  std::map<std::string, int> plain_runs;  ///< by Idempotency-Key, else by body
  std::map<std::string, int> model_runs;  ///< sequences started, by prompt
  std::map<std::string, int> arrivals;    ///< requests, by endpoint
  std::uint64_t tokens = 0;               ///< generated, all sequences
  std::uint64_t after_leave = 0;  ///< sequences started more than 2 s after the
                                  ///< engine announced that it leaves
};

/// What the engines of one simulation share.
struct engine_context {
  event_loop& loop;
  http_client& client;
  std::vector<socket_address> entries;
  const fleet& layout;
  run_ledger& ledger;
  random_source random;
  std::map<std::string, engine*> engines;
};

/// A model engine (one runner) or a plain service endpoint.
class engine {
 public:
  engine(engine_context& context, runner_spec spec, socket_address address);
  engine(engine_context& context, const plain_endpoint_spec& spec,
         socket_address address);

  /// Listens and announces the endpoint; empty on failure, see `last_error`.
  auto start() -> std::optional<bool>;
  /// Injects a fault: `crash`, `restart`, `freeze`, `thaw`, `leave`, `slow`
  /// (steps take `factor` times as long), `late` (answers are delayed by
  /// `factor` ms), `cross` (events of different streams are swapped; 0 turns it
  /// off), `limit` (answers name a limit of `factor` requests per second; a
  /// negative one turns it off), `say-leaving` (answers say that it leaves),
  /// `pause` (refuses requests for `factor` seconds and asks for a pause of the
  /// rest of that time). False if the fault is unknown.
  auto inject_fault(const std::string& fault, double factor) -> bool;
  auto id() const -> const std::string& { return spec_.id; }

  /// Queues the current token of a sequence for the given stage.
  auto enqueue(const sequence_ptr& work, std::size_t stage) -> void;

 private:
  struct batch_item {
    sequence_ptr work;
    std::size_t stage = 0;
  };

  auto handle_request(const exchange_ptr& call) -> void;
  /// Adds what the engine states of itself to the head of a response.
  auto add_notices(http_headers& headers, bool on_front) const -> void;
  auto pauses() const -> bool { return boottime_clock::now() < paused_until_; }
  auto refuse_paused(const exchange_ptr& call, bool on_front) const -> void;
  auto handle_generate(const exchange_ptr& call) -> void;
  auto handle_plain(const exchange_ptr& call) -> void;
  /// Endpoint id and reason if a stage cannot run the sequence.
  auto find_refusal(const sequence& work) const
      -> std::optional<std::pair<std::string, std::string>>;
  auto start_step() -> void;
  auto finish_step(const std::vector<batch_item>& batch) -> void;
  auto layer_time(std::size_t batch_size) const -> duration;
  auto forward(const sequence_ptr& work, std::size_t stage) -> void;
  auto emit_token(const sequence_ptr& work) -> void;
  auto send_event(const sequence_ptr& work, const std::string& event) -> void;
  auto start_token(const sequence_ptr& work) -> void;
  auto finish_sequence(const sequence_ptr& work) -> void;
  /// The last event of a stream as JSON, with the load of each stage.
  auto end_event(const sequence& work) const -> std::string;
  auto crash() -> void;
  auto restart() -> void;
  auto announce() -> void;
  auto heartbeat() -> void;
  /// Id, incarnation and session, as the entry VM expects them.
  auto identity_json() const -> std::string;

  engine_context& context_;
  runner_spec spec_;
  bool plain_ = false;
  milliseconds latency_{0};
  socket_address address_;
  std::unique_ptr<http_server> server_;
  std::int64_t incarnation_ = 0;
  std::int64_t session_ = 0;
  std::optional<socket_address> owner_;
  timer heartbeat_timer_;
  timer step_timer_;
  bool step_in_progress_ = false;
  bool running_ = false;
  bool frozen_ = false;
  instant leave_announced_at_{};
  double slowdown_ = 1;
  milliseconds response_delay_{0};
  bool swap_events_ = false;
  double request_limit_ = -1;  // named in answers if it is not negative
  bool says_leaving_ = false;
  instant paused_until_{};
  std::string deferred_event_;  // waits to be swapped with another stream
  sequence_ptr deferred_sequence_;
  std::deque<batch_item> queue_;
  std::set<sequence_ptr> active_;
  std::vector<timer> plain_timers_;
  int plain_running_ = 0;
};

}  // namespace pollenloft::standin

#endif
