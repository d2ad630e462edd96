#include "roster/etcd/client.h"

#include <grpc/support/time.h>
#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <deque>
#include <fstream>
#include <iterator>
#include <mutex>
#include <optional>
#include <thread>

#include "roster/etcd/registry.h"
#include "roster/etcd/seed_file.h"
#include "roster/etcd/steady_alarm.h"
#include "roster/mailbox.h"
#include "streampick/etcd/rpc.grpc.pb.h"

namespace streampick::etcd {
namespace {

namespace asio = boost::asio;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kMaxMessageSize = 64 * 1024 * 1024;  // bytes
constexpr std::size_t kMaxLoggedFaults = 20;       // for one publication
constexpr std::size_t kMaxPendingLines = 100;      // log lines not yet taken by the event loop
constexpr milliseconds kCoalescingInterval{20}, kMaxWait{500};

Time steady_us() {
  return std::chrono::duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
// Returns a deadline for gRPC as a time span, which gRPC measures by its monotonic clock. A wall-clock time
// would move with each step of that clock.
gpr_timespec deadline_after(Time span) { return gpr_time_from_micros(span, GPR_TIMESPAN); }
// For the seed file, which another process may have written: the two share only the wall clock.
long long unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Returns the end of the key range with `prefix`, as a range request needs it. A prefix of 0xff bytes only
// has no such end; then the range extends to the last key.
std::string prefix_end(std::string prefix) {
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xffU) prefix.pop_back();
  if (prefix.empty()) return std::string(1, '\0');
  prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
  return prefix;
}

Header header_of(const etcdserverpb::ResponseHeader& header) {
  return {header.cluster_id(), header.revision()};
}
KeyValue kv_of(const mvccpb::KeyValue& kv) {
  return {kv.key(), kv.value(), kv.create_revision(), kv.mod_revision()};
}

}  // namespace

class EtcdRoster::Worker final : WatcherActions {
 public:
  Worker(asio::io_context& io, const Names& names, const Options& options, std::uint64_t seed,
         engine::EndpointListObserver& observer, UseSeed use_seed, std::function<void(std::string_view)> log)
      : io_(io),
        names_(names),
        options_(options),
        observer_(observer),
        use_seed_(std::move(use_seed)),
        log_(std::move(log)),
        timer_(io),
        watcher_(options.watcher, seed, *this),
        registry_(names_),
        seed_file_(options_.seed_file, [this](std::string_view line) { log_line(std::string(line)); }) {
    grpc::ChannelArguments arguments;
    // The watcher decides on retries.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 10'000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 3'000);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1'000);
    arguments.SetMaxReceiveMessageSize(kMaxMessageSize);
    std::shared_ptr<grpc::ChannelCredentials> credentials = grpc::InsecureChannelCredentials();
    if (!options_.ca_file.empty())
      credentials = grpc::SslCredentials({read_file(options_.ca_file),
                                          options_.key_file.empty() ? "" : read_file(options_.key_file),
                                          options_.cert_file.empty() ? "" : read_file(options_.cert_file)});
    for (const std::string& endpoint : options_.endpoints)
      endpoints_.push_back({grpc::CreateCustomChannel(endpoint, credentials, arguments), ""});
    // The worker thread handles none of the process's signals.
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
  }
  ~Worker() override {
    {
      // Under the lock, so that the thread shuts the queue down only after this wake-up is queued.
      const std::lock_guard lock(shared_->mutex);
      shared_->ended = true;
      wake();
    }
    thread_.join();
    timer_.cancel();
  }
  ClientCounts counts() const {
    const std::lock_guard lock(shared_->mutex);
    return shared_->counts;
  }

 private:
  // State that both threads access under the mutex.
  struct Shared {
    std::mutex mutex;
    roster::Mailbox mailbox;
    std::deque<std::string> lines;
    bool urgent = false, stale = false, posted = false, ended = false;
    std::optional<engine::StoredEndpointList> seed;
    ClientCounts counts;
  };
  struct Endpoint {
    std::shared_ptr<grpc::Channel> channel;
    std::string token;
  };
  // A gRPC call, kept until the last of its steps has completed.
  struct Call {
    virtual ~Call() = default;
    virtual void on_completed(int step, bool ok) = 0;
    std::uint64_t operation_id = 0;
    std::size_t endpoint = 0;
    grpc::ClientContext context;
    grpc::Status status;
    int pending_steps = 0;  // started on the completion queue and not completed
    bool cancelled = false;
  };
  struct Tag {
    Call* call;
    int step;
  };
  Tag* tag(Call* call, int step) {
    ++call->pending_steps;
    return new Tag{call, step};
  }

