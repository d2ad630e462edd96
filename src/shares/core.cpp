#include "shares/core.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace streampick::leases {

namespace {

constexpr std::size_t kCandidates = 4;  // of the view's order for a seat, that ask for it at all
constexpr Time kRankWaits = 2;          // periods that the next in the order waits longer
constexpr Time kPause = 3;              // ... and that one waits at most that has stepped back
constexpr Time kNoMajority = 2;         // periods after which a candidate steps back
constexpr Time kHomeForgotten = 3;      // periods without a word of a seat's home
constexpr Time kUrgent = 5;             // parts of a period between two claims at least
constexpr std::uint64_t kMostNumber = std::uint64_t{1} << 60U;
constexpr std::uint32_t kMostGrants = 1U << 31U;

}  // namespace

Core::Core(Settings settings, Boot boot, std::uint64_t seed, Time now)
    : settings_(std::move(settings)),
      boot_(boot),
      random_(seed),
      living_{settings_.self},
      routers_(settings_.routers),
      next_period_(now),
      next_(now) {
  for (std::uint32_t seat = 0; seat < settings_.seats; ++seat) seats_.emplace_back(Voter(settings_, now));
  for (const Limit& limit : settings_.limits) holdings_[limit.id].limit = limit;
}

// ---- What the host tells

void Core::begin(Time now) {
  begun_ = changed_ = true;
  next_period_ = next_ = now;
}

void Core::view(Time now, std::vector<Address> living, std::uint32_t routers) {
  living_ = std::move(living);
  living_.push_back(settings_.self);
  std::sort(living_.begin(), living_.end());
  living_.erase(std::unique(living_.begin(), living_.end()), living_.end());
  if (std::exchange(routers_, std::max(1U, routers)) != routers_) changed_ = true;
  schedule(now);
}

void Core::demand(Time now, LimitId limit, double want, double in_use) {
  const auto found = holdings_.find(limit);
  if (found == holdings_.end()) return;
  Holding& holding = found->second;
  const bool more = want > holding.want;
  holding.want = std::max(0.0, want);
  holding.in_use = std::max(0.0, in_use);
  const Part part = part_of(holding);
  Seat& seat = seats_[seat_of(limit)];
  if (more && want > part.usable(now) && !seat.urgent) {
    seat.urgent = true;
    schedule(now);
  }
}

void Core::set_limits(Time now, std::vector<Limit> limits) {
  const std::map<LimitId, Holding> before = std::exchange(holdings_, {});
  settings_.limits = std::move(limits);
  for (const Limit& limit : settings_.limits) {
    Holding& holding = holdings_[limit.id];
    if (const auto was = before.find(limit.id); was != before.end() && was->second.limit.kind == limit.kind)
      holding = was->second;
    holding.limit = limit;
  }
  for (Seat& seat : seats_)
    std::erase_if(seat.ledgers, [&](const auto& one) { return !holdings_.contains(one.first); });
  changed_ = true;
  schedule(now);
}

void Core::leave(Time now, bool ends) {
  ended_ = ended_ || ends;
  changed_ = true;
  if (over_) return;
  for (std::uint32_t seat = 0; seat < seats_.size(); ++seat) claim(now, seat, true);
  own_.clear();
  over_ = true;
}

// ---- Time

// A process that was stopped for longer than a term has neither a home's part nor a voter's any more. Nor has
// one whose clock was set forward, which looks the same from here: what it promised and leased out may hold
// for longer by the others' clocks.
void Core::awake(Time now) {
  if (now - next_ <= settings_.term) return;
  ++figures_.slept;
  for (std::uint32_t seat = 0; seat < seats_.size(); ++seat) {
    seats_[seat].voter.forget(settings_, now);
    drop_home(seat);
  }
}

void Core::drop_home(std::uint32_t seat) {
  Seat& it = seats_[seat];
  if (it.candidacy.until() != 0) ++figures_.homes_lost;
  it.candidacy.give_up();
  it.ledgers.clear();
  it.grants = 0;
}

void Core::fence(std::uint32_t seat, Epoch epoch) {
  seats_[seat].fence = epoch;
  for (auto& [id, holding] : holdings_)
    if (seat_of(id) == seat) holding.seen = 0;
}

