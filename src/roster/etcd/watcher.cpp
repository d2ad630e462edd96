#include "roster/etcd/watcher.h"

#include <algorithm>
#include <utility>

namespace streampick::etcd {

Watcher::Watcher(const WatcherSettings& settings, std::uint64_t seed, WatcherActions& actions)
    : settings_(settings),
      actions_(actions),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32U)) | 1U),
      backoff_(settings.initial_backoff) {}

Time Watcher::random_delay(Time most) {
  return most <= 0 ? 0 : std::uniform_int_distribution<Time>(0, most)(random_);
}

void Watcher::start(Time now) {
  if (state_ != State::idle) return;
  confirmed_at_ = now;
  endpoint_ = settings_.endpoints > 1 ? random_() % settings_.endpoints : 0;
  start_attempt(now);
}

void Watcher::start_attempt(Time now) { needs_listing_ ? start_listing(now) : open_watch(now); }

// ---- Listing

void Watcher::start_listing(Time now) {
  state_ = State::listing;
  ++counts_.listings;
  partial_listing_ = {};
  deadline_ = now + settings_.response_timeout;
  actions_.range(++operation_id_, endpoint_, "", 0, settings_.page_size);
}

void Watcher::page(Time now, std::uint64_t operation_id, const Header& header, std::vector<KeyValue> kvs,
                   bool more) {
  if (operation_id != operation_id_ || state_ != State::listing) return;
  if (partial_listing_.revision == 0) {
    // All pages are read at the first one's revision, so that together they are a consistent snapshot.
    partial_listing_.cluster_id = header.cluster_id;
    partial_listing_.revision = header.revision;
  } else if (header.cluster_id != partial_listing_.cluster_id) {
    return fail_attempt(now, "listing: the cluster id changed between two pages");
  }
  if (header.revision <= 0) return fail_attempt(now, "listing: the response has no valid revision");
  if (partial_listing_.kvs.size() + kvs.size() > settings_.max_keys)
    return fail_attempt(now, "listing: more than " + std::to_string(settings_.max_keys) + " keys");
  std::string last;
  for (KeyValue& kv : kvs) {
    if (kv.mod_revision > partial_listing_.revision)
      return fail_attempt(now, "listing: a key is newer than the listing's revision");
    last = kv.key;
    std::string key = kv.key;
    partial_listing_.kvs.insert_or_assign(std::move(key), std::move(kv));
  }
  if (!more) return finish_listing(now);
  if (last.empty()) return fail_attempt(now, "listing: an empty page announces more keys");
  deadline_ = now + settings_.response_timeout;
  actions_.range(operation_id_, endpoint_, last + '\0', partial_listing_.revision, settings_.page_size);
}

void Watcher::range_failed(Time now, std::uint64_t operation_id, const std::string& reason, bool compacted) {
  if (operation_id != operation_id_ || state_ != State::listing) return;
  if (!compacted) return fail_attempt(now, "listing: " + reason);
  // The revision was compacted between two pages: start the listing over at a newer one.
  ++counts_.compactions;
  actions_.log_line("etcd: revision compacted during a listing; listing again");
  actions_.cancel(operation_id_);
  wait_until(now, now + random_delay(settings_.relist_jitter));
}

void Watcher::finish_listing(Time now) {
  const Suspicion kind = suspicion_of(partial_listing_);
  if (kind == Suspicion::none) {
    suspect_ = {};
    return accept_listing(now, std::move(partial_listing_), epoch_ == 0);
  }
  if (confirms_suspect(now, partial_listing_, kind)) {
    suspect_ = {};
    return accept_listing(now, std::move(partial_listing_), kind == Suspicion::other_history);
  }
  mark_suspect(now, kind);
}

