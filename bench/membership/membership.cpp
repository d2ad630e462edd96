// What the fleet's view costs and how long it takes: datagrams, bytes, processor time and memory of one
// router, and the times of the design's bounds beside what was measured. On virtual time, one process;
// bench_membership [ROUTERS:BYTES:LOSS ...]
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
  double datagrams = 0, bytes = 0, cpu = 0;  // each a second and router; cpu: us
};

Cost cost_of(emulator::SimulatedNetwork& net, std::size_t routers, double seconds) {
  const auto before = net.traffic();
  const double cpu = cpu_seconds();
  net.run_for(static_cast<membership::Time>(seconds * kSecond));
  const auto after = net.traffic();
  const double each = seconds * static_cast<double>(routers);
  return {static_cast<double>(after.all() - before.all()) / each,
          static_cast<double>(after.bytes - before.bytes) / each, 1e6 * (cpu_seconds() - cpu) / each};
}

double periods(membership::Time time) { return static_cast<double>(time) / kSecond; }

std::uint64_t unanswered(const emulator::SimulatedNetwork& net) {
  std::uint64_t out = 0;
  for (std::size_t i = 0; i < net.size(); ++i) out += net.gossip(i).counters().failed_probes;
  return out;
}

double settle(emulator::SimulatedNetwork& net, std::size_t datagram, std::size_t living) {
  std::size_t events = 0;
  const std::size_t each = net.size() > 50 ? 20 * net.size() : 1;
  const auto from = net.now();
  const auto most =
      static_cast<membership::Time>(membership::settle_periods(net.size(), datagram, 0, living) * kSecond);
  const bool settled = net.run_until([&] { return ++events % each == 0 && net.settled(); }, most);
  const double took = periods(net.now() - from);
  return settled ? took : -took;
}

void measure(std::size_t routers, std::size_t datagram, double loss) {
  const std::size_t before = mallinfo2().uordblks;
  emulator::SimulatedNetwork net(7);
  net.settings.max_datagram_size = datagram;
  net.add_many(routers);
  for (std::size_t i = 0; i < routers; ++i) net.start(i);
  const double joined = settle(net, datagram, routers);
  net.run_for(30 * kSecond);
  const double memory = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(routers);
  net.link.loss = loss;
  const std::uint64_t before_rest = unanswered(net);
  constexpr double kRest = 60;
  const Cost rest = cost_of(net, routers, kRest);
  const double alarms =
      static_cast<double>(unanswered(net) - before_rest) / (kRest * static_cast<double>(routers));
  const std::size_t half = routers / 2;
  std::set<membership::InstanceId> dead;
  for (std::size_t i = 0; i < half; ++i) dead.insert(net.gossip(i).self().instance);
  for (std::size_t i = 0; i < half; ++i) net.kill(i);
  // When each of the dead was suspected first, and when all that live know all of them.
  const auto died = net.now();
  std::set<membership::InstanceId> seen;
  double first = 0;
  net.on_change = [&](std::size_t, const membership::Change& change) {
    if (change.kind == membership::Change::Kind::suspected && dead.contains(change.instance) &&
        seen.insert(change.instance).second)
      first += periods(net.now() - died);
  };
  const Cost change = cost_of(net, routers - half, 5);
  std::size_t events = 0;
  const std::size_t each = routers > 50 ? 20 * routers : 1;
  const bool known = net.run_until(
      [&] {
        if (++events % each != 0) return false;
        for (std::size_t i = half; i < routers; ++i)
          if (net.gossip(i).summary(net.now(i)).unreachable < half) return false;
        return true;
      },
      static_cast<membership::Time>(membership::settle_periods(routers, datagram, loss) * kSecond));
  const double lost = known ? periods(net.now() - died) : -1;
  net.on_change = [](std::size_t, const membership::Change&) {};
  net.link.loss = 0;
  for (std::size_t i = 0; i < half; ++i) net.start(i);
  const double back = settle(net, datagram, routers);
  net.is_cut = [half](std::size_t from, std::size_t to) { return (from < half) != (to < half); };
  net.run_for(30 * kSecond);
  net.is_cut = [](std::size_t, std::size_t) { return false; };
  const Cost healing = cost_of(net, routers, 2);
  const double healed = 2 + settle(net, datagram, routers);
  std::printf(
      "| %zu, %zu, %.0f%% | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f | %.5f (%.5f) | %.1f, %.0f | %.1f, %.0f "
      "| %.1f, %.0f | "
      "%.0f, %.0f | %.0f |\n",
      routers, datagram, 100 * loss, membership::settle_periods(routers, datagram, loss), joined, lost, back,
      healed, half == 0 ? 0.0 : first / static_cast<double>(seen.size()), alarms,
      membership::false_alarm_share(loss, std::min<std::size_t>(3, routers - 2)), rest.datagrams, rest.bytes,
      change.datagrams, change.bytes, healing.datagrams, healing.bytes, rest.cpu, change.cpu, memory / 1024);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  std::printf(
      "| routers, bytes, loss | bound | joined | half lost known | back | healed | first suspicion (SWIM "
      "%.1f) | false alarms "
      "(foretold) | datagrams, bytes/s at rest | while half is lost | while two halves heal | CPU us/s at "
      "rest, in change | "
      "memory KiB |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
      membership::first_suspected_periods());
  std::vector<std::string> sizes(argv + 1, argv + argc);
  if (sizes.empty()) sizes = {"300:256:0", "300:1200:0.05"};
  for (const std::string& size : sizes) {
    std::size_t routers = 0, datagram = 0;
    double loss = 0;
    if (std::sscanf(size.c_str(), "%zu:%zu:%lf", &routers, &datagram, &loss) != 3 || routers < 2) {
      std::fprintf(stderr, "bench_membership: expected ROUTERS:BYTES:LOSS, not '%s'\n", size.c_str());
      return 2;
    }
    measure(routers, datagram, loss);
  }
  return 0;
}
