// Sound clients send long saves in chunked coding, more at once than memory holds, to a sound origin. The
// router must stay under the memory limit of its configuration: over it the platform kills it.
#include "stage.h"

using namespace stage;

namespace {

constexpr int kSaves = 200;
constexpr double kEvery = 0.01;           // one save begins each 10 ms
constexpr std::size_t kLong = 1'500'000;  // bytes of a body
constexpr std::size_t kShort = 10'000;    // without the disruption
constexpr std::size_t kChunk = 65'536;
constexpr double kWork = 0.15;  // of the origin for a save
constexpr int kMemoryMb = 192;
constexpr int kSockets = 1'024;
constexpr int kUsualClients = 4;

std::string chunked(const std::string& body) {
  std::string out;
  for (std::size_t at = 0; at < body.size(); at += kChunk) {
    const std::string part = body.substr(at, kChunk);
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    out += size + part + "\r\n";
  }
  return out + "0\r\n\r\n";
}

int play(Case& setup) {
  Record& record = *setup.record;
  Server cache(answer_each([](const Message& request) {
    if (request.word(0) == "PUT") return miss();
    sleep_for(0.05);
    return ok("value of " + request.word(1));
  }));
  Server origin(answer_each([&](const Message& request) {
    sleep_for(kWork);
    record.line("s-origin: runs %s", request.header("x-txn").c_str());
    return ok("saved");
  }));
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
      sleep_for(0.005);
    }
  });
  std::atomic<int> served{0};
  std::atomic<int> unanswered{0};
  std::vector<std::thread> usual;
  for (int i = 0; i < kUsualClients; ++i)
    usual.emplace_back([&] {
      while (!stopping) {
        const Request request;
        const bool killed_before = over;
        const Answer answer = ask(router.port(), request, 4);
        if (answer.is_served()) ++served;
        if (answer.end != Reader::End::whole && !killed_before) ++unanswered;
        sleep_for(0.05);
      }
    });
  sleep_for(0.5);

  const std::string body = chunked(std::string(setup.trouble ? kLong : kShort, 'x'));
  record.line("clients: %d saves, one each %.0f ms, bodies of %zu bytes in chunks", kSaves, kEvery * 1000,
              setup.trouble ? kLong : kShort);
  std::mutex mutex;
  std::map<int, int> answers;  // by status
  std::vector<std::thread> savers;
  const double start = now();
  for (int i = 0; i < kSaves && !over; ++i) {
    sleep_for(start + i * kEvery - now());
    savers.emplace_back([&, i] {
      const std::string id = new_id();
      char key[32];
      std::snprintf(key, sizeof key, "%016x", i);
      const Socket socket = connect_to(router.port());
      const bool is_written =
          socket.is_open() &&
          socket.write("PUT /annotation-save/" + std::string(key) + " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " +
                       id + "\r\nX-Lane: annotation-save\r\nX-Remaining: 3.000\r\nIdempotency-Key: " + id +
                       "\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
      Reader reader(socket);
      Message answer;
      const Reader::End end = socket.is_open() ? reader.read_head(answer, now() + 5) : Reader::End::closed;
      const int status = end == Reader::End::whole ? std::atoi(answer.word(1).c_str()) : 0;
      record.line("client: save %s, %s, -> %d %s", id.c_str(),
                  is_written ? "written whole" : "not written whole", status, name_of(end));
      const std::lock_guard lock(mutex);
      ++answers[status];
    });
  }
  for (std::thread& saver : savers) saver.join();
  sleep_for(0.5);
  stopping = true;
  for (std::thread& client : usual) client.join();
  platform.join();
  for (const auto& [status, count] : answers)
    record.line("clients: %d saves: %s", count, status == 0 ? "no answer" : std::to_string(status).c_str());
  record.line("platform: resident memory was %.1f MiB at most, the limit is %d",
              static_cast<double>(most) / 1048576.0, kMemoryMb);
  record.line("clients: %d reads served; %d were open when the router was killed and got no answer",
              served.load(), unanswered.load());
  if (served < 5) return kCouldNotRun;
  return over ? kBroken : router.ended() ? kCouldNotRun : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return main_of(argc, argv, play); }
