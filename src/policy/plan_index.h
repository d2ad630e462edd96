// The servers of the plan, kept so that a key finds its few without a walk over all. No I/O, no clock. A trie
// over identities, which are hashes: a node of over kLeafMost servers has sixteen children, by the next four
// bits. A key chooses a child by weighted rendezvous over the children's sums of weights, down to a leaf,
// whose servers are ranked alike: it comes to a server with that server's share of all weight. A change of
// one weight moves keys only to or from that server, at each level. Up to kLeafMost servers the root is a
// leaf and holds all.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "streampick/router.h"

namespace streampick::policy {

class PlanIndex {
 public:
  static constexpr std::size_t kLeafMost = 32, kLeafAgain = 16;  // splits above the one, merges at the other
  struct Entry {
    std::uint64_t identity = 0;
    ServerId id = kNone;
    double weight = 0;
  };

  // Whether there are too many for one leaf.
  bool split() const { return root_.children != nullptr; }

  void insert(const Entry& entry) { insert(root_, entry, 0); }
  // The entry's identity and id name it; its weight is the one that it was inserted with, or set to.
  void erase(const Entry& entry) { erase(root_, entry, 0); }
  void set_weight(std::uint64_t identity, ServerId id, double weight) {
    Node* node = &root_;
    for (unsigned level = 0; node->children; ++level) node = &child(*node, identity, level);
    const auto found = find(*node, identity, id);
    if (found == node->entries.end() || found->identity != identity || found->id != id) return;
    const double more = weight - found->weight;
    found->weight = weight;
    node = &root_;
    for (unsigned level = 0; node->children; ++level) {
      node->weight += more;
      node = &child(*node, identity, level);
    }
    node->weight += more;
  }

  // The servers among which the key's is, by identity. `rank(hash, weight)`: what servers are ranked by.
  template <typename Rank>
  const std::vector<Entry>& leaf(std::uint64_t key, Rank&& rank) const {
    const Node* node = &root_;
    std::uint64_t salt = 0x51ed270b9f1e2a37U;
    while (node->children) {
      const Node* best = nullptr;
      double best_score = -1;
      std::uint64_t best_salt = salt;
      for (std::size_t i = 0; i < kFan; ++i) {
        const Node& next = (*node->children)[i];
        if (next.count == 0) continue;
        const std::uint64_t own = (salt + i + 1) * 0x9e3779b97f4a7c15U;
        const double score = rank(key ^ own, next.weight);
        if (score > best_score) best = &next, best_score = score, best_salt = own;
      }
      node = best;
      salt = best_salt;
    }
    return node->entries;
  }

 private:
  static constexpr std::size_t kFan = 16;
  static constexpr unsigned kLevels = 16;  // of four bits each
  struct Node {
    std::size_t count = 0;
    double weight = 0;
    std::vector<Entry> entries;  // of a leaf, by identity
    std::unique_ptr<std::array<Node, kFan>> children;
  };

  static bool before(const Entry& a, const Entry& b) {
    return a.identity != b.identity ? a.identity < b.identity : a.id < b.id;
  }
  static std::vector<Entry>::iterator find(Node& leaf, std::uint64_t identity, ServerId id) {
    return std::lower_bound(leaf.entries.begin(), leaf.entries.end(), Entry{identity, id, 0}, before);
  }
  static Node& child(Node& node, std::uint64_t identity, unsigned level) {
    return (*node.children)[identity >> (60U - 4U * level) & 15U];
  }

  static void insert(Node& node, const Entry& entry, unsigned level) {
    ++node.count;
    node.weight += entry.weight;
    if (node.children) return insert(child(node, entry.identity, level), entry, level + 1);
    node.entries.insert(find(node, entry.identity, entry.id), entry);
    // Identities that are all alike can't be told apart further down.
    if (node.entries.size() <= kLeafMost || level + 1 >= kLevels) return;
    node.children = std::make_unique<std::array<Node, kFan>>();
    for (const Entry& one : node.entries) insert(child(node, one.identity, level), one, level + 1);
    node.entries = {};
  }

  static bool erase(Node& node, const Entry& entry, unsigned level) {
    if (node.children) {
      if (!erase(child(node, entry.identity, level), entry, level + 1)) return false;
      --node.count;
      if (node.count <= kLeafAgain) {
        std::vector<Entry> all;
        gather(node, all);
        node.children.reset();
        node.entries = std::move(all);
      }
    } else {
      const auto found = find(node, entry.identity, entry.id);
      if (found == node.entries.end() || found->identity != entry.identity || found->id != entry.id)
        return false;
      node.entries.erase(found);
      --node.count;
    }
    sum_up(node);
    return true;
  }
  // Summed anew: what is added and taken away again would leave a rest of rounding.
  static void sum_up(Node& node) {
    node.weight = 0;
    if (node.children) {
      for (const Node& next : *node.children) node.weight += next.weight;
    } else {
      for (const Entry& one : node.entries) node.weight += one.weight;
    }
  }
  static void gather(Node& node, std::vector<Entry>& all) {
    if (node.children) {
      for (Node& next : *node.children) gather(next, all);
    } else {
      all.insert(all.end(), node.entries.begin(), node.entries.end());
    }
  }

  Node root_;
};

}  // namespace streampick::policy
