// Case: clients that send a chunk's length without end, and the memory of the router.
#include "site.h"

using namespace review;

namespace {

constexpr int kCaches = 10, kClients = 8, kBadClients = 6;
constexpr std::size_t kBadBytes = 60'000'000;  // of each bad client: "bodies of 60 MB"
constexpr double kCalm = 3, kTrouble = 7;      // seconds

struct Counts {
  std::atomic<int> sent{0}, served{0}, refused{0}, failed{0}, unanswered{0};
};

// A sound client: one request at a time, as the site's mix.
void ask(int number, int port, double until, Counts& counts, Record& record) {
  std::mt19937 random(static_cast<unsigned>(number + 1));
  int fd = -1;
  std::unique_ptr<Reader> reader;
  while (now() < until) {
    pause_for(std::exponential_distribution<>(1 / 0.15)(random));
    if (fd < 0) {
      fd = connect_to(port);
      if (fd < 0) {
        record.line("client %d: the router's address refuses connections", number);
        continue;
      }
      reader = std::make_unique<Reader>(fd);
    }
    const bool save = random() % 100 < 7;
    const std::string key = key_text(random() % 500);
    const double limit = save ? 3.0 : 4.0;
    Sent sent = save ? save_head(key, limit, "Content-Length: 6") : read_request(key, limit);
    if (save) sent.text += "marker";
    ++counts.sent;
    record.line("client %d: sends %s %s", number, save ? "save" : "read", sent.id.c_str());
    write_all(fd, sent.text);
    Head head;
    std::string body;
    Reader::End end = reader->head(head, now() + limit + 0.5);
    if (end == Reader::End::whole) end = reader->body(head, true, body, now() + limit + 0.5);
    if (end != Reader::End::whole) {
      ++counts.unanswered;
      record.line("client %d: %s %s got no answer: %s", number, save ? "save" : "read", sent.id.c_str(),
                  name_of(end));
      ::close(fd);
      fd = -1;
      continue;
    }
    record.line("client %d: %s %s answered: %s", number, save ? "save" : "read", sent.id.c_str(),
                head.first_line.c_str());
    const bool refused = head.first_line.find(" 503") != std::string::npos;
    ++(head.first_line.find(" 200") != std::string::npos ? counts.served
       : refused                                         ? counts.refused
                                                         : counts.failed);
    if (head.field("connection") == "close") {
      ::close(fd);
      fd = -1;
    }
  }
  if (fd >= 0) ::close(fd);
}

// A bad client: a save whose first chunk has a length of 60 million digits, at full speed. It reads the
// answer.
void send_huge_length(int number, int port, Record& record) {
  const int fd = connect_to(port);
  if (fd < 0) return;
  const Sent sent = save_head(key_text(1), 3, "Transfer-Encoding: chunked");
  write_all(fd, sent.text);
  const std::string digits(1'000'000, 'f');
  std::size_t written = 0;
  const double until = now() + 6;
  while (written < kBadBytes) {
    const std::size_t count = write_all(fd, digits.data(), digits.size(), until);
    written += count;
    if (count < digits.size()) break;
  }
  record.line("bad client %d: sent %zu bytes of a chunk's length", number, written);
  Reader reader(fd);
  Head head;
  const Reader::End end = reader.head(head, until);
  record.line("bad client %d: answered: %s %s", number, name_of(end), head.first_line.c_str());
  ::close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  Record record(argv[1]);
  now();
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Listed> members;
  for (int i = 0; i <= kCaches; ++i) {
    const bool origin = i == kCaches;
    const std::string name = origin ? "master-scan-store" : "cache-" + std::to_string(i);
    servers.push_back(
        std::make_unique<Server>([name, &record](int fd) { serve_soundly(fd, name, record, 0.1); }));
    members.push_back(
        {"s-" + name, servers.back()->address(), zone_of(i), origin ? "origin" : "dual-slow", i});
  }
  Server discovery([&](int fd) { serve_discovery(fd, list_text(members)); });
  const Deployment deployment;
  Router router(deployment, members, work_folder(), discovery.address());
  if (!router.wait_ready(15)) {
    record.line("the router is not ready");
    router.kill_now();
    finish(2);
  }
  record.line("the router is ready; %d MB are allowed, it holds %.1f MB", deployment.memory_mb,
              router.resident_mb());

  Counts counts;
  const double end = now() + kCalm + kTrouble;
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i)
    threads.emplace_back([&, i] { ask(i, router.port(), end, counts, record); });
  if (with_trouble())
    threads.emplace_back([&] {
      pause_for(kCalm);
      std::vector<std::thread> bad;
      for (int i = 0; i < kBadClients; ++i)
        bad.emplace_back([&, i] { send_huge_length(i, router.port(), record); });
      for (std::thread& one : bad) one.join();
    });

  // The platform: "Over memory_mb the router is killed."
  bool over_limit = false, crashed = false;
  double peak = 0, told = 0;
  while (now() < end) {
    if (!router.running()) {
      if (!over_limit && !crashed) {
        crashed = true;
        record.line("the router ended by itself: %s", router.end().c_str());
      }
    } else {
      const double resident = router.resident_mb();
      peak = std::max(peak, resident);
      if (now() > told) {
        told = now() + 0.5;
        record.line("platform: the router holds %.1f MB", resident);
      }
      if (resident > deployment.memory_mb) {
        record.line("platform: the router holds %.1f MB of %d MB and is killed", resident,
                    deployment.memory_mb);
        over_limit = true;
        router.kill_now();
      }
    }
    pause_for(0.005);
  }
  for (std::thread& one : threads) one.join();
  router.kill_now();
  record.line("peak memory %.1f MB of %d MB", peak, deployment.memory_mb);
  record.line("sound clients: %d sent, %d served, %d refused, %d failed, %d with no answer",
              counts.sent.load(), counts.served.load(), counts.refused.load(), counts.failed.load(),
              counts.unanswered.load());
  if (!over_limit && !crashed && counts.served == 0) {
    record.line("no request was served, so nothing was shown");
    finish(2);
  }
  const bool broken = over_limit || crashed;
  record.line("%s", broken ? "BROKEN: the router went over its memory limit or ended" : "held");
  finish(broken ? 1 : 0);
}
