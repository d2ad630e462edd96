// A command-line tool that fetches the tiles of a map sheet with the client library, shows its progress and
// lists the missing tiles.
//
//   sheet_viewer CONFIG SHEET ROWS COLUMNS [FOLDER]
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "streampick/client.h"

namespace {

using namespace std::chrono_literals;

struct Tile {
  std::string key;
  int tries = 0;
  std::string error;  // empty: fetched, or not yet
};

// Fetches all tiles of a sheet. Retries rejected calls after their retry_after, up to kMaxTries calls a tile.
class Sheet {
 public:
  Sheet(streampick::Client& client, std::vector<Tile> tiles, std::filesystem::path folder)
      : client_(client), tiles_(std::move(tiles)), folder_(std::move(folder)) {}

  void fetch() {
    // At most kMaxOpen calls are open, to leave capacity for other viewers.
    for (std::size_t i = 0; i < std::min<std::size_t>(kMaxOpen, tiles_.size()); ++i) next();
    std::unique_lock lock(mutex_);
    while (!all_.wait_for(lock, 100ms, [this] { return done_ == tiles_.size(); })) show_progress();
    show_progress();
    std::printf("\n");
  }
  int report() const {
    int missing = 0;
    for (const Tile& tile : tiles_)
      if (!tile.error.empty()) {
        ++missing;
        std::printf("missing: %s (%s)\n", tile.key.c_str(), tile.error.c_str());
      }
    std::printf("%zu tiles, %d missing, %llu bytes\n", tiles_.size(), missing,
                static_cast<unsigned long long>(bytes_));
    return missing == 0 ? 0 : 3;
  }

 private:
  static constexpr std::size_t kMaxOpen = 8;
  static constexpr int kMaxTries = 4;

  void next() {
    const std::size_t i = started_++;
    if (i < tiles_.size()) request(i);
  }
  void request(std::size_t i) {
    ++tiles_[i].tries;
    client_.get(tiles_[i].key, {.deadline = 4s},
                [this, i](streampick::Result result) { on_result(i, std::move(result)); });
  }
  void on_result(std::size_t i, streampick::Result result) {
    using streampick::Status;
    Tile& tile = tiles_[i];
    if (result.status == Status::rejected && tile.tries < kMaxTries) {
      std::this_thread::sleep_for(std::max<std::chrono::microseconds>(result.retry_after, 20ms));
      return request(i);
    }
    if (result.status != Status::served)
      tile.error = result.status == streampick::Status::not_found ? "no such tile"
                   : result.late                                  ? "too late"
                                                                  : "no answer";
    if (result.status == Status::served) {
      bytes_ += result.value.size();
      if (!folder_.empty()) std::ofstream(folder_ / (tile.key + ".tile"), std::ios::binary) << result.value;
    }
    next();
    const std::lock_guard lock(mutex_);
    ++done_;
    all_.notify_one();
  }
  void show_progress() const {
    constexpr std::size_t kWidth = 40;
    const std::size_t full = tiles_.empty() ? kWidth : done_ * kWidth / tiles_.size();
    std::printf("\r[%s%s] %zu of %zu", std::string(full, '#').c_str(),
                std::string(kWidth - full, '.').c_str(), done_, tiles_.size());
    std::fflush(stdout);
  }

  streampick::Client& client_;
  std::vector<Tile> tiles_;
  std::filesystem::path folder_;
  std::atomic<std::size_t> started_{0};
  std::atomic<std::uint64_t> bytes_{0};
  std::mutex mutex_;
  std::condition_variable all_;
  std::size_t done_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    std::fprintf(stderr, "usage: sheet_viewer CONFIG SHEET ROWS COLUMNS [FOLDER]\n");
    return 2;
  }
  streampick::ClientSettings settings;
  settings.config_path = argv[1];
  settings.log = [](std::string_view line) {
    std::fprintf(stderr, "router: %.*s\n", static_cast<int>(line.size()), line.data());
  };
  try {
    streampick::Client client(settings);
    std::vector<Tile> tiles;
    for (int row = 0; row < std::atoi(argv[3]); ++row)
      for (int column = 0; column < std::atoi(argv[4]); ++column)
        tiles.push_back(
            {std::string(argv[2]) + "-" + std::to_string(row) + "-" + std::to_string(column), 0, {}});
    Sheet sheet(client, std::move(tiles), argc > 5 ? argv[5] : "");
    sheet.fetch();
    client.drain(1s);
    return sheet.report();
  } catch (const streampick::ClientError& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
