// Some good answers of the cache servers are followed by a second copy, some milliseconds late, sent when
// nothing else waits on the connection. The network between router and cache servers takes 0.7 ms one way. A
// client must never get the copy as the answer to another request.
#include "stage.h"

using namespace stage;

namespace {

constexpr double kOneWay = 0.0007;
constexpr double kService = 0.015;
constexpr int kReads = 1'500;
constexpr int kCopyOneIn = 5;
constexpr double kEarliestCopy = 0.002;
constexpr double kLatestCopy = 0.009;

/// Waits until `time` on this file's clock, more exactly than a sleep.
void wait_until(double time) {
  sleep_for(time - now() - 0.0003);
  while (now() < time) std::this_thread::yield();
}

/// A connection through the network: bytes of each side arrive kOneWay later.
void carry(const Socket& from, const Socket& to) {
  char bytes[16384];
  for (;;) {
    const ssize_t some = from.read(bytes, sizeof bytes, now() + 3600);
    if (some <= 0) break;
    wait_until(now() + kOneWay);
    if (!to.write(std::string(bytes, static_cast<std::size_t>(some)))) break;
  }
  ::shutdown(from.number(), SHUT_RDWR);
  ::shutdown(to.number(), SHUT_RDWR);
}

Server::Serve through_network(const Server& server) {
  const auto port = static_cast<std::uint16_t>(std::atoi(server.address().substr(10).c_str()));
  return [port](Socket& router_side) {
    const Socket server_side = connect_to(port);
    std::thread back([&] { carry(server_side, router_side); });
    carry(router_side, server_side);
    back.join();
  };
}

std::string value_of(const std::string& key) { return "the value of /tile-read/" + key; }

int play(Case& setup) {
  Record& record = *setup.record;
  std::atomic<int> answers{0};
  std::atomic<int> copies{0};
  const auto serve = [&](Socket& socket) {
    Reader reader(socket);
    std::mt19937 random{std::random_device{}()};
    for (;;) {
      Message request;
      if (reader.read_head(request, now() + 3600) != Reader::End::whole) return;
      if (reader.read_body(request, now() + 3600) != Reader::End::whole) return;
      wait_until(now() + kService);
      const std::string target = request.word(1);
      const std::string answer = ok(value_of(target.substr(target.rfind('/') + 1)));
      if (!socket.write(answer)) return;
      record.line("s-1: answers %s", request.header("x-txn").c_str());
      if (!setup.trouble || ++answers % kCopyOneIn != 0) continue;
      const double late = std::uniform_real_distribution<double>(kEarliestCopy, kLatestCopy)(random);
      const double at = now() + late;
      // Nothing else may wait on the connection: no byte of another request has come.
      bool alone = true;
      while (alone && now() < at) {
        pollfd entry{socket.number(), POLLIN, 0};
        alone = ::poll(&entry, 1, 0) == 0;
        std::this_thread::yield();
      }
      if (!alone) continue;
      if (!socket.write(answer)) return;
      ++copies;
      record.line("s-1: sends a second copy of %s, %.1f ms late", request.header("x-txn").c_str(),
                  late * 1000);
    }
  };
  Server cache(serve);
  Server network(through_network(cache));
  Server origin(answer_each([](const Message& request) {
    const std::string target = request.word(1);
    return ok(value_of(target.substr(target.rfind('/') + 1)));
  }));
  Discovery discovery(record, {{"s-1", network.address()}, {"s-origin", origin.address(), true}});
  Router router(setup, "n1", discovery, {}, free_port());
  if (!router.wait_until_ready(30)) return kCouldNotRun;

  // One client that keeps its connection and sends one request at a time.
  int served = 0;
  int foreign = 0;
  std::mt19937_64 keys{3};
  Socket socket = connect_to(router.port());
  auto reader = std::make_unique<Reader>(socket);
  for (int i = 0; i < kReads; ++i) {
    Request request;
    char key[32];
    std::snprintf(key, sizeof key, "%016llx", static_cast<unsigned long long>(keys()));
    request.key = key;
    if (!socket.write(request.text())) return kCouldNotRun;
    Message answer;
    Reader::End end = reader->read_head(answer, now() + 4);
    if (end == Reader::End::whole) end = reader->read_body(answer, now() + 4);
    const bool is_served = end == Reader::End::whole && answer.word(1) == "200";
    const bool is_foreign = is_served && answer.body != value_of(key);
    record.line("client: %s for %s -> %s, %s%s", request.id.c_str(), key, answer.word(1).c_str(),
                name_of(end), is_foreign ? (": FOREIGN DATA, " + answer.body).c_str() : "");
    served += is_served ? 1 : 0;
    foreign += is_foreign ? 1 : 0;
    if (end != Reader::End::whole || answer.header("connection") == "close") {
      socket = connect_to(router.port());
      reader = std::make_unique<Reader>(socket);
    }
  }
  record.line("%d reads, %d served, %d of them with the answer to another request; %d second copies", kReads,
              served, foreign, copies.load());
  if (router.ended() || served < kReads / 2 || (setup.trouble && copies == 0)) return kCouldNotRun;
  return foreign > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return main_of(argc, argv, play); }
