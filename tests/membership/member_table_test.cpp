// Properties of the member table: merging is commutative and idempotent, and only a higher record replaces
// one.
#include "membership/member_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "generators.h"

namespace streampick::membership {
namespace {

const Record kSelf = test::process(1, "self", numbered(0));

// A record of one of six instances, so that many records belong to the same instance.
Record random_record_of_few_instances(std::mt19937_64& random, bool may_be_unreachable) {
  const std::uint32_t number = 1 + static_cast<std::uint32_t>(random() % 6);
  Record record =
      test::process(InstanceId{number} << 60U | 7U, "n" + std::to_string(number), numbered(number));
  record.incarnation = random() % 4;
  constexpr State kStates[] = {State::alive, State::suspect, State::left, State::unreachable};
  record.state = kStates[random() % (may_be_unreachable ? 4 : 3)];
  // `left` is rare: otherwise all instances would soon be in that state.
  if (record.state == State::left && random() % 4 != 0) {
    record.state = State::alive;
  }
  return record;
}

std::vector<Record> random_records(std::mt19937_64& random, std::size_t count, bool may_be_unreachable) {
  std::vector<Record> records;
  while (records.size() < count) {
    records.push_back(random_record_of_few_instances(random, may_be_unreachable));
  }
  return records;
}

Record ended_record(InstanceId instance, State state) {
  Record record =
      test::process(instance, "n" + std::to_string(instance), numbered(static_cast<std::uint32_t>(instance)));
  record.state = state;
  return record;
}

Lifetimes lifetimes_of_100_s() {
  Lifetimes lifetimes;
  lifetimes.unreachable = 100 * kSecond;
  return lifetimes;
}

TEST(MembershipTable, RecordsInAnyOrderAndRepeated_GiveTheSameTable) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::vector<Record> records = random_records(random, 1 + random() % 40, false);
    MemberTable one{Lifetimes{}};
    MemberTable other{Lifetimes{}};
    for (const Record& record : records) {
      one.merge(record, 0);
    }
    for (int repetition = 0; repetition < 2; ++repetition) {
      std::shuffle(records.begin(), records.end(), random);
      for (const Record& record : records) {
        other.merge(record, 0);
      }
    }
    RC_ASSERT(one.digest(kSelf, 0).value == other.digest(kSelf, 0).value);
  });
}

TEST(MembershipTable, MergedRecord_NeverLowersAnInstanceNorMakesItUnreachable) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    MemberTable table{Lifetimes{}};
    for (const Record& record : random_records(random, 60, true)) {
      const Member* known = table.find(record.instance);
      const std::optional<Record> before = known ? std::optional(known->record) : std::nullopt;
      table.merge(record, 0);
      const Record& after = table.find(record.instance)->record;
      if (!before) {
        continue;
      }
      const bool moved_up = after.state == before->state ? after.incarnation >= before->incarnation
                                                         : supersedes(after, *before);
      RC_ASSERT(moved_up);
      if (after.state == State::unreachable) {
        RC_ASSERT((before->state == State::unreachable));
      }
      if (before->state == State::left) {
        RC_ASSERT((after.state == State::left));
      }
    }
  });
}

// Finds differing records: compares digests of smaller and smaller ranges down to single records.
class Comparison {
 public:
  Comparison(const MemberTable& one, const MemberTable& other) : one_(one), other_(other) {}

  std::set<InstanceId> differing() {
    descend(0, 0);
    return found_;
  }

 private:
  void descend(std::uint32_t depth, std::uint64_t prefix) {
    const PartDigests mine = one_.part_digests(depth, prefix, kSelf, 0);
    const PartDigests theirs = other_.part_digests(depth, prefix, kSelf, 0);
    for (std::size_t part = 0; part < kRangeParts; ++part) {
      if (mine[part] != theirs[part]) {
        compare_part(depth + 1, prefix << 4U | part);
      }
    }
  }
  void compare_part(std::uint32_t depth, std::uint64_t prefix) {
    const std::vector<Record> range = one_.range(depth, prefix, kSelf, 0);
    if (range.size() != 1 && depth != kMaxRangeDepth) {
      descend(depth, prefix);
      return;
    }
    for (const Record& record : range) {
      found_.insert(record.instance);
    }
  }

