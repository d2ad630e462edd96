// Runs the watcher against random histories: puts, deletes, transactions, leases, compactions, restores and
// another cluster; streams that fail within a transaction, repeat events or stall; lagging endpoints;
// progress notices between two fragments. Checks the invariants of watcher.h at every publication.
#include "standin/etcd/history.h"

#include <gtest/gtest.h>

#include <functional>
#include <queue>
#include <set>

#include "roster/etcd/watcher.h"

namespace streampick::etcd {
namespace {

constexpr Time kMs = 1'000;
constexpr std::size_t kEndpoints = 3;

class World final : public WatcherActions {
 public:
  explicit World(std::uint64_t seed) : seed_(seed), random_(static_cast<unsigned>(seed * 2654435761U + 1)) {
    WatcherSettings settings;
    settings.endpoints = kEndpoints;
    settings.page_size = 1 + draw(7);
    watcher_.emplace(settings, seed, *this);
    for (unsigned i = 0, many = 2 + draw(10); i < many; ++i) {
      history_.put(key(i), "v");
      remember();
    }
  }

  void run(bool changes_history) {
    watcher_->start(now_);
    const Time calm = now_ + 60'000 * kMs, end = calm + 40'000 * kMs;
    for (Time change = now_; now_ < end && !::testing::Test::HasFailure();) {
      const Time next = std::min({events_.empty() ? kNever : events_.top().at, watcher_->next_time(),
                                  now_ < calm ? change : kNever, end});
      now_ = std::max(now_, next);
      if (!events_.empty() && events_.top().at <= now_) {
        const auto what = events_.top().what;
        events_.pop();
        what();
      } else if (now_ >= watcher_->next_time()) {
        watcher_->on_time(now_);
      } else if (now_ < calm && now_ >= change) {
        happens(changes_history);
        change = now_ + 1 + draw(400) * kMs;
      }
      trouble_ = now_ < calm;
      if (!trouble_) away_ = {};
    }
    // After the fault-free period the watcher has caught up.
    EXPECT_EQ(state_at(), plain(history_.now())) << told();
    EXPECT_EQ(watcher_->revision(), history_.revision()) << told();
    EXPECT_EQ(watcher_->freshness().state, Freshness::State::fresh) << told();
    EXPECT_EQ(departed_.size(), departures_) << told();
    // Each published incarnation that no longer exists was published as departed.
    for (const auto& [incarnation, epoch] : present_)
      EXPECT_TRUE(departed_.contains(incarnation) || epoch != watcher_->epoch() ||
                  alive(std::get<1>(incarnation), std::get<2>(incarnation)))
          << told() << std::get<1>(incarnation);
  }
  const Watcher::Counts& counts() const { return watcher_->counts(); }
  std::uint64_t progress_between_fragments() const { return progress_between_fragments_; }

  // ---- Actions of the watcher

