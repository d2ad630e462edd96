/// \file
/// Drawn histories of a gossip fleet on a simulated network, each reduced to one digest: every datagram's
/// bytes, every reported change, and each second all counts and figures. The same seed gives the same
/// history.
#pragma once

#include <cstdint>
#include <string>

namespace streampick::membership {

struct WorldResult {
  std::uint64_t digest = 0;
  std::string summary;  ///< sizes, messages by kind and the final counts, for a reader of a mismatch
};

/// Runs one world of 3 to 60 processes with loss, delay, duplication, damage, partitions, pauses, clock
/// steps, restarts, replayed datagrams and hostile records.
WorldResult run_drawn_world(std::uint64_t seed);

}  // namespace streampick::membership
