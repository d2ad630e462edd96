// Small stand-ins for the review's cases: clients, cache servers, the discovery agent and the platform that
// starts the router. Blocking sockets, one thread per connection, loopback addresses only, the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline double now() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void pause_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void pause_until(double at) { pause_for(at - now()); }

// ---- record.txt: what was sent, answered and run, with the seconds since the start.

class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) file_ = stdout;
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> hold(mutex_);
    std::fprintf(file_, "%8.3f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
};

// ---- Sockets

/// A free loopback port. It was bound a moment ago and is free again.
inline int free_port() {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) return -1;
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

inline int listen_on(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 1024) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

/// Writes all bytes, until `until` at the latest. Returns how many were written.
inline std::size_t write_all(int fd, const char* data, std::size_t size, double until = 1e18) {
  std::size_t done = 0;
  while (done < size) {
    const ssize_t count = ::send(fd, data + done, size - done, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      done += static_cast<std::size_t>(count);
      continue;
    }
    if (count < 0 && errno != EAGAIN && errno != EINTR) break;
    const double left = until - now();
    if (left <= 0) break;
    pollfd entry{fd, POLLOUT, 0};
    ::poll(&entry, 1, static_cast<int>(std::min(left * 1000 + 1, 1000.0)));
  }
  return done;
}
inline bool write_all(int fd, const std::string& text, double until = 1e18) {
  return write_all(fd, text.data(), text.size(), until) == text.size();
}

/// Reads once. Returns the number of bytes, 0 at the end of the connection, -1 on a reset, -2 at `until`.
inline ssize_t read_some(int fd, char* data, std::size_t size, double until = 1e18) {
  for (;;) {
    const double left = until - now();
    if (left <= 0) return -2;
    pollfd entry{fd, POLLIN, 0};
    const int ready = ::poll(&entry, 1, static_cast<int>(std::min(left * 1000 + 1, 1000.0)));
    if (ready <= 0) continue;
    const ssize_t count = ::recv(fd, data, size, MSG_DONTWAIT);
    if (count >= 0) return count;
    if (errno == EAGAIN || errno == EINTR) continue;
    return -1;
  }
}

// ---- HTTP messages

struct Head {
  std::string first_line;
  std::map<std::string, std::string> fields;  // names in small letters
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

inline Head parse_head(const std::string& text) {
  Head head;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t end = text.find("\r\n", at);
    const std::string line = text.substr(at, end - at);
    at = end == std::string::npos ? text.size() : end + 2;
    if (head.first_line.empty()) {
      head.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    head.fields[name] = value == std::string::npos ? "" : line.substr(value);
  }
  return head;
}

/// Reads messages from one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  enum class End { whole, closed, reset, late, spoilt };

  End head(Head& out, double until = 1e18) {
    for (;;) {
      const std::size_t end = buffer_.find("\r\n\r\n");
      if (end != std::string::npos) {
        out = parse_head(buffer_.substr(0, end + 2));
        buffer_.erase(0, end + 4);
        return End::whole;
      }
      if (const End ended = more(until); ended != End::whole) return ended;
    }
  }
  /// The body that follows the head: by length, chunked, or up to the end of the connection for answers.
  End body(const Head& head, bool is_answer, std::string& out, double until = 1e18) {
    out.clear();
    if (head.field("transfer-encoding") == "chunked") return chunks(out, until);
    const std::string length = head.field("content-length");
    if (length.empty() && !is_answer) return End::whole;
    if (length.empty()) {
      for (;;) {
        const End ended = more(until);
        if (ended == End::whole) continue;
        out = std::exchange(buffer_, {});
        return ended == End::closed ? End::whole : ended;
      }
    }
    const std::size_t size = std::strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < size)
      if (const End ended = more(until); ended != End::whole) {
        out = buffer_;
        return ended;
      }
    out = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return End::whole;
  }
  std::size_t buffered() const { return buffer_.size(); }
  int fd() const { return fd_; }

 private:
  End more(double until) {
    char chunk[65536];
    const ssize_t count = read_some(fd_, chunk, sizeof chunk, until);
    if (count == 0) return End::closed;
    if (count == -1) return End::reset;
    if (count == -2) return End::late;
    buffer_.append(chunk, static_cast<std::size_t>(count));
    return End::whole;
  }
  End chunks(std::string& out, double until) {
    for (;;) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos)
        if (const End ended = more(until); ended != End::whole) return ended;
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2)
        if (const End ended = more(until); ended != End::whole) return ended;
      out += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) return End::whole;
    }
  }
  int fd_;
  std::string buffer_;
};

