// Digests of the decisions of src/overload on random inputs with fixed seeds.
#include <gtest/gtest.h>

#include "overload/cancellation_policy.h"
#include "overload/descriptor_budget.h"
#include "overload/keep_alive_policy.h"
#include "overload/load_shedding_controller.h"
#include "overload/retry_after.h"
#include "support/digest.h"
#include "support/draw.h"

namespace streampick::overload::test {
namespace {

using streampick::test::Digest;
using streampick::test::Draw;
using streampick::test::has_hash;

constexpr std::uint64_t kSeed = 20261203;

Settings random_settings(Draw& draw) {
  Settings settings;
  settings.client_minimum_share = 0.05 + 0.45 * draw.unit();
  settings.upstream_minimum_share = 0.05 + 0.45 * draw.unit();
  settings.connection_pressure_share = draw.unit();
  settings.idle_timeout = draw.between(100'000, 20'000'000);
  settings.idle_timeout_under_pressure = draw.between(100'000, settings.idle_timeout);
  settings.max_drain_time = draw.chance(0.1) ? 0 : draw.between(1, 1'000'000);
  settings.max_draining_share = draw.unit();
  settings.max_draining_per_endpoint = draw.below(20);
  settings.target_loop_lag = draw.chance(0.1) ? 0 : draw.between(1'000, 200'000);
  settings.saturated_cpu = 0.1 + 1.4 * draw.unit();
  return settings;
}

TEST(OverloadDigest, DrawnLoads_LoadSheddingDecidesAsRecorded) {
  Digest digest;
  Draw draw(kSeed);
  for (int trial = 0; trial < 40; ++trial) {
    const Settings settings = random_settings(draw);
    const double cores = draw.chance(0.1) ? 0 : 4 * draw.unit();
    LoadSheddingController controller(settings, cores);
    digest.add("world", controller.is_disabled());
    long long now = draw.between(0, 1'000'000);
    long long cpu = 0;
    long long usual_lag = draw.between(0, 300'000);
    double usual_load = draw.unit();
    std::string decisions;
    for (int step = 0; step < 400; ++step) {
      if (step % 100 == 0) {
        usual_lag = draw.between(0, draw.chance(0.5) ? 300'000 : 5'000);
        usual_load = draw.unit() * 1.5;
      }
      const long long passed = draw.chance(0.01) ? draw.between(0, 5'000'000) : draw.between(0, 40'000);
      now += passed;
      cpu += static_cast<long long>(static_cast<double>(passed) * usual_load * cores);
      controller.on_probe_queued(now);
      int cpu_readings = 0;
      const bool ended = controller.on_probe_run(now, draw.between(0, 2 * usual_lag + 1), [&] {
        ++cpu_readings;
        return cpu;
      });
      if (ended) {
        digest.add("window", step, cpu_readings, controller.level(), controller.mean_lag(),
                   controller.cpu_utilization(), controller.overloaded_windows());
      }
      for (int request = 0; request < 5; ++request) {
        const bool is_rejected = controller.should_reject({.weight = draw.unit(),
                                                           .time_left = draw.between(0, 2'000'000),
                                                           .is_protected = draw.chance(0.2),
                                                           .id = draw.below(~0ULL)});
        decisions += is_rejected ? 'r' : '.';
      }
    }
    digest.add("refusals", decisions);
  }
  EXPECT_TRUE(has_hash(digest, "32a3c7e716dee908"));
}

TEST(OverloadDigest, RequestIds_HashesAreAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 1);
  for (std::uint64_t id = 0; id < 200; ++id) digest.add("counter", hash_to_unit_interval(id));
  for (int i = 0; i < 200; ++i) digest.add("drawn", hash_to_unit_interval(draw.below(~0ULL)));
  EXPECT_TRUE(has_hash(digest, "81bf57b94014658d"));
}

TEST(OverloadDigest, DrawnLevels_RetryAfterIsAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 2);
  for (int i = 0; i < 1'000; ++i) {
    const RetryAfterJitter jitter(draw.chance(0.1) ? 0 : draw.between(1, 10'000'000));
    const long long mean = draw.between(-1'000, 10'000'000);
    const double level = draw.unit();
    const double draw_value = draw.unit();
    digest.add("after", jitter.around(mean, draw_value));
    digest.add("under", jitter.at_level(level, draw_value));
  }
  EXPECT_TRUE(has_hash(digest, "3b4e17cf2f4b03c4"));
}

TEST(OverloadDigest, DrawnConnectionCounts_KeepAliveIsAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 3);
  for (int trial = 0; trial < 100; ++trial) {
    const std::size_t descriptors = draw.chance(0.1) ? draw.below(4) : draw.below(20'000);
    const KeepAlivePolicy policy(descriptors, random_settings(draw));
    digest.add("world", policy.pressure_threshold());
    for (int step = 0; step < 20; ++step) {
      const std::size_t connections =
          draw.chance(0.5) ? policy.pressure_threshold() - 2 + draw.below(4) : draw.below(descriptors + 1);
      const std::size_t responses = 1 + draw.below(3);
      digest.add("held", connections, policy.is_under_pressure(connections),
                 policy.keeps_open(responses, connections), policy.idle_timeout(connections));
    }
  }
  const KeepAlivePolicy by_default(352);
  digest.add("default", by_default.pressure_threshold(), by_default.idle_timeout(87),
             by_default.idle_timeout(88));
  EXPECT_TRUE(has_hash(digest, "94233a792ebec6e2"));
}

TEST(OverloadDigest, DrawnCancelledAttempts_DrainTimeoutsAreAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 4);
  for (int trial = 0; trial < 100; ++trial) {
    const CancellationPolicy policy =
        trial == 0 ? CancellationPolicy() : CancellationPolicy(random_settings(draw));
    for (int step = 0; step < 40; ++step) {
      const long long usual_latency = draw.chance(0.1) ? 0 : draw.between(1, 100'000);
      const long long elapsed = draw.between(0, 6 * usual_latency + 1);
      const std::size_t connections = draw.below(400);
      const std::size_t draining = draw.below(connections / 2 + 2);
      const std::size_t draining_at_endpoint = draw.below(12);
      const long long drain_timeout = policy.drain_timeout({.elapsed = elapsed,
                                                            .usual_latency = usual_latency,
                                                            .draining = draining,
                                                            .open_connections = connections,
                                                            .draining_at_endpoint = draining_at_endpoint});
      digest.add("attempt", elapsed, usual_latency, draining, connections, draining_at_endpoint,
                 drain_timeout);
    }
  }
  EXPECT_TRUE(has_hash(digest, "85d54b501d5f8397"));
}

void add_state(Digest& digest, const DescriptorBudget& budget) {
  for (const auto side : {DescriptorBudget::Side::downstream, DescriptorBudget::Side::upstream}) {
    digest.add("side", budget.minimum(side), budget.used(side), budget.peak(side), budget.capacity(side),
               budget.has_capacity(side), budget.exceeds_minimum(side));
  }
  digest.add("total", budget.total(), budget.excess());
}

TEST(OverloadDigest, DrawnReservations_DescriptorCapacityIsAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 5);
  for (int trial = 0; trial < 60; ++trial) {
    const Settings settings = random_settings(draw);
    DescriptorBudget budget(DescriptorBudget::Limits::from_shares(draw.below(300), settings));
    add_state(digest, budget);
    for (int step = 0; step < 200; ++step) {
      const auto side =
          draw.chance(0.5) ? DescriptorBudget::Side::downstream : DescriptorBudget::Side::upstream;
      if (draw.chance(0.01)) budget.set_halved(draw.chance(0.5));
      const bool takes = draw.chance(0.6);
      if (takes && budget.has_capacity(side)) budget.reserve(side);
      if (!takes) budget.release(side);
      if (step % 10 == 0) add_state(digest, budget);
    }
    add_state(digest, budget);
  }
  EXPECT_TRUE(has_hash(digest, "0f2596baf71c3c5f"));
}

}  // namespace
}  // namespace streampick::overload::test
