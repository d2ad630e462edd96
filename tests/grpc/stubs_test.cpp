// Stubs that protoc generates, on a channel that a Client routes to stand-in caches.
#include <grpcpp/generic/generic_stub.h>
#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "plugin/fleet.h"
#include "streampick/grpc.h"
#include "streampick/tiles.grpc.pb.h"

namespace streampick::test {
namespace {

using namespace std::chrono_literals;
using grpc::ClientContext;
using grpc::StatusCode;
using tiles::ReadTileRequest;
using tiles::ReadTileResponse;
using tiles::Tiles;

ReadTileRequest tile(int n) {
  ReadTileRequest out;
  out.set_sheet("N48");
  out.mutable_tile()->set_x(static_cast<std::uint32_t>(n));
  return out;
}

// Calls a method without a route; `meanwhile` runs after the call was started.
grpc::Status unrouted(const std::shared_ptr<grpc::Channel>& channel, ClientContext& context,
                      const std::function<void()>& meanwhile) {
  grpc::GenericStub generic(channel);
  grpc::CompletionQueue queue;
  grpc::ByteBuffer request, reply;
  grpc::Status status;
  const auto call = generic.PrepareUnaryCall(&context, "/a.B/C", request, &queue);
  call->StartCall();
  call->Finish(&reply, &status, &status);
  meanwhile();
  void* tag = nullptr;
  bool ok = false;
  EXPECT_TRUE(queue.Next(&tag, &ok));
  return status;
}

struct GrpcStubs : ::testing::Test {
  explicit GrpcStubs(rpc::ChannelSettings settings = {.services = {"streampick.tiles.Tiles"}})
      : channel(rpc::open_channel(client, settings)), stub(Tiles::NewStub(channel)) {}

  grpc::Status read(int n, std::chrono::milliseconds deadline = 5s) {
    ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + deadline);
    return stub->ReadTile(&context, tile(n), &response);
  }
  static std::string trailing(const ClientContext& context, const char* name) {
    const auto& all = context.GetServerTrailingMetadata();
    const auto found = all.find(name);
    return found == all.end() ? "" : std::string(found->second.data(), found->second.size());
  }

