#include "policy/admission.h"

#include <algorithm>

namespace streampick::policy {
namespace {

// Share of the limit that requests of tenants over their quota may use.
constexpr double kOverQuotaShare = 0.6;
// Share of the limit that is withheld from a class with priority weight 0. The withheld share falls linearly
// to 0 for the class with the greatest weight.
constexpr double kPriorityShare = 0.3;

}  // namespace

void AdmissionControl::configure(const Config& next) {
  max_priority_weight_ = kMinPriorityWeight;
  for (const RequestClass& request_class : next.classes) {
    const bool goes_to_caches = !next.cache_aside || request_class.effect == Effect::safe;
    if (goes_to_caches) {
      max_priority_weight_ = std::max(max_priority_weight_, request_class.priority_weight);
    }
  }
}

bool AdmissionControl::admits(const Request& request, QuotaState quota, Time now) {
  if (request.write && config_.cache_aside) {
    return true;
  }
  const double weight = config_.classes[request.request_class].priority_weight / max_priority_weight_;
  const double share = quota == QuotaState::over ? kOverQuotaShare : 1 - kPriorityShare * (1 - weight);
  return limit_.try_admit(now, dispatcher_.cache_in_flight() / share);
}

}  // namespace streampick::policy