  void range(std::uint64_t operation_id, std::size_t endpoint, const std::string& from_key,
             std::int64_t revision, std::size_t limit) override {
    listing_ = operation_id;
    if (away(endpoint)) return;
    // A lagging member returns an old state. Linearizable reads don't, but a faulty member might.
    const std::int64_t behind = lags_ == endpoint && trouble_ ? 3 : 0;
    later(1 + draw(30) * kMs, [this, operation_id, from_key, revision, limit, behind] {
      if (operation_id != listing_) return;
      const std::int64_t newest = std::max(history_.compacted(), history_.revision() - behind);
      const std::int64_t at = revision > 0 ? revision : newest;
      if (at < history_.compacted() || at > history_.revision())
        return watcher_->range_failed(now_, operation_id, "compacted", true);
      if (chance(20)) return watcher_->range_failed(now_, operation_id, "unavailable");
      std::vector<KeyValue> page;
      const auto state = history_.state(at);
      auto it = state.lower_bound(from_key);
      for (; it != state.end() && page.size() < limit; ++it) page.push_back(it->second);
      watcher_->page(now_, operation_id, {history_.cluster_id, from_key.empty() ? at : history_.revision()},
                     page, it != state.end());
    });
  }
  void watch(std::uint64_t operation_id, std::size_t endpoint, std::int64_t from_revision) override {
    // A watch resumes at the last processed revision, never at the newest one.
    EXPECT_EQ(from_revision, watcher_->revision() + 1) << told();
    stream_ = operation_id;
    stream_live_ = false;  // until it is created
    sent_ = from_revision - 1;
    silent_ = away(endpoint);
    if (silent_) return;
    later(1 + draw(20) * kMs, [this, operation_id, from_revision] {
      if (operation_id != stream_) return;
      watcher_->created(now_, operation_id, {history_.cluster_id, history_.revision()});
      if (from_revision <= history_.compacted()) {
        later(kMs, [this, operation_id] {
          if (operation_id == stream_)
            watcher_->cancelled(now_, operation_id, "compacted", history_.compacted());
        });
        stream_live_ = false;
        return;
      }
      stream_live_ = true;
      deliver();
    });
  }
  void request_progress(std::uint64_t operation_id) override {
    if (operation_id != stream_ || silent_ || !stream_live_) return;
    later(1 + draw(10) * kMs, [this, operation_id] {
      if (operation_id != stream_ || silent_ || !stream_live_) return;
      deliver();
      if (operation_id == stream_ && sent_ == history_.revision())
        watcher_->progress(now_, operation_id, {history_.cluster_id, history_.revision()});
    });
  }
  void cancel(std::uint64_t operation_id) override {
    if (operation_id == stream_) stream_ = 0;
    if (operation_id == listing_) listing_ = 0;
  }
  void publish(const Publication& publication) override {
    ++publications_;
    if (publication.epoch == epoch_) {
      EXPECT_GE(publication.revision, revision_) << told();
    } else {
      EXPECT_GT(publication.epoch, epoch_) << told();
    }
    epoch_ = publication.epoch;
    revision_ = publication.revision;
    for (const Departure& departure : publication.departed) {
      const auto which = std::make_tuple(history_of(departure), departure.key, departure.create_revision);
      EXPECT_TRUE(present_.contains(which)) << told() << departure.key << " was never told as there";
      EXPECT_TRUE(departed_.insert(which).second) << told() << departure.key << " departed twice";
      ++departures_;
      told_.erase(departure.key);
    }
    if (publication.complete) told_.clear();
    for (const KeyValue& kv : publication.puts) {
      told_[kv.key] = kv;
      present_[{publication.epoch, kv.key, kv.create_revision}] = publication.epoch;
    }
    // The state must be the fold of the history up to this revision.
    const auto found = states_.find({history_number_, publication.revision});
    const auto before = states_.find({history_number_ - 1, publication.revision});
    const auto folded = plain(told_);
    EXPECT_TRUE((found != states_.end() && found->second == folded) ||
                (before != states_.end() && before->second == folded))
        << told() << "at revision " << publication.revision;
  }
  void on_freshness(const Freshness&) override {}
  void log_line(const std::string&) override {}

