/// \file
/// State that the components of the gossip protocol share: this process's own record, the member table, the
/// updates to be disseminated, the random numbers, and the messages and changes that the caller will take.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "membership/change_log.h"
#include "membership/dissemination_queue.h"
#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/message.h"
#include "membership/protocol_rules.h"
#include "membership/random_source.h"
#include "membership/settings.h"
#include "membership/suspicion.h"

namespace streampick::membership {

/// Counts since the start.
struct ProtocolCounters {
  std::uint64_t pings = 0;
  std::uint64_t failed_probes = 0;
  std::uint64_t ping_requests = 0;
  std::uint64_t anti_entropy_rounds = 0;
  std::uint64_t refutations = 0;
  std::uint64_t declared_unreachable = 0;  ///< by this router
  std::uint64_t unexpected_acks = 0;       ///< late, or without a probe
  std::uint64_t table_full = 0;            ///< records that were dropped as the member table was full
  std::uint64_t address_mismatches = 0;    ///< messages not sent from the address in their sender's record
};

struct OutgoingMessage {
  Address to = 0;
  Message message;
};

/// Members that are alive or suspected.
struct LiveMembers {
  std::size_t count = 1;           ///< including this process
  std::vector<Address> addresses;  ///< excluding this process's; sorted
};

struct ProtocolContext {
  ProtocolContext(Settings settings, std::uint64_t seed, Time now, const ProtocolRules& rules);

  [[nodiscard]] const LiveMembers& live() const;
  /// To be called when a member starts or ceases to be live.
  void invalidate_live() { cached_live.reset(); }

  [[nodiscard]] Message make_message(MessageBody body, Time now) const;
  /// Adds the records `first` and then pending updates to the message, and queues it.
  void send(Message message, Address to, Time now, const std::vector<Record>& first = {});
  void send(MessageBody body, Address to, Time now, const std::vector<Record>& first = {});
  /// `target`: the probed member; nullptr if it is unknown. If it is not alive in this process's view, its
  /// record is among the first updates of the message, so that it can refute that.
  void send_ping(std::uint32_t sequence, Address to, const Member* target, Time now,
                 std::vector<Record> first = {});
  /// The member's record if its state in this process's view is not `alive`.
  [[nodiscard]] std::optional<Record> accusation(InstanceId member, Time now) const;
  std::uint32_t next_sequence() { return static_cast<std::uint32_t>(random.next()); }

  Settings settings;
  const ProtocolRules* rules;
  RandomSource random;
  Record self;
  MemberTable table;
  Suspicions suspicions;
  DisseminationQueue updates;
  /// Members to be probed before others, with the claim to be verified.
  std::map<InstanceId, Record> priority_probes;
  LocalHealth health;
  ChangeLog changes;
  ProtocolCounters counters;
  std::vector<OutgoingMessage> outgoing;
  Time last_change;
  mutable std::optional<LiveMembers> cached_live;
};

}  // namespace streampick::membership
