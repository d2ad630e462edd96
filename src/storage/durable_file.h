/// Atomic replacement of small files: a reader finds either the old text or the new one, also after a crash
/// at any moment. The text is written to a temporary file in the same folder, which is synced and renamed;
/// then the folder is synced.
///
/// The functions block on disk I/O. They keep no state and are thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "storage/file_calls.h"

namespace streampick::storage {

/// The step at which an operation on a file failed.
enum class FileStep : std::uint8_t {
  open,
  read,
  write,
  sync,
  close,
  rename,
  open_folder,
  sync_folder,
  open_lock,
  lock,
};

struct FileError {
  FileStep step = FileStep::open;
  int error_number = 0;  ///< a value of `errno`
  std::string path;

  friend bool operator==(const FileError&, const FileError&) = default;
};

/// One line: the path, the step and the system's message for the error.
std::string to_string(const FileError& error);

/// Replaces the file at `path` by one that holds `text`. Returns nothing when the new text is on the disk.
/// After an error the file holds the complete old text. If the error is at the last step, the sync of the
/// folder, the file holds the complete new text, and a crash of the machine may bring the old one back. The
/// temporary file is removed in all cases.
[[nodiscard]] std::optional<FileError> replace_file(const std::string& path, std::string_view text,
                                                    FileCalls& calls = FileCalls::system());

/// Reads the whole file, but at most `max_size` + 1 bytes, so that the caller can tell a longer file. Fails
/// with EINVAL when `path` is not a regular file.
[[nodiscard]] std::variant<std::string, FileError> read_file(const std::string& path, std::size_t max_size,
                                                             FileCalls& calls = FileCalls::system());

/// Removes temporary files of `path` whose writers were killed. Temporary files of processes that still run
/// stay. Returns the number of files removed.
std::size_t remove_stale_temporaries(const std::string& path, FileCalls& calls = FileCalls::system());

}  // namespace streampick::storage
