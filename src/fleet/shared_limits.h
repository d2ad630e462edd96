// Binding between the lease protocol and the engine.
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

/// Runs the lease protocol on the daemon's loop: samples demand, claims leases for it, and passes allowances
/// on to the decision module when they change. One thread; all hooks are called on it.
class SharedLimits {
 public:
  struct View {
    std::vector<membership::Address> living;  // other processes
    std::uint32_t routers = 1;                // maximum number of processes
  };
  struct Hooks {
    std::function<View()> view;
    std::function<const std::vector<std::uint64_t>&()> asked;  // requests by tenant since the last reset
    std::function<OriginWork()> origin;
    std::function<void(Shares)> take;  // allowances for the decision module
    std::function<void(membership::Address, std::string payload)> tell;
    std::function<void(std::string_view)> log;
  };
  /// `self`: a random number of this process, not 0.
  SharedLimits(engine::TimeSource& time, const ShareOptions& options, const std::vector<std::string>& names,
               const std::vector<Tenant>& tenants, leases::Incarnation self, std::uint64_t seed, Hooks hooks);

  /// The socket is open: messages get through from now on.
  void start();
  void on_payload(membership::Address from, const std::string& payload);
  /// New tenants and quotas; requests are counted from zero again.
  void reconfigure(const std::vector<std::string>& names, const std::vector<Tenant>& tenants);
  /// Returns all leases. `process_ends`: the guaranteed minima belong to this process's successor.
  void leave(bool process_ends);

  /// Answer to the operators' command SHARES: one line of JSON, without its end.
  std::string status() const;
  /// For the log line of every ten seconds.
  std::string summary() const;
  std::uint64_t unreadable_payloads() const { return unreadable_payloads_; }

 private:
  struct Quota {
    leases::LimitId id = 0;
    double total = 0;  // requests a second; 0: the tenant has none
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
  bool has_reported_ = false;  // last_reported_ is what the decision module has
  Shares last_reported_;
  std::vector<bool> was_granter_;  // by shard
  std::uint64_t unreadable_payloads_ = 0;
};

}  // namespace streampick::fleet
