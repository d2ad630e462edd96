// Measures the duration of commands at the management address, on an idle router, under load and beside idle
// connections, and the memory that many concurrent large request and response bodies take.
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

// Stand-in servers on a separate thread, and a router process in front of them.
class RouterUnderTest {
 public:
  RouterUnderTest(const std::string& router, std::size_t value, std::size_t memory_mb)
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
    // The router opens the management address last.
    boost::system::error_code error = asio::error::connection_refused;
    for (int tries = 0; error && tries < 500; ++tries) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      tcp::socket socket(ports);
      socket.connect({asio::ip::address_v4::loopback(), management}, error);
    }
    if (error) throw std::runtime_error("the router did not start: " + error.message());
  }
  ~RouterUnderTest() {
    process.reset();
    io_.stop();
    thread_.join();
  }
  RouterUnderTest(const RouterUnderTest&) = delete;
  RouterUnderTest& operator=(const RouterUnderTest&) = delete;

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

// Sends a command. Returns the milliseconds from the connect to the end of the connection.
double time_command(asio::io_context& io, unsigned short port, const std::string& line) {
  const auto start = Clock::now();
  tcp::socket socket = connect(io, port);
  asio::write(socket, asio::buffer(line + "\n"));
  std::string answer;
  boost::system::error_code end;
  asio::read(socket, asio::dynamic_buffer(answer), end);
  if (answer.rfind("ACK", 0) != 0 && answer.rfind("{", 0) != 0)
    throw std::runtime_error("unexpected answer: " + answer);
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

void print(const char* name, std::vector<double> ms) {
  std::sort(ms.begin(), ms.end());
  std::printf("%-46s %5zu commands, ms: median %.2f, p99 %.2f, longest %.2f\n", name, ms.size(),
              ms[ms.size() / 2], ms[ms.size() * 99 / 100], ms.back());
}

std::vector<double> time_commands(unsigned short port, int count) {
  asio::io_context io;
  std::vector<double> out;
  for (int i = 0; i < count; ++i) {
    out.push_back(time_command(io, port, i % 2 == 0 ? "HEALTH" : "DUMP"));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return out;
}

void measure_commands(const std::string& router, int count) {
  RouterUnderTest under_test(router, 1'024, 48);
  print("on an idle router", time_commands(under_test.management, count));
  {
    std::atomic<bool> on{true};
    std::thread load([&] {
      while (on) {
        bench::LoadPlan plan;
        plan.port = under_test.port;
        plan.connections = 64;
        plan.requests = 20'000;
        bench::run_load(plan);
      }
    });
    print("under 64 clients at full speed", time_commands(under_test.management, count));
    on = false;
    load.join();
  }
  asio::io_context io;
  std::vector<tcp::socket> idle;
  std::atomic<bool> on{true};
  // A new connection every 20 ms; each is replaced after 4 s, unless the router has closed it earlier.
  std::thread connector([&] {
    for (int i = 0; on; ++i) {
      tcp::socket one = connect(io, under_test.management);
      if (i % 2 == 0) asio::write(one, asio::buffer(std::string("DUM")));
      if (idle.size() < 200) {
        idle.push_back(std::move(one));
      } else {
        idle[static_cast<std::size_t>(i) % 200] = std::move(one);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  });
  print("beside 50 new idle connections per second", time_commands(under_test.management, count));
  on = false;
  connector.join();
}

// Sends a write with a large body or a read with a large response. Returns whether it was served completely.
bool transfer(unsigned short port, std::size_t size, bool save) {
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
  std::vector<char> body(1 << 20);
  boost::system::error_code end;
  std::size_t received = 0;
  while (!end) received += socket.read_some(asio::buffer(body), end);
  return answer.substr(9) == "200" && (save || received > size);
}

// Clients that retry until they are served. Prints their total throughput and the router's highest resident
// memory.
void measure_large_bodies(const std::string& router, int clients, std::size_t size, bool saves) {
  constexpr int kMaxTries = 200;
  RouterUnderTest under_test(router, saves ? 1 : size, 48);
  const long before = under_test.process->resident_kb();
  long highest = before;
  std::atomic<int> left{clients}, served{0}, tries{0};
  const auto start = Clock::now();
  std::vector<std::thread> threads;
  for (int i = 0; i < clients; ++i)
    threads.emplace_back([&] {
      for (int try_number = 0; try_number < kMaxTries; ++try_number) {
        ++tries;
        try {
          if (transfer(under_test.port, size, saves)) {
            ++served;
            break;
          }
        } catch (const std::exception&) {  // the router closed the connection before the request was
                                           // complete: retried below
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
      --left;
    });
  while (left > 0) {
    highest = std::max(highest, under_test.process->resident_kb());
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
  for (std::thread& thread : threads) thread.join();
  const double mib = static_cast<double>(size) / (1 << 20);
  std::printf(
      "%-9s %d of %.1f MiB at once: %d served in %d tries, %.0f MiB/s; resident %ld KB, at most %ld KB\n",
      saves ? "writes" : "responses", clients, mib, served.load(), tries.load(), served * mib / seconds,
      before, highest);
}

}  // namespace

int main(int argc, char** argv) {
  std::string router = "build/streampick_router";
  int count = 400;
  CLI::App app("Measures the cost of management commands and of large bodies in a router.");
  app.add_option("--router", router, "the router program to measure");
  app.add_option("--calls", count, "commands in each situation")->check(CLI::Range(100, 100'000));
  CLI11_PARSE(app, argc, argv);
  try {
    measure_commands(router, count);
    for (const bool saves : {true, false})
      for (const auto& [clients, size] :
           {std::pair(24, std::size_t{1} << 19), std::pair(24, std::size_t{1} << 22),
            std::pair(24, std::size_t{1} << 25)})
        measure_large_bodies(router, clients, size, saves);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_operating: %s\n", error.what());
    return 1;
  }
  return 0;
}
