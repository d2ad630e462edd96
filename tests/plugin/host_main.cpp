// A host process for tests that suspend it. Arguments: CONFIG CALLS DEADLINE_MS [MODE]. It writes to
// descriptor 3 one byte when its calls are in flight, and a Report when they have ended. Modes:
//   saves    every second call is a save
//   drain    drains the client when the calls are in flight, with their deadline as the timeout
//   again    when the calls have ended, makes as many again, one after another
//   nofile   cannot open a descriptor while it makes its first calls
//   exit     calls exit() with calls in flight and without destroying the client
#include <sys/resource.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "report.h"
#include "streampick/client.h"

namespace {

using namespace streampick;

// Limits descriptors to those that are open.
struct NoDescriptors {
  NoDescriptors() {
    ::getrlimit(RLIMIT_NOFILE, &before);
    const int next = ::dup(0);
    ::close(next);
    rlimit none = before;
    none.rlim_cur = static_cast<rlim_t>(next);
    ::setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &before); }
  rlimit before{};
};

void count(test::Report& report, const Result& result) {
  ++report.ends;
  report.served += result.status == Status::served ? 1 : 0;
  report.rejected += result.status == Status::rejected ? 1 : 0;
  report.failed += result.status == Status::failed ? 1 : 0;
  report.cancelled += result.status == Status::cancelled ? 1 : 0;
  report.late += result.late ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string mode = argc > 4 ? argv[4] : "";
  const int calls = std::atoi(argv[2]);
  const std::chrono::milliseconds deadline(std::atoi(argv[3]));
  test::Report report;
  {
    ClientSettings settings;
    settings.config_path = argv[1];
    const auto made = std::make_unique<Client>(settings);
    Client& client = *made;
    const auto ask = [&](int i) {
      const std::string key = "k" + std::to_string(i);
      return mode == "saves" && i % 2 == 1 ? client.put(key, "mark", {.deadline = deadline})
                                           : client.get(key, {.deadline = deadline});
    };
    std::vector<std::future<Result>> open;
    if (mode == "nofile") {
      while (client.counts().servers == 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
      std::this_thread::sleep_for(std::chrono::milliseconds(100));  // until the discovery watch is open
      const NoDescriptors none;
      for (int i = 0; i < calls; ++i) count(report, ask(i).get());
    } else {
      for (int i = 0; i < calls; ++i) open.push_back(ask(i));
      while (client.counts().attempts < 1) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const char ready = 1;
    if (::write(3, &ready, 1) != 1) return 1;
    if (mode == "exit") {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      std::exit(0);
    }
    if (mode == "drain") report.drained = client.drain(deadline) ? 1 : 0;
    for (auto& call : open) count(report, call.get());
    if (mode == "again" || mode == "nofile")
      for (int i = 0; i < calls; ++i) count(report, ask(i).get());
    const ClientCounts counts = client.counts();
    report.attempts = counts.attempts;
    report.suspensions = counts.suspensions;
  }
  return ::write(3, &report, sizeof report) == sizeof report ? 0 : 1;
}
