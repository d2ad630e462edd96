/// \file
/// Random records and messages for the membership tests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

#include "membership/message.h"

namespace streampick::membership::test {

/// The record of an alive process.
inline Record process(InstanceId instance, const std::string& name, Address address) {
  Record record;
  record.instance = instance;
  record.name = name;
  record.address = address;
  return record;
}

/// A random valid record with values up to their limits.
inline Record random_record(std::mt19937_64& random, bool brief) {
  constexpr std::size_t kPrintable = 94;
  Record record;
  record.instance = random() | 1U;
  if (!brief) {
    record.name = std::string(1 + random() % kMaxNameLength, static_cast<char>('!' + random() % kPrintable));
    record.address = 1 + random() % kHighestAddress;
  }
  record.incarnation = random() >> (24 + random() % 40);
  record.state = static_cast<State>(random() % 4);
  if (record.state == State::suspect) {
    record.suspected_by = random() | 1U;
  }
  if (record.state > State::suspect) {
    record.age = static_cast<Time>(random() % 100'000) * kSecond;
  }
  const std::size_t facts = random() % (kMaxFacts + 1);
  for (std::uint32_t id = 0; record.facts.size() < facts;) {
    id += 1 + static_cast<std::uint32_t>(random() % 5);
    record.facts.push_back({.id = id, .value = random() >> (random() % 64)});
  }
  return record;
}

/// A random valid body of the kind.
inline MessageBody random_body(std::mt19937_64& random, MessageKind kind) {
  const auto sequence = static_cast<std::uint32_t>(random());
  const auto depth = static_cast<std::uint32_t>(random() % (kMaxRangeDepth + 1));
  const std::uint64_t prefix = random() >> 8U;
  switch (kind) {
    case MessageKind::ping: return Ping{.sequence = sequence};
    case MessageKind::ack: {
      const bool is_forwarded = random() % 2 == 0;
      return Ack{.sequence = sequence, .target = is_forwarded ? 1 + random() % kHighestAddress : 0};
    }
    case MessageKind::ping_request: {
      const Address target = 1 + random() % kHighestAddress;
      return PingRequest{.sequence = sequence, .target = target, .target_instance = random()};
    }
    case MessageKind::nack: return Nack{.sequence = sequence};
    case MessageKind::compare_digests: {
      CompareDigests digests{.depth = depth, .prefix = prefix};
      for (std::uint32_t& part : digests.parts) {
        part = static_cast<std::uint32_t>(random());
      }
      return digests;
    }
    case MessageKind::sync_range:
      return SyncRange{.depth = depth, .prefix = prefix, .is_reply = random() % 2 == 0};
    case MessageKind::gossip: return Gossip{};
    case MessageKind::payload: {
      const std::size_t length = 1 + random() % kMaxPayloadBytes;
      return Payload{.protocol = sequence, .bytes = std::string(length, 'p')};
    }
  }
  return Gossip{};
}

/// A random valid message with at most `max_updates` updates.
inline Message random_message(std::mt19937_64& random, std::size_t max_updates = kMaxUpdates) {
  Message message;
  message.body = random_body(random, static_cast<MessageKind>(random() % kMessageKinds));
  message.sender = random_record(random, false);
  message.digest = random();
  message.record_count = static_cast<std::uint32_t>(random() % 5'000);
  const std::size_t updates = random() % (max_updates + 1);
  for (std::size_t i = 0; i < updates; ++i) {
    message.updates.push_back(random_record(random, random() % 2 == 0));
  }
  return message;
}

}  // namespace streampick::membership::test
