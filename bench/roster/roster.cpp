// How long a change in etcd takes to reach the event loop, against a bare loop on a gRPC watch in the same
// run; what the client costs in memory and processor; how a fleet of routers lists anew after a compaction.
//
//   bench_roster --members 2000 --changes 300
#include <grpcpp/grpcpp.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "roster/etcd/client.h"
#include "standin/etcd/server.h"
#include "streampick/etcd/rpc.grpc.pb.h"

namespace {

using namespace std::chrono_literals;
using namespace streampick;
using Steady = std::chrono::steady_clock;

constexpr const char* kPrefix = "/bench/";

long resident_kb() {
  std::ifstream file("/proc/self/statm");
  long all = 0, resident = 0;
  file >> all >> resident;
  return resident * (::sysconf(_SC_PAGESIZE) / 1024);
}
// What passed over the loopback device, heads of packets included; other programs' too.
long long loopback_bytes() {
  std::ifstream file("/proc/net/dev");
  for (std::string name; file >> name; file.ignore(4'096, '\n')) {
    long long bytes = 0;
    if (name == "lo:" && file >> bytes) return bytes;
  }
  return 0;
}
double cpu_seconds() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) * 1e-6;
  };
  return seconds(used.ru_utime) + seconds(used.ru_stime);
}

std::string key(int i) { return kPrefix + std::to_string(1'000'000 + i); }
std::string value(int i, int cell) {
  return R"({"id":"s-)" + std::to_string(i) + R"(","host_port":"10.1.)" + std::to_string(i / 250 % 250) +
         "." + std::to_string(i % 250 + 1) + ":" + std::to_string(3'000 + i / 62'500) +
         R"(","locality":"a","flavor":"cache","cell":)" + std::to_string(cell) +
         R"(,"phase":"in_service","size":1.0,"up_since_ms":0})";
}

// When each change, told by its cell number, came.
struct Seen {
  std::mutex mutex;
  std::condition_variable some;
  std::uint32_t last = 0;
  Steady::time_point at{};
  void see(std::uint32_t cell) {
    const std::lock_guard lock(mutex);
    last = cell;
    at = Steady::now();
    some.notify_all();
  }
  double wait(std::uint32_t cell, Steady::time_point from) {
    std::unique_lock lock(mutex);
    if (!some.wait_for(lock, 5s, [&] { return last == cell; })) return -1;
    return std::chrono::duration<double, std::micro>(at - from).count();
  }
};

struct Reader final : engine::EndpointListObserver {
  void on_endpoint_list(const engine::EndpointList& list) override {
    if (list.complete) {
      members = list.members.size();
      return;
    }
    for (const auto& one : list.members) seen.see(one.member.cell);
  }
  void on_discovery_failed() override {}
  std::atomic<std::size_t> members{0};
  Seen seen;
};

void print(const char* name, std::vector<double> us) {
  std::sort(us.begin(), us.end());
  const auto at = [&](double share) {
    return us[static_cast<std::size_t>(share * static_cast<double>(us.size() - 1))];
  };
  std::printf("  %-12s p50 %8.0f us   p90 %8.0f us   p99 %8.0f us\n", name, at(0.5), at(0.9), at(0.99));
}

etcd::Options options_for(const std::string& address) {
  etcd::Options out;
  out.on = true;
  out.prefix = kPrefix;
  out.endpoints = {address};
  out.watcher.answer = 5'000'000;
  return out;
}

