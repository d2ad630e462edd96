// What the decisions share. Each concern is a layer on it, in a file of its own, and knows those below.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <memory_resource>
#include <queue>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "policy/plan_index.h"

namespace streampick::policy {

inline constexpr Time kSecond = 1'000'000;
inline constexpr Time kLong = 86'400 * kSecond;  // stands for no limit where times are multiplied

inline constexpr std::size_t kMaxAttempts = 8;    // attempts kept for one request, whatever the limit
inline constexpr double kRetryBudgetBurst = 10;   // sends after one that may have run, saved up
inline constexpr int kStrikesToEject = 3;         // bad outcomes in a row
inline constexpr Time kEjectFirst = kSecond;      // first ejection; doubles up to kEjectMost
inline constexpr double kForget = 0.05;           // of what is learned, with each answer ...
inline constexpr Time kForgetTime = 2 * kSecond;  // ... and with time: a quiet router has few answers
inline constexpr double kCrowdedPerAim = 0.35;    // cache answers slower than this share of the aim: crowded
inline constexpr std::uint32_t kPricedConnections = 100;  // for each server, by the protocol
inline constexpr Time kKeepSeldom = kSecond / 2;          // an idle connection that is used seldom and costs
inline constexpr Time kAskAfter = 300'000;  // between calls for the list: roster/watch_times.h adds them up
inline constexpr Time kTick = 200'000;      // of the limits, and of held requests that try again

// 64-bit finalizer (splitmix64): the only mixing function, for plans and for random draws.
inline std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15U;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

inline Time times(Time time, double factor) { return static_cast<Time>(static_cast<double>(time) * factor); }
inline double to_unit(std::uint64_t x) { return (static_cast<double>(x >> 11U) + 0.5) * 0x1.0p-53; }

inline bool never_ran(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::not_sent ||
         outcome == Outcome::miss;
}

// Of a server, and of all in its zone or its cell: a quiet router meets what servers have in common.
struct Health {
  int strikes = 0, in_flight = 0;
  Time ejected_until = 0, eject_for = kEjectFirst, last_answer = 0;
};

struct Server {
  Member member;
  bool listed = false;
  int in_flight = 0, stuck = 0;
  std::uint32_t answers = 0;  // so far
  Health health, *zone = nullptr, *cell = nullptr;
  // Decayed sums of what answers took and of what they were expected to take.
  double took = 0, expected = 0;
  double weight = 1;                  // nominal x learned speed; slow start comes on top
  double counted = 0;                 // its part of healthy_
  Time full_until = 0, wanted = 0;    // wanted: while it starts, when a first attempt last came to it by rank
  int spoilt = 0;                     // attempts in a row that a bad answer or the connection's end spoilt
  Time linked = 0, used = 0;          // when its connection was last in use, 0: none is open; when one was
  bool planned = false, off = false;  // off: when it was last looked at
};

struct Attempt {
  ServerId server = kNone;
  Time sent = 0;
  std::uint32_t answers = 0;  // of its server, when it was sent
  Outcome outcome = Outcome::served;
  bool live = false, struck = false, dial = false, origin = false, stuck = false;
};

// On work in flight, a part of the whole. Below one it is a rate: one at a time, and after each a pause.
struct Limit {
  double value = 0;
  Time rest = 0;  // no more before this

  bool room(double in_flight, Time now) const { return in_flight < value && now >= rest; }
  void pause(double took, Time most, Time now) {
    if (value < 1) rest = now + std::min(most, static_cast<Time>(took * (1 / value - 1)));
  }
};

enum class OriginUse : std::uint8_t { none, waiting, following, out, done };

struct Open {
  Request request;
  Time arrived = 0;
  std::array<Attempt, kMaxAttempts> attempts{};
  std::uint32_t sent = 0, copies = 0, live = 0;
  bool over = true, streaming = false, used = false, held = false;
  OriginUse origin = OriginUse::none;
  std::uint32_t generation = 0;
  std::vector<std::uint32_t> followers = {};  // single-flight: slots that wait for this origin read
};

enum class Wake : std::uint8_t { copy, deadline, hold, entry, watch, tick, idle, line };  // four of a request

struct Timer {
  Time at;
  std::uint64_t sequence;
  std::uint32_t slot, generation;
  Wake wake;
  bool operator>(const Timer& other) const {
    return std::tie(at, sequence) > std::tie(other.at, other.sequence);
  }
};

struct State {
  State(Config config, std::uint64_t seed, Time now, ActionSink& sink)
      : config_(std::move(config)), sink_(sink), random_(seed), now_(now) {
    configure(config_);
    keep_ = keep_most_ = config_.keep_alive > 0 ? config_.keep_alive : kLong;
    add_timer(now_ + kTick, Wake::tick);
  }

  // What is known of classes that stay as they are stays.
  void configure(Config next) {
    validate(next);
    std::vector<double> took(next.classes.size(), 0);
    most_worth_ = 1e-9;
    for (std::size_t i = 0; i < took.size(); ++i) {
      const RequestClass& kind = next.classes[i];
      const std::size_t from = i < class_took_.size() && kind == config_.classes[i] ? i : kind.like;
      if (from < class_took_.size()) took[i] = class_took_[from];
      if (!next.aside || kind.effect == Effect::safe) most_worth_ = std::max(most_worth_, kind.worth);
    }
    class_took_ = std::move(took);
    if (next.tenants != config_.tenants) tenants_.clear();  // what was saved up is another's
    tenants_.resize(next.tenants.size());
    next.routers = std::max(1U, next.routers);
    config_ = std::move(next);
  }

