/// The seed file on disk: read once at the start, replaced atomically when the roster changes. A failed write
/// is logged once for each reason and retried with backoff. Not thread-safe; calls block on disk I/O.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "roster/etcd/seed.h"
#include "storage/durable_file.h"

namespace streampick::etcd {

class SeedFile {
 public:
  using Log = std::function<void(std::string_view)>;
  static constexpr Time kWriteInterval = 5'000'000;  ///< us
  static constexpr Time kMaxBackoff = 60'000'000;    ///< us

  /// `path`: empty if no seed file is configured; then every call is a no-op.
  SeedFile(std::string path, Log log, storage::FileCalls& calls = storage::FileCalls::system());

  /// Reads the file. If it can't be used, logs its path and the reason.
  std::optional<engine::StoredEndpointList> load(const Names& names, long long unix_ms,
                                                 std::chrono::milliseconds max_age);

  /// Records that the roster is newer than the file.
  void mark_changed() { has_changed_ = true; }
  /// Whether store() should be called at `now`.
  [[nodiscard]] bool is_due(Time now) const { return !path_.empty() && has_changed_ && now >= next_write_; }
  [[nodiscard]] bool has_changed() const { return !path_.empty() && has_changed_; }
  /// Replaces the file. On failure the file is unchanged and is_due() becomes true again after a backoff.
  void store(Time now, const engine::EndpointList& list, const Names& names, long long unix_ms);

 private:
  void failed(const storage::FileError& error, Time now);

  std::string path_;
  Log log_;
  storage::FileCalls& calls_;
  bool has_changed_ = false;
  Time next_write_ = 0;
  Time backoff_ = kWriteInterval;
  std::string last_problem_;
};

}  // namespace streampick::etcd
