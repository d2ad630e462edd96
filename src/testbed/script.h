// A testbed script in TOML. It lists steps that run in order: each is an action, a condition to wait for or a
// condition that must hold. A mistake is reported as one line with file, line and key.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/faults.h"

namespace streampick::testbed {

// Placeholders for router numbers: the router that grants the origin's places when the step runs, and all
// other routers.
inline constexpr std::size_t kHome = SIZE_MAX, kOthers = SIZE_MAX - 1;

struct Step {
  enum class Do : std::uint8_t {
    kill,       // SIGKILL
    stop,       // SIGSTOP
    go_on,      // SIGCONT
    terminate,  // SIGTERM, then waits for the process to exit
    stutter,    // for `periods` periods, SIGSTOP for the first 0.9 of each period and SIGCONT for the rest
    start,      // starts a new process for a router that is down
    restart,    // kills the process and starts a new one at once
    upgrade,    // starts a second process with the same listening socket; once that serves, sends SIGTERM to
                // the first process and waits for it to exit
    cut,        // cuts the links between the groups; one way: only those from the first group to the others
    heal,       // removes all faults
    link,       // sets loss, delay and other faults on all links, or on those from `who`
    wait,       // waits for a condition or for a number of periods
    mark,       // restarts the counts that conditions make "since the last mark"
    load,       // from now on, clients send requests to `who` only
    expect,     // a condition that must hold now
  };
  enum class What : std::uint8_t {
    none,
    settled,     // all running routers hold the same view, in which exactly the running routers are alive
    sees,        // each of `who` counts `number` routers as alive
    least,       // each of `who` reports `number` as its least count of routers (`least` of FLEET)
    never_lost,  // since the last `mark`, no router has declared more than `number` others unreachable
    quiet,       // since the last `mark`, at most `number` bytes per second and router were sent to others
    counted,   // in each sample since the last `mark`, each router counted at least `number` and at most all
               // routers as alive
    answered,  // every request of the load clients had its final answer
    routers,   // each of `who` divides fleet-wide totals by `number`
    origin_at_most,   // at most `number` requests were in progress at the origin at once, since the start
    origin_at_least,  // at least `number` requests were in progress at the origin at once, since the last
                      // `mark`
    usable,           // each of `who` may use at least `number` of the origin's places
    leased,           // all running routers together may use at least `number` of the origin's places
  };
  Do action = Do::wait;
  What what = What::none;
  // Process numbers: routers from 0, then caches, then the origin.
  std::vector<std::size_t> who;                  // empty: all routers
  std::vector<std::vector<std::size_t>> groups;  // for `cut`
  bool one_way = false;
  Link link;
  std::string name;    // router name of the started process; empty: the router's usual name
  double periods = 0;  // duration of the wait, or its upper limit, in gossip periods
  double number = 0;
};

struct Script {
  std::string file;
  std::size_t routers = 12, caches = 2;
  std::uint64_t seed = 1;
  std::int64_t period_ms = 200;
  std::size_t datagram = 256;
  // The testbed owns the clients' listening sockets and passes them on; needed for upgrades.
  bool doors = false;
  bool numbered = true;  // routers find each other by the platform's `peers`; else by addresses and seeds
  double requests_per_s = 0;  // of all load clients together; 0: no load
  std::int64_t unreachable_s = 600, hold_ms = 1'000;
  // For each router. Each client sends its next request once the last one is answered.
  std::size_t clients = 1;
  bool misses = false;            // caches hold no keys, so that every read goes to the origin
  std::int64_t origin_ms = 0;     // time from a request to its answer at the origin
  std::size_t origin_places = 0;  // concurrent origin requests that the routers share; 0: no [shares] section
  double floor = 0.25;            // share of the origin's places that is usable without a lease
  std::vector<Step> steps;
};

// Parse a script from text or from a file. Both throw options::Error.
Script read_script(const std::string& text, const std::string& file);
Script load_script(const std::string& file);

// Parses process numbers: "0-4,7" for routers, "c0-1" for caches, "origin" for the origin. With `caches` 0
// only routers are allowed. Throws std::runtime_error.
std::vector<std::size_t> parse_processes(const std::string& text, std::size_t routers, std::size_t caches);

}  // namespace streampick::testbed
