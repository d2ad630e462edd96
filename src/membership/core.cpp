#include "membership/core.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

#include "membership/wire.h"

// Tests build this file once more for each rule, with the rule taken out, and look whether they notice.
#ifndef STREAMPICK_MEMBERSHIP_WITHOUT
#define STREAMPICK_MEMBERSHIP_WITHOUT 0
#endif

namespace streampick::membership {
namespace {

constexpr int kWithout = STREAMPICK_MEMBERSHIP_WITHOUT;
constexpr int kRaise = 1, kTombstones = 2, kRefutation = 3, kOwnVerdict = 4, kSleep = 5, kRepair = 6;

constexpr int kWorstHealth = 4;
constexpr std::size_t kMostRelayed = 64, kMostChanges = 256, kMostRepairs = 8, kLeaveTold = 8,
                      kRemembered = 16, kMostGuests = 256;
constexpr int kAloneAtFirst = 20, kTwiceFor = 5, kHealingFor = 4;
// Beside its probe a router tells on what is new in so many datagrams a period at most; and so many parts of
// a table that are missing are sent for one comparison.
constexpr std::size_t kMostTold = 8, kMostRanges = 4, kTriesInHaste = 3;
constexpr std::uint64_t kLookAtOnce = 4;  // of all routers, on average
constexpr int kProbedTimes = 3;

}  // namespace

Core::Core(Settings settings, std::uint64_t seed, Time now)
    : settings_(std::move(settings)),
      random_(seed),
      table_(kWithout == kTombstones ? Lifetimes{settings_.lifetimes.unreachable, 0} : settings_.lifetimes),
      next_period_(now),
      due_(now),
      last_change_(now) {
  self_.name = settings_.name;
  self_.address = settings_.self;
  self_.facts = settings_.facts;
  self_.boot = random_() | 1U;
}

// ---- Time

// A process that was stopped, or whose loop was held up, heard nothing meanwhile: what it waited for in vain
// is no verdict on others.
void Core::awake(Time now) {
  const Time late = now - due_;
  if (late <= settings_.period / 2 || kWithout == kSleep) return;
  const bool too_long = overslept(now);
  due_ = now;
  changed(now, Change::Kind::slept, self_);
  if (too_long) return be_reborn(now, true);
  for (auto& [boot, suspicion] : suspicions_) suspicion.slept(late);
  probe_.reset();
  relayed_.clear();
  health_ = std::min(kWorstHealth, health_ + 1);
  next_period_ = now;
}

Time Core::next() const {
  if (over_) return kNever;
  Time out = next_period_;
  if (probe_) out = std::min(out, probe_->again);
  for (const auto& [number, relayed] : relayed_) out = std::min(out, relayed.give_up);
  for (const auto& [boot, suspicion] : suspicions_) out = std::min(out, suspicion.due());
  return out;
}

void Core::tick(Time now) {
  if (over_) return;
  awake(now);
  if (probe_ && now >= probe_->again) probe_again(now);
  for (auto at = relayed_.begin(); at != relayed_.end();) {
    if (now < at->second.give_up) {
      ++at;
      continue;
    }
    Message out = make(Message::Kind::no_answer, now);
    out.number = at->second.asked_as;
    send(now, at->second.asker, std::move(out));
    at = relayed_.erase(at);
  }
  std::vector<Boot> ripe;
  for (const auto& [boot, suspicion] : suspicions_)
    if (now >= suspicion.due()) ripe.push_back(boot);
  for (const Boot boot : ripe) declare(now, boot, State::unreachable);
  if (now >= next_period_) new_period(now);
  due_ = std::max(now, next());
}

void Core::new_period(Time now) {
  if (probe_ && now >= probe_->end) {
    ++figures_.unanswered;
    const Boot boot = probe_->boot;
    const Member* member = table_.find(boot);
    // Helpers that did not even say that they had no answer: the fault may be here. Not where others suspect
    // it too.
    const bool alone = member != nullptr && member->record.state == State::alive;
    if (alone && (probe_->helpers == 0 || probe_->no_answers < probe_->helpers))
      health_ = std::min(kWorstHealth, health_ + 1);
    probe_.reset();
    if (member != nullptr && member->record.state <= State::suspect) suspect(now, boot, self_.boot);
  }
  for (const Record& record : table_.forget(now)) {
    gossip_.erase(record.boot);
    doubts_.erase(record.boot);
    if (record.state != State::unreachable) continue;
    last_change_ = now;
    changed(now, Change::Kind::forgotten, record);
  }
  look_at_names(now);
  const bool was_settled = std::exchange(settled_, now - last_change_ >= settle_periods() * settings_.period);
  if (settled_ && !was_settled) settled_count_ = counts(now).most;
  repairs_ = 0;
  healing_ = std::max(0, healing_ - 1);
  periods_alone_ = present() > 1 ? 0 : periods_alone_ + 1;
  if (!probe_) probe_next(now);
  try_the_lost(now);
  tell_on(now);
  next_period_ = now + settings_.period;
}

// ---- Probes

std::optional<Boot> Core::pick() {
  std::erase_if(doubts_, [&](const auto& doubt) {
    const Member* member = table_.find(doubt.first);
    return member == nullptr || member->record.state == State::left;
  });
  // Drawn, or all who doubt the same would ask the same one at once; and every third turn is the round's, or
  // whoever tells what is doubtful could keep this router from looking at the others.
  if (!doubts_.empty() && ++turn_ % 3 != 0)
    return std::next(doubts_.begin(), static_cast<std::ptrdiff_t>(draw(doubts_.size())))->first;
  const auto wanted = [&](Boot boot) {
    const Member* member = table_.find(boot);
    return member != nullptr && member->record.state <= State::suspect;
  };
  for (int filled = 0; filled < 2; ++filled) {
    for (; !round_.empty(); round_.pop_back())
      if (wanted(round_.back())) {
        const Boot boot = round_.back();
        round_.pop_back();
        return boot;
      }
    for (const auto& [boot, member] : table_.all())
      if (member.record.state <= State::suspect) round_.push_back(boot);
    for (std::size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[draw(i)]);
  }
  return std::nullopt;
}

// What all probes have: their number, and what is held against whom they are meant for, so that it
// can say otherwise.
void Core::send_probe(Time now, Address to, std::uint32_t number, const Member* meant,
                      std::vector<Record> first) {
  Message out = make(Message::Kind::probe, now);
  out.number = number;
  if (meant != nullptr)
    if (const auto claim = claim_on(meant->record, now)) first.push_back(*claim);
  ++figures_.probes;
  send(now, to, std::move(out), first);
}

void Core::probe_next(Time now) {
  const std::optional<Boot> boot = pick();
  if (!boot) return;
  const Member& member = *table_.find(*boot);
  std::vector<Record> first;
  if (const auto doubt = doubts_.find(*boot); doubt != doubts_.end()) {
    first.push_back(doubt->second);
    doubts_.erase(doubt);
  }
  probe_ = Probe{static_cast<std::uint32_t>(random_()), *boot, member.record.address,
                 now + settings_.answer_within * (1 + health_), now + settings_.period * (1 + health_)};
  send_probe(now, probe_->address, probe_->number, &member, std::move(first));
}

// Once more, and by way of others; at the last by itself.
void Core::probe_again(Time now) {
  const bool first_time = probe_->times == 1;
  probe_->again = ++probe_->times < kProbedTimes ? now + settings_.answer_within * (1 + health_) : kNever;
  const Member* member = table_.find(probe_->boot);
  if (member == nullptr) return;
  send_probe(now, probe_->address, probe_->number, member);
  if (!first_time) return;
  std::vector<Address> helpers;
  for (const auto& [boot, other] : table_.all())
    if (other.record.state == State::alive && boot != probe_->boot) helpers.push_back(other.record.address);
  for (const Address helper : some_of(std::move(helpers), settings_.helpers)) {
    Message ask = make(Message::Kind::ask_to_probe, now);
    ask.number = probe_->number;
    ask.subject_boot = probe_->boot;
    ask.subject = probe_->address;
    ++probe_->helpers;
    ++figures_.asked_to_probe;
    send(now, helper, std::move(ask));
  }
}

// So many of these, drawn.
std::vector<Address> Core::some_of(std::vector<Address> all, std::size_t most) {
  const std::size_t count = std::min(most, all.size());
  for (std::size_t i = 0; i < count; ++i) std::swap(all[i], all[i + draw(all.size() - i)]);
  all.resize(count);
  return all;
}

// While there is more news than fits on a probe, some datagrams carry nothing else.
void Core::tell_on(Time now) {
  const std::vector<Address>& there = living().addresses;
  for (std::size_t i = 0; i < kMostTold && !gossip_.empty() && there.size() > 1; ++i)
    send(now, there[draw(there.size())], make(Message::Kind::tell, now));
}

// Who is unreachable, and who may be at an address that was named to us: a few of them a period, so that a
// partition's end is found out by all at a bounded rate.
void Core::try_the_lost(Time now) {
  old_tries_ = std::exchange(tries_, {});
  std::vector<Address> lost;
  for (const auto& [boot, member] : table_.all())
    if (member.record.state == State::unreachable) lost.push_back(member.record.address);
  const std::vector<Address>& there = living().addresses;
  for (const std::vector<Address>* named : {&settings_.contacts, &remembered_})
    for (const Address contact : *named)
      if (contact != self_.address && !std::binary_search(there.begin(), there.end(), contact))
        lost.push_back(contact);
  std::sort(lost.begin(), lost.end());
  lost.erase(std::unique(lost.begin(), lost.end()), lost.end());
  const bool haste = healing_ > 0 || (present() == 1 && periods_alone_ < kAloneAtFirst);
  for (const Address to : some_of(std::move(lost), haste ? kTriesInHaste : 1)) {
    const auto number = static_cast<std::uint32_t>(random_());
    tries_[number] = to;
    send_probe(now, to, number, table_.at(to));
  }
}

void Core::answered(Time now, Address from, const Message& message) {
  // A helper tells who it was that answered; else it is the sender itself.
  const bool helped = message.subject != 0;
  if (helped && message.news.empty()) return;
  const Address address = helped ? message.subject : from;
  const Record& who = helped ? message.news.front() : message.self;
  if (who.address != address) return;
  if (probe_ && probe_->number == message.number && probe_->address == address) {
    probe_.reset();
    health_ = std::max(0, health_ - 1);
    return;
  }
  if (const auto relayed = relayed_.find(message.number);
      relayed != relayed_.end() && relayed->second.subject == address && !helped) {
    Message out = make(Message::Kind::answer, now);
    out.number = relayed->second.asked_as;
    out.subject = address;
    const Address asker = relayed->second.asker;
    relayed_.erase(relayed);
    return send(now, asker, std::move(out), {message.self});
  }
  for (auto* tries : {&tries_, &old_tries_})
    if (const auto tried = tries->find(message.number); tried != tries->end() && tried->second == address) {
      tries->erase(tried);
      return;
    }
  ++figures_.stray;
}

// ---- What is heard

void Core::receive(Time now, Address from, const Message& message) {
  if (over_) return;
  awake(now);
  if (message.self.boot == self_.boot) return;
  if (message.self.address != from) {
    ++figures_.other_address;
    return;
  }
  const Boot teller = message.self.boot;
  hear(now, message.self, teller);
  for (const Record& record : message.news) hear(now, record, teller);
  const Member* sender = table_.find(teller);
  if (sender != nullptr &&
      (sender->record.state == State::suspect || sender->record.state == State::unreachable))
    doubts_.emplace(teller, table_.told(*sender, now));
  switch (message.kind) {
    case Message::Kind::probe: {
      Message out = make(Message::Kind::answer, now);
      out.number = message.number;
      std::vector<Record> first;
      if (const auto claim = claim_on(message.self, now)) first.push_back(*claim);
      send(now, from, std::move(out), first);
      found_digest(now, from, message);
      break;
    }
    case Message::Kind::answer:
      answered(now, from, message);
      found_digest(now, from, message);
      break;
    case Message::Kind::ask_to_probe: {
      if (relayed_.size() >= kMostRelayed || message.subject == self_.address) break;
      const auto number = static_cast<std::uint32_t>(random_());
      relayed_[number] = {from, message.number, message.subject, now + settings_.answer_within};
      send_probe(now, message.subject, number, table_.find(message.subject_boot));
      break;
    }
    case Message::Kind::no_answer:
      if (probe_ && probe_->number == message.number) ++probe_->no_answers;
      break;
    case Message::Kind::compare: compare(now, from, message); break;
    case Message::Kind::records: records(now, from, message); break;
    case Message::Kind::guest:
      if (guests_.size() < kMostGuests) guests_.push_back({from, message.guest, message.payload});
      break;
    case Message::Kind::tell: break;
  }
  due_ = std::max(now, next());
}

void Core::hear(Time now, const Record& record, Boot teller) {
  if (record.boot == self_.boot) return hear_of_self(now, record);
  Record it = record;
  // There is one process at an address, and here it is this one: what others hold to be here has ended.
  // Nobody else says that of a process but itself.
  if (it.address == self_.address && it.state != State::left) {
    it.state = State::left;
    it.age = 0;
  }
  const Member* known = table_.find(it.boot);
  const bool is_new = known == nullptr;
  const State before = is_new ? State::alive : known->record.state;
  Table::Effect effect = table_.hear(it, now);
  if (kWithout == kOwnVerdict && effect == Table::Effect::doubtful) {
    table_.set_state(it.boot, State::unreachable, 0, now);
    effect = Table::Effect::raised;
  }
  switch (effect) {
    case Table::Effect::none: return;
    case Table::Effect::no_room: ++figures_.no_room; return;
    case Table::Effect::confirmed: {
      const auto suspicion = suspicions_.find(it.boot);
      const Boot voice = it.state == State::suspect && it.by != 0 ? it.by : teller;
      if (suspicion != suspicions_.end() && suspicion->second.confirm(voice)) spread(it.boot);
      return;
    }
    case Table::Effect::doubtful:
      if (doubts_.size() < Table::kMost) doubts_[it.boot] = it;
      return;
    case Table::Effect::raised: break;
  }
  const Record& now_known = table_.find(it.boot)->record;
  suspicions_.erase(it.boot);
  if (now_known.state != State::suspect) doubts_.erase(it.boot);
  spread(it.boot, is_new);
  if (is_new || (before <= State::suspect) != (now_known.state <= State::suspect)) living_.reset();
  switch (now_known.state) {
    case State::alive:
      if (is_new) changed(now, Change::Kind::came, now_known);
      if (before == State::suspect) changed(now, Change::Kind::refuted, now_known);
      if (before == State::unreachable) {
        healing_ = kHealingFor;
        changed(now, Change::Kind::back, now_known);
      }
      break;
    case State::suspect:
      suspicions_.emplace(it.boot, Suspicion(now_known.by != 0 ? now_known.by : teller, now, present(),
                                             settings_.period, settings_.suspicion));
      // A few look for themselves at once: it is confirmed, or refuted, sooner than by the rounds.
      if (draw(present()) < kLookAtOnce)
        doubts_.emplace(it.boot, table_.told(*table_.find(it.boot), now, true));
      if (is_new) changed(now, Change::Kind::came, now_known);
      changed(now, Change::Kind::suspected, now_known);
      break;
    case State::unreachable:
      if (before != State::unreachable) changed(now, Change::Kind::lost, now_known);
      break;
    case State::left: changed(now, Change::Kind::left, now_known); break;
  }
  last_change_ = now;
}

// Only this process says what it is; what others hold of it and is not so, it answers with a higher
// incarnation.
void Core::hear_of_self(Time now, const Record& record) {
  if (record.state == State::left) {
    if (!last_rebirth_ || now - *last_rebirth_ >= 10 * settings_.period) be_reborn(now, false);
    return;
  }
  if (kWithout == kRefutation) return;
  if (record.incarnation < self_.incarnation) return;
  if (record.incarnation == self_.incarnation && record.state == State::alive) return;
  if (record.incarnation >= kHighestIncarnation - 1) return be_reborn(now, false);
  if (kWithout != kRaise) self_.incarnation = record.incarnation + 1;
  ++figures_.refutations;
  if (record.state == State::suspect) health_ = std::min(kWorstHealth, health_ + 1);
  last_change_ = now;
}

std::optional<Record> Core::claim_on(const Record& of, Time now) const {
  const Member* member = table_.find(of.boot);
  if (member == nullptr || member->record.state == State::alive) return std::nullopt;
  return table_.told(*member, now);
}

void Core::suspect(Time now, Boot boot, Boot by) {
  const Member& member = *table_.find(boot);
  if (member.record.state == State::suspect) {
    const auto suspicion = suspicions_.find(boot);
    if (suspicion != suspicions_.end() && suspicion->second.confirm(by)) spread(boot);
    return;
  }
  suspicions_.emplace(boot, Suspicion(by, now, present(), settings_.period, settings_.suspicion));
  table_.set_state(boot, State::suspect, by, now);
  spread(boot);
  last_change_ = now;
  changed(now, Change::Kind::suspected, member.record);
}

void Core::declare(Time now, Boot boot, State state) {
  suspicions_.erase(boot);
  doubts_.erase(boot);
  const Member* member = table_.find(boot);
  if (member == nullptr) return;
  if (state == State::unreachable) ++figures_.declared;
  table_.set_state(boot, state, 0, now);
  spread(boot);
  living_.reset();
  last_change_ = now;
  changed(now, state == State::left ? Change::Kind::left : Change::Kind::lost, member->record);
}

// ---- Repair

void Core::found_digest(Time now, Address from, const Message& message) {
  if (kWithout == kRepair) return;
  const Table::Digest mine = table_.digest(self_, now);
  if (message.digest == mine.value) return;
  const std::size_t apart =
      message.known > mine.count ? message.known - mine.count : mine.count - message.known;
  // What is being told on will arrive without this.
  if (!gossip_.empty() && apart <= gossip_.size()) return;
  if (repairs_ >= std::min(kMostRepairs, 1 + apart / 8)) return;
  ++repairs_;
  ++figures_.repairs;
  Message out = make(Message::Kind::compare, now);
  out.parts = table_.parts(0, 0, self_, now);
  send(now, from, std::move(out));
}

void Core::compare(Time now, Address from, const Message& message) {
  if (message.depth >= 16) return;
  const std::vector<std::uint32_t> mine = table_.parts(message.depth, message.prefix, self_, now);
  std::vector<std::uint64_t> differ;
  for (std::size_t i = 0; i < kParts; ++i)
    if (mine[i] != message.parts[i]) differ.push_back(i);
  const std::uint32_t mine_known = table_.digest(self_, now).count;
  const std::size_t missing = mine_known > message.known ? mine_known - message.known : 0;
  for (std::size_t ranges = std::min(kMostRanges, 1 + missing / 8); ranges > 0 && !differ.empty(); --ranges) {
    const std::size_t place = draw(differ.size());
    answer_part(now, from, message.depth + 1, message.prefix << 4U | differ[place]);
    differ.erase(differ.begin() + static_cast<std::ptrdiff_t>(place));
  }
}

void Core::answer_part(Time now, Address from, std::uint32_t depth, std::uint64_t prefix) {
  std::vector<Record> there = table_.range(depth, prefix, self_, now);
  Message out = make(Message::Kind::records, now);
  out.depth = depth;
  out.prefix = prefix;
  std::size_t bytes = most_bytes_without_news(out);
  for (const Record& record : there) bytes += most_bytes(record);
  if (bytes > settings_.datagram && depth < 16) {
    out.kind = Message::Kind::compare;
    out.parts = table_.parts(depth, prefix, self_, now);
    there.clear();
  }
  // Where not all go in, another part of them goes each time.
  if (!there.empty())
    std::rotate(there.begin(), there.begin() + static_cast<std::ptrdiff_t>(draw(there.size())), there.end());
  send(now, from, std::move(out), there);
}

void Core::records(Time now, Address from, const Message& message) {
  if (message.last || message.depth > 16) return;
  Message out = make(Message::Kind::records, now);
  out.depth = message.depth;
  out.prefix = message.prefix;
  out.last = true;
  std::vector<Record> better;
  for (const Record& mine : table_.range(message.depth, message.prefix, self_, now)) {
    const auto theirs = std::find_if(message.news.begin(), message.news.end(),
                                     [&](const Record& one) { return one.boot == mine.boot; });
    if (theirs == message.news.end() || above(mine, *theirs)) better.push_back(mine);
  }
  if (!better.empty()) send(now, from, std::move(out), better);
}

// ---- Sending

Message Core::make(Message::Kind kind, Time now) const {
  Message out;
  out.kind = kind;
  out.self = self_;
  const Table::Digest digest = table_.digest(self_, now);
  out.digest = digest.value;
  out.known = digest.count;
  return out;
}

void Core::send(Time now, Address to, Message message, const std::vector<Record>& first) {
  add_news(now, message, first);
  sends_.push_back({to, std::move(message)});
}

void Core::add_news(Time now, Message& message, const std::vector<Record>& first) {
  std::size_t bytes = most_bytes_without_news(message);
  const auto add = [&](const Record& record) {
    const std::size_t more = most_bytes(record);
    if (bytes + more > settings_.datagram || message.news.size() >= kMostNews) return false;
    bytes += more;
    message.news.push_back(record);
    return true;
  };
  for (const Record& record : first)
    if (!add(record)) return;
  // A range is whole, or its reader would take what is missing for unknown here.
  if (message.kind == Message::Kind::records || gossip_.empty()) return;
  std::vector<std::pair<int, Boot>> order;
  order.reserve(gossip_.size());
  for (const auto& [boot, news] : gossip_) order.emplace_back(news.told, boot);
  const std::size_t fit =
      std::min(order.size(), (settings_.datagram - std::min(settings_.datagram, bytes)) / 16 + 1);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(fit), order.end());
  const int enough = rounds(present()) + 2;
  for (std::size_t i = 0; i < fit; ++i) {
    const auto news = gossip_.find(order[i].second);
    const Member* member = table_.find(news->first);
    if (member == nullptr) {
      gossip_.erase(news);
      continue;
    }
    Record out = table_.told(*member, now, !news->second.whole);
    // Each time another of the voices, so that all come to be counted everywhere.
    if (const auto suspicion = suspicions_.find(news->first); suspicion != suspicions_.end())
      out.by = suspicion->second.voice(draw(suspicion->second.voices()));
    if (!add(out)) return;
    if (++news->second.told >= enough) gossip_.erase(news);
  }
}

