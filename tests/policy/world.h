// A simulation around one Router, reproducible by its seed. Servers answer, miss, stall, fail and leave the
// list; clients send requests, cancel them and retry. Time is simulated, in microseconds.
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

struct Scenario {
  const char* name;
  std::uint64_t seed;
  ServerId caches;
  Time mean_interval;      // between two requests
  Time mean_service_time;  // of an answer of a cache; four times as long at the origin
  int failures_per_mille;  // of all attempts
  bool changes_list;       // servers join, drain and leave
  // No cache answers between these times after the start. All waiting attempts are answered at the end.
  Time stall_from = 0, stall_to = 0;
  bool clients_retry = false;  // clients retry a rejected request once, after its Retry-After
  // Servers of limited capacity, if `slots` is not 0: the number of requests that a cache or the origin
  // processes at once, and the length of its queue. Requests beyond it are rejected as overloaded.
  int slots = 0, queue_length = 0, origin_slots = 0;
  // Between these times after the start, the request rate is multiplied by this factor.
  Time burst_from = 0, burst_to = 0;
  int burst_factor = 1;
  Time flush_at = 0;  // when caches of limited capacity lose 91% of their values; 0: never
};

// Requests that arrived in one second, and how many of them were answered within their latency objective.
struct Second {
  int requests = 0, in_time = 0;
};

struct ActionCounts {
  std::uint64_t digest = 0xcbf29ce484222325U, sends = 0, cancels = 0, rejected = 0, failed = 0, served = 0;
  void add(std::uint64_t value) {  // FNV-1a over the bytes
    for (int i = 0; i < 8; ++i) {
      digest ^= (value >> (8 * i)) & 0xffU;
      digest *= 0x100000001b3U;
    }
  }
};

class Simulation final : public ActionSink {
 public:
  explicit Simulation(const Scenario& scenario)
      : scenario_(scenario), random_(scenario.seed), router_(config(), scenario.seed, now_, *this) {
    for (ServerId id = 0; id <= scenario_.caches; ++id) list_.push_back(member(id));
    router_.on_members(now_, Update::full, list_);
  }

