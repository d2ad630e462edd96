/// \file
/// A pool of Messages that keep the capacity of their strings, so that requests allocate no message memory
/// after warm-up. Single-threaded.
#pragma once

#include <memory>
#include <memory_resource>
#include <utility>
#include <vector>

#include "engine/message.h"

namespace streampick::engine {

class MessagePool {
 public:
  /// Returns an empty message, which goes back to the pool with its last reference.
  std::shared_ptr<Message> acquire() {
    Store& store = *store_;
    std::unique_ptr<Message> message;
    if (store.free.empty()) {
      message = std::make_unique<Message>();
    } else {
      message = std::move(store.free.back());
      store.free.pop_back();
    }
    return {message.release(), ReturnToPool{store_}, CountAllocator<Message>{store_}};
  }

 private:
  static constexpr std::size_t kMaxFreeMessages = 1'024;
  static constexpr std::size_t kMaxKeptCapacity = 512;
  struct Store {
    std::pmr::unsynchronized_pool_resource counts;  // memory of the shared pointers' reference counts
    std::vector<std::unique_ptr<Message>> free;
  };
  // Allocates the reference counts. Keeps the store alive, which must outlive the last of them.
  template <class T>
  struct CountAllocator {
    using value_type = T;
    std::shared_ptr<Store> store;
    explicit CountAllocator(std::shared_ptr<Store> of) : store(std::move(of)) {}
    template <class U>
    CountAllocator(const CountAllocator<U>& other) : store(other.store) {}
    T* allocate(std::size_t n) { return static_cast<T*>(store->counts.allocate(n * sizeof(T), alignof(T))); }
    void deallocate(T* p, std::size_t n) { store->counts.deallocate(p, n * sizeof(T), alignof(T)); }
    template <class U>
    bool operator==(const CountAllocator<U>& other) const {
      return store == other.store;
    }
  };
  // Keeps the store alive until the last message has been returned.
  struct ReturnToPool {
    std::shared_ptr<Store> store;
    void operator()(Message* used) const {
      std::unique_ptr<Message> message(used);
      if (store->free.size() >= kMaxFreeMessages) return;
      message->operation = Operation::read;
      message->accepts_streaming = false;
      message->memory = {};
      message->upload.reset();
      message->words.clear();
      for (std::string* text : {&message->target, &message->transaction_id, &message->idempotency_key,
                                &message->content_type, &message->body, &message->key}) {
        // Memory for one unusually long text is not kept.
        if (text->capacity() > kMaxKeptCapacity) std::string().swap(*text);
        text->clear();
      }
      store->free.push_back(std::move(message));
    }
  };
  std::shared_ptr<Store> store_ = std::make_shared<Store>();
};

}  // namespace streampick::engine
