#include "host.h"

#include <algorithm>
#include <utility>

#include "log.h"
#include "protocol.h"

namespace streampick::node {

namespace {

constexpr Time kMs = 1'000, kSecond = 1'000'000;
// An answer must have reached the client before its deadline: the module is told one that is earlier
// by the time that the last steps take, and the guard stands between the two.
constexpr Time kAnswerTakes = 20 * kMs, kGuardBefore = 8 * kMs;
constexpr Time kAcceptAfterTerm = 500 * kMs, kAnswerAfterTerm = 3'200 * kMs, kLastWrites = 200 * kMs;
constexpr Time kRememberTxn = 2 * kSecond;
constexpr std::size_t kMostEndedTxns = 4096;
constexpr std::size_t kOtherDescriptors = 32;  // standard streams, listener, discovery, the event loop's
constexpr std::size_t kLeastDescriptors = 64;

}  // namespace

Host::Host(asio::io_context& io, Clock& clock, const NodeSettings& settings)
    : io_(io),
      clock_(clock),
      names_(settings.settings.names),
      must_ask_(settings.settings.config.must_ask),
      drain_grace_(settings.settings.drain_grace),
      keep_alive_(settings.settings.config.keep_alive),
      timer_(io),
      second_(io),
      drain_timer_(io) {
  // Half for clients, half for servers: a request needs one of either, and now and then a copy.
  const std::size_t sockets = std::max(settings.sockets, kLeastDescriptors);
  const std::size_t each = (sockets - kOtherDescriptors) / 2;
  most_connections = each;
  most_large = settings.memory_mb * (1024 * 1024 / 4);
  dial_time_out = settings.settings.config.dial_time_out;
  for (const RequestClass& kind : settings.settings.config.classes) patience_.push_back(kind.deadline);
  router_.emplace(settings.settings.config, settings.settings.seed, clock_.now(), *this);
  discovery_ = std::make_unique<Discovery>(io_, names_, settings.discovery, settings.known.revision,
                                           !must_ask_, settings.settings.seed, *this);
  apply(Update::stale, settings.known);
  clients_ = std::make_unique<Clients>(io_, clock_, names_, *this, settings.listen, each);
  if (!must_ask_) discovery_->watch();
  every_second();
  settle();
}

Host::~Host() = default;

void Host::reload(const NodeSettings& settings) {
  log("configuration read again");
  discovery_->move_to(settings.discovery);
  settle();
}

// ---- The module's actions

void Host::send(RequestId request, ServerId server, Time time_out) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  Open& open = found->second;
  const Time now = clock_.now();
  const auto number = static_cast<std::uint32_t>(open.attempts.size());
  const Time expires = time_out > 0 ? std::min(open.deadline, now + time_out) : open.deadline;
  open.attempts.push_back({server, now, expires});
  ++counts_.attempts;
  const bool known = server < servers_.size() && servers_[server].upstream;
  if (known) ++servers_[server].live;
  if (!known || open.over || time_out < 0 || expires <= now) {
    ended_.push_back({{request, number}, Outcome::not_sent});
    return;
  }
  expiries_.emplace(expires, request, number);
  servers_[server].upstream->send({request, number}, open.forward, expires);
}

void Host::cancel(RequestId request, std::uint32_t attempt) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || attempt >= found->second.attempts.size()) return;
  const Attempt& ends = found->second.attempts[attempt];
  if (!ends.live) return;
  ++counts_.cancels;
  servers_[ends.server].upstream->forget({request, attempt});
  ended_.push_back({{request, attempt}, Outcome::cancelled});
}

void Host::refuse(RequestId request, Time retry_after) {
  ++counts_.refused;
  answer(request, {503, "text/plain", "refused; it is safe to try again\n", retry_after, {}});
}

void Host::fail(RequestId request) {
  ++counts_.failed;
  const auto found = requests_.find(request);
  const bool late = found != requests_.end() && clock_.now() >= found->second.deadline;
  answer(request, {late ? 504U : 502U, "text/plain", "failed\n", 0, {}});
}

void Host::close_idle(ServerId server) {
  if (server < servers_.size() && servers_[server].upstream) servers_[server].upstream->close_idle(kNever);
}

