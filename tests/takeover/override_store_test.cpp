// Operators' changes while the shared file cannot be written or another process holds its lock.
#include "takeover/override_store.h"

#include <fcntl.h>
#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "storage/faulty_file_calls.h"
#include "storage/temporary_folder.h"

namespace streampick::takeover::test {
namespace {

using control::AdminChange;
using control::AdminOverrides;
using control::ApplyResult;
using storage::FileError;
using storage::FileStep;
using storage::test::Call;
using storage::test::FaultyFileCalls;
using Kind = AdminChange::Kind;
using Steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr const char* kFile = "streampick.overrides";

class OverrideStoreTest : public ::testing::Test {
 protected:
  explicit OverrideStoreTest() { begin(); }
  void begin() {
    store_.reset();
    const auto log = [this](std::string_view line) { logged_.emplace_back(line); };
    store_ = std::make_unique<OverrideStore>(io_, std::make_unique<SharedFolder>(folder_.path(), log, calls_),
                                             log, [this](const AdminOverrides& now) { effective_ = now; });
  }
  void submit(Kind kind, const std::string& id, Time at) {
    store_->submit({kind, id, at},
                   [this](const OverrideStore::Outcome& outcome) { outcomes_.push_back(outcome); });
  }
  void disable(const std::string& id, Time at = 1) { submit(Kind::disable_endpoint, id, at); }
  [[nodiscard]] bool run_until(const std::function<bool()>& holds, std::chrono::milliseconds longest = 10s) {
    const auto end = Steady::now() + longest;
    while (!holds()) {
      if (Steady::now() > end) return false;
      io_.restart();
      io_.run_one_for(5ms);
    }
    return true;
  }
  AdminOverrides stored() const {
    const std::string text = folder_.text_of(kFile);
    return text.empty() ? AdminOverrides() : AdminOverrides::parse(text);
  }

