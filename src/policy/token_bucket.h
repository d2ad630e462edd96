#pragma once

#include <algorithm>

namespace streampick::policy {

/// A token bucket: refill() adds tokens up to a capacity, and try_take() removes one.
class TokenBucket {
 public:
  TokenBucket() = default;
  explicit TokenBucket(double capacity) : tokens_(capacity), capacity_(capacity) {}

  void set_capacity(double capacity) { capacity_ = capacity; }
  void set_tokens(double tokens) { tokens_ = tokens; }

  void refill(double tokens) { tokens_ = std::min(capacity_, tokens_ + tokens); }
  [[nodiscard]] bool has_token() const { return tokens_ >= 1; }
  /// Removes one token if there is one. Returns whether there was one.
  bool try_take() {
    if (!has_token()) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 0;
  double capacity_ = 0;
};

}  // namespace streampick::policy
