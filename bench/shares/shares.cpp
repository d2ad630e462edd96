// Measures the lease protocol on virtual time: datagrams per router while demand is constant and while it
// moves, the time for moved demand to be leased and the recovery time after a granter is killed, with their
// bounds. Also measures the CPU time of a request in the decision module.
//
// Usage: bench_shares [ROUTERS:BYTES ...]
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "emulator/simulated_network.h"
#include "shares/bounds.h"
#include "streampick/router.h"

namespace {

using namespace streampick;
using leases::kSecond;
using leases::LimitKind;

constexpr leases::LimitId kPlaces = 0, kQuota = 5;  // on two shards

double cpu_seconds() {
  timespec time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

struct Fleet {
  Fleet(std::size_t size, std::size_t datagram) : net(3) {
    net.settings.max_datagram_size = datagram;
    settings.expected_routers = static_cast<std::uint32_t>(size);
    settings.shards = 4;
    for (std::uint32_t i = 0; i < 5; ++i)
      settings.voters.push_back(membership::numbered(i * static_cast<std::uint32_t>(size) / 5));
    const auto each = static_cast<double>(size);
    settings.limits = {{"places", kPlaces, LimitKind::hard, 4 * each},
                       {"quota", kQuota, LimitKind::soft, 10 * each}};
    net.shares = [this](std::size_t) { return std::optional(settings); };
    net.add_many(size);
    for (std::size_t i = 0; i < size; ++i) net.start(i);
  }
  void demand(std::size_t node, double places, double quota) {
    net.share(node).set_demand(net.now(node), kPlaces, places, 0);
    net.share(node).set_demand(net.now(node), kQuota, quota, 0);
    net.flush(node);
  }
  double lease_datagrams() const { return static_cast<double>(net.traffic().datagrams.back()); }
  double usable(std::size_t node, leases::LimitId limit) const {
    return net.share(node).allowance(limit).usable(net.now(node));
  }
  // Seconds until `done`; negative if it was not reached within `max_seconds`.
  double seconds_until(const std::function<bool()>& done, double max_seconds) {
    const auto from = net.now();
    std::size_t events = 0;
    const std::size_t each = net.size() > 50 ? 20 : 1;
    const bool reached = net.run_until([&] { return ++events % each == 0 && done(); },
                                       static_cast<leases::Time>(max_seconds * kSecond));
    const double elapsed = static_cast<double>(net.now() - from) / kSecond;
    return reached ? elapsed : -elapsed;
  }
  leases::Settings settings;
  emulator::SimulatedNetwork net;
};

void measure(std::size_t routers, std::size_t datagram) {
  Fleet fleet(routers, datagram);
  const double quota = fleet.settings.limits[1].total, places = fleet.settings.limits[0].total;
  const auto leased = [&] {
    double sum = 0;
    for (std::size_t i = 0; i < routers; ++i)
      if (fleet.net.is_up(i)) sum += fleet.usable(i, kPlaces);
    return sum >= 0.95 * places;
  };
  for (std::size_t i = 0; i < routers; ++i) fleet.demand(i, 8, 12);
  const double first_leased = fleet.seconds_until(leased, 120);
  fleet.net.run_for(20 * kSecond);
  const double each = static_cast<double>(routers);
  double lease_datagrams = fleet.lease_datagrams(), cpu = cpu_seconds();
  fleet.net.run_for(10 * kSecond);
  const double idle_rate = (fleet.lease_datagrams() - lease_datagrams) / 10 / each;
  cpu = 1e6 * (cpu_seconds() - cpu) / 10 / each;
  // All of a tenant's demand moves to one router at once.
  for (std::size_t i = 0; i < routers; ++i) fleet.demand(i, 0, i == 0 ? quota : 0);
  lease_datagrams = fleet.lease_datagrams();
  const double moved = fleet.seconds_until([&] { return fleet.usable(0, kQuota) >= 0.95 * quota; }, 60);
  const double shift_rate = (fleet.lease_datagrams() - lease_datagrams) / std::max(0.1, moved) / each;
  for (std::size_t i = 0; i < routers; ++i) fleet.demand(i, 8, 12);
  fleet.seconds_until(leased, 60);
  // The granter of the hard limit is killed.
  std::size_t granter = 0;
  while (granter + 1 < routers && !fleet.net.share(granter).is_granter(kPlaces % 4, fleet.net.now(granter)))
    ++granter;
  fleet.net.kill(granter);
  fleet.seconds_until([&] { return !leased(); }, 10);
  const double recovered = fleet.seconds_until(leased, 120);
  std::printf("| %zu, %zu | %.1f | %.2f | %.2f | %.0f | %.2f (%.1f) | %.1f (%.1f) |\n", routers, datagram,
              first_leased, idle_rate, shift_rate, cpu, moved,
              leases::demand_shift_bound_seconds(fleet.settings), recovered,
              leases::recovery_bound_seconds(fleet.settings));
  std::fflush(stdout);
}

struct NullSink final : ActionSink {
  void send(RequestId, ServerId, Time) override {}
  void cancel(RequestId, std::uint32_t) override {}
  void reject(RequestId, Time) override {}
  void fail(RequestId) override {}
  void poll_discovery() override {}
};

// CPU time in nanoseconds for a request of a tenant with a quota, from arrival to cancellation.
double request_nanoseconds(bool shared) {
  Config config;
  config.routers = 12;
  config.max_attempts = 2;
  config.classes = {{200'000, 1'000'000, 1, Effect::safe, Group::all, 0}};
  config.tenants = {{1e6}};
  NullSink sink;
  Router router(config, 1, 0, sink);
  std::vector<Member> list;
  for (ServerId id = 0; id < 12; ++id)
    list.push_back({.id = id, .identity = (id + 1) * 0x9e3779b97f4a7c15U, .zone = 0, .kind = 0});
  router.on_members(0, Update::full, list);
  if (shared) {
    Shares shares;
    shares.quotas = {1e5};
    router.on_shares(0, shares);
  }
  constexpr int kRequests = 400'000;
  Time now = 0;
  const double from = cpu_seconds();
  for (int i = 1; i <= kRequests; ++i) {
    now += 100;
    const auto id = static_cast<RequestId>(i);
    router.on_request(
        now, {.id = id, .tenant = 0, .key = id * 7919, .has_key = true, .deadline = now + 1'000'000});
    router.on_cancelled(now, id);
  }
  return 1e9 * (cpu_seconds() - from) / kRequests;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<double> shared, alone;
  for (int i = 0; i < 7; ++i) {
    alone.push_back(request_nanoseconds(false));
    shared.push_back(request_nanoseconds(true));
  }
  std::sort(shared.begin(), shared.end());
  std::sort(alone.begin(), alone.end());
  std::printf(
      "CPU time of a request in the decision module, ns: %.0f with an even share, %.0f with an allowance "
      "(median of 7; minimum %.0f, "
      "%.0f)\n\n",
      alone[3], shared[3], alone[0], shared[0]);
  std::printf(
      "| routers, bytes | first leased, s | datagrams/s per router at rest | while demand moves | CPU us/s, "
      "including "
      "membership | moved, s (bound) | recovered after the granter was killed, s (bound) |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n");
  std::vector<std::string> sizes(argv + 1, argv + argc);
  if (sizes.empty()) sizes = {"12:256", "12:1200", "100:1200", "300:256", "300:1200", "1000:1200"};
  for (const std::string& size : sizes) {
    std::size_t routers = 0, datagram = 0;
    if (std::sscanf(size.c_str(), "%zu:%zu", &routers, &datagram) != 2 || routers < 5) {
      std::fprintf(stderr, "bench_shares: expected ROUTERS:BYTES, not '%s'\n", size.c_str());
      return 2;
    }
    measure(routers, datagram);
  }
  return 0;
}
