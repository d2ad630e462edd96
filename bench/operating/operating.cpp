// What operators and long bodies cost a router: how long calls at the second address take, at rest, under
// load and beside callers who say nothing; and the memory of many long saves and answers at once.
//   bench_operating --router build/streampick_router
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../datapath/load.h"
#include "standin/http_cache.h"
#include "standin/platform.h"

namespace {

namespace asio = boost::asio;
using namespace streampick;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

// Servers on a thread of their own, and a router over them.
class Rig {
 public:
  Rig(const std::string& router, std::size_t value, std::size_t memory_mb)
      : cache_(io_, std::string(value, 'x')),
        origin_(io_, std::string(value, 'x')),
        thread_([this] { io_.run(); }) {
    asio::io_context ports;
    port = standin::free_port(ports);
    management = standin::free_port(ports);
    auto config =
        standin::router_config("127.0.0.1:" + std::to_string(port), "127.0.0.1:1",
                               {{"cache-1", cache_.address()}, {"origin", origin_.address(), true}}, 1024);
    config["management"] = "127.0.0.1:" + std::to_string(management);
    config["limits"]["memory_mb"] = memory_mb;
    process = std::make_unique<standin::RouterProcess>(router, config, "", "/dev/null");
    // Both addresses are there once the second answers.
    boost::system::error_code error = asio::error::connection_refused;
    for (int tries = 0; error && tries < 500; ++tries) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      tcp::socket socket(ports);
      socket.connect({asio::ip::address_v4::loopback(), management}, error);
    }
    if (error) throw std::runtime_error("the router does not start: " + error.message());
  }
  ~Rig() {
    process.reset();
    io_.stop();
    thread_.join();
  }
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

 private:
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_ = asio::make_work_guard(io_);
  standin::HttpCache cache_, origin_;
  std::thread thread_;

 public:
  unsigned short port = 0, management = 0;
  std::unique_ptr<standin::RouterProcess> process;
};

tcp::socket connect(asio::io_context& io, unsigned short port) {
  tcp::socket out(io);
  out.connect({asio::ip::address_v4::loopback(), port});
  return out;
}

// Milliseconds from the connect to the connection's end.
double call(asio::io_context& io, unsigned short port, const std::string& line) {
  const auto began = Clock::now();
  tcp::socket socket = connect(io, port);
  asio::write(socket, asio::buffer(line + "\n"));
  std::string answer;
  boost::system::error_code end;
  asio::read(socket, asio::dynamic_buffer(answer), end);
  if (answer.rfind("ACK", 0) != 0 && answer.rfind("{", 0) != 0) throw std::runtime_error("answer: " + answer);
  return std::chrono::duration<double, std::milli>(Clock::now() - began).count();
}

void print(const char* name, std::vector<double> ms) {
  std::sort(ms.begin(), ms.end());
  std::printf("%-46s %5zu calls, ms: median %.2f, p99 %.2f, longest %.2f\n", name, ms.size(),
              ms[ms.size() / 2], ms[ms.size() * 99 / 100], ms.back());
}

