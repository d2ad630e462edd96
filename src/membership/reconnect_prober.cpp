#include "membership/reconnect_prober.h"

#include <algorithm>
#include <utility>

namespace streampick::membership {
namespace {

// Probes per protocol period.
constexpr std::size_t kFastProbes = 3;
constexpr std::size_t kSlowProbes = 1;
constexpr int kFastPeriodsAlone = 20;
constexpr int kFastPeriodsAfterRecovery = 4;

}  // namespace

void ReconnectProber::on_period(ProtocolContext& context, Time now) {
  const bool is_alone = context.live().count == 1;
  periods_alone_ = is_alone ? periods_alone_ + 1 : 0;
  fast_periods_ = std::max(0, fast_periods_ - 1);
  previous_probes_ = std::exchange(probes_, {});
  const bool is_fast = fast_periods_ > 0 || (is_alone && periods_alone_ < kFastPeriodsAlone);
  const std::size_t count = is_fast ? kFastProbes : kSlowProbes;
  for (const Address address : context.random.sample(candidates(context), count)) {
    const std::uint32_t sequence = context.next_sequence();
    probes_[sequence] = address;
    context.send_ping(sequence, address, context.table.find_by_address(address), now);
  }
}

std::vector<Address> ReconnectProber::candidates(const ProtocolContext& context) const {
  std::vector<Address> candidates;
  for (const auto& [instance, member] : context.table.members()) {
    if (member.record.state == State::unreachable) {
      candidates.push_back(member.record.address);
    }
  }
  const std::vector<Address>& live = context.live().addresses;
  for (const std::vector<Address>* addresses : {&context.settings.contacts, &remembered_}) {
    for (const Address address : *addresses) {
      if (address != context.self.address && !std::binary_search(live.begin(), live.end(), address)) {
        candidates.push_back(address);
      }
    }
  }
  std::sort(candidates.begin(), candidates.end());
  candidates.erase(std::unique(candidates.begin(), candidates.end()), candidates.end());
  return candidates;
}

bool ReconnectProber::on_ack(std::uint32_t sequence, Address acknowledged) {
  for (Probes* probes : {&probes_, &previous_probes_}) {
    const auto probe = probes->find(sequence);
    if (probe != probes->end() && probe->second == acknowledged) {
      probes->erase(probe);
      return true;
    }
  }
  return false;
}

void ReconnectProber::on_recovery() { fast_periods_ = kFastPeriodsAfterRecovery; }

}  // namespace streampick::membership