inline const char* name_of(Reader::End end) {
  switch (end) {
    case Reader::End::whole: return "whole";
    case Reader::End::closed: return "closed";
    case Reader::End::reset: return "reset";
    case Reader::End::late: return "nothing in time";
    case Reader::End::spoilt: return "spoilt";
  }
  return "";
}

/// A new X-Txn.
inline std::string new_id() {
  static std::atomic<std::uint64_t> last{static_cast<std::uint64_t>(::getpid()) << 32U};
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last));
  return text;
}

// ---- A server of threads: one for each connection.

class Server {
 public:
  using Serve = std::function<void(int fd)>;
  explicit Server(Serve serve) : serve_(std::move(serve)) {
    listener_ = listen_on(0);
    port_ = port_of(listener_);
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (errno == EBADF || errno == EINVAL) return;
          pause_for(0.01);
          continue;
        }
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread([this, fd] {
          serve_(fd);
          ::close(fd);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  Serve serve_;
  int listener_ = -1;
  int port_ = 0;
};

// ---- Discovery: an agent that pushes. One list, told at once to each watch, then an empty line each 2 s.

struct Listed {
  std::string id, address, zone, kind;
  int cell = 0;
};

inline std::string list_text(const std::vector<Listed>& members) {
  std::string out = "{\"revision\":41,\"complete\":true,\"members\":[";
  for (std::size_t i = 0; i < members.size(); ++i) {
    const Listed& m = members[i];
    out += (i == 0 ? "" : ",") + ("{\"id\":\"" + m.id) + "\",\"host_port\":\"" + m.address +
           "\",\"locality\":\"" + m.zone + "\",\"flavor\":\"" + m.kind +
           "\",\"cell\":" + std::to_string(m.cell) +
           ",\"phase\":\"in_service\",\"size\":1.0,\"up_since_ms\":0}";
  }
  return out + "]}";
}

inline void serve_discovery(int fd, const std::string& list) {
  Reader reader(fd);
  Head head;
  while (reader.head(head) == Reader::End::whole) {
    if (head.first_line.find("watch=1") == std::string::npos) {
      write_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
      continue;
    }
    const auto chunk = [](const std::string& text) {
      char size[20];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      return size + text + "\r\n";
    };
    if (!write_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list + "\n"))) return;
    for (;;) {
      char byte = 0;
      if (read_some(fd, &byte, 1, now() + 2.0) != -2) return;
      if (!write_all(fd, chunk("\n"))) return;
    }
  }
}

// ---- The platform: starts `run` of the deploy file with a configuration.

struct Profile {
  std::string name, effect;
  long aim_us, limit_us, window_us;
};

