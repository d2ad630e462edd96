#include "membership/send_budget.h"

#include <algorithm>

namespace streampick::membership {
namespace {

// Fraction of the bucket that each message kind leaves to other kinds, in the order of MessageKind.
constexpr std::array<double, kMessageKinds> kReservedShare = {0.1, 0, 0.25, 0.25, 0.4, 0.4, 0.5, 0};

}  // namespace

SendBudget::SendBudget(BudgetLimits limits)
    : limits_(limits), datagrams_(limits.datagrams), bytes_(limits.bytes) {}

bool SendBudget::try_take(Time now, MessageKind kind, std::size_t bytes) {
  refill(now);
  const double reserved = kReservedShare[static_cast<std::size_t>(kind)];
  const auto size = static_cast<double>(bytes);
  if (datagrams_ - 1 < reserved * limits_.datagrams || bytes_ - size < reserved * limits_.bytes) {
    return false;
  }
  datagrams_ -= 1;
  bytes_ -= size;
  return true;
}

void SendBudget::refill(Time now) {
  if (refilled_at_ == 0) {
    refilled_at_ = now;
  }
  const Time elapsed = std::max<Time>(0, now - refilled_at_);
  const double seconds = static_cast<double>(elapsed) / static_cast<double>(kSecond);
  refilled_at_ = now;
  datagrams_ = std::min(limits_.datagrams, datagrams_ + seconds * limits_.datagrams);
  bytes_ = std::min(limits_.bytes, bytes_ + seconds * limits_.bytes);
}

}  // namespace streampick::membership
