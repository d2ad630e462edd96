// Each way in which the RESP front ends a client's connection, over loopback sockets: what was read before
// it, and what stood unread in the socket, has its reply; what crosses it is not run.
#include <thread>

#include "raw_client.h"
#include "resp/resp_loopback.h"

namespace streampick::test {
namespace {

class RespEnds : public RespLoopback {
 protected:
  using Raw = RawClient;
  RespEnds() {
    add_caches(1);
    caches[0]->values = {{"k", "v"}, {"slow", "s"}};
    caches[0]->script = [](const std::vector<std::string>& words, std::size_t) {
      return words.at(1) == "slow" ? Fault{Fault::Kind::stall} : Fault{};
    };
  }
  void start_ends(const std::string& front = "") {
    start_resp("write_class = \"pay\"\n" + front, "connections = 4\nstore_queue = 0\n");
  }
  std::unique_ptr<Raw> raw() { return std::make_unique<Raw>(io, host->resp()->address()); }
  void drain() {
    host->drain([this] { done = true; });
  }
  void set_draining() {
    host->operators().answer({management::Command::Kind::leave, {}}, [](const std::string&) {});
  }
  bool has(Raw& one, const std::string& text) {
    return wait_for([&] {
      one.take();
      return one.got == text;
    });
  }
  bool ended(Raw& one) {
    return wait_for([&] {
      one.take();
      return static_cast<bool>(one.end);
    });
  }
  // Commands that come once the router has ended the connection: nothing of them is run, and no reset takes
  // what it said before.
  void expect_that_crossing_commands_are_not_run(Raw& one, const std::string& replies, std::uint64_t asked) {
    one.write(get("k") + command({"SET", "k", "crossed"}));
    ASSERT_TRUE(ended(one));
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

// ---- Commands that are wrong, or that stop half-way

TEST_F(RespEnds, BehindGoodCommandsAMalformedOneHasItsErrorAfterTheirReplies) {
  start_ends();
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
    ASSERT_TRUE(ended(*one)) << bytes;
    EXPECT_EQ(one->end, asio::error::eof) << bytes;
    const std::string replies = slow_value + value + "+PONG\r\n-ERR Protocol error: ";
    EXPECT_EQ(one->got.rfind(replies, 0), 0U) << bytes << one->got;
    EXPECT_EQ(one->count("-ERR"), 1U) << bytes;
    EXPECT_EQ(host->counts().requests, before + 2) << bytes;
  }
}

TEST_F(RespEnds, ManyThatStopWithinACommandHaveTheirErrorInThreeSecondsAndOthersAreServed) {
  start_ends("most_clients = 128\n");
  const std::vector<std::string> halves = {
      "*", "*2\r\n$3\r\nGET\r\n$1\r\n", "GET k", "*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$10\r\nhalf",
      "*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$64000\r\n" + std::string(60'000, 'x')};
  std::vector<std::unique_ptr<Raw>> stopped;
  for (int i = 0; i < 6; ++i)
    for (const std::string& half : halves) {
      const bool behind_good_ones = i % 2 == 1;
      stopped.push_back(raw());
      stopped.back()->deliver((behind_good_ones ? get("k") + get("k") : "") + half);
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
    const bool behind_good_ones = i / halves.size() % 2 == 1;
    const std::string replies = (behind_good_ones ? value + value : "") + "-ERR Protocol error: ";
    EXPECT_EQ(stopped[i]->end, asio::error::eof) << i;
    EXPECT_EQ(stopped[i]->got.rfind(replies, 0), 0U) << i << stopped[i]->got;
    EXPECT_EQ(stopped[i]->count("-ERR"), 1U) << i;
  }
  EXPECT_GT(served, 20U);
  EXPECT_EQ(store.commands, 0U);
}

// Its time runs from its own first byte, and a long one has more of it.
TEST_F(RespEnds, ASlowCommandThatComesOnAndACommandBehindOthersAreServed) {
  start_ends();
  const std::string set = command({"SET", "long", std::string(60'000, 'x')});
  const auto slow = raw(), one_by_one = raw();
  const std::size_t part = set.size() / 12;
  for (std::size_t at = 0; at < set.size(); at += part) {
    slow->write(set.substr(at, part));
    // Whenever it is looked at, half a command is there, and never the same one.
    one_by_one->write((at == 0 ? "" : "\r\n$1\r\nk\r\n") + std::string("*2\r\n$3\r\nGET"));
    quiet(250);
  }
  ASSERT_TRUE(has(*slow, "+OK\r\n"));
  one_by_one->take();
  EXPECT_GE(one_by_one->count(value), 12U);
  EXPECT_EQ(one_by_one->count("-ERR"), 0U);
}

// ---- Rests that end

TEST_F(RespEnds, CommandsThatComeAsTheRestEndsAreRunAndThoseThatCrossTheEndAreNot) {
  start_ends("idle_ms = 600\n");
  const auto one = raw(), two = raw();
  for (Raw* each : {one.get(), two.get()}) {
    each->write(get("k"));
    ASSERT_TRUE(has(*each, value));
  }
  // Ahead of all that has become due in a second.
  asio::steady_timer first(io, std::chrono::steady_clock::time_point{});
  first.async_wait([&](net::error_code) { one->deliver(get("k")); });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  ASSERT_TRUE(has(*one, value + value));
  ASSERT_TRUE(ended(*two));
  expect_that_crossing_commands_are_not_run(*two, value, 3);
  ASSERT_TRUE(ended(*one));
  EXPECT_EQ(one->end, asio::error::eof);
}

// ---- Sent away, told to stop

TEST_F(RespEnds, SentAwayWhatIsUnreadIsAnsweredAndWhatCrossesIsNotRun) {
  start_ends();
  const auto resting = raw(), asking = raw();
  for (Raw* each : {resting.get(), asking.get()}) {
    each->write(get("k"));
    ASSERT_TRUE(has(*each, value));
  }
  quiet(20);
  asking->deliver(get("k") + get("k"));
  set_draining();
  expect_that_crossing_commands_are_not_run(*resting, value, 4);
  ASSERT_TRUE(ended(*asking));
  EXPECT_EQ(asking->got, value + value + value);
  EXPECT_EQ(asking->end, asio::error::eof);
}

TEST_F(RespEnds, AClientThatHasJustConnectedIsGivenTimeToAsk) {
  start_ends();
  const auto before = raw();
  quiet(20);
  set_draining();
  const auto after = raw();
  quiet(150);
  for (Raw* each : {before.get(), after.get()}) {
    each->take();
    ASSERT_FALSE(each->end);
    each->write(get("k"));
    ASSERT_TRUE(ended(*each));
    EXPECT_EQ(each->got, value);
  }
  const auto silent = raw();
  ASSERT_TRUE(ended(*silent));
}

TEST_F(RespEnds, ToldToStopCommandsAreTakenForAsLongAsTheConnectionIsOpen) {
  start_ends();
  const auto one = raw();
  one->write(get("slow"));
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == 1; }));
  drain();
  quiet(800);  // accepting has ended
  one->deliver(get("k") + get("k"));
  quiet(100);
  EXPECT_FALSE(done);
  caches[0]->release();
  ASSERT_TRUE(ended(*one));
  EXPECT_EQ(one->got, slow_value + value + value);
  expect_that_crossing_commands_are_not_run(*one, slow_value + value + value, 3);
  one->socket.close();
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// One that never rests is ended all the same: what has come by then is answered, half a command too.
TEST_F(RespEnds, ToldToStopAClientThatNeverRestsIsAnsweredUpToTheEnd) {
  start_ends();
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

// The process ends when the router is done: that would reset what is left.
TEST_F(RespEnds, ItIsNotDoneBeforeItsLastReplyIsTaken) {
  start_ends();
  const auto one = raw();
  one->write(get("slow"));
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == 1; }));
  drain();
  quiet(700);
  caches[0]->release();
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 1; }));
  quiet(200);
  EXPECT_FALSE(done);
  ASSERT_TRUE(ended(*one));
  EXPECT_EQ(one->got, slow_value);
  one->socket.close();
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// ---- Places that others need

TEST_F(RespEnds, WhoFindsNoPlaceIsToldSoThoughItHasSentCommands) {
  start_ends("most_clients = 2\n");
  const auto busy = raw(), also = raw();
  for (Raw* each : {busy.get(), also.get()}) each->write(get("slow"));
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == 2; }));
  std::vector<std::unique_ptr<Raw>> more;
  for (int i = 0; i < 5; ++i) {
    more.push_back(raw());
    more.back()->deliver(get("k") + get("k") + std::string(3'000, 'x'));
  }
  for (const auto& one : more) {
    ASSERT_TRUE(ended(*one));
    EXPECT_EQ(one->got, "-ERR max number of clients reached\r\n");
    EXPECT_EQ(one->end, asio::error::eof);  // a reset could have taken the error with it
  }
  EXPECT_EQ(host->counts().requests, 2U);
  caches[0]->release();
  for (Raw* each : {busy.get(), also.get()}) ASSERT_TRUE(has(*each, slow_value));
}

// More than there are places ask once and stay: each has its reply, or is told that there is no place.
TEST_F(RespEnds, InACrowdEachHasItsReplyOrIsTurnedAwayAndWhoWorksStays) {
  start_ends("most_clients = 16\n");
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
    std::this_thread::sleep_for(std::chrono::milliseconds(600));  // two batches on, those that rest may go
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

// The one that would give its place has a command unread.
TEST_F(RespEnds, WhoGivesItsPlaceToOthersHasNoCommandUnread) {
  start_ends("most_clients = 2\n");
  const auto first = raw(), second = raw();
  for (Raw* each : {first.get(), second.get()}) {
    each->write(get("k"));
    ASSERT_TRUE(has(*each, value));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1'200));  // both have rested for long
  const auto third = raw();  // in the listener's queue, ahead of the command
  third->deliver(get("k"));
  first->deliver(get("k"));
  ASSERT_TRUE(has(*third, value));
  ASSERT_TRUE(has(*first, value + value));
  ASSERT_TRUE(ended(*second));
  EXPECT_EQ(second->got, value);
}

}  // namespace
}  // namespace streampick::test
