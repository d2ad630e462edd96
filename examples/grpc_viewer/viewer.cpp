// Downloads the tiles of a map sheet with generated gRPC stubs, on a channel that the client library routes.
//
//   grpc_viewer CONFIG SHEET ROWS COLUMNS
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

#include "sheets.grpc.pb.h"
#include "streampick/client.h"
#include "streampick/grpc.h"

namespace {

using namespace std::chrono_literals;

constexpr int kMaxTries = 4;

// The delay before a retry, from the trailing metadata that gRPC's own retries use.
std::chrono::milliseconds pushback(const grpc::ClientContext& context) {
  const auto& trailing = context.GetServerTrailingMetadata();
  const auto found = trailing.find("grpc-retry-pushback-ms");
  if (found == trailing.end()) return 50ms;
  return std::chrono::milliseconds(
      std::atoi(std::string(found->second.data(), found->second.size()).c_str()));
}

struct Sheet {
  int tiles = 0, missing = 0;
  std::size_t bytes = 0;
};

Sheet fetch(sheets::Sheets::Stub& stub, const std::string& name, int rows, int columns) {
  Sheet out;
  for (int row = 0; row < rows; ++row)
    for (int column = 0; column < columns; ++column) {
      sheets::TileRequest request;
      request.set_sheet(name);
      request.set_row(static_cast<std::uint32_t>(row));
      request.set_column(static_cast<std::uint32_t>(column));
      sheets::TileReply reply;
      grpc::Status status;
      for (int tries = 0; tries < kMaxTries; ++tries) {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + 4s);
        status = stub.Tile(&context, request, &reply);
        if (status.error_code() != grpc::StatusCode::UNAVAILABLE) break;
        gpr_sleep_until(gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC),
                                     gpr_time_from_millis(pushback(context).count(), GPR_TIMESPAN)));
      }
      ++out.tiles;
      if (status.ok()) {
        out.bytes += reply.image().size();
      } else {
        ++out.missing;
        std::fprintf(stderr, "%s-%d-%d: %s\n", name.c_str(), row, column, status.error_message().c_str());
      }
    }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    std::fprintf(stderr, "usage: grpc_viewer CONFIG SHEET ROWS COLUMNS\n");
    return 2;
  }
  try {
    streampick::ClientSettings settings;
    settings.config_path = argv[1];
    settings.idle_after = 2s;  // closes connections between two sheets
    const auto client = std::make_shared<streampick::Client>(settings);
    const auto stub =
        sheets::Sheets::NewStub(streampick::rpc::open_channel(client, {.services = {"sheets.Sheets"}}));
    const Sheet sheet = fetch(*stub, argv[2], std::atoi(argv[3]), std::atoi(argv[4]));
    std::printf("%d tiles, %zu bytes, %d missing\n", sheet.tiles, sheet.bytes, sheet.missing);
    return sheet.missing == 0 ? 0 : 1;
  } catch (const streampick::ClientError& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
