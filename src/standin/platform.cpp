#include "standin/platform.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace streampick::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

json member_list(const std::vector<PlatformMember>& members) {
  json out = {{"revision", 1}, {"complete", true}, {"members", json::array()}};
  for (const PlatformMember& member : members)
    out["members"].push_back({{"id", member.id},
                              {"host_port", member.address},
                              {"locality", "a"},
                              {"flavor", member.origin ? "origin" : "cache"},
                              {"cell", 1},
                              {"phase", member.phase},
                              {"size", member.size},
                              {"up_since_ms", member.up_since_ms}});
  return out;
}

json router_config(const std::string& listen, const std::string& discovery,
                   const std::vector<PlatformMember>& members, std::size_t sockets) {
  const auto profile = [](const char* name, const char* effect, std::int64_t aim, std::int64_t limit) {
    return json{{"Name", name},         {"Effect", effect},      {"Group", "all"}, {"AimUs", aim},
                {"HardLimitUs", limit}, {"WindowUs", 2'000'000}, {"Worth", 5.0}};
  };
  return {{"name", "n1"},
          {"listen", listen},
          {"discovery", discovery},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", sockets}}},
          {"known", member_list(members)},
          {"settings",
           {{"Az", "a"},
            {"Balancers", 1},
            {"Zones", {"a"}},
            {"Shapes", {"cache", "origin"}},
            {"Tenants", json::array()},
            {"FamilyInfo", {{"Mode", "aside"}, {"OriginKind", 1}}},
            {"PolicyLimits",
             {{"MaxAttempts", 3},
              {"SecondCopies", true},
              {"Cancelling", true},
              {"RetryAfter", true},
              {"MaxRetryAfterUs", 2'000'000},
              {"DialTimeoutUs", 250'000},
              {"KeepaliveUs", 60'000'000}}},
            {"Guarantees", {{"AnswerSlackUs", 20'000}, {"StopSendingWithinUs", 2'000'000}}},
            {"RegistryMode", "push"},
            {"Profiles",
             {profile("tile-read", "safe", 800'000, 4'000'000),
              profile("annotation-save", "keyed", 1'500'000, 3'000'000)}}}}};
}

class StaticDiscovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  Watch(StaticDiscovery& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(socket_.get_executor()) {}
  void start() {
    read();
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (owner_->delay.count() == 0) return write(head + chunk(owner_->line_));
    writing_ = true;
    timer_.expires_after(owner_->delay);
    timer_.async_wait([self = shared_from_this(), head](error_code cancelled) {
      if (!cancelled && self->owner_ != nullptr) self->write(head + chunk(self->owner_->line_));
    });
  }
  void tell(const std::string& line) {
    next_ += chunk(line);
    if (!writing_) write({});
  }
  void detach() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  static std::string chunk(const std::string& text) {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
  }
  void read() {
    socket_.async_read_some(asio::buffer(in_), [self = shared_from_this()](error_code error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->end();
      self->read();
    });
  }
  void write(std::string text) {
    out_ = std::move(text) + std::exchange(next_, {});
    writing_ = true;
    timer_.cancel();
    owner_->bytes_written += out_.size();
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        self->writing_ = false;
                        if (self->owner_ == nullptr) return;
                        if (error) return self->end();
                        if (!self->next_.empty()) return self->write({});
                        self->timer_.expires_after(std::chrono::seconds(1));
                        self->timer_.async_wait([self](error_code cancelled) {
                          if (!cancelled && self->owner_ != nullptr) self->write(chunk("\n"));
                        });
                      });
  }
  void end() {
    StaticDiscovery& owner = *owner_;
    detach();
    owner.watches_.erase(shared_from_this());
  }
  StaticDiscovery* owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 1024> in_{};
  std::string out_, next_;
  bool writing_ = false;
};

StaticDiscovery::StaticDiscovery(asio::io_context& io, const std::vector<PlatformMember>& members)
    : io_(io),
      line_(member_list(members).dump() + "\n"),
      acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}) {
  accept();
}

StaticDiscovery::~StaticDiscovery() {
  for (const auto& watch : watches_) watch->detach();
}

void StaticDiscovery::change(const std::vector<PlatformMember>& members, bool to_new_only) {
  json list = member_list(members);
  list["revision"] = ++revision_;
  line_ = list.dump() + "\n";
  if (to_new_only) return;
  for (const auto& watch : watches_) watch->tell(line_);
}

void StaticDiscovery::change(const std::vector<PlatformMember>& members,
                             const std::vector<PlatformMember>& changed) {
  change(members, true);
  json changes = member_list(changed);
  changes["revision"] = revision_;
  changes["complete"] = false;
  const std::string line = changes.dump() + "\n";
  for (const auto& watch : watches_) watch->tell(line);
}

std::string StaticDiscovery::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void StaticDiscovery::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    const auto made = std::make_shared<Watch>(*this, std::move(socket));
    watches_.insert(made);
    made->start();
    accept();
  });
}

