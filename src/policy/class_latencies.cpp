#include "policy/class_latencies.h"

#include <cstddef>
#include <utility>

namespace streampick::policy {
namespace {

// Weight of one answer in the running mean.
constexpr double kAnswerWeight = 0.01;

}  // namespace

void ClassLatencies::configure(const Config& previous, const Config& next) {
  std::vector<double> means(next.classes.size(), 0);
  for (std::size_t i = 0; i < means.size(); ++i) {
    const RequestClass& request_class = next.classes[i];
    const bool unchanged = i < means_.size() && request_class == previous.classes[i];
    const std::size_t source = unchanged ? i : request_class.similar_class;
    if (source < means_.size()) {
      means[i] = means_[source];
    }
  }
  means_ = std::move(means);
}

double ClassLatencies::record(const Request& request, double latency) {
  double& mean = means_[request.request_class];
  if (mean <= 0) {
    mean = latency;
  }
  mean += (latency - mean) * kAnswerWeight;
  return mean;
}

}  // namespace streampick::policy