// ---- The rest

void Core::begin(Time now) { next_period_ = due_ = now; }

void Core::say(Time now, Facts facts) {
  if (over_ || facts == self_.facts) return;
  self_.facts = std::move(facts);
  ++self_.incarnation;
  last_change_ = now;
}

// No news beside it: what a guest says is told often, and its budget is its own.
void Core::tell_for(std::uint32_t guest, Time now, Address to, std::string payload) {
  if (over_ || payload.empty() || payload.size() > room_for_guests()) return;
  Message out = make(Message::Kind::guest, now);
  out.guest = guest;
  out.payload = std::move(payload);
  sends_.push_back({to, std::move(out)});
}

std::size_t Core::room_for_guests() const {
  Message out;
  out.kind = Message::Kind::guest;
  out.self = self_;
  out.self.state = State::left;
  out.self.incarnation = kHighestIncarnation;
  out.known = UINT32_MAX;
  out.guest = UINT32_MAX;
  const std::size_t used = most_bytes_without_news(out) + 3;
  return used < settings_.datagram ? settings_.datagram - used : 0;
}

void Core::set_contacts(std::vector<Address> contacts) { settings_.contacts = std::move(contacts); }

void Core::leave(Time now) {
  if (over_) return;
  self_.state = State::left;
  self_.facts.clear();
  for (const Address to : some_of(living().addresses, kLeaveTold))
    send(now, to, make(Message::Kind::tell, now));
  over_ = true;
}

