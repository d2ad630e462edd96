// Measures what a GET over persistent connections costs the router, compared with a minimal forwarder
// (floor.cpp) in the same run: CPU time, instructions, system calls by name, bytes, copies and allocations.
// Also counts the connections that the router establishes for each client that disconnects.
//   bench_datapath --router build/streampick_router --requests 60000 [--instructions]
#include <sched.h>
#include <sys/stat.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <thread>

#include "counters.h"
#include "load.h"
#include "standin/http_cache.h"
#include "standin/platform.h"

namespace {

namespace asio = boost::asio;
using namespace streampick;
using bench::Counters;

struct Sizes {
  int requests = 60'000, connections = 8, value = 1024;
};

// CPU time of a single-threaded process since its start, in nanoseconds (man 5 proc: schedstat).
double cpu_ns(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double ns = 0;
  file >> ns;
  return ns;
}

class TemporaryDirectory {
 public:
  TemporaryDirectory()
      : path_((std::filesystem::temp_directory_path() / "streampick-bench-XXXXXX").string()) {
    if (::mkdtemp(path_.data()) == nullptr) throw std::runtime_error("can't create a temporary directory");
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  std::string file(const std::string& name) const { return path_ + "/" + name; }
  // Writes a script that runs `words` followed by the script's own arguments, and returns its path.
  std::string script(const std::string& name, const std::string& words) const {
    std::ofstream(file(name)) << "#!/bin/sh\nexec " << words << " \"$@\"\n";
    ::chmod(file(name).c_str(), 0755);
    return file(name);
  }

 private:
  std::string path_;
};

// The cache server and the origin that a target forwards to, on a thread of their own.
class ServerThread {
 public:
  explicit ServerThread(int value)
      : cache(io_, std::string(static_cast<std::size_t>(value), 'x')),
        origin(io_, "x"),
        thread_([this] { io_.run(); }) {}
  ~ServerThread() {
    io_.stop();
    thread_.join();
  }
  ServerThread(const ServerThread&) = delete;
  ServerThread& operator=(const ServerThread&) = delete;

 private:
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_ = asio::make_work_guard(io_);

 public:
  standin::HttpCache cache, origin;

 private:
  std::thread thread_;
};

// Pins the target to the last core, and the load generator and servers to the other cores. Where two of them
// shared the hardware threads of one core by chance, CPU time grew by a third.
void pin(pid_t pid, bool to_last_core) {
  const unsigned cores = std::max(1U, std::thread::hardware_concurrency());
  cpu_set_t set;
  CPU_ZERO(&set);
  for (unsigned core = 0; core < cores; ++core)
    if (cores == 1 || (core == cores - 1) == to_last_core) CPU_SET(core, &set);
  ::sched_setaffinity(pid, sizeof set, &set);
}

// A running process to measure: the router or the minimal forwarder.
class Target {
 public:
  Target(const ServerThread& servers, const std::string& router, const std::string& floor, bool is_router,
         const std::string& log)
      : port_([] {
          asio::io_context io;
          return standin::free_port(io);
        }()) {
    const std::string here = "127.0.0.1:" + std::to_string(port_);
    const std::vector<standin::PlatformMember> members = {{"cache-1", servers.cache.address()},
                                                          {"origin", servers.origin.address(), true}};
    const std::string cache = servers.cache.address();
    const std::string program = is_router
                                    ? router
                                    : scripts_.script("floor", floor + " " + std::to_string(port_) + " " +
                                                                   cache.substr(cache.rfind(':') + 1));
    process_ = std::make_unique<standin::RouterProcess>(
        program, standin::router_config(here, "127.0.0.1:1", members, 1024), "", log);
    pin(process_->pid(), true);
  }
  bench::LoadResult load(const Sizes& sizes, int requests, int disconnect_every = 0) const {
    bench::LoadPlan plan;
    plan.port = port_;
    plan.connections = sizes.connections;
    plan.requests = requests;
    plan.disconnect_every = disconnect_every;
    return bench::run_load(plan);
  }
  pid_t pid() const { return process_->pid(); }
  void stop() { process_->stop(); }

 private:
  TemporaryDirectory scripts_;
  unsigned short port_;
  std::unique_ptr<standin::RouterProcess> process_;
};

struct RequestCosts {
  double instructions = 0;
  std::map<std::string, double> counts;  // per request
  double connects_per_disconnect = 0;
};

class Measurement {
 public:
  Measurement(std::string router, std::string floor, std::string shim, Sizes sizes)
      : router_(std::move(router)),
        floor_(std::move(floor)),
        shim_(std::move(shim)),
        sizes_(sizes),
        servers_(sizes.value) {}

  // CPU time in microseconds per request of the minimal forwarder and of the router: the median of
  // alternating rounds, so that other load on the machine affects both.
  std::pair<double, double> cpu() {
    constexpr std::size_t kRounds = 9;
    const Target floor(servers_, router_, floor_, false, "/dev/null"),
        router(servers_, router_, floor_, true, "/dev/null");
    const int requests_per_round = sizes_.requests / static_cast<int>(kRounds);
    std::vector<double> of_floor, of_router;
    for (std::size_t round = 0; round <= kRounds; ++round)
      for (const auto& [target, to] : {std::pair(&floor, &of_floor), std::pair(&router, &of_router)}) {
        const double before = cpu_ns(target->pid());
        report_unserved(target->load(sizes_, requests_per_round));
        // The first round is not counted: connections are established and buffers grow in it.
        if (round > 0) to->push_back((cpu_ns(target->pid()) - before) / 1e3 / requests_per_round);
      }
    return {median(std::move(of_floor)), median(std::move(of_router))};
  }

