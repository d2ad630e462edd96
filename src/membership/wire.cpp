#include "membership/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

#include "streampick/membership.pb.h"

namespace streampick::membership {
namespace {

std::uint32_t checksum(std::string_view body, std::string_view fleet) {
  return static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(fleet.data(), fleet.size())));
}

std::size_t varint(std::uint64_t value) {
  std::size_t out = 1;
  for (; value >= 0x80; value >>= 7U) ++out;
  return out;
}
std::size_t field(std::uint64_t value) { return value == 0 ? 0 : 1 + varint(value); }
std::uint32_t whole_seconds(Time age) {
  return static_cast<std::uint32_t>(std::clamp<Time>(age / kSecond, 0, UINT32_MAX));
}

void write(const Record& from, proto::Record& to) {
  to.set_boot(from.boot);
  to.set_name(from.name);
  to.set_address(from.address);
  to.set_incarnation(from.incarnation);
  to.set_state(static_cast<std::uint32_t>(from.state));
  to.set_by(from.by);
  to.set_age_s(whole_seconds(from.age));
  for (const Fact& fact : from.facts) {
    proto::Fact& out = *to.add_facts();
    out.set_id(fact.id);
    out.set_value(fact.value);
  }
}

bool read(const proto::Record& from, Record& to) {
  if (from.state() > static_cast<std::uint32_t>(State::left) || from.facts_size() > int{kMostFacts})
    return false;
  to.boot = from.boot();
  to.name = from.name();
  to.address = from.address();
  to.incarnation = from.incarnation();
  to.state = static_cast<State>(from.state());
  to.by = from.by();
  to.age = Time{from.age_s()} * kSecond;
  for (const proto::Fact& fact : from.facts()) to.facts.push_back({fact.id(), fact.value()});
  return fault(to).empty();
}

bool read(const proto::Message& from, Message& to) {
  if (from.kind() >= kKinds || from.depth() > 16 || from.news_size() > int{kMostNews}) return false;
  if (from.parts_size() != 0 && from.parts_size() != int{kParts}) return false;
  if (from.subject() > kHighestAddress || !from.has_self()) return false;
  to.kind = static_cast<Message::Kind>(from.kind());
  if ((to.kind == Message::Kind::compare) != (from.parts_size() == int{kParts})) return false;
  if (to.kind == Message::Kind::ask_to_probe && from.subject() == 0) return false;
  to.number = from.number();
  to.subject_boot = from.subject_boot();
  to.digest = from.digest();
  to.known = from.known();
  to.subject = from.subject();
  to.depth = from.depth();
  to.prefix = from.prefix();
  to.last = from.last();
  if (from.payload().size() > kMostPayload) return false;
  if ((to.kind == Message::Kind::guest) == from.payload().empty()) return false;
  to.guest = from.guest();
  to.payload = from.payload();
  to.parts.assign(from.parts().begin(), from.parts().end());
  if (!read(from.self(), to.self) || to.self.brief()) return false;
  to.news.resize(static_cast<std::size_t>(from.news_size()));
  for (int i = 0; i < from.news_size(); ++i)
    if (!read(from.news(i), to.news[static_cast<std::size_t>(i)])) return false;
  return true;
}

}  // namespace

std::size_t most_bytes(const Record& record) {
  std::size_t out = 9 + 2 + record.name.size() + field(record.address) + field(record.incarnation) + 2;
  if (record.by != 0) out += 9;
  out += field(whole_seconds(record.age));
  for (const Fact& fact : record.facts) out += 2 + field(fact.id) + field(fact.value);
  return out + 3;  // as a part of a message: its tag and its length
}

std::size_t most_bytes_without_news(const Message& message) {
  std::size_t out = kEnvelope + 2 + field(message.number) + (message.subject_boot != 0 ? 9 : 0) +
                    most_bytes(message.self) + 9 + field(message.known);
  out += field(message.subject) + field(message.depth) + field(message.prefix) + (message.last ? 2 : 0);
  if (!message.parts.empty()) out += 3 + 4 * message.parts.size();
  if (!message.payload.empty()) out += field(message.guest) + 3 + message.payload.size();
  return out;
}

std::string encode(const Message& message, std::string_view fleet) {
  proto::Message out;
  out.set_kind(static_cast<std::uint32_t>(message.kind));
  out.set_number(message.number);
  out.set_subject_boot(message.subject_boot);
  write(message.self, *out.mutable_self());
  out.set_digest(message.digest);
  out.set_known(message.known);
  out.set_subject(message.subject);
  for (const Record& record : message.news) write(record, *out.add_news());
  out.set_depth(message.depth);
  out.set_prefix(message.prefix);
  for (const std::uint32_t part : message.parts) out.add_parts(part);
  out.set_last(message.last);
  out.set_guest(message.guest);
  out.set_payload(message.payload);
  std::string datagram(kEnvelope, '\0');
  out.AppendToString(&datagram);
  datagram[0] = static_cast<char>(kWireVersion);
  const std::uint32_t sum = checksum(std::string_view(datagram).substr(kEnvelope), fleet);
  for (std::size_t i = 0; i < 4; ++i) datagram[1 + i] = static_cast<char>(sum >> (8 * i));
  return datagram;
}

std::variant<Message, Unreadable> decode(std::string_view datagram, std::string_view fleet) {
  if (datagram.size() <= kEnvelope || datagram.size() > 65'507) return Unreadable::size;
  if (static_cast<std::uint8_t>(datagram[0]) != kWireVersion) return Unreadable::version;
  std::uint32_t told = 0;
  for (std::size_t i = 0; i < 4; ++i)
    told |= std::uint32_t{static_cast<std::uint8_t>(datagram[1 + i])} << (8 * i);
  const std::string_view body = datagram.substr(kEnvelope);
  if (told != checksum(body, fleet)) return Unreadable::checksum;
  proto::Message message;
  Message out;
  if (!message.ParseFromArray(body.data(), static_cast<int>(body.size())) || !read(message, out))
    return Unreadable::content;
  return out;
}

}  // namespace streampick::membership
