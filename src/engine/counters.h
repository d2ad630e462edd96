/// \file
/// Counters of requests and attempts since the engine's start.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "streampick/router.h"

namespace streampick::engine {

inline constexpr std::size_t kOutcomes = static_cast<std::size_t>(Outcome::invalid_request) + 1;

/// For the summary in the log, the metrics and tests.
struct Counters {
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled_by_client = 0;
  std::uint64_t deadline_guards = 0;  ///< requests that the Router left unanswered at their deadline
  std::uint64_t attempts = 0;
  std::uint64_t cancelled_attempts = 0;
  std::uint64_t cache_fills = 0;
  std::array<std::uint64_t, kOutcomes> outcomes{};  ///< of attempts, by Outcome

  /// All counters in one line; `extra_fields` is inserted before the outcomes of attempts.
  [[nodiscard]] std::string summary(const std::string& extra_fields) const;
};

}  // namespace streampick::engine
