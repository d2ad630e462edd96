// What a peer may say of shared limits: bytes of any kind to the reader, and whatever it reads to a router
// that votes, is home and holds parts, which must neither fail nor have or lease more than a total, nor say
// more than it was asked for.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "cases.h"
#include "shares/core.h"
#include "shares/wire.h"

using namespace streampick;
using namespace streampick::leases;

namespace {

constexpr double kTotal = 10;

void require(bool holds) {
  if (!holds) std::abort();
}

// A router that is its own only voter, so that it becomes home soon.
Core core_of(std::uint64_t seed) {
  Settings settings;
  settings.self = membership::numbered(0);
  settings.voters = {settings.self};
  settings.routers = 4;
  settings.work = kSecond;
  settings.limits = {{"places", 1, Kind::hard, kTotal}, {"quota", 2, Kind::soft, kTotal}};
  Core core(settings, 7, seed, kSecond);
  core.begin(kSecond);
  core.view(kSecond, {membership::numbered(1), membership::numbered(2)}, 4);
  return core;
}

void look(Core& core, Time now, std::size_t heard) {
  const auto sends = core.take_sends();
  require(sends.size() <= 4 * heard + 16);
  for (const Send& send : sends) require(decode(encode(send.message)).has_value());
  for (const LimitId limit : {LimitId{1}, LimitId{2}}) {
    const Part part = core.part(limit);
    require(part.amount >= 0 && part.amount <= kTotal && part.usable(now) <= kTotal);
    if (const Ledger* ledger = core.ledger(limit)) {
      require(ledger->holders() <= Ledger::kMostHolders);
      if (limit == 1) require(ledger->out(now) <= kTotal);
    }
  }
}

void read(Core& core, Time& now, std::string_view bytes) {
  const auto message = decode(bytes);
  if (message)
    core.receive(now, membership::numbered(1 + static_cast<std::uint32_t>(message->self % 3)), *message);
  if (now >= core.next()) core.tick(now);
  look(core, now, 1);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  Core core = core_of(1);
  Time now = 10 * kSecond;
  read(core, now, {reinterpret_cast<const char*>(data), size});
  return 0;
}

#ifndef STREAMPICK_LIBFUZZER
int main(int argc, char** argv) {
  fuzz::Draw next;
  Core core = core_of(3);
  Time now = kSecond;
  long as_home = 0, taken = 0;
  const long cases = fuzz::each_case(argc, argv, [&](long i) {
    if (i % 2'000 == 0) core = core_of(static_cast<std::uint64_t>(i)), now = kSecond;
    now += static_cast<Time>(next() % 100'000);
    core.demand(now, 1, static_cast<double>(next() % 12), 0);
    Message message;
    // Mostly claims: one that hears of another's being home all the time does not ask to be it.
    message.kind = next() % 10 == 0 ? static_cast<Message::Kind>(next() % kKinds) : Message::Kind::claim;
    message.self = next() % 6 + 1;
    // A claim that has seen a higher epoch ends this router's: mostly its own.
    message.epoch = core.epoch(0);
    if (next() % 200 == 0) message.epoch = {next() % 40, next() % 9};
    message.number = static_cast<std::uint32_t>(next() % 40);
    message.grant = static_cast<std::uint32_t>(next() % 40);
    message.holder = next() % 2 == 0 ? 7 : 1;
    message.length = static_cast<Time>(next() % (5 * kSecond));
    message.home = next() % 4;
    for (std::uint64_t items = next() % 4; items > 0; --items)
      message.items.push_back({static_cast<LimitId>(next() % 3), static_cast<double>(next() % 100),
                               static_cast<double>(next() % 4), static_cast<std::uint32_t>(next() % 40),
                               static_cast<double>(next() % 30)});
    std::string bytes = encode(message);
    if (next() % 4 == 0) next.spoil(bytes, 2);
    taken += decode(bytes).has_value() ? 1 : 0;
    read(core, now, bytes);
    as_home += core.grants(0, now) ? 1 : 0;
  });
  std::printf("%ld of them read, %ld by a home\n", taken, as_home);
  std::fflush(stdout);
  require(taken > cases / 2 && as_home > cases / 20);
  return 0;
}
#endif
