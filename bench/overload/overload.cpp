// Measures the router's service while more requests arrive than the servers can process.
//
//   bench_overload curve --router build-full/streampick_router --svg docs/overload-goodput.svg
//   bench_overload soak --router ... --seconds 600
//
// curve: goodput at loads from 0.5 to 6 times the capacity of the fleet.
// soak: memory and descriptors of the router over a long time of constant load with ever new connections.
#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <thread>

#include "open_load.h"
#include "standin/http_cache.h"
#include "standin/platform.h"
#include "testbed/chart.h"

namespace streampick::bench {
using testbed::Line;
using testbed::line_chart;

namespace {

constexpr std::size_t kCaches = 8, kSlots = 4;
constexpr std::chrono::milliseconds kWork{8}, kOriginWork{16};
constexpr double kLatencyObjective = 0.2, kClientTimeout = 0.8;  // s

// CPU time that the calling thread has used, s.
double thread_cpu() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

// Cache servers and an origin on a thread of their own, and a router process in front of them.
class Fleet {
 public:
  Fleet(const std::string& program, const std::string& options, std::size_t sockets) {
    std::vector<standin::PlatformMember> members;
    for (std::size_t i = 0; i < kCaches + 1; ++i) {
      const bool origin = i == kCaches;
      servers_.push_back(std::make_unique<standin::HttpCache>(io_, std::string(1024, 'x')));
      servers_.back()->delay = origin ? kOriginWork : kWork;
      servers_.back()->slots = kSlots;
      servers_.back()->line = 4 * kSlots;
      servers_.back()->keys = origin ? 0 : 10;  // cache servers lack one key in ten
      members.push_back({(origin ? "o-" : "c-") + std::to_string(i), servers_.back()->address(), origin});
    }
    discovery_ = std::make_unique<standin::StaticDiscovery>(io_, members);
    port_ = standin::free_port(io_);
    auto config =
        standin::router_config("127.0.0.1:" + std::to_string(port_), discovery_->address(), members, sockets);
    // The router's objectives are those by which its responses are counted.
    for (auto& profile : config["settings"]["Profiles"]) {
      profile["AimUs"] = static_cast<std::int64_t>(kLatencyObjective * 1e6);
      profile["HardLimitUs"] = static_cast<std::int64_t>(kClientTimeout * 1e6);
    }
    log_ = std::filesystem::temp_directory_path() / ("bench-overload-" + std::to_string(::getpid()) + ".log");
    router_ = std::make_unique<standin::RouterProcess>(program, config, options, log_);
    thread_ = std::thread([this] {
      while (!done_) {
        io_.restart();
        io_.run_for(std::chrono::milliseconds(100));
        servers_cpu_ = thread_cpu();
      }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
  }
  ~Fleet() {
    router_->stop();
    done_ = true;
    thread_.join();
    std::ifstream log(log_);
    std::string line, last;
    while (std::getline(log, line)) last = line;
    std::cout << last << "\n";
    std::filesystem::remove(log_);
  }
  unsigned short port() const { return port_; }
  const standin::RouterProcess& router() const { return *router_; }
  double servers_cpu() const { return servers_cpu_; }  // CPU time of the servers' shared thread, s
  std::size_t descriptors() const {
    std::size_t out = 0;
    for (const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(router_->pid()) + "/fd")) {
      (void)entry;
      ++out;
    }
    return out;
  }
  // Requests a second that the cache servers can process; the origin processes one in ten of them again.
  static double capacity() {
    return static_cast<double>(kCaches * kSlots) / std::chrono::duration<double>(kWork).count();
  }

 private:
  boost::asio::io_context io_{1};
  std::vector<std::unique_ptr<standin::HttpCache>> servers_;
  std::unique_ptr<standin::StaticDiscovery> discovery_;
  std::unique_ptr<standin::RouterProcess> router_;
  std::filesystem::path log_;
  unsigned short port_ = 0;
  std::atomic<bool> done_{false};
  std::atomic<double> servers_cpu_{0};
  std::thread thread_;
};

void curve(const std::string& program, const std::string& options, double seconds, const std::string& svg) {
  // The origin may limit the capacity: it processes a tenth of the requests, those that the cache servers
  // lack.
  const double capacity = std::min(Fleet::capacity(), 10 * static_cast<double>(kSlots) /
                                                          std::chrono::duration<double>(kOriginWork).count());
  std::printf("capacity %.0f requests a second; latency objective 200 ms, client timeout 800 ms\n", capacity);
  std::printf("%6s %8s %8s %8s %8s %8s %8s %9s %9s %9s %9s %9s %22s\n", "load", "asked/s", "good/s", "late/s",
              "refused/s", "failed", "gave up", "p50 ms", "p99 ms", "waited ms", "turned ms", "saves ok",
              "cpu router/fleet/load");
  Line good{"answered in time", {}}, refused{"refused", {}}, rest{"late, failed, timed out", {}},
      asked{"asked", {}};
  for (const double load_factor : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0}) {
    Fleet fleet(program, options, 8'192);
    OpenLoad load;
    load.port = fleet.port();
    load.rate = capacity * load_factor;
    load.seconds = seconds;
    load.max_connections = 3'000;
    load.latency_objective = kLatencyObjective;
    load.client_timeout = kClientTimeout;
    load.retry_share = 0.9;
    load.saves = 0.05;
    load.seed = 7;
    const double clients_before = thread_cpu(), router_before = fleet.router().cpu_seconds(),
                 servers_before = fleet.servers_cpu();
    const auto started_at = std::chrono::steady_clock::now();
    OpenResult out = run_open_load(load);
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
    const double all = seconds;
    std::printf(
        "%6.1f %8.0f %8.0f %8.0f %8.0f %8llu %8llu %9.1f %9.1f %9.1f %9.1f %8.0f%% %8.2f %6.2f %6.2f\n",
        load_factor, static_cast<double>(out.asked) / all, static_cast<double>(out.good) / all,
        static_cast<double>(out.late) / all, static_cast<double>(out.rejected) / all,
        static_cast<unsigned long long>(out.failed),
        static_cast<unsigned long long>(out.timed_out + out.unsent),
        1e3 * OpenResult::quantile(out.latencies, 0.5), 1e3 * OpenResult::quantile(out.latencies, 0.99),
        1e3 * OpenResult::quantile(out.connection_waits, 0.5),
        1e3 * OpenResult::quantile(out.rejection_durations, 0.5),
        100.0 * static_cast<double>(out.saves_good) /
            static_cast<double>(std::max<std::uint64_t>(1, out.saves)),
        (fleet.router().cpu_seconds() - router_before) / took, (fleet.servers_cpu() - servers_before) / took,
        (thread_cpu() - clients_before) / took);
    std::fflush(stdout);
    good.points.emplace_back(load_factor, static_cast<double>(out.good) / all);
    refused.points.emplace_back(load_factor, static_cast<double>(out.rejected) / all);
    rest.points.emplace_back(load_factor,
                             static_cast<double>(out.late + out.failed + out.timed_out + out.unsent) / all);
    asked.points.emplace_back(load_factor, static_cast<double>(out.asked) / all);
  }
  if (svg.empty()) return;
  std::ofstream(svg) << line_chart("Requests a second, by result",
                                   "load, as a multiple of the fleet's capacity", "a second",
                                   {good, refused, rest, asked});
}

void soak(const std::string& program, const std::string& options, double seconds) {
  Fleet fleet(program, options, 1024);
  std::printf("%8s %12s %12s %10s %10s %10s\n", "s", "resident KB", "descriptors", "asked", "good",
              "connections");
  const double interval = std::min(30.0, seconds);
  std::uint64_t asked = 0, good = 0, opened = 0;
  for (double at = 0; at < seconds; at += interval) {
    OpenLoad load;
    load.port = fleet.port();
    load.rate = 800;
    load.seconds = interval;
    load.closing_share = 0.5;
    load.saves = 0.05;
    load.keys = 100'000;
    load.seed = static_cast<std::uint64_t>(at) + 1;
    const OpenResult out = run_open_load(load);
    asked += out.asked;
    good += out.good;
    opened += out.opened;
    std::printf("%8.0f %12ld %12zu %10llu %10llu %10llu\n", at + interval, fleet.router().resident_kb(),
                fleet.descriptors(), static_cast<unsigned long long>(asked),
                static_cast<unsigned long long>(good), static_cast<unsigned long long>(opened));
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace streampick::bench

int main(int argc, char** argv) {
  CLI::App app("Measures the router's service under overload.");
  std::string router = "build-full/streampick_router", svg, options_path;
  double seconds = 6;
  for (CLI::App* mode :
       {app.add_subcommand("curve", "loads from 0.5 to 6 times the capacity of the fleet"),
        app.add_subcommand("soak", "constant load for a long time, with ever new connections")}) {
    mode->add_option("--router", router, "the router's program")->check(CLI::ExistingFile);
    mode->add_option("--options", options_path, "an options file")->check(CLI::ExistingFile);
    mode->add_option("--seconds", seconds, "duration of each load (curve) or of the whole run (soak)");
    mode->add_option("--svg", svg, "file for the chart of the curve");
  }
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);
  std::string options;
  if (!options_path.empty()) {
    std::ifstream file(options_path);
    options.assign(std::istreambuf_iterator<char>(file), {});
  }
  if (app.got_subcommand("curve")) {
    streampick::bench::curve(router, options, seconds, svg);
  } else {
    streampick::bench::soak(router, options, seconds);
  }
  return 0;
}
