/// The seed file on the disk: read once at the start, replaced as a whole as the roster changes. One that
/// can't be written is logged once for each reason and tried again with backoff. For one thread; calls block
/// for as long as the disk does.
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

  /// `path`: empty where no seed file is kept; then nothing here does anything.
  SeedFile(std::string path, Log log, storage::FileCalls& calls = storage::FileCalls::system());

  /// Reads the file. A file that can't be used is logged with its path and the reason.
  std::optional<engine::EndpointList> load(const Names& names, long long unix_ms,
                                           std::chrono::milliseconds max_age);

  /// There is a newer roster than the file's.
  void mark_changed() { has_changed_ = true; }
  /// Whether store() should be called at `now`.
  [[nodiscard]] bool is_due(Time now) const { return !path_.empty() && has_changed_ && now >= next_write_; }
  [[nodiscard]] bool has_changed() const { return !path_.empty() && has_changed_; }
  /// Replaces the file. Where that fails it stays as it was, and is_due() again after a backoff.
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
