/// Operators' overrides, which take precedence over endpoint lists and the decision module: endpoints that
/// are disabled, and whether clients are drained. No I/O; not thread-safe.
///
///   - A disabled endpoint stays disabled until an operator enables it, whatever endpoint lists say, and also
///     when another process takes over.
///   - An endpoint may be restarted while it is disabled: when enabled it counts as started at that moment,
///     until a list names a later start.
///   - Commands are idempotent: one command that enables an endpoint undoes any number that disabled it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "streampick/router.h"

namespace streampick::control {

class AdminOverrides {
 public:
  struct Endpoint {
    bool is_disabled = false;
    Time changed_at = 0;  ///< Unix time when it was last disabled or enabled
    friend bool operator==(const Endpoint&, const Endpoint&) = default;
  };
  using Endpoints = std::map<std::string, Endpoint>;  ///< by id

  static constexpr std::size_t kMaxEndpoints = 1'024;
  static constexpr std::size_t kMaxIdSize = 256;                         ///< bytes
  static constexpr std::size_t kMaxTextSize = std::size_t{1024} * 1024;  ///< bytes
  /// Microseconds for which the override of an enabled endpoint is kept, at least.
  static constexpr Time kRetention = 900'000'000;

  /// `now` is Unix time, because another process with another monotonic clock may read the overrides.
  /// Returns false when `id` would be one more than kMaxEndpoints.
  bool disable(const std::string& id, Time now);
  /// Returns false when the endpoint was not disabled.
  bool enable(const std::string& id, Time now);
  [[nodiscard]] bool is_disabled(const std::string& id) const;

  void set_draining(bool draining) { is_draining_ = draining; }
  [[nodiscard]] bool is_draining() const { return is_draining_; }

  [[nodiscard]] const Endpoints& endpoints() const { return endpoints_; }
  /// Removes endpoints that were enabled more than kRetention ago by the wall clock and that are unchanged in
  /// `past_retention`, which the caller selects by its monotonic clock: the wall clock may have stepped.
  void remove_expired(Time now, const Endpoints& past_retention);

  /// The text from which the next process of this router parses the overrides.
  [[nodiscard]] std::string serialize() const;
  /// Throws std::runtime_error with a message of one line when `text` is malformed.
  static AdminOverrides parse(const std::string& text);

  friend bool operator==(const AdminOverrides&, const AdminOverrides&) = default;

 private:
  Endpoints endpoints_;
  bool is_draining_ = false;
};

}  // namespace streampick::control
