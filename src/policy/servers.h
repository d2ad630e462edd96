// Health from this router's own outcomes. Speed learned from answers sets the weight; bad outcomes in a row
// eject, for longer each time, and one trial brings back. Where everything looks bad, nothing is ejected.
#pragma once

#include "policy/plan.h"

namespace streampick::policy {

inline constexpr Time kEjectMost = 8 * kSecond;
inline constexpr std::uint32_t kOvertaken = 4;   // answers to others since an attempt was sent: it is stuck
inline constexpr int kSpoiltToDoubt = 2;         // spoilt or cut off in a row: the next server is asked ...
inline constexpr int kSpoiltToStrike = 5;        // ... and it is the server, not what befalls all alike
inline constexpr double kSpeedPower = 0.75;      // weight = speed to this power
inline constexpr double kSpeedRange = 4;         // ... within this factor of the mean
inline constexpr double kKindPrior = 0.02;       // of all answers: how many a kind needs to be told apart
inline constexpr std::size_t kLookAround = 512;  // servers of a large fleet, each tick
inline constexpr Time kKeepLeast = kSecond / 50;
inline constexpr double kKeepDown = 0.5, kKeepUp = 1.02;  // steps of it: a refused connection, a new one
inline constexpr double kDialForget = 0.2;                // of what is learned, with each new connection
inline constexpr double kDialRefused = 0.5;  // more are refused: idle ones are kept for a shorter time

struct Servers : Plan {
  using Plan::Plan;

  void strike(Server& server, bool group) {
    for (Health* health : healths(server)) {
      if (health != &server.health && !group) return;
      if (++health->strikes < kStrikesToEject || health->ejected_until > now_) continue;
      health->ejected_until = now_ + times(health->eject_for, 0.75 + 0.5 * draw());
      health->eject_for = std::min(kEjectMost, health->eject_for * 2);
    }
  }

  void judge(Server& server, const Attempt& attempt, const AttemptResult& result, const Open& open) {
    // Crowded: answers take long, or servers are full again after the plan's next one was tried.
    const bool full_again = result.outcome == Outcome::full && open.sent > 1;
    if (result.outcome == Outcome::served || result.outcome == Outcome::miss) {
      server.spoilt = 0;
      ++server.answers;
    }
    if (!attempt.origin && (result.outcome == Outcome::served || full_again)) {
      const double share = static_cast<double>(now_ - attempt.sent) /
                           static_cast<double>(std::max<Time>(1, class_of(open).aim));
      crowding_ += ((full_again ? 1 : std::min(share, 1.0)) - crowding_) * forget(crowding_at_, kForget);
    }
    switch (result.outcome) {
      case Outcome::served:
      case Outcome::miss:
      case Outcome::rejected:
      case Outcome::full:
        if (result.outcome == Outcome::full)
          server.full_until = now_ + static_cast<Time>(class_took_[open.request.request_class] / 2);
        for (Health* health : healths(server))
          *health = {0, health->in_flight, 0, std::max(kEjectFirst, health->eject_for / 2), now_};
        break;
      case Outcome::error: strike(server, false); break;
      case Outcome::reset:
      case Outcome::spoilt:
        if (++server.spoilt >= kSpoiltToStrike) strike(server, false);
        break;
      case Outcome::connect_failed: strike(server, !refused(result)); break;
      case Outcome::timeout:
        if (!attempt.struck) strike(server, true);
        break;
      default: break;
    }
    if (result.outcome != Outcome::served || !in_plan(server)) return;
    double& usual = class_took_[open.request.request_class];
    const double took = static_cast<double>(result.took);
    if (usual <= 0) usual = took;
    usual += (took - usual) * 0.01;
    const double expected = open.request.cost_hint > 0 ? static_cast<double>(open.request.cost_hint) : usual;
    server.took = server.took * 0.97 + took;
    server.expected = server.expected * 0.97 + expected;
  }

