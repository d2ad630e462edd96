/// \file
/// Random scenarios of a gossip fleet on a simulated network, each reduced to one digest of its observable
/// behaviour: the bytes of every datagram, every reported change, and once a second the summary and counters
/// of every node. A seed always gives the same scenario.
#pragma once

#include <cstdint>
#include <string>

namespace streampick::membership {

struct ScenarioResult {
  std::uint64_t digest = 0;
  std::string summary;  ///< fleet size, messages by kind and final counts, for the failure message
};

/// Runs one scenario of 3 to 60 processes with loss, delay, duplication, corruption, partitions, pauses,
/// clock steps, restarts, replayed datagrams and false records.
ScenarioResult run_random_scenario(std::uint64_t seed);

}  // namespace streampick::membership
