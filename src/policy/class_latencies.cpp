#include "policy/class_latencies.h"

#include <cstddef>
#include <utility>

namespace streampick::policy {
namespace {

// Weight of one answer in the running mean.
constexpr double kAnswerWeight = 0.01;

}  // namespace

void ClassLatencies::configure(const Config& previous, const Config& next) {
  std::vector<double> usual(next.classes.size(), 0);
  for (std::size_t i = 0; i < usual.size(); ++i) {
    const RequestClass& request_class = next.classes[i];
    const bool unchanged = i < usual_.size() && request_class == previous.classes[i];
    const std::size_t source = unchanged ? i : request_class.similar_class;
    if (source < usual_.size()) {
      usual[i] = usual_[source];
    }
  }
  usual_ = std::move(usual);
}

double ClassLatencies::record(const Request& request, double latency) {
  double& usual = usual_[request.request_class];
  if (usual <= 0) {
    usual = latency;
  }
  usual += (latency - usual) * kAnswerWeight;
  return usual;
}

}  // namespace streampick::policy