struct Deployment {
  std::string mode = "aside";
  std::vector<Profile> classes = {{"tile-read", "safe", 800'000, 4'000'000, 5'000'000},
                                  {"annotation-save", "keyed", 1'500'000, 3'000'000, 2'000'000}};
  int memory_mb = 192, sockets = 1024;
};

inline std::string config_text(const Deployment& d, int listen, const std::string& discovery,
                               const std::vector<Listed>& members) {
  std::string profiles;
  for (const Profile& p : d.classes) {
    profiles += (profiles.empty() ? "" : ",") + ("{\"Name\":\"" + p.name) + "\",\"Effect\":\"" + p.effect +
                "\",\"Group\":\"all\",\"AimUs\":" + std::to_string(p.aim_us) +
                ",\"HardLimitUs\":" + std::to_string(p.limit_us) +
                ",\"WindowUs\":" + std::to_string(p.window_us) +
                ",\"Worth\":5.0,\"LateWorth\":0.5,\"Stream\":false}";
  }
  return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + std::to_string(listen) + "\",\"discovery\":\"" +
         discovery + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
         std::to_string(d.memory_mb) + ",\"sockets\":" + std::to_string(d.sockets) +
         "},\"known\":" + list_text(members) +
         ",\"settings\":{\"Az\":\"cyberjaya\",\"Balancers\":1,\"Me\":0,\"Zones\":[\"cyberjaya\",\"bangsar\","
         "\"shah-alam\"],\"Shapes\":[\"single-fast\",\"dual-slow\",\"origin\"],\"Tenants\":[],"
         "\"FamilyInfo\":{\"Mode\":\"" +
         d.mode + "\",\"OriginKind\":" + (d.mode == "aside" ? "2" : "-1") +
         ",\"Ordered\":true},\"PolicyLimits\":{\"MaxAttempts\":3,\"SecondCopies\":true,\"Cancelling\":true,"
         "\"RetryAfter\":true,\"MaxRetryAfterUs\":2000000,\"DialTimeoutUs\":250000,\"KeepaliveUs\":60000000,"
         "\"Probes\":false,\"PeerMessages\":false,\"MostHeld\":31222,\"StreamsPerConn\":1},"
         "\"Guarantees\":{\"AnswerSlackUs\":20000,\"StopSendingWithinUs\":2000000,\"ColdShare\":0.15,"
         "\"ColdUs\":24000000,\"OverloadFactor\":3.0,\"TipAfterUs\":1000000},\"RegistryMode\":\"push\","
         "\"Report\":{\"How\":\"inline\",\"Fields\":\"errors_per_s,outstanding,x1\"},\"ValueBy\":\"work\","
         "\"Weights\":\"off\",\"Profiles\":[" +
         profiles + "]}}";
}

class Router {
 public:
  /// Starts the program from the repository's root, as /bin/sh -c "exec build/streampick_router".
  Router(const Deployment& deployment, const std::vector<Listed>& members, const std::string& folder,
         const std::string& discovery)
      : folder_(folder) {
    port_ = free_port();
    ::mkdir((folder_ + "/tmp").c_str(), 0700);
    const std::string config = folder_ + "/config.json";
    std::FILE* file = std::fopen(config.c_str(), "w");
    const std::string text = config_text(deployment, port_, discovery, members);
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
    const std::string listen = "127.0.0.1:" + std::to_string(port_);
    const std::string log = folder_ + "/router.log", scratch = folder_ + "/tmp";
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("NODE_NAME", "n1", 1);
      ::setenv("NODE_LISTEN", listen.c_str(), 1);
      ::setenv("NODE_DISCOVERY", discovery.c_str(), 1);
      ::setenv("NODE_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", scratch.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", "exec build/streampick_router", static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  ~Router() { kill_now(); }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }

  /// Waits until GET /up is answered 200.
  bool wait_ready(double seconds) {
    const double until = now() + seconds;
    while (now() < until && running()) {
      const int fd = connect_to(port_);
      if (fd >= 0) {
        write_all(fd, "GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
        Reader reader(fd);
        Head head;
        const bool up = reader.head(head, now() + 1) == Reader::End::whole &&
                        head.first_line.find(" 200") != std::string::npos;
        ::close(fd);
        if (up) return true;
      }
      pause_for(0.05);
    }
    return false;
  }
  bool running() {
    const std::lock_guard<std::mutex> hold(mutex_);
    if (ended_) return false;
    if (::waitpid(pid_, &status_, WNOHANG) == 0) return true;
    ended_ = true;
    return false;
  }
  void signal(int number) {
    if (running()) ::kill(pid_, number);
  }
  void kill_now() {
    if (!running()) return;
    ::kill(pid_, SIGKILL);
    const std::lock_guard<std::mutex> hold(mutex_);
    if (!ended_) ::waitpid(pid_, &status_, 0);
    ended_ = true;
  }
  std::string end() const {
    if (WIFSIGNALED(status_)) return "signal " + std::to_string(WTERMSIG(status_));
    return "exit code " + std::to_string(WEXITSTATUS(status_));
  }
  /// Resident memory in MB, as the system counts it.
  double resident_mb() const {
    std::FILE* file = std::fopen(("/proc/" + std::to_string(pid_) + "/statm").c_str(), "r");
    if (file == nullptr) return 0;
    long all = 0, resident = 0;
    if (std::fscanf(file, "%ld %ld", &all, &resident) != 2) resident = 0;
    std::fclose(file);
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576.0;
  }

 private:
  std::string folder_;
  int port_ = 0;
  pid_t pid_ = -1;
  int status_ = 0;
  bool ended_ = false;
  std::mutex mutex_;
};

/// Whether the disruption is part of this run: not with TROUBLE=0.
inline bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Ends the run without waiting for the threads that serve connections.
[[noreturn]] inline void finish(int code) {
  std::fflush(nullptr);
  std::_Exit(code);
}

/// A temporary folder of the run's own, removed by run.sh.
inline std::string work_folder() {
  const char* value = std::getenv("REVIEW_TMP");
  if (value != nullptr && *value != '\0') return value;
  char name[] = "/tmp/review-XXXXXX";
  return ::mkdtemp(name);
}

}  // namespace review
