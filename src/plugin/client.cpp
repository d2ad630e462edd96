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

constexpr auto kBusy = std::chrono::milliseconds(50);  // when to come back, where too many calls are open

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

// A call as the host holds it. What becomes of it is decided on the I/O thread, by plugin::Calls.
struct Call::State final : plugin::Calls::Open {
  std::weak_ptr<Client::Impl> owner;
  Client::Callback callback;
  bool inline_callback = false;  // it does no more than to wake somebody: no thread is needed
  bool submitted = false;        // told to the rest, which counts those that are open
  std::atomic<bool> cancelled{false};

  void ended(Result result) override;
  bool client_gone() override;
};

struct Client::Impl final : engine::EndpointDiscovery,
                            private engine::UpstreamFactory,
                            private engine::EndpointListObserver,
                            public std::enable_shared_from_this<Client::Impl> {
  using CallState = Call::State;

  explicit Impl(const ClientSettings& settings)
      : own(settings),
        told(read(settings)),
        clock(io, [this](Time length) { stood_still(length); }),
        // Where the list is asked for, the module says when: there is no watch to end.
        rest(told.settings.config.polls_discovery ? 0
                                                  : std::chrono::microseconds(settings.idle_after).count()),
        rest_timer(io) {
    if (own.idle_after.count() < 0) throw ClientError("streampick client: idle_after is below 0");
    read_class = class_named(told, settings.read_class, true);
    save_class = class_named(told, settings.save_class, false);
    // No two clients draw alike, also those that were given the same settings.
    std::random_device device;
    const std::uint64_t first_id =
        (static_cast<std::uint64_t>(device()) << 32U) ^ device() ^ told.settings.seed;
    const std::uint64_t seed = XXH3_64bits(&first_id, sizeof first_id);
    servers = make_servers(settings);
    descriptors = overload::DescriptorBudget(overload::DescriptorBudget::Limits{
        platform::descriptor_limits(told).total, 0, platform::descriptor_limits(told).total});
    resources.connections.share_descriptors(descriptors);
    resources.body_memory.set_limit(told.memory_mb * (1024 * 1024 / 4));
    resources.connect_timeout = told.settings.config.connect_timeout;
    resources.cancellation = overload::CancellationPolicy(told.overload);
    resources.evict_idle_connection = [this] { engine->evict_idle_connection(); };
    engine::EngineSettings engine_settings{told.settings.config, seed};
    engine_settings.is_idle = [this] { return resources.connections.open() == 0; };
    engine.emplace(clock, engine_settings, static_cast<engine::UpstreamFactory&>(*this),
                   [](std::string_view text) { net::log(text); });
    servers->set_observer(*engine);
    const bool polls_discovery = told.settings.config.polls_discovery;
    discovery.emplace(io, told.settings.names, told.discovery, told.known.revision, !polls_discovery, seed,
                      static_cast<engine::EndpointListObserver&>(*this));
    calls.emplace(told.settings, first_id, [this] { return clock.real_now(); });
    calls->ask_from(*engine);
    engine->add(*calls);
    hold_over.emplace(io);
    if (settings.callback_threads > 0 && !settings.run_callback)
      workers = std::make_unique<plugin::Workers>(settings.callback_threads);
  }

  void start() {
    const plugin::QuietSignals quiet;
    thread = std::thread([self = shared_from_this()] { self->run(); });
    thread_id = thread.get_id();
  }

  std::unique_ptr<platform::ServerTransports> make_servers(const ClientSettings& settings) {
    if (settings.options.empty() && settings.options_path.empty())
      return std::make_unique<platform::ServerTransports>(io, clock, resources, told);
    // On the host's own thread, whose log is not ours.
    const net::ScopedLogSink sink([this](std::string_view text) {
      if (own.log) own.log(text);
    });
#ifdef STREAMPICK_WITH_OPTIONS
    try {
      platform::Options options = settings.options.empty()
                                      ? platform::load_options(settings.options_path)
                                      : platform::parse_options(settings.options, "options");
      platform::resolve(options, told);
      return std::make_unique<platform::ServerTransports>(io, clock, resources, told, options);
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
      if (own.log) own.log(text);
    });
    engine->start(*this, told.known);
    if (!told.settings.config.polls_discovery) discovery->watch();
    while (!done) {
      clock.next_batch();
      if (io.run_one() == 0) break;
      ++wakeups;
    }
    // What is left has an owner no more; handlers that are still queued must not outlive what they name.
    discovery->stop();
    end_all();
    discovery.reset();
    engine.reset();
    const std::lock_guard lock(mutex);
    stopped = true;
    idle.notify_all();
  }

  void stood_still(Time length) {
    ++pauses;
    paused += length;
    if (std::exchange(resuming, true)) return;
    asio::post(io, [this] { resume(); });
  }
  // The first thing that is done after a pause, or the next one but for the handler that was being run.
  void resume() {
    if (!std::exchange(resuming, false) || done) return;
    const Time length = std::exchange(paused, 0);
    net::log("the host stood still for " + std::to_string(length / 1000) + " ms");
    engine->process_suspended(length);
    read_list();
  }
  // Nothing new is sent until the list is in.
  void read_list() {
    discovery->refetch();
    hold_over->expires_after(
        std::chrono::microseconds(std::max<Time>(0, clock.resume().hold_until() - clock.real_now())));
    hold_over->async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled) release();
    });
  }
  bool may_send() { return clock.resume().may_send(clock.real_now()); }
  void release() {
    if (!may_send()) return;
    for (plugin::HeldTransport* transport : transports) transport->release();
  }

  std::unique_ptr<engine::Upstream> make(const std::string& name, std::uint32_t kind) override {
    auto inner = servers->make(name, kind);
    auto held = std::make_unique<plugin::HeldTransport>(std::move(inner), [this] { return may_send(); });
    plugin::HeldTransport* const raw = held.get();
    transports.push_back(raw);
    raw->on_end = [this, raw] { std::erase(transports, raw); };
    return held;
  }
  void watch() override { discovery->watch(); }
  void on_endpoint_list(const engine::EndpointList& list) override {
    if (resuming) resume();
    engine->on_endpoint_list(list);
    if (!list.complete) return;
    clock.resume().list_read();
    release();
  }
  void on_discovery_failed() override { engine->on_discovery_failed(); }

  // ---- Calls

  void submit(const std::shared_ptr<CallState>& call, plugin::Asked asked) {
    if (rest.began()) wake();
    if (call->cancelled) return calls->finish(call, {.status = Status::cancelled});
    clock.now();  // a pause shows here at the latest
    if (resuming) resume();
    calls->submit(call, std::move(asked));
  }
  // Asked for again after a rest.
  void wake() {
    clock.resume().hold(clock.real_now());
    engine->process_suspended(0);  // what went meanwhile went unheard of, connections and servers
    read_list();
  }
  void look_at_rest(Time at) {
    rest_timer.expires_after(std::chrono::microseconds(std::max<Time>(0, at - clock.real_now())));
    rest_timer.async_wait([this](const boost::system::error_code& cancelled) {
      if (cancelled || done || !rest.begins(clock.real_now())) return;
      ++rests;
      discovery->pause();
      while (engine->evict_idle_connection()) {
      }
    });
  }
  void call_ended(const std::shared_ptr<CallState>& call, Result result) {
    count(result.status);
    deliver(call, std::move(result));
    if (call->submitted) {
      if (const Time at = rest.ended(clock.real_now()); at > 0) look_at_rest(at);
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
    ++telling;
    struct Told {
      Client::Callback callback;
      Result result;
    };
    auto run = [self = shared_from_this(),
                told = std::make_shared<Told>(std::exchange(call->callback, nullptr), std::move(result))] {
      try {
        told->callback(std::move(told->result));
      } catch (...) {
        // Whose fault it is can't be told from here; the others' calls go on.
        ++self->counts.callback_exceptions;
      }
      told->callback = nullptr;  // with all it held
      if (--self->telling > 0) return;
      const std::lock_guard lock(self->mutex);
      self->idle.notify_all();
    };
    if (call->inline_callback) return run();
    if (own.run_callback) return own.run_callback(std::move(run));
    if (workers) return workers->run(std::move(run));
    asio::post(io, std::move(run));
  }
  void end_all() {
    calls->close();
    // Calls that were posted and not looked at yet end too, as withdrawn.
    io.restart();
    io.poll();
  }

  ClientSettings own;
  platform::NodeSettings told;
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(io);
  plugin::HostClock clock;
  overload::DescriptorBudget descriptors;
  net::UpstreamResources resources;
  std::vector<plugin::HeldTransport*> transports;
  std::unique_ptr<platform::ServerTransports> servers;  // the engine has its transports
  std::optional<engine::Engine> engine;
  std::optional<discovery::Discovery> discovery;
  std::optional<asio::steady_timer> hold_over;
  std::optional<plugin::Calls> calls;
  plugin::Rest rest;
  asio::steady_timer rest_timer;
  std::uint32_t read_class = kNone, save_class = kNone;
  Time paused = 0;
  bool resuming = false, done = false;

  // ---- Of all threads
  struct {
    std::atomic<std::uint64_t> calls{0}, served{0}, rejected{0}, failed{0}, cancelled{0}, invalid{0},
        not_found{0}, callback_exceptions{0};
  } counts;
  std::atomic<std::uint64_t> wakeups{0}, pauses{0}, rests{0};
  std::atomic<std::size_t> open_calls{0}, telling{0};  // telling: callbacks that wait, or run
  std::atomic<bool> refusing{false};                   // drained, or about to be
  std::atomic<bool> ending{false};                     // the client is being destroyed
  const pid_t pid = ::getpid();
  std::mutex mutex;
  std::condition_variable idle;
  bool stopped = false;
  std::unique_ptr<plugin::Workers> workers;
  std::thread thread;
  std::thread::id thread_id;
};

