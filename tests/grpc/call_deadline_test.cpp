// The wall clock steps while a call is open: the deadline must not move in real time.
#include "grpc/call_deadline.h"

#include <google/protobuf/descriptor.h>
#include <grpcpp/create_channel.h>
#include <gtest/gtest.h>

#include "grpc/routed_call.h"
#include "plugin/fleet.h"
#include "streampick/grpc.h"
#include "streampick/tiles.grpc.pb.h"

namespace streampick::rpc {
namespace {

using namespace std::chrono_literals;

// Steps after its first reading of each clock, which the start of a call makes.
struct SteppedClock final : CallClock {
  std::chrono::system_clock::time_point wall() const override {
    return wall_start + (wall_reads++ > 0 ? step : 0s);
  }
  std::chrono::steady_clock::time_point monotonic() const override {
    return monotonic_start + (monotonic_reads++ > 0 ? passes : 0s);
  }
  std::chrono::system_clock::time_point wall_start = std::chrono::system_clock::now();
  std::chrono::steady_clock::time_point monotonic_start = std::chrono::steady_clock::now();
  std::chrono::seconds step{0}, passes{0};
  mutable std::atomic<int> wall_reads{0}, monotonic_reads{0};
};

struct CallDeadlineSteps : ::testing::TestWithParam<std::chrono::seconds> {};

TEST_P(CallDeadlineSteps, WallClockStep_DoesNotMoveTheDeadline) {
  for (const auto passes : {4s, 5s}) {
    SteppedClock clock;
    clock.step = GetParam();
    clock.passes = passes;
    const CallDeadline deadline(clock.wall_start + 5s, clock);
    EXPECT_EQ(deadline.left(), 5s);
    EXPECT_EQ(deadline.is_over(), passes == 5s);
  }
}

TEST(CallDeadline, NoDeadline_IsNeverOver) {
  const CallClock clock;
  const CallDeadline none(std::chrono::system_clock::time_point::max(), clock);
  EXPECT_FALSE(none.left());
  EXPECT_FALSE(none.is_over());
}

// Intercepts the calls of a channel with the test's clock.
class Factory final : public grpc::experimental::ClientInterceptorFactoryInterface {
 public:
  Factory(Client& client, const CallClock& clock)
      : client_(client),
        clock_(clock),
        routes_({{"streampick.tiles.Tiles/ReadTile", "tile-read", false, "{sheet}", ""}}, {},
                *google::protobuf::DescriptorPool::generated_pool(),
                [&](const std::string& name) { return client.is_safe(name); }) {}
  grpc::experimental::Interceptor* CreateClientInterceptor(grpc::experimental::ClientRpcInfo* call) override {
    return new RoutedCall(client_, *routes_.find(call->method()), names_, clock_, call->client_context());
  }

 private:
  Client& client_;
  const CallClock& clock_;
  RouteTable routes_;
  MetadataNames names_;
};

// A rejection before the call's deadline is UNAVAILABLE, one after it is DEADLINE_EXCEEDED.
TEST_P(CallDeadlineSteps, WallClockStepDuringACall_DoesNotChangeItsStatus) {
  for (const auto passes : {1s, 10s}) {
    test::StandinFleet fleet;
    fleet.on([&] { fleet.servers.clear(); });  // connections are refused
    Client client(fleet.settings);
    SteppedClock clock;
    clock.step = GetParam();
    clock.passes = passes;
    std::vector<std::unique_ptr<grpc::experimental::ClientInterceptorFactoryInterface>> creators;
    creators.push_back(std::make_unique<Factory>(client, clock));
    const auto channel = grpc::experimental::CreateCustomChannelWithInterceptors(
        "ipv4:127.0.0.1:9", grpc::InsecureChannelCredentials(), {}, std::move(creators));
    const auto stub = tiles::Tiles::NewStub(channel);
    grpc::ClientContext context;
    context.set_deadline(clock.wall_start + 5s);
    tiles::ReadTileRequest request;
    request.set_sheet("N48");
    tiles::ReadTileResponse response;
    const grpc::StatusCode code = stub->ReadTile(&context, request, &response).error_code();
    EXPECT_EQ(code, passes < 5s ? grpc::StatusCode::UNAVAILABLE : grpc::StatusCode::DEADLINE_EXCEEDED);
  }
}

INSTANTIATE_TEST_SUITE_P(WallClock, CallDeadlineSteps, ::testing::Values(5s, -5s, 3'600s, -3'600s),
                         [](const auto& info) {
                           const auto seconds = info.param.count();
                           return (seconds < 0 ? "Backward" : "Forward") + std::to_string(std::abs(seconds)) +
                                  "s";
                         });

}  // namespace
}  // namespace streampick::rpc
