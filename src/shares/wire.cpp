#include "shares/wire.h"

#include <cmath>

#include "streampick/shares.pb.h"

namespace streampick::leases {

namespace {

namespace proto = streampick::shares::proto;  // the wire form keeps its package

// Tags and the longest values of a message's fields, and of an item with its length.
constexpr std::size_t kMaxHeaderBytes = 2 + 9 + 2 + 10 + 9 + 6 + 6 + 9 + 7 + 8 + 5;
constexpr std::size_t kMaxItemBytes = 2 + 5 + 5 + 5 + 6 + 5;
constexpr Time kMaxDuration = 3'600 * kSecond;
constexpr std::uint64_t kMaxEpoch = std::uint64_t{1} << 61U;

bool within(float value, double most) { return std::isfinite(value) && value >= 0 && value <= most; }

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
    proto::Item& it = *out.add_items();
    it.set_limit(item.limit);
    it.set_want(static_cast<float>(item.demand));
    it.set_over(static_cast<float>(item.in_use));
    it.set_seen(item.acknowledged_grant);
    it.set_amount(static_cast<float>(item.amount));
  }
  return out.SerializeAsString();
}

std::optional<Message> decode(std::string_view payload) {
  proto::Message in;
  if (!in.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) return std::nullopt;
  if (in.kind() >= kMessageKinds || in.self() == 0 || in.seat() >= kMaxShards || in.epoch() > kMaxEpoch ||
      in.length_us() > static_cast<std::uint64_t>(kMaxDuration) || in.home() > membership::kHighestAddress ||
      !within(in.weight(), kMaxWeight) || in.items_size() > int{kMaxItems})
    return std::nullopt;
  Message out;
  out.kind = static_cast<Message::Kind>(in.kind());
  out.sender = in.self();
  out.shard = in.seat();
  out.epoch = {in.epoch(), in.epoch_boot()};
  out.sequence = in.number();
  out.grant_number = in.grant();
  out.holder = in.holder();
  out.duration = static_cast<Time>(in.length_us());
  out.granter = in.home();
  out.weight = in.weight();
  for (const proto::Item& item : in.items()) {
    // A claim may say any number that is one: what is made of it is the home's affair.
    if (!within(item.want(), 1e30) || !within(item.over(), 1e30) || !within(item.amount(), kMaxTotal))
      return std::nullopt;
    out.items.push_back({item.limit(), item.want(), item.over(), item.seen(), item.amount()});
  }
  return out;
}

}  // namespace streampick::leases
