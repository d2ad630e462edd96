/// \file
/// The router as a library: the daemon's engine and decisions, called within the host process. Each Client is
/// one router with its own settings, limits, random numbers and connections; a process may have several.
///
/// All functions may be called from any thread. Each call ends exactly once, by its callback. A client that
/// is drained or destroyed ends its open calls with Status::cancelled.
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

/// Invalid settings, or a use that can never work. what() is one line.
class STREAMPICK_API ClientError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class Status : std::uint8_t {
  served,     ///< `value` is what a server answered to this call
  rejected,   ///< nothing ran, or a retry does no harm; `retry_after` is the earliest time for one
  failed,     ///< no usable answer within the deadline; see `may_have_run`
  cancelled,  ///< by Call::cancel(), Client::drain() or the client's destructor
  invalid,    ///< the call could not be sent: `reason` says why. Nothing ran
  not_found,  ///< the key does not exist; a retry does not change that
};

struct Result {
  Status status = Status::failed;
  std::string value = {}, content_type = {};
  bool late = false;                         ///< failed at its deadline
  bool not_found = false;                    ///< the same as Status::not_found
  bool may_have_run = false;                 ///< some server may have executed it
  std::chrono::microseconds retry_after{0};  ///< rejected: from now; 0: no advice
  std::string reason = {};                   ///< one line for people; may be empty
};

struct CallOptions {
  std::string request_class = {};  ///< a name in the settings; empty: the client's default for reads or saves
  std::string tenant = {};         ///< empty: none
  std::chrono::microseconds deadline{0};  ///< from the call; 0: the class's, which is also the maximum
  std::string idempotency_key = {};       ///< of a keyed save; empty: a generated one
  std::string content_type = {};          ///< of a save's value
};

struct ClientSettings {
  std::string config = {};       ///< the platform's configuration: JSON text
  std::string config_path = {};  ///< ... or the path of a file with it, which the constructor reads
  /// The operator's options file, if the library was built with options: its text, or its path. Servers that
  /// it lists as RESP servers are reached by RESP; sections for the daemon alone ([resp.front]) are only
  /// checked.
  std::string options = {}, options_path = {};
  /// Default classes; empty: the first safe class, and the first that is not safe.
  std::string read_class = {}, save_class = {};
  /// Threads that run callbacks. 0: the client's own thread, which does nothing else while a callback runs.
  std::size_t callback_threads = 2;
  /// Replaces the callback threads: must run its argument once, and never within the call.
  std::function<void(std::function<void()>)> run_callback = {};
  std::function<void(std::string_view)> log = {};  ///< called from any thread; empty: no log
  std::size_t max_open_calls = 10'000;             ///< further calls are rejected at once
  /// After so long without an open call the client closes its connections and its discovery watch and
  /// schedules no wake-ups. The next call waits until the endpoint list has been read, for half a second at
  /// most. 0: never. For programs that make a few calls a minute.
  std::chrono::milliseconds idle_after{0};
};

struct ClientCounts {
  std::uint64_t calls = 0, served = 0, rejected = 0, failed = 0, cancelled = 0, invalid = 0, not_found = 0;
  std::uint64_t attempts = 0, cancels = 0;
  std::uint64_t connects = 0;             ///< connections started
  std::uint64_t callback_exceptions = 0;  ///< callbacks that threw
  std::uint64_t suspensions = 0;          ///< times that the process was found to have been suspended
  std::uint64_t wakeups = 0;
  std::uint64_t idle_periods = 0;  ///< see ClientSettings::idle_after
  std::size_t open = 0, connections = 0, servers = 0;
};

class Client;

/// A handle to cancel a call. Copies name the same call.
class STREAMPICK_API Call {
 public:
  Call() = default;
  /// Ends the call with Status::cancelled, unless it has ended already.
  void cancel() const;

 private:
  friend class Client;
  struct State;
  explicit Call(std::weak_ptr<State> state) : state_(std::move(state)) {}
  std::weak_ptr<State> state_;
};

class STREAMPICK_API Client {
 public:
  using Callback = std::function<void(Result)>;

  /// Throws ClientError.
  explicit Client(const ClientSettings& settings);
  /// Cancels open calls. May be called from within one of the client's callbacks.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  Call get(std::string_view key, const CallOptions& options, Callback callback);
  Call put(std::string_view key, std::string value, const CallOptions& options, Callback callback);

  std::future<Result> get(std::string_view key, const CallOptions& options = {});
  std::future<Result> put(std::string_view key, std::string value, const CallOptions& options = {});

  /// For co_await. The coroutine resumes where callbacks run.
  class Awaitable;
  Awaitable async_get(std::string_view key);
  Awaitable async_get(std::string_view key, const CallOptions& options);
  Awaitable async_put(std::string_view key, std::string_view value);
  Awaitable async_put(std::string_view key, std::string_view value, const CallOptions& options);

  /// Accepts no more calls and waits until the open ones have ended and their callbacks have returned. Calls
  /// still open after `timeout` are cancelled. Returns whether there were none. Not to be called from within
  /// a callback.
  bool drain(std::chrono::microseconds timeout);
  ClientCounts counts() const;
  /// Whether requests of a class are safe, that is reads; nothing if the settings have no such class.
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
