// Tests of each way in which the RESP front ends the connection of a client, over loopback sockets. Commands
// that the router has read or that are unread in the socket must get replies; commands that cross the close
// must not run.
#include <thread>

#include "raw_client.h"
#include "resp/resp_loopback.h"

namespace streampick::test {
namespace {

class RespConnectionEnd : public RespLoopback {
 protected:
  using Raw = RawClient;
  RespConnectionEnd() {
    add_caches(1);
    caches[0]->values = {{"k", "v"}, {"slow", "s"}};
    caches[0]->script = [](const std::vector<std::string>& words, std::size_t) {
      return words.at(1) == "slow" ? Fault{Fault::Kind::stall} : Fault{};
    };
  }
  void start_router(const std::string& front = "") {
    start_resp("write_class = \"pay\"\n" + front, "connections = 4\nstore_queue = 0\n");
  }
  std::unique_ptr<Raw> raw() { return std::make_unique<Raw>(io, host->resp()->address()); }
  void drain() {
    host->drain([this] { done = true; });
  }
  void start_client_drain() {
    host->operators().answer({management::Command::Kind::leave, {}}, [](const std::string&) {});
  }
  bool receives(Raw& one, const std::string& text) {
    return wait_for([&] {
      one.take();
      return one.got == text;
    });
  }
  bool has_ended(Raw& one) {
    return wait_for([&] {
      one.take();
      return static_cast<bool>(one.end);
    });
  }
  // Sends commands after the router has ended the connection. They must not run, and no reset may discard
  // earlier replies.
  void expect_crossing_commands_are_not_run(Raw& one, const std::string& replies, std::uint64_t asked) {
    one.write(get("k") + command({"SET", "k", "crossed"}));
    ASSERT_TRUE(has_ended(one));
    EXPECT_EQ(one.end, asio::error::eof);
    EXPECT_EQ(one.got, replies);
    quiet(50);
    one.write(get("k"));
    quiet(300);
    EXPECT_EQ(host->counts().requests, asked);
    EXPECT_EQ(store.commands, 0U);
  }
  static std::string get(const std::string& key) { return command({"GET", key}); }
  const std::string value = "$1\r\nv\r\n", slow_value = "$1\r\ns\r\n";
  bool done = false;
};

// ---- Malformed and partial commands

TEST_F(RespConnectionEnd, MalformedCommandBehindValidOnes_GetsItsErrorAfterTheirReplies) {
  start_router();
  const std::vector<std::string> malformed = {"*1\r\n$-5\r\n", "*-7\r\n", "*1\r\n$3\r\nGETxx",
                                              "*2\r\n$3\r\nGET\r\n$99999999\r\n", "GET \"k\r\n"};
  for (const std::string& bytes : malformed) {
    const auto one = raw();
    const std::uint64_t before = host->counts().requests;
    one->write(get("slow") + get("k") + command({"PING"}) + bytes + get("k"));
    ASSERT_TRUE(wait_for([&] { return host->counts().requests == before + 2; })) << bytes;
    quiet(50);
    one->take();
    EXPECT_EQ(one->got, "") << bytes;
    caches[0]->release();
    ASSERT_TRUE(has_ended(*one)) << bytes;
    EXPECT_EQ(one->end, asio::error::eof) << bytes;
    const std::string replies = slow_value + value + "+PONG\r\n-ERR Protocol error: ";
    EXPECT_EQ(one->got.rfind(replies, 0), 0U) << bytes << one->got;
    EXPECT_EQ(one->count("-ERR"), 1U) << bytes;
    EXPECT_EQ(host->counts().requests, before + 2) << bytes;
  }
}

TEST_F(RespConnectionEnd, PartialCommands_GetAnErrorWithinThreeSecondsAndOthersAreServed) {
  start_router("most_clients = 128\n");
  const std::vector<std::string> partial_commands = {
      "*", "*2\r\n$3\r\nGET\r\n$1\r\n", "GET k", "*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$10\r\nhalf",
      "*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$64000\r\n" + std::string(60'000, 'x')};
  std::vector<std::unique_ptr<Raw>> stopped;
  for (int i = 0; i < 6; ++i)
    for (const std::string& partial : partial_commands) {
      const bool behind_valid_commands = i % 2 == 1;
      stopped.push_back(raw());
      stopped.back()->deliver((behind_valid_commands ? get("k") + get("k") : "") + partial);
    }
  const auto last_byte = std::chrono::steady_clock::now();
  const auto good = resp_client();
  std::size_t served = 0;
  good->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] {
    if (good->replies.size() > served) {
      ++served;
      good->ask({"GET", "k"});
    }
    return std::all_of(stopped.begin(), stopped.end(), [](const auto& one) {
      one->take();
      return static_cast<bool>(one->end);
    });
  }));
  EXPECT_LT(std::chrono::steady_clock::now() - last_byte, std::chrono::seconds(3));
  for (std::size_t i = 0; i < stopped.size(); ++i) {
    const bool behind_valid_commands = i / partial_commands.size() % 2 == 1;
    const std::string replies = (behind_valid_commands ? value + value : "") + "-ERR Protocol error: ";
    EXPECT_EQ(stopped[i]->end, asio::error::eof) << i;
    EXPECT_EQ(stopped[i]->got.rfind(replies, 0), 0U) << i << stopped[i]->got;
    EXPECT_EQ(stopped[i]->count("-ERR"), 1U) << i;
  }
  EXPECT_GT(served, 20U);
  EXPECT_EQ(store.commands, 0U);
}

// The time limit of a command starts at its own first byte and grows with its length.
TEST_F(RespConnectionEnd, SlowCommandsThatMakeProgress_AreServed) {
  start_router();
  const std::string set = command({"SET", "long", std::string(60'000, 'x')});
  const auto slow = raw(), one_by_one = raw();
  const std::size_t part = set.size() / 12;
  for (std::size_t at = 0; at < set.size(); at += part) {
    slow->write(set.substr(at, part));
    // At any time a partial command has arrived, but each time another one.
    one_by_one->write((at == 0 ? "" : "\r\n$1\r\nk\r\n") + std::string("*2\r\n$3\r\nGET"));
    quiet(250);
  }
  ASSERT_TRUE(receives(*slow, "+OK\r\n"));
  one_by_one->take();
  EXPECT_GE(one_by_one->count(value), 12U);
  EXPECT_EQ(one_by_one->count("-ERR"), 0U);
}

// ---- The idle timeout

TEST_F(RespConnectionEnd, CommandAtTheIdleTimeout_IsServedAndOneThatCrossesTheCloseIsNotRun) {
  start_router("idle_ms = 600\n");
  const auto one = raw(), two = raw();
  for (Raw* each : {one.get(), two.get()}) {
    each->write(get("k"));
    ASSERT_TRUE(receives(*each, value));
  }
  // This timer runs before all timers that become due during the next second.
  asio::steady_timer first(io, std::chrono::steady_clock::time_point{});
  first.async_wait([&](net::error_code) { one->deliver(get("k")); });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  ASSERT_TRUE(receives(*one, value + value));
  ASSERT_TRUE(has_ended(*two));
  expect_crossing_commands_are_not_run(*two, value, 3);
  ASSERT_TRUE(has_ended(*one));
  EXPECT_EQ(one->end, asio::error::eof);
}

// ---- Drain and shutdown

TEST_F(RespConnectionEnd, DrainOfClients_AnswersUnreadCommandsAndRunsNoneThatCrossTheClose) {
  start_router();
  const auto idle = raw(), active = raw();
  for (Raw* each : {idle.get(), active.get()}) {
    each->write(get("k"));
    ASSERT_TRUE(receives(*each, value));
  }
  quiet(20);
  active->deliver(get("k") + get("k"));
  start_client_drain();
  expect_crossing_commands_are_not_run(*idle, value, 4);
  ASSERT_TRUE(has_ended(*active));
  EXPECT_EQ(active->got, value + value + value);
  EXPECT_EQ(active->end, asio::error::eof);
}

TEST_F(RespConnectionEnd, ClientThatConnectsDuringADrain_HasTimeForItsFirstCommand) {
  start_router();
  const auto before = raw();
  quiet(20);
  start_client_drain();
  const auto after = raw();
  quiet(150);
  for (Raw* each : {before.get(), after.get()}) {
    each->take();
    ASSERT_FALSE(each->end);
    each->write(get("k"));
    ASSERT_TRUE(has_ended(*each));
    EXPECT_EQ(each->got, value);
  }
  const auto silent = raw();
  ASSERT_TRUE(has_ended(*silent));
}

TEST_F(RespConnectionEnd, Shutdown_ServesCommandsWhileTheConnectionIsOpen) {
  start_router();
  const auto one = raw();
  one->write(get("slow"));
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == 1; }));
  drain();
  quiet(800);  // the listener is closed
  one->deliver(get("k") + get("k"));
  quiet(100);
  EXPECT_FALSE(done);
  caches[0]->release();
  ASSERT_TRUE(has_ended(*one));
  EXPECT_EQ(one->got, slow_value + value + value);
  expect_crossing_commands_are_not_run(*one, slow_value + value + value, 3);
  one->socket.close();
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// A connection that is never idle ends too. All received commands get replies, and a partial one gets an
// error.
TEST_F(RespConnectionEnd, ShutdownWithABusyClient_AnswersAllReceivedCommands) {
  start_router();
  const auto one = raw();
  const std::string begun = "*2\r\n$3\r\n";
  std::size_t commands = 0;
  const auto ask = [&] {
    one->write(get("k").substr(begun.size()) + begun);
    ++commands;
  };
  one->write(begun);
  drain();
  const auto next = [&] {
    one->take();
    if (!one->end && one->count(value) == commands) ask();
    return static_cast<bool>(one->end);
  };
  ASSERT_TRUE(wait_for(next));
  EXPECT_GT(commands, 10U);
  EXPECT_EQ(one->end, asio::error::eof);
  EXPECT_GE(one->count(value) + 1, commands);
  EXPECT_EQ(one->count("-ERR Protocol error: "), 1U);
  one->socket.close();
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// The process exits when the router reports the end of the shutdown, which would reset the remaining
// connections.
TEST_F(RespConnectionEnd, Shutdown_EndsAfterTheLastReplyIsReceived) {
  start_router();
  const auto one = raw();
  one->write(get("slow"));
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == 1; }));
  drain();
  quiet(700);
  caches[0]->release();
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 1; }));
  quiet(200);
  EXPECT_FALSE(done);
  ASSERT_TRUE(has_ended(*one));
  EXPECT_EQ(one->got, slow_value);
  one->socket.close();
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// ---- The connection limit

