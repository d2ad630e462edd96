/// \file
/// Limits the number of open connections to upstream servers.
#pragma once

#include <cstddef>

#include "overload/descriptor_budget.h"

namespace streampick::net {

/// Counts open connections against a limit of its own, or against the descriptors that are shared with the
/// connections of clients. Single-threaded.
class ConnectionBudget {
 public:
  /// Sets the limit that applies if no descriptor budget is shared. If neither is set, no connection may be
  /// opened.
  void set_limit(std::size_t max_connections) { max_connections_ = max_connections; }
  /// From now on `descriptors` limits the connections. It must outlive this object; no connection may be open
  /// yet.
  void share_descriptors(overload::DescriptorBudget& descriptors) { descriptors_ = &descriptors; }

  [[nodiscard]] bool has_capacity() const;
  void on_opened();
  void on_closed();
  [[nodiscard]] std::size_t open() const { return open_; }

 private:
  std::size_t open_ = 0;
  std::size_t max_connections_ = 0;
  overload::DescriptorBudget* descriptors_ = nullptr;
};

}  // namespace streampick::net
