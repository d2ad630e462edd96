// Measures the gossip protocol in a simulated fleet: datagrams, bytes, CPU time and memory per router, and
// the times until views are equal beside the bounds of membership/bounds.h. Runs in virtual time in one
// process.
//   bench_membership [ROUTERS:BYTES:LOSS ...]
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <set>
#include <string>
#include <vector>

#include "emulator/simulated_network.h"
#include "membership/bounds.h"

namespace {

using namespace streampick;
using membership::kSecond;

double cpu_seconds() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

struct Cost {
  double datagrams = 0, bytes = 0, cpu_us = 0;  // per second and router
};

Cost measure_cost(emulator::SimulatedNetwork& network, std::size_t routers, double seconds) {
  const auto before = network.traffic();
  const double cpu = cpu_seconds();
  network.run_for(static_cast<membership::Time>(seconds * kSecond));
  const auto after = network.traffic();
  const double router_seconds = seconds * static_cast<double>(routers);
  return {static_cast<double>(after.all() - before.all()) / router_seconds,
          static_cast<double>(after.bytes - before.bytes) / router_seconds,
          1e6 * (cpu_seconds() - cpu) / router_seconds};
}

double to_periods(membership::Time time) { return static_cast<double>(time) / kSecond; }

std::uint64_t count_failed_probes(const emulator::SimulatedNetwork& network) {
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < network.size(); ++i) sum += network.gossip(i).counters().failed_probes;
  return sum;
}

// Returns the time until all views are equal and exact in protocol periods, negative if the bound was reached
// before.
double measure_settling(emulator::SimulatedNetwork& network, std::size_t datagram_size, std::size_t live) {
  std::size_t events = 0;
  const std::size_t interval = network.size() > 50 ? 20 * network.size() : 1;
  const auto from = network.now();
  const auto limit = static_cast<membership::Time>(
      membership::settle_periods(network.size(), datagram_size, 0, live) * kSecond);
  const bool settled =
      network.run_until([&] { return ++events % interval == 0 && network.settled(); }, limit);
  const double took = to_periods(network.now() - from);
  return settled ? took : -took;
}

void measure(std::size_t routers, std::size_t datagram_size, double loss) {
  const std::size_t before = mallinfo2().uordblks;
  emulator::SimulatedNetwork network(7);
  network.settings.max_datagram_size = datagram_size;
  network.add_many(routers);
  for (std::size_t i = 0; i < routers; ++i) network.start(i);
  const double joined = measure_settling(network, datagram_size, routers);
  network.run_for(30 * kSecond);
  const double memory = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(routers);
  network.link.loss = loss;
  const std::uint64_t before_steady = count_failed_probes(network);
  constexpr double kSteadySeconds = 60;
  const Cost steady = measure_cost(network, routers, kSteadySeconds);
  const double false_alarm_rate = static_cast<double>(count_failed_probes(network) - before_steady) /
                                  (kSteadySeconds * static_cast<double>(routers));
  const std::size_t half = routers / 2;
  std::set<membership::InstanceId> killed;
  for (std::size_t i = 0; i < half; ++i) killed.insert(network.gossip(i).self().instance);
  for (std::size_t i = 0; i < half; ++i) network.kill(i);
  // Measures when each killed process is first suspected, and when all live ones have all of them as
  // unreachable.
  const auto killed_at = network.now();
  std::set<membership::InstanceId> suspected_members;
  double suspicion_time_sum = 0;
  network.on_change = [&](std::size_t, const membership::Change& change) {
    if (change.kind == membership::Change::Kind::suspected && killed.contains(change.instance) &&
        suspected_members.insert(change.instance).second)
      suspicion_time_sum += to_periods(network.now() - killed_at);
  };
  const Cost kill_cost = measure_cost(network, routers - half, 5);
  std::size_t events = 0;
  const std::size_t interval = routers > 50 ? 20 * routers : 1;
  const bool all_unreachable = network.run_until(
      [&] {
        if (++events % interval != 0) return false;
        for (std::size_t i = half; i < routers; ++i)
          if (network.gossip(i).summary(network.now(i)).unreachable < half) return false;
        return true;
      },
      static_cast<membership::Time>(membership::settle_periods(routers, datagram_size, loss) * kSecond));
  const double unreachable_time = all_unreachable ? to_periods(network.now() - killed_at) : -1;
  network.on_change = [](std::size_t, const membership::Change&) {};
  network.link.loss = 0;
  for (std::size_t i = 0; i < half; ++i) network.start(i);
  const double restarted = measure_settling(network, datagram_size, routers);
  network.is_cut = [half](std::size_t from, std::size_t to) { return (from < half) != (to < half); };
  network.run_for(30 * kSecond);
  network.is_cut = [](std::size_t, std::size_t) { return false; };
  const Cost heal_cost = measure_cost(network, routers, 2);
  const double healed = 2 + measure_settling(network, datagram_size, routers);
  std::printf(
      "| %zu, %zu, %.0f%% | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f | %.5f (%.5f) | %.1f, %.0f | %.1f, %.0f "
      "| %.1f, %.0f | "
      "%.0f, %.0f | %.0f |\n",
      routers, datagram_size, 100 * loss, membership::settle_periods(routers, datagram_size, loss), joined,
      unreachable_time, restarted, healed,
      half == 0 ? 0.0 : suspicion_time_sum / static_cast<double>(suspected_members.size()), false_alarm_rate,
      membership::false_alarm_share(loss, std::min<std::size_t>(3, routers - 2)), steady.datagrams,
      steady.bytes, kill_cost.datagrams, kill_cost.bytes, heal_cost.datagrams, heal_cost.bytes, steady.cpu_us,
      kill_cost.cpu_us, memory / 1024);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  std::printf(
      "| routers, bytes, loss | bound | joined | half unreachable | restarted | healed | first suspicion "
      "(SWIM "
      "%.1f) | false alarms "
      "(expected) | datagrams, bytes/s without changes | after half was killed | after a partition | CPU "
      "us/s "
      "without changes, after half was killed | "
      "memory KiB |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
      membership::first_suspected_periods());
  std::vector<std::string> sizes(argv + 1, argv + argc);
  if (sizes.empty()) sizes = {"300:256:0", "300:1200:0.05"};
  for (const std::string& size : sizes) {
    std::size_t routers = 0, datagram_size = 0;
    double loss = 0;
    if (std::sscanf(size.c_str(), "%zu:%zu:%lf", &routers, &datagram_size, &loss) != 3 || routers < 2) {
      std::fprintf(stderr, "bench_membership: expected ROUTERS:BYTES:LOSS, not '%s'\n", size.c_str());
      return 2;
    }
    measure(routers, datagram_size, loss);
  }
  return 0;
}