  struct RangeCall final : Call {
    RangeCall(Worker& worker) : owner(worker) {}
    void on_completed(int, bool) override {
      if (cancelled) return;
      owner.check_token(*this);
      const Time now = steady_us();
      if (!status.ok()) {
        const bool compacted = status.error_code() == grpc::StatusCode::OUT_OF_RANGE;
        return owner.watcher_.range_failed(now, operation_id, status.error_message(), compacted);
      }
      std::vector<KeyValue> kvs;
      for (const auto& kv : reply.kvs()) kvs.push_back(kv_of(kv));
      owner.watcher_.page(now, operation_id, header_of(reply.header()), std::move(kvs), reply.more());
    }
    Worker& owner;
    etcdserverpb::RangeResponse reply;
    std::unique_ptr<grpc::ClientAsyncResponseReader<etcdserverpb::RangeResponse>> reader;
  };

  struct WatchCall final : Call {
    enum : int { kStarted, kWritten, kRead, kFinished };
    WatchCall(Worker& worker) : owner(worker) {}
    void on_completed(int step, bool ok) override {
      if (step == kFinished) {
        if (cancelled) return;
        owner.check_token(*this);
        return owner.watcher_.stream_failed(steady_us(), operation_id,
                                            "the watch ended: " + status.error_message());
      }
      if (step == kWritten) writing = false;
      if (!ok) return finish();
      if (step == kStarted) read();
      if (step == kRead) {
        if (!cancelled) owner.on_watch_response(operation_id, reply);
        if (!finishing) read();
      }
      if (step != kRead) write_next();
    }
    void read() { stream->Read(&reply, owner.tag(this, kRead)); }
    void write(const etcdserverpb::WatchRequest& request) {
      requests.push_back(request);
      if (started) write_next();
    }
    void write_next() {
      started = true;
      if (writing || finishing || requests.empty()) return;
      writing = true;
      current = requests.front();
      requests.pop_front();
      stream->Write(current, owner.tag(this, kWritten));
    }
    void finish() {
      if (std::exchange(finishing, true)) return;
      stream->Finish(&status, owner.tag(this, kFinished));
    }
    Worker& owner;
    etcdserverpb::WatchResponse reply;
    etcdserverpb::WatchRequest current;
    std::deque<etcdserverpb::WatchRequest> requests;
    std::unique_ptr<grpc::ClientAsyncReaderWriter<etcdserverpb::WatchRequest, etcdserverpb::WatchResponse>>
        stream;
    bool started = false, writing = false, finishing = false;
  };

  // ---- The worker thread

  void run() {
    first_response_deadline_ = steady_us() + options_.watcher.response_timeout;
    watcher_.start(steady_us());
    serve();
    for (const auto& call : calls_) {
      call->cancelled = true;
      call->context.TryCancel();
    }
    // All steps must complete first, as none may be started on a queue that is shut down.
    void* got = nullptr;
    bool ok = false;
    while (!calls_.empty() && queue_.Next(&got, &ok))
      if (got != nullptr) on_completed(static_cast<Tag*>(got), ok);
    queue_.Shutdown();
    while (queue_.Next(&got, &ok)) {
    }
    if (seed_file_.has_changed()) write_seed();
  }
  // Runs until the destructor is called. The queue is awaited without a timeout, for the reason in
  // steady_alarm.h.
  void serve() {
    SteadyAlarm next_deadline([this] { wake(); });
    while (!ended()) {
      const Time now = steady_us();
      if (now >= watcher_.next_time()) watcher_.on_time(now);
      maintain_seed_file(now);
      publish_counts();
      const Time next = std::min(watcher_.next_time(), now + microseconds(kMaxWait).count());
      next_deadline.set(SteadyAlarm::Steady::time_point(microseconds(next)));
      void* got = nullptr;
      bool ok = false;
      if (!queue_.Next(&got, &ok)) return;
      if (got == nullptr) {
        wake_is_queued_ = false;
      } else {
        on_completed(static_cast<Tag*>(got), ok);
      }
    }
  }
  // Queues an event that ends the wait in serve(). May be called on any thread. The alarm's time is in the
  // past, so that gRPC needs no timer for it.
  void wake() {
    if (!wake_is_queued_.exchange(true)) alarm_.Set(&queue_, gpr_inf_past(GPR_CLOCK_MONOTONIC), nullptr);
  }
  void on_completed(Tag* completed, bool ok) {
    const std::unique_ptr<Tag> tag(completed);
    Call* const call = tag->call;
    --call->pending_steps;
    call->on_completed(tag->step, ok);
    if (call->pending_steps > 0) return;
    std::erase_if(calls_, [call](const auto& one) { return one.get() == call; });
  }
  bool ended() {
    const std::lock_guard lock(shared_->mutex);
    return shared_->ended;
  }

