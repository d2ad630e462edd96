// A host process that is suspended with calls in flight: a child process that gets SIGSTOP and SIGCONT.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "fleet.h"
#include "report.h"

namespace streampick::test {
namespace {

using namespace std::chrono_literals;

// Runs host_main.cpp as a child process, which opens a client, makes `calls` calls and reports their
// outcomes. The child of fork() only calls exec, since this process has threads.
class Host {
 public:
  Host(const ClientSettings& settings, int calls, std::chrono::milliseconds deadline,
       const std::string& mode = "")
      : path_(std::filesystem::temp_directory_path() /
              ("streampick-host-" + std::to_string(::getpid()) + ".json")) {
    std::ofstream(path_) << settings.config;
    const std::string path = path_.string(), many = std::to_string(calls),
                      limit = std::to_string(deadline.count());
    std::array<int, 2> out{};
    if (::pipe(out.data()) != 0) std::abort();
    child_ = ::fork();
    if (child_ == 0) {
      ::dup2(out[1], 3);
      ::execl(STREAMPICK_PLUGIN_HOST, STREAMPICK_PLUGIN_HOST, path.c_str(), many.c_str(), limit.c_str(),
              mode.c_str(), nullptr);
      ::_exit(9);
    }
    ::close(out[1]);
    in_ = out[0];
    char ready = 0;
    (void)!::read(in_, &ready, 1);
  }
  ~Host() {
    ::close(in_);
    std::filesystem::remove(path_);
  }
  // `at_begin` and `at_end` run while the process is stopped.
  void stop_for(std::chrono::milliseconds time, const std::function<void()>& at_begin = {},
                const std::function<void()>& at_end = {}) {
    ::kill(child_, SIGSTOP);
    int status = 0;
    ::waitpid(child_, &status, WUNTRACED);
    if (at_begin) at_begin();
    std::this_thread::sleep_for(time);
    if (at_end) at_end();
    ::kill(child_, SIGCONT);
  }
  void kill_it() {
    ::kill(child_, SIGKILL);
    wait();
  }
  int wait() {
    int status = 0;
    ::waitpid(child_, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  Report report() {
    Report out;
    if (::read(in_, &out, sizeof out) != sizeof out) ADD_FAILURE() << "the host process sent no report";
    int status = 0;
    ::waitpid(child_, &status, 0);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    return out;
  }

 private:
  std::filesystem::path path_;
  pid_t child_ = -1;
  int in_ = -1;
};

TEST(PluginSuspension, DeadlineDuringSuspension_FailsAsLateDespiteReceivedResponses) {
  StandinFleet fleet(3, 300ms);
  Host host(fleet.settings, 4, 1'000ms);
  while (fleet.requests() < 4) std::this_thread::sleep_for(1ms);
  host.stop_for(2'000ms);  // the responses arrive during the suspension
  const Report report = host.report();
  EXPECT_EQ(report.ends, 4);
  EXPECT_EQ(report.served, 0);
  EXPECT_EQ(report.failed, 4);
  EXPECT_EQ(report.late, 4);
  EXPECT_GE(report.suspensions, 1U);
}

TEST(PluginSuspension, DeadlineAfterSuspension_IsServedWithoutHedgesFromOverdueTimers) {
  StandinFleet fleet(4, 600ms);
  Host host(fleet.settings, 8, 4'000ms);
  while (fleet.requests() < 8) std::this_thread::sleep_for(1ms);
  host.stop_for(1'000ms);
  const Report report = host.report();
  EXPECT_EQ(report.served, 8);
  // Eight hedge timers of 320 ms fell due during the suspension; a hedge for each would make 16 attempts.
  EXPECT_LE(report.attempts, 10U);
  EXPECT_GE(report.suspensions, 1U);
}

TEST(PluginSuspension, StopOfFiftyMilliseconds_ChangesNothing) {
  StandinFleet fleet(3, 200ms);
  Host host(fleet.settings, 4, 4'000ms);
  host.stop_for(50ms);
  const Report report = host.report();
  EXPECT_EQ(report.served, 4);
  EXPECT_EQ(report.attempts, 4U);
}

TEST(PluginSuspension, StopOfTwentySeconds_FailsEachCallOnceAndRepeatsNoSave) {
  StandinFleet fleet(3, 500ms);
  Host host(fleet.settings, 8, 3'000ms, "saves");
  while (fleet.requests() < 8) std::this_thread::sleep_for(1ms);
  const std::uint64_t before = fleet.requests();
  host.stop_for(20'000ms);
  const Report report = host.report();
  EXPECT_EQ(report.ends, 8);
  EXPECT_EQ(report.failed, 8);
  EXPECT_EQ(report.late, 8);
  EXPECT_GE(report.suspensions, 1U);
  EXPECT_EQ(fleet.requests(), before);  // calls past their deadline send nothing
}

TEST(PluginSuspension, ServerThatLeavesDuringSuspension_GetsNoNewRequests) {
  StandinFleet fleet(3, 300ms);
  Host host(fleet.settings, 8, 4'000ms, "again");
  while (fleet.requests() < 8) std::this_thread::sleep_for(1ms);
  // The server reads what was sent before the suspension while the process is stopped.
  std::uint64_t before = 0;
  host.stop_for(
      3'000ms,
      [&] {
        EXPECT_GT(fleet.requests_at(0), 0U);
        fleet.tell_leaves(0, 200ms);  // the list is delayed, and new calls wait for it
        fleet.delay(2ms);
      },
      [&] { before = fleet.requests_at(0); });
  const Report report = host.report();
  EXPECT_EQ(report.ends, 16);
  EXPECT_EQ(report.served, 16);
  EXPECT_EQ(fleet.requests_at(0), before);
}

// Guards against a list that waited through the suspension and ends the hold of new attempts: it does not
// name the server that left meanwhile.
TEST(PluginSuspension, ListSentBeforeAServerLeaves_DoesNotEndTheHold) {
  StandinFleet fleet(3, 300ms);
  Host host(fleet.settings, 8, 4'000ms, "again");
  while (fleet.requests() < 8) std::this_thread::sleep_for(1ms);
  std::this_thread::sleep_for(100ms);  // the first list has been read
  std::uint64_t before = 0;
  host.stop_for(
      3'000ms,
      [&] {
        fleet.repeat_list();
        std::this_thread::sleep_for(100ms);
        EXPECT_GT(fleet.requests_at(0), 0U);
        fleet.tell_leaves(0, 200ms);  // the list is delayed, and new calls wait for it
        fleet.delay(2ms);
      },
      [&] { before = fleet.requests_at(0); });
  const Report report = host.report();
  EXPECT_EQ(report.ends, 16);
  EXPECT_EQ(report.served, 16);
  EXPECT_EQ(fleet.requests_at(0), before);
}

TEST(PluginSuspension, SuspensionDuringDrain_EndsEachCallOnce) {
  StandinFleet fleet(3, 500ms);
  Host host(fleet.settings, 6, 2'000ms, "drain");
  while (fleet.requests() < 6) std::this_thread::sleep_for(1ms);
  host.stop_for(3'000ms);
  const Report report = host.report();
  EXPECT_EQ(report.ends, 6);
  EXPECT_EQ(report.served, 0);
  EXPECT_EQ(report.failed + report.cancelled, 6);
}

TEST(PluginHost, ExitWithoutDrain_ClosesConnectionsAndSendsNothingMore) {
  for (const bool killed : {true, false}) {
    StandinFleet fleet(3, 5'000ms);
    Host host(fleet.settings, 6, 4'000ms, killed ? "" : "exit");
    while (fleet.requests() < 6) std::this_thread::sleep_for(1ms);
    if (killed) {
      EXPECT_EQ(fleet.watches(), 1U);
      host.kill_it();
    } else {
      EXPECT_EQ(host.wait(), 0);
    }
    for (int i = 0; i < 2'000 && fleet.watches() > 0; ++i) std::this_thread::sleep_for(1ms);
    EXPECT_EQ(fleet.watches(), 0U);
    const std::uint64_t sent = fleet.requests();
    std::this_thread::sleep_for(500ms);  // hedges would have been due
    EXPECT_EQ(fleet.requests(), sent);
  }
}

TEST(PluginHost, NoFreeDescriptor_EndsEachCallAndServesAgainOnceThereAreSome) {
  StandinFleet fleet(3, 2ms);
  Host host(fleet.settings, 6, 1'500ms, "nofile");
  const Report report = host.report();
  EXPECT_EQ(report.ends, 12);
  EXPECT_EQ(report.served, 6);
  EXPECT_EQ(report.rejected + report.failed, 6);
}

}  // namespace
}  // namespace streampick::test
