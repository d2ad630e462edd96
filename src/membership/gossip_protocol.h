/// \file
/// The membership protocol: SWIM with Lifeguard's extensions and anti-entropy. Each router keeps a view of
/// its fleet. docs/membership.md has the algorithm, its differences from the papers, bounds and invariants.
///
/// Takes messages and the time, gives messages, the time of its next call, and changes of the view. No I/O,
/// no clock, no threads; a copy goes on independently.
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

/// Bytes that another protocol on the socket sent.
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

  /// Messages can be sent and received from now on. Time before it does not count as a suspension.
  void start(Time now);
  /// `from`: the address that the message came from.
  void receive(Time now, Address from, const Message& message);
  /// To be called at next_wakeup(). Calls that come much later count as a suspension of this process.
  void tick(Time now);
  [[nodiscard]] Time next_wakeup() const;
  /// Whether this process was suspended for so long that it must start anew under another instance id. The
  /// caller then drops the datagrams that wait on its socket, and calls tick().
  [[nodiscard]] bool must_restart(Time now) const;

  /// Changes what this process says of itself.
  void set_facts(Time now, Facts facts);
  void set_contacts(std::vector<Address> contacts);
  /// Queues bytes of another protocol, max_payload_size() at most: larger ones are dropped. There is no
  /// acknowledgement and no retransmission.
  void send_payload(std::uint32_t protocol, Time now, Address to, std::string bytes);
  [[nodiscard]] std::size_t max_payload_size() const;
  std::vector<ReceivedPayload> take_payloads() { return std::exchange(payloads_, {}); }
  /// Tells some other members that this process leaves. It sends nothing afterwards.
  void leave(Time now);

  std::vector<OutgoingMessage> take_outgoing() { return std::exchange(context_.outgoing, {}); }
  std::vector<Change> take_changes() { return context_.changes.take(); }

  [[nodiscard]] const Record& self() const { return context_.self; }
  [[nodiscard]] const MemberTable& table() const { return context_.table; }
  [[nodiscard]] ViewSummary summary(Time now) const;
  [[nodiscard]] const ProtocolCounters& counters() const { return context_.counters; }
  [[nodiscard]] std::uint64_t dropped_changes() const { return context_.changes.dropped(); }
  [[nodiscard]] const Settings& settings() const { return context_.settings; }
  /// Lifeguard's score: 0 is healthy; higher scores make this process slower to accuse.
  [[nodiscard]] int local_health() const { return context_.health.score(); }
  /// Protocol periods after which an unchanged view counts as settled.
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
  Time expected_wakeup_;  // of the last call; a much later one shows a suspension
  std::optional<Time> new_instance_at_;
  bool is_settled_ = false;
  std::size_t settled_max_live_ = 1;
  std::vector<ReceivedPayload> payloads_;
};

}  // namespace streampick::membership
