/// \file
/// SWIM's failure detector: in each protocol period it probes one member, going through all members in
/// shuffled rounds. A probe that is not acknowledged in time is repeated, both directly and through other
/// members (indirect probes).
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
  /// Starts a probe of the next member, unless a probe is running.
  void start_probe(ProtocolContext& context, Time now);
  /// Ends the running probe if its deadline has passed. Returns its target if that is to be suspected.
  std::optional<InstanceId> end_failed_probe(ProtocolContext& context, Time now);
  /// Repeats the running probe if that is due, and answers indirect probes that timed out with a Nack.
  void on_timer(ProtocolContext& context, Time now);
  /// When on_timer() is due; kNever if it has nothing to do.
  [[nodiscard]] Time next_timer() const;

  /// `acknowledged`: address of the process that was probed; it differs from the sender's if an indirect
  /// prober forwards the Ack. Returns whether a probe was waiting for this Ack.
  bool on_ack(ProtocolContext& context, const Message& message, const Ack& ack, Address acknowledged,
              Time now);
  void on_nack(const Nack& nack);
  void on_ping_request(ProtocolContext& context, Address from, const PingRequest& request, Time now);

  /// Discards all running probes without a result. To be called after this process was suspended, when
  /// missing Acks say nothing about the targets.
  void discard_running();
  /// Discards all running probes and the current round.
  void reset();

 private:
  struct Probe {
    std::uint32_t sequence = 0;
    InstanceId target = 0;
    Address address = 0;
    Time repeat_at = 0;  // kNever: the probe is not repeated again
    Time deadline = 0;
    int pings = 1;
    std::size_t indirect_probers = 0;
    std::size_t nacks = 0;
  };
  // A probe that this process makes for another one.
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
  std::vector<InstanceId> round_;  // members that are still to be probed in this round
  std::uint32_t picks_with_claims_ = 0;
  std::map<std::uint32_t, IndirectProbe> indirect_probes_;  // by sequence number
};

}  // namespace streampick::membership
