// A router's start while system calls fail: temporary errors must be retried, permanent ones must end the
// process.
#include "faults/faulty_router.h"

namespace streampick::test {
namespace {

using faults::Call;

constexpr std::chrono::seconds kMaxStartTime{10};

/// Checks that the process exited with `code` and that its log ends with one line that contains `reason`.
::testing::AssertionResult ended_for(FaultyRouter& router, int code, const std::string& reason) {
  const std::string log = router.log();
  const std::size_t at = log.rfind("streampick_router: ");
  const bool names_sources = at != std::string::npos && log.find(".hpp", at) != std::string::npos;
  if (router.exit_code() == code && at != std::string::npos && log.find(reason, at) != std::string::npos &&
      !names_sources && log.find('\n', at) == log.size() - 1)
    return ::testing::AssertionSuccess();
  return ::testing::AssertionFailure() << "exit code " << router.exit_code() << ", log:\n" << log;
}

TEST_F(RouterUnderFaults, OneOfTenCallsFails_EveryRouterBecomesReady) {
  constexpr std::uint64_t kRouters = 40;
  constexpr std::uint64_t kBatch = 8;
  std::uint64_t faulted = 0;
  for (std::uint64_t first = 1; first <= kRouters; first += kBatch) {
    const auto began = std::chrono::steady_clock::now();
    std::vector<std::pair<std::unique_ptr<FaultyRouter>, net::tcp::endpoint>> routers;
    for (std::uint64_t seed = first; seed < first + kBatch; ++seed) {
      const net::tcp::endpoint address = free_address();
      routers.emplace_back(
          std::make_unique<FaultyRouter>(
              std::to_string(seed), config(address),
              FaultPlan{"loop/10 socket/10 bind/10 listen/10 watch/10 connect/10 accept/10 wait/10", seed}),
          address);
    }
    for (const auto& [router, address] : routers) {
      EXPECT_TRUE(becomes_ready(*router, address)) << router->exit_code() << "\n" << router->log();
      faulted += router->counts().all_faults() > 0 ? 1 : 0;
    }
    EXPECT_LT(std::chrono::steady_clock::now() - began, kMaxStartTime);
    for (const auto& [router, address] : routers) router->signal(SIGTERM);
    for (const auto& [router, address] : routers) {
      EXPECT_TRUE(ends(*router));
      EXPECT_EQ(router->exit_code(), 0) << router->log();
    }
  }
  EXPECT_GE(faulted, kRouters / 2);
}

TEST_F(RouterUnderFaults, TemporaryErrorAtStart_IsRetried) {
  for (const std::string fault :
       {"loop/1x2:EMFILE", "loop/1x2:ENFILE", "loop/1x2:ENOMEM", "socket/1x4:EMFILE", "socket/1x4:ENFILE",
        "socket/1x4:ENOBUFS", "socket/1x4:ENOMEM", "bind/1x4:EAGAIN", "bind/1x4:ENOBUFS", "bind/1x4:ENOMEM",
        "listen/1x4:ENOBUFS", "watch/1x4:ENOMEM", "watch/1x4:ENOSPC", "connect/1x4:ENETUNREACH"}) {
    const net::tcp::endpoint address = free_address();
    FaultyRouter router("moment", config(address), {fault});
    EXPECT_TRUE(becomes_ready(router, address)) << fault << "\n" << router.log();
    EXPECT_GE(router.counts().all_faults(), 1U) << fault;
    router.signal(SIGTERM);
    EXPECT_TRUE(ends(router)) << fault;
    EXPECT_EQ(router.exit_code(), 0) << fault << "\n" << router.log();
  }
}

TEST_F(RouterUnderFaults, PermanentErrorOfTheListenAddress_EndsTheProcessWithTheReason) {
  const net::tcp::endpoint address = free_address();
  for (const auto& [fault, reason] :
       {std::pair("bind/1:EADDRINUSE", "Address already in use"),
        std::pair("bind/1:EADDRNOTAVAIL", "Cannot assign requested address"),
        std::pair("bind/1:EACCES", "Permission denied"), std::pair("socket/1:EACCES", "Permission denied")}) {
    FaultyRouter router("never", config(address), {fault});
    ASSERT_TRUE(ends(router)) << fault;
    EXPECT_TRUE(ended_for(router, 1, "listen on " + text_of(address) + ": " + reason)) << fault;
  }
  // The same without injected faults: another socket listens on the address.
  const net::tcp::acceptor taken(io, any_port());
  FaultyRouter router("taken", config(taken.local_endpoint()), {""});
  ASSERT_TRUE(ends(router));
  EXPECT_TRUE(ended_for(router, 1, "Address already in use"));
}

TEST_F(RouterUnderFaults, AddressInUseAfterTemporaryErrors_EndsTheProcess) {
  const net::tcp::acceptor taken(io, any_port());
  FaultyRouter router("late", config(taken.local_endpoint()), {"socket/1x3:EMFILE"});
  ASSERT_TRUE(ends(router));
  EXPECT_TRUE(ended_for(router, 1, "Address already in use"));
  EXPECT_GE(router.counts().faults(Call::socket), 1U);
}

TEST_F(RouterUnderFaults, SigtermDuringListenRetries_EndsTheProcess) {
  FaultyRouter router("term", config(free_address()), {"socket/1:EMFILE"});
  ASSERT_TRUE(wait_for([&] { return router.counts().faults(Call::socket) >= 3; }));
  router.signal(SIGHUP);
  router.signal(SIGTERM);
  ASSERT_TRUE(ends(router));
  EXPECT_EQ(router.exit_code(), 0) << router.log();
}

TEST_F(RouterUnderFaults, TemporaryErrorOfTheManagementAddress_IsRetriedAndHealthReportsServing) {
  const net::tcp::endpoint address = free_address();
  const net::tcp::endpoint management = free_address();
  FaultyRouter router("health", config(address), {"bind/1x7:ENOBUFS"},
                      {{"NODE_MANAGEMENT", text_of(management)}});
  const auto health = [&] {
    net::tcp::socket socket(io);
    net::error_code error;
    socket.connect(management, error);
    if (error) return std::string();
    asio::write(socket, asio::buffer(std::string("HEALTH\n")), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  };
  std::string told;
  ASSERT_TRUE(wait_for([&] {
    told = health();
    return told.rfind("ACK serving", 0) == 0 || router.ended();
  })) << told;
  EXPECT_FALSE(router.ended()) << router.log();
  EXPECT_TRUE(is_up(address));
}

// The previous process also holds the listening socket, so that requests wait in its queue during the
// retries.
TEST_F(RouterUnderFaults, TemporaryErrorOfAPassedSocket_IsRetried) {
  net::tcp::acceptor door(io, any_port());
  const int kept = ::dup(3);  // keeps the test's own descriptor 3
  ASSERT_EQ(::dup2(door.native_handle(), 3), 3);
  ::fcntl(3, F_SETFD, 0);
  FaultyRouter router("passed", config(door.local_endpoint()), {"watch/1x4:ENOMEM socket/1x2:EMFILE"},
                      {{"NODE_PASSED_SOCKET", "3"}});
  if (kept >= 0) ::dup2(kept, 3);
  if (kept >= 0) ::close(kept);
  EXPECT_TRUE(becomes_ready(router, door.local_endpoint())) << router.log();
  EXPECT_GE(router.counts().faults(Call::watch), 1U);
}

TEST_F(RouterUnderFaults, DiscoveryAddressChangesWhileSocketsFail_NewAddressIsWatched) {
  const net::tcp::endpoint address = free_address();
  FaultyRouter router("reload", config(address), {"socket/1:EMFILE", 1, "", false});
  ASSERT_TRUE(becomes_ready(router, address)) << router.log();
  net::tcp::acceptor next(io, any_port());
  bool is_watched = false;
  next.async_accept([&](net::error_code error, net::tcp::socket) { is_watched = !error; });
  nlohmann::json moved = config(address);
  moved["discovery"] = text_of(next.local_endpoint());
  router.configure(moved);
  router.counts().arm(true);
  router.signal(SIGHUP);
  ASSERT_TRUE(wait_for([&] { return router.counts().faults(Call::socket) >= 2; }));
  EXPECT_FALSE(is_watched);
  router.counts().arm(false);
  EXPECT_TRUE(wait_for([&] { return is_watched; })) << router.log();
}

}  // namespace
}  // namespace streampick::test
