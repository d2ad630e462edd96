#include "membership/anti_entropy.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "membership/wire.h"

namespace streampick::membership {
namespace {

constexpr std::size_t kMaxStartedPerPeriod = 8;
constexpr std::size_t kMaxRangesPerReply = 4;
// Difference of the tables' sizes in records for each extra comparison per period or extra range per reply.
constexpr std::size_t kRecordsPerExtraStep = 8;
constexpr std::uint32_t kBitsPerDigit = 4;

bool contains_current(const std::vector<Record>& records, const Record& mine) {
  const auto theirs = std::find_if(records.begin(), records.end(),
                                   [&](const Record& record) { return record.instance == mine.instance; });
  return theirs != records.end() && !supersedes(mine, *theirs);
}

}  // namespace

void AntiEntropy::on_digest(ProtocolContext& context, Address from, const Message& message, Time now) {
  if (!context.rules->runs_anti_entropy()) {
    return;
  }
  const MemberTable::Digest mine = context.table.digest(context.self, now);
  if (message.digest == mine.value) {
    return;
  }
  const std::size_t difference = message.record_count > mine.count ? message.record_count - mine.count
                                                                   : mine.count - message.record_count;
  // The updates that are still being disseminated may account for the difference.
  if (!context.updates.empty() && difference <= context.updates.size()) {
    return;
  }
  if (started_in_period_ >= std::min(kMaxStartedPerPeriod, 1 + difference / kRecordsPerExtraStep)) {
    return;
  }
  ++started_in_period_;
  ++context.counters.anti_entropy_rounds;
  context.send(CompareDigests{.parts = context.table.part_digests(0, 0, context.self, now)}, from, now);
}

void AntiEntropy::on_compare(ProtocolContext& context, Address from, const Message& message,
                             const CompareDigests& theirs, Time now) {
  if (theirs.depth >= kMaxRangeDepth) {
    return;
  }
  const PartDigests mine = context.table.part_digests(theirs.depth, theirs.prefix, context.self, now);
  std::vector<std::uint64_t> differing;
  for (std::size_t part = 0; part < kRangeParts; ++part) {
    if (mine[part] != theirs.parts[part]) {
      differing.push_back(part);
    }
  }
  const std::uint32_t my_count = context.table.digest(context.self, now).count;
  const std::size_t missing = my_count > message.record_count ? my_count - message.record_count : 0;
  const std::size_t max_ranges = std::min(kMaxRangesPerReply, 1 + missing / kRecordsPerExtraStep);
  for (std::size_t ranges = 0; ranges < max_ranges && !differing.empty(); ++ranges) {
    const std::size_t index = context.random.below(differing.size());
    const std::uint64_t prefix = (theirs.prefix << kBitsPerDigit) | differing[index];
    send_range(context, from, theirs.depth + 1, prefix, now);
    differing.erase(differing.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void AntiEntropy::send_range(ProtocolContext& context, Address to, std::uint32_t depth, std::uint64_t prefix,
                             Time now) {
  std::vector<Record> records = context.table.range(depth, prefix, context.self, now);
  Message message = context.make_message(SyncRange{.depth = depth, .prefix = prefix}, now);
  std::size_t size = max_encoded_size_without_updates(message);
  for (const Record& record : records) {
    size += max_encoded_size(record);
  }
  if (size > context.settings.max_datagram_size && depth < kMaxRangeDepth) {
    message.body = CompareDigests{.depth = depth,
                                  .prefix = prefix,
                                  .parts = context.table.part_digests(depth, prefix, context.self, now)};
    records.clear();
  }
  // If not all records fit, start at a random one, so that repeated exchanges send all of them.
  if (!records.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(context.random.below(records.size()));
    std::rotate(records.begin(), records.begin() + first, records.end());
  }
  context.send(std::move(message), to, now, records);
}

void AntiEntropy::on_sync_range(ProtocolContext& context, Address from, const Message& message,
                                const SyncRange& range, Time now) {
  if (range.is_reply || range.depth > kMaxRangeDepth) {
    return;
  }
  Message reply =
      context.make_message(SyncRange{.depth = range.depth, .prefix = range.prefix, .is_reply = true}, now);
  std::vector<Record> newer;
  for (const Record& mine : context.table.range(range.depth, range.prefix, context.self, now)) {
    if (!contains_current(message.updates, mine)) {
      newer.push_back(mine);
    }
  }
  if (!newer.empty()) {
    context.send(std::move(reply), from, now, newer);
  }
}

}  // namespace streampick::membership
