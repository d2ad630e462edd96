// Atomic replacement of files while each system call fails, is short, is interrupted or is the last one
// before the process is killed.
#include "storage/durable_file.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <algorithm>

#include "storage/faulty_file_calls.h"
#include "storage/temporary_folder.h"

namespace streampick::storage::test {
namespace {

const std::string kOld = "the old text\n";
const std::string kNew(100'000, 'n');

class DurableFile : public ::testing::Test {
 protected:
  DurableFile() { folder_.put("file", kOld); }
  std::string path() const { return folder_.path_of("file"); }
  std::optional<FileError> replace() { return replace_file(path(), kNew, calls_); }
  bool holds_complete_old_or_new_text() const {
    const std::string text = folder_.text_of("file");
    return text == kOld || text == kNew;
  }

  TemporaryFolder folder_;
  FaultyFileCalls calls_;
};

TEST_F(DurableFile, Replace_SyncsTheFileBeforeTheRenameAndTheFolderAfterIt) {
  EXPECT_FALSE(replace());
  EXPECT_EQ(folder_.text_of("file"), kNew);
  EXPECT_EQ(calls_.made, (std::vector<Call>{Call::open, Call::write, Call::sync, Call::close, Call::rename,
                                            Call::open, Call::sync, Call::close}));
  EXPECT_EQ(folder_.names(), (std::set<std::string>{"file"}));
}

struct Failure {
  Call call;
  int number;
  FileStep step;
};
const std::vector<Failure> kFailures = {
    {Call::open, 0, FileStep::open},        {Call::write, 0, FileStep::write},
    {Call::write, 1, FileStep::write},      {Call::sync, 0, FileStep::sync},
    {Call::close, 0, FileStep::close},      {Call::rename, 0, FileStep::rename},
    {Call::open, 1, FileStep::open_folder}, {Call::sync, 1, FileStep::sync_folder}};

TEST_F(DurableFile, FailureOfEachStep_IsReportedAndLeavesACompleteText) {
  calls_.largest_write = kNew.size() / 2;
  for (const Failure& failure : kFailures) {
    for (const int error : {ENOSPC, EIO, EDQUOT, EROFS, EACCES, EMFILE}) {
      folder_.put("file", kOld);
      calls_.fail(failure.call, failure.number, error);
      const auto reported = replace();
      ASSERT_TRUE(reported) << static_cast<int>(failure.step);
      EXPECT_EQ(reported->step, failure.step);
      EXPECT_EQ(reported->error_number, error);
      const bool is_renamed = failure.step == FileStep::open_folder || failure.step == FileStep::sync_folder;
      EXPECT_EQ(folder_.text_of("file"), is_renamed ? kNew : kOld) << static_cast<int>(failure.step);
      EXPECT_EQ(folder_.names(), (std::set<std::string>{"file"}));
      calls_.succeed();
      EXPECT_FALSE(replace());
      EXPECT_EQ(folder_.text_of("file"), kNew);
    }
  }
}

TEST_F(DurableFile, ShortWritesAndInterruptedCalls_AreContinued) {
  calls_.largest_write = 7;
  EXPECT_FALSE(replace());
  EXPECT_EQ(folder_.text_of("file"), kNew);
  for (const Failure& failure : kFailures) {
    if (failure.call == Call::rename) continue;  // rename() does not fail with EINTR
    folder_.put("file", kOld);
    calls_.fail(failure.call, failure.number, EINTR);
    EXPECT_FALSE(replace()) << static_cast<int>(failure.step);
    EXPECT_EQ(folder_.text_of("file"), kNew);
  }
}

// The process is killed before each system call; in the second round also between two writes of the text.
TEST_F(DurableFile, KilledAtEachStep_LeavesACompleteTextAndARemovableTemporary) {
  for (const std::size_t largest_write : {std::size_t{0}, kNew.size() / 3}) {
    for (int kill_at = 0;; ++kill_at) {
      folder_.put("file", kOld);
      const pid_t child = start_process([&] {
        int call_number = 0;
        calls_.largest_write = largest_write;
        calls_.hook = [&](Call, int, const std::string&) {
          if (call_number++ == kill_at) ::raise(SIGKILL);
          return 0;
        };
        (void)replace();
      });
      const int end = end_of(child);
      if (end == 0) {
        EXPECT_GE(kill_at, 8);
        break;
      }
      ASSERT_EQ(end, 1000 + SIGKILL);
      EXPECT_TRUE(holds_complete_old_or_new_text()) << kill_at;
      remove_stale_temporaries(path());
      EXPECT_EQ(folder_.names(), (std::set<std::string>{"file"})) << kill_at;
    }
  }
}

TEST_F(DurableFile, StaleTemporaries_AreRemovedAndOtherFilesKept) {
  const pid_t ended = start_process([] {});
  ASSERT_EQ(end_of(ended), 0);
  const std::string running = "file." + std::to_string(::getppid());
  folder_.put("file." + std::to_string(ended), "x");
  folder_.put("file." + std::to_string(::getpid()), "of an earlier process with the same id");
  folder_.put("file.new", "of an earlier version");
  folder_.put(running, "x");
  for (const char* foreign : {"file.txt", "file.12x", "file.", "other.1", "file.-1"})
    folder_.put(foreign, "x");
  std::filesystem::create_directory(folder_.path_of("file." + std::to_string(ended) + "0"));
  EXPECT_EQ(remove_stale_temporaries(path()), 3U);
  for (const std::string& kept :
       {running, std::string("file"), std::string("file.txt"), std::string("other.1")})
    EXPECT_TRUE(folder_.names().contains(kept)) << kept;
  EXPECT_EQ(remove_stale_temporaries("/nonexistent/folder/file"), 0U);
}

TEST_F(DurableFile, Read_IsBoundedAndReportsErrorsWithoutBlocking) {
  EXPECT_EQ(std::get<std::string>(read_file(path(), 1'000, calls_)), kOld);
  EXPECT_EQ(std::get<std::string>(read_file(path(), 3, calls_)), kOld.substr(0, 4));
  EXPECT_EQ(std::get<FileError>(read_file(folder_.path_of("none"), 10, calls_)),
            (FileError{FileStep::open, ENOENT, folder_.path_of("none")}));
  calls_.fail(Call::read, 0, EIO);
  EXPECT_EQ(std::get<FileError>(read_file(path(), 10, calls_)), (FileError{FileStep::read, EIO, path()}));
  calls_.fail(Call::read, 0, EINTR);
  EXPECT_EQ(std::get<std::string>(read_file(path(), 1'000, calls_)), kOld);
  calls_.succeed();
  const std::string pipe = folder_.path_of("pipe");
  ASSERT_EQ(::mkfifo(pipe.c_str(), 0600), 0);
  EXPECT_EQ(std::get<FileError>(read_file(pipe, 10, calls_)), (FileError{FileStep::read, EINVAL, pipe}));
}

TEST_F(DurableFile, ErrorText_IsOneLineWithPathStepAndReason) {
  EXPECT_EQ(to_string(FileError{FileStep::sync_folder, ENOSPC, "/a"}),
            "/a: sync folder: No space left on device");
  EXPECT_EQ(to_string(FileError{FileStep::lock, EWOULDBLOCK, "/l"}),
            "/l: lock: Resource temporarily unavailable");
}

}  // namespace
}  // namespace streampick::storage::test
