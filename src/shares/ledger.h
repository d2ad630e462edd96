// The book that a home keeps of one limit: who claims how much of it, and what may be in use elsewhere by its
// leave. For one epoch. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "shares/settings.h"

namespace streampick::leases {

class Ledger {
 public:
  static constexpr std::size_t kMostHolders = 2'048, kMostAtAddress = 4;
  struct Claim {
    Boot holder = 0;
    Address from = 0;
    std::uint32_t number = 0;  // a holder's claims are taken in order; an older one says nothing
    Item item;
    double weight = 1;
    bool this_epoch = false;  // whether what the holder has seen was granted under this book's epoch
  };
  // Returns what is granted until now + `length`, under the number `grant`; nothing: the claim is an old one,
  // or one too many. `routers`: processes that may be there.
  std::optional<double> claim(Time now, const Settings& settings, const Limit& limit, std::uint32_t routers,
                              const Claim& claim, std::uint32_t grant, Time length);

  // What may be in use by leases of this book, now.
  double out(Time now) const;
  double wanted() const;
  std::size_t holders() const { return holders_.size(); }

 private:
  struct Out {
    std::uint32_t grant = 0;
    double amount = 0;
    Time until = 0;  // when all that was begun under it has ended
  };
  struct Holder {
    Address at = 0;
    bool former = false;  // another process has claimed from its address since
    std::uint32_t claim = 0;
    Time heard = 0;
    double want = 0, weight = 1, credit = 0, part = 0, amount = 0;
    double over = 0;       // in use beyond its floor, as it said last
    Time over_until = 0;   // when that has ended
    Time more_since = 0;   // has had more than its part since; 0: it has not
    std::vector<Out> out;  // by number; amounts fall
    double exposed(Time now) const;
  };
  // What other processes at its address may still use; they have ended, and get nothing more.
  double left_at(Time now, const Holder& holder);
  void take(Time now, const Settings& settings, const Limit& limit, Holder& holder, const Claim& claim);
  void forget(Time now, const Settings& settings);
  void divide(Time now, const Settings& settings, const Limit& limit, double pool);
  double more(Time now, const Settings& settings, const Limit& limit, double pool, Holder& holder) const;

  std::map<Boot, Holder> holders_;
  Time divided_ = 0, credited_ = 0;
  bool changed_ = false;
};

}  // namespace streampick::leases
