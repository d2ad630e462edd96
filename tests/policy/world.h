// A world round the decision module, the same every time it is drawn from the same seed: servers that answer,
// miss, stall, break and leave, clients that come, go and come back. Time is the world's own.
#pragma once

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <vector>

#include "streampick/router.h"

namespace streampick::test {

inline constexpr Time kWorldMs = 1'000;
inline constexpr ServerId kWorldOrigin = 0;

struct Shape {
  const char* name;
  std::uint64_t seed;
  ServerId caches;
  Time every;    // between requests, us, on average
  Time work;     // of an answer, us, on average
  int trouble;   // of 1,000 attempts, how many meet some
  bool changes;  // servers come, drain and go
  // From one time after the start until the other no cache answers, and all that waited is answered then.
  Time stall_from = 0, stall_to = 0;
  bool come_back = false;  // the refused come back once, when they were told to
  // Servers of bounded strength, where `slots` is set: so many at work, and a line of `line` behind them that
  // turns away what comes beyond. An origin's work takes four times as long.
  int slots = 0, line = 0, origin_slots = 0;
  // Between these times after the start, so many times as many requests.
  Time burst_from = 0, burst_to = 0;
  int burst = 1;
  Time flush_at = 0;  // when 91% of what caches of bounded strength keep goes void; 0: never
};

// What came in each second after the start, and what of that was answered within its aim.
struct Second {
  int asked = 0, good = 0;
};

struct Tally {
  std::uint64_t digest = 0xcbf29ce484222325U, sends = 0, cancels = 0, refused = 0, failed = 0, served = 0;
  void add(std::uint64_t value) {  // FNV-1a, by bytes
    for (int i = 0; i < 8; ++i) {
      digest ^= (value >> (8 * i)) & 0xffU;
      digest *= 0x100000001b3U;
    }
  }
};

class World final : public ActionSink {
 public:
  explicit World(const Shape& shape)
      : shape_(shape), random_(shape.seed), router_(config(), shape.seed, now_, *this) {
    for (ServerId id = 0; id <= shape_.caches; ++id) list_.push_back(member(id));
    router_.on_members(now_, Update::full, list_);
  }

  const Tally& run(int requests) {
    at(now_ + kWorldMs, Kind::arrival, 0, 0);
    if (shape_.changes) at(now_ + 300 * kWorldMs, Kind::change, 0, 0);
    left_ = requests;
    // A quiet world ends; the module's own ticks go on for good.
    while (!events_.empty() || !open_.empty()) {
      const Time wake = router_.next_wakeup();
      if (events_.empty() || wake < events_.top().time) {
        now_ = std::max(now_, wake);
        router_.on_wakeup(now_);
        continue;
      }
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      play(event);
      if (new_settings_ > 0 && ++played_ % new_settings_ == 0) router_.on_config(now_, config());
    }
    return tally_;
  }
  // The settings are given anew, the same, after each so many events.
  void give_settings_each(int events) { new_settings_ = events; }
  std::size_t unanswered() const { return open_.size(); }
  const std::map<Time, Second>& seconds() const { return seconds_; }
  int most_at_origin() const { return most_at_origin_; }
  int origin_reads() const { return origin_reads_; }
  // Of all attempts, since the start.
  const std::vector<Time>& sent_at() const { return sent_at_; }

  void send(RequestId request, ServerId server, Time time_out) override {
    const std::uint32_t number = attempts_[request]++;
    ++tally_.sends;
    act(1, request, server, time_out);
    Open& open = open_.at(request);
    const std::uint64_t luck = random_() % 1000;
    Outcome outcome = server == kWorldOrigin || luck % 7 != 0 ? Outcome::served : Outcome::miss;
    Time takes = 1 + static_cast<Time>(random_() % static_cast<std::uint64_t>(2 * shape_.work));
    if (server == kWorldOrigin) takes *= 4;
    if (luck < static_cast<std::uint64_t>(shape_.trouble)) {
      constexpr Outcome kinds[] = {Outcome::error,          Outcome::overloaded, Outcome::reset,
                                   Outcome::connect_failed, Outcome::malformed,  Outcome::timeout,
                                   Outcome::invalid_request};
      outcome = kinds[random_() % 7];
    }
    const Time since = now_ - kStart;
    if (server != kWorldOrigin && since >= shape_.stall_from && since < shape_.stall_to)
      takes += kStart + shape_.stall_to - now_;
    sent_at_.push_back(since);
    if (shape_.slots > 0) work(server, open, outcome, takes);
    if (outcome == Outcome::timeout || now_ + takes >= open.deadline) {
      outcome = Outcome::timeout;
      takes = std::max<Time>(1, open.deadline - now_);
    }
    out_[{request, number}] = {server, now_, outcome};
    at(now_ + takes, Kind::result, request, number);
  }
  void cancel(RequestId request, std::uint32_t attempt) override {
    ++tally_.cancels;
    act(2, request, attempt, 0);
    const auto found = out_.find({request, attempt});
    if (found == out_.end()) return;
    found->second.outcome = Outcome::cancelled;
    at(now_, Kind::result, request, attempt);
  }
  void reject(RequestId request, Time retry_after) override {
    ++tally_.refused;
    act(3, request, 0, retry_after);
    if (shape_.come_back && retry_after > 0 && again_.insert(request).second)
      at(now_ + retry_after, Kind::again, request, 0);
    end(request);
  }
  void fail(RequestId request) override {
    ++tally_.failed;
    act(4, request, 0, 0);
    end(request);
  }
  void close_idle(ServerId server) override { act(5, 0, server, 0); }
  void poll_discovery() override { act(6, 0, 0, 0); }

