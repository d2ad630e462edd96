// The network faults that a script sets between processes. Decides without I/O what happens to each datagram
// of the relay; random decisions come from a seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace streampick::testbed {

// The faults of one direction between two processes.
struct Link {
  bool cut = false;
  double loss = 0, twice = 0, damaged = 0;  // each the share of datagrams affected, 0 to 1
  // In us. `spread` is the maximum random addition to `delay`; a wide spread reorders datagrams.
  std::int64_t delay = 0, spread = 0;
  double bytes_per_s = 0;  // datagrams beyond this rate are dropped; 0: no limit
};

class Faults {
 public:
  Faults(std::size_t processes, std::uint64_t seed)
      : size_(processes), links_(processes * processes), spent_(links_.size()), random_(seed) {}

  Link& link(std::size_t from, std::size_t to) { return links_[from * size_ + to]; }
  void clear() { links_.assign(links_.size(), Link{}); }

  // Returns the delay of each copy of the datagram, in us from now; an empty list means that the datagram is
  // lost. Damages `datagram` in place.
  std::vector<std::int64_t> pass(std::size_t from, std::size_t to, std::string& datagram, std::int64_t now) {
    const Link& it = link(from, to);
    if (it.cut || draw() < it.loss) return {};
    if (it.bytes_per_s > 0) {
      Spent& spent = spent_[from * size_ + to];
      if (now - spent.since >= 1'000'000) spent = {now, 0};
      if ((spent.bytes += static_cast<double>(datagram.size())) > it.bytes_per_s) return {};
    }
    if (!datagram.empty() && draw() < it.damaged)
      datagram[random_() % datagram.size()] ^= static_cast<char>(1 + random_() % 255);
    std::vector<std::int64_t> out(draw() < it.twice ? 2 : 1);
    for (std::int64_t& after : out)
      after = it.delay + static_cast<std::int64_t>(draw() * static_cast<double>(it.spread));
    return out;
  }

 private:
  struct Spent {
    std::int64_t since = 0;
    double bytes = 0;
  };
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::size_t size_;
  std::vector<Link> links_;
  std::vector<Spent> spent_;
  std::mt19937_64 random_;
};

}  // namespace streampick::testbed
