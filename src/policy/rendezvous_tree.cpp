#include "policy/rendezvous_tree.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace streampick::policy {

void RendezvousTree::set_weight(const Entry& entry) {
  Node* node = &root_;
  for (unsigned level = 0; node->children; ++level) {
    node = &child(*node, entry, level);
  }
  const auto found = lower_bound(*node, entry);
  if (!is_at(*node, found, entry)) {
    return;
  }
  const double difference = entry.weight - found->weight;
  found->weight = entry.weight;
  node = &root_;
  for (unsigned level = 0; node->children; ++level) {
    node->weight += difference;
    node = &child(*node, entry, level);
  }
  node->weight += difference;
}

std::vector<RendezvousTree::Entry>::iterator RendezvousTree::lower_bound(Node& leaf, const Entry& entry) {
  return std::lower_bound(leaf.entries.begin(), leaf.entries.end(), entry,
                          [](const Entry& left, const Entry& right) {
                            return std::tie(left.identity, left.id) < std::tie(right.identity, right.id);
                          });
}

bool RendezvousTree::is_at(const Node& leaf, std::vector<Entry>::iterator place, const Entry& entry) {
  return place != leaf.entries.end() && place->identity == entry.identity && place->id == entry.id;
}

void RendezvousTree::insert(Node& node, const Entry& entry, unsigned level) {
  ++node.count;
  node.weight += entry.weight;
  if (node.children) {
    insert(child(node, entry, level), entry, level + 1);
    return;
  }
  node.entries.insert(lower_bound(node, entry), entry);
  // At the last level the identities are equal and cannot be split further.
  if (node.entries.size() <= kMaxLeafSize || level + 1 >= kMaxLevels) {
    return;
  }
  node.children = std::make_unique<std::array<Node, kFanOut>>();
  for (const Entry& moved : node.entries) {
    insert(child(node, moved, level), moved, level + 1);
  }
  node.entries = {};
}

bool RendezvousTree::erase(Node& node, const Entry& entry, unsigned level) {
  if (!node.children) {
    return erase_from_leaf(node, entry);
  }
  if (!erase(child(node, entry, level), entry, level + 1)) {
    return false;
  }
  --node.count;
  if (node.count <= kMergeSize) {
    merge_children(node);
  }
  sum_weights(node);
  return true;
}

bool RendezvousTree::erase_from_leaf(Node& leaf, const Entry& entry) {
  const auto found = lower_bound(leaf, entry);
  if (!is_at(leaf, found, entry)) {
    return false;
  }
  leaf.entries.erase(found);
  --leaf.count;
  sum_weights(leaf);
  return true;
}

void RendezvousTree::merge_children(Node& node) {
  std::vector<Entry> entries;
  collect_entries(node, entries);
  node.children.reset();
  node.entries = std::move(entries);
}

// Recomputes the sum, because adding a weight and subtracting it again would leave a rounding error.
void RendezvousTree::sum_weights(Node& node) {
  node.weight = 0;
  if (node.children) {
    for (const Node& next : *node.children) {
      node.weight += next.weight;
    }
    return;
  }
  for (const Entry& entry : node.entries) {
    node.weight += entry.weight;
  }
}

void RendezvousTree::collect_entries(Node& node, std::vector<Entry>& entries) {
  if (!node.children) {
    entries.insert(entries.end(), node.entries.begin(), node.entries.end());
    return;
  }
  for (Node& next : *node.children) {
    collect_entries(next, entries);
  }
}

}  // namespace streampick::policy
