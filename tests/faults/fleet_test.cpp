// Membership gossip while system calls on its sockets fail: the routers must agree on the view, and must not
// call in a busy loop.
#include "faults/faulty_router.h"

namespace streampick::test {
namespace {

using faults::Call;

class FleetUnderFaults : public RouterUnderFaults {
 protected:
  static constexpr std::size_t kRouters = 3;

  struct Member {
    net::tcp::endpoint listen, management;
    std::unique_ptr<FaultyRouter> process;
  };

  /// Starts the routers of one fleet, each with the addresses of all as seeds.
  void start(const std::string& faults, bool armed) {
    std::string seeds;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < kRouters; ++i) {
      addresses.push_back(free_datagram_address());
      seeds += (i == 0 ? "\"" : ", \"") + addresses.back() + "\"";
    }
    for (std::size_t i = 0; i < kRouters; ++i) {
      const std::string name = "n" + std::to_string(i);
      Member member{free_address(), free_address(), nullptr};
      nlohmann::json own = config(member.listen);
      own["name"] = name;
      own["settings"]["PolicyLimits"]["PeerMessages"] = true;
      const std::string options =
          "[fleet]\nlisten = \"" + addresses[i] + "\"\nperiod_ms = 300\nseeds = [" + seeds + "]\n";
      member.process = std::make_unique<FaultyRouter>(
          "fleet_" + name, own, FaultPlan{faults, i + 1, "", armed},
          Environment{{"NODE_MANAGEMENT", text_of(member.management)}}, options);
      members_.push_back(std::move(member));
    }
  }
  /// Returns how many routers `member` counts as alive, including itself; 0 if it does not answer.
  std::size_t count_alive(const Member& member) {
    net::tcp::socket socket(io);
    net::error_code error;
    socket.connect(member.management, error);
    if (error) return 0;
    asio::write(socket, asio::buffer(std::string("FLEET\n")), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    const auto view = nlohmann::json::parse(answer.substr(0, answer.find('\n')), nullptr, false);
    return view.is_object() ? view.value("alive", std::size_t{0}) : 0;
  }
  [[nodiscard]] bool settles() {
    return wait_for([&] {
      quiet(50);
      return std::all_of(members_.begin(), members_.end(),
                         [&](const Member& member) { return count_alive(member) == kRouters; });
    });
  }
  std::string views() {
    std::string out;
    for (const Member& member : members_)
      out += std::to_string(count_alive(member)) + "\n" + member.process->log();
    return out;
  }

  std::vector<Member> members_;

 private:
  using Environment = std::vector<std::pair<std::string, std::string>>;

  std::string free_datagram_address() {
    asio::ip::udp::socket free(io, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(free.local_endpoint().port());
  }
};

TEST_F(FleetUnderFaults, OneOfTenCallsFails_ViewSettles) {
  start("socket/10 bind/10 watch/10 wait/10 accept/10 peer_receive/10 peer_send/10", true);
  EXPECT_TRUE(settles()) << views();
  for (const Member& member : members_) {
    EXPECT_GT(member.process->counts().all_faults(), 0U);
    member.process->signal(SIGTERM);
  }
  for (const Member& member : members_) {
    EXPECT_TRUE(ends(*member.process));
    EXPECT_EQ(member.process->exit_code(), 0) << member.process->log();
  }
}

TEST_F(FleetUnderFaults, ReceiveFailsTemporarily_IsRetriedAtALowRateAndRecovers) {
  constexpr std::uint64_t kMaxReadsInASecond = 1'200;  // 16 reads every 20 ms are 800; the rest is for timers
  start("peer_receive/1:ENOMEM", false);
  ASSERT_TRUE(settles()) << views();
  SharedCounts& counts = members_[0].process->counts();
  counts.arm(true);
  ASSERT_TRUE(wait_for([&] { return counts.faults(Call::peer_receive) > 0; }));
  const std::uint64_t reads = counts.calls(Call::peer_receive);
  const std::uint64_t waits = counts.calls(Call::wait);
  quiet(1'000);
  EXPECT_LE(counts.calls(Call::peer_receive) - reads, kMaxReadsInASecond);
  EXPECT_LE(counts.calls(Call::wait) - waits, kMaxReadsInASecond);
  counts.arm(false);
  EXPECT_TRUE(settles()) << views();
}

TEST_F(FleetUnderFaults, SendFailsTemporarily_ViewSettlesAfterwards) {
  start("peer_send/1:ENOBUFS+EAGAIN+ENETUNREACH", false);
  ASSERT_TRUE(settles()) << views();
  SharedCounts& counts = members_[0].process->counts();
  counts.arm(true);
  ASSERT_TRUE(wait_for([&] { return counts.faults(Call::peer_send) >= 5; }));
  counts.arm(false);
  EXPECT_TRUE(settles()) << views();
}

}  // namespace
}  // namespace streampick::test