  storage::test::TemporaryFolder folder_;
  FaultyFileCalls calls_;
  boost::asio::io_context io_;
  std::vector<std::string> logged_;
  std::vector<OverrideStore::Outcome> outcomes_;
  AdminOverrides effective_;
  std::unique_ptr<OverrideStore> store_;
};

TEST_F(OverrideStoreTest, WritableFolder_StoresAChangeBeforeItsAnswer) {
  disable("s-1");
  ASSERT_EQ(outcomes_.size(), 1U);
  EXPECT_EQ(outcomes_[0].result, ApplyResult::applied);
  EXPECT_FALSE(outcomes_[0].not_stored);
  EXPECT_TRUE(stored().is_disabled("s-1") && effective_.is_disabled("s-1"));
  submit(Kind::enable_endpoint, "s-1", 2);
  submit(Kind::enable_endpoint, "s-1", 3);
  EXPECT_EQ(outcomes_[1].result, ApplyResult::applied);
  EXPECT_EQ(outcomes_[2].result, ApplyResult::no_effect);
  EXPECT_EQ(store_->pending(), 0U);
  EXPECT_TRUE(logged_.empty());
}

TEST_F(OverrideStoreTest, NoFolder_ChangeTakesEffectInThisProcess) {
  OverrideStore alone(
      io_, nullptr, [](std::string_view) {}, [this](const AdminOverrides& now) { effective_ = now; });
  bool is_answered = false;
  alone.submit({Kind::disable_endpoint, "s-1", 1}, [&](const OverrideStore::Outcome& outcome) {
    is_answered = !outcome.not_stored && outcome.result == ApplyResult::applied;
  });
  EXPECT_TRUE(is_answered && effective_.is_disabled("s-1"));
}

// For each step and error: a change takes effect in this process at once, is answered as not stored, and is
// stored once that is possible.
TEST_F(OverrideStoreTest, FailedWrite_ChangeTakesEffectAndIsStoredLater) {
  disable("s-0");
  int count = 0;
  for (const auto& [call, step] : std::vector<std::pair<Call, FileStep>>{{Call::open, FileStep::open_lock},
                                                                         {Call::try_lock, FileStep::lock},
                                                                         {Call::read, FileStep::read},
                                                                         {Call::write, FileStep::write},
                                                                         {Call::sync, FileStep::sync},
                                                                         {Call::rename, FileStep::rename}}) {
    for (const int error : {ENOSPC, EIO}) {
      const std::string id = "s-" + std::to_string(++count);
      logged_.clear();
      outcomes_.clear();
      calls_.fail_always(call, error);
      disable(id, count);
      ASSERT_EQ(outcomes_.size(), 1U);  // answered at once
      ASSERT_TRUE(outcomes_[0].not_stored);
      EXPECT_EQ(outcomes_[0].not_stored->step, step);
      EXPECT_EQ(outcomes_[0].not_stored->error_number, error);
      EXPECT_TRUE(effective_.is_disabled(id));
      EXPECT_FALSE(stored().is_disabled(id));
      EXPECT_TRUE(stored().is_disabled("s-0"));
      EXPECT_EQ(store_->pending(), 1U);
      const auto tries = [&] { return std::count(calls_.made.begin(), calls_.made.end(), call); };
      const auto before = tries();
      ASSERT_TRUE(run_until([&] { return tries() >= before + 2; }));  // retried more than once
      EXPECT_EQ(logged_.size(), 1U);
      EXPECT_NE(logged_[0].find("not stored yet: " + folder_.path()), std::string::npos) << logged_[0];
      calls_.succeed();
      ASSERT_TRUE(run_until([&] { return store_->pending() == 0; }));
      EXPECT_TRUE(stored().is_disabled(id) && stored().is_disabled("s-0"));
      EXPECT_EQ(logged_.size(), 2U);
    }
  }
}

TEST_F(OverrideStoreTest, PendingChanges_AreRetriedWithBackoffAndStayBounded) {
  calls_.fail_always(Call::sync, ENOSPC);
  disable("s-1");
  const auto start = Steady::now();
  ASSERT_TRUE(run_until([&] { return std::count(calls_.made.begin(), calls_.made.end(), Call::sync) >= 4; }));
  EXPECT_GE(Steady::now() - start, 700ms);  // 100, 200 and 400 ms
  for (int i = 0; i < 50; ++i) {
    submit(Kind::disable_endpoint, "s-1", 10 + i);
    submit(Kind::enable_endpoint, "s-1", 10 + i);
  }
  EXPECT_LE(store_->pending(), 2U);
  EXPECT_FALSE(effective_.is_disabled("s-1"));
  // Each change is answered at once.
  EXPECT_EQ(outcomes_.size(), 101U);
}

TEST_F(OverrideStoreTest, SeveralPendingChangesOfAnEndpoint_LastOneIsStored) {
  calls_.fail_always(Call::rename, EIO);
  disable("s-1", 1);
  submit(Kind::enable_endpoint, "s-1", 2);
  EXPECT_EQ(outcomes_.at(1).result, ApplyResult::applied);
  submit(Kind::disable_endpoint, "s-2", 3);
  submit(Kind::start_drain, "", 4);
  calls_.succeed();
  ASSERT_TRUE(run_until([&] { return store_->pending() == 0; }));
  EXPECT_EQ(stored(), effective_);
  EXPECT_FALSE(stored().is_disabled("s-1"));
  EXPECT_EQ(stored().endpoints().at("s-1").changed_at, 2);  // from then on it counts as started
  EXPECT_TRUE(stored().is_disabled("s-2") && stored().is_draining());
}

// The other process receives its commands later than this one, and stores them first.
TEST_F(OverrideStoreTest, LaterChangeOfTheOtherProcess_PrevailsOverAPendingOne) {
  disable("s-1", 1);
  calls_.fail_always(Call::write, ENOSPC);
  disable("s-2", 10);
  submit(Kind::enable_endpoint, "s-1", 10);
  SharedFolder other(folder_.path(), [](std::string_view) {});
  other.update({}, [](AdminOverrides& overrides) {
    overrides.disable("s-2", 11);
    overrides.enable("s-2", 12);
    overrides.disable("s-3", 12);
  });
  store_->refresh();
  EXPECT_FALSE(effective_.is_disabled("s-1") || effective_.is_disabled("s-2"));
  EXPECT_TRUE(effective_.is_disabled("s-3"));
  calls_.succeed();
  ASSERT_TRUE(run_until([&] { return store_->pending() == 0; }));
  EXPECT_EQ(stored(), effective_);
  EXPECT_FALSE(stored().is_disabled("s-1") || stored().is_disabled("s-2"));
  EXPECT_TRUE(stored().is_disabled("s-3"));
}

TEST_F(OverrideStoreTest, MalformedFile_ChangesNothingAndIsLoggedOnce) {
  disable("s-1");
  for (const char* malformed : {"", "{", "no list", "{\"format\":\"streampick overrides\",\"version\":2}"}) {
    logged_.clear();
    folder_.put(kFile, malformed);
    for (int i = 0; i < 3; ++i) store_->refresh();
    EXPECT_TRUE(effective_.is_disabled("s-1") && store_->current().is_disabled("s-1"));
    ASSERT_EQ(logged_.size(), 1U) << malformed;
    EXPECT_NE(logged_[0].find(folder_.path_of(kFile) + " is not used: "), std::string::npos);
    EXPECT_EQ(logged_[0].find('\n'), std::string::npos);
    disable("s-2", 2);  // the last valid state is stored again
    EXPECT_TRUE(stored().is_disabled("s-1") && stored().is_disabled("s-2"));
  }
}

TEST_F(OverrideStoreTest, UnreadableFile_ChangesNothingUntilItCanBeRead) {
  disable("s-1");
  SharedFolder other(folder_.path(), [](std::string_view) {});
  other.update({}, [](AdminOverrides& overrides) { overrides.disable("s-2", 2); });
  for (const Call call : {Call::open, Call::read}) {
    logged_.clear();
    calls_.fail_always(call, EIO);
    for (int i = 0; i < 3; ++i) store_->refresh();
    EXPECT_TRUE(effective_.is_disabled("s-1"));
    EXPECT_FALSE(effective_.is_disabled("s-2"));
    EXPECT_EQ(logged_.size(), 1U);
  }
  calls_.succeed();
  store_->refresh();
  EXPECT_TRUE(effective_.is_disabled("s-1") && effective_.is_disabled("s-2"));
}

TEST_F(OverrideStoreTest, PendingChangeAtDestruction_IsTriedOnceMore) {
  calls_.fail_always(Call::write, ENOSPC);
  disable("s-1");
  calls_.succeed();
  store_.reset();
  EXPECT_TRUE(stored().is_disabled("s-1"));
  begin();
  store_->refresh();
  EXPECT_TRUE(effective_.is_disabled("s-1"));
}

// ---- Contention for the lock

class LockedOverrideStoreTest : public OverrideStoreTest {
 protected:
  /// Starts a process that takes the lock and stops.
  void hold_lock_in_stopped_process() {
    std::array<int, 2> ready{};
    ASSERT_EQ(::pipe(ready.data()), 0);
    holder_ = storage::test::start_process([&] {
      FileCalls& calls = FileCalls::system();
      const int file = calls.open(folder_.path_of("streampick.lock"), O_RDWR | O_CREAT);
      if (calls.try_lock(file) != 0 || ::write(ready[1], "x", 1) != 1) ::_exit(1);
      ::raise(SIGSTOP);
    });
    char byte = 0;
    ASSERT_EQ(::read(ready[0], &byte, 1), 1);
    ::close(ready[0]);
    ::close(ready[1]);
    int status = 0;
    ASSERT_EQ(::waitpid(holder_, &status, WUNTRACED), holder_);
    ASSERT_TRUE(WIFSTOPPED(status));
  }
  void kill_holder() {
    if (holder_ <= 0) return;
    ::kill(holder_, SIGKILL);
    EXPECT_EQ(storage::test::end_of(std::exchange(holder_, 0)), 1000 + SIGKILL);
  }
  ~LockedOverrideStoreTest() override { kill_holder(); }
  using FileCalls = storage::FileCalls;
  pid_t holder_ = 0;
};

TEST_F(LockedOverrideStoreTest, StoppedLockHolder_AnswerIsTimelyAndNothingIsWritten) {
  hold_lock_in_stopped_process();
  const auto start = Steady::now();
  disable("s-1");
  EXPECT_LT(Steady::now() - start, 50ms);      // submit() does not block
  EXPECT_TRUE(effective_.is_disabled("s-1"));  // and the change is in effect
  EXPECT_TRUE(outcomes_.empty());
  ASSERT_TRUE(run_until([&] { return outcomes_.size() == 1; }));
  EXPECT_GE(Steady::now() - start, OverrideStore::kMaxLockWait);
  EXPECT_LT(Steady::now() - start, 1s);
  EXPECT_EQ(*outcomes_[0].not_stored,
            (FileError{FileStep::lock, EWOULDBLOCK, folder_.path_of("streampick.lock")}));
  EXPECT_EQ(outcomes_[0].result, ApplyResult::applied);
  // The next change is answered without another wait.
  disable("s-2");
  EXPECT_EQ(outcomes_.size(), 2U);
  EXPECT_FALSE(folder_.names().contains(kFile));
  kill_holder();
  ASSERT_TRUE(run_until([&] { return store_->pending() == 0; }));
  EXPECT_TRUE(stored().is_disabled("s-1") && stored().is_disabled("s-2"));
}

TEST_F(LockedOverrideStoreTest, LockReleasedWithinTheWait_ChangeIsStoredBeforeItsAnswer) {
  hold_lock_in_stopped_process();
  disable("s-1");
  disable("s-2");
  ASSERT_FALSE(run_until([&] { return !outcomes_.empty(); }, 50ms));
  kill_holder();
  ASSERT_TRUE(run_until([&] { return outcomes_.size() == 2; }));
  EXPECT_FALSE(outcomes_[0].not_stored || outcomes_[1].not_stored);
  EXPECT_TRUE(stored().is_disabled("s-1") && stored().is_disabled("s-2"));
  EXPECT_TRUE(logged_.empty());
}

// The other process takes 200 ms for its change, between reading the file and writing it.
TEST_F(LockedOverrideStoreTest, TwoProcessesChangeAtTheSameTime_BothChangesAreStored) {
  std::array<int, 2> ready{};
  ASSERT_EQ(::pipe(ready.data()), 0);
  const pid_t other = storage::test::start_process([&] {
    FaultyFileCalls slow;
    slow.hook = [&](Call call, int, const std::string&) {
      if (call != Call::write) return 0;  // after it has read the file
      if (::write(ready[1], "x", 1) != 1) ::_exit(1);
      ::usleep(200'000);
      return 0;
    };
    SharedFolder folder(
        folder_.path(), [](std::string_view) {}, slow);
    folder.update({}, [](AdminOverrides& overrides) { overrides.disable("s-other", 1); });
  });
  char byte = 0;
  ASSERT_EQ(::read(ready[0], &byte, 1), 1);
  disable("s-ours");
  ASSERT_TRUE(run_until([&] { return store_->pending() == 0; }));
  EXPECT_EQ(storage::test::end_of(other), 0);
  EXPECT_TRUE(stored().is_disabled("s-other"));
  EXPECT_TRUE(stored().is_disabled("s-ours"));
  ::close(ready[0]);
  ::close(ready[1]);
}

TEST_F(LockedOverrideStoreTest, ManyConcurrentChangesOfFourProcesses_NoneIsLost) {
  constexpr int kProcesses = 4, kEach = 50;
  std::vector<pid_t> children;
  for (int process = 0; process < kProcesses; ++process)
    children.push_back(storage::test::start_process([&] {
      boost::asio::io_context io;  // not the one inherited from the parent process
      OverrideStore store(
          io, std::make_unique<SharedFolder>(folder_.path(), [](std::string_view) {}),
          [](std::string_view) {}, [](const AdminOverrides&) {});
      int answered = 0;
      for (int i = 0; i < kEach; ++i)
        store.submit({Kind::disable_endpoint, "s-" + std::to_string(process * kEach + i), 1},
                     [&](const OverrideStore::Outcome&) { ++answered; });
      while (store.pending() > 0 || answered < kEach) io.run_one_for(5ms);
    }));
  for (const pid_t child : children) EXPECT_EQ(storage::test::end_of(child), 0);
  EXPECT_EQ(stored().endpoints().size(), static_cast<std::size_t>(kProcesses * kEach));
}

}  // namespace
}  // namespace streampick::takeover::test
