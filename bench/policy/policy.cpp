// What a decision costs as the fleet grows, and how well it places: through the library's own interface.
//   bench_policy            a line for each size of fleet
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <unordered_map>
#include <vector>

#include "streampick/router.h"

namespace {

using namespace streampick;
using Steady = std::chrono::steady_clock;

// Remembers where the last request was sent.
struct Sink final : ActionSink {
  void send(RequestId, ServerId server, Time) override { last = server; }
  void cancel(RequestId, std::uint32_t) override {}
  void refuse(RequestId, Time) override { last = kNone; }
  void fail(RequestId) override { last = kNone; }
  void watch_members() override {}
  ServerId last = kNone;
};

std::uint64_t hash(std::uint64_t x) {
  x = (x ^ (x >> 31U)) * 0x7fb5d329728ea185U;
  x = (x ^ (x >> 27U)) * 0x81dadef4bc2dd44dU;
  return x ^ (x >> 33U);
}

Config config() {
  Config out;
  out.max_attempts = 3;
  out.can_cancel = out.can_copy = true;
  RequestClass read;
  read.aim = 800'000;
  read.deadline = 4'000'000;
  read.effect = Effect::safe;
  out.classes = {read};
  return out;
}

Member member(ServerId id) {
  Member out;
  out.id = id;
  out.identity = hash(id + 1);
  out.zone = id % 3;
  out.kind = id % 2;
  out.cell = id % 8;
  return out;
}

struct World {
  explicit World(std::size_t servers) : router(config(), 7, 1'000'000, sink) {
    std::vector<Member> all;
    for (ServerId id = 0; id < servers; ++id) all.push_back(member(id));
    router.on_members(now, Update::full, all);
  }
  // One read of a key, answered after a millisecond.
  ServerId read(std::uint64_t key) {
    Request request;
    request.id = ++last;
    request.key = hash(key * 2 + 1);
    request.has_key = true;
    request.deadline = now + 4'000'000;
    router.on_request(now, request);
    const ServerId server = sink.last;
    now += 1'000;
    AttemptResult result;
    result.request = last;
    result.server = server;
    result.outcome = Outcome::served;
    result.took = 1'000;
    result.request_over = true;
    router.on_result(now, result);
    if (router.next_wakeup() <= now) router.on_wakeup(now);
    return server;
  }
  Sink sink;
  Time now = 1'000'000;
  Router router;
  RequestId last = 0;
};

double us_each(Steady::time_point begin, std::size_t count) {
  return std::chrono::duration<double, std::micro>(Steady::now() - begin).count() /
         static_cast<double>(count);
}

}  // namespace

int main() {
  std::printf("%8s %14s %16s %18s %18s\n", "servers", "us a request", "us a departure", "keys that moved",
              "most over mean");
  for (const std::size_t servers : {14UL, 140UL, 1'400UL, 14'000UL}) {
    World world(servers);
    for (std::uint64_t key = 0; key < 2'000; ++key) world.read(key);
    const std::size_t requests = servers > 2'000 ? 20'000 : 50'000;
    const auto begin = Steady::now();
    for (std::uint64_t key = 0; key < requests; ++key) world.read(key % 5'000);
    const double each = us_each(begin, requests);

    // Where keys are, before and after one server leaves: only its own should move, 1 of `servers`.
    const std::size_t keys = std::min<std::size_t>(servers * 40, 200'000);
    std::vector<ServerId> at(keys);
    std::vector<int> held(servers);
    for (std::uint64_t key = 0; key < keys; ++key) ++held[at[key] = world.read(key)];
    Member gone = member(static_cast<ServerId>(servers / 2));
    gone.phase = Phase::gone;
    const auto change = Steady::now();
    world.router.on_members(world.now, Update::changes, {&gone, 1});
    const double departure = us_each(change, 1);
    std::size_t moved = 0, own = 0;
    for (std::uint64_t key = 0; key < keys; ++key) {
      moved += world.read(key) != at[key] ? 1 : 0;
      own += at[key] == gone.id ? 1 : 0;
    }
    const double mean = static_cast<double>(keys) / static_cast<double>(servers);
    std::printf("%8zu %14.2f %16.1f %10zu of %4zu %18.2f\n", servers, each, departure, moved, own,
                *std::max_element(held.begin(), held.end()) / mean);
  }
}
