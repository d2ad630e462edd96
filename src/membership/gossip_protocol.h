/// \file
/// The membership protocol: SWIM with Lifeguard's extensions and anti-entropy. Each router maintains a view
/// of its fleet. docs/membership.md describes the algorithm, its differences from the papers, its bounds and
/// its invariants.
///
/// The class is a state machine without I/O, clock or threads: the caller passes in messages and the time,
/// and takes out messages, changes of the view and the time of the next call. A copy runs independently of
/// its original.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "membership/anti_entropy.h"
#include "membership/failure_detector.h"
#include "membership/name_conflict_monitor.h"
#include "membership/protocol_context.h"
#include "membership/reconnect_prober.h"
#include "membership/view_summary.h"

namespace streampick::membership {

/// A received payload of another protocol that shares the socket.
struct ReceivedPayload {
  Address from = 0;
  std::uint32_t protocol = 0;
  std::string bytes;
};

class GossipProtocol {
 public:
  /// `rules` must live as long as the object.
  GossipProtocol(Settings settings, std::uint64_t seed, Time now,
                 const ProtocolRules& rules = ProtocolRules::standard());

  /// To be called when messages can be sent and received. The time before does not count as a suspension.
  void start(Time now);
  /// `from`: the address that the datagram came from.
  void receive(Time now, Address from, const Message& message);
  /// To be called at next_wakeup(). A call much later than that counts as a suspension of this process.
  void tick(Time now);
  [[nodiscard]] Time next_wakeup() const;
  /// Whether this process was suspended for so long that it must restart the protocol under a new instance
  /// id. The caller then discards the datagrams in its socket's buffer and calls tick().
  [[nodiscard]] bool must_restart(Time now) const;

  /// Changes the facts in this process's own record.
  void set_facts(Time now, Facts facts);
  void set_contacts(std::vector<Address> contacts);
  /// Queues a message of another protocol. Messages of more than max_payload_size() bytes are dropped. There
  /// is no acknowledgement and no retransmission.
  void send_payload(std::uint32_t protocol, Time now, Address to, std::string bytes);
  [[nodiscard]] std::size_t max_payload_size() const;
  std::vector<ReceivedPayload> take_payloads() { return std::exchange(payloads_, {}); }
  /// Announces to some members that this process leaves. It sends nothing afterwards.
  void leave(Time now);

  std::vector<OutgoingMessage> take_outgoing() { return std::exchange(context_.outgoing, {}); }
  std::vector<Change> take_changes() { return context_.changes.take(); }

  [[nodiscard]] const Record& self() const { return context_.self; }
  [[nodiscard]] const MemberTable& table() const { return context_.table; }
  [[nodiscard]] ViewSummary summary(Time now) const;
  [[nodiscard]] const ProtocolCounters& counters() const { return context_.counters; }
  [[nodiscard]] std::uint64_t dropped_changes() const { return context_.changes.dropped(); }
  [[nodiscard]] const Settings& settings() const { return context_.settings; }
  /// Lifeguard's local health score: 0 is healthy; with a higher score this process waits longer before it
  /// suspects others.
  [[nodiscard]] int local_health() const { return context_.health.score(); }
  /// Number of protocol periods after which an unchanged view counts as settled.
  [[nodiscard]] int settle_periods() const;

 private:
  void handle_suspension(Time now);
  void start_period(Time now);
  void update_settled(Time now);
  void send_gossip(Time now);
  void merge(const Record& record, InstanceId sender, Time now);
  void merge_record_of_self(const Record& record, Time now);
  void refute(const Record& accusation, Time now);
  void verify_accused_sender(InstanceId sender, Time now);
  void take_new_instance(Time now);
  void restart(Time now);

  void handle(const Ping& ping, Address from, const Message& message, Time now);
  void handle(const Ack& ack, Address from, const Message& message, Time now);
  void handle(const PingRequest& request, Address from, const Message& message, Time now);
  void handle(const Nack& nack, Address from, const Message& message, Time now);
  void handle(const CompareDigests& digests, Address from, const Message& message, Time now);
  void handle(const SyncRange& range, Address from, const Message& message, Time now);
  void handle(const Gossip& gossip, Address from, const Message& message, Time now);
  void handle(const Payload& payload, Address from, const Message& message, Time now);
  void on_ack(const Ack& ack, Address from, const Message& message, Time now);

  ProtocolContext context_;
  FailureDetector failure_detector_;
  ReconnectProber reconnect_prober_;
  AntiEntropy anti_entropy_;
  NameConflictMonitor name_conflicts_;
  bool has_left_ = false;
  Time next_period_;
  Time expected_wakeup_;  // next_wakeup() at the end of the last call; a much later call shows a suspension
  std::optional<Time> new_instance_at_;
  bool is_settled_ = false;
  std::size_t settled_max_live_ = 1;
  std::vector<ReceivedPayload> payloads_;
};

}  // namespace streampick::membership
