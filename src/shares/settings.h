// What shared limits are set by: plain values.
#pragma once

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "shares/messages.h"

namespace streampick::leases {

// `hard`: places for work in flight. The sum of what all use is never over the total.
// `soft`: a rate. The sum may be over for a stated time by a stated part.
enum class Kind : std::uint8_t { hard, soft };

struct Limit {
  std::string name;
  LimitId id = 0;
  Kind kind = Kind::soft;
  double total = 0;  // places, in whole numbers; or requests a second
};

struct Settings {
  Address self = 0;
  std::vector<Address> voters;  // the same at all routers; a majority of them makes a home
  std::uint32_t seats = 1;      // homes; limits are spread over them
  std::uint32_t routers = 1;    // processes that may be there, at most
  double weight = 1;
  Time period = kSecond;     // between two claims, and between two asks of a home for more time
  Time term = 4 * kSecond;   // of a home
  Time lease = 3 * kSecond;  // of a part; it never ends after its home's term
  double drift = 0.1;        // by so much two clocks differ in speed, at most
  Time work = 4 * kSecond;   // what was begun under a hard part has ended after this
  double floor = 0.25;       // of a hard total: the part that routers may use with no lease, together
  double reserve = 0.05;     // of what is leased: for bursts, first come, first served
  std::size_t items = 8;     // in a datagram, at most
  std::vector<Limit> limits;
};

// By another clock, for certain no longer than `time` by one's own; and for certain no shorter.
inline Time no_longer(Time time, double drift) {
  return static_cast<Time>(static_cast<double>(time) / (1 + drift));
}
inline Time no_shorter(Time time, double drift) {
  return static_cast<Time>(std::ceil(static_cast<double>(time) * (1 + drift)));
}

// Of a hard total, what all routers may use with no lease, together: a whole part for each of the settings'
// routers, or none.
inline double floors_of(const Limit& limit, const Settings& settings) {
  const double routers = std::max(1U, settings.routers);
  return std::floor(std::floor(limit.total * settings.floor) / routers) * routers;
}
// What one router may use with no lease, where `routers` processes may be there by the view. Hard ones are
// within floors_of() together, whatever a view says that counts too few; soft ones are an even part.
inline double floor_of(const Limit& limit, const Settings& settings, std::uint32_t routers) {
  if (limit.kind == Kind::soft) return limit.total / std::max(1U, routers);
  return std::floor(floors_of(limit, settings) / std::max({1U, routers, settings.routers}));
}
// What a home may lease out of a hard limit.
inline double leased_of(const Limit& limit, const Settings& settings) {
  return limit.total - floors_of(limit, settings);
}

}  // namespace streampick::leases
