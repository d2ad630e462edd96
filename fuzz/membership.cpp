// Fuzzes the membership protocol with the input of a hostile peer: arbitrary bytes for the decoder, and
// arbitrary messages with a valid checksum for the protocol. The protocol must not fail, send datagrams above
// the size limit or grow beyond its limits.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <variant>

#include "cases.h"
#include "membership/gossip_protocol.h"
#include "membership/wire.h"
#include "streampick/membership.pb.h"

using namespace streampick;
using namespace streampick::membership;

namespace {

constexpr std::size_t kDatagramSize = 256;
constexpr std::size_t kMaxUdpSize = 65'507;
constexpr std::size_t kMaxReportedChanges = 256;
constexpr std::uint64_t kSeed = 7;
constexpr Time kStep = 10'000;

void require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

// Passes datagrams to one protocol and checks its limits after each.
class Receiver {
 public:
  void receive(std::string_view datagram) {
    const auto decoded = decode(datagram, "");
    if (const auto* message = std::get_if<Message>(&decoded)) {
      require(encode(*message, "").size() <= kMaxUdpSize);
      protocol_.receive(now_, message->sender.address, *message);
    }
    if (now_ >= protocol_.next_wakeup()) {
      protocol_.tick(now_);
    }
    check();
    now_ += kStep;
  }
  InstanceId instance() const { return protocol_.self().instance; }

 private:
  static Settings settings() {
    Settings settings;
    settings.name = "n0";
    settings.address = numbered(0);
    for (std::uint32_t contact = 0; contact < 4; ++contact) {
      settings.contacts.push_back(numbered(contact));
    }
    settings.max_datagram_size = kDatagramSize;
    return settings;
  }
  void check() {
    for (const OutgoingMessage& outgoing : protocol_.take_outgoing()) {
      require(encode(outgoing.message, "").size() <= kDatagramSize);
    }
    require(protocol_.table().members().size() <= MemberTable::kMaxRecords);
    require(protocol_.take_changes().size() <= kMaxReportedChanges);
    const ViewSummary summary = protocol_.summary(now_);
    require(summary.min_live >= 1 && summary.max_live >= 1);
  }

  Time now_ = 1'000 * kSecond;
  GossipProtocol protocol_{settings(), kSeed, now_};
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  Receiver receiver;
  receiver.receive({reinterpret_cast<const char*>(data), size});
  return 0;
}

#ifndef STREAMPICK_LIBFUZZER
namespace {

// Fills a record with random values, within their limits and beyond them.
void fill_random_record(fuzz::Draw& random, InstanceId receiver, proto::Record& record) {
  record.set_boot(random() % 20 == 0 ? receiver : 1 + random() % 30);
  if (random() % 3 != 0) {
    record.set_name("n" + std::to_string(random() % 9));
    record.set_address(numbered(static_cast<std::uint32_t>(random() % 6)));
  }
  record.set_incarnation(random() % 10 == 0 ? kMaxIncarnation - random() % 2 : random() % 5);
  record.set_state(static_cast<std::uint32_t>(random() % 4));
  record.set_by(random() % 30);
  record.set_age_s(static_cast<std::uint32_t>(random() % 4'000));
  for (std::uint32_t id = 1; id < random() % 6; ++id) {
    proto::Fact& fact = *record.add_facts();
    fact.set_id(id);
    fact.set_value(random());
  }
}

// A datagram with random values in all fields, whether its kind uses them or not.
std::string random_datagram(fuzz::Draw& random, InstanceId receiver) {
  proto::Message message;
  const auto kind = static_cast<MessageKind>(random() % kMessageKinds);
  message.set_kind(static_cast<std::uint32_t>(kind));
  message.set_number(static_cast<std::uint32_t>(random() % 4));
  fill_random_record(random, receiver, *message.mutable_self());
  message.set_subject_boot(random() % 2 == 0 ? receiver : random());
  message.set_subject(random() % 8);
  message.set_digest(random());
  message.set_known(static_cast<std::uint32_t>(random()));
  for (std::uint64_t updates = random() % 6; updates > 0; --updates) {
    fill_random_record(random, receiver, *message.add_news());
  }
  if (kind == MessageKind::compare_digests) {
    for (std::size_t part = 0; part < kRangeParts; ++part) {
      message.add_parts(static_cast<std::uint32_t>(random() % 2));
    }
  }
  message.set_depth(static_cast<std::uint32_t>(random() % 18));
  message.set_prefix(random() << (random() % 40));
  message.set_last(random() % 2 == 0);
  if (kind == MessageKind::payload || random() % 20 == 0) {
    message.set_guest(static_cast<std::uint32_t>(random() % 3));
    message.set_payload(std::string(random() % 1'300, 'p'));
  }
  return add_envelope(message.SerializeAsString(), "");
}

}  // namespace

int main(int argc, char** argv) {
  fuzz::Draw random;
  Receiver receiver;
  long decodable = 0;
  const long cases = fuzz::each_case(argc, argv, [&]([[maybe_unused]] long i) {
    std::string datagram = random_datagram(random, receiver.instance());
    if (random() % 4 == 0) {
      datagram.resize(random() % datagram.size());
    }
    if (random() % 4 == 0) {
      random.spoil(datagram, 2);
    }
    decodable += std::holds_alternative<Message>(decode(datagram, "")) ? 1 : 0;
    receiver.receive(datagram);
  });
  std::printf("%ld of them decodable\n", decodable);
  require(decodable > cases / 20);
  return 0;
}
#endif
