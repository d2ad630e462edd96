// One process's part in fleet-wide limits. docs/leases.md describes the algorithm, its proof and its bounds.
#pragma once

#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "shares/candidate_order.h"
#include "shares/election.h"
#include "shares/lease_granter.h"
#include "shares/lease_holder.h"
#include "shares/settings.h"
#include "shares/voter.h"

namespace streampick::leases {

/// Counts since the start of the process.
struct Counters {
  std::uint64_t claims_sent = 0;
  std::uint64_t grants_sent = 0;
  std::uint64_t leases_applied = 0;
  std::uint64_t stale_grants = 0;  // of an older epoch, or not an answer to a recent claim
  std::uint64_t elections_won = 0;
  std::uint64_t terms_lost = 0;
  std::uint64_t votes_rejected = 0;
  std::uint64_t unknown_ids = 0;  // messages for shards, and items for limits, that this router does not have
  std::uint64_t suspensions = 0;
};

/// Composes the roles of one process: Voter, Election and LeaseGranter for each shard, and LeaseHolder.
///
/// PaxosLease elects a granter for each shard of limits. The granter leases parts of the limits to the
/// processes that claim them, as in Doorman. The inputs are events and the time; the outputs are messages,
/// allowances and the next wake-up. No I/O, no clock, no threads. All times of a process must come from the
/// same monotonic clock.
///
/// Invariant: at every instant the sum of what all processes may use of a hard limit is at most its total. It
/// does not depend on any view of the fleet. Of clocks it requires only that their speeds differ by at most a
/// factor of 1 + Settings::max_clock_drift. Tests: LeaseModel (every order of events within a depth, and
/// random histories), LeaseHistories.
class LeaseProtocol {
 public:
  /// `self`: random number that identifies this process, not 0. `seed`: for the random pauses between
  /// candidacies.
  LeaseProtocol(Settings settings, Incarnation self, std::uint64_t seed, Time now);

  /// Call when messages can be sent and received, and when no earlier process at this address is active any
  /// more. Before, nothing of a hard limit is usable and no timer runs.
  void start(Time now);
  /// Sets the view of the fleet: the other live processes, and the maximum number of processes.
  void set_view(Time now, std::vector<Address> living_peers, std::uint32_t routers);
  /// Sets what this router could use of a limit now, including what it rejects, and what it uses. If demand
  /// grows beyond the allowance, the router claims soon, otherwise in the next period.
  void set_demand(Time now, LimitId limit, double demand, double in_use);
  void receive(Time now, Address from, const Message& message);
  void tick(Time now);
  /// Time at which tick() is due; kNever: not before another event.
  Time next_wakeup() const { return has_left_ || !has_started_ ? kNever : next_wakeup_; }
  /// Sets new limits and totals. Leases of limits that remain are kept until they end.
  void set_limits(Time now, std::vector<Limit> limits);
  /// Returns all leases and stops granting and voting. `process_ends`: the guaranteed minima pass to the
  /// successor at this address; otherwise this process keeps them, and may call leave() again when it ends.
  void leave(Time now, bool process_ends);

  bool has_limit(LimitId limit) const { return holder_.has_limit(limit); }
  Allowance allowance(LimitId limit) const { return holder_.allowance(settings_, limit); }
  /// Whether an allowance has changed since the last call.
  bool take_changed() { return holder_.take_changed(); }
  std::vector<OutgoingMessage> take_messages() { return std::exchange(outgoing_, {}); }

  // For counters and operators' commands.
  const Settings& settings() const { return settings_; }
  const Counters& counters() const { return counters_; }
  bool is_granter(std::uint32_t shard, Time now) const { return shards_[shard].election.is_granter(now); }
  /// Whether this process is the granter and already grants, because work of earlier terms has ended.
  bool is_granting(std::uint32_t shard, Time now) const;
  /// 0 if no granter is known.
  Address known_granter(std::uint32_t shard) const { return shards_[shard].known_granter.address; }
  Epoch epoch(std::uint32_t shard) const { return holder_.fence(shard); }
  /// Null if this process is not the limit's granter, or nobody has claimed.
  const LeaseTable* lease_table(LimitId limit) const;
  std::uint32_t routers() const { return holder_.routers(); }
  Incarnation incarnation() const { return self_; }
  double demand(LimitId limit) const { return holder_.demand(limit); }

 private:
  static constexpr Time kLongAgo = INT64_MIN / 2;

  struct KnownGranter {
    Address address = 0;         // as reported by the granter itself, or by a voter that voted for it
    Time last_heard = kLongAgo;  // when the granter was last reported
    Address hint = 0;            // as reported by another process: gets one claim
    std::uint32_t unanswered_claims = 0;
  };
  struct Shard {
    explicit Shard(const Voter& initial_voter) : voter(initial_voter) {}
    Voter voter;
    Election election;
    LeaseGranter granter;  // of the election's epoch
    KnownGranter known_granter;
    std::uint64_t highest_epoch = 0;  // highest known epoch number; the next epoch gets a higher one
    Time no_candidacy_before = 0;
    Time no_claim_before = 0;
    bool must_claim_soon = false;
  };

  void detect_suspension(Time now);
  void schedule(Time now);
  // Granter.
  void maintain_candidacy(Time now, std::uint32_t index);
  bool should_stand(Time now, std::uint32_t index);
  void step_back(Time now, std::uint32_t index);
  void end_term(Shard& shard);
  void request_votes(Time now, std::uint32_t index);
  // Holder.
  bool hears_granter(Time now, const Shard& shard) const;
  Address claim_target(Time now, std::uint32_t index);
  void send_claims(Time now, std::uint32_t index, LeaseHolder::ClaimPurpose purpose);
  // One handler for each kind of message.
  void dispatch(Time now, Address from, const Message& message);
  void on_vote_request(Time now, Address from, const Message& message);
  void on_vote(Time now, Address from, const Message& message);
  void on_rejection(Time now, const Message& message);
  void on_release(Time now, const Message& message);
  void on_claim(Time now, Address from, const Message& message);
  void on_grant(Time now, Address from, const Message& message);
  void on_redirect(Time now, Address from, const Message& message);
  static void note_granter(Shard& shard, Time now, Address granter);
  static void note_epoch(Shard& shard, const Epoch& epoch);
  bool is_voter() const;
  void send_redirect(Time now, Address to, const Message& claim);
  // Sending.
  static Message make_message(Message::Kind kind, std::uint32_t shard);
  void send(Address to, Message message);
  void send_to_voters(const Message& message);
  void deliver_to_self(Time now);

  Settings settings_;
  Incarnation self_;
  std::mt19937_64 random_;
  std::vector<Shard> shards_;
  LeaseHolder holder_;
  CandidateOrder order_;
  Time next_period_;
  Time next_wakeup_;
  bool has_started_ = false;
  bool has_left_ = false;
  std::vector<OutgoingMessage> outgoing_;
  std::vector<Message> to_self_;
  Counters counters_;
};

}  // namespace streampick::leases
