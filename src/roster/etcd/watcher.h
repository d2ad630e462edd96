// Tracks the keys under one prefix of etcd without I/O: takes listings and watch events of etcd's v3 API,
// issues requests and publishes changes. It keeps the last confirmed state through any outage and reports
// every departure when it resumes.
//
// Invariants, whichever messages are lost, repeated or delayed (checked by
// tests/roster/etcd/history_test.cpp):
//   - the state published at (epoch, revision) is the fold of the prefix's history in etcd up to that
//     revision;
//   - (epoch, revision) never decreases. An epoch is one history; a new epoch begins only when the cluster id
//     changed or the revisions went back, and this was confirmed;
//   - every published incarnation of a key (key, create_revision) is published as departed exactly once after
//     its removal, also if the key exists again by then;
//   - a watch resumes at the last completely processed revision plus 1, never at the newest one.
//
// Semantics of the messages: etcd's API, https://etcd.io/docs (v3 API reference: Range, Watch).
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "streampick/router.h"

namespace streampick::etcd {

struct KeyValue {
  std::string key, value;
  std::int64_t create_revision = 0, mod_revision = 0;
  friend bool operator==(const KeyValue&, const KeyValue&) = default;
};
struct Event {
  bool removed = false;  // by a delete or an expired lease; then `kv` has only the key and its mod_revision
  KeyValue kv;
};
struct Header {
  std::uint64_t cluster_id = 0;
  std::int64_t revision = 0;  // of the store at the time of the response
};

// A removed key. It may exist again, as another incarnation.
struct Departure {
  std::string key;
  std::int64_t create_revision = 0;
};
struct Publication {
  std::uint64_t epoch = 0;
  std::int64_t revision = 0;
  bool complete = false;            // `puts` contains all keys; otherwise only the changed ones
  std::vector<Departure> departed;  // to be applied before the puts
  std::vector<KeyValue> puts;
};

// Whether the published state is up to date.
struct Freshness {
  enum class State : std::uint8_t { unknown, fresh, stale } state = State::unknown;
  Time since = 0;  // if stale: time of the last confirmation
};

struct WatcherSettings {
  std::size_t endpoints = 1;
  std::size_t page_size = 1'000;                  // keys in one page of a listing
  std::size_t max_keys = 50'000;                  // a listing with more keys is rejected
  std::size_t max_fragmented_events = 64 * 1024;  // events in one fragmented response
  // us, from the request for a page, a watch or a progress notice to its response.
  Time response_timeout = 1'500'000;
  Time progress_request_delay = 1'000'000;  // us, from a watch's last message to the request for progress
  Time stale_after = 4'000'000;  // us, from the last confirmation of the roster until it counts as stale
  Time initial_backoff = 100'000, max_backoff = 3'000'000;  // us
  Time relist_jitter = 300'000;              // us, longest random delay from a compaction to the new listing
  double min_key_share = 0.5;                // a listing that retains fewer of the known keys is suspect
  Time reread_delay = 100'000;               // us, from a suspect listing to its repetition
  Time unconfirmed_apply_delay = 1'000'000;  // us, from a suspect listing until it is applied unconfirmed
  // us, from the first sight of another cluster id or of lower revisions until they are accepted, if a
  // majority of the endpoints shows them.
  Time history_confirm_duration = 5'000'000;
};

class WatcherActions {
 public:
  virtual ~WatcherActions() = default;
  // Requests one page of at most `limit` keys of the prefix, starting at `from_key` ("": the first key), at
  // `revision` (0: the newest), linearizable. The response is passed back with `operation_id`.
  virtual void range(std::uint64_t operation_id, std::size_t endpoint, const std::string& from_key,
                     std::int64_t revision, std::size_t limit) = 0;
  // Starts a watch of the prefix at `from_revision` and ends the previous one.
  virtual void watch(std::uint64_t operation_id, std::size_t endpoint, std::int64_t from_revision) = 0;
  virtual void request_progress(std::uint64_t operation_id) = 0;
  // Cancels the operation's call; its further messages are ignored.
  virtual void cancel(std::uint64_t operation_id) = 0;
  virtual void publish(const Publication& publication) = 0;
  virtual void on_freshness(const Freshness& freshness) = 0;
  virtual void log_line(const std::string& line) = 0;
};

class Watcher {
 public:
  enum class State : std::uint8_t { idle, waiting, listing, opening, watching };

