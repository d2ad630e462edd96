/// A folder that is removed at the end of its test, and child processes for tests that kill them.
#pragma once

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <string>

namespace streampick::storage::test {

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (std::filesystem::path(::testing::TempDir()) / "streampick_folder_XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) std::abort();
    path_ = name;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string path() const { return path_.string(); }
  std::string path_of(const std::string& name) const { return (path_ / name).string(); }
  std::string text_of(const std::string& name) const {
    std::ifstream file(path_ / name, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  void put(const std::string& name, const std::string& text) const {
    std::ofstream(path_ / name, std::ios::binary) << text;
  }
  std::set<std::string> names() const {
    std::set<std::string> out;
    for (const auto& entry : std::filesystem::directory_iterator(path_))
      out.insert(entry.path().filename().string());
    return out;
  }

 private:
  std::filesystem::path path_;
};

/// Runs `body` in a child process that then exits with status 0. Returns the id of the process.
inline pid_t start_process(const std::function<void()>& body) {
  const pid_t child = ::fork();
  if (child != 0) return child;
  body();
  ::_exit(0);
}

/// Waits for the end of the process. Returns the exit status, or 1000 plus the number of the signal.
inline int end_of(pid_t child) {
  int status = 0;
  if (::waitpid(child, &status, 0) != child) return -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
}

}  // namespace streampick::storage::test
