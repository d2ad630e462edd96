// One process of a router replaced by the next while clients ask: at one door, under one operator's word.
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

class Upgrade : public Loopback {
 protected:
  Upgrade()
      : folder_(std::filesystem::path(::testing::TempDir()) /
                ("streampick_upgrade_" + std::to_string(::getpid()))),
        door_(io, any_port()) {
    std::filesystem::create_directories(folder_);
    const auto two = list_json(7, true,
                               {{"s-cache", cache.address()},
                                {"s-second", second.address()},
                                {"s-origin", origin.address(), "origin"}});
    list_ = two.dump() + "\n";
    auto config = config_json(text_of(discovery.local_endpoint()), list_json(1, true, {}));
    config["listen"] = text_of(door_.local_endpoint());
    std::ofstream(folder_ / "config.json") << config.dump();
    cache.answer = second.answer = [](const std::string&) { return response(200, "x"); };
    answer_watches();
  }
  ~Upgrade() override {
    for (const pid_t child : children_) {
      ::kill(child, SIGKILL);
      ::waitpid(child, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
  }
  // Every watch is told the whole list, once `tells_` says so.
  void answer_watches() {
    discovery.async_accept([this](net::error_code error, net::tcp::socket socket) {
      if (error) return;
      watches_.push_back(std::make_shared<Peer>(std::move(socket)));
      watches_.back()->read([this](Peer& peer) {
        if (tells_ && !peer.got.empty()) tell(peer);
      });
      answer_watches();
    });
  }
  void tell(Peer& peer) {
    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    tell_more(peer);
    peer.muted = true;
  }
  // The list as it is now, on a watch that has begun.
  void tell_more(Peer& peer) {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", list_.size());
    peer.write(size.data() + list_ + "\r\n");
  }
  // The program with the door as descriptor 4. Returns the child.
  pid_t run(const net::tcp::endpoint& management, const Environment& more = {}) {
    const pid_t child = ::fork();
    if (child == 0) {
      ::dup2(door_.native_handle(), 4);  // not closed at exec
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
  // Empty: nobody answers there.
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
  [[nodiscard]] bool says_yes(const net::tcp::endpoint& at) {
    return wait_for([&] { return call(at, "HEALTH").rfind("ACK", 0) == 0; });
  }
  // On a connection of its own.
  int ask(int key) {
    FakeClient one(io, door_.local_endpoint());
    one.ask(request_text("GET", "/read/" + std::to_string(key), "read"));
    EXPECT_TRUE(wait_for([&] { return !one.answers.empty() || one.peer->ended; }));
    return one.answers.empty() ? 0 : one.status();
  }

  FakeServer second{io};
  std::filesystem::path folder_;
  net::tcp::acceptor door_;
  std::string list_;
  std::vector<std::shared_ptr<Peer>> watches_;
  std::vector<pid_t> children_;
  bool tells_ = true;
};

TEST_F(Upgrade, NoRequestEndsAtTheDoorAndABanHoldsInBothAndInTheNext) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old = run(first);
  ASSERT_TRUE(says_yes(first));
  EXPECT_EQ(call(first, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  FakeClient kept(io, door_.local_endpoint());
  kept.ask(request_text("GET", "/read/1", "read"));
  ASSERT_TRUE(wait_for([&] { return kept.answers.size() == 1; }));
  const pid_t fresh = run(next);
  ASSERT_TRUE(says_yes(next));
  for (int key = 0; key < 20; ++key) ASSERT_EQ(ask(key), 200);
  ASSERT_EQ(::kill(old, SIGTERM), 0);
  // Connections that it has may ask once more, as of when it has heard the signal; nobody new waits in its
  // hands.
  do {
    const std::size_t before = kept.answers.size();
    kept.ask(request_text("GET", "/read/2", "read"));
    ASSERT_TRUE(wait_for([&] { return kept.answers.size() > before; }));
    EXPECT_EQ(kept.status(before), 200);
  } while (kept.answers.back().find("Connection: close") == std::string::npos);
  for (int key = 0; key < 40; ++key) ASSERT_EQ(ask(key), 200);
  EXPECT_EQ(exit_code(old), 0);
  EXPECT_TRUE(cache.requests.empty());
  EXPECT_EQ(call(next, "ONLINE s-cache").rfind("ACK", 0), 0U);
  for (int key = 0; key < 40; ++key) ASSERT_EQ(ask(key), 200);
  EXPECT_FALSE(cache.requests.empty());
  ASSERT_EQ(::kill(fresh, SIGTERM), 0);
  EXPECT_EQ(exit_code(fresh), 0);
}

TEST_F(Upgrade, WhatOneIsToldTheOtherHoldsTo) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  run(first);
  ASSERT_TRUE(says_yes(first));
  run(next);
  ASSERT_TRUE(says_yes(next));
  EXPECT_EQ(call(next, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  EXPECT_EQ(call(next, "LEAVE").rfind("ACK", 0), 0U);
  const auto down = [&](const net::tcp::endpoint& at) {
    return call(at, "DUMP").find("\"hosts_down\":1") != std::string::npos;
  };
  EXPECT_TRUE(wait_for([&] { return down(first) && down(next); }));
  // Whichever takes the connection says no.
  const auto up = [&] {
    FakeClient one(io, door_.local_endpoint());
    one.ask("GET /up HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(wait_for([&] { return !one.answers.empty(); }));
    return one.answers.empty() ? 0 : one.status();
  };
  for (int i = 0; i < 20; ++i) EXPECT_EQ(up(), 503);
  EXPECT_EQ(call(first, "JOIN").rfind("ACK", 0), 0U);
  EXPECT_EQ(call(first, "ONLINE s-cache").rfind("ACK", 0), 0U);
  EXPECT_TRUE(
      wait_for([&] { return !down(first) && !down(next) && up() == 200 && up() == 200 && up() == 200; }));
}

TEST_F(Upgrade, TheNextSaysYesAndAcceptsOnlyOnceItsListIsIn) {
  tells_ = false;
  const net::tcp::endpoint at = free_port(io);
  run(at);
  ASSERT_TRUE(wait_for([&] { return watches_.size() == 1 && !watches_[0]->got.empty(); }));
  EXPECT_EQ(call(at, "HEALTH").rfind("NAK", 0), 0U);
  FakeClient waits(io, door_.local_endpoint());
  waits.ask("GET /up HTTP/1.1\r\n\r\n");
  quiet(300);
  EXPECT_TRUE(waits.answers.empty() && !waits.peer->ended);
  tell(*watches_[0]);
  ASSERT_TRUE(wait_for([&] { return waits.answers.size() == 1; }));
  EXPECT_EQ(waits.status(), 200);
  EXPECT_TRUE(says_yes(at));
}

TEST_F(Upgrade, KilledOutrightItsWordHoldsAndOneThatCanNotStartLeavesTheOldServing) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io), third = free_port(io);
  const pid_t old = run(first);
  ASSERT_TRUE(says_yes(first));
  EXPECT_EQ(call(first, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  EXPECT_EQ(exit_code(run(next, {{"NODE_PASSED_SOCKET", "0"}})), 2);
  EXPECT_EQ(exit_code(run(next, {{"NODE_PASSED_SOCKET", "999"}})), 2);
  EXPECT_EQ(exit_code(run(next, {{"NODE_MANAGEMENT", "nowhere"}})), 2);
  EXPECT_EQ(exit_code(run(first)), 1);  // its second address is taken
  EXPECT_EQ(ask(1), 200);
  run(next);
  ASSERT_TRUE(says_yes(next));
  ASSERT_EQ(::kill(old, SIGKILL), 0);
  EXPECT_EQ(exit_code(old), 1000 + SIGKILL);
  for (int key = 0; key < 20; ++key) ASSERT_EQ(ask(key), 200);
  EXPECT_TRUE(cache.requests.empty());
  // And once more.
  run(third);
  ASSERT_TRUE(says_yes(third));
  EXPECT_NE(call(third, "DUMP").find("\"hosts_down\":1"), std::string::npos);
}

TEST_F(Upgrade, ADrainOutlivesTheProcessThatWasToldOfIt) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old = run(first);
  ASSERT_TRUE(says_yes(first));
  EXPECT_EQ(call(first, "LEAVE").rfind("ACK", 0), 0U);
  run(next);
  ASSERT_TRUE(says_yes(next));
  ASSERT_EQ(::kill(old, SIGTERM), 0);
  // Both calls are answered during the stop too, and hold for the next.
  EXPECT_EQ(call(first, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  EXPECT_EQ(exit_code(old), 0);
  const auto up = [&] {
    FakeClient one(io, door_.local_endpoint());
    one.ask("GET /up HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(wait_for([&] { return !one.answers.empty(); }));
    return one.answers.empty() ? 0 : one.status();
  };
  EXPECT_EQ(up(), 503);
  EXPECT_EQ(ask(1), 200);  // what comes all the same is served
  EXPECT_TRUE(wait_for([&] { return call(next, "DUMP").find("\"hosts_down\":1") != std::string::npos; }));
  EXPECT_EQ(call(next, "JOIN").rfind("ACK", 0), 0U);
  EXPECT_EQ(up(), 200);
}

// Half of its head is in the old process's hands when that is told to stop.
TEST_F(Upgrade, ARequestOfWhichHalfTheHeadIsReadIsServed) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old = run(first);
  ASSERT_TRUE(says_yes(first));
  FakeClient half(io, door_.local_endpoint());
  const std::string text = request_text("GET", "/read/1", "read");
  half.ask(text.substr(0, 20));
  quiet(50);
  run(next);
  ASSERT_TRUE(says_yes(next));
  ASSERT_EQ(::kill(old, SIGTERM), 0);
  quiet(700);  // longer than it lets idle connections stay
  half.ask(text.substr(20));
  ASSERT_TRUE(wait_for([&] { return half.answers.size() == 1 || half.peer->ended; }));
  ASSERT_EQ(half.answers.size(), 1U);
  EXPECT_EQ(half.status(), 200);
  EXPECT_EQ(exit_code(old), 0);
}

TEST_F(Upgrade, ASocketThatListensElsewhereIsTurnedDown) {
  net::tcp::acceptor other(io, any_port());
  const int kept = ::dup(door_.native_handle());
  ::dup2(other.native_handle(), door_.native_handle());
  EXPECT_EQ(exit_code(run(free_port(io))), 2);
  ::dup2(kept, door_.native_handle());
  ::close(kept);
}

// ---- Upgrades that cross a stop, a drain or another upgrade

class Crossing : public Upgrade {
 protected:
  // A client whose request waits at the door, or is served.
  FakeClient& ask_at_door(int key) {
    waiting_.push_back(std::make_unique<FakeClient>(io, door_.local_endpoint()));
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
  // Its watch has come, and has been told nothing.
  void wait_for_watches(std::size_t watches) {
    ASSERT_TRUE(wait_for([&] { return watches_.size() >= watches && !watches_.back()->got.empty(); }));
  }
  void tell_all() {
    tells_ = true;
    for (const auto& watch : watches_)
      if (!watch->muted && !watch->ended) tell(*watch);
  }
  std::vector<std::unique_ptr<FakeClient>> waiting_;
};

// The old one has its signal before there is a next one; what comes meanwhile waits at the door.
TEST_F(Crossing, BegunWhileTheOldOneStopsEveryRequestIsServed) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old = run(first);
  ASSERT_TRUE(says_yes(first));
  EXPECT_EQ(call(first, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  ASSERT_EQ(::kill(old, SIGTERM), 0);
  quiet(50);
  const pid_t fresh = run(next);
  for (int key = 0; key < 20; ++key) {
    ask_at_door(key);
    quiet(50);  // from before the end of its accepting until after it
  }
  ASSERT_TRUE(says_yes(next));
  expect_all_served();
  EXPECT_EQ(exit_code(old), 0);
  EXPECT_TRUE(cache.requests.empty());  // what operators said holds on
  ASSERT_EQ(::kill(fresh, SIGTERM), 0);
  EXPECT_EQ(exit_code(fresh), 0);
}

// The next one runs and has no list yet.
TEST_F(Crossing, ToldToStopInTheMidstOfTheHandOverWhatComesWaitsForTheNext) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old = run(first);
  ASSERT_TRUE(says_yes(first));
  tells_ = false;
  run(next);
  wait_for_watches(2);
  ASSERT_EQ(::kill(old, SIGTERM), 0);
  for (int key = 0; key < 16; ++key) {
    ask_at_door(key);
    quiet(50);
  }
  EXPECT_EQ(exit_code(old), 0);
  FakeClient& last = ask_at_door(16);  // nobody accepts now
  quiet(100);
  EXPECT_TRUE(last.answers.empty() && !last.peer->ended);
  tell_all();
  expect_all_served();
  EXPECT_TRUE(says_yes(next));
}

// Two next ones at once; the old one and the first of them are told to stop before either has its list.
TEST_F(Crossing, ASecondUpgradeAtOnceTakesOverFromBoth) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io), last = free_port(io);
  const pid_t old = run(first);
  ASSERT_TRUE(says_yes(first));
  EXPECT_EQ(call(first, "OFFLINE s-cache").rfind("ACK", 0), 0U);
  tells_ = false;
  const pid_t between = run(next);
  wait_for_watches(2);
  run(last);
  wait_for_watches(3);
  ASSERT_EQ(::kill(old, SIGTERM), 0);
  ASSERT_EQ(::kill(between, SIGTERM), 0);
  for (int key = 0; key < 16; ++key) {
    ask_at_door(key);
    quiet(50);
  }
  EXPECT_EQ(exit_code(old), 0);
  EXPECT_EQ(exit_code(between), 0);
  tell_all();
  expect_all_served();
  EXPECT_TRUE(says_yes(last));
  EXPECT_TRUE(cache.requests.empty());
}

// A cache server drains while one process takes over from the other.
TEST_F(Crossing, AServerThatDrainsDuringTheHandOverIsSentNothingByEither) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old = run(first);
  ASSERT_TRUE(says_yes(first));
  FakeServer third(io, [](const std::string&) { return response(200, "x"); });
  const auto drains = list_json(8, true,
                                {{"s-cache", cache.address(), "box", "terminating"},
                                 {"s-second", second.address()},
                                 {"s-third", third.address()},
                                 {"s-origin", origin.address(), "origin"}});
  list_ = drains.dump() + "\n";
  tell_more(*watches_.back());
  ASSERT_TRUE(wait_for([&] { return call(first, "DUMP").find("\"hosts_listed\":3") != std::string::npos; }));
  run(next);
  ASSERT_EQ(::kill(old, SIGTERM), 0);
  for (int key = 0; key < 20; ++key) {
    ask_at_door(key);
    quiet(40);
  }
  expect_all_served();
  EXPECT_EQ(exit_code(old), 0);
  EXPECT_TRUE(cache.requests.empty());
}

// A folder stands where the lock's file should.
TEST_F(Upgrade, ABanThatCanNotBeStoredHoldsAtOnceIsAnsweredAsOwedAndStoredOnceItCan) {
  const net::tcp::endpoint first = free_port(io), next = free_port(io);
  const pid_t old = run(first);
  ASSERT_TRUE(says_yes(first));
  std::filesystem::create_directory(folder_ / "streampick.lock");
  const std::string answer = call(first, "OFFLINE s-cache");
  EXPECT_EQ(answer, "ACK s-cache is left out; not stored yet, tried again: " +
                        (folder_ / "streampick.lock").string() + ": open lock file: Is a directory\n");
  for (int key = 0; key < 20; ++key) ASSERT_EQ(ask(key), 200);
  EXPECT_TRUE(cache.requests.empty());
  EXPECT_FALSE(std::filesystem::exists(folder_ / "streampick.overrides"));
  std::filesystem::remove(folder_ / "streampick.lock");
  ASSERT_TRUE(wait_for([&] { return std::filesystem::exists(folder_ / "streampick.overrides"); }));
  ASSERT_EQ(::kill(old, SIGKILL), 0);
  EXPECT_EQ(exit_code(old), 1000 + SIGKILL);
  run(next);
  ASSERT_TRUE(says_yes(next));
  EXPECT_NE(call(next, "DUMP").find("\"hosts_down\":1"), std::string::npos);
}

// A process that was stopped while it had the lock: clients and other calls are served while one call waits,
// and that is answered in time.
TEST_F(Upgrade, WhileAStoppedProcessHasTheLockAllIsAnsweredInTime) {
  const net::tcp::endpoint at = free_port(io);
  run(at);
  ASSERT_TRUE(says_yes(at));
  const int lock = ::open((folder_ / "streampick.lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  ASSERT_EQ(::flock(lock, LOCK_EX), 0);  // it is ours for as long as we like
  net::tcp::socket socket(io);
  socket.connect(at);
  const auto waits = std::make_shared<Peer>(std::move(socket));
  waits->read([](Peer&) {});
  waits->write("OFFLINE s-ca");
  quiet(2'800);  // its line has 3 s, and its answer has more
  const auto begun = std::chrono::steady_clock::now();
  waits->write("che\n");
  ASSERT_TRUE(wait_for([&] { return call(at, "DUMP").find("\"hosts_down\":1") != std::string::npos; }));
  EXPECT_EQ(ask(1), 200);
  EXPECT_TRUE(cache.requests.empty());
  EXPECT_TRUE(waits->got.empty());
  ASSERT_TRUE(wait_for([&] { return waits->ended; }));
  EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(1));
  EXPECT_EQ(waits->got.rfind("ACK s-cache is left out; not stored yet", 0), 0U) << waits->got;
  EXPECT_FALSE(std::filesystem::exists(folder_ / "streampick.overrides"));
  ::close(lock);
  EXPECT_TRUE(wait_for([&] { return std::filesystem::exists(folder_ / "streampick.overrides"); }));
}

}  // namespace
}  // namespace streampick::test
