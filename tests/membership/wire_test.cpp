// The encoding of messages: decode() reverses encode(), and invalid datagrams are rejected as a whole.
#include "membership/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "generators.h"
#include "streampick/membership.pb.h"

namespace streampick::membership {
namespace {

Message message_of_seed(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  return test::random_message(random);
}

TEST(MembershipWire, ValidMessage_DecodesToTheSameWithinTheMaxEncodedSize) {
  rc::check([](std::uint64_t seed) {
    const Message message = message_of_seed(seed);
    const std::string datagram = encode(message, "fleet");
    const auto decoded = decode(datagram, "fleet");
    RC_ASSERT(std::holds_alternative<Message>(decoded));
    RC_ASSERT(std::get<Message>(decoded) == message);
    std::size_t max_size = max_encoded_size_without_updates(message);
    for (const Record& update : message.updates) {
      max_size += max_encoded_size(update);
    }
    RC_ASSERT(datagram.size() <= max_size);
  });
}

TEST(MembershipWire, CorruptedOrTruncatedDatagram_IsRejected) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const std::string valid = encode(message_of_seed(seed), "fleet");
    for (std::size_t position = 0; position < valid.size(); ++position) {
      std::string corrupted = valid;
      corrupted[position] = static_cast<char>(corrupted[position] ^ static_cast<char>(1U << (seed % 8)));
      const auto decoded = decode(corrupted, "fleet");
      ASSERT_TRUE(std::holds_alternative<DecodeError>(decoded)) << position;
      const DecodeError expected = position == 0 ? DecodeError::version : DecodeError::checksum;
      EXPECT_EQ(std::get<DecodeError>(decoded), expected);
      const auto truncated = decode(valid.substr(0, position), "fleet");
      ASSERT_TRUE(std::holds_alternative<DecodeError>(truncated)) << position;
    }
    EXPECT_EQ(std::get<DecodeError>(decode(valid, "another")), DecodeError::checksum);
  }
}

proto::Message valid_ping() {
  proto::Message message;
  message.mutable_self()->set_boot(7);
  message.mutable_self()->set_name("n1");
  message.mutable_self()->set_address(numbered(1));
  return message;
}

std::variant<Message, DecodeError> decode_proto(const proto::Message& message) {
  return decode(add_envelope(message.SerializeAsString(), ""), "");
}

void set_kind(proto::Message& message, MessageKind kind) {
  message.set_kind(static_cast<std::uint32_t>(kind));
}

void add_fact(proto::Record& record, std::uint32_t id) {
  record.add_facts()->set_id(id);
  record.mutable_facts()->rbegin()->set_value(1);
}

void add_parts(proto::Message& message, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    message.add_parts(1);
  }
}

// The checksum is valid, as it would be from a faulty sender.
TEST(MembershipWire, FieldBeyondItsLimit_IsRejected) {
  using Invalidate = void (*)(proto::Message&);
  const std::vector<std::pair<const char*, Invalidate>> cases = {
      {"unknown kind", [](proto::Message& m) { m.set_kind(kMessageKinds); }},
      {"no sender",
       [](proto::Message& m) {
         m.clear_self();
         m.set_digest(1);
       }},
      {"no instance", [](proto::Message& m) { m.mutable_self()->set_boot(0); }},
      {"no name", [](proto::Message& m) { m.mutable_self()->clear_name(); }},
      {"long name",
       [](proto::Message& m) { m.mutable_self()->set_name(std::string(kMaxNameLength + 1, 'a')); }},
      {"blank in a name", [](proto::Message& m) { m.mutable_self()->set_name("a b"); }},
      {"no address", [](proto::Message& m) { m.mutable_self()->set_address(0); }},
      {"high address", [](proto::Message& m) { m.mutable_self()->set_address(kHighestAddress + 1); }},
      {"brief sender",
       [](proto::Message& m) {
         m.mutable_self()->clear_name();
         m.mutable_self()->set_address(0);
       }},
      {"high incarnation", [](proto::Message& m) { m.mutable_self()->set_incarnation(kMaxIncarnation + 1); }},
      {"unknown state", [](proto::Message& m) { m.mutable_self()->set_state(4); }},
      {"many facts",
       [](proto::Message& m) {
         for (std::uint32_t id = 1; id <= kMaxFacts + 1; ++id) {
           add_fact(*m.mutable_self(), id);
         }
       }},
      {"repeated fact",
       [](proto::Message& m) {
         add_fact(*m.mutable_self(), 1);
         add_fact(*m.mutable_self(), 1);
       }},
      {"many updates",
       [](proto::Message& m) {
         for (std::size_t i = 0; i <= kMaxUpdates; ++i) {
           *m.add_news() = m.self();
         }
       }},
      {"invalid update",
       [](proto::Message& m) {
         *m.add_news() = m.self();
         m.mutable_news(0)->set_boot(0);
       }},
      {"deep range", [](proto::Message& m) { m.set_depth(kMaxRangeDepth + 1); }},
      {"parts of another kind", [](proto::Message& m) { add_parts(m, kRangeParts); }},
      {"too few parts",
       [](proto::Message& m) {
         set_kind(m, MessageKind::compare_digests);
         add_parts(m, 3);
       }},
      {"no parts", [](proto::Message& m) { set_kind(m, MessageKind::compare_digests); }},
      {"no target", [](proto::Message& m) { set_kind(m, MessageKind::ping_request); }},
      {"high target", [](proto::Message& m) { m.set_subject(kHighestAddress + 1); }},
      {"no payload", [](proto::Message& m) { set_kind(m, MessageKind::payload); }},
      {"payload of another kind", [](proto::Message& m) { m.set_payload("x"); }},
      {"long payload",
       [](proto::Message& m) {
         set_kind(m, MessageKind::payload);
         m.set_payload(std::string(kMaxPayloadBytes + 1, 'p'));
       }},
  };
  ASSERT_TRUE(std::holds_alternative<Message>(decode_proto(valid_ping())));
  for (const auto& [name, invalidate] : cases) {
    proto::Message message = valid_ping();
    invalidate(message);
    const auto decoded = decode_proto(message);
    ASSERT_TRUE(std::holds_alternative<DecodeError>(decoded)) << name;
    EXPECT_EQ(std::get<DecodeError>(decoded), DecodeError::content) << name;
  }
}

// Senders may set fields that the message's kind does not use.
TEST(MembershipWire, FieldOfAnotherKind_IsIgnored) {
  proto::Message message = valid_ping();
  message.set_number(5);
  message.set_subject(9);
  message.set_subject_boot(8);
  message.set_depth(3);
  message.set_prefix(2);
  message.set_last(true);
  message.set_guest(4);
  const auto decoded = decode_proto(message);
  ASSERT_TRUE(std::holds_alternative<Message>(decoded));
  EXPECT_EQ(std::get<Message>(decoded).body, MessageBody(Ping{.sequence = 5}));
}

TEST(MembershipWire, EachKind_HasItsNumberOnTheWire) {
  std::mt19937_64 random(1);
  for (std::size_t kind = 0; kind < kMessageKinds; ++kind) {
    Message message;
    message.sender = test::process(7, "n1", numbered(1));
    message.body = test::random_body(random, static_cast<MessageKind>(kind));
    ASSERT_EQ(static_cast<std::size_t>(message.kind()), kind);
    const std::string datagram = encode(message, "");
    proto::Message wire;
    ASSERT_TRUE(wire.ParseFromString(datagram.substr(kEnvelopeSize)));
    EXPECT_EQ(wire.kind(), kind);
  }
}

}  // namespace
}  // namespace streampick::membership
