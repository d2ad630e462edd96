// A script for a bed of processes: steps one after the other, each an action or something to wait for or to
// hold. TOML; every mistake is one line with file, line and key.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/faults.h"

namespace streampick::testbed {

// In the place of numbers: whoever is home of the origin's places when the step is taken, and all but it.
inline constexpr std::size_t kHome = SIZE_MAX, kOthers = SIZE_MAX - 1;

struct Step {
  enum class Do : std::uint8_t {
    kill,       // SIGKILL
    stop,       // SIGSTOP
    go_on,      // SIGCONT
    terminate,  // SIGTERM, and waits for its end
    stutter,    // for `periods`, stopped for nine tenths of each
    start,      // another process in its place
    restart,    // kill and start at once
    upgrade,    // another process beside it, by a passed socket; when that serves, SIGTERM, and its end is
                // waited for
    cut,        // between the groups; one way: only from the first to the others
    heal,       // no faults any more
    link,       // loss and so on, between all or from `who`
    wait,       // for something, or for a number of periods
    mark,       // what is counted since, is counted from here
    load,       // only `who` have load from now on
    expect,     // something that must be so now
  };
  enum class What : std::uint8_t {
    none,
    settled,     // all that run hold the same view, with exactly those that run alive
    sees,        // each of `who` counts `number` alive
    least,       // each of `who` counts `number` routers by name that are well
    never_lost,  // since the last `mark` no router declared more than `number` others unreachable
    quiet,       // bytes a process a second since the last `mark` are at most `number`
    counted,  // since the last `mark`, as far as was looked, each router counted `number` at least, and never
              // too many
    answered,         // every request of the load had its one final answer
    routers,          // each of `who` divides totals by `number`
    origin_at_most,   // so many requests were at work at the origin at once, ever
    origin_at_least,  // ... since the last mark
    usable,           // each of `who` may use so many of the origin's places at least
    leased,           // all that run may use so many of them together
  };
  Do action = Do::wait;
  What what = What::none;
  // Routers from 0 on, behind them caches and the origin.
  std::vector<std::size_t> who;                  // empty: all routers
  std::vector<std::vector<std::size_t>> groups;  // of a cut
  bool one_way = false;
  Link link;
  std::string name;    // of the process that is started; empty: its own
  double periods = 0;  // to wait, or the longest to wait for
  double number = 0;
};

struct Script {
  std::string file;
  std::size_t routers = 12, caches = 2;
  std::uint64_t seed = 1;
  std::int64_t period_ms = 200;
  std::size_t datagram = 256;
  bool doors = false;         // clients' sockets are the bed's, and passed; for upgrades
  bool numbered = true;       // by the platform's peers; else by addresses and seeds
  double requests_per_s = 0;  // of load; 0: none
  std::int64_t unreachable_s = 600, hold_ms = 1'000;
  std::size_t clients = 1;        // of each router; each asks for its next key when it has an answer
  bool misses = false;            // caches lack all keys, so that all is read from the origin
  std::int64_t origin_ms = 0;     // that the origin takes for an answer
  std::size_t origin_places = 0;  // that the routers share; 0: [shares] is off
  double floor = 0.25;            // of them, with no lease
  std::vector<Step> steps;
};

// Both throw options::Error.
Script read_script(const std::string& text, const std::string& file);
Script load_script(const std::string& file);

// "0-4,7" for routers, "c0-1" for caches, "origin"; throws std::runtime_error. `caches` 0: only routers.
std::vector<std::size_t> parse_processes(const std::string& text, std::size_t routers, std::size_t caches);

}  // namespace streampick::testbed
