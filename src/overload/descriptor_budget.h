/// \file
/// One budget of file descriptors for the connections of clients and those to upstream servers.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "overload/settings.h"

namespace streampick::overload {

/// Each side has a reserved minimum that the other side never uses; the rest goes to whichever side needs it
/// first.
///
/// Invariant: used(downstream) + used(upstream) <= total, and neither side uses more than the total less the
/// other side's minimum. So a side below its minimum always has capacity. No I/O; single-threaded.
class DescriptorBudget {
 public:
  enum class Side : std::uint8_t {
    downstream,  ///< connections of clients
    upstream,    ///< connections to servers
  };

  struct Limits {
    std::size_t total = 0;
    std::size_t downstream_minimum = 0;
    std::size_t upstream_minimum = 0;  ///< both minimums together are at most the total

    /// Divides `total` by the shares that are set.
    static Limits from_shares(std::size_t total, const Settings& settings);
  };

  DescriptorBudget() = default;
  explicit DescriptorBudget(const Limits& limits) : limits_(limits), full_limits_(limits) {}

  /// While two processes of one router run, each has half of all limits. Connections that are open stay open:
  /// excess() says how many are too many.
  void set_halved(bool halved);
  /// Descriptors in use beyond the total.
  [[nodiscard]] std::size_t excess() const;

  [[nodiscard]] std::size_t total() const { return limits_.total; }
  [[nodiscard]] std::size_t minimum(Side side) const {
    return side == Side::downstream ? limits_.downstream_minimum : limits_.upstream_minimum;
  }
  [[nodiscard]] std::size_t used(Side side) const { return used_[index(side)]; }
  /// The most descriptors that the side has used at the same time.
  [[nodiscard]] std::size_t peak(Side side) const { return peaks_[index(side)]; }

  /// How many descriptors the side may use now, those in use included.
  [[nodiscard]] std::size_t capacity(Side side) const;
  [[nodiscard]] bool has_capacity(Side side) const { return used(side) < capacity(side); }
  /// Whether the side uses more than its minimum, and should release some first when the other side is short.
  [[nodiscard]] bool exceeds_minimum(Side side) const { return used(side) > minimum(side); }

  /// Counts a descriptor as used. The caller checks has_capacity() where it can still refuse the connection.
  void reserve(Side side);
  void release(Side side);

 private:
  static constexpr std::size_t index(Side side) { return static_cast<std::size_t>(side); }

  Limits limits_;
  Limits full_limits_;
  std::array<std::size_t, 2> used_{};
  std::array<std::size_t, 2> peaks_{};
};

}  // namespace streampick::overload
