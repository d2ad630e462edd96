/// The operating system's file calls, behind an interface so that tests can make each of them fail.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace streampick::storage {

/// Each member makes one system call, returns its result and leaves `errno` as the call set it. This class
/// makes the real calls. It is stateless and thread-safe.
class FileCalls {
 public:
  FileCalls() = default;
  virtual ~FileCalls() = default;
  FileCalls(const FileCalls&) = delete;
  FileCalls& operator=(const FileCalls&) = delete;

  /// New files are readable and writable for their owner alone; descriptors are closed at exec.
  virtual int open(const std::string& path, int flags);
  virtual ssize_t read(int descriptor, char* into, std::size_t size);
  virtual ssize_t write(int descriptor, const char* from, std::size_t size);
  virtual int sync(int descriptor);
  virtual int close(int descriptor);
  virtual int rename(const std::string& from, const std::string& to);
  virtual int unlink(const std::string& path);
  /// Takes an exclusive lock of the open file without waiting: EWOULDBLOCK when another process holds it.
  virtual int try_lock(int descriptor);

  /// The instance that makes the real calls.
  static FileCalls& system();
};

}  // namespace streampick::storage