  // `actions` must outlive the watcher. Actions are called from within the functions below and must not call
  // them.
  Watcher(const WatcherSettings& settings, std::uint64_t seed, WatcherActions& actions);

  void start(Time now);
  // Each call is ignored unless `operation_id` is that of the current operation.
  void page(Time now, std::uint64_t operation_id, const Header& header, std::vector<KeyValue> kvs, bool more);
  // `compacted`: the requested revision is compacted.
  void range_failed(Time now, std::uint64_t operation_id, const std::string& reason, bool compacted = false);
  void created(Time now, std::uint64_t operation_id, const Header& header);
  void events(Time now, std::uint64_t operation_id, const Header& header, std::vector<Event> events,
              bool fragment);
  void progress(Time now, std::uint64_t operation_id, const Header& header);
  void cancelled(Time now, std::uint64_t operation_id, const std::string& reason,
                 std::int64_t compact_revision);
  void stream_failed(Time now, std::uint64_t operation_id, const std::string& reason);
  void on_time(Time now);
  // When on_time() must be called next; kNever: not at all.
  Time next_time() const;

  State state() const { return state_; }
  std::uint64_t epoch() const { return epoch_; }
  std::int64_t revision() const { return revision_; }
  const Freshness& freshness() const { return freshness_; }
  const std::map<std::string, KeyValue>& published() const { return published_; }

  struct Counts {
    std::uint64_t listings = 0, watches = 0, resumed = 0, compactions = 0, breaks = 0, repeated = 0,
                  suspects = 0, applied_unconfirmed = 0, publications = 0, departures = 0, epochs = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  enum class Suspicion : std::uint8_t { none, few_keys, other_history };
  struct Listing {
    std::uint64_t cluster_id = 0;
    std::int64_t revision = 0;
    std::map<std::string, KeyValue> kvs;
  };
  // A listing that must be confirmed before it is accepted.
  struct Suspect {
    Suspicion kind = Suspicion::none;
    Listing listing;
    Time since = 0;
    std::set<std::size_t> endpoints = {};  // that returned it
  };

  void start_attempt(Time now);
  void start_listing(Time now);
  void open_watch(Time now);
  void finish_listing(Time now);
  Suspicion suspicion_of(const Listing& listing) const;
  bool confirms_suspect(Time now, const Listing& listing, Suspicion kind);
  void mark_suspect(Time now, Suspicion kind);
  void accept_listing(Time now, Listing listing, bool new_epoch);
  void apply_events(Time now);
  void fail_attempt(Time now, const std::string& reason);
  void wait_until(Time now, Time until);
  void mark_confirmed(Time now);
  void check_staleness(Time now);
  void publish(Publication publication);
  Time random_delay(Time most);

  WatcherSettings settings_;
  WatcherActions& actions_;
  std::minstd_rand random_;
  State state_ = State::idle;
  std::uint64_t operation_id_ = 0, epoch_ = 0;
  std::size_t endpoint_ = 0;
  std::uint64_t cluster_id_ = 0;
  std::int64_t revision_ = 0;
  std::map<std::string, KeyValue> published_;
  bool needs_listing_ = true, progress_requested_ = false;
  Time deadline_ = kNever, last_message_at_ = 0, backoff_ = 0;
  Listing partial_listing_;
  Suspect suspect_;
  std::vector<Event> pending_events_;
  Freshness freshness_;
  Time confirmed_at_ = 0;
  Counts counts_;
};

}  // namespace streampick::etcd
