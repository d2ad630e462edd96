/// \file
/// What the engine has counted since its start.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "streampick/router.h"

namespace streampick::engine {

inline constexpr std::size_t kOutcomes = static_cast<std::size_t>(Outcome::invalid_request) + 1;

/// Counts of requests and attempts, for the log line and for tests.
struct Counters {
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled_by_client = 0;
  std::uint64_t deadline_guards = 0;  ///< the module left a request unanswered at its deadline
  std::uint64_t attempts = 0;
  std::uint64_t cancelled_attempts = 0;
  std::uint64_t cache_fills = 0;
  std::array<std::uint64_t, kOutcomes> outcomes{};  ///< of attempts, by Outcome

  /// All in one line, with `more` in its midst.
  [[nodiscard]] std::string summary(const std::string& more) const;
};

}  // namespace streampick::engine
