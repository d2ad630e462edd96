// A test host for one Router: a clock that the test advances, a list of servers, and a record of all actions.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "streampick/router.h"

namespace streampick::test {

inline constexpr Time kMs = 1'000;
inline constexpr ServerId kOrigin = 100;

struct Send {
  RequestId request;
  ServerId server;
  std::uint32_t attempt;
  Time at;  // when it was sent
  bool in_flight;
};

class FakeHost final : public ActionSink {
 public:
  // A look-aside fleet. Request classes: 0 safe read, 1 write with an idempotency key, 2 unsafe write, 3
  // unsafe request that is not a write.
  static Config aside_config() {
    Config config;
    config.zone = 0;
    config.origin_kind = 9;
    config.routers = 2;
    config.max_attempts = 4;
    config.cache_aside = true;
    config.answer_slack = 20 * kMs;
    config.max_retry_after = 1'000 * kMs;
    config.slow_start_initial_share = 0.2;
    config.slow_start_duration = 20'000 * kMs;
    config.classes = {
        {1'000 * kMs, 4'000 * kMs, 5, Effect::safe, Group::all, 0},
        {1'500 * kMs, 4'000 * kMs, 2, Effect::keyed, Group::all, 2'000 * kMs},
        {1'500 * kMs, 4'000 * kMs, 8, Effect::unsafe, Group::all, 0},
        {1'500 * kMs, 4'000 * kMs, 8, Effect::unsafe, Group::all, 0},
    };
    return config;
  }

  // aside_config() with cancellation and hedging.
  static Config hedging_config() {
    Config config = aside_config();
    config.can_hedge = true;
    config.can_cancel = true;
    return config;
  }

  // hedging_config() with a cost of connections.
  static Config connection_cost_config(std::uint32_t routers) {
    Config config = hedging_config();
    config.routers = routers;
    config.connect_timeout = 250 * kMs;
    config.keep_alive = 60'000 * kMs;
    config.connection_cost = 0.03;
    return config;
  }

  explicit FakeHost(Config config = aside_config(), std::uint32_t caches = 6, std::uint64_t seed = 7)
      : router(std::move(config), seed, now, *this) {
    for (ServerId id = 0; id < caches; ++id) list.push_back(cache(id));
    Member origin = cache(kOrigin);
    origin.kind = 9;
    list.push_back(origin);
    router.on_members(now, Update::full, list);
  }

  static Member cache(ServerId id) {
    Member member;
    member.id = id;
    member.identity = (id + 1) * 0x9e3779b97f4a7c15U;
    member.zone = id % 2;
    member.kind = 0;
    return member;
  }

  void request(RequestId id, std::uint32_t request_class, std::uint64_t key, std::uint32_t tenant = kNone) {
    Request out;
    out.id = id;
    out.request_class = request_class;
    out.tenant = tenant;
    out.key = key;
    out.has_key = true;
    out.write = request_class == 1 || request_class == 2;
    out.deadline = now + 4'000 * kMs;
    router.on_request(now, out);
  }

  // Reports the result of an attempt. Outcome::served also ends the request.
  void result(std::size_t send, Outcome outcome) {
    Send& sent = sends.at(send);
    sent.in_flight = false;
    if (outcome == Outcome::served) ended[sent.request] = "served";
    AttemptResult out;
    out.request = sent.request;
    out.attempt = sent.attempt;
    out.server = sent.server;
    out.outcome = outcome;
    out.duration = now - sent.at;
    out.request_over = ended.contains(sent.request);
    router.on_result(now, out);
  }

  // Twenty reads of different keys, one after the other. Each is answered after `latency` microseconds.
  void answer_reads(Time latency) {
    for (RequestId id = 1'001; id <= 1'020; ++id) {
      request(id, 0, id);
      advance(latency);
      result(sends.size() - 1, Outcome::served);
    }
  }

  // Advances the clock by `by` microseconds and calls the router at each wake-up that it asked for.
  void advance(Time by) {
    const Time until = now + by;
    while (router.next_wakeup() <= until) {
      now = std::max(now, router.next_wakeup());
      router.on_wakeup(now);
    }
    now = until;
  }

  void send(RequestId request, ServerId server, Time) override {
    sends.push_back({request, server, attempts[request]++, now, true});
    if (ended.contains(request)) sent_after_end = true;
  }
  void cancel(RequestId request, std::uint32_t attempt) override { cancels.emplace_back(request, attempt); }
  void reject(RequestId request, Time) override { end(request, "rejected"); }
  void fail(RequestId request) override { end(request, "failed"); }
  void close_idle(ServerId server) override { closes.emplace_back(server, now); }
  void poll_discovery() override { polls.push_back(now); }

  std::size_t sends_of(RequestId request) const {
    std::size_t count = 0;
    for (const Send& sent : sends) count += sent.request == request ? 1 : 0;
    return count;
  }

  Time now = 1'000'000 * kMs;
  std::vector<Member> list;
  std::vector<Send> sends;
  std::vector<std::pair<RequestId, std::uint32_t>> cancels;
  std::map<RequestId, std::string> ended;
  std::map<RequestId, std::uint32_t> attempts;
  std::vector<Time> polls;
  std::vector<std::pair<ServerId, Time>> closes;
  bool sent_after_end = false, ended_twice = false;
  Router router;

 private:
  void end(RequestId request, const char* how) {
    if (!ended.emplace(request, how).second) ended_twice = true;
  }
};

}  // namespace streampick::test
