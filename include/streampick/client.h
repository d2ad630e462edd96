// The router inside a host process: the same engine and decisions as the daemon's, called instead of asked
// over a socket. One Client is one router: its fleet, its settings, its limits, its random numbers and its
// connections are its own, also where a process has several.
//
// All functions may be called from any thread. A call ends exactly once, by its callback, whatever happens:
// also when the client is drained or destroyed, then with Status::withdrawn.
#pragma once

#include <chrono>
#include <coroutine>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#if defined(__GNUC__)
#define STREAMPICK_API __attribute__((visibility("default")))
#else
#define STREAMPICK_API
#endif

namespace streampick {

// Of settings, or of a use that can never work; says what is wrong in one line.
class STREAMPICK_API ClientError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class Status : std::uint8_t {
  served,     // `value` is what a server answered to this call
  refused,    // nothing ran, or a repeat does no harm; `retry_after` says when to come back
  failed,     // no answer in time, or none that could be used; see `may_have_run`
  withdrawn,  // by cancel(), by the client's drain or its end
  invalid,    // the call could never be sent: `reason` says why. Nothing ran
  absent,     // there is no such key: an answer, and no failure. Asking again changes nothing
};

struct Result {
  Status status = Status::failed;
  std::string value = {}, content_type = {};
  bool late = false;                         // failed because its time was up
  bool absent = false;                       // the same as Status::absent; kept for a time
  bool may_have_run = false;                 // some server may have carried it out
  std::chrono::microseconds retry_after{0};  // of a refusal; 0: no advice
  std::string reason = {};
};

struct CallOptions {
  std::string request_class = {};  // as the settings name it; empty: the client's default for reads or saves
  std::string tenant = {};         // empty: none
  std::chrono::microseconds deadline{0};  // from the call on; 0: the class's. Never longer than the class's
  std::string idempotency_key = {};       // of a keyed save; empty: one of its own
  std::string content_type = {};          // of a save's value
};

struct ClientSettings {
  std::string config = {};       // the platform's configuration: JSON text
  std::string config_path = {};  // ... or a file with it, read at once
  // The operator's options file, where the library was built with options: its text, or its path. Its servers
  // that speak RESP are spoken to so; what is the daemon's alone ([resp.front]) is checked and left.
  std::string options = {}, options_path = {};
  std::string read_class = {},
              save_class = {};  // defaults; empty: the first safe class, and the first that is not
  // Threads that callbacks run on. 0: on the client's own thread, which then carries nothing while one runs.
  std::size_t callback_threads = 2;
  // Where callbacks run instead, if it is set: it must run what it is given, once, and never within the call.
  std::function<void(std::function<void()>)> run_callback = {};
  std::function<void(std::string_view)> log = {};  // from any thread; none: nothing is logged
  std::size_t most_calls = 10'000;                 // open at a time; what comes beyond is refused at once
  // After so long without an open call the client rests: its connections and its watch on the list of servers
  // are closed, and nothing wakes it. The call that ends a rest waits until the list has been read, half a
  // second at most. 0: never. For programs that call a few times a minute.
  std::chrono::milliseconds rest_after{0};
};

struct ClientCounts {
  std::uint64_t calls = 0, served = 0, refused = 0, failed = 0, withdrawn = 0, invalid = 0, absent = 0;
  std::uint64_t attempts = 0, cancels = 0, dials = 0, threw = 0, pauses = 0, wakeups = 0, rests = 0;
  std::size_t open = 0, connections = 0, servers = 0;
};

class Client;

// One call, to cancel it. Copies name the same call; one that has ended is not harmed.
class STREAMPICK_API Call {
 public:
  Call() = default;
  void cancel() const;  // it ends as withdrawn, unless it has ended already

 private:
  friend class Client;
  struct State;
  explicit Call(std::weak_ptr<State> state) : state_(std::move(state)) {}
  std::weak_ptr<State> state_;
};

class STREAMPICK_API Client {
 public:
  using Callback = std::function<void(Result)>;

  // Throws ClientError.
  explicit Client(const ClientSettings& settings);
  // Open calls end as withdrawn. May be called from within a callback of its own.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  Call get(std::string_view key, const CallOptions& options, Callback callback);
  Call put(std::string_view key, std::string value, const CallOptions& options, Callback callback);

  std::future<Result> get(std::string_view key, const CallOptions& options = {});
  std::future<Result> put(std::string_view key, std::string value, const CallOptions& options = {});

  // For co_await. The coroutine goes on where callbacks run.
  class Awaitable;
  Awaitable async_get(std::string_view key);
  Awaitable async_get(std::string_view key, const CallOptions& options);
  Awaitable async_put(std::string_view key, std::string_view value);
  Awaitable async_put(std::string_view key, std::string_view value, const CallOptions& options);

  // Takes no more calls, waits until the open ones have ended and their callbacks have returned, and then
  // withdraws what is left. Returns whether none was.
  // Not to be called from within a callback.
  bool drain(std::chrono::microseconds longest);
  ClientCounts counts() const;
  // Whether requests of a class are safe, that is reads; nothing: the settings have no class of that name.
  std::optional<bool> is_safe(std::string_view request_class) const;

 private:
  friend class Call;
  struct Impl;
  Call begin(bool save, std::string_view key, std::string value, const CallOptions& options,
             Callback callback, bool direct);
  std::shared_ptr<Impl> impl_;
};

class Client::Awaitable {
 public:
  bool await_ready() const noexcept { return false; }
  void await_suspend(std::coroutine_handle<> waiting) {
    const auto resume = [this, waiting](Result result) {
      result_ = std::move(result);
      waiting.resume();
    };
    if (save_) {
      client_.put(key_, std::move(value_), options_, resume);
    } else {
      client_.get(key_, options_, resume);
    }
  }
  Result await_resume() { return std::move(result_); }

 private:
  friend class Client;
  Awaitable(Client& client, bool save, std::string_view key, std::string_view value,
            const CallOptions& options)
      : client_(client), save_(save), key_(key), value_(value), options_(options) {}
  Client& client_;
  bool save_;
  std::string key_, value_;
  CallOptions options_;
  Result result_;
};

inline Client::Awaitable Client::async_get(std::string_view key) { return async_get(key, CallOptions()); }
inline Client::Awaitable Client::async_get(std::string_view key, const CallOptions& options) {
  return {*this, false, key, {}, options};
}
inline Client::Awaitable Client::async_put(std::string_view key, std::string_view value) {
  return async_put(key, value, CallOptions());
}
inline Client::Awaitable Client::async_put(std::string_view key, std::string_view value,
                                           const CallOptions& options) {
  return {*this, true, key, value, options};
}

}  // namespace streampick
