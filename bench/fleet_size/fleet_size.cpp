/// \file
/// Compares the resource usage of a router in fleets of two sizes: the same traffic goes through one router
/// process with 200 and then with 3,200 cache servers, while discovery sends changes. Prints the usage beside
/// its bounds, and fails if a bound is exceeded.
///   bench_fleet_size --router build-bench/streampick_router
#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "../overload/open_load.h"
#include "standin/http_cache.h"
#include "standin/platform.h"

namespace {

namespace asio = boost::asio;
using namespace streampick;
using boost::system::error_code;
using tcp = asio::ip::tcp;

struct FleetSize {
  std::size_t cache_servers = 0;
  std::size_t routers = 0;  ///< number in the settings; only one router runs
};

constexpr FleetSize kUsualFleet{200, 300};
constexpr FleetSize kLargeFleet{3'200, 900};
constexpr double kReplacedShare = 0.01;  ///< fraction of the cache servers replaced per change
constexpr std::size_t kListeners = 64;   ///< sockets that stand in for all cache servers
constexpr std::size_t kMaxDescriptors = 1'024;
constexpr std::chrono::milliseconds kServiceTime{5};
constexpr std::chrono::milliseconds kDescriptorSampling{50};
constexpr std::chrono::seconds kChangeInterval{1};

struct Options {
  std::string router = "build-bench/streampick_router";
  double requests_per_second = 60;
  double seconds = 15;
  std::uint64_t seed = 1;
};

/// Resource usage and result of one router. Covers the time from its start to the end of the load, unless a
/// field says otherwise.
struct Figures {
  double cpu_seconds = 0;
  double peak_memory_mb = 0;
  double descriptors = 0;   ///< maximum at one time
  double connections = 0;   ///< opened to cache servers
  double discovery_kb = 0;  ///< sent by discovery, without the first list
  double share_served = 0;  ///< fraction of requests served in time
};

/// The list of cache servers in discovery. With each change some servers start to drain, the same number of
/// new ones joins, and those that were draining are removed.
class ServerList {
 public:
  ServerList(FleetSize fleet, const std::deque<standin::HttpCache>& listeners, const std::string& origin)
      : listeners_(listeners), size_(size_for(fleet)), origin_{"s-origin", origin, true} {
    for (std::size_t i = 0; i < fleet.cache_servers; ++i) servers_.push_back(new_server(0));
  }

  [[nodiscard]] std::vector<standin::PlatformMember> members() const {
    std::vector<standin::PlatformMember> entries(servers_.begin(), servers_.end());
    entries.push_back(origin_);
    return entries;
  }

  /// Returns the entries that changed.
  std::vector<standin::PlatformMember> replace_some() {
    std::vector<standin::PlatformMember> changed;
    remove_draining(changed);
    const auto in_service = static_cast<double>(servers_.size());
    const auto count = static_cast<std::size_t>(std::ceil(in_service * kReplacedShare));
    for (std::size_t i = 0; i < count; ++i) {
      servers_[i].phase = "terminating";
      changed.push_back(servers_[i]);
    }
    draining_ = count;
    for (std::size_t i = 0; i < count; ++i) {
      servers_.push_back(new_server(wall_clock_ms()));
      changed.push_back(servers_.back());
    }
    return changed;
  }

 private:
  /// Size of each cache server, chosen so that the total size per router is the same in every fleet.
  static double size_for(FleetSize fleet) {
    const auto servers_of_a_router = [](FleetSize of) {
      return static_cast<double>(of.cache_servers) / static_cast<double>(of.routers);
    };
    return servers_of_a_router(kUsualFleet) / servers_of_a_router(fleet);
  }
  static std::int64_t wall_clock_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  }
  standin::PlatformMember new_server(std::int64_t up_since_ms) {
    const std::size_t number = last_number_++;
    const std::string address = listeners_[number % listeners_.size()].address();
    return {"s-" + std::to_string(number), address, false, "in_service", up_since_ms, size_};
  }
  void remove_draining(std::vector<standin::PlatformMember>& changed) {
    for (; draining_ > 0; --draining_) {
      servers_.front().phase = "terminated";
      changed.push_back(servers_.front());
      servers_.pop_front();
    }
  }

  const std::deque<standin::HttpCache>& listeners_;
  double size_;
  standin::PlatformMember origin_;
  std::deque<standin::PlatformMember> servers_;  ///< oldest first
  std::size_t draining_ = 0;                     ///< number of draining servers, at the front
  std::size_t last_number_ = 0;
};

/// The value in KB of a line such as "VmHWM:  1234 kB" in /proc/PID/status.
double status_kb(pid_t pid, const std::string& name) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(name + ":", 0) == 0) return std::stod(line.substr(name.size() + 1));
  }
  throw std::runtime_error("no line " + name + " in /proc/PID/status of the router");
}

