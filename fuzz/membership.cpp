// What a peer may send: bytes of any kind to the reader, and whatever it reads, with a right checksum, to a
// core, which must neither fail nor send what is too long, nor grow beyond its bounds.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "cases.h"
#include "membership/core.h"
#include "membership/wire.h"

using namespace streampick;
using namespace streampick::membership;

namespace {

void require(bool holds) {
  if (!holds) std::abort();
}

Core core_of(std::uint64_t seed) {
  Settings settings;
  settings.name = "n0";
  settings.self = numbered(0);
  for (std::uint32_t i = 0; i < 4; ++i) settings.contacts.push_back(numbered(i));
  settings.datagram = 256;
  return {settings, seed, 1'000 * kSecond};
}

void read(Core& core, Time& now, std::string_view bytes) {
  const auto message = decode(bytes, "");
  if (const auto* read = std::get_if<Message>(&message)) {
    require(encode(*read, "").size() <= 65'507);
    core.receive(now, read->self.address, *read);
  }
  if (now >= core.next()) core.tick(now);
  for (const Send& send : core.take_sends()) require(encode(send.message, "").size() <= 256);
  require(core.table().all().size() <= Table::kMost);
  require(core.take_changes().size() <= 256);
  require(core.counts(now).least >= 1 && core.counts(now).most >= 1);
  now += 10'000;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  Core core = core_of(7);
  Time now = 1'000 * kSecond;
  read(core, now, {reinterpret_cast<const char*>(data), size});
  return 0;
}

#ifndef STREAMPICK_LIBFUZZER
int main(int argc, char** argv) {
  fuzz::Draw next;
  Core core = core_of(7);
  Time now = 1'000 * kSecond;
  long taken = 0;
  const long cases = fuzz::each_case(argc, argv, [&]([[maybe_unused]] long i) {
    // A message with all that may stand in one, near the bounds and beyond them ...
    Message message;
    message.kind = static_cast<Message::Kind>(next() % kKinds);
    message.number = static_cast<std::uint32_t>(next() % 4);
    const auto any = [&] {
      Record out;
      out.boot = next() % 20 == 0 ? core.self().boot : 1 + next() % 30;
      if (next() % 3 != 0) out.name = "n" + std::to_string(next() % 9), out.address = numbered(next() % 6);
      out.incarnation = next() % 10 == 0 ? kHighestIncarnation - next() % 2 : next() % 5;
      out.state = static_cast<State>(next() % 4);
      out.by = next() % 30;
      out.age = static_cast<Time>(next() % 4'000) * kSecond;
      for (std::uint32_t id = 1; id < next() % 6; ++id) out.facts.push_back({id, next()});
      return out;
    };
    message.self = any();
    message.subject_boot = next() % 2 == 0 ? core.self().boot : next();
    message.subject = next() % 8;
    message.digest = next();
    message.known = static_cast<std::uint32_t>(next());
    for (std::uint64_t n = next() % 6; n > 0; --n) message.news.push_back(any());
    if (message.kind == Message::Kind::compare)
      for (std::size_t n = 0; n < kParts; ++n)
        message.parts.push_back(static_cast<std::uint32_t>(next() % 2));
    message.depth = static_cast<std::uint32_t>(next() % 18);
    message.prefix = next() << (next() % 40);
    message.last = next() % 2 == 0;
    std::string bytes = encode(message, "");
    // ... and bytes that are none.
    if (next() % 4 == 0) bytes.resize(next() % bytes.size());
    if (next() % 4 == 0) next.spoil(bytes, 2);
    taken += std::holds_alternative<Message>(decode(bytes, "")) ? 1 : 0;
    read(core, now, bytes);
  });
  std::printf("%ld of them read\n", taken);
  require(taken > cases / 20);
  return 0;
}
#endif