void Host::watch_members() { discovery_->watch(); }

// ---- Clients

RequestId Host::client_asked(const std::shared_ptr<Client>& client, Incoming incoming) {
  // Two open requests of one id can't be told apart further on. An attempt may outlive its request, and
  // until it has ended the id is taken. For a while after that too: a client's retry has a new id, so this
  // is somebody else's, seen a moment too late.
  forget_txns();
  if (!txns_.insert(incoming.txn).second) return 0;
  const Time now = clock_.now();
  const RequestId id = ++last_request_;
  ++counts_.asked;
  // No client of the class waits longer, whatever it says.
  const Time patience = patience_.at(incoming.request_class);
  if (patience > 0) incoming.remaining = std::min(incoming.remaining, patience);
  Open& open = requests_[id];
  open.client = client;
  open.txn = incoming.txn;
  open.forward = std::move(incoming.forward);
  // A router told to stop is killed in the end: what it still takes must be answered before that.
  const Time gives_up = std::min(now + incoming.remaining, drain_end_);
  open.deadline = gives_up - std::min(kAnswerTakes, incoming.remaining / 10);
  open.guard = gives_up - std::min(kGuardBefore, incoming.remaining / 25);
  expiries_.emplace(open.guard, id, kNone);

  Request request;
  request.id = id;
  request.request_class = incoming.request_class;
  request.tenant = incoming.tenant;
  request.key = incoming.key;
  request.has_key = incoming.has_key;
  request.write = open.forward->method == boost::beast::http::verb::put;
  request.deadline = open.deadline;
  request.cost_hint = incoming.cost_hint;
  router_->on_request(now, request);
  settle();
  return id;
}

void Host::client_gone(RequestId request) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.over) return;
  ++counts_.withdrawn;
  found->second.over = true;
  found->second.client.reset();
  router_->on_withdrawn(clock_.now(), request);
  forget_if_done(request);
  settle();
}

// The one place where a request ends with an answer: nothing is sent for one that is over.
void Host::answer(RequestId request, Reply reply) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.over) return;
  Open& open = found->second;
  open.over = true;
  expiries_.erase({open.guard, request, kNone});
  const std::shared_ptr<Client> client = std::exchange(open.client, nullptr);
  if (client) client->reply(std::move(reply));
  ended_.push_back({{request, kNone}, Outcome::not_sent});  // to be looked at once the module is done
}

// ---- Attempts

void Host::attempt_ended(AttemptId attempt, Outcome outcome, Answer body) {
  const auto found = requests_.find(attempt.request);
  if (found == requests_.end() || attempt.number >= found->second.attempts.size() ||
      !found->second.attempts[attempt.number].live)
    return;
  if (outcome == Outcome::served && !found->second.over) {
    ++counts_.served;
    answer(attempt.request,
           {200, std::move(body.content_type), std::move(body.body), 0, std::move(body.lease)});
  }
  report(attempt, outcome);
  settle();
}

// Tells the module how an attempt ended, once, also when its request is over.
void Host::report(AttemptId id, Outcome outcome) {
  const auto found = requests_.find(id.request);
  if (found == requests_.end()) return;
  if (id.number == kNone) return forget_if_done(id.request);
  Open& open = found->second;
  Attempt& attempt = open.attempts[id.number];
  if (!attempt.live) return;
  attempt.live = false;
  expiries_.erase({attempt.expires, id.request, id.number});
  ++counts_.outcomes[static_cast<std::size_t>(outcome)];
  AttemptResult result;
  result.request = id.request;
  result.attempt = id.number;
  result.server = attempt.server;
  result.outcome = outcome;
  result.took = clock_.now() - attempt.sent;
  result.request_over = open.over;
  router_->on_result(clock_.now(), result);
  if (result.server < servers_.size() && servers_[result.server].live > 0) {
    --servers_[result.server].live;
    forget_if_gone(result.server);
  }
  forget_if_done(id.request);
}

void Host::forget_if_done(RequestId request) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || !found->second.over) return;
  const auto& attempts = found->second.attempts;
  if (std::any_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) { return attempt.live; }))
    return;
  expiries_.erase({found->second.guard, request, kNone});
  ended_txns_.emplace_back(clock_.now(), found->second.txn);
  requests_.erase(found);
  forget_txns();
}

