// Tests of the daemon with its roster from etcd, under load, while watches fail, histories are compacted and
// caches leave. A departed cache must get no new requests 2 s after its departure was reported, counted at
// the caches.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

#include "plugin/fleet.h"
#include "roster/etcd/seed.h"
#include "standin/etcd/server.h"
#include "standin/http_client.h"

namespace streampick::test {
namespace {

using namespace std::chrono_literals;
constexpr std::size_t kCaches = 6;

std::string value(const standin::PlatformMember& member, const std::string& phase = "in_service") {
  return nlohmann::json{{"id", member.id}, {"host_port", member.address},
                        {"locality", "a"}, {"flavor", member.origin ? "origin" : "cache"},
                        {"cell", 1},       {"phase", phase},
                        {"size", 1.0},     {"up_since_ms", 0}}
      .dump();
}

// Four clients, each with one request at a time.
struct Load {
  explicit Load(const std::string& address) {
    for (int c = 0; c < 4; ++c)
      threads.emplace_back([this, address, c] {
        standin::HttpClient client(address);
        for (std::uint64_t i = 0; !stop; ++i) {
          const int status = client.ask({.request_class = "tile-read",
                                         .key = "sheet-" + std::to_string(i * 7919 % 200),
                                         .id = 0x100000 * static_cast<std::uint64_t>(c + 1) + i,
                                         .remaining = 2,
                                         .save = false,
                                         .value = ""});
          ++(status == 200 ? served : other);
          std::this_thread::sleep_for(2ms);
        }
      });
  }
  ~Load() {
    stop = true;
    for (std::thread& thread : threads) thread.join();
  }
  std::atomic<bool> stop{false};
  std::atomic<std::uint64_t> served{0}, other{0};
  std::vector<std::thread> threads;
};

TEST(EtcdDaemon, DepartedCache_GetsNoNewRequestsAfterTwoSeconds) {
  StandinFleet fleet(kCaches, 1ms);
  const auto cluster = std::make_shared<standin::EtcdCluster>();
  standin::EtcdServer one(cluster), other(cluster);
  const auto key = [](std::size_t i) { return "/fleet/" + std::to_string(i); };
  for (std::size_t i = 0; i <= kCaches; ++i) one.put(key(i), value(fleet.members[i]));

  boost::asio::io_context io;
  const std::string address = "127.0.0.1:" + std::to_string(standin::free_port(io));
  auto config = nlohmann::json::parse(fleet.settings.config);
  config["listen"] = address;
  const auto log = std::filesystem::temp_directory_path() / ("streampick-etcd-" + std::to_string(::getpid()));
  standin::RouterProcess router(
      STREAMPICK_ROUTER, config,
      "[roster.etcd]\nendpoints = [\"" + one.address() + "\", \"" + other.address() +
          "\"]\nprefix = \"/fleet/\"\nsilence_ms = 200\nanswer_ms = 400\nstale_after_ms = 1000\n",
      log);
  for (int tries = 0; tries < 1'000 && one.open_watches + other.open_watches == 0; ++tries)
    std::this_thread::sleep_for(10ms);
  ASSERT_EQ(one.open_watches + other.open_watches, 1);

  std::uint64_t served = 0, failed = 0;
  {
    Load load(address);
    const auto asked_of = [&](std::size_t i, std::uint64_t more) {
      const std::uint64_t from = fleet.requests_at(i);
      for (int tries = 0; tries < 1'000 && fleet.requests_at(i) < from + more; ++tries)
        std::this_thread::sleep_for(5ms);
      EXPECT_GE(fleet.requests_at(i), from + more) << "cache " << i;
    };
    for (std::size_t i = 0; i < kCaches; ++i) asked_of(i, 5);
    // Four ways to leave, three of them with a fault at the same time.
    const std::array<std::function<void()>, 4> leaves = {
        [&] { one.put(key(0), value(fleet.members[0], "terminating")); },
        [&] {  // the watch fails at the same time
          one.drop_watches();
          other.drop_watches();
          one.remove(key(1));
        },
        [&] {  // the events are compacted before the watch resumes
          one.on([&](standin::EtcdHistory& all) {
            all.remove(key(2));
            all.put("/fleet/9", value({"s-9", "127.0.0.1:1", false}, "terminating"));
            all.remove("/fleet/9");
            all.compact(all.revision());
          });
          one.drop_watches();
          other.drop_watches();
        },
        [&] {  // the watched member falls silent
          standin::EtcdServer& watched = one.open_watches > 0 ? one : other;
          watched.set({.silent = true});
          (one.open_watches > 0 ? other : one).remove(key(3));
        }};
    for (std::size_t i = 0; i < leaves.size(); ++i) {
      leaves[i]();
      std::this_thread::sleep_for(2'000ms);
      const std::uint64_t then = fleet.requests_at(i);
      std::this_thread::sleep_for(300ms);
      EXPECT_EQ(fleet.requests_at(i), then) << "cache " << i;
      one.set({});
      other.set({});
    }
    asked_of(4, 5);  // the remaining caches still get requests
    asked_of(5, 5);
    load.stop = true;
    served = load.served;
    failed = load.other;
  }
  EXPECT_EQ(router.stop(), 0);
  EXPECT_GT(served, 500U);
  EXPECT_LE(failed, served / 50);
  std::filesystem::remove(log);
}

std::string text_of(const std::filesystem::path& file) {
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), {}};
}

// The list of a seed file with one cache server and the origin.
engine::EndpointList stored_list(const StandinFleet& fleet, std::size_t cache) {
  engine::EndpointList out;
  for (const std::size_t i : {cache, fleet.members.size() - 1}) {
    const standin::PlatformMember& member = fleet.members.at(i);
    engine::ListedEndpoint listed{member.id, member.address, {}};
    listed.member.identity = hash_name(member.id);
    listed.member.zone = 0;
    listed.member.kind = member.origin ? 1 : 0;
    out.members.push_back(listed);
  }
  return out;
}

// Guards against a seed file that is taken for an answer of etcd: a cache server that the platform no longer
// lists would get requests, and those that it lists none, for as long as etcd can't be reached.
TEST(EtcdDaemon, SeedFileWithADepartedCache_GivesWayToThePlatformsList) {
  constexpr std::size_t kDeparted = 0, kListed = 1;
  StandinFleet fleet(kCaches, 1ms);
  standin::EtcdServer server;
  server.set({.unavailable = true});
  fleet.unlist(kDeparted, 60s);  // the platform sends no list before the seed file is used

  const auto folder =
      std::filesystem::temp_directory_path() / ("streampick-seed-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  Names names;
  names.zones = {"a"};
  names.kinds = {"cache", "origin"};
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const long long unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  std::ofstream(folder / "seed") << etcd::encode_seed(stored_list(fleet, kDeparted), names, unix_ms);

  boost::asio::io_context io;
  const std::string address = "127.0.0.1:" + std::to_string(standin::free_port(io));
  auto config = nlohmann::json::parse(fleet.settings.config);
  config["listen"] = address;
  config["known"]["members"] = nlohmann::json::array();
  standin::RouterProcess router(STREAMPICK_ROUTER, config,
                                "[roster.etcd]\nendpoints = [\"" + server.address() +
                                    "\"]\nprefix = \"/fleet/\"\nsilence_ms = 100\nanswer_ms = 100\n"
                                    "stale_after_ms = 1000\nseed_file = \"" +
                                    (folder / "seed").string() + "\"\n",
                                folder / "log");
  const auto has_used_seed = [&] {
    return text_of(folder / "log").find("using 2 servers from the seed file") != std::string::npos;
  };
  for (int tries = 0; tries < 1'000 && !has_used_seed(); ++tries) std::this_thread::sleep_for(10ms);
  ASSERT_TRUE(has_used_seed());
  fleet.unlist(kDeparted, 0ms);
  {
    Load load(address);
    for (int tries = 0; tries < 1'000 && fleet.requests_at(kListed) < 5; ++tries)
      std::this_thread::sleep_for(10ms);
    EXPECT_GE(fleet.requests_at(kListed), 5U);
    const std::uint64_t then = fleet.requests_at(kDeparted);
    std::this_thread::sleep_for(500ms);
    EXPECT_EQ(fleet.requests_at(kDeparted), then);
  }
  EXPECT_EQ(router.stop(), 0);
  std::filesystem::remove_all(folder);
}

struct RunCounts {
  std::uint64_t served = 0, other = 0;
  std::uint64_t drained = 0;  // requests at the drained cache from 2 s after the drain was reported
};

// Runs under load while one cache dies and another drains, as reported by the platform. With `away`, etcd is
// unreachable throughout.
RunCounts run_under_load(bool away) {
  StandinFleet fleet(kCaches, 1ms);
  standin::EtcdServer server;
  const auto key = [](std::size_t i) { return "/fleet/" + std::to_string(i); };
  for (std::size_t i = 0; i <= kCaches; ++i) server.put(key(i), value(fleet.members[i]));
  boost::asio::io_context io;
  const std::string address = "127.0.0.1:" + std::to_string(standin::free_port(io));
  auto config = nlohmann::json::parse(fleet.settings.config);
  config["listen"] = address;
  standin::RouterProcess router(STREAMPICK_ROUTER, config,
                                "[roster.etcd]\nendpoints = [\"" + server.address() +
                                    "\"]\nprefix = \"/fleet/\"\nsilence_ms = 200\nanswer_ms = 400\n"
                                    "stale_after_ms = 1000\n",
                                "/dev/null");
  for (int tries = 0; tries < 1'000 && server.open_watches == 0; ++tries) std::this_thread::sleep_for(10ms);
  EXPECT_EQ(server.open_watches, 1);
  RunCounts out;
  {
    Load load(address);
    std::this_thread::sleep_for(500ms);
    if (away) server.set({.unavailable = true});
    std::this_thread::sleep_for(1'500ms);         // the roster is stale by now
    fleet.on([&] { fleet.servers[0].reset(); });  // the cache dies: connections fail, new ones are refused
    if (!away) server.remove(key(0));
    std::this_thread::sleep_for(500ms);
    fleet.tell_leaves(1);
    std::this_thread::sleep_for(2'000ms);
    const std::uint64_t then = fleet.requests_at(1);
    std::this_thread::sleep_for(1'500ms);
    out.drained = fleet.requests_at(1) - then;
    load.stop = true;
    out.served = load.served;
    out.other = load.other;
  }
  if (away) {
    // After its return etcd reports the cache that left during the outage.
    server.remove(key(2));
    server.set({});
    for (int tries = 0; tries < 1'000 && server.open_watches == 0; ++tries) std::this_thread::sleep_for(10ms);
    std::this_thread::sleep_for(300ms);
    const std::uint64_t then = fleet.requests_at(2);
    {
      Load load(address);
      std::this_thread::sleep_for(500ms);
    }
    EXPECT_EQ(fleet.requests_at(2), then);
  }
  EXPECT_EQ(router.stop(), 0);
  return out;
}

TEST(EtcdDaemon, UnreachableEtcdUnderLoad_KeepsServingWhileCachesLeave) {
  const RunCounts up = run_under_load(false), away = run_under_load(true);
  for (const RunCounts& run : {up, away}) {
    EXPECT_GT(run.served, 500U);
    EXPECT_LE(run.other, run.served / 50);
    EXPECT_EQ(run.drained, 0U);
  }
  std::printf("etcd up: %llu served, %llu not; away: %llu served, %llu not\n",
              static_cast<unsigned long long>(up.served), static_cast<unsigned long long>(up.other),
              static_cast<unsigned long long>(away.served), static_cast<unsigned long long>(away.other));
}

}  // namespace
}  // namespace streampick::test