  const MemberTable& one_;
  const MemberTable& other_;
  std::set<InstanceId> found_;
};

TEST(MembershipTable, PartDigests_FindEachRecordThatDiffers) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    MemberTable one{Lifetimes{}};
    MemberTable other{Lifetimes{}};
    for (int i = 0; i < 60; ++i) {
      Record record = test::process(random() | 1U, "n", numbered(1));
      one.merge(record, 0);
      if (random() % 8 == 0) {
        ++record.incarnation;
      }
      if (random() % 8 != 0) {
        other.merge(record, 0);
      }
    }
    const std::set<InstanceId> found = Comparison(one, other).differing();
    for (const auto& [instance, member] : one.members()) {
      const Member* theirs = other.find(instance);
      if (theirs == nullptr || theirs->record != member.record) {
        RC_ASSERT(found.contains(instance));
      }
    }
  });
}

TEST(MembershipTable, EndedInstance_ExpiresAfterItsLifetimeAndIsNotAddedAgainNearItsEnd) {
  Record unreachable = ended_record(5, State::unreachable);
  Record left = ended_record(6, State::left);
  MemberTable table{lifetimes_of_100_s()};
  table.merge(unreachable, 0);
  table.merge(left, 0);
  const std::uint64_t with_both = table.digest(kSelf, 0).value;
  table.remove_expired(49 * kSecond);
  EXPECT_EQ(table.digest(kSelf, 49 * kSecond).value, with_both);
  // Digests exclude a record in the second half of its lifetime.
  table.remove_expired(51 * kSecond);
  EXPECT_NE(table.digest(kSelf, 51 * kSecond).value, with_both);
  EXPECT_EQ(table.record_to_send(*table.find(5), 51 * kSecond).age, 51 * kSecond);
  EXPECT_EQ(table.remove_expired(99 * kSecond).size(), 0U);
  EXPECT_EQ(table.remove_expired(100 * kSecond).size(), 1U);
  EXPECT_EQ(table.remove_expired(199 * kSecond).size(), 0U);
  EXPECT_EQ(table.remove_expired(200 * kSecond).size(), 1U);
  unreachable.age = 76 * kSecond;
  left.age = 151 * kSecond;
  EXPECT_EQ(table.merge(unreachable, 0), MemberTable::Effect::unchanged);
  EXPECT_EQ(table.merge(left, 0), MemberTable::Effect::unchanged);
  unreachable.age = 74 * kSecond;
  EXPECT_EQ(table.merge(unreachable, 0), MemberTable::Effect::applied);
  // The age of the record counts, not the time since it was merged.
  EXPECT_EQ(table.remove_expired(26 * kSecond).size(), 1U);
}

TEST(MembershipTable, RepeatedRecordOfAnEndedInstance_KeepsTheGreatestAge) {
  MemberTable table{lifetimes_of_100_s()};
  Record unreachable = ended_record(5, State::unreachable);
  Record left = ended_record(6, State::left);
  table.merge(unreachable, 0);
  table.merge(left, 0);
  unreachable.age = 60 * kSecond;
  EXPECT_EQ(table.merge(unreachable, 10 * kSecond), MemberTable::Effect::unchanged);
  EXPECT_EQ(table.remove_expired(50 * kSecond).size(), 1U);
  left.incarnation = 9;
  EXPECT_EQ(table.merge(left, 0), MemberTable::Effect::unchanged);
}

TEST(MembershipTable, FullTable_RejectsNewInstancesAndUpdatesKnownOnes) {
  MemberTable table{Lifetimes{}};
  Record record = test::process(0, "n", numbered(1));
  for (InstanceId instance = 1; instance <= MemberTable::kMaxRecords; ++instance) {
    record.instance = instance;
    ASSERT_EQ(table.merge(record, 0), MemberTable::Effect::applied);
  }
  record.instance = MemberTable::kMaxRecords + 1;
  EXPECT_EQ(table.merge(record, 0), MemberTable::Effect::table_full);
  record.instance = 7;
  record.state = State::left;
  EXPECT_EQ(table.merge(record, 0), MemberTable::Effect::applied);
}

}  // namespace
}  // namespace streampick::membership
