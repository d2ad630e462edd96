// The proposer role of PaxosLease for one shard. No I/O, no clock.
#pragma once

#include <array>
#include <map>
#include <vector>

#include "shares/settings.h"

namespace streampick::leases {

/// One candidacy of this process: its epoch, the votes received, and until when these votes form a majority.
///
/// Invariant: is_granter() holds only while a majority of voters promises no other epoch, so in true time at
/// most one process is a shard's granter. Tests: LeaseModel, LeaseModelMutation `quorum` and `clock_margin`.
class Election {
 public:
  bool is_running() const { return epoch_.number != 0; }
  const Epoch& epoch() const { return epoch_; }
  /// End of the term by this process's clock; 0: not elected.
  Time term_end() const { return term_end_; }
  bool is_elected() const { return term_end_ != 0; }
  bool is_granter(Time now) const { return now < term_end_; }
  /// From then on leases may be granted, because work that began under earlier terms has ended.
  Time grants_from() const { return grants_from_; }
  bool has_expired(Time now) const { return is_elected() && now >= term_end_; }
  /// Time since start() if there is no majority yet, otherwise 0.
  Time waiting(Time now) const { return is_running() && !is_elected() ? now - started_ : 0; }

  void start(Time now, Epoch epoch);
  void abandon() { *this = Election(); }
  /// Returns the sequence number for a vote request that the caller sends to all voters now.
  std::uint32_t next_request(Time now);
  /// Records a vote; returns whether it won the election.
  bool record_vote(const Settings& settings, Time now, Address voter, std::uint32_t sequence, Time duration);

 private:
  static constexpr std::size_t kPendingRequests = 8;
  struct VoteRequest {
    std::uint32_t sequence = 0;
    Time sent = 0;
  };

  /// Time until which at least `quorum` of the recorded votes are valid.
  Time majority_end(std::size_t quorum) const;

  Epoch epoch_;
  std::array<VoteRequest, kPendingRequests> requests_{};  // ring buffer, indexed by sequence
  std::uint32_t last_sequence_ = 0;
  std::map<Address, Time> vote_ends_;  // by voter, in this process's time
  Time started_ = 0;
  Time term_end_ = 0;
  Time grants_from_ = 0;
};

}  // namespace streampick::leases