TEST_F(RespConnectionEnd, ClientOverTheLimit_ReceivesTheErrorDespiteUnreadCommands) {
  start_router("most_clients = 2\n");
  const auto busy = raw(), also = raw();
  for (Raw* each : {busy.get(), also.get()}) each->write(get("slow"));
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == 2; }));
  std::vector<std::unique_ptr<Raw>> more;
  for (int i = 0; i < 5; ++i) {
    more.push_back(raw());
    more.back()->deliver(get("k") + get("k") + std::string(3'000, 'x'));
  }
  for (const auto& one : more) {
    ASSERT_TRUE(has_ended(*one));
    EXPECT_EQ(one->got, "-ERR max number of clients reached\r\n");
    EXPECT_EQ(one->end, asio::error::eof);  // a reset could discard the error
  }
  EXPECT_EQ(host->counts().requests, 2U);
  caches[0]->release();
  for (Raw* each : {busy.get(), also.get()}) ASSERT_TRUE(receives(*each, slow_value));
}

// More clients than the limit send one command and stay. Each gets its reply or the error of the limit.
TEST_F(RespConnectionEnd, ManyClients_AreServedOrRejectedAndTheActiveOneStays) {
  start_router("most_clients = 16\n");
  const auto worker = resp_client();
  std::size_t served = 0, rejected = 0, asked = 0;
  std::vector<std::unique_ptr<Raw>> crowd;
  for (int batch = 0; batch < 6; ++batch) {
    for (int i = 0; i < 20; ++i) {
      crowd.push_back(raw());
      crowd.back()->deliver(get("k"));
    }
    worker->ask({"GET", "k"});
    ++asked;
    ASSERT_TRUE(wait_for([&] {
      return worker->replies.size() == asked && std::all_of(crowd.begin(), crowd.end(), [](const auto& one) {
               one->take();
               return !one->got.empty();
             });
    }));
    std::this_thread::sleep_for(
        std::chrono::milliseconds(600));  // within two batches, idle connections may be closed
  }
  for (const auto& one : crowd) {
    const bool has_reply = one->got == value;
    ++(has_reply ? served : rejected);
    EXPECT_TRUE(has_reply || one->got == "-ERR max number of clients reached\r\n") << one->got;
  }
  EXPECT_GT(served, 30U);
  EXPECT_GT(rejected, 30U);
  EXPECT_FALSE(worker->peer->ended);
  EXPECT_EQ(host->counts().served, served + asked);
}

// The connection that has been idle for longest has an unread command, so another one must be closed.
TEST_F(RespConnectionEnd, ClientClosedForAnother_HasNoUnreadCommand) {
  start_router("most_clients = 2\n");
  const auto first = raw(), second = raw();
  for (Raw* each : {first.get(), second.get()}) {
    each->write(get("k"));
    ASSERT_TRUE(receives(*each, value));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1'200));  // both are idle long enough to be closed
  const auto third = raw();                                       // accepted before the command is read
  third->deliver(get("k"));
  first->deliver(get("k"));
  ASSERT_TRUE(receives(*third, value));
  ASSERT_TRUE(receives(*first, value + value));
  ASSERT_TRUE(has_ended(*second));
  EXPECT_EQ(second->got, value);
}

}  // namespace
}  // namespace streampick::test