  // ---- The watcher's actions

  void prepare(Call& call, std::uint64_t operation_id, std::size_t endpoint) {
    call.operation_id = operation_id;
    call.endpoint = endpoint;
    call.context.set_wait_for_ready(false);
    if (options_.user.empty()) return;
    Endpoint& target = endpoints_[endpoint];
    if (target.token.empty()) authenticate(target);
    if (!target.token.empty()) call.context.AddMetadata("token", target.token);
  }
  void authenticate(Endpoint& target) {
    std::string password = read_file(options_.password_file);
    while (!password.empty() && (password.back() == '\n' || password.back() == '\r')) password.pop_back();
    grpc::ClientContext context;
    context.set_deadline(deadline_after(options_.watcher.response_timeout / 2));
    etcdserverpb::AuthenticateRequest request;
    request.set_name(options_.user);
    request.set_password(password);
    etcdserverpb::AuthenticateResponse reply;
    SteadyAlarm auth_timeout([&context] { context.TryCancel(); });
    auth_timeout.set(SteadyAlarm::Steady::now() + microseconds(options_.watcher.response_timeout / 2));
    const grpc::Status status =
        etcdserverpb::Auth::NewStub(target.channel)->Authenticate(&context, request, &reply);
    if (status.ok()) {
      target.token = reply.token();
    } else {
      log_line("etcd: authentication as " + options_.user + " failed: " + status.error_message());
    }
  }
  // Drops an expired token, so that the next call authenticates again.
  void check_token(const Call& call) {
    if (call.status.error_code() == grpc::StatusCode::UNAUTHENTICATED)
      endpoints_[call.endpoint].token.clear();
  }

