#pragma once

#include "policy/outcomes.h"
#include "policy/token_bucket.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Limits retries after attempts that may have run. Such a retry repeats work, mostly when the servers are
/// already overloaded. Retries after attempts that certainly did not run are free.
class RetryBudget {
 public:
  void on_first_attempt() { tokens_.refill(kRetriesPerFirstAttempt); }

  /// Whether a retry after `outcome` may be sent. Takes a token unless the retry is free.
  bool try_retry(Outcome outcome) { return never_ran(outcome) || tokens_.try_take(); }

 private:
  static constexpr double kRetriesPerFirstAttempt = 0.5;
  static constexpr double kBurst = 10;  // maximum number of saved retries

  TokenBucket tokens_{kBurst};
};

}  // namespace streampick::policy
