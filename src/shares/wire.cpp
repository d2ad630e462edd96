#include "shares/wire.h"

#include <cmath>

#include "streampick/shares.pb.h"

namespace streampick::leases {

namespace {

namespace proto = streampick::shares::proto;  // the wire form keeps its package

// Tags and the longest values of a message's fields, and of an item with its length.
constexpr std::size_t kHead = 2 + 9 + 2 + 10 + 9 + 6 + 6 + 9 + 7 + 8 + 5;
constexpr std::size_t kItem = 2 + 5 + 5 + 5 + 6 + 5;
constexpr Time kLongest = 3'600 * kSecond;
constexpr std::uint64_t kMostNumber = std::uint64_t{1} << 61U;

bool within(float value, double most) { return std::isfinite(value) && value >= 0 && value <= most; }

}  // namespace

std::size_t items_in(std::size_t bytes) { return bytes < kHead ? 0 : (bytes - kHead) / kItem; }

std::string encode(const Message& message) {
  proto::Message out;
  out.set_kind(static_cast<std::uint32_t>(message.kind));
  out.set_self(message.self);
  out.set_seat(message.seat);
  out.set_epoch(message.epoch.number);
  out.set_epoch_boot(message.epoch.boot);
  out.set_number(message.number);
  out.set_grant(message.grant);
  out.set_holder(message.holder);
  out.set_length_us(static_cast<std::uint64_t>(message.length));
  out.set_home(message.home);
  out.set_weight(static_cast<float>(message.weight));
  for (const Item& item : message.items) {
    proto::Item& it = *out.add_items();
    it.set_limit(item.limit);
    it.set_want(static_cast<float>(item.want));
    it.set_over(static_cast<float>(item.over));
    it.set_seen(item.seen);
    it.set_amount(static_cast<float>(item.amount));
  }
  return out.SerializeAsString();
}

std::optional<Message> decode(std::string_view payload) {
  proto::Message in;
  if (!in.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) return std::nullopt;
  if (in.kind() >= kKinds || in.self() == 0 || in.seat() >= kMostSeats || in.epoch() > kMostNumber ||
      in.length_us() > static_cast<std::uint64_t>(kLongest) || in.home() > membership::kHighestAddress ||
      !within(in.weight(), kMostWeight) || in.items_size() > int{kMostItems})
    return std::nullopt;
  Message out;
  out.kind = static_cast<Message::Kind>(in.kind());
  out.self = in.self();
  out.seat = in.seat();
  out.epoch = {in.epoch(), in.epoch_boot()};
  out.number = in.number();
  out.grant = in.grant();
  out.holder = in.holder();
  out.length = static_cast<Time>(in.length_us());
  out.home = in.home();
  out.weight = in.weight();
  for (const proto::Item& item : in.items()) {
    // A claim may say any number that is one: what is made of it is the home's affair.
    if (!within(item.want(), 1e30) || !within(item.over(), 1e30) || !within(item.amount(), kMostTotal))
      return std::nullopt;
    out.items.push_back({item.limit(), item.want(), item.over(), item.seen(), item.amount()});
  }
  return out;
}

}  // namespace streampick::leases
