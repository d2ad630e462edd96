/// \file
/// Bounds of the protocol as formulas; docs/membership.md derives them, and tests hold the program to them.
/// Times are in protocol periods. `members`: routers of the fleet; `datagram_size`: bytes; `loss`: share of
/// datagrams that are lost.
#pragma once

#include <cstddef>

namespace streampick::membership {

/// From the end of all faults until all views are equal and hold exactly the live processes. `live`: how many
/// were live meanwhile; 0: half of them.
double settle_periods(std::size_t members, std::size_t datagram_size, double loss = 0, std::size_t live = 0);

/// From a crash until the first live member suspects the process, on average.
double first_suspected_periods();

/// Share of the probes of a live member that fail, which its refutation then corrects.
double false_alarm_share(double loss, std::size_t indirect_probers);

/// Datagrams that one router sends in a period on its own initiative, at most.
double max_sends_per_period(std::size_t indirect_probers);

}  // namespace streampick::membership
