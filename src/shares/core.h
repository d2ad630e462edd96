// Limits that hold for the whole fleet, at one router: as a voter for the homes of limits, as a home that
// divides them, and as a holder of parts. Messages, the fleet's view, demand and time in; messages, parts and
// the next time to be called out. No I/O, no clock, no threads: docs/shares.md has the rules and the bounds.
//
// A limit belongs to a seat. A seat has one home at a time, by the promises of a majority of its voters, for
// a term that it has more of while it lives. What the home grants ends within its term and, by the holder's
// own clock less a margin, before that. So the safety of a hard limit rests on no view, and on clocks only in
// that they don't differ in speed by more than is set.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "shares/candidacy.h"
#include "shares/ledger.h"
#include "shares/settings.h"
#include "shares/voter.h"
#include "shares/without.h"

namespace streampick::leases {

// What this router may use of a limit. To be compared with at the moment of use.
struct Part {
  Kind kind = Kind::hard;
  double floor = 0;   // with no lease
  double amount = 0;  // by lease
  Time until = 0;     // of that
  double usable(Time now) const {
    const bool leased = now < until || kWithout == kAtUse;
    if (kind == Kind::soft) return leased ? amount : floor;
    return floor + (leased ? amount : 0);
  }
  friend bool operator==(const Part&, const Part&) = default;
};

struct Figures {
  std::uint64_t claims = 0, grants = 0;         // sent
  std::uint64_t granted = 0;                    // heard and taken
  std::uint64_t stale = 0;                      // grants of an older epoch, or too old
  std::uint64_t homes_won = 0, homes_lost = 0;  // this router became home of a seat; was and is no longer
  std::uint64_t refused = 0;                    // asks for promises that this router refused
  std::uint64_t unknown = 0;                    // messages on seats or limits that this router lacks
  std::uint64_t slept = 0;                      // times that it was not at work
};

class Core {
 public:
  // `boot`: this process's own random number, not 0.
  Core(Settings settings, Boot boot, std::uint64_t seed, Time now);

  // From now on messages get through, and no process before this one at its address does anything any more.
  // Until then nothing of a hard limit is used, and nothing is sent.
  void begin(Time now);
  // Who is there: `living` others and this one; processes that may be there at most.
  void view(Time now, std::vector<Address> living, std::uint32_t routers);
  // What this router could use of a limit now, with all that it refused, and what it does use. A rise beyond
  // its part is claimed soon, the rest with the next period.
  void demand(Time now, LimitId limit, double want, double in_use);
  void receive(Time now, Address from, const Message& message);
  void tick(Time now);
  Time next() const { return over_ || !begun_ ? kNever : next_; }
  // Limits and totals anew; what was leased of a limit that stays is kept until it ends.
  void set_limits(Time now, std::vector<Limit> limits);
  // Gives all parts back, and grants nothing more. A process that `ends` leaves its floors to the next one at
  // its address; one that goes on by itself keeps them. May be called again when it does end.
  void leave(Time now, bool ends);

  bool shares(LimitId limit) const { return holdings_.contains(limit); }
  Part part(LimitId limit) const;
  // Whether a part has changed since this was asked.
  bool take_changed() { return std::exchange(changed_, false); }
  std::vector<Send> take_sends() { return std::exchange(sends_, {}); }

  // ---- For figures
  const Settings& settings() const { return settings_; }
  const Figures& figures() const { return figures_; }
  bool home(std::uint32_t seat, Time now) const { return seats_[seat].candidacy.home(now); }
  bool grants(std::uint32_t seat, Time now) const;
  Address known_home(std::uint32_t seat) const { return seats_[seat].home; }
  Epoch epoch(std::uint32_t seat) const { return seats_[seat].fence; }
  const Ledger* ledger(LimitId limit) const;  // null: this router is not its home
  std::uint32_t seat_of(LimitId limit) const { return limit % settings_.seats; }
  std::uint32_t routers() const { return routers_; }
  Boot boot() const { return boot_; }
  double wanted(LimitId limit) const;

 private:
  struct Seat {
    explicit Seat(Voter made) : voter(made) {}
    Voter voter;
    Candidacy candidacy;
    std::map<LimitId, Ledger> ledgers;  // of the candidacy's epoch
    std::uint32_t grants = 0;           // made in it
    std::uint64_t highest = 0;          // number of an epoch that was heard of: the next is higher
    Epoch fence;                        // of the last grant that was taken; none of a lower one is
    Address home = 0;                   // as itself, or a voter that has promised, has said
    Time heard = kLongAgo;              // ... last
    Address hint = 0;                   // as another has said: one claim goes there
    Time try_again = 0;                 // no candidacy before
    Time claim_at = 0;                  // no claims before
    std::uint32_t unheard = 0;          // claims in a row that nobody answered
    bool urgent = false;
  };
  struct Holding {
    Limit limit;
    double amount = 0, want = 0, in_use = 0;
    Time until = 0;
    std::uint32_t seen = 0;  // the last grant that was taken, of the seat's fence
  };
  struct Sent {
    std::uint32_t number = 0;
    Time time = 0;
  };
  static constexpr Time kLongAgo = INT64_MIN / 2;
  static constexpr std::size_t kClaims =
      4 * kMostLimits;  // under way at once, should each limit have its own

  void awake(Time now);
  void drop_home(std::uint32_t seat);
  void fence(std::uint32_t seat, Epoch epoch);
  void look_at_seat(Time now, std::uint32_t seat);
  void ask_voters(Time now, std::uint32_t seat);
  void claim(Time now, std::uint32_t seat, bool give_back = false);
  void claimed(Time now, Address from, const Message& message);
  void granted(Time now, Address from, const Message& message);
  void home_is(Time now, std::uint32_t seat, Address home);
  void step_back(Time now, std::uint32_t seat);
  static std::uint64_t order(std::uint32_t seat, Address router);
  std::size_t rank(std::uint32_t seat) const;
  Address choice(std::uint32_t seat, std::size_t rank) const;
  Message make(Message::Kind kind, std::uint32_t seat) const;
  void send(Address to, Message message);
  void deliver_own(Time now);
  void schedule(Time now);
  void take(Time now, Address from, const Message& message);
  double floor(const Holding& holding) const { return floor_of(holding.limit, settings_, routers_); }
  Part part_of(const Holding& holding) const;

  Settings settings_;
  Boot boot_;
  std::mt19937_64 random_;
  std::vector<Seat> seats_;
  std::map<LimitId, Holding> holdings_;
  std::vector<Address> living_;  // others and this one, in order
  std::uint32_t routers_;
  std::uint32_t claim_number_ = 0;
  std::array<Sent, kClaims> claims_{};  // the last of them, by number
  Time next_period_ = 0, next_ = 0;
  bool begun_ = false, over_ = false, ended_ = false, changed_ = true;
  std::vector<Send> sends_;
  std::vector<Message> own_;  // to this router itself
  Figures figures_;
};

}  // namespace streampick::leases
