// Measures how long a write waits behind reads (head-of-line blocking), with writes alone on their connection
// and with writes that share it. The cache takes 3 ms per command and stalls for up to 200 ms on one read in
// a hundred. The load is 500 commands per second, one in ten a write, which keeps one and a half connections
// busy.
//   bench_resp_head_of_line
#include <algorithm>
#include <boost/asio.hpp>
#include <cstdio>
#include <map>

#include "daemon/host.h"
#include "standin/platform.h"
#include "standin/resp_cache.h"

namespace {

using namespace streampick;
namespace asio = boost::asio;

// Reads and writes go to one server, as on a platform without an origin.
void run(bool writes_alone, std::size_t connections) {
  asio::io_context io(1);
  net::Clock clock(io);
  standin::RespCache cache(io, {.work = std::chrono::microseconds(3'000)});
  std::uint64_t command_count = 0;
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  cache.script = [&](const std::vector<std::string>& words, std::size_t) {
    if (words[0] != "GET" || ++command_count % 100 != 0) return standin::Fault{};
    timers.push_back(std::make_unique<asio::steady_timer>(io, std::chrono::milliseconds(200)));
    timers.back()->async_wait([&](const boost::system::error_code&) { cache.release(); });
    return standin::Fault{standin::Fault::Kind::stall};
  };
  for (int i = 0; i < 50; ++i) cache.values["k" + std::to_string(i)] = "v";
  resp::ServerSettings settings;
  settings.connections = connections;
  settings.pipeline = 16;
  settings.writes_alone = writes_alone;
  resp::ServerCounts counts;
  net::UpstreamResources resources;
  resources.connections.set_limit(64);
  resources.connect_timeout = 250'000;
  struct Observer final : engine::AttemptObserver {
    void on_attempt_ended(engine::AttemptId id, Outcome outcome, engine::Answer) override {
      const auto found = begun.find(id.request);
      if (found == begun.end()) return;
      if (outcome == Outcome::served)
        (id.number == 1 ? writes : reads).push_back(clock->now() - found->second);
      begun.erase(found);
    }
    net::Clock* clock = nullptr;
    std::map<RequestId, Time> begun;
    std::vector<Time> reads, writes;
  } observer;
  observer.clock = &clock;
  resp::RespTransport transport(io, clock, resources, observer, settings, counts, "c-0", false);
  transport.set_address(cache.address());
  RequestId last = 0;
  const Time end = clock.now() + 3'000'000;
  Time next = clock.now();
  while (clock.now() < end || !observer.begun.empty()) {
    clock.next_batch();
    const Time now = clock.now();
    if (now > end + 2'000'000) break;
    for (; next <= now && next < end; next += 2'000) {  // 500 commands per second, one in ten a write
      ++last;
      const bool write = last % 10 == 0;
      auto message = std::make_shared<engine::Message>();
      message->operation = write ? engine::Operation::write : engine::Operation::read;
      message->key = "k" + std::to_string(last % 50);
      message->body = "v";
      observer.begun[last] = now;
      transport.send({last, write ? 1U : 0U}, std::move(message), now + 4'000'000, kNever);
    }
    io.restart();
    io.run_one_for(std::chrono::microseconds(500));
  }
  const auto at = [](std::vector<Time>& all, double share) {
    if (all.empty()) return 0.0;
    std::sort(all.begin(), all.end());
    return static_cast<double>(all[static_cast<std::size_t>(share * static_cast<double>(all.size() - 1))]) /
           1000;
  };
  std::printf(
      "%-7s %zu connections: writes p50 %6.1f ms p99 %6.1f ms; reads p50 %6.1f ms p99 %6.1f ms (%zu "
      "writes)\n",
      writes_alone ? "alone" : "shared", connections, at(observer.writes, 0.5), at(observer.writes, 0.99),
      at(observer.reads, 0.5), at(observer.reads, 0.99), observer.writes.size());
}

}  // namespace

int main() {
  for (const std::size_t connections : {2U, 4U, 8U}) {
    run(false, connections);
    run(true, connections);
  }
}
