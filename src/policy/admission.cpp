#include "policy/admission.h"

#include <algorithm>

namespace streampick::policy {
namespace {

// Share of the limit that requests of tenants over their quota may use.
constexpr double kOverQuotaPart = 0.6;
// Share of the limit that is withheld from a class with priority weight 0. The withheld share falls linearly
// to 0 for the class with the greatest weight.
constexpr double kPriorityPart = 0.3;

}  // namespace

void AdmissionControl::configure(const Config& next) {
  greatest_weight_ = kLeastWeight;
  for (const RequestClass& request_class : next.classes) {
    const bool goes_to_caches = !next.cache_aside || request_class.effect == Effect::safe;
    if (goes_to_caches) {
      greatest_weight_ = std::max(greatest_weight_, request_class.priority_weight);
    }
  }
}

bool AdmissionControl::admits(const Request& request, QuotaState quota, Time now) {
  if (request.write && config_.cache_aside) {
    return true;
  }
  const double weight = config_.classes[request.request_class].priority_weight / greatest_weight_;
  const double part = quota == QuotaState::over ? kOverQuotaPart : 1 - kPriorityPart * (1 - weight);
  return limit_.try_admit(now, dispatcher_.cache_in_flight() / part);
}

}  // namespace streampick::policy
