/// \file
/// A token bucket for datagrams and bytes. Each message kind leaves a fraction of the bucket to more
/// important kinds. As the bucket empties, gossip is dropped first, then anti-entropy, indirect probes and
/// direct probes. Acks are dropped last: otherwise other routers would suspect a busy one. No I/O, no clock.
#pragma once

#include <array>
#include <cstddef>

#include "membership/message.h"
#include "membership/socket_settings.h"

namespace streampick::membership {

class SendBudget {
 public:
  explicit SendBudget(BudgetLimits limits);

  /// Takes the tokens of one datagram if it may be sent. Returns whether it may.
  bool try_take(Time now, MessageKind kind, std::size_t bytes);

 private:
  void refill(Time now);

  BudgetLimits limits_;  // per second, and capacity of the bucket
  double datagrams_;
  double bytes_;
  Time refilled_at_ = 0;
};

}  // namespace streampick::membership
