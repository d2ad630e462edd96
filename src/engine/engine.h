/// \file
/// The engine: passes each request, of any protocol, to the decision module and carries out its decisions.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <memory_resource>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/cache_fill_guard.h"
#include "engine/class_table.h"
#include "engine/counters.h"
#include "engine/deadline_queue.h"
#include "engine/downstream.h"
#include "engine/endpoint_discovery.h"
#include "engine/endpoint_registry.h"
#include "engine/open_request.h"
#include "engine/shutdown.h"
#include "engine/time.h"
#include "engine/transaction_ids.h"
#include "engine/upstream.h"
#include "engine/wakeup_scheduler.h"
#include "streampick/router.h"

namespace streampick::engine {

struct EngineSettings {
  Config config;
  std::uint64_t seed = 0;
  /// Returns whether no connection is open. If set, an engine with neither open requests nor open connections
  /// schedules no wake-ups; missed timer ticks are run before the next event. Empty: timers always run.
  std::function<bool()> is_idle = {};
  /// Names of the classes, for the metrics. Empty: requests are counted under the name "".
  std::vector<std::string> classes = {};
};

/// Owns the Router and the open requests. Events of downstreams, upstreams and discovery become events of the
/// Router; the Router's actions become calls to them. The engine decides nothing and does no I/O: time comes
/// from a TimeSource.
///
/// Single-threaded. The Router is never called from within its own actions: attempts that end during them are
/// queued and reported by process_pending_events().
class Engine final : public ActionSink,
                     public RequestHandler,
                     public EndpointListObserver,
                     public MergedListObserver,
                     public AttemptObserver {
 public:
  using Log = std::function<void(std::string_view)>;

  /// `upstream_factory` and `time` must outlive the engine.
  Engine(TimeSource& time, const EngineSettings& settings, UpstreamFactory& upstream_factory, Log log);
  ~Engine() override;

  /// Applies the endpoint list known before the start and uses `discovery` from now on.
  void start(EndpointDiscovery& discovery, const EndpointList& known);
  /// Adds a downstream, which must outlive the engine's last event.
  void add(Downstream& downstream);

  // ---- Settings

  /// Applies new settings. Open requests keep the rules that they arrived under. Throws
  /// std::invalid_argument, and then nothing has changed. Cache-aside mode, the origin's kind, the way lists
  /// are obtained and the own zone stay as they were at the start.
  void reconfigure(Config config, const std::vector<std::string>& class_names);
  /// Sets the number of routers that fleet-wide totals are divided by.
  void set_routers(std::uint32_t routers);
  [[nodiscard]] std::uint32_t routers() const { return config_.routers; }
  /// Sets this router's part of fleet-wide limits that are divided by demand; origin_work() is its demand.
  void set_shares(Shares shares);
  [[nodiscard]] OriginWork origin_work() const { return router_->origin_work(); }
  [[nodiscard]] const std::vector<Tenant>& tenants() const { return config_.tenants; }
  [[nodiscard]] const ClassTable& classes() const { return classes_; }

  // ---- Operators

  /// Disables a cache server regardless of endpoint lists, or enables it again. An enabled server counts as
  /// started at `started` (Unix time in microseconds) unless a list has a later start; 0: as listed.
  void set_override(const std::string& name, bool is_disabled, Time started);
  /// Whether the endpoint list contains a cache server of this name.
  [[nodiscard]] bool lists_cache(const std::string& name) const { return endpoints_.lists_cache(name); }
  [[nodiscard]] bool is_origin(const std::string& name) const { return endpoints_.is_origin(name); }
  [[nodiscard]] EndpointRegistry::Counts endpoint_counts() const;
  /// Starts or ends draining: while draining, each response closes its client connection.
  void set_draining(bool draining);

  // ---- Metrics

  [[nodiscard]] const Counters& counts() const { return counters_; }
  [[nodiscard]] const RequestMetrics& metrics() const { return metrics_; }
  /// Starts counting requests by tenant. Called only if requests_by_tenant() is read.
  void count_by_tenant() { requests_by_tenant_.assign(config_.tenants.size(), 0); }
  [[nodiscard]] const std::vector<std::uint64_t>& requests_by_tenant() const { return requests_by_tenant_; }
  /// The most servers that were known at the same time.
  [[nodiscard]] std::size_t servers() const { return endpoints_.size(); }
  /// The counters in one line; `extra_fields` is inserted before the outcomes of attempts.
  [[nodiscard]] std::string summary(const std::string& extra_fields) const {
    return counters_.summary(extra_fields);
  }

  // ---- The process

  /// Starts a graceful shutdown (see Shutdown) and calls `done` when it is complete.
  void shut_down(std::function<void()> done);
  /// Accounts for a suspension of the process that lasted `length` microseconds of real time, which now() did
  /// not count: makes all deadlines that much earlier, and fails requests that are past their deadline.
  /// Closes idle connections, since the server may have closed them unnoticed.
  void process_suspended(Time length);
  /// Closes an idle upstream connection. Returns whether there was one.
  bool evict_idle_connection() { return endpoints_.evict_idle_connection(); }

  // ActionSink: called by the Router, only from within its events.
  void send(RequestId request, ServerId server, Time time_out) override;
  void cancel(RequestId request, std::uint32_t attempt) override;
  void reject(RequestId request, Time retry_after) override;
  void fail(RequestId request) override;
  void close_idle(ServerId server) override;
  void poll_discovery() override;

  // RequestHandler: called by downstreams.
  RequestId on_request(const std::shared_ptr<ResponseSink>& response_sink, IncomingRequest incoming) override;
  void on_client_cancelled(RequestId request) override;
  void on_body_complete(RequestId request) override;
  void on_rejected_unread(std::uint32_t request_class) override;

  // EndpointListObserver: called by discovery where it is the only source of lists.
  void on_endpoint_list(const EndpointList& list) override;
  // MergedListObserver: called by the merger where there are more.
  void on_merged_list(const EndpointList& list) override;
  void on_stored_list(const StoredEndpointList& stored) override;
  void on_discovery_answered() override;
  void on_discovery_failed() override;

  // AttemptObserver: called by upstreams.
  void on_attempt_ended(AttemptId attempt, Outcome outcome, Answer answer) override;
  std::optional<Time> may_write(AttemptId attempt) override;

 private:
  /// An event for the Router that waits until the Router is not in a call: an ended attempt or, with the
  /// number kNone, a request that may be removed.
  struct EndedAttempt {
    AttemptId attempt;
    Outcome outcome;
  };

  OpenRequest* find(RequestId request);
  [[nodiscard]] const OpenRequest* find(RequestId request) const;
  AttemptRecord* find(AttemptId attempt);

  // Requests
  OpenRequest& open(RequestId id, const std::shared_ptr<ResponseSink>& response_sink,
                    IncomingRequest& incoming);
  void pass_to_router(RequestId id, const OpenRequest& open, const IncomingRequest& incoming);
  void answer(RequestId request, Response response);
  void fail_late(RequestId request);
  void remove_if_done(RequestId request);
  void cancel_disconnected();
  static void end_upload(const OpenRequest& open);
  void cancel_unsent(RequestId request, const OpenRequest& open);

  // Attempts
  bool may_send(AttemptId id, const OpenRequest& open, Time begin_by);
  void report(AttemptId attempt, Outcome outcome);
  void report_to_router(AttemptId id, const OpenRequest& open, const AttemptRecord& attempt, Outcome outcome);
  void fill_caches(const OpenRequest& open, const Answer& answer);

  // Endpoints
  void apply(const EndpointRegistry::ListChange& change);
  void report_discovery(DiscoveryStatus status);

  // Time
  void process_pending_events();
  void schedule_wakeup();
  void wake();
  void run_missed_ticks();
  [[nodiscard]] bool is_pending(const Deadline& deadline) const;
  [[nodiscard]] Time due_time_of(const Deadline& deadline, Time now) const;
  void extend_deadline(OpenRequest& open);
  void extend_router_deadline(RequestId request, OpenRequest& open);
  void guard_deadline(RequestId request);
  void run_periodic_tasks();

  // Settings and shutdown
  void bind_class_metrics();
  void notify_drain_started();
  [[nodiscard]] std::size_t unanswered() const;
  void end_shutdown_phase();
  void fail_all_open();
  void finish_if_drained();

  TimeSource& time_;
  Log log_;
  EndpointDiscovery* discovery_ = nullptr;
  std::vector<Downstream*> downstreams_;
  bool draining_ = false;

  Config config_;
  ClassTable classes_;
  bool has_origin_;
  std::function<bool()> is_idle_;
  std::optional<Router> router_;
  EndpointRegistry endpoints_;

  // Memory of the maps below, whose entries are added and removed with every request.
  std::pmr::unsynchronized_pool_resource pool_;
  std::pmr::unordered_map<RequestId, OpenRequest> requests_{&pool_};
  TransactionIds transactions_{&pool_};
  RequestId last_request_ = 0;
  std::deque<EndedAttempt> ended_attempts_;
  // Requests whose client was found to have disconnected and that are not cancelled yet.
  std::vector<RequestId> disconnected_requests_;
  bool is_processing_events_ = false;
  CacheFillGuard cache_fill_guard_;

  DeadlineQueue deadlines_;
  WakeupScheduler wakeups_;
  std::unique_ptr<Timer> periodic_timer_;
  bool periodic_timer_armed_ = true;
  Shutdown shutdown_;
  std::unique_ptr<Timer> shutdown_timer_;
  std::function<void()> on_shutdown_complete_;

  Counters counters_;
  RequestMetrics metrics_;
  std::vector<RequestMetrics::ClassCounts*> metrics_by_class_;
  std::vector<std::uint64_t> requests_by_tenant_;
};

}  // namespace streampick::engine
