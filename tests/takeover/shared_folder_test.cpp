// The folder that two processes of one router share.
#include "takeover/shared_folder.h"

#include <fcntl.h>
#include <gtest/gtest.h>

#include <csignal>
#include <vector>

#include "storage/faulty_file_calls.h"
#include "storage/temporary_folder.h"
#include "takeover/process_presence.h"

namespace streampick::takeover::test {
namespace {

using control::AdminOverrides;
using storage::FileError;
using storage::FileStep;
using storage::test::Call;
using storage::test::FaultyFileCalls;

class SharedFolderTest : public ::testing::Test {
 protected:
  SharedFolder open() {
    return {folder_.path(), [this](std::string_view text) { logged_.emplace_back(text); }, calls_};
  }
  static AdminOverrides update(SharedFolder& folder, const AdminOverrides& fallback,
                               const std::function<void(AdminOverrides&)>& update) {
    auto result = folder.update(fallback, update);
    EXPECT_TRUE(std::holds_alternative<AdminOverrides>(result));
    return std::get<AdminOverrides>(result);
  }
  static FileError error_of(SharedFolder& folder) {
    const auto result = folder.update({}, [](AdminOverrides& overrides) { overrides.disable("s-new", 9); });
    const auto* error = std::get_if<FileError>(&result);
    return error != nullptr ? *error : FileError{};
  }

