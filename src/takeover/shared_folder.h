/// The file through which two processes of one router share the operators' overrides during a takeover. A
/// writer holds a lock and replaces the whole file: readers find the old or the new text, and no concurrent
/// change is lost. Nothing is written without the lock.
///
/// A file that is malformed or cannot be read has no effect; it is logged once, with its name and the reason.
/// Not thread-safe. No function waits for the lock.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "control/admin_overrides.h"
#include "storage/descriptor.h"
#include "storage/durable_file.h"

namespace streampick::takeover {

class SharedFolder {
 public:
  using Log = std::function<void(std::string_view)>;
  /// Removes temporary files of writers that were killed.
  SharedFolder(const std::string& folder, Log log, storage::FileCalls& calls = storage::FileCalls::system());

  /// The overrides in the file, if it is well-formed and has changed since this object last read or wrote it.
  std::optional<control::AdminOverrides> read_if_changed();

  /// Reads the file, applies `update` and writes the result, under the lock. `fallback` is updated when the
  /// file is missing or malformed. Returns the stored overrides, or an error. After an error the file is
  /// unchanged, except that it may hold the update after an error at FileStep::sync_folder. FileStep::lock
  /// with EWOULDBLOCK: another process holds the lock.
  std::variant<control::AdminOverrides, storage::FileError> update(
      const control::AdminOverrides& fallback, const std::function<void(control::AdminOverrides&)>& update);

 private:
  std::variant<storage::Descriptor, storage::FileError> lock();
  std::variant<std::optional<control::AdminOverrides>, storage::FileError> read();
  void log_once(const std::string& problem);

  std::string path_;
  std::string lock_path_;
  Log log_;
  storage::FileCalls& calls_;
  /// Inode, size and modification time of the file when last read or written; empty: it did not exist.
  std::string last_stamp_;
  std::string last_problem_;
};

}  // namespace streampick::takeover
