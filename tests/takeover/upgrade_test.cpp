// A router process takes over from another while clients send requests: both accept from the same listening
// socket and share the operators' overrides.
#include <fcntl.h>
#include <signal.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "support/loopback.h"

namespace streampick::test {
namespace {

using Environment = std::vector<std::pair<std::string, std::string>>;

class Takeover : public Loopback {
 protected:
  Takeover()
      : folder_(std::filesystem::path(::testing::TempDir()) /
                ("streampick_upgrade_" + std::to_string(::getpid()))),
        listener_(io, any_port()) {
    std::filesystem::create_directories(folder_);
    const auto two = list_json(7, true,
                               {{"s-cache", cache.address()},
                                {"s-second", second.address()},
                                {"s-origin", origin.address(), "origin"}});
    list_ = two.dump() + "\n";
    auto config = config_json(text_of(discovery.local_endpoint()), list_json(1, true, {}));
    config["listen"] = text_of(listener_.local_endpoint());
    std::ofstream(folder_ / "config.json") << config.dump();
    cache.answer = second.answer = [](const std::string&) { return response(200, "x"); };
    answer_watches();
  }
  ~Takeover() override {
    for (const pid_t child : children_) {
      ::kill(child, SIGKILL);
      ::waitpid(child, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
  }
  // Sends the whole list to every new watch if `answers_watches_` is set.
  void answer_watches() {
    discovery.async_accept([this](net::error_code error, net::tcp::socket socket) {
      if (error) return;
      watches_.push_back(std::make_shared<Peer>(std::move(socket)));
      watches_.back()->read([this](Peer& peer) {
        if (answers_watches_ && !peer.got.empty()) send_list(peer);
      });
      answer_watches();
    });
  }
  void send_list(Peer& peer) {
    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    send_list_chunk(peer);
    peer.muted = true;
  }
  // Sends the current list on a watch that has begun.
  void send_list_chunk(Peer& peer) {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", list_.size());
    peer.write(size.data() + list_ + "\r\n");
  }
  // Starts the program with the listening socket as descriptor 4. Returns the id of the process.
  pid_t run(const net::tcp::endpoint& management, const Environment& more = {}) {
    const pid_t child = ::fork();
    if (child == 0) {
      ::dup2(listener_.native_handle(), 4);  // a duplicate, which exec does not close
      ::setenv("NODE_CONFIG", (folder_ / "config.json").c_str(), 1);
      ::setenv("NODE_PASSED_SOCKET", "4", 1);
      ::setenv("NODE_MANAGEMENT", text_of(management).c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      for (const auto& [name, value] : more) ::setenv(name.c_str(), value.c_str(), 1);
      ::execl(STREAMPICK_ROUTER, STREAMPICK_ROUTER, nullptr);
      ::_exit(127);
    }
    children_.push_back(child);
    return child;
  }
  int exit_code(pid_t child) {
    int status = 0;
    if (!wait_for([&] { return ::waitpid(child, &status, WNOHANG) == child; })) return -1;
    std::erase(children_, child);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
  }
  static net::tcp::endpoint free_port(asio::io_context& io) {
    return net::tcp::acceptor(io, any_port()).local_endpoint();
  }
  // Sends a command and returns the answer; empty: nothing listens there.
  std::string call(const net::tcp::endpoint& at, const std::string& line) {
    net::tcp::socket socket(io);
    net::error_code error;
    socket.connect(at, error);
    if (error) return {};
    const auto peer = std::make_shared<Peer>(std::move(socket));
    peer->read([](Peer&) {});
    peer->write(line + "\n");
    EXPECT_TRUE(wait_for([&] { return peer->ended; }));
    return peer->got;
  }
  [[nodiscard]] bool becomes_ready(const net::tcp::endpoint& at) {
    return wait_for([&] { return call(at, "HEALTH").rfind("ACK", 0) == 0; });
  }
  // Reads a key on a new connection. Returns the status; 0: no response.
  int status_of_read(int key) {
    FakeClient one(io, listener_.local_endpoint());
    one.ask(request_text("GET", "/read/" + std::to_string(key), "read"));
    EXPECT_TRUE(wait_for([&] { return !one.answers.empty() || one.peer->ended; }));
    return one.answers.empty() ? 0 : one.status();
  }

  FakeServer second{io};
  std::filesystem::path folder_;
  net::tcp::acceptor listener_;
  std::string list_;
  std::vector<std::shared_ptr<Peer>> watches_;
  std::vector<pid_t> children_;
  bool answers_watches_ = true;
};

TEST_F(Takeover, Takeover_LosesNoRequestAndKeepsTheOverrides) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old_process = run(first);
  ASSERT_TRUE(becomes_ready(first));
  EXPECT_EQ(call(first, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  FakeClient kept(io, listener_.local_endpoint());
  kept.ask(request_text("GET", "/read/1", "read"));
  ASSERT_TRUE(wait_for([&] { return kept.answers.size() == 1; }));
  const pid_t new_process = run(next);
  ASSERT_TRUE(becomes_ready(next));
  for (int key = 0; key < 20; ++key) ASSERT_EQ(status_of_read(key), 200);
  ASSERT_EQ(::kill(old_process, SIGTERM), 0);
  // The old process serves requests on its open connections until it closes them; it accepts no new ones.
  do {
    const std::size_t before = kept.answers.size();
    kept.ask(request_text("GET", "/read/2", "read"));
    ASSERT_TRUE(wait_for([&] { return kept.answers.size() > before; }));
    EXPECT_EQ(kept.status(before), 200);
  } while (kept.answers.back().find("Connection: close") == std::string::npos);
  for (int key = 0; key < 40; ++key) ASSERT_EQ(status_of_read(key), 200);
  EXPECT_EQ(exit_code(old_process), 0);
  EXPECT_TRUE(cache.requests.empty());
  EXPECT_EQ(call(next, "ONLINE s-cache").rfind("ACK", 0), 0U);
  for (int key = 0; key < 40; ++key) ASSERT_EQ(status_of_read(key), 200);
  EXPECT_FALSE(cache.requests.empty());
  ASSERT_EQ(::kill(new_process, SIGTERM), 0);
  EXPECT_EQ(exit_code(new_process), 0);
}

TEST_F(Takeover, CommandToOneProcess_HoldsInBoth) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  run(first);
  ASSERT_TRUE(becomes_ready(first));
  run(next);
  ASSERT_TRUE(becomes_ready(next));
  EXPECT_EQ(call(next, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  EXPECT_EQ(call(next, "LEAVE").rfind("ACK", 0), 0U);
  const auto down = [&](const net::tcp::endpoint& at) {
    return call(at, "DUMP").find("\"hosts_down\":1") != std::string::npos;
  };
  EXPECT_TRUE(wait_for([&] { return down(first) && down(next); }));
  // Both processes report that they drain, whichever accepts the connection.
  const auto health_status = [&] {
    FakeClient one(io, listener_.local_endpoint());
    one.ask("GET /up HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(wait_for([&] { return !one.answers.empty(); }));
    return one.answers.empty() ? 0 : one.status();
  };
  for (int i = 0; i < 20; ++i) EXPECT_EQ(health_status(), 503);
  EXPECT_EQ(call(first, "JOIN").rfind("ACK", 0), 0U);
  EXPECT_EQ(call(first, "ONLINE s-cache").rfind("ACK", 0), 0U);
  EXPECT_TRUE(wait_for([&] {
    return !down(first) && !down(next) && health_status() == 200 && health_status() == 200 &&
           health_status() == 200;
  }));
}

TEST_F(Takeover, NextProcessWithoutAList_NeitherAcceptsNorReportsReady) {
  answers_watches_ = false;
  const net::tcp::endpoint at = free_port(io);
  run(at);
  ASSERT_TRUE(wait_for([&] { return watches_.size() == 1 && !watches_[0]->got.empty(); }));
  EXPECT_EQ(call(at, "HEALTH").rfind("NAK", 0), 0U);
  FakeClient waits(io, listener_.local_endpoint());
  waits.ask("GET /up HTTP/1.1\r\n\r\n");
  quiet(300);
  EXPECT_TRUE(waits.answers.empty() && !waits.peer->ended);
  send_list(*watches_[0]);
  ASSERT_TRUE(wait_for([&] { return waits.answers.size() == 1; }));
  EXPECT_EQ(waits.status(), 200);
  EXPECT_TRUE(becomes_ready(at));
}

TEST_F(Takeover, KilledProcessOrFailedStart_LeavesTheOtherServing) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io), third = free_port(io);
  const pid_t old_process = run(first);
  ASSERT_TRUE(becomes_ready(first));
  EXPECT_EQ(call(first, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  EXPECT_EQ(exit_code(run(next, {{"NODE_PASSED_SOCKET", "0"}})), 2);
  EXPECT_EQ(exit_code(run(next, {{"NODE_PASSED_SOCKET", "999"}})), 2);
  EXPECT_EQ(exit_code(run(next, {{"NODE_MANAGEMENT", "nowhere"}})), 2);
  EXPECT_EQ(exit_code(run(first)), 1);  // its second address is taken
  EXPECT_EQ(status_of_read(1), 200);
  run(next);
  ASSERT_TRUE(becomes_ready(next));
  ASSERT_EQ(::kill(old_process, SIGKILL), 0);
  EXPECT_EQ(exit_code(old_process), 1000 + SIGKILL);
  for (int key = 0; key < 20; ++key) ASSERT_EQ(status_of_read(key), 200);
  EXPECT_TRUE(cache.requests.empty());
  // A second takeover.
  run(third);
  ASSERT_TRUE(becomes_ready(third));
  EXPECT_NE(call(third, "DUMP").find("\"hosts_down\":1"), std::string::npos);
}

TEST_F(Takeover, Drain_OutlivesTheProcessThatReceivedIt) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old_process = run(first);
  ASSERT_TRUE(becomes_ready(first));
  EXPECT_EQ(call(first, "LEAVE").rfind("ACK", 0), 0U);
  run(next);
  ASSERT_TRUE(becomes_ready(next));
  ASSERT_EQ(::kill(old_process, SIGTERM), 0);
  // A command during the shutdown is answered too, and its change holds in the next process.
  EXPECT_EQ(call(first, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  EXPECT_EQ(exit_code(old_process), 0);
  const auto health_status = [&] {
    FakeClient one(io, listener_.local_endpoint());
    one.ask("GET /up HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(wait_for([&] { return !one.answers.empty(); }));
    return one.answers.empty() ? 0 : one.status();
  };
  EXPECT_EQ(health_status(), 503);
  EXPECT_EQ(status_of_read(1), 200);  // requests during a drain are served
  EXPECT_TRUE(wait_for([&] { return call(next, "DUMP").find("\"hosts_down\":1") != std::string::npos; }));
  EXPECT_EQ(call(next, "JOIN").rfind("ACK", 0), 0U);
  EXPECT_EQ(health_status(), 200);
}

// The old process has read half of a request's head when it receives the stop signal.
TEST_F(Takeover, RequestHeadHalfReadAtTheStop_IsServed) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old_process = run(first);
  ASSERT_TRUE(becomes_ready(first));
  FakeClient half(io, listener_.local_endpoint());
  const std::string text = request_text("GET", "/read/1", "read");
  half.ask(text.substr(0, 20));
  quiet(50);
  run(next);
  ASSERT_TRUE(becomes_ready(next));
  ASSERT_EQ(::kill(old_process, SIGTERM), 0);
  quiet(700);  // longer than it keeps idle connections open
  half.ask(text.substr(20));
  ASSERT_TRUE(wait_for([&] { return half.answers.size() == 1 || half.peer->ended; }));
  ASSERT_EQ(half.answers.size(), 1U);
  EXPECT_EQ(half.status(), 200);
  EXPECT_EQ(exit_code(old_process), 0);
}

TEST_F(Takeover, PassedSocketOnAnotherAddress_IsRejected) {
  net::tcp::acceptor other(io, any_port());
  const int kept = ::dup(listener_.native_handle());
  ::dup2(other.native_handle(), listener_.native_handle());
  EXPECT_EQ(exit_code(run(free_port(io))), 2);
  ::dup2(kept, listener_.native_handle());
  ::close(kept);
}

// ---- Overrides that a process finds in the shared folder before discovery has answered it

enum class Discovery { push, ask };
enum class Command { offline, offline_and_online };
struct UpgradeCase {
  std::string name;
  Discovery discovery;
  Command command;
  int upgrades;
  friend void PrintTo(const UpgradeCase& value, std::ostream* out) { *out << value.name; }
};

class OverridesOverUpgrades : public Takeover, public ::testing::WithParamInterface<UpgradeCase> {
 protected:
  static constexpr std::chrono::seconds kMaxNotification{6};  // of a change, from when discovery has it
  static constexpr int kGraceMs = 2'000;                      // StopSendingWithinUs

  OverridesOverUpgrades() {
    third.answer = [](const std::string&) { return response(200, "x"); };
    const auto servers = [&](std::uint64_t revision) {
      return list_json(revision, true,
                       {{"s-cache", cache.address()},
                        {"s-second", second.address()},
                        {"s-third", third.address()},
                        {"s-origin", origin.address(), "origin"}});
    };
    list_ = servers(7).dump() + "\n";
    const auto known = servers(1);
    auto config = config_json(text_of(discovery.local_endpoint()), known);
    config["listen"] = text_of(listener_.local_endpoint());
    config["settings"]["RegistryMode"] = GetParam().discovery == Discovery::ask ? "ask" : "push";
    std::ofstream(folder_ / "config.json") << config.dump();
  }
  void give_command(const net::tcp::endpoint& at) {
    EXPECT_EQ(call(at, "OFFLINE s-cache").rfind("ACK", 0), 0U);
    if (GetParam().command == Command::offline_and_online) {
      EXPECT_EQ(call(at, "ONLINE s-cache").rfind("ACK", 0), 0U);
    }
  }
  // Starts the next process and ends the one before. Returns whether the next one asked discovery in time.
  bool upgrade(pid_t& process, net::tcp::endpoint& at) {
    const std::size_t watches_before = watches_.size();
    const auto started = std::chrono::steady_clock::now();
    const net::tcp::endpoint next_at = free_port(io);
    const pid_t next = run(next_at);
    EXPECT_TRUE(becomes_ready(next_at));
    const auto asked = [&] { return watches_.size() > watches_before && watches_.back()->muted; };
    while (!asked() && std::chrono::steady_clock::now() - started < kMaxNotification) quiet(20);
    EXPECT_EQ(::kill(process, SIGTERM), 0);
    EXPECT_EQ(exit_code(process), 0);
    process = next;
    at = next_at;
    return asked();
  }

  FakeServer third{io};
};

// Guards against a process that takes a stored override for discovery's answer: it never asks, and sends
// requests to a server that drains.
TEST_P(OverridesOverUpgrades, EachProcessAsksDiscoveryAndLearnsOfADrain) {
  net::tcp::endpoint at = free_port(io);
  pid_t process = run(at);
  ASSERT_TRUE(becomes_ready(at));
  give_command(at);
  for (int i = 0; i < GetParam().upgrades; ++i) ASSERT_TRUE(upgrade(process, at)) << "upgrade " << i + 1;
  const bool is_disabled = GetParam().command == Command::offline;
  EXPECT_EQ(call(at, "DUMP").find("\"hosts_down\":1") != std::string::npos, is_disabled);

  list_ = list_json(8, false, {{"s-second", second.address(), "box", "terminating"}}).dump() + "\n";
  send_list_chunk(*watches_.back());
  quiet(kGraceMs);
  const std::size_t second_before = second.requests.size(), cache_before = cache.requests.size();
  for (int key = 0; key < 40; ++key) ASSERT_EQ(status_of_read(key), 200);
  EXPECT_EQ(second.requests.size(), second_before);
  EXPECT_EQ(cache.requests.size() > cache_before, !is_disabled);
}

INSTANTIATE_TEST_SUITE_P(
    AskAndPush, OverridesOverUpgrades,
    ::testing::Values(UpgradeCase{"AskBanOneUpgrade", Discovery::ask, Command::offline, 1},
                      UpgradeCase{"AskBanTwoUpgrades", Discovery::ask, Command::offline, 2},
                      UpgradeCase{"AskLiftedOneUpgrade", Discovery::ask, Command::offline_and_online, 1},
                      UpgradeCase{"AskLiftedTwoUpgrades", Discovery::ask, Command::offline_and_online, 2},
                      UpgradeCase{"PushBanTwoUpgrades", Discovery::push, Command::offline, 2},
                      UpgradeCase{"PushLiftedTwoUpgrades", Discovery::push, Command::offline_and_online, 2}),
    [](const auto& info) { return info.param.name; });

// ---- Takeovers that overlap a shutdown, a drain or another takeover

class OverlappingTakeovers : public Takeover {
 protected:
  // Sends a request that waits in the listen queue or is served.
  FakeClient& send_request(int key) {
    waiting_.push_back(std::make_unique<FakeClient>(io, listener_.local_endpoint()));
    waiting_.back()->ask(request_text("GET", "/read/" + std::to_string(key), "read"));
    return *waiting_.back();
  }
  void expect_all_served() {
    for (const auto& one : waiting_) {
      ASSERT_TRUE(wait_for([&] { return !one->answers.empty() || one->peer->ended; }));
      ASSERT_EQ(one->answers.size(), 1U);
      EXPECT_EQ(one->status(), 200);
    }
  }
  // Waits for the given number of watches; the last one has got no list.
  void wait_for_watches(std::size_t watches) {
    ASSERT_TRUE(wait_for([&] { return watches_.size() >= watches && !watches_.back()->got.empty(); }));
  }
  void send_list_to_all() {
    answers_watches_ = true;
    for (const auto& watch : watches_)
      if (!watch->muted && !watch->ended) send_list(*watch);
  }
  std::vector<std::unique_ptr<FakeClient>> waiting_;
};

// The old process receives the stop signal before the next one starts; new requests meanwhile wait in the
// listen queue.
TEST_F(OverlappingTakeovers, StartDuringTheShutdownOfTheOld_EveryRequestIsServed) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old_process = run(first);
  ASSERT_TRUE(becomes_ready(first));
  EXPECT_EQ(call(first, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  ASSERT_EQ(::kill(old_process, SIGTERM), 0);
  quiet(50);
  const pid_t new_process = run(next);
  for (int key = 0; key < 20; ++key) {
    send_request(key);
    quiet(50);  // spans the time at which the old process stops accepting
  }
  ASSERT_TRUE(becomes_ready(next));
  expect_all_served();
  EXPECT_EQ(exit_code(old_process), 0);
  EXPECT_TRUE(cache.requests.empty());  // the overrides are still in effect
  ASSERT_EQ(::kill(new_process, SIGTERM), 0);
  EXPECT_EQ(exit_code(new_process), 0);
}

// The next process runs and has no list yet when the old one receives the stop signal.
TEST_F(OverlappingTakeovers, OldStopsBeforeTheNextIsReady_RequestsWaitForTheNext) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old_process = run(first);
  ASSERT_TRUE(becomes_ready(first));
  answers_watches_ = false;
  run(next);
  wait_for_watches(2);
  ASSERT_EQ(::kill(old_process, SIGTERM), 0);
  for (int key = 0; key < 16; ++key) {
    send_request(key);
    quiet(50);
  }
  EXPECT_EQ(exit_code(old_process), 0);
  FakeClient& last = send_request(16);  // no process accepts now
  quiet(100);
  EXPECT_TRUE(last.answers.empty() && !last.peer->ended);
  send_list_to_all();
  expect_all_served();
  EXPECT_TRUE(becomes_ready(next));
}

// Two takeovers at once: the old process and the first new one receive the stop signal before either new one
// has its list.
TEST_F(OverlappingTakeovers, TwoTakeoversAtOnce_LastProcessServesAll) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io), last = free_port(io);
  const pid_t old_process = run(first);
  ASSERT_TRUE(becomes_ready(first));
  EXPECT_EQ(call(first, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  answers_watches_ = false;
  const pid_t middle_process = run(next);
  wait_for_watches(2);
  run(last);
  wait_for_watches(3);
  ASSERT_EQ(::kill(old_process, SIGTERM), 0);
  ASSERT_EQ(::kill(middle_process, SIGTERM), 0);
  for (int key = 0; key < 16; ++key) {
    send_request(key);
    quiet(50);
  }
  EXPECT_EQ(exit_code(old_process), 0);
  EXPECT_EQ(exit_code(middle_process), 0);
  send_list_to_all();
  expect_all_served();
  EXPECT_TRUE(becomes_ready(last));
  EXPECT_TRUE(cache.requests.empty());
}

// A cache server drains while one process takes over from the other.
TEST_F(OverlappingTakeovers, ServerDrainsDuringTheTakeover_GetsNothingFromEither) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old_process = run(first);
  ASSERT_TRUE(becomes_ready(first));
  FakeServer third(io, [](const std::string&) { return response(200, "x"); });
  const auto drains = list_json(8, true,
                                {{"s-cache", cache.address(), "box", "terminating"},
                                 {"s-second", second.address()},
                                 {"s-third", third.address()},
                                 {"s-origin", origin.address(), "origin"}});
  list_ = drains.dump() + "\n";
  send_list_chunk(*watches_.back());
  ASSERT_TRUE(wait_for([&] { return call(first, "DUMP").find("\"hosts_listed\":3") != std::string::npos; }));
  run(next);
  ASSERT_EQ(::kill(old_process, SIGTERM), 0);
  for (int key = 0; key < 20; ++key) {
    send_request(key);
    quiet(40);
  }
  expect_all_served();
  EXPECT_EQ(exit_code(old_process), 0);
  EXPECT_TRUE(cache.requests.empty());
}

// A folder has the name of the lock file, so that the lock cannot be opened.
TEST_F(Takeover, OverrideThatCannotBeStored_HoldsAtOnceAndIsStoredLater) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old_process = run(first);
  ASSERT_TRUE(becomes_ready(first));
  std::filesystem::create_directory(folder_ / "streampick.lock");
  const std::string answer = call(first, "OFFLINE s-cache");
  EXPECT_EQ(answer, "ACK s-cache is left out; not stored yet, tried again: " +
                        (folder_ / "streampick.lock").string() + ": open lock file: Is a directory\n");
  for (int key = 0; key < 20; ++key) ASSERT_EQ(status_of_read(key), 200);
  EXPECT_TRUE(cache.requests.empty());
  EXPECT_FALSE(std::filesystem::exists(folder_ / "streampick.overrides"));
  std::filesystem::remove(folder_ / "streampick.lock");
  ASSERT_TRUE(wait_for([&] { return std::filesystem::exists(folder_ / "streampick.overrides"); }));
  ASSERT_EQ(::kill(old_process, SIGKILL), 0);
  EXPECT_EQ(exit_code(old_process), 1000 + SIGKILL);
  run(next);
  ASSERT_TRUE(becomes_ready(next));
  EXPECT_NE(call(next, "DUMP").find("\"hosts_down\":1"), std::string::npos);
}

// Another process holds the lock and does not release it: clients and other commands are served while one
// command waits, and that command is answered in time.
TEST_F(Takeover, LockHeldByAnother_AllIsAnsweredInTime) {
  const net::tcp::endpoint at = free_port(io);
  run(at);
  ASSERT_TRUE(becomes_ready(at));
  const int lock = ::open((folder_ / "streampick.lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  ASSERT_EQ(::flock(lock, LOCK_EX), 0);  // held until the end of the test
  net::tcp::socket socket(io);
  socket.connect(at);
  const auto waits = std::make_shared<Peer>(std::move(socket));
  waits->read([](Peer&) {});
  waits->write("OFFLINE s-ca");
  quiet(2'800);  // shorter than the 3 s within which the line must arrive
  const auto start = std::chrono::steady_clock::now();
  waits->write("che\n");
  ASSERT_TRUE(wait_for([&] { return call(at, "DUMP").find("\"hosts_down\":1") != std::string::npos; }));
  EXPECT_EQ(status_of_read(1), 200);
  EXPECT_TRUE(cache.requests.empty());
  EXPECT_TRUE(waits->got.empty());
  ASSERT_TRUE(wait_for([&] { return waits->ended; }));
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(1));
  EXPECT_EQ(waits->got.rfind("ACK s-cache is left out; not stored yet", 0), 0U) << waits->got;
  EXPECT_FALSE(std::filesystem::exists(folder_ / "streampick.overrides"));
  ::close(lock);
  EXPECT_TRUE(wait_for([&] { return std::filesystem::exists(folder_ / "streampick.overrides"); }));
}

}  // namespace
}  // namespace streampick::test
