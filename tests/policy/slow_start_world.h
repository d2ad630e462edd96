/// A fleet of decision modules in one world on virtual time, and one server that starts among them. Each
/// router decides alone; what all of them send to the starting server is counted at that server.
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

/// What the settings say of a starting server: its capacity begins at this share and grows to the whole
/// within this time, and its load is counted in windows of this length.
inline constexpr double kColdShare = 0.2;
inline constexpr double kOverloadFactor = 3;
inline constexpr Time kColdTime = 10 * kWorldSecond;
inline constexpr Time kLoadWindow = kWorldSecond;

/// The most requests of one window: the settings' multiple of what the server can do, and what chance adds.
inline double strict_slow_start_bound(double budget) { return budget + 2 * std::sqrt(budget) + 2; }

/// The same, with a wider allowance under this many requests.
inline constexpr double kSmallBudget = 30;
inline double slow_start_bound(double budget) {
  if (budget < kSmallBudget) return budget + 3 * std::sqrt(budget) + 3;
  return strict_slow_start_bound(budget);
}

/// How the starting server came to start.
enum class StartKind : std::uint8_t {
  replaced,   ///< it was well until it was replaced under its id
  crashed,    ///< connections to it had failed for a while, so that routers have ejected it
  unhealthy,  ///< its first answers are errors, so that routers eject it while it warms up
  flapping,   ///< it starts anew several times
};

/// One world; a member that is not set leaves that kind of trouble out.
struct SlowStartScenario {
  std::size_t routers = 30;
  ServerId servers = 60;
  double capacity = 15;  ///< requests a second that a warm server can do
  double load = 0.45;    ///< requests that come, as a share of the capacity of all servers
  double overload_factor = kOverloadFactor;  ///< 0: the settings tell none
  double hot_share = 0;                      ///< of all requests: one key whose server is the starting one
  Time hot_after = 0;                        ///< from this time after the start on
  double failed_share = 0;                   ///< of attempts, so that they are retried
  std::vector<Outcome> failures = {Outcome::reset, Outcome::error, Outcome::overloaded};  ///< how those end
  bool fills = false;            ///< look-aside caches with an origin; the starting one is empty
  bool uneven = false;           ///< one router in ten gets five times the traffic of the others
  bool routers_restart = false;  ///< all routers start with the server
  StartKind start = StartKind::replaced;
  double burst = 1;      ///< so many times the traffic from two seconds after the start on
  Time told_within = 0;  ///< routers are told of the start within this time, each at its own
  std::uint64_t seed = 1;
};

/// Runs one scenario and counts the attempts at the starting server.
class SlowStartWorld {
 public:
  explicit SlowStartWorld(const SlowStartScenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    for (ServerId id = 0; id < scenario_.servers; ++id) members_.push_back(cache_member(id));
    if (scenario_.fills) members_.push_back(origin_member());
    hot_key_ = find_key_of_starting_server();
    start_routers();
  }

  /// Plays the world to its end. Returns how many attempts came to the starting server.
  std::size_t run() {
    plan_starts();
    const double per_second = scenario_.capacity * scenario_.load * scenario_.servers;
    for (Time next = kBegin; next < kEnd;) {
      run_until(next);
      arrive();
      const bool burst = next >= kRestart + kBurstAfter;
      std::exponential_distribution<double> gap(per_second * (burst ? scenario_.burst : 1) / kWorldSecond);
      next += 1 + static_cast<Time>(gap(random_));
    }
    return arrivals_.size();
  }

  /// How far the fullest window is over its bound, and the figures of that window.
  struct Window {
    double over = std::numeric_limits<double>::lowest();
    double bound = 0;
    std::size_t attempts = 0;
  };

  /// Looks at all windows of which over two thirds came from routers that had been told of the start.
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
  static constexpr Time kEnd = kRestart + kColdTime;
  static constexpr Time kBurstAfter = 2 * kWorldSecond;
  static constexpr Time kCrashedFor = 1'500 * kWorldMillisecond;
  static constexpr Time kUnhealthyFor = 2 * kWorldSecond;
  static constexpr Time kFlapEvery = 2'500 * kWorldMillisecond;
  static constexpr int kFlaps = 3;
  static constexpr Time kPatience = 4 * kWorldSecond;
  static constexpr Time kOriginTime = 300 * kWorldMillisecond;
  static constexpr std::uint64_t kKeys = 2'000;
  static constexpr std::uint64_t kMissPercent = 9;
  static constexpr ServerId kStarting = 0;
  static constexpr std::uint32_t kOriginKind = 9;

  struct Host final : ActionSink {
    Host(SlowStartWorld& owner, std::size_t index) : world(owner), number(index) {}
    void send(RequestId request, ServerId server, Time) override { world.on_send(*this, request, server); }
    void cancel(RequestId request, std::uint32_t attempt) override {
      world.finish_at(world.now_, *this, request, attempt, kNone, Outcome::cancelled);
    }
    void reject(RequestId request, Time) override { attempts.erase(request); }
    void fail(RequestId request) override { attempts.erase(request); }
    void poll_discovery() override {}
    SlowStartWorld& world;
    std::size_t number;
    Time told_of = 0;  // the last start that this router has been told of
    Time wakes_at = kNever;
    std::unique_ptr<Router> router;
    std::map<RequestId, std::uint32_t> attempts;  // open requests, and how many each has
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
    bool told;  // its router had been told of this start
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
    out.slow_start_initial_share = kColdShare;
    out.slow_start_duration = kColdTime;
    out.slow_start_overload_factor = scenario_.overload_factor;
    out.slow_start_overload_window = kLoadWindow;
    out.classes = {{800 * kWorldMillisecond, kPatience, 5, Effect::safe, Group::all, 0}};
    return out;
  }

