// Fuzzer of the lease protocol: arbitrary bytes go to the decoder, and what it accepts to a process that
// votes, grants and holds leases. It must neither fail, nor use or lease more than a total, nor send more
// than a bounded number of messages for each one received.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "cases.h"
#include "shares/lease_protocol.h"
#include "shares/wire.h"

using namespace streampick;
using namespace streampick::leases;

namespace {

constexpr double kTotal = 10;

void require(bool holds) {
  if (!holds) std::abort();
}

// A router that is the only voter, so that it becomes the granter soon.
LeaseProtocol protocol_of(std::uint64_t seed) {
  Settings settings;
  settings.self = membership::numbered(0);
  settings.voters = {settings.self};
  settings.expected_routers = 4;
  settings.max_work_duration = kSecond;
  settings.limits = {{"places", 1, LimitKind::hard, kTotal}, {"quota", 2, LimitKind::soft, kTotal}};
  LeaseProtocol protocol(settings, 7, seed, kSecond);
  protocol.start(kSecond);
  protocol.set_view(kSecond, {membership::numbered(1), membership::numbered(2)}, 4);
  return protocol;
}

void look(LeaseProtocol& protocol, Time now, std::size_t heard) {
  const auto sends = protocol.take_messages();
  require(sends.size() <= 4 * heard + 16);
  for (const OutgoingMessage& send : sends) require(decode(encode(send.message)).has_value());
  for (const LimitId limit : {LimitId{1}, LimitId{2}}) {
    const Allowance allowance = protocol.allowance(limit);
    require(allowance.leased >= 0 && allowance.leased <= kTotal && allowance.usable(now) <= kTotal);
    if (const LeaseTable* table = protocol.lease_table(limit)) {
      require(table->holder_count() <= LeaseTable::kMaxHolders);
      if (limit == 1) require(table->outstanding(now) <= kTotal);
    }
  }
}

void read(LeaseProtocol& protocol, Time& now, std::string_view bytes) {
  const auto message = decode(bytes);
  if (message)
    protocol.receive(now, membership::numbered(1 + static_cast<std::uint32_t>(message->sender % 3)),
                     *message);
  if (now >= protocol.next_wakeup()) protocol.tick(now);
  look(protocol, now, 1);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  LeaseProtocol protocol = protocol_of(1);
  Time now = 10 * kSecond;
  read(protocol, now, {reinterpret_cast<const char*>(data), size});
  return 0;
}

#ifndef STREAMPICK_LIBFUZZER
int main(int argc, char** argv) {
  fuzz::Draw next;
  LeaseProtocol protocol = protocol_of(3);
  Time now = kSecond;
  long as_granter = 0, taken = 0;
  const long cases = fuzz::each_case(argc, argv, [&](long i) {
    if (i % 2'000 == 0) {
      protocol = protocol_of(static_cast<std::uint64_t>(i));
      now = kSecond;
    }
    now += static_cast<Time>(next() % 100'000);
    protocol.set_demand(now, 1, static_cast<double>(next() % 12), 0);
    Message message;
    // Mostly claims: a process that keeps hearing of other granters does not stand for election.
    message.kind =
        next() % 10 == 0 ? static_cast<Message::Kind>(next() % kMessageKinds) : Message::Kind::claim;
    message.sender = next() % 6 + 1;
    // Mostly the own epoch: a claim of a higher one ends this router's term.
    message.epoch = protocol.epoch(0);
    if (next() % 200 == 0) message.epoch = {next() % 40, next() % 9};
    message.sequence = static_cast<std::uint32_t>(next() % 40);
    message.grant_number = static_cast<std::uint32_t>(next() % 40);
    message.holder = next() % 2 == 0 ? 7 : 1;
    message.duration = static_cast<Time>(next() % (5 * kSecond));
    message.granter = next() % 4;
    for (std::uint64_t items = next() % 4; items > 0; --items)
      message.items.push_back({.limit = static_cast<LimitId>(next() % 3),
                               .demand = static_cast<double>(next() % 100),
                               .in_use = static_cast<double>(next() % 4),
                               .acknowledged_grant = static_cast<std::uint32_t>(next() % 40),
                               .amount = static_cast<double>(next() % 30)});
    std::string bytes = encode(message);
    if (next() % 4 == 0) next.spoil(bytes, 2);
    taken += decode(bytes).has_value() ? 1 : 0;
    read(protocol, now, bytes);
    as_granter += protocol.is_granting(0, now) ? 1 : 0;
  });
  std::printf("%ld of them read, %ld by a granter\n", taken, as_granter);
  std::fflush(stdout);
  require(taken > cases / 2 && as_granter > cases / 20);
  return 0;
}
#endif