void Core::tick(Time now) {
  if (over_ || !begun_) return;
  awake(now);
  const bool period = now >= next_period_;
  if (period) next_period_ = now + settings_.period;
  for (std::uint32_t seat = 0; seat < seats_.size(); ++seat) {
    if (seats_[seat].candidacy.lost(now)) drop_home(seat);
    if (period) look_at_seat(now, seat);
    if (period || (seats_[seat].urgent && now >= seats_[seat].claim_at)) claim(now, seat);
  }
  deliver_own(now);
  schedule(now);
}

void Core::schedule(Time now) {
  next_ = next_period_;
  for (const Seat& seat : seats_) {
    if (seat.urgent) next_ = std::min(next_, std::max(now, seat.claim_at));
    if (seat.candidacy.until() != 0) next_ = std::min(next_, seat.candidacy.until());
  }
  next_ = std::max(next_, now);
}

bool Core::grants(std::uint32_t seat, Time now) const {
  const Candidacy& candidacy = seats_[seat].candidacy;
  return candidacy.home(now) && now >= candidacy.grants_from();
}

// ---- Being home

// This router's place in the order of a seat's homes: the same at all who hold the same view.
std::uint64_t Core::order(std::uint32_t seat, Address router) {
  return XXH3_64bits_withSeed(&router, sizeof router, seat);
}

std::size_t Core::rank(std::uint32_t seat) const {
  const std::uint64_t own = order(seat, settings_.self);
  std::size_t out = 0;
  for (const Address other : living_) out += order(seat, other) > own ? 1 : 0;
  return out;
}

Address Core::choice(std::uint32_t seat, std::size_t rank) const {
  std::vector<std::pair<std::uint64_t, Address>> all;
  for (const Address one : living_) all.emplace_back(order(seat, one), one);
  rank = std::min(rank, all.size() - 1);
  std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(rank), all.end(), std::greater<>());
  return all[rank].second;
}

void Core::look_at_seat(Time now, std::uint32_t seat) {
  Seat& it = seats_[seat];
  if (it.candidacy.running()) {
    if (it.candidacy.waiting(now) <= kNoMajority * settings_.period) return ask_voters(now, seat);
    return step_back(now, seat);
  }
  if (now - it.heard <= kHomeForgotten * settings_.period && it.home != settings_.self) return;
  it.home = 0;
  const std::size_t place = rank(seat);
  if (place >= kCandidates || now < it.try_again) return;
  const Time waits = static_cast<Time>(place) * kRankWaits * settings_.period;
  if (it.heard != kLongAgo && now - it.heard < kHomeForgotten * settings_.period + waits) return;
  if (it.heard == kLongAgo) {
    // Nothing was heard of it so far: those before this one in the order have their turn first.
    it.heard = now - kHomeForgotten * settings_.period;
    if (place > 0) return;
  }
  if (it.highest >= kMostNumber) return;
  it.candidacy.begin(now, {++it.highest, boot_});
  ask_voters(now, seat);
}

// So that no vote stays with a candidate that can't be home.
void Core::step_back(Time now, std::uint32_t seat) {
  Seat& it = seats_[seat];
  Message out = make(Message::Kind::release, seat);
  out.epoch = it.candidacy.epoch();
  for (const Address voter : settings_.voters) send(voter, out);
  drop_home(seat);
  const auto pause = static_cast<Time>(random_() % static_cast<std::uint64_t>(kPause * settings_.period));
  it.try_again = now + pause + static_cast<Time>(rank(seat)) * kRankWaits * settings_.period;
}

void Core::ask_voters(Time now, std::uint32_t seat) {
  Seat& it = seats_[seat];
  Message out = make(Message::Kind::ask, seat);
  out.epoch = it.candidacy.epoch();
  out.number = it.candidacy.ask(now);
  for (const Address voter : settings_.voters) send(voter, out);
}

