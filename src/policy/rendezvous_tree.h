#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "policy/hashing.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Weighted rendezvous hashing over a tree, which finds the few candidates for a key without visiting all
/// endpoints.
///
/// The tree is a trie over identities, which are hashes: a node with more than kMaxLeafSize endpoints has
/// sixteen children, selected by the next four bits. At each node a key selects a child by weighted
/// rendezvous hashing over the children's sums of weights, down to a leaf. The caller ranks the endpoints of
/// the leaf in the same way. Thus an endpoint gets each key with a probability that equals its share of the
/// total weight. A change of one weight moves keys only to or from the part of the tree that holds that
/// endpoint, at each level. With up to kMaxLeafSize endpoints the root is a leaf that holds all of them.
class RendezvousTree {
 public:
  /// A leaf with more entries is split.
  static constexpr std::size_t kMaxLeafSize = 32;
  /// A node that shrinks to this many entries becomes a leaf again.
  static constexpr std::size_t kMergeSize = 16;

  struct Entry {
    std::uint64_t identity = 0;
    ServerId id = kNone;
    double weight = 0;
  };

  /// Whether there are too many entries for one leaf.
  [[nodiscard]] bool is_split() const { return root_.children != nullptr; }

  void insert(const Entry& entry) { insert(root_, entry, 0); }

  /// Removes the entry with this identity and id, if present. The weight of `entry` is ignored.
  void erase(const Entry& entry) { erase(root_, entry, 0); }

  /// Sets the weight of the entry with this identity and id, if present.
  void set_weight(const Entry& entry);

  /// The candidates for a key, sorted by identity. `rank(hash, weight)` is the function by which the caller
  /// ranks the candidates; the greatest rank wins. The reference is valid until the next modification.
  template <typename Rank>
  [[nodiscard]] const std::vector<Entry>& leaf(std::uint64_t key, const Rank& rank) const;

 private:
  static constexpr std::size_t kFanOut = 16;
  static constexpr unsigned kBitsPerLevel = 4;
  static constexpr unsigned kIdentityBits = 64;
  static constexpr unsigned kMaxLevels = kIdentityBits / kBitsPerLevel;
  static constexpr std::uint64_t kRootSalt = 0x51ed270b9f1e2a37U;

  struct Node {
    std::size_t count = 0;
    double weight = 0;
    std::vector<Entry> entries;  // only in leaves; sorted by identity
    std::unique_ptr<std::array<Node, kFanOut>> children;
  };

  static std::vector<Entry>::iterator lower_bound(Node& leaf, const Entry& entry);
  static bool is_at(const Node& leaf, std::vector<Entry>::iterator place, const Entry& entry);
  static Node& child(Node& node, const Entry& entry, unsigned level) {
    const unsigned shift = kIdentityBits - kBitsPerLevel * (level + 1);
    return (*node.children)[entry.identity >> shift & (kFanOut - 1)];
  }
  static void insert(Node& node, const Entry& entry, unsigned level);
  static bool erase(Node& node, const Entry& entry, unsigned level);
  static bool erase_from_leaf(Node& leaf, const Entry& entry);
  static void merge_children(Node& node);
  static void sum_weights(Node& node);
  static void collect_entries(Node& node, std::vector<Entry>& entries);

  Node root_;
};

template <typename Rank>
const std::vector<RendezvousTree::Entry>& RendezvousTree::leaf(std::uint64_t key, const Rank& rank) const {
  const Node* node = &root_;
  std::uint64_t salt = kRootSalt;
  while (node->children) {
    const Node* best = nullptr;
    double best_score = -1;
    std::uint64_t best_salt = salt;
    for (std::size_t i = 0; i < kFanOut; ++i) {
      const Node& next = (*node->children)[i];
      if (next.count == 0) {
        continue;
      }
      const std::uint64_t child_salt = (salt + i + 1) * kGoldenRatio64;
      const double score = rank(key ^ child_salt, next.weight);
      if (score > best_score) {
        best = &next;
        best_score = score;
        best_salt = child_salt;
      }
    }
    node = best;
    salt = best_salt;
  }
  return node->entries;
}

}  // namespace streampick::policy
