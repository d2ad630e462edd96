// Measures the time from a change in etcd to its arrival on the event loop, next to a plain gRPC watch in the
// same run; the client's memory and CPU cost; and how a fleet of routers spreads its listings after a
// compaction.
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
// Bytes that passed over the loopback device, including packet headers and other programs' traffic.
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

// Records when a change, identified by its cell number, arrived.
struct Arrivals {
  std::mutex mutex;
  std::condition_variable arrived;
  std::uint32_t last_cell = 0;
  Steady::time_point at{};
  void record(std::uint32_t cell) {
    const std::lock_guard lock(mutex);
    last_cell = cell;
    at = Steady::now();
    arrived.notify_all();
  }
  double wait(std::uint32_t cell, Steady::time_point from) {
    std::unique_lock lock(mutex);
    if (!arrived.wait_for(lock, 5s, [&] { return last_cell == cell; })) return -1;
    return std::chrono::duration<double, std::micro>(at - from).count();
  }
};

struct Observer final : engine::EndpointListObserver {
  void on_endpoint_list(const engine::EndpointList& list) override {
    if (list.complete) {
      members = list.members.size();
      return;
    }
    for (const auto& one : list.members) arrivals.record(one.member.cell);
  }
  void on_discovery_failed() override {}
  std::atomic<std::size_t> members{0};
  Arrivals arrivals;
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
  out.watcher.response_timeout = 5'000'000;
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
  const auto start = Steady::now();
  Observer observer;
  {
    etcd::EtcdRoster roster(
        io, names, options_for(server.address()), 7, observer,
        [](const engine::StoredEndpointList&) { return false; }, [](std::string_view) {});
    while (observer.members < static_cast<std::size_t>(members) || server.open_watches == 0)
      std::this_thread::sleep_for(1ms);
    std::printf("%d members: listed in %.0f ms, %.0f ms of CPU time (stand-in included), %ld KB\n", members,
                std::chrono::duration<double, std::milli>(Steady::now() - start).count(),
                (cpu_seconds() - cpu) * 1e3, resident_kb() - before_kb);
    // For comparison: blocking reader_thread of a plain gRPC watch.
    Arrivals plain_arrivals;
    grpc::ClientContext context;
    const auto stub = etcdserverpb::Watch::NewStub(
        grpc::CreateChannel(server.address(), grpc::InsecureChannelCredentials()));
    const auto stream = stub->Watch(&context);
    etcdserverpb::WatchRequest request;
    request.mutable_create_request()->set_key(kPrefix);
    request.mutable_create_request()->set_range_end("/bench0");
    stream->Write(request);
    std::thread reader_thread([&] {
      etcdserverpb::WatchResponse reply;
      while (stream->Read(&reply))
        for (const auto& event : reply.events()) {
          const std::string& text = event.kv().value();
          plain_arrivals.record(
              static_cast<std::uint32_t>(std::atoi(text.c_str() + text.find("\"cell\":") + 7)));
        }
    });
    while (server.open_watches < 2) std::this_thread::sleep_for(1ms);
    std::vector<double> router_us, plain_us;
    for (int i = 0; i < changes; ++i) {
      const auto cell = static_cast<std::uint32_t>(i + 2);
      const auto from = Steady::now();
      server.put(key(i % members), value(i % members, static_cast<int>(cell)));
      router_us.push_back(observer.arrivals.wait(cell, from));
      plain_us.push_back(plain_arrivals.wait(cell, from));
      std::this_thread::sleep_for(25ms);  // longer than the client coalesces changes
    }
    print("router", router_us);
    print("plain watch", plain_us);
    context.TryCancel();
    reader_thread.join();
    const double idle = cpu_seconds();
    const long long bytes = loopback_bytes();
    const std::uint64_t requests = server.progress_asked;
    std::this_thread::sleep_for(20s);
    std::printf(
        "  idle: %.2f%% of a core (stand-in included), %.2f progress requests a second, %.2f MB an hour\n",
        (cpu_seconds() - idle) / 20 * 100, static_cast<double>(server.progress_asked - requests) / 20,
        static_cast<double>(loopback_bytes() - bytes) * 180 / 1e6);
  }
  io.stop();
  loop.join();
}

// Runs watchers without sockets whose watches are all cancelled by one compaction, and prints how many
// listings begin in each tenth of a second.
void relist_after_compaction(int routers) {
  struct IdleActions final : etcd::WatcherActions {
    void range(std::uint64_t id, std::size_t, const std::string&, std::int64_t, std::size_t) override {
      operation_id = id;
    }
    void watch(std::uint64_t id, std::size_t, std::int64_t) override { operation_id = id; }
    void request_progress(std::uint64_t) override {}
    void cancel(std::uint64_t) override {}
    void publish(const etcd::Publication&) override {}
    void on_freshness(const etcd::Freshness&) override {}
    void log_line(const std::string&) override {}
    std::uint64_t operation_id = 0;
  };
  std::map<long long, int> listings_by_tenth;
  for (int i = 0; i < routers; ++i) {
    IdleActions actions;
    etcd::Watcher watcher({}, static_cast<std::uint64_t>(i + 1) * 7919, actions);
    watcher.start(0);
    watcher.page(0, actions.operation_id, {1, 40}, {}, false);
    watcher.created(0, actions.operation_id, {1, 40});
    watcher.cancelled(0, actions.operation_id, "compacted", 50);
    ++listings_by_tenth[watcher.next_time() / 100'000];
  }
  std::printf("%d routers list again after one compaction, in tenths of a second:", routers);
  for (const auto& [tenth, count] : listings_by_tenth) std::printf(" %d", count);
  std::printf("\n");
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<int> members = {100, 2'000, 20'000};
  int changes = 200;
  CLI::App app("Measures the cost of the roster from etcd.", "bench_roster");
  app.add_option("--members", members, "roster sizes");
  app.add_option("--changes", changes, "changes measured at each size");
  CLI11_PARSE(app, argc, argv);
  for (const int count : members) latency(count, changes);
  relist_after_compaction(200);
  return 0;
}
