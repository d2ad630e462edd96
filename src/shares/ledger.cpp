#include "shares/ledger.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "shares/division.h"
#include "shares/without.h"

namespace streampick::leases {

namespace {
constexpr std::size_t kMostOut = 16;    // grants that a holder has not owned up to
constexpr double kGrowth = 2;           // a claim is believed to grow by this factor a time at most ...
constexpr double kGrowthOfTotal = 0.1;  // ... and this part of the total
constexpr double kNoise = 0.05;         // changes of a rate within this are none
constexpr Time kMoreFor = 1;            // leases
}  // namespace

double Ledger::Holder::exposed(Time now) const {
  double most = now < over_until ? over : 0;
  for (const Out& one : out)
    if (now < one.until) most = std::max(most, one.amount);
  return most;
}

double Ledger::out(Time now) const {
  double sum = 0;
  for (const auto& [boot, holder] : holders_) sum += holder.exposed(now);
  return sum;
}

double Ledger::wanted() const {
  double sum = 0;
  for (const auto& [boot, holder] : holders_) sum += holder.want;
  return sum;
}

// One process is at an address: whoever claims there by other boots has one part, and waits out what its
// former selves may hold.
double Ledger::left_at(Time now, const Holder& holder) {
  double out = 0;
  for (auto& [boot, other] : holders_) {
    if (&other == &holder || other.at != holder.at) continue;
    changed_ = changed_ || !other.former;
    other.former = true;
    other.want = 0;
    out += other.exposed(now);
  }
  return out;
}

void Ledger::take(Time now, const Settings& settings, const Limit& limit, Holder& holder,
                  const Claim& claim) {
  const Item& item = claim.item;
  const bool first = holder.heard == 0;
  const double exposed = holder.exposed(now);
  holder.claim = claim.number;
  holder.former = false;
  // A word of another epoch says nothing of this book's grants.
  if (claim.this_epoch || kWithout == kFence) {
    std::erase_if(holder.out, [&](const Out& one) { return one.grant < item.seen || now >= one.until; });
    // What it gives back it can't use again: its own amount has fallen.
    for (Out& one : holder.out)
      if (one.grant == item.seen) one.amount = std::min(one.amount, item.amount);
    if (kWithout == kOut) holder.out.clear();
  }
  if (limit.kind == Kind::hard) {
    // Whatever it says: no more than what it was leased.
    holder.over = std::min(item.over, exposed);
    holder.over_until = now + no_shorter(settings.work, settings.drift);
  }
  const double before = holder.want;
  double want = std::min(item.want, limit.total);
  want = std::min(want, kGrowth * before + kGrowthOfTotal * limit.total + 1);
  if (limit.kind == Kind::hard) want = std::floor(want);
  if (limit.kind == Kind::soft && std::abs(want - before) <= kNoise * before && want > 0) want = before;
  const double weight = std::clamp(claim.weight, kLeastWeight, kMostWeight);
  changed_ = changed_ || first || want != before || weight != holder.weight;
  holder.want = want;
  holder.weight = weight;
  holder.heard = now;
}

void Ledger::forget(Time now, const Settings& settings) {
  const std::size_t before = holders_.size();
  std::erase_if(holders_, [&](const auto& one) {
    return now - one.second.heard > settings.lease && one.second.exposed(now) <= 0;
  });
  changed_ = changed_ || holders_.size() != before;
}

// Only who was heard of within a lease has a part; what the others may still use counts as out.
void Ledger::divide(Time now, const Settings& settings, const Limit& limit, double pool) {
  std::vector<Holder*> there;
  std::vector<Want> wants;
  std::vector<double> credits, has;
  for (auto& [boot, holder] : holders_) {
    holder.part = 0;
    if (now - holder.heard > settings.lease) continue;
    there.push_back(&holder);
    wants.push_back({holder.want, holder.weight});
    credits.push_back(holder.credit);
    has.push_back(holder.amount);
  }
  double wanted = 0;
  for (const Want& want : wants) wanted += want.want;
  const double kept = wanted > pool ? settings.reserve * pool : 0;
  std::vector<double> parts;
  if (limit.kind == Kind::soft) {
    parts = max_min(pool - kept, wants);
  } else {
    parts = whole_max_min(pool - std::floor(kept), wants, credits, has);
  }
  const bool credit = now - credited_ >= settings.period;
  if (credit) credited_ = now;
  for (std::size_t i = 0; i < there.size(); ++i) {
    there[i]->part = parts[i];
    if (credit) there[i]->credit = credits[i];
  }
  divided_ = now;
  changed_ = false;
}

// Of the reserve, beyond its part: for whoever comes first, and for one lease.
double Ledger::more(Time now, const Settings& settings, const Limit& limit, double pool,
                    Holder& holder) const {
  const double missing = holder.want - holder.part;
  if (missing <= 0) {
    holder.more_since = 0;
    return 0;
  }
  if (holder.more_since == 0) holder.more_since = now;
  if (now - holder.more_since > kMoreFor * settings.lease) return 0;
  double left = settings.reserve * pool;
  for (const auto& [boot, other] : holders_)
    if (&other != &holder) left -= std::max(0.0, other.amount - other.part);
  left = std::clamp(left, 0.0, missing);
  return limit.kind == Kind::hard ? std::floor(left) : left;
}

std::optional<double> Ledger::claim(Time now, const Settings& settings, const Limit& limit,
                                    std::uint32_t routers, const Claim& claim, std::uint32_t grant,
                                    Time length) {
  forget(now, settings);
  auto found = holders_.find(claim.holder);
  if (found == holders_.end()) {
    const auto there = std::count_if(holders_.begin(), holders_.end(),
                                     [&](const auto& one) { return one.second.at == claim.from; });
    if (holders_.size() >= kMostHolders || there >= std::ptrdiff_t{kMostAtAddress}) return std::nullopt;
    found = holders_.try_emplace(claim.holder).first;
    found->second.at = claim.from;
  }
  Holder& holder = found->second;
  if (holder.heard != 0 && claim.number <= holder.claim) return std::nullopt;
  take(now, settings, limit, holder, claim);
  const double left = left_at(now, holder);
  // Of a rate, whoever does not claim uses an even part of it.
  std::size_t claiming = 0;
  for (const auto& [boot, other] : holders_)
    claiming += !other.former && now - other.heard <= settings.lease ? 1 : 0;
  const double pool = limit.kind == Kind::hard
                          ? leased_of(limit, settings)
                          : limit.total * std::min(1.0, static_cast<double>(claiming) / routers);
  if (changed_ || now - divided_ >= settings.period) divide(now, settings, limit, pool);
  double amount = holder.part + more(now, settings, limit, pool, holder);
  if (limit.kind == Kind::hard) {
    const double free = pool - (out(now) - holder.exposed(now));
    amount = std::floor(std::clamp(amount - left, 0.0, std::max(0.0, free)));
    // Too many grants that it has said nothing of: nothing new.
    if (holder.out.size() >= kMostOut) amount = std::min(amount, holder.out.back().amount);
    std::erase_if(holder.out, [&](const Out& one) { return one.amount <= amount; });
    holder.out.push_back({grant, amount, now + length + no_shorter(settings.work, settings.drift)});
  }
  holder.amount = amount;
  return amount;
}

}  // namespace streampick::leases
