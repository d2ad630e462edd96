// Interface: include/streampick/router.h. This file holds every decision of the router and every
// constant the decisions use; the host around it only carries events in and actions out.
//
// Ordinary path: a key read goes to its bounded-hash cache server; each further constant delay
// without an answer launches one more copy on the key's next server; losers are cancelled.
#include "streampick/router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "policy/plan_index.h"

namespace streampick {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kLong = 86'400 * kSecond;  // stands for no limit where times are multiplied

// Plan and execution.
constexpr double kBound = 1.25;          // in-flight bound, as a multiple of the fair share
constexpr std::uint64_t kLeaves = 8;     // parts of a large fleet that a key tries for a server with room
constexpr double kBoundFloor = 2;        // ... and never under this: small counts are all noise
constexpr double kBoundMost = 8;         // ... or this, where answers take so little of the aim that ...
constexpr double kBoundWait = 0.1;       // ... so many behind one another stay within this share of it
constexpr double kDelayPerAim = 0.4;     // the constant delay, as a share of the class's aim
constexpr std::uint32_t kMaxCopies = 2;  // N, the most extra copies of one request
constexpr double kCopyBudget = 0.15;     // copies per first attempt, over time
constexpr double kCopyBudgetBurst = 2;   // ... and how many may be saved up: this for each server, shared
constexpr std::size_t kMaxAttempts = 8;  // attempts kept for one request, whatever the limit
// Server state.
constexpr int kStrikesToEject = 3;     // bad outcomes in a row
constexpr Time kEjectFirst = kSecond;  // first ejection; doubles up to kEjectMost
constexpr Time kEjectMost = 8 * kSecond;
constexpr std::uint32_t kOvertaken = 4;  // answers to others since an attempt was sent: it is stuck
constexpr int kSpoiltToDoubt = 2;        // spoilt or cut off in a row: the next server is asked ...
constexpr int kSpoiltToStrike = 5;  // ... and the server is at fault, not whatever befalls all servers alike
constexpr double kSpeedPower = 0.75;  // weight = speed to this power
constexpr double kSpeedRange = 4;     // ... within this factor of the mean
constexpr double kKindPrior = 0.02;   // of all answers: how many a kind needs to be told apart
constexpr Time kReweigh = kSecond;
constexpr std::size_t kLookAround = 512;   // servers of a large fleet, each tick
constexpr Time kKeepSeldom = kSecond / 2;  // an idle connection that costs is closed after this ...
constexpr Time kSeldom = 30 * kSecond;     // ... where its next use is further away than this
constexpr Time kKeepLeast = kSecond / 50;
constexpr double kKeepDown = 0.5, kKeepUp = 1.02;  // steps of it: a refused connection, a new one
constexpr double kDialForget = 0.2;                // of what is learned, with each new connection
constexpr double kDialRefused = 0.5;  // more of them are refused: idle ones are kept for a shorter time
// Origin guard.
constexpr double kOriginStart = 4;    // first limit on origin reads in flight: this for each server, shared
constexpr double kOriginLeast = 0.1;  // ... and the least one
constexpr double kOriginMost = 64, kOriginFirstMost = 4;
constexpr double kOriginSlowPerAim = 0.33;  // an origin answer slower than this share of the aim
constexpr double kOriginSlowPerBase = 2;    // ... and than this multiple of its usual is crowded
// Admission.
constexpr double kCrowdedPerAim = 0.35;    // cache answers slower than this share of the aim: crowded
constexpr double kForget = 0.05;           // of what is learned, with each answer ...
constexpr Time kForgetTime = 2 * kSecond;  // ... and with time: a quiet router has few answers
constexpr double kLimitStart = 3;         // first limit on cache work in flight: this for each server, shared
constexpr double kLimitLeast = 0.5;       // ... and the least one
constexpr double kEntryWaitPerAim = 0.2;  // longest wait for room, as a share of the aim
constexpr double kOverQuotaPart = 0.6;    // of the limit, for tenants over their quota
constexpr double kLeastWorthPart = 0.3;   // ... and this much less of it for a class worth nothing
constexpr double kShedDown = 0.9, kShedUp = 1.2;  // steps of the limit on cache work in flight
constexpr Time kTick = 200'000;                   // of the limits, and of held requests that try again

// Discovery.
constexpr Time kAskFirst = kSecond / 2, kAskMost = 4 * kSecond;  // backoff after a failed call
constexpr Time kAskAgain = 5 * kSecond;                          // ... and after a silent one

// 64-bit finalizer (splitmix64): the only mixing function, for plans and for random draws.
std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15U;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

Time times(Time time, double factor) { return static_cast<Time>(static_cast<double>(time) * factor); }
double to_unit(std::uint64_t x) { return (static_cast<double>(x >> 11U) + 0.5) * 0x1.0p-53; }

bool never_ran(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::not_sent ||
         outcome == Outcome::miss;
}

// Of a server, and of all that share its zone or its cell: a quiet router hardly meets one server
// twice in a while, but it meets what they have in common.
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
  double weight = 1;   // nominal x learned speed; slow start comes on top
  double counted = 0;  // its part of healthy_
  Time full_until = 0;
  int spoilt = 0;    // attempts in a row that a bad answer or the connection's end spoilt
  Time linked = 0;   // when its connection was last in use; 0: none is open
  bool off = false;  // when it was last looked at
  bool planned = false;
};

struct Attempt {
  ServerId server = kNone;
  Time sent = 0;
  std::uint32_t answers = 0;  // of its server, when it was sent
  Outcome outcome = Outcome::served;
  bool live = false, struck = false, dial = false, origin = false, stuck = false;
};

