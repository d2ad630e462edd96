// What an operator may set of the limits under load. The defaults are what the platform's build uses.
#pragma once

namespace streampick::overload {

struct Settings {
  // Shares of the descriptors that connections have in all.
  double clients_floor = 1.0 / 3, servers_floor = 1.0 / 3;  // together at most 1
  double crowd = 0.25;  // held connections of clients from which on there is a crowd
  long long calm_idle = 10'000'000, crowded_idle = 2'000'000;  // us that a client's connection may rest
};

}  // namespace streampick::overload
