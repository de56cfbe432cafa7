// Queues of the front: admission, dispatch and refusals.
#include "front_server.hpp"

namespace pollenloft {

namespace {

/// Largest share of its latency objective that a request waits for a free slot.
/// After that, a caller that retries later is served better.
constexpr double max_wait_share = 0.5;
constexpr auto min_wait_limit = milliseconds(100);
/// Share of the links between zones that requests may use. Above it, transfers
/// queue behind each other.
constexpr double link_share = 0.5;
constexpr auto default_retry_after = milliseconds(1000);

auto wait_limit(const ingress_route& route) -> duration {
  const auto share = std::chrono::duration_cast<duration>(
      max_wait_share * route.latency_objective);
  return std::max<duration>(min_wait_limit, share);
}

}  // namespace

auto front_server::enqueue(const front_request_ptr& request, bool requeued)
    -> void {
  const auto& params = request->parameters();
  auto& queue = queues_.queue_for(params.service);
  const queued_request queued{params.id,
                              params.account,
                              1,
                              params.priority,
                              request->cost(),
                              params.accepted + wait_limit(*params.route)};
  if (requeued) {
    queue.requeue(queued);
    return dispatch_task_.schedule();
  }
  const auto admission = queue.offer(queued, boottime_clock::now());
  if (const auto* refusal = std::get_if<refused>(&admission))
    return request->refuse(503, refusal->reason, refusal->retry_after);
  if (const auto evicted = std::get<admitted>(admission).evicted)
    requests_.at(*evicted)->refuse(503, "the queue is full",
                                   default_retry_after);
  dispatch_queue(queue, boottime_clock::now());
  refuse_held_up(request, boottime_clock::now());
}

/// Refuses at once what would only wait until it is overdue.
auto front_server::refuse_held_up(const front_request_ptr& request, instant now)
    -> bool {
  const auto wait =
      find_hold_up(*request, wait_limit(*request->parameters().route), now);
  if (!wait) return false;
  dequeue(request);
  log_shortage(*request, now);
  if (wait->paused)
    request->refuse(503, endpoints_pause,
                    retry_after_pause(wait->time, random_.unit()));
  else
    request->refuse(503, "the endpoints take no more requests now",
                    std::max(default_retry_after,
                             std::chrono::ceil<milliseconds>(wait->time)));
  return true;
}

auto front_server::dequeue(const front_request_ptr& request) -> void {
  const auto& params = request->parameters();
  queues_.queue_for(params.service).remove(params.id, false);
}

auto front_server::slot_released(const front_request_ptr& request, double cost)
    -> void {
  if (cost > 0)
    queues_.queue_for(request->parameters().service)
        .record_completion(cost, boottime_clock::now());
  dispatch_task_.schedule();
}

auto front_server::request_ended(const front_request_ptr& request) -> void {
  requests_.erase(request->parameters().id);
}

auto front_server::dispatch_queued() -> void {
  const auto now = boottime_clock::now();
  for (auto& [service, queue] : queues_)
    dispatch_queue(queue, now);
}

/// All VMs share the links between zones for their activations.
auto front_server::update_cross_zone_rate() -> void {
  if (!route_table_) return;
  double mbps = 0;
  for (const auto& [name, service] : route_table_->config().services)
    if (service.engine) mbps = std::max(mbps, service.engine->zone_link_mbps);
  constexpr double bits_per_byte = 8;
  router_.set_cross_zone_rate(link_share * mbps / bits_per_byte /
                              static_cast<double>(control_.vm_count()));
}

auto front_server::still_authorized(const front_request& request) const
    -> bool {
  const auto& params = request.parameters();
  if (params.account.empty()) return true;
  return document_fresh() &&
         route_table_->account_of(params.headers.api_key) != nullptr;
}

auto front_server::dispatch_queue(fair_queue& queue, instant now) -> void {
  while (const auto id = queue.peek()) {
    const auto request = requests_.at(*id);
    if (!still_authorized(*request)) {
      queue.remove(*id, false);
      request->refuse(503, "the key may have been taken away",
                      default_retry_after);
      continue;
    }
    if (request->stop_if_poison()) {
      queue.remove(*id, false);
      continue;
    }
    if (reach_.cut_off() && request->parameters().relayed &&
        request->no_earlier_run()) {
      queue.remove(*id, false);
      request->refuse(503, "this VM reaches no endpoint", default_retry_after);
      continue;
    }
    if (!request->parameters().relayed)
      if (auto peer = relay_.choose()) {
        queue.remove(*id, true);
        request->dispatch_relayed(std::move(*peer));
        continue;
      }
    auto criteria = request->make_chain_request();
    auto stages = router_.choose_with_fallback(criteria, now);
    if (!stages && criteria.poison_suspect) {
      criteria.poison_suspect = false;
      stages = router_.choose_with_fallback(criteria, now);
    }
    if (!stages && refuse_held_up(request, now)) continue;
    if (!stages) return;
    queue.remove(*id, true);
    request->dispatch(std::move(*stages));
  }
}

auto front_server::log_shortage(const front_request& request, instant now) const
    -> void {
  const auto wanted = request.make_chain_request();
  for (const auto& [zone, shortage] : router_.shortages(wanted, now))
    log_event(log_level::info, "chain.unavailable",
              {{"id", request.parameters().headers.request_id},
               {"service", wanted.pipeline},
               {"zone", zone},
               {"layer", shortage.layer},
               {"layer_count", wanted.layers},
               {"holders", shortage.holders},
               {"ejected", shortage.ejected},
               {"backing_off", shortage.backing_off},
               {"kv_full", shortage.kv_full},
               {"no_free_slot", shortage.no_free_slot},
               {"no_permit", shortage.no_permit},
               {"paused", shortage.paused},
               {"leaving", shortage.leaving},
               {"avoided", shortage.avoided}});
}

auto front_server::refuse_overdue(instant now) -> void {
  std::vector<front_request_ptr> overdue;
  for (const auto& [id, request] : requests_) {
    const auto& params = request->parameters();
    if (request->queued() && request->no_earlier_run() &&
        now - params.accepted > wait_limit(*params.route))
      overdue.push_back(request);
  }
  for (const auto& request : overdue) {
    dequeue(request);
    log_shortage(*request, now);
    request->refuse(503, "no endpoint is free", default_retry_after);
  }
}

}  // namespace pollenloft
