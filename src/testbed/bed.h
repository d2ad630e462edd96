// Real processes of the router with stand-in caches, origin and load round them, every datagram between them
// through the relay, played by a script.
#pragma once

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "testbed/script.h"

namespace streampick::testbed {

struct Sample {
  double periods = 0;
  std::vector<int> alive;         // that each router counts; -1: it does not run
  std::vector<bool> joined = {};  // whether it has counted all but one before, as the process that it is
};

struct Played {
  bool passed = false;
  std::vector<std::string> failures;  // a line each, with file and step
  std::vector<Sample> samples;
  std::uint64_t asked = 0, answered = 0, lost = 0;  // of the load
  std::uint64_t longest_datagram = 0;
};

struct BedSettings {
  std::string router;  // the program
  std::string logs;    // a folder for the routers' logs; empty: none
};

// Throws std::runtime_error when the bed can't be made. What each step came to is written to `out`.
Played play(const Script& script, const BedSettings& settings, std::ostream& out);

// What routers count over time, as SVG.
std::string plot(const std::vector<Sample>& samples, const std::string& title);
std::string to_csv(const std::vector<Sample>& samples);
std::vector<Sample> from_csv(const std::string& text);

}  // namespace streampick::testbed