Watcher::Suspicion Watcher::suspicion_of(const Listing& listing) const {
  if (epoch_ == 0) return Suspicion::none;
  if (listing.cluster_id != cluster_id_ || listing.revision < revision_) return Suspicion::other_history;
  const auto retained =
      static_cast<double>(std::count_if(published_.begin(), published_.end(),
                                        [&](const auto& one) { return listing.kvs.contains(one.first); }));
  return retained < settings_.min_key_share * static_cast<double>(published_.size()) ? Suspicion::few_keys
                                                                                     : Suspicion::none;
}

// Whether this listing confirms the suspect one.
bool Watcher::confirms_suspect(Time now, const Listing& listing, Suspicion kind) {
  if (suspect_.kind != kind) return false;
  const Listing& previous = suspect_.listing;
  if (listing.cluster_id != previous.cluster_id || listing.revision < previous.revision) return false;
  const std::size_t other_endpoints = suspect_.endpoints.size() - suspect_.endpoints.count(endpoint_);
  if (kind == Suspicion::other_history)
    // A single member that lags or belongs to another cluster is not sufficient.
    return 2 * (other_endpoints + 1) > settings_.endpoints &&
           now - suspect_.since >= settings_.history_confirm_duration;
  // Every known key that this listing lacks must be missing from the suspect one too.
  return std::all_of(published_.begin(), published_.end(), [&](const auto& one) {
    return previous.kvs.contains(one.first) || !listing.kvs.contains(one.first);
  });
}

void Watcher::mark_suspect(Time now, Suspicion kind) {
  ++counts_.suspects;
  const bool continues = suspect_.kind == kind &&
                         suspect_.listing.cluster_id == partial_listing_.cluster_id &&
                         partial_listing_.revision >= suspect_.listing.revision;
  if (!continues) suspect_ = {kind, {}, now};
  suspect_.listing = std::move(partial_listing_);
  suspect_.endpoints.insert(endpoint_);
  partial_listing_ = {};
  if (!continues) {
    const std::string what = kind == Suspicion::few_keys
                                 ? "the listing has " + std::to_string(suspect_.listing.kvs.size()) +
                                       " keys, but " + std::to_string(published_.size()) + " were known"
                             : suspect_.listing.cluster_id != cluster_id_
                                 ? "the cluster id changed"
                                 : "the revision went back from " + std::to_string(revision_) + " to " +
                                       std::to_string(suspect_.listing.revision);
    actions_.log_line("etcd: " + what + "; listing again to confirm it");
  }
  endpoint_ = (endpoint_ + 1) % settings_.endpoints;
  needs_listing_ = true;
  wait_until(now, now + (kind == Suspicion::few_keys ? settings_.reread_delay
                                                     : settings_.history_confirm_duration /
                                                           static_cast<Time>(2 * settings_.endpoints)));
}

void Watcher::accept_listing(Time now, Listing listing, bool new_epoch) {
  Publication out;
  out.complete = true;
  out.revision = listing.revision;
  for (const auto& [key, was] : published_) {
    const auto found = listing.kvs.find(key);
    // Revisions of two epochs are not comparable: across epochs, an incarnation is the same if its value is.
    const bool same =
        found != listing.kvs.end() &&
        (new_epoch ? found->second.value == was.value : found->second.create_revision == was.create_revision);
    if (!same) out.departed.push_back({key, was.create_revision});
  }
  if (new_epoch) {
    ++epoch_;
    ++counts_.epochs;
    if (epoch_ > 1)
      actions_.log_line("etcd: accepted a listing with another cluster id or a lower revision, at revision " +
                        std::to_string(out.revision));
  }
  cluster_id_ = listing.cluster_id;
  revision_ = listing.revision;
  published_ = std::move(listing.kvs);
  for (const auto& [key, kv] : published_) out.puts.push_back(kv);
  needs_listing_ = false;
  mark_confirmed(now);
  publish(std::move(out));
  open_watch(now);
}

// ---- Watching

void Watcher::open_watch(Time now) {
  state_ = State::opening;
  ++counts_.watches;
  pending_events_.clear();
  progress_requested_ = false;
  deadline_ = now + settings_.response_timeout;
  actions_.watch(++operation_id_, endpoint_, revision_ + 1);
}