  StandinFleet fleet;
  std::shared_ptr<Client> client = std::make_shared<Client>(fleet.settings);
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<Tiles::Stub> stub;
  ReadTileResponse response;
};

TEST_F(GrpcStubs, ReadAndSave_AreServed) {
  ASSERT_TRUE(read(1).ok());
  EXPECT_EQ(response.image(), "tile");
  ClientContext context;
  context.AddMetadata("idempotency-key", "k-1");
  tiles::SaveAnnotationRequest save;
  save.set_sheet("N48");
  save.set_annotation("a");
  save.set_drawing("ink");
  tiles::SaveAnnotationResponse saved;
  EXPECT_TRUE(stub->SaveAnnotation(&context, save, &saved).ok());
  EXPECT_EQ(client->counts().served, 2U);
}

TEST_F(GrpcStubs, QueueFunctionAndReactorCalls_EndOnceAsServed) {
  {
    ClientContext context;
    grpc::CompletionQueue queue;
    grpc::Status status;
    const auto call = stub->AsyncReadTile(&context, tile(1), &queue);
    call->Finish(&response, &status, this);
    void* tag = nullptr;
    bool ok = false;
    ASSERT_TRUE(queue.Next(&tag, &ok));
    EXPECT_TRUE(ok && tag == this && status.ok()) << status.error_message();
  }
  std::mutex mutex;
  std::condition_variable ended;
  int ends = 0;
  const auto wait_for = [&](int all) {
    std::unique_lock lock(mutex);
    return ended.wait_for(lock, 10s, [&] { return ends == all; });
  };
  const auto count = [&](const grpc::Status& status) {
    EXPECT_TRUE(status.ok()) << status.error_message();
    const std::lock_guard lock(mutex);
    ++ends;
    ended.notify_all();
  };
  ClientContext by_function;
  const ReadTileRequest request = tile(2);
  stub->async()->ReadTile(&by_function, &request, &response, count);
  ASSERT_TRUE(wait_for(1));
  struct Reactor final : grpc::ClientUnaryReactor {
    std::function<void(const grpc::Status&)> done;
    void OnDone(const grpc::Status& status) override { done(status); }
  } reactor;
  reactor.done = count;
  ClientContext by_reactor;
  stub->async()->ReadTile(&by_reactor, &request, &response, &reactor);
  reactor.StartCall();
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(client->counts().served, 3U);
}

TEST_F(GrpcStubs, Deadline_EndsTheCallAndAPassedOneSendsNothing) {
  fleet.delay(30s);
  // The router may reject the call shortly before its deadline, as the daemon does: that is UNAVAILABLE.
  const StatusCode code = read(1, 200ms).error_code();
  EXPECT_TRUE(code == StatusCode::DEADLINE_EXCEEDED || code == StatusCode::UNAVAILABLE) << code;
  const std::uint64_t calls = client->counts().calls;
  EXPECT_EQ(read(2, -1ms).error_code(), StatusCode::DEADLINE_EXCEEDED);
  EXPECT_EQ(client->counts().calls, calls);
}

TEST_F(GrpcStubs, TryCancel_CancelsTheClientsCall) {
  fleet.delay(5s);
  ClientContext context;
  std::thread other([&] {
    while (fleet.requests() == 0) std::this_thread::sleep_for(1ms);
    context.TryCancel();
  });
  EXPECT_EQ(stub->ReadTile(&context, tile(1), &response).error_code(), StatusCode::CANCELLED);
  other.join();
  EXPECT_EQ(client->counts().cancelled, 1U);
}

TEST_F(GrpcStubs, TryCancelBeforeTheCall_SendsNothing) {
  ClientContext context;
  context.TryCancel();
  EXPECT_EQ(stub->ReadTile(&context, tile(1), &response).error_code(), StatusCode::CANCELLED);
  EXPECT_EQ(client->counts().calls, 0U);
}

TEST_F(GrpcStubs, RejectionOrDrainedClient_IsUnavailable) {
  fleet.on([&] { fleet.servers.clear(); });  // connections are refused
  ClientContext context;
  EXPECT_EQ(stub->ReadTile(&context, tile(1), &response).error_code(), StatusCode::UNAVAILABLE);
  EXPECT_GT(std::atoi(trailing(context, "grpc-retry-pushback-ms").c_str()), 0);
  client->drain(1s);
  EXPECT_EQ(read(2).error_code(), StatusCode::UNAVAILABLE);
  EXPECT_EQ(client->counts().cancelled, 1U);
}

TEST_F(GrpcStubs, MissingKeyFieldOrUnknownTenant_IsAnInvalidArgument) {
  ClientContext context;
  EXPECT_EQ(stub->ReadTile(&context, {}, &response).error_code(), StatusCode::INVALID_ARGUMENT);
  ClientContext stranger;
  stranger.AddMetadata("x-org", "nobody");
  EXPECT_EQ(stub->ReadTile(&stranger, tile(1), &response).error_code(), StatusCode::INVALID_ARGUMENT);
  EXPECT_EQ(fleet.requests(), 0U);
}

TEST_F(GrpcStubs, MethodWithoutARoute_IsUnimplemented) {
  ClientContext context;
  const grpc::Status status = unrouted(channel, context, [] {});
  EXPECT_EQ(status.error_code(), StatusCode::UNIMPLEMENTED);
}

// The value is the whole response message, or cannot be parsed as one.
TEST(GrpcStubsWholeMessage, RouteWithoutAValueField_ParsesTheWholeMessage) {
  ReadTileResponse kept;
  kept.set_image(std::string(300, 'x'));
  for (const bool good : {true, false}) {
    StandinFleet fleet(2, 0ms, good ? kept.SerializeAsString() : "\x0a\xff");
    const auto client = std::make_shared<Client>(fleet.settings);
    const auto stub = Tiles::NewStub(rpc::open_channel(
        client, {.routes = {{"streampick.tiles.Tiles/ReadTile", "tile-read", false, "{sheet}", ""}}}));
    ClientContext context;
    ReadTileResponse response;
    const grpc::Status status = stub->ReadTile(&context, tile(1), &response);
    EXPECT_EQ(status.error_code(), good ? StatusCode::OK : StatusCode::INTERNAL);
    EXPECT_EQ(response.image() == kept.image(), good);
  }
}

// A listener at the channel's target: only calls without a route may connect to it.
TEST(GrpcStubsTransport, RoutedCalls_OpenNoConnectionOfGrpc) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor listener(io, {boost::asio::ip::address_v4::loopback(), 0});
  listener.non_blocking(true);
  int connections = 0;
  const auto look = [&] {
    boost::system::error_code none;
    boost::asio::ip::tcp::socket socket(io);
    for (listener.accept(socket, none); !none; listener.accept(socket, none)) {
      ++connections;
      socket.close();
    }
  };
  StandinFleet fleet;
  const auto client = std::make_shared<Client>(fleet.settings);
  const auto channel = rpc::open_channel(
      client, {.services = {"streampick.tiles.Tiles"},
               .others_target = "ipv4:127.0.0.1:" + std::to_string(listener.local_endpoint().port())});
  const auto stub = Tiles::NewStub(channel);
  for (int i = 0; i < 50; ++i) {
    ClientContext context;
    ReadTileResponse response;
    // The second half fails: gRPC must not retry these calls over its own transport.
    if (i == 25) fleet.on([&] { fleet.servers.clear(); });
    stub->ReadTile(&context, tile(i), &response);
  }
  look();
  EXPECT_EQ(connections, 0);
  ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + 10s);
  unrouted(channel, context, [&] {
    while (connections == 0) look();
    context.TryCancel();
  });
}

