// Keys and routes against the program's own types, and what ends of calls become.
#include <gtest/gtest.h>

#include "grpc/answer.h"
#include "grpc/options.h"
#include "grpc/route_table.h"
#include "streampick/tiles.grpc.pb.h"

namespace streampick::rpc {
namespace {

using tiles::ReadTileRequest;
using namespace std::chrono_literals;

std::string why_not(const std::string& text) {
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
  std::string out, why;
  return KeyTemplate(text, *ReadTileRequest::descriptor()).key(request, out, why) ? out : "?" + why;
}

TEST(GrpcKey, IsMadeOfFieldsAndOfWhatStandsBetweenThem) {
  EXPECT_EQ(key_of("{sheet}/{tile.x}", "N48", 7), "N48/7");
  EXPECT_EQ(key_of("tile:{sheet}", "a b"), "tile:a b");
}

TEST(GrpcKey, DifferentFieldsNeverMakeOneKey) {
  const std::string text = "{sheet}/{tile.x}";
  EXPECT_NE(key_of(text, "a/1", 2), key_of(text, "a", 1));
  EXPECT_EQ(key_of(text, "a/1", 2), "a%2F1/2");
  EXPECT_NE(key_of(text, "a%2F1", 2), key_of(text, "a/1", 2));
}

TEST(GrpcKey, WhatCanNeverWorkIsRefusedInWords) {
  EXPECT_NE(why_not("{sheet").find("a { that is not closed"), std::string::npos);
  EXPECT_NE(why_not("{sheet}}").find("a } that closes nothing"), std::string::npos);
  EXPECT_NE(why_not("all").find("it names no field"), std::string::npos);
  EXPECT_NE(why_not("{sheet}{tile.x}").find("something between"), std::string::npos);
  EXPECT_NE(why_not("{page}").find("has no field 'page'"), std::string::npos);
  EXPECT_NE(why_not("{tile}").find("no whole number"), std::string::npos);
  EXPECT_NE(why_not("{sheet.x}").find("is no message"), std::string::npos);
  EXPECT_NE(why_not(std::string(2000, 'x')).find("longer than"), std::string::npos);
}

TEST(GrpcKey, ARequestThatLacksAFieldHasNone) {
  EXPECT_NE(key_of("{sheet}", "").find("'sheet' is needed"), std::string::npos);
  ReadTileRequest request;
  request.set_sheet("s");
  std::string out, why;
  EXPECT_FALSE(KeyTemplate("{tile.x}", *ReadTileRequest::descriptor()).key(request, out, why));
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

TEST(GrpcRoutes, ComeFromTheServicesOptionsAndMistakesAreNamed) {
  const std::string method = "streampick.tiles.Tiles/ReadTile";
  EXPECT_EQ(table_error({}, {"streampick.tiles.Tiles"}), "");
  EXPECT_EQ(table_error({{method, "tile-read", false, "{sheet}", "image"}}, {}), "");
  EXPECT_EQ(table_error({}, {"streampick.Nobody"}),
            "service 'streampick.Nobody': this program has none of that name");
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
  EXPECT_EQ(table_error({}, {}), "neither routes nor services are named");
}

Options parsed(const std::string& text) {
  options::Table root = options::Table::parse(text, "f.toml");
  return read_options(std::move(*root.table("grpc")));
}

TEST(GrpcOptions, AreReadAndMistakesNameTheKey) {
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
           {"[[grpc.route]]\nmethod = \"a.B/C\"\nread = \"r\"\n", "needs its key"}}) {
    try {
      parsed(text);
      ADD_FAILURE() << text;
    } catch (const options::Error& error) {
      EXPECT_NE(std::string(error.what()).find(word), std::string::npos) << error.what();
    }
  }
}

TEST(GrpcAnswer, EachEndHasItsCodeAndARefusalSaysWhenToComeBack) {
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
  const Answer refused = answer_of({.status = Status::rejected, .retry_after = 1'200us}, false);
  EXPECT_EQ(refused.status.error_code(), StatusCode::UNAVAILABLE);
  ASSERT_EQ(refused.trailing.size(), 1U);
  EXPECT_EQ(refused.trailing[0], std::make_pair(std::string("grpc-retry-pushback-ms"), std::string("2")));
  EXPECT_EQ(answer_of({.status = Status::rejected, .retry_after = 1'200us}, false, true).status.error_code(),
            StatusCode::DEADLINE_EXCEEDED);
  const Answer torn = answer_of({.status = Status::failed, .may_have_run = true}, false);
  ASSERT_EQ(torn.trailing.size(), 1U);
  EXPECT_EQ(torn.trailing[0].first, "streampick-may-have-run");
}

}  // namespace
}  // namespace streampick::rpc
