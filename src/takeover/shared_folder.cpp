#include "takeover/shared_folder.h"

#include <fcntl.h>
#include <sys/stat.h>

#include <cerrno>
#include <utility>

namespace streampick::takeover {
namespace {

using control::AdminOverrides;
using storage::FileError;
using storage::FileStep;

/// Identifies a version of the file: each version is a new file with its own inode and modification time.
std::string stamp_of(const std::string& path) {
  struct stat file {};
  if (::stat(path.c_str(), &file) != 0) return {};
  return std::to_string(file.st_ino) + " " + std::to_string(file.st_size) + " " +
         std::to_string(file.st_mtim.tv_sec) + "." + std::to_string(file.st_mtim.tv_nsec);
}

}  // namespace

SharedFolder::SharedFolder(const std::string& folder, Log log, storage::FileCalls& calls)
    : path_(folder + "/streampick.overrides"),
      lock_path_(folder + "/streampick.lock"),
      log_(std::move(log)),
      calls_(calls) {
  storage::remove_stale_temporaries(path_, calls_);
}

void SharedFolder::log_once(const std::string& problem) {
  if (problem == last_problem_) return;
  last_problem_ = problem;
  log_("shared folder: " + problem);
}

std::variant<std::optional<AdminOverrides>, FileError> SharedFolder::read() {
  // The stamp is taken before the file is opened: a file that is replaced in between is read again next time.
  const std::string stamp = stamp_of(path_);
  auto content = storage::read_file(path_, AdminOverrides::kMaxTextSize, calls_);
  if (const auto* error = std::get_if<FileError>(&content)) {
    if (error->step != FileStep::open || error->error_number != ENOENT) return *error;
    last_stamp_.clear();
    return std::nullopt;
  }
  last_stamp_ = stamp;
  try {
    AdminOverrides overrides = AdminOverrides::parse(std::get<std::string>(content));
    last_problem_.clear();
    return overrides;
  } catch (const std::exception& malformed) {
    log_once(path_ + " is not used: " + malformed.what());
    return std::nullopt;
  }
}

std::optional<AdminOverrides> SharedFolder::read_if_changed() {
  if (stamp_of(path_) == last_stamp_) return std::nullopt;
  auto content = read();
  if (const auto* error = std::get_if<FileError>(&content)) {
    log_once(storage::to_string(*error));
    return std::nullopt;
  }
  return std::get<std::optional<AdminOverrides>>(std::move(content));
}

std::variant<storage::Descriptor, FileError> SharedFolder::lock() {
  storage::Descriptor file(calls_, lock_path_, O_RDWR | O_CREAT);
  if (!file.is_valid()) return FileError{FileStep::open_lock, errno, lock_path_};
  int result = calls_.try_lock(file.number());
  while (result != 0 && errno == EINTR) result = calls_.try_lock(file.number());
  if (result != 0) return FileError{FileStep::lock, errno, lock_path_};
  return file;
}

std::variant<AdminOverrides, FileError> SharedFolder::update(
    const AdminOverrides& fallback, const std::function<void(AdminOverrides&)>& update) {
  const auto held_lock = lock();
  if (const auto* error = std::get_if<FileError>(&held_lock)) return *error;
  auto content = read();
  if (const auto* error = std::get_if<FileError>(&content)) return *error;
  AdminOverrides next = std::get<std::optional<AdminOverrides>>(std::move(content)).value_or(fallback);
  update(next);
  if (auto error = storage::replace_file(path_, next.serialize(), calls_)) return *error;
  last_stamp_ = stamp_of(path_);
  last_problem_.clear();
  return next;
}

}  // namespace streampick::takeover
