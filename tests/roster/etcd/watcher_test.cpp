// Tests of Watcher, one for each failure case.
#include "roster/etcd/watcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>

namespace streampick::etcd {
namespace {

constexpr Time kMs = 1'000;

struct Actions final : WatcherActions {
  struct Asked {
    std::uint64_t operation_id = 0;
    std::size_t endpoint = 0;
    std::string from_key;
    std::int64_t revision = 0;
  };
  void range(std::uint64_t operation_id, std::size_t endpoint, const std::string& from, std::int64_t revision,
             std::size_t) override {
    ranges.push_back({operation_id, endpoint, from, revision});
  }
  void watch(std::uint64_t operation_id, std::size_t endpoint, std::int64_t from) override {
    watches.push_back({operation_id, endpoint, "", from});
  }
  void request_progress(std::uint64_t) override { ++progress; }
  void cancel(std::uint64_t) override { ++drops; }
  void publish(const Publication& publication) override { published.push_back(publication); }
  void on_freshness(const Freshness& freshness) override { told.push_back(freshness); }
  void log_line(const std::string& line) override { log.push_back(line); }
  std::vector<Asked> ranges, watches;
  std::vector<Publication> published;
  std::vector<Freshness> told;
  std::vector<std::string> log;
  int progress = 0, drops = 0;
};

struct EtcdWatcher : ::testing::Test {
  static KeyValue kv(const std::string& key, std::int64_t created, std::int64_t modified = 0,
                     const std::string& value = "v") {
    return {key, value, created, modified == 0 ? created : modified};
  }
  static Event removed(const std::string& key, std::int64_t at) { return {true, {key, "", 0, at}}; }
  void set_up(std::vector<KeyValue> kvs, std::int64_t revision, std::size_t endpoints = 2) {
    settings.endpoints = endpoints;
    watcher.emplace(settings, 3, actions);
    watcher->start(now);
    list(std::move(kvs), revision);
    watcher->created(now, actions.watches.back().operation_id, {cluster, revision});
  }
  void list(std::vector<KeyValue> kvs, std::int64_t revision) {
    watcher->page(now, actions.ranges.back().operation_id, {cluster, revision}, std::move(kvs), false);
  }
  std::uint64_t stream() const { return actions.watches.back().operation_id; }
  void wait_until(const std::function<bool()>& holds, Time most = 30'000 * kMs) {
    for (const Time end = now + most; !holds() && now < end;) {
      now = std::max(now, std::min(end, watcher->next_time()));
      watcher->on_time(now);
    }
    EXPECT_TRUE(holds());
  }
  void wait_for_range() {
    wait_until([this, before = actions.ranges.size()] { return actions.ranges.size() > before; });
  }
  std::vector<std::string> departed() const {
    std::vector<std::string> out;
    for (const Publication& one : actions.published)
      for (const Departure& departure : one.departed) out.push_back(departure.key);
    return out;
  }
  using Names = std::vector<std::string>;

