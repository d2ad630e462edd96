// epoll_wait() and accept() that fail: the router must not loop without a pause, and must not wait for an
// event that does not come.
#include "faults/faulty_router.h"

namespace streampick::test {
namespace {

using faults::Call;

/// One accept() every 20 ms is 50 in a second; the rest allows for a second that lasts longer on a busy
/// machine.
constexpr std::uint64_t kMaxAcceptsInASecond = 60;
/// Failed connections that the router skips without a pause.
constexpr std::uint64_t kMaxSkippedAtOnce = 16;
/// Each of these accepts also takes a wait for a timer; other timers of the router run every 100 ms.
constexpr std::uint64_t kMaxWaitsInASecond = 400;

class Waits : public RouterUnderFaults {
 protected:
  void start(const FaultPlan& plan) {
    address_ = free_address();
    router_.reset();
    router_ = std::make_unique<FaultyRouter>("wait", config(address_), plan);
    ASSERT_TRUE(becomes_ready(*router_, address_)) << router_->log();
    quiet(200);
  }
  std::uint64_t calls(Call call) { return router_->counts().calls(call); }

  net::tcp::endpoint address_;
  std::unique_ptr<FaultyRouter> router_;
};

TEST_F(Waits, AcceptOutOfResources_IsRetriedAtALowRateAndTheClientIsServedLater) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  for (const std::string error : {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"}) {
    start({"accept/1:" + error, 1, "", false});
    router_->counts().arm(true);
    FakeClient client(io, address_);
    client.ask(a_read());
    ASSERT_TRUE(wait_for([&] { return router_->counts().faults(Call::accept) >= 1; }));
    const std::uint64_t accepts = calls(Call::accept);
    const std::uint64_t waits = calls(Call::wait);
    quiet(1'000);
    EXPECT_LE(calls(Call::accept) - accepts, kMaxAcceptsInASecond) << error;
    EXPECT_GE(calls(Call::accept) - accepts, 2U) << error;
    EXPECT_LE(calls(Call::wait) - waits, kMaxWaitsInASecond) << error;
    router_->counts().arm(false);
    ASSERT_TRUE(wait_for([&] { return client.answers.size() == 1; })) << error;
    EXPECT_EQ(client.status(), 200);
  }
}

// A connection that failed in the listen queue is skipped, and the connections behind it are accepted at
// once.
TEST_F(Waits, ConnectionFailedInTheQueue_NextOneIsAcceptedAtOnce) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  for (const std::string error : {"ECONNABORTED", "EPROTO", "ENETUNREACH", "EHOSTUNREACH"}) {
    start({"accept/1x2:" + error, 1, "", false});
    router_->signal(SIGSTOP);
    router_->counts().arm(true);
    FakeClient failed(io, address_);
    FakeClient failed_too(io, address_);
    FakeClient client(io, address_);
    client.ask(a_read());
    router_->signal(SIGCONT);
    const auto asked = std::chrono::steady_clock::now();
    while (client.answers.empty() && std::chrono::steady_clock::now() - asked < std::chrono::seconds(5))
      quiet(5);
    ASSERT_EQ(client.answers.size(), 1U) << error << "\n" << router_->log();
    EXPECT_EQ(client.status(), 200);
    EXPECT_EQ(router_->counts().faults(Call::accept), 2U) << error;
  }
}

// The router must go on without waiting for another connection to arrive in the queue.
TEST_F(Waits, OnlyQueuedConnectionFailed_OtherClientsAreServed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  for (const std::string error : {"ECONNABORTED", "EPROTO"}) {
    start({"accept/1x1:" + error, 1, "", false});
    FakeClient client(io, address_);
    client.ask(a_read());
    ASSERT_TRUE(wait_for([&] { return client.answers.size() == 1; }));
    router_->counts().arm(true);
    FakeClient failed(io, address_);
    ASSERT_TRUE(wait_for([&] { return router_->counts().faults(Call::accept) == 1; }));
    client.ask(a_read());
    const auto asked = std::chrono::steady_clock::now();
    while (client.answers.size() < 2 && std::chrono::steady_clock::now() - asked < std::chrono::seconds(5))
      quiet(5);
    EXPECT_EQ(client.answers.size(), 2U) << error << "\n" << router_->log();
  }
}

// After EINTR (interrupted) or EPERM (forbidden by a firewall rule) the connection is still in the queue.
TEST_F(Waits, AcceptIsInterrupted_IsRetried) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  for (const std::string error : {"EINTR", "EPERM"}) {
    start({"accept/1x3:" + error, 1, "", false});
    router_->counts().arm(true);
    FakeClient client(io, address_);
    client.ask(a_read());
    ASSERT_TRUE(wait_for([&] { return client.answers.size() == 1; })) << error << "\n" << router_->log();
    EXPECT_EQ(client.status(), 200);
    EXPECT_EQ(router_->counts().faults(Call::accept), 3U) << error;
  }
}

// An accept() that always fails must not be repeated without a pause, whatever its error is.
TEST_F(Waits, AcceptAlwaysFails_IsRetriedAtALowRate) {
  start({"accept/1:EPERM", 1, "", false});
  router_->counts().arm(true);
  FakeClient client(io, address_);
  ASSERT_TRUE(wait_for([&] { return router_->counts().faults(Call::accept) >= 1; }));
  const std::uint64_t accepts = calls(Call::accept);
  quiet(1'000);
  EXPECT_LE(calls(Call::accept) - accepts, kMaxAcceptsInASecond + kMaxSkippedAtOnce);
}

// Connections in the kernel's queue are accepted before the listener closes, even if accept() fails
// meanwhile.
TEST_F(Waits, AcceptFailsDuringShutdown_QueuedClientsAreServed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  for (const std::string fault : {"accept/1x4:EPERM", "accept/1x4:EMFILE", "accept/1x4:EINTR"}) {
    start({fault, 1, "", false});
    router_->signal(SIGTERM);
    quiet(300);
    // The process is stopped until the time to accept has passed, so that the client is only in the kernel's
    // queue.
    router_->signal(SIGSTOP);
    router_->counts().arm(true);
    FakeClient client(io, address_);
    client.ask(a_read());
    ::usleep(400'000);
    router_->signal(SIGCONT);
    ASSERT_TRUE(wait_for([&] { return client.answers.size() == 1 || router_->ended(); })) << fault;
    ASSERT_EQ(client.answers.size(), 1U)
        << fault << ", accepts " << calls(Call::accept) << ", of which failed "
        << router_->counts().faults(Call::accept) << "\n"
        << router_->log();
    EXPECT_EQ(client.status(), 200) << fault;
    ASSERT_TRUE(ends(*router_));
    EXPECT_EQ(router_->exit_code(), 0) << router_->log();
  }
}

TEST_F(Waits, EverySecondWaitIsInterrupted_RequestsAreServed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start({"wait/2:EINTR"});
  FakeClient client(io, address_);
  for (std::size_t i = 1; i <= 20; ++i) {
    client.ask(a_read());
    ASSERT_TRUE(wait_for([&] { return client.answers.size() == i; }));
    EXPECT_EQ(client.status(i - 1), 200);
  }
  EXPECT_GE(router_->counts().faults(Call::wait), 10U);
}

// An upstream connection that fails after the request was sent counts as reset: a read is sent to another
// server, a write that may have run is not sent again.
TEST_F(Waits, ConnectionFailsAfterTheRequestWasSent_CountsAsReset) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  origin.answer = [](const std::string&) { return response(200, "y"); };
  for (const std::string error : {"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"}) {
    start({"server_receive/1x1:" + error, 1, "", false});
    FakeClient client(io, address_);
    const std::size_t reads = cache.requests.size() + origin.requests.size();
    router_->counts().arm(true);
    client.ask(a_read());
    ASSERT_TRUE(wait_for([&] { return client.answers.size() == 1; })) << error;
    EXPECT_EQ(client.status(), 200) << error;
    EXPECT_EQ(cache.requests.size() + origin.requests.size(), reads + 2) << error;
    EXPECT_EQ(router_->counts().faults(Call::server_receive), 1U);

    start({"server_receive/1x1:" + error, 1, "", false});
    FakeClient writer(io, address_);
    const std::size_t writes = origin.requests.size();
    router_->counts().arm(true);
    writer.ask(request_text("PUT", "/pay/7f3a9c21e0b4d655", "pay", "value"));
    ASSERT_TRUE(wait_for([&] { return writer.answers.size() == 1; })) << error;
    EXPECT_EQ(writer.status(), 502) << error;
    quiet(300);
    EXPECT_EQ(origin.requests.size(), writes + 1) << error;
  }
}

// The connection fails before any byte of the request was sent, so that even a write may be sent again.
TEST_F(Waits, ConnectionFailsBeforeTheFirstByte_WriteIsSentAgain) {
  origin.answer = [](const std::string&) { return response(200, "y"); };
  for (const std::string error : {"ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS"}) {
    start({"server_send/1x1:" + error, 1, "", false});
    FakeClient writer(io, address_);
    const std::size_t writes = origin.requests.size();
    router_->counts().arm(true);
    writer.ask(request_text("PUT", "/pay/7f3a9c21e0b4d655", "pay", "value"));
    ASSERT_TRUE(wait_for([&] { return writer.answers.size() == 1; })) << error;
    EXPECT_EQ(writer.status(), 200) << error;
    EXPECT_EQ(origin.requests.size(), writes + 1) << error;
    EXPECT_EQ(router_->counts().faults(Call::server_send), 1U);
  }
}

}  // namespace
}  // namespace streampick::test
