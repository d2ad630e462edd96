// The roster from etcd over gRPC: the watcher on a thread of its own, its channels and calls, the seed file;
// what it learns is handed to the event loop through a mailbox that holds one entry a server. Heavy: linked
// only where STREAMPICK_ETCD is on.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "engine/endpoint_discovery.h"
#include "roster/etcd/options.h"
#include "settings/settings.h"

namespace streampick::etcd {

struct ClientCounts {
  std::uint64_t listings = 0, watches = 0, compactions = 0, breaks = 0, publications = 0, departures = 0,
                faults = 0, coalesced = 0;
  std::size_t keys = 0, quarantined = 0;
  std::int64_t revision = 0;
  std::string state;  // "unknown", "fresh" or "stale"
};

class EtcdRoster {
 public:
  // On the loop of `io`, `reader` is told lists, and on_discovery_failed() when they count as stale.
  // `use_seed` is asked there whether a list from the seed file is wanted, once etcd has not answered in its
  // first time. `log` is called there too. All outlive it; nothing is told after its end.
  EtcdRoster(boost::asio::io_context& io, const Names& names, const Options& options, std::uint64_t seed,
             engine::EndpointListObserver& reader, std::function<bool()> use_seed,
             std::function<void(std::string_view)> log);
  ~EtcdRoster();
  EtcdRoster(const EtcdRoster&) = delete;
  EtcdRoster& operator=(const EtcdRoster&) = delete;
  ClientCounts counts() const;
  std::string summary() const;

 private:
  class Worker;
  std::unique_ptr<Worker> worker_;
};

}  // namespace streampick::etcd
