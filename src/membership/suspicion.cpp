#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace streampick::membership {

int gossip_rounds(std::size_t members) {
  return static_cast<int>(std::ceil(std::log2(static_cast<double>(members) + 1)));
}

Suspicion::Suspicion(InstanceId accuser, Time now, std::size_t members, Time period,
                     const SuspicionRule& rule)
    : started_at_(now), max_confirmations_(std::min(rule.confirmations, members > 2 ? members - 2 : 0)) {
  const double scale = std::max(1.0, std::log10(static_cast<double>(members)));
  min_timeout_ = static_cast<Time>(rule.min_factor * scale * static_cast<double>(period));
  max_timeout_ = max_confirmations_ == 0
                     ? min_timeout_
                     : static_cast<Time>(rule.max_multiple * static_cast<double>(min_timeout_));
  accusers_.insert(accuser);
  update_deadline();
}

bool Suspicion::confirm(InstanceId accuser) {
  if (accusers_.size() > max_confirmations_ || accuser == 0) {
    return false;
  }
  if (!accusers_.insert(accuser).second) {
    return false;
  }
  update_deadline();
  return true;
}

void Suspicion::extend(Time suspended) {
  started_at_ += suspended;
  update_deadline();
}

InstanceId Suspicion::accuser(std::size_t index) const {
  return *std::next(accusers_.begin(), static_cast<std::ptrdiff_t>(index));
}

void Suspicion::update_deadline() {
  double share = 1;
  if (max_confirmations_ != 0) {
    share = std::log(static_cast<double>(accusers_.size())) /
            std::log(static_cast<double>(max_confirmations_) + 1);
  }
  const Time reduction = static_cast<Time>(share * static_cast<double>(max_timeout_ - min_timeout_));
  deadline_ = started_at_ + std::max(min_timeout_, max_timeout_ - reduction);
}

bool Suspicions::confirm(InstanceId member, InstanceId accuser) {
  const auto found = suspicions_.find(member);
  return found != suspicions_.end() && found->second.confirm(accuser);
}

void Suspicions::extend_all(Time suspended) {
  for (auto& [member, suspicion] : suspicions_) {
    suspicion.extend(suspended);
  }
}

const Suspicion* Suspicions::find(InstanceId member) const {
  const auto found = suspicions_.find(member);
  return found == suspicions_.end() ? nullptr : &found->second;
}

std::vector<InstanceId> Suspicions::expired(Time now) const {
  std::vector<InstanceId> expired;
  for (const auto& [member, suspicion] : suspicions_) {
    if (now >= suspicion.deadline()) {
      expired.push_back(member);
    }
  }
  return expired;
}

Time Suspicions::next_deadline() const {
  Time next = kNever;
  for (const auto& [member, suspicion] : suspicions_) {
    next = std::min(next, suspicion.deadline());
  }
  return next;
}

}  // namespace streampick::membership
