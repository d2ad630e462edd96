#include "streampick/client.h"

#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "engine/engine.h"
#include "net/log.h"
#include "net/upstream_resources.h"
#include "platform/node_settings.h"
#include "platform/transports.h"
#include "plugin/callbacks.h"
#include "plugin/calls.h"
#include "plugin/held_transport.h"
#include "plugin/host_clock.h"
#include "plugin/quiet_signals.h"
#include "plugin/rest.h"
#include "roster/discovery.h"

namespace streampick {

namespace asio = boost::asio;

namespace {

// Advised to calls that are rejected because too many calls are open.
constexpr auto kBusyRetryAfter = std::chrono::milliseconds(50);

platform::NodeSettings read(const ClientSettings& settings) {
  try {
    if (!settings.config.empty()) return platform::parse_settings(settings.config);
    if (settings.config_path.empty()) throw std::runtime_error("neither config nor config_path is set");
    return platform::load_settings(settings.config_path);
  } catch (const std::exception& error) {
    std::string what = error.what();
    std::replace(what.begin(), what.end(), '\n', ' ');
    throw ClientError("streampick client: " + what);
  }
}

std::uint32_t class_named(const platform::NodeSettings& settings, const std::string& name, bool safe) {
  const Names& names = settings.settings.names;
  const auto& classes = settings.settings.config.classes;
  if (!name.empty()) {
    const std::uint32_t found = index_of(names.classes, name);
    if (found == kNone) throw ClientError("streampick client: the settings have no class '" + name + "'");
    return found;
  }
  for (std::uint32_t i = 0; i < classes.size(); ++i)
    if ((classes[i].effect == Effect::safe) == safe) return i;
  return kNone;
}

}  // namespace

// The state behind a Call handle. plugin::Calls decides on the I/O thread how the call ends.
struct Call::State final : plugin::Calls::OpenCall {
  std::weak_ptr<Client::Impl> owner;
  Client::Callback callback;
  bool inline_callback = false;  // it only completes a future, so it runs on the I/O thread
  bool submitted = false;        // counted by idle_tracker
  std::atomic<bool> cancelled{false};

