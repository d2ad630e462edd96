// The index of a large plan: it finds what a walk over all would, and a change moves only what it must.
#include "policy/plan_index.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>

namespace streampick::policy::test {
namespace {

using Entry = PlanIndex::Entry;

std::uint64_t hash(std::uint64_t x) {
  x = (x ^ (x >> 31U)) * 0x7fb5d329728ea185U;
  x = (x ^ (x >> 27U)) * 0x81dadef4bc2dd44dU;
  return x ^ (x >> 33U);
}
double rank(std::uint64_t key, double weight) {
  return -weight / std::log((static_cast<double>(hash(key) >> 11U) + 0.5) * 0x1.0p-53);
}
ServerId place(const PlanIndex& index, std::uint64_t key) {
  ServerId best = kNone;
  double most = -1;
  for (const Entry& entry : index.leaf(key, rank))
    if (const double score = rank(key ^ entry.identity, entry.weight); score > most)
      best = entry.id, most = score;
  return best;
}
PlanIndex of(std::size_t servers) {
  PlanIndex index;
  for (ServerId id = 0; id < servers; ++id) index.insert({hash(id + 1), id, 1});
  return index;
}

TEST(PlanIndex, AFewServersAreOneLeafInTheOrderOfTheirIdentities) {
  PlanIndex index = of(PlanIndex::kLeafMost);
  EXPECT_FALSE(index.split());
  const auto& all = index.leaf(3, rank);
  ASSERT_EQ(all.size(), PlanIndex::kLeafMost);
  for (std::size_t i = 1; i < all.size(); ++i) EXPECT_LT(all[i - 1].identity, all[i].identity);
  index.insert({hash(1000), 1000, 1});
  EXPECT_TRUE(index.split());
  EXPECT_LT(index.leaf(3, rank).size(), PlanIndex::kLeafMost);
}

TEST(PlanIndex, KeysComeToServersByTheirWeights) {
  PlanIndex index = of(300);
  index.set_weight(hash(8), 7, 4);
  std::map<ServerId, int> held;
  constexpr int kKeys = 303'000;  // 1,000 to each unit of weight
  for (int key = 0; key < kKeys; ++key) ++held[place(index, hash(static_cast<std::uint64_t>(key) + 77))];
  EXPECT_EQ(held.size(), 300U);
  EXPECT_NEAR(held[7], 4'000, 300);
  for (const auto& [id, count] : held)
    if (id != 7) EXPECT_NEAR(count, 1'000, 200) << id;
}

TEST(PlanIndex, AServerThatLeavesTakesOnlyItsOwnKeysWithIt) {
  PlanIndex index = of(2'000);
  std::vector<ServerId> at;
  for (std::uint64_t key = 0; key < 40'000; ++key) at.push_back(place(index, hash(key)));
  index.erase({hash(500), 499, 0});
  int moved = 0, own = 0, others = 0;
  for (std::uint64_t key = 0; key < at.size(); ++key) {
    const ServerId now = place(index, hash(key));
    EXPECT_NE(now, 499U);
    moved += now != at[key] ? 1 : 0;
    own += at[key] == 499 ? 1 : 0;
    others += now != at[key] && at[key] != 499 ? 1 : 0;
  }
  EXPECT_GT(own, 0);
  // A lighter part gives up keys to the others: those of one server's weight at each of its levels.
  EXPECT_LE(others, 4 * own + 20);
  EXPECT_GE(moved, own);
  index.insert({hash(500), 499, 1});
  for (std::uint64_t key = 0; key < at.size(); ++key) ASSERT_EQ(place(index, hash(key)), at[key]);
}

TEST(PlanIndex, WhatComesAndGoesLeavesItAsIfMadeAnew) {
  std::mt19937_64 random(11);
  PlanIndex index;
  std::map<ServerId, Entry> held;
  for (int step = 0; step < 20'000; ++step) {
    const auto id = static_cast<ServerId>(random() % 400);
    if (held.erase(id) > 0) {
      index.erase({hash(id + 1), id, 0});
    } else {
      held[id] = {hash(id + 1), id, 1 + static_cast<double>(random() % 8)};
      index.insert(held[id]);
    }
    if (step % 1'000 != 0 || held.empty()) continue;
    for (std::uint64_t key = 0; key < 200; ++key) ASSERT_TRUE(held.contains(place(index, hash(key)))) << step;
  }
  for (const auto& [id, entry] : held) index.erase(entry);
  EXPECT_FALSE(index.split());
  EXPECT_TRUE(index.leaf(1, rank).empty());
  index.erase({hash(1), 0, 0});  // one that is not there
  EXPECT_TRUE(index.leaf(1, rank).empty());
}

// Without the last level that splits, identities that are alike would be split for ever.
TEST(PlanIndex, IdentitiesThatAreAllAlikeAreOneLeaf) {
  PlanIndex index;
  for (ServerId id = 0; id < 100; ++id) index.insert({42, id, 1});
  EXPECT_EQ(index.leaf(1, rank).size(), 100U);
  for (ServerId id = 0; id < 100; ++id) index.erase({42, id, 0});
  EXPECT_FALSE(index.split());
}

}  // namespace
}  // namespace streampick::policy::test
