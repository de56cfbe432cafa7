#include <cmath>
#include <deque>

#include "pollenloft/limit.hpp"
#include "property.hpp"

namespace pollenloft::test {
namespace {

constexpr auto tick = milliseconds(20);
constexpr auto queue_time = milliseconds(250);
constexpr auto response_time = milliseconds(40);
/// From this time after the first response with a limit, the limit counts.
constexpr auto settle_time = std::chrono::seconds(3);
constexpr auto window = std::chrono::seconds(4);

/// The bound of the platform for one window.
auto most_allowed(double limit) -> double {
  return 1.5 * 4 * limit + 5;
}

struct load {
  std::size_t vms = 9;
  double limit = 5;
  double demand = 3;  ///< requests per second, in multiples of the limit
  bool uneven = true;
  double vms_replaced_per_s = 0;
  /// Time without a leader; another one leads afterwards.
  instant leader_lost{};
  duration leader_away{};
  std::uint64_t seed = 1;
};

/// Entry VMs, a leader and one endpoint that is the only one of its service.
class cluster {
 public:
  explicit cluster(const load& offered)
      : load_(offered), random_(offered.seed) {
    double total = 0;
    for (std::size_t i = 0; i < load_.vms; ++i) {
      vms_.push_back(make_vm());
      const auto weight = load_.uneven ? 1 / static_cast<double>(i + 1) : 1.0;
      weights_.push_back(weight);
      total += weight;
    }
    for (auto& weight : weights_)
      weight /= total;
  }

  auto run(duration length) -> void {
    for (; now_ < instant{} + length; now_ += tick) {
      replace_vms();
      for (std::size_t i = 0; i < vms_.size(); ++i)
        step(*vms_[i], i);
    }
  }

  auto most_in_a_window() const -> double {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < sent_.size(); ++i) {
      if (sent_[i] < instant{} + settle_time) continue;
      while (sent_[first] <
             std::max(instant{} + settle_time, sent_[i] - window))
        ++first;
      most = std::max(most, i - first + 1);
    }
    return static_cast<double>(most);
  }
  /// Requests per second, from the end of the settling time.
  auto used_per_second() const -> double {
    const auto from = instant{} + settle_time;
    const auto count = std::count_if(sent_.begin(), sent_.end(),
                                     [&](auto at) { return at >= from; });
    return static_cast<double>(count) /
           std::chrono::duration<double>(now_ - from).count();
  }

 private:
  struct vm {
    std::string name;
    request_limiter limiter;
    std::deque<instant> queued;
    std::deque<limit_statement> responses;
    std::vector<permit_grant> grants;  // on the way
    std::optional<instant> called;
    bool called_leader = false;
  };

  auto make_vm() -> std::unique_ptr<vm> {
    auto added = std::make_unique<vm>();
    added->name = std::to_string(++created_);
    added->limiter = request_limiter(random_.next());
    added->limiter.set_vm_count(load_.vms);
    return added;
  }

  auto leader_available() const -> bool {
    return now_ < load_.leader_lost ||
           now_ >= load_.leader_lost + load_.leader_away;
  }

  auto replace_vms() -> void {
    const auto per_tick =
        load_.vms_replaced_per_s * std::chrono::duration<double>(tick).count();
    if (random_.unit() < per_tick) vms_[random_.below(vms_.size())] = make_vm();
    if (load_.leader_away > duration::zero() && now_ >= load_.leader_lost &&
        !leader_changed_) {
      leader_changed_ = true;
      issuer_.clear();
    }
  }

  auto arrivals(double expected) -> int {
    // Poisson, by products of uniform numbers.
    auto count = 0;
    for (auto product = random_.unit(); product > std::exp(-expected);
         product *= random_.unit())
      ++count;
    return count;
  }

  auto step(vm& self, std::size_t index) -> void {
    const auto seconds = std::chrono::duration<double>(tick).count();
    const auto rate = load_.demand * load_.limit * weights_[index];
    for (auto i = arrivals(rate * seconds); i > 0; --i)
      self.queued.push_back(now_);
    take_responses(self);
    if (const auto* known = issuer_.limits().find("e"))
      self.limiter.announce("e", known->incarnation, known->per_second);
    take_grants(self);
    send_requests(self);
    call_leader(self);
  }

  auto take_responses(vm& self) -> void {
    while (!self.responses.empty() && self.responses.front().answered <= now_) {
      self.limiter.observe(self.responses.front());
      self.responses.pop_front();
    }
  }

  auto take_grants(vm& self) -> void {
    if (!self.called) return;
    const auto sent = *self.called;
    if (self.called_leader)
      self.limiter.apply(self.grants, sent, now_);
    else if (now_ - sent >= milliseconds(500))
      self.limiter.on_failure(now_);
    else
      return;
    self.called.reset();
  }

