// Runs one schedule of calls on virtual time through the engine as the daemon uses it and as the client
// library uses it (plugin/calls, held transports, no wake-ups between requests). Each call must have the same
// outcome at the same time, and the counters must be equal.
#include <gtest/gtest.h>

#include <random>

#include "engine/keys.h"
#include "engine/scripted_upstreams.h"
#include "plugin/calls.h"
#include "plugin/held_transport.h"
#include "plugin/resume.h"

namespace streampick::test {
namespace {

using namespace engine;

constexpr Time kMs = 1'000, kSecond = 1'000'000;

struct Change {
  Time at;
  std::string id;
  Phase phase;
  bool just_started = false;  // begins its slow start
};
struct Scenario {
  const char* name;
  std::vector<ServerFault> faults = {};
  std::vector<Change> changes = {};
  Time every = 4 * kMs;  // between calls, on average
  int calls = 2'500;
};
void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }

struct Planned {
  Time at, patience;
  bool save;
  std::uint32_t request_class;
  std::string key;
};
std::vector<Planned> plan(const Scenario& scenario) {
  std::minstd_rand random(20261201);
  std::vector<Planned> out;
  Time at = 10 * kMs;
  for (int i = 0; i < scenario.calls; ++i) {
    at += static_cast<Time>(random() % static_cast<std::uint64_t>(2 * scenario.every)) + 1;
    const auto kind = random() % 12;
    const std::uint32_t request_class = kind == 0 ? 1U : kind == 1 ? 2U : 0U;
    const Time patience = (random() % 8 == 0 ? 80 : 1'200) * kMs;
    out.push_back(
        {at, patience, request_class != 0, request_class, "sheet-" + std::to_string(random() % 90)});
  }
  return out;
}

struct End {
  Time at = 0;
  int ends = 0;
  Result result;
  friend bool operator==(const End& a, const End& b) {
    const auto all = [](const End& end) {
      const Result& r = end.result;
      return std::make_tuple(end.at, end.ends, r.status, r.value, r.late, r.not_found, r.may_have_run,
                             r.retry_after);
    };
    return all(a) == all(b);
  }
};
std::ostream& operator<<(std::ostream& out, const End& end) {
  return out << "status " << static_cast<int>(end.result.status) << " at " << end.at << " ended " << end.ends
             << " times, late " << end.result.late << ", retry after " << end.result.retry_after.count();
}

Settings common_settings() {
  Settings out;
  Config& config = out.config;
  config.cache_aside = true;
  config.origin_kind = 1;
  config.max_attempts = 3;
  config.can_cancel = config.can_hedge = true;
  config.max_retry_after = 2 * kSecond;
  config.answer_slack = 20 * kMs;
  config.slow_start_initial_share = 0.2;
  config.slow_start_duration = 5 * kSecond;
  config.classes = {{200 * kMs, 2 * kSecond, 1, Effect::safe, Group::all, 0},
                    {400 * kMs, 2 * kSecond, 2, Effect::keyed, Group::all, 5 * kSecond},
                    {400 * kMs, 2 * kSecond, 2, Effect::unsafe, Group::all, 0}};
  out.names.classes = {"read", "save", "pay"};
  out.names.keyed = {false, true, false};
  out.drain_grace = 2 * kSecond;
  return out;
}

ListedEndpoint listed(const std::string& id, std::uint32_t kind, Phase phase, Time started) {
  ListedEndpoint out{id, "127.0.0.1:1", {}};
  out.member.identity = hash_name(id);
  out.member.kind = kind;
  out.member.phase = phase;
  out.member.started = started;
  return out;
}

// The common part of both sides.
struct Side : EndpointDiscovery {
  explicit Side(const Scenario& scenario) : fleet(time, 5, scenario.faults) {}
  void watch() override {}

  // `transports`: the fleet, or transports in front of it.
  void begin(UpstreamFactory& transports, Downstream& front, std::function<bool()> is_idle) {
    EngineSettings own{settings.config, 7};
    own.is_idle = std::move(is_idle);
    engine = std::make_unique<Engine>(time, own, transports, [](std::string_view) {});
    fleet.report_to(*engine);
    engine->add(front);
    EndpointList known;
    known.revision = 1;
    known.complete = true;
    for (int i = 0; i < 6; ++i) known.members.push_back(listed("c-" + std::to_string(i), 0, Phase::ready, 0));
    known.members.push_back(listed("origin", 1, Phase::ready, 0));
    engine->start(*this, known);
    engine->on_endpoint_list(known);
  }
  virtual void call(std::size_t i, const Planned& planned) = 0;
  virtual void on_list(const EndpointList& list) { engine->on_endpoint_list(list); }

  void run(const Scenario& scenario, const std::vector<Planned>& calls) {
    ends.resize(calls.size());
    const Time start = time.now();
    std::size_t change = 0;
    std::uint64_t revision = 1;
    for (std::size_t i = 0; i < calls.size(); ++i) {
      for (; change < scenario.changes.size() && scenario.changes[change].at <= calls[i].at; ++change) {
        const Change& one = scenario.changes[change];
        time.advance(start + one.at - time.now());
        EndpointList list;
        list.revision = ++revision;
        list.members.push_back(listed(one.id, 0, one.phase, one.just_started ? time.now() : 0));
        on_list(list);
      }
      time.advance(start + calls[i].at - time.now());
      call(i, calls[i]);
    }
    time.advance(10 * kSecond);
  }
  void ended(std::size_t i, Result result) {
    ends[i].at = time.now();
    ++ends[i].ends;
    ends[i].result = std::move(result);
  }

  ManualTime time;
  Settings settings = common_settings();
  ScriptedUpstreams fleet;
  std::unique_ptr<Engine> engine;
  std::vector<End> ends;
};

// Submits requests as a downstream listener of the daemon does.
struct Daemon final : Side {
  explicit Daemon(const Scenario& scenario) : Side(scenario) { begin(fleet, front, {}); }
  struct Waiting final : ResponseSink {
    Daemon* owner = nullptr;
    std::size_t place = 0;
    bool save = false;
    void respond(std::uint64_t, Response reply) override {
      owner->ended(place, plugin::result_of(std::move(reply), save, false));
    }
  };
  void call(std::size_t i, const Planned& planned) override {
    const auto sink = std::make_shared<Waiting>();
    sink->owner = this;
    sink->place = i;
    sink->save = planned.save;
    IncomingRequest incoming;
    incoming.message = std::make_shared<Message>();
    incoming.message->operation = planned.save ? Operation::write : Operation::read;
    incoming.message->key = planned.key;
    incoming.message->transaction_id = std::to_string(i);
    if (planned.request_class == 1) incoming.message->idempotency_key = "save-" + std::to_string(i);
    incoming.request_class = planned.request_class;
    incoming.transaction_id = 0x9000 + i;
    incoming.key = key_number(planned.key);
    incoming.has_key = true;
    incoming.remaining = planned.patience;
    engine->on_request(sink, std::move(incoming));
  }
  FakeDownstream front;
};

// Submits calls as the client library does.
struct Plugin final : Side, private UpstreamFactory {
  explicit Plugin(const Scenario& scenario) : Side(scenario) {
    calls = std::make_unique<plugin::Calls>(settings, 99, [this] { return time.now(); });
    begin(*this, *calls, [this] { return fleet.is_idle(); });
    calls->set_engine(*engine);
  }
  struct Waiting final : plugin::Calls::OpenCall {
    Plugin* owner = nullptr;
    std::size_t place = 0;
    void on_end(Result result) override { owner->ended(place, std::move(result)); }
  };
  std::unique_ptr<Upstream> make(const std::string& name, std::uint32_t kind) override {
    return std::make_unique<plugin::HeldTransport>(fleet.make(name, kind),
                                                   [this] { return detector.may_send(time.now()); });
  }
  void call(std::size_t i, const Planned& planned) override {
    const auto open = std::make_shared<Waiting>();
    open->owner = this;
    open->place = i;
    CallOptions options;
    options.request_class = settings.names.classes[planned.request_class];
    options.deadline = std::chrono::microseconds(planned.patience);
    if (planned.request_class == 1) options.idempotency_key = "save-" + std::to_string(i);
    plugin::CheckedCall checked =
        plugin::check_call(settings, planned.save, kNone, planned.key, "", options, time.now());
    ASSERT_EQ(checked.error, "");
    calls->submit(open, std::move(checked.request));
  }
  std::unique_ptr<plugin::Calls> calls;
  plugin::SuspensionDetector detector;
};

class PluginVirtualTime : public ::testing::TestWithParam<Scenario> {};

TEST_P(PluginVirtualTime, DaemonAndPlugin_HaveEqualOutcomesForEachCall) {
  const Scenario& scenario = GetParam();
  const std::vector<Planned> calls = plan(scenario);
  Daemon daemon(scenario);
  daemon.run(scenario, calls);
  Plugin plugin(scenario);
  plugin.run(scenario, calls);
  std::size_t different = 0;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    EXPECT_EQ(daemon.ends[i].ends, 1) << i;
    EXPECT_EQ(plugin.ends[i].ends, 1) << i;
    if (!(daemon.ends[i] == plugin.ends[i]) && ++different <= 3)
      ADD_FAILURE() << "call " << i << " at " << calls[i].at << ": daemon " << daemon.ends[i] << "; plug-in "
                    << plugin.ends[i];
  }
  EXPECT_EQ(different, 0U);
  const Counters &one = daemon.engine->counts(), &other = plugin.engine->counts();
  EXPECT_EQ(one.served, other.served);
  EXPECT_EQ(one.refused, other.refused);
  EXPECT_EQ(one.failed, other.failed);
  EXPECT_EQ(one.attempts, other.attempts);
  EXPECT_EQ(one.cancelled_attempts, other.cancelled_attempts);
  EXPECT_EQ(one.outcomes, other.outcomes);
  EXPECT_EQ(one.deadline_guards + other.deadline_guards, 0U);
  EXPECT_EQ(daemon.fleet.requests, plugin.fleet.requests);
  EXPECT_GT(one.served, calls.size() / 4);
  // A keyed save may run more than once under its idempotency key, an unsafe one may not.
  for (const Side* side : {static_cast<const Side*>(&daemon), static_cast<const Side*>(&plugin)}) {
    for (const auto& [id, runs] : side->fleet.saves)
      EXPECT_TRUE(runs == 1 || id.rfind("save-", 0) == 0) << id << " ran " << runs << " times";
    for (const Change& change : scenario.changes) {
      if (change.phase == Phase::ready) continue;
      const auto last = side->fleet.last_send.find(change.id);
      const Time at = last == side->fleet.last_send.end() ? 0 : last->second;
      EXPECT_LE(at, change.at + 2 * kSecond) << change.id;
    }
  }
}

using K = ServerFault::Kind;
INSTANTIATE_TEST_SUITE_P(
    Scenarios, PluginVirtualTime,
    ::testing::Values(
        Scenario{"no faults"},
        Scenario{"stalls",
                 {{K::stall, 2 * kSecond, 4 * kSecond, "c-1"}, {K::stall, 6 * kSecond, 7 * kSecond}}},
        Scenario{"draining",
                 {},
                 {{2 * kSecond, "c-0", Phase::draining},
                  {3 * kSecond, "c-1", Phase::gone},
                  {5 * kSecond, "c-2", Phase::draining},
                  {6 * kSecond, "c-2", Phase::gone}}},
        Scenario{"slow start",
                 {},
                 {{2 * kSecond, "c-7", Phase::ready, true}, {3 * kSecond, "c-8", Phase::ready, true}}},
        Scenario{"cache flush", {{K::flush, 3 * kSecond, 5 * kSecond}}},
        Scenario{"resets", {{K::reset, kSecond, 9 * kSecond, "", 150}}},
        Scenario{
            "malformed",
            {{K::malformed, kSecond, 9 * kSecond, "", 150}, {K::overloaded, kSecond, 9 * kSecond, "", 50}}},
        Scenario{"all faults",
                 {{K::reset, kSecond, 9 * kSecond, "", 60},
                  {K::stall, 3 * kSecond, 5 * kSecond, "c-3"},
                  {K::slow, 2 * kSecond, 6 * kSecond, "origin"},
                  {K::connect_refused, 4 * kSecond, 8 * kSecond, "c-4"}},
                 {{4 * kSecond, "c-0", Phase::draining}, {5 * kSecond, "c-9", Phase::ready, true}}},
        Scenario{"a call a minute", {{K::reset, 0, 3'600 * kSecond, "", 100}}, {}, 60 * kSecond, 150}),
    [](const auto& info) {
      std::string name = info.param.name;
      std::replace(name.begin(), name.end(), ' ', '_');
      return name;
    });

}  // namespace
}  // namespace streampick::test
