#include "membership/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "streampick/membership.pb.h"

namespace streampick::membership {
namespace {

constexpr std::size_t kMaxDatagramSize = 65'507;
constexpr std::size_t kChecksumSize = 4;
constexpr std::size_t kBitsPerByte = 8;
// Sizes of protobuf fields in bytes: a tag of one byte, and the value.
constexpr std::size_t kFixed64FieldSize = 9;
constexpr std::size_t kSmallFieldSize = 2;
constexpr std::size_t kFixed32Size = 4;
constexpr std::size_t kNestedHeaderSize = 3;  // tag and a length of up to two bytes

std::uint32_t checksum(std::string_view body, std::string_view fleet) {
  const std::uint64_t seed = XXH3_64bits(fleet.data(), fleet.size());
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(body.data(), body.size(), seed));
}

std::size_t varint_size(std::uint64_t value) {
  std::size_t size = 1;
  for (; value >= 0x80; value >>= 7U) {
    ++size;
  }
  return size;
}

std::size_t varint_field_size(std::uint64_t value) { return value == 0 ? 0 : 1 + varint_size(value); }

std::uint32_t whole_seconds(Time age) {
  return static_cast<std::uint32_t>(std::clamp<Time>(age / kSecond, 0, UINT32_MAX));
}

void write(const Record& record, proto::Record& wire) {
  wire.set_boot(record.instance);
  wire.set_name(record.name);
  wire.set_address(record.address);
  wire.set_incarnation(record.incarnation);
  wire.set_state(static_cast<std::uint32_t>(record.state));
  wire.set_by(record.suspected_by);
  wire.set_age_s(whole_seconds(record.age));
  for (const Fact& fact : record.facts) {
    proto::Fact& wire_fact = *wire.add_facts();
    wire_fact.set_id(fact.id);
    wire_fact.set_value(fact.value);
  }
}

bool read(const proto::Record& wire, Record& record) {
  if (wire.state() > static_cast<std::uint32_t>(State::left) || wire.facts_size() > int{kMaxFacts}) {
    return false;
  }
  record.instance = wire.boot();
  record.name = wire.name();
  record.address = wire.address();
  record.incarnation = wire.incarnation();
  record.state = static_cast<State>(wire.state());
  record.suspected_by = wire.by();
  record.age = Time{wire.age_s()} * kSecond;
  for (const proto::Fact& fact : wire.facts()) {
    record.facts.push_back({.id = fact.id(), .value = fact.value()});
  }
  return validation_error(record).empty();
}

// Writes the fields of each message kind.
class BodyWriter {
 public:
  explicit BodyWriter(proto::Message& wire) : wire_(wire) {}

  void operator()(const Ping& ping) const { wire_.set_number(ping.sequence); }
  void operator()(const Ack& ack) const {
    wire_.set_number(ack.sequence);
    wire_.set_subject(ack.target);
  }
  void operator()(const PingRequest& request) const {
    wire_.set_number(request.sequence);
    wire_.set_subject(request.target);
    wire_.set_subject_boot(request.target_instance);
  }
  void operator()(const Nack& nack) const { wire_.set_number(nack.sequence); }
  void operator()(const CompareDigests& digests) const {
    wire_.set_depth(digests.depth);
    wire_.set_prefix(digests.prefix);
    for (const std::uint32_t part : digests.parts) {
      wire_.add_parts(part);
    }
  }
  void operator()(const SyncRange& range) const {
    wire_.set_depth(range.depth);
    wire_.set_prefix(range.prefix);
    wire_.set_last(range.is_reply);
  }
  void operator()(const Gossip& /*gossip*/) const {}
  void operator()(const Payload& payload) const {
    wire_.set_guest(payload.protocol);
    wire_.set_payload(payload.bytes);
  }

