#include "emulator/datagrams.h"

#include "membership/wire.h"
#include "shares/fleet_view.h"
#include "shares/wire.h"

namespace streampick::emulator {

namespace {
constexpr std::size_t kMostWaiting = 200;  // about what a socket's buffer takes of small datagrams
}

using namespace membership;

std::size_t Datagrams::add(std::vector<std::size_t> contacts, const std::string& name) {
  const std::size_t place = nodes_.size();
  Node& made = nodes_.emplace_back();
  made.settings = settings;
  made.settings.name = name.empty() ? "n" + std::to_string(place) : name;
  made.settings.self = address(place);
  made.set = made.since = now_;
  for (const std::size_t one : contacts) made.settings.contacts.push_back(address(one));
  return place;
}

void Datagrams::add_many(std::size_t count) {
  std::vector<std::size_t> all(nodes_.size() + count);
  for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
  for (std::size_t i = 0; i < count; ++i) add(all);
}

void Datagrams::start(std::size_t node) {
  Node& it = nodes_[node];
  it.core = std::make_unique<Core>(it.settings, random_(), now(node));
  it.paused = false;
  it.waiting.clear();
  it.share.reset();
  if (std::optional<leases::Settings> own = shares(node)) {
    own->self = address(node);
    own->max_items = leases::max_items_in(it.core->room_for_guests());
    it.count.emplace(own->expected_routers, own->period * 10);
    it.told = 0;
    it.share = std::make_unique<leases::LeaseProtocol>(*own, random_() | 1U, random_(), now(node));
    it.share->start(now(node));
  }
  after(node);
}

void Datagrams::kill(std::size_t node) {
  nodes_[node].core.reset();
  nodes_[node].share.reset();
  ++nodes_[node].tick;
}

void Datagrams::leave(std::size_t node) {
  if (nodes_[node].share) nodes_[node].share->leave(now(node), true);
  after(node);
  nodes_[node].core->leave(now(node));
  after(node);
  kill(node);
}

void Datagrams::pause(std::size_t node) { nodes_[node].paused = true; }

void Datagrams::resume(std::size_t node) {
  Node& it = nodes_[node];
  it.paused = false;
  if (!it.core) return;
  if (it.core->overslept(now(node))) it.waiting.clear();
  // A loop that is back hears its timers first.
  tick(node);
  for (auto& [from, datagram] : std::exchange(it.waiting, {})) deliver(from, node, datagram);
}

void Datagrams::step_clock(std::size_t node, Time by) {
  nodes_[node].set += by;
  if (nodes_[node].core) after(node);
}

void Datagrams::set_rate(std::size_t node, double rate) {
  Node& it = nodes_[node];
  it.set = it.clock(now_);
  it.since = now_;
  it.rate = rate;
  if (it.core) after(node);
}

// What its timers are due for.
void Datagrams::tick(std::size_t node) {
  Node& it = nodes_[node];
  const Time time = now(node);
  if (time >= it.core->next()) it.core->tick(time);
  if (it.share && time >= it.share->next_wakeup()) {
    if (time - it.told >= it.share->settings().period || it.told == 0) {
      it.told = time;
      it.share->set_view(time, leases::living_peers(*it.core), it.count->see(time, it.core->counts(time)));
    }
    it.share->tick(time);
  }
  after(node);
}

void Datagrams::inject(std::size_t from, std::size_t to, std::string datagram, Time after) {
  events_.push({now_ + after, ++order_, to, from, 0, std::move(datagram)});
}

void Datagrams::deliver(std::size_t from, std::size_t to, const std::string& datagram) {
  const auto read = decode(datagram, "");
  ++nodes_[to].sent.received;
  if (const Message* message = std::get_if<Message>(&read)) {
    nodes_[to].core->receive(now(to), address(from), *message);
  } else {
    ++nodes_[to].sent.unreadable;
  }
  after(to);
}

void Datagrams::play(Event& event) {
  Node& it = nodes_[event.node];
  if (!it.core) return;
  if (event.datagram.empty()) {
    if (event.tick != it.tick || it.paused) return;
    tick(event.node);
  } else if (it.paused) {
    if (it.waiting.size() < kMostWaiting) it.waiting.emplace_back(event.from, std::move(event.datagram));
  } else {
    deliver(event.from, event.node, event.datagram);
  }
}

// What a node wants to send goes on its way, and its next wake-up is set.
void Datagrams::after(std::size_t node) {
  Node& it = nodes_[node];
  for (const Guest& guest : it.core->take_guests())
    if (const auto message = leases::decode(guest.payload); message && it.share && guest.guest == kShares)
      it.share->receive(now(node), guest.from, *message);
  if (it.share)
    for (const leases::OutgoingMessage& send : it.share->take_messages())
      it.core->tell_for(kShares, now(node), send.to, leases::encode(send.message));
  for (Send& send : it.core->take_sends()) {
    std::string datagram = encode(send.message, "");
    ++it.sent.datagrams[static_cast<std::size_t>(send.message.kind)];
    it.sent.bytes += datagram.size();
    it.sent.longest = std::max<std::uint64_t>(it.sent.longest, datagram.size());
    const std::size_t to = send.to - 1;
    if (record) recorded.emplace_back(node, to, datagram);
    if (to >= nodes_.size() || cut(node, to)) continue;
    const int times = link.twice > 0 && draw() < link.twice ? 2 : 1;
    for (int i = 0; i < times; ++i) {
      if (link.loss > 0 && draw() < link.loss) continue;
      std::string one = datagram;
      if (link.damaged > 0 && draw() < link.damaged)
        one[random_() % one.size()] ^= static_cast<char>(1 + random_() % 255);
      const Time takes = link.least + static_cast<Time>(draw() * static_cast<double>(link.most - link.least));
      events_.push({now_ + takes, ++order_, to, node, 0, std::move(one)});
    }
  }
  for (const Change& change : it.core->take_changes()) changed(node, change);
  const Time next = std::min(it.core->next(), it.share ? it.share->next_wakeup() : kNever);
  if (next != kNever) events_.push({std::max(now_, it.true_time(next)), ++order_, node, 0, ++it.tick, {}});
  after_event(node);
}

void Datagrams::run(Time until) {
  run_until([] { return false; }, until - now_);
}

bool Datagrams::run_until(const std::function<bool()>& done, Time longest) {
  const Time end = now_ + longest;
  while (!done()) {
    if (events_.empty() || events_.top().time > end) {
      now_ = end;
      return done();
    }
    Event event = events_.top();
    events_.pop();
    now_ = event.time;
    play(event);
  }
  return true;
}

bool Datagrams::settled() const {
  std::set<Boot> there;
  for (const Node& node : nodes_)
    if (node.core) there.insert(node.core->self().boot);
  std::optional<std::uint64_t> first;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!up(i)) continue;
    const std::uint64_t digest = core(i).table().digest(core(i).self(), now(i)).value;
    if (first.value_or(digest) != digest) return false;
    first = digest;
    std::size_t alive = 1;
    for (const auto& [boot, member] : core(i).table().all()) {
      if (member.record.state >= State::unreachable) continue;
      if (member.record.state != State::alive || !there.contains(boot)) return false;
      ++alive;
    }
    if (alive != there.size()) return false;
  }
  return true;
}

Datagrams::Sent Datagrams::sent() const {
  Sent out;
  for (const Node& node : nodes_) {
    for (std::size_t i = 0; i < kKinds; ++i) out.datagrams[i] += node.sent.datagrams[i];
    out.bytes += node.sent.bytes;
    out.longest = std::max(out.longest, node.sent.longest);
    out.unreadable += node.sent.unreadable;
    out.received += node.sent.received;
  }
  return out;
}

}  // namespace streampick::emulator
