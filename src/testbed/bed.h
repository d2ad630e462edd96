// Runs a script against real router processes. Stand-in caches, a stand-in origin and clients surround them,
// and a relay forwards every datagram between them.
#pragma once

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "testbed/script.h"

namespace streampick::testbed {

struct Sample {
  double periods = 0;
  std::vector<int> alive;  // routers that each router counts as alive; -1: the router is not running
  // For each router, whether its process has ever counted all routers, or all but one, as alive.
  std::vector<bool> joined = {};
};

struct Played {
  bool passed = false;
  std::vector<std::string> failures;  // one line each, with file and step
  std::vector<Sample> samples;
  std::uint64_t asked = 0, answered = 0, lost = 0;  // requests of the load clients
  std::uint64_t longest_datagram = 0;
};

struct BedSettings {
  std::string router;  // path of the router's executable
  std::string logs;    // directory for the routers' logs; empty: no logs
};

// Runs the script and writes the result of each step to `out`. Throws std::runtime_error if the processes and
// their ports can't be set up.
Played play(const Script& script, const BedSettings& settings, std::ostream& out);

// Returns a chart, as SVG, of how many routers are counted as alive over time.
std::string plot(const std::vector<Sample>& samples, const std::string& title);
std::string to_csv(const std::vector<Sample>& samples);
std::vector<Sample> from_csv(const std::string& text);

}  // namespace streampick::testbed
