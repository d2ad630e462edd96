// Fuzzer of the lease protocol. It passes arbitrary bytes to the decoder, and decoded messages to a process
// that votes, grants and holds leases. The process must not crash, must not use or lease more than a total,
// and must send at most a bounded number of messages for each message received.
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

// Returns a router that is the only voter, so that it soon becomes the granter.
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

void check_invariants(LeaseProtocol& protocol, Time now, std::size_t received) {
  const auto messages = protocol.take_messages();
  require(messages.size() <= 4 * received + 16);
  for (const OutgoingMessage& send : messages) require(decode(encode(send.message)).has_value());
  for (const LimitId limit : {LimitId{1}, LimitId{2}}) {
    const Allowance allowance = protocol.allowance(limit);
    require(allowance.leased >= 0 && allowance.leased <= kTotal && allowance.usable(now) <= kTotal);
    if (const LeaseTable* table = protocol.lease_table(limit)) {
      require(table->holder_count() <= LeaseTable::kMaxHolders);
      if (limit == 1) require(table->outstanding(now) <= kTotal);
    }
  }
}

void receive_bytes(LeaseProtocol& protocol, Time& now, std::string_view bytes) {
  const auto message = decode(bytes);
  if (message)
    protocol.receive(now, membership::numbered(1 + static_cast<std::uint32_t>(message->sender % 3)),
                     *message);
  if (now >= protocol.next_wakeup()) protocol.tick(now);
  check_invariants(protocol, now, 1);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  LeaseProtocol protocol = protocol_of(1);
  Time now = 10 * kSecond;
  receive_bytes(protocol, now, {reinterpret_cast<const char*>(data), size});
  return 0;
}

#ifndef STREAMPICK_LIBFUZZER
int main(int argc, char** argv) {
  fuzz::Draw random;
  LeaseProtocol protocol = protocol_of(3);
  Time now = kSecond;
  long as_granter = 0, decoded = 0;
  const long cases = fuzz::each_case(argc, argv, [&](long i) {
    if (i % 2'000 == 0) {
      protocol = protocol_of(static_cast<std::uint64_t>(i));
      now = kSecond;
    }
    now += static_cast<Time>(random() % 100'000);
    protocol.set_demand(now, 1, static_cast<double>(random() % 12), 0);
    Message message;
    // Mostly claims, because a process that hears of other granters does not stand for election.
    message.kind =
        random() % 10 == 0 ? static_cast<Message::Kind>(random() % kMessageKinds) : Message::Kind::claim;
    message.sender = random() % 6 + 1;
    // Mostly the router's own epoch, because a claim with a higher epoch ends its term.
    message.epoch = protocol.epoch(0);
    if (random() % 200 == 0) message.epoch = {random() % 40, random() % 9};
    message.sequence = static_cast<std::uint32_t>(random() % 40);
    message.grant_number = static_cast<std::uint32_t>(random() % 40);
    message.holder = random() % 2 == 0 ? 7 : 1;
    message.duration = static_cast<Time>(random() % (5 * kSecond));
    message.granter = random() % 4;
    for (std::uint64_t items = random() % 4; items > 0; --items)
      message.items.push_back({.limit = static_cast<LimitId>(random() % 3),
                               .demand = static_cast<double>(random() % 100),
                               .in_use = static_cast<double>(random() % 4),
                               .acknowledged_grant = static_cast<std::uint32_t>(random() % 40),
                               .amount = static_cast<double>(random() % 30)});
    std::string bytes = encode(message);
    if (random() % 4 == 0) random.spoil(bytes, 2);
    decoded += decode(bytes).has_value() ? 1 : 0;
    receive_bytes(protocol, now, bytes);
    as_granter += protocol.is_granting(0, now) ? 1 : 0;
  });
  std::printf("%ld messages decoded, %ld cases as granter\n", decoded, as_granter);
  std::fflush(stdout);
  require(decoded > cases / 2 && as_granter > cases / 20);
  return 0;
}
#endif
