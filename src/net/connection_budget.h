/// \file
/// How many connections to upstream servers may be open.
#pragma once

#include <cstddef>

#include "overload/descriptor_budget.h"

namespace streampick::net {

/// Counts open connections against a limit of its own, or against the descriptors that are shared with the
/// connections of clients. Single-threaded.
class ConnectionBudget {
 public:
  /// The limit where no descriptors are shared. Without either, no connection may be opened.
  void set_limit(std::size_t max_connections) { max_connections_ = max_connections; }
  /// From now on `descriptors` decides. It must outlive this object; no connection may be open yet.
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
