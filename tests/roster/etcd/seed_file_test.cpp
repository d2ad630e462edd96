// Tests of SeedFile: files of earlier versions, malformed files and failed writes.
#include "roster/etcd/seed_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <string>
#include <vector>

#include "storage/faulty_file_calls.h"
#include "storage/temporary_folder.h"

namespace streampick::etcd::test {
namespace {

using storage::test::Call;

constexpr long long kWritten = 1'764'670'800'000;  // time of writing in kRecorded, unix ms
constexpr std::chrono::milliseconds kMaxAge{60'000};
// As written by the version before storage/durable_file.
const std::string kRecorded =
    "streampick-roster 1 2630fd492b2c338f 1764670800000\n"
    "{\"complete\":true,\"members\":[{\"cell\":3,\"flavor\":\"cache\",\"host_port\":\"127.0.0.1:1001\","
    "\"id\":\"s-1\",\"locality\":\"b\",\"phase\":\"in_service\",\"size\":1.5,\"up_since_ms\":1764670742000},"
    "{\"cell\":3,\"flavor\":\"cache\",\"host_port\":\"127.0.0.1:1002\",\"id\":\"s-2\",\"locality\":\"a\","
    "\"phase\":\"terminating\",\"size\":1.5,\"up_since_ms\":1764670742000}],\"revision\":42}\n";

class SeedFileTest : public ::testing::Test {
 protected:
  SeedFileTest() {
    names_.zones = {"a", "b"};
    names_.kinds = {"cache"};
    folder_.put("seed", kRecorded);
  }
  SeedFile open() {
    return {path(), [this](std::string_view line) { logged_.emplace_back(line); }, calls_};
  }
  std::string path() const { return folder_.path_of("seed"); }
  /// The recorded roster with its first `servers` servers.
  engine::EndpointList roster(std::size_t servers = 2) {
    engine::EndpointList list =
        std::get<engine::StoredEndpointList>(decode_seed(kRecorded, names_, kWritten, kMaxAge)).list;
    list.members.resize(servers);
    return list;
  }
  std::size_t servers_in_file() const {
    const auto seed = decode_seed(folder_.text_of("seed"), names_, kWritten, kMaxAge);
    const auto* stored = std::get_if<engine::StoredEndpointList>(&seed);
    return stored != nullptr ? stored->list.members.size() : 0;
  }

  storage::test::TemporaryFolder folder_;
  storage::test::FaultyFileCalls calls_;
  Names names_;
  std::vector<std::string> logged_;
};

TEST_F(SeedFileTest, FileOfEarlierVersion_IsReadAndWrittenUnchanged) {
  SeedFile file = open();
  const auto stored = file.load(names_, kWritten + 1, kMaxAge);
  ASSERT_TRUE(stored);
  const engine::EndpointList* const list = &stored->list;
  EXPECT_EQ(list->revision, 42U);
  ASSERT_EQ(list->members.size(), 2U);
  EXPECT_EQ(list->members[0].address, "127.0.0.1:1001");
  EXPECT_EQ(list->members[0].member.zone, 1U);
  EXPECT_EQ(list->members[1].member.phase, Phase::draining);
  file.store(0, *list, names_, kWritten);
  EXPECT_EQ(folder_.text_of("seed"), kRecorded);
  EXPECT_TRUE(logged_.empty());
}

TEST_F(SeedFileTest, MalformedFile_IsRejectedAndLoggedWithPathAndReason) {
  for (const std::string& malformed :
       {std::string(), std::string("no roster"), kRecorded.substr(0, 100), kRecorded + "x"}) {
    logged_.clear();
    folder_.put("seed", malformed);
    EXPECT_FALSE(open().load(names_, kWritten, kMaxAge));
    ASSERT_EQ(logged_.size(), 1U);
    EXPECT_EQ(logged_[0].rfind("etcd: " + path() + " is not used: ", 0), 0U) << logged_[0];
    EXPECT_EQ(logged_[0].find('\n'), std::string::npos);
  }
  std::filesystem::remove(path());
  EXPECT_FALSE(open().load(names_, kWritten, kMaxAge));
  EXPECT_EQ(logged_.back(),
            "etcd: the seed file is not used: " + path() + ": open: No such file or directory");
  folder_.put("seed", kRecorded);
  calls_.fail(Call::read, 0, EIO);
  EXPECT_FALSE(open().load(names_, kWritten, kMaxAge));
  EXPECT_EQ(logged_.back(), "etcd: the seed file is not used: " + path() + ": read: Input/output error");
}

TEST_F(SeedFileTest, FailedWrite_KeepsOldFileIsLoggedOnceAndRetriedWithBackoff) {
  SeedFile file = open();
  EXPECT_FALSE(file.is_due(0));
  Time now = 0;
  for (const Call call : {Call::open, Call::write, Call::sync, Call::rename}) {
    for (const int error : {ENOSPC, EIO}) {
      logged_.clear();
      folder_.put("seed", kRecorded);
      file.mark_changed();
      now += SeedFile::kWriteInterval;
      ASSERT_TRUE(file.is_due(now));
      calls_.fail_always(call, error);
      Time wait = SeedFile::kWriteInterval;
      for (int tries = 0; tries < 6; ++tries) {
        file.store(now, roster(1), names_, kWritten);
        EXPECT_EQ(folder_.text_of("seed"), kRecorded);
        EXPECT_FALSE(file.is_due(now + wait - 1));
        EXPECT_TRUE(file.is_due(now + wait));
        now += wait;
        wait = std::min(wait * 2, SeedFile::kMaxBackoff);
      }
      EXPECT_EQ(logged_.size(), 1U);
      calls_.succeed();
      file.store(now, roster(1), names_, kWritten);
      EXPECT_EQ(servers_in_file(), 1U);
      EXPECT_FALSE(file.has_changed());
      file.mark_changed();
      EXPECT_FALSE(file.is_due(now + SeedFile::kWriteInterval - 1));
      EXPECT_TRUE(file.is_due(now + SeedFile::kWriteInterval));
      EXPECT_EQ(folder_.names(), (std::set<std::string>{"seed"}));
    }
  }
}

TEST_F(SeedFileTest, ProcessKilledDuringWrite_LeavesOneOfTheTwoRostersIntact) {
  for (int kill_at = 0;; ++kill_at) {
    folder_.put("seed", kRecorded);
    const pid_t child = storage::test::start_process([&] {
      SeedFile file = open();
      int call_number = 0;
      calls_.hook = [&](Call, int, const std::string&) {
        if (call_number++ == kill_at) ::raise(SIGKILL);
        return 0;
      };
      file.store(0, roster(1), names_, kWritten);
    });
    const int end = storage::test::end_of(child);
    EXPECT_GT(servers_in_file(), 0U) << kill_at;
    open();  // removes temporary files
    EXPECT_EQ(folder_.names(), (std::set<std::string>{"seed"})) << kill_at;
    if (end == 0) {
      EXPECT_GE(kill_at, 8);
      break;
    }
    ASSERT_EQ(end, 1000 + SIGKILL);
  }
}

TEST_F(SeedFileTest, EmptyPath_MakesEveryCallANoOp) {
  SeedFile none("", [this](std::string_view line) { logged_.emplace_back(line); });
  none.mark_changed();
  EXPECT_FALSE(none.is_due(SeedFile::kMaxBackoff) || none.has_changed());
  EXPECT_FALSE(none.load(names_, kWritten, kMaxAge));
  none.store(0, roster(), names_, kWritten);
  EXPECT_TRUE(logged_.empty());
}

}  // namespace
}  // namespace streampick::etcd::test
