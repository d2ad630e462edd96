/// \file
/// SWIM's failure detector: each protocol period probes one member, from a shuffled round of all; a probe
/// that is not acknowledged is repeated, also by way of other members (indirect probes).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "membership/protocol_context.h"

namespace streampick::membership {

class FailureDetector {
 public:
  /// Starts to probe the next member, unless a probe is running.
  void start_probe(ProtocolContext& context, Time now);
  /// Ends a probe whose time is over. Returns the member that did not acknowledge it, if it is to be
  /// suspected.
  std::optional<InstanceId> end_failed_probe(ProtocolContext& context, Time now);
  /// Repeats the probe when that is due, and ends indirect probes without an acknowledgement.
  void on_timer(ProtocolContext& context, Time now);
  /// kNever if on_timer() has nothing to do.
  [[nodiscard]] Time next_timer() const;

  /// `acknowledged`: address of the process that the acknowledgement stands for. Returns whether a probe
  /// waited for it.
  bool on_ack(ProtocolContext& context, const Message& message, const Ack& ack, Address acknowledged,
              Time now);
  void on_nack(const Nack& nack);
  void on_ping_request(ProtocolContext& context, Address from, const PingRequest& request, Time now);

  /// After a suspension of this process: probes that ran meanwhile say nothing about their targets.
  void discard_running();
  /// Forgets all members.
  void reset();

 private:
  struct Probe {
    std::uint32_t sequence = 0;
    InstanceId target = 0;
    Address address = 0;
    Time repeat_at = 0;  // kNever: no more
    Time deadline = 0;
    int pings = 1;
    std::size_t indirect_probers = 0;
    std::size_t nacks = 0;
  };
  // A probe on behalf of another process.
  struct IndirectProbe {
    Address requester = 0;
    std::uint32_t requester_sequence = 0;
    Address target = 0;
    Time deadline = 0;
  };

  std::optional<InstanceId> pick_target(ProtocolContext& context);
  std::optional<InstanceId> next_of_round(ProtocolContext& context);
  void repeat_probe(ProtocolContext& context, Time now);
  void request_indirect_probes(ProtocolContext& context, Time now);
  void end_indirect_probes(ProtocolContext& context, Time now);

  std::optional<Probe> probe_;
  std::vector<InstanceId> round_;  // members that this round still has to probe
  std::uint32_t priority_turn_ = 0;
  std::map<std::uint32_t, IndirectProbe> indirect_probes_;  // by sequence number
};

}  // namespace streampick::membership
