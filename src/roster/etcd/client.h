// The roster from etcd over gRPC. A worker thread runs the watcher with its channels and calls, and the seed
// file. It passes changes to the event loop through a mailbox with one entry for each server. Linked only if
// STREAMPICK_ETCD is on, because of its dependency on gRPC.
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
  // Receives the list from the seed file and returns whether it is used.
  using UseSeed = std::function<bool(const engine::StoredEndpointList&)>;

  // `observer` receives etcd's lists, and on_discovery_failed() when they count as stale. If etcd hasn't
  // answered within the first response timeout, `use_seed` receives the list from the seed file. These and
  // `log` are called on the event loop of `io` and not after the destructor; all must outlive this object.
  EtcdRoster(boost::asio::io_context& io, const Names& names, const Options& options, std::uint64_t seed,
             engine::EndpointListObserver& observer, UseSeed use_seed,
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