 private:
  enum class Kind : std::uint8_t { arrival, result, leave, change, again };
  struct Event {
    Time time;
    std::uint64_t order;
    Kind kind;
    RequestId request;
    std::uint32_t attempt;
    bool operator<(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };
  struct Open {
    Time deadline = 0, came = 0, aim = 0;
    std::uint64_t key = 0;
    std::vector<ServerId> missed = {};
  };
  struct Out {
    ServerId server;
    Time sent;
    Outcome outcome;
  };

  static Config config() {
    Config out;
    out.zone = 0;
    out.origin_kind = 9;
    out.routers = 2;
    out.max_attempts = 3;
    out.cache_aside = true;
    out.can_cancel = true;
    out.can_hedge = true;
    out.answer_slack = 20 * kWorldMs;
    out.max_retry_after = 2'000 * kWorldMs;
    out.connect_timeout = 250 * kWorldMs;
    out.keep_alive = 60'000 * kWorldMs;
    out.connection_cost = 0.03;
    out.slow_start_initial_share = 0.2;
    out.slow_start_duration = 10'000 * kWorldMs;
    out.classes = {{200 * kWorldMs, 1'000 * kWorldMs, 5, Effect::safe, Group::all, 0},
                   {400 * kWorldMs, 900 * kWorldMs, 2, Effect::keyed, Group::all, 500 * kWorldMs},
                   {400 * kWorldMs, 900 * kWorldMs, 1, Effect::unsafe, Group::all, 0}};
    out.tenants = {{0}, {40}};
    return out;
  }
  Member member(ServerId id, Phase phase = Phase::ready, Time started = 0) const {
    Member out;
    out.id = id;
    out.identity = (id + 1) * 0x9e3779b97f4a7c15U;
    out.zone = id % 3;
    out.kind = id == kWorldOrigin ? 9 : id % 2;
    out.cell = id / 4;
    out.phase = phase;
    out.started = started;
    return out;
  }
  void at(Time time, Kind kind, RequestId request, std::uint32_t attempt) {
    events_.push({time, order_++, kind, request, attempt});
  }
  void act(std::uint64_t kind, RequestId request, std::uint64_t which, Time time) {
    tally_.add(kind);
    tally_.add(static_cast<std::uint64_t>(now_));
    tally_.add(request);
    tally_.add(which);
    tally_.add(static_cast<std::uint64_t>(time));
  }
  void end(RequestId request) { open_.erase(request); }

  // A server of bounded strength: how long it takes with what it has to do already, and what comes of it.
  void work(ServerId server, Open& open, Outcome& outcome, Time& takes) {
    const bool origin = server == kWorldOrigin;
    const Time length = origin ? 4 * shape_.work : shape_.work;
    const int slots = origin ? shape_.origin_slots : shape_.slots;
    std::vector<Time>& free = busy_[server];
    free.resize(static_cast<std::size_t>(slots));
    Time& next = *std::min_element(free.begin(), free.end());
    const Time waits = std::max<Time>(0, next - now_);
    if (waits > length * shape_.line / slots) {
      outcome = Outcome::overloaded;
      takes = kWorldMs;
      return;
    }
    next = now_ + waits + length;
    takes = waits + length;
    outcome = Outcome::served;
    if (origin) {
      most_at_origin_ = std::max(most_at_origin_, ++at_origin_);
      ++origin_reads_;
      for (const ServerId missed : open.missed) stored_.insert({missed, open.key});
      return;
    }
    const bool flushed = shape_.flush_at > 0 && now_ - kStart >= shape_.flush_at;
    if (!flushed || (open.key ^ (server * 0x9e3779b9U)) % 100 >= 91 || stored_.contains({server, open.key}))
      return;
    outcome = Outcome::miss;
    takes = waits + kWorldMs;
    open.missed.push_back(server);
  }

  void play(const Event& event) {
    switch (event.kind) {
      case Kind::arrival: return arrive();
      case Kind::change: return change();
      case Kind::again: return ask(false);
      case Kind::leave:
        if (open_.erase(event.request) > 0) router_.on_cancelled(now_, event.request);
        return;
      case Kind::result: break;
    }
    const auto found = out_.find({event.request, event.attempt});
    if (found == out_.end()) return;
    const Out out = found->second;
    out_.erase(found);
    AttemptResult result;
    result.request = event.request;
    result.attempt = event.attempt;
    result.server = out.server;
    result.outcome = out.outcome;
    result.duration = now_ - out.sent;
    if (out.server == kWorldOrigin && shape_.slots > 0 && out.outcome != Outcome::overloaded) --at_origin_;
    if (const auto open = open_.find(event.request); out.outcome == Outcome::served && open != open_.end()) {
      ++tally_.served;
      if (now_ - open->second.came <= open->second.aim)
        ++seconds_[(open->second.came - kStart) / (1'000 * kWorldMs)].good;
      open_.erase(open);
    }
    result.request_over = !open_.contains(event.request);
    router_.on_result(now_, result);
  }
  void arrive() {
    ask(true);
    if (--left_ <= 0) return;
    const Time since = now_ - kStart;
    const bool more = since >= shape_.burst_from && since < shape_.burst_to;
    const Time every = more ? shape_.every / shape_.burst : shape_.every;
    at(now_ + 1 + static_cast<Time>(random_() % static_cast<std::uint64_t>(2 * every)), Kind::arrival, 0, 0);
  }
  void ask(bool first) {
    Request request;
    request.id = ++last_;
    const std::uint64_t draw = random_() % 100;
    request.request_class = draw < 88 ? 0 : draw < 96 ? 1 : 2;
    request.write = request.request_class > 0;
    request.tenant = random_() % 4 == 0 ? 1 : 0;
    // Few keys are asked for often.
    const std::uint64_t popular = random_() % 500, seldom = random_() % 500;
    request.key = std::min(popular, seldom) * 0x9e3779b97f4a7c15U;
    request.has_key = true;
    request.deadline = now_ + 900 * kWorldMs;
    open_[request.id] = {request.deadline, now_, (request.write ? 400 : 200) * kWorldMs, request.key};
    ++seconds_[(now_ - kStart) / (1'000 * kWorldMs)].asked;
    if (random_() % 50 == 0) at(now_ + 20 * kWorldMs, Kind::leave, request.id, 0);
    router_.on_request(now_, request);
    if (!first) again_.insert(request.id);  // nobody comes back twice
  }
  void change() {
    const auto which = static_cast<ServerId>(1 + random_() % shape_.caches);
    const std::uint64_t what = random_() % 4;
    Member changed = member(which,
                            what == 0   ? Phase::draining
                            : what == 1 ? Phase::gone
                                        : Phase::ready,
                            what == 2 ? now_ : 0);
    list_[which] = changed;
    const Update update = what == 3 ? Update::full : Update::changes;
    std::vector<Member> told;
    if (update == Update::full) {
      for (const Member& one : list_)
        if (one.phase != Phase::gone) told.push_back(one);
    } else {
      told.push_back(changed);
    }
    router_.on_members(now_, update, told);
    if (left_ > 0) at(now_ + 200 * kWorldMs, Kind::change, 0, 0);
  }

  Shape shape_;
  std::mt19937_64 random_;
  static constexpr Time kStart = 1'000'000 * kWorldMs;
  Time now_ = kStart;
  std::vector<Time> sent_at_;
  std::map<Time, Second> seconds_;
  std::map<ServerId, std::vector<Time>> busy_;           // when each of a server's slots is free
  std::set<std::pair<ServerId, std::uint64_t>> stored_;  // since the flush
  int at_origin_ = 0, most_at_origin_ = 0, origin_reads_ = 0;
  std::set<RequestId> again_;
  Tally tally_;
  std::vector<Member> list_;
  std::map<RequestId, Open> open_;
  std::map<RequestId, std::uint32_t> attempts_;
  std::map<std::pair<RequestId, std::uint32_t>, Out> out_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  RequestId last_ = 0;
  int left_ = 0, new_settings_ = 0, played_ = 0;
  Router router_;
};

}  // namespace streampick::test
