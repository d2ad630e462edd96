// When a client that is seldom asked lets go of what it holds: its idle connections and its watch on the list
// of servers, so that nothing wakes it. No I/O.
//
// A rest begins once no call has been open for `after`. The first call ends it; it may be sent only once the
// list has been read anew, since a server may have gone meanwhile with nobody here to hear of it.
#pragma once

#include <cstdint>

namespace streampick::plugin {

class Rest {
 public:
  explicit Rest(long long after = 0) : after_(after) {}  // us without an open call; 0: it never rests

  // A call began; returns whether it ends a rest, so that the list is to be read before it is sent.
  bool began() {
    ++open_;
    due_ = 0;
    const bool woken = resting_;
    resting_ = false;
    return woken;
  }
  // A call ended, at `now` in us. Returns when to look again; 0: not at all.
  long long ended(long long now) {
    if (open_ > 0) --open_;
    if (open_ > 0 || after_ <= 0) return 0;
    return due_ = now + after_;
  }
  // It is `now`: whether a rest begins, with this call of the function and no other.
  bool begins(long long now) {
    if (due_ == 0 || resting_ || open_ > 0 || now < due_) return false;
    due_ = 0;
    resting_ = true;
    ++rests_;
    return true;
  }
  bool resting() const { return resting_; }
  std::uint64_t rests() const { return rests_; }

 private:
  long long after_, due_ = 0;
  std::uint64_t open_ = 0, rests_ = 0;
  bool resting_ = false;
};

}  // namespace streampick::plugin
