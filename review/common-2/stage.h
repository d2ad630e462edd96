// Stand-ins and a small platform for the cases of the second independent review: discovery, cache servers and
// the origin, clients, and the router as a process that is started with the deploy file's command `run`.
// Blocking sockets and threads on loopback addresses; nothing but the C++ and C libraries.
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
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace stage {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

using Steady = std::chrono::steady_clock;

/// Seconds since the start of the case.
inline double now() {
  static const Steady::time_point start = Steady::now();
  return std::chrono::duration<double>(Steady::now() - start).count();
}

inline void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// record.txt: one line for each thing that was sent, answered or run, with the time in seconds.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
  }
  ~Record() { std::fclose(file_); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.3f %s\n", now(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

/// What run.sh passes: the repository's root, the case's folder, a temporary folder, and TROUBLE.
struct Case {
  std::string root;
  std::string temporary;
  bool trouble = true;
  std::unique_ptr<Record> record;
};

// ---- Sockets

struct SocketOptions {
  int receive_buffer = 0;  ///< SO_RCVBUF; 0: as the system has it
  int segment = 0;         ///< TCP_MAXSEG, the segment size of an ordinary network; 0: as the system has it
};

class Socket {
 public:
  explicit Socket(int number = -1) : number_(number) {}
  Socket(Socket&& other) noexcept : number_(other.number_) { other.number_ = -1; }
  Socket& operator=(Socket&& other) noexcept {
    std::swap(number_, other.number_);
    return *this;
  }
  ~Socket() { close(); }
  [[nodiscard]] int number() const { return number_; }
  [[nodiscard]] bool is_open() const { return number_ >= 0; }
  void close() {
    if (number_ >= 0) ::close(number_);
    number_ = -1;
  }
  /// Closes with a reset.
  void reset() {
    const linger at_once{1, 0};
    if (number_ >= 0) ::setsockopt(number_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
  }
  [[nodiscard]] bool write(const std::string& text) const {
    std::size_t written = 0;
    while (written < text.size()) {
      const ssize_t some = ::send(number_, text.data() + written, text.size() - written, MSG_NOSIGNAL);
      if (some < 0 && errno == EINTR) continue;
      if (some <= 0) return false;
      written += static_cast<std::size_t>(some);
    }
    return true;
  }
  /// Returns the number of bytes read, 0 at the end, -1 on an error and -2 when `until` has passed.
  ssize_t read(char* bytes, std::size_t size, double until) const {
    for (;;) {
      const double left = until - now();
      if (left <= 0) return -2;
      pollfd entry{number_, POLLIN, 0};
      const int ready = ::poll(&entry, 1, static_cast<int>(std::min(left * 1000 + 1, 1e6)));
      if (ready < 0 && errno == EINTR) continue;
      if (ready < 0) return -1;
      if (ready == 0) continue;
      const ssize_t some = ::recv(number_, bytes, size, 0);
      if (some < 0 && (errno == EINTR || errno == EAGAIN)) continue;
      return some < 0 ? -1 : some;
    }
  }

 private:
  int number_;
};

inline void apply(int number, const SocketOptions& options) {
  const int yes = 1;
  ::setsockopt(number, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  if (options.receive_buffer > 0)
    ::setsockopt(number, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer, sizeof options.receive_buffer);
  if (options.segment > 0)
    ::setsockopt(number, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof options.segment);
}

struct Listening {
  Socket socket;
  std::uint16_t port = 0;
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port); }
};

/// Listens on a free port of 127.0.0.1.
inline Listening listen_on_free_port(const SocketOptions& options = {}) {
  Listening out;
  out.socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int yes = 1;
  ::setsockopt(out.socket.number(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  apply(out.socket.number(), options);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (::bind(out.socket.number(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(out.socket.number(), 1024) != 0 ||
      ::getsockname(out.socket.number(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("cannot listen on 127.0.0.1");
  out.port = ntohs(address.sin_port);
  return out;
}

inline std::uint16_t free_port() { return listen_on_free_port().port; }

inline Socket connect_to(std::uint16_t port, const SocketOptions& options = {}) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  apply(socket.number(), options);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  while (::connect(socket.number(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    if (errno != EINTR) return Socket();
  return socket;
}

// ---- HTTP messages

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;
  [[nodiscard]] std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  [[nodiscard]] std::string word(int index) const {
    std::size_t begin = 0;
    for (int i = 0; i < index; ++i) {
      begin = first_line.find(' ', begin);
      if (begin == std::string::npos) return "";
      ++begin;
    }
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
};

/// Reads messages from one connection.
class Reader {
 public:
  enum class End { whole, closed, reset, late };
  explicit Reader(const Socket& socket) : socket_(socket) {}

  End read_head(Message& message, double until) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (const End more = fill(until); more != End::whole) return more;
    message = {};
    std::size_t at = buffer_.find("\r\n");
    message.first_line = buffer_.substr(0, at);
    while (at < end) {
      const std::size_t begin = at + 2;
      at = buffer_.find("\r\n", begin);
      const std::string line = buffer_.substr(begin, at - begin);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    buffer_.erase(0, end + 4);
    return End::whole;
  }

  /// Appends up to `count` bytes to `out`.
  End read_some(std::string& out, std::size_t count, double until) {
    if (buffer_.empty())
      if (const End more = fill(until); more != End::whole) return more;
    const std::size_t some = std::min(count, buffer_.size());
    out.append(buffer_, 0, some);
    buffer_.erase(0, some);
    return End::whole;
  }

  /// Reads the body that the head announces by Content-Length or chunked coding.
  End read_body(Message& message, double until) {
    if (message.header("transfer-encoding") == "chunked") return read_chunks(message, until);
    const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    while (message.body.size() < length)
      if (const End more = read_some(message.body, length - message.body.size(), until); more != End::whole)
        return more;
    return End::whole;
  }

 private:
  End read_chunks(Message& message, double until) {
    for (;;) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos)
        if (const End more = fill(until); more != End::whole) return more;
      const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2)
        if (const End more = fill(until); more != End::whole) {
          message.body.append(buffer_, end + 2, size);
          return more;
        }
      message.body.append(buffer_, end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) return End::whole;
    }
  }
  End fill(double until) {
    char chunk[16384];
    const ssize_t some = socket_.read(chunk, sizeof chunk, until);
    if (some == -2) return End::late;
    if (some < 0) return End::reset;
    if (some == 0) return End::closed;
    buffer_.append(chunk, static_cast<std::size_t>(some));
    return End::whole;
  }
  const Socket& socket_;
  std::string buffer_;
};

inline const char* name_of(Reader::End end) {
  switch (end) {
    case Reader::End::whole: return "whole";
    case Reader::End::closed: return "closed";
    case Reader::End::reset: return "reset";
    case Reader::End::late: return "no answer";
  }
  return "";
}

inline std::string ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string miss() { return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"; }

// ---- A server: a cache server, the origin, or discovery

/// One thread for each connection. `serve` is called once for each and returns when the connection is over.
class Server {
 public:
  using Serve = std::function<void(Socket&)>;
  explicit Server(Serve serve, const SocketOptions& options = {})
      : listening_(listen_on_free_port(options)), serve_(std::move(serve)) {
    accepting_ = std::thread([this] { accept(); });
  }
  ~Server() { stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  [[nodiscard]] std::string address() const { return listening_.address(); }
  void stop() {
    if (stopped_.exchange(true)) return;
    ::shutdown(listening_.socket.number(), SHUT_RDWR);
    accepting_.join();
    {
      const std::lock_guard lock(mutex_);
      for (const int number : open_) ::shutdown(number, SHUT_RDWR);
    }
    for (std::thread& thread : threads_) thread.join();
  }
  [[nodiscard]] bool stopped() const { return stopped_; }

 private:
  void accept() {
    for (;;) {
      const int number = ::accept4(listening_.socket.number(), nullptr, nullptr, SOCK_CLOEXEC);
      if (number < 0 && errno == EINTR) continue;
      if (number < 0) return;
      const std::lock_guard lock(mutex_);
      if (stopped_) {
        ::close(number);
        return;
      }
      open_.push_back(number);
      threads_.emplace_back([this, number] {
        Socket socket(number);
        apply(number, {});
        serve_(socket);
        const std::lock_guard done(mutex_);
        open_.erase(std::find(open_.begin(), open_.end(), number));
      });
    }
  }
  Listening listening_;
  Serve serve_;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

/// A cache server or the origin that answers each whole request by `answer`, which returns the bytes of the
/// answer; an empty text resets the connection.
inline Server::Serve answer_each(std::function<std::string(const Message&)> answer) {
  return [answer = std::move(answer)](Socket& socket) {
    Reader reader(socket);
    for (;;) {
      Message request;
      if (reader.read_head(request, now() + 3600) != Reader::End::whole) return;
      if (reader.read_body(request, now() + 3600) != Reader::End::whole) return;
      const std::string text = answer(request);
      if (text.empty()) return socket.reset();
      if (!socket.write(text)) return;
    }
  };
}

// ---- Discovery

struct Member {
  std::string id, address;
  bool origin = false;
  std::string phase = "in_service";
};

inline std::string to_json(const std::vector<Member>& members, std::uint64_t revision, bool complete) {
  std::string out = "{\"revision\":" + std::to_string(revision) +
                    ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
  for (std::size_t i = 0; i < members.size(); ++i) {
    const Member& member = members[i];
    out += std::string(i == 0 ? "" : ",") + "{\"id\":\"" + member.id + "\",\"host_port\":\"" +
           member.address + "\",\"locality\":\"a\",\"flavor\":\"" + (member.origin ? "origin" : "std") +
           "\",\"cell\":1,\"phase\":\"" + member.phase + "\",\"size\":1.0,\"up_since_ms\":0}";
  }
  return out + "]}";
}

/// Answers each call for the list or a watch of it, tells open watches what changed, and sends an empty line
/// every 2 s while nothing does.
class Discovery {
 public:
  Discovery(Record& record, std::vector<Member> members)
      : record_(record), members_(std::move(members)), server_([this](Socket& socket) { serve(socket); }) {}
  ~Discovery() { stop(); }
  [[nodiscard]] std::string address() const { return server_.address(); }
  [[nodiscard]] std::vector<Member> members() const {
    const std::lock_guard lock(mutex_);
    return members_;
  }
  [[nodiscard]] std::string known() const {
    const std::lock_guard lock(mutex_);
    return to_json(members_, revision_, true);
  }
  [[nodiscard]] int calls() const { return calls_; }
  void change(const std::string& id, const std::string& phase) {
    const std::lock_guard lock(mutex_);
    for (Member& member : members_) {
      if (member.id != id) continue;
      member.phase = phase;
      changes_.push_back({++revision_, member});
      record_.line("discovery: revision %llu, %s is %s", static_cast<unsigned long long>(revision_),
                   id.c_str(), phase.c_str());
    }
  }
  void stop() {
    stopping_ = true;
    server_.stop();
  }

 private:
  static std::string chunk(const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void serve(Socket& socket) {
    Reader reader(socket);
    Message call;
    if (reader.read_head(call, now() + 10) != Reader::End::whole) return;
    ++calls_;
    record_.line("discovery: call %s", call.word(1).c_str());
    std::uint64_t told = 0;
    std::string list;
    {
      const std::lock_guard lock(mutex_);
      told = revision_;
      list = to_json(members_, revision_, true);
    }
    if (call.word(1).find("watch=1") == std::string::npos) {
      (void)socket.write(ok(list));
      return;
    }
    if (!socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list + "\n"))) return;
    double last = now();
    while (!stopping_) {
      sleep_for(0.02);
      std::vector<Member> changed;
      {
        const std::lock_guard lock(mutex_);
        for (const auto& [revision, member] : changes_)
          if (revision > told) changed.push_back(member);
        told = revision_;
      }
      std::string line;
      if (!changed.empty()) line = to_json(changed, told, false) + "\n";
      if (line.empty() && now() - last >= 2) line = "\n";
      if (line.empty()) continue;
      last = now();
      if (!socket.write(chunk(line))) return;
    }
  }
  Record& record_;
  mutable std::mutex mutex_;
  std::vector<Member> members_;
  std::vector<std::pair<std::uint64_t, Member>> changes_;
  std::uint64_t revision_ = 41;
  std::atomic<int> calls_{0};
  std::atomic<bool> stopping_{false};
  Server server_;
};

// ---- The router

struct RouterSettings {
  std::string registry_mode = "push";
  int memory_mb = 192;
  int sockets = 1024;
};

/// The configuration of a small deployment, in the form of the deployment page.
inline std::string router_config(const RouterSettings& settings, std::uint16_t listen,
                                 const std::string& management, const Discovery& discovery) {
  return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + std::to_string(listen) + "\",\"discovery\":\"" +
         discovery.address() + "\",\"management\":\"" + management +
         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
         std::to_string(settings.memory_mb) + ",\"sockets\":" + std::to_string(settings.sockets) +
         "},\"known\":" + discovery.known() + R"(,"settings":{
"Az":"a","Balancers":3,"Me":0,"Tier":0,"Tiers":["tile-cache"],"DomainType":"cache","Zones":["a"],
"Shapes":["std","origin"],"Tenants":[],"TickUs":5000,"ValueBy":"work","Weights":"off","OverShareWorth":0.1,
"RegistryMode":")" +
         settings.registry_mode + R"(",
"FamilyInfo":{"Mode":"aside","OriginKind":1,"OriginFallMultiple":2.5,"OriginFallUs":3000000,"Ordered":true},
"PolicyLimits":{"MaxAttempts":3,"SecondCopies":true,"Cancelling":true,"RetryAfter":true,"MaxRetryAfterUs":2000000,
"DialTimeoutUs":250000,"KeepaliveUs":60000000,"StreamsPerConn":1,"PeerMessages":false,"Probes":false},
"Costs":{"Connection":0.03,"Handshake":0.03,"Origin":0.1,"CrossZone":0.01,"Waste":0.04,"LateFail":0.03},
"Guarantees":{"AnswerSlackUs":50000,"AskWithinUs":6000000,"StopSendingWithinUs":2000000,"ColdShare":0.15,
"ColdUs":24000000,"OverloadFactor":3.0,"TipAfterUs":1000000},
"Profiles":[
{"Name":"tile-read","Effect":"safe","Group":"all","AimUs":800000,"HardLimitUs":4000000,"WindowUs":5000000,
"Worth":5.0,"LateWorth":0.5,"Stream":false},
{"Name":"annotation-save","Effect":"keyed","Group":"all","AimUs":1500000,"HardLimitUs":3000000,"WindowUs":2000000,
"Worth":2.0,"LateWorth":0.3,"Stream":false}]}}
)";
}

/// The value of a key of deploy/balancer.toml that is a text on one line.
inline std::string deploy_command(const std::string& root, const std::string& key) {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(key + " = \"", 0) != 0) continue;
    const std::size_t begin = line.find('"') + 1;
    return line.substr(begin, line.find('"', begin) - begin);
  }
  throw std::runtime_error("deploy/balancer.toml has no key " + key);
}

/// Sends one line to a management address and returns the answer; empty if there is none within 1 s.
inline std::string command(std::uint16_t management, const std::string& line) {
  const Socket socket = connect_to(management);
  if (!socket.is_open() || !socket.write(line + "\n")) return "";
  std::string out;
  char chunk[4096];
  for (const double until = now() + 1;;) {
    const ssize_t some = socket.read(chunk, sizeof chunk, until);
    if (some <= 0) break;
    out.append(chunk, static_cast<std::size_t>(some));
  }
  return out.substr(0, out.find('\n'));
}

/// A router process. `door`: the clients' listening socket, passed on as descriptor 4; -1: it opens its own.
class Router {
 public:
  Router(Case& setup, const std::string& name, const Discovery& discovery, const RouterSettings& settings,
         std::uint16_t listen, int door = -1, const std::string& shared_temporary = "")
      : record_(*setup.record), name_(name), listen_(listen), management_(free_port()) {
    const std::string folder = setup.temporary + "/" + name;
    ::mkdir(folder.c_str(), 0700);
    const std::string own_temporary = folder + "/tmp";
    ::mkdir(own_temporary.c_str(), 0700);
    const std::string management = "127.0.0.1:" + std::to_string(management_);
    const std::string config = folder + "/config.json";
    std::ofstream(config) << router_config(settings, listen, management, discovery);
    log_ = folder + "/log";
    const std::string run = deploy_command(setup.root, "run");
    std::vector<std::string> environment;
    for (char** entry = ::environ; *entry != nullptr; ++entry) {
      const std::string text = *entry;
      if (text.rfind("NODE_", 0) != 0 && text.rfind("TMPDIR=", 0) != 0) environment.push_back(text);
    }
    environment.insert(
        environment.end(),
        {"NODE_NAME=n1", "NODE_LISTEN=127.0.0.1:" + std::to_string(listen),
         "NODE_DISCOVERY=" + discovery.address(), "NODE_CONFIG=" + config, "NODE_MANAGEMENT=" + management,
         "TMPDIR=" + (shared_temporary.empty() ? own_temporary : shared_temporary)});
    if (door >= 0) environment.emplace_back("NODE_PASSED_SOCKET=4");
    std::vector<char*> words;
    for (std::string& text : environment) words.push_back(text.data());
    words.push_back(nullptr);
    record_.line("platform: starts %s", name.c_str());
    // `run` ends in exec, so this process becomes the router. It is killed when the case ends.
    process_ = ::fork();
    if (process_ < 0) throw std::runtime_error("cannot fork");
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      if (door >= 0) {
        const int copy = ::fcntl(door, F_DUPFD, 10);
        ::dup2(copy, 4);
        ::close(copy);
      } else {
        ::close(4);
      }
      if (::chdir(setup.root.c_str()) != 0) ::_exit(127);
      const char* const arguments[] = {"/bin/sh", "-c", run.c_str(), nullptr};
      ::execve("/bin/sh", const_cast<char* const*>(arguments), words.data());
      ::_exit(127);
    }
  }
  ~Router() { kill(); }
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  [[nodiscard]] std::uint16_t port() const { return listen_; }
  [[nodiscard]] std::uint16_t management() const { return management_; }
  [[nodiscard]] pid_t process() const { return process_; }

  /// Waits until HEALTH at the second address and GET /up say yes.
  bool wait_until_ready(double seconds) {
    for (const double until = now() + seconds; now() < until; sleep_for(0.05)) {
      if (ended()) return false;
      if (command(management_, "HEALTH").rfind("ACK", 0) != 0) continue;
      const Socket socket = connect_to(listen_);
      if (!socket.is_open() || !socket.write("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n")) continue;
      Reader reader(socket);
      Message answer;
      if (reader.read_head(answer, now() + 1) != Reader::End::whole || answer.word(1) != "200") continue;
      record_.line("platform: %s is ready", name_.c_str());
      return true;
    }
    return false;
  }
  void signal(int number) {
    if (process_ > 0) ::kill(process_, number);
  }
  [[nodiscard]] bool ended() {
    if (process_ <= 0) return true;
    int status = 0;
    if (::waitpid(process_, &status, WNOHANG) == 0) return false;
    record_.line("platform: %s has ended, %s %d", name_.c_str(), WIFEXITED(status) ? "exit code" : "signal",
                 WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
    process_ = -1;
    return true;
  }
  void kill() {
    if (process_ <= 0) return;
    ::kill(process_, SIGKILL);
    int status = 0;
    ::waitpid(process_, &status, 0);
    process_ = -1;
  }
  /// SIGTERM, and SIGKILL `seconds` later if the process has not ended by then.
  void stop(double seconds) {
    record_.line("platform: SIGTERM to %s", name_.c_str());
    signal(SIGTERM);
    for (const double until = now() + seconds; now() < until; sleep_for(0.02))
      if (ended()) return;
    record_.line("platform: SIGKILL to %s", name_.c_str());
    kill();
  }
  /// Resident memory in bytes; 0 if the process has ended.
  [[nodiscard]] std::size_t resident_bytes() const {
    std::ifstream file("/proc/" + std::to_string(process_) + "/statm");
    std::size_t all = 0;
    std::size_t resident = 0;
    file >> all >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }

 private:
  Record& record_;
  std::string name_;
  std::string log_;
  std::uint16_t listen_;
  std::uint16_t management_;
  pid_t process_ = -1;
};

// ---- Clients

inline std::string new_id() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

struct Request {
  std::string method = "GET", name = "tile-read", key = "00000000000000aa", id = new_id();
  double remaining = 3;
  std::string body, idempotency_key;
  std::size_t announced = 0;  ///< Content-Length; 0: the body's size
  [[nodiscard]] std::string text() const {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", remaining);
    std::string out = method + " /" + name + "/" + key + " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id +
                      "\r\nX-Lane: " + name + "\r\nX-Remaining: " + seconds + "\r\n";
    if (!idempotency_key.empty()) out += "Idempotency-Key: " + idempotency_key + "\r\n";
    if (method == "PUT")
      out += "Content-Length: " + std::to_string(announced > 0 ? announced : body.size()) + "\r\n";
    return out + "\r\n" + body;
  }
};

struct Answer {
  Reader::End end = Reader::End::late;
  int status = 0;
  std::string body;
  [[nodiscard]] bool is_served() const { return end == Reader::End::whole && status == 200; }
};

/// Sends one request on a connection of its own and reads the answer until `patience` seconds are over.
inline Answer ask(std::uint16_t port, const Request& request, double patience) {
  Answer out;
  const Socket socket = connect_to(port);
  if (!socket.is_open() || !socket.write(request.text())) {
    out.end = Reader::End::closed;
    return out;
  }
  Reader reader(socket);
  Message answer;
  const double until = now() + patience;
  out.end = reader.read_head(answer, until);
  if (out.end != Reader::End::whole) return out;
  out.status = std::atoi(answer.word(1).c_str());
  out.end = reader.read_body(answer, until);
  out.body = answer.body;
  return out;
}

// ---- The program around a case

/// `play` returns kHeld, kBroken or kCouldNotRun.
inline int main_of(int argc, char** argv, const std::function<int(Case&)>& play) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: case ROOT FOLDER TEMPORARY; started by run.sh\n");
    return kCouldNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  now();
  std::thread([] {
    sleep_for(115);
    std::fprintf(stderr, "the case took too long\n");
    ::_exit(kCouldNotRun);
  }).detach();
  try {
    Case setup;
    setup.root = argv[1];
    setup.temporary = argv[3];
    const char* const trouble = std::getenv("TROUBLE");
    setup.trouble = trouble == nullptr || std::string(trouble) != "0";
    setup.record = std::make_unique<Record>(std::string(argv[2]) + "/record.txt");
    setup.record->line("case: %s the disruption", setup.trouble ? "with" : "without");
    const int result = play(setup);
    const char* const words[] = {"the rule held", "THE RULE WAS BROKEN", "the case could not run"};
    setup.record->line("case: %s", words[result]);
    std::printf("%s\n", words[result]);
    return result;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
    return kCouldNotRun;
  }
}

}  // namespace stage
