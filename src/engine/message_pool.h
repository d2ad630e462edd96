// Messages that are used again, with the memory of their texts: after warm-up a request allocates none for
// its own. For one thread.
#pragma once

#include <memory>
#include <memory_resource>
#include <utility>
#include <vector>

#include "engine/message.h"

namespace streampick::engine {

class MessagePool {
 public:
  // Empty, but for the memory that it had.
  std::shared_ptr<Message> take() {
    Store& store = *store_;
    std::unique_ptr<Message> message;
    if (store.free.empty()) {
      message = std::make_unique<Message>();
    } else {
      message = std::move(store.free.back());
      store.free.pop_back();
    }
    return {message.release(), GiveBack{store_}, Counts<Message>{store_}};
  }

 private:
  static constexpr std::size_t kMostFree = 1'024, kLongestKept = 512;
  struct Store {
    std::pmr::unsynchronized_pool_resource counts;  // of the shared pointers
    std::vector<std::unique_ptr<Message>> free;
  };
  // Of the shared pointers' counts. It holds the store, which must outlive the last of them.
  template <class T>
  struct Counts {
    using value_type = T;
    std::shared_ptr<Store> store;
    explicit Counts(std::shared_ptr<Store> of) : store(std::move(of)) {}
    template <class U>
    Counts(const Counts<U>& other) : store(other.store) {}
    T* allocate(std::size_t n) { return static_cast<T*>(store->counts.allocate(n * sizeof(T), alignof(T))); }
    void deallocate(T* p, std::size_t n) { store->counts.deallocate(p, n * sizeof(T), alignof(T)); }
    template <class U>
    bool operator==(const Counts<U>& other) const {
      return store == other.store;
    }
  };
  // Keeps the store until the last message is back.
  struct GiveBack {
    std::shared_ptr<Store> store;
    void operator()(Message* used) const {
      std::unique_ptr<Message> message(used);
      if (store->free.size() >= kMostFree) return;
      message->operation = Operation::read;
      message->accepts_streaming = false;
      message->memory = {};
      message->upload.reset();
      message->words.clear();
      for (std::string* text : {&message->target, &message->transaction_id, &message->idempotency_key,
                                &message->content_type, &message->body, &message->key}) {
        // What one client alone has made large is not kept for the others.
        if (text->capacity() > kLongestKept) std::string().swap(*text);
        text->clear();
      }
      store->free.push_back(std::move(message));
    }
  };
  std::shared_ptr<Store> store_ = std::make_shared<Store>();
};

}  // namespace streampick::engine