  void range(std::uint64_t operation_id, std::size_t endpoint, const std::string& from_key,
             std::int64_t revision, std::size_t limit) override {
    auto call = std::make_unique<RangeCall>(*this);
    prepare(*call, operation_id, endpoint);
    call->context.set_deadline(deadline_after(options_.watcher.response_timeout));
    etcdserverpb::RangeRequest request;
    request.set_key(from_key.empty() ? options_.prefix : from_key);
    request.set_range_end(prefix_end(options_.prefix));
    request.set_revision(revision);
    request.set_limit(static_cast<std::int64_t>(limit));
    call->reader =
        etcdserverpb::KV::NewStub(endpoints_[endpoint].channel)->AsyncRange(&call->context, request, &queue_);
    call->reader->Finish(&call->reply, &call->status, tag(call.get(), 0));
    calls_.push_back(std::move(call));
  }
  void watch(std::uint64_t operation_id, std::size_t endpoint, std::int64_t from_revision) override {
    cancel_all();
    auto call = std::make_unique<WatchCall>(*this);
    prepare(*call, operation_id, endpoint);
    // Makes a member that has lost its leader end the watch, which would otherwise stall.
    if (options_.require_leader) call->context.AddMetadata("hasleader", "true");
    etcdserverpb::WatchRequest request;
    auto& create = *request.mutable_create_request();
    create.set_key(options_.prefix);
    create.set_range_end(prefix_end(options_.prefix));
    create.set_start_revision(from_revision);
    create.set_progress_notify(true);
    create.set_fragment(true);
    call->stream = etcdserverpb::Watch::NewStub(endpoints_[endpoint].channel)
                       ->AsyncWatch(&call->context, &queue_, tag(call.get(), WatchCall::kStarted));
    call->requests.push_back(request);
    watch_ = call.get();
    calls_.push_back(std::move(call));
  }
  void request_progress(std::uint64_t operation_id) override {
    if (watch_ == nullptr || watch_->operation_id != operation_id || watch_->cancelled) return;
    etcdserverpb::WatchRequest request;
    request.mutable_progress_request();
    watch_->write(request);
  }
  void cancel(std::uint64_t operation_id) override {
    for (const auto& call : calls_) {
      if (call->operation_id != operation_id || call->cancelled) continue;
      call->cancelled = true;
      call->context.TryCancel();
      if (call.get() == watch_) watch_ = nullptr;
    }
  }
  void cancel_all() {
    for (const auto& call : calls_) {
      if (call->cancelled || call->pending_steps == 0) continue;
      call->cancelled = true;
      call->context.TryCancel();
    }
    watch_ = nullptr;
  }
  void on_watch_response(std::uint64_t operation_id, const etcdserverpb::WatchResponse& reply) {
    const Time now = steady_us();
    const Header header = header_of(reply.header());
    if (reply.canceled())
      return watcher_.cancelled(now, operation_id, reply.cancel_reason(), reply.compact_revision());
    if (reply.created()) return watcher_.created(now, operation_id, header);
    if (reply.events_size() == 0 && !reply.fragment()) return watcher_.progress(now, operation_id, header);
    std::vector<Event> events;
    for (const auto& event : reply.events())
      events.push_back({event.type() == mvccpb::Event::DELETE, kv_of(event.kv())});
    watcher_.events(now, operation_id, header, std::move(events), reply.fragment());
  }
  void publish(const Publication& publication) override {
    const auto lists = registry_.apply(publication);
    const auto faults = registry_.take_faults();
    for (std::size_t i = 0; i < std::min(faults.size(), kMaxLoggedFaults); ++i)
      log_line("etcd: " + faults[i].key + " has an invalid value, which is ignored: " + faults[i].reason);
    if (faults.size() > kMaxLoggedFaults)
      log_line("etcd: " + std::to_string(faults.size() - kMaxLoggedFaults) +
               " more keys have invalid values");
    faults_ += faults.size();
    if (!lists.empty()) seed_file_.mark_changed();
    const std::lock_guard lock(shared_->mutex);
    for (const auto& list : lists) {
      shared_->mailbox.put(list);
      // Departures and drains are delivered without coalescing.
      for (const auto& one : list.members)
        shared_->urgent = shared_->urgent || one.member.phase != Phase::ready;
    }
    shared_->stale = false;
    if (!lists.empty()) post();
  }
  void on_freshness(const Freshness& freshness) override {
    const std::lock_guard lock(shared_->mutex);
    shared_->stale = freshness.state == Freshness::State::stale;
    if (shared_->stale) post();
  }
  void log_line(const std::string& line) override {
    const std::lock_guard lock(shared_->mutex);
    if (shared_->lines.size() >= kMaxPendingLines) return;
    shared_->lines.push_back(line);
    post();
  }

  // ---- Delivery on the event loop

  void post() {
    if (std::exchange(shared_->posted, true)) return;
    asio::post(io_, [this, shared = shared_] {
      {
        const std::lock_guard lock(shared->mutex);
        if (shared->ended) return;
      }
      deliver_or_schedule();
    });
  }
  // Coalesces changes that are not urgent.
  void deliver_or_schedule() {
    const auto now = std::chrono::steady_clock::now();
    bool wait = false;
    {
      const std::lock_guard lock(shared_->mutex);
      wait = !shared_->urgent && shared_->lines.empty() && !shared_->stale && !shared_->seed &&
             now - last_delivery_ < kCoalescingInterval;
    }
    if (!wait) return deliver();
    timer_.expires_at(last_delivery_ + kCoalescingInterval);
    timer_.async_wait([this, shared = shared_](const boost::system::error_code& cancelled) {
      if (cancelled) return;
      {
        const std::lock_guard lock(shared->mutex);
        if (shared->ended) return;
      }
      deliver();
    });
  }
  void deliver() {
    std::vector<engine::EndpointList> lists;
    std::deque<std::string> lines;
    std::optional<engine::StoredEndpointList> seed;
    bool stale = false;
    {
      const std::lock_guard lock(shared_->mutex);
      shared_->posted = shared_->urgent = false;
      lists = shared_->mailbox.take();
      lines = std::exchange(shared_->lines, {});
      seed = std::exchange(shared_->seed, std::nullopt);
      stale = std::exchange(shared_->stale, false);
    }
    last_delivery_ = std::chrono::steady_clock::now();
    for (const std::string& line : lines) log_(line);
    if (seed && lists.empty() && use_seed_(*seed)) {
      log_("etcd: unreachable; using " + std::to_string(seed->list.members.size()) +
           " servers from the seed file");
      stale = true;
    }
    for (const auto& list : lists) observer_.on_endpoint_list(list);
    if (stale) observer_.on_discovery_failed();
  }

