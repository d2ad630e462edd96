// Whether the connection of an attempt that nobody waits for any more is closed at once, or its answer waited
// for and dropped so that the connection can be used again. No I/O.
//
// A new connection costs the server a handshake and the next request on it its time; an answer that nobody
// wants costs the server the rest of its work. So the answer is waited for where it is near: the attempt has
// waited less than a few times the usual, and is given a few times the usual more. One that has waited for
// longer is stuck, and is closed. What is waited for at the same time is bounded, over all and at each
// server, so that a crowd that leaves can't hold all the descriptors or keep a server at work for nobody.
#pragma once

#include <algorithm>
#include <cstddef>

#include "overload/settings.h"

namespace streampick::overload {

class CancelRules {
 public:
  struct Attempt {
    long long waited = 0, usual = 0;            // us; usual 0: no answer has come from there
    std::size_t draining = 0, connections = 0;  // to all servers, now
    std::size_t here = 0;                       // draining at this server
  };

  CancelRules() = default;
  explicit CancelRules(const Settings& settings)
      : most_wait_(settings.drain_wait), share_(settings.drain_share), here_(settings.drain_here) {}

  // How long its answer may be waited for, in us; 0: not at all.
  long long wait(const Attempt& attempt) const {
    if (most_wait_ <= 0 || attempt.usual <= 0) return 0;
    if (attempt.here >= here_) return 0;
    const auto most = static_cast<std::size_t>(static_cast<double>(attempt.connections) * share_);
    if (attempt.draining >= std::max<std::size_t>(1, most)) return 0;
    const long long longest = std::min(most_wait_, kTimes * attempt.usual);
    return attempt.waited < longest ? longest : 0;
  }

 private:
  static constexpr long long kTimes = 4;  // of the usual time
  long long most_wait_ = Settings{}.drain_wait;
  double share_ = Settings{}.drain_share;
  std::size_t here_ = Settings{}.drain_here;
};

}  // namespace streampick::overload
