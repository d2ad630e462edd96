/// \file
/// Anti-entropy: repairs differences between member tables that gossip did not repair. Two processes compare
/// digests of their whole tables, then of smaller and smaller ranges of instance ids (a Merkle tree computed
/// on demand), until the records of a differing range fit into one datagram.
#pragma once

#include <cstddef>
#include <cstdint>

#include "membership/protocol_context.h"

namespace streampick::membership {

class AntiEntropy {
 public:
  /// To be called once per protocol period: the number of comparisons started per period is limited.
  void on_period() { started_in_period_ = 0; }
  /// Starts a comparison with the sender if its table's digest differs from this process's.
  void on_digest(ProtocolContext& context, Address from, const Message& message, Time now);
  void on_compare(ProtocolContext& context, Address from, const Message& message,
                  const CompareDigests& theirs, Time now);
  void on_sync_range(ProtocolContext& context, Address from, const Message& message, const SyncRange& range,
                     Time now);

 private:
  static void send_range(ProtocolContext& context, Address to, std::uint32_t depth, std::uint64_t prefix,
                         Time now);

  std::size_t started_in_period_ = 0;
};

}  // namespace streampick::membership