  RequestCosts measure(bool is_router, bool instructions) {
    RequestCosts out;
    count(is_router, out);
    if (instructions) {
      const double few = count_instructions(is_router, 500), many = count_instructions(is_router, 2'500);
      out.instructions = (many - few) / 2'000;
    }
    return out;
  }

 private:
  static double median(std::vector<double> of) {
    std::nth_element(of.begin(), of.begin() + static_cast<std::ptrdiff_t>(of.size() / 2), of.end());
    return of[of.size() / 2];
  }
  static void report_unserved(const bench::LoadResult& result) {
    if (result.failed > 0) std::printf("(%d requests of the next result were not served)\n", result.failed);
  }

  void count(bool is_router, RequestCosts& out) {
    const TemporaryDirectory directory;
    const std::string path = directory.file("counters");
    std::ofstream(path) << std::string(sizeof(Counters), '\0');
    const std::string words = "env STREAMPICK_COUNTERS='" + path + "' LD_PRELOAD='" + shim_ + "' ";
    Target target(servers_, directory.script("router", words + router_), words + floor_, is_router,
                  "/dev/null");
    target.load(sizes_, sizes_.requests / 10);
    const Counters before = read(path);
    const int requests = sizes_.requests / 4;
    // The calls for establishing the load generator's own connections are few compared with its requests.
    report_unserved(target.load(sizes_, requests));
    const Counters after = read(path);
    for (std::size_t i = 0; i < after.calls.size(); ++i)
      out.counts[bench::kCallNames[i]] = static_cast<double>(after.calls[i] - before.calls[i]) / requests;
    const auto add_per_request = [&](const char* name, std::uint64_t Counters::*member) {
      out.counts[name] = static_cast<double>(after.*member - before.*member) / requests;
    };
    add_per_request("bytes received", &Counters::received_bytes);
    add_per_request("bytes sent", &Counters::sent_bytes);
    add_per_request("bytes copied by a call", &Counters::copied_bytes);
    add_per_request("allocations", &Counters::allocations);
    add_per_request("bytes allocated", &Counters::allocated_bytes);
    if (!is_router) return;
    servers_.cache.delay = std::chrono::milliseconds(10);
    const Counters start = read(path);
    const bench::LoadResult result = target.load(sizes_, 2'000, 4);
    const Counters end = read(path);
    servers_.cache.delay = std::chrono::milliseconds(0);
    const auto at = static_cast<std::size_t>(bench::Call::connect);
    out.connects_per_disconnect =
        static_cast<double>(end.calls[at] - start.calls[at]) / std::max(1, result.disconnected);
  }

  // The number of instructions of a whole run under callgrind.
  double count_instructions(bool is_router, int requests) {
    const TemporaryDirectory directory;
    const std::string log = directory.file("log");
    const std::string words = "valgrind --tool=callgrind --callgrind-out-file=" + directory.file("out") + " ";
    Target target(servers_, directory.script("router", words + router_), words + floor_, is_router, log);
    target.load(sizes_, requests);
    target.stop();
    std::ifstream file(log);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    std::smatch found;
    if (!std::regex_search(text, found, std::regex("Collected : (\\d+)")))
      throw std::runtime_error("no instruction count in callgrind's log: " + text.substr(0, 300));
    return std::stod(found[1]);
  }

  static Counters read(const std::string& path) {
    Counters out;
    std::ifstream(path).read(reinterpret_cast<char*>(&out), sizeof out);
    return out;
  }

  std::string router_, floor_, shim_;
  Sizes sizes_;
  ServerThread servers_;
};

}  // namespace

int main(int argc, char** argv) {
  const auto here = std::filesystem::canonical("/proc/self/exe").parent_path();
  std::string router = "build/streampick_router", floor = here / "bench_floor",
              shim = here / "libstreampick_counting.so";
  Sizes sizes;
  bool instructions = false;
  CLI::App app("Measures what a GET costs the router, compared with a minimal forwarder.");
  app.add_option("--router", router, "path of the router to measure");
  app.add_option("--requests", sizes.requests)->check(CLI::Range(1'000, 10'000'000));
  app.add_option("--connections", sizes.connections)->check(CLI::Range(1, 500));
  app.add_option("--value", sizes.value, "size of a response body in bytes")->check(CLI::Range(1, 1'000'000));
  app.add_flag("--instructions", instructions, "also count instructions, under callgrind");
  CLI11_PARSE(app, argc, argv);
  pin(0, false);
  try {
    Measurement measurement(router, floor, shim, sizes);
    const auto [floor_us, router_us] = measurement.cpu();
    const RequestCosts floor_costs = measurement.measure(false, instructions);
    const RequestCosts router_costs = measurement.measure(true, instructions);
    std::printf("%d GETs of %d bytes on %d connections\n", sizes.requests, sizes.value, sizes.connections);
    std::printf("%-26s %12s %12s %8s\n", "a request", "floor", "router", "ratio");
    const auto row = [](const char* name, double a, double b) {
      std::printf("%-26s %12.3f %12.3f", name, a, b);
      if (a > 0) std::printf(" %8.2f", b / a);
      std::printf("\n");
    };
    row("CPU, us", floor_us, router_us);
    if (instructions) row("instructions, user side", floor_costs.instructions, router_costs.instructions);
    for (const auto& [name, count] : router_costs.counts)
      if (count > 0 || floor_costs.counts.at(name) > 0) row(name.c_str(), floor_costs.counts.at(name), count);
    std::printf("%-26s %12s %12.3f\n", "dials a client that leaves", "",
                router_costs.connects_per_disconnect);
  } catch (const std::exception& wrong) {
    std::fprintf(stderr, "bench_datapath: %s\n", wrong.what());
    return 1;
  }
  return 0;
}
