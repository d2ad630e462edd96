#include "takeover/presence.h"

#include <fcntl.h>
#include <unistd.h>

namespace streampick::takeover {
namespace {

constexpr off_t kMostProcesses = 16;

struct flock write_lock(off_t from, off_t length) {
  struct flock out {};
  out.l_type = F_WRLCK;
  out.l_whence = SEEK_SET;
  out.l_start = from;
  out.l_len = length;
  return out;
}

}  // namespace

// Locks of the open file, not of the process: those of a child that has the descriptor too are no others.
Presence::Presence(const std::string& folder)
    : file_(::open((folder + "/streampick.present").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
  for (off_t byte = 0; file_ >= 0 && byte < kMostProcesses; ++byte) {
    struct flock lock = write_lock(byte, 1);
    if (::fcntl(file_, F_OFD_SETLK, &lock) == 0) return;
  }
}

Presence::~Presence() {
  if (file_ >= 0) ::close(file_);
}

bool Presence::alone() const {
  if (file_ < 0) return true;
  struct flock lock = write_lock(0, kMostProcesses);
  return ::fcntl(file_, F_OFD_GETLK, &lock) != 0 || lock.l_type == F_UNLCK;
}

}  // namespace streampick::takeover
