// A client whose servers speak RESP, set by an options file as for the daemon.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

#include "standin/platform.h"
#include "standin/resp_cache.h"
#include "streampick/client.h"

namespace streampick::test {
namespace {

using namespace std::chrono_literals;

struct RespServers : ::testing::Test {
  RespServers() {
    std::vector<standin::PlatformMember> members;
    for (std::size_t i = 0; i < 3; ++i) {
      servers.push_back(std::make_unique<standin::RespCache>(io));
      members.push_back({"s-" + std::to_string(i), servers.back()->address(), i == 2});
    }
    discovery = std::make_unique<standin::StaticDiscovery>(io, members);
    settings.config = standin::router_config("127.0.0.1:1", discovery->address(), members, 256).dump();
    settings.options = "[resp.servers]\nsend_ids = true\n";
    thread = std::thread([this] {
      while (!done) {
        io.restart();
        io.run_for(20ms);
      }
    });
  }
  ~RespServers() override {
    done = true;
    thread.join();
  }
  // Runs on the servers' thread.
  template <class What>
  auto on(What what) {
    std::packaged_task<decltype(what())()> task(what);
    auto out = task.get_future();
    boost::asio::post(io, [&] { task(); });
    return out.get();
  }

  boost::asio::io_context io{1};
  std::vector<std::unique_ptr<standin::RespCache>> servers;  // the last is the origin
  std::unique_ptr<standin::StaticDiscovery> discovery;
  ClientSettings settings;
  std::atomic<bool> done{false};
  std::thread thread;
};

TEST_F(RespServers, ReadsAndSaves_AreServedAndMissesFillTheCache) {
  on([&] {
    for (auto& one : servers) one->values["everywhere"] = "v";
    servers[2]->values["at the origin"] = "w";
  });
  Client client(settings);
  EXPECT_EQ(client.get("everywhere").get().value, "v");
  EXPECT_EQ(client.get("at the origin").get().value, "w");
  for (int i = 0; i < 5'000 && on([&] { return servers[0]->stores + servers[1]->stores; }) == 0; ++i)
    std::this_thread::sleep_for(1ms);
  EXPECT_EQ(on([&] { return servers[0]->stores + servers[1]->stores; }), 1U);
  const Result none = client.get("nowhere").get();
  EXPECT_TRUE(none.status == Status::not_found && none.not_found);
  EXPECT_FALSE(none.reason.empty());
  EXPECT_EQ(client.counts().not_found, 1U);
  EXPECT_EQ(client.counts().failed, 0U);
  EXPECT_EQ(client.put("mark", "ink").get().status, Status::served);
  EXPECT_EQ(on([&] { return servers[2]->values["mark"]; }), "ink");
}

TEST_F(RespServers, ConnectionClosedDuringSave_ExecutesTheSaveOnceAtMost) {
  on([&] {
    servers[2]->script = [n = 0](const std::vector<std::string>&, std::size_t) mutable {
      return standin::Fault{n++ % 2 == 0 ? standin::Fault::Kind::close : standin::Fault::Kind::none};
    };
  });
  Client client(settings);
  for (int i = 0; i < 20; ++i) client.put("mark-" + std::to_string(i), "ink").get();
  const auto executions = on([&] { return servers[2]->executions; });
  EXPECT_FALSE(executions.empty());
  for (const auto& [what, times] : executions) EXPECT_EQ(times, 1U) << what;
}

// Messages of the constructor go to the host's log function, not to standard error.
TEST_F(RespServers, SendIdsIsFalse_WarnsInTheHostsLog) {
  std::mutex mutex;  // the client's I/O thread may log too
  std::string said;
  settings.options = "[resp.servers]\nsend_ids = false\n";
  settings.log = [&](std::string_view text) {
    const std::lock_guard lock(mutex);
    said += text;
  };
  const Client client(settings);
  const std::lock_guard lock(mutex);
  EXPECT_NE(said.find("keyed classes count as unsafe"), std::string::npos) << said;
}

TEST_F(RespServers, UnknownOption_ThrowsAnErrorOfOneLine) {
  settings.options = "[resp.servers]\nconnection = 4\n";
  try {
    const Client client(settings);
    ADD_FAILURE();
  } catch (const ClientError& error) {
    EXPECT_STREQ(error.what(), "streampick client: options:2: resp.servers.connection: there is no such key");
  }
}

}  // namespace
}  // namespace streampick::test
