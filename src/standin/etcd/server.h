// A stand-in for etcd on loopback: the part of its v3 API that the router uses, over gRPC, on the history in
// history.h, with faults on demand. For tests and tools; nothing of the router links it.
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

// What the members of one cluster share.
struct EtcdCluster {
  EtcdHistory history;  // with the lock, once there is a server
  std::mutex mutex;
  std::condition_variable changed;
};

class EtcdServer {
 public:
  struct Faults {
    bool silent = false;           // takes calls and says nothing more
    bool unavailable = false;      // ends every call at once
    bool repeat = false;           // each batch of events twice
    bool break_in_batch = false;   // ends the stream between two events of one batch
    bool slow_creation = false;    // 300 ms before a watch is created
    int fragment = 0;              // events in each part of an answer; 0: whole
    std::uint64_t cluster_id = 0;  // another than the history's
    std::int64_t lag = 0;          // revisions that reads, and the beginnings of watches, are behind
    std::string password = {};     // set: calls need a token
    int token_calls = 0;           // a token serves for so many calls; 0: for good
  };
  // PEM texts; empty: plain. With a CA clients must have a certificate of it.
  struct Tls {
    std::string certificate, key, client_ca;
  };
  // `port` 0: any. Several servers may be of one cluster.
  explicit EtcdServer(std::shared_ptr<EtcdCluster> cluster = std::make_shared<EtcdCluster>(), int port = 0,
                      const Tls& tls = Tls());
  ~EtcdServer();
  EtcdServer(const EtcdServer&) = delete;
  EtcdServer& operator=(const EtcdServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int port() const { return port_; }
  // Runs `what` on the history, with nobody else at it, and tells the watches.
  void on(const std::function<void(EtcdHistory&)>& what);
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  void set(const Faults& faults);
  // Ends all watches, as a member does that restarts.
  void drop_watches();

  std::atomic<std::uint64_t> ranges{0}, watches{0}, progress_asked{0}, authentications{0}, events_sent{0};
  std::atomic<int> open_watches{0};
  // When each listing's first page, or each watch, was asked for.
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