  void on_end(Result result) override;
  bool client_gone() override;
};

struct Client::Impl final : engine::EndpointDiscovery,
                            private engine::UpstreamFactory,
                            private engine::EndpointListObserver,
                            public std::enable_shared_from_this<Client::Impl> {
  using CallState = Call::State;

  explicit Impl(const ClientSettings& settings)
      : client_settings(settings),
        node(read(settings)),
        clock(io, [this](Time length) { on_suspension(length); }),
        // If discovery is polled there is no watch to close, and the engine schedules the polls.
        idle_tracker(node.settings.config.polls_discovery
                         ? 0
                         : std::chrono::microseconds(settings.idle_after).count()),
        idle_timer(io) {
    if (client_settings.idle_after.count() < 0)
      throw ClientError("streampick client: idle_after is negative");
    read_class = class_named(node, settings.read_class, true);
    save_class = class_named(node, settings.save_class, false);
    // Clients with equal settings must differ in their random numbers.
    std::random_device device;
    const std::uint64_t first_id =
        (static_cast<std::uint64_t>(device()) << 32U) ^ device() ^ node.settings.seed;
    const std::uint64_t seed = XXH3_64bits(&first_id, sizeof first_id);
    servers = make_servers(settings);
    descriptors = overload::DescriptorBudget(overload::DescriptorBudget::Limits{
        platform::descriptor_limits(node).total, 0, platform::descriptor_limits(node).total});
    resources.connections.share_descriptors(descriptors);
    resources.body_memory.set_limit(node.memory_mb * (1024 * 1024 / 4));
    resources.body_memory.short_messages.set_limit(node.memory_mb * (1024 * 1024 / 8));
    resources.connect_timeout = node.settings.config.connect_timeout;
    resources.cancellation = overload::CancellationPolicy(node.overload);
    resources.evict_idle_connection = [this] { engine->evict_idle_connection(); };
    engine::EngineSettings engine_settings{node.settings.config, seed};
    engine_settings.is_idle = [this] { return resources.connections.open() == 0; };
    engine.emplace(clock, engine_settings, static_cast<engine::UpstreamFactory&>(*this),
                   [](std::string_view text) { net::log(text); });
    servers->set_observer(*engine);
    const bool polls_discovery = node.settings.config.polls_discovery;
    discovery.emplace(io, node.settings.names, node.discovery, node.known.revision, !polls_discovery, seed,
                      static_cast<engine::EndpointListObserver&>(*this));
    calls.emplace(node.settings, first_id, [this] { return clock.real_now(); });
    calls->set_engine(*engine);
    engine->add(*calls);
    hold_timer.emplace(io);
    if (settings.callback_threads > 0 && !settings.run_callback)
      callback_threads = std::make_unique<plugin::Workers>(settings.callback_threads);
  }

  void start() {
    const plugin::ScopedSignalBlock block_signals;
    thread = std::thread([self = shared_from_this()] { self->run(); });
    thread_id = thread.get_id();
  }

  std::unique_ptr<platform::ServerTransports> make_servers(const ClientSettings& settings) {
    if (settings.options.empty() && settings.options_path.empty())
      return std::make_unique<platform::ServerTransports>(io, clock, resources, node);
    // This runs on the host's thread, which has no log sink of the client.
    const net::ScopedLogSink sink([this](std::string_view text) {
      if (client_settings.log) client_settings.log(text);
    });
#ifdef STREAMPICK_WITH_OPTIONS
    try {
      platform::Options options = settings.options.empty()
                                      ? platform::load_options(settings.options_path)
                                      : platform::parse_options(settings.options, "options");
      platform::resolve(options, node);
      return std::make_unique<platform::ServerTransports>(io, clock, resources, node, options);
    } catch (const options::Error& error) {
      throw ClientError(std::string("streampick client: ") + error.what());
    }
#else
    throw ClientError("streampick client: options: this library was built without STREAMPICK_OPTIONS");
#endif
  }

  // ---- The I/O thread

  void run() {
    net::ScopedLogSink sink([this](std::string_view text) {
      if (client_settings.log) client_settings.log(text);
    });
    engine->start(*this, node.known);
    if (!node.settings.config.polls_discovery) discovery->watch();
    while (!done) {
      clock.next_batch();
      if (io.run_one() == 0) break;
      ++wakeups;
    }
    // Ends the open calls and runs the queued handlers before the objects that they refer to are destroyed.
    discovery->stop();
    end_all();
    discovery.reset();
    engine.reset();
    const std::lock_guard lock(mutex);
    stopped = true;
    idle.notify_all();
  }

  void on_suspension(Time length) {
    ++suspensions;
    suspended_time += length;
    if (std::exchange(resuming, true)) return;
    asio::post(io, [this] { resume(); });
  }
  // Runs before anything else after a suspension, except for the rest of the handler that noticed it.
  void resume() {
    if (!std::exchange(resuming, false) || done) return;
    const Time length = std::exchange(suspended_time, 0);
    net::log("the host process was suspended for " + std::to_string(length / 1000) + " ms");
    engine->process_suspended(length);
    read_list();
  }
  // New attempts are held until the endpoint list arrives, or until hold_until().
  void read_list() {
    clock.suspension().await(discovery->refetch());
    hold_timer->expires_after(
        std::chrono::microseconds(std::max<Time>(0, clock.suspension().hold_until() - clock.real_now())));
    hold_timer->async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled) release();
    });
  }
  bool may_send() { return clock.suspension().may_send(clock.real_now()); }
  void release() {
    if (!may_send()) return;
    for (plugin::HeldTransport* transport : transports) transport->release();
  }

  std::unique_ptr<engine::Upstream> make(const std::string& name, std::uint32_t kind) override {
    auto inner = servers->make(name, kind);
    auto held = std::make_unique<plugin::HeldTransport>(std::move(inner), [this] { return may_send(); });
    plugin::HeldTransport* const raw = held.get();
    transports.push_back(raw);
    raw->on_destroy = [this, raw] { std::erase(transports, raw); };
    return held;
  }
  void watch() override { discovery->watch(); }
  void on_endpoint_list(const engine::EndpointList& list) override {
    if (resuming) resume();
    engine->on_endpoint_list(list);
    if (!list.complete) return;
    clock.suspension().on_list_read(list.request);
    release();
  }
  void on_discovery_failed() override { engine->on_discovery_failed(); }

  // ---- Calls

  void submit(const std::shared_ptr<CallState>& call, plugin::CallRequest request) {
    if (idle_tracker.on_call_started()) leave_idle();
    if (call->cancelled) return calls->finish(call, {.status = Status::cancelled});
    clock.now();  // detects a suspension that no timer has shown yet
    if (resuming) resume();
    calls->submit(call, std::move(request));
  }
  // The first call after an idle period.
  void leave_idle() {
    clock.suspension().hold(clock.real_now());
    engine->process_suspended(0);  // the client did not learn which connections and servers were lost
    read_list();
  }
  void schedule_idle_check(Time at) {
    idle_timer.expires_after(std::chrono::microseconds(std::max<Time>(0, at - clock.real_now())));
    idle_timer.async_wait([this](const boost::system::error_code& cancelled) {
      if (cancelled || done || !idle_tracker.enter_if_due(clock.real_now())) return;
      ++idle_periods;
      discovery->pause();
      while (engine->evict_idle_connection()) {
      }
    });
  }
  void call_ended(const std::shared_ptr<CallState>& call, Result result) {
    count(result.status);
    deliver(call, std::move(result));
    if (call->submitted) {
      if (const Time at = idle_tracker.on_call_ended(clock.real_now()); at > 0) schedule_idle_check(at);
    }
    if (--open_calls == 0) {
      const std::lock_guard lock(mutex);
      idle.notify_all();
    }
  }
  void count(Status status) {
    switch (status) {
      case Status::served: ++counts.served; break;
      case Status::rejected: ++counts.rejected; break;
      case Status::failed: ++counts.failed; break;
      case Status::cancelled: ++counts.cancelled; break;
      case Status::invalid: ++counts.invalid; break;
      case Status::not_found: ++counts.not_found; break;
    }
  }
  void deliver(const std::shared_ptr<CallState>& call, Result result) {
    ++pending_callbacks;
    struct Completion {
      Client::Callback callback;
      Result result;
    };
    auto run = [self = shared_from_this(), completion = std::make_shared<Completion>(
                                               std::exchange(call->callback, nullptr), std::move(result))] {
      try {
        completion->callback(std::move(completion->result));
      } catch (...) {
        // A callback that throws must not affect other calls: the exception is only counted.
        ++self->counts.callback_exceptions;
      }
      completion->callback = nullptr;  // destroys what it captured
      if (--self->pending_callbacks > 0) return;
      const std::lock_guard lock(self->mutex);
      self->idle.notify_all();
    };
    if (call->inline_callback) return run();
    if (client_settings.run_callback) return client_settings.run_callback(std::move(run));
    if (callback_threads) return callback_threads->run(std::move(run));
    asio::post(io, std::move(run));
  }
  void end_all() {
    calls->close();
    // Runs the posted handlers: calls that were not submitted to the engine yet end as cancelled.
    io.restart();
    io.poll();
  }

  ClientSettings client_settings;
  platform::NodeSettings node;
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(io);
  plugin::HostClock clock;
  overload::DescriptorBudget descriptors;
  net::UpstreamResources resources;
  std::vector<plugin::HeldTransport*> transports;
  std::unique_ptr<platform::ServerTransports> servers;  // the engine uses its transports
  std::optional<engine::Engine> engine;
  std::optional<discovery::Discovery> discovery;
  std::optional<asio::steady_timer> hold_timer;
  std::optional<plugin::Calls> calls;
  plugin::IdleTracker idle_tracker;
  asio::steady_timer idle_timer;
  std::uint32_t read_class = kNone, save_class = kNone;
  Time suspended_time = 0;  // us, not reported to the engine yet
  bool resuming = false, done = false;

  // ---- Used by all threads
  struct {
    std::atomic<std::uint64_t> calls{0}, served{0}, rejected{0}, failed{0}, cancelled{0}, invalid{0},
        not_found{0}, callback_exceptions{0};
  } counts;
  std::atomic<std::uint64_t> wakeups{0}, suspensions{0}, idle_periods{0};
  std::atomic<std::size_t> open_calls{0}, pending_callbacks{0};  // callbacks that are queued or run
  std::atomic<bool> draining{false};                             // no new calls are accepted
  std::atomic<bool> closing{false};                              // the client is being destroyed
  const pid_t pid = ::getpid();
  std::mutex mutex;
  std::condition_variable idle;
  bool stopped = false;
  std::unique_ptr<plugin::Workers> callback_threads;
  std::thread thread;
  std::thread::id thread_id;
};

