// Key templates, route tables, the options table [grpc], and the mapping of results to gRPC statuses.
#include <gtest/gtest.h>

#include "grpc/answer.h"
#include "grpc/options.h"
#include "grpc/route_table.h"
#include "streampick/tiles.grpc.pb.h"

namespace streampick::rpc {
namespace {

using tiles::ReadTileRequest;
using namespace std::chrono_literals;

std::string template_error(const std::string& text) {
  try {
    const KeyTemplate made(text, *ReadTileRequest::descriptor());
    return "";
  } catch (const RouteError& error) {
    return error.what();
  }
}

std::string key_of(const std::string& text, const std::string& sheet, std::uint32_t x = 0) {
  ReadTileRequest request;
  request.set_sheet(sheet);
  request.mutable_tile()->set_x(x);
  std::string out, error;
  return KeyTemplate(text, *ReadTileRequest::descriptor()).key(request, out, error) ? out : "?" + error;
}

TEST(GrpcKeyTemplate, FieldsAndText_AreJoined) {
  EXPECT_EQ(key_of("{sheet}/{tile.x}", "N48", 7), "N48/7");
  EXPECT_EQ(key_of("tile:{sheet}", "a b"), "tile:a b");
}

TEST(GrpcKeyTemplate, DifferentFields_GiveDifferentKeys) {
  const std::string text = "{sheet}/{tile.x}";
  EXPECT_NE(key_of(text, "a/1", 2), key_of(text, "a", 1));
  EXPECT_EQ(key_of(text, "a/1", 2), "a%2F1/2");
  EXPECT_NE(key_of(text, "a%2F1", 2), key_of(text, "a/1", 2));
}

TEST(GrpcKeyTemplate, InvalidTemplate_ThrowsWithTheReason) {
  EXPECT_NE(template_error("{sheet").find("a { is not closed"), std::string::npos);
  EXPECT_NE(template_error("{sheet}}").find("a } has no matching {"), std::string::npos);
  EXPECT_NE(template_error("all").find("it contains no field"), std::string::npos);
  EXPECT_NE(template_error("{sheet}{tile.x}").find("text between"), std::string::npos);
  EXPECT_NE(template_error("{page}").find("has no field 'page'"), std::string::npos);
  EXPECT_NE(template_error("{tile}").find("is not an integer"), std::string::npos);
  EXPECT_NE(template_error("{sheet.x}").find("is not a message"), std::string::npos);
  EXPECT_NE(template_error(std::string(2000, 'x')).find("longer than"), std::string::npos);
}

TEST(GrpcKeyTemplate, MissingField_GivesNoKey) {
  EXPECT_NE(key_of("{sheet}", "").find("'sheet' is needed"), std::string::npos);
  ReadTileRequest request;
  request.set_sheet("s");
  std::string out, error;
  EXPECT_FALSE(KeyTemplate("{tile.x}", *ReadTileRequest::descriptor()).key(request, out, error));
}

std::string table_error(const std::vector<Route>& routes, const std::vector<std::string>& services) {
  try {
    const RouteTable made(routes, services, *google::protobuf::DescriptorPool::generated_pool(),
                          [](const std::string& name) -> std::optional<bool> {
                            if (name == "tile-read") return true;
                            if (name == "annotation-save") return false;
                            return std::nullopt;
                          });
    return made.find("/streampick.tiles.Tiles/ReadTile") != nullptr ? "" : "no route";
  } catch (const RouteError& error) {
    return error.what();
  }
}

TEST(GrpcRouteTable, RoutesAndMethodOptions_AreCompiledAndMistakesNamed) {
  const std::string method = "streampick.tiles.Tiles/ReadTile";
  EXPECT_EQ(table_error({}, {"streampick.tiles.Tiles"}), "");
  EXPECT_EQ(table_error({{method, "tile-read", false, "{sheet}", "image"}}, {}), "");
  EXPECT_EQ(table_error({}, {"streampick.Nobody"}),
            "service 'streampick.Nobody': this program has no such service");
  EXPECT_EQ(table_error({{"a.B/C", "tile-read", false, "{sheet}", ""}}, {}),
            "route 'a.B/C': this program has no such method");
  EXPECT_EQ(table_error({{method, "tiles", false, "{sheet}", ""}}, {}),
            "route '" + method + "': the settings have no class 'tiles'");
  EXPECT_EQ(table_error({{method, "annotation-save", false, "{sheet}", ""}}, {}),
            "route '" + method + "': a read, but the class 'annotation-save' is not safe");
  EXPECT_EQ(table_error({{method, "tile-read", true, "{sheet}", ""}}, {}),
            "route '" + method + "': a save, but the class 'tile-read' is for reads");
  EXPECT_EQ(table_error({{method, "tile-read", false, "{sheet}", "sheet"}}, {}),
            "route '" + method + "': value: streampick.tiles.ReadTileResponse has no field 'sheet'");
  EXPECT_EQ(table_error({}, {}), "neither routes nor services are given");
}

Options parsed(const std::string& text) {
  options::Table root = options::Table::parse(text, "f.toml");
  return read_options(std::move(*root.table("grpc")));
}

TEST(GrpcOptions, TableGrpc_IsReadAndMistakesNameTheKey) {
  const Options read = parsed(
      "[grpc]\ntenant_metadata = \"x-team\"\n[[grpc.route]]\nmethod = \"a.B/C\"\nsave = \"annotation-save\"\n"
      "key = \"{k}\"\nvalue = \"v\"\n");
  EXPECT_EQ(read.tenant_metadata, "x-team");
  EXPECT_FALSE(read.idempotency_metadata);
  ASSERT_EQ(read.routes.size(), 1U);
  EXPECT_TRUE(read.routes[0].save);
  for (const auto& [text, word] : std::vector<std::pair<std::string, std::string>>{
           {"[grpc]\ntenant_metadata = \"X-Org\"\n", "tenant_metadata"},
           {"[grpc]\ntenant = \"x\"\n", "tenant"},
           {"[[grpc.route]]\nmethod = \"a.B\"\nread = \"r\"\nkey = \"{k}\"\n", "package.Service/Method"},
           {"[[grpc.route]]\nmethod = \"a.B/C\"\nread = \"r\"\nsave = \"s\"\nkey = \"{k}\"\n", "either"},
           {"[[grpc.route]]\nmethod = \"a.B/C\"\nread = \"r\"\n", "needs a key"}}) {
    try {
      parsed(text);
      ADD_FAILURE() << text;
    } catch (const options::Error& error) {
      EXPECT_NE(std::string(error.what()).find(word), std::string::npos) << error.what();
    }
  }
}

TEST(GrpcAnswer, EachResult_HasItsCodeAndTrailingMetadata) {
  using grpc::StatusCode;
  const auto code = [](Result result, bool cancelled = false) {
    return answer_of(std::move(result), cancelled).status.error_code();
  };
  EXPECT_EQ(code({.status = Status::served}), StatusCode::OK);
  EXPECT_EQ(code({.status = Status::failed, .late = true}), StatusCode::DEADLINE_EXCEEDED);
  EXPECT_EQ(code({.status = Status::not_found}), StatusCode::NOT_FOUND);
  EXPECT_EQ(code({.status = Status::failed}), StatusCode::UNKNOWN);
  EXPECT_EQ(code({.status = Status::cancelled}, true), StatusCode::CANCELLED);
  EXPECT_EQ(code({.status = Status::cancelled}), StatusCode::UNAVAILABLE);
  EXPECT_EQ(code({.status = Status::invalid}), StatusCode::INVALID_ARGUMENT);
  const Answer rejected = answer_of({.status = Status::rejected, .retry_after = 1'200us}, false);
  EXPECT_EQ(rejected.status.error_code(), StatusCode::UNAVAILABLE);
  ASSERT_EQ(rejected.trailing.size(), 1U);
  EXPECT_EQ(rejected.trailing[0], std::make_pair(std::string("grpc-retry-pushback-ms"), std::string("2")));
  EXPECT_EQ(answer_of({.status = Status::rejected, .retry_after = 1'200us}, false, true).status.error_code(),
            StatusCode::DEADLINE_EXCEEDED);
  const Answer uncertain = answer_of({.status = Status::failed, .may_have_run = true}, false);
  ASSERT_EQ(uncertain.trailing.size(), 1U);
  EXPECT_EQ(uncertain.trailing[0].first, "streampick-may-have-run");
}

}  // namespace
}  // namespace streampick::rpc