 private:
  proto::Message& wire_;
};

// Checks the limits that apply to all message kinds.
bool is_within_limits(const proto::Message& wire) {
  return wire.kind() < kMessageKinds && wire.depth() <= kMaxRangeDepth &&
         wire.news_size() <= int{kMaxUpdates} && wire.subject() <= kHighestAddress &&
         wire.payload().size() <= kMaxPayloadBytes && wire.has_self();
}

// Whether the message has the parts, target and payload that its kind requires, and no parts or payload of
// another kind.
bool has_fields_of(MessageKind kind, const proto::Message& wire) {
  const int expected_parts = kind == MessageKind::compare_digests ? int{kRangeParts} : 0;
  if (wire.parts_size() != expected_parts) {
    return false;
  }
  if (kind == MessageKind::ping_request && wire.subject() == 0) {
    return false;
  }
  return (kind == MessageKind::payload) != wire.payload().empty();
}

CompareDigests read_digests(const proto::Message& wire) {
  CompareDigests digests{.depth = wire.depth(), .prefix = wire.prefix()};
  std::copy(wire.parts().begin(), wire.parts().end(), digests.parts.begin());
  return digests;
}

MessageBody read_body(MessageKind kind, const proto::Message& wire) {
  switch (kind) {
    case MessageKind::ping: return Ping{.sequence = wire.number()};
    case MessageKind::ack: return Ack{.sequence = wire.number(), .target = wire.subject()};
    case MessageKind::ping_request:
      return PingRequest{
          .sequence = wire.number(), .target = wire.subject(), .target_instance = wire.subject_boot()};
    case MessageKind::nack: return Nack{.sequence = wire.number()};
    case MessageKind::compare_digests: return read_digests(wire);
    case MessageKind::sync_range:
      return SyncRange{.depth = wire.depth(), .prefix = wire.prefix(), .is_reply = wire.last()};
    case MessageKind::gossip: return Gossip{};
    case MessageKind::payload: return Payload{.protocol = wire.guest(), .bytes = wire.payload()};
  }
  return Gossip{};
}

bool read(const proto::Message& wire, Message& message) {
  const auto kind = static_cast<MessageKind>(wire.kind());
  if (!is_within_limits(wire) || !has_fields_of(kind, wire)) {
    return false;
  }
  message.digest = wire.digest();
  message.record_count = wire.known();
  message.body = read_body(kind, wire);
  if (!read(wire.self(), message.sender) || message.sender.is_brief()) {
    return false;
  }
  message.updates.reserve(static_cast<std::size_t>(wire.news_size()));
  for (const proto::Record& update : wire.news()) {
    if (!read(update, message.updates.emplace_back())) {
      return false;
    }
  }
  return true;
}

// Upper bounds of the encoded size of the fields of each message kind.
struct BodySize {
  std::size_t operator()(const Ping& ping) const { return varint_field_size(ping.sequence); }
  std::size_t operator()(const Ack& ack) const {
    return varint_field_size(ack.sequence) + varint_field_size(ack.target);
  }
  std::size_t operator()(const PingRequest& request) const {
    return varint_field_size(request.sequence) + varint_field_size(request.target) +
           (request.target_instance != 0 ? kFixed64FieldSize : 0);
  }
  std::size_t operator()(const Nack& nack) const { return varint_field_size(nack.sequence); }
  std::size_t operator()(const CompareDigests& digests) const {
    return varint_field_size(digests.depth) + varint_field_size(digests.prefix) + kNestedHeaderSize +
           kFixed32Size * digests.parts.size();
  }
  std::size_t operator()(const SyncRange& range) const {
    return varint_field_size(range.depth) + varint_field_size(range.prefix) +
           (range.is_reply ? kSmallFieldSize : 0);
  }
  std::size_t operator()(const Gossip& /*gossip*/) const { return 0; }
  std::size_t operator()(const Payload& payload) const {
    if (payload.bytes.empty()) {
      return 0;
    }
    return varint_field_size(payload.protocol) + kNestedHeaderSize + payload.bytes.size();
  }
};

}  // namespace

std::size_t max_encoded_size(const Record& record) {
  std::size_t size = kFixed64FieldSize + kSmallFieldSize + record.name.size() +
                     varint_field_size(record.address) + varint_field_size(record.incarnation) +
                     kSmallFieldSize;
  if (record.suspected_by != 0) {
    size += kFixed64FieldSize;
  }
  size += varint_field_size(whole_seconds(record.age));
  for (const Fact& fact : record.facts) {
    size += kSmallFieldSize + varint_field_size(fact.id) + varint_field_size(fact.value);
  }
  return size + kNestedHeaderSize;
}

std::size_t max_encoded_size_without_updates(const Message& message) {
  return kEnvelopeSize + kSmallFieldSize + max_encoded_size(message.sender) + kFixed64FieldSize +
         varint_field_size(message.record_count) + std::visit(BodySize{}, message.body);
}

std::string add_envelope(std::string_view body, std::string_view fleet) {
  std::string datagram(kEnvelopeSize, '\0');
  datagram += body;
  datagram[0] = static_cast<char>(kWireVersion);
  const std::uint32_t sum = checksum(body, fleet);
  for (std::size_t i = 0; i < kChecksumSize; ++i) {
    datagram[1 + i] = static_cast<char>(sum >> (kBitsPerByte * i));
  }
  return datagram;
}

std::string encode(const Message& message, std::string_view fleet) {
  proto::Message wire;
  wire.set_kind(static_cast<std::uint32_t>(message.kind()));
  write(message.sender, *wire.mutable_self());
  wire.set_digest(message.digest);
  wire.set_known(message.record_count);
  for (const Record& record : message.updates) {
    write(record, *wire.add_news());
  }
  std::visit(BodyWriter(wire), message.body);
  return add_envelope(wire.SerializeAsString(), fleet);
}

std::variant<Message, DecodeError> decode(std::string_view datagram, std::string_view fleet) {
  if (datagram.size() <= kEnvelopeSize || datagram.size() > kMaxDatagramSize) {
    return DecodeError::size;
  }
  if (static_cast<std::uint8_t>(datagram[0]) != kWireVersion) {
    return DecodeError::version;
  }
  std::uint32_t expected = 0;
  for (std::size_t i = 0; i < kChecksumSize; ++i) {
    expected |= std::uint32_t{static_cast<std::uint8_t>(datagram[1 + i])} << (kBitsPerByte * i);
  }
  const std::string_view body = datagram.substr(kEnvelopeSize);
  if (expected != checksum(body, fleet)) {
    return DecodeError::checksum;
  }
  proto::Message wire;
  Message message;
  if (!wire.ParseFromArray(body.data(), static_cast<int>(body.size())) || !read(wire, message)) {
    return DecodeError::content;
  }
  return message;
}

}  // namespace streampick::membership
