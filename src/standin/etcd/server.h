// A stand-in for etcd on loopback. It serves the part of etcd's v3 API that the router uses, over gRPC, from
// the history in history.h, and injects faults on demand. For tests and tools; not part of the router.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "standin/etcd/history.h"

namespace streampick::standin {

// State that the members of one cluster share.
struct EtcdCluster {
  EtcdHistory history;  // protected by `mutex` while a server runs
  std::mutex mutex;
  std::condition_variable changed;
};

class EtcdServer {
 public:
  struct Faults {
    bool silent = false;           // accepts calls and does not answer them
    bool unavailable = false;      // fails every call at once
    bool repeat = false;           // sends each batch of events twice
    bool break_in_batch = false;   // ends the stream between two events of a batch
    bool slow_creation = false;    // waits 300 ms before it creates a watch
    int fragment = 0;              // events in each fragment of a response; 0: no fragments
    std::uint64_t cluster_id = 0;  // sent instead of the history's id; 0: the history's id
    std::int64_t lag = 0;          // revisions by which reads and new watches are behind the history
    std::string password = {};     // if set, calls need a token
    int token_calls = 0;           // calls for which a token is valid; 0: no limit
  };
  // PEM texts; empty: no TLS. With `client_ca`, clients must present a certificate of that CA.
  struct Tls {
    std::string certificate, key, client_ca;
  };
  // `port` 0: the kernel chooses a port. Several servers may share one cluster.
  explicit EtcdServer(std::shared_ptr<EtcdCluster> cluster = std::make_shared<EtcdCluster>(), int port = 0,
                      const Tls& tls = Tls());
  ~EtcdServer();
  EtcdServer(const EtcdServer&) = delete;
  EtcdServer& operator=(const EtcdServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int port() const { return port_; }
  // Runs `what` on the history under the lock and notifies the watches.
  void on(const std::function<void(EtcdHistory&)>& what);
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  void set(const Faults& faults);
  // Ends all watches, as a restart of a member does.
  void drop_watches();

  std::atomic<std::uint64_t> ranges{0}, watches{0}, progress_asked{0}, authentications{0}, events_sent{0};
  std::atomic<int> open_watches{0};
  // Arrival times of the requests for a listing's first page and for a watch.
  std::vector<std::chrono::steady_clock::time_point> asked() const;

 private:
  struct Services;
  std::shared_ptr<EtcdCluster> cluster_;
  Faults faults_;
  std::vector<std::chrono::steady_clock::time_point> asked_;
  std::uint64_t generation_ = 0;
  bool ended_ = false;
  int port_ = 0;
  std::unique_ptr<Services> services_;
};

}  // namespace streampick::standin
