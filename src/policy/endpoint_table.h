#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "policy/endpoint.h"
#include "streampick/router.h"

namespace streampick::policy {

/// All endpoints that have ever been listed, indexed by the host's small ids; their failure domains (zones
/// and cells); and which endpoint is the origin. Owns all Endpoint and OutlierState objects.
///
/// References to an endpoint stay valid until the next call of ensure().
class EndpointTable {
 public:
  EndpointTable() = default;
  EndpointTable(const EndpointTable&) = delete;
  EndpointTable& operator=(const EndpointTable&) = delete;

  [[nodiscard]] Endpoint& at(ServerId id) { return endpoints_[id]; }
  [[nodiscard]] const Endpoint& at(ServerId id) const { return endpoints_[id]; }
  /// Throws std::out_of_range for an id that has never been listed.
  [[nodiscard]] const Endpoint& checked_at(ServerId id) const { return endpoints_.at(id); }
  /// One more than the greatest id that has ever been listed.
  [[nodiscard]] std::size_t size() const { return endpoints_.size(); }

  /// The endpoint with this id; creates it if it does not exist.
  Endpoint& ensure(ServerId id);

  /// Marks all endpoints as not listed.
  void unlist_all();

  /// Removes the endpoint from its zone and cell. Call before its list entry changes.
  static void leave_failure_domains(Endpoint& endpoint);
  /// Adds the endpoint to the zone and the cell of its list entry.
  void join_failure_domains(Endpoint& endpoint);

  [[nodiscard]] std::optional<ServerId> origin() const { return origin_; }
  void set_origin(ServerId id) { origin_ = id; }
  /// Clears the origin if it is the endpoint with this id.
  void clear_origin(ServerId id);

  /// Attempts in flight at the origin, including stalled ones.
  [[nodiscard]] int origin_in_flight() const { return origin_ ? at(*origin_).in_flight : 0; }

 private:
  std::vector<Endpoint> endpoints_;
  // Endpoints hold pointers into these maps, whose nodes have stable addresses.
  std::map<std::uint32_t, OutlierState> zones_;
  std::map<std::uint32_t, OutlierState> cells_;
  std::optional<ServerId> origin_;
};

}  // namespace streampick::policy
