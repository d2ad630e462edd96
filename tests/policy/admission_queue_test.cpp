// Unit tests of AdmissionQueue, the queue of requests that wait for capacity at the caches.
#include "policy/admission_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "policy/idle_connections.h"

namespace streampick::policy::test {
namespace {

struct NullSink final : ActionSink {
  void send(RequestId, ServerId, Time) override {}
  void cancel(RequestId, std::uint32_t) override {}
  void reject(RequestId, Time) override {}
  void fail(RequestId) override {}
  void poll_discovery() override {}
};

// Ends requests that fall back to the origin, like a request execution without an origin.
class RejectingHandler final : public RequestHandler {
 public:
  explicit RejectingHandler(RequestTable& requests) : requests_(requests) {}

  void start(RequestState&, Time) override { ++started_; }
  void fall_back_to_origin(RequestState& request, Time) override {
    ++rejected_;
    request.is_over = true;
    requests_.release_if_done(request);
  }
  void give_up(RequestState&, Time) override {}

  [[nodiscard]] std::size_t started() const { return started_; }
  [[nodiscard]] std::size_t rejected() const { return rejected_; }

 private:
  RequestTable& requests_;
  std::size_t started_ = 0;
  std::size_t rejected_ = 0;
};

Config one_class() {
  Config config;
  config.routers = 1;
  config.max_attempts = 2;
  config.max_retry_after = 1'000'000;
  config.classes = {{200'000, 1'000'000, 1, Effect::safe, Group::all, 0}};
  return config;
}

// Admission control with a limit of one cache attempt, which is used up by an attempt that never ends.
class BusyCaches {
 public:
  explicit BusyCaches(const Config& config)
      : slow_start_(config, arrivals_),
        ready_(config, endpoints_, slow_start_),
        connections_(config, endpoints_, ready_, arrivals_, timers_, sink_),
        admission_(config, dispatcher_, limit_) {
    admission_.configure(config);
    limit_.initialize(0);
    Endpoint& endpoint = endpoints_.ensure(0);
    endpoints_.join_failure_domains(endpoint);
    dispatcher_.send(requests_.open({}, 0), 0, 0);
  }
  AdmissionControl& admission() { return admission_; }

 private:
  NullSink sink_;
  RequestTable requests_;
  TimerQueue timers_{requests_};
  ArrivalInterval arrivals_;
  SlowStart slow_start_;
  EndpointTable endpoints_;
  ReadyEndpoints ready_;
  IdleConnections connections_;
  AttemptDispatcher dispatcher_{endpoints_, connections_, sink_};
  CongestionEstimate congestion_;
  CacheLimit limit_{congestion_};
  AdmissionControl admission_;
};

// Guards against a memory leak under sustained overload: the queue is never empty, and entries of requests
// that timed out at its old end must be removed.
TEST(AdmissionQueue, SustainedOverload_QueueHoldsOnlyWaitingRequests) {
  const Config config = one_class();
  BusyCaches caches(config);
  const RequestRules rules(config);
  RequestTable requests;
  TimerQueue timers(requests);
  ClassLatencies latencies;
  latencies.configure(config, config);
  RejectingHandler handler(requests);
  AdmissionQueue queue({rules, requests, latencies, caches.admission(), timers, handler});
  std::deque<SlotIndex> waiting;
  std::size_t most = 0;
  Time now = 0;
  for (RequestId id = 1; id <= 20'000; ++id) {
    now += 1'000;
    Request request;
    request.id = id;
    request.deadline = now + 1'000'000;
    RequestState& state = requests.open(request, now);
    queue.enqueue(state, now);
    waiting.push_back(state.self.slot);
    if (waiting.size() < 40) {
      continue;
    }
    queue.on_timeout(requests.at(waiting.front()), now);
    waiting.pop_front();
    most = std::max(most, queue.size());
  }
  EXPECT_EQ(handler.started(), 0U);
  EXPECT_GT(handler.rejected(), 19'000U);
  EXPECT_LE(most, 40U);
}

}  // namespace
}  // namespace streampick::policy::test
