// What a peer may say of shared limits: bytes of any kind to the reader, and whatever it reads to a router
// that votes, is home and holds parts, which must neither fail nor have or lease more than a total, nor say
// more than it was asked for.
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

// A router that is its own only voter, so that it becomes home soon.
LeaseProtocol core_of(std::uint64_t seed) {
  Settings settings;
  settings.self = membership::numbered(0);
  settings.voters = {settings.self};
  settings.expected_routers = 4;
  settings.max_work_duration = kSecond;
  settings.limits = {{"places", 1, LimitKind::hard, kTotal}, {"quota", 2, LimitKind::soft, kTotal}};
  LeaseProtocol core(settings, 7, seed, kSecond);
  core.start(kSecond);
  core.set_view(kSecond, {membership::numbered(1), membership::numbered(2)}, 4);
  return core;
}

void look(LeaseProtocol& core, Time now, std::size_t heard) {
  const auto sends = core.take_messages();
  require(sends.size() <= 4 * heard + 16);
  for (const OutgoingMessage& send : sends) require(decode(encode(send.message)).has_value());
  for (const LimitId limit : {LimitId{1}, LimitId{2}}) {
    const Allowance allowance = core.allowance(limit);
    require(allowance.leased >= 0 && allowance.leased <= kTotal && allowance.usable(now) <= kTotal);
    if (const LeaseTable* table = core.lease_table(limit)) {
      require(table->holder_count() <= LeaseTable::kMaxHolders);
      if (limit == 1) require(table->outstanding(now) <= kTotal);
    }
  }
}

void read(LeaseProtocol& core, Time& now, std::string_view bytes) {
  const auto message = decode(bytes);
  if (message)
    core.receive(now, membership::numbered(1 + static_cast<std::uint32_t>(message->sender % 3)), *message);
  if (now >= core.next_wakeup()) core.tick(now);
  look(core, now, 1);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  LeaseProtocol core = core_of(1);
  Time now = 10 * kSecond;
  read(core, now, {reinterpret_cast<const char*>(data), size});
  return 0;
}

#ifndef STREAMPICK_LIBFUZZER
int main(int argc, char** argv) {
  fuzz::Draw next;
  LeaseProtocol core = core_of(3);
  Time now = kSecond;
  long as_home = 0, taken = 0;
  const long cases = fuzz::each_case(argc, argv, [&](long i) {
    if (i % 2'000 == 0) core = core_of(static_cast<std::uint64_t>(i)), now = kSecond;
    now += static_cast<Time>(next() % 100'000);
    core.set_demand(now, 1, static_cast<double>(next() % 12), 0);
    Message message;
    // Mostly claims: one that hears of another's being home all the time does not ask to be it.
    message.kind =
        next() % 10 == 0 ? static_cast<Message::Kind>(next() % kMessageKinds) : Message::Kind::claim;
    message.sender = next() % 6 + 1;
    // A claim that has seen a higher epoch ends this router's: mostly its own.
    message.epoch = core.epoch(0);
    if (next() % 200 == 0) message.epoch = {next() % 40, next() % 9};
    message.sequence = static_cast<std::uint32_t>(next() % 40);
    message.grant_number = static_cast<std::uint32_t>(next() % 40);
    message.holder = next() % 2 == 0 ? 7 : 1;
    message.duration = static_cast<Time>(next() % (5 * kSecond));
    message.granter = next() % 4;
    for (std::uint64_t items = next() % 4; items > 0; --items)
      message.items.push_back({static_cast<LimitId>(next() % 3), static_cast<double>(next() % 100),
                               static_cast<double>(next() % 4), static_cast<std::uint32_t>(next() % 40),
                               static_cast<double>(next() % 30)});
    std::string bytes = encode(message);
    if (next() % 4 == 0) next.spoil(bytes, 2);
    taken += decode(bytes).has_value() ? 1 : 0;
    read(core, now, bytes);
    as_home += core.is_granting(0, now) ? 1 : 0;
  });
  std::printf("%ld of them read, %ld by a home\n", taken, as_home);
  std::fflush(stdout);
  require(taken > cases / 2 && as_home > cases / 20);
  return 0;
}
#endif