  const ActionCounts& run(int requests) {
    schedule(now_ + kWorldMs, Kind::arrival, 0, 0);
    if (scenario_.changes_list) schedule(now_ + 300 * kWorldMs, Kind::change, 0, 0);
    requests_left_ = requests;
    // The loop ends without events or open requests; the module's ticks alone would never end.
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
      handle(event);
      if (reapply_period_ > 0 && ++handled_events_ % reapply_period_ == 0) router_.on_config(now_, config());
    }
    return counts_;
  }
  // Applies equal settings again after every `events` events.
  void reapply_settings_every(int events) { reapply_period_ = events; }
  std::size_t unanswered() const { return open_.size(); }
  const std::map<Time, Second>& seconds() const { return seconds_; }
  int max_at_origin() const { return max_at_origin_; }
  int origin_reads() const { return origin_reads_; }
  // The times of all attempts, in microseconds since the start.
  const std::vector<Time>& sent_at() const { return sent_at_; }

  void send(RequestId request, ServerId server, Time time_out) override {
    const std::uint32_t number = attempts_[request]++;
    ++counts_.sends;
    record_action(1, request, server, time_out);
    OpenRequest& open = open_.at(request);
    const std::uint64_t failure_draw = random_() % 1000;
    Outcome outcome = server == kWorldOrigin || failure_draw % 7 != 0 ? Outcome::served : Outcome::miss;
    Time duration =
        1 + static_cast<Time>(random_() % static_cast<std::uint64_t>(2 * scenario_.mean_service_time));
    if (server == kWorldOrigin) duration *= 4;
    if (failure_draw < static_cast<std::uint64_t>(scenario_.failures_per_mille)) {
      constexpr Outcome kinds[] = {Outcome::error,          Outcome::overloaded, Outcome::reset,
                                   Outcome::connect_failed, Outcome::malformed,  Outcome::timeout,
                                   Outcome::invalid_request};
      outcome = kinds[random_() % 7];
    }
    const Time since = now_ - kStart;
    if (server != kWorldOrigin && since >= scenario_.stall_from && since < scenario_.stall_to)
      duration += kStart + scenario_.stall_to - now_;
    sent_at_.push_back(since);
    if (scenario_.slots > 0) serve(server, open, outcome, duration);
    if (outcome == Outcome::timeout || now_ + duration >= open.deadline) {
      outcome = Outcome::timeout;
      duration = std::max<Time>(1, open.deadline - now_);
    }
    in_flight_[{request, number}] = {server, now_, outcome};
    schedule(now_ + duration, Kind::result, request, number);
  }
  void cancel(RequestId request, std::uint32_t attempt) override {
    ++counts_.cancels;
    record_action(2, request, attempt, 0);
    const auto found = in_flight_.find({request, attempt});
    if (found == in_flight_.end()) return;
    found->second.outcome = Outcome::cancelled;
    schedule(now_, Kind::result, request, attempt);
  }
  void reject(RequestId request, Time retry_after) override {
    ++counts_.rejected;
    record_action(3, request, 0, retry_after);
    if (scenario_.clients_retry && retry_after > 0 && retried_.insert(request).second)
      schedule(now_ + retry_after, Kind::client_retry, request, 0);
    end(request);
  }
  void fail(RequestId request) override {
    ++counts_.failed;
    record_action(4, request, 0, 0);
    end(request);
  }
  void close_idle(ServerId server) override { record_action(5, 0, server, 0); }
  void poll_discovery() override { record_action(6, 0, 0, 0); }

 private:
  enum class Kind : std::uint8_t { arrival, result, client_cancel, change, client_retry };
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
  struct OpenRequest {
    Time deadline = 0, arrived_at = 0, latency_objective = 0;
    std::uint64_t key = 0;
    std::vector<ServerId> missed = {};
  };
  struct Attempt {
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
  void schedule(Time time, Kind kind, RequestId request, std::uint32_t attempt) {
    events_.push({time, order_++, kind, request, attempt});
  }
  void record_action(std::uint64_t kind, RequestId request, std::uint64_t which, Time time) {
    counts_.add(kind);
    counts_.add(static_cast<std::uint64_t>(now_));
    counts_.add(request);
    counts_.add(which);
    counts_.add(static_cast<std::uint64_t>(time));
  }
  void end(RequestId request) { open_.erase(request); }

  // Computes the duration and the outcome of an attempt at a server of limited capacity, from its current
  // load.
  void serve(ServerId server, OpenRequest& open, Outcome& outcome, Time& duration) {
    const bool origin = server == kWorldOrigin;
    const Time service_time = origin ? 4 * scenario_.mean_service_time : scenario_.mean_service_time;
    const int slots = origin ? scenario_.origin_slots : scenario_.slots;
    std::vector<Time>& free = slots_free_at_[server];
    free.resize(static_cast<std::size_t>(slots));
    Time& next = *std::min_element(free.begin(), free.end());
    const Time queue_time = std::max<Time>(0, next - now_);
    if (queue_time > service_time * scenario_.queue_length / slots) {
      outcome = Outcome::overloaded;
      duration = kWorldMs;
      return;
    }
    next = now_ + queue_time + service_time;
    duration = queue_time + service_time;
    outcome = Outcome::served;
    if (origin) {
      max_at_origin_ = std::max(max_at_origin_, ++at_origin_);
      ++origin_reads_;
      for (const ServerId missed : open.missed) stored_.insert({missed, open.key});
      return;
    }
    const bool flushed = scenario_.flush_at > 0 && now_ - kStart >= scenario_.flush_at;
    if (!flushed || (open.key ^ (server * 0x9e3779b9U)) % 100 >= 91 || stored_.contains({server, open.key}))
      return;
    outcome = Outcome::miss;
    duration = queue_time + kWorldMs;
    open.missed.push_back(server);
  }

  void handle(const Event& event) {
    switch (event.kind) {
      case Kind::arrival: return on_arrival();
      case Kind::change: return change_list();
      case Kind::client_retry: return send_request(false);
      case Kind::client_cancel:
        if (open_.erase(event.request) > 0) router_.on_cancelled(now_, event.request);
        return;
      case Kind::result: break;
    }
    const auto found = in_flight_.find({event.request, event.attempt});
    if (found == in_flight_.end()) return;
    const Attempt out = found->second;
    in_flight_.erase(found);
    AttemptResult result;
    result.request = event.request;
    result.attempt = event.attempt;
    result.server = out.server;
    result.outcome = out.outcome;
    result.duration = now_ - out.sent;
    if (out.server == kWorldOrigin && scenario_.slots > 0 && out.outcome != Outcome::overloaded) --at_origin_;
    if (const auto open = open_.find(event.request); out.outcome == Outcome::served && open != open_.end()) {
      ++counts_.served;
      if (now_ - open->second.arrived_at <= open->second.latency_objective)
        ++seconds_[(open->second.arrived_at - kStart) / (1'000 * kWorldMs)].in_time;
      open_.erase(open);
    }
    result.request_over = !open_.contains(event.request);
    router_.on_result(now_, result);
  }
  void on_arrival() {
    send_request(true);
    if (--requests_left_ <= 0) return;
    const Time since = now_ - kStart;
    const bool more = since >= scenario_.burst_from && since < scenario_.burst_to;
    const Time every = more ? scenario_.mean_interval / scenario_.burst_factor : scenario_.mean_interval;
    schedule(now_ + 1 + static_cast<Time>(random_() % static_cast<std::uint64_t>(2 * every)), Kind::arrival,
             0, 0);
  }
  void send_request(bool first) {
    Request request;
    request.id = ++last_request_;
    const std::uint64_t draw = random_() % 100;
    request.request_class = draw < 88 ? 0 : draw < 96 ? 1 : 2;
    request.write = request.request_class > 0;
    request.tenant = random_() % 4 == 0 ? 1 : 0;
    // The minimum of two draws makes a few keys popular.
    const std::uint64_t first_draw = random_() % 500, second_draw = random_() % 500;
    request.key = std::min(first_draw, second_draw) * 0x9e3779b97f4a7c15U;
    request.has_key = true;
    request.deadline = now_ + 900 * kWorldMs;
    open_[request.id] = {request.deadline, now_, (request.write ? 400 : 200) * kWorldMs, request.key};
    ++seconds_[(now_ - kStart) / (1'000 * kWorldMs)].requests;
    if (random_() % 50 == 0) schedule(now_ + 20 * kWorldMs, Kind::client_cancel, request.id, 0);
    router_.on_request(now_, request);
    if (!first) retried_.insert(request.id);  // each client retries at most once
  }
  void change_list() {
    const auto which = static_cast<ServerId>(1 + random_() % scenario_.caches);
    const std::uint64_t what = random_() % 4;
    Member changed = member(which,
                            what == 0   ? Phase::draining
                            : what == 1 ? Phase::gone
                                        : Phase::ready,
                            what == 2 ? now_ : 0);
    list_[which] = changed;
    const Update update = what == 3 ? Update::full : Update::changes;
    std::vector<Member> listed;
    if (update == Update::full) {
      for (const Member& one : list_)
        if (one.phase != Phase::gone) listed.push_back(one);
    } else {
      listed.push_back(changed);
    }
    router_.on_members(now_, update, listed);
    if (requests_left_ > 0) schedule(now_ + 200 * kWorldMs, Kind::change, 0, 0);
  }

  Scenario scenario_;
  std::mt19937_64 random_;
  static constexpr Time kStart = 1'000'000 * kWorldMs;
  Time now_ = kStart;
  std::vector<Time> sent_at_;
  std::map<Time, Second> seconds_;
  std::map<ServerId, std::vector<Time>> slots_free_at_;  // when each slot of a server becomes free
  std::set<std::pair<ServerId, std::uint64_t>> stored_;  // values filled since the flush
  int at_origin_ = 0, max_at_origin_ = 0, origin_reads_ = 0;
  std::set<RequestId> retried_;
  ActionCounts counts_;
  std::vector<Member> list_;
  std::map<RequestId, OpenRequest> open_;
  std::map<RequestId, std::uint32_t> attempts_;
  std::map<std::pair<RequestId, std::uint32_t>, Attempt> in_flight_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  RequestId last_request_ = 0;
  int requests_left_ = 0, reapply_period_ = 0, handled_events_ = 0;
  Router router_;
};

}  // namespace streampick::test