void Watcher::created(Time now, std::uint64_t operation_id, const Header& header) {
  if (operation_id != operation_id_ || state_ != State::opening) return;
  if (header.cluster_id != cluster_id_ || header.revision < revision_) {
    // This watch would deliver no events or those of another history; a listing shows which of them holds.
    needs_listing_ = true;
    return fail_attempt(now, "the watch was created on another cluster or on a member that lags");
  }
  if (counts_.breaks > 0) ++counts_.resumed;
  state_ = State::watching;
  mark_confirmed(now);
}

void Watcher::events(Time now, std::uint64_t operation_id, const Header& header, std::vector<Event> events,
                     bool fragment) {
  if (operation_id != operation_id_ || state_ != State::watching) return;
  if (header.cluster_id != cluster_id_) {
    needs_listing_ = true;
    return fail_attempt(now, "the watch delivered events of another cluster");
  }
  if (pending_events_.size() + events.size() > settings_.max_fragmented_events) {
    needs_listing_ = true;
    return fail_attempt(now, "a fragmented watch response has too many events");
  }
  std::move(events.begin(), events.end(), std::back_inserter(pending_events_));
  last_message_at_ = now;
  progress_requested_ = false;
  // An incomplete response may contain only a part of a transaction.
  if (fragment) return;
  apply_events(now);
}