void Call::State::on_end(Result result) {
  const auto client = owner.lock();
  if (client) client->call_ended(std::static_pointer_cast<State>(shared_from_this()), std::move(result));
}

// cancel() may be called on any thread, and the I/O thread handles it later: the engine asks here whether the
// call was cancelled meanwhile. The destruction of the client cancels all its calls.
bool Call::State::client_gone() {
  if (cancelled) return true;
  const auto client = owner.lock();
  return !client || client->closing;
}

void Call::cancel() const {
  const auto call = state_.lock();
  if (!call || call->cancelled.exchange(true)) return;
  const auto client = call->owner.lock();
  if (!client || ::getpid() != client->pid) return;
  asio::post(client->io, [client = client.get(), call] { client->calls->cancel(call); });
}

Client::Client(const ClientSettings& settings) : impl_(std::make_shared<Impl>(settings)) { impl_->start(); }

Client::~Client() {
  if (::getpid() != impl_->pid) {
    // In a forked child the client's threads do not exist, and mutexes that they held stay locked: the state
    // is leaked, because its destructor would block.
    new std::shared_ptr<Impl>(std::move(impl_));
    return;
  }
  impl_->draining = true;
  impl_->closing = true;
  const auto impl = impl_;
  asio::post(impl->io, [raw = impl.get()] { raw->done = true; });
  if (std::this_thread::get_id() == impl->thread_id) {
    impl->thread.detach();
    return;
  }
  impl->thread.join();
  impl->callback_threads.reset();  // runs the queued callbacks
}

