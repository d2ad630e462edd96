// A save of 900 kB in a keyed class. The origin carries it out and the connection is reset under the request;
// the origin then takes the router's repeat slowly. The repeat must not become whole after the origin has
// forgotten the key.
#include "stage.h"

using namespace stage;

namespace {

constexpr std::size_t kBody = 900'000;
constexpr double kWindow = 2.0;  // WindowUs of annotation-save: repeats of a key are dropped for this long
constexpr std::size_t kPiece =
    65'536;  // of the repeat the origin reads a piece of this size, and the rest after a pause
constexpr double kPause = 2.3;
constexpr int kSaves = 6;

// What the kernel still holds of the sender's bytes on connections to `port`; for the record only.
std::size_t held_by_kernel(std::uint16_t port) {
  std::ifstream file("/proc/net/tcp");
  std::size_t out = 0;
  for (std::string line; std::getline(file, line);) {
    unsigned remote = 0, state = 0;
    unsigned long queued = 0;
    if (std::sscanf(line.c_str(), "%*d: %*8x:%*4x %*8x:%4x %2x %8lx:", &remote, &state, &queued) == 3 &&
        remote == port)
      out += queued;
  }
  return out;
}

int play(Case& setup) {
  Record& record = *setup.record;
  std::mutex mutex;
  std::map<std::string, double> ran_at;   // by idempotency key: when it was last carried out
  std::map<std::string, int> runs, seen;  // by idempotency key
  std::atomic<std::uint16_t> origin_port{0};

  // As on an ordinary network: segments of 1,400 bytes. A server that reads slowly has a small buffer.
  const SocketOptions network{.receive_buffer = 8192, .segment = 1400};
  Server origin(
      [&](Socket& socket) {
        Reader reader(socket);
        for (;;) {
          Message request;
          if (reader.read_head(request, now() + 3600) != Reader::End::whole) return;
          const double head_at = now();
          const std::string key = request.header("idempotency-key");
          const std::size_t length = std::strtoul(request.header("content-length").c_str(), nullptr, 10);
          int number = 0;
          {
            const std::lock_guard lock(mutex);
            number = ++seen[key];
          }
          const bool is_slow = setup.trouble && number > 1;
          double next_report = kWindow;
          while (request.body.size() < length) {
            if (is_slow) {
              if (request.body.size() >= kPiece) sleep_for(head_at + kWindow + 0.02 - now());
              const std::lock_guard lock(mutex);
              if (ran_at.count(key) > 0 && now() - ran_at[key] >= next_report) {
                next_report = 1e9;
                const std::size_t held = held_by_kernel(origin_port);
                record.line(
                    "origin: key %s, %.3f s after it ran: %zu of %zu bytes of the repeat are here, %zu in "
                    "the kernel, %zu not yet written by the router",
                    key.c_str(), now() - ran_at[key], request.body.size(), length, held,
                    length - std::min(length, request.body.size() + held));
              }
            }
            if (is_slow && request.body.size() >= kPiece) sleep_for(head_at + kPause - now());
            if (reader.read_some(request.body, 8192, now() + 3600) != Reader::End::whole) {
              record.line("origin: key %s, attempt %d breaks off after %zu bytes", key.c_str(), number,
                          request.body.size());
              return;
            }
          }
          // A server begins a request when its last byte has come.
          bool repeated = false;
          {
            const std::lock_guard lock(mutex);
            repeated = ran_at.count(key) > 0 && now() - ran_at[key] <= kWindow;
            if (!repeated) {
              ran_at[key] = now();
              ++runs[key];
            }
          }
          record.line("origin: key %s, attempt %d came %.3f to %.3f: %s", key.c_str(), number, head_at, now(),
                      repeated ? "a repeat, dropped" : "CARRIED OUT");
          if (setup.trouble && number == 1) {
            record.line("origin: key %s, the connection is reset", key.c_str());
            return socket.reset();
          }
          if (!socket.write(ok("saved"))) return;
        }
      },
      network);
  origin_port = static_cast<std::uint16_t>(std::atoi(origin.address().substr(10).c_str()));
  Server cache(answer_each([](const Message&) { return miss(); }));
  Discovery discovery(record, {{"s-1", cache.address()}, {"s-origin", origin.address(), true}});
  Router router(setup, "n1", discovery, {}, free_port());
  if (!router.wait_until_ready(30)) return kCouldNotRun;

  int answered = 0;
  for (int i = 0; i < kSaves; ++i) {
    Request save;
    save.method = "PUT";
    save.name = "annotation-save";
    save.body = std::string(kBody, static_cast<char>('a' + i));
    save.idempotency_key = "save-" + std::to_string(i);
    record.line("client: PUT %s, key %s, %zu bytes", save.id.c_str(), save.idempotency_key.c_str(),
                save.body.size());
    const Answer answer = ask(router.port(), save, 3.5);
    record.line("client: %s -> %d %s", save.id.c_str(), answer.status, name_of(answer.end));
    answered += answer.end == Reader::End::whole ? 1 : 0;
  }
  sleep_for(0.5);
  if (router.ended() || answered < kSaves) return kCouldNotRun;
  int twice = 0;
  for (const auto& [key, count] : runs) {
    if (count > 1) ++twice;
    record.line("origin: key %s was carried out %d time(s)", key.c_str(), count);
  }
  return twice > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return main_of(argc, argv, play); }
