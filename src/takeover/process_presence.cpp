#include "takeover/process_presence.h"

#include <fcntl.h>
#include <unistd.h>

namespace streampick::takeover {
namespace {

constexpr off_t kMaxProcesses = 16;
constexpr const char* kFileName = "/streampick.present";
constexpr mode_t kOwnerOnly = 0600;

struct ByteRange {
  off_t first = 0;
  off_t count = 0;
};

struct flock write_lock(ByteRange range) {
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  lock.l_start = range.first;
  lock.l_len = range.count;
  return lock;
}

}  // namespace

ProcessPresence::ProcessPresence(const std::string& folder)
    : file_(::open((folder + kFileName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly)) {
  if (file_ < 0) return;
  // Open file description locks, not process locks: a child process that inherits the descriptor shares the
  // lock and does not count as another process.
  for (off_t byte = 0; byte < kMaxProcesses; ++byte) {
    struct flock lock = write_lock({.first = byte, .count = 1});
    if (::fcntl(file_, F_OFD_SETLK, &lock) == 0) return;
  }
}

ProcessPresence::~ProcessPresence() {
  if (file_ >= 0) ::close(file_);
}

bool ProcessPresence::is_only_process() const {
  if (file_ < 0) return true;
  // F_OFD_GETLK ignores locks of the same open file.
  struct flock lock = write_lock({.first = 0, .count = kMaxProcesses});
  return ::fcntl(file_, F_OFD_GETLK, &lock) != 0 || lock.l_type == F_UNLCK;
}

}  // namespace streampick::takeover
