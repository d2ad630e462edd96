// The watch on discovery over loopback sockets.
#include "loopback.h"

namespace streampick::node::test {
namespace {

class Watched : public Loopback {
 protected:
  // The server that a new read goes to.
  bool read_goes_to(FakeServer& server) {
    const std::size_t before = server.requests.size();
    const auto one = client();
    one->ask(a_read());
    return wait_for([&] { return !one->answers.empty(); }) && server.requests.size() == before + 1;
  }
};

TEST_F(Watched, ChangesAndWholeListsAreTakenThoughTheirLinesAreSplit) {
  cache.answer = origin.answer = [](const std::string&) { return response(200, "x"); };
  FakeServer other(io, [](const std::string&) { return response(200, "y"); });
  start();
  accept_watch();
  EXPECT_EQ(agent->got.rfind("GET /discovery/hosts?watch=1&after=1 ", 0), 0U);
  EXPECT_TRUE(read_goes_to(cache));
  begin_watch();
  const std::string drains =
      list_json(2, false, {{"s-cache", cache.address(), "box", "terminating"}, {"s-new", other.address()}})
          .dump() +
      "\n";
  chunk(drains.substr(0, 30));
  quiet(30);
  chunk(drains.substr(30) + "\n\n");
  quiet(30);
  EXPECT_TRUE(read_goes_to(other));
  // A whole list without s-new: it is gone. s-cache is back, elsewhere.
  FakeServer moved(io, [](const std::string&) { return response(200, "z"); });
  chunk(list_json(3, true, {{"s-cache", moved.address()}, {"s-origin", origin.address(), "origin"}}).dump() +
        "\n");
  quiet(30);
  EXPECT_TRUE(read_goes_to(moved));
}

TEST_F(Watched, AWatchThatEndsOrSpeaksNonsenseIsSetUpAgainAfterTheLastRevision) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  accept_watch();
  begin_watch();
  chunk(list_json(7, false, {}).dump() + "\n");
  quiet(30);
  agent->close();
  accept_watch();
  EXPECT_EQ(agent->got.rfind("GET /discovery/hosts?watch=1&after=7 ", 0), 0U);
  EXPECT_TRUE(read_goes_to(cache));
  begin_watch();
  chunk("{\"revision\": 8, \"complete\": true, \"members\": [{\"id\": 5}]}\n");
  accept_watch();
  EXPECT_EQ(agent->got.rfind("GET /discovery/hosts?watch=1&after=7 ", 0), 0U);
  EXPECT_TRUE(read_goes_to(cache));
  agent->write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  accept_watch();
  EXPECT_TRUE(read_goes_to(cache));
}

TEST_F(Watched, ASilentWatchIsGivenUpAndTheOldListStaysInUse) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  accept_watch();
  begin_watch();
  accept_watch();  // without a line for longer than the empty ones are apart
  EXPECT_TRUE(read_goes_to(cache));
}

