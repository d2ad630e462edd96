#include "roster/etcd/watcher.h"

#include <algorithm>
#include <utility>

namespace streampick::etcd {

Watcher::Watcher(const WatcherSettings& settings, std::uint64_t seed, WatcherActions& actions)
    : settings_(settings),
      actions_(actions),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32U)) | 1U),
      backoff_(settings.backoff_first) {}

Time Watcher::drawn(Time most) {
  return most <= 0 ? 0 : std::uniform_int_distribution<Time>(0, most)(random_);
}

void Watcher::start(Time now) {
  if (state_ != State::idle) return;
  confirmed_at_ = now;
  endpoint_ = settings_.endpoints > 1 ? random_() % settings_.endpoints : 0;
  attempt(now);
}

void Watcher::attempt(Time now) { must_list_ ? list(now) : open(now); }

// ---- Listing

void Watcher::list(Time now) {
  state_ = State::listing;
  ++counts_.listings;
  reading_ = {};
  due_ = now + settings_.answer;
  actions_.range(++turn_, endpoint_, "", 0, settings_.page);
}

void Watcher::page(Time now, std::uint64_t turn, const Header& header, std::vector<KeyValue> kvs, bool more) {
  if (turn != turn_ || state_ != State::listing) return;
  if (reading_.revision == 0) {
    // All pages are of the first one's revision: together they are one state that there was.
    reading_.cluster_id = header.cluster_id;
    reading_.revision = header.revision;
  } else if (header.cluster_id != reading_.cluster_id) {
    return fail(now, "the cluster's id changed between two pages");
  }
  if (header.revision <= 0) return fail(now, "a listing without a revision");
  if (reading_.kvs.size() + kvs.size() > settings_.most_keys)
    return fail(now, "more than " + std::to_string(settings_.most_keys) + " keys");
  std::string last;
  for (KeyValue& kv : kvs) {
    if (kv.mod_revision > reading_.revision) return fail(now, "a key newer than its listing");
    last = kv.key;
    std::string key = kv.key;
    reading_.kvs.insert_or_assign(std::move(key), std::move(kv));
  }
  if (!more) return listed(now);
  if (last.empty()) return fail(now, "a page with nothing on it, and more to come");
  due_ = now + settings_.answer;
  actions_.range(turn_, endpoint_, last + '\0', reading_.revision, settings_.page);
}

void Watcher::range_failed(Time now, std::uint64_t turn, const std::string& why, bool compacted) {
  if (turn != turn_ || state_ != State::listing) return;
  if (!compacted) return fail(now, "listing: " + why);
  // Compacted between two pages: the listing begins anew, at a newer revision.
  ++counts_.compactions;
  actions_.said("etcd: compacted in the middle of a listing, which begins anew");
  actions_.drop(turn_);
  wait(now, now + drawn(settings_.spread));
}

void Watcher::listed(Time now) {
  const Suspicion kind = suspicion(reading_);
  if (kind == Suspicion::none) {
    suspect_ = {};
    return accept(now, std::move(reading_), epoch_ == 0);
  }
  if (confirms(now, reading_, kind)) {
    suspect_ = {};
    return accept(now, std::move(reading_), kind == Suspicion::history);
  }
  suspect(now, kind);
}

Watcher::Suspicion Watcher::suspicion(const Listing& listing) const {
  if (epoch_ == 0) return Suspicion::none;
  if (listing.cluster_id != cluster_id_ || listing.revision < revision_) return Suspicion::history;
  const auto kept =
      static_cast<double>(std::count_if(published_.begin(), published_.end(),
                                        [&](const auto& one) { return listing.kvs.contains(one.first); }));
  return kept < settings_.least_share * static_cast<double>(published_.size()) ? Suspicion::share
                                                                               : Suspicion::none;
}

// Whether this listing makes sure of what one before it looked like.
bool Watcher::confirms(Time now, const Listing& listing, Suspicion kind) {
  if (suspect_.kind != kind) return false;
  const Listing& before = suspect_.listing;
  if (listing.cluster_id != before.cluster_id || listing.revision < before.revision) return false;
  const std::size_t before_endpoints = suspect_.endpoints.size() - suspect_.endpoints.count(endpoint_);
  if (kind == Suspicion::history)
    // A member that lags, or belongs to another cluster, must not pass for all of them.
    return 2 * (before_endpoints + 1) > settings_.endpoints &&
           now - suspect_.since >= settings_.confirm_history;
  // The same keys are gone in both.
  return std::all_of(published_.begin(), published_.end(), [&](const auto& one) {
    return before.kvs.contains(one.first) || !listing.kvs.contains(one.first);
  });
}

