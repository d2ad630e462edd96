/// A simulation of a fleet of routers in virtual time, with one server that starts. Each router decides
/// independently; the simulation counts the attempts of all routers at the starting server.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "streampick/router.h"

namespace streampick::test {

inline constexpr Time kWorldMillisecond = 1'000;
inline constexpr Time kWorldSecond = 1'000'000;

/// Slow start settings: the initial share of the capacity, the overload factor, the time until full capacity,
/// and the length of the windows in which load is counted.
inline constexpr double kInitialShare = 0.2;
inline constexpr double kOverloadFactor = 3;
inline constexpr Time kSlowStartDuration = 10 * kWorldSecond;
inline constexpr Time kLoadWindow = kWorldSecond;

/// Maximum number of attempts in one window: the budget, which is the overload factor times the capacity,
/// plus an allowance for chance.
inline double strict_slow_start_bound(double budget) { return budget + 2 * std::sqrt(budget) + 2; }

/// Budgets below this many attempts get a wider allowance in slow_start_bound().
inline constexpr double kSmallBudget = 30;
inline double slow_start_bound(double budget) {
  if (budget < kSmallBudget) return budget + 3 * std::sqrt(budget) + 3;
  return strict_slow_start_bound(budget);
}

/// The circumstances of the server's start.
enum class StartKind : std::uint8_t {
  replaced,   ///< it was healthy until it was replaced under the same id
  crashed,    ///< connections to it failed before the start, so that routers have ejected it
  unhealthy,  ///< its first answers are errors, so that routers eject it during slow start
  flapping,   ///< it restarts several times
};

/// One simulated scenario. The defaults cause no failures.
struct SlowStartScenario {
  std::size_t routers = 30;
  ServerId servers = 60;
  double capacity = 15;                      ///< requests per second of a warm server
  double load = 0.45;                        ///< request rate, as a share of the capacity of all servers
  double overload_factor = kOverloadFactor;  ///< 0: no limit in the settings
  double hot_share = 0;     ///< share of all requests for one key, which is placed on the starting server
  Time hot_after = 0;       ///< time from the start until requests for the hot key begin
  double failed_share = 0;  ///< share of attempts that fail and are retried
  std::vector<Outcome> failures = {Outcome::reset, Outcome::error, Outcome::overloaded};  ///< their outcomes
  bool fills = false;            ///< look-aside fleet with an origin; the starting cache is empty
  bool uneven = false;           ///< one router in ten gets five times the traffic of each other one
  bool routers_restart = false;  ///< all routers restart together with the server
  StartKind start = StartKind::replaced;
  double burst = 1;           ///< factor on the request rate from two seconds after the start on
  Time max_notice_delay = 0;  ///< each router is notified of the start after a random delay up to this
  std::uint64_t seed = 1;
};

/// Runs one scenario and counts the attempts at the starting server.
class SlowStartSimulation {
 public:
  explicit SlowStartSimulation(const SlowStartScenario& scenario)
      : scenario_(scenario), random_(scenario.seed) {
    for (ServerId id = 0; id < scenario_.servers; ++id) members_.push_back(cache_member(id));
    if (scenario_.fills) members_.push_back(origin_member());
    hot_key_ = find_key_of_starting_server();
    start_routers();
  }

  /// Runs the simulation to its end. Returns the number of attempts at the starting server.
  std::size_t run() {
    plan_starts();
    const double per_second = scenario_.capacity * scenario_.load * scenario_.servers;
    for (Time next = kBegin; next < kEnd;) {
      run_until(next);
      on_arrival();
      const bool burst = next >= kRestart + kBurstAfter;
      std::exponential_distribution<double> gap(per_second * (burst ? scenario_.burst : 1) / kWorldSecond);
      next += 1 + static_cast<Time>(gap(random_));
    }
    return arrivals_.size();
  }

  /// The excess of one window over its bound, the bound, and the number of attempts.
  struct Window {
    double over = std::numeric_limits<double>::lowest();
    double bound = 0;
    std::size_t attempts = 0;
  };

  /// The window with the greatest excess. Ignores windows in which a third or more of the attempts came from
  /// routers that had not been notified of the start.
  Window worst_window(double (*bound_of)(double) = slow_start_bound) const {
    Window worst;
    for (std::size_t first = 0; first < arrivals_.size(); ++first) {
      const Window window = window_from(first, bound_of);
      if (window.over > worst.over) worst = window;
    }
    return worst;
  }

