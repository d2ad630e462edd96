// Where callbacks run: threads of the client's own, the host's executor, or the client's I/O thread.
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

// Runs what it is given on its threads, in the order given, each once. It can be ended from within one of
// them.
class Workers {
 public:
  explicit Workers(std::size_t threads);
  ~Workers();  // runs what is still waiting, then ends; a thread that ends it from within is not waited for
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;

  void run(std::function<void()> what);
  // Whether the caller runs on one of them.
  bool inside() const;

 private:
  struct Shared {
    std::mutex mutex;
    std::condition_variable some;
    std::deque<std::function<void()>> waiting;
    bool ending = false;
  };
  std::shared_ptr<Shared> shared_;
  std::vector<std::thread> threads_;
};

}  // namespace streampick::plugin
