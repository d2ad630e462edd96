// Hundreds of bad clients begin a save of 64 KiB, stop in the middle and stay. The router must stay under the
// memory limit of its configuration: over it the platform kills it, and what the usual clients asked is lost.
#include "stage.h"

using namespace stage;

namespace {

constexpr int kBadClients = 500;
constexpr std::size_t kAnnounced = 65'536;
constexpr std::size_t kSent = 65'000;
constexpr int kMemoryMb = 32;
constexpr int kSockets = 1'024;
constexpr int kUsualClients = 4;

int play(Case& setup) {
  Record& record = *setup.record;
  Server cache(answer_each([](const Message& request) {
    sleep_for(0.1);
    return ok("value of " + request.word(1));
  }));
  Server origin(answer_each([](const Message&) { return ok("value"); }));
  Discovery discovery(record, {{"s-1", cache.address()}, {"s-origin", origin.address(), true}});
  RouterSettings settings;
  settings.memory_mb = kMemoryMb;
  settings.sockets = kSockets;
  Router router(setup, "n1", discovery, settings, free_port());
  if (!router.wait_until_ready(30)) return kCouldNotRun;
  record.line("platform: resident memory %.1f MiB of %d",
              static_cast<double>(router.resident_bytes()) / 1048576.0, kMemoryMb);

  // The platform: over memory_mb the router is killed.
  std::atomic<bool> stopping{false};
  std::atomic<bool> over{false};
  std::atomic<std::size_t> most{0};
  std::thread platform([&] {
    while (!stopping) {
      const std::size_t bytes = router.resident_bytes();
      most = std::max<std::size_t>(most, bytes);
      if (bytes > std::size_t{kMemoryMb} * 1024 * 1024 && !over.exchange(true)) {
        record.line("platform: resident memory %.1f MiB, over the limit of %d: KILLED",
                    static_cast<double>(bytes) / 1048576.0, kMemoryMb);
        router.signal(SIGKILL);
      }
      sleep_for(0.01);
    }
  });
  std::atomic<int> served{0};
  std::atomic<int> lost{0};
  std::vector<std::thread> usual;
  for (int i = 0; i < kUsualClients; ++i)
    usual.emplace_back([&] {
      while (!stopping) {
        const Request request;
        const bool killed_before = over;
        const Answer answer = ask(router.port(), request, 4);
        const bool is_answered = answer.end == Reader::End::whole;
        record.line("client: %s -> %d %s", request.id.c_str(), answer.status, name_of(answer.end));
        if (is_answered && answer.status == 200) ++served;
        if (!is_answered && !killed_before) ++lost;
        sleep_for(0.05);
      }
    });
  sleep_for(1);

  std::vector<Socket> bad;
  if (setup.trouble) {
    record.line("bad clients: %d begin a save of %zu bytes, send %zu and stop", kBadClients, kAnnounced,
                kSent);
    for (int i = 0; i < kBadClients && !over; ++i) {
      Request save;
      save.method = "PUT";
      save.name = "annotation-save";
      save.idempotency_key = save.id;
      save.announced = kAnnounced;
      save.body = std::string(kSent, 'x');
      Socket socket = connect_to(router.port());
      if (!socket.is_open() || !socket.write(save.text())) {
        record.line("bad client %d: its connection was closed", i + 1);
        continue;
      }
      bad.push_back(std::move(socket));
    }
    record.line("bad clients: %zu have sent their part", bad.size());
  }
  sleep_for(4);
  int answered = 0;
  for (const Socket& socket : bad) {
    char bytes[256];
    if (socket.read(bytes, sizeof bytes, now() + 0.01) > 0) ++answered;
  }
  if (setup.trouble) record.line("bad clients: %d got an error within 4 s", answered);
  stopping = true;
  for (std::thread& client : usual) client.join();
  platform.join();
  record.line("platform: resident memory was %.1f MiB at most, the limit is %d",
              static_cast<double>(most) / 1048576.0, kMemoryMb);
  record.line("clients: %d served; %d were open when the router was killed and got no answer", served.load(),
              lost.load());
  if (served < 5) return kCouldNotRun;
  return over ? kBroken : router.ended() ? kCouldNotRun : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return main_of(argc, argv, play); }
