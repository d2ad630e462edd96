// While it lives, threads that are started inherit a mask that blocks every signal: the host's handlers run
// on the host's threads.
#pragma once

#include <csignal>

namespace streampick::plugin {

class QuietSignals {
 public:
  QuietSignals() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before_);
  }
  ~QuietSignals() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
  QuietSignals(const QuietSignals&) = delete;
  QuietSignals& operator=(const QuietSignals&) = delete;

 private:
  sigset_t before_;
};

}  // namespace streampick::plugin
