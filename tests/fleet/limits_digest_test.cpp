// Regression test of the observable behaviour of SharedLimits: the payloads it sends, the allowances that the
// decision module gets, log lines, and the answers to operators' commands must give the recorded digest.
#include <gtest/gtest.h>

#include <cstdio>
#include <random>

#include "engine/engine_fakes.h"
#include "fleet/shared_limits.h"
#include "shares/wire.h"

namespace streampick::test {
namespace {

using leases::kSecond;

constexpr std::uint64_t kRecorded = 8740898096691636895U;

// FNV-1a of text lines; a mismatch prints them.
class Transcript {
 public:
  void add(const std::string& line) {
    for (const char byte : line) hash_ = (hash_ ^ static_cast<unsigned char>(byte)) * 1099511628211U;
    hash_ = (hash_ ^ '\n') * 1099511628211U;
    text_ += line + "\n";
  }
  std::uint64_t hash() const { return hash_; }
  const std::string& text() const { return text_; }

 private:
  std::uint64_t hash_ = 14695981039346656037U;
  std::string text_;
};

std::string hex(const std::string& bytes) {
  std::string out;
  for (const char byte : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned>(static_cast<unsigned char>(byte)));
    out += digits;
  }
  return out;
}

std::string exact(double number) {
  char out[32];
  std::snprintf(out, sizeof out, "%.17g", number);
  return out;
}

std::string text_of(const Shares& shares) {
  std::string out = "shares " + exact(shares.origin_reserved) + " " + exact(shares.origin_leased) + " " +
                    std::to_string(shares.origin_lease_end);
  for (const double quota : shares.quotas) out += " " + exact(quota);
  return out;
}

// Two routers that vote and hold leases, on one manual clock. The third configured voter does not run.
class RouterPair {
 public:
  explicit RouterPair(std::uint64_t seed) : random_(seed) {
    for (const std::size_t router : {0U, 1U}) limits_[router] = make(router);
  }

  const Transcript& run() {
    for (auto& limits : limits_) limits->start();
    for (int step = 0; step < kSteps; ++step) {
      add_random_load();
      time_.advance(kSecond / 10);
      deliver();
      if (step % 50 == 49) report();
      if (step == kSteps / 3) reconfigure();
      if (step == kSteps / 2) limits_[1]->on_payload(membership::numbered(0), "no message");
      if (step == kSteps * 2 / 3) limits_[0]->leave(false);
    }
    for (auto& limits : limits_) limits->leave(true);
    deliver();
    report();
    return transcript_;
  }

 private:
  static constexpr int kSteps = 600;

  std::unique_ptr<fleet::SharedLimits> make(std::size_t router) {
    fleet::ShareOptions options;
    options.origin_places = 24;
    options.core.self = membership::numbered(static_cast<std::uint32_t>(router));
    for (std::uint32_t voter = 0; voter < 3; ++voter)
      options.core.voters.push_back(membership::numbered(voter));
    options.core.expected_routers = 3;
    options.core.max_work_duration = kSecond;
    options.core.shards = 2;
    options.core.limits = fleet::limits_of(options, names_, tenants_);
    fleet::SharedLimits::Hooks hooks;
    hooks.view = [router] {
      return fleet::SharedLimits::View{{membership::numbered(router == 0 ? 1U : 0U)}, 2};
    };
    hooks.request_counts = [this, router]() -> const std::vector<std::uint64_t>& {
      return request_counts_[router];
    };
    hooks.origin_work = [this, router] { return origin_work_[router]; };
    hooks.apply_allowances = [this, router](const Shares& shares) {
      transcript_.add(std::to_string(router) + " " + text_of(shares));
    };
    hooks.send = [this, router](membership::Address to, const std::string& payload) {
      transcript_.add(std::to_string(router) + " to " + std::to_string(to) + " " + hex(payload));
      sent_.emplace_back(router, payload);
    };
    hooks.log = [this, router](std::string_view line) {
      transcript_.add(std::to_string(router) + " log " + std::string(line));
    };
    return std::make_unique<fleet::SharedLimits>(time_, options, names_, tenants_, 7 + router, 90 + router,
                                                 std::move(hooks));
  }
  void add_random_load() {
    for (const std::size_t router : {0U, 1U}) {
      for (std::uint64_t& request_count : request_counts_[router]) request_count += random_() % 9;
      origin_work_[router].in_flight = static_cast<int>(random_() % 5);
      origin_work_[router].queued = random_() % 12;
    }
  }
  void deliver() {
    for (int round = 0; round < 4; ++round)
      for (const auto& [from, payload] : std::exchange(sent_, {}))
        limits_[1 - from]->on_payload(membership::numbered(static_cast<std::uint32_t>(from)), payload);
  }
  void reconfigure() {
    for (const std::size_t router : {0U, 1U}) {
      request_counts_[router] = {0, 0};
      limits_[router]->reconfigure({"b", "d"}, {{70}, {30}});
    }
  }
  void report() {
    for (const auto& limits : limits_) {
      transcript_.add(limits->status());
      transcript_.add(limits->summary());
    }
  }

  std::mt19937_64 random_;
  ManualTime time_;
  Transcript transcript_;
  std::vector<std::string> names_ = {"a", "b", "c"};
  std::vector<Tenant> tenants_ = {{100}, {40}, {0}};
  std::array<std::vector<std::uint64_t>, 2> request_counts_ = {std::vector<std::uint64_t>(3),
                                                               std::vector<std::uint64_t>(3)};
  std::array<OriginWork, 2> origin_work_{};
  std::vector<std::pair<std::size_t, std::string>> sent_;
  std::array<std::unique_ptr<fleet::SharedLimits>, 2> limits_;
};

TEST(FleetLimitsDigest, TwoRouters_GiveRecordedDigest) {
  RouterPair routers(5);
  const Transcript& transcript = routers.run();
  EXPECT_EQ(transcript.hash(), kRecorded) << transcript.text();
}

}  // namespace
}  // namespace streampick::test
