// One budget of file descriptors for all that hold sockets towards clients and servers. Each side has a floor
// that the other never takes; what lies between the floors goes to whoever asks first. No I/O.
//
// Invariant: used(clients) + used(servers) <= total, and neither side holds more than the total less the
// other's floor, so that a side below its floor always has room.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "overload/settings.h"

namespace streampick::overload {

class Descriptors {
 public:
  enum class Side : std::uint8_t { clients, servers };
  struct Limits {
    std::size_t total = 0;
    std::size_t clients_floor = 0, servers_floor = 0;  // together at most the total
  };
  static Limits limits(std::size_t total, const Settings& settings) {
    const auto share = [total](double of) {
      return static_cast<std::size_t>(static_cast<double>(total) * of);
    };
    return {total, share(settings.clients_floor), share(settings.servers_floor)};
  }

  Descriptors() = default;
  explicit Descriptors(const Limits& limits) : limits_(limits), all_(limits) {}

  // Half of all while two processes of one router run: together they may hold no more than one. What is held
  // already stays until it is given back; over() tells how much that is too much.
  void halve(bool halved) {
    const std::size_t by = halved ? 2 : 1;
    limits_ = {all_.total / by, all_.clients_floor / by, all_.servers_floor / by};
  }
  std::size_t over() const {
    const std::size_t used = used_[0] + used_[1];
    return used > limits_.total ? used - limits_.total : 0;
  }

  std::size_t total() const { return limits_.total; }
  std::size_t floor(Side side) const {
    return side == Side::clients ? limits_.clients_floor : limits_.servers_floor;
  }
  std::size_t used(Side side) const { return used_[index(side)]; }
  std::size_t peak(Side side) const { return peaks_[index(side)]; }
  // The most that the side may hold now.
  std::size_t most(Side side) const {
    const Side other = other_of(side);
    const std::size_t kept = std::max(used(other), floor(other));
    return kept < limits_.total ? limits_.total - kept : 0;
  }
  bool has_room(Side side) const { return used(side) < most(side); }
  // It holds what the other side would have had, and should give back first when that one is short.
  bool borrows(Side side) const { return used(side) > floor(side); }

  void take(Side side) {
    const std::size_t now = ++used_[index(side)];
    peaks_[index(side)] = std::max(peaks_[index(side)], now);
  }
  void give(Side side) {
    if (used_[index(side)] > 0) --used_[index(side)];
  }

 private:
  static constexpr std::size_t index(Side side) { return static_cast<std::size_t>(side); }
  static constexpr Side other_of(Side side) { return side == Side::clients ? Side::servers : Side::clients; }
  Limits limits_, all_;
  std::array<std::size_t, 2> used_{}, peaks_{};
};

}  // namespace streampick::overload
