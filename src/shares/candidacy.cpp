#include "shares/candidacy.h"

#include <algorithm>

// Tests build the core once more for each rule, with the rule taken out, and look whether they notice.
#include "shares/without.h"

namespace streampick::leases {

void Candidacy::begin(Time now, Epoch epoch) {
  *this = Candidacy();
  epoch_ = epoch;
  began_ = now;
}

std::uint32_t Candidacy::ask(Time now) {
  ++number_;
  asks_[number_ % kAsks] = {number_, now};
  return number_;
}

bool Candidacy::promised(const Settings& settings, Time now, Address voter, std::uint32_t number,
                         Time length) {
  const Ask& ask = asks_[number % kAsks];
  if (!running() || ask.number != number || number == 0 || lost(now)) return false;
  if (std::find(settings.voters.begin(), settings.voters.end(), voter) == settings.voters.end()) return false;
  // The voter's time runs from when the ask arrived, which is no sooner than when it was sent.
  const Time longest = std::min(length, settings.term);
  Time& until = until_by_[voter];
  until = std::max(until, ask.sent + (kWithout == kMargin ? longest : no_longer(longest, settings.drift)));
  const std::size_t majority = kWithout == kMajority ? 1 : settings.voters.size() / 2 + 1;
  if (until_by_.size() < majority) return false;
  std::vector<Time> all;
  for (const auto& [who, time] : until_by_) all.push_back(time);
  std::sort(all.begin(), all.end(), std::greater<>());
  const Time end = all[majority - 1];
  if (end <= now || end <= until_) return false;
  const bool first = until_ == 0;
  until_ = end;
  if (first) grants_from_ = kWithout == kWait ? now : now + no_shorter(settings.work, settings.drift);
  return first;
}

}  // namespace streampick::leases