Call Client::begin(bool save, std::string_view key, std::string value, const CallOptions& options,
                   Callback callback, bool inline_callback) {
  const auto call = std::make_shared<Call::State>();
  call->inline_callback = inline_callback;
  call->owner = impl_;
  call->callback = std::move(callback);
  if (::getpid() != impl_->pid) {
    // The client's threads and connections belong to the parent process, so the callback runs right here.
    call->callback({.status = Status::invalid,
                    .reason = "the process was forked: a child process must create its own client"});
    return {};
  }
  ++impl_->counts.calls;
  ++impl_->open_calls;
  plugin::CheckedCall checked =
      plugin::check_call(impl_->node.settings, save, save ? impl_->save_class : impl_->read_class, key,
                         std::move(value), options, impl_->clock.real_now());
  const auto finish = [this, call](Result result) {
    asio::post(impl_->io,
               [impl = impl_.get(), call, result = std::move(result)] { impl->calls->finish(call, result); });
  };
  if (!checked.error.empty()) {
    finish({.status = Status::invalid, .reason = checked.error});
    return Call(call);
  }
  if (impl_->draining) {
    finish({.status = Status::cancelled, .reason = "the client is draining or drained"});
    return Call(call);
  }
  if (impl_->open_calls > impl_->client_settings.max_open_calls) {
    finish({.status = Status::rejected, .retry_after = kBusyRetryAfter, .reason = "too many calls are open"});
    return Call(call);
  }
  call->submitted = true;
  asio::post(impl_->io, [impl = impl_.get(), call, request = std::move(checked.request)]() mutable {
    impl->submit(call, std::move(request));
  });
  return Call(call);
}

