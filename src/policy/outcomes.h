/// Conclusions from the outcome of an attempt.
#pragma once

#include "streampick/router.h"

namespace streampick::policy {

/// Whether an attempt with this outcome certainly had no effect on any server.
constexpr bool never_ran(Outcome outcome) {
  switch (outcome) {
    case Outcome::overloaded:
    case Outcome::connect_failed:
    case Outcome::not_sent:
    case Outcome::miss: return true;
    default: return false;
  }
}

/// Whether a failed connection was refused quickly, by a machine that is up, rather than timed out.
/// `connect_timeout` is in microseconds.
constexpr bool connection_refused(const AttemptResult& result, Time connect_timeout) {
  return 2 * result.duration < connect_timeout;
}

}  // namespace streampick::policy
