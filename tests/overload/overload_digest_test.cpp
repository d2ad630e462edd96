// Digests of the decisions of src/overload over drawn inputs with fixed seeds.
#include <gtest/gtest.h>

#include <random>

#include "overload/cancelled.h"
#include "overload/connections.h"
#include "overload/descriptors.h"
#include "overload/pressure.h"
#include "support/digest.h"

namespace streampick::overload::test {
namespace {

using streampick::test::Digest;
using streampick::test::has_hash;

constexpr std::uint64_t kSeed = 20261203;

// The standard fixes the engine's numbers, but not those of its distributions: these are computed here.
class Draw {
 public:
  explicit Draw(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
  long long between(long long min, long long max) {
    return min + static_cast<long long>(below(static_cast<std::uint64_t>(max - min + 1)));
  }
  double unit() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }
  bool chance(double probability) { return unit() < probability; }

 private:
  std::mt19937_64 engine_;
};

Settings drawn_settings(Draw& draw) {
  Settings settings;
  settings.clients_floor = 0.05 + 0.45 * draw.unit();
  settings.servers_floor = 0.05 + 0.45 * draw.unit();
  settings.crowd = draw.unit();
  settings.calm_idle = draw.between(100'000, 20'000'000);
  settings.crowded_idle = draw.between(100'000, settings.calm_idle);
  settings.drain_wait = draw.chance(0.1) ? 0 : draw.between(1, 1'000'000);
  settings.drain_share = draw.unit();
  settings.drain_here = draw.below(20);
  settings.late = draw.chance(0.1) ? 0 : draw.between(1'000, 200'000);
  settings.busy = 0.1 + 1.4 * draw.unit();
  return settings;
}

TEST(OverloadDigest, PressureOverDrawnLoadsDecidesAsRecorded) {
  Digest digest;
  Draw draw(kSeed);
  for (int world = 0; world < 40; ++world) {
    const Settings settings = drawn_settings(draw);
    const double cores = draw.chance(0.1) ? 0 : 4 * draw.unit();
    Pressure pressure(settings, cores);
    digest.add("world", pressure.off());
    long long now = draw.between(0, 1'000'000);
    long long cpu = 0;
    long long usual_late = draw.between(0, 300'000);
    double usual_load = draw.unit();
    std::string refusals;
    for (int step = 0; step < 400; ++step) {
      if (step % 100 == 0) {
        usual_late = draw.between(0, draw.chance(0.5) ? 300'000 : 5'000);
        usual_load = draw.unit() * 1.5;
      }
      const long long passed = draw.chance(0.01) ? draw.between(0, 5'000'000) : draw.between(0, 40'000);
      now += passed;
      cpu += static_cast<long long>(static_cast<double>(passed) * usual_load * cores);
      pressure.came(now);
      int cpu_readings = 0;
      const bool ended = pressure.sample(now, draw.between(0, 2 * usual_late + 1), [&] {
        ++cpu_readings;
        return cpu;
      });
      if (ended) {
        digest.add("window", step, cpu_readings, pressure.level(), pressure.late(), pressure.used(),
                   pressure.windows_behind());
      }
      for (int request = 0; request < 5; ++request) {
        const bool refused = pressure.refuses({.worth = draw.unit(),
                                               .remaining = draw.between(0, 2'000'000),
                                               .spared = draw.chance(0.2),
                                               .id = draw.below(~0ULL)});
        refusals += refused ? 'r' : '.';
      }
    }
    digest.add("refusals", refusals);
  }
  EXPECT_TRUE(has_hash(digest, "32a3c7e716dee908"));
}

TEST(OverloadDigest, PlacesOfRequestIdsAreAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 1);
  for (std::uint64_t id = 0; id < 200; ++id) digest.add("counter", Pressure::to_unit(id));
  for (int i = 0; i < 200; ++i) digest.add("drawn", Pressure::to_unit(draw.below(~0ULL)));
  EXPECT_TRUE(has_hash(digest, "81bf57b94014658d"));
}

TEST(OverloadDigest, RetryAfterOverDrawnLevelsIsAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 2);
  for (int i = 0; i < 1'000; ++i) {
    const RetrySpread spread(draw.chance(0.1) ? 0 : draw.between(1, 10'000'000));
    const long long meant = draw.between(-1'000, 10'000'000);
    const double level = draw.unit();
    const double place = draw.unit();
    digest.add("after", spread.after(meant, place));
    digest.add("under", spread.under(level, place));
  }
  EXPECT_TRUE(has_hash(digest, "3b4e17cf2f4b03c4"));
}

TEST(OverloadDigest, ConnectionsOverDrawnCountsAreKeptAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 3);
  for (int world = 0; world < 100; ++world) {
    const std::size_t descriptors = draw.chance(0.1) ? draw.below(4) : draw.below(20'000);
    const ConnectionRules rules(descriptors, drawn_settings(draw));
    digest.add("world", rules.crowd());
    for (int step = 0; step < 20; ++step) {
      const std::size_t held =
          draw.chance(0.5) ? rules.crowd() - 2 + draw.below(4) : draw.below(descriptors + 1);
      const std::size_t answers = 1 + draw.below(3);
      digest.add("held", held, rules.crowded(held), rules.keep(answers, held), rules.idle(held));
    }
  }
  const ConnectionRules by_default(352);
  digest.add("default", by_default.crowd(), by_default.idle(87), by_default.idle(88));
  EXPECT_TRUE(has_hash(digest, "94233a792ebec6e2"));
}

TEST(OverloadDigest, CancelledAttemptsOverDrawnLoadsAreWaitedForAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 4);
  for (int world = 0; world < 100; ++world) {
    const CancelRules rules = world == 0 ? CancelRules() : CancelRules(drawn_settings(draw));
    for (int step = 0; step < 40; ++step) {
      const long long usual = draw.chance(0.1) ? 0 : draw.between(1, 100'000);
      const long long waited = draw.between(0, 6 * usual + 1);
      const std::size_t connections = draw.below(400);
      const std::size_t draining = draw.below(connections / 2 + 2);
      const std::size_t here = draw.below(12);
      const long long wait = rules.wait(
          {.waited = waited, .usual = usual, .draining = draining, .connections = connections, .here = here});
      digest.add("attempt", waited, usual, draining, connections, here, wait);
    }
  }
  EXPECT_TRUE(has_hash(digest, "85d54b501d5f8397"));
}

void add_state(Digest& digest, const Descriptors& budget) {
  for (const auto side : {Descriptors::Side::clients, Descriptors::Side::servers}) {
    digest.add("side", budget.floor(side), budget.used(side), budget.peak(side), budget.most(side),
               budget.has_room(side), budget.borrows(side));
  }
  digest.add("total", budget.total(), budget.over());
}

TEST(OverloadDigest, DescriptorsOverDrawnReservationsAreDividedAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 5);
  for (int world = 0; world < 60; ++world) {
    const Settings settings = drawn_settings(draw);
    Descriptors budget(Descriptors::limits(draw.below(300), settings));
    add_state(digest, budget);
    for (int step = 0; step < 200; ++step) {
      const auto side = draw.chance(0.5) ? Descriptors::Side::clients : Descriptors::Side::servers;
      if (draw.chance(0.01)) budget.halve(draw.chance(0.5));
      const bool takes = draw.chance(0.6);
      if (takes && budget.has_room(side)) budget.take(side);
      if (!takes) budget.give(side);
      if (step % 10 == 0) add_state(digest, budget);
    }
    add_state(digest, budget);
  }
  EXPECT_TRUE(has_hash(digest, "0f2596baf71c3c5f"));
}

}  // namespace
}  // namespace streampick::overload::test
