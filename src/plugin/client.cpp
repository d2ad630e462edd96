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
#include <unordered_map>
#include <vector>

#include "engine/engine.h"
#include "engine/keys.h"
#include "net/links.h"
#include "net/log.h"
#include "platform/node_settings.h"
#include "platform/transports.h"
#include "plugin/callbacks.h"
#include "plugin/held_transport.h"
#include "plugin/host_clock.h"
#include "plugin/quiet_signals.h"
#include "roster/discovery.h"

namespace streampick {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kLongestKey = 4 * 1024, kLongestValue = 64 * 1024;
constexpr auto kBusy = std::chrono::milliseconds(50);  // when to come back, where too many calls are open

node::NodeSettings read(const ClientSettings& settings) {
  try {
    if (!settings.config.empty()) return node::parse_settings(settings.config);
    if (settings.config_path.empty()) throw std::runtime_error("neither config nor config_path is set");
    return node::load_settings(settings.config_path);
  } catch (const std::exception& error) {
    std::string what = error.what();
    std::replace(what.begin(), what.end(), '\n', ' ');
    throw ClientError("streampick client: " + what);
  }
}

std::uint32_t class_named(const node::NodeSettings& settings, const std::string& name, bool safe) {
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

// A call from its begin to its end. Everything but the flag is the I/O thread's.
struct Call::State final : node::Asker, std::enable_shared_from_this<Call::State> {
  std::weak_ptr<Client::Impl> owner;
  Client::Callback callback;
  bool inline_callback = false;  // it does no more than to wake somebody: no thread is needed
  std::uint64_t number = 0;
  RequestId request = 0;  // 0: not with the engine
  Time deadline = 0;      // real us
  bool save = false, ended = false;
  std::atomic<bool> cancelled{false};

  void reply(std::uint64_t, node::Reply reply) override;
};

struct Client::Impl final : node::Front,
                            node::Roster,
                            private node::Transports,
                            private node::ListReader,
                            public std::enable_shared_from_this<Client::Impl> {
  using CallState = Call::State;

  explicit Impl(const ClientSettings& settings)
      : own(settings), told(read(settings)), clock(io, [this](Time length) { stood_still(length); }) {
    read_class = class_named(told, settings.read_class, true);
    save_class = class_named(told, settings.save_class, false);
    // No two clients draw alike, also those that were given the same settings.
    std::random_device device;
    last_id = (static_cast<std::uint64_t>(device()) << 32U) ^ device() ^ told.settings.seed;
    const std::uint64_t seed = XXH3_64bits(&last_id, sizeof last_id);
    servers = make_servers(settings);
    descriptors = overload::Descriptors(overload::Descriptors::Limits{node::descriptor_limits(told).total, 0,
                                                                      node::descriptor_limits(told).total});
    links.descriptors = &descriptors;
    links.most_large = told.memory_mb * (1024 * 1024 / 4);
    links.dial_time_out = told.settings.config.dial_time_out;
    links.cancels = overload::CancelRules(told.overload);
    links.free_a_connection = [this] { engine->free_a_connection(); };
    node::EngineSettings engine_settings{told.settings.config, seed, told.settings.drain_grace};
    engine_settings.rests = [this] { return links.connections == 0; };
    engine.emplace(clock, engine_settings, static_cast<node::Transports&>(*this),
                   [](std::string_view text) { node::log(text); });
    servers->report_to(*engine);
    const bool must_ask = told.settings.config.must_ask;
    discovery.emplace(io, told.settings.names, told.discovery, told.known.revision, !must_ask, seed,
                      static_cast<node::ListReader&>(*this));
    engine->add(*this);
    hold_over.emplace(io);
    if (settings.callback_threads > 0 && !settings.run_callback)
      workers = std::make_unique<plugin::Workers>(settings.callback_threads);
  }

  void start() {
    const plugin::QuietSignals quiet;
    thread = std::thread([self = shared_from_this()] { self->run(); });
    thread_id = thread.get_id();
  }

  std::unique_ptr<node::ServerTransports> make_servers(const ClientSettings& settings) {
    if (settings.options.empty() && settings.options_path.empty())
      return std::make_unique<node::ServerTransports>(io, clock, links, told);
    // On the host's own thread, whose log is not ours.
    const node::LogSink sink([this](std::string_view text) {
      if (own.log) own.log(text);
    });
#ifdef STREAMPICK_WITH_OPTIONS
    try {
      node::Options options = settings.options.empty() ? node::load_options(settings.options_path)
                                                       : node::parse_options(settings.options, "options");
      node::resolve(options, told);
      return std::make_unique<node::ServerTransports>(io, clock, links, told, options);
    } catch (const options::Error& error) {
      throw ClientError(std::string("streampick client: ") + error.what());
    }
#else
    throw ClientError("streampick client: options: this library was built without STREAMPICK_OPTIONS");
#endif
  }

  // ---- The I/O thread

  void run() {
    node::LogSink sink([this](std::string_view text) {
      if (own.log) own.log(text);
    });
    engine->start(*this, told.known);
    if (!told.settings.config.must_ask) discovery->watch();
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
    node::log("the host stood still for " + std::to_string(length / 1000) + " ms");
    engine->stood_still(length);
    discovery->read_anew();
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

  std::unique_ptr<node::Transport> make(const std::string& name, std::uint32_t kind) override {
    auto inner = servers->make(name, kind);
    auto held = std::make_unique<plugin::HeldTransport>(std::move(inner), [this] { return may_send(); });
    plugin::HeldTransport* const raw = held.get();
    transports.push_back(raw);
    raw->on_end = [this, raw] { std::erase(transports, raw); };
    return held;
  }
  void watch() override { discovery->watch(); }
  void list_came(const node::MemberList& list) override {
    if (resuming) resume();
    engine->list_came(list);
    if (!list.complete) return;
    clock.resume().list_read();
    release();
  }
  void list_failed() override { engine->list_failed(); }

  // As a front: the calls are its clients.
  void drain() override {}
  void stop_accepting() override {}
  std::size_t unanswered() const override { return calls.size(); }
  std::size_t open() const override { return calls.size(); }

  // ---- Calls

  void submit(const std::shared_ptr<CallState>& call, std::uint32_t request_class, std::uint32_t tenant,
              const std::shared_ptr<node::Message>& message) {
    if (call->cancelled || closing) return finish(call, {.status = Status::withdrawn});
    clock.now();  // a pause shows here at the latest
    if (resuming) resume();
    const Time left = call->deadline - clock.real_now();
    if (left <= 0) return finish(call, {.status = Status::failed, .late = true});
    node::Incoming incoming;
    incoming.request_class = request_class;
    incoming.tenant = tenant;
    incoming.has_key = true;
    incoming.key = node::key_number(node::escape_key(message->key));
    incoming.remaining = left;
    incoming.tag = call->number;
    ++last_id;
    incoming.txn = XXH3_64bits(&last_id, sizeof last_id);
    message->txn = node::hex(incoming.txn);
    if (call->save && message->idempotency_key.empty() && told.settings.names.keyed.at(request_class))
      message->idempotency_key = message->txn;
    incoming.message = message;
    calls.emplace(call->number, call);
    const RequestId id = engine->asked(call, std::move(incoming));
    if (id == 0) return finish(call, {.status = Status::failed, .reason = "an id was drawn twice"});
    if (!call->ended) call->request = id;
  }

  // The one place where a call ends.
  void finish(const std::shared_ptr<CallState>& call, Result result) {
    if (std::exchange(call->ended, true)) return;
    calls.erase(call->number);
    count(result.status);
    deliver(call, std::move(result));
    if (--open_calls == 0) {
      const std::lock_guard lock(mutex);
      idle.notify_all();
    }
  }
  void count(Status status) {
    switch (status) {
      case Status::served: ++counts.served; break;
      case Status::refused: ++counts.refused; break;
      case Status::failed: ++counts.failed; break;
      case Status::withdrawn: ++counts.withdrawn; break;
      case Status::invalid: ++counts.invalid; break;
      case Status::absent: ++counts.absent; break;
    }
  }
  void deliver(const std::shared_ptr<CallState>& call, Result result) {
    auto run = [self = shared_from_this(), callback = std::exchange(call->callback, nullptr),
                result = std::make_shared<Result>(std::move(result))] {
      try {
        callback(std::move(*result));
      } catch (...) {
        // Whose fault it is can't be told from here; the others' calls go on.
        ++self->counts.threw;
      }
    };
    if (call->inline_callback) return run();
    if (own.run_callback) return own.run_callback(std::move(run));
    if (workers) return workers->run(std::move(run));
    asio::post(io, std::move(run));
  }

  void cancel(const std::shared_ptr<CallState>& call) {
    if (call->ended) return;
    const RequestId request = std::exchange(call->request, 0);
    finish(call, {.status = Status::withdrawn});
    if (request != 0) engine->withdrawn(request);
  }
  void end_all() {
    closing = true;
    std::vector<std::shared_ptr<CallState>> left;
    for (const auto& [number, call] : calls) left.push_back(call);
    for (const auto& call : left) cancel(call);
    // Calls that were posted and not looked at yet end too, as withdrawn.
    io.restart();
    io.poll();
  }

  ClientSettings own;
  node::NodeSettings told;
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(io);
  plugin::HostClock clock;
  overload::Descriptors descriptors;
  node::Links links;
  std::vector<plugin::HeldTransport*> transports;
  std::unique_ptr<node::ServerTransports> servers;  // the engine has its transports
  std::optional<node::Engine> engine;
  std::optional<node::Discovery> discovery;
  std::optional<asio::steady_timer> hold_over;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallState>> calls;
  std::uint64_t last_id = 0;
  std::uint32_t read_class = kNone, save_class = kNone;
  Time paused = 0;
  bool resuming = false, closing = false, done = false;

  // ---- Of all threads
  struct {
    std::atomic<std::uint64_t> calls{0}, served{0}, refused{0}, failed{0}, withdrawn{0}, invalid{0},
        absent{0}, threw{0};
  } counts;
  std::atomic<std::uint64_t> wakeups{0}, pauses{0}, last_number{0};
  std::atomic<std::size_t> open_calls{0};
  std::atomic<bool> refusing{false};  // drained, or about to be
  const pid_t pid = ::getpid();
  std::mutex mutex;
  std::condition_variable idle;
  bool stopped = false;
  std::unique_ptr<plugin::Workers> workers;
  std::thread thread;
  std::thread::id thread_id;
};

void Call::State::reply(std::uint64_t, node::Reply reply) {
  const auto client = owner.lock();
  if (!client) return;
  Result result;
  result.may_have_run = save && reply.may_have_run;
  result.retry_after = std::chrono::microseconds(reply.retry_after);
  result.reason = std::move(reply.why);
  switch (reply.kind) {
    case node::Reply::Kind::served: result.status = Status::served; break;
    case node::Reply::Kind::refused: result.status = Status::refused; break;
    case node::Reply::Kind::failed: result.status = Status::failed; break;
  }
  result.late = reply.late;
  // A RESP server's null is an answer there; a caller asked for a value. What ended otherwise than by that
  // answer was not asked to the end.
  const bool nothing =
      result.status == Status::served && !save && reply.answer.form == node::Answer::Form::nothing;
  if (nothing || (reply.absent && !save && result.status == Status::failed && !result.late))
    result.status = Status::absent;
  // Whatever the loop thinks the time is: what comes when the caller has given up is not in time.
  if ((result.status == Status::served || result.status == Status::absent) &&
      client->clock.real_now() > deadline) {
    result.status = Status::failed;
    result.late = true;
    result.may_have_run = save;
  }
  result.absent = result.status == Status::absent;
  if (result.absent && result.reason.empty()) result.reason = "no server has such a key";
  if (result.status == Status::served) {
    result.value = std::move(reply.answer.body);
    result.content_type = std::move(reply.answer.content_type);
  }
  client->finish(shared_from_this(), std::move(result));
}

void Call::cancel() const {
  const auto call = state_.lock();
  if (!call || call->cancelled.exchange(true)) return;
  const auto client = call->owner.lock();
  if (!client || ::getpid() != client->pid) return;
  asio::post(client->io, [client = client.get(), call] { client->cancel(call); });
}

Client::Client(const ClientSettings& settings) : impl_(std::make_shared<Impl>(settings)) { impl_->start(); }

Client::~Client() {
  if (::getpid() != impl_->pid) {
    // A child of the process: it has none of the threads, and what they held can't be unlocked here.
    new std::shared_ptr<Impl>(std::move(impl_));
    return;
  }
  impl_->refusing = true;
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
  call->save = save;
  if (::getpid() != impl_->pid) {
    // Neither threads nor connections are this process's: told at once, here.
    call->callback({.status = Status::invalid, .reason = "the process was forked: open a client of its own"});
    return {};
  }
  ++impl_->counts.calls;
  ++impl_->open_calls;
  call->number = ++impl_->last_number;
  const Names& names = impl_->told.settings.names;
  const auto& classes = impl_->told.settings.config.classes;
  std::string wrong;
  std::uint32_t kind = save ? impl_->save_class : impl_->read_class;
  if (!options.request_class.empty()) kind = index_of(names.classes, options.request_class);
  const std::uint32_t tenant = options.tenant.empty() ? kNone : index_of(names.tenants, options.tenant);
  if (kind == kNone) wrong = "no class '" + options.request_class + "'";
  if (kind != kNone && !save && classes[kind].effect != Effect::safe)
    wrong = "a read of a class that is not safe";
  if (!options.tenant.empty() && tenant == kNone) wrong = "no tenant '" + options.tenant + "'";
  if (key.empty() || key.size() > kLongestKey) wrong = "a key has 1 to 4096 bytes";
  if (value.size() > kLongestValue) wrong = "a value has at most 65536 bytes";
  if (options.idempotency_key.find_first_of("\r\n") != std::string::npos ||
      options.content_type.find_first_of("\r\n") != std::string::npos)
    wrong = "a line's end in a header";
  if (options.deadline.count() < 0) wrong = "a deadline before the call";
  const auto tell = [this, call](Result result) {
    asio::post(impl_->io,
               [impl = impl_.get(), call, result = std::move(result)] { impl->finish(call, result); });
  };
  if (!wrong.empty()) {
    tell({.status = Status::invalid, .reason = wrong});
    return Call(call);
  }
  if (impl_->refusing) {
    tell({.status = Status::withdrawn, .reason = "the client is drained"});
    return Call(call);
  }
  if (impl_->open_calls > impl_->own.most_calls) {
    tell({.status = Status::refused, .retry_after = kBusy, .reason = "too many calls are open"});
    return Call(call);
  }
  Time longest = classes[kind].deadline > 0 ? classes[kind].deadline : 60'000'000;
  if (options.deadline.count() > 0) longest = std::min<Time>(longest, options.deadline.count());
  call->deadline = impl_->clock.real_now() + longest;
  const auto message = std::make_shared<node::Message>();
  message->operation = save ? node::Operation::write : node::Operation::read;
  message->key = key;
  message->target = "/" + names.classes[kind] + "/" + node::escape_key(key);
  message->body = std::move(value);
  message->idempotency_key = options.idempotency_key;
  message->content_type = options.content_type;
  asio::post(impl_->io, [impl = impl_.get(), call, kind, tenant, message] {
    impl->submit(call, kind, tenant, message);
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
  const bool all = impl_->idle.wait_for(lock, longest, [&] { return impl_->open_calls == 0; });
  lock.unlock();
  if (all) return true;
  // Withdrawn, each told once.
  std::promise<void> ended;
  asio::post(impl_->io, [impl = impl_.get(), &ended] {
    impl->closing = true;
    std::vector<std::shared_ptr<Call::State>> left;
    for (const auto& [number, call] : impl->calls) left.push_back(call);
    for (const auto& call : left) impl->cancel(call);
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
  out.calls = impl_->counts.calls;
  out.served = impl_->counts.served;
  out.refused = impl_->counts.refused;
  out.failed = impl_->counts.failed;
  out.withdrawn = impl_->counts.withdrawn;
  out.invalid = impl_->counts.invalid;
  out.absent = impl_->counts.absent;
  out.threw = impl_->counts.threw;
  out.pauses = impl_->pauses;
  out.wakeups = impl_->wakeups;
  out.open = impl_->open_calls;
  if (::getpid() != impl_->pid || std::this_thread::get_id() == impl_->thread_id) return out;
  std::promise<void> read;
  asio::post(impl_->io, [&] {
    out.attempts = impl_->engine->counts().attempts;
    out.cancels = impl_->engine->counts().cancels;
    out.servers = impl_->engine->servers();
    out.dials = impl_->links.dials;
    out.connections = impl_->links.connections;
    read.set_value();
  });
  read.get_future().wait();
  return out;
}

}  // namespace streampick