void latency(int members, int changes) {
  standin::EtcdServer server;
  server.on([&](standin::EtcdHistory& history) {
    for (int i = 0; i < members; ++i) history.put(key(i), value(i, 1));
  });
  Names names;
  names.zones = {"a"};
  names.kinds = {"cache"};
  boost::asio::io_context io;
  const auto work = boost::asio::make_work_guard(io);
  std::thread loop([&] { io.run(); });
  const long before_kb = resident_kb();
  const double cpu = cpu_seconds();
  const auto begin = Steady::now();
  Reader reader;
  {
    etcd::EtcdRoster roster(
        io, names, options_for(server.address()), 7, reader, [] { return false; }, [](std::string_view) {});
    while (reader.members < static_cast<std::size_t>(members) || server.open_watches == 0)
      std::this_thread::sleep_for(1ms);
    std::printf("%d members: listed in %.0f ms, %.0f ms of processor (stand-in included), %ld KB\n", members,
                std::chrono::duration<double, std::milli>(Steady::now() - begin).count(),
                (cpu_seconds() - cpu) * 1e3, resident_kb() - before_kb);
    // The bare loop: a blocking read of the same watch.
    Seen bare;
    grpc::ClientContext context;
    const auto stub = etcdserverpb::Watch::NewStub(
        grpc::CreateChannel(server.address(), grpc::InsecureChannelCredentials()));
    const auto stream = stub->Watch(&context);
    etcdserverpb::WatchRequest request;
    request.mutable_create_request()->set_key(kPrefix);
    request.mutable_create_request()->set_range_end("/bench0");
    stream->Write(request);
    std::thread reads([&] {
      etcdserverpb::WatchResponse reply;
      while (stream->Read(&reply))
        for (const auto& event : reply.events()) {
          const std::string& text = event.kv().value();
          bare.see(static_cast<std::uint32_t>(std::atoi(text.c_str() + text.find("\"cell\":") + 7)));
        }
    });
    while (server.open_watches < 2) std::this_thread::sleep_for(1ms);
    std::vector<double> ours, plain;
    for (int i = 0; i < changes; ++i) {
      const auto cell = static_cast<std::uint32_t>(i + 2);
      const auto from = Steady::now();
      server.put(key(i % members), value(i % members, static_cast<int>(cell)));
      ours.push_back(reader.seen.wait(cell, from));
      plain.push_back(bare.wait(cell, from));
      std::this_thread::sleep_for(25ms);  // longer than changes are gathered
    }
    print("router", ours);
    print("bare watch", plain);
    context.TryCancel();
    reads.join();
    const double idle = cpu_seconds();
    const long long bytes = loopback_bytes();
    const std::uint64_t asked = server.progress_asked;
    std::this_thread::sleep_for(20s);
    std::printf(
        "  idle: %.2f%% of a core (stand-in included), progress asked %.2f times a second, %.2f MB an hour\n",
        (cpu_seconds() - idle) / 20 * 100, static_cast<double>(server.progress_asked - asked) / 20,
        static_cast<double>(loopback_bytes() - bytes) * 180 / 1e6);
  }
  io.stop();
  loop.join();
}

// Watchers without sockets, all cut by one compaction: how many ask in each tenth of a second.
void storm(int routers) {
  struct Silent final : etcd::WatcherActions {
    void range(std::uint64_t of, std::size_t, const std::string&, std::int64_t, std::size_t) override {
      turn = of;
    }
    void watch(std::uint64_t of, std::size_t, std::int64_t) override { turn = of; }
    void ask_progress(std::uint64_t) override {}
    void drop(std::uint64_t) override {}
    void publish(const etcd::Publication&) override {}
    void knowledge(const etcd::Knowledge&) override {}
    void said(const std::string&) override {}
    std::uint64_t turn = 0;
  };
  std::map<long long, int> tenths;
  for (int i = 0; i < routers; ++i) {
    Silent actions;
    etcd::Watcher watcher({}, static_cast<std::uint64_t>(i + 1) * 7919, actions);
    watcher.start(0);
    watcher.page(0, actions.turn, {1, 40}, {}, false);
    watcher.created(0, actions.turn, {1, 40});
    watcher.cancelled(0, actions.turn, "compacted", 50);
    ++tenths[watcher.next_time() / 100'000];
  }
  std::printf("%d routers cut at once list anew, in tenths of a second:", routers);
  for (const auto& [tenth, many] : tenths) std::printf(" %d", many);
  std::printf("\n");
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<int> members = {100, 2'000, 20'000};
  int changes = 200;
  CLI::App app("What the roster from etcd costs.", "bench_roster");
  app.add_option("--members", members, "sizes of the roster");
  app.add_option("--changes", changes, "changes timed at each");
  CLI11_PARSE(app, argc, argv);
  for (const int many : members) latency(many, changes);
  storm(200);
  return 0;
}
