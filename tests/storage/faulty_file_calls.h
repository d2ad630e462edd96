/// File calls that fail, are interrupted or kill the process on demand, for tests of files on disk.
#pragma once

#include <array>
#include <cerrno>
#include <csignal>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "storage/file_calls.h"

namespace streampick::storage::test {

enum class Call { open, read, write, sync, close, rename, unlink, try_lock };
inline constexpr std::array<Call, 8> kAllCalls = {Call::open,  Call::read,   Call::write,  Call::sync,
                                                  Call::close, Call::rename, Call::unlink, Call::try_lock};

class FaultyFileCalls final : public FileCalls {
 public:
  /// Called before each system call with the call's index, from 0, among calls of its kind. The system call
  /// fails with the `errno` that the hook returns, unless that is 0.
  using Hook = std::function<int(Call call, int number, const std::string& path)>;
  Hook hook;
  /// Maximum number of bytes that one write accepts; 0: no limit.
  std::size_t largest_write = 0;
  std::vector<Call> made;

  /// Makes the call of this kind and index fail, counted from this moment.
  void fail(Call call, int number, int error) {
    numbers_.clear();
    hook = [=](Call current, int at, const std::string&) {
      return current == call && at == number ? error : 0;
    };
  }
  void fail_always(Call call, int error) {
    hook = [=](Call current, int, const std::string&) { return current == call ? error : 0; };
  }
  void succeed() { hook = {}; }

  int open(const std::string& path, int flags) override {
    return begin(Call::open, path) ? FileCalls::open(path, flags) : -1;
  }
  ssize_t read(int descriptor, char* into, std::size_t size) override {
    return begin(Call::read, {}) ? FileCalls::read(descriptor, into, size) : -1;
  }
  ssize_t write(int descriptor, const char* from, std::size_t size) override {
    if (!begin(Call::write, {})) return -1;
    return FileCalls::write(descriptor, from, largest_write == 0 ? size : std::min(size, largest_write));
  }
  int sync(int descriptor) override { return begin(Call::sync, {}) ? FileCalls::sync(descriptor) : -1; }
  int close(int descriptor) override {
    const bool succeeds = begin(Call::close, {});
    const int error = errno;
    const int result = FileCalls::close(descriptor);
    if (succeeds) return result;
    errno = error;
    return -1;
  }
  int rename(const std::string& from, const std::string& to) override {
    return begin(Call::rename, to) ? FileCalls::rename(from, to) : -1;
  }
  int unlink(const std::string& path) override {
    return begin(Call::unlink, path) ? FileCalls::unlink(path) : -1;
  }
  int try_lock(int descriptor) override {
    return begin(Call::try_lock, {}) ? FileCalls::try_lock(descriptor) : -1;
  }

 private:
  bool begin(Call call, const std::string& path) {
    made.push_back(call);
    const int number = numbers_[call]++;
    const int error = hook ? hook(call, number, path) : 0;
    if (error == 0) return true;
    errno = error;
    return false;
  }
  std::map<Call, int> numbers_;
};

}  // namespace streampick::storage::test