  // What has ended by itself is nothing to wake for.
  Time next_wakeup() {
    while (!timers_.empty() && stale(timers_.top())) timers_.pop();
    return timers_.empty() ? kNever : timers_.top().at;
  }
  bool stale(const Timer& timer) const {
    if (timer.wake > Wake::entry) return false;
    const Open& open = open_[timer.slot];
    return open.generation != timer.generation || open.over || open.streaming ||
           (timer.wake == Wake::entry && !open.held);
  }

  const RequestClass& class_of(const Open& open) const { return config_.classes[open.request.request_class]; }
  std::uint32_t most_attempts(const Open& open) const {
    const std::uint32_t own = class_of(open).attempts;
    return std::min<std::uint32_t>(own > 0 ? own : config_.max_attempts, kMaxAttempts);
  }
  std::array<Health*, 3> healths(Server& server) { return {&server.health, server.zone, server.cell}; }
  bool off(const Health& health) const {  // ejected, or one trial request is out
    return health.ejected_until > now_ || (health.strikes >= kStrikesToEject && health.in_flight > 0);
  }
  bool refused(const AttemptResult& result) const { return 2 * result.took < config_.dial_time_out; }
  // An open connection costs as much as a new one after this. Few routers can't fill a server's table.
  Time worth_keeping() const {
    if (config_.connection_cost <= 0 || config_.routers <= kPricedConnections) return kNever;
    const double each = kPricedConnections * gap_ * static_cast<double>(plan_.size()) / config_.routers;
    return times(1, std::min<double>(kLong, each * config_.handshake_cost / config_.connection_cost));
  }
  Time keep(bool often) const { return std::min(keep_, often ? worth_keeping() : kKeepSeldom); }
  bool linked(const Server& server) const {
    return server.in_flight > 0 || (server.linked > 0 && now_ - server.linked < keep_most_);
  }
  bool origin_has_room() const {
    const bool room = origin_line_.empty() && origin_limit_.room(origin_in_flight_, now_);
    return origin_ != kNone && room && origin_place();
  }
  // Of all routers' places at the origin, what this one may use at this moment.
  bool origin_place() const {
    return origin_work().out <
           shares_.origin_floor + (now_ < shares_.origin_until ? shares_.origin_leased : 0);
  }
  OriginWork origin_work() const {
    return {origin_ == kNone ? 0 : servers_[origin_].in_flight,
            origin_line_.size() + origin_write_line_.size()};
  }

  void add_timer(Time at, Wake wake, std::uint32_t slot = 0, std::uint32_t generation = 0) {
    timers_.push({at, sequence_++, slot, generation, wake});
  }
  double even_part() const { return static_cast<double>(plan_.size()) / config_.routers; }
  // How much of what was learned an answer replaces: by samples, and by the time since the last one.
  double forget(Time& last, double least) const {
    const double age =
        static_cast<double>(now_ - std::exchange(last, now_)) / static_cast<double>(kForgetTime);
    return std::max(least, 1 - std::exp(-age));
  }
  double draw() { return to_unit(random_ = mix(random_)); }

  Config config_;
  Shares shares_;
  ActionSink& sink_;
  std::uint64_t random_;
  Time now_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t sequence_ = 0;

  std::vector<Server> servers_;
  std::vector<ServerId> plan_;  // listed, ready cache servers, by identity
  PlanIndex index_;             // the same, to find a key's few among many
  double healthy_ = 0;          // weight of those that are well, each as it was when last looked at
  std::size_t next_look_ = 0;   // where in a large plan the next tick goes on
  ServerId origin_ = kNone;
  int cache_in_flight_ = 0, stuck_ = 0;
  std::map<std::uint32_t, Health> zones_, cells_;  // ordered, and its nodes stay where they are

  Time last_reweigh_ = 0, arrived_ = 0, idle_timer_ = 0;
  double gap_ = 0;                                             // between requests, usually
  Time keep_ = kLong, keep_most_ = kLong;                      // how long idle connections are kept
  double dial_refused_ = 0;                                    // share of new connections lately
  std::array<std::deque<std::pair<Time, ServerId>>, 2> idle_;  // used seldom, often; by their last use

  std::vector<Open> open_;
  std::vector<std::uint32_t> free_;
  std::pmr::unsynchronized_pool_resource pool_;
  std::pmr::unordered_map<RequestId, std::uint32_t> slots_{&pool_};  // never walked

  double copy_tokens_ = 0, copy_most_ = 0, retry_tokens_ = kRetryBudgetBurst;
  std::vector<double> class_took_;  // usual time of an answer without a hint, by class

  Limit origin_limit_;
  double origin_now_ = 0, origin_base_ = 0;  // usual time of an answer: lately, at its best
  int origin_in_flight_ = 0, origin_writes_ = 0;
  std::deque<std::pair<std::uint32_t, std::uint32_t>> origin_line_, origin_write_line_;  // reads; writes
  std::unordered_map<std::uint64_t, std::uint32_t> fetching_;  // key to the slot that reads it

  std::vector<std::pair<double, Time>> tenants_;  // what is saved up of each quota, and when it was counted
  std::deque<std::pair<std::uint32_t, std::uint32_t>> entry_line_;
  double most_worth_ = 1e-9;  // of the classes that go to caches
  Time line_since_ = 0, crowding_at_ = 0, origin_at_ = 0, origin_cut_ = 0;
  double crowding_ = 0;      // usual time of a cache answer, as a share of its aim
  bool limit_used_ = false;  // it held work back since the last tick
  Limit cache_limit_;        // cache work in flight above which reads are shed; 0: no list yet

  Time ask_at_ = 0;
  bool watching_ = false;
};

}  // namespace streampick::policy
