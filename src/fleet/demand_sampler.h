// Samples of what a router is asked for, as the basis of its claims. No I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "shares/messages.h"
#include "streampick/router.h"

namespace streampick::fleet {

/// Keeps the last period's samples: requests by tenant, and the maximum of work at the origin.
class DemandSampler {
 public:
  static constexpr std::size_t kSamplesPerPeriod = 10;

  /// Requests by tenant since they were last counted anew.
  void add_sample(leases::Time now, std::vector<std::uint64_t> requests);
  /// Work at the origin now; to be called whenever a claim may be made.
  void observe_origin(const OriginWork& work);
  /// Numbers of tenants have another meaning from now on.
  void forget_requests();

  /// Requests a second of a tenant: the larger of the rates over a whole period and over the latest samples.
  double request_rate(std::size_t tenant) const;
  /// Maximum of work in flight and queued at the origin within the last period. A claim must not be based on
  /// less than there was.
  double max_origin_work() const;

 private:
  static constexpr std::size_t kLatestSamples = 3;
  struct Sample {
    leases::Time time = 0;
    std::vector<std::uint64_t> requests;
    double max_origin_work = 0;  // since the sample before
  };

  const Sample& sample_before(std::size_t count) const;
  double rate_over(std::size_t tenant, std::size_t samples) const;

  std::array<Sample, kSamplesPerPeriod> samples_;  // a ring
  std::size_t latest_ = 0;
  std::size_t count_ = 0;
  double max_origin_work_ = 0;  // since the latest sample
};

}  // namespace streampick::fleet
