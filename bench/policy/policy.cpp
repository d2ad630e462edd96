// Measures the time per routing decision and the quality of key placement for fleets of several sizes,
// through the public interface of the library.
//   bench_policy            prints one line per fleet size
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <vector>

#include "streampick/router.h"

namespace {

using namespace streampick;
using SteadyClock = std::chrono::steady_clock;

// Times of the simulated clock, in microseconds.
constexpr Time kStart = 1'000'000;
constexpr Time kAnswerLatency = 1'000;
constexpr Time kRequestDeadline = 4'000'000;
constexpr std::uint64_t kWarmUpRequests = 2'000;
constexpr std::uint64_t kTimedKeys = 5'000;

// Records the server of the last attempt.
class LastServerSink final : public ActionSink {
 public:
  void send(RequestId, ServerId server, Time) override { last_server_ = server; }
  void cancel(RequestId, std::uint32_t) override {}
  void reject(RequestId, Time) override { last_server_ = kNone; }
  void fail(RequestId) override { last_server_ = kNone; }
  void poll_discovery() override {}

  [[nodiscard]] ServerId last_server() const { return last_server_; }

 private:
  ServerId last_server_ = kNone;
};

std::uint64_t hash(std::uint64_t x) {
  x = (x ^ (x >> 31U)) * 0x7fb5d329728ea185U;
  x = (x ^ (x >> 27U)) * 0x81dadef4bc2dd44dU;
  return x ^ (x >> 33U);
}

Config one_class_config() {
  Config config;
  config.max_attempts = 3;
  config.can_cancel = true;
  config.can_hedge = true;
  RequestClass read;
  read.latency_objective = 800'000;
  read.deadline = kRequestDeadline;
  read.effect = Effect::safe;
  config.classes = {read};
  return config;
}

Member make_member(ServerId id) {
  Member member;
  member.id = id;
  member.identity = hash(id + 1);
  member.zone = id % 3;
  member.kind = id % 2;
  member.cell = id % 8;
  return member;
}

// One router and a simulated fleet. Each server answers each read after kAnswerLatency.
class Fleet {
 public:
  explicit Fleet(std::size_t servers) : router_(one_class_config(), 7, kStart, sink_) {
    std::vector<Member> members;
    for (ServerId id = 0; id < servers; ++id) {
      members.push_back(make_member(id));
    }
    router_.on_members(now_, Update::full, members);
  }

  // Reads a key. Returns the server that received the request.
  ServerId read(std::uint64_t key) {
    Request request;
    request.id = ++last_request_;
    request.key = hash(key * 2 + 1);
    request.has_key = true;
    request.deadline = now_ + kRequestDeadline;
    router_.on_request(now_, request);
    const ServerId server = sink_.last_server();
    now_ += kAnswerLatency;
    AttemptResult result;
    result.request = last_request_;
    result.server = server;
    result.outcome = Outcome::served;
    result.duration = kAnswerLatency;
    result.request_over = true;
    router_.on_result(now_, result);
    if (router_.next_wakeup() <= now_) {
      router_.on_wakeup(now_);
    }
    return server;
  }

  void remove(const Member& member) {
    Member gone = member;
    gone.phase = Phase::gone;
    router_.on_members(now_, Update::changes, {&gone, 1});
  }

 private:
  LastServerSink sink_;
  Time now_ = kStart;
  Router router_;
  RequestId last_request_ = 0;
};

double microseconds_each(SteadyClock::time_point begin, std::size_t count) {
  const std::chrono::duration<double, std::micro> elapsed = SteadyClock::now() - begin;
  return elapsed.count() / static_cast<double>(count);
}

double measure_requests(Fleet& fleet, std::size_t requests) {
  for (std::uint64_t key = 0; key < kWarmUpRequests; ++key) {
    fleet.read(key);
  }
  const auto begin = SteadyClock::now();
  for (std::uint64_t i = 0; i < requests; ++i) {
    fleet.read(i % kTimedKeys);
  }
  return microseconds_each(begin, requests);
}

// Compares the placement of keys before and after one server leaves. Only the keys of that server, about one
// in `servers`, should move.
void measure_fleet(std::size_t servers) {
  Fleet fleet(servers);
  const double request_us = measure_requests(fleet, servers > 2'000 ? 20'000 : 50'000);
  const std::size_t keys = std::min<std::size_t>(servers * 40, 200'000);
  std::vector<ServerId> placement(keys);
  std::vector<int> keys_of(servers);
  for (std::uint64_t key = 0; key < keys; ++key) {
    placement[key] = fleet.read(key);
    ++keys_of[placement[key]];
  }
  const Member gone = make_member(static_cast<ServerId>(servers / 2));
  const auto begin = SteadyClock::now();
  fleet.remove(gone);
  const double departure_us = microseconds_each(begin, 1);
  std::size_t moved = 0;
  std::size_t own = 0;
  for (std::uint64_t key = 0; key < keys; ++key) {
    moved += fleet.read(key) != placement[key] ? 1 : 0;
    own += placement[key] == gone.id ? 1 : 0;
  }
  const double mean = static_cast<double>(keys) / static_cast<double>(servers);
  const int most = *std::max_element(keys_of.begin(), keys_of.end());
  std::printf("%8zu %14.2f %16.1f %10zu of %4zu %18.2f\n", servers, request_us, departure_us, moved, own,
              most / mean);
}

}  // namespace

int main() {
  std::printf("%8s %14s %16s %18s %18s\n", "servers", "us/request", "us/departure", "keys moved",
              "max/mean keys");
  for (const std::size_t servers : {14UL, 140UL, 1'400UL, 14'000UL}) {
    measure_fleet(servers);
  }
}
