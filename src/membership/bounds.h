/// \file
/// Upper bounds and expected values of the protocol as formulas. docs/membership.md derives them; tests check
/// the implementation against them. Durations are in protocol periods. `members`: number of routers in the
/// fleet; `datagram_size`: maximum size in bytes; `loss`: fraction of datagrams that the network loses.
#pragma once

#include <cstddef>

namespace streampick::membership {

/// Upper bound of the time from the end of all faults until all views are equal and contain exactly the live
/// processes. `live`: number of processes that were live during the faults; 0 means half of `members`.
double settle_periods(std::size_t members, std::size_t datagram_size, double loss = 0, std::size_t live = 0);

/// Expected time from the crash of a process until the first live member suspects it.
double first_suspected_periods();

/// Expected fraction of probes that fail although their target is live. The target refutes the suspicions
/// that follow.
double false_alarm_share(double loss, std::size_t indirect_probers);

/// Maximum number of datagrams, other than replies, that one router sends in a protocol period.
double max_sends_per_period(std::size_t indirect_probers);

}  // namespace streampick::membership
