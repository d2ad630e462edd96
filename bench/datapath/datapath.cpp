// What a GET over kept connections costs the router, beside the least forwarder (floor.cpp) in the same run:
// CPU, instructions, system calls by name, bytes, copies, allocations; and dials for each client that leaves.
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

// Nanoseconds on a core since its start (man 5 proc: schedstat), of a program with one thread.
double cpu_ns(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double ns = 0;
  file >> ns;
  return ns;
}

class Folder {
 public:
  Folder() : path_((std::filesystem::temp_directory_path() / "streampick-bench-XXXXXX").string()) {
    if (::mkdtemp(path_.data()) == nullptr) throw std::runtime_error("no folder for the measurement's files");
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string file(const std::string& name) const { return path_ + "/" + name; }
  // A program that runs `words` with its own arguments behind them.
  std::string script(const std::string& name, const std::string& words) const {
    std::ofstream(file(name)) << "#!/bin/sh\nexec " << words << " \"$@\"\n";
    ::chmod(file(name).c_str(), 0755);
    return file(name);
  }

 private:
  std::string path_;
};

// A server for a target to forward to, on a thread of its own.
class Serving {
 public:
  explicit Serving(int value)
      : cache(io_, std::string(static_cast<std::size_t>(value), 'x')),
        origin(io_, "x"),
        thread_([this] { io_.run(); }) {}
  ~Serving() {
    io_.stop();
    thread_.join();
  }
  Serving(const Serving&) = delete;
  Serving& operator=(const Serving&) = delete;

 private:
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_ = asio::make_work_guard(io_);

 public:
  standin::HttpCache cache, origin;

 private:
  std::thread thread_;
};

// The last core is the target's and no other's; load and servers have the rest. Where two of them shared a
// core's halves by chance, CPU time was seen to grow by a third.
void pin(pid_t pid, bool to_last) {
  const unsigned cores = std::max(1U, std::thread::hardware_concurrency());
  cpu_set_t set;
  CPU_ZERO(&set);
  for (unsigned core = 0; core < cores; ++core)
    if (cores == 1 || (core == cores - 1) == to_last) CPU_SET(core, &set);
  ::sched_setaffinity(pid, sizeof set, &set);
}

// A target, started: the router or the floor.
class Target {
 public:
  Target(const Serving& serving, const std::string& router, const std::string& floor, bool is_router,
         const std::string& log)
      : port_([] {
          asio::io_context io;
          return standin::free_port(io);
        }()) {
    const std::string here = "127.0.0.1:" + std::to_string(port_);
    const std::vector<standin::PlatformMember> members = {{"cache-1", serving.cache.address()},
                                                          {"origin", serving.origin.address(), true}};
    const std::string cache = serving.cache.address();
    const std::string program = is_router
                                    ? router
                                    : scripts_.script("floor", floor + " " + std::to_string(port_) + " " +
                                                                   cache.substr(cache.rfind(':') + 1));
    process_ = std::make_unique<standin::RouterProcess>(
        program, standin::router_config(here, "127.0.0.1:1", members, 1024), "", log);
    pin(process_->pid(), true);
  }
  bench::LoadResult load(const Sizes& sizes, int requests, int leave_every = 0) const {
    bench::LoadPlan plan;
    plan.port = port_;
    plan.connections = sizes.connections;
    plan.requests = requests;
    plan.leave_every = leave_every;
    return bench::run_load(plan);
  }
  pid_t pid() const { return process_->pid(); }
  void stop() { process_->stop(); }

 private:
  Folder scripts_;
  unsigned short port_;
  std::unique_ptr<standin::RouterProcess> process_;
};

struct Figures {
  double instructions = 0;
  std::map<std::string, double> counts;  // a request
  double dials_per_leaver = 0;
};

class Measurement {
 public:
  Measurement(std::string router, std::string floor, std::string shim, Sizes sizes)
      : router_(std::move(router)),
        floor_(std::move(floor)),
        shim_(std::move(shim)),
        sizes_(sizes),
        serving_(sizes.value) {}

  // CPU, us a request, of the floor and of the router: the median of rounds in turn, so that what else the
  // machine does meets both.
  std::pair<double, double> cpu() {
    constexpr std::size_t kRounds = 9;
    const Target floor(serving_, router_, floor_, false, "/dev/null"),
        router(serving_, router_, floor_, true, "/dev/null");
    const int each = sizes_.requests / static_cast<int>(kRounds);
    std::vector<double> of_floor, of_router;
    for (std::size_t round = 0; round <= kRounds; ++round)
      for (const auto& [target, to] : {std::pair(&floor, &of_floor), std::pair(&router, &of_router)}) {
        const double before = cpu_ns(target->pid());
        expect_good(target->load(sizes_, each));
        // In the first connections are made and buffers grow.
        if (round > 0) to->push_back((cpu_ns(target->pid()) - before) / 1e3 / each);
      }
    return {median(std::move(of_floor)), median(std::move(of_router))};
  }

