#include "shares/wire.h"

#include <cmath>

#include "streampick/shares.pb.h"

namespace streampick::leases {

namespace {

namespace proto = streampick::shares::proto;  // the package name is part of the wire format

// Maximum encoded sizes, tags included: of a message's fields without its items, and of one item with its
// length.
constexpr std::size_t kMaxHeaderBytes = 2 + 9 + 2 + 10 + 9 + 6 + 6 + 9 + 7 + 8 + 5;
constexpr std::size_t kMaxItemBytes = 2 + 5 + 5 + 5 + 6 + 5;
constexpr Time kMaxDuration = 3'600 * kSecond;
constexpr std::uint64_t kMaxEpoch = std::uint64_t{1} << 61U;

// A claim may report any finite demand up to this; the granter limits it further.
constexpr double kMaxReported = 1e30;

bool is_within(float value, double max) { return std::isfinite(value) && value >= 0 && value <= max; }

bool is_valid(const proto::Message& message) {
  return message.kind() < kMessageKinds && message.self() != 0 && message.seat() < kMaxShards &&
         message.epoch() <= kMaxEpoch && message.length_us() <= static_cast<std::uint64_t>(kMaxDuration) &&
         message.home() <= membership::kHighestAddress && is_within(message.weight(), kMaxWeight) &&
         message.items_size() <= int{kMaxItems};
}

bool is_valid(const proto::Item& item) {
  return is_within(item.want(), kMaxReported) && is_within(item.over(), kMaxReported) &&
         is_within(item.amount(), kMaxTotal);
}

}  // namespace

std::size_t max_items_in(std::size_t bytes) {
  return bytes < kMaxHeaderBytes ? 0 : (bytes - kMaxHeaderBytes) / kMaxItemBytes;
}

std::string encode(const Message& message) {
  proto::Message out;
  out.set_kind(static_cast<std::uint32_t>(message.kind));
  out.set_self(message.sender);
  out.set_seat(message.shard);
  out.set_epoch(message.epoch.number);
  out.set_epoch_boot(message.epoch.incarnation);
  out.set_number(message.sequence);
  out.set_grant(message.grant_number);
  out.set_holder(message.holder);
  out.set_length_us(static_cast<std::uint64_t>(message.duration));
  out.set_home(message.granter);
  out.set_weight(static_cast<float>(message.weight));
  for (const LimitItem& item : message.items) {
    proto::Item& entry = *out.add_items();
    entry.set_limit(item.limit);
    entry.set_want(static_cast<float>(item.demand));
    entry.set_over(static_cast<float>(item.in_use));
    entry.set_seen(item.acknowledged_grant);
    entry.set_amount(static_cast<float>(item.amount));
  }
  return out.SerializeAsString();
}

std::optional<Message> decode(std::string_view payload) {
  proto::Message in;
  if (!in.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) return std::nullopt;
  if (!is_valid(in)) return std::nullopt;
  Message out;
  out.kind = static_cast<Message::Kind>(in.kind());
  out.sender = in.self();
  out.shard = in.seat();
  out.epoch = {.number = in.epoch(), .incarnation = in.epoch_boot()};
  out.sequence = in.number();
  out.grant_number = in.grant();
  out.holder = in.holder();
  out.duration = static_cast<Time>(in.length_us());
  out.granter = in.home();
  out.weight = in.weight();
  for (const proto::Item& item : in.items()) {
    if (!is_valid(item)) return std::nullopt;
    out.items.push_back({.limit = item.limit(),
                         .demand = item.want(),
                         .in_use = item.over(),
                         .acknowledged_grant = item.seen(),
                         .amount = item.amount()});
  }
  return out;
}

}  // namespace streampick::leases