 private:
  using Plain = std::map<std::string, std::pair<std::string, std::int64_t>>;
  static Plain plain(const std::map<std::string, KeyValue>& all) {
    Plain out;
    for (const auto& [key, kv] : all) out[key] = {kv.value, kv.mod_revision};
    return out;
  }
  Plain state_at() const { return plain(told_); }
  // The epoch in which an incarnation was published: this one, or an earlier one whose value was retained.
  std::uint64_t history_of(const Departure& departure) const {
    for (std::uint64_t epoch = epoch_; epoch > 0; --epoch)
      if (present_.contains({epoch, departure.key, departure.create_revision})) return epoch;
    return 0;
  }
  bool alive(const std::string& key, std::int64_t create_revision) const {
    const auto found = history_.now().find(key);
    return found != history_.now().end() && found->second.create_revision == create_revision;
  }
  std::string told() const { return "seed " + std::to_string(seed_) + ": "; }
  static std::string key(unsigned i) { return "/caches/c-" + std::to_string(i); }
  unsigned draw(unsigned most) { return static_cast<unsigned>(random_() % most); }
  bool chance(unsigned per_thousand) { return trouble_ && draw(1'000) < per_thousand; }
  bool away(std::size_t endpoint) { return trouble_ && (away_.contains(endpoint) || draw(1'000) < 20); }
  void later(Time by, std::function<void()> what) { events_.push({now_ + by, ++number_, std::move(what)}); }

  void remember() { states_[{history_number_, history_.revision()}] = plain(history_.now()); }
  void happens(bool changes_history) {
    // A restored history that catches up again is indistinguishable from the former one, so that changes wait
    // until the watcher has accepted it.
    if (frozen_in_ == watcher_->epoch()) return;
    switch (draw(changes_history ? 13 : 12)) {
      case 0: history_.remove(key(draw(12))); break;
      case 1: {  // a transaction, possibly of deletes and puts
        std::vector<standin::EtcdHistory::Change> all;
        for (unsigned i = 0, many = 2 + draw(5); i < many; ++i) {
          const std::string which = key(draw(12));
          bool twice = false;
          for (const auto& change : all) twice = twice || change.key == which;
          if (twice) continue;
          if (draw(2) == 0) {
            all.push_back({which, std::nullopt, 0});
          } else {
            all.push_back({which, std::to_string(draw(50)), 0});
          }
        }
        history_.commit(all);
        break;
      }
      case 2: {  // removed and created again at once
        const std::string which = key(draw(12));
        history_.remove(which);
        remember();
        history_.put(which, "again");
        break;
      }
      case 3: history_.compact(history_.revision() - draw(4)); break;
      case 4: history_.end_lease(7); break;
      case 5: history_.put(key(draw(12)), "leased", 7); break;
      case 6: away_.insert(draw(kEndpoints)); break;
      case 7: away_.clear(); break;
      case 8: silent_ = true; break;  // half-open connection
      case 9:
        if (stream_ != 0) watcher_->stream_failed(now_, stream_, "reset");
        break;
      case 10: lags_ = draw(kEndpoints + 1); break;
      case 12:
        if (now_ < next_history_) break;
        next_history_ = now_ + 25'000 * kMs;
        stream_live_ = false;
        stream_ = listing_ = 0;
        ++history_number_;
        if (draw(2) == 0) {
          history_.cluster_id += 1;
        } else if (history_.revision() > history_.compacted() + 2) {
          history_.restore(history_.compacted() + 1);
          frozen_in_ = watcher_->epoch();
        }
        if (frozen_in_ != watcher_->epoch())
          history_.put(key(draw(12)), "of another history " + std::to_string(history_number_));
        for (std::int64_t at = std::max<std::int64_t>(1, history_.compacted()); at <= history_.revision();
             ++at)
          states_[{history_number_, at}] = plain(history_.state(at));
        break;
      default: history_.put(key(draw(12)), std::to_string(draw(50))); break;
    }
    remember();
    if (stream_live_) later(draw(40) * kMs, [this] { deliver(); });
  }
  // Delivers the pending events, whole or in fragments, once or twice, up to the last one or to a failure.
  void deliver() {
    if (stream_ == 0 || silent_ || !stream_live_ || sent_ >= history_.revision()) return;
    const std::uint64_t operation_id = stream_;
    if (sent_ < history_.compacted()) {  // the stream fell behind the compaction
      stream_live_ = false;
      return watcher_->cancelled(now_, operation_id, "compacted", history_.compacted());
    }
    const std::int64_t from = chance(50) ? std::max(history_.compacted() + 1, sent_ - 1) : sent_ + 1;
    const std::vector<Event> all = history_.events(from, history_.revision());
    sent_ = history_.revision();
    const Header header{history_.cluster_id, history_.revision()};
    if (chance(300)) {
      // In fragments, between which the stream may fail.
      for (std::size_t i = 0; i < all.size(); ++i) {
        if (chance(60)) return watcher_->stream_failed(now_, operation_id, "in the middle");
        watcher_->events(now_, operation_id, header, {all[i]}, i + 1 < all.size());
        if (operation_id != stream_) return;
        if (i + 1 < all.size()) progress_between_fragments(operation_id, header);
      }
      return;
    }
    watcher_->events(now_, operation_id, header, all, false);
    if (chance(30) && operation_id == stream_) watcher_->stream_failed(now_, operation_id, "after");
  }

  /// A progress notice that names the revision of an answer whose events have not all come yet.
  void progress_between_fragments(std::uint64_t operation_id, const Header& header) {
    if (!chance(250)) return;
    ++progress_between_fragments_;
    watcher_->progress(now_, operation_id, header);
  }

  struct Due {
    Time at;
    std::uint64_t number;
    std::function<void()> what;
    bool operator>(const Due& other) const { return std::tie(at, number) > std::tie(other.at, other.number); }
  };
  std::uint64_t seed_;
  std::mt19937 random_;
  Time now_ = 1'000'000'000, next_history_ = 0;
  standin::EtcdHistory history_;
  std::uint64_t history_number_ = 1, frozen_in_ = UINT64_MAX;
  std::map<std::pair<std::uint64_t, std::int64_t>, Plain> states_;
  std::optional<Watcher> watcher_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> events_;
  std::uint64_t number_ = 0, stream_ = 0, listing_ = 0, epoch_ = 0, publications_ = 0;
  std::int64_t sent_ = 0, revision_ = 0;
  bool trouble_ = true, silent_ = false, stream_live_ = false;
  std::set<std::size_t> away_;
  std::size_t lags_ = kEndpoints;
  std::map<std::string, KeyValue> told_;
  std::map<std::tuple<std::uint64_t, std::string, std::int64_t>, std::uint64_t> present_;
  std::set<std::tuple<std::uint64_t, std::string, std::int64_t>> departed_;
  std::size_t departures_ = 0;
  std::uint64_t progress_between_fragments_ = 0;
};

TEST(EtcdHistories, RandomFaults_KeepTheWatcherInvariants) {
  Watcher::Counts all;
  std::uint64_t progress_between_fragments = 0;
  for (std::uint64_t seed = 1; seed <= 1'000 && !HasFailure(); ++seed) {
    World world(seed);
    world.run(false);
    const Watcher::Counts& counts = world.counts();
    all.compactions += counts.compactions;
    all.resumed += counts.resumed;
    all.repeated += counts.repeated;
    all.departures += counts.departures;
    all.suspects += counts.suspects;
    all.epochs += counts.epochs;
    progress_between_fragments += world.progress_between_fragments();
  }
  // The faults did occur.
  EXPECT_GT(all.compactions, 500U);
  EXPECT_GT(all.resumed, 1'000U);
  EXPECT_GT(all.repeated, 500U);
  EXPECT_GT(all.departures, 10'000U);
  EXPECT_GT(all.suspects, 20U);
  EXPECT_GT(progress_between_fragments, 1'000U);
  EXPECT_EQ(all.epochs, 1'000U);  // one per run: a lagging member is not taken for another history
}

TEST(EtcdHistories, OtherClusterOrOlderBackup_IsAcceptedAfterConfirmation) {
  std::uint64_t epochs = 0;
  for (std::uint64_t seed = 1; seed <= 200 && !HasFailure(); ++seed) {
    World world(seed);
    world.run(true);
    epochs += world.counts().epochs;
  }
  EXPECT_GT(epochs, 250U);
}

}  // namespace
}  // namespace streampick::etcd