  Figures measure(bool is_router, bool instructions) {
    Figures out;
    count(is_router, out);
    if (instructions) {
      const double few = collected(is_router, 500), many = collected(is_router, 2'500);
      out.instructions = (many - few) / 2'000;
    }
    return out;
  }

 private:
  static double median(std::vector<double> of) {
    std::nth_element(of.begin(), of.begin() + static_cast<std::ptrdiff_t>(of.size() / 2), of.end());
    return of[of.size() / 2];
  }
  static void expect_good(const bench::LoadResult& result) {
    if (result.bad > 0) std::printf("(of the next, %d were not served)\n", result.bad);
  }

  void count(bool is_router, Figures& out) {
    const Folder folder;
    const std::string path = folder.file("counters");
    std::ofstream(path) << std::string(sizeof(Counters), '\0');
    const std::string words = "env STREAMPICK_COUNTERS='" + path + "' LD_PRELOAD='" + shim_ + "' ";
    Target target(serving_, folder.script("router", words + router_), words + floor_, is_router, "/dev/null");
    target.load(sizes_, sizes_.requests / 10);
    const Counters before = read(path);
    const int requests = sizes_.requests / 4;
    // The dials of the load's own connections at its start are few beside its requests.
    expect_good(target.load(sizes_, requests));
    const Counters after = read(path);
    for (std::size_t i = 0; i < after.calls.size(); ++i)
      out.counts[bench::kCallNames[i]] = static_cast<double>(after.calls[i] - before.calls[i]) / requests;
    const auto each = [&](const char* name, std::uint64_t Counters::*member) {
      out.counts[name] = static_cast<double>(after.*member - before.*member) / requests;
    };
    each("bytes received", &Counters::received_bytes);
    each("bytes sent", &Counters::sent_bytes);
    each("bytes copied by a call", &Counters::copied_bytes);
    each("allocations", &Counters::allocations);
    each("bytes allocated", &Counters::allocated_bytes);
    if (!is_router) return;
    serving_.cache.delay = std::chrono::milliseconds(10);
    const Counters start = read(path);
    const bench::LoadResult left = target.load(sizes_, 2'000, 4);
    const Counters end = read(path);
    serving_.cache.delay = std::chrono::milliseconds(0);
    const auto at = static_cast<std::size_t>(bench::Call::connect);
    out.dials_per_leaver = static_cast<double>(end.calls[at] - start.calls[at]) / std::max(1, left.left);
  }

  // Instructions of a whole run under callgrind.
  double collected(bool is_router, int requests) {
    const Folder folder;
    const std::string log = folder.file("log");
    const std::string words = "valgrind --tool=callgrind --callgrind-out-file=" + folder.file("out") + " ";
    Target target(serving_, folder.script("router", words + router_), words + floor_, is_router, log);
    target.load(sizes_, requests);
    target.stop();
    std::ifstream file(log);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    std::smatch found;
    if (!std::regex_search(text, found, std::regex("Collected : (\\d+)")))
      throw std::runtime_error("callgrind told nothing: " + text.substr(0, 300));
    return std::stod(found[1]);
  }

  static Counters read(const std::string& path) {
    Counters out;
    std::ifstream(path).read(reinterpret_cast<char*>(&out), sizeof out);
    return out;
  }

  std::string router_, floor_, shim_;
  Sizes sizes_;
  Serving serving_;
};

}  // namespace

int main(int argc, char** argv) {
  const auto here = std::filesystem::canonical("/proc/self/exe").parent_path();
  std::string router = "build/streampick_router", floor = here / "bench_floor",
              shim = here / "libstreampick_counting.so";
  Sizes sizes;
  bool instructions = false;
  CLI::App app("What a GET costs the router, beside the least forwarder.");
  app.add_option("--router", router, "the program to measure");
  app.add_option("--requests", sizes.requests)->check(CLI::Range(1'000, 10'000'000));
  app.add_option("--connections", sizes.connections)->check(CLI::Range(1, 500));
  app.add_option("--value", sizes.value, "bytes of an answer's body")->check(CLI::Range(1, 1'000'000));
  app.add_flag("--instructions", instructions, "count them too, under callgrind");
  CLI11_PARSE(app, argc, argv);
  pin(0, false);
  try {
    Measurement measurement(router, floor, shim, sizes);
    const auto [floor_us, router_us] = measurement.cpu();
    const Figures least = measurement.measure(false, instructions);
    const Figures own = measurement.measure(true, instructions);
    std::printf("%d GETs of %d bytes on %d connections\n", sizes.requests, sizes.value, sizes.connections);
    std::printf("%-26s %12s %12s %8s\n", "a request", "floor", "router", "ratio");
    const auto row = [](const char* name, double a, double b) {
      std::printf("%-26s %12.3f %12.3f", name, a, b);
      if (a > 0) std::printf(" %8.2f", b / a);
      std::printf("\n");
    };
    row("CPU, us", floor_us, router_us);
    if (instructions) row("instructions, user side", least.instructions, own.instructions);
    for (const auto& [name, count] : own.counts)
      if (count > 0 || least.counts.at(name) > 0) row(name.c_str(), least.counts.at(name), count);
    std::printf("%-26s %12s %12.3f\n", "dials a client that leaves", "", own.dials_per_leaver);
  } catch (const std::exception& wrong) {
    std::fprintf(stderr, "bench_datapath: %s\n", wrong.what());
    return 1;
  }
  return 0;
}
