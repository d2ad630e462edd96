// The threads of a client that run callbacks, unless the host supplies an executor or sets no such threads.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace streampick::plugin {

// A thread pool with one FIFO queue. It may be destroyed by a task that runs on one of its own threads.
class Workers {
 public:
  explicit Workers(std::size_t threads);
  // Runs the queued tasks and joins the threads. If a task of the pool calls the destructor, the thread that
  // runs that task is detached instead.
  ~Workers();
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;

  void run(std::function<void()> task);
  // Whether the caller runs on one of the pool's threads.
  bool on_worker_thread() const;

 private:
  struct Shared {
    std::mutex mutex;
    std::condition_variable work_available;
    std::deque<std::function<void()>> queue;
    bool stopping = false;
  };
  std::shared_ptr<Shared> shared_;
  std::vector<std::thread> threads_;
};

}  // namespace streampick::plugin
