// What an operator may set of the limits under load. The defaults are what the platform's build uses.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace streampick::overload {

struct Settings {
  // Shares of the descriptors that connections have in all.
  double clients_floor = 1.0 / 3, servers_floor = 1.0 / 3;  // together at most 1
  double crowd = 0.25;  // held connections of clients from which on there is a crowd
  long long calm_idle = 10'000'000, crowded_idle = 2'000'000;  // us that a client's connection may rest
  // The connection of a cancelled attempt: how long its answer is waited for at most, in us (0: closed at
  // once), what share of the connections may wait so, and how many at one server.
  long long drain_wait = 300'000;
  double drain_share = 0.25;
  std::size_t drain_here = 8;
  // Requests are turned away once the loop comes this late, in us, to what is ready (0: never for that), or,
  // nearly so late, uses this share of the processor's part.
  long long late = 60'000;
  double busy = 0.97;
  std::vector<std::string> spared = {};  // classes that are never turned away for it
  // Answers longer than this are passed on as they come, and none that is longer than the other. A shorter
  // one is too once it has been coming for so long, in us.
  std::size_t whole_answer = 1024 * 1024;
  unsigned long long longest_answer = 32ULL * 1024 * 1024;
  long long whole_wait = 40'000;
};

}  // namespace streampick::overload
