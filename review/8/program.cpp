// Cache servers write long answers in two pieces, and sound clients read them slowly, more at once than
// memory holds. The router must stay under the memory limit of its configuration: over it the platform kills
// it.
#include "stage.h"

using namespace stage;

namespace {

constexpr int kClients = 250;
constexpr double kEvery = 0.01;  // one client asks each 10 ms
constexpr std::size_t kBody = 1'000'000;
constexpr std::size_t kFirstPiece = 950'000;
constexpr double kPause = 0.1;    // of a cache server before the second piece
constexpr double kRate = 64'000;  // bytes a second that a client reads
constexpr double kWatched = 4;
constexpr int kCaches = 6;
constexpr int kMemoryMb = 192;
constexpr int kSockets = 1'024;

int play(Case& setup) {
  Record& record = *setup.record;
  const std::string body(kBody, 'x');
  const auto serve = [&](Socket& socket) {
    Reader reader(socket);
    for (;;) {
      Message request;
      if (reader.read_head(request, now() + 3600) != Reader::End::whole) return;
      if (reader.read_body(request, now() + 3600) != Reader::End::whole) return;
      const std::string answer = ok(body);
      const std::size_t first = answer.size() - kBody + kFirstPiece;
      if (!socket.write(answer.substr(0, first))) return;
      if (setup.trouble) sleep_for(kPause);
      if (!socket.write(answer.substr(first))) return;
    }
  };
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Member> members;
  for (int i = 0; i < kCaches; ++i) {
    servers.push_back(std::make_unique<Server>(serve));
    members.push_back({"s-" + std::to_string(i + 1), servers.back()->address()});
  }
  servers.push_back(std::make_unique<Server>(serve));
  members.push_back({"s-origin", servers.back()->address(), true});
  Discovery discovery(record, members);
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
  record.line("clients: %d read %zu bytes each, at %.0f bytes a second, one begins each %.0f ms", kClients,
              kBody, kRate, kEvery * 1000);
  std::atomic<int> begun{0};
  std::atomic<int> refused{0};
  std::atomic<int> broken_off{0};
  std::vector<std::thread> clients;
  const double start = now();
  for (int i = 0; i < kClients && !over; ++i) {
    sleep_for(start + i * kEvery - now());
    clients.emplace_back([&, i] {
      Request request;
      char key[32];
      std::snprintf(key, sizeof key, "%016x", i);
      request.key = key;
      request.remaining = 4;
      // Segments of 1,400 bytes, as on a network and unlike on loopback. A client that reads slowly has a
      // small buffer.
      const Socket socket = connect_to(router.port(), {.receive_buffer = 2304, .segment = 1400});
      if (!socket.is_open() || !socket.write(request.text())) return;
      Reader reader(socket);
      Message answer;
      Reader::End end = reader.read_head(answer, now() + 5);
      const int status = end == Reader::End::whole ? std::atoi(answer.word(1).c_str()) : 0;
      const double reading = now();
      if (status == 200) {
        ++begun;
        while (!stopping && answer.body.size() < kBody) {
          sleep_for(reading + static_cast<double>(answer.body.size()) / kRate - now());
          end = reader.read_some(answer.body, 4096, now() + 5);
          if (end != Reader::End::whole) break;
        }
      } else {
        ++refused;
      }
      if (status == 200 && end != Reader::End::whole && !stopping) ++broken_off;
      record.line("client: %s -> %d, %zu bytes read, %s", request.id.c_str(), status, answer.body.size(),
                  name_of(end));
    });
  }
  sleep_for(over ? 0.5 : kWatched);
  stopping = true;
  for (std::thread& client : clients) client.join();
  platform.join();
  record.line("platform: resident memory was %.1f MiB at most, the limit is %d",
              static_cast<double>(most) / 1048576.0, kMemoryMb);
  record.line(
      "clients: %d answers begun, %d refused or without an answer, %d broken off before the end of the case",
      begun.load(), refused.load(), broken_off.load());
  if (begun < 20) return kCouldNotRun;
  return over ? kBroken : router.ended() ? kCouldNotRun : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return main_of(argc, argv, play); }
