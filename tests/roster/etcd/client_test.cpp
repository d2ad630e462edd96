// Tests of EtcdRoster over gRPC against the stand-in, which injects each failure.
#include "roster/etcd/client.h"

#include <grpc/support/time.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "standin/etcd/server.h"

// gRPC's hook for reading its clocks, which gRPC's own tests replace too.
extern "C" gpr_timespec (*gpr_now_impl)(gpr_clock_type clock_type);

namespace streampick::etcd {
namespace {

using namespace std::chrono_literals;
using Faults = standin::EtcdServer::Faults;
constexpr const char* kPrefix = "/test/servers/";

std::string value(int i, const std::string& phase = "in_service", const std::string& address = "") {
  return nlohmann::json{{"id", "s-" + std::to_string(i)},
                        {"host_port", address.empty() ? "127.0.0.1:" + std::to_string(1'000 + i) : address},
                        {"locality", "a"},
                        {"flavor", "cache"},
                        {"cell", 1},
                        {"phase", phase},
                        {"size", 1.0},
                        {"up_since_ms", 0}}
      .dump();
}
std::string key(int i) { return kPrefix + std::to_string(100'000 + i); }

// Keeps the roster that an engine would have.
struct Reader final : engine::EndpointListObserver {
  void on_endpoint_list(const engine::EndpointList& list) override {
    ++lists;
    if (list.complete) there.clear();
    for (const auto& one : list.members) {
      if (one.member.phase == Phase::gone) {
        gone.push_back(one.id);
        there.erase(one.id);
      } else {
        there[one.id] = one;
      }
    }
  }
  void on_discovery_failed() override { ++failed; }
  std::map<std::string, engine::ListedEndpoint> there;
  std::vector<std::string> gone;
  int lists = 0, failed = 0;
};

struct EtcdClient : ::testing::Test {
  EtcdClient() {
    names.zones = {"a"};
    names.kinds = {"cache", "origin"};
    options.on = true;
    options.prefix = kPrefix;
    options.watcher.response_timeout = 500'000;
    options.watcher.progress_request_delay = 200'000;
    options.watcher.stale_after = 1'000'000;
    // Keys outside the prefix must be ignored.
    server.put("/test/serverr", "below");
    server.put("/test/servers0", "above");
  }
  void start(std::vector<std::string> endpoints = {}) {
    options.endpoints = endpoints.empty() ? std::vector<std::string>{server.address()} : std::move(endpoints);
    options.watcher.endpoints = options.endpoints.size();
    roster = std::make_unique<EtcdRoster>(
        io, names, options, 7, reader,
        [this](const engine::StoredEndpointList& stored) {
          if (use_seed) reader.on_endpoint_list(stored.list);
          return use_seed;
        },
        [this](std::string_view line) { log.emplace_back(line); });
  }
  [[nodiscard]] bool wait_for(const std::function<bool()>& holds) {
    const auto until = std::chrono::steady_clock::now() + 20s;
    while (!holds()) {
      if (std::chrono::steady_clock::now() > until) return false;
      io.restart();
      io.run_one_for(10ms);
    }
    return true;
  }
  void quiet(std::chrono::milliseconds time) {
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until) {
      io.restart();
      io.run_one_for(10ms);
    }
  }
  bool logged(const std::string& part) const {
    return std::any_of(log.begin(), log.end(),
                       [&](const std::string& line) { return line.find(part) != std::string::npos; });
  }
  std::size_t there() const { return reader.there.size(); }
  void put(int from, int to) { put_into(server, from, to); }
  static void put_into(standin::EtcdServer& to_server, int from, int to) {
    to_server.on([&](standin::EtcdHistory& history) {
      for (int i = from; i < to; ++i) history.put(key(i), value(i));
    });
  }

  Names names;
  Options options;
  standin::EtcdServer server;
  boost::asio::io_context io;
  Reader reader;
  bool use_seed = true;
  std::vector<std::string> log;
  std::unique_ptr<EtcdRoster> roster;
};

TEST_F(EtcdClient, ListingAndWatch_DeliverAddedChangedAndRemovedServers) {
  put(0, 25);
  options.watcher.page_size = 10;
  start();
  ASSERT_TRUE(wait_for([&] { return there() == 25; }));
  EXPECT_EQ(server.ranges, 3U);
  ASSERT_TRUE(wait_for([&] { return server.open_watches == 1; }));
  server.put(key(3), value(3, "terminating"));
  ASSERT_TRUE(wait_for([&] { return reader.there["s-3"].member.phase == Phase::draining; }));
  server.remove(key(3));
  put(30, 31);
  ASSERT_TRUE(wait_for([&] { return there() == 25 && reader.there.contains("s-30"); }));
  EXPECT_EQ(reader.gone, std::vector<std::string>{"s-3"});
  server.put(key(4), "{");
  ASSERT_TRUE(wait_for([&] { return logged("has an invalid value, which is ignored"); }));
  EXPECT_TRUE(reader.there.contains("s-4"));
  EXPECT_EQ(server.ranges, 3U);
}

TEST_F(EtcdClient, DroppedWatch_ResumesAndCompactedWatchListsAgain) {
  put(0, 8);
  start();
  ASSERT_TRUE(wait_for([&] { return there() == 8 && server.open_watches == 1; }));
  server.drop_watches();
  server.remove(key(0));
  ASSERT_TRUE(wait_for([&] { return reader.gone.size() == 1 && server.open_watches == 1; }));
  EXPECT_EQ(server.ranges, 1U);
  server.drop_watches();
  server.on([&](standin::EtcdHistory& history) {
    history.remove(key(1));
    history.remove(key(2));
    history.put(key(2), value(2));  // exists again, as another incarnation
    history.put(key(9), value(9));
    history.compact(history.revision());
  });
  ASSERT_TRUE(wait_for([&] { return reader.gone.size() == 3; }));
  EXPECT_EQ(reader.gone, (std::vector<std::string>{"s-0", "s-1", "s-2"}));
  ASSERT_TRUE(wait_for([&] { return there() == 7; }));
  EXPECT_TRUE(reader.there.contains("s-2") && reader.there.contains("s-9"));
  EXPECT_EQ(server.ranges, 2U);
  EXPECT_TRUE(logged("compacted up to revision"));
}

TEST_F(EtcdClient, StreamFailureWithinTransaction_DeliversNoPartOfIt) {
  put(0, 6);
  start();
  ASSERT_TRUE(wait_for([&] { return there() == 6 && server.open_watches == 1; }));
  server.set({.break_in_batch = true, .fragment = 1});
  server.on([](standin::EtcdHistory& history) {
    history.commit({{key(0), std::nullopt, 0}, {key(1), std::nullopt, 0}, {key(7), value(7), 0}});
  });
  ASSERT_TRUE(wait_for([&] { return server.watches >= 3; }));
  EXPECT_EQ(reader.gone.size(), 0U);
  EXPECT_EQ(there(), 6U);
  server.set({.repeat = true, .fragment = 1});
  ASSERT_TRUE(wait_for([&] { return reader.there.contains("s-7"); }));
  EXPECT_EQ(reader.gone.size(), 2U);
  EXPECT_EQ(there(), 5U);
  quiet(100ms);
  EXPECT_EQ(reader.gone.size(), 2U);  // delivered twice, reported once
}

TEST_F(EtcdClient, HalfOpenStream_IsDetectedAndNextMemberIsUsed) {
  const auto cluster = std::make_shared<standin::EtcdCluster>();
  standin::EtcdServer one(cluster), other(cluster);
  put_into(one, 0, 2);
  start({one.address(), other.address()});
  ASSERT_TRUE(wait_for([&] { return there() == 2 && one.open_watches + other.open_watches == 1; }));
  standin::EtcdServer& silent = one.open_watches == 1 ? one : other;
  standin::EtcdServer& takes_over = one.open_watches == 1 ? other : one;
  silent.set({.silent = true});
  takes_over.remove(key(0));
  ASSERT_TRUE(wait_for([&] { return reader.gone.size() == 1; }));
  EXPECT_EQ(takes_over.open_watches, 1);
  EXPECT_GE(silent.progress_asked + takes_over.progress_asked, 1U);
  EXPECT_EQ(one.ranges + other.ranges, 1U);  // the watch resumed without another listing
}

TEST_F(EtcdClient, UnreachableEtcd_KeepsRosterReportsStaleOnceAndLosesNoDeparture) {
  put(0, 4);
  start();
  ASSERT_TRUE(wait_for([&] { return there() == 4 && server.open_watches == 1; }));
  server.set({.unavailable = true});
  ASSERT_TRUE(wait_for([&] { return reader.failed == 1; }));
  server.remove(key(0));
  quiet(500ms);
  EXPECT_EQ(reader.failed, 1);
  EXPECT_EQ(there(), 4U);
  EXPECT_EQ(roster->counts().state, "stale");
  server.set({});
  ASSERT_TRUE(wait_for([&] { return reader.gone.size() == 1; }));
  ASSERT_TRUE(wait_for([&] { return roster->counts().state == "fresh"; }));
}

TEST_F(EtcdClient, ExpiredToken_IsRenewedAndWrongPasswordLogged) {
  const auto folder =
      std::filesystem::temp_directory_path() / ("streampick-etcd-" + std::to_string(::getpid()));
  std::ofstream(folder) << "wrong\n";
  put(0, 3);
  options.user = "router";
  options.password_file = folder;
  server.set({.password = "right", .token_calls = 2});
  start();
  ASSERT_TRUE(wait_for([&] { return logged("authentication as router failed"); }));
  EXPECT_EQ(there(), 0U);
  std::ofstream(folder) << "right\n";
  ASSERT_TRUE(wait_for([&] { return there() == 3 && server.open_watches == 1; }));
  for (int i = 0; i < 3; ++i) {
    server.drop_watches();
    server.remove(key(i));
    ASSERT_TRUE(wait_for([&] { return reader.gone.size() == static_cast<std::size_t>(i + 1); }));
  }
  EXPECT_GE(server.authentications, 3U);
  std::filesystem::remove(folder);
}

TEST_F(EtcdClient, ThousandChangesOfOneKey_AreCoalesced) {
  put(0, 3);
  start();
  ASSERT_TRUE(wait_for([&] { return there() == 3 && server.open_watches == 1; }));
  const int before = reader.lists;
  for (int i = 0; i < 1'000; ++i)
    server.put(key(0), value(0, "in_service", "127.0.0.1:" + std::to_string(2'000 + i)));
  ASSERT_TRUE(wait_for([&] { return reader.there["s-0"].address == "127.0.0.1:2999"; }));
  EXPECT_LE(reader.lists - before, 200);
}

TEST_F(EtcdClient, RosterOfTwentyThousand_IsListedAndDepartureDelivered) {
  put(0, 20'000);
  options.watcher.response_timeout = 5'000'000;
  start();
  ASSERT_TRUE(wait_for([&] { return there() == 20'000; }));
  ASSERT_TRUE(wait_for([&] { return server.open_watches == 1; }));
  server.remove(key(19'999));
  ASSERT_TRUE(wait_for([&] { return reader.gone.size() == 1; }));
  EXPECT_EQ(server.ranges, 20U);
}

TEST_F(EtcdClient, UnreachableEtcdAtStart_UsesSeedFileIfNoOtherSourceHasServers) {
  const auto file =
      std::filesystem::temp_directory_path() / ("streampick-seed-" + std::to_string(::getpid()));
  options.seed_file = file;
  put(0, 5);
  start();
  ASSERT_TRUE(wait_for([&] { return there() == 5; }));
  ASSERT_TRUE(wait_for([&] { return std::filesystem::exists(file) || roster->counts().publications > 0; }));
  roster.reset();  // writes the seed file
  ASSERT_TRUE(std::filesystem::exists(file));
  server.set({.unavailable = true});
  reader = {};
  start();
  ASSERT_TRUE(wait_for([&] { return there() == 5; }));
  EXPECT_EQ(reader.failed, 1);  // the roster counts as stale
  EXPECT_TRUE(logged("using 5 servers from the seed file"));
  server.remove(key(2));
  server.set({});
  ASSERT_TRUE(wait_for([&] { return there() == 4; }));
  // The file is not used if another source has listed servers.
  roster.reset();
  server.set({.unavailable = true});
  reader = {};
  use_seed = false;
  start();
  quiet(1'500ms);
  EXPECT_EQ(reader.lists, 0);
  roster.reset();
  std::filesystem::remove(file);
}

TEST_F(EtcdClient, MemberOfOtherClusterOrLagging_IsLeftForTheNext) {
  const auto cluster = std::make_shared<standin::EtcdCluster>();
  standin::EtcdServer one(cluster), other(cluster);
  put_into(one, 0, 4);
  start({one.address(), other.address()});
  for (const Faults& wrong : {Faults{.cluster_id = 99}, Faults{.lag = 3}}) {
    ASSERT_TRUE(wait_for([&] { return there() == 4 && one.open_watches + other.open_watches == 1; }));
    standin::EtcdServer& watched = one.open_watches == 1 ? one : other;
    standin::EtcdServer& next = one.open_watches == 1 ? other : one;
    const std::uint64_t before = next.watches;
    next.set(wrong);
    watched.drop_watches();
    ASSERT_TRUE(wait_for([&] { return next.watches > before; }));
    ASSERT_TRUE(wait_for([&] { return watched.open_watches == 1 && next.open_watches == 0; }));
    quiet(100ms);
    EXPECT_TRUE(logged("the watch was created on another cluster or on a member that lags"));
    EXPECT_TRUE(reader.gone.empty());
    EXPECT_EQ(there(), 4U);
    next.set({});
  }
}

TEST_F(EtcdClient, RestoreFromOlderBackup_IsAcceptedAfterConfirmation) {
  options.watcher.history_confirm_duration = 400'000;
  put(0, 4);
  std::int64_t backup = 0;
  server.on([&](standin::EtcdHistory& history) { backup = history.revision(); });
  put(4, 8);
  start();
  ASSERT_TRUE(wait_for([&] { return there() == 8 && server.open_watches == 1; }));
  server.on([&](standin::EtcdHistory& history) { history.restore(backup); });
  server.drop_watches();
  ASSERT_TRUE(wait_for([&] { return reader.gone.size() == 4; }));
  EXPECT_EQ(reader.gone, (std::vector<std::string>{"s-4", "s-5", "s-6", "s-7"}));
  EXPECT_EQ(there(), 4U);
  EXPECT_TRUE(logged("listing again to confirm it"));
  put(9, 10);  // the new history is watched
  ASSERT_TRUE(wait_for([&] { return there() == 5; }));
}

TEST_F(EtcdClient, RestartedMember_LosesNoDeparture) {
  const auto cluster = std::make_shared<standin::EtcdCluster>();
  auto member = std::make_unique<standin::EtcdServer>(cluster);
  const int port = member->port();
  put_into(*member, 0, 3);
  start({member->address()});
  ASSERT_TRUE(wait_for([&] { return there() == 3 && member->open_watches == 1; }));
  member.reset();  // its connections receive GOAWAY
  {
    const std::lock_guard lock(cluster->mutex);
    cluster->history.remove(key(1));
  }
  member = std::make_unique<standin::EtcdServer>(cluster, port);
  member->set({.slow_creation = true});
  ASSERT_TRUE(wait_for([&] { return reader.gone.size() == 1; }));
  EXPECT_EQ(member->ranges, 0U);  // the watch resumed without another listing
  roster.reset();
}

TEST_F(EtcdClient, TlsWithoutValidCertificateOrCa_IsRejected) {
  const std::string folder = STREAMPICK_TLS;
  const auto text = [&](const std::string& name) {
    std::ifstream file(folder + "/" + name);
    return std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  };
  standin::EtcdServer secure(std::make_shared<standin::EtcdCluster>(), 0,
                             {text("server.pem"), text("server.key"), text("ca.pem")});
  put_into(secure, 0, 3);
  options.ca_file = folder + "/ca.pem";
  start({secure.address()});
  quiet(500ms);
  EXPECT_EQ(there(), 0U);  // no client certificate
  options.cert_file = folder + "/client.pem";
  options.key_file = folder + "/client.key";
  options.ca_file = folder + "/client.pem";
  start({secure.address()});
  quiet(500ms);
  EXPECT_EQ(there(), 0U);  // the server's certificate is not signed by the trusted CA
  options.ca_file = folder + "/ca.pem";
  start({secure.address()});
  ASSERT_TRUE(wait_for([&] { return there() == 3; }));
  secure.remove(key(0));
  ASSERT_TRUE(wait_for([&] { return there() == 2; }));
  roster.reset();
}

// After an outage etcd returns with the watched revision compacted.
TEST_F(EtcdClient, FiftyRoutersAfterOutage_SpreadTheirRequestsAndMissNoDeparture) {
  constexpr std::size_t kRouters = 50;
  put(0, 10);
  options.endpoints = {server.address()};
  std::vector<Reader> readers(kRouters);
  std::vector<std::unique_ptr<EtcdRoster>> routers;
  for (std::size_t i = 0; i < kRouters; ++i)
    routers.push_back(std::make_unique<EtcdRoster>(
        io, names, options, 7919 * (i + 1), readers[i],
        [](const engine::StoredEndpointList&) { return false; }, [](std::string_view) {}));
  ASSERT_TRUE(wait_for([&] { return server.open_watches == kRouters; }));
  server.set({.unavailable = true});
  ASSERT_TRUE(wait_for([&] { return server.open_watches == 0; }));
  server.on([](standin::EtcdHistory& history) {
    history.remove(key(3));
    history.put(key(11), value(11));
    history.compact(history.revision());
  });
  quiet(1'500ms);
  const auto back = std::chrono::steady_clock::now();
  server.set({});
  ASSERT_TRUE(wait_for([&] {
    return std::all_of(readers.begin(), readers.end(),
                       [](const Reader& one) { return one.gone.size() == 1 && one.there.size() == 10; });
  }));
  ASSERT_TRUE(wait_for([&] { return server.open_watches == kRouters; }));
  std::map<long long, int> tenths;
  for (const auto& at : server.asked())
    if (at >= back) ++tenths[std::chrono::duration_cast<std::chrono::milliseconds>(at - back).count() / 100];
  int most = 0, all = 0;
  std::string shown;
  for (const auto& [tenth, many] : tenths) {
    most = std::max(most, many);
    all += many;
    shown += " " + std::to_string(tenth) + ":" + std::to_string(many);
  }
  RecordProperty("tenths", shown);
  // Each router watches, is told of the compaction, lists and watches again: three requests for each of
  // fifty. A few more are allowed for calls that time out on a busy machine.
  EXPECT_GE(all, 150) << shown;
  EXPECT_LE(all, 170) << shown;
  EXPECT_LE(most, 60) << shown;
  std::printf("asked in tenths of a second:%s\n", shown.c_str());
  routers.clear();
}

// Steps the wall clock that gRPC reads, for the lifetime of an object. A deadline computed from an earlier
// reading is then off by the step.
class SteppedWallClock {
 public:
  SteppedWallClock() : real_(gpr_now_impl) {
    real = real_;
    gpr_now_impl = read;
  }
  ~SteppedWallClock() {
    step_s = 0;
    gpr_now_impl = real_;
  }
  static void step(std::int64_t seconds) { step_s += seconds; }

 private:
  static gpr_timespec read(gpr_clock_type type) {
    gpr_timespec now = real(type);
    if (type == GPR_CLOCK_REALTIME) now.tv_sec += step_s;
    return now;
  }
  gpr_timespec (*real_)(gpr_clock_type);
  static inline gpr_timespec (*real)(gpr_clock_type) = nullptr;
  static inline std::atomic<std::int64_t> step_s{0};
};

struct EtcdClockSteps : EtcdClient, ::testing::WithParamInterface<int> {};

TEST_P(EtcdClockSteps, WallClockStep_DoesNotAffectDeadlinesAndWaits) {
  SteppedWallClock clock;
  put(0, 8);
  clock.step(GetParam());
  start();
  ASSERT_TRUE(wait_for([&] { return there() == 8 && server.open_watches == 1; }));
  clock.step(-2 * GetParam());
  server.drop_watches();
  server.remove(key(0));
  ASSERT_TRUE(wait_for([&] { return reader.gone.size() == 1 && server.open_watches == 1; }));
  EXPECT_EQ(there(), 7U);
  const auto end = std::chrono::steady_clock::now();
  roster.reset();
  EXPECT_LT(std::chrono::steady_clock::now() - end, 10s);
}

TEST_P(EtcdClockSteps, WallClockStep_DoesNotDelayDetectionOfSilentMember) {
  SteppedWallClock clock;
  const auto cluster = std::make_shared<standin::EtcdCluster>();
  standin::EtcdServer one(cluster), other(cluster);
  put_into(one, 0, 2);
  start({one.address(), other.address()});
  ASSERT_TRUE(wait_for([&] { return there() == 2 && one.open_watches + other.open_watches == 1; }));
  standin::EtcdServer& silent = one.open_watches == 1 ? one : other;
  standin::EtcdServer& takes_over = one.open_watches == 1 ? other : one;
  clock.step(GetParam());
  silent.set({.silent = true});
  takes_over.remove(key(0));
  EXPECT_TRUE(wait_for([&] { return reader.gone.size() == 1; }));
  roster.reset();
}

INSTANTIATE_TEST_SUITE_P(By, EtcdClockSteps, ::testing::Values(5, -5, 3'600, -3'600), [](const auto& info) {
  return (info.param < 0 ? "Back" : "Forth") + std::to_string(std::abs(info.param)) + "s";
});

TEST_F(EtcdClient, PendingCalls_DoNotDelayDestruction) {
  server.set({.silent = true});
  for (int i = 0; i < 10; ++i) {
    start();
    quiet(std::chrono::milliseconds(5 * i));
    roster.reset();
  }
  EXPECT_EQ(reader.lists, 0);
}

// The program streampick_roster as a child process.
class Registered {
 public:
  Registered(const std::string& endpoint, const std::string& id, const std::string& address)
      : child_(::fork()) {
    if (child_ != 0) return;
    if (::freopen("/dev/null", "w", stdout) == nullptr) ::_exit(9);
    ::execl(STREAMPICK_ROSTER, STREAMPICK_ROSTER, "--endpoint", endpoint.c_str(), "--prefix", kPrefix,
            "register", "--id", id.c_str(), "--address", address.c_str(), "--zone", "a", "--kind", "cache",
            "--ttl-s", "1", "--drain-s", "1", nullptr);
    ::_exit(9);
  }
  ~Registered() {
    if (child_ > 0) end(SIGKILL);
  }
  int end(int signal) {
    ::kill(child_, signal);
    int status = 0;
    ::waitpid(std::exchange(child_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  pid_t child() const { return child_; }

 private:
  pid_t child_;
};

TEST_F(EtcdClient, RegisteredServer_DrainsOnSigtermAndIsRemovedWithItsLease) {
  Registered one(server.address(), "s-1", "127.0.0.1:4001"), other(server.address(), "s-2", "127.0.0.1:4002");
  start();
  ASSERT_TRUE(wait_for([&] { return there() == 2; }));
  quiet(1'500ms);  // longer than the lease's time to live
  EXPECT_EQ(there(), 2U);
  EXPECT_TRUE(reader.gone.empty());
  ::kill(one.child(), SIGTERM);
  ASSERT_TRUE(wait_for([&] { return reader.there["s-1"].member.phase == Phase::draining; }));
  ASSERT_TRUE(wait_for([&] { return reader.gone.size() == 1; }));
  EXPECT_EQ(one.end(0), 0);
  other.end(SIGKILL);
  ASSERT_TRUE(wait_for([&] { return reader.gone.size() == 2; }));
  EXPECT_EQ(there(), 0U);
}

}  // namespace
}  // namespace streampick::etcd
