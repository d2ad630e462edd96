// The origin hangs in the middle of its work for some seconds while clients send long saves. Each save that
// its client has written whole must get its final answer in its time.
#include "stage.h"

using namespace stage;

namespace {

constexpr int kSaves = 60;
constexpr double kEvery = 0.02;
constexpr std::size_t kBody = 1'500'000;
constexpr double kHang = 6;      // the origin answers nothing for so long
constexpr double kWork = 0.1;    // of the origin for a save
constexpr double kPatience = 3;  // a save is given up after 3 s
constexpr double kLate = 0.5;    // up to half a second later an answer only earns nothing
constexpr double kSlack = 0.05;

int play(Case& setup) {
  Record& record = *setup.record;
  std::atomic<bool> hangs{false};
  Server cache(answer_each([](const Message& request) {
    if (request.word(0) == "PUT") return miss();
    sleep_for(0.05);
    return ok("value");
  }));
  Server origin(answer_each([&](const Message& request) {
    record.line("s-origin: begins %s, told %s s", request.header("x-txn").c_str(),
                request.header("x-remaining").c_str());
    sleep_for(kWork);
    while (hangs) sleep_for(0.01);
    return ok("saved");
  }));
  Discovery discovery(record, {{"s-1", cache.address()}, {"s-origin", origin.address(), true}});
  Router router(setup, "n1", discovery, {}, free_port());
  if (!router.wait_until_ready(30)) return kCouldNotRun;

  std::atomic<int> in_time{0};
  std::atomic<int> lost{0};
  std::atomic<int> not_taken{0};
  hangs = setup.trouble;
  if (hangs) record.line("s-origin: hangs for %.0f s", kHang);
  const std::string body(kBody, 'x');
  std::vector<std::thread> savers;
  const double start = now();
  for (int i = 0; i < kSaves; ++i) {
    sleep_for(start + i * kEvery - now());
    savers.emplace_back([&, i] {
      Request save;
      save.method = "PUT";
      save.name = "annotation-save";
      char key[32];
      std::snprintf(key, sizeof key, "%016x", i);
      save.key = key;
      save.idempotency_key = save.id;
      save.remaining = kPatience;
      save.body = body;
      const Socket socket = connect_to(router.port());
      const double begun = now();
      if (!socket.is_open() || !socket.write(save.text())) {
        // The router has not taken it: its last byte was not written.
        ++not_taken;
        record.line("client: save %s was not written whole", save.id.c_str());
        return;
      }
      const double written = now();
      Reader reader(socket);
      Message answer;
      const Reader::End end = reader.read_head(answer, written + 12);
      const double after = now() - written;
      const bool is_lost = end != Reader::End::whole || after > kPatience + kLate + kSlack;
      ++(is_lost ? lost : in_time);
      record.line("client: save %s, %zu bytes written in %.3f s -> %s %s, %.2f s after its last byte%s",
                  save.id.c_str(), kBody, written - begun, answer.word(1).c_str(), name_of(end), after,
                  is_lost ? ": LOST" : "");
    });
  }
  sleep_for(start + kHang - now());
  hangs = false;
  for (std::thread& saver : savers) saver.join();
  record.line("%d saves: %d answered in time, %d lost, %d not taken", kSaves, in_time.load(), lost.load(),
              not_taken.load());
  if (router.ended() || in_time < kSaves / 2) return kCouldNotRun;
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return main_of(argc, argv, play); }
