// The events and the list, on state.h, plan.h, servers.h, execution.h, origin.h and admission.h. A key read
// goes to its bounded-hash server, a copy to the next after each constant delay; losers are cancelled.
#include "streampick/router.h"

#include "policy/admission.h"

namespace streampick {

using namespace policy;

struct Router::Impl final : Admission {
  using Admission::Admission;

  void on_request(Time now, const Request& request) {
    now_ = now;
    if (arrived_ > 0) gap_ += (static_cast<double>(now - arrived_) - gap_) * (gap_ > 0 ? kForget : 1);
    arrived_ = now;
    const bool over_quota = use_quota(request);
    const bool room = admits(request, over_quota);
    if (!room && over_quota) return sink_.refuse(request.id, advice(config_.max_retry_after / 2, request.id));
    const std::uint32_t slot = open_slot();
    const std::uint32_t generation = open_[slot].generation + 1;
    open_[slot] = {.request = request, .arrived = now, .over = false, .used = true, .generation = generation};
    slots_[request.id] = slot;
    add_timer(request.deadline, Wake::deadline, slot, generation);
    if ((room && entry_line_.empty()) || (request.write && config_.aside)) return start(slot);
    stand_in_line(slot);
  }

  void on_stream_started(Time now, RequestId id) {
    now_ = now;
    if (const auto found = slots_.find(id); found != slots_.end()) open_[found->second].streaming = true;
  }

  void on_result(Time now, const AttemptResult& result) {
    now_ = now;
    const auto found = slots_.find(result.request);
    if (found == slots_.end()) return;
    const std::uint32_t slot = found->second;
    if (result.attempt >= open_[slot].sent || !open_[slot].attempts[result.attempt].live) return;
    {
      Open& open = open_[slot];
      Attempt& attempt = open.attempts[result.attempt];
      attempt.live = false;
      attempt.outcome = result.outcome;
      --open.live;
      --servers_[attempt.server].in_flight;
      if (attempt.stuck && !attempt.origin) --servers_[attempt.server].stuck, --stuck_;
      for (Health* health : healths(servers_[attempt.server])) --health->in_flight;
      if (!attempt.origin || !attempt.stuck) --(attempt.origin ? origin_in_flight_ : cache_in_flight_);
      if (attempt.origin && open.request.write) --origin_writes_;
      judge(servers_[attempt.server], attempt, result, open);
      link(attempt.server, attempt, result);
      if (!attempt.origin && cache_limit_.value < 1) {
        const double usual = class_took_[open.request.request_class];
        cache_limit_.pause(std::max(usual, static_cast<double>(result.took)), 2 * class_of(open).aim, now_);
        add_timer(cache_limit_.rest, Wake::line);
      }
    }
    const Attempt attempt = open_[slot].attempts[result.attempt];
    const bool was_over = open_[slot].over;
    if (attempt.origin) origin_answered(slot, attempt, result);
    Open& open = open_[slot];
    if (was_over) {
      release(slot);
    } else if (result.request_over) {
      finish(slot);
    } else if (now_ >= open.request.deadline || result.spent) {
      give_up(slot);
    } else if (attempt.origin && attempt.stuck && result.outcome == Outcome::cancelled) {
      ask_origin(slot);
    } else if (result.outcome == Outcome::rejected) {
      sink_.fail(open.request.id);
      finish(slot);
    } else if (result.outcome == Outcome::miss && config_.aside && !attempt.origin) {
      if (open.origin == OriginUse::none) {
        ask_origin(slot);
      } else if (open.origin == OriginUse::done && open.live == 0) {
        give_up(slot);
      }
    } else {
      const bool spoilt = result.outcome == Outcome::spoilt || result.outcome == Outcome::reset;
      if (!spoilt || !ask_again(slot, attempt)) move_on(slot, attempt.outcome);
    }
    drain_entry_line();
    drain_origin_line();
  }

  void on_withdrawn(Time now, RequestId id) {
    now_ = now;
    const auto found = slots_.find(id);
    if (found == slots_.end() || open_[found->second].over) return;
    finish(found->second);
    drain_origin_line();
  }

