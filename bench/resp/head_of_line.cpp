// How long a save waits behind reads: writes alone on their connection against writes that share it, on a
// cache that takes 3 ms for a command and stalls for up to 200 ms on one read in a hundred; 500 commands a
// second, one in ten a save: one and a half connections' work.
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

// Both on one server, as where values have no further source.
void run(bool alone, std::size_t connections) {
  asio::io_context io(1);
  net::Clock clock(io);
  standin::RespCache cache(io, {.work = std::chrono::microseconds(3'000)});
  std::uint64_t turn = 0;
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  cache.script = [&](const std::vector<std::string>& words, std::size_t) {
    if (words[0] != "GET" || ++turn % 100 != 0) return standin::Fault{};
    timers.push_back(std::make_unique<asio::steady_timer>(io, std::chrono::milliseconds(200)));
    timers.back()->async_wait([&](const boost::system::error_code&) { cache.release(); });
    return standin::Fault{standin::Fault::Kind::stall};
  };
  for (int i = 0; i < 50; ++i) cache.values["k" + std::to_string(i)] = "v";
  resp::ServerSettings settings;
  settings.connections = connections;
  settings.pipeline = 16;
  settings.writes_alone = alone;
  resp::ServerCounts counts;
  net::UpstreamResources resources;
  resources.connections.set_limit(64);
  resources.connect_timeout = 250'000;
  struct Ends final : engine::AttemptObserver {
    void on_attempt_ended(engine::AttemptId id, Outcome outcome, engine::Answer) override {
      const auto found = begun.find(id.request);
      if (found == begun.end()) return;
      if (outcome == Outcome::served)
        (id.number == 1 ? saves : reads).push_back(clock->now() - found->second);
      begun.erase(found);
    }
    net::Clock* clock = nullptr;
    std::map<RequestId, Time> begun;
    std::vector<Time> reads, saves;
  } ends;
  ends.clock = &clock;
  resp::RespTransport transport(io, clock, resources, ends, settings, counts, "c-0", false);
  transport.set_address(cache.address());
  RequestId last = 0;
  const Time end = clock.now() + 3'000'000;
  Time next = clock.now();
  while (clock.now() < end || !ends.begun.empty()) {
    clock.next_batch();
    const Time now = clock.now();
    if (now > end + 2'000'000) break;
    for (; next <= now && next < end; next += 2'000) {  // 500 a second, one in ten a save
      ++last;
      const bool save = last % 10 == 0;
      auto message = std::make_shared<engine::Message>();
      message->operation = save ? engine::Operation::write : engine::Operation::read;
      message->key = "k" + std::to_string(last % 50);
      message->body = "v";
      ends.begun[last] = now;
      transport.send({last, save ? 1U : 0U}, std::move(message), now + 4'000'000, kNever);
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
      "%-7s %zu connections: saves p50 %6.1f ms p99 %6.1f ms; reads p50 %6.1f ms p99 %6.1f ms (%zu saves)\n",
      alone ? "alone" : "shared", connections, at(ends.saves, 0.5), at(ends.saves, 0.99), at(ends.reads, 0.5),
      at(ends.reads, 0.99), ends.saves.size());
}

}  // namespace

int main() {
  for (const std::size_t connections : {2U, 4U, 8U}) {
    run(false, connections);
    run(true, connections);
  }
}
