#include "shares/lease_protocol.h"

#include <algorithm>

#include "shares/safety_rules.h"

namespace streampick::leases {

namespace {

constexpr std::size_t kMaxCandidates = 4;  // only the first processes of a shard's order stand for election
// In periods.
constexpr Time kCandidateSpacing = 2;  // additional wait for each position in the order
constexpr Time kMaxBackoff = 3;        // random pause after a lost election
constexpr Time kElectionTimeout = 2;   // a candidate without a majority steps back
constexpr Time kGranterTimeout = 3;    // a granter that was not heard of for longer is considered lost
constexpr Time kUrgentClaimsPerPeriod = 5;
constexpr std::uint64_t kMaxEpoch = std::uint64_t{1} << 60U;
constexpr int kMaxSelfDeliveries = 8;  // rounds of messages from this process to itself within one event

}  // namespace

LeaseProtocol::LeaseProtocol(Settings settings, Incarnation self, std::uint64_t seed, Time now)
    : settings_(std::move(settings)),
      self_(self),
      random_(seed),
      shards_(settings_.shards, Shard(Voter(settings_, now))),
      holder_(settings_, self),
      order_(settings_.self),
      next_period_(now),
      next_wakeup_(now) {}

void LeaseProtocol::start(Time now) {
  has_started_ = true;
  holder_.start();
  next_period_ = now;
  next_wakeup_ = now;
}

void LeaseProtocol::set_view(Time now, std::vector<Address> living_peers, std::uint32_t routers) {
  order_.set_living(std::move(living_peers));
  holder_.set_routers(routers);
  schedule(now);
}

void LeaseProtocol::set_demand(Time now, LimitId limit, double demand, double in_use) {
  if (!holder_.set_demand(now, settings_, limit, demand, in_use)) return;
  Shard& shard = shards_[shard_of(settings_, limit)];
  if (shard.must_claim_soon) return;
  shard.must_claim_soon = true;
  schedule(now);
}

void LeaseProtocol::set_limits(Time now, std::vector<Limit> limits) {
  settings_.limits = std::move(limits);
  holder_.set_limits(settings_.limits);
  for (Shard& shard : shards_) shard.granter.remove_unknown_limits(settings_);
  schedule(now);
}

void LeaseProtocol::leave(Time now, bool process_ends) {
  holder_.leave(process_ends);
  if (has_left_) return;
  for (std::uint32_t index = 0; index < shards_.size(); ++index)
    send_claims(now, index, LeaseHolder::ClaimPurpose::return_all);
  to_self_.clear();
  has_left_ = true;
}

// After a suspension longer than a term, the votes that this process gave and its own terms may have ended. A
// clock that was set forward looks the same here, but by other clocks the votes and leases may still be
// valid. So the voter gives no votes until earlier ones have certainly expired, and all terms of this process
// end.
void LeaseProtocol::detect_suspension(Time now) {
  if (now - next_wakeup_ <= settings_.term) return;
  ++counters_.suspensions;
  for (Shard& shard : shards_) {
    shard.voter.lose_memory(settings_, now);
    end_term(shard);
  }
}

void LeaseProtocol::tick(Time now) {
  if (has_left_ || !has_started_) return;
  detect_suspension(now);
  const bool starts_period = now >= next_period_;
  if (starts_period) next_period_ = now + settings_.period;
  for (std::uint32_t index = 0; index < shards_.size(); ++index) {
    Shard& shard = shards_[index];
    if (shard.election.has_expired(now)) end_term(shard);
    if (starts_period) maintain_candidacy(now, index);
    const bool claims_soon = shard.must_claim_soon && now >= shard.no_claim_before;
    if (starts_period || claims_soon) send_claims(now, index, LeaseHolder::ClaimPurpose::renew);
  }
  deliver_to_self(now);
  schedule(now);
}

void LeaseProtocol::schedule(Time now) {
  next_wakeup_ = next_period_;
  for (const Shard& shard : shards_) {
    if (shard.must_claim_soon) next_wakeup_ = std::min(next_wakeup_, std::max(now, shard.no_claim_before));
    if (shard.election.is_elected()) next_wakeup_ = std::min(next_wakeup_, shard.election.term_end());
  }
  next_wakeup_ = std::max(next_wakeup_, now);
}

bool LeaseProtocol::is_granting(std::uint32_t shard, Time now) const {
  const Election& election = shards_[shard].election;
  return election.is_granter(now) && now >= election.grants_from();
}

const LeaseTable* LeaseProtocol::lease_table(LimitId limit) const {
  return shards_[shard_of(settings_, limit)].granter.table(limit);
}

// ---- Granter

void LeaseProtocol::maintain_candidacy(Time now, std::uint32_t index) {
  Shard& shard = shards_[index];
  if (!shard.election.is_running()) {
    if (!should_stand(now, index)) return;
    shard.election.start(now, {.number = ++shard.highest_epoch, .incarnation = self_});
  } else if (shard.election.waiting(now) > kElectionTimeout * settings_.period) {
    step_back(now, index);
    return;
  }
  request_votes(now, index);
}

// Returns whether the shard has no granter and this process's turn in the candidate order has come.
bool LeaseProtocol::should_stand(Time now, std::uint32_t index) {
  Shard& shard = shards_[index];
  KnownGranter& known = shard.known_granter;
  if (hears_granter(now, shard) && known.address != settings_.self) return false;
  known.address = 0;
  const std::size_t rank = order_.rank(index);
  if (rank >= kMaxCandidates || now < shard.no_candidacy_before) return false;
  const Time timeout = kGranterTimeout * settings_.period;
  if (known.last_heard == kLongAgo) {
    // No granter has been heard of since the start: candidates earlier in the order stand first.
    known.last_heard = now - timeout;
    if (rank > 0) return false;
  } else {
    const Time turn = static_cast<Time>(rank) * kCandidateSpacing * settings_.period;
    if (now - known.last_heard < timeout + turn) return false;
  }
  return shard.highest_epoch < kMaxEpoch;
}

// Releases the received votes, so that other candidates can get them, and backs off.
void LeaseProtocol::step_back(Time now, std::uint32_t index) {
  Shard& shard = shards_[index];
  Message release = make_message(Message::Kind::release, index);
  release.epoch = shard.election.epoch();
  send_to_voters(release);
  end_term(shard);
  const auto max_backoff = static_cast<std::uint64_t>(kMaxBackoff * settings_.period);
  const auto backoff = static_cast<Time>(random_() % max_backoff);
  const Time turn = static_cast<Time>(order_.rank(index)) * kCandidateSpacing * settings_.period;
  shard.no_candidacy_before = now + backoff + turn;
}

void LeaseProtocol::end_term(Shard& shard) {
  if (shard.election.is_elected()) ++counters_.terms_lost;
  shard.election.abandon();
  shard.granter.clear();
}

void LeaseProtocol::request_votes(Time now, std::uint32_t index) {
  Shard& shard = shards_[index];
  Message request = make_message(Message::Kind::vote_request, index);
  request.epoch = shard.election.epoch();
  request.sequence = shard.election.next_request(now);
  send_to_voters(request);
}

void LeaseProtocol::send_redirect(Time now, Address to, const Message& claim) {
  const Shard& shard = shards_[claim.shard];
  Message redirect = make_message(Message::Kind::redirect, claim.shard);
  redirect.sequence = claim.sequence;
  if (shard.election.is_granter(now)) {
    redirect.granter = settings_.self;
  } else if (hears_granter(now, shard)) {
    redirect.granter = shard.known_granter.address;
  }
  send(to, std::move(redirect));
}

// ---- Holder

bool LeaseProtocol::hears_granter(Time now, const Shard& shard) const {
  return now - shard.known_granter.last_heard <= kGranterTimeout * settings_.period;
}

// Returns where to send claims: once to a hint, else to the known granter, else to the candidates in
// rotation.
Address LeaseProtocol::claim_target(Time now, std::uint32_t index) {
  const Shard& shard = shards_[index];
  KnownGranter& known = shards_[index].known_granter;
  if (known.hint != 0) return std::exchange(known.hint, 0);
  if (known.address != 0 && hears_granter(now, shard)) return known.address;
  return order_.at(index, known.unanswered_claims % kMaxCandidates);
}

void LeaseProtocol::send_claims(Time now, std::uint32_t index, LeaseHolder::ClaimPurpose purpose) {
  Shard& shard = shards_[index];
  shard.must_claim_soon = false;
  shard.no_claim_before = now + settings_.period / kUrgentClaimsPerPeriod;
  const Address target = claim_target(now, index);
  ++shard.known_granter.unanswered_claims;
  for (Message& claim : holder_.make_claims(now, settings_, index, purpose)) {
    ++counters_.claims_sent;
    send(target, std::move(claim));
  }
}

// ---- Receiving

void LeaseProtocol::receive(Time now, Address from, const Message& message) {
  if (has_left_ || !has_started_) return;
  detect_suspension(now);
  dispatch(now, from, message);
  deliver_to_self(now);
  schedule(now);
}

void LeaseProtocol::dispatch(Time now, Address from, const Message& message) {
  if (message.shard >= shards_.size()) {
    ++counters_.unknown_ids;
    return;
  }
  switch (message.kind) {
    case Message::Kind::vote_request: on_vote_request(now, from, message); break;
    case Message::Kind::vote: on_vote(now, from, message); break;
    case Message::Kind::rejection: on_rejection(now, message); break;
    case Message::Kind::release: on_release(now, message); break;
    case Message::Kind::claim: on_claim(now, from, message); break;
    case Message::Kind::grant: on_grant(now, from, message); break;
    case Message::Kind::redirect: on_redirect(now, from, message); break;
  }
}

void LeaseProtocol::on_vote_request(Time now, Address from, const Message& message) {
  if (!is_voter()) return;
  Shard& shard = shards_[message.shard];
  // A restarted voter may have forgotten epochs that holders remember. Holders would reject all leases of a
  // granter with a lower epoch, so the voter does not elect it.
  const Epoch& fence = holder_.fence(message.shard);
  const bool is_fenced = message.epoch < fence;
  const Time duration = is_fenced ? 0 : shard.voter.request_vote(settings_, now, message.epoch, from);
  const bool has_vote = duration > 0;
  Message answer = make_message(has_vote ? Message::Kind::vote : Message::Kind::rejection, message.shard);
  answer.sequence = message.sequence;
  answer.duration = duration;
  answer.epoch = has_vote ? message.epoch : std::max(shard.voter.highest_epoch(), fence);
  answer.granter = shard.voter.voted_for(now);
  if (!has_vote) ++counters_.votes_rejected;
  send(from, std::move(answer));
}

void LeaseProtocol::on_vote(Time now, Address from, const Message& message) {
  Shard& shard = shards_[message.shard];
  if (message.epoch != shard.election.epoch()) return;
  const bool won = shard.election.record_vote(settings_, now, from, message.sequence, message.duration);
  if (won) ++counters_.elections_won;
  if (shard.election.is_granter(now)) note_granter(shard, now, settings_.self);
}

void LeaseProtocol::on_rejection(Time now, const Message& message) {
  Shard& shard = shards_[message.shard];
  const auto is_candidate = [&] { return shard.election.is_running() && !shard.election.is_elected(); };
  // A candidacy with a lower epoch than another known one cannot win.
  if (is_candidate() && shard.election.epoch() < message.epoch) end_term(shard);
  // Votes are split: the first candidate in the order continues, the others step back.
  const bool names_another = message.granter != settings_.self;
  if (is_candidate() && names_another && order_.is_living(message.granter) &&
      order_.precedes_self(message.shard, message.granter))
    step_back(now, message.shard);
  note_epoch(shard, message.epoch);
  if (message.granter != 0 && names_another && !shard.election.is_granter(now))
    note_granter(shard, now, message.granter);
}

void LeaseProtocol::on_release(Time now, const Message& message) {
  if (is_voter()) shards_[message.shard].voter.release(now, message.epoch);
}

void LeaseProtocol::on_claim(Time now, Address from, const Message& message) {
  Shard& shard = shards_[message.shard];
  if (!is_granting(message.shard, now)) {
    send_redirect(now, from, message);
    return;
  }
  // The holder rejects grants of this epoch: begin a term with a higher epoch.
  if (settings_.safety_rules->is_fenced(shard.election.epoch(), message.epoch)) {
    note_epoch(shard, message.epoch);
    end_term(shard);
    return;
  }
  if (!shard.granter.has_grant_numbers()) {
    end_term(shard);
    return;
  }
  LeaseGranter::Answer answer =
      shard.granter.answer(now, settings_, holder_.routers(), shard.election, from, message);
  counters_.unknown_ids += answer.unknown_items;
  if (answer.grant.items.empty()) return;
  ++counters_.grants_sent;
  send(from, std::move(answer.grant));
}

void LeaseProtocol::on_grant(Time now, Address from, const Message& message) {
  const LeaseHolder::GrantResult result = holder_.apply_grant(now, settings_, message);
  if (result.is_stale) {
    ++counters_.stale_grants;
    return;
  }
  counters_.leases_applied += result.applied;
  Shard& shard = shards_[message.shard];
  note_epoch(shard, message.epoch);
  note_granter(shard, now, from);
  shard.known_granter.unanswered_claims = 0;
  if (result.must_claim_again) shard.must_claim_soon = true;
}

void LeaseProtocol::on_redirect(Time now, Address from, const Message& message) {
  Shard& shard = shards_[message.shard];
  if (message.granter == from) {
    note_granter(shard, now, from);
    shard.known_granter.unanswered_claims = 0;
    return;
  }
  // A redirect from another process is only a hint, which gets one claim: only the granter itself confirms
  // that it is the granter.
  const bool is_news = message.granter != 0 && message.granter != settings_.self &&
                       message.granter != shard.known_granter.address;
  if (!is_news || !order_.is_living(message.granter)) return;
  shard.known_granter.hint = message.granter;
  shard.must_claim_soon = true;
}

void LeaseProtocol::note_granter(Shard& shard, Time now, Address granter) {
  shard.known_granter.address = granter;
  shard.known_granter.last_heard = now;
}

void LeaseProtocol::note_epoch(Shard& shard, const Epoch& epoch) {
  shard.highest_epoch = std::max(shard.highest_epoch, std::min(epoch.number, kMaxEpoch));
}

bool LeaseProtocol::is_voter() const {
  const std::vector<Address>& voters = settings_.voters;
  return std::find(voters.begin(), voters.end(), settings_.self) != voters.end();
}

// ---- Sending

Message LeaseProtocol::make_message(Message::Kind kind, std::uint32_t shard) {
  Message message;
  message.kind = kind;
  message.shard = shard;
  return message;
}

void LeaseProtocol::send(Address to, Message message) {
  message.sender = self_;
  if (to == settings_.self) {
    to_self_.push_back(std::move(message));
  } else {
    outgoing_.push_back({.to = to, .message = std::move(message)});
  }
}

void LeaseProtocol::send_to_voters(const Message& message) {
  for (const Address voter : settings_.voters) send(voter, message);
}

// Dispatches the messages that this process sent to itself; the answers may be for this process again.
void LeaseProtocol::deliver_to_self(Time now) {
  for (int round = 0; round < kMaxSelfDeliveries && !to_self_.empty(); ++round)
    for (const Message& message : std::exchange(to_self_, {})) dispatch(now, settings_.self, message);
  to_self_.clear();
}

}  // namespace streampick::leases
