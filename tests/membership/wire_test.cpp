// Datagrams: what is written is read, whatever is damaged is not.
#include "membership/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>

namespace streampick::membership {
namespace {

Record drawn_record(std::mt19937_64& random, bool whole) {
  Record out;
  out.boot = random() | 1U;
  if (whole) {
    out.name = std::string(1 + random() % kLongestName, static_cast<char>('!' + random() % 94));
    out.address = 1 + random() % kHighestAddress;
  }
  out.incarnation = random() >> (24 + random() % 40);
  out.state = static_cast<State>(random() % 4);
  if (out.state == State::suspect) out.by = random() | 1U;
  if (out.state > State::suspect) out.age = static_cast<Time>(random() % 100'000) * kSecond;
  for (std::uint32_t id = 0, count = random() % (kMostFacts + 1); out.facts.size() < count;)
    out.facts.push_back({id += 1 + static_cast<std::uint32_t>(random() % 5), random() >> (random() % 64)});
  return out;
}

Message drawn_message(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Message out;
  out.kind = static_cast<Message::Kind>(random() % kKinds);
  out.number = static_cast<std::uint32_t>(random());
  out.subject_boot = random();
  out.self = drawn_record(random, true);
  out.digest = random();
  out.known = static_cast<std::uint32_t>(random() % 5'000);
  if (out.kind == Message::Kind::ask_to_probe) out.subject = 1 + random() % kHighestAddress;
  for (std::size_t count = random() % 20; out.news.size() < count;)
    out.news.push_back(drawn_record(random, random() % 2 == 0));
  if (out.kind == Message::Kind::compare)
    for (std::size_t i = 0; i < kParts; ++i) out.parts.push_back(static_cast<std::uint32_t>(random()));
  out.depth = static_cast<std::uint32_t>(random() % 17);
  out.prefix = random() >> 8U;
  out.last = random() % 2 == 0;
  return out;
}

TEST(MembershipWire, WhatIsWrittenIsReadAndIsNeverLongerThanForetold) {
  rc::check([](std::uint64_t seed) {
    const Message message = drawn_message(seed);
    const std::string datagram = encode(message, "fleet");
    const auto read = decode(datagram, "fleet");
    RC_ASSERT(std::holds_alternative<Message>(read));
    RC_ASSERT(std::get<Message>(read) == message);
    std::size_t most = most_bytes_without_news(message);
    for (const Record& record : message.news) most += most_bytes(record);
    RC_ASSERT(datagram.size() <= most);
  });
}

TEST(MembershipWire, DamageAtEachByteAndACutAtEachAreSeen) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const std::string good = encode(drawn_message(seed), "fleet");
    for (std::size_t at = 0; at < good.size(); ++at) {
      std::string bad = good;
      bad[at] = static_cast<char>(bad[at] ^ static_cast<char>(1U << (seed % 8)));
      const auto read = decode(bad, "fleet");
      ASSERT_TRUE(std::holds_alternative<Unreadable>(read)) << at;
      EXPECT_EQ(std::get<Unreadable>(read), at == 0 ? Unreadable::version : Unreadable::checksum);
      ASSERT_TRUE(std::holds_alternative<Unreadable>(decode(good.substr(0, at), "fleet"))) << at;
    }
    EXPECT_EQ(std::get<Unreadable>(decode(good, "another")), Unreadable::checksum);
  }
}

// With a right checksum, as a program with a mistake would send it.
TEST(MembershipWire, WhatIsBeyondABoundIsNotRead) {
  using Spoil = void (*)(Message&);
  const std::vector<std::pair<const char*, Spoil>> cases = {
      {"no boot", [](Message& m) { m.self.boot = 0; }},
      {"no name", [](Message& m) { m.self.name.clear(); }},
      {"long name", [](Message& m) { m.self.name.assign(kLongestName + 1, 'a'); }},
      {"blank in a name", [](Message& m) { m.self.name = "a b"; }},
      {"no address", [](Message& m) { m.self.address = 0; }},
      {"high address", [](Message& m) { m.self.address = kHighestAddress + 1; }},
      {"sender in brief", [](Message& m) { m.self.name.clear(), m.self.address = 0; }},
      {"high incarnation", [](Message& m) { m.self.incarnation = kHighestIncarnation + 1; }},
      {"many facts",
       [](Message& m) {
         m.self.facts = {{1, 1}, {2, 1}, {3, 1}, {4, 1}, {5, 1}};
       }},
      {"facts twice",
       [](Message& m) {
         m.self.facts = {{1, 1}, {1, 2}};
       }},
      {"many news", [](Message& m) { m.news.assign(kMostNews + 1, m.self); }},
      {"deep", [](Message& m) { m.depth = 17; }},
      {"parts where none belong", [](Message& m) { m.parts.assign(kParts, 1); }},
      {"too few parts", [](Message& m) { m.kind = Message::Kind::compare, m.parts.assign(3, 1); }},
      {"nobody to probe", [](Message& m) { m.kind = Message::Kind::ask_to_probe, m.subject = 0; }},
      {"bad news", [](Message& m) { m.news.assign(1, m.self), m.news[0].boot = 0; }},
  };
  Message good;
  good.self = {7, "n1", numbered(1), 0, State::alive, 0, 0, {}};
  ASSERT_TRUE(std::holds_alternative<Message>(decode(encode(good, ""), "")));
  for (const auto& [name, spoil] : cases) {
    Message bad = good;
    spoil(bad);
    const auto read = decode(encode(bad, ""), "");
    ASSERT_TRUE(std::holds_alternative<Unreadable>(read)) << name;
    EXPECT_EQ(std::get<Unreadable>(read), Unreadable::content) << name;
  }
}

}  // namespace
}  // namespace streampick::membership
