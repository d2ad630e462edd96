// A minimal platform for a router: a discovery service with a list that the caller changes, a configuration
// file, and the router as a child process. For measurements, tests, the demo and the testbed.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace streampick::standin {

struct PlatformMember {
  std::string id, address;
  bool origin = false;
  std::string phase = "in_service";
  std::int64_t up_since_ms = 0;  // Unix time; 0: up for a long time
  double size = 1.0;
};

// Returns an endpoint list as discovery delivers it, with the kinds "cache" and "origin".
nlohmann::json member_list(const std::vector<PlatformMember>& members);

// Returns a router's configuration: request classes tile-read (safe) and annotation-save (keyed), mode aside,
// at most three attempts per request.
nlohmann::json router_config(const std::string& listen, const std::string& discovery,
                             const std::vector<PlatformMember>& members, std::size_t sockets);

class StaticDiscovery {
 public:
  StaticDiscovery(boost::asio::io_context& io, const std::vector<PlatformMember>& members);
  ~StaticDiscovery();
  StaticDiscovery(const StaticDiscovery&) = delete;
  StaticDiscovery& operator=(const StaticDiscovery&) = delete;
  std::string address() const;
  // Sets the list and sends it to every open watch. With `to_new_only` open watches are not told, and only
  // new watches receive it.
  void change(const std::vector<PlatformMember>& members, bool to_new_only = false);
  /// Sets the list to `members`, and sends open watches an incomplete list with only `changed`.
  void change(const std::vector<PlatformMember>& members, const std::vector<PlatformMember>& changed);
  std::chrono::milliseconds delay{0};  // time before a watch's first line
  std::uint64_t bytes_written = 0;     ///< sum over all watches
  std::size_t watches() const { return watches_.size(); }

 private:
  class Watch;
  void accept();
  boost::asio::io_context& io_;
  std::uint64_t revision_ = 1;
  std::string line_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Watch>> watches_;
};

class RouterProcess {
 public:
  // What the platform passes to a process besides its configuration.
  struct Handed {
    int door = -1;                    // the listening socket for clients; -1: the router opens its own
    std::string management, scratch;  // management address and TMPDIR; empty: not set
  };
  // Starts `program` with its configuration and options file (empty: no options file), which are written to a
  // temporary directory. Its log goes to the file `log`, or to this process's standard error if `log` is
  // empty.
  RouterProcess(const std::string& program, const nlohmann::json& config, const std::string& options_toml,
                const std::string& log, const Handed& handed);
  RouterProcess(const std::string& program, const nlohmann::json& config, const std::string& options_toml,
                const std::string& log)
      : RouterProcess(program, config, options_toml, log, Handed{}) {}
  ~RouterProcess();  // stops the process and removes its files
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;
  // Sends SIGTERM, waits for the process to exit and returns its exit code; -1 if a signal ended it.
  int stop();
  bool running();
  pid_t pid() const { return pid_; }
  double cpu_seconds() const;  // user and system time since its start
  long resident_kb() const;

 private:
  std::string folder_;
  pid_t pid_ = -1;
  int status_ = 0;
};

// Returns a port of 127.0.0.1 that was free at the time of the call.
unsigned short free_port(boost::asio::io_context& io);

}  // namespace streampick::standin
