// Connects the lease protocol to the engine.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "engine/time.h"
#include "fleet/demand_sampler.h"
#include "fleet/share_options.h"
#include "shares/lease_protocol.h"

namespace streampick::fleet {

/// Runs the lease protocol on the daemon's event loop: samples demand, claims leases for it, and passes
/// changed allowances to the decision module. Single-threaded: all hooks are called on the loop's thread.
class SharedLimits {
 public:
  struct View {
    std::vector<membership::Address> living;  // other processes
    std::uint32_t routers = 1;                // maximum number of processes
  };
  struct Hooks {
    std::function<View()> view;
    // Requests by tenant since the last reset.
    std::function<const std::vector<std::uint64_t>&()> request_counts;
    std::function<OriginWork()> origin_work;
    std::function<void(Shares)> apply_allowances;  // in the decision module
    std::function<void(membership::Address, std::string payload)> send;
    std::function<void(std::string_view)> log;
  };
  /// `self`: random number that identifies this process, not 0.
  SharedLimits(engine::TimeSource& time, const ShareOptions& options, const std::vector<std::string>& names,
               const std::vector<Tenant>& tenants, leases::Incarnation self, std::uint64_t seed, Hooks hooks);

  /// Call when the socket is open, so that messages can be sent and received.
  void start();
  void on_payload(membership::Address from, const std::string& payload);
  /// Applies new tenants and quotas. The engine must have reset its request counts.
  void reconfigure(const std::vector<std::string>& names, const std::vector<Tenant>& tenants);
  /// Returns all leases. `process_ends`: the guaranteed minima belong to this process's successor.
  void leave(bool process_ends);

  /// Answer to the operators' command SHARES: one line of JSON without a line end.
  std::string status() const;
  /// Text for the statistics line, which is logged every ten seconds.
  std::string summary() const;
  std::uint64_t unreadable_payloads() const { return unreadable_payloads_; }

 private:
  struct Quota {
    leases::LimitId id = 0;
    double total = 0;  // requests per second; 0: the tenant has no quota
  };

  void set_quotas(const std::vector<std::string>& names, const std::vector<Tenant>& tenants);
  void on_timer();
  void sample_demand(leases::Time now);
  void update_origin_demand(leases::Time now);
  void after_event(leases::Time now);
  void log_elections(leases::Time now);
  Shares current_shares(leases::Time now) const;

  engine::TimeSource& time_;
  ShareOptions options_;
  std::vector<Quota> quotas_;  // by tenant
  Hooks hooks_;
  leases::LeaseProtocol protocol_;
  std::unique_ptr<engine::Timer> timer_;
  DemandSampler demand_;
  std::size_t samples_until_view_ = 0;
  leases::Time next_sample_ = 0;
  bool has_started_ = false;
  bool has_reported_ = false;  // whether last_reported_ was passed to the decision module
  Shares last_reported_;
  std::vector<bool> was_granter_;  // by shard
  std::uint64_t unreadable_payloads_ = 0;
};

}  // namespace streampick::fleet