  WatcherSettings settings;
  Actions actions;
  std::optional<Watcher> watcher;
  std::uint64_t cluster = 7;
  Time now = 1'000'000'000;
};

TEST_F(EtcdWatcher, SeveralPages_AreReadAtOneRevisionAndWatchStartsAtTheNext) {
  settings.page_size = 2;
  watcher.emplace(settings, 1, actions);
  watcher->start(now);
  EXPECT_EQ(actions.ranges[0].revision, 0);
  const std::uint64_t operation_id = actions.ranges[0].operation_id;
  watcher->page(now, operation_id, {cluster, 40}, {kv("a", 3), kv("b", 4)}, true);
  ASSERT_EQ(actions.ranges.size(), 2U);
  EXPECT_EQ(actions.ranges[1].from_key, std::string("b\0", 2));
  EXPECT_EQ(actions.ranges[1].revision, 40);
  watcher->page(now, operation_id, {cluster, 44}, {kv("c", 5)},
                false);  // the store has newer revisions by now
  ASSERT_EQ(actions.published.size(), 1U);
  EXPECT_EQ(actions.published[0].revision, 40);
  EXPECT_EQ(actions.published[0].puts.size(), 3U);
  ASSERT_EQ(actions.watches.size(), 1U);
  EXPECT_EQ(actions.watches[0].revision, 41);
}

TEST_F(EtcdWatcher, CompactedWatchRevision_LosesNoDeparture) {
  set_up({kv("a", 3), kv("b", 4), kv("c", 5)}, 40);
  watcher->stream_failed(now, stream(), "reset");
  wait_until([&] { return actions.watches.size() == 2; });
  EXPECT_EQ(actions.watches[1].revision, 41);
  watcher->created(now, stream(), {cluster, 60});
  watcher->cancelled(now, stream(), "compacted", 55);
  wait_for_range();
  // In the gap, b was removed, and c was removed and created again.
  list({kv("a", 3), kv("c", 50)}, 60);
  EXPECT_EQ(departed(), (Names{"b", "c"}));
  EXPECT_EQ(actions.published.back().puts.size(), 2U);
  EXPECT_EQ(actions.watches.back().revision, 61);
}

TEST_F(EtcdWatcher, PartOfTransaction_IsNotPublishedAndDeliveredAgain) {
  set_up({kv("a", 3), kv("b", 4)}, 40);
  watcher->events(now, stream(), {cluster, 41}, {removed("a", 41)}, true);
  EXPECT_EQ(actions.published.size(), 1U);
  watcher->stream_failed(now, stream(), "reset");
  wait_until([&] { return actions.watches.size() == 2; });
  EXPECT_EQ(actions.watches[1].revision, 41);
  watcher->created(now, stream(), {cluster, 41});
  watcher->events(now, stream(), {cluster, 41}, {removed("a", 41), {false, kv("d", 41)}}, false);
  EXPECT_EQ(departed(), Names{"a"});
  ASSERT_EQ(actions.published.size(), 2U);
  EXPECT_EQ(actions.published[1].puts.size(), 1U);
  // The same events are delivered again.
  watcher->events(now, stream(), {cluster, 41}, {removed("a", 41), {false, kv("d", 41)}}, false);
  EXPECT_EQ(actions.published.size(), 2U);
  EXPECT_EQ(watcher->counts().repeated, 2U);
}

TEST_F(EtcdWatcher, SilentWatch_RequestsProgressThenTriesNextEndpoint) {
  set_up({kv("a", 3)}, 40);
  const std::size_t endpoint = actions.watches[0].endpoint;
  wait_until([&] { return actions.progress == 1; });
  watcher->progress(now, stream(), {cluster, 52});
  EXPECT_EQ(watcher->revision(), 52);
  wait_until([&] { return actions.progress == 2; });
  wait_until([&] { return actions.watches.size() == 2; });
  EXPECT_NE(actions.watches[1].endpoint, endpoint);
  EXPECT_EQ(actions.watches[1].revision, 53);
  EXPECT_EQ(actions.ranges.size(), 1U);  // no further listing
}

TEST_F(EtcdWatcher, UnreachableEndpoints_KeepRosterAndMarkItStale) {
  set_up({kv("a", 3)}, 40);
  wait_until([&] { return watcher->freshness().state == Freshness::State::stale; });
  EXPECT_LE(watcher->freshness().since, now - settings.stale_after);
  EXPECT_EQ(actions.published.size(), 1U);
  for (int i = 0; i < 2'000; ++i) {
    now = std::max(now, watcher->next_time());
    watcher->on_time(now);
  }
  EXPECT_EQ(actions.published.size(), 1U);
  EXPECT_EQ(watcher->published().size(), 1U);
  // Attempts become rare: each lasts until its timeout, followed by the longest backoff.
  const Time hour = now;
  const std::size_t before = actions.watches.size();
  wait_until([&] { return now >= hour + 60'000 * kMs; }, 60'000 * kMs);
  EXPECT_LE(actions.watches.size() - before, 30U);
  watcher->on_time(now);
  wait_until([&] { return watcher->state() == Watcher::State::opening; });
  watcher->created(now, stream(), {cluster, 40});
  EXPECT_EQ(watcher->freshness().state, Freshness::State::fresh);
}

TEST_F(EtcdWatcher, ListingWithFarFewerKeys_IsReadAgainBeforeItIsAccepted) {
  set_up({kv("a", 3), kv("b", 4), kv("c", 5), kv("d", 6), kv("e", 7)}, 40);
  const auto cut = [&] {
    watcher->cancelled(now, stream(), "compacted", 50);
    wait_for_range();
  };
  cut();
  const std::size_t endpoint = actions.ranges.back().endpoint;
  list({kv("a", 3)}, 60);
  EXPECT_TRUE(departed().empty());
  wait_for_range();
  EXPECT_NE(actions.ranges.back().endpoint, endpoint);
  list({kv("a", 3), kv("b", 4), kv("c", 5), kv("d", 6)}, 60);  // not confirmed
  EXPECT_EQ(departed(), Names{"e"});
  watcher->created(now, stream(), {cluster, 60});
  cut();
  list({kv("a", 3)}, 70);
  wait_for_range();
  list({kv("a", 3)}, 70);  // confirmed
  EXPECT_EQ(departed(), (Names{"e", "b", "c", "d"}));
}

TEST_F(EtcdWatcher, SuspectListingWithoutConfirmation_IsAppliedAfterTheDelay) {
  set_up({kv("a", 3), kv("b", 4), kv("c", 5)}, 40);
  watcher->cancelled(now, stream(), "compacted", 50);
  wait_for_range();
  const Time told = now;
  list({kv("a", 3)}, 60);
  wait_until([&] { return departed().size() == 2; });
  EXPECT_LE(now - told, settings.unconfirmed_apply_delay);
  EXPECT_EQ(watcher->counts().applied_unconfirmed, 1U);
}

TEST_F(EtcdWatcher, EmptyListing_IsNeverAppliedUnconfirmed) {
  set_up({kv("a", 3), kv("b", 4)}, 40);
  watcher->cancelled(now, stream(), "compacted", 50);
  wait_for_range();
  list({}, 60);
  const Time told = now;
  wait_until([&] { return now - told > 20'000 * kMs; });
  EXPECT_TRUE(departed().empty());
  wait_until([&] { return watcher->state() == Watcher::State::listing; });
  list({}, 60);
  EXPECT_EQ(departed(), (Names{"a", "b"}));
}

TEST_F(EtcdWatcher, DeleteEventsForAllKeys_AreAppliedAtOnce) {
  set_up({kv("a", 3), kv("b", 4), kv("c", 5)}, 40);
  watcher->events(now, stream(), {cluster, 43}, {removed("a", 41), removed("b", 42), removed("c", 43)},
                  false);
  EXPECT_EQ(departed(), (Names{"a", "b", "c"}));
}

TEST_F(EtcdWatcher, OtherClusterId_IsAcceptedOnlyIfAllEndpointsShowIt) {
  set_up({kv("a", 3)}, 40);
  watcher->stream_failed(now, stream(), "reset");
  wait_until([&] { return actions.watches.size() == 2; });
  watcher->created(now, stream(), {99, 500});
  wait_for_range();
  watcher->page(now, actions.ranges.back().operation_id, {99, 500}, {kv("x", 2)}, false);
  EXPECT_EQ(actions.published.size(), 1U);
  wait_for_range();
  list({kv("a", 3)}, 41);  // the other endpoint belongs to the known cluster
  EXPECT_EQ(watcher->epoch(), 1U);
  EXPECT_TRUE(departed().empty());
  // From here on all endpoints belong to the other cluster.
  watcher->stream_failed(now, stream(), "reset");
  wait_until([&] { return actions.watches.size() == 4; });
  watcher->created(now, stream(), {99, 500});
  const Time first = now;
  while (watcher->epoch() == 1 && now < first + 60'000 * kMs) {
    wait_for_range();
    watcher->page(now, actions.ranges.back().operation_id, {99, 500}, {kv("x", 2)}, false);
  }
  EXPECT_GE(now - first, settings.history_confirm_duration);
  EXPECT_EQ(watcher->epoch(), 2U);
  EXPECT_EQ(departed(), Names{"a"});
  EXPECT_EQ(actions.published.back().revision, 500);
}

TEST_F(EtcdWatcher, LowerRevisions_StartAnotherEpochAfterTheConfirmationTime) {
  set_up({kv("a", 3), kv("b", 30)}, 40, 1);
  watcher->stream_failed(now, stream(), "reset");
  wait_until([&] { return actions.watches.size() == 2; });
  watcher->created(now, stream(), {cluster, 25});
  const Time first = now;
  int read = 0;
  for (; watcher->epoch() == 1 && now < first + 60'000 * kMs; ++read) {
    wait_for_range();
    list({kv("a", 3)}, 25);
  }
  EXPECT_GE(now - first, settings.history_confirm_duration);
  EXPECT_GE(read, 3);
  EXPECT_EQ(departed(), Names{"b"});
  EXPECT_EQ(actions.watches.back().revision, 26);
  EXPECT_EQ(actions.published.back().epoch, 2U);
}

// Time never goes back, but it can jump forward, as after a suspended machine resumes.
TEST_F(EtcdWatcher, ForwardJumpOfTime_RequestsProgressBeforeFailing) {
  set_up({kv("a", 3)}, 40);
  now += 3'600'000 * kMs;
  watcher->on_time(now);
  EXPECT_EQ(watcher->freshness().state, Freshness::State::stale);
  EXPECT_EQ(watcher->freshness().since, now - 3'600'000 * kMs);
  EXPECT_EQ(actions.progress, 1);
  EXPECT_EQ(watcher->state(), Watcher::State::watching);
  watcher->progress(now + 10 * kMs, stream(), {cluster, 90});
  EXPECT_EQ(watcher->freshness().state, Freshness::State::fresh);
  EXPECT_EQ(actions.ranges.size(), 1U);
  EXPECT_EQ(watcher->counts().breaks, 0U);
}

TEST_F(EtcdWatcher, OtherClusterIdOnOneOfTwoEndpoints_IsNotAcceptedIfOtherIsSilent) {
  set_up({kv("a", 3)}, 40);
  watcher->stream_failed(now, stream(), "reset");
  const Time first = now;
  std::size_t answered = 0, ranges = actions.ranges.size(), watches = actions.watches.size();
  while (now - first < 120'000 * kMs) {
    now = std::max(now, watcher->next_time());
    watcher->on_time(now);
    if (actions.watches.size() > watches && actions.watches.back().endpoint == 0)
      watcher->created(now, stream(), {99, 500});
    watches = actions.watches.size();
    if (actions.ranges.size() > ranges && actions.ranges.back().endpoint == 0) {
      ranges = actions.ranges.size();
      ++answered;
      watcher->page(now, actions.ranges.back().operation_id, {99, 500}, {kv("x", 2)}, false);
    }
    ranges = actions.ranges.size();
  }
  EXPECT_GT(answered, 5U);
  EXPECT_EQ(watcher->epoch(), 1U);
  EXPECT_TRUE(departed().empty());
}

TEST_F(EtcdWatcher, OversizedOrInconsistentListing_IsRejected) {
  settings.max_keys = 3;
  watcher.emplace(settings, 1, actions);
  watcher->start(now);
  watcher->page(now, actions.ranges.back().operation_id, {cluster, 40},
                {kv("a", 3), kv("b", 3), kv("c", 3), kv("d", 3)}, true);
  EXPECT_EQ(watcher->state(), Watcher::State::waiting);
  wait_for_range();
  watcher->page(now, actions.ranges.back().operation_id, {cluster, 40}, {kv("a", 41)},
                false);  // newer than the listing
  EXPECT_EQ(watcher->state(), Watcher::State::waiting);
  wait_for_range();
  watcher->page(now, actions.ranges.back().operation_id, {cluster, 40}, {}, true);
  EXPECT_EQ(watcher->state(), Watcher::State::waiting);
  wait_for_range();
  watcher->page(now, actions.ranges.back().operation_id, {cluster, 0}, {}, false);
  EXPECT_EQ(watcher->state(), Watcher::State::waiting);
  EXPECT_TRUE(actions.published.empty());
}

TEST_F(EtcdWatcher, MessagesOfEarlierOperation_AreIgnored) {
  set_up({kv("a", 3)}, 40);
  const std::uint64_t old = stream();
  watcher->stream_failed(now, old, "reset");
  watcher->events(now, old, {cluster, 41}, {removed("a", 41)}, false);
  watcher->cancelled(now, old, "compacted", 50);
  watcher->stream_failed(now, old, "reset again");
  EXPECT_EQ(actions.published.size(), 1U);
  EXPECT_EQ(watcher->counts().breaks, 1U);
  EXPECT_EQ(watcher->counts().compactions, 0U);
}

TEST_F(EtcdWatcher, FiftyWatchersAfterCompaction_SpreadTheirListings) {
  std::vector<Time> asked;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Actions own;
    Watcher one(settings, seed * 7919, own);
    one.start(now);
    one.page(now, own.ranges.back().operation_id, {cluster, 40}, {kv("a", 3)}, false);
    one.created(now, own.watches.back().operation_id, {cluster, 40});
    one.cancelled(now, own.watches.back().operation_id, "compacted", 50);
    asked.push_back(one.next_time() - now);
  }
  for (Time from = 0; from < settings.relist_jitter; from += 100 * kMs)
    EXPECT_LE(std::count_if(asked.begin(), asked.end(),
                            [&](Time at) { return at >= from && at < from + 100 * kMs; }),
              30);
  EXPECT_LE(*std::max_element(asked.begin(), asked.end()), settings.relist_jitter);
}

}  // namespace
}  // namespace streampick::etcd
