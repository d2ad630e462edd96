// Discovery is asked. A cache server is banned by the operators (OFFLINE), then the router is upgraded. The
// new process must ask discovery, and send nothing to a cache server that drains afterwards.
#include "stage.h"

using namespace stage;

namespace {

constexpr double kAsked = 6.0;   // a change counts as told at the latest this long after discovery has it
constexpr double kGrace = 2.0;   // Guarantees.StopSendingWithinUs
constexpr double kSlack = 0.05;  // each time limit is 50 ms longer on sockets
constexpr double kWatched = 6.0;

int play(Case& setup) {
  Record& record = *setup.record;
  std::atomic<double> drains_at{1e9};
  std::atomic<int> late{0};
  std::atomic<int> in_time{0};
  std::atomic<int> answered{0};

  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Member> members;
  for (const char* id : {"s-1", "s-2", "s-3", "s-origin"}) {
    servers.push_back(std::make_unique<Server>(answer_each([&, id](const Message& request) {
      const double since = now() - drains_at;
      if (std::string(id) == "s-2" && since > 0) {
        const bool is_late = since > kAsked + kGrace + kSlack;
        ++(is_late ? late : in_time);
        record.line("s-2: runs %s, %.2f s after it was listed as terminating%s",
                    request.header("x-txn").c_str(), since, is_late ? ": NEW WORK AFTER THE GRACE" : "");
      }
      return ok("value");
    })));
    members.push_back({id, servers.back()->address(), std::string(id) == "s-origin"});
  }
  Discovery discovery(record, members);

  // On days with upgrades the platform holds the clients' listening socket, and $TMPDIR is common.
  const Listening door = listen_on_free_port();
  const std::string shared = setup.temporary + "/shared";
  ::mkdir(shared.c_str(), 0700);
  RouterSettings settings;
  settings.registry_mode = "ask";
  Router old_process(setup, "old", discovery, settings, door.port, door.socket.number(), shared);
  if (!old_process.wait_until_ready(30)) return kCouldNotRun;

  if (setup.trouble) {
    const std::string answer = command(old_process.management(), "OFFLINE s-1");
    record.line("operators: OFFLINE s-1 -> %s", answer.c_str());
    if (answer.rfind("ACK", 0) != 0) return kCouldNotRun;
  }
  sleep_for(1);

  const int calls_before = discovery.calls();
  Router new_process(setup, "new", discovery, settings, door.port, door.socket.number(), shared);
  const double started = now();
  if (!new_process.wait_until_ready(6)) return kCouldNotRun;
  record.line("platform: new said yes %.2f s after its start", now() - started);
  old_process.stop(3.7);

  // Clients read, one request at a time, each with another key.
  std::atomic<bool> stopping{false};
  std::thread client([&] {
    std::mt19937_64 keys{7};
    while (!stopping) {
      Request request;
      char key[32];
      std::snprintf(key, sizeof key, "%016llx", static_cast<unsigned long long>(keys()));
      request.key = key;
      const Answer answer = ask(door.port, request, 4);
      record.line("client: %s -> %d", request.id.c_str(), answer.status);
      answered += answer.is_served() ? 1 : 0;
      sleep_for(0.02);
    }
  });
  sleep_for(2);
  discovery.change("s-2", "terminating");
  drains_at = now();
  sleep_for(kAsked + kGrace + kSlack + kWatched);
  stopping = true;
  client.join();
  record.line("discovery: %d calls from the new process", discovery.calls() - calls_before);
  record.line("s-2: %d requests up to 8.05 s after its drain was listed, %d later", in_time.load(),
              late.load());
  if (new_process.ended() || answered < 100) return kCouldNotRun;
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return main_of(argc, argv, play); }
