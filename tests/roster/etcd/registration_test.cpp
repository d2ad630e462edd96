// Tests of Registration, also with expiring leases, and of the options of [roster.etcd].
#include "roster/etcd/registration.h"

#include <gtest/gtest.h>

#include <optional>
#include <random>
#include <vector>

#include "roster/etcd/options.h"

namespace streampick::etcd {
namespace {

constexpr Time kSecond = 1'000'000;

// Simulates etcd for one server: a lease expires without keep-alives.
struct Store final : RegistrationActions {
  void grant(long long ttl_s) override {
    ++grants;
    ttl = ttl_s * kSecond;
    asked = 'g';
  }
  void put(std::int64_t of, bool as_draining) override {
    asked = 'p';
    wanted = of;
    wanted_draining = as_draining;
  }
  void keep_alive(std::int64_t of) override {
    ++beats;
    asked = 'k';
    wanted = of;
  }
  void revoke(std::int64_t of) override {
    asked = 'r';
    wanted = of;
  }
  // Serves the last request, or reports that it failed if `works` is false.
  void serve(Registration& registration, Time now, bool works = true) {
    expire(now);
    const char what = std::exchange(asked, ' ');
    if (what == ' ') return;
    if (!works) return registration.failed(now);
    switch (what) {
      case 'g':
        lease = ++last_lease;
        until = now + ttl;
        registration.granted(now, lease);
        return;
      case 'p':
        if (wanted != lease) return registration.failed(now);  // no such lease
        there = true;
        draining = wanted_draining;
        registration.was_put(now);
        return;
      case 'k':
        if (wanted == lease) until = now + ttl;
        registration.kept(now, wanted == lease ? ttl / kSecond : 0);
        return;
      default:
        if (wanted == lease) there = false, lease = 0;
        registration.revoked();
    }
  }
  void expire(Time now) {
    if (lease != 0 && now > until) there = false, lease = 0;
  }
  std::int64_t lease = 0, last_lease = 0, wanted = 0;
  Time ttl = 0, until = 0;
  bool there = false, draining = false, wanted_draining = false;
  char asked = ' ';
  int grants = 0, beats = 0;
};

TEST(EtcdRegistration, RegisteredServer_KeepsItsEntryUntilItEnds) {
  Store store;
  Registration registration({}, store);
  Time now = kSecond;
  registration.start(now);
  store.serve(registration, now);
  store.serve(registration, now);
  EXPECT_TRUE(store.there);
  EXPECT_EQ(registration.state(), Registration::State::registered);
  for (int i = 0; i < 40; ++i) {
    now = registration.next_time();
    registration.on_time(now);
    store.serve(registration, now);
    EXPECT_TRUE(store.there);
  }
  EXPECT_EQ(store.grants, 1);
  registration.drain(now);
  store.serve(registration, now);
  EXPECT_TRUE(store.there && store.draining);
  registration.end(now);
  store.serve(registration, now);
  EXPECT_FALSE(store.there);
  EXPECT_EQ(registration.state(), Registration::State::ended);
  EXPECT_EQ(registration.next_time(), kNever);
}

TEST(EtcdRegistration, DrainDuringPut_IsWrittenAfterwards) {
  Store store;
  Registration registration({}, store);
  registration.start(kSecond);
  store.serve(registration, kSecond);  // granted; the put is pending
  registration.drain(kSecond);
  EXPECT_FALSE(store.wanted_draining);
  store.serve(registration, kSecond);
  store.serve(registration, kSecond);
  EXPECT_TRUE(store.draining);
}

TEST(EtcdRegistration, ExpiredLease_IsReplacedAndEntryRestored) {
  Store store;
  Registration registration({}, store);
  Time now = kSecond;
  registration.start(now);
  store.serve(registration, now);
  store.serve(registration, now);
  registration.drain(now);
  store.serve(registration, now);
  now += 60 * kSecond;  // the process was suspended
  registration.on_time(now);
  store.serve(registration, now);  // the keep-alive comes after the lease expired
  EXPECT_EQ(registration.lost(), 1U);
  store.serve(registration, now);
  store.serve(registration, now);
  EXPECT_TRUE(store.there && store.draining);
}

// Whichever requests fail or are lost, the entry is correct once etcd works again.
TEST(EtcdRegistration, RandomFailures_EndWithTheCorrectEntry) {
  for (unsigned seed = 1; seed <= 500; ++seed) {
    std::minstd_rand random(seed);
    Store store;
    Registration registration({}, store);
    Time now = kSecond;
    registration.start(now);
    bool drained = false;
    for (int i = 0; i < 300; ++i) {
      const auto luck = random() % 10;
      if (luck < 6) {
        store.serve(registration, now);
      } else if (luck == 6) {
        store.serve(registration, now, false);
      } else if (luck == 7) {
        store.asked = ' ';  // lost
      } else if (luck == 8 && random() % 20 == 0) {
        registration.drain(now);
        drained = true;
      }
      now += static_cast<Time>(random() % 3'000'000);
      store.expire(now);
      registration.on_time(now);
    }
    for (int i = 0; i < 40; ++i) {
      store.serve(registration, now);
      if (registration.next_time() > now) now = std::min(registration.next_time(), now + kSecond);
      registration.on_time(now);
    }
    store.serve(registration, now);
    EXPECT_TRUE(store.there) << seed;
    EXPECT_EQ(store.draining, drained) << seed;
  }
}

TEST(EtcdOptions, InvalidKeys_AreReportedWithLineAndReason) {
  const auto told = [](const std::string& text) -> std::string {
    try {
      options::Table root = options::Table::parse("[e]\n" + text, "o.toml");
      read_options(std::move(*root.table("e")));
      return "taken";
    } catch (const options::Error& error) {
      return error.what();
    }
  };
  const std::string end = "endpoints = [\"127.0.0.1:2379\"]\n";
  EXPECT_EQ(told(end), "taken");
  EXPECT_EQ(told(""), "o.toml:1: e.endpoints: expected 1 to 16 addresses");
  EXPECT_EQ(told("endpoints = [\"http://a:1\"]\n"),
            "o.toml:2: e.endpoints: expected host:port, without a scheme, not 'http://a:1'");
  EXPECT_EQ(told(end + "prefix = \"\"\n"), "o.toml:3: e.prefix: expected a prefix of 1 to 256 bytes");
  EXPECT_EQ(told(end + "user = \"u\"\n"), "o.toml:3: e.user: user and password_file go together");
  EXPECT_EQ(told(end + "cert_file = \"c\"\n"), "o.toml:3: e.cert_file: cert_file and key_file go together");
  EXPECT_EQ(told(end + "cert_file = \"c\"\nkey_file = \"k\"\n"),
            "o.toml:1: e.ca_file: a certificate needs ca_file too");
  EXPECT_EQ(told(end + "least_share = 1.5\n"), "o.toml:3: e.least_share: expected a number from 0 to 1");
  EXPECT_EQ(told(end + "silence_ms = 1\n"),
            "o.toml:3: e.silence_ms: expected a whole number from 100 to 60000");
  EXPECT_EQ(told(end + "stale_after_ms = 2500\n"),
            "o.toml:3: e.stale_after_ms: expected more than silence_ms and answer_ms together");
  EXPECT_EQ(told(end + "silent_ms = 1\n"), "o.toml:3: e.silent_ms: there is no such key");
}

}  // namespace
}  // namespace streampick::etcd
