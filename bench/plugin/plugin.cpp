// Measures the latency of calls through the client library, through the daemon and directly to a cache, in
// one run, and the wake-ups and memory of idle clients.
//
//   bench_plugin --router build-full/streampick_router
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin/http_cache.h"
#include "standin/http_client.h"
#include "standin/platform.h"
#include "streampick/client.h"
#ifdef STREAMPICK_WITH_GRPC
#include "streampick/grpc.h"
#include "streampick/tiles.grpc.pb.h"
#endif

namespace {

namespace asio = boost::asio;
using Steady = std::chrono::steady_clock;
using namespace std::chrono_literals;
using namespace streampick;

long resident_kb() {
  std::ifstream file("/proc/self/statm");
  long all = 0, resident = 0;
  file >> all >> resident;
  return resident * (::sysconf(_SC_PAGESIZE) / 1024);
}

void print(const char* name, std::vector<double> us) {
  std::sort(us.begin(), us.end());
  const auto at = [&](double share) {
    return us[static_cast<std::size_t>(share * static_cast<double>(us.size() - 1))];
  };
  std::printf("%-12s p50 %7.1f us   p90 %7.1f us   p99 %7.1f us\n", name, at(0.5), at(0.9), at(0.99));
}

template <class Call>
std::vector<double> time_calls(int calls, Call call) {
  std::vector<double> out;
  for (int i = 0; i < calls; ++i) {
    const auto begin = Steady::now();
    if (!call(i)) std::abort();
    out.push_back(std::chrono::duration<double, std::micro>(Steady::now() - begin).count());
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Latency of the client library, the daemon and a direct connection.");
  std::string program = "build-full/streampick_router";
  int calls = 20'000;
  app.add_option("--router", program, "path of streampick_router")->check(CLI::ExistingFile);
  app.add_option("--calls", calls, "number of calls for each path");
  CLI11_PARSE(app, argc, argv);

  asio::io_context io{1};
  std::vector<std::unique_ptr<standin::HttpCache>> servers;
  std::vector<standin::PlatformMember> members;
  for (int i = 0; i < 5; ++i) {
    servers.push_back(std::make_unique<standin::HttpCache>(io, std::string(1024, 'x')));
    members.push_back({"s-" + std::to_string(i), servers.back()->address(), i == 4});
  }
  standin::StaticDiscovery discovery(io, members);
  std::atomic<bool> done{false};
  std::thread serving([&] {
    while (!done) {
      io.restart();
      io.run_for(100ms);
    }
  });
  asio::io_context ports;
  const unsigned short port = standin::free_port(ports);
  const auto config =
      standin::router_config("127.0.0.1:" + std::to_string(port), discovery.address(), members, 1024);
  ClientSettings settings;
  settings.config = config.dump();
  {
    const standin::RouterProcess router(program, config, "", "/dev/null");
    std::this_thread::sleep_for(1s);
    Client client(settings);
    standin::HttpClient cache(members[0].address), daemon("127.0.0.1:" + std::to_string(port));
    std::uint64_t last_id = 0x5000;
    const auto get = [&](standin::HttpClient& from, int i) {
      return from.ask({.request_class = "tile-read",
                       .key = "sheet-" + std::to_string(i % 97),
                       .id = ++last_id,
                       .value = {}}) == 200;
    };
    std::vector<double> direct, through_daemon, through_client, through_stub;
    using Path = std::pair<std::vector<double>*, std::function<bool(int)>>;
    std::vector<Path> paths = {{&direct, [&](int i) { return get(cache, i); }},
                               {&through_daemon, [&](int i) { return get(daemon, i); }},
                               {&through_client, [&](int i) {
                                  return client.get("sheet-" + std::to_string(i % 97)).get().status ==
                                         Status::served;
                                }}};
#ifdef STREAMPICK_WITH_GRPC
    const auto stub = tiles::Tiles::NewStub(rpc::open_channel(
        std::make_shared<Client>(settings),
        {.routes = {{"streampick.tiles.Tiles/ReadTile", "tile-read", false, "{sheet}", "image"}}}));
    paths.emplace_back(&through_stub, [&](int i) {
      grpc::ClientContext context;
      tiles::ReadTileRequest request;
      request.set_sheet("sheet-" + std::to_string(i % 97));
      tiles::ReadTileResponse response;
      return stub->ReadTile(&context, request, &response).ok();
    });
#endif
    // The paths take turns, so that other load on the machine affects all of them.
    for (int round = 0; round < 10; ++round) {
      for (auto& [to, call] : paths) {
        auto part = time_calls(calls / 10, call);
        to->insert(to->end(), part.begin(), part.end());
      }
    }
    print("direct", direct);
    print("daemon", through_daemon);
    print("library", through_client);
    if (!through_stub.empty()) print("gRPC stub", through_stub);
    std::printf("daemon: %ld KB resident\n", router.resident_kb());
    const std::uint64_t wakeups = client.counts().wakeups;
    std::this_thread::sleep_for(10s);
    std::printf("library without calls for 10 s, connections open: %llu wake-ups\n",
                static_cast<unsigned long long>(client.counts().wakeups - wakeups));
    ClientSettings idle_settings = settings;
    idle_settings.idle_after = 1s;
    Client idle_client(idle_settings);
    idle_client.get("sheet-1").get();
    std::this_thread::sleep_for(3s);
    const std::uint64_t before = idle_client.counts().wakeups;
    std::this_thread::sleep_for(10s);
    std::printf("idle (idle_after) for 10 s: %llu wake-ups, one of them by this query; %zu connections\n",
                static_cast<unsigned long long>(idle_client.counts().wakeups - before),
                idle_client.counts().connections);
    std::vector<double> first_calls;
    for (int i = 0; i < 5; ++i) {
      const auto one =
          time_calls(1, [&](int) { return idle_client.get("sheet-1").get().status == Status::served; });
      first_calls.insert(first_calls.end(), one.begin(), one.end());
      std::this_thread::sleep_for(1'500ms);
    }
    print("first call", first_calls);
  }
  for (const std::size_t many : {1U, 10U, 100U}) {
    const long before = resident_kb();
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t i = 0; i < many; ++i) clients.push_back(std::make_unique<Client>(settings));
    for (const auto& client : clients) client->get("sheet-1").get();
    std::printf("%3zu clients: %ld KB more, %.0f KB each\n", many, resident_kb() - before,
                static_cast<double>(resident_kb() - before) / static_cast<double>(many));
  }
  done = true;
  serving.join();
  return 0;
}
