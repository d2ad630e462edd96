// A host process for the pause tests: CONFIG CALLS DEADLINE_MS; tells on descriptor 3 that its calls are out,
// and in the end what became of them.
#include <unistd.h>

#include <cstdlib>
#include <thread>
#include <vector>

#include "report.h"
#include "streampick/client.h"

int main(int, char** argv) {
  using namespace streampick;
  test::Report report;
  {
    ClientSettings settings;
    settings.config_path = argv[1];
    Client client(settings);
    std::vector<std::future<Result>> open;
    for (int i = 0; i < std::atoi(argv[2]); ++i)
      open.push_back(
          client.get("k" + std::to_string(i), {.deadline = std::chrono::milliseconds(std::atoi(argv[3]))}));
    while (client.counts().attempts < 1) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const char ready = 1;
    if (::write(3, &ready, 1) != 1) return 1;
    for (auto& call : open) {
      const Result result = call.get();
      ++report.ends;
      report.served += result.status == Status::served ? 1 : 0;
      report.refused += result.status == Status::refused ? 1 : 0;
      report.failed += result.status == Status::failed ? 1 : 0;
      report.late += result.late ? 1 : 0;
    }
    const ClientCounts counts = client.counts();
    report.attempts = counts.attempts;
    report.pauses = counts.pauses;
  }
  return ::write(3, &report, sizeof report) == sizeof report ? 0 : 1;
}