  storage::test::TemporaryFolder folder_;
  FaultyFileCalls calls_;
  std::vector<std::string> logged_;
};

TEST_F(SharedFolderTest, UpdateOfOneProcess_IsReadAndExtendedByTheOther) {
  SharedFolder first = open(), second = open();
  EXPECT_FALSE(first.read_if_changed());
  update(first, {}, [](AdminOverrides& overrides) { overrides.disable("s-1", 1); });
  EXPECT_FALSE(first.read_if_changed());  // written by itself
  const auto seen = second.read_if_changed();
  ASSERT_TRUE(seen);
  EXPECT_TRUE(seen->is_disabled("s-1"));
  EXPECT_FALSE(second.read_if_changed());
  // The second updates without having read the change that the first makes now.
  update(first, {}, [](AdminOverrides& overrides) { overrides.disable("s-2", 2); });
  const auto both = update(second, {}, [](AdminOverrides& overrides) { overrides.set_draining(true); });
  EXPECT_TRUE(both.is_disabled("s-1") && both.is_disabled("s-2") && both.is_draining());
  const auto changed = first.read_if_changed();
  ASSERT_TRUE(changed);
  EXPECT_EQ(*changed, both);
  EXPECT_TRUE(logged_.empty());
  // No temporary file is left.
  EXPECT_EQ(folder_.names(), (std::set<std::string>{"streampick.lock", "streampick.overrides"}));
}

TEST_F(SharedFolderTest, MalformedFile_IsLoggedOnceAndCountsAsMissing) {
  folder_.put("streampick.overrides", "#!/bin/sh\n");
  SharedFolder one = open();
  EXPECT_FALSE(one.read_if_changed());
  EXPECT_FALSE(one.read_if_changed());
  ASSERT_EQ(logged_.size(), 1U);
  EXPECT_EQ(
      logged_[0].rfind("shared folder: " + folder_.path_of("streampick.overrides") + " is not used: ", 0),
      0U);
  EXPECT_EQ(logged_[0].find('\n'), std::string::npos);
  AdminOverrides own;
  own.disable("s-1", 1);
  const auto stored = update(one, own, [](AdminOverrides& overrides) { overrides.disable("s-2", 2); });
  EXPECT_TRUE(stored.is_disabled("s-1") && stored.is_disabled("s-2"));
  EXPECT_EQ(*open().read_if_changed(), stored);
}

// A file in the format that earlier versions wrote.
TEST_F(SharedFolderTest, FileOfAnEarlierVersion_IsRead) {
  folder_.put("streampick.overrides",
              "{\"format\":\"streampick overrides\",\"version\":1,\"clients_away\":true,\"servers\":["
              "{\"id\":\"s-1\",\"out\":true,\"since_us\":1764670742000001},"
              "{\"id\":\"s-2\",\"out\":false,\"since_us\":1764670743000002}]}\n");
  const auto read = open().read_if_changed();
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->is_draining());
  EXPECT_EQ(read->endpoints(), (std::map<std::string, AdminOverrides::Endpoint>{
                                   {"s-1", {true, 1764670742000001}}, {"s-2", {false, 1764670743000002}}}));
  EXPECT_EQ(read->serialize(), folder_.text_of("streampick.overrides"));
}

TEST_F(SharedFolderTest, FailureOfEachStep_IsReportedAndTheFileIsUnchanged) {
  SharedFolder one = open();
  update(one, {}, [](AdminOverrides& overrides) { overrides.disable("s-1", 1); });
  const std::string before = folder_.text_of("streampick.overrides");
  struct Failure {
    Call call;
    int number;
    FileStep step;
  };
  // Order of the open() calls: the lock file, the overrides, the temporary file, the folder.
  for (const Failure& failure : std::vector<Failure>{{Call::open, 0, FileStep::open_lock},
                                                     {Call::try_lock, 0, FileStep::lock},
                                                     {Call::open, 1, FileStep::open},
                                                     {Call::read, 0, FileStep::read},
                                                     {Call::open, 2, FileStep::open},
                                                     {Call::write, 0, FileStep::write},
                                                     {Call::sync, 0, FileStep::sync},
                                                     {Call::rename, 0, FileStep::rename}}) {
    for (const int error : {ENOSPC, EIO}) {
      calls_.fail(failure.call, failure.number, error);
      const FileError reported = error_of(one);
      EXPECT_EQ(reported.step, failure.step);
      EXPECT_EQ(reported.error_number, error);
      EXPECT_EQ(folder_.text_of("streampick.overrides"), before);
      EXPECT_EQ(folder_.names(), (std::set<std::string>{"streampick.lock", "streampick.overrides"}));
    }
  }
  for (const int number : {3}) {
    calls_.fail(Call::open, number, EIO);
    EXPECT_EQ(error_of(one).step, FileStep::open_folder);
  }
  calls_.succeed();
  EXPECT_EQ(error_of(one).error_number, 0);
}

TEST_F(SharedFolderTest, LockHeldByAnother_NothingIsWritten) {
  SharedFolder one = open();
  update(one, {}, [](AdminOverrides& overrides) { overrides.disable("s-1", 1); });
  const std::string before = folder_.text_of("streampick.overrides");
  const storage::Descriptor other(calls_, folder_.path_of("streampick.lock"), O_RDWR);
  ASSERT_EQ(calls_.try_lock(other.number()), 0);
  EXPECT_EQ(error_of(one), (FileError{FileStep::lock, EWOULDBLOCK, folder_.path_of("streampick.lock")}));
  EXPECT_EQ(folder_.text_of("streampick.overrides"), before);
}

TEST_F(SharedFolderTest, KilledAtEachStep_LeavesACompleteFileAndNoLock) {
  for (int kill_at = 0;; ++kill_at) {
    {
      SharedFolder one = open();
      const auto result = one.update({}, [](AdminOverrides& overrides) {
        overrides = {};
        overrides.disable("s-old", 1);
      });
      ASSERT_TRUE(std::holds_alternative<AdminOverrides>(result)) << kill_at;
    }
    const std::string before = folder_.text_of("streampick.overrides");
    const pid_t child = storage::test::start_process([&] {
      SharedFolder one = open();
      int call_number = 0;
      calls_.hook = [&](Call, int, const std::string&) {
        if (call_number++ == kill_at) ::raise(SIGKILL);
        return 0;
      };
      (void)error_of(one);
    });
    const int end = storage::test::end_of(child);
    SharedFolder next = open();  // removes stale temporary files
    const auto read = next.read_if_changed();
    ASSERT_TRUE(read) << kill_at;
    EXPECT_TRUE(folder_.text_of("streampick.overrides") == before || read->is_disabled("s-new")) << kill_at;
    EXPECT_TRUE(read->is_disabled("s-old")) << kill_at;
    EXPECT_EQ(folder_.names(), (std::set<std::string>{"streampick.lock", "streampick.overrides"})) << kill_at;
    EXPECT_EQ(error_of(next).error_number, 0) << kill_at;
    if (end == 0) {
      EXPECT_GE(kill_at, 12);
      break;
    }
    ASSERT_EQ(end, 1000 + SIGKILL);
  }
  EXPECT_TRUE(logged_.empty());
}

TEST_F(SharedFolderTest, ProcessPresence_TellsWhetherAnotherProcessRuns) {
  const ProcessPresence first(folder_.path());
  EXPECT_TRUE(first.is_only_process());
  {
    const ProcessPresence second(folder_.path());
    EXPECT_FALSE(first.is_only_process());
    EXPECT_FALSE(second.is_only_process());
    const ProcessPresence third(folder_.path());
    EXPECT_FALSE(third.is_only_process());
  }
  EXPECT_TRUE(first.is_only_process());
  EXPECT_TRUE(ProcessPresence("/nonexistent/folder").is_only_process());
}

}  // namespace
}  // namespace streampick::takeover::test