 private:
  static constexpr Time kBegin = 1'000'000 * kWorldSecond;
  static constexpr Time kRestart = kBegin + 3 * kWorldSecond;
  static constexpr Time kEnd = kRestart + kSlowStartDuration;
  static constexpr Time kBurstAfter = 2 * kWorldSecond;
  static constexpr Time kCrashDuration = 1'500 * kWorldMillisecond;
  static constexpr Time kUnhealthyDuration = 2 * kWorldSecond;
  static constexpr Time kFlapInterval = 2'500 * kWorldMillisecond;
  static constexpr int kFlaps = 3;
  static constexpr Time kRequestTimeout = 4 * kWorldSecond;
  static constexpr Time kOriginLatency = 300 * kWorldMillisecond;
  static constexpr std::uint64_t kKeys = 2'000;
  static constexpr std::uint64_t kMissPercent = 9;
  static constexpr ServerId kStarting = 0;
  static constexpr std::uint32_t kOriginKind = 9;

  struct Host final : ActionSink {
    Host(SlowStartSimulation& owner, std::size_t index) : simulation(owner), number(index) {}
    void send(RequestId request, ServerId server, Time) override {
      simulation.on_send(*this, request, server);
    }
    void cancel(RequestId request, std::uint32_t attempt) override {
      simulation.finish_at(simulation.now_, *this, request, attempt, kNone, Outcome::cancelled);
    }
    void reject(RequestId request, Time) override { attempts.erase(request); }
    void fail(RequestId request) override { attempts.erase(request); }
    void poll_discovery() override {}
    SlowStartSimulation& simulation;
    std::size_t number;
    Time notified_start = 0;  // the last start of which this router was notified
    Time wakes_at = kNever;
    std::unique_ptr<Router> router;
    std::map<RequestId, std::uint32_t> attempts;  // number of attempts of each open request
    std::set<std::pair<RequestId, std::uint32_t>> in_flight;
  };
  struct OpenRequest {
    std::uint64_t key = 0;
    std::vector<ServerId> missed;
  };
  struct Result {
    Time at;
    std::uint64_t order;
    std::size_t router;
    std::uint64_t incarnation;
    RequestId request;
    std::uint32_t attempt;
    ServerId server;
    Outcome outcome;
    bool operator>(const Result& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct Arrival {
    Time at, started;
    bool notified;  // its router had been notified of this start
  };
  struct Notice {
    Time at;
    std::size_t router;
    Time started;
    bool operator>(const Notice& other) const {
      return std::tie(at, router) > std::tie(other.at, other.router);
    }
  };

  Member cache_member(ServerId id) {
    Member member;
    member.id = id;
    member.identity = random_();
    member.zone = id % 3;
    member.kind = id % 2;
    member.cell = id / 4;
    return member;
  }
  Member origin_member() {
    Member member = cache_member(scenario_.servers);
    member.kind = kOriginKind;
    return member;
  }

  Config config() const {
    Config out;
    out.routers = static_cast<std::uint32_t>(scenario_.routers);
    out.max_attempts = 3;
    out.cache_aside = scenario_.fills;
    out.origin_kind = scenario_.fills ? kOriginKind : kNone;
    out.can_cancel = true;
    out.can_hedge = true;
    out.answer_slack = 20 * kWorldMillisecond;
    out.max_retry_after = 2 * kWorldSecond;
    out.connect_timeout = 250 * kWorldMillisecond;
    out.keep_alive = 60 * kWorldSecond;
    out.slow_start_initial_share = kInitialShare;
    out.slow_start_duration = kSlowStartDuration;
    out.slow_start_overload_factor = scenario_.overload_factor;
    out.slow_start_overload_window = kLoadWindow;
    out.classes = {{800 * kWorldMillisecond, kRequestTimeout, 5, Effect::safe, Group::all, 0}};
    return out;
  }

  // Finds a key that is placed on the starting server when all servers are warm.
  std::uint64_t find_key_of_starting_server() {
    struct FirstServer final : ActionSink {
      void send(RequestId, ServerId server, Time) override { first = server; }
      void cancel(RequestId, std::uint32_t) override {}
      void reject(RequestId, Time) override {}
      void fail(RequestId) override {}
      void poll_discovery() override {}
      ServerId first = kNone;
    };
    FirstServer sink;
    Router probe(config(), 1, kBegin, sink);
    probe.on_members(kBegin, Update::full, members_);
    for (RequestId id = 1;; ++id) {
      const std::uint64_t key = random_();
      probe.on_request(kBegin, make_request(id, key, kBegin));
      if (sink.first == kStarting) return key;
      probe.on_cancelled(kBegin, id);
      AttemptResult withdrawn;
      withdrawn.request = id;
      withdrawn.server = sink.first;
      withdrawn.outcome = Outcome::cancelled;
      withdrawn.request_over = true;
      probe.on_result(kBegin, withdrawn);
    }
  }

  static Request make_request(RequestId id, std::uint64_t key, Time now) {
    Request out;
    out.id = id;
    out.key = key;
    out.has_key = true;
    out.deadline = now + kRequestTimeout;
    return out;
  }

  void start_routers() {
    ++incarnation_;
    wakeups_.clear();
    hosts_.clear();
    for (std::size_t i = 0; i < scenario_.routers; ++i) {
      hosts_.push_back(std::make_unique<Host>(*this, i));
      Host& host = *hosts_.back();
      host.notified_start = members_[kStarting].started;
      host.router = std::make_unique<Router>(config(), random_(), now_, host);
      host.router->on_members(now_, Update::full, members_);
      schedule_wakeup(host);
    }
  }

  // Schedules the starts of the server, in order of time.
  void plan_starts() {
    const int starts = scenario_.start == StartKind::flapping ? kFlaps : 1;
    for (int i = 0; i < starts; ++i) starts_.push_back(kRestart + i * kFlapInterval);
  }

  void begin_start(Time at) {
    now_ = at;
    started_ = at;
    members_[kStarting].started = at;
    stored_.clear();
    if (scenario_.routers_restart) return start_routers();
    std::uniform_int_distribution<Time> delay(0, scenario_.max_notice_delay);
    for (const auto& host : hosts_) notices_.push({at + delay(random_), host->number, at});
  }

  void notify(const Notice& notice) {
    now_ = notice.at;
    if (notice.started != started_) return;  // superseded by the notice of a later start
    Host& host = *hosts_[notice.router];
    host.notified_start = notice.started;
    host.router->on_members(now_, Update::changes, {&members_[kStarting], 1});
    schedule_wakeup(host);
  }

  void on_arrival() {
    std::uniform_real_distribution<double> unit;
    const bool hot = now_ >= kRestart + scenario_.hot_after && unit(random_) < scenario_.hot_share;
    const std::uint64_t key = hot ? hot_key_ : (random_() % kKeys) * 0x9e3779b97f4a7c15U + 1;
    Host& host = *hosts_[draw_router()];
    const RequestId id = ++last_request_;
    host.attempts[id] = 0;
    if (scenario_.fills) open_[id] = {key, {}};
    host.router->on_request(now_, make_request(id, key, now_));
    schedule_wakeup(host);
  }

  std::size_t draw_router() {
    constexpr std::size_t kBusyOneIn = 10;
    // One router in ten with five times the traffic of each other one gets 5 / (5 + 9) of all traffic.
    constexpr double kBusyShare = 0.357;
    const std::size_t busy_routers = (hosts_.size() + kBusyOneIn - 1) / kBusyOneIn;
    std::uniform_real_distribution<double> unit;
    if (scenario_.uneven && unit(random_) < kBusyShare) return random_() % busy_routers;
    return random_() % hosts_.size();
  }

  void on_send(Host& host, RequestId request, ServerId server) {
    const std::uint32_t attempt = host.attempts[request]++;
    host.in_flight.insert({request, attempt});
    if (server == kStarting && started_ > 0)
      arrivals_.push_back({now_, started_, host.notified_start == started_});
    const auto [duration, outcome] = serve(request, server);
    finish_at(now_ + duration, host, request, attempt, server, outcome);
  }

  std::pair<Time, Outcome> serve(RequestId request, ServerId server) {
    constexpr Time kFailsAfter = 5 * kWorldMillisecond;
    if (server == scenario_.servers) return {kOriginLatency, Outcome::served};
    if (server == kStarting) {
      const bool crashed = scenario_.start == StartKind::crashed;
      if (crashed && now_ >= kRestart - kCrashDuration && now_ < kRestart)
        return {kFailsAfter, Outcome::connect_failed};
      const bool unhealthy = scenario_.start == StartKind::unhealthy;
      if (unhealthy && now_ >= kRestart && now_ < kRestart + kUnhealthyDuration)
        return {kFailsAfter, Outcome::error};
    }
    std::uniform_real_distribution<double> unit;
    if (unit(random_) < scenario_.failed_share) {
      return {kFailsAfter, scenario_.failures[random_() % scenario_.failures.size()]};
    }
    if (scenario_.fills && misses(server, open_[request].key)) {
      open_[request].missed.push_back(server);
      return {kFailsAfter, Outcome::miss};
    }
    std::exponential_distribution<double> work(scenario_.capacity / 4 / kWorldSecond);
    return {kFailsAfter + std::min(kRequestTimeout, static_cast<Time>(work(random_))), Outcome::served};
  }

  // Since the start, the starting server has only values that were stored afterwards. The same holds for the
  // hot key at all servers.
  bool misses(ServerId server, std::uint64_t key) const {
    if (stored_.contains({server, key})) return false;
    if (started_ > 0 && (server == kStarting || key == hot_key_)) return true;
    return (key ^ (server * 0x9e3779b9U)) % 100 < kMissPercent;
  }

  void finish_at(Time at, const Host& host, RequestId request, std::uint32_t attempt, ServerId server,
                 Outcome outcome) {
    results_.push({at, ++order_, host.number, incarnation_, request, attempt, server, outcome});
  }

  void finish(const Result& result) {
    if (result.incarnation != incarnation_) return;
    Host& host = *hosts_[result.router];
    if (host.in_flight.erase({result.request, result.attempt}) == 0) return;
    AttemptResult out;
    out.request = result.request;
    out.attempt = result.attempt;
    out.server = result.server;
    out.outcome = result.outcome;
    out.duration = 50 * kWorldMillisecond;
    if (result.outcome == Outcome::served) {
      host.attempts.erase(result.request);
      if (result.server == scenario_.servers) store(open_[result.request]);
    }
    out.request_over = !host.attempts.contains(result.request);
    if (out.request_over) open_.erase(result.request);
    host.router->on_result(now_, out);
    schedule_wakeup(host);
  }

  void store(const OpenRequest& request) {
    for (const ServerId server : request.missed) stored_.insert({server, request.key});
  }

  void schedule_wakeup(Host& host) {
    const Time next = host.router->next_wakeup();
    if (next == host.wakes_at && wakeups_.contains({next, host.number})) return;
    wakeups_.erase({host.wakes_at, host.number});
    host.wakes_at = next;
    if (next < kNever) wakeups_.insert({next, host.number});
  }

  // Handles all events up to `until`, in order of time.
  void run_until(Time until) {
    for (;;) {
      const Time start = starts_.empty() ? kNever : starts_.front();
      const Time notice = notices_.empty() ? kNever : notices_.top().at;
      const Time result = results_.empty() ? kNever : results_.top().at;
      const Time wakeup = wakeups_.empty() ? kNever : wakeups_.begin()->first;
      const Time next = std::min({start, notice, result, wakeup});
      if (next > until) break;
      now_ = std::max(now_, next);
      if (next == start) {
        starts_.erase(starts_.begin());
        begin_start(start);
      } else if (next == notice) {
        const Notice first = notices_.top();
        notices_.pop();
        notify(first);
      } else if (next == result) {
        const Result first = results_.top();
        results_.pop();
        finish(first);
      } else {
        Host& host = *hosts_[wakeups_.begin()->second];
        host.router->on_wakeup(now_);
        schedule_wakeup(host);
      }
    }
    now_ = until;
  }

  // A window belongs to one process of the server: it ends when the server restarts.
  Window window_from(std::size_t first, double (*bound_of)(double)) const {
    const auto [begin, started, ignored] = arrivals_[first];
    Window out;
    std::size_t notified = 0;
    for (std::size_t i = first; i < arrivals_.size(); ++i) {
      if (arrivals_[i].at >= begin + kLoadWindow || arrivals_[i].started != started) break;
      ++out.attempts;
      notified += arrivals_[i].notified ? 1 : 0;
    }
    const double warm = std::min(1.0, static_cast<double>(begin - started) / kSlowStartDuration);
    const double share = kInitialShare + (1 - kInitialShare) * warm;
    out.bound = bound_of(kOverloadFactor * scenario_.capacity * share * kLoadWindow / kWorldSecond);
    if (3 * notified > 2 * out.attempts) out.over = static_cast<double>(out.attempts) - out.bound;
    return out;
  }

  SlowStartScenario scenario_;
  std::mt19937_64 random_;
  Time now_ = kBegin;
  std::vector<Member> members_;
  std::uint64_t hot_key_ = 0, order_ = 0, incarnation_ = 0;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::set<std::pair<Time, std::size_t>> wakeups_;
  std::priority_queue<Result, std::vector<Result>, std::greater<>> results_;
  std::priority_queue<Notice, std::vector<Notice>, std::greater<>> notices_;
  std::vector<Time> starts_;
  Time started_ = 0;
  std::vector<Arrival> arrivals_;
  std::map<RequestId, OpenRequest> open_;
  std::set<std::pair<ServerId, std::uint64_t>> stored_;
  RequestId last_request_ = 0;
};

}  // namespace streampick::test
