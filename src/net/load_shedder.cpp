#include "net/load_shedder.h"

#include <algorithm>
#include <utility>

namespace streampick::net {

LoadShedder::LoadShedder(boost::asio::io_context& io, const overload::Settings& settings,
                         const Config& config, double cores, std::vector<bool> protected_classes)
    : controller_(settings, cores), lag_probe_(io, controller_) {
  update(config, std::move(protected_classes));
}

void LoadShedder::update(const Config& config, std::vector<bool> protected_classes) {
  constexpr double kMinGreatestWeight = 1e-9;  // no division by zero
  retry_after_ = overload::RetryAfterJitter(config.max_retry_after);
  double greatest_weight = kMinGreatestWeight;
  for (const RequestClass& request_class : config.classes) {
    greatest_weight = std::max(greatest_weight, request_class.priority_weight);
  }
  class_weights_.clear();
  for (const RequestClass& request_class : config.classes) {
    class_weights_.push_back(std::clamp(request_class.priority_weight / greatest_weight, 0.0, 1.0));
  }
  protected_classes_ = std::move(protected_classes);
  protected_classes_.resize(class_weights_.size());
}

bool LoadShedder::should_reject(std::uint32_t request_class, Time time_left, std::uint64_t id) {
  if (admits_all() || request_class >= class_weights_.size()) {
    return false;
  }
  const bool is_rejected = controller_.should_reject({.weight = class_weights_[request_class],
                                                      .time_left = time_left,
                                                      .is_protected = protected_classes_[request_class],
                                                      .id = id});
  if (is_rejected) {
    ++rejected_;
  }
  return is_rejected;
}

Time LoadShedder::retry_after(std::uint64_t id) const {
  // Hashes the complement of the id: the hash of the id itself decided the rejection, so it is not evenly
  // distributed among rejected requests.
  return retry_after_.at_level(controller_.level(), overload::hash_to_unit_interval(~id));
}

}  // namespace streampick::net