std::vector<double> calls(unsigned short port, int count) {
  asio::io_context io;
  std::vector<double> out;
  for (int i = 0; i < count; ++i) {
    out.push_back(call(io, port, i % 2 == 0 ? "HEALTH" : "DUMP"));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return out;
}

void measure_calls(const std::string& router, int count) {
  Rig rig(router, 1'024, 48);
  print("at rest", calls(rig.management, count));
  {
    std::atomic<bool> on{true};
    std::thread load([&] {
      while (on) {
        bench::LoadPlan plan;
        plan.port = rig.port;
        plan.connections = 64;
        plan.requests = 20'000;
        bench::run_load(plan);
      }
    });
    print("under 64 clients at full speed", calls(rig.management, count));
    on = false;
    load.join();
  }
  asio::io_context io;
  std::vector<tcp::socket> silent;
  std::atomic<bool> on{true};
  // Each holds its connection for 4 s, or until it is ended, and is followed by another.
  std::thread crowd([&] {
    for (int i = 0; on; ++i) {
      tcp::socket one = connect(io, rig.management);
      if (i % 2 == 0) asio::write(one, asio::buffer(std::string("DUM")));
      if (silent.size() < 200) {
        silent.push_back(std::move(one));
      } else {
        silent[static_cast<std::size_t>(i) % 200] = std::move(one);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  });
  print("beside 50 new silent callers a second", calls(rig.management, count));
  on = false;
  crowd.join();
}

// Whether one long save or read was served whole.
bool pass(unsigned short port, std::size_t size, bool save) {
  static std::atomic<unsigned> last{0};
  asio::io_context io;
  tcp::socket socket = connect(io, port);
  const unsigned number = ++last;
  char id[17];
  std::snprintf(id, sizeof id, "%016x", number);
  const std::string lane = save ? "annotation-save" : "tile-read";
  std::string head = (save ? "PUT /" : "GET /") + lane + "/" + std::to_string(number) +
                     " HTTP/1.1\r\nHost: x\r\nX-Lane: " + lane + "\r\nX-Txn: " + id +
                     "\r\nX-Remaining: 3\r\nConnection: close\r\n";
  if (save)
    head += "Idempotency-Key: " + std::string(id) + "\r\nContent-Length: " + std::to_string(size) + "\r\n";
  asio::write(socket, asio::buffer(head + "\r\n"));
  if (save) asio::write(socket, asio::buffer(std::string(size, 'x')));
  std::string answer(12, ' ');
  asio::read(socket, asio::buffer(answer));
  std::vector<char> rest(1 << 20);
  boost::system::error_code end;
  std::size_t got = 0;
  while (!end) got += socket.read_some(asio::buffer(rest), end);
  return answer.substr(9) == "200" && (save || got > size);
}

// Clients that come back until they are served. Bytes a second by all, and the most that the router held.
void measure_long(const std::string& router, int clients, std::size_t size, bool saves) {
  constexpr int kMostTries = 200;
  Rig rig(router, saves ? 1 : size, 48);
  const long before = rig.process->resident_kb();
  long most = before;
  std::atomic<int> left{clients}, served{0}, tries{0};
  const auto began = Clock::now();
  std::vector<std::thread> all;
  for (int i = 0; i < clients; ++i)
    all.emplace_back([&] {
      for (int mine = 0; mine < kMostTries; ++mine) {
        ++tries;
        try {
          if (pass(rig.port, size, saves)) {
            ++served;
            break;
          }
        } catch (const std::exception&) {  // its connection was ended before all was sent: it comes back
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
      --left;
    });
  while (left > 0) {
    most = std::max(most, rig.process->resident_kb());
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  const double seconds = std::chrono::duration<double>(Clock::now() - began).count();
  for (std::thread& one : all) one.join();
  const double mib = static_cast<double>(size) / (1 << 20);
  std::printf(
      "%-8s %d of %.1f MiB at once: %d served in %d tries, %.0f MiB/s; resident %ld KB, at most %ld\n",
      saves ? "saves" : "answers", clients, mib, served.load(), tries.load(), served * mib / seconds, before,
      most);
}

}  // namespace

int main(int argc, char** argv) {
  std::string router = "build/streampick_router";
  int count = 400;
  CLI::App app("What operators and long bodies cost a router.");
  app.add_option("--router", router, "the program to measure");
  app.add_option("--calls", count, "of each kind")->check(CLI::Range(100, 100'000));
  CLI11_PARSE(app, argc, argv);
  try {
    measure_calls(router, count);
    for (const bool saves : {true, false})
      for (const auto& [clients, size] :
           {std::pair(24, std::size_t{1} << 19), std::pair(24, std::size_t{1} << 22),
            std::pair(24, std::size_t{1} << 25)})
        measure_long(router, clients, size, saves);
  } catch (const std::exception& wrong) {
    std::fprintf(stderr, "bench_operating: %s\n", wrong.what());
    return 1;
  }
  return 0;
}