void Core::claimed(Time now, Address from, const Message& message) {
  Seat& it = seats_[message.seat];
  if (!it.candidacy.home(now) || now < it.candidacy.grants_from()) {
    Message out = make(Message::Kind::elsewhere, message.seat);
    out.number = message.number;
    const bool known = now - it.heard <= kHomeForgotten * settings_.period;
    out.home = it.candidacy.home(now) ? settings_.self : known ? it.home : 0;
    return send(from, std::move(out));
  }
  // This router's number is too low for who has seen a home of a higher one: it begins again.
  if (message.epoch > it.candidacy.epoch() && kWithout != kFence) {
    it.highest = std::max(it.highest, std::min(message.epoch.number, kMostNumber));
    return drop_home(message.seat);
  }
  Message out = make(Message::Kind::grant, message.seat);
  out.epoch = it.candidacy.epoch();
  out.number = message.number;
  // What is granted ends within the term, by this clock; and the claim was sent before now.
  out.length = std::min(settings_.lease, it.candidacy.until() - now);
  if (it.grants >= kMostGrants) return drop_home(message.seat);  // numbers begin anew with another epoch
  out.grant = ++it.grants;
  out.holder = message.self;
  for (const Item& item : message.items) {
    const auto holding = holdings_.find(item.limit);
    if (holding == holdings_.end() || seat_of(item.limit) != message.seat) {
      ++figures_.unknown;
      continue;
    }
    const Ledger::Claim claim{message.self, from,           message.number,
                              item,         message.weight, message.epoch == it.candidacy.epoch()};
    const auto amount = it.ledgers[item.limit].claim(now, settings_, holding->second.limit, routers_, claim,
                                                     out.grant, out.length);
    if (amount) out.items.push_back({.limit = item.limit, .amount = *amount});
  }
  if (out.items.empty()) return;
  ++figures_.grants;
  send(from, std::move(out));
}

// ---- Holding parts

Part Core::part_of(const Holding& holding) const {
  const bool hard = holding.limit.kind == Kind::hard;
  return {holding.limit.kind, hard && (ended_ || !begun_) ? 0 : floor(holding), over_ ? 0 : holding.amount,
          over_ ? 0 : holding.until};
}

Part Core::part(LimitId limit) const {
  const auto found = holdings_.find(limit);
  return found == holdings_.end() ? Part{} : part_of(found->second);
}

double Core::wanted(LimitId limit) const {
  const auto found = holdings_.find(limit);
  return found == holdings_.end() ? 0 : found->second.want;
}

const Ledger* Core::ledger(LimitId limit) const {
  const Seat& seat = seats_[seat_of(limit)];
  const auto found = seat.ledgers.find(limit);
  return found == seat.ledgers.end() ? nullptr : &found->second;
}

void Core::claim(Time now, std::uint32_t seat, bool give_back) {
  Seat& it = seats_[seat];
  it.urgent = false;
  it.claim_at = now + settings_.period / kUrgent;
  Address home = now - it.heard <= kHomeForgotten * settings_.period ? it.home : 0;
  if (it.hint != 0) home = std::exchange(it.hint, 0);
  if (home == 0) home = choice(seat, it.unheard % kCandidates);
  ++it.unheard;
  Message out = make(Message::Kind::claim, seat);
  out.epoch = it.fence;
  out.weight = settings_.weight;
  const auto flush = [&] {
    if (out.items.empty()) return;
    out.number = ++claim_number_;
    claims_[out.number % kClaims] = {out.number, now};
    ++figures_.claims;
    send(home, out);
    out.items.clear();
  };
  for (auto& [id, holding] : holdings_) {
    if (seat_of(id) != seat) continue;
    const bool hard = holding.limit.kind == Kind::hard;
    const double own = hard ? floor(holding) : 0;
    // Of a hard limit the floor is had anyway; what it has no use for it gives back.
    double want = std::max(0.0, holding.want - own);
    if (hard) want = std::ceil(want);
    if (give_back) want = 0;
    if (hard && holding.amount > want) {
      holding.amount = want;
      changed_ = true;
    }
    const double held = now < holding.until ? holding.amount : 0;
    const double over = hard ? std::max(0.0, std::ceil(holding.in_use - own)) : 0;
    out.items.push_back({id, want, over, holding.seen, held});
    if (out.items.size() >= settings_.items) flush();
  }
  flush();
}

void Core::granted(Time now, Address from, const Message& message) {
  Seat& it = seats_[message.seat];
  const Sent& sent = claims_[message.number % kClaims];
  if ((message.epoch < it.fence && kWithout != kFence) || sent.number != message.number ||
      message.number == 0 || message.holder != boot_) {
    ++figures_.stale;
    return;
  }
  if (message.epoch != it.fence) fence(message.seat, message.epoch);
  it.highest = std::max(it.highest, std::min(message.epoch.number, kMostNumber));
  home_is(now, message.seat, from);
  it.unheard = 0;
  for (const Item& item : message.items) {
    const auto found = holdings_.find(item.limit);
    if (found == holdings_.end() || seat_of(item.limit) != message.seat) continue;
    Holding& holding = found->second;
    if (message.grant <= holding.seen) continue;
    const Time length = std::min(message.length, settings_.lease);
    const Part before = part_of(holding);
    const bool hard = holding.limit.kind == Kind::hard;
    const bool less = hard && item.amount < holding.amount && now < holding.until;
    const double wants = hard ? holding.want - floor(holding) : holding.want;
    const bool grows = item.amount > holding.amount && item.amount < wants;
    holding.seen = message.grant;
    holding.amount = std::min(item.amount, holding.limit.total);
    // From when the claim was sent, and by a clock that may be the slower one.
    holding.until = sent.time + (kWithout == kMargin ? length : no_longer(length, settings_.drift));
    ++figures_.granted;
    if (part_of(holding) != before) changed_ = true;
    // What it may use no longer, another waits for; and who gets more with each claim claims again.
    if (less || grows) it.urgent = true;
  }
}