Call Client::get(std::string_view key, const CallOptions& options, Callback callback) {
  return begin(false, key, {}, options, std::move(callback), false);
}
Call Client::put(std::string_view key, std::string value, const CallOptions& options, Callback callback) {
  return begin(true, key, std::move(value), options, std::move(callback), false);
}

namespace {
std::pair<std::shared_ptr<std::promise<Result>>, std::future<Result>> promised() {
  auto promise = std::make_shared<std::promise<Result>>();
  auto future = promise->get_future();
  return {std::move(promise), std::move(future)};
}
}  // namespace

std::future<Result> Client::get(std::string_view key, const CallOptions& options) {
  auto [promise, future] = promised();
  const auto finish = [promise = promise](Result result) { promise->set_value(std::move(result)); };
  begin(false, key, {}, options, finish, true);
  return std::move(future);
}
std::future<Result> Client::put(std::string_view key, std::string value, const CallOptions& options) {
  auto [promise, future] = promised();
  const auto finish = [promise = promise](Result result) { promise->set_value(std::move(result)); };
  begin(true, key, std::move(value), options, finish, true);
  return std::move(future);
}

bool Client::drain(std::chrono::microseconds timeout) {
  impl_->draining = true;
  std::unique_lock lock(impl_->mutex);
  const bool all = impl_->idle.wait_for(
      lock, timeout, [&] { return impl_->open_calls == 0 && impl_->pending_callbacks == 0; });
  lock.unlock();
  if (all || impl_->open_calls == 0) return true;
  // Cancels the calls that are still open.
  std::promise<void> ended;
  asio::post(impl_->io, [impl = impl_.get(), &ended] {
    impl->calls->close();
    ended.set_value();
  });
  ended.get_future().wait();
  return false;
}

std::optional<bool> Client::is_safe(std::string_view request_class) const {
  const std::uint32_t found = index_of(impl_->node.settings.names.classes, std::string(request_class));
  if (found == kNone) return std::nullopt;
  return impl_->node.settings.config.classes[found].effect == Effect::safe;
}

ClientCounts Client::counts() const {
  ClientCounts out;
  out.wakeups = impl_->wakeups;
  if (::getpid() == impl_->pid && std::this_thread::get_id() != impl_->thread_id) {
    // Read on the I/O thread, where calls end: a call whose callback has run is not counted as open.
    std::promise<void> read;
    asio::post(impl_->io, [&] {
      // The wake-ups before this one. Read on another thread, the number might or might not include this one.
      out.wakeups = impl_->wakeups;
      out.attempts = impl_->engine->counts().attempts;
      out.cancels = impl_->engine->counts().cancelled_attempts;
      out.servers = impl_->engine->servers();
      out.connects = impl_->resources.connect_attempts;
      out.connections = impl_->resources.connections.open();
      read.set_value();
    });
    read.get_future().wait();
  }
  out.calls = impl_->counts.calls;
  out.served = impl_->counts.served;
  out.rejected = impl_->counts.rejected;
  out.failed = impl_->counts.failed;
  out.cancelled = impl_->counts.cancelled;
  out.invalid = impl_->counts.invalid;
  out.not_found = impl_->counts.not_found;
  out.callback_exceptions = impl_->counts.callback_exceptions;
  out.suspensions = impl_->suspensions;
  out.idle_periods = impl_->idle_periods;
  out.open = impl_->open_calls;
  return out;
}

}  // namespace streampick