void Watcher::apply_events(Time now) {
  std::vector<Event> events = std::exchange(pending_events_, {});
  std::int64_t last = 0;
  for (const Event& event : events) {
    if (event.kv.mod_revision < last || event.kv.key.empty()) {
      needs_listing_ = true;
      return fail_attempt(now, "watch events are out of order");
    }
    last = event.kv.mod_revision;
  }
  Publication out;
  std::map<std::string, KeyValue> puts;  // the last put of each key
  const std::int64_t previous_revision = revision_;
  for (Event& event : events) {
    if (event.kv.mod_revision <= previous_revision) {  // delivered twice
      ++counts_.repeated;
      continue;
    }
    revision_ = std::max(revision_, event.kv.mod_revision);
    const auto found = published_.find(event.kv.key);
    const bool there = found != published_.end();
    // A key that was created within these events has not been published, so that it can't depart.
    const bool is_published = there && found->second.create_revision <= previous_revision;
    if (is_published && (event.removed || found->second.create_revision != event.kv.create_revision))
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
  mark_confirmed(now);
  out.revision = revision_;
  if (revision_ > previous_revision) publish(std::move(out));
}

void Watcher::progress(Time now, std::uint64_t operation_id, const Header& header) {
  if (operation_id != operation_id_ || state_ != State::watching) return;
  if (header.cluster_id != cluster_id_ || header.revision < revision_) {
    needs_listing_ = true;
    return fail_attempt(now, "progress notice of another cluster or with the lower revision " +
                                 std::to_string(header.revision));
  }
  // All events up to this revision have been delivered, unless a fragmented response is still incomplete.
  if (pending_events_.empty()) revision_ = header.revision;
  mark_confirmed(now);
}

void Watcher::cancelled(Time now, std::uint64_t operation_id, const std::string& reason,
                        std::int64_t compact_revision) {
  if (operation_id != operation_id_ || (state_ != State::watching && state_ != State::opening)) return;
  if (compact_revision <= 0) return fail_attempt(now, "the watch was cancelled: " + reason);
  // Events between the last processed revision and the compacted one are lost. A listing shows which keys
  // were removed.
  ++counts_.compactions;
  needs_listing_ = true;
  actions_.log_line("etcd: compacted up to revision " + std::to_string(compact_revision) +
                    ", above the last one processed; listing again");
  actions_.cancel(operation_id_);
  wait_until(now, now + random_delay(settings_.relist_jitter));
}

void Watcher::stream_failed(Time now, std::uint64_t operation_id, const std::string& reason) {
  if (operation_id != operation_id_ || state_ == State::waiting || state_ == State::idle) return;
  fail_attempt(now, reason);
}

// ---- Time

void Watcher::fail_attempt(Time now, const std::string& reason) {
  ++counts_.breaks;
  actions_.log_line("etcd: " + reason + (published_.empty() ? "" : "; the last roster stays in use"));
  actions_.cancel(operation_id_);
  endpoint_ = (endpoint_ + 1) % settings_.endpoints;
  const Time least = backoff_ / 4;
  wait_until(now, now + least + random_delay(backoff_ - least));
  backoff_ = std::min(2 * backoff_, settings_.max_backoff);
}

void Watcher::wait_until(Time now, Time until) {
  ++operation_id_;  // further messages of the previous operation are ignored
  state_ = State::waiting;
  pending_events_.clear();
  partial_listing_ = {};
  deadline_ = std::max(now, until);
}

void Watcher::mark_confirmed(Time now) {
  last_message_at_ = confirmed_at_ = now;
  progress_requested_ = false;
  backoff_ = settings_.initial_backoff;
  if (freshness_.state == Freshness::State::fresh) return;
  freshness_ = {Freshness::State::fresh, now};
  actions_.on_freshness(freshness_);
}

void Watcher::check_staleness(Time now) {
  if (freshness_.state != Freshness::State::fresh || now - confirmed_at_ < settings_.stale_after) return;
  freshness_ = {Freshness::State::stale, confirmed_at_};
  actions_.log_line("etcd: roster not confirmed for " + std::to_string((now - confirmed_at_) / 1000) +
                    " ms; it counts as stale");
  actions_.on_freshness(freshness_);
}

void Watcher::publish(Publication publication) {
  publication.epoch = epoch_;
  ++counts_.publications;
  counts_.departures += publication.departed.size();
  actions_.publish(publication);
}

Time Watcher::next_time() const {
  Time next = kNever;
  if (state_ == State::watching) {
    next = progress_requested_ ? deadline_ : last_message_at_ + settings_.progress_request_delay;
  } else if (state_ != State::idle) {
    next = deadline_;
  }
  if (suspect_.kind == Suspicion::few_keys && !suspect_.listing.kvs.empty())
    next = std::min(next, suspect_.since + settings_.unconfirmed_apply_delay);
  if (freshness_.state == Freshness::State::fresh)
    next = std::min(next, confirmed_at_ + settings_.stale_after);
  return next;
}

void Watcher::on_time(Time now) {
  check_staleness(now);
  // One listing already showed the departures, and a server must get no new requests later than 2 s after
  // its departure became known. An empty listing is not applied without confirmation, as no server would be
  // left to serve.
  if (suspect_.kind == Suspicion::few_keys && !suspect_.listing.kvs.empty() &&
      now - suspect_.since >= settings_.unconfirmed_apply_delay && state_ != State::watching) {
    ++counts_.applied_unconfirmed;
    actions_.log_line("etcd: suspect listing applied, as it could not be confirmed in time");
    actions_.cancel(operation_id_);
    Listing listing = std::move(suspect_.listing);
    suspect_ = {};
    return accept_listing(now, std::move(listing), false);
  }
  switch (state_) {
    case State::idle: return;
    case State::waiting:
      if (now >= deadline_) start_attempt(now);
      return;
    case State::listing:
    case State::opening:
      if (now >= deadline_) fail_attempt(now, "no response within the timeout");
      return;
    case State::watching:
      if (progress_requested_) {
        if (now >= deadline_) fail_attempt(now, "no progress notice within the timeout");
        return;
      }
      if (now - last_message_at_ < settings_.progress_request_delay) return;
      progress_requested_ = true;
      deadline_ = now + settings_.response_timeout;
      actions_.request_progress(operation_id_);
      return;
  }
}

}  // namespace streampick::etcd
