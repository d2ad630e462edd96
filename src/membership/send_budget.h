/// \file
/// A token bucket over datagrams and bytes. Each kind of message must leave a share of the allowance to more
/// important kinds: gossip is dropped first, then anti-entropy, indirect probes and direct probes. Acks go to
/// the last, or a busy router would be taken for a failed one. No I/O, no clock.
#pragma once

#include <array>
#include <cstddef>

#include "membership/message.h"
#include "membership/socket_settings.h"

namespace streampick::membership {

class SendBudget {
 public:
  explicit SendBudget(BudgetLimits limits);

  /// Returns whether the datagram may be sent, and then takes its tokens.
  bool try_take(Time now, MessageKind kind, std::size_t bytes);

 private:
  void refill(Time now);

  BudgetLimits limits_;  // of a second, and of a burst
  double datagrams_;
  double bytes_;
  Time refilled_at_ = 0;
};

}  // namespace streampick::membership
