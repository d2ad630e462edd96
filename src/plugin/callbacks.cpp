#include "plugin/callbacks.h"

#include <csignal>
#include <utility>

#include "plugin/quiet_signals.h"

namespace streampick::plugin {

Workers::Workers(std::size_t threads) : shared_(std::make_shared<Shared>()) {
  const ScopedSignalBlock block_signals;
  for (std::size_t i = 0; i < threads; ++i)
    threads_.emplace_back([shared = shared_] {
      std::unique_lock lock(shared->mutex);
      for (;;) {
        shared->work_available.wait(lock, [&] { return shared->stopping || !shared->queue.empty(); });
        if (shared->queue.empty()) return;
        {
          const std::function<void()> task = std::move(shared->queue.front());
          shared->queue.pop_front();
          lock.unlock();
          task();
        }
        lock.lock();
      }
    });
}

Workers::~Workers() {
  {
    const std::lock_guard lock(shared_->mutex);
    shared_->stopping = true;
  }
  shared_->work_available.notify_all();
  for (std::thread& thread : threads_)
    thread.get_id() == std::this_thread::get_id() ? thread.detach() : thread.join();
}

void Workers::run(std::function<void()> task) {
  {
    const std::lock_guard lock(shared_->mutex);
    shared_->queue.push_back(std::move(task));
  }
  shared_->work_available.notify_one();
}

bool Workers::on_worker_thread() const {
  for (const std::thread& thread : threads_)
    if (thread.get_id() == std::this_thread::get_id()) return true;
  return false;
}

}  // namespace streampick::plugin