void Core::be_reborn(Time now, bool forget_all) {
  Record before = self_;
  last_rebirth_ = now;
  self_.boot = random_() | 1U;
  self_.incarnation = 0;
  if (forget_all) {
    remembered_ = some_of(living().addresses, kRemembered);
    table_.clear();
    gossip_.clear();
    suspicions_.clear();
    doubts_.clear();
    round_.clear();
    relayed_.clear();
    probe_.reset();
    next_period_ = now;
  }
  before.state = State::left;
  before.facts.clear();
  table_.hear(before, now);
  spread(before.boot);
  living_.reset();
  last_change_ = now;
  changed(now, Change::Kind::reborn, self_);
}

void Core::changed(Time, Change::Kind kind, const Record& of) {
  names_changed_ = true;
  if (changes_.size() >= kMostChanges) {
    changes_.pop_front();
    ++figures_.changes_dropped;
  }
  changes_.push_back({kind, of.name, of.boot, of.address});
}

std::vector<Change> Core::take_changes() {
  std::vector<Change> out(changes_.begin(), changes_.end());
  changes_.clear();
  return out;
}

const Core::Living& Core::living() const {
  if (living_) return *living_;
  Living out;
  for (const auto& [boot, member] : table_.all()) {
    if (member.record.state > State::suspect) continue;
    ++out.present;
    out.addresses.push_back(member.record.address);
  }
  std::sort(out.addresses.begin(), out.addresses.end());
  return living_.emplace(std::move(out));
}

