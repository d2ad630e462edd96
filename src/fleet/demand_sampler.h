// Samples of a router's load, from which its claims are computed. No I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "shares/messages.h"
#include "streampick/router.h"

namespace streampick::fleet {

/// Keeps the samples of the last period: request counts by tenant, and the maximum of work at the origin.
class DemandSampler {
 public:
  static constexpr std::size_t kSamplesPerPeriod = 10;

  /// `requests`: number of requests by tenant since the engine's counts were last reset.
  void add_sample(leases::Time now, std::vector<std::uint64_t> requests);
  /// Records the work at the origin now. Call it before every event that can send a claim.
  void observe_origin(const OriginWork& work);
  /// Discards the request counts, because tenant numbers have changed their meaning.
  void forget_requests();

  /// Requests per second of a tenant: the larger of the rate over the whole period and the rate over the last
  /// kLatestSamples samples.
  double request_rate(std::size_t tenant) const;
  /// Maximum of work in flight and queued at the origin within the last period. Claims use this maximum, not
  /// the latest value, so that a claim never asks for less than was needed within the period.
  double max_origin_work() const;

 private:
  static constexpr std::size_t kLatestSamples = 3;
  struct Sample {
    leases::Time time = 0;
    std::vector<std::uint64_t> requests;
    double max_origin_work = 0;  // since the previous sample
  };

  const Sample& sample_before(std::size_t count) const;
  double rate_over(std::size_t tenant, std::size_t samples) const;

  std::array<Sample, kSamplesPerPeriod> samples_;  // a ring buffer
  std::size_t latest_ = 0;
  std::size_t count_ = 0;
  double max_origin_work_ = 0;  // since the latest sample
};

}  // namespace streampick::fleet
