// How a total is divided among those who want parts of it. No I/O, no clock.
#pragma once

#include <span>
#include <vector>

namespace streampick::leases {

struct Want {
  double want = 0, weight = 1;
};

// Max-min fair: each gets what it wants or, where that is more than is there, as much by weight as all others
// who do not get what they want. The parts' sum is at most `total`.
std::vector<double> max_min(double total, std::span<const Want> wants);

// The same in whole parts of whole wants. What is left of the fractions goes to those who were short of it
// for longest: `credits` says by how much each has been, and is kept from one division to the next; whoever
// `has` one of these units keeps it for some divisions.
inline constexpr double kStay = 4;  // divisions
std::vector<double> whole_max_min(double total, std::span<const Want> wants, std::span<double> credits,
                                  std::span<const double> has);

}  // namespace streampick::leases
