/// streampick: the public interface of the decision module. src/policy holds the decisions,
/// docs/architecture.md describes them.
///
/// A host feeds a Router events, each with the time at which it happened; the Router answers with actions on
/// a sink and tells when it next wants to be woken. It does no I/O, reads no clock and starts no threads: the
/// same events give the same actions. A Router and its sink are to be used by one thread at a time.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace streampick {

/// Microseconds on the host's clock; durations too.
using Time = std::int64_t;
/// Chosen by the host, never reused.
using RequestId = std::uint64_t;
/// A small integer, chosen by the host: it is an index. It may name another server once the one before is off
/// the list and has no attempt in flight.
using ServerId = std::uint32_t;
inline constexpr Time kNever = INT64_MAX;
/// Stands for absence wherever a 32-bit id is expected.
inline constexpr std::uint32_t kNone = UINT32_MAX;

/// How far a request may be repeated.
enum class Effect : std::uint8_t {
  safe,    ///< any number of times
  keyed,   ///< it carries an idempotency key: servers discard repeats for a while
  unsafe,  ///< only if no attempt can have run
};
/// Which servers discard the repeats of a keyed request.
enum class Group : std::uint8_t { all, zone, cell };
/// What the endpoint list says of a server.
enum class Phase : std::uint8_t { ready, draining, gone };
/// What an update of the endpoint list is.
enum class Update : std::uint8_t {
  changes,  ///< the members that changed
  full,     ///< the whole list
};
/// What is known of discovery, where it has to be polled.
enum class DiscoveryStatus : std::uint8_t {
  not_polled,  ///< it has not been polled yet: any list known is from an earlier time
  answered,    ///< it has answered a poll, and reports further changes by itself
  failed,      ///< a poll has failed, or the reports have ended
};
/// How an attempt ended.
enum class Outcome : std::uint8_t {
  served,
  error,            ///< may have run
  overloaded,       ///< the server shed it: it did not run
  timeout,          ///< may have run
  connect_failed,   ///< never sent
  reset,            ///< may have run
  cancelled,        ///< may have run
  not_sent,         ///< never sent
  miss,             ///< the cache server lacks the key; nothing ran
  malformed,        ///< the answer could not be parsed: may have run, and the server is up
  invalid_request,  ///< the server finds fault with the request itself: so would any other
};

/// What requests of one class have in common.
struct RequestClass {
  Time latency_objective = 0;  ///< an answer within this earns the full priority weight
  Time deadline = 0;           ///< how long the client waits in all, over its own retries
  double priority_weight = 1;
  Effect effect = Effect::unsafe;
  Group group = Group::all;
  Time idempotency_window = 0;     ///< how long servers discard repeats of a keyed request
  std::uint32_t max_attempts = 0;  ///< of one request; 0: Config::max_attempts
  std::uint32_t similar_class =
      kNone;  ///< of a class added later: the one whose usual latency it starts with
  friend bool operator==(const RequestClass&, const RequestClass&) = default;
};

struct Tenant {
  double quota_per_s = 0;  ///< requests over all routers together; 0: no quota
  friend bool operator==(const Tenant&, const Tenant&) = default;
};

/// Settings of a Router. Durations are microseconds.
struct Config {
  std::uint32_t zone = kNone;         ///< of this router
  std::uint32_t origin_kind = kNone;  ///< cache-aside fleets: the member kind that is the origin
  std::uint32_t routers = 1;          ///< number of routers in the fleet
  std::uint32_t max_attempts = 1;     ///< of one request
  bool cache_aside = false;           ///< misses are reported to the router, which then reads the origin
  bool can_cancel = false;            ///< attempts in flight can be cancelled
  bool can_hedge = false;             ///< two attempts of one request may be in flight together
  bool polls_discovery = false;       ///< discovery answers only when it is polled; otherwise it pushes lists
  Time answer_slack = 0;              ///< time for an answer to reach its client: no attempt starts later
  Time max_retry_after = 0;           ///< greatest Retry-After
  Time connect_timeout = 0;           ///< from the start of a connect to its failure
  Time keep_alive = 0;                ///< servers close a connection that is idle for this long; 0: unknown
  double connection_cost = 0;         ///< price of open connections, for each 100 x servers; 0: free
  double handshake_cost = 0;          ///< price of new connections, for each request
  double slow_start_initial_share = 1;  ///< share of its full load that a starting server can take
  Time slow_start_duration = 0;         ///< from a server's start until it can take its full load
  /// A starting server is overloaded when all routers together send it this multiple of what it can take
  /// within `slow_start_overload_window`; 0: unknown.
  double slow_start_overload_factor = 0;
  Time slow_start_overload_window = 1'000'000;
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
};

/// Throws std::invalid_argument whose message says what is wrong. The constructor of Router calls it.
void validate(const Config& config);

/// One entry of the endpoint list.
struct Member {
  ServerId id = kNone;
  std::uint64_t identity = 0;  ///< hash of the server's name: equal at all routers
  std::uint32_t zone = kNone;
  std::uint32_t kind = kNone;
  std::uint32_t cell = 0;
  Phase phase = Phase::ready;
  double weight = 1;
  Time started = 0;  ///< 0: long ago
};

/// What an operator has decided about one server. It takes precedence over the endpoint list.
struct EndpointOverride {
  bool disabled = false;  ///< treated as draining where the list says ready
  Time started = 0;       ///< the server's start, unless the list has a later one; 0: as listed
  friend bool operator==(const EndpointOverride&, const EndpointOverride&) = default;
};