void Watcher::suspect(Time now, Suspicion kind) {
  ++counts_.suspects;
  const bool goes_on = suspect_.kind == kind && suspect_.listing.cluster_id == reading_.cluster_id &&
                       reading_.revision >= suspect_.listing.revision;
  if (!goes_on) suspect_ = {kind, {}, now};
  suspect_.listing = std::move(reading_);
  suspect_.endpoints.insert(endpoint_);
  reading_ = {};
  if (!goes_on) {
    const std::string what =
        kind == Suspicion::share ? "a listing with " + std::to_string(suspect_.listing.kvs.size()) + " of " +
                                       std::to_string(published_.size()) + " keys"
        : suspect_.listing.cluster_id != cluster_id_
            ? "the cluster's id is another one"
            : "revision " + std::to_string(suspect_.listing.revision) + " after " + std::to_string(revision_);
    actions_.said("etcd: " + what + ": suspect, to be read again");
  }
  endpoint_ = (endpoint_ + 1) % settings_.endpoints;
  must_list_ = true;
  wait(now, now + (kind == Suspicion::share
                       ? settings_.confirm_share
                       : settings_.confirm_history / static_cast<Time>(2 * settings_.endpoints)));
}

void Watcher::accept(Time now, Listing listing, bool new_epoch) {
  Publication out;
  out.complete = true;
  out.revision = listing.revision;
  for (const auto& [key, was] : published_) {
    const auto found = listing.kvs.find(key);
    // Revisions of two epochs can't be compared: there the value says whether it is the same.
    const bool same =
        found != listing.kvs.end() &&
        (new_epoch ? found->second.value == was.value : found->second.create_revision == was.create_revision);
    if (!same) out.departed.push_back({key, was.create_revision});
  }
  if (new_epoch) {
    ++epoch_;
    ++counts_.epochs;
    if (epoch_ > 1)
      actions_.said("etcd: another history is taken, from revision " + std::to_string(out.revision));
  }
  cluster_id_ = listing.cluster_id;
  revision_ = listing.revision;
  published_ = std::move(listing.kvs);
  for (const auto& [key, kv] : published_) out.puts.push_back(kv);
  must_list_ = false;
  confirmed(now);
  tell(std::move(out));
  open(now);
}

// ---- Watching

void Watcher::open(Time now) {
  state_ = State::opening;
  ++counts_.watches;
  partial_.clear();
  asked_progress_ = false;
  due_ = now + settings_.answer;
  actions_.watch(++turn_, endpoint_, revision_ + 1);
}

void Watcher::created(Time now, std::uint64_t turn, const Header& header) {
  if (turn != turn_ || state_ != State::opening) return;
  if (header.cluster_id != cluster_id_ || header.revision < revision_) {
    // From this one nothing would come, or another history: a listing finds out which.
    must_list_ = true;
    return fail(now, "the watch began on another cluster, or on one that lags");
  }
  if (counts_.breaks > 0) ++counts_.resumed;
  state_ = State::watching;
  confirmed(now);
}

void Watcher::events(Time now, std::uint64_t turn, const Header& header, std::vector<Event> events,
                     bool fragment) {
  if (turn != turn_ || state_ != State::watching) return;
  if (header.cluster_id != cluster_id_) {
    must_list_ = true;
    return fail(now, "events of another cluster");
  }
  if (partial_.size() + events.size() > settings_.most_partial) {
    must_list_ = true;
    return fail(now, "an answer in too many parts");
  }
  std::move(events.begin(), events.end(), std::back_inserter(partial_));
  heard_ = now;
  asked_progress_ = false;
  // What is not whole yet may be half of a transaction.
  if (fragment) return;
  apply(now);
}

void Watcher::apply(Time now) {
  std::vector<Event> events = std::exchange(partial_, {});
  std::int64_t last = 0;
  for (const Event& event : events) {
    if (event.kv.mod_revision < last || event.kv.key.empty()) {
      must_list_ = true;
      return fail(now, "events out of order");
    }
    last = event.kv.mod_revision;
  }
  Publication out;
  std::map<std::string, KeyValue> puts;  // of each key the last
  const std::int64_t before = revision_;
  for (Event& event : events) {
    if (event.kv.mod_revision <= before) {  // delivered twice
      ++counts_.repeated;
      continue;
    }
    revision_ = std::max(revision_, event.kv.mod_revision);
    const auto found = published_.find(event.kv.key);
    const bool there = found != published_.end();
    // One that came within these events was not told as there: it has nothing to depart from.
    const bool told = there && found->second.create_revision <= before;
    if (told && (event.removed || found->second.create_revision != event.kv.create_revision))
      out.departed.push_back({event.kv.key, found->second.create_revision});
    if (event.removed) {
      if (there) published_.erase(found);
      puts.erase(event.kv.key);
      continue;
    }
    published_.insert_or_assign(event.kv.key, event.kv);
    std::string key = event.kv.key;
    puts.insert_or_assign(std::move(key), std::move(event.kv));
  }
  for (auto& [key, kv] : puts) out.puts.push_back(std::move(kv));
  confirmed(now);
  out.revision = revision_;
  if (revision_ > before) tell(std::move(out));
}