  // ---- The seed file

  void maintain_seed_file(Time now) {
    if (options_.seed_file.empty()) return;
    if (!seed_read_ && now >= first_response_deadline_ && watcher_.epoch() == 0) {
      seed_read_ = true;
      auto list = seed_file_.load(names_, unix_ms(), milliseconds(options_.seed_most_age_ms));
      if (!list) return;
      const std::lock_guard lock(shared_->mutex);
      shared_->seed = std::move(list);
      post();
    }
    if (seed_file_.is_due(now)) write_seed();
  }
  void write_seed() {
    if (watcher_.epoch() == 0) return;
    seed_file_.store(steady_us(), registry_.list(), names_, unix_ms());
  }
  void publish_counts() {
    const Watcher::Counts& counts = watcher_.counts();
    const std::lock_guard lock(shared_->mutex);
    ClientCounts& out = shared_->counts;
    out.listings = counts.listings;
    out.watches = counts.watches;
    out.compactions = counts.compactions;
    out.breaks = counts.breaks;
    out.publications = counts.publications;
    out.departures = counts.departures;
    out.faults = faults_;
    out.coalesced = shared_->mailbox.coalesced();
    out.keys = watcher_.published().size();
    out.quarantined = registry_.quarantined();
    out.revision = watcher_.revision();
    switch (watcher_.freshness().state) {
      case Freshness::State::unknown: out.state = "unknown"; break;
      case Freshness::State::fresh: out.state = "fresh"; break;
      case Freshness::State::stale: out.state = "stale"; break;
    }
  }

  asio::io_context& io_;
  const Names names_;
  const Options options_;
  engine::EndpointListObserver& observer_;
  UseSeed use_seed_;
  std::function<void(std::string_view)> log_;
  asio::steady_timer timer_;
  std::chrono::steady_clock::time_point last_delivery_{};
  std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();

  Watcher watcher_;
  Registry registry_;
  std::vector<Endpoint> endpoints_;
  grpc::CompletionQueue queue_;
  grpc::Alarm alarm_;
  std::atomic<bool> wake_is_queued_{false};
  std::vector<std::unique_ptr<Call>> calls_;
  WatchCall* watch_ = nullptr;
  Time first_response_deadline_ = 0;
  bool seed_read_ = false;
  SeedFile seed_file_;
  std::uint64_t faults_ = 0;
  std::thread thread_;
};

EtcdRoster::EtcdRoster(asio::io_context& io, const Names& names, const Options& options, std::uint64_t seed,
                       engine::EndpointListObserver& observer, UseSeed use_seed,
                       std::function<void(std::string_view)> log)
    : worker_(std::make_unique<Worker>(io, names, options, seed, observer, std::move(use_seed),
                                       std::move(log))) {}
EtcdRoster::~EtcdRoster() = default;
ClientCounts EtcdRoster::counts() const { return worker_->counts(); }

std::string EtcdRoster::summary() const {
  const ClientCounts counts = worker_->counts();
  return " etcd: " + counts.state + " revision=" + std::to_string(counts.revision) +
         " keys=" + std::to_string(counts.keys) + " quarantined=" + std::to_string(counts.quarantined) +
         " listings=" + std::to_string(counts.listings) + " watches=" + std::to_string(counts.watches) +
         " compactions=" + std::to_string(counts.compactions) + " breaks=" + std::to_string(counts.breaks) +
         " departures=" + std::to_string(counts.departures);
}

}  // namespace streampick::etcd
