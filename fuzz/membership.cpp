// What a peer may send: any bytes to the decoder, and any decoded message with a right checksum to a
// protocol, which must neither fail, nor send datagrams that are too long, nor grow beyond its limits.
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

// A protocol that receives one datagram after another.
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

// Values near their limits and beyond them.
void draw_record(fuzz::Draw& next, InstanceId receiver, proto::Record& record) {
  record.set_boot(next() % 20 == 0 ? receiver : 1 + next() % 30);
  if (next() % 3 != 0) {
    record.set_name("n" + std::to_string(next() % 9));
    record.set_address(numbered(static_cast<std::uint32_t>(next() % 6)));
  }
  record.set_incarnation(next() % 10 == 0 ? kMaxIncarnation - next() % 2 : next() % 5);
  record.set_state(static_cast<std::uint32_t>(next() % 4));
  record.set_by(next() % 30);
  record.set_age_s(static_cast<std::uint32_t>(next() % 4'000));
  for (std::uint32_t id = 1; id < next() % 6; ++id) {
    proto::Fact& fact = *record.add_facts();
    fact.set_id(id);
    fact.set_value(next());
  }
}

// All fields of the wire, whether the kind uses them or not.
std::string draw_message(fuzz::Draw& next, InstanceId receiver) {
  proto::Message message;
  const auto kind = static_cast<MessageKind>(next() % kMessageKinds);
  message.set_kind(static_cast<std::uint32_t>(kind));
  message.set_number(static_cast<std::uint32_t>(next() % 4));
  draw_record(next, receiver, *message.mutable_self());
  message.set_subject_boot(next() % 2 == 0 ? receiver : next());
  message.set_subject(next() % 8);
  message.set_digest(next());
  message.set_known(static_cast<std::uint32_t>(next()));
  for (std::uint64_t updates = next() % 6; updates > 0; --updates) {
    draw_record(next, receiver, *message.add_news());
  }
  if (kind == MessageKind::compare_digests) {
    for (std::size_t part = 0; part < kRangeParts; ++part) {
      message.add_parts(static_cast<std::uint32_t>(next() % 2));
    }
  }
  message.set_depth(static_cast<std::uint32_t>(next() % 18));
  message.set_prefix(next() << (next() % 40));
  message.set_last(next() % 2 == 0);
  if (kind == MessageKind::payload || next() % 20 == 0) {
    message.set_guest(static_cast<std::uint32_t>(next() % 3));
    message.set_payload(std::string(next() % 1'300, 'p'));
  }
  return add_envelope(message.SerializeAsString(), "");
}

}  // namespace

int main(int argc, char** argv) {
  fuzz::Draw next;
  Receiver receiver;
  long decodable = 0;
  const long cases = fuzz::each_case(argc, argv, [&]([[maybe_unused]] long i) {
    std::string datagram = draw_message(next, receiver.instance());
    if (next() % 4 == 0) {
      datagram.resize(next() % datagram.size());
    }
    if (next() % 4 == 0) {
      next.spoil(datagram, 2);
    }
    decodable += std::holds_alternative<Message>(decode(datagram, "")) ? 1 : 0;
    receiver.receive(datagram);
  });
  std::printf("%ld of them decodable\n", decodable);
  require(decodable > cases / 20);
  return 0;
}
#endif
