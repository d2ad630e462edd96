#include "plugin/callbacks.h"

#include <csignal>
#include <utility>

#include "plugin/quiet_signals.h"

namespace streampick::plugin {

Workers::Workers(std::size_t threads) : shared_(std::make_shared<Shared>()) {
  const QuietSignals quiet;
  for (std::size_t i = 0; i < threads; ++i)
    threads_.emplace_back([shared = shared_] {
      std::unique_lock lock(shared->mutex);
      for (;;) {
        shared->some.wait(lock, [&] { return shared->ending || !shared->waiting.empty(); });
        if (shared->waiting.empty()) return;
        {
          const std::function<void()> what = std::move(shared->waiting.front());
          shared->waiting.pop_front();
          lock.unlock();
          what();
        }
        lock.lock();
      }
    });
}

Workers::~Workers() {
  {
    const std::lock_guard lock(shared_->mutex);
    shared_->ending = true;
  }
  shared_->some.notify_all();
  for (std::thread& thread : threads_)
    thread.get_id() == std::this_thread::get_id() ? thread.detach() : thread.join();
}

void Workers::run(std::function<void()> what) {
  {
    const std::lock_guard lock(shared_->mutex);
    shared_->waiting.push_back(std::move(what));
  }
  shared_->some.notify_one();
}

bool Workers::inside() const {
  for (const std::thread& thread : threads_)
    if (thread.get_id() == std::this_thread::get_id()) return true;
  return false;
}

}  // namespace streampick::plugin
