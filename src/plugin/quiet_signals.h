// Blocks every signal in the calling thread. Threads that are started meanwhile inherit the mask, so that the
// host's signal handlers run only on the host's own threads.
#pragma once

#include <csignal>

namespace streampick::plugin {

class ScopedSignalBlock {
 public:
  ScopedSignalBlock() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &previous_mask_);
  }
  ~ScopedSignalBlock() { pthread_sigmask(SIG_SETMASK, &previous_mask_, nullptr); }
  ScopedSignalBlock(const ScopedSignalBlock&) = delete;
  ScopedSignalBlock& operator=(const ScopedSignalBlock&) = delete;

 private:
  sigset_t previous_mask_;
};

}  // namespace streampick::plugin
