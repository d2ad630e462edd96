/// \file
/// Anti-entropy: repairs differences between two member tables that gossip left. Processes compare digests of
/// their tables, then of ever smaller ranges of instance ids (a Merkle tree that is computed on demand),
/// until the records of a range that differs fit into a datagram.
#pragma once

#include <cstddef>
#include <cstdint>

#include "membership/protocol_context.h"

namespace streampick::membership {

class AntiEntropy {
 public:
  /// Once a protocol period: bounds the comparisons that this process starts in it.
  void on_period() { started_in_period_ = 0; }
  /// Starts a comparison with the sender if its table differs from this one.
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