void Core::home_is(Time now, std::uint32_t seat, Address home) {
  seats_[seat].home = home;
  seats_[seat].heard = now;
}

// ---- What is heard

void Core::receive(Time now, Address from, const Message& message) {
  if (over_ || !begun_) return;
  awake(now);
  take(now, from, message);
  deliver_own(now);
  schedule(now);
}

void Core::take(Time now, Address from, const Message& message) {
  if (message.seat >= seats_.size()) {
    ++figures_.unknown;
    return;
  }
  Seat& it = seats_[message.seat];
  const bool voter =
      std::find(settings_.voters.begin(), settings_.voters.end(), settings_.self) != settings_.voters.end();
  switch (message.kind) {
    case Message::Kind::ask: {
      if (!voter) break;
      // Holders remember epochs that a voter has forgotten: a home of a lower one could lease them nothing.
      const Time length = message.epoch < it.fence ? 0 : it.voter.ask(settings_, now, message.epoch, from);
      Message out = make(length > 0 ? Message::Kind::promise : Message::Kind::refusal, message.seat);
      out.number = message.number;
      out.length = length;
      out.epoch = length > 0 ? message.epoch : std::max(it.voter.highest(), it.fence);
      out.home = it.voter.home(now);
      if (length == 0) ++figures_.refused;
      send(from, std::move(out));
      break;
    }
    case Message::Kind::promise:
      if (message.epoch != it.candidacy.epoch()) break;
      if (it.candidacy.promised(settings_, now, from, message.number, message.length)) ++figures_.homes_won;
      if (it.candidacy.home(now)) home_is(now, message.seat, settings_.self);
      break;
    case Message::Kind::refusal: {
      // A higher epoch: this router's has no future, unless it is home already.
      if (it.candidacy.running() && it.candidacy.until() == 0 && it.candidacy.epoch() < message.epoch)
        drop_home(message.seat);
      // Several ask, and each has a vote or two: the first in the order goes on, the rest make way.
      if (it.candidacy.running() && it.candidacy.until() == 0 && message.home != settings_.self &&
          std::binary_search(living_.begin(), living_.end(), message.home) &&
          order(message.seat, message.home) > order(message.seat, settings_.self))
        step_back(now, message.seat);
      it.highest = std::max(it.highest, std::min(message.epoch.number, kMostNumber));
      if (message.home != 0 && message.home != settings_.self && !it.candidacy.home(now))
        home_is(now, message.seat, message.home);
      break;
    }
    case Message::Kind::release:
      if (voter) it.voter.release(now, message.epoch);
      break;
    case Message::Kind::claim: claimed(now, from, message); break;
    case Message::Kind::grant: granted(now, from, message); break;
    case Message::Kind::elsewhere:
      // What another says is worth a claim, no more. Whoever is home says so itself.
      if (message.home == from) {
        home_is(now, message.seat, from);
        it.unheard = 0;
      } else if (message.home != 0 && message.home != settings_.self && it.home != message.home &&
                 std::binary_search(living_.begin(), living_.end(), message.home)) {
        it.hint = message.home;
        it.urgent = true;
      }
      break;
  }
}

// ---- Sending

Message Core::make(Message::Kind kind, std::uint32_t seat) const {
  Message out;
  out.kind = kind;
  out.self = boot_;
  out.seat = seat;
  return out;
}

void Core::send(Address to, Message message) {
  if (to == settings_.self) {
    own_.push_back(std::move(message));
  } else {
    sends_.push_back({to, std::move(message)});
  }
}

// What goes to this router itself; an answer to it may go there as well.
void Core::deliver_own(Time now) {
  for (int turn = 0; turn < 8 && !own_.empty(); ++turn)
    for (const Message& message : std::exchange(own_, {})) take(now, settings_.self, message);
  own_.clear();
}

}  // namespace streampick::leases
