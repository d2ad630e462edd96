// A limit on the origin work in flight, learned from its answers; one read of a key at a time; a short wait
// in line, then an early refusal. Where slow answers are normal its usual time counts too.
#pragma once

#include "policy/execution.h"

namespace streampick::policy {

inline constexpr double kOriginStart = 4;    // first limit on origin reads out: for each server, shared
inline constexpr double kOriginLeast = 0.1;  // ... and the least one
inline constexpr double kOriginReads = 0.5;  // ... and the part of it that reads have beside writes
inline constexpr double kOriginMost = 64, kOriginFirstMost = 4;
inline constexpr double kOriginSlowPerAim = 0.33;  // an origin answer slower than this share of the aim
inline constexpr double kOriginStuck = 3, kOriginLost = 4;  // times its usual: stuck; to be asked again ...
inline constexpr std::uint32_t kOriginPassed = 8, kOriginOvertaken = 32;  // ... if so many others came back
inline constexpr double kOriginSlowPerBase = 2;  // ... and than this multiple of its usual is crowded

struct Origin : Execution {
  using Execution::Execution;

  void ask_origin(std::uint32_t slot) override {
    Open& open = open_[slot];
    if (!open.request.write && open.request.has_key) {
      const auto [entry, first] = fetching_.try_emplace(open.request.key, slot);
      if (!first && entry->second != slot) {
        open.origin = OriginUse::following;
        open_[entry->second].followers.push_back(slot);
        return;
      }
    }
    open.origin = OriginUse::waiting;
    const std::pair place(slot, open.generation);
    open.request.write ? origin_write_line_.push_front(place) : origin_line_.push_back(place);
    drain_origin_line();
  }

  void drain_origin_line() {
    const bool usable =
        origin_ != kNone && servers_[origin_].listed && servers_[origin_].member.phase == Phase::ready;
    for (const bool write : {true, false}) {
      auto& line = write ? origin_write_line_ : origin_line_;
      while (!line.empty()) {
        const auto [slot, generation] = line.front();
        Open& open = open_[slot];
        const bool stale = open.generation != generation || open.over || open.origin != OriginUse::waiting;
        // A line that moves too slowly: what has missed its aim makes room for what can still be met.
        const bool missed = !stale && !write && open.live == 0 &&
                            now_ + static_cast<Time>(origin_now_) > open.arrived + class_of(open).aim &&
                            static_cast<double>(line.size()) > origin_limit_.value;
        // Reads have a part of the places however many writes there are: without them no cache fills again.
        const double reads = origin_in_flight_ - origin_writes_, limit = origin_limit_.value;
        const double taken = reads < std::max(1.0, kOriginReads * limit) ? 0 : origin_in_flight_;
        const bool room = write ? origin_writes_ < limit + 1 : origin_limit_.room(taken, now_);
        if (!stale && !missed && (!usable || !room || !origin_place())) break;
        line.pop_front();
        if (stale) continue;
        if (missed || open.sent >= most_attempts(open) || !may_send_again(open)) {
          give_up(slot);
          continue;
        }
        open.origin = OriginUse::out;
        send(slot, origin_);
      }
    }
  }

  // What takes long while later ones are answered is stuck on its connection: it takes no place at the
  // origin, and once that is beyond doubt it goes out again. Its followers wait for that.
  void look_at_origin(std::uint32_t slot) override {
    Open& open = open_[slot];
    Attempt& last = open.attempts[std::max(open.sent, 1U) - 1];
    if (!last.origin || !last.live) return;
    const double took = static_cast<double>(now_ - last.sent) / std::max(origin_now_, 1.0);
    const std::uint32_t others = servers_[last.server].answers - last.answers;
    if (took < kOriginStuck || others < kOriginPassed) return;
    if (!std::exchange(last.stuck, true)) --origin_in_flight_;
    if (took >= kOriginLost && others >= kOriginOvertaken && open.sent < most_attempts(open))
      sink_.cancel(open.request.id, open.sent - 1);
    drain_origin_line();
  }

  void origin_answered(std::uint32_t slot, const Attempt& attempt, const AttemptResult& result) {
    Open& open = open_[slot];
    open.origin = OriginUse::done;
    const double took = static_cast<double>(now_ - attempt.sent);
    const double aim = static_cast<double>(class_of(open).aim);
    bool crowded = result.outcome == Outcome::full || (result.outcome == Outcome::timeout && !attempt.stuck);
    if (result.outcome == Outcome::served && !result.spent) {
      if (origin_now_ <= 0) origin_now_ = origin_base_ = took;
      origin_now_ += (took - origin_now_) * forget(origin_at_, 2 * kForget);
      origin_base_ = std::min(origin_base_ * 1.002, origin_now_);
      crowded = origin_now_ > std::max(kOriginSlowPerAim * aim, kOriginSlowPerBase * origin_base_);
      const double limit = origin_limit_.value;
      const bool used = limit < 1 ? !origin_line_.empty() : origin_in_flight_ + 1 >= limit * 0.8;
      if (!crowded && used) origin_limit_.value += std::min(1 / limit, 0.5 * limit);
    }
    if (crowded && attempt.sent > origin_cut_) {  // once a round trip
      origin_limit_.value *= 0.8;
      origin_cut_ = now_;
    }
    origin_limit_.value = std::clamp(origin_limit_.value, kOriginLeast * even_part(), kOriginMost);
    if (!open.request.write) {
      origin_limit_.pause(took, 2 * class_of(open).aim, now_);
      if (origin_limit_.rest > now_) add_timer(origin_limit_.rest, Wake::line);
    }
    hand_over(slot, result.outcome == Outcome::served);
  }

  // The read of a key has ended: followers go to the server that was filled, or the first reads it next.
  void hand_over(std::uint32_t slot, bool filled) override {
    Open& open = open_[slot];
    if (const auto found = fetching_.find(open.request.key);
        found != fetching_.end() && found->second == slot)
      fetching_.erase(found);
    ServerId at = kNone;
    for (std::uint32_t i = 0; i < open.sent && at == kNone; ++i)
      if (open.attempts[i].outcome == Outcome::miss && !open.attempts[i].live) at = open.attempts[i].server;
    const std::vector<std::uint32_t> followers = std::exchange(open.followers, {});
    for (const std::uint32_t follower : followers) {
      Open& waits = open_[follower];
      if (waits.over || waits.origin != OriginUse::following) continue;
      waits.origin = OriginUse::none;
      const bool more = attempts_left(waits) > 0 && may_send_again(waits);
      const bool there = filled && more && at != kNone && in_plan(servers_[at]);
      // A starting server was filled for its part of the attempts only: the next one has the value too, or
      // gets it.
      const ServerId to = there && ramp(servers_[at]) < 1 ? pick(waits, false) : at;
      there&& to != kNone ? send(follower, to) : ask_origin(follower);
    }
  }
};

}  // namespace streampick::policy
