#include "takeover/shared_folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <thread>
#include <utility>

namespace streampick::takeover {
namespace {

constexpr int kTries = 20;
constexpr std::chrono::milliseconds kBetween{5};

// Closed when it goes.
class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  ~Descriptor() {
    if (number_ >= 0) ::close(number_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int number() const { return number_; }
  explicit operator bool() const { return number_ >= 0; }

 private:
  int number_;
};

std::string stamp_of(const struct stat& file) {
  return std::to_string(file.st_ino) + " " + std::to_string(file.st_size) + " " +
         std::to_string(file.st_mtim.tv_sec) + "." + std::to_string(file.st_mtim.tv_nsec);
}

std::string stamp_of(const std::string& path) {
  struct stat file {};
  return ::stat(path.c_str(), &file) == 0 ? stamp_of(file) : std::string();
}

}  // namespace

SharedFolder::SharedFolder(std::string folder, Log log)
    : path_(folder + "/streampick.overrides"),
      lock_path_(std::move(folder) + "/streampick.lock"),
      log_(std::move(log)) {}

void SharedFolder::complain(const std::string& what) {
  if (what == complaint_) return;
  complaint_ = what;
  log_("shared folder: " + what);
}

std::optional<control::Overrides> SharedFolder::read() {
  const Descriptor file(::open(path_.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file) {
    seen_.clear();
    if (errno != ENOENT) complain(path_ + ": " + std::strerror(errno));
    return std::nullopt;
  }
  struct stat status {};
  ::fstat(file.number(), &status);
  seen_ = stamp_of(status);
  std::string text;
  char chunk[4096];
  for (ssize_t got = 0; (got = ::read(file.number(), chunk, sizeof chunk)) > 0;) {
    text.append(chunk, static_cast<std::size_t>(got));
    if (text.size() > control::Overrides::kLongestText) break;
  }
  try {
    return control::Overrides::parse(text);
  } catch (const std::exception& error) {
    complain(path_ + " is not used: " + error.what());
    return std::nullopt;
  }
}

std::optional<control::Overrides> SharedFolder::news() {
  if (stamp_of(path_) == seen_) return std::nullopt;
  return read();
}

bool SharedFolder::write(const std::string& text) {
  const std::string aside = path_ + "." + std::to_string(::getpid());
  {
    const Descriptor file(::open(aside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    std::size_t written = 0;
    while (file && written < text.size()) {
      const ssize_t put = ::write(file.number(), text.data() + written, text.size() - written);
      if (put <= 0) break;
      written += static_cast<std::size_t>(put);
    }
    if (!file || written < text.size()) {
      complain(aside + ": " + std::strerror(errno));
      ::unlink(aside.c_str());
      return false;
    }
  }
  if (::rename(aside.c_str(), path_.c_str()) == 0) return true;
  complain(path_ + ": " + std::strerror(errno));
  ::unlink(aside.c_str());
  return false;
}

control::Overrides SharedFolder::change(const control::Overrides& otherwise,
                                        const std::function<void(control::Overrides&)>& what) {
  const Descriptor lock(::open(lock_path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  // Held for the time of a small file. A process that was stopped while holding it is not waited for.
  for (int tries = 0; lock && ::flock(lock.number(), LOCK_EX | LOCK_NB) != 0 && tries < kTries; ++tries)
    std::this_thread::sleep_for(kBetween);
  control::Overrides next = read().value_or(otherwise);
  what(next);
  if (write(next.text())) seen_ = stamp_of(path_);
  return next;
}

}  // namespace streampick::takeover
