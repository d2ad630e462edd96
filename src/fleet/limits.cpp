#include "fleet/limits.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "membership/address.h"
#include "shares/wire.h"

namespace streampick::fleet {

using leases::Allowance;
using leases::kSecond;
using leases::Time;
using membership::Address;
using nlohmann::ordered_json;

namespace {

// What a claim of a rate is above what was asked for lately, so that it is no limit to its own growth; and
// the part of an even share that is claimed with nothing asked for, so that a first request finds something.
constexpr double kHeadroom = 1.1, kAtRest = 0.02;
constexpr std::size_t kLately = 3;  // samples
const leases::LimitId kOriginId = limit_id(kOriginPlaces);

bool same(const Shares& one, const Shares& other) {
  return one.quotas == other.quotas && one.origin_reserved == other.origin_reserved &&
         one.origin_leased == other.origin_leased && one.origin_lease_end == other.origin_lease_end;
}

}  // namespace

Limits::Limits(engine::TimeSource& time, const ShareOptions& options, const std::vector<std::string>& names,
               const std::vector<Tenant>& tenants, leases::Incarnation boot, std::uint64_t seed, Hooks hooks)
    : time_(time),
      options_(options),
      hooks_(std::move(hooks)),
      protocol_(options.core, boot, seed, time.now()),
      timer_(time.timer([this] { due(); })),
      was_home_(options.core.shards) {
  take(names, tenants);
  after(time_.now());
}

void Limits::take(const std::vector<std::string>& names, const std::vector<Tenant>& tenants) {
  quotas_.assign(options_.quotas ? std::min(names.size(), tenants.size()) : 0, {});
  for (std::size_t i = 0; i < quotas_.size(); ++i)
    quotas_[i] = {limit_id(quota_of(names[i])), tenants[i].quota_per_s};
}

void Limits::begin() {
  if (std::exchange(begun_, true)) return;
  const Time now = time_.now();
  protocol_.start(now);
  next_sample_ = now;
  due();
}

void Limits::heard(Address from, const std::string& payload) {
  const auto message = leases::decode(payload);
  if (!message) {
    ++unreadable_;
    return;
  }
  const Time now = time_.now();
  look_at_use(now);
  protocol_.receive(now, from, *message);
  after(now);
}

void Limits::reconfigure(const std::vector<std::string>& names, const std::vector<Tenant>& tenants) {
  take(names, tenants);
  for (Sample& sample : samples_) sample.asked.clear();  // numbers mean other tenants now
  const Time now = time_.now();
  protocol_.set_limits(now, limits_of(options_, names, tenants));
  after(now);
}

void Limits::leave(bool ends) {
  const Time now = time_.now();
  look_at_use(now);
  protocol_.leave(now, ends);
  after(now);
  timer_->cancel();
}

void Limits::due() {
  const Time now = time_.now();
  if (now >= next_sample_) sample(now);
  look_at_use(now);
  if (now >= protocol_.next_wakeup()) protocol_.tick(now);
  after(now);
}

// Requests a second of a tenant, over the last samples.
double Limits::rate(std::size_t tenant, std::size_t samples) const {
  const Sample &last = back(0), &first = back(std::min({samples, sampled_, kSamples - 1}));
  if (tenant >= last.asked.size() || last.time <= first.time) return 0;
  const std::uint64_t before = tenant < first.asked.size() ? first.asked[tenant] : 0;
  const std::uint64_t asked = last.asked[tenant] - std::min(before, last.asked[tenant]);
  return static_cast<double>(asked) * kSecond / static_cast<double>(last.time - first.time);
}

void Limits::sample(Time now) {
  at_ = (at_ + 1) % kSamples;
  sampled_ = std::min(sampled_ + 1, kSamples);
  samples_[at_] = {now, hooks_.asked(), std::exchange(origin_most_, 0)};
  next_sample_ = now + protocol_.settings().period / static_cast<Time>(kSamples);
  if (until_view_ == 0) {
    View view = hooks_.view();
    protocol_.set_view(now, std::move(view.living), view.routers);
    until_view_ = kSamples / 2;
  }
  --until_view_;
  for (std::size_t i = 0; i < quotas_.size(); ++i) {
    if (quotas_[i].total <= 0) continue;
    const double asked = std::max(rate(i, kSamples - 1), rate(i, kLately));
    protocol_.set_demand(now, quotas_[i].id,
                         asked * kHeadroom + kAtRest * quotas_[i].total / protocol_.routers(), 0);
  }
}

// What is out now, and at most lately: the core must never be told of less than there is.
void Limits::look_at_use(Time now) {
  if (options_.origin_places <= 0) return;
  const OriginWork work = hooks_.origin();
  origin_most_ = std::max(origin_most_, work.in_flight + static_cast<double>(work.queued));
  double most = origin_most_;
  for (const Sample& one : samples_) most = std::max(most, one.origin);
  protocol_.set_demand(now, kOriginId, most, work.in_flight);
}

void Limits::after(Time now) {
  for (const leases::OutgoingMessage& send : protocol_.take_messages())
    hooks_.tell(send.to, leases::encode(send.message));
  Shares own;
  // Tenants beyond those that may be told have an even part of theirs.
  for (const Quota& quota : quotas_)
    own.quotas.push_back(protocol_.has_limit(quota.id) ? protocol_.allowance(quota.id).usable(now)
                                                       : quota.total / protocol_.routers());
  if (options_.origin_places > 0) {
    const Allowance allowance = protocol_.allowance(kOriginId);
    own.origin_reserved = allowance.guaranteed;
    own.origin_leased = allowance.leased;
    own.origin_lease_end = allowance.lease_end;
  }
  if (!told_once_ || !same(own, last_)) {
    told_once_ = true;
    last_ = own;
    hooks_.take(std::move(own));
  }
  for (std::uint32_t seat = 0; seat < was_home_.size(); ++seat) {
    const bool home = protocol_.is_granter(seat, now);
    if (home == was_home_[seat]) continue;
    was_home_[seat] = home;
    hooks_.log("shares: this router is " + std::string(home ? "now" : "no longer") + " the home of seat " +
               std::to_string(seat));
  }
  if (begun_) timer_->set(std::min(protocol_.next_wakeup(), next_sample_));
}

std::string Limits::told() const {
  const Time now = time_.now();
  ordered_json out;
  out["routers"] = protocol_.routers();
  out["seats"] = ordered_json::array();
  for (std::uint32_t seat = 0; seat < protocol_.settings().shards; ++seat)
    out["seats"].push_back({{"home", membership::text_of(protocol_.known_granter(seat))},
                            {"epoch", protocol_.epoch(seat).number},
                            {"self", protocol_.is_granter(seat, now)},
                            {"grants", protocol_.is_granting(seat, now)}});
  out["limits"] = ordered_json::array();
  for (const leases::Limit& limit : protocol_.settings().limits) {
    const Allowance allowance = protocol_.allowance(limit.id);
    ordered_json one;
    one["name"] = limit.name;
    one["kind"] = limit.kind == leases::LimitKind::hard ? "hard" : "soft";
    one["total"] = limit.total;
    one["floor"] = allowance.guaranteed;
    one["leased"] = now < allowance.lease_end ? allowance.leased : 0;
    one["for_ms"] = std::max<Time>(0, allowance.lease_end - now) / 1'000;
    one["usable"] = allowance.usable(now);
    one["wanted"] = protocol_.demand(limit.id);
    if (limit.name == kOriginPlaces) one["out"] = hooks_.origin().in_flight;
    if (const leases::LeaseTable* table = protocol_.lease_table(limit.id))
      one["at_home"] = {{"out", table->outstanding(now)},
                        {"wanted", table->total_demand()},
                        {"holders", table->holder_count()}};
    out["limits"].push_back(std::move(one));
  }
  const leases::Counters& counters = protocol_.counters();
  const std::pair<const char*, std::uint64_t> numbers[] = {
      {"claims", counters.claims_sent},      {"grants", counters.grants_sent},
      {"granted", counters.leases_applied},  {"stale", counters.stale_grants},
      {"homes_won", counters.elections_won}, {"homes_lost", counters.terms_lost},
      {"refused", counters.votes_rejected},  {"unknown", counters.unknown_ids},
      {"slept", counters.suspensions},       {"unreadable", unreadable_}};
  for (const auto& [name, number] : numbers) out["figures"][name] = number;
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string Limits::summary() const {
  const Time now = time_.now();
  std::size_t homes = 0, leased = 0;
  for (std::uint32_t seat = 0; seat < protocol_.settings().shards; ++seat)
    homes += protocol_.is_granter(seat, now) ? 1 : 0;
  for (const leases::Limit& limit : protocol_.settings().limits)
    leased += now < protocol_.allowance(limit.id).lease_end ? 1 : 0;
  return " shares: homes=" + std::to_string(homes) + " leased=" + std::to_string(leased) + "/" +
         std::to_string(protocol_.settings().limits.size());
}

}  // namespace streampick::fleet
