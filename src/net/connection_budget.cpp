#include "net/connection_budget.h"

namespace streampick::net {

namespace {
constexpr auto kSide = overload::DescriptorBudget::Side::upstream;
}

bool ConnectionBudget::has_capacity() const {
  if (descriptors_ != nullptr) {
    return descriptors_->has_capacity(kSide);
  }
  return open_ < max_connections_;
}

void ConnectionBudget::on_opened() {
  ++open_;
  if (descriptors_ != nullptr) {
    descriptors_->reserve(kSide);
  }
}

void ConnectionBudget::on_closed() {
  --open_;
  if (descriptors_ != nullptr) {
    descriptors_->release(kSide);
  }
}

}  // namespace streampick::net
