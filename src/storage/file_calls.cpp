#include "storage/file_calls.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cstdio>

namespace streampick::storage {
namespace {
constexpr mode_t kOwnerOnly = 0600;
}  // namespace

int FileCalls::open(const std::string& path, int flags) {
  return ::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly);
}

ssize_t FileCalls::read(int descriptor, char* into, std::size_t size) {
  return ::read(descriptor, into, size);
}

ssize_t FileCalls::write(int descriptor, const char* from, std::size_t size) {
  return ::write(descriptor, from, size);
}

int FileCalls::sync(int descriptor) { return ::fsync(descriptor); }

int FileCalls::close(int descriptor) { return ::close(descriptor); }

int FileCalls::rename(const std::string& from, const std::string& to) {
  return std::rename(from.c_str(), to.c_str());
}

int FileCalls::unlink(const std::string& path) { return ::unlink(path.c_str()); }

int FileCalls::try_lock(int descriptor) { return ::flock(descriptor, LOCK_EX | LOCK_NB); }

FileCalls& FileCalls::system() {
  static FileCalls calls;
  return calls;
}

}  // namespace streampick::storage