// On work in flight, as this router's part of the whole. Below one it is kept as a rate: one at a time,
// and after each a pause, so that all routers together still keep to the whole.
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
  std::vector<std::uint32_t> followers;  // single-flight: slots that wait for this origin read
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

}  // namespace

struct Router::Impl {
  Impl(Config config, std::uint64_t seed, Time now, ActionSink& sink)
      : config_(std::move(config)), sink_(sink), random_(seed), now_(now) {
    validate(config_);
    config_.routers = std::max(1U, config_.routers);
    class_took_.assign(config_.classes.size(), 0);
    tenants_.assign(config_.tenants.size(), {});
    for (const RequestClass& kind : config_.classes)
      if (!config_.aside || kind.effect == Effect::safe) most_worth_ = std::max(most_worth_, kind.worth);
    max_attempts_ = std::min<std::uint32_t>(config_.max_attempts, kMaxAttempts);
    if (config_.keep_alive > 0) keep_most_ = config_.keep_alive;
    keep_ = keep_most_;
    add_timer(now_ + kTick, Wake::tick);
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
  std::array<Health*, 3> healths(Server& server) { return {&server.health, server.zone, server.cell}; }
  bool off(const Health& health) const {  // ejected, or one trial request is out
    return health.ejected_until > now_ || (health.strikes >= kStrikesToEject && health.in_flight > 0);
  }
  bool refused(const AttemptResult& result) const { return 2 * result.took < config_.dial_time_out; }
  Time keep() const {
    const bool seldom = config_.connection_cost > 0 && gap_ * static_cast<double>(plan_.size()) > kSeldom;
    return seldom ? std::min(keep_, kKeepSeldom) : keep_;
  }
  bool linked(const Server& server) const {
    return server.in_flight > 0 || (server.linked > 0 && now_ - server.linked < keep_most_);
  }
  bool origin_has_room() const {
    return origin_ != kNone && origin_line_.empty() && origin_limit_.room(origin_in_flight_, now_);
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
  ActionSink& sink_;
  std::uint64_t random_;
  Time now_;
  std::uint32_t max_attempts_ = 1;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t sequence_ = 0;

  std::vector<Server> servers_;
  std::vector<ServerId> plan_;  // listed, ready cache servers, by identity
  policy::PlanIndex index_;     // the same, to find a key's few among many
  double healthy_ = 0;          // weight of those that are well, each as it was when last looked at
  std::size_t next_look_ = 0;   // where in a large plan the next tick goes on
  ServerId origin_ = kNone;
  int cache_in_flight_ = 0, stuck_ = 0;
  std::map<std::uint32_t, Health> zones_, cells_;  // ordered, and its nodes stay where they are

  Time last_reweigh_ = 0, arrived_ = 0, idle_timer_ = 0;
  double gap_ = 0;                              // between requests, usually
  Time keep_ = kLong, keep_most_ = kLong;       // how long idle connections are kept
  double dial_refused_ = 0;                     // share of new connections lately
  std::deque<std::pair<Time, ServerId>> idle_;  // in order of their last use

  std::vector<Open> open_;
  std::vector<std::uint32_t> free_;
  std::unordered_map<RequestId, std::uint32_t> slots_;  // looked up only, never walked

  double copy_tokens_ = 0, copy_most_ = 0;
  std::vector<double> class_took_;  // usual time of an answer without a hint, by class

  Limit origin_limit_;
  double origin_now_ = 0, origin_base_ = 0;  // usual time of an answer: lately, at its best
  int origin_in_flight_ = 0, origin_writes_ = 0;
  std::deque<std::pair<std::uint32_t, std::uint32_t>> origin_line_;
  std::unordered_map<std::uint64_t, std::uint32_t> fetching_;  // key to the slot that reads it

  struct TenantState {
    double tokens = 0;
    Time filled = 0;
  };
  std::vector<TenantState> tenants_;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> entry_line_;
  double most_worth_ = 1e-9;  // of the classes that go to caches
  Time crowding_at_ = 0, origin_at_ = 0, origin_cut_ = 0;
  double crowding_ = 0;      // usual time of a cache answer, as a share of its aim
  bool limit_used_ = false;  // it held work back since the last tick
  Limit cache_limit_;        // cache work in flight above which reads are shed; 0: no list yet

  Time ask_at_ = 0, ask_backoff_ = 0;
  bool watching_ = false;

  // ---- Plan -----------------------------------------------------------------------------------
  // Weighted rendezvous order over the ready cache servers, one server an execution, skipping one
  // whose own in-flight count has reached its bound. It guards against hot keys and uneven machines;
  // the same bound holds back work from any server that answers slowly. It hurts where few requests
  // are in flight and a low bound scatters keys over servers that do not keep them.

  bool in_plan(const Server& server) const {
    return server.listed && server.member.phase == Phase::ready &&
           !(config_.aside && server.member.kind == config_.origin_kind);
  }

  double ramp(const Server& server) const {
    if (server.member.started <= 0 || config_.cold_time <= 0) return 1;
    const double age = static_cast<double>(now_ - server.member.started);
    const double warm = std::clamp(age / static_cast<double>(config_.cold_time), 0.0, 1.0);
    return config_.cold_share + (1 - config_.cold_share) * warm;
  }

  static double rank(std::uint64_t hash, double weight) { return -weight / std::log(to_unit(mix(hash))); }

  void look_at(Server& server) {
    server.off = false;
    for (const Health* health : healths(server)) server.off |= off(*health);
    const double now = server.off ? 0 : server.weight * ramp(server);
    healthy_ += now - std::exchange(server.counted, now);
  }

  void plan(ServerId id) {
    Server& server = servers_[id];
    server.planned = true;
    plan_.insert(place_of(id), id);
    index_.insert({server.member.identity, id, std::max(1e-3, server.weight)});
    look_at(server);
  }
  void unplan(ServerId id) {
    Server& server = servers_[id];
    server.planned = false;
    healthy_ -= std::exchange(server.counted, 0);
    plan_.erase(place_of(id));
    index_.erase({server.member.identity, id, 0});
  }
  std::vector<ServerId>::iterator place_of(ServerId id) {
    const auto of = [this](ServerId one) { return std::pair(servers_[one].member.identity, one); };
    return std::lower_bound(plan_.begin(), plan_.end(), id,
                            [&](ServerId a, ServerId b) { return of(a) < of(b); });
  }
  void replan(ServerId id) {
    const bool should = in_plan(servers_[id]);
    if (should != servers_[id].planned) should ? plan(id) : unplan(id);
  }

  ServerId pick(const Open& open, bool for_copy) {
    const std::uint64_t key = open.request.has_key ? open.request.key : open.request.id;
    // In a large fleet the sum is kept step by step; in a small one it is exact at each pick.
    if (!index_.split()) {
      healthy_ = 0;
      for (const ServerId id : plan_) {
        servers_[id].counted = 0;
        look_at(servers_[id]);
      }
    }
    // Where answers are quick, chance alone brings a few to one server at a time: to skip it then would
    // scatter its keys over servers that lack them, and save nobody a wait.
    const double floor =
        crowding_ > 0 ? std::clamp(kBoundWait / crowding_, kBoundFloor, kBoundMost) : kBoundFloor;
    const double chance = draw();
    ServerId best = kNone, fallback = kNone;
    double best_score = -1, fallback_score = -1;
    for (std::uint64_t leaf = 0; leaf < (index_.split() ? kLeaves : 1) && best == kNone; ++leaf) {
      const std::uint64_t own = leaf == 0 ? key : mix(key + leaf);
      for (const policy::PlanIndex::Entry& entry : index_.leaf(own, rank)) {
        const ServerId id = entry.id;
        Server& server = servers_[id];
        if (index_.split()) look_at(server);
        bool tried = false;
        for (std::uint32_t i = 0; i < open.sent; ++i) tried |= open.attempts[i].server == id;
        if (tried || server.full_until > now_) continue;
        const double warm = ramp(server);
        // A starting server gets part of the first attempts on its keys, by chance: so a popular key spends
        // no more of what it can do than its part, and no key moves again while it warms up.
        if (warm < 1 && (for_copy || open.sent > 0 || chance >= warm)) continue;
        const double weight = std::max(1e-3, server.weight);
        const double bound =
            std::max(std::ceil(kBound * (cache_in_flight_ - stuck_ + 1) * weight / std::max(healthy_, 1e-3)),
                     warm < 1 ? 1.0 : floor);
        const double score = rank(own ^ server.member.identity, weight);
        const bool bad = server.off && healthy_ > 0;
        if (!bad && server.in_flight - server.stuck < bound) {
          if (score > best_score) best = id, best_score = score;
        } else if (warm >= 1) {
          const double spare = weight / (server.in_flight + 1) * (bad ? 1e-3 : 1);
          if (spare > fallback_score) fallback = id, fallback_score = spare;
        }
      }
    }
    return best != kNone ? best : fallback;
  }

  // ---- Execution ------------------------------------------------------------------------------
  // Copies after each constant delay, moving on per outcome, the origin read after a miss, and the
  // deadline. It guards against servers that pause, hang or fail; it is the one place that says what
  // may be sent again. It hurts when the whole fleet is slow, which is why copies have a budget.

  // An unsafe request goes out again only when every attempt is known not to have run; a keyed one
  // only while its repeats are still discarded, and only where all servers discard them.
  bool may_send_again(const Open& open) const {
    const RequestClass& kind = class_of(open);
    if (kind.effect == Effect::safe) return true;
    for (std::uint32_t i = 0; i < open.sent; ++i) {
      const Attempt& attempt = open.attempts[i];
      if (!attempt.live && never_ran(attempt.outcome)) continue;
      if (kind.effect == Effect::unsafe || kind.group != Group::all) return false;
      if (now_ - attempt.sent >= kind.window * 9 / 10) return false;
    }
    return true;
  }

  bool to_origin_first(const Open& open) const { return config_.aside && open.request.write; }

  // In look-aside fleets the last attempt of a read is kept for the origin.
  std::uint32_t attempts_left(const Open& open) const {
    const bool keep = config_.aside && open.origin != OriginUse::out && open.origin != OriginUse::done;
    const std::uint32_t limit = max_attempts_ - (keep && max_attempts_ > 1 ? 1 : 0);
    return open.sent < limit ? limit - open.sent : 0;
  }

  std::uint32_t open_slot() {
    if (free_.empty()) {
      open_.emplace_back();
      return static_cast<std::uint32_t>(open_.size() - 1);
    }
    const std::uint32_t slot = free_.back();
    free_.pop_back();
    return slot;
  }

  void on_request(Time now, const Request& request) {
    now_ = now;
    if (arrived_ > 0) gap_ += (static_cast<double>(now - arrived_) - gap_) * (gap_ > 0 ? kForget : 1);
    arrived_ = now;
    const bool over_quota = use_quota(request);
    const bool room = admits(request, over_quota);
    if (!room && over_quota) return sink_.refuse(request.id, config_.max_retry_after / 2);
    const std::uint32_t slot = open_slot();
    Open& open = open_[slot];
    const std::uint32_t generation = open.generation + 1;
    open = Open{};
    open.request = request;
    open.arrived = now;
    open.generation = generation;
    open.over = false;
    open.used = true;
    slots_[request.id] = slot;
    add_timer(request.deadline, Wake::deadline, slot, generation);
    if (room && entry_line_.empty()) return start(slot);
    if (request.write && config_.aside) return start(slot);
    open.held = true;
    entry_line_.emplace_back(slot, generation);
    add_timer(now_ + times(class_of(open).aim, kEntryWaitPerAim), Wake::entry, slot, generation);
    drain_entry_line();
  }

  void start(std::uint32_t slot) {
    Open& open = open_[slot];
    copy_tokens_ = std::min(copy_most_, copy_tokens_ + kCopyBudget);
    if (to_origin_first(open)) return ask_origin(slot);
    const ServerId server = pick(open, false);
    if (server == kNone) return add_timer(now_ + kTick, Wake::hold, slot, open.generation);
    send(slot, server);
    if (class_of(open).effect == Effect::safe && config_.can_copy) {
      const Time delay = times(class_of(open).aim, kDelayPerAim);
      add_timer(now_ + delay, Wake::copy, slot, open.generation);
    }
  }

  void send(std::uint32_t slot, ServerId server) {
    Open& open = open_[slot];
    Server& to = servers_[server];
    const bool origin = server == origin_;
    open.attempts[open.sent++] = {server, now_,  to.answers,  Outcome::served,
                                  true,   false, !linked(to), origin};
    ++open.live;
    ++to.in_flight;
    for (Health* health : healths(to)) ++health->in_flight;
    ++(origin ? origin_in_flight_ : cache_in_flight_);
    if (origin && open.request.write) ++origin_writes_;
    sink_.send(open.request.id, server, 0);
  }

  void launch_copy(std::uint32_t slot) {
    Open& open = open_[slot];
    // A miss is an answer: once the origin read is under way there is nothing left to copy.
    if (open.live == 0 || open.origin != OriginUse::none) return;
    for (std::uint32_t i = 0; i < open.sent; ++i) {
      Attempt& attempt = open.attempts[i];
      Server& server = servers_[attempt.server];
      // No answer at all since this attempt went out: the server, not the request, is slow.
      if (attempt.live && !attempt.struck && server.health.last_answer < attempt.sent) {
        attempt.struck = true;
        strike(server, server.zone->last_answer < attempt.sent);
      } else if (attempt.live && !attempt.stuck && !attempt.origin &&
                 server.answers - attempt.answers >= kOvertaken) {
        // The server has answered many others since: what holds this one is no work of the server's, and
        // counted as such it would move keys to servers that lack them.
        attempt.stuck = true;
        ++server.stuck;
        ++stuck_;
      }
    }
    if (open.copies >= kMaxCopies || attempts_left(open) == 0) return;
    const Time delay = times(class_of(open).aim, kDelayPerAim);
    if (copy_tokens_ >= 1 && crowding_ <= kCrowdedPerAim) {
      const ServerId server = pick(open, true);
      if (server != kNone) {
        copy_tokens_ -= 1;
        ++open.copies;
        send(slot, server);
      }
    }
    add_timer(now_ + delay, Wake::copy, slot, open.generation);
  }

  // A read whose answer was spoilt, or whose connection broke, goes to the same server again: it has what
  // it read, while the plan's next one would most often miss and cost an origin read. A server that is
  // gone refuses the new connection, and that tells it apart. A keyed write goes again while its repeats
  // are discarded: the client would be told just that, that to try again is harmless.
  bool ask_again(std::uint32_t slot, const Attempt& attempt) {
    Open& open = open_[slot];
    const Server& server = servers_[attempt.server];
    if (open.streaming || !may_send_again(open)) return false;
    if (!attempt.origin && class_of(open).effect != Effect::safe) return false;
    if (open.request.deadline - now_ <= config_.answer_slack) return false;
    if (attempt.origin) {
      if (open.sent >= max_attempts_ || !server.listed) return false;
      ask_origin(slot);
      return true;
    }
    if (ramp(server) < 1) return false;  // a starting server gets no retries
    const bool well = server.spoilt < kSpoiltToDoubt && server.full_until <= now_ && !off(server.health);
    if (!well || !in_plan(server) || open.origin != OriginUse::none || attempts_left(open) == 0) return false;
    send(slot, attempt.server);
    return true;
  }

  // An execution ended without an answer: the next unused server of the plan, while others run on.
  void move_on(std::uint32_t slot) {
    Open& open = open_[slot];
    if (open.origin == OriginUse::waiting || open.origin == OriginUse::following) return;
    if (open.live > 0 && class_of(open).effect != Effect::safe) return;
    if (may_send_again(open) && open.request.deadline - now_ > config_.answer_slack) {
      const Attempt& last = open.attempts[open.sent - 1];
      if (last.origin || to_origin_first(open)) {
        if (open.sent < max_attempts_ && never_ran(last.outcome))
          return add_timer(now_ + kTick, Wake::hold, slot, open.generation);
      } else if (attempts_left(open) > 0 && open.origin != OriginUse::out) {
        if (const ServerId server = pick(open, false); server != kNone) return send(slot, server);
      }
    }
    if (open.live > 0) return;
    // Every cache server turned it away, the origin has room: the last attempt was kept for that.
    const bool read =
        config_.aside && class_of(open).effect == Effect::safe && open.origin == OriginUse::none;
    if (read && open.sent < max_attempts_ && origin_has_room()) return ask_origin(slot);
    give_up(slot);
  }

  void give_up(std::uint32_t slot) {
    Open& open = open_[slot];
    if (may_send_again(open)) {
      sink_.refuse(open.request.id, config_.max_retry_after / 8);
    } else {
      sink_.fail(open.request.id);
    }
    finish(slot);
  }

  void finish(std::uint32_t slot) {
    Open& open = open_[slot];
    open.over = true;
    // An origin read that is out is left to end: the origin works on and the answer is stored.
    for (std::uint32_t i = 0; i < open.sent && config_.can_cancel; ++i)
      if (open.attempts[i].live && !open.attempts[i].origin) sink_.cancel(open.request.id, i);
    if (open.origin != OriginUse::out) hand_over(slot, false);
    release(slot);
  }

  void release(std::uint32_t slot) {
    Open& open = open_[slot];
    if (!open.used || !open.over || open.live > 0) return;
    slots_.erase(open.request.id);
    open.used = false;
    ++open.generation;
    free_.push_back(slot);
  }

  void on_stream_started(Time now, RequestId id) {
    now_ = now;
    const auto found = slots_.find(id);
    if (found != slots_.end()) open_[found->second].streaming = true;
  }

  void on_result(Time now, const AttemptResult& result) {
    now_ = now;
    const auto found = slots_.find(result.request);
    if (found == slots_.end()) return;
    const std::uint32_t slot = found->second;
    if (result.attempt >= open_[slot].sent || !open_[slot].attempts[result.attempt].live) return;
    {
      Open& open = open_[slot];
      Attempt& attempt = open.attempts[result.attempt];
      attempt.live = false;
      attempt.outcome = result.outcome;
      --open.live;
      --servers_[attempt.server].in_flight;
      if (attempt.stuck) --servers_[attempt.server].stuck, --stuck_;
      for (Health* health : healths(servers_[attempt.server])) --health->in_flight;
      --(attempt.origin ? origin_in_flight_ : cache_in_flight_);
      if (attempt.origin && open.request.write) --origin_writes_;
      judge(servers_[attempt.server], attempt, result, open);
      link(attempt.server, attempt, result);
      if (!attempt.origin && cache_limit_.value < 1) {
        const double usual = class_took_[open.request.request_class];
        cache_limit_.pause(std::max(usual, static_cast<double>(result.took)), 2 * class_of(open).aim, now_);
        add_timer(cache_limit_.rest, Wake::line);
      }
    }
    const Attempt attempt = open_[slot].attempts[result.attempt];
    const bool was_over = open_[slot].over;
    if (attempt.origin) origin_answered(slot, attempt, result);
    Open& open = open_[slot];
    if (was_over) {
      release(slot);
    } else if (result.request_over) {
      finish(slot);
    } else if (now_ >= open.request.deadline) {
      give_up(slot);
    } else if (result.outcome == Outcome::rejected) {
      sink_.fail(open.request.id);
      finish(slot);
    } else if (result.outcome == Outcome::miss && config_.aside && !attempt.origin) {
      if (open.origin == OriginUse::none) {
        ask_origin(slot);
      } else if (open.origin == OriginUse::done && open.live == 0) {
        give_up(slot);
      }
    } else {
      const bool spoilt = result.outcome == Outcome::spoilt || result.outcome == Outcome::reset;
      if (!spoilt || !ask_again(slot, attempt)) move_on(slot);
    }
    drain_entry_line();
    drain_origin_line();
  }

  void on_withdrawn(Time now, RequestId id) {
    now_ = now;
    const auto found = slots_.find(id);
    if (found == slots_.end() || open_[found->second].over) return;
    finish(found->second);
    drain_origin_line();
  }

  void resume(std::uint32_t slot) {
    Open& open = open_[slot];
    if (now_ + config_.answer_slack >= open.request.deadline) return give_up(slot);
    if (open.sent == 0 && !to_origin_first(open)) return start(slot);
    open.origin = OriginUse::none;
    ask_origin(slot);
  }

  void on_wakeup(Time now) {
    now_ = now;
    while (!timers_.empty() && timers_.top().at <= now_) {
      const Timer timer = timers_.top();
      timers_.pop();
      if (stale(timer)) continue;
      switch (timer.wake) {
        case Wake::copy: launch_copy(timer.slot); break;
        case Wake::entry:
          // It still waits: of a read that got in this timer is stale.
          open_[timer.slot].held = false;
          // The caches have no room, the origin has: one read of what would be refused.
          origin_has_room() ? ask_origin(timer.slot) : give_up(timer.slot);
          break;
        case Wake::hold: resume(timer.slot); break;
        case Wake::deadline:
          // Attempts are cut to the deadline and report just after it; what is held ends here.
          if (open_[timer.slot].live == 0) give_up(timer.slot);
          break;
        case Wake::tick:
          add_timer(now_ + kTick, Wake::tick);
          adjust_limit();
          look_around();
          break;
        case Wake::idle: close_idle(); break;
        case Wake::watch: watch(); break;
        case Wake::line: break;  // the lines are served below
      }
    }
    drain_entry_line();
    drain_origin_line();
  }

  // ---- Server state ---------------------------------------------------------------------------
  // Health from this router's own outcomes, slow start, drains. Speed learned from answers sets the
  // weight; bad outcomes in a row eject, for longer each time, and one trial request brings back. It
  // guards against slow, hung and unreachable servers. It hurts when the router's own network is at
  // fault: where everything looks bad, nothing is ejected.

  void strike(Server& server, bool group) {
    for (Health* health : healths(server)) {
      if (health != &server.health && !group) return;
      if (++health->strikes < kStrikesToEject || health->ejected_until > now_) continue;
      health->ejected_until = now_ + times(health->eject_for, 0.75 + 0.5 * draw());
      health->eject_for = std::min(kEjectMost, health->eject_for * 2);
    }
  }

  void judge(Server& server, const Attempt& attempt, const AttemptResult& result, const Open& open) {
    // Crowded: answers take long, or servers are full again after the plan's next one was tried.
    const bool full_again = result.outcome == Outcome::full && open.sent > 1;
    if (result.outcome == Outcome::served || result.outcome == Outcome::miss) {
      server.spoilt = 0;
      ++server.answers;
    }
    if (!attempt.origin && (result.outcome == Outcome::served || full_again)) {
      const double share = static_cast<double>(now_ - attempt.sent) /
                           static_cast<double>(std::max<Time>(1, class_of(open).aim));
      crowding_ += ((full_again ? 1 : std::min(share, 1.0)) - crowding_) * forget(crowding_at_, kForget);
    }
    switch (result.outcome) {
      case Outcome::served:
      case Outcome::miss:
      case Outcome::rejected:
      case Outcome::full:
        if (result.outcome == Outcome::full)
          server.full_until = now_ + static_cast<Time>(class_took_[open.request.request_class] / 2);
        for (Health* health : healths(server))
          *health = {0, health->in_flight, 0, std::max(kEjectFirst, health->eject_for / 2), now_};
        break;
      case Outcome::error: strike(server, false); break;
      case Outcome::reset:
      case Outcome::spoilt:
        if (++server.spoilt >= kSpoiltToStrike) strike(server, false);
        break;
      case Outcome::connect_failed: strike(server, !refused(result)); break;
      case Outcome::timeout:
        if (!attempt.struck) strike(server, true);
        break;
      case Outcome::cancelled:
      case Outcome::not_sent: break;
    }
    if (result.outcome != Outcome::served || !in_plan(server)) return;
    double& usual = class_took_[open.request.request_class];
    const double took = static_cast<double>(result.took);
    if (usual <= 0) usual = took;
    usual += (took - usual) * 0.01;
    const double expected = open.request.cost_hint > 0 ? static_cast<double>(open.request.cost_hint) : usual;
    server.took = server.took * 0.97 + took;
    server.expected = server.expected * 0.97 + expected;
  }

  // Connections: a server takes a bounded number, each takes some of its strength, a new one costs
  // more. An idle one is kept for a time that falls when servers refuse new ones at once.
  void link(ServerId id, const Attempt& attempt, const AttemptResult& result) {
    Server& server = servers_[id];
    if (result.outcome == Outcome::not_sent) return;
    const bool failed = result.outcome == Outcome::connect_failed;
    if (attempt.dial || failed)
      dial_refused_ += ((failed && refused(result) ? 1 : 0) - dial_refused_) * kDialForget;
    server.linked = failed ? 0 : now_;
    if (dial_refused_ > kDialRefused) {
      keep_ = std::max(kKeepLeast, times(keep_, kKeepDown));
      dial_refused_ *= kKeepDown;
      close_idle();
    } else if (attempt.dial && !failed && keep_ < keep_most_) {
      keep_ = std::min(keep_most_, times(keep_, kKeepUp));
    }
    if (failed || server.in_flight > 0) return;
    idle_.emplace_back(now_, id);
    close_idle();
  }

  void close_idle() {
    while (!idle_.empty()) {
      const auto [used, id] = idle_.front();
      Server& server = servers_[id];
      const bool stale = server.linked != used || server.in_flight > 0;
      if (!stale && now_ - used < keep()) break;
      idle_.pop_front();
      if (stale) continue;
      server.linked = 0;
      if (keep() < keep_most_) sink_.close_idle(id);
    }
    if (idle_.empty() || idle_timer_ > now_ || keep() >= keep_most_) return;
    idle_timer_ = idle_.front().first + keep();
    add_timer(idle_timer_, Wake::idle);
  }

  // What servers took, and of what they were expected to take, by kind: a server's own answers are few and
  // would set each router's plans apart.
  struct Speeds {
    std::map<std::uint32_t, std::array<double, 2>> kinds;
    double took = 0, expected = 0, mean_weight = 0;
  };
  Speeds speeds_, adding_;  // of the last walk over the plan, and of the one under way

  void count_speed(Speeds& to, const Server& server) const {
    to.mean_weight += std::max(1e-3, server.member.weight) / static_cast<double>(plan_.size());
    to.kinds[server.member.kind][0] += server.took;
    to.kinds[server.member.kind][1] += server.expected;
    to.took += server.took;
    to.expected += server.expected;
  }

  void reweigh(const Speeds& speeds, ServerId id) {
    const auto found = speeds.kinds.find(servers_[id].member.kind);
    if (speeds.expected <= 0 || found == speeds.kinds.end()) return;
    Server& server = servers_[id];
    const double mean = speeds.expected / speeds.took;
    const double unit = kKindPrior * speeds.expected;
    const double speed = (found->second[1] + unit) / (found->second[0] + unit / mean) / mean;
    // The listed weight may tell the same: the two are averaged, not multiplied.
    const double listed = std::max(1e-3, server.member.weight) / speeds.mean_weight;
    const double weight = std::pow(listed, 1 - kSpeedPower) *
                          std::pow(std::clamp(speed, 1 / kSpeedRange, kSpeedRange), kSpeedPower);
    if (std::abs(weight / server.weight - 1) <= 0.1) return;
    server.weight = weight;
    index_.set_weight(server.member.identity, id, std::max(1e-3, weight));
  }

  // A small plan at once, each second; a large one in parts, so that no tick walks over all.
  void look_around() {
    if (!index_.split()) {
      if (now_ - last_reweigh_ < kReweigh) return;
      last_reweigh_ = now_;
      Speeds speeds;
      for (const ServerId id : plan_) count_speed(speeds, servers_[id]);
      for (const ServerId id : plan_) reweigh(speeds, id);
      return;
    }
    for (std::size_t i = 0; i < kLookAround; ++i) {
      if (next_look_ >= plan_.size()) {
        next_look_ = 0;
        speeds_ = std::exchange(adding_, {});
        return;
      }
      const ServerId id = plan_[next_look_++];
      look_at(servers_[id]);
      count_speed(adding_, servers_[id]);
      reweigh(speeds_, id);
    }
  }

  // ---- Origin guard ---------------------------------------------------------------------------
  // A limit on the origin work in flight, learned from its answers; one read of a key at a time; a
  // short wait in line, then an early refusal. It guards against floods of misses from flushes, cold
  // servers and remapped keys, and against a slow origin. It hurts when the origin is merely far away
  // and slow answers are normal, which is why its usual time counts too.

  void ask_origin(std::uint32_t slot) {
    Open& open = open_[slot];
    if (!open.request.write && open.request.has_key) {
      const auto [entry, first] = fetching_.try_emplace(open.request.key, slot);
      if (!first && entry->second != slot) {
        open.origin = OriginUse::following;
        open_[entry->second].followers.push_back(slot);
        return;
      }
    }
    open.origin = OriginUse::waiting;
    if (open.request.write) {
      origin_line_.emplace_front(slot, open.generation);
    } else {
      origin_line_.emplace_back(slot, open.generation);
    }
    drain_origin_line();
  }

  void drain_origin_line() {
    const bool usable =
        origin_ != kNone && servers_[origin_].listed && servers_[origin_].member.phase == Phase::ready;
    while (!origin_line_.empty()) {
      const auto [slot, generation] = origin_line_.front();
      Open& open = open_[slot];
      const bool stale = open.generation != generation || open.over || open.origin != OriginUse::waiting;
      const bool write = open.request.write;
      // A line that moves too slowly: what has missed its aim makes room for what can still be met.
      const bool missed = !stale && !write && open.live == 0 &&
                          now_ + static_cast<Time>(origin_now_) > open.arrived + class_of(open).aim &&
                          static_cast<double>(origin_line_.size()) > origin_limit_.value;
      // One read always moves beside the writes.
      const int reads = origin_in_flight_ - origin_writes_;
      const bool room = write ? origin_writes_ < origin_limit_.value + 1
                              : origin_limit_.room(reads == 0 ? 0 : origin_in_flight_, now_);
      if (!stale && !missed && (!usable || !room)) return;
      origin_line_.pop_front();
      if (stale) continue;
      if (missed || open.sent >= max_attempts_) {
        give_up(slot);
        continue;
      }
      open.origin = OriginUse::out;
      send(slot, origin_);
    }
  }

  void origin_answered(std::uint32_t slot, const Attempt& attempt, const AttemptResult& result) {
    Open& open = open_[slot];
    open.origin = OriginUse::done;
    const double took = static_cast<double>(now_ - attempt.sent);
    const double aim = static_cast<double>(class_of(open).aim);
    bool crowded = result.outcome == Outcome::full || result.outcome == Outcome::timeout;
    if (result.outcome == Outcome::served) {
      if (origin_now_ <= 0) origin_now_ = origin_base_ = took;
      origin_now_ += (took - origin_now_) * forget(origin_at_, 2 * kForget);
      origin_base_ = std::min(origin_base_ * 1.002, origin_now_);
      crowded = origin_now_ > std::max(kOriginSlowPerAim * aim, kOriginSlowPerBase * origin_base_);
      const double limit = origin_limit_.value;
      const bool used = limit < 1 ? !origin_line_.empty() : origin_in_flight_ + 1 >= limit * 0.8;
      if (!crowded && used) origin_limit_.value += std::min(1 / limit, 0.5 * limit);
    }
    if (crowded && attempt.sent > origin_cut_) {  // once a round trip
      origin_limit_.value *= 0.8;
      origin_cut_ = now_;
    }
    origin_limit_.value = std::clamp(origin_limit_.value, kOriginLeast * even_part(), kOriginMost);
    if (!open.request.write) {
      origin_limit_.pause(took, 2 * class_of(open).aim, now_);
      if (origin_limit_.rest > now_) add_timer(origin_limit_.rest, Wake::line);
    }
    hand_over(slot, result.outcome == Outcome::served);
  }

  // The read of a key has ended: its followers go back to the server that was filled, or the first
  // of them becomes the next to read it.
  void hand_over(std::uint32_t slot, bool filled) {
    Open& open = open_[slot];
    if (const auto found = fetching_.find(open.request.key);
        found != fetching_.end() && found->second == slot)
      fetching_.erase(found);
    ServerId at = kNone;
    for (std::uint32_t i = 0; i < open.sent && at == kNone; ++i)
      if (open.attempts[i].outcome == Outcome::miss && !open.attempts[i].live) at = open.attempts[i].server;
    const std::vector<std::uint32_t> followers = std::exchange(open.followers, {});
    for (const std::uint32_t follower : followers) {
      Open& waits = open_[follower];
      if (waits.over || waits.origin != OriginUse::following) continue;
      waits.origin = OriginUse::none;
      if (filled && at != kNone && in_plan(servers_[at]) && attempts_left(waits) > 0) {
        send(follower, at);
      } else {
        ask_origin(follower);
      }
    }
  }

  // ---- Admission ------------------------------------------------------------------------------
  // Sheds what cannot be answered in time, only under pressure: a limit on cache work in flight, cut
  // when answers take long or reads are turned away twice, raised while it is used. Tenants over
  // their quota and classes of less worth get less of it; a read waits a little for room, last in
  // first out. It guards against overload of any cause, crowds that make servers slower, and bursts.
  // It hurts when answers are slow for a reason that less work does not cure: then it refuses what
  // would have been late but welcome. Writes that go to the origin pass.

  bool use_quota(const Request& request) {
    bool over_quota = false;
    if (request.tenant < tenants_.size() && config_.tenants[request.tenant].quota_per_s > 0) {
      TenantState& tenant = tenants_[request.tenant];
      const double rate = config_.tenants[request.tenant].quota_per_s / config_.routers;
      tenant.tokens += rate * static_cast<double>(now_ - tenant.filled) / kSecond;
      tenant.tokens = std::min(tenant.tokens, rate * 2 + 2);
      tenant.filled = now_;
      over_quota = tenant.tokens < 1;
      if (!over_quota) tenant.tokens -= 1;
    }
    return over_quota;
  }

  bool admits(const Request& request, bool over_quota) {
    if (request.write && config_.aside) return true;
    const double worth = config_.classes[request.request_class].worth / most_worth_;
    const double part = over_quota ? kOverQuotaPart : 1 - kLeastWorthPart * (1 - worth);
    const bool room = cache_limit_.room(cache_in_flight_ / part, now_);
    limit_used_ |= !room;
    return room;
  }

  void drain_entry_line() {
    while (!entry_line_.empty()) {
      const auto [slot, generation] = entry_line_.back();
      Open& open = open_[slot];
      const bool stale = open.generation != generation || open.over || !open.held;
      if (!stale && !admits(open.request, false)) return;
      entry_line_.pop_back();
      if (stale) continue;
      open.held = false;
      start(slot);
    }
  }

  void adjust_limit() {
    const int in_flight = cache_in_flight_;
    double& limit = cache_limit_.value;
    if (crowding_ > kCrowdedPerAim) {
      limit = std::max(kLimitLeast * even_part(), std::min<double>(limit, in_flight + 1) * kShedDown);
    } else if (limit_used_ || in_flight >= limit * 0.7) {
      limit = std::min(1e9, limit * kShedUp);
    }
    limit_used_ = false;
  }

  // ---- Discovery ------------------------------------------------------------------------------
  // Takes pushed changes, or subscribes where the list must be asked, again after a failure with
  // backoff and jitter. It guards against a list that is out of reach: the old one stays in use.

  void ask_after(Time wait) {
    ask_at_ = now_ + wait;
    add_timer(ask_at_, Wake::watch);
  }

  void watch() {
    if (watching_ || now_ < ask_at_) return;  // a later time was set since this timer was
    sink_.watch_members();
    ask_after(kAskAgain);  // should no answer come at all
  }

  // All but what is in flight, and its place in the plan.
  static void forget(Server& server) {
    Server fresh;
    fresh.in_flight = server.in_flight;
    fresh.stuck = server.stuck;
    fresh.answers = server.answers;
    fresh.planned = server.planned;
    fresh.counted = server.counted;
    server = fresh;
  }

  void on_members(Time now, Update update, std::span<const Member> members) {
    now_ = now;
    watching_ = !config_.must_ask || (update != Update::stale && update != Update::failed);
    if (watching_) {
      ask_backoff_ = 0;
    } else if (update == Update::stale) {
      ask_after(times(kSecond, draw()));
    } else {
      ask_backoff_ = std::clamp(ask_backoff_ * 2, kAskFirst, kAskMost);
      ask_after(times(ask_backoff_, 0.5 + draw()));
    }
    if (update == Update::failed) return;
    if (update != Update::changes)
      for (Server& server : servers_) server.listed = false;
    for (const Member& member : members) {
      if (member.id >= servers_.size()) servers_.resize(member.id + 1U);
      Server& server = servers_[member.id];
      if (server.zone != nullptr)
        for (Health* health : healths(server)) health->in_flight -= server.in_flight;
      // A new process, or another server under an id that is used again: nothing learned holds.
      if (member.identity != server.member.identity && server.planned) unplan(member.id);
      if (member.started != server.member.started || member.identity != server.member.identity)
        forget(server);
      if (server.member.id == kNone) {
        server.weight = std::max(1e-3, member.weight);
        index_.set_weight(member.identity, member.id, server.weight);
      }
      server.member = member;
      server.zone = &zones_[member.zone];
      server.cell = &cells_[member.cell];
      for (Health* health : healths(server)) health->in_flight += server.in_flight;
      server.listed = member.phase != Phase::gone;
      const bool origin = config_.aside && member.kind == config_.origin_kind && server.listed;
      if (origin) origin_ = member.id;
      if (!origin && origin_ == member.id) origin_ = kNone;
    }
    if (update == Update::changes) {
      for (const Member& member : members) replan(member.id);
    } else {
      for (ServerId id = 0; id < servers_.size(); ++id) replan(id);
    }
    // Nothing is known yet: an even part of what the servers should hold at once.
    const double even = even_part();
    if (cache_limit_.value <= 0 && !plan_.empty()) {
      cache_limit_.value = std::max(1.0, kLimitStart * even);
      copy_tokens_ = kCopyBudgetBurst * even;
      origin_limit_.value = std::min(kOriginFirstMost, kOriginStart * even);
    }
    copy_most_ = std::max(2.0, kCopyBudgetBurst * even);
    drain_origin_line();
  }
};

// ---- The interface --------------------------------------------------------------------------

Router::Router(Config config, std::uint64_t seed, Time now, ActionSink& sink)
    : impl_(std::make_unique<Impl>(std::move(config), seed, now, sink)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
void Router::on_members(Time now, Update kind, std::span<const Member> all) {
  impl_->on_members(now, kind, all);
}
void Router::on_request(Time now, const Request& request) { impl_->on_request(now, request); }
void Router::on_stream_started(Time now, RequestId id, std::uint32_t) { impl_->on_stream_started(now, id); }
void Router::on_result(Time now, const AttemptResult& result) { impl_->on_result(now, result); }
void Router::on_withdrawn(Time now, RequestId request) { impl_->on_withdrawn(now, request); }
void Router::on_wakeup(Time now) { impl_->on_wakeup(now); }
Time Router::next_wakeup() const { return impl_->next_wakeup(); }

}  // namespace streampick