std::size_t open_descriptors(pid_t pid) {
  const std::filesystem::directory_iterator folder("/proc/" + std::to_string(pid) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

/// One router process with stand-ins for the cache servers, origin and discovery of a fleet. During the load
/// the stand-ins run on a separate thread; everything else runs on the caller's thread.
class RouterRun {
 public:
  RouterRun(FleetSize fleet, const Options& options) : options_(options) {
    for (std::size_t i = 0; i < kListeners; ++i) {
      standin::HttpCache& listener = listeners_.emplace_back(io_, std::string(kValueBytes, 'x'));
      listener.delay = kServiceTime;
      listener.keys = kMissingKeyInterval;
    }
    origin_.delay = kServiceTime;
    list_ = std::make_unique<ServerList>(fleet, listeners_, origin_.address());
    discovery_ = std::make_unique<standin::StaticDiscovery>(io_, list_->members());
    port_ = standin::free_port(io_);
    router_ = std::make_unique<standin::RouterProcess>(options.router, make_config(fleet), "", "/dev/null");
  }

  Figures run() {
    wait_until_listening();
    const std::uint64_t bytes_before = discovery_->bytes_written;
    change_list();
    sample_descriptors();
    std::thread stand_ins([this] { io_.run(); });
    const bench::OpenResult result = bench::run_open_load(open_load());
    io_.stop();
    stand_ins.join();
    if (!router_->running()) throw std::runtime_error("the router exited during the load");

    Figures figures;
    figures.cpu_seconds = router_->cpu_seconds();
    figures.peak_memory_mb = status_kb(router_->pid(), "VmHWM") / 1'024;
    figures.descriptors = static_cast<double>(max_descriptors_);
    for (const standin::HttpCache& listener : listeners_)
      figures.connections += static_cast<double>(listener.accepted_connections);
    figures.discovery_kb = static_cast<double>(discovery_->bytes_written - bytes_before) / 1'024;
    figures.share_served = static_cast<double>(result.good) / static_cast<double>(result.asked);
    return figures;
  }

 private:
  static constexpr std::size_t kValueBytes = 1'024;
  /// The cache servers lack one in this many keys.
  static constexpr std::uint64_t kMissingKeyInterval = 10;

  [[nodiscard]] nlohmann::json make_config(FleetSize fleet) const {
    const std::string listen = "127.0.0.1:" + std::to_string(port_);
    auto config = standin::router_config(listen, discovery_->address(), list_->members(), kMaxDescriptors);
    nlohmann::json& settings = config["settings"];
    settings["Balancers"] = fleet.routers;
    settings["Costs"] = {{"Connection", 0.03}, {"Handshake", 0.09}};
    settings["Guarantees"].update(
        {{"ColdShare", 0.2}, {"ColdUs", 4'000'000}, {"OverloadFactor", 3}, {"TipAfterUs", 1'000'000}});
    return config;
  }
  [[nodiscard]] bench::OpenLoad open_load() const {
    bench::OpenLoad load;
    load.port = port_;
    load.rate = options_.requests_per_second;
    load.seconds = options_.seconds;
    load.seed = options_.seed;
    load.client_timeout = load.latency_objective = 0.8;
    load.saves = 0.1;
    return load;
  }

  /// Runs the stand-ins while waiting, as the router may need the first list before it listens.
  void wait_until_listening() {
    error_code error = asio::error::connection_refused;
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (error || discovery_->watches() == 0) {
      if (std::chrono::steady_clock::now() > until)
        throw std::runtime_error("the router did not listen and subscribe to discovery within 30 s");
      io_.run_for(std::chrono::milliseconds(20));
      tcp::socket socket(io_);
      socket.connect({asio::ip::address_v4::loopback(), port_}, error);
    }
    io_.run_for(std::chrono::milliseconds(200));  // until the router has applied the first list
    io_.restart();
  }
  void change_list() {
    change_timer_.expires_after(kChangeInterval);
    change_timer_.async_wait([this](error_code cancelled) {
      if (cancelled) return;
      const auto changed = list_->replace_some();
      discovery_->change(list_->members(), changed);
      change_list();
    });
  }
  void sample_descriptors() {
    max_descriptors_ = std::max(max_descriptors_, open_descriptors(router_->pid()));
    sample_timer_.expires_after(kDescriptorSampling);
    sample_timer_.async_wait([this](error_code cancelled) {
      if (!cancelled) sample_descriptors();
    });
  }

  const Options& options_;
  asio::io_context io_{1};
  asio::steady_timer change_timer_{io_}, sample_timer_{io_};
  std::deque<standin::HttpCache> listeners_;
  standin::HttpCache origin_{io_, std::string(kValueBytes, 'x')};
  std::unique_ptr<ServerList> list_;
  std::unique_ptr<standin::StaticDiscovery> discovery_;
  unsigned short port_ = 0;
  std::unique_ptr<standin::RouterProcess> router_;
  std::size_t max_descriptors_ = 0;
};

/// Bound of one figure in the large fleet: `factor` times the figure of the usual fleet, plus `fixed`, plus
/// `per_thousand` for each thousand cache servers of the large fleet.
struct Bound {
  const char* name;
  double Figures::*figure;
  double factor;
  double fixed = 0;
  double per_thousand = 0;
  bool is_lower_bound = false;  ///< a lower bound instead of an upper bound
};

constexpr Bound kBounds[] = {
    {"CPU, s", &Figures::cpu_seconds, 1.4, 0.02, 0.03},
    {"peak memory, MB", &Figures::peak_memory_mb, 1.5, 8, 4},
    {"descriptors", &Figures::descriptors, 2, 40},
    {"connections to cache servers", &Figures::connections, 2.5, 40},
    {"bytes from discovery, KB", &Figures::discovery_kb, 2, 64, 500},
    {"share served in time", &Figures::share_served, 0.85, 0, 0, true},
};

/// Prints a row of the table. Returns whether the bound holds.
bool print_and_check(const Bound& bound, const Figures& usual, const Figures& large) {
  const double thousands = static_cast<double>(kLargeFleet.cache_servers) / 1'000;
  const double allowed = bound.factor * (usual.*bound.figure) + bound.fixed + bound.per_thousand * thousands;
  const double measured = large.*bound.figure;
  const bool holds = bound.is_lower_bound ? measured >= allowed : measured <= allowed;
  std::printf("| %s | %.3f | %.3f | %.2f | %s %.3f | %s |\n", bound.name, usual.*bound.figure, measured,
              measured / (usual.*bound.figure), bound.is_lower_bound ? ">=" : "<=", allowed,
              holds ? "OK" : "OVER");
  return holds;
}

bool compare_fleets(const Options& options) {
  const Figures usual = RouterRun(kUsualFleet, options).run();
  const Figures large = RouterRun(kLargeFleet, options).run();
  std::printf(
      "| figure | %zu cache servers | %zu | ratio | bound | |\n| --- | --- | --- | --- | --- | --- |\n",
      kUsualFleet.cache_servers, kLargeFleet.cache_servers);
  bool all_hold = true;
  for (const Bound& bound : kBounds) all_hold = print_and_check(bound, usual, large) && all_hold;
  return all_hold;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app("Compares the resource usage of a router with 200 and with 3,200 cache servers.");
  app.add_option("--router", options.router, "path of the router's executable")->check(CLI::ExistingFile);
  app.add_option("--rate", options.requests_per_second, "requests per second")
      ->check(CLI::Range(1.0, 1'000.0));
  app.add_option("--seconds", options.seconds, "duration of the load with each fleet, in seconds")
      ->check(CLI::Range(2.0, 300.0));
  app.add_option("--seed", options.seed, "seed of the random requests");
  CLI11_PARSE(app, argc, argv);
  try {
    return compare_fleets(options) ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_fleet_size: %s\n", error.what());
    return 2;
  }
}