  // A key whose first server, with all of them warm, is the one that starts later.
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
    out.deadline = now + kPatience;
    return out;
  }

  void start_routers() {
    ++incarnation_;
    wakeups_.clear();
    hosts_.clear();
    for (std::size_t i = 0; i < scenario_.routers; ++i) {
      hosts_.push_back(std::make_unique<Host>(*this, i));
      Host& host = *hosts_.back();
      host.told_of = members_[kStarting].started;
      host.router = std::make_unique<Router>(config(), random_(), now_, host);
      host.router->on_members(now_, Update::full, members_);
      schedule_wakeup(host);
    }
  }

  // The starts of the server, in order.
  void plan_starts() {
    const int starts = scenario_.start == StartKind::flapping ? kFlaps : 1;
    for (int i = 0; i < starts; ++i) starts_.push_back(kRestart + i * kFlapEvery);
  }

  void begin_start(Time at) {
    now_ = at;
    started_ = at;
    members_[kStarting].started = at;
    stored_.clear();
    if (scenario_.routers_restart) return start_routers();
    std::uniform_int_distribution<Time> delay(0, scenario_.told_within);
    for (const auto& host : hosts_) notices_.push({at + delay(random_), host->number, at});
  }

  void tell(const Notice& notice) {
    now_ = notice.at;
    if (notice.started != started_) return;  // a later start has its own
    Host& host = *hosts_[notice.router];
    host.told_of = notice.started;
    host.router->on_members(now_, Update::changes, {&members_[kStarting], 1});
    schedule_wakeup(host);
  }

  void arrive() {
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
    constexpr double kBusyPart = 0.357;  // one in ten with five times the traffic of each other one
    const std::size_t busy = (hosts_.size() + kBusyOneIn - 1) / kBusyOneIn;
    std::uniform_real_distribution<double> unit;
    if (scenario_.uneven && unit(random_) < kBusyPart) return random_() % busy;
    return random_() % hosts_.size();
  }

  void on_send(Host& host, RequestId request, ServerId server) {
    const std::uint32_t attempt = host.attempts[request]++;
    host.in_flight.insert({request, attempt});
    if (server == kStarting && started_ > 0) arrivals_.push_back({now_, started_, host.told_of == started_});
    const auto [takes, outcome] = serve(request, server);
    finish_at(now_ + takes, host, request, attempt, server, outcome);
  }

  std::pair<Time, Outcome> serve(RequestId request, ServerId server) {
    constexpr Time kFailsAfter = 5 * kWorldMillisecond;
    if (server == scenario_.servers) return {kOriginTime, Outcome::served};
    if (server == kStarting) {
      const bool crashed = scenario_.start == StartKind::crashed;
      if (crashed && now_ >= kRestart - kCrashedFor && now_ < kRestart)
        return {kFailsAfter, Outcome::connect_failed};
      const bool unhealthy = scenario_.start == StartKind::unhealthy;
      if (unhealthy && now_ >= kRestart && now_ < kRestart + kUnhealthyFor)
        return {kFailsAfter, Outcome::error};
    }
    std::uniform_real_distribution<double> unit;
    if (unit(random_) < scenario_.failed_share) {
      return {kFailsAfter, scenario_.failures[random_() % scenario_.failures.size()]};
    }
    if (scenario_.fills && lacks(server, open_[request].key)) {
      open_[request].missed.push_back(server);
      return {kFailsAfter, Outcome::miss};
    }
    std::exponential_distribution<double> work(scenario_.capacity / 4 / kWorldSecond);
    return {kFailsAfter + std::min(kPatience, static_cast<Time>(work(random_))), Outcome::served};
  }

  // The starting server and, for the hot key, all of them hold nothing but what was stored since the start.
  bool lacks(ServerId server, std::uint64_t key) const {
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

  // All that happens up to then, in the order of time.
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
        tell(first);
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

  // A window is one process's: it ends where the server starts anew.
  Window window_from(std::size_t first, double (*bound_of)(double)) const {
    const auto [begin, started, ignored] = arrivals_[first];
    Window out;
    std::size_t told = 0;
    for (std::size_t i = first; i < arrivals_.size(); ++i) {
      if (arrivals_[i].at >= begin + kLoadWindow || arrivals_[i].started != started) break;
      ++out.attempts;
      told += arrivals_[i].told ? 1 : 0;
    }
    const double warm = std::min(1.0, static_cast<double>(begin - started) / kColdTime);
    const double share = kColdShare + (1 - kColdShare) * warm;
    out.bound = bound_of(kOverloadFactor * scenario_.capacity * share * kLoadWindow / kWorldSecond);
    if (3 * told > 2 * out.attempts) out.over = static_cast<double>(out.attempts) - out.bound;
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
