#include "policy/admission.h"

#include <algorithm>

namespace streampick::policy {
namespace {

// Part of the limit for tenants over their quota.
constexpr double kOverQuotaPart = 0.6;
// How much less of the limit a class of no priority weight has than the one of greatest weight.
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
