#include "fleet/shared_limits.h"

#include <algorithm>
#include <utility>

#include "shares/wire.h"

namespace streampick::fleet {

using leases::Allowance;
using leases::Time;
using membership::Address;

namespace {

// Factor by which a claim for a rate exceeds recent demand, so that the lease does not prevent demand from
// growing.
constexpr double kHeadroom = 1.1;
// Part of an even share that is claimed without any demand, so that a tenant's first request is admitted.
constexpr double kIdleClaim = 0.02;
constexpr std::size_t kSamplesPerView = DemandSampler::kSamplesPerPeriod / 2;
const leases::LimitId kOriginId = limit_id(kOriginPlaces);

bool is_same(const Shares& left, const Shares& right) {
  return left.quotas == right.quotas && left.origin_reserved == right.origin_reserved &&
         left.origin_leased == right.origin_leased && left.origin_lease_end == right.origin_lease_end;
}

}  // namespace

SharedLimits::SharedLimits(engine::TimeSource& time, const ShareOptions& options,
                           const std::vector<std::string>& names, const std::vector<Tenant>& tenants,
                           leases::Incarnation self, std::uint64_t seed, Hooks hooks)
    : time_(time),
      options_(options),
      hooks_(std::move(hooks)),
      protocol_(options.core, self, seed, time.now()),
      timer_(time.timer([this] { on_timer(); })),
      was_granter_(options.core.shards) {
  set_quotas(names, tenants);
  after_event(time_.now());
}

void SharedLimits::set_quotas(const std::vector<std::string>& names, const std::vector<Tenant>& tenants) {
  quotas_.clear();
  if (!options_.quotas) return;
  const std::size_t count = std::min(names.size(), tenants.size());
  for (std::size_t tenant = 0; tenant < count; ++tenant)
    quotas_.push_back(
        {.id = limit_id(quota_limit_name(names[tenant])), .total = tenants[tenant].quota_per_s});
}

void SharedLimits::start() {
  if (std::exchange(has_started_, true)) return;
  const Time now = time_.now();
  protocol_.start(now);
  next_sample_ = now;
  on_timer();
}

void SharedLimits::on_payload(Address from, const std::string& payload) {
  const auto message = leases::decode(payload);
  if (!message) {
    ++unreadable_payloads_;
    return;
  }
  const Time now = time_.now();
  update_origin_demand(now);
  protocol_.receive(now, from, *message);
  after_event(now);
}

void SharedLimits::reconfigure(const std::vector<std::string>& names, const std::vector<Tenant>& tenants) {
  set_quotas(names, tenants);
  demand_.forget_requests();
  const Time now = time_.now();
  protocol_.set_limits(now, limits_of(options_, names, tenants));
  after_event(now);
}

void SharedLimits::leave(bool process_ends) {
  const Time now = time_.now();
  update_origin_demand(now);
  protocol_.leave(now, process_ends);
  after_event(now);
  timer_->cancel();
}

void SharedLimits::on_timer() {
  const Time now = time_.now();
  if (now >= next_sample_) sample_demand(now);
  update_origin_demand(now);
  if (now >= protocol_.next_wakeup()) protocol_.tick(now);
  after_event(now);
}

void SharedLimits::sample_demand(Time now) {
  demand_.add_sample(now, hooks_.request_counts());
  next_sample_ = now + protocol_.settings().period / static_cast<Time>(DemandSampler::kSamplesPerPeriod);
  if (samples_until_view_ == 0) {
    View view = hooks_.view();
    protocol_.set_view(now, std::move(view.living), view.routers);
    samples_until_view_ = kSamplesPerView;
  }
  --samples_until_view_;
  for (std::size_t tenant = 0; tenant < quotas_.size(); ++tenant) {
    const Quota& quota = quotas_[tenant];
    if (quota.total <= 0) continue;
    const double idle = kIdleClaim * quota.total / protocol_.routers();
    protocol_.set_demand(now, quota.id, demand_.request_rate(tenant) * kHeadroom + idle, 0);
  }
}

void SharedLimits::update_origin_demand(Time now) {
  if (options_.origin_places <= 0) return;
  const OriginWork work = hooks_.origin_work();
  demand_.observe_origin(work);
  protocol_.set_demand(now, kOriginId, demand_.max_origin_work(), work.in_flight);
}

// Sends queued messages, reports changed allowances and sets the timer.
void SharedLimits::after_event(Time now) {
  for (const leases::OutgoingMessage& outgoing : protocol_.take_messages())
    hooks_.send(outgoing.to, leases::encode(outgoing.message));
  Shares shares = current_shares(now);
  if (!has_reported_ || !is_same(shares, last_reported_)) {
    has_reported_ = true;
    last_reported_ = shares;
    hooks_.apply_allowances(std::move(shares));
  }
  log_elections(now);
  if (has_started_) timer_->set(std::min(protocol_.next_wakeup(), next_sample_));
}

Shares SharedLimits::current_shares(Time now) const {
  Shares shares;
  // Tenants beyond the maximum number of limits get an even share of their quota.
  for (const Quota& quota : quotas_)
    shares.quotas.push_back(protocol_.has_limit(quota.id) ? protocol_.allowance(quota.id).usable(now)
                                                          : quota.total / protocol_.routers());
  if (options_.origin_places > 0) {
    const Allowance allowance = protocol_.allowance(kOriginId);
    shares.origin_reserved = allowance.guaranteed;
    shares.origin_leased = allowance.leased;
    shares.origin_lease_end = allowance.lease_end;
  }
  return shares;
}

// The log lines use the operators' words: a shard is a seat, and its granter is the seat's home.
void SharedLimits::log_elections(Time now) {
  for (std::uint32_t shard = 0; shard < was_granter_.size(); ++shard) {
    const bool is_granter = protocol_.is_granter(shard, now);
    if (is_granter == was_granter_[shard]) continue;
    was_granter_[shard] = is_granter;
    hooks_.log("shares: this router is " + std::string(is_granter ? "now" : "no longer") +
               " the home of seat " + std::to_string(shard));
  }
}

}  // namespace streampick::fleet