// Calls of eight threads are served, late, cancelled or rejected. Each must end once, and the callers' and
// the client's counts must agree.
TEST_F(GrpcStubs, EightThreadsWithDeadlinesAndCancels_EveryCallEndsOnce) {
  constexpr int kThreads = 8, kEach = 60;
  std::array<std::atomic<int>, 17> codes{};
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t)
    threads.emplace_back([&, t] {
      for (int i = 0; i < kEach; ++i) {
        if (t == 0 && i % 10 == 0) fleet.delay(i % 20 == 0 ? 30ms : 0ms);
        ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + (i % 5 == 0 ? 10ms : 2'000ms));
        std::thread canceller;
        if (i % 7 == 0) canceller = std::thread([&] { context.TryCancel(); });
        ReadTileResponse mine;
        const grpc::Status status = stub->ReadTile(&context, tile(t * kEach + i), &mine);
        EXPECT_EQ(mine.image() == "tile", status.ok());
        ++codes.at(static_cast<std::size_t>(status.error_code()));
        if (canceller.joinable()) canceller.join();
      }
    });
  for (std::thread& thread : threads) thread.join();
  int all = 0;
  for (const auto& code : codes) all += code;
  EXPECT_EQ(all, kThreads * kEach);
  const ClientCounts counts = client->counts();
  EXPECT_EQ(counts.open, 0U);
  EXPECT_EQ(counts.calls,
            counts.served + counts.rejected + counts.failed + counts.cancelled + counts.invalid);
  EXPECT_EQ(counts.served, static_cast<std::uint64_t>(codes[StatusCode::OK]));
  EXPECT_GT(codes[StatusCode::OK], kThreads * kEach / 3);
}

TEST(GrpcStubsTwoChannels, FailingFleetOfOneChannel_DoesNotAffectTheOther) {
  StandinFleet failing, healthy;
  failing.on([&] { failing.servers.clear(); });
  const rpc::ChannelSettings settings{.services = {"streampick.tiles.Tiles"}};
  const auto a = Tiles::NewStub(rpc::open_channel(std::make_shared<Client>(failing.settings), settings));
  const auto b = Tiles::NewStub(rpc::open_channel(std::make_shared<Client>(healthy.settings), settings));
  for (int i = 0; i < 20; ++i) {
    ClientContext first, second;
    ReadTileResponse response;
    EXPECT_FALSE(a->ReadTile(&first, tile(i), &response).ok());
    EXPECT_TRUE(b->ReadTile(&second, tile(i), &response).ok());
  }
}

}  // namespace
}  // namespace streampick::test