/// A request as it arrives.
struct Request {
  RequestId id = 0;
  std::uint32_t request_class = 0;
  std::uint32_t tenant = kNone;
  std::uint64_t key = 0;
  bool has_key = false;
  bool write = false;
  Time deadline = 0;   ///< point in time at which the client gives up
  Time cost_hint = 0;  ///< expected work; 0: unknown
};

/// How one attempt ended.
struct AttemptResult {
  RequestId request = 0;
  std::uint32_t attempt = 0;  ///< number of the attempt, from 0, in the order of send()
  ServerId server = kNone;
  Outcome outcome = Outcome::error;
  Time duration = 0;           ///< from send() to the end
  bool request_over = false;   ///< the client has its answer, or has disconnected
  bool body_consumed = false;  ///< the streamed request body was read in part: it cannot be sent again
};

/// This router's part of limits that hold for all routers together, where they are divided by demand.
struct Shares {
  std::vector<double> quotas;     ///< requests a second, by tenant; tenants beyond have an even share
  double origin_reserved = 1e18;  ///< attempts at the origin that may always be in flight at once ...
  double origin_leased = 0;       ///< ... and so many more until `origin_lease_end`
  Time origin_lease_end = 0;      ///< compared with the time at which an attempt is sent
};

/// Work of this router at the origin.
struct OriginWork {
  int in_flight = 0;       ///< attempts
  std::size_t queued = 0;  ///< requests, including finished ones that are not removed from the queue yet
};

/// Receives a Router's actions. The host implements it; it must outlive the Router, and must not call the
/// Router from within an action.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  /// Sends the request to the server: its next attempt, numbered from 0. `time_out` is a duration; 0: until
  /// the request's deadline. The host reports the end by Router::on_result().
  virtual void send(RequestId request, ServerId server, Time time_out) = 0;
  /// Cancels an attempt in flight; its end is reported all the same.
  virtual void cancel(RequestId request, std::uint32_t attempt) = 0;
  /// Rejects the request: the client may come back after `retry_after`. Nothing of it has run, or it may be
  /// repeated.
  virtual void reject(RequestId request, Time retry_after) = 0;
  /// Ends the request with a failure. An attempt of it may have run.
  virtual void fail(RequestId request) = 0;
  /// Closes the idle connections to this server. Optional.
  virtual void close_idle(ServerId) {}
  /// Polls discovery for the endpoint list; how that ends is reported by Router::on_discovery().
  virtual void poll_discovery() = 0;
};

/// Decides for each request which server it is sent to and when, what is retried, hedged and rejected. Every
/// event has the time at which it happened, none earlier than the one before. Actions are called from within
/// the events.
class Router {
 public:
  /// Throws std::invalid_argument for settings that can't work. `seed` is that of all random draws.
  Router(Config config, std::uint64_t seed, Time now, ActionSink& sink);
  ~Router();
  Router(Router&&) noexcept;

  /// New settings while it serves. Classes keep their places: a request's rules are those that stand at its
  /// class's place, which may change only when no request of that place is open. What was learned stays. The
  /// family, the origin's kind, how lists come and the own zone must be as they were at the start. Throws as
  /// the constructor does, and then nothing has changed.
  void on_config(Time now, Config config);
  /// What discovery has done, whatever the endpoint list contains. The host calls it once at the start and
  /// each time a poll succeeds or fails. Without Config::polls_discovery it has no effect.
  void on_discovery(Time now, DiscoveryStatus status);
  /// The endpoint list, as it was listed: without operators' overrides, and from whatever source.
  void on_members(Time now, Update update, std::span<const Member> members);
  /// An operator's override of a server. It stays in force, whether the server is listed or not, until the
  /// next override of this id; a default value removes it. An id that is to name another server keeps its
  /// override until the host replaces it.
  void on_override(Time now, ServerId server, const EndpointOverride& value);
  /// A request has arrived. It ends with a result that says request_over, with ActionSink::reject(), with
  /// ActionSink::fail() or with on_cancelled().
  void on_request(Time now, const Request& request);
  /// A request's deadline is later than it was known to be: the client's time counts from the end of a body
  /// that it is still sending. An earlier `deadline` than the present one has no effect.
  void on_deadline_extended(Time now, RequestId request, Time deadline);
  /// The answer of an attempt is being passed on to the client: the request is no longer hedged, nor ended at
  /// its deadline.
  void on_stream_started(Time now, RequestId request, std::uint32_t attempt);
  /// An attempt has ended; once for each send().
  void on_result(Time now, const AttemptResult& result);
  /// The client has cancelled the request or has disconnected.
  void on_cancelled(Time now, RequestId request);
  /// To be called at next_wakeup(), or later.
  void on_wakeup(Time now);
  /// This router's shares, from now on; what was sent beyond them stays in flight.
  void on_shares(Time now, Shares shares);
  /// Whether a listed server is ejected, as of the last event about it. Throws std::out_of_range for an id
  /// that was never listed.
  [[nodiscard]] bool is_ejected(ServerId server) const;
  [[nodiscard]] OriginWork origin_work() const;
  /// When on_wakeup() is to be called next; kNever: nothing to wake for.
  [[nodiscard]] Time next_wakeup() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace streampick