void Watcher::progress(Time now, std::uint64_t turn, const Header& header) {
  if (turn != turn_ || state_ != State::watching) return;
  if (header.cluster_id != cluster_id_ || header.revision < revision_) {
    must_list_ = true;
    return fail(now, "progress of another cluster, or back to " + std::to_string(header.revision));
  }
  // All up to there has been delivered. Not where an answer has begun and is not whole.
  if (partial_.empty()) revision_ = header.revision;
  confirmed(now);
}

void Watcher::cancelled(Time now, std::uint64_t turn, const std::string& reason,
                        std::int64_t compact_revision) {
  if (turn != turn_ || (state_ != State::watching && state_ != State::opening)) return;
  if (compact_revision <= 0) return fail(now, "the watch was cancelled: " + reason);
  // What went between our revision and the compaction is not told by events any more: the listing shows it.
  ++counts_.compactions;
  must_list_ = true;
  actions_.said("etcd: compacted up to revision " + std::to_string(compact_revision) +
                ", beyond ours: listing anew");
  actions_.drop(turn_);
  wait(now, now + drawn(settings_.spread));
}

void Watcher::broken(Time now, std::uint64_t turn, const std::string& why) {
  if (turn != turn_ || state_ == State::waiting || state_ == State::idle) return;
  fail(now, why);
}

// ---- Time

void Watcher::fail(Time now, const std::string& why) {
  ++counts_.breaks;
  actions_.said("etcd: " + why + (published_.empty() ? "" : "; the last roster stays in use"));
  actions_.drop(turn_);
  endpoint_ = (endpoint_ + 1) % settings_.endpoints;
  const Time least = backoff_ / 4;
  wait(now, now + least + drawn(backoff_ - least));
  backoff_ = std::min(2 * backoff_, settings_.backoff_most);
}

void Watcher::wait(Time now, Time until) {
  ++turn_;  // whatever still comes of the one before is not heard
  state_ = State::waiting;
  partial_.clear();
  reading_ = {};
  due_ = std::max(now, until);
}

void Watcher::confirmed(Time now) {
  heard_ = confirmed_at_ = now;
  asked_progress_ = false;
  backoff_ = settings_.backoff_first;
  if (knowledge_.state == Knowledge::State::fresh) return;
  knowledge_ = {Knowledge::State::fresh, now};
  actions_.knowledge(knowledge_);
}

void Watcher::look_at_age(Time now) {
  if (knowledge_.state != Knowledge::State::fresh || now - confirmed_at_ < settings_.fresh_for) return;
  knowledge_ = {Knowledge::State::stale, confirmed_at_};
  actions_.said("etcd: not heard for " + std::to_string((now - confirmed_at_) / 1000) +
                " ms: the roster counts as stale");
  actions_.knowledge(knowledge_);
}

void Watcher::tell(Publication publication) {
  publication.epoch = epoch_;
  ++counts_.publications;
  counts_.departures += publication.departed.size();
  actions_.publish(publication);
}

Time Watcher::next_time() const {
  Time next = kNever;
  if (state_ == State::watching) {
    next = asked_progress_ ? due_ : heard_ + settings_.silence;
  } else if (state_ != State::idle) {
    next = due_;
  }
  if (suspect_.kind == Suspicion::share && !suspect_.listing.kvs.empty())
    next = std::min(next, suspect_.since + settings_.apply_share);
  if (knowledge_.state == Knowledge::State::fresh) next = std::min(next, confirmed_at_ + settings_.fresh_for);
  return next;
}

void Watcher::on_time(Time now) {
  look_at_age(now);
  // It was told, by one reading: within 2 s nothing new may go to those that went. Not where nothing at all
  // is left, which serves nobody: that waits until it is sure.
  if (suspect_.kind == Suspicion::share && !suspect_.listing.kvs.empty() &&
      now - suspect_.since >= settings_.apply_share && state_ != State::watching) {
    ++counts_.applied_unconfirmed;
    actions_.said("etcd: a suspect listing could not be read again in time and is applied");
    actions_.drop(turn_);
    Listing listing = std::move(suspect_.listing);
    suspect_ = {};
    return accept(now, std::move(listing), false);
  }
  switch (state_) {
    case State::idle: return;
    case State::waiting:
      if (now >= due_) attempt(now);
      return;
    case State::listing:
    case State::opening:
      if (now >= due_) fail(now, "no answer in time");
      return;
    case State::watching:
      if (asked_progress_) {
        if (now >= due_) fail(now, "silent for too long");
        return;
      }
      if (now - heard_ < settings_.silence) return;
      asked_progress_ = true;
      due_ = now + settings_.answer;
      actions_.ask_progress(turn_);
      return;
  }
}

}  // namespace streampick::etcd
