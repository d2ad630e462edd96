// What a watch on etcd tells of one prefix, without I/O: listings and events of etcd's v3 API in, requests
// and publications out. It keeps the last state it trusted through any outage and misses no departure when it
// resumes.
//
// What holds, whatever is dropped, repeated or late (tests/roster/etcd/history_test.cpp):
//   - what is published at (epoch, revision) is the fold of etcd's history of the prefix up to that revision;
//   - (epoch, revision) never goes back; an epoch is one history: another begins only where a cluster's id
//     changed or its revisions went back, and that was confirmed;
//   - each incarnation of a key (key, create_revision) that was published as there is published as departed
//     once, when it was removed, also if the key has come back since;
//   - a watch goes on from the last revision seen whole, plus 1, never from "now".
//
// Source of the messages' meaning: etcd's API, https://etcd.io/docs (v3 API reference: Range, Watch).
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
  bool removed = false;  // by a delete or the end of a lease; then `kv` has the key and its mod_revision only
  KeyValue kv;
};
struct Header {
  std::uint64_t cluster_id = 0;
  std::int64_t revision = 0;  // of the store when it answered
};

// A key that was there and went; it may be there again, as another incarnation.
struct Departure {
  std::string key;
  std::int64_t create_revision = 0;
};
struct Publication {
  std::uint64_t epoch = 0;
  std::int64_t revision = 0;
  bool complete = false;            // `puts` is all there is; else: what changed
  std::vector<Departure> departed;  // before the puts
  std::vector<KeyValue> puts;
};

// How old what was published is.
struct Knowledge {
  enum class State : std::uint8_t { unknown, fresh, stale } state = State::unknown;
  Time since = 0;  // of stale: when it was last confirmed
};

struct WatcherSettings {
  std::size_t endpoints = 1;
  std::size_t page = 1'000;              // keys asked for at a time
  std::size_t most_keys = 50'000;        // a listing with more is not taken
  std::size_t most_partial = 64 * 1024;  // events of one fragmented answer
  Time answer = 1'500'000;               // us that a listing's page, a watch's beginning, progress may take
  Time silence = 1'000'000;              // without a word after which progress is asked for
  Time fresh_for = 4'000'000;            // after which what is not confirmed counts as stale
  Time backoff_first = 100'000, backoff_most = 3'000'000;
  Time spread = 300'000;         // a listing after a compaction waits up to this, at random
  double least_share = 0.5;      // of the keys: a listing with fewer is suspect
  Time confirm_share = 100'000;  // after which a suspect listing is read again
  Time apply_share = 1'000'000;  // after which it is applied though it could not be read again
  // For so long another cluster id, or older revisions, must be seen, and by most of the endpoints.
  Time confirm_history = 5'000'000;
};

class WatcherActions {
 public:
  virtual ~WatcherActions() = default;
  // One page of at most `limit` keys of the prefix, from `from_key` on ("": from the first), at `revision`
  // (0: the newest), linearizable. `turn` comes back with what is answered.
  virtual void range(std::uint64_t turn, std::size_t endpoint, const std::string& from_key,
                     std::int64_t revision, std::size_t limit) = 0;
  // A watch of the prefix from this revision on; the stream before it is given up.
  virtual void watch(std::uint64_t turn, std::size_t endpoint, std::int64_t from_revision) = 0;
  virtual void ask_progress(std::uint64_t turn) = 0;
  // Nothing more of this turn is heard: its call is to be ended.
  virtual void drop(std::uint64_t turn) = 0;
  virtual void publish(const Publication& publication) = 0;
  virtual void knowledge(const Knowledge& knowledge) = 0;
  virtual void said(const std::string& line) = 0;  // for the log
};

class Watcher {
 public:
  enum class State : std::uint8_t { idle, waiting, listing, opening, watching };

  // `actions` outlives it. Actions are called from within the functions below and must not call back.
  Watcher(const WatcherSettings& settings, std::uint64_t seed, WatcherActions& actions);

  void start(Time now);
  // Each is ignored where `turn` is not the one that is heard.
  void page(Time now, std::uint64_t turn, const Header& header, std::vector<KeyValue> kvs, bool more);
  // `compacted`: the revision asked for is gone.
  void range_failed(Time now, std::uint64_t turn, const std::string& why, bool compacted = false);
  void created(Time now, std::uint64_t turn, const Header& header);
  void events(Time now, std::uint64_t turn, const Header& header, std::vector<Event> events, bool fragment);
  void progress(Time now, std::uint64_t turn, const Header& header);
  void cancelled(Time now, std::uint64_t turn, const std::string& reason, std::int64_t compact_revision);
  void broken(Time now, std::uint64_t turn, const std::string& why);
  void on_time(Time now);
  // When on_time() is next wanted; kNever: not at all.
  Time next_time() const;

  State state() const { return state_; }
  std::uint64_t epoch() const { return epoch_; }
  std::int64_t revision() const { return revision_; }
  const Knowledge& knowledge() const { return knowledge_; }
  const std::map<std::string, KeyValue>& published() const { return published_; }

  struct Counts {
    std::uint64_t listings = 0, watches = 0, resumed = 0, compactions = 0, breaks = 0, repeated = 0,
                  suspects = 0, applied_unconfirmed = 0, publications = 0, departures = 0, epochs = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  enum class Suspicion : std::uint8_t { none, share, history };
  struct Listing {
    std::uint64_t cluster_id = 0;
    std::int64_t revision = 0;
    std::map<std::string, KeyValue> kvs;
  };
  // What a listing that is not believed at once looked like, and since when.
  struct Suspect {
    Suspicion kind = Suspicion::none;
    Listing listing;
    Time since = 0;
    std::set<std::size_t> endpoints = {};  // that showed it
  };

  void attempt(Time now);
  void list(Time now);
  void open(Time now);
  void listed(Time now);
  Suspicion suspicion(const Listing& listing) const;
  bool confirms(Time now, const Listing& listing, Suspicion kind);
  void suspect(Time now, Suspicion kind);
  void accept(Time now, Listing listing, bool new_epoch);
  void apply(Time now);
  void fail(Time now, const std::string& why);
  void wait(Time now, Time until);
  void confirmed(Time now);
  void look_at_age(Time now);
  void tell(Publication publication);
  Time drawn(Time most);

  WatcherSettings settings_;
  WatcherActions& actions_;
  std::minstd_rand random_;
  State state_ = State::idle;
  std::uint64_t turn_ = 0, epoch_ = 0;
  std::size_t endpoint_ = 0;
  std::uint64_t cluster_id_ = 0;
  std::int64_t revision_ = 0;
  std::map<std::string, KeyValue> published_;
  bool must_list_ = true, asked_progress_ = false;
  Time due_ = kNever, heard_ = 0, backoff_ = 0;
  Listing reading_;
  Suspect suspect_;
  std::vector<Event> partial_;
  Knowledge knowledge_;
  Time confirmed_at_ = 0;
  Counts counts_;
};

}  // namespace streampick::etcd
