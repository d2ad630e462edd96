#include "fleet/demand_sampler.h"

#include <algorithm>
#include <utility>

namespace streampick::fleet {

void DemandSampler::add_sample(leases::Time now, std::vector<std::uint64_t> requests) {
  latest_ = (latest_ + 1) % kSamplesPerPeriod;
  count_ = std::min(count_ + 1, kSamplesPerPeriod);
  samples_[latest_] = {
      .time = now, .requests = std::move(requests), .max_origin_work = std::exchange(max_origin_work_, 0)};
}

void DemandSampler::observe_origin(const OriginWork& work) {
  max_origin_work_ = std::max(max_origin_work_, work.in_flight + static_cast<double>(work.queued));
}

void DemandSampler::forget_requests() {
  for (Sample& sample : samples_) sample.requests.clear();
}

const DemandSampler::Sample& DemandSampler::sample_before(std::size_t count) const {
  return samples_[(latest_ + kSamplesPerPeriod - count) % kSamplesPerPeriod];
}

double DemandSampler::rate_over(std::size_t tenant, std::size_t samples) const {
  const Sample& last = sample_before(0);
  const Sample& first = sample_before(std::min({samples, count_, kSamplesPerPeriod - 1}));
  if (tenant >= last.requests.size() || last.time <= first.time) return 0;
  const std::uint64_t before = tenant < first.requests.size() ? first.requests[tenant] : 0;
  const std::uint64_t requests = last.requests[tenant] - std::min(before, last.requests[tenant]);
  return static_cast<double>(requests) * leases::kSecond / static_cast<double>(last.time - first.time);
}

double DemandSampler::request_rate(std::size_t tenant) const {
  return std::max(rate_over(tenant, kSamplesPerPeriod - 1), rate_over(tenant, kLatestSamples));
}

double DemandSampler::max_origin_work() const {
  double max = max_origin_work_;
  for (const Sample& sample : samples_) max = std::max(max, sample.max_origin_work);
  return max;
}

}  // namespace streampick::fleet
