// How long idle connections are kept open.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace streampick::test {
namespace {

// If hundreds of routers keep every connection open, the connection tables of the servers fill up. An idle
// connection is kept until it has cost as much as a new one, if its last two uses were closer together than
// that. Here 1 s passes between two uses, and the costs give a break-even idle time of 1/3 s, 3 s or no
// limit.
TEST(Connections, IdleUntilTheBreakEvenTime_AreClosed) {
  struct Case {
    double handshake, connection;
    std::size_t closes_between, closes_after;
  };
  for (const Case& one : {Case{0.01, 0.09, 9, 10}, Case{0.09, 0.09, 1, 2}, Case{0.09, 0, 0, 0}}) {
    Config config = FakeHost::connection_cost_config(200);
    config.handshake_cost = one.handshake;
    config.connection_cost = one.connection;
    FakeHost host(config);
    for (RequestId id = 1; id <= 10; ++id) {
      host.request(id, 0, 1);
      host.result(host.sends.size() - 1, Outcome::served);
      if (id < 10) host.advance(1'000 * kMs);
    }
    EXPECT_EQ(host.closes.size(), one.closes_between);
    host.advance(2'900 * kMs);
    const bool closes_early = one.closes_after > one.closes_between && one.handshake < 0.05;
    EXPECT_EQ(host.closes.size(), closes_early ? one.closes_after : one.closes_between);
    host.advance(200 * kMs);
    EXPECT_EQ(host.closes.size(), one.closes_after);
  }
}

// An infrequently used connection is closed on time although the timer of a frequently used one is due later.
TEST(Connections, DifferentTimeouts_AreClosedInTheOrderOfExpiry) {
  Config config = FakeHost::connection_cost_config(200);
  config.handshake_cost = 0.09;
  config.connection_cost = 0.09;  // break-even idle time: 3 s
  FakeHost host(config);
  for (RequestId id = 1; id <= 3; ++id) {
    host.request(id, 0, 1);
    host.result(host.sends.size() - 1, Outcome::served);
    host.advance(1'000 * kMs);
  }
  const ServerId frequent = host.sends[0].server;
  host.closes.clear();
  RequestId id = 4;  // a key of another server
  do host.request(id, 0, id);
  while (host.sends.back().server == frequent && ++id < 50);
  for (std::size_t send = 3; send < host.sends.size(); ++send) host.result(send, Outcome::served);
  const ServerId infrequent = host.sends.back().server;
  ASSERT_NE(infrequent, frequent);
  host.advance(600 * kMs);
  ASSERT_EQ(host.closes.size(), 1U);
  EXPECT_EQ(host.closes[0].first, infrequent);
  host.advance(5'000 * kMs);
  ASSERT_EQ(host.closes.size(), 2U);
  EXPECT_EQ(host.closes[1].first, frequent);
}

TEST(Connections, EndpointsThatRefuseConnections_ShortenTheIdleTimeout) {
  Config config = FakeHost::connection_cost_config(200);
  config.connection_cost = 0;
  FakeHost host(config, 30);
  RequestId id = 0;
  for (int i = 0; i < 40; ++i) {
    ++id;
    host.request(id, 0, id);
    host.advance(5 * kMs);
    host.result(host.sends.size() - 1, i % 4 == 0 ? Outcome::served : Outcome::connect_failed);
    host.advance(500 * kMs);
  }
  host.advance(20'000 * kMs);
  EXPECT_FALSE(host.closes.empty());
}

}  // namespace
}  // namespace streampick::test
