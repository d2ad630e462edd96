// What a router has of the limits that all share: the core on the daemon's loop, what this router could use,
// and what the decision module is told.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "engine/time.h"
#include "fleet/share_options.h"
#include "shares/lease_protocol.h"

namespace streampick::fleet {

class Limits {
 public:
  struct View {
    std::vector<membership::Address> living;  // others
    std::uint32_t routers = 1;                // processes that may be there
  };
  struct Hooks {
    std::function<View()> view;
    std::function<const std::vector<std::uint64_t>&()> asked;  // requests by tenant, since it was set
    std::function<OriginWork()> origin;
    std::function<void(Shares)> take;
    std::function<void(membership::Address, std::string payload)> tell;
    std::function<void(std::string_view)> log;
  };
  // `boot`: a random number of this process, not 0.
  Limits(engine::TimeSource& time, const ShareOptions& options, const std::vector<std::string>& names,
         const std::vector<Tenant>& tenants, leases::Incarnation boot, std::uint64_t seed, Hooks hooks);

  void begin();  // messages get through from now on
  void heard(membership::Address from, const std::string& payload);
  // Tenants as the settings have them now.
  void reconfigure(const std::vector<std::string>& names, const std::vector<Tenant>& tenants);
  // `ends`: this process does, and its successor has its floors.
  void leave(bool ends);

  // One line of JSON, without its end.
  std::string told() const;
  // For the ten seconds' line.
  std::string summary() const;
  std::uint64_t unreadable() const { return unreadable_; }

 private:
  static constexpr std::size_t kSamples = 10;  // of a period
  struct Sample {
    leases::Time time = 0;
    std::vector<std::uint64_t> asked;
    double origin = 0;  // the most that had, or wanted, a place since the last one
  };
  void take(const std::vector<std::string>& names, const std::vector<Tenant>& tenants);
  void due();
  void sample(leases::Time now);
  void look_at_use(leases::Time now);
  void after(leases::Time now);
  double rate(std::size_t tenant, std::size_t samples) const;
  const Sample& back(std::size_t count) const { return samples_[(at_ + kSamples - count) % kSamples]; }

  engine::TimeSource& time_;
  ShareOptions options_;
  struct Quota {
    leases::LimitId id = 0;
    double total = 0;  // 0: it has none
  };
  std::vector<Quota> quotas_;  // by tenant
  Hooks hooks_;
  leases::LeaseProtocol protocol_;
  std::unique_ptr<engine::Timer> timer_;
  std::array<Sample, kSamples> samples_;  // a ring; at_ is the last one
  std::size_t at_ = 0, sampled_ = 0;
  std::size_t until_view_ = 0;  // samples
  leases::Time next_sample_ = 0;
  double origin_most_ = 0;  // since the last sample
  bool begun_ = false, told_once_ = false;
  Shares last_;
  std::vector<bool> was_home_;
  std::uint64_t unreadable_ = 0;
};

}  // namespace streampick::fleet
