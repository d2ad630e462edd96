/// \file
/// Servers on virtual time with scripted faults. The outcome of an attempt is drawn from the seed, the
/// server, the key and the number of earlier requests for it there, so that two routers with the same
/// requests see the same outcomes.
#pragma once

#include <queue>

#include "engine/engine_fakes.h"

namespace streampick::test {

struct ServerFault {
  enum class Kind : std::uint8_t { stall, reset, malformed, overloaded, connect_refused, flush, slow } kind;
  Time from = 0, to = 0;     // microseconds after the start
  std::string server = {};   // empty: all except the origin
  int per_thousand = 1'000;  // share of the attempts that are affected
};

class ScriptedUpstreams final : public engine::UpstreamFactory {
 public:
  ScriptedUpstreams(ManualTime& time, std::uint64_t seed, std::vector<ServerFault> faults)
      : time_(time),
        seed_(seed),
        start_(time.now()),
        faults_(std::move(faults)),
        timer_(time.timer([this] { deliver_due_results(); })) {}
  void report_to(engine::AttemptObserver& outcomes) { outcomes_ = &outcomes; }
  std::unique_ptr<engine::Upstream> make(const std::string& name, std::uint32_t kind) override {
    return std::make_unique<Server>(*this, name, kind == 1);
  }
  bool is_idle() const { return pending_.empty(); }

  // Requests by server, and by server and key.
  std::map<std::string, std::uint64_t> requests;
  std::map<std::pair<std::string, std::string>, std::uint64_t> asked;
  std::map<std::string, std::uint64_t> saves;  // executions of writes, by idempotency key or transaction id
  std::map<std::string, Time> last_send;       // by server, microseconds after the start

 private:
  struct Event {
    Time at;
    std::uint64_t number;
    engine::AttemptId attempt;
    Outcome outcome;
    std::string body;
    bool operator>(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };
  struct Server final : engine::Upstream {
    Server(ScriptedUpstreams& owner, std::string name, bool origin)
        : owner_(owner), name_(std::move(name)), origin_(origin) {}
    void set_address(const std::string&) override {}
    void send(engine::AttemptId attempt, std::shared_ptr<const engine::Message> message, Time,
              Time) override {
      if (owner_.time_.now() >= sending_stops_at_) return owner_.later(1, attempt, Outcome::not_sent, {});
      owner_.sent(name_, origin_, attempt, *message);
    }
    bool cancel_unsent(engine::AttemptId) override { return false; }
    void cancel(engine::AttemptId attempt, engine::CancelReason) override {
      owner_.pending_.erase({attempt.request, attempt.number});
    }
    void close_idle(Time) override {}
    bool close_oldest_idle() override { return false; }
    ScriptedUpstreams& owner_;
    std::string name_;
    bool origin_;
  };

  static std::uint64_t mix(std::uint64_t value) {
    value = (value ^ (value >> 33U)) * 0xff51afd7ed558ccdU;
    value = (value ^ (value >> 33U)) * 0xc4ceb9fe1a85ec53U;
    return value ^ (value >> 33U);
  }
  std::uint64_t draw(const std::string& server, const std::string& key, std::uint64_t turn) const {
    return mix(seed_ ^
               mix(std::hash<std::string>{}(server) + 3 * std::hash<std::string>{}(key) + turn * 7919));
  }

  void sent(const std::string& server, bool origin, engine::AttemptId attempt,
            const engine::Message& message) {
    const Time since = time_.now() - start_;
    ++requests[server];
    last_send[server] = since;
    const std::uint64_t turn = ++asked[{server, message.key}];
    const std::uint64_t draw_bits = draw(server, message.key, turn);
    const bool write = engine::is_write(message.operation);
    Outcome outcome = Outcome::served;
    Time duration = 1'000 + static_cast<Time>(draw_bits % 4'000) * (origin ? 6 : 1);
    Time& filled = filled_[{server, message.key}];
    // A cache server has a key from 60 ms after the first request for it.
    if (!origin && !write) {
      if (filled == 0 || filled > since) outcome = Outcome::miss;
      if (filled == 0) filled = since + 60'000;
    }
    for (const ServerFault& fault : faults_) {
      if (since < fault.from || since >= fault.to) continue;
      if (fault.server.empty() ? origin : fault.server != server) continue;
      if (static_cast<int>((draw_bits >> 20U) % 1'000) >= fault.per_thousand) continue;
      switch (fault.kind) {
        case ServerFault::Kind::stall: duration += fault.to - since; break;
        case ServerFault::Kind::slow: duration *= 20; break;
        case ServerFault::Kind::reset: outcome = Outcome::reset; break;
        case ServerFault::Kind::malformed: outcome = Outcome::malformed; break;
        case ServerFault::Kind::overloaded: outcome = Outcome::overloaded; break;
        case ServerFault::Kind::connect_refused: outcome = Outcome::connect_failed; break;
        case ServerFault::Kind::flush: outcome = write ? outcome : Outcome::miss; break;
      }
    }
    if (write && outcome != Outcome::overloaded && outcome != Outcome::connect_failed)
      ++saves[message.idempotency_key.empty() ? message.transaction_id : message.idempotency_key];
    later(duration, attempt, outcome, outcome == Outcome::served ? "value of " + message.key : "");
  }
  void later(Time by, engine::AttemptId attempt, Outcome outcome, std::string body) {
    pending_.emplace(attempt.request, attempt.number);
    events_.push({time_.now() + by, ++number_, attempt, outcome, std::move(body)});
    timer_->set(events_.top().at);
  }
  void deliver_due_results() {
    while (!events_.empty() && events_.top().at <= time_.now()) {
      const Event event = events_.top();
      events_.pop();
      if (pending_.erase({event.attempt.request, event.attempt.number}) == 0) continue;  // cancelled
      engine::Answer answer;
      answer.body = event.body;
      outcomes_->on_attempt_ended(event.attempt, event.outcome, std::move(answer));
    }
    if (!events_.empty()) timer_->set(events_.top().at);
  }

  ManualTime& time_;
  std::uint64_t seed_;
  Time start_;
  std::vector<ServerFault> faults_;
  engine::AttemptObserver* outcomes_ = nullptr;
  std::set<std::pair<RequestId, std::uint32_t>> pending_;
  std::map<std::pair<std::string, std::string>, Time> filled_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t number_ = 0;
  std::unique_ptr<engine::Timer> timer_;
};

}  // namespace streampick::test