  void on_wakeup(Time now) {
    now_ = now;
    while (!timers_.empty() && timers_.top().at <= now_) {
      const Timer timer = timers_.top();
      timers_.pop();
      if (stale(timer)) continue;
      switch (timer.wake) {
        case Wake::copy: launch_copy(timer.slot); break;
        case Wake::entry: leave_line(timer.slot); break;  // of a read that got in this timer is stale
        case Wake::hold: resume(timer.slot); break;
        case Wake::deadline:
          // Attempts are cut to the deadline and report just after it; what is held ends here.
          if (open_[timer.slot].live == 0) give_up(timer.slot);
          break;
        case Wake::tick:
          add_timer(now_ + kTick, Wake::tick);
          adjust_limit();
          look_around();
          break;
        case Wake::idle: close_idle(); break;
        case Wake::watch:
          if (!watching_ && now_ >= ask_at_) sink_.watch_members();
          break;
        case Wake::line: break;  // the lines are served below
      }
    }
    drain_entry_line();
    drain_origin_line();
  }

  // All but what is in flight, and its place in the plan.
  void forget(Server& server) const {
    Server fresh;
    fresh.wanted = now_;
    std::tie(fresh.in_flight, fresh.stuck, fresh.answers, fresh.planned, fresh.counted) =
        std::tie(server.in_flight, server.stuck, server.answers, server.planned, server.counted);
    server = fresh;
  }

  void on_members(Time now, Update update, std::span<const Member> members) {
    now_ = now;
    watching_ = !config_.must_ask || (update != Update::stale && update != Update::failed);
    // Where the list must be asked: again after a failure, with jitter; the old one stays in use.
    if (!watching_)
      ask_at_ = now_ + (update == Update::stale ? times(kSecond, draw()) : times(kAskAfter, 0.5 + draw()));
    if (!watching_) add_timer(ask_at_, Wake::watch);
    if (update == Update::failed) return;
    if (update != Update::changes)
      for (Server& server : servers_) server.listed = false;
    for (const Member& member : members) {
      if (member.id >= servers_.size()) servers_.resize(member.id + 1U);
      Server& server = servers_[member.id];
      if (server.zone != nullptr)
        for (Health* health : healths(server)) health->in_flight -= server.in_flight;
      // A new process, or another server under an id that is used again: nothing learned holds.
      if (member.identity != server.member.identity && server.planned) unplan(member.id);
      if (member.started != server.member.started || member.identity != server.member.identity)
        forget(server);
      if (server.member.id == kNone) {
        server.weight = std::max(1e-3, member.weight);
        index_.set_weight(member.identity, member.id, server.weight);
      }
      server.member = member;
      server.zone = &zones_[member.zone];
      server.cell = &cells_[member.cell];
      for (Health* health : healths(server)) health->in_flight += server.in_flight;
      server.listed = member.phase != Phase::gone;
      const bool origin = config_.aside && member.kind == config_.origin_kind && server.listed;
      if (origin) origin_ = member.id;
      if (!origin && origin_ == member.id) origin_ = kNone;
    }
    if (update == Update::changes)
      for (const Member& member : members) replan(member.id);
    else
      for (ServerId id = 0; id < servers_.size(); ++id) replan(id);
    // Nothing is known yet: an even part of what the servers should hold at once.
    const double even = even_part();
    if (cache_limit_.value <= 0 && !plan_.empty()) {
      cache_limit_.value = std::max(1.0, kLimitStart * even);
      copy_tokens_ = kCopyBudgetBurst * even;
      origin_limit_.value = std::min(kOriginFirstMost, kOriginStart * even);
    }
    copy_most_ = std::max(2.0, kCopyBudgetBurst * even);
    drain_origin_line();
  }
};

Router::Router(Config config, std::uint64_t seed, Time now, ActionSink& sink)
    : impl_(std::make_unique<Impl>(std::move(config), seed, now, sink)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
void Router::on_config(Time now, Config config) { impl_->now_ = now, impl_->configure(std::move(config)); }
void Router::on_members(Time now, Update of, std::span<const Member> all) { impl_->on_members(now, of, all); }
void Router::on_shares(Time now, Shares own) { impl_->shares_ = std::move(own), impl_->on_wakeup(now); }
void Router::on_request(Time now, const Request& request) { impl_->on_request(now, request); }
void Router::on_stream_started(Time now, RequestId id, std::uint32_t) { impl_->on_stream_started(now, id); }
void Router::on_result(Time now, const AttemptResult& result) { impl_->on_result(now, result); }
void Router::on_withdrawn(Time now, RequestId request) { impl_->on_withdrawn(now, request); }
void Router::on_wakeup(Time now) { impl_->on_wakeup(now); }
bool Router::avoids(ServerId id) const { return impl_->servers_.at(id).planned && impl_->servers_[id].off; }
Time Router::next_wakeup() const { return impl_->next_wakeup(); }
OriginWork Router::origin_work() const { return impl_->origin_work(); }

}  // namespace streampick