void Call::State::ended(Result result) {
  const auto client = owner.lock();
  if (client) client->call_ended(std::static_pointer_cast<State>(shared_from_this()), std::move(result));
}

// cancel() is called on any thread: the loop may be behind, and hear of it later. The end of the client
// cancels all its calls.
bool Call::State::client_gone() {
  if (cancelled) return true;
  const auto client = owner.lock();
  return !client || client->ending;
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
    // A child of the process: it has none of the threads, and what they held can't be unlocked here.
    new std::shared_ptr<Impl>(std::move(impl_));
    return;
  }
  impl_->refusing = true;
  impl_->ending = true;
  const auto impl = impl_;
  asio::post(impl->io, [raw = impl.get()] { raw->done = true; });
  if (std::this_thread::get_id() == impl->thread_id) {
    impl->thread.detach();
    return;
  }
  impl->thread.join();
  impl->workers.reset();  // what they still had to tell is told
}

Call Client::begin(bool save, std::string_view key, std::string value, const CallOptions& options,
                   Callback callback, bool direct) {
  const auto call = std::make_shared<Call::State>();
  call->inline_callback = direct;
  call->owner = impl_;
  call->callback = std::move(callback);
  if (::getpid() != impl_->pid) {
    // Neither threads nor connections are this process's: told at once, here.
    call->callback({.status = Status::invalid, .reason = "the process was forked: open a client of its own"});
    return {};
  }
  ++impl_->counts.calls;
  ++impl_->open_calls;
  plugin::Checked checked =
      plugin::check_call(impl_->told.settings, save, save ? impl_->save_class : impl_->read_class, key,
                         std::move(value), options, impl_->clock.real_now());
  const auto tell = [this, call](Result result) {
    asio::post(impl_->io,
               [impl = impl_.get(), call, result = std::move(result)] { impl->calls->finish(call, result); });
  };
  if (!checked.wrong.empty()) {
    tell({.status = Status::invalid, .reason = checked.wrong});
    return Call(call);
  }
  if (impl_->refusing) {
    tell({.status = Status::cancelled, .reason = "the client is drained"});
    return Call(call);
  }
  if (impl_->open_calls > impl_->own.max_open_calls) {
    tell({.status = Status::rejected, .retry_after = kBusy, .reason = "too many calls are open"});
    return Call(call);
  }
  call->submitted = true;
  asio::post(impl_->io, [impl = impl_.get(), call, asked = std::move(checked.asked)]() mutable {
    impl->submit(call, std::move(asked));
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
  const auto tell = [promise = promise](Result result) { promise->set_value(std::move(result)); };
  begin(false, key, {}, options, tell, true);
  return std::move(future);
}
std::future<Result> Client::put(std::string_view key, std::string value, const CallOptions& options) {
  auto [promise, future] = promised();
  const auto tell = [promise = promise](Result result) { promise->set_value(std::move(result)); };
  begin(true, key, std::move(value), options, tell, true);
  return std::move(future);
}

bool Client::drain(std::chrono::microseconds longest) {
  impl_->refusing = true;
  std::unique_lock lock(impl_->mutex);
  const bool all =
      impl_->idle.wait_for(lock, longest, [&] { return impl_->open_calls == 0 && impl_->telling == 0; });
  lock.unlock();
  if (all || impl_->open_calls == 0) return true;
  // Withdrawn, each told once.
  std::promise<void> ended;
  asio::post(impl_->io, [impl = impl_.get(), &ended] {
    impl->calls->close();
    ended.set_value();
  });
  ended.get_future().wait();
  return false;
}

std::optional<bool> Client::is_safe(std::string_view request_class) const {
  const std::uint32_t found = index_of(impl_->told.settings.names.classes, std::string(request_class));
  if (found == kNone) return std::nullopt;
  return impl_->told.settings.config.classes[found].effect == Effect::safe;
}

ClientCounts Client::counts() const {
  ClientCounts out;
  out.wakeups = impl_->wakeups;
  if (::getpid() == impl_->pid && std::this_thread::get_id() != impl_->thread_id) {
    // On the I/O thread, where calls end: a call whose end was told is not counted as open any more.
    std::promise<void> read;
    asio::post(impl_->io, [&] {
      // The turns before this one: read elsewhere it would count this one or not, as threads are scheduled.
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
  out.suspensions = impl_->pauses;
  out.idle_periods = impl_->rests;
  out.open = impl_->open_calls;
  return out;
}

}  // namespace streampick