RouterProcess::RouterProcess(const std::string& program, const json& config, const std::string& options_toml,
                             const std::string& log, const Handed& handed) {
  std::string name = (std::filesystem::temp_directory_path() / "streampick-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("cannot create a directory for the router's files");
  folder_ = name;
  const std::string config_path = folder_ + "/config.json", options_path = folder_ + "/options.toml";
  std::ofstream(config_path) << config.dump(1);
  std::ofstream(options_path) << options_toml;
  // All memory is allocated before fork(): in the child of a multi-threaded process, another thread may have
  // held the allocator's locks.
  constexpr int kPassedSocket = 3;  // descriptor number of the clients' listening socket in the child
  std::vector<std::string> own = {"NODE_CONFIG=" + config_path};
  if (handed.door >= 0) own.push_back("NODE_PASSED_SOCKET=" + std::to_string(kPassedSocket));
  if (!handed.management.empty()) own.push_back("NODE_MANAGEMENT=" + handed.management);
  if (!handed.scratch.empty()) own.push_back("TMPDIR=" + handed.scratch);
  std::vector<char*> environment;
  for (char** one = ::environ; *one != nullptr; ++one)
    if (std::none_of(own.begin(), own.end(), [&](const std::string& set) {
          return std::string_view(*one).rfind(set.substr(0, set.find('=') + 1), 0) == 0;
        }))
      environment.push_back(*one);
  for (std::string& set : own) environment.push_back(set.data());
  environment.push_back(nullptr);
  std::string named = program, option = "--options", file_name = options_path;
  std::array<char*, 4> words{named.data(), nullptr, nullptr, nullptr};
  if (!options_toml.empty()) words = {named.data(), option.data(), file_name.data(), nullptr};
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork a process for the router");
  if (pid_ == 0) {
    // The kernel kills the router when its parent dies, even if the parent crashes.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (!log.empty()) {
      const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      ::dup2(file, 2);
    }
    // Closes the parent's descriptors, except for the socket that is passed on.
    if (handed.door >= 0) ::dup2(handed.door, kPassedSocket);
    for (int fd = handed.door >= 0 ? kPassedSocket + 1 : kPassedSocket; fd < 4'096; ++fd) ::close(fd);
    ::execve(named.c_str(), words.data(), environment.data());
    ::_exit(127);
  }
}

RouterProcess::~RouterProcess() {
  stop();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

int RouterProcess::stop() {
  if (pid_ > 0) {
    ::kill(pid_, SIGTERM);
    ::waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

bool RouterProcess::running() {
  if (pid_ <= 0) return false;
  if (::waitpid(pid_, &status_, WNOHANG) == 0) return true;
  pid_ = -1;
  return false;
}

double RouterProcess::cpu_seconds() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  text.erase(0, text.rfind(')') + 2);
  // utime and stime are fields 14 and 15 of the file; the text now begins with field 3.
  unsigned long user = 0, system = 0;
  std::size_t at = 0;
  for (int i = 3; i < 14; ++i) at = text.find(' ', at) + 1;
  std::sscanf(text.c_str() + at, "%lu %lu", &user, &system);
  return static_cast<double>(user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

long RouterProcess::resident_kb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  long all = 0, resident = 0;
  file >> all >> resident;
  return resident * (::sysconf(_SC_PAGESIZE) / 1024);
}

unsigned short free_port(asio::io_context& io) {
  tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.1"), 0});
  return probe.local_endpoint().port();
}

}  // namespace streampick::standin
