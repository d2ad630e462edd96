#include "policy/endpoint_table.h"

namespace streampick::policy {

Endpoint& EndpointTable::ensure(ServerId id) {
  if (id >= endpoints_.size()) {
    endpoints_.resize(static_cast<std::size_t>(id) + 1);
  }
  return endpoints_[id];
}

void EndpointTable::unlist_all() {
  for (Endpoint& endpoint : endpoints_) {
    endpoint.is_listed = false;
  }
}

void EndpointTable::leave_failure_domains(Endpoint& endpoint) {
  if (endpoint.zone_outlier == nullptr) {
    return;
  }
  for (OutlierState* state : endpoint.outlier_states()) {
    state->in_flight -= endpoint.in_flight;
  }
}

void EndpointTable::join_failure_domains(Endpoint& endpoint) {
  endpoint.zone_outlier = &zones_[endpoint.member.zone];
  endpoint.cell_outlier = &cells_[endpoint.member.cell];
  for (OutlierState* state : endpoint.outlier_states()) {
    state->in_flight += endpoint.in_flight;
  }
}

void EndpointTable::clear_origin(ServerId id) {
  if (origin_ == id) {
    origin_.reset();
  }
}

}  // namespace streampick::policy