TEST_F(Watched, AServerThatDrainsWhileAnAttemptIsHeldForItIsSentNothing) {
  cache.answer = origin.answer = [](const std::string&) { return response(200, "x"); };
  start();
  accept_watch();
  begin_watch();
  chunk(list_json(2, false, {{"s-origin", origin.address(), "origin", "terminating"}}).dump() + "\n");
  quiet(30);
  const auto one = client();
  one->ask(request_text("PUT", "/pay/1", "pay", "x", "1.0"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 503);
  EXPECT_TRUE(origin.requests.empty());
}

// Changes build on one another: older ones would bring back what has gone since.
TEST_F(Watched, ChangesOlderThanWhatIsKnownAreNotTaken) {
  cache.answer = origin.answer = [](const std::string&) { return response(200, "x"); };
  FakeServer other(io, [](const std::string&) { return response(200, "y"); });
  start();
  accept_watch();
  begin_watch();
  chunk(list_json(5, false, {{"s-cache", cache.address(), "box", "terminated"}, {"s-new", other.address()}})
            .dump() +
        "\n" +
        list_json(4, false, {{"s-cache", cache.address()}, {"s-new", other.address(), "box", "terminated"}})
            .dump() +
        "\n");
  quiet(30);
  EXPECT_TRUE(read_goes_to(other));
  agent->close();
  accept_watch();
  EXPECT_EQ(agent->got.rfind("GET /discovery/hosts?watch=1&after=5 ", 0), 0U);
}

TEST_F(Watched, AReloadWatchesTheNewDiscoveryAtOnceAndTheOldListServesUntilItsOwnIsIn) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  FakeServer other(io, [](const std::string&) { return response(200, "y"); });
  start();
  accept_watch();
  begin_watch();
  chunk(list_json(90, false, {}).dump() + "\n");
  quiet(30);
  const auto old = agent;
  tcp::acceptor next(io, any_port());
  NodeSettings anew = settings;
  anew.discovery = next.local_endpoint();
  host->reload(anew);
  std::swap(discovery, next);
  accept_watch();
  // Its revisions are its own.
  EXPECT_EQ(agent->got.rfind("GET /discovery/hosts?watch=1&after=0 ", 0), 0U);
  ASSERT_TRUE(wait_for([&] { return old->ended; }));
  EXPECT_TRUE(read_goes_to(cache));
  begin_watch();
  chunk(list_json(2, false, {{"s-cache", cache.address(), "box", "terminating"}, {"s-new", other.address()}})
            .dump() +
        "\n");
  quiet(30);
  EXPECT_TRUE(read_goes_to(other));
  host->reload(anew);  // nothing new: the watch goes on
  quiet();
  EXPECT_FALSE(agent->ended);
}

TEST_F(Watched, AReloadToADiscoveryThatIsNotUpIsTriedAgain) {
  start();
  accept_watch();
  tcp::acceptor next(io, any_port());
  NodeSettings anew = settings;
  anew.discovery = next.local_endpoint();
  next.close();
  host->reload(anew);
  quiet();
  discovery = tcp::acceptor(io, anew.discovery);
  accept_watch();
  EXPECT_EQ(agent->got.rfind("GET /discovery/hosts?watch=1&after=0 ", 0), 0U);
}

// Servers that come and go all day under new names must not leave anything behind, and a new one at the
// address of another inherits none of its connections.
TEST_F(Watched, GoneServersAreForgottenAndTheirConnectionsClosed) {
  cache.answer = origin.answer = [](const std::string&) { return response(200, "x"); };
  start();
  accept_watch();
  begin_watch();
  EXPECT_TRUE(read_goes_to(cache));
  std::string before = "s-cache";
  for (int i = 0; i < 40; ++i) {
    const std::string now = "s-" + std::to_string(i);
    chunk(list_json(static_cast<std::uint64_t>(i) + 2, false,
                    {{before, cache.address(), "box", "terminated"}, {now, cache.address()}})
              .dump() +
          "\n");
    ASSERT_TRUE(wait_for([&] { return host->links().connections == 0; }));
    EXPECT_TRUE(read_goes_to(cache));
    EXPECT_EQ(cache.peers.size(), static_cast<std::size_t>(i) + 2);
    before = now;
  }
  EXPECT_LE(host->servers(), 4U);
}

TEST_F(Watched, AGoneServerIsForgottenOnlyOnceItsLastAttemptHasEnded) {
  start();
  accept_watch();
  begin_watch();
  const auto one = client();
  one->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  chunk(list_json(2, false, {{"s-cache", cache.address(), "box", "terminated"}}).dump() + "\n");
  quiet(30);
  FakeServer other(io, [](const std::string&) { return response(200, "y"); });
  chunk(list_json(3, false, {{"s-new", other.address()}}).dump() + "\n");
  quiet(30);
  EXPECT_EQ(host->servers(), 3U);  // its id is not given to another while the attempt is out
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->body(), "x");
  chunk(list_json(4, false, {{"s-newer", other.address()}}).dump() + "\n");
  quiet(30);
  EXPECT_EQ(host->servers(), 3U);
}

}  // namespace
}  // namespace streampick::node::test
