// The table by property: what it holds does not depend on how records came, and it never goes down.
#include "membership/table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>
#include <random>
#include <set>

namespace streampick::membership {
namespace {

const Record kSelf{1, "self", numbered(0), 0, State::alive, 0, 0, {}};

std::vector<Record> drawn(std::mt19937_64& random, std::size_t count, bool with_unreachable) {
  std::vector<Record> out;
  while (out.size() < count) {
    Record record;
    record.boot = (1 + random() % 6) << 60U | 7U;
    record.name = "n" + std::to_string(record.boot >> 60U);
    record.address = numbered(static_cast<std::uint32_t>(record.boot >> 60U));
    record.incarnation = random() % 4;
    constexpr State states[] = {State::alive, State::suspect, State::left, State::unreachable};
    record.state = states[random() % (with_unreachable ? 4 : 3)];
    // An end of a boot is rare, or all would be ended.
    if (record.state == State::left && random() % 4 != 0) record.state = State::alive;
    out.push_back(record);
  }
  return out;
}

TEST(MembershipTable, OrderAndRepetitionChangeNothing) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::vector<Record> records = drawn(random, 1 + random() % 40, false);
    Table one{Lifetimes{}}, other{Lifetimes{}};
    for (const Record& record : records) one.hear(record, 0);
    for (int again = 0; again < 2; ++again) {
      std::shuffle(records.begin(), records.end(), random);
      for (const Record& record : records) other.hear(record, 0);
    }
    RC_ASSERT(one.digest(kSelf, 0).value == other.digest(kSelf, 0).value);
  });
}

TEST(MembershipTable, ABootOnlyGoesUpAndOnlyItsOwnerDeclaresItUnreachable) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    Table table{Lifetimes{}};
    for (const Record& record : drawn(random, 60, true)) {
      const Member* known = table.find(record.boot);
      const std::optional<Record> before = known ? std::optional(known->record) : std::nullopt;
      table.hear(record, 0);
      const Record& after = table.find(record.boot)->record;
      if (!before) continue;
      const bool up =
          after.state == before->state ? after.incarnation >= before->incarnation : above(after, *before);
      RC_ASSERT(up);
      if (after.state == State::unreachable) RC_ASSERT((before->state == State::unreachable));
      if (before->state == State::left) RC_ASSERT((after.state == State::left));
    }
  });
}

TEST(MembershipTable, PartsFindExactlyWhereTwoTablesDiffer) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    Table one{Lifetimes{}}, other{Lifetimes{}};
    for (int i = 0; i < 60; ++i) {
      Record record{random() | 1U, "n", numbered(1), 0, State::alive, 0, 0, {}};
      one.hear(record, 0);
      if (random() % 8 == 0) ++record.incarnation;
      if (random() % 8 != 0) other.hear(record, 0);
    }
    std::set<Boot> apart, found;
    for (const auto& [boot, member] : one.all())
      if (!other.find(boot) || other.find(boot)->record != member.record) apart.insert(boot);
    const std::function<void(std::uint32_t, std::uint64_t)> look = [&](std::uint32_t depth,
                                                                       std::uint64_t prefix) {
      const auto mine = one.parts(depth, prefix, kSelf, 0), theirs = other.parts(depth, prefix, kSelf, 0);
      for (std::size_t i = 0; i < kParts; ++i) {
        if (mine[i] == theirs[i]) continue;
        const auto range = one.range(depth + 1, prefix << 4U | i, kSelf, 0);
        if (range.size() == 1 || depth == 15) {
          for (const Record& record : range) found.insert(record.boot);
        } else {
          look(depth + 1, prefix << 4U | i);
        }
      }
    };
    look(0, 0);
    for (const Boot boot : apart) RC_ASSERT(found.contains(boot));
  });
}

TEST(MembershipTable, WhatIsOverIsForgottenInItsTimeAndNotLearnedAnewBefore) {
  Lifetimes lifetimes;
  lifetimes.unreachable = 100 * kSecond;
  Record gone{5, "n5", numbered(5), 0, State::unreachable, 0, 0, {}},
      left{6, "n6", numbered(6), 0, State::left, 0, 0, {}};
  Table table{lifetimes};
  table.hear(gone, 0);
  table.hear(left, 0);
  const auto with = table.digest(kSelf, 0).value;
  table.forget(49 * kSecond);
  EXPECT_EQ(table.digest(kSelf, 49 * kSecond).value, with);
  // From half of its time on a record is not a difference that needs repair.
  table.forget(51 * kSecond);
  EXPECT_NE(table.digest(kSelf, 51 * kSecond).value, with);
  EXPECT_EQ(table.told(*table.find(5), 51 * kSecond).age, 51 * kSecond);
  EXPECT_EQ(table.forget(99 * kSecond).size(), 0U);
  EXPECT_EQ(table.forget(100 * kSecond).size(), 1U);
  EXPECT_EQ(table.forget(199 * kSecond).size(), 0U);
  EXPECT_EQ(table.forget(200 * kSecond).size(), 1U);
  gone.age = 76 * kSecond;
  left.age = 151 * kSecond;
  EXPECT_EQ(table.hear(gone, 0), Table::Effect::none);
  EXPECT_EQ(table.hear(left, 0), Table::Effect::none);
  gone.age = 74 * kSecond;
  EXPECT_EQ(table.hear(gone, 0), Table::Effect::raised);
  EXPECT_EQ(table.forget(26 * kSecond).size(), 1U);  // by its age, not by when it came here
}

TEST(MembershipTable, OfTwoThatAreOverTheOldestAgeCountsAndLeftIsNotRaisedTwice) {
  Lifetimes lifetimes;
  lifetimes.unreachable = 100 * kSecond;
  Table table{lifetimes};
  Record gone{5, "n5", numbered(5), 0, State::unreachable, 0, 0, {}},
      left{6, "n6", numbered(6), 0, State::left, 0, 0, {}};
  table.hear(gone, 0);
  table.hear(left, 0);
  gone.age = 60 * kSecond;
  EXPECT_EQ(table.hear(gone, 10 * kSecond), Table::Effect::none);
  EXPECT_EQ(table.forget(50 * kSecond).size(), 1U);  // as the one who knew of it first
  left.incarnation = 9;
  EXPECT_EQ(table.hear(left, 0), Table::Effect::none);
}

TEST(MembershipTable, IsBounded) {
  Table table{Lifetimes{}};
  Record record{0, "n", numbered(1), 0, State::alive, 0, 0, {}};
  for (Boot boot = 1; boot <= Table::kMost; ++boot) {
    record.boot = boot;
    ASSERT_EQ(table.hear(record, 0), Table::Effect::raised);
  }
  record.boot = Table::kMost + 1;
  EXPECT_EQ(table.hear(record, 0), Table::Effect::no_room);
  record.boot = 7;
  record.state = State::left;
  EXPECT_EQ(table.hear(record, 0), Table::Effect::raised);  // what is known is still kept up
}

}  // namespace
}  // namespace streampick::membership
