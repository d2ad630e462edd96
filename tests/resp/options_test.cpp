// Tests of the options file and the command line.
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "resp/resp_loopback.h"

namespace streampick::test {
namespace {

std::string error_of(const std::string& toml, const nlohmann::json& change = {}) {
  nlohmann::json config = config_json("127.0.0.1:9", list_json(1, true, {}));
  if (!change.is_null()) config.merge_patch(change);
  return options_error(toml, config);
}

TEST(RespOptions, InvalidOption_IsReportedInOneLineWithFileLineAndKey) {
  const std::string front = "[resp.front]\nlisten = \"127.0.0.1:1\"\nwrite_class = \"pay\"\n";
  EXPECT_EQ(error_of(front), "");
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"[resp.front]\n", "o.toml:1: resp.front.listen: it is missing"},
      {"[resp.front]\nlisten = \"localhost:1\"\n",
       "o.toml:2: resp.front.listen: expected ADDRESS:PORT, the address in numbers"},
      {front + "pipelin = 3\n", "o.toml:4: resp.front.pipelin: there is no such key"},
      {front + "pipeline = 0\n", "o.toml:4: resp.front.pipeline: expected a whole number from 1 to 4096"},
      {front + "pipeline = \"many\"\n",
       "o.toml:4: resp.front.pipeline: expected a whole number from 1 to 4096"},
      {front + "[[resp.front.users]]\nname = \"a\"\n",
       "o.toml:4: resp.front.users[0].password: it is missing"},
      {front + "[resp.servers]\nkinds = [\"tin\"]\n",
       "o.toml: resp.servers.kinds: 'tin' is not among the settings' Shapes"},
      {front + "[resp.servers]\nconnections = 4.5\n",
       "o.toml:5: resp.servers.connections: expected a whole number from 1 to 256"},
      {front + "[resp.servers]\nwrites_alone = 1\n",
       "o.toml:5: resp.servers.writes_alone: expected true or false"},
      {front + "[resp.servers]\nuser = \"u\"\n", "o.toml:5: resp.servers.user: a user needs a password"},
      {front + "read_class = \"pay\"\n", "o.toml: resp.front.read_class: 'pay' is not safe to repeat"},
      {front + "read_class = \"none\"\n",
       "o.toml: resp.front.read_class: 'none' is not among the settings' Profiles"},
      {front + "most_clients = 5000\n",
       "o.toml: resp.front.most_clients: of 150 descriptors for clients it must leave 8 to the HTTP side"},
      {front + "tenant = \"t\"\n", "o.toml: resp.front.tenant: 't' is not among the settings' Tenants"},
      {"[resp]\nfront = 3\n", "o.toml:2: resp.front: expected a table"},
      {"[overload]\ncrowd = 2\n", "o.toml:2: overload.crowd: expected a number from 0.01 to 1"},
      {"[overload]\ncrowd = \"a\"\n", "o.toml:2: overload.crowd: expected a number from 0.01 to 1"},
      {"[overload]\nclients_floor = 0.7\nservers_floor = 0.4\n",
       "o.toml:3: overload.servers_floor: with clients_floor it is more than the whole"},
      {"[overload]\ncrowded_idle_ms = 20000\n",
       "o.toml:2: overload.crowded_idle_ms: it is longer than calm_idle_ms"},
      {"[gossip]\n", "o.toml:1: gossip: there is no such key"},
      {"[[grpc.route]]\nmethod = \"a.B/C\"\nread = \"pay\"\nkey = \"{k}\"\n",
       "o.toml: grpc.route: a.B/C: the class pay is not for reads"},
  };
  for (const auto& [toml, error] : cases) EXPECT_EQ(error_of(toml), error) << toml;
  EXPECT_EQ(error_of("[resp.front\n").rfind("o.toml:1: ", 0), 0U);
  EXPECT_EQ(error_of("[resp.front\n").find('\n'), std::string::npos);
  EXPECT_NE(error_of("[resp.front]\nlisten = \"127.0.0.1:1\"\nwrite_class = \"save\"\n[resp.servers]\n")
                .find("resp.servers.send_ids: the class 'save' is keyed"),
            std::string::npos);
}

int run(const std::string& arguments, std::string& output) {
  const auto file =
      std::filesystem::path(::testing::TempDir()) / ("streampick_cli_" + std::to_string(::getpid()));
  const int status = std::system((arguments + " > '" + file.string() + "' 2>&1").c_str());
  std::ifstream in(file);
  output.assign(std::istreambuf_iterator<char>(in), {});
  std::filesystem::remove(file);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(RespOptions, CommandLine_ChecksAndDescribesOptions) {
  const std::string router = "env -u NODE_CONFIG " STREAMPICK_ROUTER " ";
  std::string out;
  EXPECT_EQ(run(router + "--version", out), 0);
  EXPECT_EQ(out.rfind("streampick_router ", 0), 0U);
  EXPECT_EQ(run(router + "--help", out), 0);
  EXPECT_NE(out.find("--options"), std::string::npos);
  EXPECT_EQ(run(router + "--nonsense", out), 2);
  EXPECT_EQ(std::count(out.begin(), out.end(), '\n'), 1) << out;
  EXPECT_EQ(run(router + "--check --options /nowhere.toml", out), 2);
  EXPECT_EQ(out, "streampick_router: /nowhere.toml: it can't be read\n");
  EXPECT_EQ(run(router + "--check --options " STREAMPICK_SOURCE "/deploy/examples/resp.toml", out), 0) << out;
  EXPECT_NE(out.find("resp.front: on"), std::string::npos) << out;
  EXPECT_EQ(run(router + "--check --options " STREAMPICK_SOURCE "/deploy/examples/overload.toml", out), 0)
      << out;
  EXPECT_NE(out.find("overload: minimum share of descriptors: clients 0.4, servers 0.3"), std::string::npos)
      << out;
  EXPECT_EQ(run(router + "--check --options " STREAMPICK_SOURCE "/deploy/examples/grpc.toml", out), 0) << out;
  EXPECT_NE(out.find("grpc: 2 routes"), std::string::npos) << out;
#ifdef STREAMPICK_WITH_FLEET
  EXPECT_EQ(run(router + "--check --options " STREAMPICK_SOURCE "/deploy/examples/fleet.toml", out), 0)
      << out;
  EXPECT_EQ(run(router + "--check --options " STREAMPICK_SOURCE "/deploy/examples/shares.toml", out), 0)
      << out;
  EXPECT_NE(out.find("shares: 0 limits"), std::string::npos) << out;  // limits come with the configuration
#endif
  EXPECT_EQ(run(router + "--check", out), 0);
  EXPECT_NE(out.find("resp.front: off"), std::string::npos);
}

}  // namespace
}  // namespace streampick::test