  // Each connection takes some of a server's strength, a new one more: what they are kept for is learned.
  void link(ServerId id, const Attempt& attempt, const AttemptResult& result) {
    Server& server = servers_[id];
    if (result.outcome == Outcome::not_sent) return;
    const bool failed = result.outcome == Outcome::connect_failed;
    if (attempt.dial || failed)
      dial_refused_ += ((failed && refused(result) ? 1 : 0) - dial_refused_) * kDialForget;
    server.linked = failed ? 0 : now_;
    if (dial_refused_ > kDialRefused) {
      keep_ = std::max(kKeepLeast, times(keep_, kKeepDown));
      dial_refused_ *= kKeepDown;
      close_idle();
    } else if (attempt.dial && !failed && keep_ < keep_most_) {
      keep_ = std::min(keep_most_, times(keep_, kKeepUp));
    }
    const bool often = now_ - std::exchange(server.used, now_) < worth_keeping();
    if (failed || server.in_flight > 0) return;
    auto& line = idle_[often];
    line.emplace_back(now_, id);
    if (line.size() > 2 * servers_.size() + 64)  // most have been used again
      std::erase_if(line, [this](const auto& one) { return servers_[one.second].linked != one.first; });
    close_idle();
  }

  void close_idle() {
    Time next = kNever;
    for (const bool often : {false, true}) {
      const Time kept = keep(often);
      for (auto& line = idle_[often]; !line.empty(); line.pop_front()) {
        const auto [used, id] = line.front();
        Server& server = servers_[id];
        if (server.linked != used || server.in_flight > 0) continue;
        if (now_ - used < kept && kept < keep_most_) next = std::min(next, used + kept);
        if (now_ - used < kept) break;
        server.linked = 0;
        if (kept < keep_most_) sink_.close_idle(id);
      }
    }
    if (next < kNever && (idle_timer_ <= now_ || next < idle_timer_))
      add_timer(idle_timer_ = next, Wake::idle);
  }

  // By kind: a server's own answers are few, and would set each router's plans apart.
  struct Speeds {
    std::map<std::uint32_t, std::array<double, 2>> kinds;
    double took = 0, expected = 0, mean_weight = 0;
  };
  Speeds speeds_, adding_;  // of the last walk over the plan, and of the one under way

  void count_speed(Speeds& to, const Server& server) const {
    to.mean_weight += std::max(1e-3, server.member.weight) / static_cast<double>(plan_.size());
    to.kinds[server.member.kind][0] += server.took;
    to.kinds[server.member.kind][1] += server.expected;
    to.took += server.took;
    to.expected += server.expected;
  }

  void reweigh(const Speeds& speeds, ServerId id) {
    const auto found = speeds.kinds.find(servers_[id].member.kind);
    if (speeds.expected <= 0 || found == speeds.kinds.end()) return;
    Server& server = servers_[id];
    const double mean = speeds.expected / speeds.took;
    const double unit = kKindPrior * speeds.expected;
    const double speed = (found->second[1] + unit) / (found->second[0] + unit / mean) / mean;
    // The listed weight may tell the same: the two are averaged, not multiplied.
    const double listed = std::max(1e-3, server.member.weight) / speeds.mean_weight;
    const double weight = std::pow(listed, 1 - kSpeedPower) *
                          std::pow(std::clamp(speed, 1 / kSpeedRange, kSpeedRange), kSpeedPower);
    if (std::abs(weight / server.weight - 1) <= 0.1) return;
    server.weight = weight;
    index_.set_weight(server.member.identity, id, std::max(1e-3, weight));
  }

  // A small plan at once, each second; a large one in parts, so that no tick walks over all.
  void look_around() {
    if (!index_.split()) {
      if (now_ - last_reweigh_ < kSecond) return;
      last_reweigh_ = now_;
      Speeds speeds;
      for (const ServerId id : plan_) count_speed(speeds, servers_[id]);
      for (const ServerId id : plan_) reweigh(speeds, id);
      return;
    }
    for (std::size_t i = 0; i < kLookAround; ++i) {
      if (next_look_ >= plan_.size()) {
        next_look_ = 0;
        speeds_ = std::exchange(adding_, {});
        return;
      }
      const ServerId id = plan_[next_look_++];
      look_at(servers_[id]);
      count_speed(adding_, servers_[id]);
      reweigh(speeds_, id);
    }
  }
};

}  // namespace streampick::policy