void Host::forget_txns() {
  while (!ended_txns_.empty() &&
         (ended_txns_.size() > kMostEndedTxns || clock_.now() - ended_txns_.front().first > kRememberTxn)) {
    txns_.erase(ended_txns_.front().second);
    ended_txns_.pop_front();
  }
}

// The module is not to be called from within its own calls: what its actions ended is told here.
void Host::settle() {
  if (settling_) return;
  settling_ = true;
  while (!ended_.empty()) {
    const Ended next = ended_.front();
    ended_.pop_front();
    report(next.attempt, next.outcome);
  }
  settling_ = false;
  arm();
  finish_if_drained();
}

// ---- Time

void Host::arm() {
  Time next = router_->next_wakeup();
  if (!expiries_.empty()) next = std::min(next, std::get<Time>(*expiries_.begin()));
  if (next >= armed_) return;  // an early wake-up does no harm
  armed_ = next;
  timer_.expires_at(clock_.steady(next));
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    armed_ = kNever;
    wake();
  });
}

void Host::wake() {
  const Time now = clock_.now();
  std::vector<RequestId> guarded;
  while (!expiries_.empty() && std::get<Time>(*expiries_.begin()) <= now) {
    const auto [at, request, number] = *expiries_.begin();
    expiries_.erase(expiries_.begin());
    if (number == kNone) {
      guarded.push_back(request);
      continue;
    }
    Attempt& attempt = requests_.at(request).attempts[number];
    servers_[attempt.server].upstream->forget({request, number});
    ended_.push_back({{request, number}, Outcome::timeout});
  }
  settle();
  if (router_->next_wakeup() <= now) router_->on_wakeup(now);
  settle();
  // Last: after a stall both may be due at once, and then the answer is still the module's to give.
  for (const RequestId request : guarded) guard(request);
  settle();
}

// The module owes an answer by the deadline it was told. Should it ever fail to, the client gets one
// all the same, and the log says so: this is a fault of the module, not a way of ending requests.
void Host::guard(RequestId request) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.over) return;
  ++counts_.guarded;
  if (drain_end_ == kNever)
    log("GUARD: the module left request " + found->second.forward->txn + " unanswered");
  ++counts_.failed;
  answer(request, {504, "text/plain", "failed\n", 0, {}});
  router_->on_withdrawn(clock_.now(), request);
}

void Host::every_second() {
  second_.expires_after(std::chrono::seconds(1));
  second_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    // Closed a little before the server would: a request that crosses the server's close is lost.
    if (keep_alive_ > 0)
      for (const Server& server : servers_)
        if (server.upstream)
          server.upstream->close_idle(clock_.now() -
                                      std::max(keep_alive_ - 2 * kSecond, keep_alive_ * 8 / 10));
    forget_txns();
    static constexpr int kSummaryEvery = 10;
    if (clock_.now() / kSecond % kSummaryEvery == 0) {
      std::string text = summary();
      if (text != last_summary_) log(text);
      last_summary_ = std::move(text);
    }
    every_second();
    settle();
  });
}

std::string Host::summary() const {
  constexpr std::array<const char*, 11> names = {"served",         "error",  "full",      "timeout",
                                                 "connect_failed", "reset",  "cancelled", "not_sent",
                                                 "miss",           "spoilt", "rejected"};
  std::string out =
      "asked=" + std::to_string(counts_.asked) + " served=" + std::to_string(counts_.served) +
      " refused=" + std::to_string(counts_.refused) + " failed=" + std::to_string(counts_.failed) +
      " withdrawn=" + std::to_string(counts_.withdrawn) + " guarded=" + std::to_string(counts_.guarded) +
      " attempts=" + std::to_string(counts_.attempts) + " cancels=" + std::to_string(counts_.cancels) +
      " dials=" + std::to_string(dials) + " open=" + std::to_string(connections) +
      " clients=" + std::to_string(clients_->open()) + " outcomes:";
  for (std::size_t i = 0; i < names.size(); ++i)
    out += std::string(" ") + names[i] + "=" + std::to_string(counts_.outcomes[i]);
  return out;
}

// ---- The list of servers

