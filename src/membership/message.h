/// \file
/// The messages of the gossip protocol. Each contains the sender's own record, a digest of its member table
/// and piggybacked updates; the body holds the fields of one message kind.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "membership/record.h"

namespace streampick::membership {

inline constexpr std::size_t kRangeParts = 16;
/// Digests of the sixteen parts of a range of instance ids.
using PartDigests = std::array<std::uint32_t, kRangeParts>;
/// Number of hexadecimal digits of an instance id: a range of this depth holds one instance.
inline constexpr std::uint32_t kMaxRangeDepth = 16;

/// SWIM's direct probe, acknowledged by Ack with the same sequence number.
struct Ping {
  std::uint32_t sequence = 0;
  friend bool operator==(const Ping&, const Ping&) = default;
};

/// The reply to Ping. In an Ack that an indirect prober forwards, `target` is the address of the process that
/// was probed, and the first update is that process's own record; otherwise `target` is 0.
struct Ack {
  std::uint32_t sequence = 0;
  Address target = 0;
  friend bool operator==(const Ack&, const Ack&) = default;
};

/// SWIM's ping-req: asks the receiver to probe `target`. The reply is a forwarded Ack or a Nack.
struct PingRequest {
  std::uint32_t sequence = 0;
  Address target = 0;
  InstanceId target_instance = 0;  ///< as the sender knows it
  friend bool operator==(const PingRequest&, const PingRequest&) = default;
};

/// Lifeguard's negative acknowledgement: the indirect prober is reachable, but its probe timed out.
struct Nack {
  std::uint32_t sequence = 0;
  friend bool operator==(const Nack&, const Nack&) = default;
};

/// Anti-entropy: digests of the parts of a range, which consists of the instances whose ids begin with the
/// `depth` hexadecimal digits `prefix`.
struct CompareDigests {
  std::uint32_t depth = 0;
  std::uint64_t prefix = 0;
  PartDigests parts = {};
  friend bool operator==(const CompareDigests&, const CompareDigests&) = default;
};

/// Anti-entropy: the updates are the sender's records of a range. A reply contains only records that the
/// receiver lacks or has in an older version, and gets no reply itself.
struct SyncRange {
  std::uint32_t depth = 0;
  std::uint64_t prefix = 0;
  bool is_reply = false;
  friend bool operator==(const SyncRange&, const SyncRange&) = default;
};

/// A message that only carries updates.
struct Gossip {
  friend bool operator==(const Gossip&, const Gossip&) = default;
};

/// A message of another protocol that shares the socket.
struct Payload {
  std::uint32_t protocol = 0;
  std::string bytes = {};
  friend bool operator==(const Payload&, const Payload&) = default;
};

/// In the order of MessageKind.
using MessageBody = std::variant<Ping, Ack, PingRequest, Nack, CompareDigests, SyncRange, Gossip, Payload>;

/// The enumerators' values are the numbers on the wire.
enum class MessageKind : std::uint8_t {
  ping,
  ack,
  ping_request,
  nack,
  compare_digests,
  sync_range,
  gossip,
  payload,
};
inline constexpr std::size_t kMessageKinds = std::variant_size_v<MessageBody>;
/// Names in the reply to the management command FLEET.
inline constexpr std::array<const char*, kMessageKinds> kMessageKindNames = {
    "probe", "answer", "ask_to_probe", "no_answer", "compare", "records", "tell", "guest"};

inline constexpr std::size_t kMaxUpdates = 64;
inline constexpr std::size_t kMaxPayloadBytes = 1'200;
/// Payload::protocol of the lease protocol for shared limits.
inline constexpr std::uint32_t kShares = 1;

struct Message {
  Record sender = {};
  std::uint64_t digest = 0;        ///< of the sender's member table, including its own record
  std::uint32_t record_count = 0;  ///< number of records in that digest
  std::vector<Record> updates = {};
  MessageBody body = Ping{};

  [[nodiscard]] MessageKind kind() const { return static_cast<MessageKind>(body.index()); }
  friend bool operator==(const Message&, const Message&) = default;
};

}  // namespace streampick::membership
