// One seat from the side of a router that is, or wants to be, its home: the epoch, who has promised what, and
// until when that makes a majority. No I/O, no clock.
#pragma once

#include <array>
#include <map>
#include <vector>

#include "shares/settings.h"

namespace streampick::leases {

class Candidacy {
 public:
  bool running() const { return epoch_.number != 0; }
  const Epoch& epoch() const { return epoch_; }
  // Until when this router is home by its own clock; 0: it is not.
  Time until() const { return until_; }
  bool home(Time now) const { return now < until_; }
  // From when it may grant: what was begun under the homes before has ended by then.
  Time grants_from() const { return grants_from_; }
  // It has been home, and is no longer: its epoch is over.
  bool lost(Time now) const { return until_ != 0 && now >= until_; }

  void begin(Time now, Epoch epoch);
  void give_up() { *this = Candidacy(); }
  // The number of an ask that goes to all voters now.
  std::uint32_t ask(Time now);
  // Returns whether this promise made it home.
  bool promised(const Settings& settings, Time now, Address voter, std::uint32_t number, Time length);
  // How long ago it began, and has not been home yet.
  Time waiting(Time now) const { return running() && until_ == 0 ? now - began_ : 0; }

 private:
  static constexpr std::size_t kAsks = 8;
  struct Ask {
    std::uint32_t number = 0;
    Time sent = 0;
  };
  Epoch epoch_;
  std::array<Ask, kAsks> asks_{};  // the last of them, by number
  std::uint32_t number_ = 0;
  std::map<Address, Time> until_by_;  // by voter, what it has promised, by this router's clock
  Time began_ = 0, until_ = 0, grants_from_ = 0;
};

}  // namespace streampick::leases
