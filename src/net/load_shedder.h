/// \file
/// Load shedding: decides which requests are rejected before any work is spent on them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <vector>

#include "net/loop_lag_probe.h"
#include "overload/load_shedding_controller.h"
#include "overload/retry_after.h"
#include "streampick/router.h"

namespace streampick::net {

/// Measures the lag of one event loop while there is work, and rejects requests by their class, their
/// deadline and the shedding level. Downstreams ask it before they read a request's body. Single-threaded;
/// lives on the loop.
class LoadShedder {
 public:
  /// `cores`: CPU time that the process may use per time passed. `protected_classes`: by the class's index;
  /// classes beyond its end are not protected.
  LoadShedder(boost::asio::io_context& io, const overload::Settings& settings, const Config& config,
              double cores, std::vector<bool> protected_classes);

  /// Takes the classes' weights and the longest retry time from a new configuration.
  void update(const Config& config, std::vector<bool> protected_classes);

  /// A client has sent data: measures the lag, unless a probe is queued already.
  void on_client_activity() { lag_probe_.queue(); }

  /// Whether no request is rejected at present.
  [[nodiscard]] bool admits_all() const { return controller_.level() <= 0; }
  /// Returns whether to reject a request, and counts it if so. `time_left`: how much longer its client waits,
  /// in microseconds. `id`: the request's own; while the level is unchanged, so is the decision for an id.
  [[nodiscard]] bool should_reject(std::uint32_t request_class, Time time_left, std::uint64_t id);
  /// When the client of a rejected request may try again, in microseconds; 0: it is given no time.
  [[nodiscard]] Time retry_after(std::uint64_t id) const;

  [[nodiscard]] const overload::LoadSheddingController& controller() const { return controller_; }
  /// Requests rejected since the start.
  [[nodiscard]] std::uint64_t rejected() const { return rejected_; }

 private:
  overload::LoadSheddingController controller_;
  LoopLagProbe lag_probe_;
  overload::RetryAfterJitter retry_after_;
  std::vector<double> class_weights_;  ///< as shares of the greatest
  std::vector<bool> protected_classes_;
  std::uint64_t rejected_ = 0;
};

}  // namespace streampick::net
