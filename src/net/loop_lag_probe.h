/// \file
/// Measures the lag of an event loop by probes in its queue.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "overload/load_shedding_controller.h"

namespace streampick::net {

/// A probe is a handler that is queued behind all work that is ready. Its time in the queue is the lag, which
/// the controller is given. At most one is queued, and only on demand: an idle loop is not woken for it.
class LoopLagProbe {
 public:
  /// Both must outlive this object.
  LoopLagProbe(boost::asio::io_context& io, overload::LoadSheddingController& controller)
      : io_(io), controller_(controller) {}

  /// Queues a probe, unless one is queued or load shedding is disabled.
  void queue();

 private:
  boost::asio::io_context& io_;
  overload::LoadSheddingController& controller_;
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);  ///< expires with this object
  bool is_queued_ = false;
};

}  // namespace streampick::net
