// A cache server gives an answer of 1,000,000 bytes at once; the client reads it steadily, at 64 kB a second.
// The router must hand on all of it.
#include "stage.h"

using namespace stage;

namespace {

constexpr std::size_t kBody = 1'000'000;
constexpr double kSlowRate = 64'000;  // bytes a second
constexpr double kFastRate = 2'000'000;
constexpr int kClients = 6;

int play(Case& setup) {
  Record& record = *setup.record;
  std::string body(kBody, ' ');
  std::mt19937 random{5};
  for (char& byte : body) byte = static_cast<char>('a' + random() % 26);
  Server cache(answer_each([&](const Message& request) {
    record.line("s-1: answers %s with %zu bytes", request.header("x-txn").c_str(), body.size());
    return ok(body);
  }));
  Server origin(answer_each([](const Message&) { return ok("value"); }));
  Discovery discovery(record, {{"s-1", cache.address()}, {"s-origin", origin.address(), true}});
  Router router(setup, "n1", discovery, {}, free_port());
  if (!router.wait_until_ready(30)) return kCouldNotRun;

  const double rate = setup.trouble ? kSlowRate : kFastRate;
  std::atomic<int> begun{0};
  std::atomic<int> lost{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] {
      Request request;
      char key[32];
      std::snprintf(key, sizeof key, "%016x", i);
      request.key = key;
      request.remaining = 4;
      // Segments of 1,400 bytes, as on a network and unlike on loopback. A client that reads slowly has a
      // small buffer.
      const Socket socket = connect_to(router.port(), {.receive_buffer = 2304, .segment = 1400});
      const double asked = now();
      if (!socket.is_open() || !socket.write(request.text())) return;
      Reader reader(socket);
      Message answer;
      Reader::End end = reader.read_head(answer, now() + 4);
      if (end != Reader::End::whole || answer.word(1) != "200") return;
      ++begun;
      const double first = now() - asked;
      double longest_wait = 0;
      const double start = now();
      while (answer.body.size() < kBody) {
        sleep_for(start + static_cast<double>(answer.body.size()) / rate - now());
        const double before = now();
        end = reader.read_some(answer.body, 2048, now() + 20);
        longest_wait = std::max(longest_wait, now() - before);
        if (end != Reader::End::whole) break;
      }
      const bool is_whole = answer.body == body;
      if (!is_whole) ++lost;
      record.line(
          "client: %s -> %s; first bytes after %.3f s, %zu of %zu bytes in %.1f s, longest wait for a byte "
          "%.2f s: %s%s",
          request.id.c_str(), answer.word(1).c_str(), first, answer.body.size(), kBody, now() - asked,
          longest_wait, name_of(end), is_whole ? "" : ", CUT OFF");
    });
  for (std::thread& client : clients) client.join();
  if (router.ended() || begun < kClients) return kCouldNotRun;
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return main_of(argc, argv, play); }