ServerId Host::intern(const Listed& listed) {
  const auto [entry, fresh] = ids_.try_emplace(listed.id, static_cast<ServerId>(servers_.size()));
  if (!fresh) return entry->second;
  if (free_ids_.empty()) {
    servers_.emplace_back();
  } else {
    entry->second = free_ids_.back();
    free_ids_.pop_back();
  }
  Server& server = servers_[entry->second];
  server.name = listed.id;
  server.upstream = std::make_unique<Upstream>(io_, clock_, *this, listed.id);
  return entry->second;
}

void Host::depart(ServerId server, bool gone) {
  // Half the grace: a send counts from its first byte, and the news may have been told a little before
  // it was read.
  Upstream& upstream = *servers_[server].upstream;
  if (upstream.nothing_from() == kNever) upstream.send_nothing_from(clock_.now() + drain_grace_ / 2);
  // Nothing more goes to it: what it would hold open is of no use to either side.
  upstream.close_idle(kNever);
  if (gone) servers_[server].listed = false;
}

void Host::forget_if_gone(ServerId id) {
  Server& server = servers_[id];
  if (!server.upstream || server.listed || server.live > 0) return;
  ids_.erase(server.name);
  server = {};
  free_ids_.push_back(id);
}

void Host::apply(Update update, const MemberList& list) {
  std::vector<Member> told;
  std::vector<bool> named(servers_.size(), false);
  std::vector<ServerId> gone;
  for (const Listed& listed : list.members) {
    // A machine that is gone and was never known, or is forgotten, is no news.
    if (listed.member.phase == Phase::gone && !ids_.contains(listed.id)) continue;
    const ServerId id = intern(listed);
    Server& server = servers_[id];
    Member member = listed.member;
    member.id = id;
    if (id < named.size()) named[id] = true;
    server.upstream->set_address(listed.address);
    server.listed = true;
    if (member.phase == Phase::ready) {
      server.upstream->send_nothing_from(kNever);
    } else {
      depart(id, member.phase == Phase::gone);
      if (member.phase == Phase::gone) gone.push_back(id);
    }
    told.push_back(member);
  }
  if (update != Update::changes)
    for (ServerId id = 0; id < named.size(); ++id)
      if (!named[id] && servers_[id].upstream) {
        depart(id, true);
        gone.push_back(id);
      }
  router_->on_members(clock_.now(), update, told);
  settle();
  for (const ServerId id : gone) forget_if_gone(id);
}

void Host::list_came(const MemberList& list) {
  apply(list.complete ? Update::full : Update::changes, list);
  settle();
}

void Host::list_failed() {
  router_->on_members(clock_.now(), Update::failed, {});
  settle();
}

void Host::free_a_connection() {
  for (const Server& server : servers_)
    if (server.upstream && server.upstream->close_oldest_idle()) return;
}

// ---- The end

void Host::drain(std::function<void()> done) {
  if (drain_end_ != kNever) return;
  done_ = std::move(done);
  accept_end_ = clock_.now() + kAcceptAfterTerm;
  drain_end_ = clock_.now() + kAnswerAfterTerm;
  clients_->drain();
  drain_timer_.expires_after(std::chrono::microseconds(kAcceptAfterTerm));
  drain_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    clients_->stop_accepting();
    clients_->drain();
    drain_timer_.expires_at(clock_.steady(drain_end_));
    drain_timer_.async_wait([this](error_code stopped) {
      if (!stopped) end_drain();
    });
    finish_if_drained();
  });
}

// The kill is near: what is still open fails, and a client that does not take its answer is not waited
// for any longer.
void Host::end_drain() {
  std::vector<RequestId> left;
  for (const auto& [id, request] : requests_)
    if (!request.over) left.push_back(id);
  for (const RequestId id : left) guard(id);
  drain_timer_.expires_after(std::chrono::microseconds(kLastWrites));
  drain_timer_.async_wait([this](error_code stopped) {
    if (!stopped && done_) std::exchange(done_, nullptr)();
  });
  settle();
}

void Host::finish_if_drained() {
  if (!done_ || clock_.now() < accept_end_ || clients_->unanswered() > 0) return;
  drain_timer_.cancel();
  std::exchange(done_, nullptr)();
}

}  // namespace streampick::node
