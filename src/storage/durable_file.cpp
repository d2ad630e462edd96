#include "storage/durable_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <filesystem>
#include <system_error>

#include "storage/descriptor.h"

namespace streampick::storage {
namespace {

constexpr std::size_t kReadChunk = std::size_t{16} * 1024;
/// The suffix of the seed file's temporary files in earlier versions.
constexpr std::string_view kOldSuffix = "new";

/// Repeats a system call while it fails with EINTR.
template <typename SystemCall>
auto retry_on_eintr(SystemCall system_call) {
  auto result = system_call();
  while (result < 0 && errno == EINTR) result = system_call();
  return result;
}

FileError last_error(FileStep step, const std::string& path) { return {step, errno, path}; }

std::string temporary_path(const std::string& path) { return path + "." + std::to_string(::getpid()); }

std::string folder_of(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  if (slash == std::string::npos) return ".";
  return slash == 0 ? "/" : path.substr(0, slash);
}

std::optional<FileError> write_all(const Descriptor& file, const std::string& path, std::string_view text,
                                   FileCalls& calls) {
  while (!text.empty()) {
    const ssize_t written =
        retry_on_eintr([&] { return calls.write(file.number(), text.data(), text.size()); });
    if (written < 0) return last_error(FileStep::write, path);
    // Neither an error nor progress: a retry might loop forever.
    if (written == 0) return FileError{FileStep::write, EIO, path};
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return std::nullopt;
}

std::optional<FileError> write_temporary(const std::string& path, std::string_view text, FileCalls& calls) {
  Descriptor file(calls, path, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file.is_valid()) return last_error(FileStep::open, path);
  if (auto error = write_all(file, path, text, calls)) return error;
  if (retry_on_eintr([&] { return calls.sync(file.number()); }) != 0) return last_error(FileStep::sync, path);
  // After EINTR the descriptor is closed as well, and sync() has already put all bytes on the disk.
  if (file.close() != 0 && errno != EINTR) return last_error(FileStep::close, path);
  return std::nullopt;
}

std::optional<FileError> sync_folder(const std::string& folder, FileCalls& calls) {
  const Descriptor descriptor(calls, folder, O_RDONLY | O_DIRECTORY);
  if (!descriptor.is_valid()) return last_error(FileStep::open_folder, folder);
  if (retry_on_eintr([&] { return calls.sync(descriptor.number()); }) == 0) return std::nullopt;
  // EINVAL: the file system does not support syncing a folder.
  if (errno == EINVAL) return std::nullopt;
  return last_error(FileStep::sync_folder, folder);
}

bool is_running(pid_t process) { return ::kill(process, 0) == 0 || errno != ESRCH; }

/// Whether a temporary file with this suffix, which follows the file's name and a dot, was left by a writer
/// that was killed. A file with this process's id is of an earlier process: this process has just started.
bool is_stale_suffix(std::string_view suffix) {
  if (suffix == kOldSuffix) return true;
  pid_t writer = 0;
  const char* const end = suffix.data() + suffix.size();
  const auto [parsed_to, error] = std::from_chars(suffix.data(), end, writer);
  if (error != std::errc{} || parsed_to != end || writer <= 0) return false;
  return writer == ::getpid() || !is_running(writer);
}

}  // namespace

Descriptor::Descriptor(FileCalls& calls, const std::string& path, int flags)
    : calls_(&calls), number_(retry_on_eintr([&] { return calls.open(path, flags); })) {}

Descriptor::~Descriptor() {
  if (is_valid()) calls_->close(number_);
}

int Descriptor::close() { return calls_->close(std::exchange(number_, kNone)); }

std::string to_string(const FileError& error) {
  static constexpr std::array<const char*, 10> kSteps = {
      "open",   "read",        "write",       "sync",           "close",
      "rename", "open folder", "sync folder", "open lock file", "lock"};
  return error.path + ": " + kSteps.at(static_cast<std::size_t>(error.step)) + ": " +
         std::generic_category().message(error.error_number);
}

std::optional<FileError> replace_file(const std::string& path, std::string_view text, FileCalls& calls) {
  const std::string temporary = temporary_path(path);
  if (auto error = write_temporary(temporary, text, calls)) {
    calls.unlink(temporary);
    return error;
  }
  if (calls.rename(temporary, path) != 0) {
    FileError error = last_error(FileStep::rename, path);
    calls.unlink(temporary);
    return error;
  }
  return sync_folder(folder_of(path), calls);
}

std::variant<std::string, FileError> read_file(const std::string& path, std::size_t max_size,
                                               FileCalls& calls) {
  // O_NONBLOCK: the open of a pipe would wait for a writer.
  const Descriptor file(calls, path, O_RDONLY | O_NONBLOCK);
  if (!file.is_valid()) return last_error(FileStep::open, path);
  struct stat status {};
  if (::fstat(file.number(), &status) != 0) return last_error(FileStep::read, path);
  if (!S_ISREG(status.st_mode)) return FileError{FileStep::read, EINVAL, path};
  std::string text;
  std::array<char, kReadChunk> chunk{};
  while (text.size() <= max_size) {
    const std::size_t wanted = std::min(chunk.size(), max_size + 1 - text.size());
    const ssize_t got = retry_on_eintr([&] { return calls.read(file.number(), chunk.data(), wanted); });
    if (got < 0) return last_error(FileStep::read, path);
    if (got == 0) break;
    text.append(chunk.data(), static_cast<std::size_t>(got));
  }
  return text;
}

std::size_t remove_stale_temporaries(const std::string& path, FileCalls& calls) {
  const std::string prefix = path.substr(path.rfind('/') + 1) + ".";
  std::size_t removed = 0;
  std::error_code error;
  for (std::filesystem::directory_iterator entry(folder_of(path), error), end; !error && entry != end;
       entry.increment(error)) {
    const std::string name = entry->path().filename().string();
    if (name.compare(0, prefix.size(), prefix) != 0) continue;
    if (!is_stale_suffix(std::string_view(name).substr(prefix.size()))) continue;
    std::error_code ignored;
    if (!entry->is_regular_file(ignored)) continue;
    if (calls.unlink(entry->path().string()) == 0) ++removed;
  }
  return removed;
}

}  // namespace streampick::storage