  auto send_requests(vm& self) -> void {
    while (!self.queued.empty() && now_ - self.queued.front() > queue_time)
      self.queued.pop_front();
    while (!self.queued.empty() && self.limiter.admits("e", "1", now_)) {
      self.limiter.take("e");
      self.queued.pop_front();
      sent_.push_back(now_);
      self.responses.push_back(
          {"e", "1", load_.limit, now_, now_ + response_time});
    }
  }

  auto call_leader(vm& self) -> void {
    if (self.called) return;
    const auto wants = self.limiter.next_wants(now_);
    if (wants.empty()) return;
    self.called = now_;
    self.called_leader = leader_available();
    self.grants.clear();
    if (!self.called_leader) return;
    for (const auto& want : wants)
      self.grants.push_back(issuer_.handle(self.name, want, now_));
  }

  load load_;
  random_source random_;
  instant now_{};
  std::vector<std::unique_ptr<vm>> vms_;
  std::vector<double> weights_;
  permit_issuer issuer_;
  std::vector<instant> sent_;
  std::uint64_t created_ = 0;
  bool leader_changed_ = false;
};

/// Runs long enough for several requests at the limit.
auto run_length(double limit) -> duration {
  return settle_time + std::chrono::seconds(limit < 1 ? 120 : 30);
}

}  // namespace

class limit_share_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(limit_share_test);
  CPPUNIT_TEST(vms_together_exceed_a_limit);
  CPPUNIT_TEST(limit_is_not_used);
  CPPUNIT_TEST(new_vms_exceed_a_limit);
  CPPUNIT_TEST(change_of_leader_exceeds_a_limit);
  CPPUNIT_TEST(vms_without_a_leader_exceed_a_limit);
  CPPUNIT_TEST(vms_without_a_leader_leave_a_limit_unused);
  CPPUNIT_TEST_SUITE_END();

  template <class Check>
  static auto for_all_sizes(Check check) -> void {
    for (const std::size_t vms : {9, 79, 380})
      for (const auto limit : {0.2, 1.0, 5.1, 50.0, 500.0})
        for (const auto uneven : {false, true})
          check(load{vms, limit, 3, uneven});
  }

  static auto describe(const load& offered, double figure) -> std::string {
    return "vms=" + std::to_string(offered.vms) +
           " limit=" + std::to_string(offered.limit) +
           " uneven=" + std::to_string(offered.uneven) +
           " figure=" + std::to_string(figure);
  }

  static auto assert_bound(const load& offered) -> void {
    cluster simulated(offered);
    simulated.run(run_length(offered.limit));
    const auto most = simulated.most_in_a_window();
    CPPUNIT_ASSERT_MESSAGE(describe(offered, most),
                           most <= most_allowed(offered.limit));
  }

 public:
  auto vms_together_exceed_a_limit() -> void { for_all_sizes(assert_bound); }

  auto limit_is_not_used() -> void {
    for_all_sizes([](const load& offered) {
      cluster simulated(offered);
      simulated.run(run_length(offered.limit));
      const auto used = simulated.used_per_second();
      CPPUNIT_ASSERT_MESSAGE(describe(offered, used),
                             used >= 0.7 * offered.limit);
    });
  }

  auto new_vms_exceed_a_limit() -> void {
    for_all_sizes([](load offered) {
      offered.vms_replaced_per_s = static_cast<double>(offered.vms) / 10;
      assert_bound(offered);
    });
  }

  auto change_of_leader_exceeds_a_limit() -> void {
    for_all_sizes([](load offered) {
      offered.leader_lost = instant{} + std::chrono::seconds(8);
      offered.leader_away = milliseconds(600);
      assert_bound(offered);
    });
  }

  auto vms_without_a_leader_exceed_a_limit() -> void {
    for_all_sizes([](load offered) {
      offered.leader_lost = instant{} + std::chrono::seconds(8);
      offered.leader_away = std::chrono::seconds(200);
      assert_bound(offered);
    });
  }

  auto vms_without_a_leader_leave_a_limit_unused() -> void {
    for (const std::size_t vms : {9, 79, 380}) {
      load offered{vms, 50, 10, false};
      offered.leader_lost = instant{} + std::chrono::seconds(3);
      offered.leader_away = std::chrono::seconds(200);
      cluster simulated(offered);
      simulated.run(run_length(offered.limit));
      const auto used = simulated.used_per_second();
      CPPUNIT_ASSERT_MESSAGE(describe(offered, used), used >= 0.5 * 50);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(limit_share_test);

}  // namespace pollenloft::test