// Two processes with one name, of which none is on its way out: an upgrade takes a moment, a mistake stays.
void Core::look_at_names(Time now) {
  if (!names_changed_ && twice_.empty()) return;
  names_changed_ = false;
  std::vector<std::string_view> names;
  const auto look = [&](const Record& record) {
    if (record.state == State::alive && fact(record, kDraining) == 0) names.push_back(record.name);
  };
  look(self_);
  for (const auto& [boot, member] : table_.all()) look(member.record);
  std::sort(names.begin(), names.end());
  std::map<std::string, int> before = std::exchange(twice_, {});
  for (auto at = names.begin(); (at = std::adjacent_find(at, names.end())) != names.end();) {
    const std::string name(*at);
    at = std::upper_bound(at, names.end(), *at);
    if ((twice_[name] = before[name] + 1) != kTwiceFor) continue;
    Record of;
    of.name = name;
    changed(now, Change::Kind::two_with_one_name, of);
  }
}

Counts Core::counts(Time now) const {
  Counts out;
  std::set<std::string_view> well{self_.name};
  // At one address there is one process, also while it is not yet known which: the best state there counts.
  std::vector<std::tuple<Address, State, std::string_view>> places{{self_.address, State::alive, self_.name}};
  for (const auto& [boot, member] : table_.all()) {
    if (member.record.state == State::left) {
      ++out.left;
      continue;
    }
    places.emplace_back(member.record.address, member.record.state, member.record.name);
    if (member.record.state == State::alive) well.insert(member.record.name);
  }
  std::sort(places.begin(), places.end());
  out.alive = out.most = 0;
  Address last = 0;
  for (const auto& [address, state, name] : places) {
    if (std::exchange(last, address) == address) continue;
    ++(state == State::alive ? out.alive : state == State::suspect ? out.suspect : out.unreachable);
    // Where another process has the name of one that is unreachable, it has its place as well.
    if (state != State::unreachable || !well.contains(name)) ++out.most;
  }
  out.least = well.size();
  out.seen = std::min(1.0, static_cast<double>(out.alive) / static_cast<double>(settled_count_));
  out.unchanged_since = last_change_;
  out.settled = settled_;
  const Table::Digest digest = table_.digest(self_, now);
  out.digest = digest.value;
  out.known = digest.count;
  return out;
}

}  // namespace streampick::membership
