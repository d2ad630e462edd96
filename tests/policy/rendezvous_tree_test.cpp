// Unit tests of RendezvousTree: keys are placed by weight, and a change moves only the keys that it has to.
#include "policy/rendezvous_tree.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>

namespace streampick::policy::test {
namespace {

using Entry = RendezvousTree::Entry;

std::uint64_t hash(std::uint64_t x) {
  x = (x ^ (x >> 31U)) * 0x7fb5d329728ea185U;
  x = (x ^ (x >> 27U)) * 0x81dadef4bc2dd44dU;
  return x ^ (x >> 33U);
}
double rank(std::uint64_t key, double weight) {
  return -weight / std::log((static_cast<double>(hash(key) >> 11U) + 0.5) * 0x1.0p-53);
}
ServerId place(const RendezvousTree& tree, std::uint64_t key) {
  ServerId best = kNone;
  double most = -1;
  for (const Entry& entry : tree.leaf(key, rank))
    if (const double score = rank(key ^ entry.identity, entry.weight); score > most) {
      best = entry.id;
      most = score;
    }
  return best;
}
RendezvousTree tree_of(std::size_t servers) {
  RendezvousTree tree;
  for (ServerId id = 0; id < servers; ++id) tree.insert({hash(id + 1), id, 1});
  return tree;
}

TEST(RendezvousTree, FewServers_AreOneLeafSortedByIdentity) {
  RendezvousTree tree = tree_of(RendezvousTree::kMaxLeafSize);
  EXPECT_FALSE(tree.is_split());
  const auto& all = tree.leaf(3, rank);
  ASSERT_EQ(all.size(), RendezvousTree::kMaxLeafSize);
  for (std::size_t i = 1; i < all.size(); ++i) EXPECT_LT(all[i - 1].identity, all[i].identity);
  tree.insert({hash(1000), 1000, 1});
  EXPECT_TRUE(tree.is_split());
  EXPECT_LT(tree.leaf(3, rank).size(), RendezvousTree::kMaxLeafSize);
}

TEST(RendezvousTree, Keys_AreDistributedByWeight) {
  RendezvousTree tree = tree_of(300);
  tree.set_weight({hash(8), 7, 4});
  std::map<ServerId, int> keys_by_server;
  constexpr int kKeys = 303'000;  // 1,000 per unit of weight
  for (int key = 0; key < kKeys; ++key)
    ++keys_by_server[place(tree, hash(static_cast<std::uint64_t>(key) + 77))];
  EXPECT_EQ(keys_by_server.size(), 300U);
  EXPECT_NEAR(keys_by_server[7], 4'000, 300);
  for (const auto& [id, count] : keys_by_server)
    if (id != 7) EXPECT_NEAR(count, 1'000, 200) << id;
}

TEST(RendezvousTree, ServerThatLeaves_MovesItsOwnKeysAndFewOthers) {
  RendezvousTree tree = tree_of(2'000);
  std::vector<ServerId> placement;
  for (std::uint64_t key = 0; key < 40'000; ++key) placement.push_back(place(tree, hash(key)));
  tree.erase({hash(500), 499, 0});
  int moved = 0, own = 0, others = 0;
  for (std::uint64_t key = 0; key < placement.size(); ++key) {
    const ServerId now = place(tree, hash(key));
    EXPECT_NE(now, 499U);
    moved += now != placement[key] ? 1 : 0;
    own += placement[key] == 499 ? 1 : 0;
    others += now != placement[key] && placement[key] != 499 ? 1 : 0;
  }
  EXPECT_GT(own, 0);
  // A subtree that loses weight also loses keys to other subtrees: at each level about as many as one server
  // has.
  EXPECT_LE(others, 4 * own + 20);
  EXPECT_GE(moved, own);
  tree.insert({hash(500), 499, 1});
  for (std::uint64_t key = 0; key < placement.size(); ++key)
    ASSERT_EQ(place(tree, hash(key)), placement[key]);
}

TEST(RendezvousTree, ManyInsertionsAndRemovals_KeepKeysOnPresentServersAndLeaveNoResidue) {
  std::mt19937_64 random(11);
  RendezvousTree tree;
  std::map<ServerId, Entry> entries;
  for (int step = 0; step < 20'000; ++step) {
    const auto id = static_cast<ServerId>(random() % 400);
    if (entries.erase(id) > 0) {
      tree.erase({hash(id + 1), id, 0});
    } else {
      entries[id] = {hash(id + 1), id, 1 + static_cast<double>(random() % 8)};
      tree.insert(entries[id]);
    }
    if (step % 1'000 != 0 || entries.empty()) continue;
    for (std::uint64_t key = 0; key < 200; ++key)
      ASSERT_TRUE(entries.contains(place(tree, hash(key)))) << step;
  }
  for (const auto& [id, entry] : entries) tree.erase(entry);
  EXPECT_FALSE(tree.is_split());
  EXPECT_TRUE(tree.leaf(1, rank).empty());
  tree.erase({hash(1), 0, 0});  // an entry that is not present
  EXPECT_TRUE(tree.leaf(1, rank).empty());
}

// Guards against unbounded recursion: equal identities cannot be separated by further splits.
TEST(RendezvousTree, EqualIdentities_AreOneLeaf) {
  RendezvousTree tree;
  for (ServerId id = 0; id < 100; ++id) tree.insert({42, id, 1});
  EXPECT_EQ(tree.leaf(1, rank).size(), 100U);
  for (ServerId id = 0; id < 100; ++id) tree.erase({42, id, 0});
  EXPECT_FALSE(tree.is_split());
}

}  // namespace
}  // namespace streampick::policy::test
