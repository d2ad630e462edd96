// Waits and accepts that fail: nothing spins, and nothing waits for an event that does not come.
#include "faults/faulty_router.h"

namespace streampick::test {
namespace {

using faults::Call;

/// accept() at most once in 20 ms, and what a moment of 1 s may be off by on a busy machine.
constexpr std::uint64_t kMaxAcceptsInASecond = 60;
/// Failed connections that are passed over without a pause.
constexpr std::uint64_t kPassedOverAtOnce = 16;
/// Each of these accepts has a timer's wait beside it; other timers of the router run each 100 ms.
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

TEST_F(Waits, OutOfDescriptorsAcceptIsTriedAgainSeldomAndTheClientIsServedOnceThereIsOne) {
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

// The connection that failed in the queue is passed over, and those behind it are taken at once.
TEST_F(Waits, BehindAConnectionThatFailedInTheQueueTheNextIsTakenAtOnce) {
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

// The loop must not stand still until one more comes.
TEST_F(Waits, BehindTheOnlyConnectionThatFailedInTheQueueOthersAreServed) {
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

// Interrupted, or kept from it by a rule: the connection is still there.
TEST_F(Waits, AnAcceptThatIsInterruptedIsMadeAgain) {
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

// An accept that fails for good must not spin either, whatever it says.
TEST_F(Waits, AnAcceptThatAlwaysFailsDoesNotSpin) {
  start({"accept/1:EPERM", 1, "", false});
  router_->counts().arm(true);
  FakeClient client(io, address_);
  ASSERT_TRUE(wait_for([&] { return router_->counts().faults(Call::accept) >= 1; }));
  const std::uint64_t accepts = calls(Call::accept);
  quiet(1'000);
  EXPECT_LE(calls(Call::accept) - accepts, kMaxAcceptsInASecond + kPassedOverAtOnce);
}

// What the kernel has accepted is taken before the listener closes, also past failures.
TEST_F(Waits, ToldToStopTheQueueIsTakenThoughAcceptFails) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  for (const std::string fault : {"accept/1x4:EPERM", "accept/1x4:EMFILE", "accept/1x4:EINTR"}) {
    start({fault, 1, "", false});
    router_->signal(SIGTERM);
    quiet(300);
    // Stopped until accepting has to end: the client is in the kernel's queue alone.
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

TEST_F(Waits, AWaitThatIsInterruptedEachSecondTimeIsWaitedAgain) {
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

// A connection that fails under a request, with its last byte out: as one that was reset. A read is asked of
// another server, a write that may have run is not sent again.
TEST_F(Waits, ALiveConnectionThatFailsCountsAsReset) {
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

// Not a byte of it had left: also a write may be sent again.
TEST_F(Waits, ALiveConnectionThatFailsBeforeTheFirstByteIsNoAttemptThatRan) {
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
