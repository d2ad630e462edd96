// Random sequences of faults: after the last fault ends, all views become equal within settle_periods().
#include <gtest/gtest.h>

#include <cstdint>
#include <random>

#include "gossip_fleet.h"

namespace streampick::membership {
namespace {

using test::GossipFleet;

class RandomHistory {
 public:
  explicit RandomHistory(std::uint64_t seed)
      : seed_(seed),
        random_(seed),
        size_(2 + random_() % 11),
        datagram_size_(random_() % 2 == 0 ? 256 : 1'200),
        fleet_(size_, datagram_size_, seed) {}

  void run() {
    const int steps = 5 + static_cast<int>(random_() % 15);
    for (int step = 0; step < steps; ++step) {
      const std::size_t node = random_node();
      inject_fault(node);
      fleet_.run(0.1 * static_cast<double>(random_() % 200));
    }
    end_faults();
    EXPECT_TRUE(fleet_.settles()) << "seed " << seed_ << ": " << size_ << " routers did not settle";
    EXPECT_LE(fleet_.network.traffic().longest, datagram_size_) << "seed " << seed_;
  }

 private:
  std::size_t random_node() { return static_cast<std::size_t>(random_() % size_); }

  void inject_fault(std::size_t node) {
    switch (random_() % 9) {
      case 0:
        if (fleet_.network.is_up(node)) {
          fleet_.network.kill(node);
        }
        break;
      case 1: fleet_.network.start(node); break;  // replaces the process if it is running
      case 2:
        if (fleet_.network.is_up(node)) {
          fleet_.network.leave(node);
        }
        break;
      case 3: fleet_.network.pause(node); break;
      case 4: fleet_.network.resume(node); break;
      case 5: {
        const std::uint64_t groups = random_();
        fleet_.partition([groups](std::size_t one) { return static_cast<int>(groups >> (2 * one) & 1U); });
        break;
      }
      case 6: {
        const std::size_t receiver = random_node();
        fleet_.network.is_cut = [receiver](std::size_t, std::size_t to) { return to == receiver; };
        break;
      }
      case 7: fleet_.heal(); break;
      case 8: degrade_link(); break;
    }
  }

  void degrade_link() {
    emulator::LinkFaults& link = fleet_.network.link;
    link = {.duplication = 0.2, .corruption = 0.05};
    link.loss = 0.01 * static_cast<double>(random_() % 60);
    link.max_delay = random_() % 2 == 0 ? 2'000 : 3 * kSecond;
  }

  void end_faults() {
    fleet_.heal();
    fleet_.network.link = {};
    for (std::size_t node = 0; node < size_; ++node) {
      fleet_.network.resume(node);
      if (!fleet_.network.is_up(node)) {
        fleet_.network.start(node);
      }
    }
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  std::size_t size_;
  std::size_t datagram_size_;
  GossipFleet fleet_;
};

TEST(MembershipFaults, ThousandRandomFaultHistories_SettleWithinTheBound) {
  for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
    RandomHistory(seed).run();
    if (HasFailure()) {
      return;
    }
  }
}

}  // namespace
}  // namespace streampick::membership
